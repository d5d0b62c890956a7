"""Messages of the limiters: leases between hosts, tokens for requests, and reports of use.

Bit ``p`` of a ``wanted``, ``granted`` or ``partitions`` mask stands for partition ``p``.
"""

import enum

import msgspec

from verbenadrum import ids
from verbenadrum.messages import base

__all__ = [
    "Ask",
    "Grant",
    "GrantState",
    "Lend",
    "Poll",
    "RatePart",
    "RateParts",
    "Release",
    "Settle",
    "Settlement",
    "UsageReport",
    "Use",
]


class GrantState(enum.IntEnum):
    """How a home answers a request for tokens."""

    GRANTED = 0
    QUEUED = 1
    NOT_HOME = 2
    NO_SHARE = 3


@base.register
class Poll(base.Message, frozen=True, tag="lp"):
    """A home asks a lender for its share of some partitions.

    ``round`` numbers the home's polls within one ``incarnation``.
    """

    round: int
    incarnation: int
    wanted: int


@base.register
class Lend(base.Message, frozen=True, tag="ll"):
    """A lender's answer: its share of the whole fleet, lent for ``life_ms`` from the poll."""

    round: int
    share: float
    life_ms: float
    granted: int


@base.register
class Release(base.Message, frozen=True, tag="lr"):
    """A home gives back the leases of every poll up to ``round`` before they expire."""

    round: int
    incarnation: int
    partitions: int


@base.register
class Ask(base.Message, frozen=True, tag="la"):
    """A host asks a home for tokens of one workspace.

    ``need`` tokens have requests waiting for them, ``extra`` are wanted ahead of demand. The
    home keeps the request queued for ``patience_ms``. ``borrower`` names the scope of the home
    that asks for another scope's tokens; an entry host leaves it empty.
    """

    number: int
    workspace: ids.WorkspaceId
    need: float
    extra: float
    patience_ms: float
    borrower: str = ""


@base.register
class Grant(base.Message, frozen=True, tag="lg"):
    """A home's answer: ``count`` tokens that last ``life_ms`` from the request's sending."""

    number: int
    state: GrantState
    count: float = 0.0
    life_ms: float = 0.0
    retry_after_ms: float = 0.0


class Settlement(base.Message, frozen=True):
    """One grant that is used up, with the tokens that were left of it."""

    number: int
    unspent: float


@base.register
class Settle(base.Message, frozen=True, tag="ls"):
    """The holder of grants has finished with them."""

    grants: tuple[Settlement, ...]


class Use(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What an entry host was asked for and admitted for a workspace since its last report."""

    workspace: str
    asked: int
    admitted: int
    throttled: bool = False


@base.register
class UsageReport(base.Message, frozen=True, tag="lu"):
    """An entry host's use of the workspaces that the receiver is home of."""

    elapsed_ms: float
    uses: tuple[Use, ...]


class RatePart(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry host's part of a workspace's rate; below zero to end a throttle."""

    workspace: str
    rate_per_s: float


@base.register
class RateParts(base.Message, frozen=True, tag="lt"):
    """A home tells an entry host how much it may admit."""

    parts: tuple[RatePart, ...]
