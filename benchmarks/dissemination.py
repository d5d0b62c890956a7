"""Measures the dissemination of records and the detection of failed hosts in simulated time.

The experiments give the delay until a change is in force on all hosts, the calls to the platform,
the bytes between hosts, and the delay and false positives of failure detection. Their names are
registered in `benchmarks.experiment`.
"""

import functools
import statistics

import msgspec

from benchmarks import experiment, parallel
from standins import spreading

__all__ = ["change_delay", "control_cost", "failure_detection", "large_fleet"]

_TRIAL_COUNT = 8
_CHANGES_PER_TRIAL = 25
_TIMEOUT_MS = 20_000.0
_SETTLE_MS = 3_000.0
_PAUSE_AFTER_CHANGE_MS = 2_000.0
_LOSS_FRACTION = 0.05
_DELAY_TARGET_MS = 2_000.0
_LARGE_FLEET_DELAY_TARGET_MS = 6_000.0
_OBSERVATION_MS = 300_000.0
_LARGE_FLEET_OBSERVATION_MS = 20_000.0
_MS_PER_S = 1_000.0
_HOUR_MS = 3_600_000.0
_REGION_LINK_TARGET_BYTES_PER_S = 0.01 * 30e6 / 8  # 1% of a link of 30 Mbit/s
_HOST_TARGET_BYTES_PER_S = 22_000.0
_CALL_TARGET_PER_S = 2_000.0
_CHANGES_PER_DAY = 4_700
_DAY_S = 86_400.0
_READER_BEHAVIOURS = ("rendezvous", "every_host")


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a fleet of two regions with two data centres each.

    Attributes
    ----------
    seed : int
        Seed of the fleet.
    readers : str
        Registered name of the rule that chooses the hosts that read from the platform.
    hosts_per_data_centre : int
        Hosts of each of the four data centres.
    far_unreachable : bool
        Whether no host of the second region reaches the platform.
    stale_reader : bool
        Whether the platform shows no new change to one of its readers.
    changes : int
        Number of changes to publish, one after another.
    """

    seed: int
    readers: str
    hosts_per_data_centre: int = 10
    far_unreachable: bool = False
    stale_reader: bool = True
    changes: int = _CHANGES_PER_TRIAL


class _ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run that publishes changes.

    Attributes
    ----------
    delays_ms : list of float
        Time from each publication until the change is in force on every host, at most
        ``_TIMEOUT_MS``.
    incomplete : int
        Number of changes that some host lacked after ``_PAUSE_AFTER_CHANGE_MS`` more.
    calls : int
        Calls to the platform, calls that wait for a change included.
    far_bytes : int
        Bytes sent between the regions.
    """

    delays_ms: list[float]
    incomplete: int
    calls: int
    far_bytes: int


def _make_trials(seed: int, readers: str, **fields: object) -> list[_Trial]:
    return [
        _Trial(seed=seed * 100 + index, readers=readers, **fields) for index in range(_TRIAL_COUNT)
    ]


def _start_fleet(trial: _Trial) -> spreading.Fleet:
    fleet = spreading.Fleet(
        seed=trial.seed, hosts=trial.hosts_per_data_centre, readers=trial.readers
    )
    revision = fleet.platform.publish("workspace", "w", _workspace_spec(1))
    fleet.run_until(lambda: fleet.all_have(revision), _TIMEOUT_MS)
    fleet.run(_SETTLE_MS)
    # In the baseline, every message between hosts is lost and each host relies on the platform.
    fleet.channel.conditions.loss = 1.0 if trial.readers == "every_host" else _LOSS_FRACTION
    return fleet


def _workspace_spec(rate: int) -> dict:
    return {"rate_per_s": rate, "burst": 4}


def _run_changes(trial: _Trial) -> _ChangeResult:
    fleet = _start_fleet(trial)
    if trial.stale_reader:
        fleet.platform.freeze(_first_platform_reader(fleet))
    if trial.far_unreachable:
        fleet.platform.unreachable = {host for host in fleet.hosts if host.startswith("h1")}
    initial_calls = fleet.platform.calls
    initial_far_bytes = fleet.channel.far_bytes
    delays_ms = []
    incomplete = 0
    for number in range(trial.changes):
        revision = fleet.platform.publish("workspace", "w", _workspace_spec(2 + number))
        complete = functools.partial(_on_all_hosts, fleet, revision)
        delays_ms.append(min(_TIMEOUT_MS, fleet.run_until(complete, _TIMEOUT_MS)))
        fleet.run(_PAUSE_AFTER_CHANGE_MS)
        incomplete += not _on_all_hosts(fleet, revision)
    return _ChangeResult(
        delays_ms=delays_ms,
        incomplete=incomplete,
        calls=fleet.platform.calls - initial_calls,
        far_bytes=fleet.channel.far_bytes - initial_far_bytes,
    )


