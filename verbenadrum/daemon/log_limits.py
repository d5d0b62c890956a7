"""Limit on how often the same event is logged."""

import math
import time
from collections.abc import Hashable

__all__ = ["LogLimit"]

_DEFAULT_INTERVAL_S = 60.0
_DEFAULT_MAX_KEYS = 4_096


class LogLimit:
    """Tells which occurrences of events to log: one in ``interval_s`` for each key.

    Parameters
    ----------
    interval_s : float
        Shortest time between two logged occurrences of a key, in seconds.
    max_keys : int
        Number of keys that are remembered. When there are more, all are forgotten.

    Examples
    --------
    >>> limit = LogLimit()
    >>> limit.is_due("s1"), limit.is_due("s1"), limit.is_due("s2")
    (True, False, True)
    """

    def __init__(
        self, *, interval_s: float = _DEFAULT_INTERVAL_S, max_keys: int = _DEFAULT_MAX_KEYS
    ) -> None:
        self._interval_s = interval_s
        self._max_keys = max_keys
        # When each key was logged last, in monotonic seconds.
        self._logged_s: dict[Hashable, float] = {}

    def is_due(self, key: Hashable) -> bool:
        """Return whether to log an occurrence of an event now, and count it as logged if so."""
        now_s = time.monotonic()
        if now_s - self._logged_s.get(key, -math.inf) < self._interval_s:
            return False
        if len(self._logged_s) >= self._max_keys:
            self._logged_s.clear()
        self._logged_s[key] = now_s
        return True
