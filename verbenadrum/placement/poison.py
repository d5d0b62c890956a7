"""Requests under which backend servers died, as each host remembers them."""

import collections
import enum

import msgspec

from verbenadrum.core import ports

__all__ = ["DEATHS_ALLOWED", "PoisonLedger", "Suspicion", "Unit", "is_death"]

_MEMORY_MS = 600_000.0
_GOOD_MS = 60_000.0
_MOST_ROWS = 4_096
DEATHS_ALLOWED = 2
_BREAKS = (ports.OutcomeKind.RESET, ports.OutcomeKind.TRUNCATED)


class Suspicion(enum.Enum):
    """What is known of a fingerprint."""

    GOOD = "good"
    UNKNOWN = "unknown"
    SUSPECTED = "suspected"
    POISON = "poison"


class Unit(msgspec.Struct, frozen=True, kw_only=True):
    """One of the deaths that a fingerprint may cause: used up, or lent to another region.

    Attributes
    ----------
    region : str
        Part of the pool whose allowance it is.
    server : str
        The server that died, or empty where the allowance was lent.
    borrower : str
        Region that the allowance was lent to, or empty.
    trusted : bool
        Whether the request was believed good when it was sent.
    at_ms : float
        Monotonic time of this host at which it was noted.
    """

    region: str
    server: str
    borrower: str
    trusted: bool
    at_ms: float

    @property
    def died(self) -> bool:
        """Whether a server died."""
        return bool(self.server)


def is_death(kind: ports.OutcomeKind, *, server_gone: bool) -> bool:
    """Return whether an attempt ended with the death of its server.

    A server that breaks connections, or cuts its answers short, and goes on serving is sick; the
    request is not to blame, and must not be refused for it.
    """
    return server_gone and kind in _BREAKS


class PoisonLedger:
    """Deaths by fingerprint, and the fingerprints that completed well lately.

    Notes
    -----
    A good completion wipes out the deaths, so a popular request that was under way at two
    servers that died is cleared by the next of its answers.
    """

    def __init__(self) -> None:
        self._units: collections.OrderedDict[str, dict[str, Unit]] = collections.OrderedDict()
        self._good: collections.OrderedDict[str, float] = collections.OrderedDict()

    def suspicion(self, fingerprint: str, now_ms: float) -> Suspicion:
        """Return what is known of a fingerprint."""
        deaths = self.deaths(fingerprint, now_ms)
        if deaths >= DEATHS_ALLOWED:
            return Suspicion.POISON
        if deaths:
            return Suspicion.SUSPECTED
        good_ms = self._good.get(fingerprint)
        if good_ms is not None and now_ms - good_ms < _GOOD_MS:
            return Suspicion.GOOD
        return Suspicion.UNKNOWN

    def deaths(self, fingerprint: str, now_ms: float) -> int:
        """Return how many servers died under a fingerprint since it last completed well."""
        return sum(unit.died for unit in self._current(fingerprint, now_ms).values())

    def units(self, fingerprint: str, now_ms: float) -> dict[str, Unit]:
        """Return the deaths and the lent allowances of a fingerprint."""
        return self._current(fingerprint, now_ms)

    def add(self, fingerprint: str, name: str, unit: Unit) -> bool:
        """Note a death or a lent allowance, and return whether it is news."""
        known = self._units.setdefault(fingerprint, {})
        # Of requests believed good, all that were under way at one moment count once.
        if name in known or (unit.trusted and any(each.died for each in known.values())):
            return False
        known[name] = unit
        self._units.move_to_end(fingerprint)
        self._good.pop(fingerprint, None)
        while len(self._units) > _MOST_ROWS:
            self._units.popitem(last=False)
        return True

    def clear(self, fingerprint: str, now_ms: float) -> bool:
        """Note a good completion, and return whether it cleared a suspicion."""
        suspected = self._units.pop(fingerprint, None) is not None
        self._good[fingerprint] = now_ms
        self._good.move_to_end(fingerprint)
        while len(self._good) > _MOST_ROWS:
            self._good.popitem(last=False)
        return suspected

    def _current(self, fingerprint: str, now_ms: float) -> dict[str, Unit]:
        units = self._units.get(fingerprint)
        if units is None:
            return {}
        if all(now_ms - unit.at_ms >= _MEMORY_MS for unit in units.values()):
            del self._units[fingerprint]
            return {}
        return units
