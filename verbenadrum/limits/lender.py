"""Lends this host's share of the fleet to the homes of its scope, one home per partition."""

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import messages, partitions, weights

__all__ = ["LEASE_MS", "Lender"]

LEASE_MS = 2_500.0
_CONTENDER_MS = 2_000.0


class _Loan(msgspec.Struct, kw_only=True):
    """One partition's share as this host has lent it."""

    home: ids.HostId
    incarnation: int
    round: int
    until_ms: float
    contender: ids.HostId = ids.HostId("")
    contended_ms: float = -_CONTENDER_MS


class Lender:
    """Table of the loans of this host's own share.

    A loan never outlasts the epoch that the share rests on, and a partition is lent to a second
    home, or a second run of the same one, only after the first loan has expired or was released.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        epochs: ports.EpochPort,
        homes: partitions.HomeMap,
    ) -> None:
        self._context = context
        self._epochs = epochs
        self._homes = homes
        self._weight = weights.DataCentreWeight(context=context, records=records)
        self._loans: dict[int, _Loan] = {}

    def on_tick(self) -> None:
        """Notice changed weights."""
        self._weight.fraction()

    def on_poll(self, sender: ids.HostId, poll: messages.Poll) -> None:
        """Lend what is free, or renew what the same home holds."""
        now_ms = self._context.now_ms()
        self._homes.note_poll(sender, poll.wanted)
        share, life_ms = self._owned(now_ms)
        granted = 0
        if share > 0 and life_ms > 0:
            for partition in partitions.bits(poll.wanted):
                if self._lend(sender, poll, partition, now_ms, life_ms):
                    granted |= 1 << partition
        answer = messages.Lend(round=poll.round, share=share, life_ms=life_ms, granted=granted)
        self._context.send(sender, answer)

    def on_release(self, sender: ids.HostId, release: messages.Release) -> None:
        """Free the loans that a home gives back."""
        for partition in partitions.bits(release.partitions):
            loan = self._loans.get(partition)
            if loan is None or (loan.home, loan.incarnation) != (sender, release.incarnation):
                continue
            if loan.round <= release.round:
                del self._loans[partition]

    def _owned(self, now_ms: float) -> tuple[float, float]:
        epoch = self._epochs.active()
        if epoch is None or epoch.valid_until_ms <= now_ms:
            return 0.0, 0.0
        share = epoch.share * self._weight.fraction()
        return share, min(LEASE_MS, epoch.valid_until_ms - now_ms)

    def _lend(
        self,
        sender: ids.HostId,
        poll: messages.Poll,
        partition: int,
        now_ms: float,
        life_ms: float,
    ) -> bool:
        until_ms = now_ms + life_ms
        loan = self._loans.get(partition)
        if loan is None or loan.until_ms <= now_ms:
            self._loans[partition] = _Loan(
                home=sender, incarnation=poll.incarnation, round=poll.round, until_ms=until_ms
            )
            return True
        if (loan.home, loan.incarnation) != (sender, poll.incarnation):
            loan.contender = sender
            loan.contended_ms = now_ms
            return False
        if self._superseded(loan, partition, now_ms):
            return False
        loan.until_ms = max(loan.until_ms, until_ms)
        loan.round = max(loan.round, poll.round)
        return True

    def _superseded(self, loan: _Loan, partition: int, now_ms: float) -> bool:
        # A home with an old host list would renew for ever; it yields to the one listed here.
        if now_ms - loan.contended_ms > _CONTENDER_MS or loan.contender == loan.home:
            return False
        return self._homes.home(self._homes.own_scope, partition) == loan.contender
