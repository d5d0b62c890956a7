"""Distribution of a pool's recent latencies."""

import math

__all__ = ["LatencyHistogram"]

_FIRST_MS = 0.1
_RATIO = 1.1
_BUCKETS = 150
_HALVE_AT = 8_000
_LOG_RATIO = math.log(_RATIO)


class LatencyHistogram:
    """Counts latencies in buckets that grow by a tenth, halving the counts as they add up.

    Examples
    --------
    >>> histogram = LatencyHistogram()
    >>> for latency_ms in range(1, 101):
    ...     histogram.add(float(latency_ms))
    >>> 45.0 < histogram.quantile(0.5) < 60.0
    True
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0

    @property
    def total(self) -> float:
        """Weight of the latencies held."""
        return self._total

    def add(self, latency_ms: float) -> None:
        """Count one latency."""
        index = 0
        if latency_ms > _FIRST_MS:
            index = min(_BUCKETS - 1, int(math.log(latency_ms / _FIRST_MS) / _LOG_RATIO) + 1)
        self._counts[index] += 1.0
        self._total += 1.0
        if self._total >= _HALVE_AT:
            self._counts = [count * 0.5 for count in self._counts]
            self._total *= 0.5

    def quantile(self, fraction: float) -> float:
        """Return an upper bound of a quantile in milliseconds, or 0 without latencies."""
        left = (1.0 - fraction) * self._total
        if self._total <= 0:
            return 0.0
        for index in range(_BUCKETS - 1, -1, -1):
            left -= self._counts[index]
            if left < 0:
                return _FIRST_MS * _RATIO**index
        return _FIRST_MS
