"""Measures how long a fleet that keeps its own host list needs until all hosts agree on it.

All hosts start within 0.3 s and know three seeds; later a group of hosts is added at once.
"""

from absl import app, flags

from standins import spreading

__all__ = ["run"]

_SIZES = flags.DEFINE_list("sizes", ["44", "126", "293"], "Fleet sizes, in hosts.")
_ADDED = flags.DEFINE_integer("added", 34, "Number of hosts that are added at once.")

_REGIONS = 2
_DATA_CENTRES = 4
_START_SPREAD_MS = 300.0
_LIMIT_MS = 20_000.0


def run(hosts: int, *, added: int, seed: int = 1) -> dict[str, float]:
    """Start a fleet and add hosts to it; return the times in milliseconds by name."""
    per_data_centre = -(-(hosts + added) // (_REGIONS * _DATA_CENTRES))
    fleet = spreading.Fleet(
        seed=seed,
        regions=_REGIONS,
        data_centres=_DATA_CENTRES,
        hosts=per_data_centre,
        host_list="seeded",
        seeds=("h0000", "h1000", "h0100"),
    )
    names = list(fleet.hosts)
    first = set(names[:hosts])
    later = [name for name in names if name not in first][:added]
    for name in names:
        fleet.stop(name)
    fleet.platform.publish("workspace", "w", {"rate_per_s": 1, "burst": 4})
    starts_ms = sorted((fleet.rng.random() * _START_SPREAD_MS, name) for name in first)
    figures = {"cold start": _time_to_agree(fleet, starts_ms)}
    at_ms = fleet.time.now_ms()
    figures[f"{len(later)} added"] = _time_to_agree(fleet, [(at_ms, name) for name in later])
    return figures


def _time_to_agree(fleet: spreading.Fleet, starts_ms: list[tuple[float, str]]) -> float:
    """Start hosts at their times; return the time from the first until all lists are complete."""
    pending = list(starts_ms)
    started_ms = pending[0][0]

    def agreed() -> bool:
        while pending and pending[0][0] <= fleet.time.now_ms():
            fleet.start(pending.pop(0)[1])
        return not pending and all(
            len(host.engine.membership.hosts()) == len(fleet.hosts) for host in fleet.hosts.values()
        )

    fleet.run_until(agreed, _LIMIT_MS)
    return fleet.time.now_ms() - started_ms


def main(argv: list[str]) -> None:
    """Print a table row for each figure."""
    del argv
    for size in map(int, _SIZES.value):
        for name, value_ms in run(size, added=_ADDED.value).items():
            print(f"| {size} hosts | {name} | {value_ms:.0f} ms |")


if __name__ == "__main__":
    app.run(main)
