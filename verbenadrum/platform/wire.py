"""Decoding of values of the platform's key-value store into records."""

import base64
import binascii
import hashlib
import re
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from verbenadrum.records import envelope, partial, revisions, types
from verbenadrum.utils import durations, errors

__all__ = [
    "CONFIGURATION_KEY",
    "SERVERS_PREFIX",
    "Item",
    "KeyAnswer",
    "MalformedValueError",
    "Page",
    "decode_item",
    "duration_ms",
    "refusal",
    "withdrawal",
]

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
# All versions of the configuration are revisions of one record with this name.
_CONFIGURATION_NAME = "configuration"
# Types of routes whose requests are idempotent, whatever their method.
_IDEMPOTENT_ROUTE_TYPES = frozenset({"safe", "download"})
_ROUTE_TYPES = frozenset({"safe", "download", "unsafe"})
# Slots of a server whose entry names none.
_DEFAULT_SLOTS = 3
_ALL_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
_SERVER_STATES = {"ready": types.ServerState.LIVE, "draining": types.ServerState.LEAVING}

# The name goes into a request header, so it must not contain spaces or control characters.
_SERVER_NAME_PATTERN = re.compile(r"[!-~]{1,200}")

# Longest message about a malformed value, which may repeat parts of it.
_MAX_FAULT_LENGTH = 500

# Every whole number up to this limit has an exact value as a float.
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class MalformedValueError(errors.VerbenadrumError):
    """A value of the store does not have the platform's format."""

    code = "malformed-value"


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One key of the store with its value; a watch also returns deleted keys.

    ``mod_revision`` is a value of the store's counter, without its generation.
    """

    key: str
    mod_revision: int
    value: str = ""
    deleted: bool = False


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a range (``items``) or a watch (``events``).

    ``current_rev`` is the revision of the store at the time of the answer, not of an item.
    """

    current_rev: int
    items: tuple[Item, ...] = ()
    events: tuple[Item, ...] = ()
    more_pages: bool = False


class KeyAnswer(Item, frozen=True, kw_only=True):
    """Answer to the lookup of an existing key."""

    current_rev: int


class _ServerInfo(msgspec.Struct, frozen=True, kw_only=True):
    # ``config_version`` is the version of the server's software, unlike in `_Configuration`.
    service: Text
    zone: Text
    capacity: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    config_version: str = ""


class _ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    # ``warmup_left`` is the remaining duration of slow responses after the server's start.
    state: Text
    sequence: NonNegativeInt
    warmup_left: str = "0ms"


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    # ``born`` is the start time of the server, in milliseconds since the Unix epoch.
    address: Text
    info: _ServerInfo
    status: _ServerStatus
    born: NonNegativeInt = 0


class _Backend(msgspec.Struct, frozen=True, kw_only=True):
    service: Text
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    # ``public`` routes need no key; ``timeout`` limits the time until the head of the answer.
    name: Text
    hostname: Text
    prefix: Text
    type: Text
    timeout: str
    target_latency: str = "0ms"
    priority: NonNegativeInt = 0
    service: str = ""
    backends: tuple[_Backend, ...] = ()
    max_attempts: NonNegativeInt = 0
    public: bool = False


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    # ``max_connections`` limits the connections to one server from all callers together.
    name: Text
    health_path: str = "/"
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 300


class _Tenant(msgspec.Struct, frozen=True, kw_only=True):
    # ``rate_per_s`` of 0 means no limit.
    name: Text
    api_keys: tuple[str, ...] = ()
    priority: NonNegativeInt | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    # ``max_header_bytes`` limits the header section as a whole, not one header. A missing field
    # selects the default of `types.CallerLimits`.
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_body_bytes: NonNegativeInt | None = None
    header_timeout: str | None = None
    idle_timeout: str | None = None


class _Configuration(msgspec.Struct, frozen=True, kw_only=True):
    # ``config_version`` has eight hexadecimal digits. If ``tenants`` is missing, no route needs a
    # key; if it is an empty list or null, no key is valid. The entries are decoded one by one, so
    # that a faulty one costs no other.
    config_version: str
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...]
    tenants: tuple[msgspec.Raw, ...] | msgspec.UnsetType | None = msgspec.UNSET
    limits: msgspec.Raw = msgspec.Raw(b"null")


def duration_ms(text: str) -> float:
    """Parse a duration of the store into milliseconds.

    Raises
    ------
    MalformedValueError
        If the text is not a number with the unit ms or s.

    Examples
    --------
    >>> duration_ms("2.5s")
    2500.0
    """
    try:
        return durations.parse_ms(text)
    except ValueError as error:
        raise MalformedValueError(str(error)) from error


