"""Runs a small fleet through a fixed script and prints what happened and why.

It exits with 0 if every promise was kept.
"""

if __name__ == "__main__":
    # Before anything else imports sockets; an import of this module alone patches nothing.
    from gevent import monkey

    monkey.patch_all()

import collections
import pathlib
import signal
import sys
import time
from collections.abc import Iterable, Iterator

from absl import app

from scenarios import checks, language, run, stage
from standins import child, fleet, serving
from verbenadrum.decisions import ring

__all__ = ["decision_table", "event_table"]

_SCRIPT = child.ROOT / "scenarios" / "demo.scenario"
_TOLD_KINDS = (
    ring.DecisionKind.EJECT,
    ring.DecisionKind.RESTORE,
    ring.DecisionKind.REFUSE,
    ring.DecisionKind.RETRY,
    ring.DecisionKind.PLACE,
)
_NAMED_BY_CHOICE = (
    ring.DecisionKind.PLACE,
    ring.DecisionKind.REFUSE,
    ring.DecisionKind.RETRY,
)
_MAX_ROWS = 30


def event_table(scenario: language.Scenario) -> Iterator[str]:
    """Yield one line for each event of the script."""
    for event in scenario.events:
        words = " ".join(_describe(each) for each in event.arguments if each is not None)
        yield f"{event.at_ms / 1000.0:6.1f} s  {event.action.replace('_', ' '):14} {words}"


def decision_table(decisions: Iterable[ring.Decision], begun_ms: float) -> Iterator[str]:
    """Yield one line for each distinct decision: count, first time, what and why.

    Examples
    --------
    >>> eject = ring.Decision(
    ...     kind=ring.DecisionKind.EJECT, choice="ejected", reason="stalled", subject="a1",
    ...     at_ms=2500.0)
    >>> list(decision_table([eject, eject], begun_ms=0.0))
    ['     2 x  first at   2.5 s  eject    a1 ejected      because stalled']
    """
    firsts: dict[tuple, float] = {}
    counts: collections.Counter[tuple] = collections.Counter()
    for decision in decisions:
        if decision.kind not in _TOLD_KINDS or decision.at_ms < begun_ms:
            continue
        subject = "" if decision.kind in _NAMED_BY_CHOICE else decision.subject
        name = f"{subject} {decision.choice}".strip()
        row = (_TOLD_KINDS.index(decision.kind), decision.kind.value, name, decision.reason)
        counts[row] += 1
        firsts[row] = min(firsts.get(row, decision.at_ms), decision.at_ms)
    for row in sorted(counts)[:_MAX_ROWS]:
        _, kind, name, reason = row
        first_s = (firsts[row] - begun_ms) / 1000.0
        yield f"{counts[row]:6d} x  first at {first_s:5.1f} s  {kind:8} {name:15} because {reason}"


def _describe(argument: object) -> str:
    if hasattr(argument, "rate_per_s"):
        return f"{argument.name}: {argument.rate_per_s:g}/s {argument.method} {argument.path}"
    if hasattr(argument, "share"):
        return f"{argument.name} {argument.share:.0%}"
    return str(argument)


def main(argv: list[str]) -> int:
    """Run the demo."""
    del argv
    # An end by SIGTERM, like one by Ctrl-C, must still end the children.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    begun_s = time.monotonic()
    scenario = language.load_scenario(pathlib.Path(_SCRIPT))
    print("Starting platform, network proxy, 6 backend servers and 6 hosts ...", flush=True)
    try:
        with fleet.Fleet(seed=scenario.seed) as running:
            scene = stage.Stage(scenario=scenario, running=running)
            scene.prepare()
            print("Ready. Running the script:", *event_table(scenario), sep="\n", flush=True)
            run.perform(scene)
            results = checks.check_expectations(scene) + checks.check_promises(scene)
            print("\nWhat callers got, and what was promised\n")
            print(run.report(scene, results))
            print("\nWhat the hosts decided, and why\n")
            print(*decision_table(scene.decisions(), scene.begun_ms), sep="\n")
    except (child.ChildError, serving.CallError, stage.SettleError) as error:
        print(f"cannot run the demo: {error}", file=sys.stderr)
        return run.EXIT_NOT_RUN
    kept = all(result.kept for result in results)
    seconds = time.monotonic() - begun_s
    print(f"\nEverything stopped after {seconds:.0f} s;", "all kept" if kept else "NOT all kept")
    return run.EXIT_KEPT if kept else run.EXIT_BROKEN


if __name__ == "__main__":
    app.run(main)
