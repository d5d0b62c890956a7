"""Identity and resources of a host that its systems share."""

import itertools
import random
from collections.abc import Callable, Iterator

from verbenadrum import ids
from verbenadrum.decisions import ring
from verbenadrum.messages import base
from verbenadrum.utils import clock

__all__ = ["Context"]

# Numbers below 2**53 stay exact in tools that read the numbers of a log as floats.
_FIRST_NUMBER_BITS = 52


class Context:
    """Identity, clock, random numbers, message sending and decision log of one host.

    Parameters
    ----------
    host, data_centre, region : str
        Identifiers of this host, its data centre and its region, from the settings.
    incarnation : int
        Random number chosen at start, which distinguishes two runs of the same host.
    clock : Clock
        Source of monotonic and wall time.
    rng : random.Random
        Source of random numbers; seeded in tests.
    send : callable
        Sends a one-way message to a host: at most once, unordered, without a report of loss.
    decisions : DecisionRing
        Ring buffer to which decisions are added.
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

    def numbers(self) -> Iterator[int]:
        """Return increasing numbers for requests to other hosts, which their answers repeat.

        They start at a number that depends on the incarnation, so that an answer to an earlier run
        of this host has the number of no request of this run.
        """
        return itertools.count(random.Random(self.incarnation).getrandbits(_FIRST_NUMBER_BITS))

    def record_decision(
        self, kind: ring.DecisionKind, choice: str, reason: str, **fields: object
    ) -> None:
        """Add a decision to the ring; ``fields`` are further fields of `Decision`."""
        self.decisions.add(ring.Decision(kind=kind, choice=choice, reason=reason, **fields))
