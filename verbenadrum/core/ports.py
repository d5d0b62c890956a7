"""Interfaces between the systems of the core, and between the core and its shell.

Each system is written against these, so that it can be tested with small fakes of the others.
Operations that may need another host take a ``done`` callable: it is called exactly once, at
once where the answer is known and later otherwise, always before or soon after the deadline.
"""

import enum
import typing
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.records import types

__all__ = [
    "Admission",
    "Claim",
    "ClaimRequest",
    "ClaimState",
    "ClaimPort",
    "DispatchOrder",
    "EarlierList",
    "Epoch",
    "EpochPort",
    "HostRow",
    "HostState",
    "Limiter",
    "MembershipPort",
    "NotRun",
    "Outcome",
    "OutcomeKind",
    "Placement",
    "PlacementRequest",
    "Placer",
    "ProbeOrder",
    "RecordsPort",
    "Refusal",
    "RequestHead",
    "RequestSink",
    "StoredAnswer",
]


class RecordsPort(typing.Protocol):
    """The records in force on this host."""

    @property
    def revision(self) -> int:
        """Greatest revision seen; 0 before the first record."""

    @property
    def configured(self) -> bool:
        """Whether anything is known of what callers may ask for."""

    def route(self, host: str, path: str) -> tuple[str, types.RouteSpec] | None:
        """Return name and spec of the longest matching route; a host name match goes first."""

    def workspace(self, workspace: ids.WorkspaceId) -> types.WorkspaceSpec | None:
        """Return a workspace's limits, or None if it is unknown."""

    def workspaces(self) -> dict[ids.WorkspaceId, types.WorkspaceSpec]:
        """Return every workspace; the caller must not change the mapping."""

    def key_workspace(self, sha256: str) -> ids.WorkspaceId | None:
        """Return the workspace that a key's hash opens, or None if the key is not in force."""

    def pool(self, service: ids.ServiceId) -> types.PoolSpec | None:
        """Return a service's pool, or None if it is unknown."""

    def pools(self) -> dict[ids.ServiceId, types.PoolSpec]:
        """Return every pool; the caller must not change the mapping."""

    def fleet(self) -> types.FleetSpec | None:
        """Return the fleet record, or None before it is known."""


class HostState(enum.Enum):
    """State of a host as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the platform's list.

    Attributes
    ----------
    host : HostId
        Its identifier, unique among running hosts.
    address : str
        ``ip:port`` of its peer port.
    data_centre, region : str
        Where it stands.
    state : HostState
        Whether it may get new work.
    """

    host: ids.HostId
    address: str
    data_centre: ids.DataCentreId
    region: ids.RegionId
    state: HostState = HostState.LIVE


class MembershipPort(typing.Protocol):
    """What a host believes about the other hosts; views differ between hosts and lag."""

    @property
    def revision(self) -> int:
        """Revision of the host list in force here; 0 before the first list."""

    @property
    def changes(self) -> int:
        """Number that grows whenever the list or a hint changes."""

    def hosts(
        self, *, region: ids.RegionId | None = None, data_centre: ids.DataCentreId | None = None
    ) -> tuple[HostRow, ...]:
        """Return the listed hosts, leaving ones included, ordered by identifier."""

    def row(self, host: ids.HostId) -> HostRow | None:
        """Return a host's row, or None if it is not listed."""

    def takes_work(self, host: ids.HostId) -> bool:
        """Return whether a host is listed and has not said that it shuts down."""

    def reachable(self, host: ids.HostId) -> bool:
        """Return whether the host is believed reachable from here; a hint, never a proof."""

    def homes(self, key: str, hosts: tuple[HostRow, ...], count: int) -> tuple[ids.HostId, ...]:
        """Return up to ``count`` live hosts in rendezvous order, unreachable ones last."""


class EarlierList(msgspec.Struct, frozen=True, kw_only=True):
    """A host list that may have been in force until ``until_wall_ms``."""

    revision: int
    members: tuple[ids.HostId, ...]
    until_wall_ms: float


