"""Budget of the repeats that a service may get from all hosts together.

Each first attempt earns a fraction of a repeat at the entry host that placed it, and each host
owns an equal part of the slack. An entry host hands what it owns to the home that it asks, and a
home grants repeats out of what it was handed. A token exists once, so the sum over any number of
homes, one after the other or side by side, stays within the limits.
"""

import collections
from collections.abc import Callable

import msgspec

__all__ = ["DEFAULT_LIMITS", "RetryLimits", "RetryPool", "RetryPurse"]

# Parts of the slack. In any window the hosts hand out what accrues in it and what they held when
# it began, and the homes grant what they held; together less than the whole.
_ACCRUING_SHARE = 0.2
_PURSE_MS = 3_000.0
_KEPT_SHARE = 0.45
# Beyond what a home may keep, tokens last this long, however many homes there are.
_PASSING_MS = 500.0
# A host that has just started may not know of the others yet.
_SETTLING_MS = 5_000.0
# What all homes may keep where the limits name no slack.
_LEAST_KEPT = 10.0
# Repeats that a host which reaches no home may save.
_MOST_EARNED = 1.0
_EPSILON = 1e-9


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


class RetryPurse:
    """What one host has earned for a service, and its part of the slack.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole service.
    started_ms : float
        Monotonic time at which the process started.

    Examples
    --------
    >>> purse = RetryPurse(limits=RetryLimits(ratio=0.5), started_ms=0.0)
    >>> purse.earn()
    >>> purse.take(now_ms=1.0, hosts=3), purse.take(now_ms=2.0, hosts=3)
    (0.5, 0.0)
    >>> purse.earn(); purse.earn()
    >>> purse.draw(now_ms=3.0, hosts=3), purse.draw(now_ms=4.0, hosts=3)
    (True, False)
    """

    def __init__(self, *, limits: RetryLimits, started_ms: float) -> None:
        self._limits = limits
        self._earned = 0.0
        self._slack = 0.0
        self._accrued_ms = started_ms + _SETTLING_MS
        # Hosts that left the list may be cut off and use their parts, so the count never falls.
        self._most_hosts = 1

    def earn(self) -> None:
        """Count a request's first attempt."""
        self._earned = min(_MOST_EARNED, self._earned + self._limits.ratio)

    def take(self, *, now_ms: float, hosts: int) -> float:
        """Return all tokens, to be handed to a home; ``hosts`` is how many are listed."""
        self._accrue(now_ms, hosts)
        tokens = self._earned + self._slack
        self._earned = self._slack = 0.0
        return tokens

    def draw(self, *, now_ms: float, hosts: int) -> bool:
        """Take one repeat for this host itself, if it owns a whole one."""
        self._accrue(now_ms, hosts)
        if self._earned + self._slack < 1.0 - _EPSILON:
            return False
        self._slack += self._earned - 1.0
        self._earned = 0.0
        return True

    def _accrue(self, now_ms: float, hosts: int) -> None:
        self._most_hosts = max(self._most_hosts, hosts)
        elapsed_ms = now_ms - self._accrued_ms
        if elapsed_ms <= 0.0:
            return
        self._accrued_ms = now_ms
        limits = self._limits
        per_ms = _ACCRUING_SHARE * limits.slack / limits.window_ms / self._most_hosts
        self._slack = min(self._slack + per_ms * elapsed_ms, per_ms * _PURSE_MS)


class RetryPool:
    """Tokens that entry hosts have handed to a home.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole service.
    share : callable
        Returns this home's part, 0 to 1, of what all homes may keep; the others' parts and this
        one sum to 1 at most. Kept tokens last for a window, others for `_PASSING_MS`.

    Examples
    --------
    >>> pool = RetryPool(limits=RetryLimits(slack=5.0), share=lambda: 0.1)
    >>> pool.add(2.5, now_ms=0.0)
    >>> pool.draw(now_ms=1.0), pool.draw(now_ms=2.0), pool.draw(now_ms=3.0)
    (True, True, False)
    >>> pool.add(2.5, now_ms=10.0)
    >>> pool.tokens(now_ms=600.0), pool.tokens(now_ms=11_000.0)
    (1.0, 0.0)
    """

    def __init__(self, *, limits: RetryLimits, share: Callable[[], float]) -> None:
        self._limits = limits
        self._share = share
        # Times at which tokens were taken in, and how many are left of them, oldest first.
        self._lots: collections.deque[tuple[float, float]] = collections.deque()
        self._held = 0.0
        self.received = 0.0

    def add(self, tokens: float, *, now_ms: float) -> None:
        """Take in tokens."""
        if tokens > 0.0:
            self.received += tokens
            self._lots.append((now_ms, tokens))
            self._held += tokens

    def tokens(self, *, now_ms: float) -> float:
        """Return how many tokens are held."""
        window_ms = self._limits.window_ms
        while self._lots and now_ms - self._lots[0][0] >= window_ms:
            self._held -= self._lots.popleft()[1]
        most = max(_LEAST_KEPT, self._limits.slack * _KEPT_SHARE) * self._share()
        while self._held > most and self._lots and now_ms - self._lots[0][0] >= _PASSING_MS:
            self._remove(min(self._held - most, self._lots[0][1]))
        return self._held

    def draw(self, *, now_ms: float) -> bool:
        """Take one repeat if a whole token is held, and return whether one was."""
        if self.tokens(now_ms=now_ms) < 1.0 - _EPSILON:
            return False
        self._remove(1.0)
        return True

    def _remove(self, tokens: float) -> None:
        """Remove the oldest tokens."""
        self._held -= tokens
        while self._lots and tokens >= self._lots[0][1]:
            tokens -= self._lots.popleft()[1]
        if not self._lots:
            self._held = 0.0
        elif tokens > 0.0:
            at_ms, left = self._lots[0]
            self._lots[0] = (at_ms, left - tokens)
