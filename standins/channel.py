"""Network between simulated hosts: delay, loss, duplication, reordering and cuts of messages.

Time is a stepped clock, so nothing is delivered until the simulation advances the clock.
"""

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
    """Conditions of the network; they may be changed at any time of a simulation.

    Attributes
    ----------
    near_ms, far_ms : float
        One-way delay in milliseconds within a region and between regions.
    jitter : float
        Each delay is multiplied by 1 plus a random fraction of this, so messages are reordered.
    loss, duplication : float
        Probability that a message is lost or delivered twice, each 0 to 1.
    cuts : set of (str, str)
        Pairs of sender and receiver; messages in this direction are lost.
    link_bytes_per_ms : float
        Bandwidth of each host's link, in bytes per millisecond in each direction.
    """

    near_ms: float = 1.0
    far_ms: float = 30.0
    jitter: float = 0.5
    loss: float = 0.0
    duplication: float = 0.0
    cuts: set[tuple[str, str]] = msgspec.field(default_factory=set)
    link_bytes_per_ms: float = math.inf


class PeerChannel:
    """Delivers encoded messages between hosts and counts their bytes.

    Parameters
    ----------
    time : SteppedClock
        Clock that all hosts share.
    rng : random.Random
        Source of random numbers.
    region_of : callable
        Returns the region of a host.

    Attributes
    ----------
    conditions : Conditions
        Present conditions of the network.
    inter_region_bytes, far_messages : int
        Bytes and messages sent between regions so far, lost ones included.
    intra_region_bytes : int
        Bytes sent between hosts of a region so far, lost ones included.
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
        self._sequence = 0
        # Times until which each host's link is busy with sending and with receiving.
        self._sender_busy_until_ms: dict[str, float] = {}
        self._receiver_busy_until_ms: dict[str, float] = {}
        self.conditions = Conditions()
        self.inter_region_bytes = 0
        self.far_messages = 0
        self.intra_region_bytes = 0

    def set_receiver(self, host: str, receive: Receive | None) -> None:
        """Set the function that receives a host's messages; None drops the messages.

        Parameters
        ----------
        host : str
            Name of the host.
        receive : callable or None
            Called with the sender and the message of each delivery.
        """
        if receive is None:
            self._receivers.pop(host, None)
        else:
            self._receivers[host] = receive

    def send(self, sender: str, receiver: str, message: base.Message) -> None:
        """Send a message, subject to the present conditions.

        It is encoded at once, as on a host, so later changes of its contents have no effect.
        """
        data = codec.encode(sender, message)
        delay_ms = self._delay_ms(sender, receiver, len(data))
        conditions = self.conditions
        if (sender, receiver) in conditions.cuts or self._rng.random() < conditions.loss:
            return
        copies = 2 if self._rng.random() < conditions.duplication else 1
        for _ in range(copies):
            self._sequence += 1
            delay_ms *= 1 + conditions.jitter * self._rng.random()
            due_ms = self._reserve_arrival_ms(sender, receiver, len(data), delay_ms)
            heapq.heappush(self._queue, (due_ms, self._sequence, receiver, data))

    def deliver(self) -> None:
        """Deliver the messages whose arrival time has come."""
        while self._queue and self._queue[0][0] <= self._time.now_ms():
            _, _, receiver, data = heapq.heappop(self._queue)
            receive = self._receivers.get(receiver)
            if receive is not None:
                envelope = codec.decode(data)
                receive(envelope.sender, envelope.message)

    def _reserve_arrival_ms(self, sender: str, receiver: str, size: int, delay_ms: float) -> float:
        """Reserve both links for a message, and return when it arrives, in milliseconds."""
        now_ms = self._time.now_ms()
        transmission_ms = size / self.conditions.link_bytes_per_ms
        if sender == receiver or not transmission_ms:
            return now_ms + delay_ms
        sent_ms = max(now_ms, self._sender_busy_until_ms.get(sender, 0.0)) + transmission_ms
        self._sender_busy_until_ms[sender] = sent_ms
        arrived_ms = max(
            sent_ms + delay_ms, self._receiver_busy_until_ms.get(receiver, 0.0) + transmission_ms
        )
        self._receiver_busy_until_ms[receiver] = arrived_ms
        return arrived_ms

    def _delay_ms(self, sender: str, receiver: str, size: int) -> float:
        if sender == receiver:
            return 0.0
        if self._region_of(sender) == self._region_of(receiver):
            self.intra_region_bytes += size
            return self.conditions.near_ms
        self.inter_region_bytes += size
        self.far_messages += 1
        return self.conditions.far_ms
