"""Table of the records in force on one host."""

from collections.abc import Iterator

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
        # Names of the key records that hold each hash; nearly always one.
        self._key_holders: dict[str, tuple[str, ...]] = {}
        self._fleet: types.FleetSpec | None = None

    @property
    def revision(self) -> int:
        """Greatest revision seen; 0 before the first record."""
        return self._revision

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
        row = self._rows[types.RecordKind.KEY][max(holders)]
        return ids.WorkspaceId(row.spec.workspace)

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
            _replace(self._pools, ids.ServiceId(record.name), record.spec)
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
            left = tuple(each for each in self._key_holders[previous.sha256] if each != name)
            _replace(self._key_holders, previous.sha256, left or None)
        if spec is not None:
            holders = self._key_holders.get(spec.sha256, ())
            self._key_holders[spec.sha256] = (*holders, name)


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
