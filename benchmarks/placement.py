"""Measures fairness between workspaces, wasted slot time, retry budgets and slot limits.

Twenty hosts of one region with a pool of ten backend servers run in simulated time.
``python -m benchmarks.placement`` prints the figures as a table; ``--seeds`` sets the number of
seeds.
"""

import functools
import math

import msgspec
from absl import app, flags

from benchmarks import experiment, health, parallel
from standins import stepped_fleet

__all__ = ["fairness", "waste"]

_SEEDS = flags.DEFINE_integer("seeds", 5, "how many seeds to run", lower_bound=1)

_WORKSPACE_COUNT = 8
_SERVER_COUNT = 10
_MEDIAN_SERVICE_MS = 40.0
_SERVICE_SIGMA = 0.5
_COMPLIANT_LOAD = 0.9
_NOISY_LOAD = 5.0
_LOAD_DURATION_MS = 20_000.0
_WARM_UP_MS = 3_000.0


class FairnessTrial(msgspec.Struct, frozen=True, kw_only=True):
    """One run in which eight workspaces share a pool.

    Attributes
    ----------
    placement, health : str
        Registered names of the behaviours.
    seed : int
        Seed of the fleet.
    noisy : bool
        Whether one workspace sends five times its fair share of the pool.
    """

    placement: str
    health: str
    seed: int
    noisy: bool


class FairnessResult(msgspec.Struct, frozen=True, kw_only=True):
    """Worst figures of the seven workspaces that stay below their fair share.

    Attributes
    ----------
    min_served_fraction : float
        Lowest fraction of a workspace's requests that succeeded, 0 to 1.
    max_p99_ms : float
        Highest 99th percentile of a workspace's latency; requests that failed count as infinite.
    """

    min_served_fraction: float
    max_p99_ms: float


class FaultTrial(msgspec.Struct, frozen=True, kw_only=True):
    """One run with a fault of the pool.

    Attributes
    ----------
    placement, health : str
        Registered names of the behaviours.
    seed : int
        Seed of the fleet.
    fault : str
        ``none``; ``gray`` for one server that never answers 30% of its requests; ``all-fail`` for
        servers that answer every request with an error; ``overload`` for one and a half times the
        load that the pool can serve.
    """

    placement: str
    health: str
    seed: int
    fault: str


class FaultResult(msgspec.Struct, frozen=True, kw_only=True):
    """Slot time, attempts and failures of one run.

    Attributes
    ----------
    wasted_fraction : float
        Fraction of the used slot time that was spent on attempts whose answers no caller got.
    attempts_per_request : float
        Mean number of attempts of a request.
    max_at_server : int
        Largest number of attempts that a server ran or queued at any time.
    failed_fraction : float
        Fraction of the requests that did not succeed.
    """

    wasted_fraction: float
    attempts_per_request: float
    max_at_server: int
    failed_fraction: float


def fair_share_per_s() -> float:
    """Return a workspace's equal share of the rate that the pool can serve, in requests a second.

    A slot is in use for the service time and the network round trip.
    """
    mean_ms = _MEDIAN_SERVICE_MS * math.exp(_SERVICE_SIGMA**2 / 2.0) + 2.0 * stepped_fleet.NEAR_MS
    return _SERVER_COUNT * stepped_fleet.SLOTS / mean_ms * 1000.0 / _WORKSPACE_COUNT


def run_workspaces(trial: FairnessTrial) -> FairnessResult:
    """Run eight workspaces and return the worst figures of all but the first.

    The first one sends at five times its fair share if the trial is noisy, else at 45% of it; the
    others send at 90% of theirs.
    """
    names = [f"w{index}" for index in range(_WORKSPACE_COUNT)]
    fleet = _make_fleet(trial.placement, trial.health, trial.seed, dict.fromkeys(names, 1.0))
    per_s = fair_share_per_s()
    for name in names[1:]:
        fleet.load(workspace=name, per_s=per_s * _COMPLIANT_LOAD, path=_path_source(fleet))
    noisy_load = _NOISY_LOAD if trial.noisy else _COMPLIANT_LOAD / 2.0
    fleet.load(workspace=names[0], per_s=per_s * noisy_load, path=_path_source(fleet))
    fleet.run(_LOAD_DURATION_MS)
    last_ms = _LOAD_DURATION_MS - 1_000.0
    results = [_served_and_p99_ms(fleet, name, last_ms) for name in names[1:]]
    return FairnessResult(
        min_served_fraction=min(served for served, _ in results),
        max_p99_ms=max(p99_ms for _, p99_ms in results),
    )


def run_fault(trial: FaultTrial) -> FaultResult:
    """Run half of the load that the pool can serve, and start the trial's fault after a warm-up.

    Requests of the last 11 s are left out of the failed fraction, since the route's 10 s timeout
    may not have ended them yet.
    """
    fleet = _make_fleet(trial.placement, trial.health, trial.seed, {"w": 1.0})
    per_s = fair_share_per_s() * _WORKSPACE_COUNT / 2.0
    fleet.load(workspace="w", per_s=per_s, path=_path_source(fleet))
    fleet.run(_WARM_UP_MS)
    servers = list(fleet.servers.values())
    if trial.fault == "gray":
        servers[0].stall_fraction = 0.3
    elif trial.fault == "all-fail":
        for server in servers:
            server.error_fraction = 1.0
    elif trial.fault == "overload":
        fleet.load(workspace="w", per_s=per_s * 2.0, path=_path_source(fleet))
    fleet.run(_LOAD_DURATION_MS)
    finished = [log for log in fleet.logs if log.sent_ms < fleet.clock.now_ms() - 11_000.0]
    failed_fraction = sum(not log.ok for log in finished) / max(1, len(finished))
    return FaultResult(
        wasted_fraction=fleet.wasted_ms / fleet.used_ms,
        attempts_per_request=fleet.counts["attempts"] / fleet.counts["requests"],
        max_at_server=max(server.most_busy for server in servers),
        failed_fraction=failed_fraction,
    )


