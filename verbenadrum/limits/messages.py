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
    "Grant",
    "GrantState",
    "Lend",
    "Poll",
    "Release",
    "ReleasedShare",
    "Settle",
    "Settlement",
    "ShareAnswer",
    "ShareAsk",
    "ShareRelease",
    "ShareRow",
    "ShareWanted",
    "ShareWish",
    "TokenAnswer",
    "TokenAsk",
    "UsageAck",
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
    """Numbered report of an entry host on what it admitted without asking, to the home."""

    number: int
    usages: tuple[WorkspaceUsage, ...]


@base.register
class UsageAck(base.Message, frozen=True, array_like=True, gc=False, tag="lu"):
    """Reply to `UsageReport`: the workspaces whose buckets had tokens for what was admitted.

    ``ask_first`` lists the workspaces of which each admission needs a token for a while.
    """

    number: int
    covered: tuple[str, ...]
    ask_first: tuple[str, ...] = ()


class ShareWish(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A workspace whose share a home asks for.

    The home may have ``held`` the receiver's share until now. It is ``urgent`` if requests wait.
    """

    workspace: str
    held: bool = False
    urgent: bool = False


@base.register
class ShareAsk(base.Message, frozen=True, array_like=True, tag="lH"):
    """Request of one run of a home to a lender; ``asked_ms`` is by the home's clock."""

    asked_ms: float
    incarnation: int
    wishes: tuple[ShareWish, ...]


class ShareRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A lender's answer for one workspace.

    Attributes
    ----------
    share : float
        Part of rate and burst that is lent; 0 if it is lent to another home.
    tokens : float
        Tokens in the share's bucket, beyond those that the home has from an earlier loan.
    continued : bool
        Whether the last loan went to the same run of the home.
    extra : float
        Tokens of the tolerance, handed out although the share is lent to another home.
    holder : str
        Home that the share is lent to, or empty.
    """

    workspace: str
    share: float
    tokens: float = 0.0
    continued: bool = False
    extra: float = 0.0
    holder: str = ""


@base.register
class ShareAnswer(base.Message, frozen=True, array_like=True, tag="lh"):
    """Reply to `ShareAsk`. A loan ends one lease after ``asked_ms``, which is repeated."""

    asked_ms: float
    rows: tuple[ShareRow, ...]


@base.register
class ShareWanted(base.Message, frozen=True, array_like=True, gc=False, tag="lw"):
    """Notice of a lender to a share's holder that another home asks for it."""

    workspace: str
    home: str


class ReleasedShare(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A share that is given back, with the tokens that are left in its bucket."""

    workspace: str
    tokens: float


@base.register
class ShareRelease(base.Message, frozen=True, array_like=True, tag="lX"):
    """Release of shares by one run of a home before their loans end.

    It concerns the loans that were asked for before ``released_ms``, by the home's clock; one that
    was asked for later may arrive earlier.
    """

    released_ms: float
    incarnation: int
    rows: tuple[ReleasedShare, ...]


@base.register
class TokenAsk(base.Message, frozen=True, array_like=True, gc=False, tag="lk"):
    """Request for one token of a workspace; the sender assigns ``number``.

    ``silent`` names a host that was asked before and did not answer in time.
    """

    number: int
    workspace: str
    silent: str = ""


@base.register
class TokenAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="lv"):
    """Reply to `TokenAsk`.

    A granted token may be used after ``wait_ms``. After a refusal, token requests fail until
    ``wait_ms`` has passed, and the caller should retry after ``retry_after_ms``. Without
    ``ask_first`` the host may admit the workspace's next requests locally and report them. A host
    that holds no share of the workspace names the ``home`` that does, or an empty string if it
    knows none; ``home`` is None in all other replies.
    """

    number: int
    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True
    home: str | None = None
