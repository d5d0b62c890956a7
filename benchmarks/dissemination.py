"""Experiments on dissemination and membership: delay, platform calls, bytes and detection."""

import functools
import statistics

import msgspec

from benchmarks import experiment, parallel
from standins import spreading

__all__ = ["change_delay", "control_cost", "detection", "large_fleet"]

_TRIALS = 8
_CHANGES = 25
_LIMIT_MS = 20_000.0
_SETTLE_MS = 3_000.0
_GAP_MS = 2_000.0
_LOSS = 0.05
_TARGET_MS = 2_000.0
_LARGE_TARGET_MS = 6_000.0
_QUIET_MS = 300_000.0
_LARGE_QUIET_MS = 20_000.0
_MS_PER_S = 1_000.0
_HOUR_MS = 3_600_000.0
_LINK_BYTES_PER_S = 0.01 * 30e6 / 8
_HOST_BYTES_PER_S = 22_000.0
_READS_PER_S = 2_000.0
_CHANGES_PER_DAY = 4_700
_DAY_S = 86_400.0
_BEHAVIOURS = ("rendezvous", "every_host")


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """One fleet of an experiment."""

    seed: int
    readers: str
    hosts_per_data_centre: int = 10
    far_unreachable: bool = False
    stale_reader: bool = True
    changes: int = _CHANGES


class _Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one trial of spreading changes."""

    delays_ms: list[float]
    reverted: int
    calls: int
    far_bytes: int


def _trials(seed: int, readers: str, **fields: object) -> list[_Trial]:
    return [_Trial(seed=seed * 100 + each, readers=readers, **fields) for each in range(_TRIALS)]


def _fleet(trial: _Trial) -> spreading.Fleet:
    fleet = spreading.Fleet(
        seed=trial.seed, hosts=trial.hosts_per_data_centre, readers=trial.readers
    )
    revision = fleet.platform.publish("workspace", "w", _spec(1))
    fleet.run_until(lambda: fleet.all_have(revision), _LIMIT_MS)
    fleet.run(_SETTLE_MS)
    # In the baseline hosts do not talk to each other.
    fleet.channel.conditions.loss = 1.0 if trial.readers == "every_host" else _LOSS
    return fleet


def _spec(rate: int) -> dict:
    return {"rate_per_s": rate, "burst": 4}


def _run_spread(trial: _Trial) -> _Spread:
    fleet = _fleet(trial)
    if trial.stale_reader:
        fleet.platform.freeze(_a_reader(fleet))
    if trial.far_unreachable:
        fleet.platform.unreachable = {host for host in fleet.hosts if host.startswith("h1")}
    calls = fleet.platform.calls
    far_bytes = fleet.channel.inter_region_bytes
    delays_ms = []
    reverted = 0
    for number in range(trial.changes):
        revision = fleet.platform.publish("workspace", "w", _spec(2 + number))
        held = functools.partial(_held, fleet, revision)
        delays_ms.append(min(_LIMIT_MS, fleet.run_until(held, _LIMIT_MS)))
        fleet.run(_GAP_MS)
        reverted += not _held(fleet, revision)
    return _Spread(
        delays_ms=delays_ms,
        reverted=reverted,
        calls=fleet.platform.calls - calls,
        far_bytes=fleet.channel.inter_region_bytes - far_bytes,
    )


def _a_reader(fleet: spreading.Fleet) -> str:
    return next(
        name
        for name, host in fleet.hosts.items()
        if host.engine.platform_read_plan().records is not None
    )


def _held(fleet: spreading.Fleet, revision: int) -> bool:
    return all(host.engine.records.revision >= revision for host in fleet.hosts.values())


@experiment.experiments.register("dissemination_delay")
def change_delay(seed: int) -> list[experiment.Row]:
    """Measure the time until the last of 40 hosts has a change in force."""
    rows = []
    for readers in _BEHAVIOURS:
        for place, fields in (
            ("5% loss, link 30 ms, a stale reader", {}),
            ("5% loss, no stale reader", {"stale_reader": False}),
            ("platform reached by one region only", {"far_unreachable": True, "changes": 5}),
        ):
            results = parallel.run_trials(_run_spread, _trials(seed, readers, **fields))
            rows += _delay_rows(place, readers, results)
    return rows


def _delay_rows(place: str, readers: str, results: list[_Spread]) -> list[experiment.Row]:
    delays_ms = [delay for result in results for delay in result.delays_ms]
    note = f"{len(delays_ms)} changes, {len(results)} seeds; {_LIMIT_MS:.0f} stands for never"
    rows = [
        experiment.Row(
            measure=f"change in force on all 40 hosts, {name} in ms: {place}",
            behaviour=readers,
            value=value,
            target=_TARGET_MS,
            note=note,
        )
        for name, value in (
            ("median", statistics.median(delays_ms)),
            ("p99", parallel.quantile(delays_ms, 0.99)),
            ("slowest", max(delays_ms)),
        )
    ]
    calls = sum(result.calls for result in results) / len(delays_ms)
    measure = f"platform calls per change, waiting ones included: {place}"
    return [*rows, experiment.Row(measure=measure, behaviour=readers, value=calls, note=note)]


class _Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Rates of a fleet over a while."""

    calls_per_s: float
    far_bytes_per_s: float
    host_bytes_per_s: float


