"""Typed tables of the settings file."""

from typing import Annotated, Literal

import msgspec

from verbenadrum.core import engine

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
    """Base of every table: a key that is not declared is an error."""


class HostTable(Table):
    """Who this host is."""

    id: Name
    data_centre: Name
    region: Name


class CallersTable(Table):
    """Port for callers; TLS is on where a certificate is named."""

    listen: Address
    tls_cert: str = ""
    tls_key: str = ""


class OperatorsTable(Table):
    """Port for operators: health, readiness, metrics and status."""

    listen: Address


class PeersTable(Table):
    """Port for the other hosts.

    ``seeds`` are peer addresses that a host asks when it cannot reach the platform. With the
    three TLS files set, both sides of each connection must show a certificate of ``tls_ca``.
    """

    listen: Address
    seeds: tuple[Address, ...] = ()
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""


class PlatformTable(Table):
    """Where the platform's configuration service is read, and how long a call may take.

    ``source`` names the interface that is spoken there. The read time-out counts beyond
    ``poll_wait_ms``, for which a call may wait for a change. A host that has heard no other
    one for ``isolated_after_ms`` reads for itself. ``floor`` is the fraction of a pool's servers
    that ejection leaves in service where the records do not say.
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
        Sent to backend servers. An answer that echoes another request identifier is not the
        request's. The deadline is what is left of the caller's time, in milliseconds.
    not_run, draining : str
        Set by a backend server that did not run the request, and by one that wants no new work.
    expected_server : str
        Tells a backend server which one is meant, so that another one at its address refuses;
        empty for none.
    key_scheme : str
        Scheme of the Authorization header that carries a caller's key.
    keep_request_id : bool
        Whether a caller's own request identifier goes to backend servers.
    fractional_retry_after : bool
        Whether Retry-After may hold fractions of a second.
    unframed_answers : bool
        Whether an answer without a length counts as whole if its connection ends cleanly.
    """

    request_id: HeaderName = "X-Request-Id"
    deadline_ms: HeaderName = "X-Deadline-Ms"
    workspace: HeaderName = "X-Workspace"
    not_run: HeaderName = "X-Not-Run"
    draining: HeaderName = "X-Draining"
    expected_server: str = ""
    key_scheme: HeaderName = "Bearer"
    keep_request_id: bool = False
    fractional_retry_after: bool = False
    unframed_answers: bool = False


DEFAULT_HEADERS = HeadersTable()


class RetriesTable(Table):
    """Repeats of requests that one service may get from all hosts together.

    In any ``window_ms`` they are at most ``ratio`` times the requests, and ``slack`` besides.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    window_ms: Milliseconds = 10_000.0


class ShutdownTable(Table):
    """How a host ends after SIGTERM.

    For ``linger_ms`` it still accepts connections, since callers or a balancer learn of the end
    late, though no longer than half of its time. ``margin_ms`` before ``limit_ms``, and at least
    400 ms before it, every request that is still in flight is refused; half of this time is for
    writing the refusals.
    """

    linger_ms: Milliseconds = 500.0
    limit_ms: Milliseconds = 3_600_000.0
    margin_ms: Milliseconds = 0.0


class LogTable(Table):
    """What is logged to standard output.

    Of decisions at most ``lines_per_s`` are written; those of requests in good order are left out
    first, and counted.
    """

    lines_per_s: Annotated[float, msgspec.Meta(ge=4)] = 400.0
    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class MetricsTable(Table):
    """Where metrics are pushed by OTLP, besides the scraping on the operators' port.

    ``listen`` is a further address of the operators' port, for a scraper that needs the same port
    on every host; empty for none.
    """

    listen: Address | Literal[""] = ""
    otlp_endpoint: str = ""
    otlp_interval_ms: Annotated[int, msgspec.Meta(ge=1000)] = 15_000


class DecisionsTable(engine.Choices, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Behaviours of the core by their registered names, and its random seed (0 for random)."""

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
    # Regions by the names of their data centres, where no record says it.
    data_centres: dict[Name, Name] = {}
