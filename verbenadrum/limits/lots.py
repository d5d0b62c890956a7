"""Tokens that a host holds from homes, in lots that expire."""

import msgspec

from verbenadrum import ids

__all__ = ["EPSILON", "Lot", "TokenLots", "shortened"]

# Tokens that are lost to rounding at most.
EPSILON = 1e-9
# Part by which a received lifetime is shortened, since clocks run at slightly other rates.
_CLOCK_DRIFT = 0.001


def shortened(life_ms: float) -> float:
    """Return how long the receiver of a lifetime may rely on it.

    Examples
    --------
    >>> shortened(1000.0)
    999.0
    """
    return life_ms * (1.0 - _CLOCK_DRIFT)


class Lot(msgspec.Struct, kw_only=True):
    """What is left of one grant.

    ``open_parts`` counts the grants that a borrowing home has made from it and not yet settled.
    """

    home: ids.HostId
    number: int
    left: float
    until_ms: float
    open_parts: int = 0


class TokenLots:
    """Lots of one workspace, the earliest to expire first.

    Examples
    --------
    >>> lots = TokenLots()
    >>> lots.add(Lot(home="h", number=1, left=1.0, until_ms=100.0))
    >>> lots.total(now_ms=50.0), lots.total(now_ms=100.0)
    (1.0, 0)
    """

    def __init__(self) -> None:
        self._lots: list[Lot] = []

    def __bool__(self) -> bool:
        return bool(self._lots)

    def add(self, lot: Lot) -> None:
        """Keep a lot."""
        self._lots.append(lot)
        self._lots.sort(key=lambda each: each.until_ms)

    def total(self, *, now_ms: float) -> float:
        """Return the tokens that expire after ``now_ms``, which may lie ahead."""
        return sum(lot.left for lot in self._lots if lot.until_ms > now_ms)

    def purge(self, *, now_ms: float) -> None:
        """Forget expired lots."""
        if self._lots and self._lots[0].until_ms <= now_ms:
            self._lots = [lot for lot in self._lots if lot.until_ms > now_ms]

    def take(self, *, now_ms: float, count: float) -> list[tuple[Lot, float]]:
        """Remove up to ``count`` tokens and return which lots they came from."""
        self.purge(now_ms=now_ms)
        parts = []
        for lot in self._lots:
            if count <= EPSILON:
                break
            amount = min(lot.left, count)
            if amount <= 0:
                continue
            lot.left -= amount
            count -= amount
            parts.append((lot, amount))
        return parts

    def remove_spent(self) -> list[Lot]:
        """Remove and return the lots that are used up and have no open parts."""
        spent = [lot for lot in self._lots if lot.left <= EPSILON and not lot.open_parts]
        if spent:
            self._lots = [lot for lot in self._lots if lot.left > EPSILON or lot.open_parts]
        return spent

    def remove_before(self, *, until_ms: float) -> list[Lot]:
        """Remove and return the lots without open parts that expire before ``until_ms``."""
        leaving = [lot for lot in self._lots if lot.until_ms < until_ms and not lot.open_parts]
        if leaving:
            self._lots = [lot for lot in self._lots if lot not in leaving]
        return leaving