def _make_fleet(
    placement: str, health_name: str, seed: int, weights: dict[str, float]
) -> stepped_fleet.Fleet:
    hosts = stepped_fleet.two_regions(10)[:20]
    return stepped_fleet.Fleet(
        hosts=hosts,
        servers={f"s{index}": ("r1a", "r1b")[index % 2] for index in range(_SERVER_COUNT)},
        placement=placement,
        health=health_name,
        seed=seed,
        median_ms=_MEDIAN_SERVICE_MS,
        sigma=_SERVICE_SIGMA,
        weights=weights,
        timeout_ms=2_000.0 if len(weights) > 1 else 10_000.0,
    )


def _path_source(fleet: stepped_fleet.Fleet) -> functools.partial:
    return functools.partial(_random_path, fleet)


def _random_path(fleet: stepped_fleet.Fleet) -> str:
    return f"/item/{fleet.rng.randrange(50_000)}"


def _served_and_p99_ms(
    fleet: stepped_fleet.Fleet, workspace: str, last_ms: float
) -> tuple[float, float]:
    logs = [
        log
        for log in fleet.logs
        if log.workspace == workspace and _WARM_UP_MS <= log.sent_ms <= last_ms
    ]
    latencies = [log.ended_ms - log.sent_ms if log.ok else math.inf for log in logs]
    return sum(log.ok for log in logs) / len(logs), parallel.quantile(latencies, 0.99)


def fairness_rows(seeds: int) -> list[experiment.Row]:
    """Return the figures of the worst-served workspace beside a noisy one.

    The worst of ``seeds`` seeds is given for each pair of behaviours.
    """
    rows = []
    for placement, health_name in health.BEHAVIOUR_PAIRS:
        trials = [
            FairnessTrial(placement=placement, health=health_name, seed=seed, noisy=noisy)
            for noisy in (False, True)
            for seed in range(1, seeds + 1)
        ]
        results = parallel.run_trials(run_workspaces, trials)
        quiet, noisy = results[:seeds], results[seeds:]
        ratio = max(
            with_noise.max_p99_ms / without_noise.max_p99_ms
            for without_noise, with_noise in zip(quiet, noisy, strict=True)
        )
        behaviour = f"{placement}+{health_name}"
        rows += [
            experiment.Row(
                measure="worst-served workspace beside one at 5x, served fraction",
                behaviour=behaviour,
                value=round(min(result.min_served_fraction for result in noisy), 4),
                target=0.95,
                at_most=False,
                note=f"{seeds} seeds, 8 workspaces, worst of all",
            ),
            experiment.Row(
                measure="its p99 latency over its quiet p99",
                behaviour=behaviour,
                value=round(ratio, 2),
                target=1.5,
                note=f"{seeds} seeds, worst of all",
            ),
        ]
    return rows


def fault_rows(seeds: int) -> list[experiment.Row]:
    """Return wasted slot time, attempts, requests at a server and failures under each fault.

    The worst of ``seeds`` seeds is given for each pair of behaviours.
    """
    rows = []
    for placement, health_name in health.BEHAVIOUR_PAIRS:
        for fault in ("none", "gray", "all-fail", "overload"):
            trials = [
                FaultTrial(placement=placement, health=health_name, seed=seed, fault=fault)
                for seed in range(1, seeds + 1)
            ]
            results = parallel.run_trials(run_fault, trials)
            rows += _fault_rows(fault, f"{placement}+{health_name}", results)
    return rows


def _fault_rows(fault: str, behaviour: str, results: list[FaultResult]) -> list[experiment.Row]:
    note = f"{len(results)} seeds, worst of all"
    wasted_fraction = max(result.wasted_fraction for result in results)
    figures = [
        ("attempts per request", max(r.attempts_per_request for r in results), 1.2),
        ("most requests at a server with 3 slots", max(r.max_at_server for r in results), 3.0),
        ("requests without an answer, fraction", max(r.failed_fraction for r in results), None),
    ]
    # If every answer is an error, all slot time is wasted whatever the placement does.
    if fault != "all-fail":
        figures.insert(0, ("wasted slot time, fraction", wasted_fraction, 0.05))
    return [
        experiment.Row(
            measure=f"{fault}: {name}",
            behaviour=behaviour,
            value=round(value, 4),
            target=target,
            note=note,
        )
        for name, value, target in figures
    ]


@experiment.experiments.register("fairness")
def fairness(seed: int) -> list[experiment.Row]:
    """Measure the worst-served workspace with seeds 1 to 3; ``seed`` is ignored."""
    return fairness_rows(3)


@experiment.experiments.register("waste")
def waste(seed: int) -> list[experiment.Row]:
    """Measure wasted slot time with seeds 1 to 3; ``seed`` is ignored."""
    return fault_rows(3)


def main(argv: list[str]) -> None:
    """Print the figures as a table."""
    del argv
    seeds = _SEEDS.value
    rows = fairness_rows(seeds) + fault_rows(seeds)
    for line in parallel.table(rows):
        print(line)


if __name__ == "__main__":
    app.run(main)