def _run_cost(trial: _Trial) -> _Cost:
    fleet = _fleet(trial)
    fleet.channel.conditions.loss = 0.0 if trial.readers == "rendezvous" else 1.0
    duration_ms = _QUIET_MS if trial.hosts_per_data_centre <= 10 else _LARGE_QUIET_MS
    gap_ms = _DAY_S * _MS_PER_S / _CHANGES_PER_DAY
    before = (
        fleet.platform.calls,
        fleet.channel.inter_region_bytes,
        fleet.channel.intra_region_bytes,
    )
    for number in range(round(duration_ms / gap_ms)):
        fleet.platform.publish("workspace", "w", _spec(2 + number))
        fleet.run(gap_ms)
    seconds = round(duration_ms / gap_ms) * gap_ms / _MS_PER_S
    calls = fleet.platform.calls - before[0]
    # Half of the bytes between regions go each way.
    far_bytes = (fleet.channel.inter_region_bytes - before[1]) / 2
    all_bytes = 2 * far_bytes + fleet.channel.intra_region_bytes - before[2]
    return _Cost(
        calls_per_s=calls / seconds,
        far_bytes_per_s=far_bytes / seconds,
        host_bytes_per_s=all_bytes / seconds / len(fleet.hosts),
    )


@experiment.experiments.register("dissemination_cost")
def control_cost(seed: int) -> list[experiment.Row]:
    """Measure platform calls and control bytes at 4,700 changes a day, 40 and 888 hosts."""
    trials = [
        _Trial(seed=seed, readers=readers, hosts_per_data_centre=hosts)
        for readers in _BEHAVIOURS
        for hosts in (10, 222)
    ]
    costs = parallel.run_trials(_run_cost, trials)
    rows = []
    for trial, cost in zip(trials, costs, strict=True):
        hosts = 4 * trial.hosts_per_data_centre
        figures = [
            ("platform calls per s", cost.calls_per_s, _READS_PER_S),
            ("platform calls per h", cost.calls_per_s * _HOUR_MS / _MS_PER_S, None),
        ]
        if trial.readers == "rendezvous":  # hosts of the baseline send each other nothing
            figures += [
                ("bytes per s each way between regions", cost.far_bytes_per_s, _LINK_BYTES_PER_S),
                ("bytes per s sent by a host", cost.host_bytes_per_s, _HOST_BYTES_PER_S),
            ]
        for measure, value, target in figures:
            rows.append(
                experiment.Row(
                    measure=f"{measure}, {hosts} hosts, 4,700 changes a day",
                    behaviour=trial.readers,
                    value=value,
                    target=target,
                    note="dissemination and failure detection; message bytes without framing",
                )
            )
    return rows


@experiment.experiments.register("dissemination_large_fleet")
def large_fleet(seed: int) -> list[experiment.Row]:
    """Measure the time until the last of 888 hosts has a change in force."""
    trial = _Trial(seed=seed, readers="rendezvous", hosts_per_data_centre=222, changes=10)
    result = _run_spread(trial)
    note = f"{len(result.delays_ms)} changes, one seed, 5% loss, a stale reader"
    return [
        experiment.Row(
            measure=f"change in force on all 888 hosts, {name} in ms",
            behaviour="rendezvous",
            value=value,
            target=_LARGE_TARGET_MS,
            note=note,
        )
        for name, value in (
            ("median", statistics.median(result.delays_ms)),
            ("slowest", max(result.delays_ms)),
        )
    ]


class _Detection(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one trial of failure detection."""

    first_ms: float
    most_ms: float
    false_suspicions: int


def _run_detection(seed: int) -> _Detection:
    fleet = _fleet(_Trial(seed=seed, readers="rendezvous"))
    fleet.channel.conditions.loss = 0.01
    fleet.run(_QUIET_MS)
    false = sum(
        decision.choice == "suspected"
        for host in fleet.hosts.values()
        for decision in host.decisions.newest(512)
    )
    dead = "h0104"
    fleet.stop(dead)
    first_ms = fleet.run_until(lambda: _suspecters(fleet, dead) >= 1, _LIMIT_MS)
    most_ms = fleet.run_until(lambda: _suspecters(fleet, dead) >= 36, _LIMIT_MS)
    return _Detection(first_ms=first_ms, most_ms=first_ms + most_ms, false_suspicions=false)


def _suspecters(fleet: spreading.Fleet, target: str) -> int:
    return sum(not host.engine.membership.reachable(target) for host in fleet.hosts.values())


@experiment.experiments.register("membership_detection")
def detection(seed: int) -> list[experiment.Row]:
    """Measure how soon a dead host is suspected, and how often a live one is."""
    results = parallel.run_trials(_run_detection, [seed * 100 + each for each in range(_TRIALS)])
    note = f"{_TRIALS} seeds, 40 hosts, 1% loss"
    minutes = _TRIALS * _QUIET_MS / 60_000.0
    figures = (
        ("first host suspects a dead one, median in ms", [each.first_ms for each in results]),
        ("36 of 39 hosts suspect a dead one, median in ms", [each.most_ms for each in results]),
    )
    rows = [
        experiment.Row(
            measure=measure, behaviour="probes", value=statistics.median(values), note=note
        )
        for measure, values in figures
    ]
    false = sum(each.false_suspicions for each in results)
    measure = f"false suspicions in {minutes:.0f} simulated minutes"
    return [
        *rows,
        experiment.Row(measure=measure, behaviour="probes", value=false, target=0.0, note=note),
    ]
