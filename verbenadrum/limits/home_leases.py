"""Leases that a home collects: selects its partitions, polls lenders and stores their leases."""

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.limits import leases, lender, lots, messages, partitions

__all__ = ["HomeLeases"]

_POLL_INTERVAL_MS = 700.0
# A home that has received no message of its scope for this long counts as isolated.
_ISOLATION_TIMEOUT_MS = 3_000.0


class HomeLeases:
    """Partitions of which this host acts as home, with the shares lent to it.

    Hosts with different host lists may both act as home of one partition. Each lender lends to
    only one of them at a time, so their buckets together never fill at more than the whole rate.

    Parameters
    ----------
    context : Context
        Clock, identity of this host, sending of messages, and decision log.
    homes : HomeMap
        Homes of the partitions, and the lenders of the own scope.
    """

    def __init__(self, *, context: context.Context, homes: partitions.HomeMap) -> None:
        self._context = context
        self._homes = homes
        # Replies to polls of an earlier run of this host match no round.
        self._round = next(context.numbers())
        self._sent_ms_by_round: dict[int, float] = {}
        self._next_poll_ms = context.now_ms()
        self._last_received_ms = context.now_ms()
        self._partitions: dict[int, leases.PartitionLeases] = {}

    def __iter__(self):
        return iter(self._partitions.values())

    def find(self, partition: int) -> leases.PartitionLeases | None:
        """Return a partition's leases without the expired ones, or None if there are none here.

        A partition that is being drained is still returned.
        """
        partition_leases = self._partitions.get(partition)
        if partition_leases is not None:
            partition_leases.expire_leases(now_ms=self._context.now_ms())
        return partition_leases

    def note_received(self, sender: ids.HostId) -> None:
        """Record that a message from another host of the scope was received."""
        if sender != self._context.host:
            self._last_received_ms = self._context.now_ms()

    def on_tick(self) -> None:
        """Select partitions and poll the lenders when due; release drained partitions."""
        now_ms = self._context.now_ms()
        if now_ms >= self._next_poll_ms:
            self._next_poll_ms = now_ms + _POLL_INTERVAL_MS
            self._choose_partitions(now_ms)
            self._poll(now_ms)
        self._release_drained(now_ms)

    def on_lend(self, sender: ids.HostId, lend: messages.Lend) -> None:
        """Add a lender's leases; their lifetime starts when the answered poll was sent.

        Replies to polls of unknown or outdated rounds are ignored.
        """
        self.note_received(sender)
        sent_ms = self._sent_ms_by_round.get(lend.round)
        if sent_ms is None:
            return
        lease = leases.Lease(
            share=lend.share,
            until_ms=sent_ms + lots.shorten_lifetime(lend.lifetime_ms),
            round=lend.round,
        )
        now_ms = self._context.now_ms()
        for partition in partitions.set_bits(lend.granted):
            partition_leases = self._partitions.get(partition)
            if partition_leases is not None:
                partition_leases.add_lease(now_ms=now_ms, lender=sender, lease=lease)

    def _choose_partitions(self, now_ms: float) -> None:
        isolated = self._is_isolated(now_ms)
        for partition in range(partitions.PARTITION_COUNT):
            partition_leases = self._partitions.get(partition)
            holding = partition_leases is not None and not partition_leases.draining
            if not isolated and self._homes.is_home(partition, holding=holding):
                self._acquire(partition, partition_leases, now_ms)
            elif holding:
                partition_leases.draining = True
                self._record_decision(
                    partition, "drain", "unheard" if isolated else "home-elsewhere"
                )

    def _acquire(
        self, partition: int, partition_leases: leases.PartitionLeases | None, now_ms: float
    ) -> None:
        if partition_leases is not None:
            partition_leases.draining = False
            return
        self._partitions[partition] = leases.PartitionLeases(
            now_ms=now_ms, min_round=self._round + 1
        )
        self._record_decision(partition, "take", "first-candidate-that-acts")

    def _is_isolated(self, now_ms: float) -> bool:
        # An isolated home must stop polling: polls that still arrive would keep a substitute from
        # taking over, although no reply reaches the home.
        alone = len(self._homes.lenders()) <= 1
        return not alone and now_ms - self._last_received_ms > _ISOLATION_TIMEOUT_MS

    def _poll(self, now_ms: float) -> None:
        wanted = sum(
            1 << p
            for p, partition_leases in self._partitions.items()
            if not partition_leases.draining
        )
        if not wanted:
            return
        self._round += 1
        self._sent_ms_by_round = {
            number: sent_ms
            for number, sent_ms in self._sent_ms_by_round.items()
            if now_ms - sent_ms < lender.MAX_LEASE_MS
        }
        self._sent_ms_by_round[self._round] = now_ms
        poll = messages.Poll(
            round=self._round, incarnation=self._context.incarnation, wanted=wanted
        )
        self._send_to_lenders(poll)

    def _release_drained(self, now_ms: float) -> None:
        released = 0
        for partition, partition_leases in list(self._partitions.items()):
            if partition_leases.draining and partition_leases.is_drained(now_ms=now_ms):
                released |= 1 << partition
                del self._partitions[partition]
        if released:
            release = messages.Release(
                round=self._round, incarnation=self._context.incarnation, partitions=released
            )
            self._send_to_lenders(release)

    def _send_to_lenders(self, message: messages.Poll | messages.Release) -> None:
        for row in self._homes.lenders():
            self._context.send(row.host, message)

    def _record_decision(self, partition: int, choice: str, reason: str) -> None:
        self._context.record_decision(
            ring.DecisionKind.LEASE, choice, reason, subject=f"limits-partition-{partition}"
        )
