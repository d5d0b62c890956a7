"""Runs a fixed scenario on a small fleet and prints the results, and the hosts' decisions.

The exit code is 0 if every expectation and promise was kept, 1 if one was not, and 2 if the
scenario could not be run.
"""

if __name__ == "__main__":
    # Sockets must be patched before any other module imports them. Only the command does so: an
    # import of this module has no side effect on the importing program.
    from gevent import monkey

    monkey.patch_all()

import collections
import functools
import pathlib
import signal
import sys
import time
from collections.abc import Iterable, Iterator

from absl import app

from scenarios import checks, language, run, stage
from standins import behaviours, caller, child, fleet, serving
from verbenadrum.decisions import ring

__all__ = ["decision_table", "event_table"]

_SCENARIO_PATH = child.REPOSITORY_ROOT / "scenarios" / "demo.scenario"
_REPORTED_KINDS = (
    ring.DecisionKind.EJECT,
    ring.DecisionKind.RESTORE,
    ring.DecisionKind.REFUSE,
    ring.DecisionKind.RETRY,
    ring.DecisionKind.PLACE,
)
_KINDS_WITHOUT_SUBJECT = (
    ring.DecisionKind.PLACE,
    ring.DecisionKind.REFUSE,
    ring.DecisionKind.RETRY,
)
_MAX_ROWS = 30


def event_table(scenario: language.Scenario) -> Iterator[str]:
    """Yield one line for each event of a scenario: its time, action and arguments."""
    for event in scenario.events:
        arguments = " ".join(
            _describe_argument(each) for each in event.arguments if each is not None
        )
        yield f"{event.at_ms / 1000.0:6.1f} s  {event.action.replace('_', ' '):14} {arguments}"


def decision_table(decisions: Iterable[ring.Decision], start_ms: float) -> Iterator[str]:
    """Yield a line for each of the first `_MAX_ROWS` distinct decisions of `_REPORTED_KINDS`.

    A line has the count of the decision, its first time, kind, choice and reason.

    Parameters
    ----------
    decisions : iterable of Decision
        Decisions of all hosts.
    start_ms : float
        Start of the scenario, in milliseconds since the Unix epoch. Earlier decisions are left
        out, and times are printed relative to it.

    Examples
    --------
    >>> eject = ring.Decision(
    ...     kind=ring.DecisionKind.EJECT, choice="ejected", reason="stalled", subject="a1",
    ...     at_ms=2500.0)
    >>> list(decision_table([eject, eject], start_ms=0.0))
    ['     2 x  first at   2.5 s  eject    a1 ejected      because stalled']
    """
    first_times_ms: dict[tuple, float] = {}
    counts: collections.Counter[tuple] = collections.Counter()
    for decision in decisions:
        if decision.kind not in _REPORTED_KINDS or decision.at_ms < start_ms:
            continue
        subject = "" if decision.kind in _KINDS_WITHOUT_SUBJECT else decision.subject
        name = f"{subject} {decision.choice}".strip()
        row = (_REPORTED_KINDS.index(decision.kind), decision.kind.value, name, decision.reason)
        counts[row] += 1
        first_times_ms[row] = min(first_times_ms.get(row, decision.at_ms), decision.at_ms)
    for row in sorted(counts)[:_MAX_ROWS]:
        _, kind, name, reason = row
        first_s = (first_times_ms[row] - start_ms) / 1000.0
        yield f"{counts[row]:6d} x  first at {first_s:5.1f} s  {kind:8} {name:15} because {reason}"


@functools.singledispatch
def _describe_argument(argument: object) -> str:
    return str(argument)


@_describe_argument.register
def _describe_load(load: caller.Load) -> str:
    return f"{load.name}: {load.rate_per_s:g}/s {load.method} {load.path}"


@_describe_argument.register
def _describe_fault(fault: behaviours.Fault) -> str:
    words = [fault.name, f"{fault.share:.0%}"]
    if fault.mode:
        words.append(f"mode {fault.mode}")
    if fault.rate_per_s:
        words.append(f"rate {fault.rate_per_s:g}/s")
    return " ".join(words)


@_describe_argument.register
def _describe_names(names: tuple) -> str:
    return ", ".join(map(str, names))


def main(argv: list[str]) -> int:
    """Run the demo, and return its exit code."""
    del argv
    # SIGTERM is handled like Ctrl-C, so that the child processes are killed before the exit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    start_s = time.monotonic()
    scenario = language.load_scenario(pathlib.Path(_SCENARIO_PATH))
    print("Starting platform, network proxy, 6 backend servers and 6 hosts ...", flush=True)
    try:
        with fleet.Fleet(seed=scenario.seed) as running_fleet:
            scenario_run = stage.ScenarioRun(scenario=scenario, running_fleet=running_fleet)
            scenario_run.prepare()
            print("Ready. Running the script:", *event_table(scenario), sep="\n", flush=True)
            run.run_events(scenario_run)
            results = checks.check_expectations(scenario_run) + checks.check_promises(scenario_run)
            print("\nWhat callers got, and what was promised\n")
            print(run.report(scenario_run, results))
            print("\nWhat the hosts decided, and why\n")
            print(*decision_table(scenario_run.decisions(), scenario_run.start_ms), sep="\n")
    except (child.ChildError, serving.CallError, stage.NotServingError) as error:
        print(f"cannot run the demo: {error}", file=sys.stderr)
        return run.EXIT_NOT_RUN
    kept = all(result.kept for result in results)
    seconds = time.monotonic() - start_s
    print(f"\nEverything stopped after {seconds:.0f} s;", "all kept" if kept else "NOT all kept")
    return run.EXIT_KEPT if kept else run.EXIT_BROKEN


if __name__ == "__main__":
    app.run(main)
