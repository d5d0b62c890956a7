"""Holds back requests that may crash servers, until one of them has completed well."""

import collections
import enum

from verbenadrum import ids
from verbenadrum.placement import poison, servers

__all__ = ["Passage", "PoisonGate", "unit_name"]

_HARMLESS_AFTER_MS = 2_000.0
_RESERVE_RETRY_MS = 500.0


class Passage(enum.Enum):
    """Whether a request may go to a server now."""

    OPEN = "open"
    WAIT = "wait"
    RESERVE = "reserve"
    POISON = "poison"


class PoisonGate:
    """Limits how many copies of an unproven request are under way in one pool part.

    A fingerprint may cause two deaths in the whole fleet. Each region owns one of them, and a
    region that has used its own borrows the other's before a second attempt.

    Parameters
    ----------
    ledger : PoisonLedger
        The host's memory of deaths and good completions.
    region : RegionId
        The part's region.
    """

    def __init__(self, *, ledger: poison.PoisonLedger, region: ids.RegionId) -> None:
        self._ledger = ledger
        self._region = region
        self._under_way: dict[str, dict[ids.LeaseId, servers.LeaseRow]] = collections.defaultdict(
            dict
        )
        self._reserving: dict[str, float] = {}

    def passage(
        self, fingerprint: str, *, regions: int, now_ms: float, hedge: bool = False
    ) -> Passage:
        """Decide on one more copy of a request; ``regions`` is the number of pool parts.

        A hedge cannot wait for the copy that it is to replace, so it borrows.
        """
        suspicion = self._ledger.suspicion(fingerprint, now_ms)
        if suspicion is poison.Suspicion.POISON:
            return Passage.POISON
        if not fingerprint or suspicion is poison.Suspicion.GOOD:
            return Passage.OPEN
        suspected = suspicion is poison.Suspicion.SUSPECTED
        flying = self._count(fingerprint, now_ms, patient=suspected)
        if flying and suspected:
            return Passage.WAIT
        if flying < self.allowance(fingerprint, regions=regions, now_ms=now_ms):
            return Passage.OPEN
        return Passage.WAIT if flying and not hedge else Passage.RESERVE

    def allowance(self, fingerprint: str, *, regions: int, now_ms: float) -> int:
        """Return how many more deaths this part may risk."""
        left = poison.DEATHS_ALLOWED if regions <= 1 else 1
        for unit in self._ledger.units(fingerprint, now_ms).values():
            if unit.region == self._region:
                left -= 1
            elif unit.borrower == self._region and not unit.died:
                left += 1
        return max(0, left)

    def lendable(self, fingerprint: str, *, regions: int, now_ms: float) -> bool:
        """Return whether this part's allowance is unused and no copy is under way here."""
        idle = not self._count(fingerprint, now_ms, patient=True)
        return idle and self.allowance(fingerprint, regions=regions, now_ms=now_ms) > 0

    def reserve_due(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether to ask for another region's allowance, and note that it is asked."""
        if now_ms < self._reserving.get(fingerprint, 0.0):
            return False
        self._reserving[fingerprint] = now_ms + _RESERVE_RETRY_MS
        return True

    def reserve_ended(self, fingerprint: str) -> None:
        """Note that the answer has come."""
        self._reserving.pop(fingerprint, None)

    def start(self, lease: servers.LeaseRow) -> None:
        """Count a copy as under way."""
        if lease.fingerprint:
            self._under_way[lease.fingerprint][lease.lease] = lease

    def end(self, lease: servers.LeaseRow) -> None:
        """Count a copy as ended."""
        flying = self._under_way.get(lease.fingerprint)
        if flying is None:
            return
        flying.pop(lease.lease, None)
        if not flying:
            del self._under_way[lease.fingerprint]

    def _count(self, fingerprint: str, now_ms: float, *, patient: bool) -> int:
        """Count the copies under way; an impatient count leaves out those that run for long."""
        flying = self._under_way.get(fingerprint)
        if not flying:
            return 0
        if patient:
            return len(flying)
        return sum(now_ms - lease.started_ms < _HARMLESS_AFTER_MS for lease in flying.values())


def unit_name(region: str, borrower: str) -> str:
    """Return the name of a lent allowance.

    Examples
    --------
    >>> unit_name("lima", "cusco")
    'lent:lima:cusco'
    """
    return f"lent:{region}:{borrower}"
