"""Lender's side of the escrow limiter: lends this host's share to one home per partition."""

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import messages, partitions, weights

__all__ = ["MAX_LEASE_MS", "Lender"]

MAX_LEASE_MS = 2_500.0
# A poll of a competing home is disregarded after this time.
_CONTENDER_EXPIRY_MS = 2_000.0


class _Loan(msgspec.Struct, kw_only=True):
    """Lease of one partition, as recorded by its lender.

    ``contender`` is the last other home, or other run of a home, that polled for the partition,
    and ``contender_seen_ms`` the monotonic time of that poll.
    """

    home: ids.HostId
    incarnation: int
    round: int
    until_ms: float
    contender: ids.HostId = ids.HostId("")
    contender_seen_ms: float = -_CONTENDER_EXPIRY_MS


class Lender:
    """Table of the loans of this host's own share.

    A loan never outlasts the epoch that the share is based on. A partition is lent to another
    home, or to another run of the same home, only after the first loan has expired or has been
    released.

    Parameters
    ----------
    context : Context
        Clock and sending of messages.
    records : RecordsPort
        Published weights of the data centres.
    epochs : EpochPort
        Epoch that gives this host's share of its data centre.
    homes : HomeMap
        Homes of the partitions.
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
        """Update the weight of the data centre, which must be evaluated at least each tick."""
        self._weight.fraction()

    def on_poll(self, sender: ids.HostId, poll: messages.Poll) -> None:
        """Lend the wanted partitions that are free, renew the sender's loans, and reply.

        Without an active epoch or a share nothing is lent.
        """
        now_ms = self._context.now_ms()
        self._homes.record_poll(sender, poll.wanted)
        share, lifetime_ms = self._lendable_share(now_ms)
        granted = 0
        if share > 0 and lifetime_ms > 0:
            for partition in partitions.set_bits(poll.wanted):
                if self._lend(sender, poll, partition, now_ms, lifetime_ms):
                    granted |= 1 << partition
        answer = messages.Lend(
            round=poll.round, share=share, lifetime_ms=lifetime_ms, granted=granted
        )
        self._context.send(sender, answer)

    def on_release(self, sender: ids.HostId, release: messages.Release) -> None:
        """Remove the loans that a home releases.

        Loans of another home, of another run of it, or of a later round are kept.
        """
        for partition in partitions.set_bits(release.partitions):
            loan = self._loans.get(partition)
            if loan is None or (loan.home, loan.incarnation) != (sender, release.incarnation):
                continue
            if loan.round <= release.round:
                del self._loans[partition]

    def _lendable_share(self, now_ms: float) -> tuple[float, float]:
        epoch = self._epochs.active()
        if epoch is None or epoch.valid_until_ms <= now_ms:
            return 0.0, 0.0
        share = epoch.share * self._weight.fraction()
        return share, min(MAX_LEASE_MS, epoch.valid_until_ms - now_ms)

    def _lend(
        self,
        sender: ids.HostId,
        poll: messages.Poll,
        partition: int,
        now_ms: float,
        lifetime_ms: float,
    ) -> bool:
        until_ms = now_ms + lifetime_ms
        loan = self._loans.get(partition)
        if loan is None or loan.until_ms <= now_ms:
            self._loans[partition] = _Loan(
                home=sender, incarnation=poll.incarnation, round=poll.round, until_ms=until_ms
            )
            return True
        if (loan.home, loan.incarnation) != (sender, poll.incarnation):
            loan.contender = sender
            loan.contender_seen_ms = now_ms
            return False
        if self._must_yield(loan, partition, now_ms):
            return False
        loan.until_ms = max(loan.until_ms, until_ms)
        loan.round = max(loan.round, poll.round)
        return True

    def _must_yield(self, loan: _Loan, partition: int, now_ms: float) -> bool:
        # A home with an outdated host list would renew without end, so it loses the partition to
        # the contender that is its home by the host list of this lender.
        if now_ms - loan.contender_seen_ms > _CONTENDER_EXPIRY_MS or loan.contender == loan.home:
            return False
        return self._homes.home(self._homes.own_scope, partition) == loan.contender
