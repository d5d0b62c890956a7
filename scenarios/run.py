"""Runs scenario files: ``python -m scenarios.run scenarios/NAME.scenario``.

It exits with 0 if every expectation and promise was kept, 1 if one was not, and 2 if a scenario
could not be run. Several files run one after the other.
"""

if __name__ == "__main__":
    # Before anything else imports sockets; an import of this module alone patches nothing.
    from gevent import monkey

    monkey.patch_all()

import pathlib
import signal
import sys
import time

import gevent
from absl import app, flags

from scenarios import actions, checks, language, stage
from standins import caller, child, fleet, serving

__all__ = ["perform", "report"]

_SEED = flags.DEFINE_integer("seed", None, "Seed in place of the scenario's own.")
_KEEP_LOGS = flags.DEFINE_boolean("host_logs", False, "Print the hosts' logs after a failure.")

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
_LOAD_TIMEOUT_S = 120.0
_AFTERMATH_S = 1.0


def perform(scene: stage.Stage) -> None:
    """Carry out the events at their times, and wait for the loads to end."""
    start_s = time.monotonic()
    for event in sorted(scene.scenario.events, key=lambda each: each.at_ms):
        gevent.sleep(max(0.0, start_s + event.at_ms / 1000.0 - time.monotonic()))
        # Each in its own greenlet: a host that is slow to start must not hold up the rest.
        action = actions.actions.get(event.action)
        gevent.spawn(action, scene, *event.arguments)
        gevent.sleep(0)
    for run in list(scene.loads.values()):
        run.done.wait(_LOAD_TIMEOUT_S)
    gevent.sleep(_AFTERMATH_S)


def report(scene: stage.Stage, results: list[checks.Result]) -> str:
    """Return what was asked and what came back, in a few lines."""
    lines = [f"{scene.scenario.title} (seed {scene.scenario.seed})"]
    for name, run in scene.loads.items():
        lines.append(f"load {name}: {len(run.rows)} sent, {run.connections} connections")
        lines.append(caller.summary(run.rows))
    for result in results:
        mark = "kept  " if result.kept else "BROKEN"
        lines.append(f"{mark} {result.text}   (was {result.value:g})")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run the scenarios of the arguments, and return the greatest exit code."""
    if len(argv) < 2:
        print("usage: python -m scenarios.run FILE.scenario ...", file=sys.stderr)
        return EXIT_NOT_RUN
    # An end by SIGTERM, like one by Ctrl-C, must still end the children.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    codes = {path: _run_file(path) for path in argv[1:]}
    if len(codes) > 1:
        print("\n".join(f"{code} {path}" for path, code in codes.items()))
    return max(codes.values())


def _run_file(path: str) -> int:
    try:
        scenario = language.load_scenario(pathlib.Path(path))
        scenario.seed = scenario.seed if _SEED.value is None else _SEED.value
        return _run(scenario)
    except (
        language.ScenarioError,
        child.ChildError,
        serving.CallError,
        stage.SettleError,
    ) as error:
        print(f"cannot run {path}: {error}", file=sys.stderr)
        return EXIT_NOT_RUN


def _run(scenario: language.Scenario) -> int:
    with fleet.Fleet(seed=scenario.seed) as running:
        scene = stage.Stage(scenario=scenario, running=running)
        scene.prepare()
        perform(scene)
        results = checks.check_expectations(scene) + checks.check_promises(scene)
        print(report(scene, results))
        kept = all(result.kept for result in results)
        if _KEEP_LOGS.value and not kept:
            folder = running.directory
            for path in sorted([*folder.glob("*.out"), *folder.glob("*.err")]):
                print(f"--- {path.name}\n{path.read_text(errors='replace')}")
    return EXIT_KEPT if kept else EXIT_BROKEN


if __name__ == "__main__":
    app.run(main)