def _first_platform_reader(fleet: spreading.Fleet) -> str:
    return next(
        name for name, host in fleet.hosts.items() if host.engine.reader_duty().records is not None
    )


def _on_all_hosts(fleet: spreading.Fleet, revision: int) -> bool:
    return all(host.engine.records.revision >= revision for host in fleet.hosts.values())


@experiment.experiments.register("dissemination_delay")
def change_delay(seed: int) -> list[experiment.Row]:
    """Measure the delay until a change is in force on all of 40 hosts, and the calls for it."""
    rows = []
    for readers in _READER_BEHAVIOURS:
        for conditions, fields in (
            ("5% loss, link 30 ms, a stale reader", {}),
            ("5% loss, no stale reader", {"stale_reader": False}),
            ("platform reached by one region only", {"far_unreachable": True, "changes": 5}),
        ):
            results = parallel.run_trials(_run_changes, _make_trials(seed, readers, **fields))
            rows += _delay_rows(conditions, readers, results)
    return rows


def _delay_rows(
    conditions: str, readers: str, results: list[_ChangeResult]
) -> list[experiment.Row]:
    delays_ms = [delay for result in results for delay in result.delays_ms]
    note = f"{len(delays_ms)} changes, {len(results)} seeds; {_TIMEOUT_MS:.0f} stands for never"
    rows = [
        experiment.Row(
            measure=f"change in force on all 40 hosts, {name} in ms: {conditions}",
            behaviour=readers,
            value=value,
            target=_DELAY_TARGET_MS,
            note=note,
        )
        for name, value in (
            ("median", statistics.median(delays_ms)),
            ("p99", parallel.quantile(delays_ms, 0.99)),
            ("slowest", max(delays_ms)),
        )
    ]
    calls = sum(result.calls for result in results) / len(delays_ms)
    measure = f"platform calls per change, waiting ones included: {conditions}"
    return [*rows, experiment.Row(measure=measure, behaviour=readers, value=calls, note=note)]


class _CostResult(msgspec.Struct, frozen=True, kw_only=True):
    """Mean control traffic of a fleet.

    Attributes
    ----------
    calls_per_s : float
        Calls of all hosts to the platform.
    far_bytes_per_s : float
        Bytes sent between the regions, in each direction.
    host_bytes_per_s : float
        Bytes that a host sends to other hosts.
    """

    calls_per_s: float
    far_bytes_per_s: float
    host_bytes_per_s: float


def _run_cost(trial: _Trial) -> _CostResult:
    fleet = _start_fleet(trial)
    fleet.channel.conditions.loss = 0.0 if trial.readers == "rendezvous" else 1.0
    duration_ms = (
        _OBSERVATION_MS if trial.hosts_per_data_centre <= 10 else _LARGE_FLEET_OBSERVATION_MS
    )
    interval_ms = _DAY_S * _MS_PER_S / _CHANGES_PER_DAY
    initial = (fleet.platform.calls, fleet.channel.far_bytes, fleet.channel.near_bytes)
    for number in range(round(duration_ms / interval_ms)):
        fleet.platform.publish("workspace", "w", _workspace_spec(2 + number))
        fleet.run(interval_ms)
    seconds = round(duration_ms / interval_ms) * interval_ms / _MS_PER_S
    calls = fleet.platform.calls - initial[0]
    # The channel counts both directions; each carries half of the bytes.
    far_bytes = (fleet.channel.far_bytes - initial[1]) / 2
    all_bytes = 2 * far_bytes + fleet.channel.near_bytes - initial[2]
    return _CostResult(
        calls_per_s=calls / seconds,
        far_bytes_per_s=far_bytes / seconds,
        host_bytes_per_s=all_bytes / seconds / len(fleet.hosts),
    )


