"""Interfaces between the systems of the core, and between the core and its shell.

Each system depends on these protocols only, so that tests can replace the others with fakes. The
shell is the program around the core that performs the I/O.

Operations that may involve another host take a ``done`` callback. It is called exactly once:
before the operation returns if the result is known, otherwise later, and at the latest soon after
the deadline.

Times named ``..._wall_ms`` are in milliseconds since the Unix epoch; other points in time are
monotonic milliseconds of this host, with an arbitrary origin.
"""

import enum
import typing
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.records import types

__all__ = [
    "Admission",
    "ClaimRequest",
    "ClaimResult",
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
    "ServerSignal",
    "StoredAnswer",
]


class RecordsPort(typing.Protocol):
    """The records in force on this host."""

    @property
    def revision(self) -> int:
        """Greatest revision seen; 0 before the first record."""

    @property
    def configured(self) -> bool:
        """Whether any route or configuration record is known."""

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration record in force, or None without one."""

    def route(self, host: str, path: str) -> tuple[str, types.RouteSpec] | None:
        """Return name and spec of the matching route with the longest path prefix, or None.

        Routes of the request's host name take precedence over routes without a host name.
        """

    def workspace(self, workspace: ids.WorkspaceId) -> types.WorkspaceSpec | None:
        """Return a workspace's limits, or None if it is unknown."""

    def workspaces(self) -> dict[ids.WorkspaceId, types.WorkspaceSpec]:
        """Return every workspace; the caller must not change the mapping."""

    def key_workspace(self, sha256: str) -> ids.WorkspaceId | None:
        """Return the workspace of an API key, given its SHA-256, or None if it is not in force."""

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
        Its location.
    state : HostState
        Whether it may be assigned new work.
    """

    host: ids.HostId
    address: str
    data_centre: ids.DataCentreId
    region: ids.RegionId
    state: HostState = HostState.LIVE


class MembershipPort(typing.Protocol):
    """The view that this host has of the others: the newest host list, with marks on its hosts.

    The failure detector marks hosts as suspected or leaving; a mark may be wrong. Views lag behind
    the platform and differ between hosts.
    """

    @property
    def revision(self) -> int:
        """Revision of the host list in force here; 0 before the first list."""

    @property
    def change_count(self) -> int:
        """Counter that increases whenever the list or a mark changes."""

    @property
    def seeking(self) -> bool:
        """Whether this host looks for its first peer, and cannot know how many hosts there are."""

    def hosts(
        self, *, region: ids.RegionId | None = None, data_centre: ids.DataCentreId | None = None
    ) -> tuple[HostRow, ...]:
        """Return the listed hosts, ordered by identifier, including those that are leaving."""

    def row(self, host: ids.HostId) -> HostRow | None:
        """Return a host's row, or None if it is not listed."""

    def accepts_work(self, host: ids.HostId) -> bool:
        """Return whether a host is listed as live and has not announced its shutdown."""

    def reachable(self, host: ids.HostId) -> bool:
        """Return False if the failure detector suspects the host; it may be wrong either way."""

    def ranked_hosts(
        self, key: str, hosts: tuple[HostRow, ...], count: int
    ) -> tuple[ids.HostId, ...]:
        """Return up to ``count`` live hosts of ``hosts`` in rendezvous order for ``key``.

        Hosts that are suspected to be unreachable come last.
        """


class EarlierList(msgspec.Struct, frozen=True, kw_only=True):
    """A host list that may have been in force until ``until_wall_ms``."""

    revision: int
    members: tuple[ids.HostId, ...]
    until_wall_ms: float


