"""Record of when the event loop last ran."""

import collections

from verbenadrum.utils import clock

__all__ = ["LoopHeartbeat"]

# A signal that is pending when the loop polls is handled in that iteration. Each tick runs in an
# iteration of its own, and the callbacks that precede it there may have taken long.
_KEPT_BEATS = 3


class LoopHeartbeat:
    """Times of the last ticks of the event loop, which bound the age of a signal.

    A process that was not scheduled, or whose event loop was busy, handles a signal late.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.

    Examples
    --------
    >>> from verbenadrum.utils import clock
    >>> stepped = clock.SteppedClock(now_ms=100.0)
    >>> heartbeat = LoopHeartbeat(clock=stepped)
    >>> for _ in range(4):
    ...     stepped.advance(50.0)
    ...     heartbeat.beat()
    >>> heartbeat.earliest_signal_ms
    200.0
    """

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self._beats_ms = collections.deque([clock.now_ms()], maxlen=_KEPT_BEATS)

    @property
    def earliest_signal_ms(self) -> float:
        """Earliest monotonic time, in ms, at which a signal that is handled now was sent."""
        return self._beats_ms[0]

    def beat(self) -> None:
        """Record that the event loop runs; called at each tick."""
        self._beats_ms.append(self._clock.now_ms())
