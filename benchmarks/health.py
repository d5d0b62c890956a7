"""Measures how soon sick servers are ejected, and how often healthy ones are.

``python -m benchmarks.health`` prints the figures of the quick mode; ``--full`` runs 20 seeds
of 60 simulated minutes.
"""

import functools
import math

import msgspec
from absl import app, flags

from benchmarks import experiment, parallel
from standins import stepped_fleet
from verbenadrum.core import behaviours
from verbenadrum.decisions import ring

assert behaviours

__all__ = ["detection", "wrong_ejections"]

_FULL = flags.DEFINE_bool("full", False, "run 20 seeds of 60 simulated minutes")

RIVALS = (("pool_home", "sequential"), ("power_of_two", "consecutive"))
_CENTRES = ("r1a", "r1b", "r2a", "r2b")
_SERVERS = 20
_MEDIAN_MS = 40.0
_SIGMA = 0.6
_WARM_MS = 15_000.0
_GIVE_UP_MS = 30_000.0
_MINUTE_MS = 60_000.0
_NOISY_SIGMA = 1.0
_PAUSE_MS = 2_000.0


class DetectionTrial(msgspec.Struct, frozen=True, kw_only=True):
    """One onset of one fault."""

    placement: str
    health: str
    fault: str
    seed: int


class QuietTrial(msgspec.Struct, frozen=True, kw_only=True):
    """A stretch without sick servers."""

    placement: str
    health: str
    minutes: int
    seed: int


class QuietResult(msgspec.Struct, frozen=True, kw_only=True):
    """What was ejected in a stretch without sick servers."""

    wrong: int
    right: int
    poison_deaths: int
    requests: int


def make_fleet(*, placement: str, health: str, seed: int, sigma: float) -> stepped_fleet.Fleet:
    """Return 40 hosts in two regions before a pool of 20 servers."""
    servers = {f"s{index:02}": _CENTRES[index % 4] for index in range(_SERVERS)}
    return stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(10),
        servers=servers,
        placement=placement,
        health=health,
        seed=seed,
        median_ms=_MEDIAN_MS,
        sigma=sigma,
    )


def half_load_per_s(sigma: float) -> float:
    """Return the requests a second that keep half of the slots busy."""
    mean_ms = _MEDIAN_MS * math.exp(sigma**2 / 2.0)
    return _SERVERS * stepped_fleet.SLOTS * 0.5 / mean_ms * 1000.0


def detect(trial: DetectionTrial) -> float:
    """Return the milliseconds from a fault's onset to the ejection, or infinity."""
    fleet = make_fleet(
        placement=trial.placement, health=trial.health, seed=trial.seed, sigma=_SIGMA
    )
    fleet.keep_logs = False
    paths = functools.partial(_path, fleet)
    fleet.load(workspace="w", per_s=half_load_per_s(_SIGMA), path=paths)
    fleet.run(_WARM_MS + fleet.rng.random() * 1000.0)
    name = fleet.rng.choice(sorted(fleet.servers))
    server = fleet.servers[name]
    if trial.fault == "dead":
        server.down = True
    else:
        server.stall_fraction = {"gray": 0.3, "stalled": 1.0}[trial.fault]
    onset_ms = fleet.clock.now_ms()
    while fleet.clock.now_ms() - onset_ms < _GIVE_UP_MS:
        fleet.run(10.0)
        if name in fleet.ejected():
            return fleet.clock.now_ms() - onset_ms
    return math.inf


def stay_quiet(trial: QuietTrial) -> QuietResult:
    """Count the ejections of healthy servers while the rest of the world misbehaves."""
    fleet = make_fleet(
        placement=trial.placement, health=trial.health, seed=trial.seed, sigma=_NOISY_SIGMA
    )
    fleet.keep_logs = False
    seen = {"wrong": 0, "right": 0}

    def listen(decision: ring.Decision) -> None:
        if decision.kind is ring.DecisionKind.EJECT and decision.choice == "ejected":
            server = fleet.servers[decision.subject]
            recent = fleet.clock.now_ms() - server.up_since_ms < 1_000.0
            seen["right" if server.down or recent else "wrong"] += 1

    fleet.listeners.append(listen)
    per_s = half_load_per_s(_NOISY_SIGMA) / 2.0
    fleet.load(workspace="w", per_s=per_s, path=functools.partial(_path, fleet))
    # The first minute is quiet.
    for minute in range(trial.minutes):
        _disturb(fleet, minute)
        fleet.run(_MINUTE_MS)
    deaths = sum(server.crashes for server in fleet.servers.values())
    return QuietResult(poison_deaths=deaths, requests=fleet.counts["requests"], **seen)


def _path(fleet: stepped_fleet.Fleet) -> str:
    return f"/item/{fleet.rng.randrange(50_000)}"


