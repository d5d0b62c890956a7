"""Leaves faulty entries out of a configuration, so that each costs no other."""

from collections.abc import Iterable

import msgspec

from verbenadrum.records import checks, types

__all__ = ["MAX_FAULTS", "without_faulty_entries"]

# Most faults that a configuration names; their number is given as well.
MAX_FAULTS = 20
_MAX_FAULT_CHARS = 300
_KINDS = {
    "routes": types.RecordKind.ROUTE,
    "workspaces": types.RecordKind.WORKSPACE,
    "keys": types.RecordKind.KEY,
    "pools": types.RecordKind.POOL,
}


def without_faulty_entries(
    spec: types.ConfigurationSpec, faults: Iterable[str] = ()
) -> types.ConfigurationSpec:
    """Return a configuration without the entries that their types or the checks refuse.

    Of entries with the same name the first one stays, and faulty limits of callers give way to the
    default ones. What was left out stands in ``faults`` of the result, after the given faults.

    Examples
    --------
    >>> good = types.NamedRoute(name="r", spec=types.RouteSpec(path_prefix="/", service="s"))
    >>> bad = types.NamedRoute(name="b", spec=types.RouteSpec(path_prefix="x", service="s"))
    >>> spec = without_faulty_entries(types.ConfigurationSpec(version=1, routes=(good, bad)))
    >>> [route.name for route in spec.routes], spec.faults
    (['r'], ("routes.b: spec.path_prefix: 'x' is not a path that begins with '/'",))
    """
    found = list(faults)
    kept = {
        group: tuple(_sound_entries(group, kind, getattr(spec, group), found))
        for group, kind in _KINDS.items()
    }
    if fault := _type_fault(spec.callers):
        found.append(f"callers: {fault}")
        kept["callers"] = types.CallerLimits()
    return msgspec.structs.replace(spec, **kept, faults=_limited(found))


def _sound_entries(group: str, kind: types.RecordKind, entries: tuple, found: list[str]):
    names = set()
    for entry in entries:
        fault = _type_fault(entry)
        faults = [fault] if fault else list(checks.faults(kind, entry.name, entry.spec))
        if entry.name in names:
            faults.append("the name is listed before")
        if faults:
            found.append(f"{group}.{entry.name}: {'; '.join(faults)}")
            continue
        names.add(entry.name)
        yield entry


def _type_fault(value: msgspec.Struct) -> str:
    """Return what breaks the bounds of a value's type, which its construction does not check."""
    try:
        msgspec.json.decode(msgspec.json.encode(value), type=type(value))
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _limited(faults: list[str]) -> tuple[str, ...]:
    limited = [fault[:_MAX_FAULT_CHARS] for fault in faults[:MAX_FAULTS]]
    if len(faults) > MAX_FAULTS:
        limited.append(f"and {len(faults) - MAX_FAULTS} more")
    return tuple(limited)