class Epoch(msgspec.Struct, frozen=True, kw_only=True):
    """A host list that a majority of the hosts of a data centre has confirmed to be in force.

    Hosts confirm a list by vouches, which expire.

    Attributes
    ----------
    scope : EpochScope
        The data centre's identifier.
    generation : int
        Number in the fleet record; raising it restarts the sequence of epochs after all hosts of
        the data centre were lost.
    revision : int
        Revision of the host list that ``members`` come from.
    members : tuple of HostId
        The hosts of the epoch, sorted.
    next_members : tuple of HostId
        Members of the newest list that this host has promised to move to; equal to ``members``
        if no move is in progress.
    share : float
        Fraction of the data centre's limits that this host may use now, 0 to 1. The sum over all
        hosts of the data centre never exceeds 1.
    since_wall_ms : float
        Wall time since which this host has used this epoch's list.
    valid_until_ms : float
        Monotonic time of this host at which epoch and share expire.
    intermediate : tuple of tuple of HostId
        Members of each list between ``members`` and ``next_members``; any of them may be in force
        on other hosts.
    earlier : tuple of EarlierList
        Every list that may have been in force since ``known_since_wall_ms``, oldest first.
    known_since_wall_ms : float
        Wall time since which ``earlier`` has no gaps.
    alone_until_ms : float
        Monotonic time until which no list except ``members`` can be in force on any host, even if
        this host has promised to move.
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
    def stable(self) -> bool:
        """Whether no move to a later list is in progress."""
        return self.members == self.next_members and not self.intermediate


class EpochPort(typing.Protocol):
    """Provides the agreed host list of this host's data centre, for limits and claims.

    At any instant, all valid and stable epochs of one scope and generation have the same members,
    and the valid shares sum to at most 1, under any loss, delay or reordering of messages. This
    holds as long as the rates of the hosts' clocks differ by at most 2 %.
    """

    def active(self) -> Epoch | None:
        """Return the valid epoch of this host's data centre, or None without a majority."""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request is admitted under its workspace's rate and burst.

    ``reason`` is a stable code. ``retry_after_ms`` applies only if ``granted`` is False; 0 for
    unknown.
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
        """Admit or reject one request; ``done`` gets the result by ``deadline_ms``."""


class ClaimState(enum.Enum):
    """Result of claiming an idempotency key.

    ``WON`` allows the request to run. ``IN_PROGRESS`` means that another request of the key is
    running, ``ANSWERED`` that the answer of one is stored, and ``UNKNOWN`` that one may have run
    but its result is not available. ``NOT_RUN`` means that the claim failed and this request has
    not run.
    """

    WON = "won"
    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An idempotency key to be claimed for one request.

    ``fingerprint`` is a hash of workspace, method, host, path, query and body length. A claim of
    the same key with another fingerprint is refused as a caller's error.
    """

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    request: ids.RequestId
    fingerprint: str
    deadline_ms: float


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer, stored to be replayed to later requests with the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Number of bytes of the headers and the body."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class ClaimResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a claim; ``answer`` is set only for `ClaimState.ANSWERED`, ``reason`` is a code."""

    state: ClaimState
    reason: str
    answer: StoredAnswer | None = None


class ClaimPort(typing.Protocol):
    """Write-once claims of idempotency keys: only the winner of a key may run."""

    def claim(self, request: ClaimRequest, done: Callable[[ClaimResult], None]) -> None:
        """Claim a key. Only `ClaimState.WON` allows a byte to go to a backend server."""

    def release(self, request: ClaimRequest) -> None:
        """Release a won claim; allowed only if certainly no backend server ran the request."""

    def finish(self, request: ClaimRequest, answer: StoredAnswer | None) -> None:
        """Record the end of a request that won its claim.

        ``answer`` is its complete answer, or None if that is unknown or too large to store.
        """


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs a backend server.

    Attributes
    ----------
    request : RequestId
        The caller's request.
    attempt : int
        Number of the attempt: 0 for the first, increased by 1 for each retry or hedge.
    workspace : WorkspaceId
        Workspace whose fair share the request uses; empty if the request has no valid key.
    service : ServiceId
        Service whose pool of servers to choose from.
    idempotent : bool
        Whether the route declares the method idempotent, so that the request may run more than
        once.
    fingerprint : str
        Hash of workspace, method, host, path, query and body, by which resends of a request that
        crashes servers are recognised; empty for none.
    deadline_ms : float
        Monotonic time by which the answer must have begun.
    excluded : tuple of ServerId
        Servers at which the request failed.
    hedge : bool
        Whether an earlier attempt is still in flight.
    priority : int
        Rank under load; 0 is the most urgent.
    target_ms : float
        Monotonic time of the route's latency target; 0 if it has none.
    retry_possible : bool
        Whether another attempt may follow if this one fails.
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
    retry_possible: bool = False


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """A lease of a slot on one backend server, or a refusal if ``server`` is None.

    A slot is the right to one request in flight. ``until_ms`` is the monotonic time at which the
    lease expires. ``hedge_after_ms`` is the delay after which an idempotent request may be hedged,
    or 0 for no hedge. ``retry_after_ms`` applies to refusals; 0 for unknown.
    """

    server: ids.ServerId | None
    reason: str
    lease: ids.LeaseId = ids.LeaseId("")
    address: str = ""
    until_ms: float = 0.0
    hedge_after_ms: float = 0.0
    retry_after_ms: float = 0.0


