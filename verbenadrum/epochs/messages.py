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
    """Request for a host's vouch.

    ``promised`` and ``base`` are the revisions of the poller's newest list and of the last list
    that it activated, 0 for none. ``sent_ms`` is the poller's monotonic time; the vouch repeats it
    together with ``incarnation``.
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
    """Reply to a poll: a promise to support the list of revision ``promised``.

    A host that is not recovering promises never to vouch for a lower revision again. ``history``
    has every revision known to it after the poll's base, up to ``promised``. The sender has a
    record of each list that was in force after revision ``floor``.
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
    """Request for the members of lists of which the sender has the revision only."""

    scope: str
    generation: int
    revisions: tuple[int, ...]


@base.register
class ListReply(base.Message, frozen=True, tag="el"):
    """Members of the requested lists; unknown ones are left out."""

    scope: str
    generation: int
    lists: tuple[HostList, ...]


@base.register
class StartCertificate(base.Message, frozen=True, tag="es"):
    """Proof that no member of a list has an epoch from before its restart.

    ``incarnations`` has the incarnation of each member, in the order of the members. A member that
    still runs in this incarnation has promised the list, and may adopt it as its first epoch.
    """

    scope: str
    generation: int
    first: HostList
    incarnations: tuple[int, ...]
