"""Tokens that a workspace without a bucket has accrued, kept per partition in constant space."""

import msgspec

__all__ = ["IdleCredit"]

_MS_PER_S = 1000.0
# Integral of the share after which a younger window makes the older ones needless.
_ENOUGH_MS = 30_000.0
_MAX_WINDOWS = 16


class _Window(msgspec.Struct, kw_only=True):
    """A span up to now: the lowest share in it, and the integral of the share over it."""

    floor: float
    credit_ms: float = 0.0


class IdleCredit:
    """Lower bound of any idle workspace's tokens under a share that has varied.

    A bucket that was empty when a window began and has been untouched since holds at least
    ``min(burst * floor, rate * credit)``, because its capacity never fell below the floor.

    Examples
    --------
    >>> credit = IdleCredit()
    >>> credit.change(share=0.5)
    >>> credit.advance(share_ms=1000.0)
    >>> credit.tokens(rate_per_s=2.0, burst=10.0)
    2.0
    >>> credit.change(share=0.1)
    >>> credit.tokens(rate_per_s=2.0, burst=10.0)
    1.0
    """

    def __init__(self) -> None:
        self._windows: list[_Window] = []

    def advance(self, *, share_ms: float) -> None:
        """Add the integral of the share over the time that has passed."""
        for window in self._windows:
            window.credit_ms += share_ms

    def change(self, *, share: float) -> None:
        """Note that the share has a new value from now on."""
        for window in self._windows:
            window.floor = min(window.floor, share)
        self._windows.append(_Window(floor=share))
        self._prune()

    def tokens(self, *, rate_per_s: float, burst: float) -> float:
        """Return the tokens that an idle workspace of this rate and burst holds."""
        held = (
            min(burst * window.floor, rate_per_s * window.credit_ms / _MS_PER_S)
            for window in self._windows
        )
        return max(held, default=0.0)

    def _prune(self) -> None:
        kept: list[_Window] = []
        for window in reversed(self._windows):
            if kept and kept[-1].credit_ms >= _ENOUGH_MS:
                break
            # An older window is worth keeping only while its floor is not above a younger one's.
            if kept and window.floor >= kept[-1].floor:
                kept.pop()
            kept.append(window)
        self._windows = kept[:_MAX_WINDOWS][::-1]
