"""Typed tables of the settings file."""

from typing import Annotated, Literal

import msgspec

from verbenadrum.engine import engine

__all__ = [
    "CallersTable",
    "DEFAULT_HEADERS",
    "HeadersTable",
    "HostTable",
    "LogTable",
    "MetricsTable",
    "OperatorsTable",
    "PeersTable",
    "PlatformTable",
    "RetriesTable",
    "Settings",
    "ShutdownTable",
]

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Address = Annotated[
    str,
    msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", description="ip:port"),
]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://", description="http:// or https:// URL")]


Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
HeaderName = Annotated[
    str,
    msgspec.Meta(pattern=r"^[A-Za-z0-9-]{1,100}$", description="letters, digits and hyphens"),
]


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables; undeclared keys are rejected."""


class HostTable(Table):
    """Identity and location of this host."""

    id: Name
    data_centre: Name
    region: Name


class CallersTable(Table):
    """Port for callers; TLS is enabled by setting a certificate."""

    listen: Address
    tls_cert: str = ""
    tls_key: str = ""


class OperatorsTable(Table):
    """Port for operators: health, readiness, metrics and status."""

    listen: Address


class PeersTable(Table):
    """Port for the other hosts.

    ``seeds`` are peer addresses to contact when the platform cannot be reached, or always with the
    seeded host list. If the three TLS files are set, both sides of each connection must present a
    certificate issued by ``tls_ca``.
    """

    listen: Address
    seeds: tuple[Address, ...] = ()
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""


class PlatformTable(Table):
    """URLs and timing of the platform's configuration service.

    ``source`` is the registered name of the client for its interface. A poll waits up to
    ``poll_wait_ms`` for a change; the read timeout is added to that. ``backoff_cap_ms`` is the
    longest delay after a failed call. A host that has received nothing from other hosts for
    ``isolated_after_ms`` reads the platform itself. ``floor`` is the fraction of a pool's servers
    that ejection must leave in service, unless a record sets it.
    """

    urls: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]
    source: Name = "records"
    connect_timeout_ms: Milliseconds = 1_000.0
    read_timeout_ms: Milliseconds = 2_000.0
    poll_wait_ms: Milliseconds = 10_000.0
    backoff_cap_ms: Milliseconds = 5_000.0
    isolated_after_ms: Milliseconds = 10_000.0
    floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class HeadersTable(Table):
    """Names of the headers that callers and backend servers exchange with the hosts.

    Attributes
    ----------
    request_id, deadline_ms, workspace : str
        Sent to backend servers. An answer that echoes a different request identifier is treated
        as the answer to another request. The deadline is the time left to the caller, in
        milliseconds.
    not_run, draining : str
        Set by a backend server that did not run the request, or that accepts no new work.
    limit : str
        Set by a backend server to the requests per second, a decimal number, that it takes from
        all hosts together. It holds for as long as its answers name it.
    expected_server : str
        Carries the name of the intended backend server, so that a different server at the same
        address can refuse the request; empty to send no such header.
    key_scheme : str
        Authentication scheme in the Authorization header that carries a caller's key.
    key_places : tuple of str
        Where a caller's key may be: ``authorization`` (the Authorization header), ``header`` (the
        X-Api-Key header), ``query`` (the parameter ``api_key``) or ``cookie`` (of the same name).
        What is not listed here is passed on as it came.
    keep_request_id : bool
        Whether a request identifier set by the caller is passed on to backend servers. A request
        without one is refused then.
    fractional_retry_after : bool
        Whether Retry-After may contain fractions of a second.
    unframed_answers : bool
        Whether an answer without a length is complete if its connection is closed cleanly, and the
        whole request was sent before.
    """

    request_id: HeaderName = "X-Request-Id"
    deadline_ms: HeaderName = "X-Deadline-Ms"
    workspace: HeaderName = "X-Workspace"
    not_run: HeaderName = "X-Not-Run"
    draining: HeaderName = "X-Draining"
    limit: HeaderName = "X-Rate-Limit"
    expected_server: str = ""
    key_scheme: HeaderName = "Bearer"
    key_places: tuple[Literal["authorization", "header", "query", "cookie"], ...] = (
        "authorization",
        "header",
        "query",
        "cookie",
    )
    keep_request_id: bool = False
    fractional_retry_after: bool = False
    unframed_answers: bool = False


DEFAULT_HEADERS = HeadersTable()


class RetriesTable(Table):
    """Retry budget of each service, shared by all hosts.

    Within any ``window_ms``, retries are limited to ``ratio`` times the number of requests, plus
    ``slack``.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    window_ms: Milliseconds = 10_000.0


class LimitsTable(Table):
    """What may be admitted beyond the limits of a workspace, by all hosts together.

    In any ``window_ms``, requests are limited to ``1 + overshoot`` times what rate and burst allow,
    plus ``slack``. Only the metered limiter makes use of it.
    """

    overshoot: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    window_ms: Milliseconds = 5_000.0


class ShutdownTable(Table):
    """Graceful shutdown of a host after SIGTERM.

    Requests still in flight are refused at ``limit_ms`` minus a margin, which is ``margin_ms`` but
    at least 400 ms; half of the margin is reserved for writing the refusals. Callers and load
    balancers notice a shutdown late, so the host keeps accepting connections for ``linger_ms``,
    but for at most half of the time until the refusals.
    """

    linger_ms: Milliseconds = 500.0
    limit_ms: Milliseconds = 3_600_000.0
    margin_ms: Milliseconds = 0.0


class LogTable(Table):
    """Log on standard output.

    At most ``lines_per_s`` decisions are written. Those of successful requests are dropped first,
    and the dropped ones are counted.
    """

    lines_per_s: Annotated[float, msgspec.Meta(ge=4)] = 400.0
    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class MetricsTable(Table):
    """Export of metrics, in addition to scraping on the operators' port.

    ``listen`` is an additional address of the operators' port, for a scraper that needs the same
    port on every host; empty for none. Metrics are pushed by OTLP to ``otlp_endpoint`` if set.
    """

    listen: Address | Literal[""] = ""
    otlp_endpoint: str = ""
    otlp_interval_ms: Annotated[int, msgspec.Meta(ge=1000)] = 15_000


class DecisionsTable(engine.Choices, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Registered names of the algorithms of the core, and its random seed (0 for a random seed)."""

    seed: Annotated[int, msgspec.Meta(ge=0)] = 0
    ring_size: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] = 4096


class Settings(Table):
    """The whole settings file."""

    host: HostTable
    callers: CallersTable
    operators: OperatorsTable
    peers: PeersTable
    platform: PlatformTable
    decisions: DecisionsTable = DecisionsTable()
    log: LogTable = LogTable()
    metrics: MetricsTable = MetricsTable()
    headers: HeadersTable = HeadersTable()
    shutdown: ShutdownTable = ShutdownTable()
    retries: RetriesTable = RetriesTable()
    limits: LimitsTable = LimitsTable()
    # Maps data centres to regions, where the records do not define it.
    data_centres: dict[Name, Name] = {}
