"""What may be admitted beyond a workspace's limit, and how the hosts divide it.

Admissions that no home has granted come out of the tolerance alone, so that its parts add up to it
whatever the hosts believe of each other.
"""

import math

import msgspec

from verbenadrum.records import types

__all__ = ["GRANT_DELAY_MS", "LEASE_MS", "NO_TOLERANCE", "PeakCount", "Tolerance"]

_MS_PER_S = 1000.0
# Fraction of a large tolerance that entry hosts admit without asking. The lenders hand out the
# rest, and all of a small one, of which each host would get less than one request.
_LOCAL_FRACTION = 0.5
_SMALL_TOTAL = 200.0
# A granted token may be used this long after it left its bucket.
GRANT_DELAY_MS = 250.0
# How long a share is lent. The lenders of one window may all restart, and lend once more what an
# earlier run of theirs has lent to a home that goes on.
LEASE_MS = 1_000.0


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Admissions in any window beyond ``rate * window + burst``, summed over all hosts.

    Attributes
    ----------
    overshoot : float
        Fraction of the limit that may be admitted beyond it.
    slack : float
        Number of requests that may be admitted beyond that.
    window_ms : float
        Length of the window, in milliseconds.
    """

    overshoot: float = 0.0
    slack: float = 0.0
    window_ms: float = 5_000.0

    def total(self, spec: types.WorkspaceSpec) -> float:
        """Return the requests of a workspace that may be admitted without a home's token.

        Examples
        --------
        >>> spec = types.WorkspaceSpec(rate_per_s=40.0, burst=40.0)
        >>> Tolerance(overshoot=0.25, slack=20.0).total(spec)
        30.0
        """
        limit = spec.rate_per_s * self.window_ms / _MS_PER_S + spec.burst
        reserved = spec.rate_per_s * (GRANT_DELAY_MS + LEASE_MS) / _MS_PER_S
        return max(0.0, self.overshoot * limit + self.slack - reserved)

    def local_part(self, spec: types.WorkspaceSpec, hosts: int) -> int:
        """Return what each of ``hosts`` entry hosts may admit in a window without asking."""
        return math.floor(self._local_total(spec) / max(1, hosts))

    def lender_part(self, spec: types.WorkspaceSpec, share: float) -> float:
        """Return what a lender with a share of the whole may hand out in a window."""
        return (self.total(spec) - self._local_total(spec)) * share

    def _local_total(self, spec: types.WorkspaceSpec) -> float:
        total = self.total(spec)
        return 0.0 if total < _SMALL_TOTAL else total * _LOCAL_FRACTION


NO_TOLERANCE = Tolerance()


class PeakCount:
    """Greatest count of the last one to two periods.

    Parameters
    ----------
    period_ms : float
        Length of a period, in milliseconds.

    Examples
    --------
    >>> peak = PeakCount(period_ms=100.0)
    >>> peak.update(0.0, 5), peak.update(50.0, 3), peak.update(120.0, 3), peak.update(250.0, 3)
    (5, 5, 5, 3)
    """

    def __init__(self, *, period_ms: float) -> None:
        self._period_ms = period_ms
        self._started_ms = float("-inf")
        self._current = 0
        self._previous = 0

    def update(self, now_ms: float, count: int) -> int:
        """Take a count into account, and return the peak."""
        if now_ms - self._started_ms >= self._period_ms:
            self._previous, self._current = self._current, 0
            self._started_ms = now_ms
        self._current = max(self._current, count)
        return max(self._previous, self._current)
