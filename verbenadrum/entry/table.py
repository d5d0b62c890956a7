"""State of the requests that are in flight on this host."""

import enum

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["AttemptRow", "RequestRow", "RequestStage"]


class RequestStage(enum.Enum):
    """Stage of a request in the pipeline.

    ``DISPATCHED`` lasts from the first attempt until one attempt's answer is committed, also
    while a retry or hedge is being placed. ``COMMITTED`` means that an answer is being passed to
    the caller; ``ENDED`` rows are no longer in the pipeline's table.
    """

    ADMITTING = "admitting"
    CLAIMING = "claiming"
    PLACING = "placing"
    DISPATCHED = "dispatched"
    COMMITTED = "committed"
    ENDED = "ended"


class AttemptRow(msgspec.Struct, kw_only=True):
    """One attempt that is in flight at a backend server.

    ``number`` is the attempt's number from `PlacementRequest.attempt`, for the decision log.
    """

    server: ids.ServerId
    number: int


class RequestRow(msgspec.Struct, kw_only=True):
    """One request in flight.

    Attributes
    ----------
    service : ServiceId
        The service chosen among those of the route.
    workspace : WorkspaceId
        The workspace of the caller's API key; empty for a request without a valid key.
    idempotent : bool
        Whether the route declares the request's method idempotent.
    fingerprint : str
        Hash of workspace, method, host, path, query and body length.
    deadline_ms : float
        Monotonic time by which an answer must have begun.
    may_outlive_host : bool
        Whether the deadline was capped by the shutdown of this host.
    priority : int
        Rank under load; 0 is the most urgent.
    target_ms : float
        Monotonic time of the route's latency target; 0 for none.
    stage : RequestStage
        Current stage.
    claim : ClaimRequest or None
        The claim that this request has won and not yet released or finished.
    byte_sent : bool
        Whether any ended attempt may have sent a byte.
    may_have_run : bool
        Whether any server may have begun to process the request, as far as attempts have ended.
    run_count : int
        Number of ended attempts that may have run.
    attempts : dict
        Attempts in flight, by lease.
    attempt_count : int
        Number of attempts dispatched so far.
    excluded : list of ServerId
        Servers at which this request failed.
    hedge_at_ms : float
        Monotonic time at which to start a hedge; infinite for none.
    placing : bool
        Whether a call of `Placer.place` is pending.
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
    may_outlive_host: bool = False
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
