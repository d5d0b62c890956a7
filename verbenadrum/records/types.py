"""Typed records of the current schema version.

Unknown fields are ignored, so that a newer record does not break an older daemon.
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
    "WorkspaceSpec",
]

SCHEMA_VERSION = 2

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
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
    """Whether a backend server may get new work.

    A server is ``LAPSED`` for a short while after its record was withdrawn, if it was live then.
    """

    LIVE = "live"
    LEAVING = "leaving"
    LAPSED = "lapsed"


class BackendShare(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One of the services that a route's requests are split between, in proportion to weights."""

    service: Name
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class RouteSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Maps a host name and path prefix to a service.

    ``public`` routes need no key. ``timeout_ms`` bounds the whole request. Methods in
    ``idempotent_methods`` may be retried.

    Attributes
    ----------
    backends : tuple of BackendShare
        Services that the requests are split between; then ``service`` names the first of them.
    max_attempts : int
        Most backend servers that one request is sent to; 0 for no limit but the retry budget.
    target_latency_ms : float
        Time within which an answer has its full worth to the caller; 0 where none is stated.
    priority : int
        Rank under load; 0 is the most urgent.
    """

    path_prefix: Name
    service: Name
    host: str = ""
    public: bool = False
    timeout_ms: Positive = 10_000.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "TRACE")
    backends: tuple[BackendShare, ...] = ()
    max_attempts: Annotated[int, msgspec.Meta(ge=0)] = 0
    target_latency_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    priority: Annotated[int, msgspec.Meta(ge=0)] = 0


class WorkspaceSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Limits of one workspace, summed over the whole fleet.

    ``rate_per_s`` and ``burst`` count requests; ``weight`` is its share of a pool under load;
    ``home_data_centre`` holds its claims, or empty to spread workspaces over the fleet. Without
    ``limited`` every request is within the rate. ``priority`` goes before that of a route.
    """

    rate_per_s: Positive
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: Positive = 1.0
    home_data_centre: str = ""
    limited: bool = True
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None


class KeySpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Hash of a caller's key and the workspace that it opens."""

    workspace: Name
    sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One backend server of a pool; ``slots`` of 0 stands for the pool's.

    ``started_wall_ms`` tells two runs of a server apart, in milliseconds since the Unix epoch.
    """

    server: Name
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    state: ServerState = ServerState.LIVE
    slots: Annotated[int, msgspec.Meta(ge=0)] = 0
    started_wall_ms: float = 0.0
    warm_after_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ServerSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """One backend server that is published by itself; the record's name is the server.

    ``warm_after_ms`` is how much longer the server is slow after its start.
    """

    service: Name
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    state: ServerState = ServerState.LIVE
    slots: Annotated[int, msgspec.Meta(ge=0)] = 0
    started_wall_ms: float = 0.0
    warm_after_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """The backend servers of one service; the record's name is the service.

    ``floor`` is the fraction of live servers that ejection must leave in service. An answer
    without the request's identifier counts as another request's if ``echoes_request_id``.
    """

    servers: tuple[ServerEntry, ...]
    floor: Fraction = 0.5
    slots: Annotated[int, msgspec.Meta(ge=1)] = 3
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 300
    probe_path: str = "/"
    echoes_request_id: bool = True


class DataCentreShare(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Weight of one data centre in every workspace's rate and burst.

    Raising ``generation`` states that every earlier host of the data centre is gone. Hosts with
    no memory of an epoch may start the generation's first one until ``start_until_wall_ms``, in
    milliseconds since the Unix epoch, and only then.
    """

    data_centre: Name
    region: Name
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1
    start_until_wall_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class FleetSpec(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Data centres of the fleet and their shares; there is one record, named ``fleet``.

    ``serve_from_wall_ms`` is for the first start of a fleet: it states that no caller was served
    before the record, and no idempotency key is claimed before that time. The hosts that start
    the first epochs of generation 1 by then know of every claim ever made, and need not wait
    until keys of an unknown age have expired.
    """

    data_centres: tuple[DataCentreShare, ...]
    serve_from_wall_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class NamedRoute(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A route of a whole configuration."""

    name: Name
    spec: RouteSpec


class NamedWorkspace(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A workspace of a whole configuration."""

    name: Name
    spec: WorkspaceSpec


class NamedKey(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A key of a whole configuration."""

    name: Name
    spec: KeySpec


class NamedPool(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """A pool of a whole configuration; its servers may be published by themselves."""

    name: Name
    spec: PoolSpec


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """What a caller may send on one connection, and how long it may take or stay idle.

    Attributes
    ----------
    max_head_bytes : int
        Longest head of a request, the request line included.
    max_body_bytes : int
        Longest body of a request.
    head_timeout_ms : float
        Longest time from the first byte of a head to its last.
    idle_timeout_ms : float
        How long a connection may wait for its next request.
    """

    max_head_bytes: Annotated[int, msgspec.Meta(ge=1)] = 65_536
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 1 << 40
    head_timeout_ms: Positive = 30_000.0
    idle_timeout_ms: Positive = 75_000.0


class ConfigurationSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Every route, workspace, key and pool in one record, put in force as a whole.

    ``version`` is the operators' own number; a record with a smaller one than the version in
    force is not put in force.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    routes: tuple[NamedRoute, ...] = ()
    workspaces: tuple[NamedWorkspace, ...] = ()
    keys: tuple[NamedKey, ...] = ()
    pools: tuple[NamedPool, ...] = ()
    callers: CallerLimits = CallerLimits()


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
        Grows with each change of any record of the platform.
    spec : Spec or None
        The content, or None for a record that was withdrawn.
    """

    kind: RecordKind
    name: str
    revision: int
    spec: Spec | None
