"""Checks of a record's content that its schema cannot express.

Each check yields every fault as ``key path: description``. A check may depend on the one record
only, so that hosts which hold different sets of records accept the same revisions.
"""

import collections
import math
import re
from collections.abc import Callable, Iterable, Iterator

from verbenadrum.records import types

__all__ = ["FLEET_RECORD_NAME", "faults", "register"]

FLEET_RECORD_NAME = "fleet"

# Far above every sound value, and small enough for sums of them.
_MAX_TIMEOUT_MS = 1e12
_MAX_RATE_PER_S = 1e12
_MAX_WEIGHT = 1e12
_MAX_SLOTS = 10_000
_MAX_PORT = 65_535
_MAX_OCTET = 255

_METHOD = re.compile(r"[A-Z]+")
_PATH = re.compile(r"/[^\s?#]*")
_HOST_NAME = re.compile(r"[^\s/?#@A-Z]*")

Check = Callable[[str, types.Spec], Iterator[str]]

_checks: dict[types.RecordKind, Check] = {}


def register(kind: types.RecordKind) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of one kind of record."""

    def decorate(check: Check) -> Check:
        _checks[kind] = check
        return check

    return decorate


def faults(kind: types.RecordKind, name: str, spec: types.Spec) -> Iterator[str]:
    """Yield the faults of a spec that is valid under its schema.

    Parameters
    ----------
    kind : RecordKind
        Kind of the record.
    name : str
        Name of the record.
    spec : Spec
        Content of the record.

    Yields
    ------
    str
        One fault, as ``key path: description``; nothing for a valid spec.

    Examples
    --------
    >>> list(faults(types.RecordKind.ROUTE, "all", types.RouteSpec(path_prefix="x", service="s")))
    ["spec.path_prefix: 'x' is not a path that begins with '/'"]
    """
    check = _checks.get(kind)
    if check is not None:
        yield from check(name, spec)


@register(types.RecordKind.ROUTE)
def _check_route(name: str, spec: types.RouteSpec) -> Iterator[str]:
    yield from _check_path("spec.path_prefix", spec.path_prefix)
    if not _HOST_NAME.fullmatch(spec.host):
        yield f"spec.host: {spec.host!r} is not a lower-case host name without a port"
    yield from _check_range("spec.timeout_ms", spec.timeout_ms, _MAX_TIMEOUT_MS)
    for index, share in enumerate(spec.backends):
        yield from _check_range(f"spec.backends.{index}.weight", share.weight, _MAX_WEIGHT)
    for index, method in enumerate(spec.idempotent_methods):
        if not _METHOD.fullmatch(method):
            yield f"spec.idempotent_methods.{index}: {method!r} is not an upper-case HTTP method"


@register(types.RecordKind.WORKSPACE)
def _check_workspace(name: str, spec: types.WorkspaceSpec) -> Iterator[str]:
    yield from _check_range("spec.rate_per_s", spec.rate_per_s, _MAX_RATE_PER_S)
    yield from _check_range("spec.burst", spec.burst, _MAX_RATE_PER_S)
    yield from _check_range("spec.weight", spec.weight, _MAX_RATE_PER_S)


@register(types.RecordKind.POOL)
def _check_pool(name: str, spec: types.PoolSpec) -> Iterator[str]:
    yield from _check_unique("spec.servers", "server", (entry.server for entry in spec.servers))
    yield from _check_unique("spec.servers", "address", (entry.address for entry in spec.servers))
    for index, entry in enumerate(spec.servers):
        if not _is_address(entry.address):
            yield f"spec.servers.{index}.address: {entry.address!r} is not of the form ip:port"
    yield from _check_path("spec.probe_path", spec.probe_path.partition("?")[0])
    if spec.slots > _MAX_SLOTS:
        yield f"spec.slots: {spec.slots} is more than {_MAX_SLOTS}"
    if spec.max_connections < spec.slots:
        yield f"spec.max_connections: {spec.max_connections} is less than slots ({spec.slots})"


@register(types.RecordKind.FLEET)
def _check_fleet(name: str, spec: types.FleetSpec) -> Iterator[str]:
    if name != FLEET_RECORD_NAME:
        yield f"name: a fleet record is named {FLEET_RECORD_NAME!r}, not {name!r}"
    names = [entry.data_centre for entry in spec.data_centres]
    yield from _check_unique("spec.data_centres", "data_centre", names)
    if not all(math.isfinite(entry.weight) for entry in spec.data_centres):
        yield "spec.data_centres: a weight is not finite"
    if not sum(entry.weight for entry in spec.data_centres) > 0:
        yield "spec.data_centres: the weights add up to 0"


@register(types.RecordKind.SERVER)
def _check_server(name: str, spec: types.ServerSpec) -> Iterator[str]:
    if not _is_address(spec.address):
        yield f"spec.address: {spec.address!r} is not of the form ip:port"
    if spec.slots > _MAX_SLOTS:
        yield f"spec.slots: {spec.slots} is more than {_MAX_SLOTS}"


@register(types.RecordKind.CONFIGURATION)
def _check_configuration(name: str, spec: types.ConfigurationSpec) -> Iterator[str]:
    groups = (
        ("routes", types.RecordKind.ROUTE, spec.routes),
        ("workspaces", types.RecordKind.WORKSPACE, spec.workspaces),
        ("keys", types.RecordKind.KEY, spec.keys),
        ("pools", types.RecordKind.POOL, spec.pools),
    )
    for group, kind, entries in groups:
        yield from _check_unique(f"spec.{group}", "name", (entry.name for entry in entries))
        for entry in entries:
            for fault in faults(kind, entry.name, entry.spec):
                yield f"spec.{group}.{entry.name}.{fault}"


def _check_path(key_path: str, path: str) -> Iterator[str]:
    if not path.startswith("/"):
        yield f"{key_path}: {path!r} is not a path that begins with '/'"
    elif not _PATH.fullmatch(path):
        yield f"{key_path}: {path!r} contains a space, '?' or '#'"


def _check_range(key_path: str, value: float, maximum: float) -> Iterator[str]:
    if not value <= maximum:
        yield f"{key_path}: {value} is more than {maximum:.0f}"


def _check_unique(key_path: str, field: str, values: Iterable[str]) -> Iterator[str]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield f"{key_path}: {field} {value!r} is listed {count} times"


def _is_address(address: str) -> bool:
    octets, _, port = address.rpartition(":")
    parts = octets.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        return False
    return all(int(part) <= _MAX_OCTET for part in parts) and 0 < int(port) <= _MAX_PORT
