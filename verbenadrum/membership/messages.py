"""Messages of the failure detector and of the seeded host list."""

import msgspec

from verbenadrum.messages import base

__all__ = [
    "Ack",
    "IndirectAck",
    "Join",
    "Leaving",
    "Ping",
    "PingRequest",
    "Roster",
    "RosterDigest",
    "RosterRow",
    "Rumor",
    "Rumors",
]


class Rumor(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Report about a host: it is alive, or (``alive`` false) probes of it got no answer."""

    host: str
    alive: bool


@base.register
class Ping(base.Message, tag="mp"):
    """Asks for an `Ack`; ``incarnation`` distinguishes restarts of the sending host."""

    number: int
    incarnation: int
    leaving: bool = False
    rumors: tuple[Rumor, ...] = ()


@base.register
class Ack(base.Message, tag="mk"):
    """Answers a `Ping` with its number."""

    number: int
    incarnation: int
    leaving: bool = False
    rumors: tuple[Rumor, ...] = ()


@base.register
class PingRequest(base.Message, tag="mr"):
    """Asks the receiver to probe a host that does not answer the sender."""

    number: int
    target: str


@base.register
class IndirectAck(base.Message, tag="mi"):
    """Reports that the target of a `PingRequest` has answered."""

    number: int


@base.register
class Rumors(base.Message, tag="mu"):
    """Rumors that are sent at once, not attached to a `Ping` or `Ack`."""

    rumors: tuple[Rumor, ...]


@base.register
class Leaving(base.Message, tag="ml"):
    """Announces that the sender is shutting down and accepts no new work."""

    incarnation: int


class RosterRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One host in the seeded host list; ``removed`` marks a host removed from the list."""

    host: str
    address: str
    data_centre: str
    region: str
    incarnation: int
    removed: bool = False


@base.register
class Join(base.Message, tag="mj"):
    """Announces the sender's row and asks for the list if it differs from ``digest``."""

    row: RosterRow
    digest: int = 0


@base.register
class RosterDigest(base.Message, tag="md"):
    """Hash of the sender's list; a receiver whose list differs answers with a `Roster`."""

    digest: int


@base.register
class Roster(base.Message, tag="mo"):
    """Rows of the sender's list; ``reply_wanted`` asks for rows that are newer at the receiver."""

    rows: tuple[RosterRow, ...]
    reply_wanted: bool = False
