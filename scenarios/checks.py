"""Measures that scenarios expect something of, and the promises that every scenario must keep."""

import collections
from collections.abc import Callable

import msgspec

from scenarios import language, stage
from standins import caller
from verbenadrum.decisions import ring
from verbenadrum.utils import registry

__all__ = ["Result", "check_expectations", "check_promises", "measures", "promises"]

_PERCENT = 100.0
_WINDOW_STEP_MS = 1_000.0
_MS_PER_S = 1_000.0
_EJECTED = "ejected"


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one check."""

    text: str
    value: float
    kept: bool


# Measures of a load take the chosen rows, others the stage; both return a number.
measures: registry.Registry[Callable[..., float]] = registry.Registry(kind="measure")
promises: registry.Registry[Callable[[stage.Stage], float]] = registry.Registry(kind="promise")


def check_expectations(scene: stage.Stage) -> list[Result]:
    """Return the result of each expectation of the scenario."""
    return [_check(scene, each) for each in scene.scenario.expectations]


def check_promises(scene: stage.Stage) -> list[Result]:
    """Return the result of each promise: a count of breaches that must be 0."""
    results = []
    for name in promises:
        value = promises.get(name)(scene)
        results.append(Result(text=f"{name} = 0", value=value, kept=value == 0))
    return results


def _check(scene: stage.Stage, expected: language.Expectation) -> Result:
    after_ms = scene.begun_ms + expected.after_ms
    measure = measures.get(expected.measure)
    run = scene.loads.get(expected.subject)
    if run is not None:
        rows = [row for row in run.rows if row.started_ms >= after_ms]
        value = measure(rows, expected.argument)
        if expected.percent:
            value = _PERCENT * value / max(1, len({row.number for row in rows}))
    else:
        value = measure(scene, expected.subject, expected.argument, after_ms)
    kept = expected.operator.holds(value, expected.bound)
    return Result(text=str(expected), value=value, kept=kept)


def _register_verdict(verdict: caller.Verdict) -> None:
    measures.register(verdict.value)(lambda rows, _: sum(row.verdict is verdict for row in rows))


for _verdict in caller.Verdict:
    _register_verdict(_verdict)


@measures.register("sent")
def _sent(rows: list[caller.Row], _: str) -> float:
    return len(rows)


@measures.register("settled")
def _settled(rows: list[caller.Row], _: str) -> float:
    """Count the requests that got a whole answer, resends included."""
    return len({row.number for row in rows if row.verdict is caller.Verdict.WHOLE})


@measures.register("code")
def _code(rows: list[caller.Row], code: str) -> float:
    return sum(row.code == code for row in rows)


@measures.register("connections")
def _connections(rows: list[caller.Row], _: str) -> float:
    opened = {row.target: row.connections for row in rows}
    return sum(opened.values())


@measures.register("unsure")
def _unsure(rows: list[caller.Row], _: str) -> float:
    """Count the refusals that do not say that nothing ran."""
    refused = [row for row in rows if row.verdict is caller.Verdict.REFUSED]
    return sum(row.not_run != "true" for row in refused)


@measures.register("runs")
def _runs(scene: stage.Stage, server: str, _: str, after_ms: float) -> float:
    return sum(run.server == server and run.at_ms >= after_ms for run in scene.fleet.runs())


@measures.register("decided")
def _decided(scene: stage.Stage, name: str, kind: str, after_ms: float) -> float:
    """Count decisions of a kind about a server, host or workspace, or any for ``fleet``."""
    return sum(
        decision.kind.value == kind
        and name in ("fleet", decision.choice, decision.subject)
        and decision.at_ms >= after_ms
        for decision in scene.decisions()
    )


@measures.register("ejected")
def _ejected(scene: stage.Stage, name: str, _: str, after_ms: float) -> float:
    """Count ejections of a server, or of any for ``fleet``; an avoided path is none."""
    return sum(
        decision.kind is ring.DecisionKind.EJECT
        and decision.choice == _EJECTED
        and name in ("fleet", decision.subject)
        and decision.at_ms >= after_ms
        for decision in scene.decisions()
    )


@measures.register("exited")
def _exited(scene: stage.Stage, name: str, _: str, after_ms: float) -> float:
    """Return the exit code, or -1000 of a process that still runs."""
    code = scene.fleet.process(name).exit_code
    return -1000 if code is None else code


@measures.register("crashes")
def _crashes(scene: stage.Stage, name: str, _: str, after_ms: float) -> float:
    """Count the servers of a service that have ended."""
    return sum(
        scene.fleet.process(spec.server).exit_code is not None
        for spec in scene.scenario.servers
        if spec.service == name
    )


@promises.register("answers broken but passed as whole")
def _broken(scene: stage.Stage) -> float:
    return sum(row.verdict is caller.Verdict.BROKEN for row in _rows(scene))


@promises.register("second runs of an idempotency key")
def _second_runs(scene: stage.Stage) -> float:
    counts = collections.Counter((run.workspace, run.key) for run in scene.fleet.runs() if run.key)
    return sum(count - 1 for count in counts.values())


@promises.register("refusals that say not run but did")
def _false_not_run(scene: stage.Stage) -> float:
    ran = {run.request for run in scene.fleet.runs()}
    return sum(row.not_run == "true" and row.request in ran for row in _rows(scene))


@promises.register("keys seen by a backend server")
def _keys_seen(scene: stage.Stage) -> float:
    return sum(run.secret for run in scene.fleet.runs())


@promises.register("requests over a workspace's rate and burst")
def _over_rate(scene: stage.Stage) -> float:
    """Count the excess over every window between whole seconds.

    A request that was sent after a window's start and ran before its end was admitted in it.
    """
    sent = {row.request: row.started_ms for row in _rows(scene) if row.request}
    excess = 0.0
    for name, (rate, burst) in _greatest_limits(scene).items():
        admitted: dict[str, float] = {}
        for run in scene.fleet.runs():
            if run.workspace == name and run.request in sent:
                admitted.setdefault(run.request, run.at_ms)
        spans = [(sent[request], ran_ms) for request, ran_ms in admitted.items()]
        excess = max(excess, _window_excess(spans, rate, burst))
    return excess


def _greatest_limits(scene: stage.Stage) -> dict[str, tuple[float, float]]:
    limits: dict[str, tuple[float, float]] = {}
    for each in scene.scenario.workspaces:
        rate, burst = limits.get(each.name, (0.0, 0.0))
        limits[each.name] = max(rate, each.rate_per_s), max(burst, each.burst)
    return limits


def _window_excess(spans: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return the greatest excess of spans that lie within one window of whole seconds.

    Examples
    --------
    >>> _window_excess([(0.0, 10.0)] * 5, rate=1.0, burst=3.0)
    1.0
    """
    if not spans:
        return 0.0
    first_ms = min(start for start, _ in spans)
    last_ms = max(end for _, end in spans)
    edges = [first_ms]
    while edges[-1] < last_ms:
        edges.append(edges[-1] + _WINDOW_STEP_MS)
    worst = 0.0
    for index, start_ms in enumerate(edges):
        ends = sorted(end for start, end in spans if start >= start_ms)
        for end_ms in edges[index + 1 :]:
            count = sum(end <= end_ms for end in ends)
            worst = max(worst, count - burst - rate * (end_ms - start_ms) / _MS_PER_S)
    return worst


def _rows(scene: stage.Stage) -> list[caller.Row]:
    return scene.settle_rows + [row for run in scene.loads.values() for row in run.rows]
