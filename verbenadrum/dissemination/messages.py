"""Messages of the gossip of records and host lists.

Envelopes are sent as the bytes received from the platform, so that each host validates them by
the rules of its own software version.
"""

import msgspec

from verbenadrum.messages import base

__all__ = [
    "CarriedPart",
    "CarriedPull",
    "Digest",
    "HostChanges",
    "HostsPull",
    "LastAccepted",
    "ListedHost",
    "PartPull",
    "ReadRequest",
    "RecordChanges",
    "RecordPart",
    "RecordPull",
    "Wanted",
]


class Wanted(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record whose newest revision the sender rejected, and the revision that it uses."""

    kind: str
    name: str
    accepted_revision: int


class ListedHost(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of a host list, encoded as an array without field names."""

    host: str
    address: str
    data_centre: str
    region: str
    state: str


@base.register
class RecordChanges(base.Message, tag="rc"):
    """Envelopes of the records that changed in ``(after, to]``.

    ``final`` means that the sender has no further changes after ``to``; otherwise the next chunk
    is pulled from the same sender with ``after`` set to this ``to``. The sender knows every
    withdrawal after revision ``known_from``, but may lack earlier ones. If the receiver accepts
    it, the envelopes are in ``packed``, see `pack`, instead of ``envelopes``. Records that were
    withdrawn up to revision ``missing_to`` may be among those that the sender holds; 0 if none are.
    """

    after: int
    to: int
    final: bool
    envelopes: tuple[bytes, ...]
    known_from: int = 0
    packed: bytes = b""
    missing_to: int = 0


@base.register
class RecordPull(base.Message, tag="rp"):
    """Asks for the records that changed after a revision.

    ``reply_to`` is the sender's address while the host list does not contain it yet.
    ``accepts_packed`` means that the sender can read `RecordChanges.packed`, and ``accepts_parts``
    that it can also read `RecordPart`.
    """

    after: int
    reply_to: str = ""
    accepts_packed: bool = False
    accepts_parts: bool = False


@base.register
class RecordPart(base.Message, tag="rt"):
    """Part ``index`` of ``count`` of packed `RecordChanges` that are too large for one message.

    ``after``, ``to``, ``final``, ``known_from`` and ``missing_to`` are those of the whole.
    """

    after: int
    to: int
    final: bool
    known_from: int
    index: int
    count: int
    data: bytes
    missing_to: int = 0


@base.register
class PartPull(base.Message, tag="rq"):
    """Asks for a further part of the `RecordChanges` in ``(after, to]``.

    A receiver that holds newer changes by now sends their first part. ``reply_to`` is as in
    `RecordPull`.
    """

    after: int
    to: int
    index: int
    reply_to: str = ""


@base.register
class CarriedPull(base.Message, tag="rx"):
    """Asks for the records that the receiver carries over from an older generation.

    ``checksum`` and ``index`` are those of the next `CarriedPart`. If the receiver's records have
    another checksum by now, it sends their first part. ``reply_to`` is as in `RecordPull`.
    """

    checksum: int
    index: int = 0
    reply_to: str = ""


@base.register
class CarriedPart(base.Message, tag="ry"):
    """Part ``index`` of ``count`` of the packed records that the sender carries over."""

    checksum: int
    index: int
    count: int
    data: bytes


@base.register
class Digest(base.Message, tag="rd"):
    """Revisions that the sender holds, with its newest changes if they are small.

    Attributes
    ----------
    complete_revision : int
        The sender holds every record published up to this revision.
    hosts_revision : int
        Revision of the sender's host list.
    tail_after : int
        ``tail`` holds every change in ``(tail_after, complete_revision]``.
    tail : tuple of bytes
        The newest envelopes, so that a host which can receive but not send gets them too.
    wanted : tuple of Wanted
        Records whose newest revision the sender rejected and whose accepted one it may lack.
    confirmed_age_ms : float
        How long ago the platform last confirmed ``complete_revision`` as its newest revision, to
        the sender or to a host that told it; -1 if that is not known.
    carried : int
        Checksum of the records that the sender carries over from an older generation of the
        platform's store; 0 for none.
    """

    complete_revision: int
    hosts_revision: int
    tail_after: int
    tail: tuple[bytes, ...] = ()
    wanted: tuple[Wanted, ...] = ()
    confirmed_age_ms: float = -1.0
    carried: int = 0


@base.register
class ReadRequest(base.Message, tag="rr"):
    """Asks the receiver to read the platform for a while, since the sender's calls fail.

    The receiver sends its digest as soon as its own call has succeeded.
    """


@base.register
class LastAccepted(base.Message, tag="ra"):
    """Accepted envelopes of records whose newer revision the receiver has rejected."""

    envelopes: tuple[bytes, ...]


@base.register
class HostChanges(base.Message, tag="hc"):
    """A host list as changes from the list of revision ``base``, or in full if that is 0."""

    base: int
    revision: int
    rows: tuple[ListedHost, ...]
    removed: tuple[str, ...] = ()


@base.register
class HostsPull(base.Message, tag="hp"):
    """Asks for the host list if it is newer than a revision.

    ``reply_to`` is the sender's address while the host list does not contain it yet.
    """

    revision: int
    reply_to: str = ""
