"""Measures that scenarios set bounds on, and promises that must hold in every scenario.

A promise counts the violations of an invariant of the proxy, such as a second run of an idempotency
key.
"""

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
_BUSIEST_WINDOW_MS = 4_000.0
_MS_PER_S = 1_000.0
_EJECTED = "ejected"


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one check: its text, the measured value, and whether the check passed."""

    text: str
    value: float
    kept: bool


# A measure of a load is called with rows of the load and an argument. Any other measure is called
# with the scenario run, a name, an argument, and a time in milliseconds since the Unix epoch from
# which on it measures.
measures: registry.Registry[Callable[..., float]] = registry.Registry(kind="measure")
promises: registry.Registry[Callable[[stage.ScenarioRun], float]] = registry.Registry(
    kind="promise"
)


def check_expectations(scenario_run: stage.ScenarioRun) -> list[Result]:
    """Return the results of all expectations of the scenario."""
    return [_evaluate(scenario_run, each) for each in scenario_run.scenario.expectations]


def check_promises(scenario_run: stage.ScenarioRun) -> list[Result]:
    """Return the results of all promises; the value is a number of violations and must be 0."""
    results = []
    for name in promises:
        value = promises.get(name)(scenario_run)
        results.append(Result(text=f"{name} = 0", value=value, kept=value == 0))
    return results


def _evaluate(scenario_run: stage.ScenarioRun, expectation: language.Expectation) -> Result:
    after_ms = scenario_run.start_ms + expectation.after_ms
    measure = measures.get(expectation.measure)
    run = scenario_run.loads.get(expectation.subject)
    if run is not None:
        rows = [row for row in run.rows if row.started_ms >= after_ms]
        value = measure(rows, expectation.argument)
        if expectation.percent:
            value = _PERCENT * value / max(1, len({row.number for row in rows}))
    else:
        value = measure(scenario_run, expectation.subject, expectation.argument, after_ms)
    kept = expectation.operator.holds(value, expectation.bound)
    return Result(text=str(expectation), value=value, kept=kept)


def _register_verdict(verdict: caller.Verdict) -> None:
    measures.register(verdict.value)(lambda rows, _: sum(row.verdict is verdict for row in rows))


for _verdict in caller.Verdict:
    _register_verdict(_verdict)


@measures.register("sent")
def _sent(rows: list[caller.Row], _: str) -> float:
    return len(rows)


@measures.register("settled")
def _settled(rows: list[caller.Row], _: str) -> float:
    """Count the requests that got a whole answer, at once or after resends."""
    return len({row.number for row in rows if row.verdict is caller.Verdict.WHOLE})


@measures.register("code")
def _code(rows: list[caller.Row], code: str) -> float:
    return sum(row.code == code for row in rows)


@measures.register("connections")
def _connections(rows: list[caller.Row], _: str) -> float:
    connections = {row.target: row.connections for row in rows}
    return sum(connections.values())


@measures.register("unsure")
def _unsure(rows: list[caller.Row], _: str) -> float:
    """Count the refusals that do not state that the request did not run."""
    refused = [row for row in rows if row.verdict is caller.Verdict.REFUSED]
    return sum(row.not_run != "true" for row in refused)


@measures.register("runs")
def _runs(scenario_run: stage.ScenarioRun, server: str, _: str, after_ms: float) -> float:
    return sum(run.server == server and run.at_ms >= after_ms for run in scenario_run.fleet.runs())


@measures.register("busiest")
def _busiest(scenario_run: stage.ScenarioRun, server: str, _: str, after_ms: float) -> float:
    """Return the most requests that a server ran in any `_BUSIEST_WINDOW_MS`."""
    times = [
        run.at_ms
        for run in scenario_run.fleet.runs()
        if run.server == server and run.at_ms >= after_ms
    ]
    return max(
        (sum(start <= at < start + _BUSIEST_WINDOW_MS for at in times) for start in times),
        default=0,
    )


@measures.register("decided")
def _decided(scenario_run: stage.ScenarioRun, name: str, kind: str, after_ms: float) -> float:
    """Count the decisions of a kind about a server, host or workspace, or all for ``fleet``."""
    return sum(
        decision.kind.value == kind
        and name in ("fleet", decision.choice, decision.subject)
        and decision.at_ms >= after_ms
        for decision in scenario_run.decisions()
    )


@measures.register("ejected")
def _ejected(scenario_run: stage.ScenarioRun, name: str, _: str, after_ms: float) -> float:
    """Count the ejections of a server, or of all servers for ``fleet``.

    A network path that is avoided is not an ejection, although its decision has the same kind.
    """
    return sum(
        decision.kind is ring.DecisionKind.EJECT
        and decision.choice == _EJECTED
        and name in ("fleet", decision.subject)
        and decision.at_ms >= after_ms
        for decision in scenario_run.decisions()
    )


@measures.register("exited")
def _exited(scenario_run: stage.ScenarioRun, name: str, _: str, after_ms: float) -> float:
    """Return the exit code of a process, or -1000 if it still runs."""
    code = scenario_run.fleet.process(name).exit_code
    return -1000 if code is None else code


@measures.register("crashes")
def _crashes(scenario_run: stage.ScenarioRun, name: str, _: str, after_ms: float) -> float:
    """Count the servers of a service whose process has exited."""
    return sum(
        scenario_run.fleet.process(spec.server).exit_code is not None
        for spec in scenario_run.scenario.servers
        if spec.service == name
    )


@promises.register("answers broken but passed as whole")
def _broken(scenario_run: stage.ScenarioRun) -> float:
    return sum(row.verdict is caller.Verdict.BROKEN for row in _all_rows(scenario_run))


@promises.register("second runs of an idempotency key")
def _second_runs(scenario_run: stage.ScenarioRun) -> float:
    counts = collections.Counter(
        (run.workspace, run.key) for run in scenario_run.fleet.runs() if run.key
    )
    return sum(count - 1 for count in counts.values())


@promises.register("refusals that say not run but did")
def _false_not_run(scenario_run: stage.ScenarioRun) -> float:
    run_requests = {run.request for run in scenario_run.fleet.runs()}
    return sum(
        row.not_run == "true" and row.request in run_requests for row in _all_rows(scenario_run)
    )


@promises.register("keys seen by a backend server")
def _keys_seen(scenario_run: stage.ScenarioRun) -> float:
    return sum(run.secret for run in scenario_run.fleet.runs())


@promises.register("requests over a workspace's rate and burst")
def _over_rate(scenario_run: stage.ScenarioRun) -> float:
    """Return the highest number of requests admitted beyond a workspace's rate and burst.

    The windows begin and end at whole seconds after the first request. A request was admitted
    between its sending and its run, so it counts in a window if both lie within the window.
    """
    sent = {row.request: row.started_ms for row in _all_rows(scenario_run) if row.request}
    excess = 0.0
    for name, (rate, burst) in _highest_limits(scenario_run).items():
        admitted: dict[str, float] = {}
        for run in scenario_run.fleet.runs():
            if run.workspace == name and run.request in sent:
                admitted.setdefault(run.request, run.at_ms)
        spans = [(sent[request], run_at_ms) for request, run_at_ms in admitted.items()]
        excess = max(excess, _max_window_excess(spans, rate, burst))
    return excess


def _highest_limits(scenario_run: stage.ScenarioRun) -> dict[str, tuple[float, float]]:
    limits: dict[str, tuple[float, float]] = {}
    for each in scenario_run.scenario.workspaces:
        rate, burst = limits.get(each.name, (0.0, 0.0))
        limits[each.name] = max(rate, each.rate_per_s), max(burst, each.burst)
    return limits


def _max_window_excess(spans: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return the highest excess over rate and burst in any window of whole seconds.

    Parameters
    ----------
    spans : list of (float, float)
        Times in milliseconds between which each request was admitted.
    rate : float
        Allowed requests per second.
    burst : float
        Requests allowed beyond the rate.

    Examples
    --------
    >>> _max_window_excess([(0.0, 10.0)] * 5, rate=1.0, burst=3.0)
    1.0
    """
    if not spans:
        return 0.0
    first_ms = min(start for start, _ in spans)
    last_ms = max(end for _, end in spans)
    edges = [first_ms]
    while edges[-1] < last_ms:
        edges.append(edges[-1] + _WINDOW_STEP_MS)
    max_excess = 0.0
    for index, start_ms in enumerate(edges):
        ends = sorted(end for start, end in spans if start >= start_ms)
        for end_ms in edges[index + 1 :]:
            count = sum(end <= end_ms for end in ends)
            max_excess = max(max_excess, count - burst - rate * (end_ms - start_ms) / _MS_PER_S)
    return max_excess


def _all_rows(scenario_run: stage.ScenarioRun) -> list[caller.Row]:
    return scenario_run.startup_rows + [
        row for run in scenario_run.loads.values() for row in run.rows
    ]
