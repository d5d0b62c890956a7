"""Messages that spread records and host lists between hosts.

Envelopes travel as the bytes that the platform gave, so that each version judges for itself.
"""

import msgspec

from verbenadrum.messages import base

__all__ = [
    "Digest",
    "HostChanges",
    "HostsPull",
    "LastAccepted",
    "ListedHost",
    "RecordChanges",
    "RecordPull",
    "Wanted",
]


class Wanted(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record whose newest revision is refused here, and the revision in force instead."""

    kind: str
    name: str
    accepted_revision: int


class ListedHost(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of a host list, without field names on the wire."""

    host: str
    address: str
    data_centre: str
    region: str
    state: str


@base.register
class RecordChanges(base.Message, tag="rc"):
    """Envelopes of the records that changed in ``(after, to]``.

    ``final`` states that the sender knew of nothing else beyond ``after``; otherwise more
    follows, to be pulled from the same sender with ``after`` set to this ``to``. The sender knows
    of every withdrawal after ``known_from``, and perhaps of none before. The envelopes come in
    ``packed``, see `pack`, where the receiver has said that it reads them so.
    """

    after: int
    to: int
    final: bool
    envelopes: tuple[bytes, ...]
    known_from: int = 0
    packed: bytes = b""


@base.register
class RecordPull(base.Message, tag="rp"):
    """Asks for the records that changed after a revision.

    ``reply_to`` is the asker's address while the host list does not name it yet. ``unpacks`` says
    that the asker reads `RecordChanges.packed`.
    """

    after: int
    reply_to: str = ""
    unpacks: bool = False


@base.register
class Digest(base.Message, tag="rd"):
    """How far the sender is, with its newest changes where they are small.

    Attributes
    ----------
    complete_to : int
        Every record published up to this revision is held by the sender.
    hosts_revision : int
        Revision of the sender's host list.
    tail_after : int
        ``tail`` holds every change in ``(tail_after, complete_to]``.
    tail : tuple of bytes
        The newest envelopes, so that a host that can only hear still learns them.
    wanted : tuple of Wanted
        Records whose last accepted envelope the sender may lack.
    """

    complete_to: int
    hosts_revision: int
    tail_after: int
    tail: tuple[bytes, ...] = ()
    wanted: tuple[Wanted, ...] = ()


@base.register
class LastAccepted(base.Message, tag="ra"):
    """Accepted envelopes of records whose newer revision the receiver has refused."""

    envelopes: tuple[bytes, ...]


@base.register
class HostChanges(base.Message, tag="hc"):
    """A host list as changes from the list of revision ``base``, or whole where that is 0."""

    base: int
    revision: int
    rows: tuple[ListedHost, ...]
    gone: tuple[str, ...] = ()


@base.register
class HostsPull(base.Message, tag="hp"):
    """Asks for the host list if it is newer than a revision.

    ``reply_to`` is the asker's address while the host list does not name it yet.
    """

    revision: int
    reply_to: str = ""
