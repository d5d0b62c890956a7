"""Measures fairness between workspaces, wasted slot time, budgets and slot limits.

``python -m benchmarks.placement`` prints the figures; ``--seeds`` sets how many seeds are run.
"""

import functools
import math

import msgspec
from absl import app, flags

from benchmarks import experiment, health, parallel
from standins import stepped_fleet

__all__ = ["fairness", "waste"]

_SEEDS = flags.DEFINE_integer("seeds", 5, "how many seeds to run", lower_bound=1)

_WORKSPACES = 8
_SERVERS = 10
_MEDIAN_MS = 40.0
_SIGMA = 0.5
_QUIET_SHARE = 0.9
_LOUD_FACTOR = 5.0
_RUN_MS = 20_000.0
_SETTLE_MS = 3_000.0


class FairTrial(msgspec.Struct, frozen=True, kw_only=True):
    """Eight workspaces before one pool, with or without a loud one."""

    placement: str
    health: str
    seed: int
    loud: bool


class FairResult(msgspec.Struct, frozen=True, kw_only=True):
    """Worst served fraction and worst p99 latency of the workspaces that keep to their rate."""

    worst_served: float
    worst_p99_ms: float


class FaultTrial(msgspec.Struct, frozen=True, kw_only=True):
    """A pool under one fault."""

    placement: str
    health: str
    seed: int
    fault: str


class FaultResult(msgspec.Struct, frozen=True, kw_only=True):
    """Use of slots and attempts under a fault."""

    wasted: float
    attempts_per_request: float
    most_busy: int
    failed: float


def share_per_s() -> float:
    """Return each workspace's equal share of the pool, in requests a second."""
    mean_ms = _MEDIAN_MS * math.exp(_SIGMA**2 / 2.0) + 2.0 * stepped_fleet.NEAR_MS
    return _SERVERS * stepped_fleet.SLOTS / mean_ms * 1000.0 / _WORKSPACES


def serve_workspaces(trial: FairTrial) -> FairResult:
    """Run eight workspaces, one of which may send five times its share."""
    names = [f"w{index}" for index in range(_WORKSPACES)]
    fleet = _one_region(trial.placement, trial.health, trial.seed, dict.fromkeys(names, 1.0))
    per_s = share_per_s()
    for name in names[1:]:
        fleet.load(workspace=name, per_s=per_s * _QUIET_SHARE, path=_paths(fleet))
    loud = _LOUD_FACTOR if trial.loud else _QUIET_SHARE / 2.0
    fleet.load(workspace=names[0], per_s=per_s * loud, path=_paths(fleet))
    fleet.run(_RUN_MS)
    last_ms = _RUN_MS - 1_000.0
    results = [_served(fleet, name, last_ms) for name in names[1:]]
    return FairResult(
        worst_served=min(served for served, _ in results),
        worst_p99_ms=max(p99_ms for _, p99_ms in results),
    )


def run_fault(trial: FaultTrial) -> FaultResult:
    """Run half load with one gray server, or with every server failing."""
    fleet = _one_region(trial.placement, trial.health, trial.seed, {"w": 1.0})
    per_s = share_per_s() * _WORKSPACES / 2.0
    fleet.load(workspace="w", per_s=per_s, path=_paths(fleet))
    fleet.run(_SETTLE_MS)
    servers = list(fleet.servers.values())
    if trial.fault == "gray":
        servers[0].stall_fraction = 0.3
    elif trial.fault == "all-fail":
        for server in servers:
            server.error_fraction = 1.0
    elif trial.fault == "overload":
        fleet.load(workspace="w", per_s=per_s * 2.0, path=_paths(fleet))
    fleet.run(_RUN_MS)
    ended = [log for log in fleet.logs if log.sent_ms < fleet.clock.now_ms() - 11_000.0]
    failed = sum(not log.ok for log in ended) / max(1, len(ended))
    return FaultResult(
        wasted=fleet.unused_attempt_ms / fleet.total_attempt_ms,
        attempts_per_request=fleet.counts["attempts"] / fleet.counts["requests"],
        most_busy=max(server.max_open_attempts for server in servers),
        failed=failed,
    )


