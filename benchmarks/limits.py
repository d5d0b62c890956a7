"""Benchmark of the rate limiters, for workspaces that stay within their rate or exceed it.

Run ``python -m benchmarks.limits`` for a table of seed 1, or with other seeds as arguments. A
request counts as in-rate if a single token bucket with the workspace's rate and burst would admit
it, so that each refusal of an in-rate request is an error of the limiter.
"""

import random
import sys
import time
from collections.abc import Callable

import msgspec

from benchmarks import experiment, limits_fleet, parallel
from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.limits import bucket, escrow, partitions, reference
from verbenadrum.records import types

__all__ = [
    "BEHAVIOURS",
    "DEPLOYMENTS",
    "Trial",
    "measure_in_rate",
    "measure_over_rate",
    "run_trial",
]

_WARM_UP_MS = 15_000.0
_TRAFFIC_DURATION_MS = 60_000.0
_COOL_DOWN_MS = 3_000.0
_LOAD_FRACTION = 0.8
_REPLACEMENT_INTERVAL_MS = 15_000.0
_LEAVING_DURATION_MS = 3_000.0
_READY_DELAY_MS = 3_000.0
_EPOCH_CHANGE_DELAY_MS = 5_000.0
_HOST_LIST_LAG_MS = (500.0, 3_000.0)
# Target of the limiter traffic between two regions: 1% of 30 Mbit/s.
_MAX_LINK_BYTES_PER_S = 0.01 * 30e6 / 8
_MS_PER_S = 1000.0
_SENDING_REGIONS = {"cut": ("r0", "r1"), "one-sided": ("r0",)}

_ESCROW_ON_VOUCHED = "escrow on vouched epochs"

# Requests per second and burst of each workspace, by deployment.
DEPLOYMENTS: dict[str, tuple[tuple[float, float], ...]] = {
    "board": ((200, 400), (120, 240), (60, 120), (20, 40), (10, 20), (5, 10), (2, 4), (2, 4)),
    "forja": ((150, 300), (100, 200), (30, 60), (8, 16), (4, 8), (2, 4), (2, 4), (1, 4)),
}


def _make_data_centre_escrow(**arguments: object) -> escrow.EscrowLimiter:
    return escrow.EscrowLimiter(scope=partitions.Scope.DATA_CENTRE, **arguments)


BEHAVIOURS: dict[str, Callable[..., ports.Limiter] | str] = {
    "escrow": "escrow",
    _ESCROW_ON_VOUCHED: "escrow",
    "escrow, data centre homes": _make_data_centre_escrow,
    "static_split": "static_split",
    "global_owner": "global_owner",
}

# Limiters that the experiments report; the others are run only by the command.
_REPORTED_BEHAVIOURS = ("escrow", _ESCROW_ON_VOUCHED, "static_split", "global_owner")


class Result(msgspec.Struct, kw_only=True):
    """Totals of one run.

    Attributes
    ----------
    sent, refused : int
        Number of requests that the limiter decided, and of those that it refused.
    excess : float
        Largest number of requests admitted above burst + rate x window, over all windows and
        workspaces.
    admitted_fraction : float
        Least fraction of a workspace's rate that was admitted.
    wait_p99_ms : float
        99th percentile of the time until an admission.
    link_bytes_per_s : float
        Limiter traffic in the busiest direction between two regions.
    messages_per_s, busiest_messages_per_s : float
        Messages sent by a host, on average, and by the host that sends most.
    cpu_ms_per_s : float
        CPU time of the simulation per host and simulated second.
    """

    sent: int
    refused: int
    excess: float
    admitted_fraction: float
    wait_p99_ms: float
    link_bytes_per_s: float
    messages_per_s: float
    busiest_messages_per_s: float
    cpu_ms_per_s: float


