"""Upgrades of record specs from one schema version to the next.

Each step upgrades the spec of one kind by one version. A kind without a step for a version did not
change in it. A step leaves invalid values unchanged, so that the validation that follows reports
them.
"""

from collections.abc import Callable

from verbenadrum.records import types

__all__ = ["OLDEST_SCHEMA_VERSION", "upgrade", "register"]

OLDEST_SCHEMA_VERSION = 1

_MS_PER_S = 1000.0

Step = Callable[[dict], dict]

_steps: dict[tuple[types.RecordKind, int], Step] = {}


def register(kind: types.RecordKind, version: int) -> Callable[[Step], Step]:
    """Return a decorator that registers the step from ``version`` to the next one.

    Raises
    ------
    ValueError
        If this step is registered already.
    """

    def decorate(step: Step) -> Step:
        if (kind, version) in _steps:
            raise ValueError(f"{kind.value} has an upgrade from version {version} already")
        _steps[kind, version] = step
        return step

    return decorate


def upgrade(kind: types.RecordKind, version: int, spec: dict) -> dict:
    """Return a spec upgraded from schema ``version`` to the current one.

    A spec of a newer version is returned unchanged; its unknown fields are ignored later.

    Examples
    --------
    >>> upgrade(types.RecordKind.WORKSPACE, 1, {"rate": 2, "burst_size": 4})
    {'rate_per_s': 2, 'burst': 4}
    """
    for step_version in range(version, types.SCHEMA_VERSION):
        step = _steps.get((kind, step_version))
        if step is not None:
            spec = step(dict(spec))
    return spec


@register(types.RecordKind.ROUTE, 1)
def _upgrade_route(spec: dict) -> dict:
    _rename(spec, "path", "path_prefix")
    timeout_s = spec.pop("timeout_s", None)
    if isinstance(timeout_s, int | float):
        spec["timeout_ms"] = timeout_s * _MS_PER_S
    elif timeout_s is not None:
        spec["timeout_ms"] = timeout_s
    return spec


@register(types.RecordKind.WORKSPACE, 1)
def _upgrade_workspace(spec: dict) -> dict:
    _rename(spec, "rate", "rate_per_s")
    _rename(spec, "burst_size", "burst")
    return spec


@register(types.RecordKind.KEY, 1)
def _upgrade_key(spec: dict) -> dict:
    _rename(spec, "hash", "sha256")
    return spec


@register(types.RecordKind.POOL, 1)
def _upgrade_pool(spec: dict) -> dict:
    servers = spec.get("servers")
    if isinstance(servers, list):
        spec["servers"] = [_server_entry(server) for server in servers]
    return spec


def _server_entry(server: object) -> object:
    """Return the entry of a server, which version 1 may give as its address only."""
    if isinstance(server, str):
        return {"server": server, "address": server}
    return server


def _rename(spec: dict, old: str, new: str) -> None:
    if old in spec:
        spec[new] = spec.pop(old)
