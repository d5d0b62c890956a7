"""Epochs of a host list that the hosts keep themselves: equal shares, counted with care."""

import collections

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.epochs import registry

__all__ = ["CountedEpochs"]

_VALID_MS = 5_000.0
# Share leases last less than this, so that a host that left the list has stopped lending.
_SHRINK_AFTER_MS = 5_000.0


@registry.epoch_systems.register("counted")
class CountedEpochs(system.System):
    """Gives each host of a data centre an equal share of the greatest count seen lately.

    The count grows at once and shrinks only after `_SHRINK_AFTER_MS`, so that the shares of the
    hosts add up to at most 1 while hosts leave or are cut off. While hosts join, a host that has
    not heard of all the others yet owns too much: joining takes well under a second.
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
        # Times until which counts hold, with the counts, in falling order of count.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self._since_wall_ms = context.clock.wall_ms()

    def on_tick(self) -> None:
        """Note how many hosts are listed now."""
        self._count(self._context.now_ms())

    def active(self) -> ports.Epoch | None:
        """Return the epoch of the own data centre with this host's share."""
        now_ms = self._context.now_ms()
        rows = self._membership.hosts(data_centre=self._context.data_centre)
        members = tuple(row.host for row in rows)
        if self._context.host not in members:
            return None
        return ports.Epoch(
            scope=ids.EpochScope(self._context.data_centre),
            generation=1,
            revision=self._membership.revision,
            members=members,
            next_members=members,
            share=1.0 / self._count(now_ms),
            since_wall_ms=self._since_wall_ms,
            valid_until_ms=now_ms + _VALID_MS,
        )

    def _count(self, now_ms: float) -> int:
        """Return the greatest count of the last `_SHRINK_AFTER_MS`, this one included."""
        count = max(1, len(self._membership.hosts(data_centre=self._context.data_centre)))
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_ms + _SHRINK_AFTER_MS, count))
        while self._counts[0][0] < now_ms:
            self._counts.popleft()
        return self._counts[0][1]
