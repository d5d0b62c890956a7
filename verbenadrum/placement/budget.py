"""Retry budget of a service: how many retries and hedges all hosts together may send.

The budget is kept in tokens, one for each retry or hedge. Each first attempt earns a fraction of a
token at the entry host that received the request, and each host accrues an equal share of the
slack. With each request for a slot, an entry host transfers its tokens to the home of the pool
part, and the home spends the tokens that it has received. A token is held by one host at a time, so
the total stays within the limits for any number of homes, in succession or at once.
"""

import collections
from collections.abc import Callable

import msgspec

__all__ = ["DEFAULT_LIMITS", "RetryLimits", "RetryPool", "RetryBucket"]

# Fractions of the slack. In any window the hosts transfer what accrues in it and what they held at
# its start, and the homes also spend what they held then; these together are less than the slack.
# A host holds at most the slack that it accrues in `_MAX_ACCRUAL_MS`.
_ACCRUING_SLACK_FRACTION = 0.2
_MAX_ACCRUAL_MS = 3_000.0
_RETAINED_SLACK_FRACTION = 0.45
# Tokens above the number that a home may retain expire after this time, so that their total does
# not grow with the number of homes.
_EXCESS_LIFETIME_MS = 500.0
# A host that has just started may not have the full host list, and would accrue too large a share.
_ACCRUAL_DELAY_MS = 5_000.0
# Tokens that all homes together may retain if the limits have little or no slack.
_MIN_RETAINED_TOKENS = 10.0
# Limits the tokens that a host saves while it reaches no home.
_MAX_EARNED_TOKENS = 1.0
_EPSILON = 1e-9


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the retries and hedges that all hosts together may send for a service.

    Attributes
    ----------
    ratio : float
        Number of retries and hedges allowed for each first attempt.
    slack : float
        Number of retries and hedges allowed in any window in addition to those of the ratio.
    window_ms : float
        Length of the window, in milliseconds.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_ms: float = 10_000.0


DEFAULT_LIMITS = RetryLimits()


class RetryBucket:
    """Retry tokens of one service that an entry host has earned, with its share of the slack.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole service.
    started_ms : float
        Monotonic time at which the process started, in milliseconds.

    Examples
    --------
    >>> bucket = RetryBucket(limits=RetryLimits(ratio=0.5), started_ms=0.0)
    >>> bucket.earn()
    >>> bucket.take_all(now_ms=1.0, hosts=3), bucket.take_all(now_ms=2.0, hosts=3)
    (0.5, 0.0)
    >>> bucket.earn(); bucket.earn()
    >>> bucket.try_spend(now_ms=3.0, hosts=3), bucket.try_spend(now_ms=4.0, hosts=3)
    (True, False)
    """

    def __init__(self, *, limits: RetryLimits, started_ms: float) -> None:
        self._limits = limits
        self._earned = 0.0
        self._slack = 0.0
        self._accrued_ms = started_ms + _ACCRUAL_DELAY_MS
        # Hosts that are no longer listed may be partitioned and still spend their shares, so the
        # count never decreases.
        self._max_hosts = 1

    def earn(self) -> None:
        """Add the tokens that a request's first attempt earns, up to a limit."""
        self._earned = min(_MAX_EARNED_TOKENS, self._earned + self._limits.ratio)

    def take_all(self, *, now_ms: float, hosts: int) -> float:
        """Remove and return all tokens, to be sent to a home; ``hosts`` is the number listed."""
        self._accrue(now_ms, hosts)
        tokens = self._earned + self._slack
        self._earned = self._slack = 0.0
        return tokens

    def try_spend(self, *, now_ms: float, hosts: int) -> bool:
        """Spend one token without a home; return False if no whole one is held."""
        self._accrue(now_ms, hosts)
        if self._earned + self._slack < 1.0 - _EPSILON:
            return False
        self._slack += self._earned - 1.0
        self._earned = 0.0
        return True

    def _accrue(self, now_ms: float, hosts: int) -> None:
        self._max_hosts = max(self._max_hosts, hosts)
        elapsed_ms = now_ms - self._accrued_ms
        if elapsed_ms <= 0.0:
            return
        self._accrued_ms = now_ms
        limits = self._limits
        per_ms = _ACCRUING_SLACK_FRACTION * limits.slack / limits.window_ms / self._max_hosts
        self._slack = min(self._slack + per_ms * elapsed_ms, per_ms * _MAX_ACCRUAL_MS)


class RetryPool:
    """Retry tokens of one service that entry hosts have transferred to a home.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole service.
    retained_fraction : callable
        Returns this home's fraction, 0 to 1, of the tokens that all homes may retain. The fractions
        of all homes sum to 1 at most. Retained tokens expire after the window of the limits, others
        after `_EXCESS_LIFETIME_MS`.

    Examples
    --------
    >>> pool = RetryPool(limits=RetryLimits(slack=5.0), retained_fraction=lambda: 0.1)
    >>> pool.add(2.5, now_ms=0.0)
    >>> pool.try_spend(now_ms=1.0), pool.try_spend(now_ms=2.0), pool.try_spend(now_ms=3.0)
    (True, True, False)
    >>> pool.add(2.5, now_ms=10.0)
    >>> pool.tokens(now_ms=600.0), pool.tokens(now_ms=11_000.0)
    (1.0, 0.0)
    """

    def __init__(self, *, limits: RetryLimits, retained_fraction: Callable[[], float]) -> None:
        self._limits = limits
        self._retained_fraction = retained_fraction
        # Times at which tokens were received, and how many of them are left, oldest first.
        self._deposits: collections.deque[tuple[float, float]] = collections.deque()
        self._held = 0.0
        self.received = 0.0

    def add(self, tokens: float, *, now_ms: float) -> None:
        """Add tokens received from an entry host."""
        if tokens > 0.0:
            self.received += tokens
            self._deposits.append((now_ms, tokens))
            self._held += tokens

    def tokens(self, *, now_ms: float) -> float:
        """Remove expired tokens, and return how many are left."""
        window_ms = self._limits.window_ms
        while self._deposits and now_ms - self._deposits[0][0] >= window_ms:
            self._held -= self._deposits.popleft()[1]
        retained = (
            max(_MIN_RETAINED_TOKENS, self._limits.slack * _RETAINED_SLACK_FRACTION)
            * self._retained_fraction()
        )
        while (
            self._held > retained
            and self._deposits
            and now_ms - self._deposits[0][0] >= _EXCESS_LIFETIME_MS
        ):
            self._remove(min(self._held - retained, self._deposits[0][1]))
        return self._held

    def try_spend(self, *, now_ms: float) -> bool:
        """Spend one token; return False if no whole one is held."""
        if self.tokens(now_ms=now_ms) < 1.0 - _EPSILON:
            return False
        self._remove(1.0)
        return True

    def _remove(self, tokens: float) -> None:
        """Remove the oldest tokens."""
        self._held -= tokens
        while self._deposits and tokens >= self._deposits[0][1]:
            tokens -= self._deposits.popleft()[1]
        if not self._deposits:
            self._held = 0.0
        elif tokens > 0.0:
            at_ms, left = self._deposits[0]
            self._deposits[0] = (at_ms, left - tokens)
