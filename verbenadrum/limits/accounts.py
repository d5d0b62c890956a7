"""What an entry host knows of each workspace that sends requests through it."""

import collections
import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.limits import lots

__all__ = ["Account", "OpenAsk", "Waiter"]

_MS_PER_S = 1000.0
_DEMAND_MS = 2_000.0


class Waiter(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for a token."""

    done: Callable[[ports.Admission], None]
    until_ms: float


class OpenAsk(msgspec.Struct, kw_only=True):
    """The newest request for tokens that has no final answer yet.

    ``silent_ms`` is when the home was first asked without having answered since.
    """

    number: int
    home: ids.HostId
    sent_ms: float
    until_ms: float
    need: float
    silent_ms: float
    answered: bool = False


class Account:
    """Tokens, waiting requests and demand of one workspace on an entry host."""

    def __init__(self, *, workspace: ids.WorkspaceId, partition: int, now_ms: float) -> None:
        self._demand = 0.0
        self.workspace = workspace
        self.partition = partition
        self.used_ms = now_ms
        self.lots = lots.TokenLots()
        self.waiting: collections.deque[Waiter] = collections.deque()
        self.ask: OpenAsk | None = None
        self.ask_again_ms = 0.0
        self.retry_after_ms = 0.0
        self.unanswered = False

    def demand_per_s(self, *, now_ms: float) -> float:
        """Return the requests a second, averaged over about two seconds."""
        return self._demand * math.exp((self.used_ms - now_ms) / _DEMAND_MS)

    def note_request(self, *, now_ms: float) -> None:
        """Count one request into the demand."""
        self._demand = self.demand_per_s(now_ms=now_ms) + _MS_PER_S / _DEMAND_MS
        self.used_ms = now_ms

    def take(self, *, now_ms: float) -> bool:
        """Spend one token, and return whether there was one."""
        if self.lots.total(now_ms=now_ms) < 1.0 - lots.EPSILON:
            return False
        self.lots.take(now_ms=now_ms, count=1.0)
        return True
