"""Messages between entry hosts and the homes of pool parts.

They are encoded as arrays, so the order of their fields must not change.
"""

import msgspec

from verbenadrum.messages import base

__all__ = [
    "HeldLease",
    "Holding",
    "HomeHello",
    "PlaceAnswer",
    "PlaceAsk",
    "PlaceState",
    "PoisonNotice",
    "Release",
    "ReserveAnswer",
    "ReserveAsk",
    "Waiting",
    "Withdraw",
]


class PlaceState:
    """States of a request for a slot, as a `PlaceAnswer` reports them.

    ``ELSEWHERE`` sends the entry host to the next region. With ``QUEUED_OR_ELSEWHERE`` the request
    keeps its place in the queue while a slot is requested in the next region as well.
    """

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    ELSEWHERE = 3
    QUEUED_OR_ELSEWHERE = 4


@base.register
class PlaceAsk(base.Message, frozen=True, array_like=True, gc=False, tag="pA"):
    """Request of an entry host to the home of a pool part for a slot.

    Attributes
    ----------
    number : int
        Number of the request, unique over all runs of the entry host.
    fingerprint : str
        Hash by which copies of the caller's request are recognized; empty for none.
    remaining_ms : float
        Time left until the deadline of the caller's request.
    is_last_region : bool
        Whether the entry host has no other region left to try.
    excluded : tuple of str
        Servers that have failed the request already.
    hedge : bool
        Whether an earlier attempt is still in flight.
    attempt : int
        0 for the first attempt, then 1 for each retry or hedge.
    priority : int
        Rank under load; 0 is the most urgent.
    remaining_target_ms : float
        Time left within the caller's target latency; 0 without a target.
    from_other_region : bool
        Whether the entry host is in another region than the part.
    already_charged : bool
        Whether another home has charged the attempt to the retry budget.
    retry_possible : bool
        Whether another attempt may follow if this one fails.
    retry_tokens : float
        Retry tokens that the entry host transfers to the home.
    """

    number: int
    service: str
    region: str
    workspace: str
    fingerprint: str
    remaining_ms: float
    idempotent: bool
    is_last_region: bool
    data_centre: str
    excluded: tuple[str, ...] = ()
    hedge: bool = False
    attempt: int = 0
    priority: int = 0
    remaining_target_ms: float = 0.0
    from_other_region: bool = False
    already_charged: bool = False
    retry_possible: bool = False
    retry_tokens: float = 0.0


@base.register
class Withdraw(base.Message, frozen=True, array_like=True, gc=False, tag="pJ"):
    """Cancels an entry host's request ``number`` while it waits for a slot."""

    service: str
    region: str
    number: int


@base.register
class PlaceAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="pB"):
    """Answer of a home to a `PlaceAsk`.

    ``state`` is a value of `PlaceState`, and ``number`` that of the request. ``server`` to
    ``hedge_after_ms`` are set for a grant; an idempotent request may be hedged after that delay,
    unless it is 0. ``retry_after_ms`` is set for a refusal. ``trusted`` says whether the request's
    fingerprint has succeeded lately. ``limit_per_s`` is the limit of the server's requests that the
    home has charged the grant to, infinite if the server has ended its limit, and ``limit_age_ms``
    the age of that knowledge; they are -1 if the home knows of none.
    """

    number: int
    state: int
    reason: str
    server: str = ""
    address: str = ""
    lease: str = ""
    hedge_after_ms: float = 0.0
    retry_after_ms: float = 0.0
    trusted: bool = False
    limit_per_s: float = -1.0
    limit_age_ms: float = -1.0


@base.register
class Release(base.Message, frozen=True, array_like=True, gc=False, tag="pC"):
    """Ends a lease and reports the outcome of its attempt.

    ``started_wall_ms`` is the published start time of the server's process, which tells whose word
    ``draining`` is; 0 if it is not known. ``limit_per_s`` is the limit that the answer named,
    infinite for none, and -1 if there was no answer. ``rest_ms`` is the time for which the server
    wants nothing more from the entry host.
    """

    service: str
    region: str
    lease: str
    kind: str
    latency_ms: float
    bytes_sent: bool
    draining: bool = False
    refuses_connections: bool = False
    started_wall_ms: float = 0.0
    limit_per_s: float = -1.0
    rest_ms: float = 0.0


@base.register
class Waiting(base.Message, frozen=True, array_like=True, gc=False, tag="pD"):
    """Heartbeat of an entry host that renews its leases.

    ``waited_ms`` holds, for each lease, how long the entry host has waited for the server's
    response, in milliseconds; 0 once the response has begun.
    """

    service: str
    region: str
    leases: tuple[str, ...]
    waited_ms: tuple[float, ...]


@base.register
class HomeHello(base.Message, frozen=True, array_like=True, gc=False, tag="pE"):
    """Announces a new home of a pool part, and requests the leases that the others hold there."""

    service: str
    region: str


class HeldLease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One lease in a `Holding`."""

    lease: str
    server: str
    workspace: str
    fingerprint: str
    waited_ms: float
    trusted: bool


@base.register
class Holding(base.Message, frozen=True, array_like=True, gc=False, tag="pF"):
    """Leases on the slots of a pool part that an entry host reports to its new home."""

    service: str
    region: str
    data_centre: str
    leases: tuple[HeldLease, ...]


@base.register
class PoisonNotice(base.Message, frozen=True, array_like=True, gc=False, tag="pG"):
    """Reports a server crash during a request, a lent crash allowance, or a success.

    ``use`` identifies the crash of ``server``, or the allowance that ``region`` lends to
    ``borrower``. An empty ``use`` reports that the fingerprint has succeeded.
    """

    fingerprint: str
    use: str
    region: str
    server: str
    borrower: str
    trusted: bool


@base.register
class ReserveAsk(base.Message, frozen=True, array_like=True, gc=False, tag="pH"):
    """Requests another region's crash allowance for a fingerprint.

    ``region`` is the lender, and ``borrower`` the region of the home that sends the request.
    """

    service: str
    region: str
    borrower: str
    fingerprint: str


@base.register
class ReserveAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="pI"):
    """Answer to a `ReserveAsk`; ``region`` is the borrower."""

    service: str
    region: str
    fingerprint: str
    granted: bool
    lender: str
