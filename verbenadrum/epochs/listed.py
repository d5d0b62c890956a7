"""Baseline epochs: the newest host list, without agreement between the hosts."""

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.epochs import registry

__all__ = ["ListedEpochs"]

_VALID_MS = 5_000.0


@registry.epoch_systems.register("listed")
class ListedEpochs(system.System):
    """Uses the newest list of this host as the epoch in force.

    Kept as a baseline for comparison: hosts with different lists have different epochs at the same
    time.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._revision = 0
        self._since_wall_ms = 0.0

    def active(self) -> ports.Epoch | None:
        """Return an epoch of the newest list, or None before the first list."""
        rows = self._membership.hosts(data_centre=self._context.data_centre)
        if not rows:
            return None
        if self._membership.revision != self._revision:
            self._revision = self._membership.revision
            self._since_wall_ms = self._context.clock.wall_ms()
        members = tuple(row.host for row in rows)
        return ports.Epoch(
            scope=ids.EpochScope(self._context.data_centre),
            generation=1,
            revision=self._revision,
            members=members,
            next_members=members,
            share=1.0 / len(members) if self._context.host in members else 0.0,
            since_wall_ms=self._since_wall_ms,
            valid_until_ms=self._context.now_ms() + _VALID_MS,
        )
