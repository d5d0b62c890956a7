"""Messages between entry hosts and pool homes."""

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
    """Kinds of `PlaceAnswer`.

    With ``QUEUED_OR_ELSEWHERE`` the ask keeps its place in the queue while another region is asked.
    """

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    ELSEWHERE = 3
    QUEUED_OR_ELSEWHERE = 4


@base.register
class PlaceAsk(base.Message, frozen=True, array_like=True, gc=False, tag="pA"):
    """An entry host asks a pool home for a slot; ``number`` is the entry host's own.

    ``last`` says that there is no other region to try, ``attempt`` is 0 for a request's first
    attempt, and ``priority`` its rank under load, 0 being the most urgent. The caller wants its
    answer within ``target_ms``, where that is not 0. ``far`` asks come from another region. An
    ask is ``counted`` where another home has charged it to the retry budget, and ``repeatable``
    where another attempt may follow if this one fails. ``tokens`` are repeats that the entry
    host owned and hands over.
    """

    number: int
    service: str
    region: str
    workspace: str
    fingerprint: str
    remaining_ms: float
    idempotent: bool
    last: bool
    data_centre: str
    excluded: tuple[str, ...] = ()
    hedge: bool = False
    attempt: int = 0
    priority: int = 0
    target_ms: float = 0.0
    far: bool = False
    counted: bool = False
    repeatable: bool = False
    tokens: float = 0.0


@base.register
class Withdraw(base.Message, frozen=True, array_like=True, gc=False, tag="pJ"):
    """An entry host no longer wants what it asked for as ``number``."""

    service: str
    region: str
    number: int


@base.register
class PlaceAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="pB"):
    """The home's answer to a `PlaceAsk`; ``state`` is one of `PlaceState`."""

    number: int
    state: int
    reason: str
    server: str = ""
    address: str = ""
    lease: str = ""
    hedge_after_ms: float = 0.0
    retry_after_ms: float = 0.0
    trusted: bool = False


@base.register
class Release(base.Message, frozen=True, array_like=True, gc=False, tag="pC"):
    """A lease has ended, with the outcome of its attempt."""

    service: str
    region: str
    lease: str
    kind: str
    latency_ms: float
    bytes_sent: bool
    draining: bool = False
    server_gone: bool = False


@base.register
class Waiting(base.Message, frozen=True, array_like=True, gc=False, tag="pD"):
    """Leases that an entry host still holds, and how long each waits for its answer.

    A wait of zero means that the answer has begun.
    """

    service: str
    region: str
    leases: tuple[str, ...]
    waited_ms: tuple[float, ...]


@base.register
class HomeHello(base.Message, frozen=True, array_like=True, gc=False, tag="pE"):
    """A host has become home of a pool part and asks what the others hold."""

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
    """The leases that an entry host holds of a pool part, for its new home."""

    service: str
    region: str
    data_centre: str
    leases: tuple[HeldLease, ...]


@base.register
class PoisonNotice(base.Message, frozen=True, array_like=True, gc=False, tag="pG"):
    """What is known of a request that was under way when a server's connection broke.

    ``unit`` names the death of ``server``, or the allowance that ``region`` lent to
    ``borrower``. An empty ``unit`` clears the fingerprint.
    """

    fingerprint: str
    unit: str
    region: str
    server: str
    borrower: str
    trusted: bool


@base.register
class ReserveAsk(base.Message, frozen=True, array_like=True, gc=False, tag="pH"):
    """A home asks another region's home to lend its allowance for a suspected request."""

    service: str
    region: str
    own_region: str
    fingerprint: str


@base.register
class ReserveAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="pI"):
    """The answer to a `ReserveAsk`."""

    service: str
    region: str
    fingerprint: str
    granted: bool
    lender: str
