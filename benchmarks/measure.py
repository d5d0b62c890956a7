"""Runs the registered experiments with one seed, and writes a table and a plot of the results."""

import pathlib
import time
from collections.abc import Iterable

from absl import app, flags
from matplotlib import pyplot

from benchmarks import (
    claims,
    dissemination,
    end_to_end,
    experiment,
    health,
    limits,
    placement,
    retry_budget,
    signals,
    store_return,
)

__all__ = ["table"]

# Importing the modules registers their experiments.
assert claims and dissemination and end_to_end and health and limits and placement
assert retry_budget and signals and store_return

_SEED = flags.DEFINE_integer("seed", 1, "Seed of every experiment.")
_ONLY = flags.DEFINE_list("only", [], "Names of the experiments to run; all if empty.")
_FOLDER = flags.DEFINE_string("folder", "docs/measurements", "Folder of the table and the plot.")
_MAX_PLOTTED_SHARE = 3.0
_HEADER = (
    "| measure | behaviour | value | target | met | source | note |",
    "|---|---|---:|---:|---|---|---|",
)


def table(rows: Iterable[experiment.Row]) -> list[str]:
    """Return the lines of a Markdown table.

    Examples
    --------
    >>> row = experiment.Row(measure="p99, ms", behaviour="ours", value=1.0, target=2.0)
    >>> table([row])[-1]
    '| p99, ms | ours | 1 | 2 | yes | focused |  |'
    """
    return [*_HEADER, *map(_table_row, rows)]


def main(argv: list[str]) -> int:
    """Run the experiments and write the results; return 0 even if a target is missed."""
    del argv
    rows: list[experiment.Row] = []
    for name in _ONLY.value or list(experiment.experiments):
        started_s = time.monotonic()
        new_rows = experiment.experiments.get(name)(_SEED.value)
        rows.extend(new_rows)
        print(f"\n{name} ({time.monotonic() - started_s:.0f} s)")
        print("\n".join(table(new_rows)), flush=True)
    folder = pathlib.Path(_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    title = f"# Latest run of `make measure`, seed {_SEED.value}"
    (folder / "latest.md").write_text("\n".join([title, "", *table(rows), ""]))
    _plot(rows, folder / "latest.png")
    return 0


def _table_row(row: experiment.Row) -> str:
    target = "" if row.target is None else f"{row.target:g}"
    met = {None: "", True: "yes", False: "**no**"}[row.met]
    cells = (row.measure, row.behaviour, f"{row.value:.4g}", target, met, row.source, row.note)
    return "| " + " | ".join(cells) + " |"


def _plot(rows: list[experiment.Row], path: pathlib.Path) -> None:
    """Plot each value that has a target as a multiple of the target; larger ones are cut off."""
    plotted = [row for row in rows if row.target]
    if not plotted:
        return
    figure, axis = pyplot.subplots(figsize=(10, 0.28 * len(plotted) + 1))
    shares = [min(row.value / row.target, _MAX_PLOTTED_SHARE) for row in plotted]
    colours = ["tab:green" if row.met else "tab:red" for row in plotted]
    axis.barh(range(len(plotted)), shares, color=colours)
    axis.axvline(1.0, color="black", linewidth=1)
    axis.set_yticks(range(len(plotted)))
    axis.set_yticklabels([f"{row.measure} [{row.behaviour}]" for row in plotted], fontsize=7)
    axis.set_xlim(0, _MAX_PLOTTED_SHARE)
    axis.invert_yaxis()
    axis.set_xlabel("share of the target (lower is better unless it is a lower bound)")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    app.run(main)
