"""Epochs from a membership list that the hosts maintain themselves: equal shares, no votes."""

import collections

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.epochs import registry

__all__ = ["CountedEpochs"]

_VALID_MS = 5_000.0
# Longer than a lease on a share, so that a host which left the list has stopped lending by then.
_SHRINK_AFTER_MS = 5_000.0


@registry.epoch_systems.register("counted")
class CountedEpochs(system.System):
    """Gives each host of a data centre the share 1 / n, for the greatest recent host count n.

    The count grows at once and shrinks only after `_SHRINK_AFTER_MS`, so that the shares add up to
    at most 1 while hosts leave or are cut off. While hosts join, the sum may exceed 1 until each
    host has all the others listed, which takes well under a second.
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
        # Expiry time and host count of each entry, in descending order of count.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self._since_wall_ms = context.clock.wall_ms()

    def on_tick(self) -> None:
        """Record the number of hosts listed now."""
        self._greatest_count(self._context.now_ms())

    def active(self) -> ports.Epoch | None:
        """Return the epoch of this host's data centre, or None if the host is not listed."""
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
            share=1.0 / self._greatest_count(now_ms),
            since_wall_ms=self._since_wall_ms,
            valid_until_ms=now_ms + _VALID_MS,
        )

    def _greatest_count(self, now_ms: float) -> int:
        """Record the current host count, and return the greatest of the last `_SHRINK_AFTER_MS`."""
        count = max(1, len(self._membership.hosts(data_centre=self._context.data_centre)))
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_ms + _SHRINK_AFTER_MS, count))
        while self._counts[0][0] < now_ms:
            self._counts.popleft()
        return self._counts[0][1]
