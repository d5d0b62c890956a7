"""Measures the delay until faulty backend servers are ejected, and ejections of healthy ones.

Hosts, backend servers and callers run in simulated time. ``python -m benchmarks.health`` prints a
table of a short run; ``--full`` measures 200 onsets of each fault, and 20 seeds of 60 simulated
minutes of disturbances in which healthy servers must stay in service.
"""

import functools
import math

import msgspec
from absl import app, flags

from benchmarks import experiment, parallel
from standins import stepped_fleet
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours

assert behaviours  # Importing it registers the implementations that are chosen by name.

__all__ = ["detection", "wrong_ejections"]

_FULL = flags.DEFINE_bool(
    "full", False, "Measure 200 onsets of each fault, and 20 seeds of 60 simulated minutes."
)

# Pairs of a placement and a health behaviour.
BEHAVIOUR_PAIRS = (("pool_home", "sequential"), ("power_of_two", "consecutive"))
_DATA_CENTRES = ("r1a", "r1b", "r2a", "r2b")
_SERVER_COUNT = 20
_MEDIAN_SERVICE_MS = 40.0
_SERVICE_SIGMA = 0.6
_WARM_UP_MS = 15_000.0
_DETECTION_TIMEOUT_MS = 30_000.0
_MINUTE_MS = 60_000.0
_WIDE_SERVICE_SIGMA = 1.0
_HOST_PAUSE_MS = 2_000.0


class DetectionTrial(msgspec.Struct, frozen=True, kw_only=True):
    """One run in which a fault starts at one backend server.

    Attributes
    ----------
    placement, health : str
        Registered names of the behaviours.
    fault : str
        ``gray`` for a server that never answers 30% of its requests, ``stalled`` for one that
        answers none, ``dead`` for one that refuses connections.
    seed : int
        Seed of the fleet.
    """

    placement: str
    health: str
    fault: str
    seed: int


class DisturbanceTrial(msgspec.Struct, frozen=True, kw_only=True):
    """One run with disturbances, which counts the ejections of healthy servers.

    Attributes
    ----------
    placement, health : str
        Registered names of the behaviours.
    minutes : int
        Simulated duration in minutes.
    seed : int
        Seed of the fleet.
    """

    placement: str
    health: str
    minutes: int
    seed: int


