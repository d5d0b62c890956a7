"""Messages between entry hosts that claim a key, its witnesses, and the owners of claims.

A witness is a host that holds a replica of the claims of a key.
"""

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
    "WinnerQuery",
    "WinnerReply",
    "WinnerState",
    "WitnessVerdict",
]


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """Owner of a claim: one request in one incarnation of one host."""

    host: ids.HostId
    incarnation: int
    request: ids.RequestId


class WitnessVerdict(enum.Enum):
    """Answer of one witness.

    ``ABSTAINS``: an earlier claim may have been made without this witness. ``NOT_NOW``: the host
    cannot decide now. It has no epoch, or is not in the home data centre, or accepts no claims yet,
    or a transition to other witnesses is under way, or the message is of an earlier attempt.
    ``OTHER_WITNESSES``: its epoch has other witnesses for the key. ``FULL``: the register has no
    room.
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
    """State of a claim as its owner reports it."""

    CLAIMING = "c"
    RUNNING = "r"
    ANSWERED = "a"
    ENDED = "e"
    GIVEN_UP = "g"


@base.register
class ClaimAsk(base.Message, frozen=True, tag="ca"):
    """Request to a witness to write an owner into a key's row."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    fingerprint: str
    attempt: int
    witnesses: tuple[ids.HostId, ...]


@base.register
class ClaimAnswer(base.Message, frozen=True, tag="cb"):
    """Reply to a `ClaimAsk`.

    ``holder`` is the owner of the claim that holds a taken key. ``witnesses`` are the key's
    witnesses in the epoch of ``generation`` and ``revision``, if they differ from the request's.
    """

    owner: Owner
    attempt: int
    verdict: WitnessVerdict
    holder: Owner | None = None
    generation: int = 0
    revision: int = 0
    witnesses: tuple[ids.HostId, ...] = ()


@base.register
class ClaimDrop(base.Message, frozen=True, tag="cr"):
    """Withdraws an owner's claim, up to ``attempt``; no byte was sent for it."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    attempt: int


@base.register
class WinnerQuery(base.Message, frozen=True, tag="cq"):
    """Query to the owner of a claim for its state, for another request with the same key."""

    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    owner: Owner
    request: ids.RequestId


@base.register
class WinnerReply(base.Message, frozen=True, tag="cw"):
    """Reply to a `WinnerQuery`; ``answer`` is set for `WinnerState.ANSWERED` only."""

    request: ids.RequestId
    owner: Owner
    state: WinnerState
    answer: ports.StoredAnswer | None = None
