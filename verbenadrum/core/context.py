"""What a system knows of the host it runs on."""

import random
from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.decisions import ring
from verbenadrum.messages import base
from verbenadrum.utils import clock

__all__ = ["Context"]


class Context:
    """Host identity, time, random numbers, sending and decisions.

    Parameters
    ----------
    host, data_centre, region : str
        This host's identity, from its settings.
    incarnation : int
        Number that differs between two runs of the same host, drawn at start.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    send : callable
        Sends a message to a host; best effort, one way, at most once, in any order.
    decisions : DecisionRing
        Where decisions go.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        data_centre: ids.DataCentreId,
        region: ids.RegionId,
        incarnation: int,
        clock: clock.Clock,
        rng: random.Random,
        send: Callable[[ids.HostId, base.Message], None],
        decisions: ring.DecisionRing,
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.region = region
        self.incarnation = incarnation
        self.clock = clock
        self.rng = rng
        self.send = send
        self.decisions = decisions

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self.clock.now_ms()

    def decide(self, kind: ring.DecisionKind, choice: str, reason: str, **fields: object) -> None:
        """Record a decision; ``fields`` are further fields of `Decision`."""
        self.decisions.add(ring.Decision(kind=kind, choice=choice, reason=reason, **fields))
