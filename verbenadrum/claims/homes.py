"""Tracks changes of the home data centre of each workspace."""

from verbenadrum import ids
from verbenadrum.core import context, ports

__all__ = ["HomeTracker"]

# Upper bound of the time until a changed home is known on every host.
_PROPAGATION_MS = 6_000.0


class HomeTracker:
    """Records since when each workspace has had its present home data centre."""

    def __init__(self, *, context: context.Context, records: ports.RecordsPort) -> None:
        self._context = context
        self._records = records
        self._revision = -1
        self._data_centres: frozenset[str] = frozenset()
        self._explicit_homes: dict[ids.WorkspaceId, str] = {}
        self._moved_wall_ms: dict[ids.WorkspaceId, float] = {}
        self._start_settled_wall_ms = context.clock.wall_ms() + _PROPAGATION_MS
        self._all_moved_wall_ms = 0.0

    def settled_since_wall_ms(
        self, workspace: ids.WorkspaceId, *, since_first_start: bool
    ) -> float:
        """Return the wall time since which all claims of a workspace were made in its present home.

        Parameters
        ----------
        workspace : WorkspaceId
            The workspace.
        since_first_start : bool
            Whether this host has been a witness since the fleet's first start, so that no claim
            was made before its own start.
        """
        self.update()
        moved_ms = self._moved_wall_ms.get(workspace, 0.0)
        if not self._explicit_homes.get(workspace):
            moved_ms = max(moved_ms, self._all_moved_wall_ms)
        return moved_ms if since_first_start else max(moved_ms, self._start_settled_wall_ms)

    def update(self) -> None:
        """Update the homes from the records, and the times of those that have changed."""
        if self._records.revision == self._revision:
            return
        first = not self._data_centres
        self._revision = self._records.revision
        fleet = self._records.fleet()
        shares = () if fleet is None else fleet.data_centres
        data_centres = frozenset(each.data_centre for each in shares if each.weight > 0)
        workspaces = self._records.workspaces().items()
        explicit_homes = {
            name: spec.home_data_centre for name, spec in workspaces if spec.home_data_centre
        }
        if not first:
            self._record_moves(data_centres, explicit_homes)
        self._data_centres, self._explicit_homes = data_centres, explicit_homes

    def _record_moves(
        self, data_centres: frozenset[str], explicit_homes: dict[ids.WorkspaceId, str]
    ) -> None:
        settled_ms = self._context.clock.wall_ms() + _PROPAGATION_MS
        if data_centres != self._data_centres:
            self._all_moved_wall_ms = settled_ms
        for workspace in explicit_homes.keys() | self._explicit_homes.keys():
            if explicit_homes.get(workspace) != self._explicit_homes.get(workspace):
                self._moved_wall_ms[workspace] = settled_ms
