"""Runs scenario files: ``python -m scenarios.run scenarios/NAME.scenario``.

The exit code is 0 if every expectation and promise was kept, 1 if one was not, and 2 if a scenario
could not be run. Several files are run one after the other; the highest exit code is returned.
"""

if __name__ == "__main__":
    # Sockets must be patched before any other module imports them. Only the command does so: an
    # import of this module has no side effect on the importing program.
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

__all__ = ["run_events", "report"]

_SEED = flags.DEFINE_integer("seed", None, "Seed that replaces the seed of the scenario.")
_HOST_LOGS = flags.DEFINE_boolean(
    "host_logs", False, "Print the output of all processes after a failure."
)

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
_LOAD_TIMEOUT_S = 120.0
_FINAL_WAIT_S = 1.0


def run_events(scenario_run: stage.ScenarioRun) -> None:
    """Carry out the events at their times, wait for the loads, and return `_FINAL_WAIT_S` later.

    The wait for each load takes at most `_LOAD_TIMEOUT_S`; a load that has not ended by then causes
    no error.
    """
    start_s = time.monotonic()
    for event in sorted(scenario_run.scenario.events, key=lambda each: each.at_ms):
        gevent.sleep(max(0.0, start_s + event.at_ms / 1000.0 - time.monotonic()))
        # Each event has its own greenlet, since a slow start of a host must not delay later events.
        action = actions.actions.get(event.action)
        gevent.spawn(action, scenario_run, *event.arguments)
        gevent.sleep(0)
    for run in list(scenario_run.loads.values()):
        run.done.wait(_LOAD_TIMEOUT_S)
    gevent.sleep(_FINAL_WAIT_S)


def report(scenario_run: stage.ScenarioRun, results: list[checks.Result]) -> str:
    """Return a report: title, a summary of each load, and the result of each check."""
    lines = [f"{scenario_run.scenario.title} (seed {scenario_run.scenario.seed})"]
    for name, run in scenario_run.loads.items():
        lines.append(f"load {name}: {len(run.rows)} sent, {run.connections} connections")
        lines.append(caller.summary(run.rows))
    for result in results:
        label = "kept  " if result.kept else "BROKEN"
        lines.append(f"{label} {result.text}   (was {result.value:g})")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run the scenario files given as arguments, and return the highest exit code."""
    if len(argv) < 2:
        print("usage: python -m scenarios.run FILE.scenario ...", file=sys.stderr)
        return EXIT_NOT_RUN
    # SIGTERM is handled like Ctrl-C, so that the child processes are killed before the exit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    exit_codes = {path: _run_file(path) for path in argv[1:]}
    if len(exit_codes) > 1:
        print("\n".join(f"{code} {path}" for path, code in exit_codes.items()))
    return max(exit_codes.values())


def _run_file(path: str) -> int:
    try:
        scenario = language.load_scenario(pathlib.Path(path))
        scenario.seed = scenario.seed if _SEED.value is None else _SEED.value
        return _run(scenario)
    except (
        language.ScenarioError,
        child.ChildError,
        serving.CallError,
        stage.NotServingError,
    ) as error:
        print(f"cannot run {path}: {error}", file=sys.stderr)
        return EXIT_NOT_RUN


def _run(scenario: language.Scenario) -> int:
    with fleet.Fleet(seed=scenario.seed) as running_fleet:
        scenario_run = stage.ScenarioRun(scenario=scenario, running_fleet=running_fleet)
        scenario_run.prepare()
        run_events(scenario_run)
        results = checks.check_expectations(scenario_run) + checks.check_promises(scenario_run)
        print(report(scenario_run, results))
        kept = all(result.kept for result in results)
        if _HOST_LOGS.value and not kept:
            folder = running_fleet.directory
            for path in sorted([*folder.glob("*.out"), *folder.glob("*.err")]):
                print(f"--- {path.name}\n{path.read_text(errors='replace')}")
    return EXIT_KEPT if kept else EXIT_BROKEN


if __name__ == "__main__":
    app.run(main)