class OutcomeKind(enum.Enum):
    """How one attempt at a backend server ended, as seen by the host that sent it.

    Attributes
    ----------
    OK
        A complete answer.
    SERVER_ERROR
        A status of 500 or more.
    SHED
        A failure for which the server states that nothing ran.
    CONNECT_FAILED
        No connection to the server.
    RESET
        The connection broke before the head of the answer.
    TIMEOUT
        No complete answer in time.
    TRUNCATED
        The answer ended early, or has neither a length nor chunked encoding, so that a cut could
        not be detected.
    CROSSED
        The answer has the identifier of another request, or none although one is required.
    MISDIRECTED
        The server refused the request because it is not the server that was addressed.
    CANCELLED
        This host ended the attempt.
    """

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
        How it ended.
    latency_ms : float
        Time from the first byte sent to the head of the answer, or to the failure.
    bytes_sent : bool
        Whether any byte of the request may have been sent to the server.
    status : int
        HTTP status, or 0 if there was none.
    draining : bool
        Whether the answer declares that the server is draining and wants no new requests.
    limit_per_s : float or None
        Requests per second that the server declares to take from all hosts together; infinite if
        its answer names no limit, None if there was no answer or it is unclear.
    rest_ms : float
        Time for which the server, which refused the request, wants nothing more from this host.
    refuses_connections : bool
        Whether the server refused a new connection, or closed it at once, right after this one
        broke. It then counts as crashed.
    """

    kind: OutcomeKind
    latency_ms: float
    bytes_sent: bool
    status: int = 0
    draining: bool = False
    refuses_connections: bool = False
    limit_per_s: float | None = None
    rest_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun to process the request."""
        return self.bytes_sent and self.kind not in _NOT_RUN


_NOT_RUN = (OutcomeKind.SHED, OutcomeKind.MISDIRECTED)


class ProbeOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the shell to request ``path`` of a backend server once and report the outcome."""

    lease: ids.LeaseId
    service: ids.ServiceId
    server: ids.ServerId
    address: str
    path: str
    timeout_ms: float


class ServerSignal(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server has said about itself that holds back requests from it.

    Attributes
    ----------
    server : ServerId
        The server.
    signal : str
        ``leaving``, ``limit`` or ``rest``.
    for_ms : float
        Time in milliseconds since the server said so first.
    heard_from : str
        Host to which an answer said so; this host itself, or one that told it.
    limit_per_s : float
        Requests per second that the server takes from all hosts together; 0 for other signals.
    left_ms : float
        Time in milliseconds until the signal ends; 0 if that is not known.
    """

    server: ids.ServerId
    signal: str
    for_ms: float
    heard_from: str
    limit_per_s: float = 0.0
    left_ms: float = 0.0