def decode_item(
    item: Item, *, data_centres: frozenset[str], floor: float, generation: int = 0
) -> bytes | None:
    """Decode a key of the store into the envelope of its record.

    Parameters
    ----------
    item : Item
        The key with its value.
    data_centres : frozenset of str
        Known data centres; a server in another one is rejected.
    floor : float
        Fraction of a pool's servers that ejection must leave in service.
    generation : int
        Generation of the store that the key comes from.

    Returns
    -------
    bytes or None
        None for a key that is not a server or the configuration.

    Raises
    ------
    MalformedValueError
        If the value is malformed, its record would not be accepted, or the configuration was
        deleted. No other error leaves this function: other writers may store anything.
    """
    try:
        raw = _decode_record(item, data_centres, floor, generation)
        if raw is not None:
            envelope.parse(raw)
    except MalformedValueError:
        raise
    except Exception as error:
        raise MalformedValueError(f"{type(error).__name__}: {error}"[:_MAX_FAULT_LENGTH]) from error
    return raw


def _decode_record(
    item: Item, data_centres: frozenset[str], floor: float, generation: int
) -> bytes | None:
    if item.key == CONFIGURATION_KEY:
        if item.deleted:
            raise MalformedValueError("the configuration was deleted; the last one remains in use")
        spec = _configuration(_decode(item.value, _Configuration), floor)
        return envelope.render(
            types.Record(
                kind=types.RecordKind.CONFIGURATION,
                name=_CONFIGURATION_NAME,
                revision=revisions.join(generation, item.mod_revision),
                spec=spec,
                order=(spec.version, 0),
            )
        )
    if not item.key.startswith(SERVERS_PREFIX):
        return None
    if item.deleted:
        return withdrawal(item, generation=generation)
    name = item.key.removeprefix(SERVERS_PREFIX)
    if not _SERVER_NAME_PATTERN.fullmatch(name):
        raise MalformedValueError(f"server name {name!r} is not printable ASCII without spaces")
    server = _decode(item.value, _Server)
    return envelope.render(
        types.Record(
            kind=types.RecordKind.SERVER,
            name=name,
            revision=revisions.join(generation, item.mod_revision),
            spec=_server(server, data_centres),
            order=_server_order(server),
        )
    )


def refusal(item: Item, fault: str, *, generation: int = 0) -> bytes | None:
    """Return an envelope that tells every host why a key's value cannot be taken.

    A server whose entry is malformed is withdrawn. None for a key that is neither the
    configuration nor that of a server.
    """
    if item.key == CONFIGURATION_KEY:
        revision = revisions.join(generation, item.mod_revision)
        return envelope.render_refusal(
            types.RecordKind.CONFIGURATION, _CONFIGURATION_NAME, revision, fault
        )
    return withdrawal(item, generation=generation)


def withdrawal(item: Item, *, generation: int = 0) -> bytes | None:
    """Return the envelope that withdraws the server of a key; None if no server has that key.

    It states no writer's order, which a deleted or malformed entry does not have.
    """
    if not item.key.startswith(SERVERS_PREFIX):
        return None
    name = item.key.removeprefix(SERVERS_PREFIX)
    if not _SERVER_NAME_PATTERN.fullmatch(name):
        return None
    revision = revisions.join(generation, item.mod_revision)
    return envelope.render(
        types.Record(kind=types.RecordKind.SERVER, name=name, revision=revision, spec=None)
    )


def _server_order(server: _Server) -> tuple[int, int]:
    """Return start and sequence; the sequence of an unknown start has no place among others."""
    return (server.born, server.status.sequence) if server.born else types.UNKNOWN_ORDER


def _decode(value: str, expected: type):
    try:
        return msgspec.json.decode(base64.b64decode(value, validate=True), type=expected)
    except (msgspec.DecodeError, binascii.Error, RecursionError, ValueError) as error:
        raise MalformedValueError(f"cannot decode value: {error}") from error


def _server(server: _Server, data_centres: frozenset[str]) -> types.ServerSpec:
    state = _SERVER_STATES.get(server.status.state)
    if state is None:
        raise MalformedValueError(f"server state {server.status.state!r} is unknown")
    if server.info.zone not in data_centres:
        raise MalformedValueError(f"zone {server.info.zone!r} is not a data centre of the settings")
    return types.ServerSpec(
        service=server.info.service,
        address=server.address,
        data_centre=server.info.zone,
        state=state,
        slots=server.info.capacity,
        started_wall_ms=float(server.born),
        warm_after_ms=duration_ms(server.status.warmup_left),
    )


