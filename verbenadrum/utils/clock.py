"""Clocks in milliseconds.

The core never reads the machine's time itself; it gets one of these clocks, so that tests can step
the time.
"""

import time
import typing

__all__ = ["Clock", "SteppedClock", "SystemClock"]

_MS_PER_S = 1000.0


class Clock(typing.Protocol):
    """Source of time for the core."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds, with an arbitrary origin."""

    def wall_ms(self) -> float:
        """Return milliseconds since the Unix epoch; it may jump forward and back."""

    def boot_ms(self) -> float:
        """Return monotonic time in milliseconds that also counts suspensions of the machine."""


class SystemClock:
    """Clock of the machine.

    The monotonic time also advances while the process is paused, so that a resumed process can
    tell how much time has passed.
    """

    def now_ms(self) -> float:
        """Return the machine's monotonic time in milliseconds."""
        return time.monotonic() * _MS_PER_S

    def wall_ms(self) -> float:
        """Return the machine's wall time in milliseconds since the Unix epoch."""
        return time.time() * _MS_PER_S

    def boot_ms(self) -> float:
        """Return the machine's monotonic time in milliseconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S


class SteppedClock:
    """Clock that advances only by calls of `advance`, for tests and simulations.

    Parameters
    ----------
    now_ms : float
        Initial monotonic time in milliseconds.
    wall_offset_ms : float
        Wall time minus monotonic time, in milliseconds.

    Examples
    --------
    >>> clock = SteppedClock(now_ms=10.0)
    >>> clock.advance(5.0)
    >>> clock.now_ms()
    15.0
    """

    def __init__(self, *, now_ms: float = 0.0, wall_offset_ms: float = 1.7e12) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        """Return the current monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the current wall time in milliseconds since the Unix epoch."""
        return self._now_ms + self._wall_offset_ms

    def boot_ms(self) -> float:
        """Return the current monotonic time in milliseconds, as nothing is ever suspended."""
        return self._now_ms

    def advance(self, step_ms: float) -> None:
        """Advance both times.

        Parameters
        ----------
        step_ms : float
            Milliseconds to add; at least 0.

        Raises
        ------
        ValueError
            If ``step_ms`` is negative.
        """
        if step_ms < 0:
            raise ValueError(f"a clock cannot go back by {-step_ms} ms")
        self._now_ms += step_ms
