"""Messages between claimers, witnesses and winners of idempotency keys."""

import enum

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.messages import base

__all__ = [
    "ClaimAnswer",
    "ClaimAsk",
    "ClaimDrop",
    "Owner",
    "Verdict",
    "WinnerQuery",
    "WinnerReply",
    "WinnerState",
]


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """Who claims a key: one request in one run of one host."""

    host: ids.HostId
    incarnation: int
    request: ids.RequestId


class Verdict(enum.Enum):
    """Answer of one witness.

    ``ABSTAINS`` says that an earlier claim may have been made without this witness. ``NOT_NOW``
    says that it has no epoch, or one whose move changes the key's witnesses.
    """

    ACCEPTED = "a"
    TAKEN = "t"
    KEY_REUSED = "r"
    ABSTAINS = "y"
    NOT_NOW = "n"
    OTHER_WITNESSES = "w"
    FULL = "f"
    FROM_FUTURE = "u"
    EXPIRED = "e"


class WinnerState(enum.Enum):
    """What the owner of a claim says of it."""

    CLAIMING = "c"
    RUNNING = "r"
    ANSWERED = "a"
    ENDED = "e"
    GIVEN_UP = "g"


@base.register
class ClaimAsk(base.Message, frozen=True, tag="ca"):
    """Asks a witness to write an owner into a key's row."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    fingerprint: str
    attempt: int
    witnesses: tuple[ids.HostId, ...]


@base.register
class ClaimAnswer(base.Message, frozen=True, tag="cb"):
    """Answers a `ClaimAsk`.

    ``holder`` is the owner in the row of a key that is taken. ``witnesses`` are the key's
    witnesses by the epoch of ``generation`` and ``revision``, where they differ from the ask's.
    """

    owner: Owner
    attempt: int
    verdict: Verdict
    holder: Owner | None = None
    generation: int = 0
    revision: int = 0
    witnesses: tuple[ids.HostId, ...] = ()


@base.register
class ClaimDrop(base.Message, frozen=True, tag="cr"):
    """Takes an owner's claim back, up to an attempt; no byte was sent for it."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    attempt: int


@base.register
class WinnerQuery(base.Message, frozen=True, tag="cq"):
    """Asks the owner of a claim what became of it, for another request of the same key."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    request: ids.RequestId


@base.register
class WinnerReply(base.Message, frozen=True, tag="cw"):
    """Answers a `WinnerQuery`."""

    request: ids.RequestId
    owner: Owner
    state: WinnerState
    answer: ports.StoredAnswer | None = None
