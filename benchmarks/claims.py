"""Experiments on claims of idempotency keys, with simulated hosts and time.

They measure repeated runs of a key, the wait and messages of a claim, and claims that are not won
while hosts are replaced.
"""

import statistics

from benchmarks import experiment
from verbenadrum.claims.tests import callers
from verbenadrum.core import ports

__all__ = ["claims_while_hosts_are_replaced", "round_trips", "second_runs"]

_HOST_COUNT = 10
_WARM_UP_MS = 27_000.0
_MINUTE_MS = 60_000.0
_CLAIM_INTERVAL_MS = 100.0
_BEHAVIOURS = ("witnessed", "local")
_WON = ports.ClaimState.WON


def _make_fleet(seed: int, claims: str, names: list[str]) -> callers.ClaimFleet:
    fleet = callers.ClaimFleet(seed=seed, claims=claims, hosts=names)
    fleet.advance(_WARM_UP_MS)
    return fleet


def _host_names(prefix: str = "a") -> list[str]:
    return [f"{prefix}-{number}" for number in range(1, _HOST_COUNT + 1)]


@experiment.experiments.register("claims_second_runs")
def second_runs(seed: int) -> list[experiment.Row]:
    """Count the runs of a key beyond its first, while callers resend keys and hosts restart."""
    return [_second_runs(seed, claims) for claims in _BEHAVIOURS]


def _second_runs(seed: int, claims: str) -> experiment.Row:
    fleet = _make_fleet(seed, claims, _host_names())
    fleet.loss, fleet.repeat, fleet.delay_ms = 0.05, 0.05, (0.5, 200.0)
    keys = []
    for number in range(600):
        keys.append(fleet.key())
        for key in (keys[-1], fleet.rng.choice(keys[-20:])):
            fleet.claim(fleet.rng.choice(_host_names()), key, win=fleet.run)
        if number % 100 == 99:
            fleet.start(fleet.rng.choice(_host_names()))
        fleet.advance(_CLAIM_INTERVAL_MS)
    fleet.advance(callers.DEADLINE_MS)
    repeated_runs = sum(runs - 1 for runs in fleet.runs.values())
    return experiment.Row(
        measure="second runs of 600 keys, each sent twice on average, 5% loss, six restarts",
        behaviour=claims,
        value=float(repeated_runs),
        target=0.0,
        note=f"{sum(fleet.runs.values())} keys ran; {len(fleet.problems)} violations",
    )


@experiment.experiments.register("claims_round_trips")
def round_trips(seed: int) -> list[experiment.Row]:
    """Measure the wait and the number of messages of a claim without faults."""
    rows = []
    for claims in _BEHAVIOURS:
        waits_ms, messages = _round_trips(seed, claims)
        median_ms = statistics.median(waits_ms)
        for measure, value in (
            ("claim, median wait in ms, hosts 0.5 ms apart", median_ms),
            ("claim, p99 wait in ms, hosts 0.5 ms apart", _p99(waits_ms)),
            ("claim, messages sent by all hosts", messages),
        ):
            rows.append(experiment.Row(measure=measure, behaviour=claims, value=value))
    return rows


def _round_trips(seed: int, claims: str) -> tuple[list[float], float]:
    fleet = _make_fleet(seed, claims, _host_names())
    fleet.delay_ms = (0.5, 0.5)
    results = []
    for _ in range(500):
        results.append(fleet.claim(fleet.rng.choice(_host_names()), fleet.key(), win=fleet.run))
        fleet.advance(_CLAIM_INTERVAL_MS)
    waits_ms = [result.ended_ms - result.asked_ms for result in results]
    return waits_ms, fleet.claim_messages / len(results)


@experiment.experiments.register("claims_while_hosts_are_replaced")
def claims_while_hosts_are_replaced(seed: int) -> list[experiment.Row]:
    """Measure the percentage of new claims not won while one host in ten is replaced a minute."""
    rows = []
    for claims in _BEHAVIOURS:
        results = _replace_hosts(seed, claims)
        not_won = [result for result in results if result.claim.state is not _WON]
        waits_ms = [result.ended_ms - result.asked_ms for result in results]
        note = "10 minutes, 10 hosts; a dead host stays listed for 5 s"
        for measure, value, target in (
            ("new claims not won, one host in ten replaced each minute, %", not_won, 0.1),
            ("claim wait over 1 s, same run, %", [wait for wait in waits_ms if wait > 1_000], None),
        ):
            percentage = 100.0 * len(value) / len(results)
            rows.append(
                experiment.Row(
                    measure=measure, behaviour=claims, value=percentage, target=target, note=note
                )
            )
        rows.append(
            experiment.Row(
                measure="claim, p99 wait in ms, same run",
                behaviour=claims,
                value=_p99(waits_ms),
                note=note,
            )
        )
    return rows


def _replace_hosts(seed: int, claims: str) -> list[callers.Result]:
    fleet = _make_fleet(seed, claims, _host_names())
    results: list[callers.Result] = []

    def make_claims(duration_ms: float) -> None:
        for _ in range(int(duration_ms / _CLAIM_INTERVAL_MS)):
            running_hosts = sorted(set(fleet.hosts) & set(fleet.lists[fleet.newest]))
            key = fleet.key()
            results.append(fleet.claim(fleet.rng.choice(running_hosts), key, win=fleet.run))
            fleet.advance(_CLAIM_INTERVAL_MS)

    for minute in range(10):
        stopped_host, new_host = f"a-{minute + 1}", f"a-{minute + _HOST_COUNT + 1}"
        fleet.stop(stopped_host)
        make_claims(5_000.0)
        fleet.publish(
            [new_host, *(name for name in fleet.lists[fleet.newest] if name != stopped_host)]
        )
        fleet.start(new_host)
        for name in sorted(fleet.hosts):
            fleet.show(name)
            make_claims(_CLAIM_INTERVAL_MS)
        make_claims(_MINUTE_MS - 5_000.0 - _HOST_COUNT * _CLAIM_INTERVAL_MS)
    fleet.advance(callers.DEADLINE_MS + _CLAIM_INTERVAL_MS)
    return results


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]
