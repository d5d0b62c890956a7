"""Exact check of recorded admissions against a rate and burst over every time window."""

from collections.abc import Iterable

__all__ = ["excess", "level"]

_MS_PER_S = 1000.0


def excess(admitted_ms: Iterable[float], *, rate_per_s: float, burst: float) -> float:
    """Return the largest excess of admissions over ``burst + rate x window`` in any window.

    Parameters
    ----------
    admitted_ms : iterable of float
        Times of the admissions on all hosts, in any order.
    rate_per_s, burst : float
        Limit to check against.

    Returns
    -------
    float
        Excess in requests; zero or less if the limit held in every window.

    Notes
    -----
    The bound holds for every window if and only if a leaky bucket, which each admission fills by
    one and which drains at the rate, never rises above the burst.

    Examples
    --------
    >>> excess([0.0, 0.0, 1000.0], rate_per_s=1.0, burst=2.0)
    0.0
    >>> excess([0.0, 0.0, 500.0], rate_per_s=1.0, burst=2.0)
    0.5
    """
    worst = -burst
    level = 0.0
    last_ms = float("-inf")
    for at_ms in sorted(admitted_ms):
        level = _drained(level, at_ms - last_ms, rate_per_s) + 1.0
        last_ms = at_ms
        worst = max(worst, level - burst)
    return worst


def level(admitted_ms: Iterable[float], *, at_ms: float, rate_per_s: float) -> float:
    """Return the level, in requests, of the leaky bucket of `excess` after all admissions.

    ``at_ms`` must not be earlier than the last admission.

    Examples
    --------
    >>> level([0.0, 0.0], at_ms=500.0, rate_per_s=1.0)
    1.5
    """
    filled = 0.0
    last_ms = float("-inf")
    for admission_ms in sorted(admitted_ms):
        filled = _drained(filled, admission_ms - last_ms, rate_per_s) + 1.0
        last_ms = admission_ms
    return _drained(filled, at_ms - last_ms, rate_per_s)


def _drained(level: float, elapsed_ms: float, rate_per_s: float) -> float:
    if level <= 0.0:
        return 0.0
    return max(0.0, level - elapsed_ms * rate_per_s / _MS_PER_S)
