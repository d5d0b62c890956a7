"""Table of the records in force on one host."""

from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.records import checks, types

__all__ = ["RecordTable"]


class RecordTable:
    """Accepted records, one row per kind and name, with indexes for the look-ups of requests.

    `put` replaces a row only by a greater revision; the record store, which knows which content is
    newer, uses `replace`. A pool in force holds the servers of its own record and those that are
    published as records of their own. Entries of the configuration record are indexed like single
    records.
    """

    def __init__(self) -> None:
        self._rows: dict[types.RecordKind, dict[str, types.Record]] = {
            kind: {} for kind in types.RecordKind
        }
        self._revision = 0
        # Routes by host name (empty for any), path prefix and record name.
        self._routes: dict[str, dict[str, dict[str, types.RouteSpec]]] = {}
        self._workspaces: dict[ids.WorkspaceId, types.WorkspaceSpec] = {}
        self._pools: dict[ids.ServiceId, types.PoolSpec] = {}
        # For each SHA-256 of an API key, the workspace by name of the key record. Nearly always one
        # record, but nothing prevents two records with the same hash.
        self._key_workspaces: dict[str, dict[str, str]] = {}
        self._fleet: types.FleetSpec | None = None
        self._configuration: types.ConfigurationSpec | None = None
        # Pools as published, and the servers that have records of their own.
        self._base_pools: dict[ids.ServiceId, types.PoolSpec] = {}
        self._servers: dict[ids.ServiceId, dict[ids.ServerId, types.ServerSpec]] = {}
        # Withdrawn servers that stay in their pool as lapsed, in order of withdrawal.
        self._lapsed: dict[ids.ServerId, ids.ServiceId] = {}

    @property
    def revision(self) -> int:
        """Greatest revision seen; 0 before the first record."""
        return self._revision

    @property
    def configured(self) -> bool:
        """Whether any route or configuration record is known."""
        return self._configuration is not None or bool(self._routes)

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration record in force, or None without one."""
        return None if self._configuration is None else self._configuration.version

    @property
    def configuration_faults(self) -> tuple[str, ...]:
        """What was left out of the configuration record in force."""
        return () if self._configuration is None else self._configuration.faults

    @property
    def caller_limits(self) -> types.CallerLimits:
        """Limits on requests and connections; the defaults before the first configuration."""
        current = self._configuration
        return types.CallerLimits() if current is None else current.callers

    def put(self, record: types.Record) -> bool:
        """Accept a record if it is newer than the row in force.

        Returns
        -------
        bool
            False if the row in force has the same or a greater revision.
        """
        current = self._rows[record.kind].get(record.name)
        if current is not None and current.revision >= record.revision:
            return False
        self.replace(record)
        return True

    def replace(self, record: types.Record) -> None:
        """Accept a record whatever the revision of the row in force."""
        rows = self._rows[record.kind]
        current = rows.get(record.name)
        rows[record.name] = record
        self._revision = max(self._revision, record.revision)
        if current is None or current.spec is not record.spec:
            self._index(record, None if current is None else current.spec)

    def drop_withdrawn(self, kind: types.RecordKind, name: str) -> None:
        """Forget the row of a withdrawn record; no effect if it has been published again."""
        current = self._rows[kind].get(name)
        if current is not None and current.spec is None:
            del self._rows[kind][name]

    def lapsed(self) -> tuple[ids.ServerId, ...]:
        """Return the servers whose record was withdrawn while they were live, oldest first."""
        return tuple(self._lapsed)

    def drop_lapsed(self, server: ids.ServerId) -> None:
        """Remove a lapsed server from its pool; no effect if it has been published again."""
        service = self._lapsed.pop(server, None)
        if service is not None:
            self._servers[service].pop(server, None)
            self._merge_servers(service)

    def rows(self) -> list[types.Record]:
        """Return every row, including withdrawn ones, in ascending order of revision."""
        records = (record for rows in self._rows.values() for record in rows.values())
        return sorted(records, key=lambda record: record.revision)

    def row(self, kind: types.RecordKind, name: str) -> types.Record | None:
        """Return one row, which may be a withdrawn record, or None if there is none."""
        return self._rows[kind].get(name)

    def route(self, host: str, path: str) -> tuple[str, types.RouteSpec] | None:
        """Return name and spec of the matching route with the longest path prefix, or None.

        Prefixes are compared with the path byte by byte; ``path`` has one character for each byte.
        Routes of the request's host name take precedence over routes without a host name. Of
        routes with the same prefix, the one whose name sorts first is returned.
        """
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
        """Return the workspace of an API key, given its SHA-256, or None if it is not in force.

        If several records hold the hash, the one whose name sorts last decides.
        """
        workspaces_by_key = self._key_workspaces.get(sha256)
        if not workspaces_by_key:
            return None
        return ids.WorkspaceId(workspaces_by_key[max(workspaces_by_key)])

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
            _set_or_remove(self._workspaces, ids.WorkspaceId(record.name), record.spec)
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
            self._routes[previous.host][_path_bytes(previous.path_prefix)].pop(name, None)
        if spec is not None:
            prefixes = self._routes.setdefault(spec.host, {})
            prefixes.setdefault(_path_bytes(spec.path_prefix), {})[name] = spec

    def _index_key(
        self, name: str, previous: types.KeySpec | None, spec: types.KeySpec | None
    ) -> None:
        if previous is not None:
            remaining = dict(self._key_workspaces[previous.sha256])
            remaining.pop(name, None)
            _set_or_remove(self._key_workspaces, previous.sha256, remaining or None)
        if spec is not None:
            workspaces_by_key = self._key_workspaces.get(spec.sha256, {})
            self._key_workspaces[spec.sha256] = {**workspaces_by_key, name: spec.workspace}

    def _index_pool(self, service: ids.ServiceId, spec: types.PoolSpec | None) -> None:
        _set_or_remove(self._base_pools, service, spec)
        self._merge_servers(service)

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
            self._merge_servers(service)
        if spec is not None:
            service = ids.ServiceId(spec.service)
            self._servers.setdefault(service, {})[server] = spec
            self._merge_servers(service)

    def _merge_servers(self, service: ids.ServiceId) -> None:
        """Put a pool in force together with the servers that have records of their own."""
        base = self._base_pools.get(service)
        published = self._servers.get(service)
        if base is not None and published:
            entries = tuple(
                _server_entry(server, published[server]) for server in sorted(published)
            )
            base = msgspec.structs.replace(base, servers=base.servers + entries)
        _set_or_remove(self._pools, service, base)

    def _index_configuration(self, spec: types.ConfigurationSpec | None) -> None:
        """Replace the configuration in force; a withdrawal or a smaller version has no effect."""
        current = self._configuration
        if spec is None or (current is not None and spec.version < current.version):
            return
        self._configuration = spec
        old = current or types.ConfigurationSpec(version=0)
        for name, before, after in _changed_entries(old.routes, spec.routes):
            self._index_route(name, before, after)
        for name, before, after in _changed_entries(old.keys, spec.keys):
            self._index_key(name, before, after)
        for name, _, after in _changed_entries(old.workspaces, spec.workspaces):
            _set_or_remove(self._workspaces, ids.WorkspaceId(name), after)
        for name, _, after in _changed_entries(old.pools, spec.pools):
            self._index_pool(ids.ServiceId(name), after)


def _server_entry(server: ids.ServerId, spec: types.ServerSpec) -> types.ServerEntry:
    return types.ServerEntry(
        server=server,
        address=spec.address,
        data_centre=spec.data_centre,
        state=spec.state,
        slots=spec.slots,
        started_wall_ms=spec.started_wall_ms,
        warm_after_ms=spec.warm_after_ms,
    )


def _changed_entries(before: tuple, after: tuple) -> Iterator[tuple[str, object, object]]:
    """Yield name, old spec and new spec of each entry that differs; None for a missing one."""
    old = {entry.name: entry.spec for entry in before}
    new = {entry.name: entry.spec for entry in after}
    for name in old.keys() | new.keys():
        if old.get(name) != new.get(name):
            yield name, old.get(name), new.get(name)


def _path_bytes(prefix: str) -> str:
    """Return a path prefix with one character for each byte of its UTF-8 form."""
    return prefix if prefix.isascii() else prefix.encode().decode("latin-1")


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end at a segment boundary, longest first."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]


def _set_or_remove(table: dict, name: str, spec: object) -> None:
    if spec is None:
        table.pop(name, None)
    else:
        table[name] = spec
