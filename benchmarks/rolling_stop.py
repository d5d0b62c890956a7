"""Measures what callers lose while all hosts are stopped and started in turn.

Callers send requests that must not run twice, with a route whose timeout is longer than a host that
stops has left. A refused caller tries another host after the Retry-After that it was given. The
limits of the shutdown are those of a deployment with a grace of 6 s.
"""

import math

from absl import app, flags

from benchmarks import experiment
from standins import stepped_fleet
from verbenadrum.engine import behaviours

__all__ = ["run"]

assert behaviours  # Importing it registers the implementations that are chosen by name.

_SIZES = flags.DEFINE_list("sizes", ["36", "293"], "Fleet sizes, in hosts.")
_SIGMA = flags.DEFINE_float("sigma", 0.5, "Standard deviation of the logarithm of service times.")

_REQUESTS_PER_SERVER_AND_S = 4.0
_HOSTS_PER_SERVER = 1.2
_TIMEOUT_MS = 8_000.0
_MEDIAN_MS = 250.0
_LINGER_MS = 3_000.0
_ALLOWED_MS = 5_400.0
# Requests that may outlive the host are refused this long before the end of the linger.
_EARLY_REFUSAL_MS = 250.0
# A load balancer takes a host out of rotation after two questions without a good answer.
_ROTATION_DELAY_MS = 2_000.0
_RESTART_DELAY_MS = 500.0
_FIRST_STOP_MS = 2_000.0
_RUN_MS = 40_000.0
_MAX_TRIES = 3


def run(hosts: int, *, seed: int = 1, sigma: float = 0.5) -> dict[str, float]:
    """Stop and start every host once, and return the figures by name."""
    rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
    data_centres = ("r1a", "r1b", "r2a", "r2b")
    count = max(8, round(hosts / _HOSTS_PER_SERVER))
    fleet = stepped_fleet.Fleet(
        hosts=rows,
        servers={f"s{number}": data_centres[number % 4] for number in range(count)},
        health="belief",
        seed=seed,
        median_ms=_MEDIAN_MS,
        sigma=sigma,
        timeout_ms=_TIMEOUT_MS,
        target_ms=2_000.0,
    )
    out_of_rotation: set[str] = set()
    delays_ms: list[float] = []
    lost: list[str] = []
    refused: list[str] = []

    def stop(name: str) -> None:
        host = fleet.hosts[name]
        now_ms = fleet.clock.now_ms()
        host.pipeline.cap_deadlines(
            now_ms + _ALLOWED_MS, refuse_from_ms=now_ms + _LINGER_MS - _EARLY_REFUSAL_MS
        )
        fleet.run_after(_ROTATION_DELAY_MS, lambda: out_of_rotation.add(name))
        fleet.run_after(_ALLOWED_MS + _RESTART_DELAY_MS, lambda: restart(name))

    def restart(name: str) -> None:
        fleet.fail_host(name)
        fleet.restart_host(name)
        out_of_rotation.discard(name)

    def send(sent_ms: float, tries: int, excluded: str) -> None:
        names = [name for name in fleet.hosts if name not in out_of_rotation and name != excluded]
        name = fleet.rng.choice(names)
        log = fleet.request(name, path=f"/{fleet.rng.random()}", method="POST")
        fleet.run_after(_TIMEOUT_MS + 100.0, lambda: finish(log))
        watch(log, name, sent_ms, tries)

    def watch(log: stepped_fleet.RequestLog, name: str, sent_ms: float, tries: int) -> None:
        if math.isinf(log.ended_ms):
            fleet.run_after(10.0, lambda: watch(log, name, sent_ms, tries))
        elif log.ok:
            delays_ms.append(log.ended_ms - sent_ms)
        elif log.refusal == "host-ended" and not log.attempts and tries < _MAX_TRIES:
            refused.append(name)
            fleet.run_after(log.retry_after_ms, lambda: send(sent_ms, tries + 1, name))
        else:
            lost.append(f"{log.refusal} {bool(log.attempts)}")

    def finish(log: stepped_fleet.RequestLog) -> None:
        if math.isinf(log.ended_ms):
            log.ended_ms, log.refusal = fleet.clock.now_ms(), "no-answer"

    def arrive() -> None:
        if fleet.clock.now_ms() >= _RUN_MS - _TIMEOUT_MS:
            return
        send(fleet.clock.now_ms(), 1, "")
        fleet.run_after(fleet.rng.expovariate(count * _REQUESTS_PER_SERVER_AND_S) * 1e3, arrive)

    interval_ms = (_RUN_MS - _TIMEOUT_MS - _FIRST_STOP_MS - _ALLOWED_MS) / hosts
    for number, name in enumerate(fleet.hosts):
        fleet.run_at(_FIRST_STOP_MS + number * interval_ms, lambda name=name: stop(name))
    fleet.run_after(0.0, arrive)
    fleet.run(_RUN_MS)
    delays_ms.sort()
    total = len(delays_ms) + len(lost)
    return {
        "requests": total,
        "refused once or more, fraction": len(refused) / total,
        "cut with an unknown outcome": sum(each == "host-ended True" for each in lost),
        "not served, fraction": len(lost) / total,
        "p50 ms": delays_ms[len(delays_ms) // 2],
        "p99 ms": delays_ms[int(0.99 * len(delays_ms))],
    }


@experiment.experiments.register("rolling-stop")
def rolling_stop(seed: int) -> list[experiment.Row]:
    """Run with 36 hosts."""
    figures = run(36, seed=seed)
    cut = figures["cut with an unknown outcome"]
    return [
        experiment.Row(
            measure="requests cut by a rolling stop of 36 hosts",
            behaviour="ours",
            value=cut,
            target=0.0,
        )
    ]


def main(argv: list[str]) -> None:
    """Print a table row for each figure."""
    del argv
    for size in map(int, _SIZES.value):
        for name, value in run(size, sigma=_SIGMA.value).items():
            print(f"| {size} hosts | {name} | {value:.4g} |")


if __name__ == "__main__":
    app.run(main)
