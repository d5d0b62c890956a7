"""Clocks that read milliseconds.

Decisions never read the machine's time themselves: they are handed one of these clocks.
"""

import time
import typing

__all__ = ["Clock", "SteppedClock", "SystemClock"]

_MS_PER_S = 1000.0


class Clock(typing.Protocol):
    """Source of time for the decisions."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds, with an arbitrary origin."""

    def wall_ms(self) -> float:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the running process.

    The monotonic reading advances while the process is paused, so a process that wakes late
    sees how much time has passed.
    """

    def now_ms(self) -> float:
        """Return the machine's monotonic time in milliseconds."""
        return time.monotonic() * _MS_PER_S

    def wall_ms(self) -> float:
        """Return the machine's wall time in milliseconds since the Unix epoch."""
        return time.time() * _MS_PER_S


class SteppedClock:
    """Clock that moves only when it is told to.

    Parameters
    ----------
    now_ms : float
        First monotonic reading, in milliseconds.
    wall_offset_ms : float
        Difference between the wall reading and the monotonic reading, in milliseconds.

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
        """Return the stepped monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the stepped wall time in milliseconds since the Unix epoch."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, step_ms: float) -> None:
        """Move the clock forward.

        Parameters
        ----------
        step_ms : float
            Milliseconds to add; never negative.

        Raises
        ------
        ValueError
            If ``step_ms`` is negative.
        """
        if step_ms < 0:
            raise ValueError(f"a clock cannot go back by {-step_ms} ms")
        self._now_ms += step_ms
