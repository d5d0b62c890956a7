"""Messages between hosts in stepped time: delay, loss, duplication, reordering and cuts."""

import heapq
import math
import random
from collections.abc import Callable

import msgspec

from verbenadrum.messages import base, codec
from verbenadrum.utils import clock

__all__ = ["Conditions", "PeerChannel"]

Receive = Callable[[str, base.Message], None]


class Conditions(msgspec.Struct, kw_only=True):
    """What happens to messages; changed while the time runs.

    Attributes
    ----------
    near_ms, far_ms : float
        One-way delay within a region and between regions.
    jitter : float
        Each delay is multiplied by 1 plus up to this much, so messages overtake each other.
    loss, duplication : float
        Probability that a message is lost or comes twice.
    cuts : set of (str, str)
        Pairs of sender and receiver between which nothing passes, in that direction.
    link_bytes_per_ms : float
        What a host's link carries in each direction.
    """

    near_ms: float = 1.0
    far_ms: float = 30.0
    jitter: float = 0.5
    loss: float = 0.0
    duplication: float = 0.0
    cuts: set[tuple[str, str]] = msgspec.field(default_factory=set)
    link_bytes_per_ms: float = math.inf


class PeerChannel:
    """Carries encoded messages between hosts and counts the bytes between regions.

    Parameters
    ----------
    time : SteppedClock
        The time that all hosts share.
    rng : random.Random
        Source of random numbers.
    region_of : callable
        Returns the region of a host.
    """

    def __init__(
        self,
        *,
        time: clock.SteppedClock,
        rng: random.Random,
        region_of: Callable[[str], str],
    ) -> None:
        self._time = time
        self._rng = rng
        self._region_of = region_of
        self._receivers: dict[str, Receive] = {}
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._sent = 0
        # Until when each host's link is busy with what it sends, and with what it receives.
        self._sending_ms: dict[str, float] = {}
        self._receiving_ms: dict[str, float] = {}
        self.conditions = Conditions()
        self.far_bytes = 0
        self.far_messages = 0
        self.near_bytes = 0

    def join(self, host: str, receive: Receive | None) -> None:
        """Deliver a host's messages to ``receive``, or drop them where it is None."""
        if receive is None:
            self._receivers.pop(host, None)
        else:
            self._receivers[host] = receive

    def send(self, sender: str, receiver: str, message: base.Message) -> None:
        """Take a message; it is encoded now, as a host would."""
        data = codec.encode(sender, message)
        delay_ms = self._delay_ms(sender, receiver, len(data))
        conditions = self.conditions
        if (sender, receiver) in conditions.cuts or self._rng.random() < conditions.loss:
            return
        copies = 2 if self._rng.random() < conditions.duplication else 1
        for _ in range(copies):
            self._sent += 1
            delay_ms *= 1 + conditions.jitter * self._rng.random()
            due_ms = self._through_links(sender, receiver, len(data), delay_ms)
            heapq.heappush(self._queue, (due_ms, self._sent, receiver, data))

    def deliver(self) -> None:
        """Deliver what is due now."""
        while self._queue and self._queue[0][0] <= self._time.now_ms():
            _, _, receiver, data = heapq.heappop(self._queue)
            receive = self._receivers.get(receiver)
            if receive is not None:
                envelope = codec.decode(data)
                receive(envelope.sender, envelope.message)

    def _through_links(self, sender: str, receiver: str, size: int, delay_ms: float) -> float:
        """Return when a message arrives behind what both links carry already."""
        now_ms = self._time.now_ms()
        carried_ms = size / self.conditions.link_bytes_per_ms
        if sender == receiver or not carried_ms:
            return now_ms + delay_ms
        left_ms = max(now_ms, self._sending_ms.get(sender, 0.0)) + carried_ms
        self._sending_ms[sender] = left_ms
        arrived_ms = max(left_ms + delay_ms, self._receiving_ms.get(receiver, 0.0) + carried_ms)
        self._receiving_ms[receiver] = arrived_ms
        return arrived_ms

    def _delay_ms(self, sender: str, receiver: str, size: int) -> float:
        if sender == receiver:
            return 0.0
        if self._region_of(sender) == self._region_of(receiver):
            self.near_bytes += size
            return self.conditions.near_ms
        self.far_bytes += size
        self.far_messages += 1
        return self.conditions.far_ms
