"""Measures the retries of simulated fleets against the retry budget while their homes change.

Most answers of the backend servers are errors. The counts of retries and hedges are taken from the
attempts that the fleet sends to the backend servers, not from the hosts' own accounts.
"""

import bisect
from collections.abc import Callable

from absl import app, flags

from benchmarks import experiment
from standins import stepped_fleet
from verbenadrum.engine import behaviours
from verbenadrum.placement import budget

__all__ = ["LIMITS", "SCRIPTS", "max_excess_retries", "failing_fleet"]

assert behaviours  # Importing it registers the implementations that are chosen by name.

_SIZES = flags.DEFINE_list("sizes", ["44", "90", "110"], "Fleet sizes, in hosts.")

_REQUESTS_PER_S = 200.0
_SERVER_COUNT = 12
_RUN_MS = 24_000.0
# Simulated time at which the faults of a script begin, or the missing host list arrives.
_CHANGE_AT_MS = 2_000.0
_ERROR_FRACTION = 0.8
# Errors are returned quickly, so that a request can be retried within its deadline.
_MAX_ERROR_SERVICE_MS = 1.0
# The slack that users have published is about 0.8 of the requests that their site gets in a second.
LIMITS = budget.RetryLimits(ratio=0.2, slack=0.8 * _REQUESTS_PER_S, window_ms=10_000.0)
# Time from the failure of a host to a host list without it.
_REMOVAL_DELAY_MS = 150.0
_RESTART_DELAY_MS = 2_000.0
_FAILURE_INTERVAL_MS = 1_300.0
# A script isolates every n-th host, and at least this many if the fleet has as many.
_MIN_ISOLATED_HOSTS = 20

SCRIPTS: dict[str, Callable[[stepped_fleet.Fleet], None]] = {}


def failing_fleet(hosts: int, seed: int) -> stepped_fleet.Fleet:
    """Return a loaded fleet whose backend servers answer most requests with a quick error.

    Parameters
    ----------
    hosts : int
        Number of hosts, spread over two regions with two data centres each.
    seed : int
        Seed of the fleet's random numbers.
    """
    host_rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
    data_centres = ("r1a", "r1b", "r2a", "r2b")
    fleet = stepped_fleet.Fleet(
        hosts=host_rows,
        servers={f"s{index}": data_centres[index % 4] for index in range(_SERVER_COUNT)},
        health="belief",
        seed=seed,
        retries=LIMITS,
    )
    for server in fleet.servers.values():
        server.error_fraction = _ERROR_FRACTION
        server.error_ms = _MAX_ERROR_SERVICE_MS
    fleet.load(
        workspace="w", per_s=_REQUESTS_PER_S, path=lambda: f"/item/{fleet.rng.randrange(1_000_000)}"
    )
    return fleet


def max_excess_retries(fleet: stepped_fleet.Fleet) -> float:
    """Return the largest excess of retries and hedges over the budget, over all windows.

    The budget of a window is the slack plus the ratio times a number of requests: those sent in the
    window itself, in the window before it, or in the window that begins half a window length
    earlier, whichever number is largest.

    Returns
    -------
    float
        Number of retries and hedges above the budget; if negative, the smallest number that was
        left of the budget in any window.

    Raises
    ------
    ValueError
        If the fleet sent no retry or hedge.
    """
    request_times_ms = sorted(log.sent_ms for log in fleet.logs)
    retry_times_ms = sorted(fleet.retry_times_ms)
    window_ms = LIMITS.window_ms

    def count_requests(start_ms: float) -> int:
        return bisect.bisect_left(request_times_ms, start_ms + window_ms) - bisect.bisect_left(
            request_times_ms, start_ms
        )

    def window_excess(first_retry: int) -> float:
        start_ms = retry_times_ms[first_retry]
        retries = bisect.bisect_left(retry_times_ms, start_ms + window_ms) - first_retry
        requests = max(
            count_requests(start_ms - lag_ms) for lag_ms in (0.0, window_ms / 2.0, window_ms)
        )
        return retries - LIMITS.ratio * requests - LIMITS.slack

    return max(map(window_excess, range(len(retry_times_ms))))


def _script(name: str) -> Callable:
    """Return a decorator that registers a script under its name in the report."""

    def register(run_script: Callable[[stepped_fleet.Fleet], None]) -> Callable:
        SCRIPTS[name] = run_script
        return run_script

    return register


@_script("steady")
def _steady(fleet: stepped_fleet.Fleet) -> None:
    fleet.run(_RUN_MS)


