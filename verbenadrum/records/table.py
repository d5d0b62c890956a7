"""Table of the records in force on one host."""

from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.records import checks, types

__all__ = ["RecordTable"]


class RecordTable:
    """Accepted records, one row per kind and name, with the look-ups that requests need.

    A row is replaced by a greater revision only, so an older answer of the platform or of a
    peer changes nothing.
    """

    def __init__(self) -> None:
        self._rows: dict[types.RecordKind, dict[str, types.Record]] = {
            kind: {} for kind in types.RecordKind
        }
        self._revision = 0
        # Routes by host name, path prefix and record name.
        self._routes: dict[str, dict[str, dict[str, types.RouteSpec]]] = {}
        self._workspaces: dict[ids.WorkspaceId, types.WorkspaceSpec] = {}
        self._pools: dict[ids.ServiceId, types.PoolSpec] = {}
        # Workspaces by the names of the keys that hold each hash; nearly always one.
        self._key_holders: dict[str, dict[str, str]] = {}
        self._fleet: types.FleetSpec | None = None
        self._configuration: types.ConfigurationSpec | None = None
        # Pools as their records have them, and the servers that are published by themselves.
        self._base_pools: dict[ids.ServiceId, types.PoolSpec] = {}
        self._servers: dict[ids.ServiceId, dict[ids.ServerId, types.ServerSpec]] = {}
        self._lapsed: dict[ids.ServerId, ids.ServiceId] = {}

    @property
    def revision(self) -> int:
        """Greatest revision seen; 0 before the first record."""
        return self._revision

    @property
    def configured(self) -> bool:
        """Whether anything is known of what callers may ask for."""
        return self._configuration is not None or bool(self._routes)

    @property
    def caller_limits(self) -> types.CallerLimits:
        """What callers may send; the defaults before the first configuration."""
        held = self._configuration
        return types.CallerLimits() if held is None else held.callers

    def put(self, record: types.Record) -> bool:
        """Accept a record if it is newer than the row in force.

        Returns
        -------
        bool
            Whether the record was taken.
        """
        rows = self._rows[record.kind]
        current = rows.get(record.name)
        if current is not None and current.revision >= record.revision:
            return False
        rows[record.name] = record
        self._revision = max(self._revision, record.revision)
        self._index(record, None if current is None else current.spec)
        return True

    def lapsed(self) -> tuple[ids.ServerId, ...]:
        """Return the servers whose record was withdrawn while they were live, oldest first."""
        return tuple(self._lapsed)

    def drop_lapsed(self, server: ids.ServerId) -> None:
        """Take a lapsed server out of its pool; one that has returned meanwhile stays."""
        service = self._lapsed.pop(server, None)
        if service is not None:
            self._servers[service].pop(server, None)
            self._compose(service)

    def rows(self) -> list[types.Record]:
        """Return every row, withdrawn ones included, in ascending revision."""
        records = (record for rows in self._rows.values() for record in rows.values())
        return sorted(records, key=lambda record: record.revision)

    def row(self, kind: types.RecordKind, name: str) -> types.Record | None:
        """Return one row, or None if there is none."""
        return self._rows[kind].get(name)

    def route(self, host: str, path: str) -> tuple[str, types.RouteSpec] | None:
        """Return name and spec of the longest matching route; a host name match goes first."""
        for routes in (self._routes.get(host), self._routes.get("")):
            for prefix in _prefixes(path) if routes else ():
                named = routes.get(prefix)
                if named:
                    name = min(named)
                    return name, named[name]
        return None

    def workspace(self, workspace: ids.WorkspaceId) -> types.WorkspaceSpec | None:
        """Return a workspace's limits, or None if it is unknown."""
        return self._workspaces.get(workspace)

    def workspaces(self) -> dict[ids.WorkspaceId, types.WorkspaceSpec]:
        """Return every workspace; the caller must not change the mapping."""
        return self._workspaces

    def key_workspace(self, sha256: str) -> ids.WorkspaceId | None:
        """Return the workspace that a key's hash opens, or None if the key is not in force."""
        holders = self._key_holders.get(sha256)
        if not holders:
            return None
        return ids.WorkspaceId(holders[max(holders)])

    def pool(self, service: ids.ServiceId) -> types.PoolSpec | None:
        """Return a service's pool, or None if it is unknown."""
        return self._pools.get(service)

    def pools(self) -> dict[ids.ServiceId, types.PoolSpec]:
        """Return every pool; the caller must not change the mapping."""
        return self._pools

    def fleet(self) -> types.FleetSpec | None:
        """Return the fleet record, or None before it is known."""
        return self._fleet

    def _index(self, record: types.Record, previous: types.Spec | None) -> None:
        if record.kind is types.RecordKind.ROUTE:
            self._index_route(record.name, previous, record.spec)
        elif record.kind is types.RecordKind.KEY:
            self._index_key(record.name, previous, record.spec)
        elif record.kind is types.RecordKind.WORKSPACE:
            _replace(self._workspaces, ids.WorkspaceId(record.name), record.spec)
        elif record.kind is types.RecordKind.POOL:
            self._index_pool(ids.ServiceId(record.name), record.spec)
        elif record.kind is types.RecordKind.SERVER:
            self._index_server(ids.ServerId(record.name), previous, record.spec)
        elif record.kind is types.RecordKind.CONFIGURATION:
            self._index_configuration(record.spec)
        elif record.name == checks.FLEET_RECORD_NAME and record.spec is not None:
            self._fleet = record.spec

    def _index_route(
        self, name: str, previous: types.RouteSpec | None, spec: types.RouteSpec | None
    ) -> None:
        if previous is not None:
            self._routes[previous.host][previous.path_prefix].pop(name, None)
        if spec is not None:
            prefixes = self._routes.setdefault(spec.host, {})
            prefixes.setdefault(spec.path_prefix, {})[name] = spec

    def _index_key(
        self, name: str, previous: types.KeySpec | None, spec: types.KeySpec | None
    ) -> None:
        if previous is not None:
            left = dict(self._key_holders[previous.sha256])
            left.pop(name, None)
            _replace(self._key_holders, previous.sha256, left or None)
        if spec is not None:
            holders = self._key_holders.get(spec.sha256, {})
            self._key_holders[spec.sha256] = {**holders, name: spec.workspace}

    def _index_pool(self, service: ids.ServiceId, spec: types.PoolSpec | None) -> None:
        _replace(self._base_pools, service, spec)
        self._compose(service)

    def _index_server(
        self,
        server: ids.ServerId,
        previous: types.ServerSpec | None,
        spec: types.ServerSpec | None,
    ) -> None:
        self._lapsed.pop(server, None)
        if previous is not None and (spec is None or spec.service != previous.service):
            service = ids.ServiceId(previous.service)
            if spec is None and previous.state is types.ServerState.LIVE:
                lapsed = msgspec.structs.replace(previous, state=types.ServerState.LAPSED)
                self._servers[service][server] = lapsed
                self._lapsed[server] = service
            else:
                self._servers[service].pop(server, None)
            self._compose(service)
        if spec is not None:
            service = ids.ServiceId(spec.service)
            self._servers.setdefault(service, {})[server] = spec
            self._compose(service)

    def _compose(self, service: ids.ServiceId) -> None:
        """Put the servers that are published by themselves into their pool."""
        base = self._base_pools.get(service)
        published = self._servers.get(service)
        if base is not None and published:
            entries = tuple(_entry(server, published[server]) for server in sorted(published))
            base = msgspec.structs.replace(base, servers=base.servers + entries)
        _replace(self._pools, service, base)

    def _index_configuration(self, spec: types.ConfigurationSpec | None) -> None:
        """Put a whole configuration in force in the place of the last one."""
        held = self._configuration
        if spec is None or (held is not None and spec.version < held.version):
            return
        self._configuration = spec
        old = held or types.ConfigurationSpec(version=0)
        for name, before, after in _changes(old.routes, spec.routes):
            self._index_route(name, before, after)
        for name, before, after in _changes(old.keys, spec.keys):
            self._index_key(name, before, after)
        for name, _, after in _changes(old.workspaces, spec.workspaces):
            _replace(self._workspaces, ids.WorkspaceId(name), after)
        for name, _, after in _changes(old.pools, spec.pools):
            self._index_pool(ids.ServiceId(name), after)


def _entry(server: ids.ServerId, spec: types.ServerSpec) -> types.ServerEntry:
    return types.ServerEntry(
        server=server,
        address=spec.address,
        data_centre=spec.data_centre,
        state=spec.state,
        slots=spec.slots,
        started_wall_ms=spec.started_wall_ms,
        warm_after_ms=spec.warm_after_ms,
    )


def _changes(before: tuple, after: tuple) -> Iterator[tuple[str, object, object]]:
    """Yield name, old spec and new spec of each entry that two configurations differ in."""
    old = {entry.name: entry.spec for entry in before}
    new = {entry.name: entry.spec for entry in after}
    for name in old.keys() | new.keys():
        if old.get(name) != new.get(name):
            yield name, old.get(name), new.get(name)


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes that cover a path, longest first: they end at a segment's end."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]


def _replace(table: dict, name: str, spec: object) -> None:
    if spec is None:
        table.pop(name, None)
    else:
        table[name] = spec