def _disturb(fleet: stepped_fleet.Fleet, minute: int) -> None:
    """Start one minute's disturbance: each kind in its turn, with a quiet minute after."""
    fleet.cut.clear()
    fleet.extra_ms = _no_delay
    for server in fleet.servers.values():
        server.hiccup_per_s = 0.0
        server.crash_path = ""
    kind = minute % 8
    if kind == 1:
        fleet.extra_ms = _slow_link
    elif kind == 3:
        fleet.cut.update(_one_way_cuts(fleet))
    elif kind == 5:
        _poison(fleet, f"/poison/{minute}")
    elif kind == 7:
        for server in fleet.servers.values():
            server.hiccup_per_s = 0.05
    elif kind == 2:
        _pause_hosts(fleet)


def _one_way_cuts(fleet: stepped_fleet.Fleet) -> set[tuple[str, str]]:
    """Return lost directions: between hosts, from hosts to servers, and the other way."""
    hosts, servers = sorted(fleet.hosts), sorted(fleet.servers)
    draw = fleet.rng.choice
    between = {tuple(fleet.rng.sample(hosts, 2)) for _ in range(80)}
    forth = {(draw(hosts), draw(servers)) for _ in range(20)}
    back = {(draw(servers), draw(hosts)) for _ in range(5)}
    # One host hears from no server of the other region.
    deaf = draw(hosts)
    region = {(entry.server, deaf) for entry in fleet.entries if entry.data_centre[:2] != deaf[:2]}
    return between | forth | back | region


def _pause_hosts(fleet: stepped_fleet.Fleet) -> None:
    for second in range(1, 50, 4):
        host = fleet.hosts[fleet.rng.choice(sorted(fleet.hosts))]
        pause = functools.partial(_pause, fleet, host)
        fleet.after(second * 1000.0, pause)


def _pause(fleet: stepped_fleet.Fleet, host: stepped_fleet.FleetHost) -> None:
    host.paused_until_ms = fleet.clock.now_ms() + _PAUSE_MS


def _no_delay(sender: str, to: str) -> float:
    return 0.0


def _slow_link(sender: str, to: str) -> float:
    """Return half a second for whatever crosses between the regions."""
    target = to.removeprefix("region:")
    return 500.0 if sender[:2] != target[:2] else 0.0


def _poison(fleet: stepped_fleet.Fleet, path: str) -> None:
    for server in fleet.servers.values():
        server.crash_path = path
    for second in range(1, 40):
        host = fleet.rng.choice(sorted(fleet.hosts))
        send = functools.partial(fleet.request, host, workspace="w", path=path)
        fleet.after(second * 500.0, send)


def detection_rows(seeds: int) -> list[experiment.Row]:
    """Measure every fault with every rival."""
    rows = []
    for placement, health in RIVALS:
        for fault in ("gray", "stalled", "dead"):
            trials = [
                DetectionTrial(placement=placement, health=health, fault=fault, seed=seed)
                for seed in range(1, seeds + 1)
            ]
            delays = parallel.run_trials(detect, trials)
            rows += _delay_rows(fault, f"{placement}+{health}", delays)
    return rows


def _delay_rows(fault: str, behaviour: str, delays: list[float]) -> list[experiment.Row]:
    missed = sum(delay == math.inf for delay in delays)
    note = f"{len(delays)} onsets, {missed} not ejected within 30 s"
    figures = [("median", 0.5), ("p99", 0.99)]
    targets = {("gray", "median"): 2.0, ("gray", "p99"): 5.0}
    targets |= {("stalled", "p99"): 1.0, ("dead", "p99"): 1.0}
    return [
        experiment.Row(
            measure=f"{fault} server, onset to ejection, {name}, s",
            behaviour=behaviour,
            value=round(parallel.quantile(delays, fraction) / 1000.0, 3),
            target=targets.get((fault, name)),
            note=note,
        )
        for name, fraction in figures
    ]


def quiet_rows(*, seeds: int, minutes: int) -> list[experiment.Row]:
    """Measure wrong ejections and deaths by poison with every rival."""
    rows = []
    for placement, health in RIVALS:
        trials = [
            QuietTrial(placement=placement, health=health, minutes=minutes, seed=seed)
            for seed in range(1, seeds + 1)
        ]
        results = parallel.run_trials(stay_quiet, trials)
        poisons = sum(1 for minute in range(minutes) if minute % 8 == 5) * seeds
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
                value=round(sum(r.poison_deaths for r in results) / max(1, poisons), 3),
                target=2.0,
                note=f"{poisons} poison requests, each sent 39 times",
            ),
        ]
    return rows


@experiment.experiments.register("detection")
def detection(seed: int) -> list[experiment.Row]:
    """Measure onset to ejection in the quick mode."""
    return detection_rows(30 + seed % 2)


@experiment.experiments.register("wrong_ejections")
def wrong_ejections(seed: int) -> list[experiment.Row]:
    """Measure wrong ejections in the quick mode."""
    return quiet_rows(seeds=4, minutes=8)


def main(argv: list[str]) -> None:
    """Print the rows as a table."""
    del argv
    rows = detection_rows(200 if _FULL.value else 40)
    rows += quiet_rows(seeds=20, minutes=60) if _FULL.value else quiet_rows(seeds=5, minutes=16)
    for line in parallel.table(rows):
        print(line)


if __name__ == "__main__":
    app.run(main)
