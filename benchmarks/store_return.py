"""Measures a platform that comes back from an older copy of its records, in simulated time.

A change that is written after the return is compared with one on a calm day: the time until each
host has it in force, the calls to the platform and the bytes between hosts. ``counter`` stands for
answers of the platform that state no generation. The experiment is registered in
`benchmarks.experiment`.
"""

import random
import statistics

import msgspec

from benchmarks import experiment, parallel
from standins import spreading, writers
from verbenadrum.dissemination import duty

__all__ = ["store_return"]

_SIZES = (44, 293, 890)
_DATA_CENTRES = 4
_SERVER_COUNT = 40
_TRIAL_COUNTS = {44: 6, 293: 3, 890: 2}
_RETURNS_PER_TRIAL = {44: 5, 293: 3, 890: 2}
_TIMEOUT_MS = 10_000.0
_LOAD_TIMEOUT_MS = 20_000.0
_SETTLE_MS = 3_000.0
_LOST_MS = 4_000.0
_WRITE_INTERVAL_MS = 100.0
_AWAY_MS = 500.0
_LATEST_CHANGE_MS = 1_500.0
_SERVERS_WRITE_MS = 2_000.0
_KEPT_AFTER_MS = 1_000.0
_LOSS_FRACTION = 0.01
_DELAY_TARGET_MS = 2_500.0
_MS_PER_S = 1_000.0
_BEHAVIOURS = ("counter", "generation")


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a fleet of two regions with two data centres each.

    Attributes
    ----------
    seed : int
        Seed of the fleet and of the writers.
    hosts : int
        Number of hosts.
    behaviour : str
        ``generation`` if the platform's answers state it, ``counter`` if not.
    """

    seed: int
    hosts: int
    behaviour: str


class _Period(msgspec.Struct, frozen=True, kw_only=True):
    """The 10 s from a return on, or 10 s of a calm day, with one configuration written in them.

    Attributes
    ----------
    delays_ms : list of float
        Time from the writing until the change is in force, for each host; at most `_TIMEOUT_MS`.
    calls : int
        Calls to the platform of all hosts.
    bytes_per_host : float
        Bytes that a host sends to others, on average.
    kept_rows, kept_bytes : int
        Records that a host holds 1 s after the return and the platform does not have so, and the
        size of their envelopes: the most of any host.
    """

    delays_ms: list[float]
    calls: int
    bytes_per_host: float
    kept_rows: int = 0
    kept_bytes: int = 0


class _Result(msgspec.Struct, frozen=True, kw_only=True):
    """Periods of one run: calm ones, some in which all servers write, and those after returns."""

    calm: list[_Period]
    written: list[_Period]
    returned: list[_Period]


def _start_fleet(trial: _Trial) -> tuple[spreading.Fleet, writers.Writers]:
    fleet = spreading.Fleet(seed=trial.seed, hosts=-(-trial.hosts // _DATA_CENTRES))
    for name in fleet.host_names()[trial.hosts :]:
        fleet.stop(name)
    fleet.platform.list_hosts(fleet.platform.rows[: trial.hosts])
    fleet.platform.states_generation = trial.behaviour == "generation"
    written = writers.Writers(fleet=fleet, rng=random.Random(trial.seed))
    # Only what is written after a return is measured.
    written.operator_rewrites = False
    written.publish_configuration()
    for index in range(_SERVER_COUNT):
        written.join(f"s{index:02}")
    fleet.run_until(lambda: fleet.all_have(fleet.platform.revision), _LOAD_TIMEOUT_MS)
    fleet.channel.conditions.loss = _LOSS_FRACTION
    fleet.run(_SETTLE_MS)
    return fleet, written


def _run_trial(trial: _Trial) -> _Result:
    fleet, written = _start_fleet(trial)
    rng = random.Random(trial.seed)
    calm, busy, returned = [], [], []
    for _ in range(_RETURNS_PER_TRIAL[trial.hosts]):
        calm.append(_measure(fleet, written, rng))
        for server in written.servers.values():
            server.rewrite_ms = fleet.time.now_ms() + rng.uniform(100.0, _SERVERS_WRITE_MS)
        busy.append(_measure(fleet, written, rng))
        copy = fleet.platform.copy()
        _write_for_a_while(fleet, written)
        fleet.platform.down = True
        fleet.run(_AWAY_MS)
        fleet.platform.come_back(copy)
        fleet.platform.down = False
        returned.append(_measure(fleet, written, rng, kept=True))
    return _Result(calm=calm, written=busy, returned=returned)


def _write_for_a_while(fleet: spreading.Fleet, written: writers.Writers) -> None:
    """Write what the copy lacks: servers that start again, and one configuration."""
    names = sorted(written.servers)
    for index in range(round(_LOST_MS / _WRITE_INTERVAL_MS)):
        if index == 5:
            written.publish_configuration()
        written.join(names[index % len(names)])
        fleet.run(_WRITE_INTERVAL_MS)


def _measure(
    fleet: spreading.Fleet, written: writers.Writers, rng: random.Random, *, kept: bool = False
) -> _Period:
    """Write a configuration within the next 1.5 s, and watch the hosts for 10 s from now."""
    started_ms = fleet.time.now_ms()
    calls = fleet.platform.calls
    sent_bytes = _sent_bytes(fleet)
    fleet.run(rng.uniform(0.0, _LATEST_CHANGE_MS))
    changed_ms = fleet.time.now_ms()
    version = written.publish_configuration()
    missing = dict(fleet.hosts)
    delays_ms = []
    rows, size = 0, 0
    while fleet.time.now_ms() < started_ms + _TIMEOUT_MS:
        for name, host in list(missing.items()):
            if host.engine.records.configuration_version >= version:
                delays_ms.append(fleet.time.now_ms() - changed_ms)
                del missing[name]
        if kept and fleet.time.now_ms() >= started_ms + _KEPT_AFTER_MS:
            rows, size = _kept(fleet)
            kept = False
        fleet.step()
    return _Period(
        delays_ms=delays_ms + [_TIMEOUT_MS] * len(missing),
        calls=fleet.platform.calls - calls,
        bytes_per_host=(_sent_bytes(fleet) - sent_bytes) / len(fleet.hosts),
        kept_rows=rows,
        kept_bytes=size,
    )


def _sent_bytes(fleet: spreading.Fleet) -> int:
    return fleet.channel.inter_region_bytes + fleet.channel.intra_region_bytes


def _kept(fleet: spreading.Fleet) -> tuple[int, int]:
    """Return number and size of the records of a host that the platform does not have so."""
    published = {
        key: msgspec.json.decode(raw)["spec"] for key, raw in fleet.platform.listing().items()
    }
    most = (0, 0)
    for host in fleet.hosts.values():
        if host.engine.platform_read_plan().reason is not duty.ReadReason.READER:
            continue
        sizes = []
        for _, raw in host.engine.store.envelopes_after(0):
            document = msgspec.json.decode(raw)
            if published.get((document["kind"], document["name"])) != document["spec"]:
                sizes.append(len(raw))
        most = max(most, (len(sizes), sum(sizes)))
    return most


@experiment.experiments.register("store_return")
def store_return(seed: int) -> list[experiment.Row]:
    """Compare a change after a return with one on a calm day, at 44, 293 and 890 hosts."""
    rows = []
    for hosts in _SIZES:
        for behaviour in _BEHAVIOURS:
            trials = [
                _Trial(seed=seed * 100 + index, hosts=hosts, behaviour=behaviour)
                for index in range(_TRIAL_COUNTS[hosts])
            ]
            results = parallel.run_trials(_run_trial, trials)
            for when, periods in (
                ("calm", [period for result in results for period in result.calm]),
                (
                    "calm, 40 servers write",
                    [period for result in results for period in result.written],
                ),
                ("after a return", [period for result in results for period in result.returned]),
            ):
                rows += _rows(hosts, behaviour, when, periods)
    return rows


def _rows(hosts: int, behaviour: str, when: str, periods: list[_Period]) -> list[experiment.Row]:
    delays_ms = [delay for period in periods for delay in period.delays_ms]
    late = sum(delay >= _TIMEOUT_MS for delay in delays_ms) / len(delays_ms)
    note = f"{len(periods)} changes, {_TRIAL_COUNTS[hosts]} seeds; {_TIMEOUT_MS:.0f}: not in 10 s"
    figures = [
        ("change in force at a host, p50 in ms", parallel.quantile(delays_ms, 0.5), None),
        ("change in force at a host, p99 in ms", parallel.quantile(delays_ms, 0.99), None),
        ("change in force at a host, worst in ms", max(delays_ms), _DELAY_TARGET_MS),
        ("hosts without the change 10 s later, %", 100.0 * late, 0.0),
        ("platform calls in 10 s, mean", statistics.mean(each.calls for each in periods), None),
        ("platform calls in 10 s, most", max(each.calls for each in periods), None),
        (
            "bytes sent by a host in 10 s, mean",
            statistics.mean(each.bytes_per_host for each in periods),
            None,
        ),
    ]
    if when == "after a return":
        figures += [
            ("records of a reader that the platform lacks, most", _most_rows(periods), None),
            ("bytes of these records, most", _most_bytes(periods), None),
        ]
    return [
        experiment.Row(
            measure=f"{measure}: {when}, {hosts} hosts",
            behaviour=behaviour,
            value=value,
            target=target,
            note=note,
        )
        for measure, value, target in figures
    ]


def _most_rows(periods: list[_Period]) -> int:
    return max(period.kept_rows for period in periods)


def _most_bytes(periods: list[_Period]) -> int:
    return max(period.kept_bytes for period in periods)
