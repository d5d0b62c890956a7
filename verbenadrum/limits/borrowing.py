"""Borrowing of tokens from the homes of other scopes when a home's own do not suffice."""

from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.limits import home_bucket, home_leases, lots, messages, partitions, queue

__all__ = ["Borrowing"]

_MAX_WAIT_MS = 300.0
_REPLY_TIMEOUT_MS = 500.0
# Backoff after an empty or missing reply; it doubles up to the maximum.
_MIN_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 800.0
# Lots that expire within this time are returned, since a grant from them would be too short.
_MIN_LIFETIME_MS = 150.0


class _OpenBorrow(msgspec.Struct, frozen=True, kw_only=True):
    """An unanswered request to ``partner``, the home of another scope."""

    workspace: ids.WorkspaceId
    partner: ids.HostId
    sent_ms: float


class Borrowing:
    """Borrows from one partner at a time per workspace, and returns expiring tokens.

    A partner is a home of the same partition in another scope. It counts borrowed tokens against
    its own share until they expire or are settled, so a lost message can lose tokens, and a
    repeated one cannot create any.

    Parameters
    ----------
    context : Context
        Clock, identity of this host, and sending of messages.
    homes : HomeMap
        Homes of the partitions.
    leases : HomeLeases
        Leases and buckets of this home.
    numbers : iterator of int
        Source of request numbers, shared with the entry role of this host.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        homes: partitions.HomeMap,
        leases: home_leases.HomeLeases,
        numbers: Iterator[int],
    ) -> None:
        self._context = context
        self._homes = homes
        self._home_leases = leases
        self._numbers = numbers
        self._open_borrows: dict[int, _OpenBorrow] = {}
        self._borrowers: set[ids.WorkspaceId] = set()

    def on_tick(self) -> None:
        """Return the lots that are about to expire."""
        for workspace in list(self._borrowers):
            bucket = self._bucket(workspace)
            if bucket is None:
                self._borrowers.discard(workspace)
                continue
            self.return_expiring(bucket)
            if not bucket.borrowed:
                self._borrowers.discard(workspace)

    def requested_workspace(self, sender: ids.HostId, number: int) -> ids.WorkspaceId | None:
        """Return the workspace of the open request that a reply answers, or None."""
        borrow = self._open_borrows.get(number)
        return None if borrow is None or borrow.partner != sender else borrow.workspace

    def request_missing(
        self,
        workspace: ids.WorkspaceId,
        wait_queue: queue.WaitQueue,
        bucket: home_bucket.HomeBucket,
    ) -> None:
        """Request the tokens that waiting entry hosts lack from the next partner.

        Nothing is sent while a request is open, during the backoff, or without a partner.
        """
        now_ms = self._context.now_ms()
        if wait_queue.borrow_number is not None:
            self._check_timeout(wait_queue, now_ms)
        missing = wait_queue.needed - bucket.tokens - bucket.borrowed.total(now_ms=now_ms)
        if not wait_queue.entry_hosts or missing <= 0 or wait_queue.borrow_number is not None:
            return
        partner = self._partner(workspace, wait_queue)
        if partner is None or now_ms < wait_queue.next_borrow_ms:
            return
        number = next(self._numbers)
        wait_queue.borrow_number = number
        self._open_borrows[number] = _OpenBorrow(
            workspace=workspace, partner=partner, sent_ms=now_ms
        )
        ask = messages.Ask(
            number=number,
            workspace=workspace,
            need=missing,
            extra=0.0,
            max_wait_ms=_MAX_WAIT_MS,
            borrower=self._homes.own_scope,
        )
        self._context.send(partner, ask)

    def on_grant(self, grant: messages.Grant, wait_queue: queue.WaitQueue | None) -> None:
        """Store the granted tokens, or back off after an empty grant.

        The grant must answer an open request, see `requested_workspace`.

        Raises
        ------
        KeyError
            If the grant's number is unknown.
        """
        borrow = self._open_borrows.pop(grant.number)
        if wait_queue is not None and wait_queue.borrow_number == grant.number:
            wait_queue.borrow_number = None
            wait_queue.borrow_backoff_ms = 0.0 if grant.count > 0 else wait_queue.borrow_backoff_ms
            if grant.count <= 0:
                self._back_off(wait_queue)
        if grant.count > 0:
            self._add_lot(grant, borrow)

    def return_expiring(self, bucket: home_bucket.HomeBucket) -> None:
        """Return the lots whose remaining lifetime is too short for a grant."""
        now_ms = self._context.now_ms()
        for lot in bucket.borrowed.remove_expiring(until_ms=now_ms + _MIN_LIFETIME_MS):
            self._settle(lot.home, lot.number, lot.remaining)
        bucket.borrowed.purge(now_ms=now_ms)

    def settle_spent(self, bucket: home_bucket.HomeBucket) -> None:
        """Settle the spent lots with the homes that lent them."""
        for lot in bucket.borrowed.remove_spent():
            self._settle(lot.home, lot.number, 0.0)

    def _partner(
        self, workspace: ids.WorkspaceId, wait_queue: queue.WaitQueue
    ) -> ids.HostId | None:
        own = self._context.host
        candidates = self._homes.homes_by_preference(partitions.partition_of(workspace))
        partners = [host for host in candidates if host != own]
        return partners[wait_queue.next_partner % len(partners)] if partners else None

    def _bucket(self, workspace: ids.WorkspaceId) -> home_bucket.HomeBucket | None:
        partition_leases = self._home_leases.find(partitions.partition_of(workspace))
        return (
            None
            if partition_leases is None or partition_leases.draining
            else partition_leases.buckets.get(workspace)
        )

    def _add_lot(self, grant: messages.Grant, borrow: _OpenBorrow) -> None:
        until_ms = borrow.sent_ms + lots.shorten_lifetime(grant.lifetime_ms)
        if until_ms <= self._context.now_ms():
            return
        bucket = self._bucket(borrow.workspace)
        if bucket is None:
            self._settle(borrow.partner, grant.number, grant.count)
            return
        lot = lots.Lot(
            home=borrow.partner, number=grant.number, remaining=grant.count, until_ms=until_ms
        )
        bucket.borrowed.add(lot)
        self._borrowers.add(borrow.workspace)

    def _check_timeout(self, wait_queue: queue.WaitQueue, now_ms: float) -> None:
        borrow = self._open_borrows.get(wait_queue.borrow_number)
        if borrow is None or now_ms - borrow.sent_ms >= _REPLY_TIMEOUT_MS:
            self._open_borrows.pop(wait_queue.borrow_number, None)
            wait_queue.borrow_number = None
            self._back_off(wait_queue)

    def _back_off(self, wait_queue: queue.WaitQueue) -> None:
        # Without a backoff, homes that have all exhausted their share would keep sending requests
        # to each other.
        wait_queue.next_partner += 1
        doubled = max(_MIN_BACKOFF_MS, 2.0 * wait_queue.borrow_backoff_ms)
        wait_queue.borrow_backoff_ms = min(doubled, _MAX_BACKOFF_MS)
        wait_queue.next_borrow_ms = self._context.now_ms() + wait_queue.borrow_backoff_ms

    def _settle(self, home: ids.HostId, number: int, unspent: float) -> None:
        settlement = messages.Settlement(number=number, unspent=unspent)
        self._context.send(home, messages.Settle(grants=(settlement,)))