class Traffic:
    """Requests of every workspace, sent to random hosts of a load balancer's ready set.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    limits : tuple
        Rate and burst of each workspace.
    load : float
        Mean sending rate as a fraction of the workspace's rate.
    seed : int
        Seed of the times and of the chosen hosts.
    regions : tuple of str
        Regions that each send at an equal part of the rate, within that part of the limit; empty
        if the requests go to all regions and share one limit.
    in_rate : bool
        Whether requests that a single token bucket would refuse are not sent.

    Attributes
    ----------
    ready : set of HostId
        Hosts that the load balancer considers ready.
    """

    def __init__(
        self,
        *,
        fleet: limits_fleet.Fleet,
        limits: tuple[tuple[float, float], ...],
        load: float,
        seed: int,
        regions: tuple[str, ...] = (),
        in_rate: bool = True,
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._load = load
        self._in_rate = in_rate
        self.ready: set[ids.HostId] = set(fleet.names)
        for index, (rate, burst) in enumerate(limits):
            for region in regions or ("",):
                count = max(1, len(regions))
                self._start_sender(
                    ids.WorkspaceId(f"w{index}"), region, rate / count, burst / count
                )

    def _start_sender(
        self, workspace: ids.WorkspaceId, region: str, rate: float, burst: float
    ) -> None:
        token_bucket = bucket.TokenBucket(
            now_ms=_WARM_UP_MS, tokens=burst, rate_per_s=rate, burst=burst
        )

        def send_and_schedule() -> None:
            now_ms = self._fleet.now_ms
            if not self._in_rate or token_bucket.take(now_ms=now_ms):
                self._fleet.request(self._choose_host(region), workspace)
            schedule_next()

        def schedule_next() -> None:
            gap_ms = self._rng.expovariate(self._load * rate) * _MS_PER_S
            if self._fleet.now_ms + gap_ms < _WARM_UP_MS + _TRAFFIC_DURATION_MS:
                self._fleet.at(self._fleet.now_ms + gap_ms, send_and_schedule)

        self._fleet.at(_WARM_UP_MS, schedule_next)

    def _choose_host(self, region: str) -> ids.HostId:
        names = [
            name
            for name in sorted(self.ready & self._fleet.hosts.keys())
            if not region or self._fleet.hosts[name].row.region == region
        ]
        return self._rng.choice(names)


class Replacements:
    """Replaces one host in ten each minute, alternately with and without a leaving state."""

    def __init__(self, *, fleet: limits_fleet.Fleet, traffic: Traffic, seed: int) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._rng = random.Random(seed)
        self._replacement_count = 0
        fleet.at(_WARM_UP_MS + _REPLACEMENT_INTERVAL_MS / 2, self._replace_next)

    def _replace_next(self) -> None:
        fleet = self._fleet
        if fleet.now_ms > _WARM_UP_MS + _TRAFFIC_DURATION_MS:
            return
        fleet.at(fleet.now_ms + _REPLACEMENT_INTERVAL_MS, self._replace_next)
        name = self._rng.choice(sorted(self._traffic.ready & fleet.hosts.keys()))
        self._replacement_count += 1
        row = fleet.hosts[name].row
        self._add_host(
            msgspec.structs.replace(row, host=ids.HostId(f"{name}n{self._replacement_count}"))
        )
        self._traffic.ready.discard(name)
        if self._replacement_count % 2:
            self._publish(frozenset({name}))
            fleet.at(fleet.now_ms + _LEAVING_DURATION_MS, lambda: self._stop_host(name))
        else:
            self._stop_host(name)

    def _add_host(self, row: ports.HostRow) -> None:
        self._fleet.add(row, member=False)
        self._publish(frozenset())
        members = self._fleet.fake_epochs.members[row.data_centre]
        now_ms = self._fleet.now_ms
        self._fleet.at(now_ms + _EPOCH_CHANGE_DELAY_MS, lambda: members.add(row.host))
        self._fleet.at(now_ms + _READY_DELAY_MS, lambda: self._traffic.ready.add(row.host))

    def _stop_host(self, name: ids.HostId) -> None:
        members = self._fleet.fake_epochs.members[self._fleet.hosts[name].row.data_centre]
        self._fleet.remove(name)
        members.add(name)
        self._fleet.at(self._fleet.now_ms + _EPOCH_CHANGE_DELAY_MS, lambda: members.discard(name))
        self._publish(frozenset())

    def _publish(self, leaving: frozenset[ids.HostId]) -> None:
        self._fleet.publish_hosts(
            lag_ms=lambda: self._rng.uniform(*_HOST_LIST_LAG_MS), leaving=leaving
        )


class HostFaults:
    """Makes one host fail every 12 s, four times in all, while the host list remains unchanged.

    With ``one_way``, all messages that the host sends are lost for 10 s; otherwise it stops.
    """

    def __init__(
        self, *, fleet: limits_fleet.Fleet, traffic: Traffic, seed: int, one_way: bool
    ) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._rng = random.Random(seed)
        for index in range(4):
            action = self._block_sending if one_way else self._stop_host
            fleet.at(_WARM_UP_MS + 5_000.0 + 12_000.0 * index, action)

    def _choose_host(self) -> ids.HostId:
        name = self._rng.choice(sorted(self._traffic.ready))
        self._traffic.ready.discard(name)
        return name

    def _stop_host(self) -> None:
        name = self._choose_host()
        members = self._fleet.fake_epochs.members[self._fleet.hosts[name].row.data_centre]
        self._fleet.remove(name)
        # No host has detected the failure, so the host stays a member in the epochs.
        members.add(name)

    def _block_sending(self) -> None:
        name = self._choose_host()
        cut = {(name, "r0"), (name, "r1")}
        self._fleet.faults.cut.update(cut)

        def heal() -> None:
            self._fleet.faults.cut.difference_update(cut)
            self._traffic.ready.add(name)

        self._fleet.at(self._fleet.now_ms + 10_000.0, heal)


def _make_fleet(
    behaviour: str, limits: tuple[tuple[float, float], ...], seed: int
) -> limits_fleet.Fleet:
    epochs = "vouched" if behaviour == _ESCROW_ON_VOUCHED else ""
    fleet = limits_fleet.Fleet(seed=seed, limiter=BEHAVIOURS[behaviour], epochs=epochs)
    rows = limits_fleet.layout(2, 2, 10)
    data_centres = sorted({(row.data_centre, row.region) for row in rows})
    shares = tuple(
        types.DataCentreShare(
            data_centre=name, region=region, start_until_wall_ms=limits_fleet.WALL_MS + _WARM_UP_MS
        )
        for name, region in data_centres
    )
    fleet.publish(types.RecordKind.FLEET, "fleet", types.FleetSpec(data_centres=shares))
    for index, (rate, burst) in enumerate(limits):
        spec = types.WorkspaceSpec(rate_per_s=rate, burst=burst)
        fleet.publish(types.RecordKind.WORKSPACE, f"w{index}", spec)
    for row in rows:
        fleet.add(row)
    fleet.publish_hosts()
    return fleet


def _measure(fleet: limits_fleet.Fleet, limits: tuple[tuple[float, float], ...]) -> Result:
    fleet.run(_WARM_UP_MS)
    fleet.sent.clear()
    fleet.measure_bytes = True
    started_s = time.process_time()
    fleet.run(_WARM_UP_MS + _TRAFFIC_DURATION_MS + _COOL_DOWN_MS)
    spent_ms = (time.process_time() - started_s) * _MS_PER_S
    seconds = (_TRAFFIC_DURATION_MS + _COOL_DOWN_MS) / _MS_PER_S
    ended = [row for row in fleet.log if row.granted is not None]
    waits = sorted(row.ended_ms - row.at_ms for row in ended if row.granted) or [0.0]
    admitted = {f"w{index}": fleet.admitted(f"w{index}") for index in range(len(limits))}
    return Result(
        sent=len(ended),
        refused=sum(not row.granted for row in ended),
        excess=max(
            reference.excess(admitted[f"w{index}"], rate_per_s=rate, burst=burst)
            for index, (rate, burst) in enumerate(limits)
        ),
        admitted_fraction=min(
            sum(at_ms < _WARM_UP_MS + _TRAFFIC_DURATION_MS for at_ms in admitted[f"w{index}"])
            / (rate * _TRAFFIC_DURATION_MS / _MS_PER_S)
            for index, (rate, _) in enumerate(limits)
        ),
        wait_p99_ms=waits[int(len(waits) * 0.99)],
        link_bytes_per_s=max(fleet.link_bytes.values(), default=0) / seconds,
        messages_per_s=sum(fleet.sent.values()) / len(fleet.hosts) / seconds,
        busiest_messages_per_s=max(fleet.sent.values(), default=0) / seconds,
        cpu_ms_per_s=spent_ms / len(fleet.hosts) / seconds,
    )


def measure_in_rate(behaviour: str, deployment: str, script: str, seed: int) -> Result:
    """Measure requests within every rate, under the faults of one of ``_SCRIPTS``."""
    limits = DEPLOYMENTS[deployment]
    fleet = _make_fleet(behaviour, limits, seed)
    traffic = Traffic(
        fleet=fleet,
        limits=limits,
        load=_LOAD_FRACTION,
        seed=seed,
        regions=_SENDING_REGIONS.get(script, ()),
    )
    if script == "replaced":
        Replacements(fleet=fleet, traffic=traffic, seed=seed)
    if script in ("unlisted", "one-way"):
        one_way = script == "one-way"
        HostFaults(fleet=fleet, traffic=traffic, seed=seed, one_way=one_way)
    if script == "cut":
        cut = {("r0", "r1"), ("r1", "r0")}
        fleet.at(_WARM_UP_MS + 5_000.0, lambda: fleet.faults.cut.update(cut))
    return _measure(fleet, limits)


def measure_over_rate(behaviour: str, deployment: str, seed: int) -> Result:
    """Measure requests at five times the rate of every workspace."""
    limits = DEPLOYMENTS[deployment]
    fleet = _make_fleet(behaviour, limits, seed)
    Traffic(fleet=fleet, limits=limits, load=5.0, seed=seed, in_rate=False)
    return _measure(fleet, limits)


# Name of a fault script, measure in the report, and target of the measure, if it has one.
_SCRIPTS = (
    ("quiet", "in-rate requests refused, no fault (%)", 0.01),
    ("replaced", "in-rate requests refused, 1 host in 10 replaced a minute (%)", 0.1),
    ("cut", "in-rate requests refused, regions cut (%)", 0.5),
    ("unlisted", "in-rate requests refused, 4 hosts die and stay listed (%)", None),
    ("one-way", "in-rate requests refused, hosts heard by nobody for 10 s (%)", None),
    ("one-sided", "in-rate requests refused, all sent through one region (%)", None),
)


class Trial(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run."""

    deployment: str
    script: str
    behaviour: str
    seed: int


def run_trial(trial: Trial) -> Result:
    """Run one trial; the script ``5x`` stands for `measure_over_rate`."""
    if trial.script == "5x":
        return measure_over_rate(trial.behaviour, trial.deployment, trial.seed)
    return measure_in_rate(trial.behaviour, trial.deployment, trial.script, trial.seed)


@experiment.experiments.register("limits-in-rate")
def in_rate(seed: int) -> list[experiment.Row]:
    """Return the in-rate refusals, excess and peer traffic of the limiters."""
    measures = {script: (measure, target) for script, measure, target in _SCRIPTS}
    trials = [
        Trial(deployment=deployment, script=script, behaviour=behaviour, seed=seed)
        for deployment in DEPLOYMENTS
        for script in measures
        for behaviour in _REPORTED_BEHAVIOURS
    ]
    rows = []
    for trial, result in zip(trials, parallel.run_trials(run_trial, trials), strict=True):
        rows.extend(_rows(result, trial, *measures[trial.script]))
    return rows


@experiment.experiments.register("limits-over-rate")
def over_rate(seed: int) -> list[experiment.Row]:
    """Return the admitted part of the rate and the excess, for senders at five times the rate."""
    trials = [
        Trial(deployment=deployment, script="5x", behaviour=behaviour, seed=seed)
        for deployment in DEPLOYMENTS
        for behaviour in _REPORTED_BEHAVIOURS
    ]
    rows = []
    for trial, result in zip(trials, parallel.run_trials(run_trial, trials), strict=True):
        note = f"{trial.deployment}, 5x, {result.sent} requests"
        rows.append(
            experiment.Row(
                measure="least admitted part of the rate, sending 5x (%)",
                behaviour=trial.behaviour,
                value=round(100.0 * result.admitted_fraction, 2),
                target=95.0,
                at_most=False,
                note=note,
            )
        )
        rows.append(_excess_row(result, trial.behaviour, note))
    return rows


def _excess_row(result: Result, behaviour: str, note: str) -> experiment.Row:
    return experiment.Row(
        measure="most admitted above burst + rate x window (requests)",
        behaviour=behaviour,
        value=max(0.0, round(result.excess, 6)),
        target=0.0,
        note=note,
    )


def _rows(result: Result, trial: Trial, measure: str, target: float | None) -> list[experiment.Row]:
    behaviour = trial.behaviour
    note = f"{trial.deployment}, {trial.script}, {result.sent} requests"
    max_link_bytes_per_s = _MAX_LINK_BYTES_PER_S
    figures = (
        (measure, 100.0 * result.refused / result.sent, target),
        ("wait for a token at p99 (ms)", result.wait_p99_ms, None),
        ("limiter bytes over the region link (B/s)", result.link_bytes_per_s, max_link_bytes_per_s),
        ("limiter messages a host sends (1/s)", result.messages_per_s, None),
    )
    rows = [
        experiment.Row(
            measure=name, behaviour=behaviour, value=round(value, 4), target=bound, note=note
        )
        for name, value, bound in figures
    ]
    return [*rows, _excess_row(result, behaviour, note)]


def main(seeds: list[int]) -> None:
    """Print a table with one line for each run."""
    print(
        "deployment script behaviour seed sent refused% excess admitted% wait99_ms link_B/s"
        " msgs/s busiest cpu_ms/s"
    )
    trials = [
        Trial(deployment=deployment, script=script, behaviour=behaviour, seed=seed)
        for deployment in DEPLOYMENTS
        for script in (*(name for name, _, _ in _SCRIPTS), "5x")
        for behaviour in BEHAVIOURS
        for seed in seeds
    ]
    for trial, result in zip(trials, parallel.run_trials(run_trial, trials), strict=True):
        _print(trial, result)


def _print(trial: Trial, result: Result) -> None:
    print(
        f"{trial.deployment:6} {trial.script:9} {trial.behaviour:26} {trial.seed:3}"
        f" {result.sent:6}"
        f" {100 * result.refused / result.sent:8.4f} {result.excess:9.3f}"
        f" {100 * result.admitted_fraction:6.1f} {result.wait_p99_ms:8.1f}"
        f" {result.link_bytes_per_s:8.0f} {result.messages_per_s:7.1f}"
        f" {result.busiest_messages_per_s:7.1f} {result.cpu_ms_per_s:6.2f}",
        flush=True,
    )


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or [1])
