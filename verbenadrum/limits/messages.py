"""Messages of the limiters: leases between hosts, tokens for requests, and usage reports.

Bit ``p`` of a ``wanted``, ``granted`` or ``partitions`` mask stands for partition ``p``.
"""

import enum
from typing import Annotated

import msgspec

from verbenadrum import ids
from verbenadrum.messages import base

__all__ = [
    "Ask",
    "AskFirst",
    "Grant",
    "GrantState",
    "Lend",
    "Poll",
    "Release",
    "Settle",
    "Settlement",
    "TokenAnswer",
    "TokenAsk",
    "UsageReport",
    "WorkspaceUsage",
]


# A negative number would have infinitely many bits set.
PartitionMask = Annotated[int, msgspec.Meta(ge=0)]


class GrantState(enum.IntEnum):
    """Outcome of a request for tokens.

    ``GRANTED`` with a count of 0 is a refusal. ``QUEUED`` is followed by a final reply.
    ``NOT_HOME`` and ``NO_SHARE`` mean that the host cannot serve: it is not the home of the
    workspace, or no share is lent to it.
    """

    GRANTED = 0
    QUEUED = 1
    NOT_HOME = 2
    NO_SHARE = 3


@base.register
class Poll(base.Message, frozen=True, tag="lp"):
    """Request of a home to a lender for the lender's share of the ``wanted`` partitions.

    ``round`` numbers the home's polls within one ``incarnation``.
    """

    round: int
    incarnation: int
    wanted: PartitionMask


@base.register
class Lend(base.Message, frozen=True, tag="ll"):
    """Reply to a poll: the lender's share of the whole fleet, for the ``granted`` partitions.

    The lease expires ``lifetime_ms`` after the poll was sent.
    """

    round: int
    share: float
    lifetime_ms: float
    granted: PartitionMask


@base.register
class Release(base.Message, frozen=True, tag="lr"):
    """Release of a home's leases, from every poll up to ``round``, before they expire."""

    round: int
    incarnation: int
    partitions: PartitionMask


@base.register
class Ask(base.Message, frozen=True, tag="la"):
    """Request to a home for tokens of one workspace.

    ``need`` is the number of tokens that requests wait for, ``extra`` the number to prefetch. The
    home queues the request for up to ``max_wait_ms``. ``borrower`` is the scope of the sender if
    that is another scope's home, and empty if it is an entry host.
    """

    number: int
    workspace: ids.WorkspaceId
    need: float
    extra: float
    max_wait_ms: float
    borrower: str = ""


@base.register
class Grant(base.Message, frozen=True, tag="lg"):
    """Reply to `Ask`: ``count`` tokens, which expire ``lifetime_ms`` after the ask was sent."""

    number: int
    state: GrantState
    count: float = 0.0
    lifetime_ms: float = 0.0
    retry_after_ms: float = 0.0


class Settlement(base.Message, frozen=True):
    """One finished grant, with the number of its tokens that were not spent."""

    number: int
    unspent: float


@base.register
class Settle(base.Message, frozen=True, tag="ls"):
    """Report of a holder to the granting home: it will spend no more tokens of these grants."""

    grants: tuple[Settlement, ...]


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Number of requests of a workspace that an entry host admitted since its last report."""

    workspace: str
    admitted: int


@base.register
class UsageReport(base.Message, frozen=True, tag="lU"):
    """Report of an entry host on admissions of workspaces of which the receiver is home.

    A report is ``forwarded`` by a host that was told of the admissions, or granted tokens for them,
    and takes the receiver for the home, or for a host that may act as the home as well.
    """

    usages: tuple[WorkspaceUsage, ...]
    forwarded: bool = False


@base.register
class AskFirst(base.Message, frozen=True, tag="lf"):
    """Instruction to request a token before each admission for some workspaces.

    ``acts_as_home`` tells for each workspace whether the sender takes itself for its home; it is
    empty if the sender does for all. Another host sends it if it is told of usage all the same.
    """

    workspaces: tuple[str, ...]
    acts_as_home: tuple[bool, ...] = ()


@base.register
class TokenAsk(base.Message, frozen=True, array_like=True, gc=False, tag="lk"):
    """Request for one token of a workspace; the sender assigns ``number``."""

    number: int
    workspace: str


@base.register
class TokenAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="lv"):
    """Reply to `TokenAsk`.

    A granted token may be used after ``wait_ms``. After a refusal, token requests fail until
    ``wait_ms`` has passed, and the caller should retry after ``retry_after_ms``. Without
    ``ask_first`` the host may admit the workspace's next requests locally and report them.
    """

    number: int
    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True
