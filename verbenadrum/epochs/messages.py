"""Messages by which the hosts of a data centre agree on its epoch."""

import msgspec

from verbenadrum import ids
from verbenadrum.messages import base

__all__ = ["HostList", "ListQuery", "ListReply", "Poll", "StartCertificate", "Vouch"]


class HostList(msgspec.Struct, frozen=True, array_like=True):
    """Sorted members of one data centre at one revision of the platform's list."""

    revision: int
    members: tuple[ids.HostId, ...]


@base.register
class Poll(base.Message, frozen=True, tag="ep"):
    """Asks a host for its vouch.

    ``sent_ms`` is the poller's monotonic clock, which the vouch echoes with ``incarnation``;
    ``base`` is the last list that it activated, or 0.
    """

    scope: str
    generation: int
    promised: int
    base: int
    incarnation: int
    sent_ms: float
    recovering: bool


@base.register
class Vouch(base.Message, frozen=True, tag="ev"):
    """Answers a poll.

    A host that is not recovering undertakes never to vouch for less than ``promised`` again.
    ``history`` has every revision after the poll's base, up to ``promised``, that it knows; it
    knows each list that was in force after the revision ``floor``.
    """

    scope: str
    generation: int
    promised: int
    base: int
    floor: int
    history: tuple[int, ...]
    recovering: bool
    incarnation: int
    poll_incarnation: int
    poll_sent_ms: float


@base.register
class ListQuery(base.Message, frozen=True, tag="eq"):
    """Asks for the members of lists that the sender has heard of but does not know."""

    scope: str
    generation: int
    revisions: tuple[int, ...]


@base.register
class ListReply(base.Message, frozen=True, tag="el"):
    """Members of the lists asked for, as far as they are known."""

    scope: str
    generation: int
    lists: tuple[HostList, ...]


@base.register
class StartCertificate(base.Message, frozen=True, tag="es"):
    """States that every member of a list has answered that it remembers no epoch.

    ``incarnations`` stand in the order of the members. A member that still runs in the
    incarnation named here has promised this list and may take it as its first epoch.
    """

    scope: str
    generation: int
    first: HostList
    incarnations: tuple[int, ...]
