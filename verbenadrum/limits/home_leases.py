"""Leases that this host collects as home: which partitions, whose shares, until when."""

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.limits import leases, lender, lots, messages, partitions

__all__ = ["HomeLeases"]

_POLL_MS = 700.0
_DEAF_MS = 3_000.0


class HomeLeases:
    """Partitions that this host is home of by its own view, with the shares lent to it.

    Hosts whose views differ may both act as home of one partition: each lender lends to one of
    them at a time, so their buckets still fill at no more than the whole.
    """

    def __init__(self, *, context: context.Context, homes: partitions.HomeMap) -> None:
        self._context = context
        self._homes = homes
        # A restarted host must not take an answer to its earlier run for its own.
        self._round = context.rng.getrandbits(31)
        self._rounds: dict[int, float] = {}
        self._poll_at_ms = context.now_ms()
        self._heard_ms = context.now_ms()
        self._partitions: dict[int, leases.PartitionLeases] = {}

    def __iter__(self):
        return iter(self._partitions.values())

    def find(self, partition: int) -> leases.PartitionLeases | None:
        """Return a partition, settled up to now, or None if this host is not its home."""
        held = self._partitions.get(partition)
        if held is not None:
            held.settle(now_ms=self._context.now_ms())
        return held

    def note_heard(self, sender: ids.HostId) -> None:
        """Note that messages of other hosts of the scope reach this one."""
        if sender != self._context.host:
            self._heard_ms = self._context.now_ms()

    def on_tick(self) -> None:
        """Choose partitions and poll the lenders when due; release what is drained."""
        now_ms = self._context.now_ms()
        if now_ms >= self._poll_at_ms:
            self._poll_at_ms = now_ms + _POLL_MS
            self._choose(now_ms)
            self._poll(now_ms)
        self._release_drained(now_ms)

    def on_lend(self, sender: ids.HostId, lend: messages.Lend) -> None:
        """Take a lender's lease; it counts from the sending of the poll it answers."""
        self.note_heard(sender)
        sent_ms = self._rounds.get(lend.round)
        if sent_ms is None:
            return
        lease = leases.Lease(
            share=lend.share,
            until_ms=sent_ms + lots.shortened(lend.life_ms),
            round=lend.round,
        )
        now_ms = self._context.now_ms()
        for partition in partitions.bits(lend.granted):
            held = self._partitions.get(partition)
            if held is not None:
                held.lend(now_ms=now_ms, lender=sender, lease=lease)

    def _choose(self, now_ms: float) -> None:
        deaf = self._is_deaf(now_ms)
        for partition in range(partitions.PARTITIONS):
            held = self._partitions.get(partition)
            holding = held is not None and not held.draining
            if not deaf and self._homes.is_home(partition, holding=holding):
                self._take(partition, held, now_ms)
            elif holding:
                held.draining = True
                self._log(partition, "drain", "unheard" if deaf else "home-elsewhere")

    def _take(self, partition: int, held: leases.PartitionLeases | None, now_ms: float) -> None:
        if held is not None:
            held.draining = False
            return
        self._partitions[partition] = leases.PartitionLeases(
            now_ms=now_ms, first_round=self._round + 1
        )
        self._log(partition, "take", "first-candidate-that-acts")

    def _is_deaf(self, now_ms: float) -> bool:
        # A home that polls but hears no answer would keep a substitute from taking over.
        alone = len(self._homes.lenders()) <= 1
        return not alone and now_ms - self._heard_ms > _DEAF_MS

    def _poll(self, now_ms: float) -> None:
        wanted = sum(1 << p for p, held in self._partitions.items() if not held.draining)
        if not wanted:
            return
        self._round += 1
        self._rounds = {
            number: sent_ms
            for number, sent_ms in self._rounds.items()
            if now_ms - sent_ms < lender.LEASE_MS
        }
        self._rounds[self._round] = now_ms
        poll = messages.Poll(
            round=self._round, incarnation=self._context.incarnation, wanted=wanted
        )
        self._send_to_lenders(poll)

    def _release_drained(self, now_ms: float) -> None:
        freed = 0
        for partition, held in list(self._partitions.items()):
            if held.draining and held.drained(now_ms=now_ms):
                freed |= 1 << partition
                del self._partitions[partition]
        if freed:
            release = messages.Release(
                round=self._round, incarnation=self._context.incarnation, partitions=freed
            )
            self._send_to_lenders(release)

    def _send_to_lenders(self, message: messages.Poll | messages.Release) -> None:
        for row in self._homes.lenders():
            self._context.send(row.host, message)

    def _log(self, partition: int, choice: str, reason: str) -> None:
        self._context.decide(
            ring.DecisionKind.LEASE, choice, reason, subject=f"limits-partition-{partition}"
        )
