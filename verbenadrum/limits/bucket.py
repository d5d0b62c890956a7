"""Token bucket with a configurable rate and burst."""

__all__ = ["TokenBucket"]

_MS_PER_S = 1000.0


class TokenBucket:
    """Token bucket: tokens accrue at a rate, up to a burst.

    Parameters
    ----------
    now_ms : float
        Monotonic time at which the bucket starts.
    tokens : float
        Tokens that the bucket starts with.
    rate_per_s : float
        Tokens accrued each second.
    burst : float
        Maximum number of tokens.

    Examples
    --------
    >>> bucket = TokenBucket(now_ms=0.0, tokens=0.0, rate_per_s=2.0, burst=4.0)
    >>> bucket.take(now_ms=500.0)
    True
    >>> bucket.take(now_ms=600.0)
    False
    """

    def __init__(self, *, now_ms: float, tokens: float, rate_per_s: float, burst: float) -> None:
        self._updated_ms = now_ms
        self._tokens = tokens
        self._rate_per_s = rate_per_s
        self._burst = burst

    def configure(self, *, now_ms: float, rate_per_s: float, burst: float) -> None:
        """Change rate and burst from now on; tokens above the new burst are lost."""
        self._accrue(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def tokens(self, *, now_ms: float) -> float:
        """Return the number of available tokens."""
        self._accrue(now_ms)
        return self._tokens

    def take(self, *, now_ms: float, count: float = 1.0) -> bool:
        """Remove ``count`` tokens and return True, or return False if there are too few."""
        self._accrue(now_ms)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def wait_ms(self, *, now_ms: float, count: float = 1.0) -> float:
        """Return the milliseconds until ``count`` tokens are available, infinite if never."""
        self._accrue(now_ms)
        missing = count - self._tokens
        if missing <= 0:
            return 0.0
        if self._rate_per_s <= 0 or count > self._burst:
            return float("inf")
        return missing / self._rate_per_s * _MS_PER_S

    def _accrue(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        self._tokens = min(self._burst, self._tokens + self._rate_per_s * elapsed_ms / _MS_PER_S)
