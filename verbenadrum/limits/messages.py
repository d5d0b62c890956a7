"""Messages of the limiters: leases between hosts, tokens for requests, and reports of use.

Bit ``p`` of a ``wanted``, ``granted`` or ``partitions`` mask stands for partition ``p``.
"""

import enum

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
    """What an entry host admitted for a workspace since its last report."""

    workspace: str
    admitted: int


@base.register
class UsageReport(base.Message, frozen=True, tag="lU"):
    """An entry host's use of workspaces that the receiver is home of."""

    uses: tuple[Use, ...]


@base.register
class AskFirst(base.Message, frozen=True, tag="lf"):
    """A home tells a host to ask before it admits requests of some workspaces."""

    workspaces: tuple[str, ...]


@base.register
class TokenAsk(base.Message, frozen=True, array_like=True, gc=False, tag="lk"):
    """An entry host asks for one token of a workspace; ``number`` is the entry host's own."""

    number: int
    workspace: str


@base.register
class TokenAnswer(base.Message, frozen=True, array_like=True, gc=False, tag="lv"):
    """A home's verdict.

    A granted token may be used after ``wait_ms``. After a refusal another ask is of no use before
    ``wait_ms``, and the caller finds a token after ``retry_after_ms``. Without ``ask_first`` the
    host may admit the workspace's next requests and report them.
    """

    number: int
    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True
