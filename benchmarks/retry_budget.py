"""Plays fleets whose homes move while servers fail, and counts repeats as servers see them."""

import bisect
from collections.abc import Callable

from absl import app, flags

from benchmarks import experiment
from standins import stepped_fleet
from verbenadrum.core import behaviours
from verbenadrum.placement import budget

__all__ = ["LIMITS", "SCRIPTS", "beyond_budget", "failing_fleet"]

assert behaviours

_SIZES = flags.DEFINE_list("sizes", ["44", "90", "110"], "Numbers of hosts.")

_PER_S = 200.0
_SERVERS = 12
_RUN_MS = 24_000.0
_FAULT_MS = 2_000.0
# A failing answer is an error at once, so that its request can be repeated in time.
_ERROR_FRACTION = 0.8
_ERROR_MS = 1.0
# The published slack is about 0.8 of a second's requests at each of the users' sites.
LIMITS = budget.RetryLimits(ratio=0.2, slack=0.8 * _PER_S, window_ms=10_000.0)
# Hosts learn of a dead one, and a dead one is back, after these times.
_SILENT_MS = 150.0
_DOWN_MS = 2_000.0
_EVERY_MS = 1_300.0
_ALONE = 20

SCRIPTS: dict[str, Callable[[stepped_fleet.Fleet], None]] = {}


def failing_fleet(hosts: int, seed: int) -> stepped_fleet.Fleet:
    """Return a fleet of so many hosts before servers most of whose answers are quick errors."""
    rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
    centres = ("r1a", "r1b", "r2a", "r2b")
    fleet = stepped_fleet.Fleet(
        hosts=rows,
        servers={f"s{index}": centres[index % 4] for index in range(_SERVERS)},
        health="belief",
        seed=seed,
        retries=LIMITS,
    )
    for server in fleet.servers.values():
        server.error_fraction = _ERROR_FRACTION
        server.error_ms = _ERROR_MS
    fleet.load(workspace="w", per_s=_PER_S, path=lambda: f"/item/{fleet.rng.randrange(1_000_000)}")
    return fleet


def beyond_budget(fleet: stepped_fleet.Fleet) -> float:
    """Return the most repeats above the budget in any window; below zero for what is left.

    The requests of a window are those in it, in the one before it, or in the one that begins
    half a window earlier, whichever are most.
    """
    sent = sorted(log.sent_ms for log in fleet.logs)
    repeats = sorted(fleet.retry_times_ms)
    width_ms = LIMITS.window_ms

    def requests(start_ms: float) -> int:
        return bisect.bisect_left(sent, start_ms + width_ms) - bisect.bisect_left(sent, start_ms)

    def beyond(index: int) -> float:
        start_ms = repeats[index]
        count = bisect.bisect_left(repeats, start_ms + width_ms) - index
        firsts = max(requests(start_ms - lag_ms) for lag_ms in (0.0, width_ms / 2.0, width_ms))
        return count - LIMITS.ratio * firsts - LIMITS.slack

    return max(map(beyond, range(len(repeats))))


def _script(name: str) -> Callable:
    def register(play: Callable[[stepped_fleet.Fleet], None]) -> Callable:
        SCRIPTS[name] = play
        return play

    return register


@_script("steady")
def _steady(fleet: stepped_fleet.Fleet) -> None:
    fleet.run(_RUN_MS)


@_script("homes end in turn")
def _homes_end(fleet: stepped_fleet.Fleet) -> None:
    """Kill the homes of both regions again and again; each comes back without memory."""

    def back(names: list[str]) -> None:
        for name in names:
            fleet.restart_host(name)
        fleet.list_hosts(_alive(fleet))

    def end() -> None:
        ended = [_home(fleet, region) for region in ("r1", "r2")]
        for name in ended:
            fleet.fail_host(name)
        left = _alive(fleet)
        fleet.after(_SILENT_MS, lambda: fleet.list_hosts(left))
        fleet.after(_DOWN_MS, lambda: back(ended))
        fleet.after(_EVERY_MS, end)

    fleet.after(_FAULT_MS, end)
    fleet.run(_RUN_MS)


@_script("hosts cut off one by one")
def _cut_off(fleet: stepped_fleet.Fleet) -> None:
    fleet.run(_FAULT_MS)
    names = list(fleet.hosts)
    alone = names[:: max(1, len(names) // _ALONE)]
    _cut(fleet, lambda name, other: name in alone or other in alone)
    fleet.load(workspace="w", per_s=_PER_S, hosts=tuple(alone))
    fleet.run(_RUN_MS)


@_script("data centres cut from each other")
def _centres_cut(fleet: stepped_fleet.Fleet) -> None:
    fleet.run(_FAULT_MS)
    places = {name: host.row.data_centre for name, host in fleet.hosts.items()}
    _cut(fleet, lambda name, other: places[name] != places[other])
    fleet.run(_RUN_MS)


@_script("no host knows another yet")
def _unknown(fleet: stepped_fleet.Fleet) -> None:
    for name in fleet.hosts:
        fleet.list_hosts((name,), views=(name,))
    fleet.run(_FAULT_MS)
    fleet.list_hosts(tuple(fleet.hosts))
    fleet.run(_RUN_MS)


def _alive(fleet: stepped_fleet.Fleet) -> tuple[str, ...]:
    return tuple(name for name, host in fleet.hosts.items() if host.alive)


def _home(fleet: stepped_fleet.Fleet, region: str) -> str:
    """Return the host that a region's hosts ask first."""
    entry = next(
        host.placer.entry_side
        for host in fleet.hosts.values()
        if host.alive and host.row.region == region
    )
    return entry.home_candidates(stepped_fleet.SERVICE, region)[0]


def _cut(fleet: stepped_fleet.Fleet, between: Callable[[str, str], bool]) -> None:
    for name, host in fleet.hosts.items():
        for other in fleet.hosts:
            if other != name and between(name, other):
                fleet.cut.add((name, other))
                host.membership.set_suspected(other, True)


def rows(sizes: list[int]) -> list[experiment.Row]:
    """Play every script once at every size."""
    found = []
    for hosts in sizes:
        for name, play in SCRIPTS.items():
            fleet = failing_fleet(hosts, seed=hosts)
            play(fleet)
            seconds = fleet.clock.now_ms() / 1000.0
            figures = (
                ("repeats beyond the budget of any window", beyond_budget(fleet), 0.0),
                ("repeats a second", len(fleet.retry_times_ms) / seconds, None),
                ("served, fraction", sum(log.ok for log in fleet.logs) / len(fleet.logs), None),
            )
            found += [
                experiment.Row(
                    measure=f"{name}, {hosts} hosts: {measure}",
                    behaviour="ours",
                    value=round(value, 3),
                    target=target,
                )
                for measure, value, target in figures
            ]
    return found


@experiment.experiments.register("retry-budget")
def retry_budget(seed: int) -> list[experiment.Row]:
    """Measure one size in the quick mode."""
    return rows([90])


def main(argv: list[str]) -> None:
    """Print one line for each figure."""
    del argv
    for row in rows([int(size) for size in _SIZES.value]):
        print(f"| {row.measure} | {row.value:g} |")


if __name__ == "__main__":
    app.run(main)