def _configuration(configuration: _Configuration, floor: float) -> types.ConfigurationSpec:
    try:
        version = int(configuration.config_version, 16)
    except ValueError as error:
        raise MalformedValueError(
            f"config_version {configuration.config_version!r} is not hexadecimal"
        ) from error
    keyless = configuration.tenants is msgspec.UNSET
    faults: list[str] = []
    tenants = _entries("tenants", configuration.tenants or (), _Tenant, faults)
    spec = types.ConfigurationSpec(
        version=version,
        routes=tuple(
            _entries(
                "routes", configuration.routes, _Route, faults, lambda each: _route(each, keyless)
            )
        ),
        workspaces=tuple(_workspace(tenant) for tenant in tenants),
        keys=tuple(key for tenant in tenants for key in _keys(tenant)),
        pools=tuple(
            _entries(
                "services",
                configuration.services,
                _Service,
                faults,
                lambda each: _pool(each, floor),
            )
        ),
        callers=_callers(configuration.limits, faults),
    )
    return partial.without_faulty_entries(spec, faults)


def _entries(
    group: str,
    raw_entries: Iterable[msgspec.Raw],
    expected: type,
    faults: list[str],
    convert: Callable = lambda entry: entry,
) -> list:
    """Return the entries that can be decoded and converted; add a fault for each other one."""
    found = []
    for index, raw in enumerate(raw_entries):
        try:
            found.append(convert(msgspec.json.decode(raw, type=expected)))
        except MalformedValueError as error:
            faults.append(f"{group}.{index}: {error.message}")
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            faults.append(f"{group}.{index}: {error}")
    return found


def _callers(raw: msgspec.Raw, faults: list[str]) -> types.CallerLimits:
    for limits in _entries("limits", (raw,), _Limits | None, faults, _limits):
        return limits
    return types.CallerLimits()


def _limits(limits: _Limits | None) -> types.CallerLimits:
    if limits is None:
        return types.CallerLimits()
    configured = {
        "max_head_bytes": limits.max_header_bytes,
        "max_body_bytes": limits.max_body_bytes,
    }
    timeouts = {"head_timeout_ms": limits.header_timeout, "idle_timeout_ms": limits.idle_timeout}
    configured |= {name: duration_ms(text) for name, text in timeouts.items() if text is not None}
    return types.CallerLimits(
        **{name: value for name, value in configured.items() if value is not None}
    )


def _route(route: _Route, keyless: bool) -> types.NamedRoute:
    if route.type not in _ROUTE_TYPES:
        raise MalformedValueError(f"type {route.type!r} of route {route.name!r} is unknown")
    if not route.service and not route.backends:
        raise MalformedValueError(f"route {route.name!r} has neither a service nor backends")
    backends = tuple(
        types.BackendShare(service=backend.service, weight=backend.weight)
        for backend in route.backends
    )
    spec = types.RouteSpec(
        path_prefix=route.prefix,
        service=route.service or backends[0].service,
        host=route.hostname.lower(),
        public=route.public or keyless,
        timeout_ms=duration_ms(route.timeout),
        idempotent_methods=_ALL_METHODS if route.type in _IDEMPOTENT_ROUTE_TYPES else (),
        backends=backends,
        max_attempts=route.max_attempts,
        target_latency_ms=duration_ms(route.target_latency),
        priority=route.priority,
    )
    return types.NamedRoute(name=route.name, spec=spec)


def _workspace(tenant: _Tenant) -> types.NamedWorkspace:
    limited = tenant.rate_per_s > 0
    spec = types.WorkspaceSpec(
        rate_per_s=tenant.rate_per_s if limited else 1.0,
        burst=max(1.0, tenant.burst),
        limited=limited,
        priority=tenant.priority,
    )
    return types.NamedWorkspace(name=tenant.name, spec=spec)


def _keys(tenant: _Tenant) -> list[types.NamedKey]:
    digests = (hashlib.sha256(key.encode()).hexdigest() for key in dict.fromkeys(tenant.api_keys))
    return [
        types.NamedKey(name=digest, spec=types.KeySpec(workspace=tenant.name, sha256=digest))
        for digest in digests
    ]


def _pool(service: _Service, floor: float) -> types.NamedPool:
    spec = types.PoolSpec(
        servers=(),
        floor=floor,
        slots=min(_DEFAULT_SLOTS, service.max_connections),
        max_connections=service.max_connections,
        probe_path=service.health_path or "/",
    )
    return types.NamedPool(name=service.name, spec=spec)
