"""Tokens that a home borrows from the homes of other scopes when its own do not suffice."""

from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.limits import home_bucket, home_leases, lots, messages, partitions, queue

__all__ = ["Borrowing"]

_PATIENCE_MS = 300.0
_TIMEOUT_MS = 500.0
_PAUSE_MS = 50.0
_PAUSE_MAX_MS = 800.0
_LEAST_LIFE_MS = 150.0


class _Borrow(msgspec.Struct, frozen=True, kw_only=True):
    """An open request to the home of another scope."""

    workspace: ids.WorkspaceId
    partner: ids.HostId
    sent_ms: float


class Borrowing:
    """Asks one partner at a time for each workspace, and gives back what is not needed.

    The lending home counts borrowed tokens against its own share until they expire or are
    settled, so a lost message loses tokens and a repeated one creates none.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        homes: partitions.HomeMap,
        held: home_leases.HomeLeases,
        numbers: Iterator[int],
    ) -> None:
        self._context = context
        self._homes = homes
        self._held = held
        self._numbers = numbers
        self._open: dict[int, _Borrow] = {}
        self._borrowers: set[ids.WorkspaceId] = set()

    def on_tick(self) -> None:
        """Give back the lots that are about to expire."""
        for workspace in list(self._borrowers):
            bucket = self._bucket(workspace)
            if bucket is None:
                self._borrowers.discard(workspace)
                continue
            self.drop_short(bucket)
            if not bucket.borrowed:
                self._borrowers.discard(workspace)

    def workspace(self, sender: ids.HostId, number: int) -> ids.WorkspaceId | None:
        """Return the workspace that an answer is for, or None if none was asked for."""
        borrow = self._open.get(number)
        return None if borrow is None or borrow.partner != sender else borrow.workspace

    def ask(
        self, workspace: ids.WorkspaceId, waiting: queue.WaitQueue, bucket: home_bucket.HomeBucket
    ) -> None:
        """Ask the next partner for the tokens that waiting entry hosts lack."""
        now_ms = self._context.now_ms()
        if waiting.borrow_number is not None:
            self._time_out(waiting, now_ms)
        missing = waiting.needed - bucket.held - bucket.borrowed.total(now_ms=now_ms)
        if not waiting.entries or missing <= 0 or waiting.borrow_number is not None:
            return
        partner = self._partner(workspace, waiting)
        if partner is None or now_ms < waiting.borrow_again_ms:
            return
        number = next(self._numbers)
        waiting.borrow_number = number
        self._open[number] = _Borrow(workspace=workspace, partner=partner, sent_ms=now_ms)
        ask = messages.Ask(
            number=number,
            workspace=workspace,
            need=missing,
            extra=0.0,
            patience_ms=_PATIENCE_MS,
            borrower=self._homes.own_scope,
        )
        self._context.send(partner, ask)

    def on_grant(self, grant: messages.Grant, waiting: queue.WaitQueue | None) -> None:
        """Keep the tokens of an answer, or pause where it is empty."""
        borrow = self._open.pop(grant.number)
        if waiting is not None and waiting.borrow_number == grant.number:
            waiting.borrow_number = None
            waiting.borrow_pause_ms = 0.0 if grant.count > 0 else waiting.borrow_pause_ms
            if grant.count <= 0:
                self._pause(waiting)
        if grant.count > 0:
            self._keep(grant, borrow)

    def drop_short(self, bucket: home_bucket.HomeBucket) -> None:
        """Give back the lots whose rest of life is too short to pass on."""
        now_ms = self._context.now_ms()
        for lot in bucket.borrowed.remove_before(until_ms=now_ms + _LEAST_LIFE_MS):
            self._settle(lot.home, lot.number, lot.left)
        bucket.borrowed.purge(now_ms=now_ms)

    def settle_spent(self, bucket: home_bucket.HomeBucket) -> None:
        """Tell the lending homes which lots are used up."""
        for lot in bucket.borrowed.remove_spent():
            self._settle(lot.home, lot.number, 0.0)

    def _partner(self, workspace: ids.WorkspaceId, waiting: queue.WaitQueue) -> ids.HostId | None:
        own = self._context.host
        candidates = self._homes.homes(partitions.partition_of(workspace))
        partners = [host for host in candidates if host != own]
        return partners[waiting.next_partner % len(partners)] if partners else None

    def _bucket(self, workspace: ids.WorkspaceId) -> home_bucket.HomeBucket | None:
        held = self._held.find(partitions.partition_of(workspace))
        return None if held is None or held.draining else held.buckets.get(workspace)

    def _keep(self, grant: messages.Grant, borrow: _Borrow) -> None:
        until_ms = borrow.sent_ms + lots.shortened(grant.life_ms)
        if until_ms <= self._context.now_ms():
            return
        bucket = self._bucket(borrow.workspace)
        if bucket is None:
            self._settle(borrow.partner, grant.number, grant.count)
            return
        lot = lots.Lot(
            home=borrow.partner, number=grant.number, left=grant.count, until_ms=until_ms
        )
        bucket.borrowed.add(lot)
        self._borrowers.add(borrow.workspace)

    def _time_out(self, waiting: queue.WaitQueue, now_ms: float) -> None:
        borrow = self._open.get(waiting.borrow_number)
        if borrow is None or now_ms - borrow.sent_ms >= _TIMEOUT_MS:
            self._open.pop(waiting.borrow_number, None)
            waiting.borrow_number = None
            self._pause(waiting)

    def _pause(self, waiting: queue.WaitQueue) -> None:
        # Scopes that are all over their share would ask each other without end.
        waiting.next_partner += 1
        doubled = max(_PAUSE_MS, 2.0 * waiting.borrow_pause_ms)
        waiting.borrow_pause_ms = min(doubled, _PAUSE_MAX_MS)
        waiting.borrow_again_ms = self._context.now_ms() + waiting.borrow_pause_ms

    def _settle(self, home: ids.HostId, number: int, unspent: float) -> None:
        settlement = messages.Settlement(number=number, unspent=unspent)
        self._context.send(home, messages.Settle(grants=(settlement,)))
