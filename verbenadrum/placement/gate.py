"""Limits the concurrent copies of a request that may crash servers, until one has succeeded."""

import collections
import enum

from verbenadrum import ids
from verbenadrum.placement import poison, servers

__all__ = ["GateDecision", "PoisonGate", "loan_id"]

_PRESUMED_HARMLESS_AFTER_MS = 2_000.0
_BORROW_RETRY_MS = 500.0


class GateDecision(enum.Enum):
    """Decision of a `PoisonGate` on one more copy of a request.

    ``WAIT`` holds the copy back until another one ends, ``NEEDS_ALLOWANCE`` until another region
    lends its crash allowance, and ``POISON`` refuses it.
    """

    OPEN = "open"
    WAIT = "wait"
    NEEDS_ALLOWANCE = "reserve"
    POISON = "poison"


class PoisonGate:
    """Limits how many copies of an unproven request are in flight in one pool part.

    A request is unproven unless a copy with its fingerprint has succeeded lately. A fingerprint may
    crash two servers in the whole fleet. Each region's allowance is one of these crashes, and a
    region that has used its own borrows the other's before a second attempt. The part of a pool
    without other parts has both.

    Parameters
    ----------
    ledger : PoisonLedger
        Crashes and successes by fingerprint, as this host has recorded them.
    region : RegionId
        The part's region.
    """

    def __init__(self, *, ledger: poison.PoisonLedger, region: ids.RegionId) -> None:
        self._ledger = ledger
        self._region = region
        self._in_flight: dict[str, dict[ids.LeaseId, servers.LeaseRow]] = collections.defaultdict(
            dict
        )
        self._borrow_retry_ms: dict[str, float] = {}

    def check(
        self, fingerprint: str, *, part_count: int, now_ms: float, hedge: bool = False
    ) -> GateDecision:
        """Decide whether one more copy of a request may go to a server now.

        ``part_count`` is the number of parts of the pool. A hedge cannot wait for the copy that it
        is to replace, so it borrows an allowance instead.
        """
        state = self._ledger.state(fingerprint, now_ms)
        if state is poison.FingerprintState.POISON:
            return GateDecision.POISON
        if not fingerprint or state is poison.FingerprintState.GOOD:
            return GateDecision.OPEN
        suspected = state is poison.FingerprintState.SUSPECTED
        in_flight = self._count_in_flight(fingerprint, now_ms, include_old=suspected)
        if in_flight and suspected:
            return GateDecision.WAIT
        if in_flight < self.allowance(fingerprint, part_count=part_count, now_ms=now_ms):
            return GateDecision.OPEN
        return GateDecision.WAIT if in_flight and not hedge else GateDecision.NEEDS_ALLOWANCE

    def allowance(self, fingerprint: str, *, part_count: int, now_ms: float) -> int:
        """Return how many more crashes by a fingerprint this part may risk."""
        left = poison.MAX_CRASHES if part_count <= 1 else 1
        for use in self._ledger.uses(fingerprint, now_ms).values():
            if use.region == self._region:
                left -= 1
            elif use.borrower == self._region and not use.is_crash:
                left += 1
        return max(0, left)

    def can_lend(self, fingerprint: str, *, part_count: int, now_ms: float) -> bool:
        """Return whether this part's allowance is unused and no copy is in flight here."""
        idle = not self._count_in_flight(fingerprint, now_ms, include_old=True)
        return idle and self.allowance(fingerprint, part_count=part_count, now_ms=now_ms) > 0

    def start_borrowing(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether to request another region's allowance now, and record the request.

        False while an earlier request is unanswered and recent.
        """
        if now_ms < self._borrow_retry_ms.get(fingerprint, 0.0):
            return False
        self._borrow_retry_ms[fingerprint] = now_ms + _BORROW_RETRY_MS
        return True

    def stop_borrowing(self, fingerprint: str) -> None:
        """Record that the request for another region's allowance has been answered."""
        self._borrow_retry_ms.pop(fingerprint, None)

    def add_lease(self, lease: servers.LeaseRow) -> None:
        """Count a lease's copy of its request as in flight."""
        if lease.fingerprint:
            self._in_flight[lease.fingerprint][lease.lease] = lease

    def remove_lease(self, lease: servers.LeaseRow) -> None:
        """Count a lease's copy as ended; an unknown lease is ignored."""
        in_flight = self._in_flight.get(lease.fingerprint)
        if in_flight is None:
            return
        in_flight.pop(lease.lease, None)
        if not in_flight:
            del self._in_flight[lease.fingerprint]

    def _count_in_flight(self, fingerprint: str, now_ms: float, *, include_old: bool) -> int:
        """Return how many copies are in flight.

        Unless ``include_old`` is set, copies that have run for `_PRESUMED_HARMLESS_AFTER_MS`
        without a crash are left out.
        """
        in_flight = self._in_flight.get(fingerprint)
        if not in_flight:
            return 0
        if include_old:
            return len(in_flight)
        return sum(
            now_ms - lease.started_ms < _PRESUMED_HARMLESS_AFTER_MS for lease in in_flight.values()
        )


def loan_id(region: str, borrower: str) -> str:
    """Return the identifier of an allowance that one region lends to another.

    Examples
    --------
    >>> loan_id("lima", "cusco")
    'lent:lima:cusco'
    """
    return f"lent:{region}:{borrower}"