class DisturbanceResult(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one run with disturbances.

    Attributes
    ----------
    wrong : int
        Ejections of healthy servers.
    right : int
        Ejections of servers that were down or had restarted less than a second before.
    poison_crashes : int
        Crashes of servers, all caused by poison requests.
    requests : int
        Requests sent, poison requests included.
    """

    wrong: int
    right: int
    poison_crashes: int
    requests: int


def make_fleet(*, placement: str, health: str, seed: int, sigma: float) -> stepped_fleet.Fleet:
    """Return a fleet of 40 hosts in two regions with one pool of 20 backend servers."""
    servers = {f"s{index:02}": _DATA_CENTRES[index % 4] for index in range(_SERVER_COUNT)}
    return stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(10),
        servers=servers,
        placement=placement,
        health=health,
        seed=seed,
        median_ms=_MEDIAN_SERVICE_MS,
        sigma=sigma,
    )


def half_load_per_s(sigma: float) -> float:
    """Return the rate, in requests a second, at which half of the pool's slots are busy.

    ``sigma`` is the standard deviation of the logarithm of the service time.
    """
    mean_ms = _MEDIAN_SERVICE_MS * math.exp(sigma**2 / 2.0)
    return _SERVER_COUNT * stepped_fleet.SLOTS * 0.5 / mean_ms * 1000.0


def detect(trial: DetectionTrial) -> float:
    """Return the milliseconds from a fault's onset until any host ejects the server.

    The delay is infinite if no host does so within 30 s.
    """
    fleet = make_fleet(
        placement=trial.placement, health=trial.health, seed=trial.seed, sigma=_SERVICE_SIGMA
    )
    fleet.keep_logs = False
    next_path = functools.partial(_random_path, fleet)
    fleet.load(workspace="w", per_s=half_load_per_s(_SERVICE_SIGMA), path=next_path)
    fleet.run(_WARM_UP_MS + fleet.rng.random() * 1000.0)
    name = fleet.rng.choice(sorted(fleet.servers))
    server = fleet.servers[name]
    if trial.fault == "dead":
        server.down = True
    else:
        server.stall_fraction = {"gray": 0.3, "stalled": 1.0}[trial.fault]
    onset_ms = fleet.clock.now_ms()
    while fleet.clock.now_ms() - onset_ms < _DETECTION_TIMEOUT_MS:
        fleet.run(10.0)
        if name in fleet.ejected():
            return fleet.clock.now_ms() - onset_ms
    return math.inf


def run_disturbances(trial: DisturbanceTrial) -> DisturbanceResult:
    """Count ejections over the minutes of a run, each with a disturbance or none.

    The load keeps a quarter of the slots busy. An ejection is wrong unless its server is down, or
    has restarted less than a second before.
    """
    fleet = make_fleet(
        placement=trial.placement, health=trial.health, seed=trial.seed, sigma=_WIDE_SERVICE_SIGMA
    )
    fleet.keep_logs = False
    ejections = {"wrong": 0, "right": 0}

    def count_ejection(decision: ring.Decision) -> None:
        if decision.kind is ring.DecisionKind.EJECT and decision.choice == "ejected":
            server = fleet.servers[decision.subject]
            just_restarted = fleet.clock.now_ms() - server.up_since_ms < 1_000.0
            ejections["right" if server.down or just_restarted else "wrong"] += 1

    fleet.decision_listeners.append(count_ejection)
    per_s = half_load_per_s(_WIDE_SERVICE_SIGMA) / 2.0
    fleet.load(workspace="w", per_s=per_s, path=functools.partial(_random_path, fleet))
    for minute in range(trial.minutes):
        _start_disturbance(fleet, minute)
        fleet.run(_MINUTE_MS)
    crashes = sum(server.crashes for server in fleet.servers.values())
    return DisturbanceResult(poison_crashes=crashes, requests=fleet.counts["requests"], **ejections)


def _random_path(fleet: stepped_fleet.Fleet) -> str:
    return f"/item/{fleet.rng.randrange(50_000)}"


def _start_disturbance(fleet: stepped_fleet.Fleet, minute: int) -> None:
    """End the disturbance of the minute before, and start the one of this minute.

    Every eight minutes have, in turn: none, a slow link between the regions, paused hosts,
    links cut in one direction, none, a poison request, none, and short pauses of servers.
    """
    fleet.cut.clear()
    fleet.extra_ms = _no_delay_ms
    for server in fleet.servers.values():
        server.pause_rate_per_s = 0.0
        server.crash_path = ""
    cycle_minute = minute % 8
    if cycle_minute == 1:
        fleet.extra_ms = _region_delay_ms
    elif cycle_minute == 3:
        fleet.cut.update(_draw_one_way_cuts(fleet))
    elif cycle_minute == 5:
        _send_poison(fleet, f"/poison/{minute}")
    elif cycle_minute == 7:
        for server in fleet.servers.values():
            server.pause_rate_per_s = 0.05
    elif cycle_minute == 2:
        _pause_hosts(fleet)


def _draw_one_way_cuts(fleet: stepped_fleet.Fleet) -> set[tuple[str, str]]:
    """Return the pairs of sender and receiver whose traffic is lost.

    They are random pairs of hosts, of a host and a server, and of a server and a host. In addition,
    one host receives no answer from any server of the other region.
    """
    hosts, servers = sorted(fleet.hosts), sorted(fleet.servers)
    choose = fleet.rng.choice
    lost_messages = {tuple(fleet.rng.sample(hosts, 2)) for _ in range(80)}
    lost_requests = {(choose(hosts), choose(servers)) for _ in range(20)}
    lost_answers = {(choose(servers), choose(hosts)) for _ in range(5)}
    cut_off_host = choose(hosts)
    lost_from_region = {
        (entry.server, cut_off_host)
        for entry in fleet.entries
        if entry.data_centre[:2] != cut_off_host[:2]
    }
    return lost_messages | lost_requests | lost_answers | lost_from_region


def _pause_hosts(fleet: stepped_fleet.Fleet) -> None:
    for second in range(1, 50, 4):
        host = fleet.hosts[fleet.rng.choice(sorted(fleet.hosts))]
        pause = functools.partial(_pause_host, fleet, host)
        fleet.run_after(second * 1000.0, pause)


def _pause_host(fleet: stepped_fleet.Fleet, host: stepped_fleet.FleetHost) -> None:
    host.paused_until_ms = fleet.clock.now_ms() + _HOST_PAUSE_MS


def _no_delay_ms(sender: str, receiver: str) -> float:
    return 0.0


def _region_delay_ms(sender: str, receiver: str) -> float:
    """Return the added delay in milliseconds: half a second between regions, 0 within one.

    ``receiver`` is a host, or ``region:`` and the region of a backend server.
    """
    destination = receiver.removeprefix("region:")
    return 500.0 if sender[:2] != destination[:2] else 0.0


def _send_poison(fleet: stepped_fleet.Fleet, path: str) -> None:
    for server in fleet.servers.values():
        server.crash_path = path
    for number in range(1, 40):
        host = fleet.rng.choice(sorted(fleet.hosts))
        send = functools.partial(fleet.request, host, workspace="w", path=path)
        fleet.run_after(number * 500.0, send)


def detection_rows(seeds: int) -> list[experiment.Row]:
    """Return the detection delays of each fault under each pair of behaviours.

    Each figure comes from ``seeds`` runs.
    """
    rows = []
    for placement, health in BEHAVIOUR_PAIRS:
        for fault in ("gray", "stalled", "dead"):
            trials = [
                DetectionTrial(placement=placement, health=health, fault=fault, seed=seed)
                for seed in range(1, seeds + 1)
            ]
            delays_ms = parallel.run_trials(detect, trials)
            rows += _delay_rows(fault, f"{placement}+{health}", delays_ms)
    return rows


def _delay_rows(fault: str, behaviour: str, delays_ms: list[float]) -> list[experiment.Row]:
    missed = sum(delay == math.inf for delay in delays_ms)
    note = f"{len(delays_ms)} onsets, {missed} not ejected within 30 s"
    figures = [("median", 0.5), ("p99", 0.99)]
    targets = {("gray", "median"): 2.0, ("gray", "p99"): 5.0}
    targets |= {("stalled", "p99"): 1.0, ("dead", "p99"): 1.0}
    return [
        experiment.Row(
            measure=f"{fault} server, onset to ejection, {name}, s",
            behaviour=behaviour,
            value=round(parallel.quantile(delays_ms, fraction) / 1000.0, 3),
            target=targets.get((fault, name)),
            note=note,
        )
        for name, fraction in figures
    ]


def ejection_rows(*, seeds: int, minutes: int) -> list[experiment.Row]:
    """Return wrong ejections and crashes by poison requests under each pair of behaviours.

    Each figure covers ``seeds`` runs of ``minutes`` simulated minutes.
    """
    rows = []
    for placement, health in BEHAVIOUR_PAIRS:
        trials = [
            DisturbanceTrial(placement=placement, health=health, minutes=minutes, seed=seed)
            for seed in range(1, seeds + 1)
        ]
        results = parallel.run_trials(run_disturbances, trials)
        poison_requests = sum(1 for minute in range(minutes) if minute % 8 == 5) * seeds
        note = f"{seeds} seeds of {minutes} min, {sum(r.requests for r in results)} requests"
        behaviour = f"{placement}+{health}"
        rows += [
            experiment.Row(
                measure="healthy servers wrongly ejected",
                behaviour=behaviour,
                value=sum(result.wrong for result in results),
                target=0.0,
                note=f"{note}; {sum(r.right for r in results)} ejections while down",
            ),
            experiment.Row(
                measure="servers taken down by one poison request, mean",
                behaviour=behaviour,
                value=round(sum(r.poison_crashes for r in results) / max(1, poison_requests), 3),
                target=2.0,
                note=f"{poison_requests} poison requests, each sent 39 times",
            ),
        ]
    return rows


@experiment.experiments.register("detection")
def detection(seed: int) -> list[experiment.Row]:
    """Measure the delay from a fault's onset to the ejection, over 30 or 31 seeds.

    ``seed`` chooses the number of seeds only: 31 if it is odd.
    """
    return detection_rows(30 + seed % 2)


@experiment.experiments.register("wrong_ejections")
def wrong_ejections(seed: int) -> list[experiment.Row]:
    """Measure wrong ejections in 4 runs of 8 simulated minutes; ``seed`` is ignored."""
    return ejection_rows(seeds=4, minutes=8)


def main(argv: list[str]) -> None:
    """Print the figures as a table."""
    del argv
    rows = detection_rows(200 if _FULL.value else 40)
    rows += (
        ejection_rows(seeds=20, minutes=60) if _FULL.value else ejection_rows(seeds=5, minutes=16)
    )
    for line in parallel.table(rows):
        print(line)


if __name__ == "__main__":
    app.run(main)
