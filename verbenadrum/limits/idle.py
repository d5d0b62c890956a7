"""Tokens that idle workspaces without a bucket have accrued, in bounded space per partition."""

import msgspec

__all__ = ["IdleCredit"]

_MS_PER_S = 1000.0
# Integral of the share, in ms, from which on a window makes all older ones redundant.
_SUFFICIENT_CREDIT_MS = 30_000.0
_MAX_WINDOWS = 16


class _Window(msgspec.Struct, kw_only=True):
    """A period that ends now, with the lowest share and the integral of the share over it."""

    min_share: float
    credit_ms: float = 0.0


class IdleCredit:
    """Lower bound of the tokens of any idle workspace under a varying share.

    A bucket that was empty at the start of a window and has not been used since has at least
    ``min(burst * min_share, rate * credit)`` tokens, because its capacity was never less than
    ``burst * min_share``.

    Examples
    --------
    >>> credit = IdleCredit()
    >>> credit.set_share(share=0.5)
    >>> credit.advance(share_ms=1000.0)
    >>> credit.tokens(rate_per_s=2.0, burst=10.0)
    2.0
    >>> credit.set_share(share=0.1)
    >>> credit.tokens(rate_per_s=2.0, burst=10.0)
    1.0
    """

    def __init__(self) -> None:
        self._windows: list[_Window] = []

    def advance(self, *, share_ms: float) -> None:
        """Add the integral of the share, in ms, over the elapsed time."""
        for window in self._windows:
            window.credit_ms += share_ms

    def set_share(self, *, share: float) -> None:
        """Set the share that is in effect from now on."""
        for window in self._windows:
            window.min_share = min(window.min_share, share)
        self._windows.append(_Window(min_share=share))
        self._prune()

    def tokens(self, *, rate_per_s: float, burst: float) -> float:
        """Return the lower bound for an idle workspace with this rate and burst."""
        bounds = (
            min(burst * window.min_share, rate_per_s * window.credit_ms / _MS_PER_S)
            for window in self._windows
        )
        return max(bounds, default=0.0)

    def _prune(self) -> None:
        kept: list[_Window] = []
        for window in reversed(self._windows):
            if kept and kept[-1].credit_ms >= _SUFFICIENT_CREDIT_MS:
                break
            # A newer window with no greater minimum is dominated by the older one.
            if kept and window.min_share >= kept[-1].min_share:
                kept.pop()
            kept.append(window)
        self._windows = kept[:_MAX_WINDOWS][::-1]
