"""Runs every registered experiment with one seed, and writes a table and a plot."""

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
)

__all__ = ["table"]

assert claims and dissemination and end_to_end and health and limits and placement and retry_budget

_SEED = flags.DEFINE_integer("seed", 1, "Seed of every experiment.")
_ONLY = flags.DEFINE_list("only", [], "Names of the experiments to run; all if empty.")
_FOLDER = flags.DEFINE_string("folder", "docs/measurements", "Where table and plot are written.")
_MOST_SHARE = 3.0
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
    return [*_HEADER, *map(_line, rows)]


def main(argv: list[str]) -> int:
    """Run the experiments and return 1 where one of ours misses its target."""
    del argv
    rows: list[experiment.Row] = []
    for name in _ONLY.value or list(experiment.experiments):
        started_s = time.monotonic()
        found = experiment.experiments.get(name)(_SEED.value)
        rows.extend(found)
        print(f"\n{name} ({time.monotonic() - started_s:.0f} s)")
        print("\n".join(table(found)), flush=True)
    folder = pathlib.Path(_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    title = f"# Latest run of `make measure`, seed {_SEED.value}"
    (folder / "latest.md").write_text("\n".join([title, "", *table(rows), ""]))
    _plot(rows, folder / "latest.png")
    return 0


def _line(row: experiment.Row) -> str:
    target = "" if row.target is None else f"{row.target:g}"
    met = {None: "", True: "yes", False: "**no**"}[row.met]
    cells = (row.measure, row.behaviour, f"{row.value:.4g}", target, met, row.source, row.note)
    return "| " + " | ".join(cells) + " |"


def _plot(rows: list[experiment.Row], path: pathlib.Path) -> None:
    """Draw each figure as a share of its target."""
    drawn = [row for row in rows if row.target]
    if not drawn:
        return
    figure, axis = pyplot.subplots(figsize=(10, 0.28 * len(drawn) + 1))
    shares = [min(row.value / row.target, _MOST_SHARE) for row in drawn]
    colours = ["tab:green" if row.met else "tab:red" for row in drawn]
    axis.barh(range(len(drawn)), shares, color=colours)
    axis.axvline(1.0, color="black", linewidth=1)
    axis.set_yticks(range(len(drawn)))
    axis.set_yticklabels([f"{row.measure} [{row.behaviour}]" for row in drawn], fontsize=7)
    axis.set_xlim(0, _MOST_SHARE)
    axis.invert_yaxis()
    axis.set_xlabel("share of the target (lower is better unless it is a lower bound)")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    app.run(main)
