"""Parses a scenario file into typed actors, events and expectations."""

import enum
import pathlib

import lark
import msgspec

from standins import behaviours, caller, fleet
from verbenadrum.utils import errors

__all__ = [
    "Event",
    "Expectation",
    "Operator",
    "Route",
    "Scenario",
    "ScenarioError",
    "Workspace",
    "load_scenario",
    "parse_scenario",
]

_GRAMMAR_PATH = pathlib.Path(__file__).with_name("language.lark")
_PERCENT = 100.0


class ScenarioError(errors.VerbenadrumError):
    """A scenario that cannot be understood."""

    code = "bad-scenario"


class Operator(enum.Enum):
    """Comparison of an expectation."""

    AT_MOST = "<="
    AT_LEAST = ">="
    EQUAL = "="

    def holds(self, value: float, bound: float) -> bool:
        """Return whether a value compares to a bound as this operator says.

        Examples
        --------
        >>> Operator.AT_MOST.holds(1.0, 2.0)
        True
        """
        if self is Operator.EQUAL:
            return value == bound
        return value <= bound if self is Operator.AT_MOST else value >= bound


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace with its limits and the names of its keys."""

    name: str
    rate_per_s: float
    burst: float
    keys: tuple[str, ...] = ()


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A path prefix and the service behind it."""

    path: str
    service: str
    public: bool = False
    timeout_ms: float = 10_000.0


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Something that happens; ``arguments`` fit the action of this name."""

    at_ms: float
    action: str
    arguments: tuple


class Expectation(msgspec.Struct, frozen=True, kw_only=True):
    """A bound on a measure of a subject, as a share of all requests for ``percent``."""

    subject: str
    measure: str
    argument: str
    after_ms: float
    operator: Operator
    bound: float
    percent: bool

    def __str__(self) -> str:
        words = [self.subject, self.measure, self.argument]
        if self.after_ms:
            words.append(f"after {self.after_ms / 1000.0:g}s")
        unit = "%" if self.percent else ""
        return " ".join(filter(None, [*words, self.operator.value, f"{self.bound:g}{unit}"]))


class Scenario(msgspec.Struct, kw_only=True):
    """A whole scenario."""

    title: str = ""
    seed: int = 1
    hosts: list[fleet.HostSpec] = []
    servers: list[fleet.ServerSpec] = []
    workspaces: list[Workspace] = []
    routes: list[Route] = []
    events: list[Event] = []
    expectations: list[Expectation] = []


def load_scenario(path: pathlib.Path) -> Scenario:
    """Return the scenario in a file.

    Raises
    ------
    ScenarioError
        If the file cannot be read or understood.
    """
    try:
        return parse_scenario(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(str(error)) from error


def parse_scenario(text: str) -> Scenario:
    r"""Return the scenario in a text.

    Raises
    ------
    ScenarioError
        With line and column of what was not understood.

    Examples
    --------
    >>> parse_scenario('scenario "One host"\nhosts h1 in d1 of r1').hosts[0].region
    'r1'
    """
    try:
        tree = _parser.parse(text)
    except lark.UnexpectedInput as error:
        raise ScenarioError(f"line {error.line}: {error.get_context(text)}") from error
    builder = _Builder()
    builder.transform(tree)
    return builder.scenario


def _duration_ms(token: str) -> float:
    return float(token[:-2]) if token.endswith("ms") else float(token[:-1]) * 1000.0


class _Builder(lark.Transformer):
    """Fills a scenario; each method takes the children of the rule of its name."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    INT = int
    NUMBER = float
    DURATION = staticmethod(_duration_ms)
    NAME = METHOD = PATH = BEHAVIOUR = PLATFORM_FAULT = str
    STRING = staticmethod(lambda token: str(token)[1:-1])
    OP = staticmethod(lambda token: Operator(str(token)))

    def title(self, children: list) -> None:
        self.scenario.title = children[0]

    def seed(self, children: list) -> None:
        self.scenario.seed = children[0]

    def hosts(self, children: list) -> None:
        *names, data_centre, region = children
        for name in names:
            spec = fleet.HostSpec(host=name, data_centre=data_centre, region=region)
            self.scenario.hosts.append(spec)

    def servers(self, children: list) -> None:
        *names, service, data_centre = children
        for name in names:
            spec = fleet.ServerSpec(server=name, service=service, data_centre=data_centre)
            self.scenario.servers.append(spec)

    def limits(self, children: list) -> tuple:
        return tuple(children)

    def workspace(self, children: list) -> None:
        name, (rate, burst), *keys = children
        self.scenario.workspaces.append(
            Workspace(name=name, rate_per_s=rate, burst=burst, keys=tuple(keys))
        )

    def route(self, children: list) -> None:
        path, service, public, timeout_ms = children
        fields = {} if timeout_ms is None else {"timeout_ms": timeout_ms}
        route = Route(path=path, service=service, public=public is not None, **fields)
        self.scenario.routes.append(route)

    def event(self, children: list) -> None:
        at_ms, happening = children
        arguments = tuple(happening.children)
        self.scenario.events.append(
            Event(at_ms=at_ms, action=str(happening.data), arguments=arguments)
        )

    def expectation(self, children: list) -> None:
        subject, measure, argument, after_ms, operator, bound, percent = children
        self.scenario.expectations.append(
            Expectation(
                subject=subject,
                measure=measure,
                argument=argument or "",
                after_ms=after_ms or 0.0,
                operator=operator,
                bound=bound,
                percent=percent is not None,
            )
        )

    def load(self, children: list) -> lark.Tree:
        name, rate, duration_ms, method, path, keys, targets, *options = children
        fields = dict(options)
        load = caller.Load(
            name=name,
            rate_per_s=rate,
            duration_ms=duration_ms,
            method=method,
            path=path,
            keys=keys,
            targets=targets,
            **fields,
        )
        return lark.Tree("load", [load])

    def misbehave(self, children: list) -> lark.Tree:
        server, name, share, mode, lasting_ms = children
        share = 1.0 if share is None else share
        fault = behaviours.Fault(name=name, share=share, mode=mode or "")
        return lark.Tree("misbehave", [server, fault, lasting_ms])

    def keys(self, children: list) -> tuple:
        return children[0]

    def nobody(self, _: list) -> tuple:
        return ()

    def names(self, children: list) -> tuple:
        return tuple(children)

    def share(self, children: list) -> float:
        return children[0] / _PERCENT

    def keyed(self, _: list) -> tuple:
        return "keyed", True

    def resent(self, _: list) -> tuple:
        return "resend", True

    def one_connection(self, _: list) -> tuple:
        return "one_connection", True

    def taking(self, children: list) -> tuple:
        return "service_ms", children[0]

    def size(self, children: list) -> tuple:
        return "size", children[0]

    def body(self, children: list) -> tuple:
        return "body_bytes", children[0]


_parser = lark.Lark(
    _GRAMMAR_PATH.read_text(encoding="utf-8"), parser="lalr", maybe_placeholders=True
)