def _one_region(
    placement: str, judge: str, seed: int, weights: dict[str, float]
) -> stepped_fleet.Fleet:
    hosts = stepped_fleet.two_regions(10)[:20]
    return stepped_fleet.Fleet(
        hosts=hosts,
        servers={f"s{index}": ("r1a", "r1b")[index % 2] for index in range(_SERVERS)},
        placement=placement,
        health=judge,
        seed=seed,
        median_ms=_MEDIAN_MS,
        sigma=_SIGMA,
        weights=weights,
        timeout_ms=2_000.0 if len(weights) > 1 else 10_000.0,
    )


def _paths(fleet: stepped_fleet.Fleet) -> functools.partial:
    return functools.partial(_path, fleet)


def _path(fleet: stepped_fleet.Fleet) -> str:
    return f"/item/{fleet.rng.randrange(50_000)}"


def _served(fleet: stepped_fleet.Fleet, name: str, last_ms: float) -> tuple[float, float]:
    sent = [
        log for log in fleet.logs if log.workspace == name and _SETTLE_MS <= log.sent_ms <= last_ms
    ]
    latencies = [log.ended_ms - log.sent_ms if log.ok else math.inf for log in sent]
    return sum(log.ok for log in sent) / len(sent), parallel.quantile(latencies, 0.99)


def fairness_rows(seeds: int) -> list[experiment.Row]:
    """Measure the worst-served workspace beside a loud one."""
    rows = []
    for placement, judge in health.RIVALS:
        trials = [
            FairTrial(placement=placement, health=judge, seed=seed, loud=loud)
            for loud in (False, True)
            for seed in range(1, seeds + 1)
        ]
        results = parallel.run_trials(serve_workspaces, trials)
        quiet, loud = results[:seeds], results[seeds:]
        ratio = max(
            after.worst_p99_ms / before.worst_p99_ms
            for before, after in zip(quiet, loud, strict=True)
        )
        behaviour = f"{placement}+{judge}"
        rows += [
            experiment.Row(
                measure="worst-served workspace beside one at 5x, served fraction",
                behaviour=behaviour,
                value=round(min(result.worst_served for result in loud), 4),
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
    """Measure wasted slot time, attempts and slots in use under faults."""
    rows = []
    for placement, judge in health.RIVALS:
        for fault in ("none", "gray", "all-fail", "overload"):
            trials = [
                FaultTrial(placement=placement, health=judge, seed=seed, fault=fault)
                for seed in range(1, seeds + 1)
            ]
            results = parallel.run_trials(run_fault, trials)
            rows += _fault_rows(fault, f"{placement}+{judge}", results)
    return rows


def _fault_rows(fault: str, behaviour: str, results: list[FaultResult]) -> list[experiment.Row]:
    note = f"{len(results)} seeds, worst of all"
    wasted = max(result.wasted for result in results)
    figures = [
        ("attempts per request", max(r.attempts_per_request for r in results), 1.2),
        ("most requests at a server with 3 slots", max(r.most_busy for r in results), 3.0),
        ("requests without an answer, fraction", max(r.failed for r in results), None),
    ]
    # Where every answer fails, all slot time is wasted whatever the placement does.
    if fault != "all-fail":
        figures.insert(0, ("wasted slot time, fraction", wasted, 0.05))
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
    """Measure the worst-served workspace in the quick mode."""
    return fairness_rows(3)


@experiment.experiments.register("waste")
def waste(seed: int) -> list[experiment.Row]:
    """Measure wasted slot time in the quick mode."""
    return fault_rows(3)


def main(argv: list[str]) -> None:
    """Print the rows as a table."""
    del argv
    seeds = _SEEDS.value
    experiment_rows = fairness_rows(seeds) + fault_rows(seeds)
    for line in parallel.table(experiment_rows):
        print(line)


if __name__ == "__main__":
    app.run(main)
