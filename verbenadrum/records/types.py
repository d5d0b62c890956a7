"""Typed records of the current schema version.

Unknown fields are ignored, so that an older daemon can read records of a newer version. The
content of a record is called its spec.
"""

import enum
from typing import Annotated

import msgspec

__all__ = [
    "BackendShare",
    "CallerLimits",
    "ConfigurationSpec",
    "DataCentreShare",
    "FleetSpec",
    "KeySpec",
    "NamedKey",
    "NamedPool",
    "NamedRoute",
    "NamedWorkspace",
    "PoolSpec",
    "Record",
    "RecordKind",
    "RouteSpec",
    "SCHEMA_VERSION",
    "ServerEntry",
    "ServerSpec",
    "ServerState",
    "Spec",
    "UNKNOWN_ORDER",
    "WorkspaceSpec",
]

SCHEMA_VERSION = 2
# `Record.order` of a content whose writer states none.
UNKNOWN_ORDER = (0, 0)

# Name of a record of its own.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# Name or text inside a record, which is bounded by the size of the record.
Text = Annotated[str, msgspec.Meta(min_length=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class RecordKind(enum.Enum):
    """What a record describes."""

    ROUTE = "route"
    WORKSPACE = "workspace"
    KEY = "key"
    POOL = "pool"
    FLEET = "fleet"
    CONFIGURATION = "configuration"
    SERVER = "server"


class ServerState(enum.Enum):
    """Whether a backend server may be assigned new work.

    ``LAPSED`` is a server that was live when its own record was withdrawn, until it is dropped from
    its pool. Hosts set this state; operators do not publish it.
    """

    LIVE = "live"
    LEAVING = "leaving"
    LAPSED = "lapsed"


class BackendShare(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One of the services among which the requests of a route are divided by weight."""

    service: Text
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class RouteSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Maps a host name and path prefix to a service.

    Attributes
    ----------
    path_prefix : str
        Prefix of the path as callers send it, percent-encoding included, matched at segment
        boundaries.
    service : str
        Name of the service, and of its pool.
    host : str
        Host name in lower case without a port; empty for any.
    public : bool
        Whether requests need no API key.
    timeout_ms : float
        Time limit from the head of a request to the head of its answer.
    idempotent_methods : tuple of str
        HTTP methods whose requests may be sent more than once.
    backends : tuple of BackendShare
        Services among which the requests are divided; if there are any, ``service`` names the
        first of them.
    max_attempts : int
        Maximum number of backend servers to which one request is sent, not counting a few
        attempts that did not run; 0 for no limit except the retry budget.
    target_latency_ms : float
        Latency target, from the head of a request to its answer; 0 for none.
    priority : int
        Rank under load; 0 is the most urgent.
    """

    path_prefix: Text
    service: Text
    host: str = ""
    public: bool = False
    timeout_ms: Positive = 10_000.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "TRACE")
    backends: tuple[BackendShare, ...] = ()
    max_attempts: Annotated[int, msgspec.Meta(ge=0)] = 0
    target_latency_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    priority: Annotated[int, msgspec.Meta(ge=0)] = 0


class WorkspaceSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Limits of one workspace, for the whole fleet together.

    Attributes
    ----------
    rate_per_s : float
        Sustained rate, in requests per second.
    burst : float
        Requests that may exceed the rate at once, after a period without requests.
    weight : float
        Weight of the workspace's share of a pool under load.
    home_data_centre : str
        Data centre that holds the claims of its idempotency keys; empty to distribute workspaces
        over the fleet.
    limited : bool
        Whether rate and burst apply; if False, every request is admitted.
    priority : int or None
        Rank under load, in place of the route's; 0 is the most urgent, None leaves the route's.
    """

    rate_per_s: Positive
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: Positive = 1.0
    home_data_centre: str = ""
    limited: bool = True
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None


class KeySpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """SHA-256 of an API key, as lower-case hexadecimal digits, and the workspace it belongs to."""

    workspace: Text
    sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One backend server of a pool.

    Attributes
    ----------
    server : str
        Identifier of the server.
    address : str
        ``ip:port``.
    data_centre : str
        Data centre of the server; empty for unknown.
    state : ServerState
        Whether it may be assigned new work.
    slots : int
        Maximum number of requests in flight at the server; 0 for the value of the pool.
    started_wall_ms : float
        Start of the server in milliseconds since the Unix epoch, which distinguishes two runs of
        it; 0 for unknown.
    warm_after_ms : float
        Remaining warm-up time when the entry was published, during which the server is slow.
    """

    server: Name
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    state: ServerState = ServerState.LIVE
    slots: Annotated[int, msgspec.Meta(ge=0)] = 0
    started_wall_ms: float = 0.0
    warm_after_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ServerSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One backend server that has a record of its own; the record's name is the server.

    ``service`` names the pool to which it is added; the other fields are those of `ServerEntry`.
    """

    service: Text
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    state: ServerState = ServerState.LIVE
    slots: Annotated[int, msgspec.Meta(ge=0)] = 0
    started_wall_ms: float = 0.0
    warm_after_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """The backend servers of one service; the record's name is the service.

    Attributes
    ----------
    servers : tuple of ServerEntry
        The servers, without those that have records of their own.
    floor : float
        Minimum fraction of the live servers that ejection leaves in service.
    slots : int
        Maximum number of requests in flight at one server.
    max_connections : int
        Maximum number of connections to one server, at least ``slots``.
    probe_path : str
        Path, with an optional query, that health probes request.
    echoes_request_id : bool
        Whether the servers repeat the request's identifier in every answer. An answer without it
        is then treated as the answer to another request.
    """

    servers: tuple[ServerEntry, ...]
    floor: Fraction = 0.5
    slots: Annotated[int, msgspec.Meta(ge=1)] = 3
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 300
    probe_path: str = "/"
    echoes_request_id: bool = True


class DataCentreShare(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Weight of one data centre in the division of every workspace's rate and burst.

    Attributes
    ----------
    data_centre, region : str
        Identifiers of the data centre and its region.
    weight : float
        Weight among the data centres of the fleet.
    generation : int
        Raised by operators to declare that every earlier host of the data centre is gone.
    start_until_wall_ms : float
        Time, in milliseconds since the Unix epoch, until which hosts that have had no epoch of the
        generation since they started may start its first one. After it they may not.
    """

    data_centre: Name
    region: Name
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1
    start_until_wall_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class FleetSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Data centres of the fleet and their shares; there is one record, named ``fleet``.

    ``serve_from_wall_ms``, in milliseconds since the Unix epoch, is for the first start of a
    fleet. It declares that no request was served before this record was published, and that no
    idempotency key is claimed before that time. Witnesses that start the first epochs of
    generation 1 by then cannot lack the row of an earlier claim, so they need not wait until keys
    that may have been claimed earlier have expired.
    """

    data_centres: tuple[DataCentreShare, ...]
    serve_from_wall_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class NamedRoute(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A route of a configuration record."""

    name: Text
    spec: RouteSpec


class NamedWorkspace(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A workspace of a configuration record."""

    name: Text
    spec: WorkspaceSpec


class NamedKey(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """An API key of a configuration record."""

    name: Text
    spec: KeySpec


class NamedPool(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A pool of a configuration record; its servers may have records of their own."""

    name: Text
    spec: PoolSpec


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Limits on the size and timing of what a caller sends on one connection.

    Attributes
    ----------
    max_head_bytes : int
        Maximum size of a request's head, including the request line.
    max_body_bytes : int
        Maximum size of a request's body.
    head_timeout_ms : float
        Maximum time from the first byte of a head to its last.
    idle_timeout_ms : float
        Maximum time between an answer and the next request of a connection.
    """

    max_head_bytes: Annotated[int, msgspec.Meta(ge=1)] = 65_536
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 1 << 40
    head_timeout_ms: Positive = 30_000.0
    idle_timeout_ms: Positive = 75_000.0


class ConfigurationSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Every route, workspace, API key and pool in one record, put in force together.

    ``version`` is a number chosen by the operators; a record with a smaller ``version`` than the
    one in force has no effect, even if its revision is greater. ``callers`` limits what callers
    may send. ``faults`` tells what was left out when the record was made.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    routes: tuple[NamedRoute, ...] = ()
    workspaces: tuple[NamedWorkspace, ...] = ()
    keys: tuple[NamedKey, ...] = ()
    pools: tuple[NamedPool, ...] = ()
    callers: CallerLimits = CallerLimits()
    faults: tuple[str, ...] = ()


Spec = RouteSpec | WorkspaceSpec | KeySpec | PoolSpec | FleetSpec | ConfigurationSpec | ServerSpec


class Record(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """An accepted record.

    Attributes
    ----------
    kind : RecordKind
        What it describes.
    name : str
        Unique among the records of its kind.
    revision : int
        Number that the platform increases with each change of any record; see
        `verbenadrum.records.revisions`.
    spec : Spec or None
        The content, or None if the record was withdrawn.
    order : tuple of int
        Place of the content among all that the record's writer has published: of two contents the
        one of the greater ``order`` is later. (0, 0) is unknown. A withdrawn record has that of
        the content that was withdrawn.
    """

    kind: RecordKind
    name: str
    revision: int
    spec: Spec | None
    order: tuple[int, int] = UNKNOWN_ORDER