class Placer(typing.Protocol):
    """Chooses backend servers, using the outcomes of earlier attempts and probes."""

    def place(self, request: PlacementRequest, done: Callable[[Placement], None]) -> None:
        """Lease a slot on a server; ``done`` gets the placement by the request's deadline."""

    def complete(self, lease: ids.LeaseId, outcome: Outcome) -> None:
        """Release a lease and record the attempt's outcome; a second call is ignored."""

    def may_retry(self, request: PlacementRequest, *, hedge: bool = False) -> bool:
        """Take one retry or hedge from the service's retry budget; return False if it is spent."""

    def response_started(
        self, lease: ids.LeaseId, *, draining: bool = False, limit_per_s: float | None = None
    ) -> None:
        """Record that the head of an attempt's answer has arrived.

        ``draining`` and ``limit_per_s`` are what it tells, as in `Outcome`.
        """

    def pop_due_probes(self) -> list[ProbeOrder]:
        """Remove and return the health probes that are due."""

    def record_probe(self, order: ProbeOrder, outcome: Outcome) -> None:
        """Record the outcome of a health probe."""

    def server_signals(self) -> tuple[ServerSignal, ...]:
        """Return the signals of servers that are in force on this host."""


class NotRun(enum.Enum):
    """Whether it is certain that no backend server ran a refused request.

    ``TRUE`` means that it did not run, ``FALSE`` that it ran, ``UNKNOWN`` that it may have run.
    """

    TRUE = "true"
    FALSE = "false"
    UNKNOWN = "unknown"


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a caller's request head that the pipeline uses.

    Attributes
    ----------
    request : RequestId
        Identifier of the request within the fleet.
    method, host : str
        HTTP method, and host name in lower case without a port.
    path : str
        Decoded path.
    api_key : str
        API key of the caller, empty for none; never logged or forwarded.
    query : str
        Query as sent by the caller, without the API key.
    idempotency_key : IdempotencyKey
        Empty for none.
    deadline_ms : float
        Monotonic time; infinite if the caller states none.
    body_length : int
        Length in bytes; -1 for a streamed body of unknown length.
    body_buffered : bool
        Whether the shell holds the complete body, so that it can be sent again.
    body_digest : str
        Hash of the body if it is held completely; otherwise empty.
    caller_request : str
        The caller's own identifier of the request, for the log; empty for none.
    lacks_request_id : bool
        Whether backend servers expect the caller's own identifier, and the request has none.
    """

    request: ids.RequestId
    method: str
    host: str
    path: str
    api_key: str
    query: str = ""
    idempotency_key: ids.IdempotencyKey = ids.IdempotencyKey("")
    deadline_ms: float = float("inf")
    body_length: int = 0
    body_buffered: bool = True
    body_digest: str = ""
    caller_request: str = ""
    lacks_request_id: bool = False


class DispatchOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the shell to send the request to a backend server now.

    The shell sends it once and then calls ``Engine.complete_attempt`` with ``lease``.

    Attributes
    ----------
    route : str
        Name of the route, for metrics.
    pass_errors : bool
        Whether to pass a server's own error (status 500 or more) to the caller, because the
        request will not be sent again.
    echo_required : bool
        Whether an answer without the request's identifier is rejected. An answer with another
        identifier always is.
    idempotent : bool
        Whether the request is idempotent, so that it may run more than once.
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
    idempotent: bool = False


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Error answer of the fleet itself, without an answer of a backend server.

    Attributes
    ----------
    request : RequestId
        The refused request.
    status : int
        HTTP status.
    code : str
        Stable code of the cause.
    detail : str
        Description for people.
    not_run : NotRun
        Whether it is certain that no backend server ran the request.
    retry_after_ms : float
        Delay after which the caller may retry; 0 for none stated.
    """

    request: ids.RequestId
    status: int
    code: str
    detail: str
    not_run: NotRun
    retry_after_ms: float = 0.0


class RequestSink(typing.Protocol):
    """Receives the orders and the result of one request from the core; the shell implements it."""

    def dispatch(self, order: DispatchOrder) -> None:
        """Send the request to a backend server."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""

    def replay(self, answer: StoredAnswer) -> None:
        """Answer with the stored answer of the request's idempotency key."""

    def cancel(self, lease: ids.LeaseId) -> None:
        """Cancel an attempt: another one was committed, the deadline passed, or the caller left."""
