"""Budgets of the retries and hedges that may be sent to a service."""

import collections

import msgspec

__all__ = ["DEFAULT_LIMITS", "RetryBudget", "RetryLimits", "WindowBudget"]

_TOKENS_PER_REQUEST = 0.2
# A host repeats alone only while no home answers; all hosts together may do so at once.
_MOST_TOKENS = 1.0
_HEDGE_RESERVE = 2.0
# Part of the slack that the homes use; repeats that hosts place alone take the rest.
_SLACK_USED = 0.8


class RetryBudget:
    """Earns a fifth of a retry with each request, so that attempts stay within 1.2 times these.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(5):
    ...     budget.earn()
    >>> budget.draw(), budget.draw()
    (True, False)
    """

    def __init__(self) -> None:
        self._tokens = 0.0

    def earn(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(_MOST_TOKENS, self._tokens + _TOKENS_PER_REQUEST)

    def draw(self, *, hedge: bool = False) -> bool:
        """Take one retry, or one hedge where enough is left for retries."""
        needed = 1.0 + (_HEDGE_RESERVE if hedge else 0.0)
        if self._tokens < needed - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How many repeats a service may get from all hosts together.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each first attempt.
    slack : float
        Repeats allowed besides, in any window.
    window_ms : float
        Length of the window.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_ms: float = 10_000.0


DEFAULT_LIMITS = RetryLimits()


class WindowBudget:
    """Repeats of the last window, kept within a part of the service's limits by a pool's home.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole service.
    parts : int
        Number of homes that share the slack.

    Examples
    --------
    >>> budget = WindowBudget(limits=RetryLimits(ratio=0.5, slack=1.25, window_ms=100.0), parts=1)
    >>> budget.draw(now_ms=0.0), budget.draw(now_ms=1.0)
    (True, False)
    >>> budget.earn(now_ms=2.0); budget.earn(now_ms=2.0)
    >>> budget.draw(now_ms=3.0), budget.draw(now_ms=4.0), budget.draw(now_ms=150.0)
    (True, False, True)
    """

    def __init__(self, *, limits: RetryLimits, parts: int) -> None:
        self._limits = limits
        self._slack = limits.slack * _SLACK_USED / parts
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    @property
    def firsts(self) -> int:
        """First attempts counted in the last window."""
        return len(self._firsts)

    @property
    def repeats(self) -> int:
        """Repeats counted in the last window."""
        return len(self._repeats)

    def earn(self, *, now_ms: float) -> None:
        """Count a first attempt."""
        self._firsts.append(now_ms)
        self._expire(now_ms)

    def draw(self, *, now_ms: float) -> bool:
        """Count a repeat if one more is within the limits, and return whether it is."""
        self._expire(now_ms)
        if len(self._repeats) + 1 > self._limits.ratio * len(self._firsts) + self._slack:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._limits.window_ms
        for times in (self._firsts, self._repeats):
            while times and times[0] <= oldest_ms:
                times.popleft()
