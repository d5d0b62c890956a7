"""Notices when the home data centre of a workspace moves."""

from verbenadrum import ids
from verbenadrum.core import context, ports

__all__ = ["HomeWatch"]

# Longest time that is allowed for a moved home to be known on every host.
_SPREAD_MS = 6_000.0


class HomeWatch:
    """Remembers since when each workspace's home is what the records say now."""

    def __init__(self, *, context: context.Context, records: ports.RecordsPort) -> None:
        self._context = context
        self._records = records
        self._revision = -1
        self._data_centres: frozenset[str] = frozenset()
        self._named: dict[ids.WorkspaceId, str] = {}
        self._moved_wall_ms: dict[ids.WorkspaceId, float] = {}
        self._started_wall_ms = context.clock.wall_ms() + _SPREAD_MS
        self._all_moved_wall_ms = 0.0

    def settled_since_wall_ms(self, workspace: ids.WorkspaceId, *, from_first: bool) -> float:
        """Return the wall time from which every claim was made in the present home.

        Parameters
        ----------
        workspace : WorkspaceId
            Whose home is meant.
        from_first : bool
            Whether this host has been a witness since the fleet's first start, so that no claim
            was made before it began to watch.
        """
        self.follow()
        moved_ms = self._moved_wall_ms.get(workspace, 0.0)
        if not self._named.get(workspace):
            moved_ms = max(moved_ms, self._all_moved_wall_ms)
        return moved_ms if from_first else max(moved_ms, self._started_wall_ms)

    def follow(self) -> None:
        """Compare the records with those seen before, if they have changed."""
        if self._records.revision == self._revision:
            return
        first = not self._data_centres
        self._revision = self._records.revision
        fleet = self._records.fleet()
        shares = () if fleet is None else fleet.data_centres
        data_centres = frozenset(each.data_centre for each in shares if each.weight > 0)
        workspaces = self._records.workspaces().items()
        named = {name: spec.home_data_centre for name, spec in workspaces if spec.home_data_centre}
        if not first:
            self._note_moves(data_centres, named)
        self._data_centres, self._named = data_centres, named

    def _note_moves(self, data_centres: frozenset[str], named: dict[ids.WorkspaceId, str]) -> None:
        settled_ms = self._context.clock.wall_ms() + _SPREAD_MS
        if data_centres != self._data_centres:
            self._all_moved_wall_ms = settled_ms
        for workspace in named.keys() | self._named.keys():
            if named.get(workspace) != self._named.get(workspace):
                self._moved_wall_ms[workspace] = settled_ms
