"""Histogram of recent latencies."""

import math

__all__ = ["LatencyHistogram"]

_FIRST_BUCKET_MS = 0.1
_BUCKET_GROWTH = 1.1
_BUCKET_COUNT = 150
_MAX_TOTAL = 8_000
_LOG_BUCKET_GROWTH = math.log(_BUCKET_GROWTH)


class LatencyHistogram:
    """Histogram with exponential buckets, each 10 % wider than the one before.

    All counts are halved when their sum reaches a limit, so that recent latencies weigh more.

    Examples
    --------
    >>> histogram = LatencyHistogram()
    >>> for latency_ms in range(1, 101):
    ...     histogram.add(float(latency_ms))
    >>> 45.0 < histogram.quantile(0.5) < 60.0
    True
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKET_COUNT
        self._total = 0.0

    @property
    def total(self) -> float:
        """Sum of the counts; older latencies weigh less than 1."""
        return self._total

    def add(self, latency_ms: float) -> None:
        """Count one latency in milliseconds."""
        index = 0
        if latency_ms > _FIRST_BUCKET_MS:
            index = min(
                _BUCKET_COUNT - 1,
                int(math.log(latency_ms / _FIRST_BUCKET_MS) / _LOG_BUCKET_GROWTH) + 1,
            )
        self._counts[index] += 1.0
        self._total += 1.0
        if self._total >= _MAX_TOTAL:
            self._counts = [count * 0.5 for count in self._counts]
            self._total *= 0.5

    def quantile(self, fraction: float) -> float:
        """Return an upper bound of a quantile in milliseconds, or 0 if the histogram is empty."""
        above = (1.0 - fraction) * self._total
        if self._total <= 0:
            return 0.0
        for index in range(_BUCKET_COUNT - 1, -1, -1):
            above -= self._counts[index]
            if above < 0:
                return _FIRST_BUCKET_MS * _BUCKET_GROWTH**index
        return _FIRST_BUCKET_MS
