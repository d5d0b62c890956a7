"""Parser of scenario files: hosts, servers, workspaces and routes, then events and expectations.

The grammar is in ``language.lark``. Events are carried out by `scenarios.actions`, and expectations
are checked by `scenarios.checks`.
"""

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
    """Raised if a scenario cannot be read or parsed, or names something that does not exist."""

    code = "bad-scenario"


class Operator(enum.Enum):
    """Comparison operator of an expectation."""

    AT_MOST = "<="
    AT_LEAST = ">="
    EQUAL = "="

    def holds(self, value: float, bound: float) -> bool:
        """Return whether the comparison of a value with a bound is true.

        Examples
        --------
        >>> Operator.AT_MOST.holds(1.0, 2.0)
        True
        """
        if self is Operator.EQUAL:
            return value == bound
        return value <= bound if self is Operator.AT_MOST else value >= bound


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """Workspace: its rate limit in requests per second, its burst in requests, and its keys."""

    name: str
    rate_per_s: float
    burst: float
    keys: tuple[str, ...] = ()


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Route: a path prefix, and the service that serves it.

    ``public`` routes need no key. ``timeout_ms`` is the time limit of a request in milliseconds.
    """

    path: str
    service: str
    public: bool = False
    timeout_ms: float = 10_000.0


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Event of a scenario.

    Attributes
    ----------
    at_ms : float
        Time in milliseconds after the start of the events.
    action : str
        Registered name of the action, which is the name of its grammar rule.
    arguments : tuple
        Positional arguments of the action.
    """

    at_ms: float
    action: str
    arguments: tuple


class Expectation(msgspec.Struct, frozen=True, kw_only=True):
    """Bound on a measure.

    Attributes
    ----------
    subject : str
        Load, host, server or service that is measured, or ``fleet``.
    measure : str
        Registered name of the measure.
    argument : str
        Argument of the measure, such as a code; empty for none.
    after_ms : float
        Only requests, runs and decisions from this time on are measured, in milliseconds after the
        start of the events.
    operator : Operator
        Comparison of the measured value with the bound.
    bound : float
        The bound; the percentage of the load's requests if ``percent`` is set.
    percent : bool
        Whether the measured value is converted to a percentage of the load's requests.
    """

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
    """Parsed scenario; ``seed`` is the seed of the daemons and the backend servers."""

    title: str = ""
    seed: int = 1
    hosts: list[fleet.HostSpec] = []
    servers: list[fleet.ServerSpec] = []
    workspaces: list[Workspace] = []
    routes: list[Route] = []
    events: list[Event] = []
    expectations: list[Expectation] = []


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read a file and return its scenario.

    Raises
    ------
    ScenarioError
        If the file cannot be read or parsed.
    """
    try:
        return parse_scenario(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(str(error)) from error


def parse_scenario(text: str) -> Scenario:
    r"""Parse the text of a scenario file.

    Raises
    ------
    ScenarioError
        If the text does not match the grammar; the message has the line number, and a mark under
        the first unexpected character.

    Examples
    --------
    >>> parse_scenario('scenario "One host"\nhosts h1 in d1 of r1').hosts[0].region
    'r1'
    """
    try:
        tree = _parser.parse(text)
    except lark.UnexpectedInput as error:
        raise ScenarioError(f"line {error.line}: {error.get_context(text)}") from error
    builder = _ScenarioBuilder()
    builder.transform(tree)
    return builder.scenario


def _duration_ms(token: str) -> float:
    return float(token[:-2]) if token.endswith("ms") else float(token[:-1]) * 1000.0


def _make_route(path: str, service: str, public: str | None, timeout_ms: float | None) -> Route:
    fields = {} if timeout_ms is None else {"timeout_ms": timeout_ms}
    return Route(path=path, service=service, public=public is not None, **fields)


class _ScenarioBuilder(lark.Transformer):
    """Builds a scenario; each method handles the grammar rule of its name."""

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
        self.scenario.routes.append(_make_route(*children))

    def publish_route(self, children: list) -> lark.Tree:
        return lark.Tree("publish_route", [_make_route(*children)])

    def event(self, children: list) -> None:
        at_ms, action = children
        arguments = tuple(action.children)
        self.scenario.events.append(
            Event(at_ms=at_ms, action=str(action.data), arguments=arguments)
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
        server, name, share, mode, rate_per_s, lasting_ms = children
        fault = behaviours.Fault(
            name=name,
            share=1.0 if share is None else share,
            mode=mode or "",
            rate_per_s=rate_per_s or 0.0,
        )
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
