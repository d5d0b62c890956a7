"""Experiments on claims: second runs, round trips, and claims while hosts are replaced."""

import statistics

from benchmarks import experiment
from verbenadrum.claims.tests import callers
from verbenadrum.core import ports

__all__ = ["claims_while_hosts_are_replaced", "round_trips", "second_runs"]

_HOSTS = 10
_WARM_UP_MS = 27_000.0
_MINUTE_MS = 60_000.0
_PERIOD_MS = 100.0
_BEHAVIOURS = ("witnessed", "local")
_WON = ports.ClaimState.WON


def _fleet(seed: int, claims: str, names: list[str]) -> callers.ClaimFleet:
    group = callers.ClaimFleet(seed=seed, claims=claims, hosts=names)
    group.advance(_WARM_UP_MS)
    return group


def _names(scope: str = "a") -> list[str]:
    return [f"{scope}-{number}" for number in range(1, _HOSTS + 1)]


@experiment.experiments.register("claims_second_runs")
def second_runs(seed: int) -> list[experiment.Row]:
    """Count runs beyond the first while keys are sent again and hosts restart."""
    return [_second_runs(seed, claims) for claims in _BEHAVIOURS]


def _second_runs(seed: int, claims: str) -> experiment.Row:
    group = _fleet(seed, claims, _names())
    group.loss, group.repeat, group.delay_ms = 0.05, 0.05, (0.5, 200.0)
    keys = []
    for number in range(600):
        keys.append(group.key())
        for key in (keys[-1], group.rng.choice(keys[-20:])):
            group.claim(group.rng.choice(_names()), key, win=group.run)
        if number % 100 == 99:
            group.start(group.rng.choice(_names()))
        group.advance(_PERIOD_MS)
    group.advance(callers.DEADLINE_MS)
    second = sum(runs - 1 for runs in group.runs.values())
    return experiment.Row(
        measure="second runs of 600 keys, each sent twice on average, 5% loss, six restarts",
        behaviour=claims,
        value=float(second),
        target=0.0,
        note=f"{sum(group.runs.values())} keys ran; {len(group.problems)} violations",
    )


@experiment.experiments.register("claims_round_trips")
def round_trips(seed: int) -> list[experiment.Row]:
    """Measure the time that a claim waits and the messages that it costs, without faults."""
    rows = []
    for claims in _BEHAVIOURS:
        waits, messages = _round_trips(seed, claims)
        median_ms = statistics.median(waits)
        for measure, value in (
            ("claim, median wait in ms, hosts 0.5 ms apart", median_ms),
            ("claim, p99 wait in ms, hosts 0.5 ms apart", _p99(waits)),
            ("claim, messages sent by all hosts", messages),
        ):
            rows.append(experiment.Row(measure=measure, behaviour=claims, value=value))
    return rows


def _round_trips(seed: int, claims: str) -> tuple[list[float], float]:
    group = _fleet(seed, claims, _names())
    group.delay_ms = (0.5, 0.5)
    results = []
    for _ in range(500):
        results.append(group.claim(group.rng.choice(_names()), group.key(), win=group.run))
        group.advance(_PERIOD_MS)
    waits = [result.ended_ms - result.asked_ms for result in results]
    return waits, group.claim_messages / len(results)


@experiment.experiments.register("claims_while_hosts_are_replaced")
def claims_while_hosts_are_replaced(seed: int) -> list[experiment.Row]:
    """Measure new claims that do not win while one host in ten is replaced each minute."""
    rows = []
    for claims in _BEHAVIOURS:
        results = _replace_hosts(seed, claims)
        lost = [result for result in results if result.claim.state is not _WON]
        waits = [result.ended_ms - result.asked_ms for result in results]
        note = "10 minutes, 10 hosts; a dead host stays listed for 5 s"
        for measure, value, target in (
            ("new claims not won, one host in ten replaced each minute, %", lost, 0.1),
            ("claim wait over 1 s, same run, %", [wait for wait in waits if wait > 1_000], None),
        ):
            share = 100.0 * len(value) / len(results)
            rows.append(
                experiment.Row(
                    measure=measure, behaviour=claims, value=share, target=target, note=note
                )
            )
        rows.append(
            experiment.Row(
                measure="claim, p99 wait in ms, same run",
                behaviour=claims,
                value=_p99(waits),
                note=note,
            )
        )
    return rows


def _replace_hosts(seed: int, claims: str) -> list[callers.Result]:
    group = _fleet(seed, claims, _names())
    results: list[callers.Result] = []

    def spend(span_ms: float) -> None:
        for _ in range(int(span_ms / _PERIOD_MS)):
            live = sorted(set(group.hosts) & set(group.lists[group.newest]))
            key = group.key()
            results.append(group.claim(group.rng.choice(live), key, win=group.run))
            group.advance(_PERIOD_MS)

    for minute in range(10):
        gone, new = f"a-{minute + 1}", f"a-{minute + _HOSTS + 1}"
        group.stop(gone)
        spend(5_000.0)
        group.publish([new, *(name for name in group.lists[group.newest] if name != gone)])
        group.start(new)
        for name in sorted(group.hosts):
            group.show(name)
            spend(_PERIOD_MS)
        spend(_MINUTE_MS - 5_000.0 - _HOSTS * _PERIOD_MS)
    group.advance(callers.DEADLINE_MS + _PERIOD_MS)
    return results


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]