class Epoch(msgspec.Struct, frozen=True, kw_only=True):
    """A host list that is in force in one data centre under majority vouching.

    Attributes
    ----------
    scope : EpochScope
        The data centre's identifier.
    generation : int
        Published number that restarts the chain after a whole data centre was lost.
    revision : int
        Host list revision that the members come from.
    members : tuple of HostId
        The hosts of the epoch, sorted.
    next_members : tuple of HostId
        Members of the newest later list that this host has promised to move to; the same as
        ``members`` where none is under way.
    share : float
        Fraction of the data centre's capacity that this host owns now, 0 to 1. Summed over all
        hosts of the data centre it never exceeds 1.
    since_wall_ms : float
        Wall time from which this host holds the epoch.
    valid_until_ms : float
        Monotonic time of this host until which epoch and share last.
    intermediate : tuple of tuple of HostId
        Members of each list between ``members`` and ``next_members`` that may be in force
        elsewhere.
    earlier : tuple of EarlierList
        Every list that may have been in force since ``known_since_wall_ms``, oldest first.
    known_since_wall_ms : float
        Wall time since which this host knows without a gap which lists were in force.
    alone_until_ms : float
        Monotonic time until which no list but ``members`` can be in force anywhere, though this
        host may have promised to move.
    """

    scope: ids.EpochScope
    generation: int
    revision: int
    members: tuple[ids.HostId, ...]
    next_members: tuple[ids.HostId, ...]
    share: float
    since_wall_ms: float
    valid_until_ms: float
    intermediate: tuple[tuple[ids.HostId, ...], ...] = ()
    earlier: tuple[EarlierList, ...] = ()
    known_since_wall_ms: float = float("inf")
    alone_until_ms: float = float("-inf")

    @property
    def settled(self) -> bool:
        """Whether no move to a later list is under way."""
        return self.members == self.next_members and not self.intermediate


class EpochPort(typing.Protocol):
    """Gives the one host list of this host's data centre that hard rules may rest on.

    In every schedule, settled and valid epochs of one scope and generation have the same
    members at any instant, and the valid shares sum to at most 1, as far as the clocks of hosts
    run at the same rate.
    """

    def active(self) -> Epoch | None:
        """Return the valid epoch of this host's own data centre, or None if unproven."""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request is within its workspace's rate and burst.

    ``retry_after_ms`` is meaningful for a refusal only.
    """

    granted: bool
    reason: str
    retry_after_ms: float = 0.0


class Limiter(typing.Protocol):
    """Admits requests against the rate and burst of their workspace."""

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[Admission], None],
    ) -> None:
        """Decide on one request; ``done`` gets the verdict by ``deadline_ms`` (monotonic)."""


class ClaimState(enum.Enum):
    """Result of claiming an idempotency key."""

    WON = "won"
    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An idempotency key to be claimed for one request.

    ``fingerprint`` is a hash of method, path and body length: the same key with another
    fingerprint is a caller's mistake.
    """

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    request: ids.RequestId
    fingerprint: str
    deadline_ms: float


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer kept for resends: status, headers and body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a claim; ``answer`` is set for `ClaimState.ANSWERED` alone."""

    state: ClaimState
    reason: str
    answer: StoredAnswer | None = None


class ClaimPort(typing.Protocol):
    """Write-once claims of idempotency keys: one winner, and nobody else ever runs the key."""

    def claim(self, request: ClaimRequest, done: Callable[[Claim], None]) -> None:
        """Claim a key. Only `ClaimState.WON` allows a byte to go to a backend server."""

    def release(self, request: ClaimRequest) -> None:
        """Give a won claim back; allowed only where certainly no byte was sent."""

    def finish(self, request: ClaimRequest, answer: StoredAnswer | None) -> None:
        """Record the end of a won run, with its whole answer if it is known and small."""


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs a backend server.

    Attributes
    ----------
    request : RequestId
        The caller's request.
    attempt : int
        0 for the first attempt, then 1 for each retry or hedge.
    workspace : WorkspaceId
        Whose share it uses; empty for public routes.
    service : ServiceId
        Pool to choose from.
    idempotent : bool
        Whether a retry or hedge is allowed.
    fingerprint : str
        Hash of workspace, method, host, path and body, to recognise a request that crashes
        servers; empty for none.
    deadline_ms : float
        Monotonic time by which the answer must have begun.
    excluded : tuple of ServerId
        Servers that failed this request already.
    hedge : bool
        Whether an earlier attempt is still under way.
    priority : int
        Rank under load; 0 is the most urgent.
    target_ms : float
        Monotonic time until which an answer has its full worth; 0 where none is stated.
    repeatable : bool
        Whether another attempt may follow where this one fails.
    """

    request: ids.RequestId
    attempt: int
    workspace: ids.WorkspaceId
    service: ids.ServiceId
    idempotent: bool
    fingerprint: str
    deadline_ms: float
    excluded: tuple[ids.ServerId, ...] = ()
    hedge: bool = False
    priority: int = 0
    target_ms: float = 0.0
    repeatable: bool = False


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """A slot lease on one backend server, or a refusal where ``server`` is None.

    ``hedge_after_ms`` is the delay after which an idempotent request may be hedged, or 0.
    """

    server: ids.ServerId | None
    reason: str
    lease: ids.LeaseId = ids.LeaseId("")
    address: str = ""
    until_ms: float = 0.0
    hedge_after_ms: float = 0.0
    retry_after_ms: float = 0.0


