"""Rows of the requests that are in flight on this host."""

import enum

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["AttemptRow", "RequestRow", "RequestStage"]


class RequestStage(enum.Enum):
    """How far a request has come."""

    ADMITTING = "admitting"
    CLAIMING = "claiming"
    PLACING = "placing"
    DISPATCHED = "dispatched"
    COMMITTED = "committed"
    ENDED = "ended"


class AttemptRow(msgspec.Struct, kw_only=True):
    """One attempt at a backend server that has not ended."""

    server: ids.ServerId
    number: int


class RequestRow(msgspec.Struct, kw_only=True):
    """One request in flight.

    Attributes
    ----------
    claim : ClaimRequest or None
        The claim that this request has won, if it needed one.
    service : ServiceId
        The service that was chosen for it.
    byte_sent : bool
        Whether any attempt may have sent a byte.
    may_have_run : bool
        Whether any server may have begun to work on it.
    run_count : int
        Attempts that have ended and may have run.
    attempts : dict
        Attempts that have not ended, by lease.
    attempt_count : int
        Attempts begun so far.
    excluded : list of ServerId
        Servers that failed this request.
    hedge_at_ms : float
        Monotonic time of the next hedge; infinite for none.
    placing : bool
        Whether an answer of the placer is awaited.
    """

    head: ports.RequestHead
    sink: ports.RequestSink
    route_name: str
    route: types.RouteSpec
    service: ids.ServiceId
    workspace: ids.WorkspaceId
    idempotent: bool
    fingerprint: str
    deadline_ms: float
    priority: int = 0
    target_ms: float = 0.0
    stage: RequestStage = RequestStage.ADMITTING
    claim: ports.ClaimRequest | None = None
    byte_sent: bool = False
    may_have_run: bool = False
    run_count: int = 0
    attempts: dict[ids.LeaseId, AttemptRow] = msgspec.field(default_factory=dict)
    attempt_count: int = 0
    excluded: list[ids.ServerId] = msgspec.field(default_factory=list)
    hedge_at_ms: float = float("inf")
    placing: bool = False