@_script("homes end in turn")
def _fail_homes_repeatedly(fleet: stepped_fleet.Fleet) -> None:
    """Stop the current homes of both regions at intervals, and restart each without its state."""

    def restart_hosts(names: list[str]) -> None:
        for name in names:
            fleet.restart_host(name)
        fleet.list_hosts(_live_hosts(fleet))

    def fail_homes() -> None:
        failed = [_home(fleet, region) for region in ("r1", "r2")]
        for name in failed:
            fleet.fail_host(name)
        remaining = _live_hosts(fleet)
        fleet.run_after(_REMOVAL_DELAY_MS, lambda: fleet.list_hosts(remaining))
        fleet.run_after(_RESTART_DELAY_MS, lambda: restart_hosts(failed))
        fleet.run_after(_FAILURE_INTERVAL_MS, fail_homes)

    fleet.run_after(_CHANGE_AT_MS, fail_homes)
    fleet.run(_RUN_MS)


@_script("hosts cut off one by one")
def _isolate_hosts(fleet: stepped_fleet.Fleet) -> None:
    """Cut some hosts off from all other hosts, and send them additional requests."""
    fleet.run(_CHANGE_AT_MS)
    names = list(fleet.hosts)
    isolated = names[:: max(1, len(names) // _MIN_ISOLATED_HOSTS)]
    _partition(fleet, lambda sender, receiver: sender in isolated or receiver in isolated)
    fleet.load(workspace="w", per_s=_REQUESTS_PER_S, hosts=tuple(isolated))
    fleet.run(_RUN_MS)


@_script("data centres cut from each other")
def _partition_data_centres(fleet: stepped_fleet.Fleet) -> None:
    fleet.run(_CHANGE_AT_MS)
    data_centres = {name: host.row.data_centre for name, host in fleet.hosts.items()}
    _partition(fleet, lambda sender, receiver: data_centres[sender] != data_centres[receiver])
    fleet.run(_RUN_MS)


@_script("no host knows another yet")
def _delay_host_list(fleet: stepped_fleet.Fleet) -> None:
    """Give each host a list of itself alone, as after its start, and the full list later."""
    for name in fleet.hosts:
        fleet.list_hosts((name,), views=(name,))
    fleet.run(_CHANGE_AT_MS)
    fleet.list_hosts(tuple(fleet.hosts))
    fleet.run(_RUN_MS)


def _live_hosts(fleet: stepped_fleet.Fleet) -> tuple[str, ...]:
    return tuple(name for name, host in fleet.hosts.items() if host.alive)


def _home(fleet: stepped_fleet.Fleet, region: str) -> str:
    """Return the host from which a region's entry hosts request slots first."""
    entry_side = next(
        host.placer.entry_side
        for host in fleet.hosts.values()
        if host.alive and host.row.region == region
    )
    return entry_side.home_candidates(stepped_fleet.SERVICE, region)[0]


def _partition(fleet: stepped_fleet.Fleet, is_cut: Callable[[str, str], bool]) -> None:
    """Block the messages between hosts, and let the senders suspect the receivers at once.

    ``is_cut`` returns whether the messages from a sender to a receiver are lost.
    """
    for sender, host in fleet.hosts.items():
        for receiver in fleet.hosts:
            if receiver != sender and is_cut(sender, receiver):
                fleet.cut.add((sender, receiver))
                host.membership.set_suspected(receiver, True)


def rows(sizes: list[int]) -> list[experiment.Row]:
    """Run every script once with every number of hosts, and return its figures.

    The fleet's seed is the number of hosts.
    """
    report = []
    for hosts in sizes:
        for name, run_script in SCRIPTS.items():
            fleet = failing_fleet(hosts, seed=hosts)
            run_script(fleet)
            seconds = fleet.clock.now_ms() / 1000.0
            figures = (
                ("repeats beyond the budget of any window", max_excess_retries(fleet), 0.0),
                ("repeats a second", len(fleet.retry_times_ms) / seconds, None),
                ("served, fraction", sum(log.ok for log in fleet.logs) / len(fleet.logs), None),
            )
            report += [
                experiment.Row(
                    measure=f"{name}, {hosts} hosts: {measure}",
                    behaviour="ours",
                    value=round(value, 3),
                    target=target,
                )
                for measure, value, target in figures
            ]
    return report


@experiment.experiments.register("retry-budget")
def retry_budget(seed: int) -> list[experiment.Row]:
    """Run the scripts with 90 hosts; ``seed`` has no effect."""
    return rows([90])


def main(argv: list[str]) -> None:
    """Print a table row for each figure."""
    del argv
    for row in rows([int(size) for size in _SIZES.value]):
        print(f"| {row.measure} | {row.value:g} |")


if __name__ == "__main__":
    app.run(main)