class OutcomeKind(enum.Enum):
    """How one attempt at a backend server ended, seen by the entry host."""

    OK = "ok"
    SERVER_ERROR = "server-error"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    CROSSED = "crossed"
    MISDIRECTED = "misdirected"
    CANCELLED = "cancelled"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one attempt.

    Attributes
    ----------
    kind : OutcomeKind
        How it ended. `OutcomeKind.SHED` is a failure whose server states that nothing ran, and
        `OutcomeKind.MISDIRECTED` a refusal of a server that is not the one meant.
    latency_ms : float
        From the first byte sent to the head of the answer, or to the failure.
    bytes_sent : bool
        Whether a byte may have left for the server.
    status : int
        HTTP status, or 0.
    draining : bool
        Whether the server said that it wants no new work.
    server_gone : bool
        Whether the server took no new connection right after this one broke: it has crashed.
    """

    kind: OutcomeKind
    latency_ms: float
    bytes_sent: bool
    status: int = 0
    draining: bool = False
    server_gone: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun to work on the request."""
        return self.bytes_sent and self.kind not in _NOT_RUN


_NOT_RUN = (OutcomeKind.SHED, OutcomeKind.MISDIRECTED)


class ProbeOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the shell to ask a backend server for ``path`` once, and to report the outcome."""

    lease: ids.LeaseId
    service: ids.ServiceId
    server: ids.ServerId
    address: str
    path: str
    timeout_ms: float


class Placer(typing.Protocol):
    """Chooses backend servers and learns from the outcomes."""

    def place(self, request: PlacementRequest, done: Callable[[Placement], None]) -> None:
        """Choose a server; ``done`` gets the placement by the request's deadline."""

    def complete(self, lease: ids.LeaseId, outcome: Outcome) -> None:
        """Release a lease with the attempt's outcome; a second call is ignored."""

    def may_retry(self, request: PlacementRequest, *, hedge: bool = False) -> bool:
        """Draw one retry or hedge of the service's budget; False if it is spent."""

    def answered(self, lease: ids.LeaseId) -> None:
        """Note that the head of an attempt's answer has come."""

    def take_probes(self) -> list[ProbeOrder]:
        """Return the probes to send now; each is returned once."""

    def probed(self, order: ProbeOrder, outcome: Outcome) -> None:
        """Report how a probe ended."""


class NotRun(enum.Enum):
    """Whether a refused request may have run at a backend server."""

    TRUE = "true"
    FALSE = "false"
    UNKNOWN = "unknown"


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry pipeline needs to know of a caller's request.

    ``key`` is the secret that came with it; it is never logged nor forwarded. ``deadline_ms``
    is monotonic, infinite where the caller names none. ``body_length`` is -1 where the caller
    streams without a length. ``replayable`` says whether the shell holds the whole body, and
    ``body_digest`` is a hash of it where it does. ``path`` is decoded; ``query`` is as the caller
    sent it, without the key. ``caller_request`` is the caller's own identifier, for the log.
    """

    request: ids.RequestId
    method: str
    host: str
    path: str
    key: str
    query: str = ""
    idempotency_key: ids.IdempotencyKey = ids.IdempotencyKey("")
    deadline_ms: float = float("inf")
    body_length: int = 0
    replayable: bool = True
    body_digest: str = ""
    caller_request: str = ""


class DispatchOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the shell to send the request to a backend server now.

    The shell sends it once, and then calls ``Engine.outcome`` with ``lease``.

    Attributes
    ----------
    route : str
        Name of the route, for metrics.
    pass_errors : bool
        Whether a server's own error goes to the caller, since the request is never sent again.
    echo_required : bool
        Whether an answer must repeat the request's identifier to count as this request's.
    repeatable : bool
        Whether the request may run more than once.
    """

    request: ids.RequestId
    attempt: int
    lease: ids.LeaseId
    server: ids.ServerId
    address: str
    workspace: ids.WorkspaceId
    deadline_ms: float
    route: str = ""
    pass_errors: bool = False
    echo_required: bool = True
    repeatable: bool = False


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the fleet itself in place of a backend server's."""

    request: ids.RequestId
    status: int
    code: str
    detail: str
    not_run: NotRun
    retry_after_ms: float = 0.0


class RequestSink(typing.Protocol):
    """Receives what the core decides about one request."""

    def dispatch(self, order: DispatchOrder) -> None:
        """Send the request to a backend server."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""

    def replay(self, answer: StoredAnswer) -> None:
        """Answer with the stored answer of the same idempotency key."""

    def cancel(self, lease: ids.LeaseId) -> None:
        """Abandon an attempt: another attempt of the request has answered, or time is up."""
