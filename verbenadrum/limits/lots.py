"""Lots of tokens that homes have granted to a host: each lot is one grant, with an expiry."""

import msgspec

from verbenadrum import ids

__all__ = ["EPSILON", "Lot", "TokenLots", "shorten_lifetime"]

# Upper bound, in tokens, of rounding errors in sums of tokens.
EPSILON = 1e-9
# Fraction by which a received lifetime is shortened, since clocks run at slightly different rates.
_MAX_CLOCK_DRIFT = 0.001


def shorten_lifetime(lifetime_ms: float) -> float:
    """Return a received lifetime in ms, shortened by the maximum clock drift.

    Examples
    --------
    >>> shorten_lifetime(1000.0)
    999.0
    """
    return lifetime_ms * (1.0 - _MAX_CLOCK_DRIFT)


class Lot(msgspec.Struct, kw_only=True):
    """Unspent tokens of one grant.

    Attributes
    ----------
    home : str
        Host that granted the tokens.
    number : int
        Number of the request that the grant answers.
    remaining : float
        Tokens not spent yet.
    until_ms : float
        Monotonic time at which the lot expires.
    open_parts : int
        Number of open grants that a borrowing home has made from this lot.
    """

    home: ids.HostId
    number: int
    remaining: float
    until_ms: float
    open_parts: int = 0


class TokenLots:
    """Lots of one workspace, in the order of their expiry.

    Examples
    --------
    >>> lots = TokenLots()
    >>> lots.add(Lot(home="h", number=1, remaining=1.0, until_ms=100.0))
    >>> lots.total(now_ms=50.0), lots.total(now_ms=100.0)
    (1.0, 0)
    """

    def __init__(self) -> None:
        self._lots: list[Lot] = []

    def __bool__(self) -> bool:
        return bool(self._lots)

    def add(self, lot: Lot) -> None:
        """Insert a lot in the order of expiry."""
        self._lots.append(lot)
        self._lots.sort(key=lambda each: each.until_ms)

    def total(self, *, now_ms: float) -> float:
        """Return the tokens that expire after ``now_ms``, which may be in the future."""
        return sum(lot.remaining for lot in self._lots if lot.until_ms > now_ms)

    def purge(self, *, now_ms: float) -> None:
        """Remove expired lots."""
        if self._lots and self._lots[0].until_ms <= now_ms:
            self._lots = [lot for lot in self._lots if lot.until_ms > now_ms]

    def take(self, *, now_ms: float, count: float) -> list[tuple[Lot, float]]:
        """Take up to ``count`` tokens, the earliest to expire first.

        Returns
        -------
        list of tuple
            Each lot that tokens were taken from, with their number.
        """
        self.purge(now_ms=now_ms)
        parts = []
        for lot in self._lots:
            if count <= EPSILON:
                break
            amount = min(lot.remaining, count)
            if amount <= 0:
                continue
            lot.remaining -= amount
            count -= amount
            parts.append((lot, amount))
        return parts

    def remove_spent(self) -> list[Lot]:
        """Remove and return the lots that are spent and have no open parts."""
        spent = [lot for lot in self._lots if lot.remaining <= EPSILON and not lot.open_parts]
        if spent:
            self._lots = [lot for lot in self._lots if lot.remaining > EPSILON or lot.open_parts]
        return spent

    def remove_expiring(self, *, until_ms: float) -> list[Lot]:
        """Remove and return the lots without open parts that expire before ``until_ms``."""
        expiring = [lot for lot in self._lots if lot.until_ms < until_ms and not lot.open_parts]
        if expiring:
            self._lots = [lot for lot in self._lots if lot not in expiring]
        return expiring
