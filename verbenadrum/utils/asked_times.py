"""Times of requests whose answers count from when they were sent."""

__all__ = ["AskedTimes"]


class AskedTimes:
    """Monotonic times at which this run of the host has asked within a term.

    Answers repeat the time of their request, so that what they grant counts from then. The
    monotonic clock starts anew with the machine, so the time in an answer to an earlier run of the
    host may lie ahead and must not be used.

    Parameters
    ----------
    term_ms : float
        Time after which an answer grants nothing, in milliseconds.

    Examples
    --------
    >>> asked = AskedTimes(term_ms=100.0)
    >>> asked.add(5.0)
    >>> 5.0 in asked, 700_000.0 in asked
    (True, False)
    >>> asked.add(105.0)
    >>> 5.0 in asked
    False
    """

    def __init__(self, *, term_ms: float) -> None:
        self._term_ms = term_ms
        # In ascending order; the values have no meaning.
        self._times_ms: dict[float, None] = {}

    def add(self, now_ms: float) -> None:
        """Record a request that is sent now, and drop those whose term is over."""
        while self._times_ms:
            oldest_ms = next(iter(self._times_ms))
            if now_ms - oldest_ms < self._term_ms:
                break
            del self._times_ms[oldest_ms]
        self._times_ms[now_ms] = None

    def __contains__(self, asked_ms: float) -> bool:
        """Return whether this run has sent a request at a time whose term may not be over."""
        return asked_ms in self._times_ms
