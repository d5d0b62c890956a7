"""State that an entry host keeps for each workspace that sends requests through it."""

import collections
import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.limits import lots

__all__ = ["Account", "OpenAsk", "WaitingRequest"]

_MS_PER_S = 1000.0
_DEMAND_TIME_CONSTANT_MS = 2_000.0


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for a token until ``until_ms`` (monotonic time)."""

    done: Callable[[ports.Admission], None]
    until_ms: float


class OpenAsk(msgspec.Struct, kw_only=True):
    """The newest token request to a home that has no final reply yet.

    Attributes
    ----------
    number : int
        Number of the request.
    home : str
        Host that the request was sent to.
    sent_ms, until_ms : float
        Monotonic times at which the request was sent and at which it expires.
    need : float
        Tokens that waiting requests need.
    unanswered_since_ms : float
        Monotonic time of the first of the successive requests that the home has not replied to.
    answered : bool
        Whether the home has replied, if only that the request is queued.
    """

    number: int
    home: ids.HostId
    sent_ms: float
    until_ms: float
    need: float
    unanswered_since_ms: float
    answered: bool = False


class Account:
    """Tokens, waiting requests and demand of one workspace on an entry host.

    Attributes
    ----------
    workspace : str
        Workspace of the account.
    partition : int
        Index of the workspace's partition.
    last_request_ms : float
        Monotonic time of the last request; initially that of the creation.
    lots : TokenLots
        Tokens that homes have granted.
    waiting : deque
        Requests that wait for a token, the oldest first.
    open_ask : OpenAsk or None
        Token request that waits for a reply.
    next_ask_ms : float
        Monotonic time before which no further token request is sent.
    retry_after_ms : float
        Retry delay, in ms, of the home's last reply.
    home_unavailable : bool
        Whether the last token request found no home that could serve it.
    """

    def __init__(self, *, workspace: ids.WorkspaceId, partition: int, now_ms: float) -> None:
        self._demand = 0.0
        self.workspace = workspace
        self.partition = partition
        self.last_request_ms = now_ms
        self.lots = lots.TokenLots()
        self.waiting: collections.deque[WaitingRequest] = collections.deque()
        self.open_ask: OpenAsk | None = None
        self.next_ask_ms = 0.0
        self.retry_after_ms = 0.0
        self.home_unavailable = False

    def demand_per_s(self, *, now_ms: float) -> float:
        """Return the requests per second, exponentially averaged over about two seconds."""
        return self._demand * math.exp((self.last_request_ms - now_ms) / _DEMAND_TIME_CONSTANT_MS)

    def record_request(self, *, now_ms: float) -> None:
        """Add one request to the demand."""
        self._demand = self.demand_per_s(now_ms=now_ms) + _MS_PER_S / _DEMAND_TIME_CONSTANT_MS
        self.last_request_ms = now_ms

    def take_token(self, *, now_ms: float) -> bool:
        """Spend one token, and return whether there was one."""
        if self.lots.total(now_ms=now_ms) < 1.0 - lots.EPSILON:
            return False
        self.lots.take(now_ms=now_ms, count=1.0)
        return True
