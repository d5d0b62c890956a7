"""Record of when the event loop last ran."""

import collections

from verbenadrum.utils import clock

__all__ = ["LoopHeartbeat"]

# A poll that a signal interrupts returns before the loop sees the signal, which is handled in the
# next iteration, before or after that is recorded.
_KEPT_ITERATIONS = 3


class LoopHeartbeat:
    """Times at which the last polls of the event loop returned, which bound the age of a signal.

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
        self._beats_ms = collections.deque([clock.now_ms()], maxlen=_KEPT_ITERATIONS)
        self._watcher: object = None

    @property
    def earliest_signal_ms(self) -> float:
        """Earliest monotonic time, in ms, at which a signal that is handled now was sent."""
        return self._beats_ms[0]

    def follow(self, loop: object) -> None:
        """Record each iteration of a gevent event loop from now on."""
        self._watcher = loop.check(ref=False)
        self._watcher.start(self.beat)

    def beat(self) -> None:
        """Record that a poll of the event loop has returned."""
        self._beats_ms.append(self._clock.now_ms())