@experiment.experiments.register("dissemination_cost")
def control_cost(seed: int) -> list[experiment.Row]:
    """Measure platform calls and bytes between hosts at 4,700 changes a day, 40 and 888 hosts."""
    trials = [
        _Trial(seed=seed, readers=readers, hosts_per_data_centre=hosts)
        for readers in _READER_BEHAVIOURS
        for hosts in (10, 222)
    ]
    costs = parallel.run_trials(_run_cost, trials)
    rows = []
    for trial, cost in zip(trials, costs, strict=True):
        hosts = 4 * trial.hosts_per_data_centre
        figures = [
            ("platform calls per s", cost.calls_per_s, _CALL_TARGET_PER_S),
            ("platform calls per h", cost.calls_per_s * _HOUR_MS / _MS_PER_S, None),
        ]
        if trial.readers == "rendezvous":  # the hosts of the baseline exchange no messages
            figures += [
                (
                    "bytes per s each way between regions",
                    cost.far_bytes_per_s,
                    _REGION_LINK_TARGET_BYTES_PER_S,
                ),
                ("bytes per s sent by a host", cost.host_bytes_per_s, _HOST_TARGET_BYTES_PER_S),
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
    """Measure the delay until a change is in force on all of 888 hosts."""
    trial = _Trial(seed=seed, readers="rendezvous", hosts_per_data_centre=222, changes=10)
    result = _run_changes(trial)
    note = f"{len(result.delays_ms)} changes, one seed, 5% loss, a stale reader"
    return [
        experiment.Row(
            measure=f"change in force on all 888 hosts, {name} in ms",
            behaviour="rendezvous",
            value=value,
            target=_LARGE_FLEET_DELAY_TARGET_MS,
            note=note,
        )
        for name, value in (
            ("median", statistics.median(result.delays_ms)),
            ("slowest", max(result.delays_ms)),
        )
    ]


class _DetectionResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run of failure detection.

    Attributes
    ----------
    first_host_ms, most_hosts_ms : float
        Time from the stop of a host until one host, and until 36 of the 39 others, suspect it.
    false_suspicions : int
        Suspicions of live hosts before the stop, of the newest 512 decisions of each host.
    """

    first_host_ms: float
    most_hosts_ms: float
    false_suspicions: int


def _run_detection(seed: int) -> _DetectionResult:
    fleet = _start_fleet(_Trial(seed=seed, readers="rendezvous"))
    fleet.channel.conditions.loss = 0.01
    fleet.run(_OBSERVATION_MS)
    false_suspicions = sum(
        decision.choice == "suspected"
        for host in fleet.hosts.values()
        for decision in host.decisions.newest(512)
    )
    stopped_host = "h0104"
    fleet.stop(stopped_host)
    first_host_ms = fleet.run_until(
        lambda: _count_suspecting(fleet, stopped_host) >= 1, _TIMEOUT_MS
    )
    further_ms = fleet.run_until(lambda: _count_suspecting(fleet, stopped_host) >= 36, _TIMEOUT_MS)
    return _DetectionResult(
        first_host_ms=first_host_ms,
        most_hosts_ms=first_host_ms + further_ms,
        false_suspicions=false_suspicions,
    )


def _count_suspecting(fleet: spreading.Fleet, suspect: str) -> int:
    return sum(not host.engine.membership.reachable(suspect) for host in fleet.hosts.values())


@experiment.experiments.register("membership_detection")
def failure_detection(seed: int) -> list[experiment.Row]:
    """Measure the delay until a stopped host is suspected, and suspicions of live hosts.

    The fleet runs for 300 s before the host stops; every suspicion in that time is a false one.
    """
    results = parallel.run_trials(
        _run_detection, [seed * 100 + index for index in range(_TRIAL_COUNT)]
    )
    note = f"{_TRIAL_COUNT} seeds, 40 hosts, 1% loss"
    minutes = _TRIAL_COUNT * _OBSERVATION_MS / 60_000.0
    figures = (
        (
            "first host suspects a dead one, median in ms",
            [result.first_host_ms for result in results],
        ),
        (
            "36 of 39 hosts suspect a dead one, median in ms",
            [result.most_hosts_ms for result in results],
        ),
    )
    rows = [
        experiment.Row(
            measure=measure, behaviour="probes", value=statistics.median(values), note=note
        )
        for measure, values in figures
    ]
    false_suspicions = sum(result.false_suspicions for result in results)
    measure = f"false suspicions in {minutes:.0f} simulated minutes"
    return [
        *rows,
        experiment.Row(
            measure=measure, behaviour="probes", value=false_suspicions, target=0.0, note=note
        ),
    ]
