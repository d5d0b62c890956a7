"""Messages of the failure detector and of the host list that the hosts keep themselves."""

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
    """What a host heard of another one: that no probe reaches it, or that it is alive."""

    host: str
    alive: bool


@base.register
class Ping(base.Message, tag="mp"):
    """Asks for an `Ack`; ``incarnation`` tells two runs of the same host apart."""

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
    """States that the target of a `PingRequest` has answered."""

    number: int


@base.register
class Rumors(base.Message, tag="mu"):
    """Rumors that cannot wait for the next `Ping`."""

    rumors: tuple[Rumor, ...]


@base.register
class Leaving(base.Message, tag="ml"):
    """States that the sender shuts down and wants no new work."""

    incarnation: int


class RosterRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One host as the hosts list each other; ``gone`` marks one that was taken off the list."""

    host: str
    address: str
    data_centre: str
    region: str
    incarnation: int
    gone: bool = False


@base.register
class Join(base.Message, tag="mj"):
    """Announces the sender's row and asks for the list if it differs from ``digest``."""

    row: RosterRow
    digest: int = 0


@base.register
class RosterDigest(base.Message, tag="md"):
    """Hash of the sender's list."""

    digest: int


@base.register
class Roster(base.Message, tag="mo"):
    """Rows of the sender's list; ``reply`` asks for those that it lacks."""

    rows: tuple[RosterRow, ...]
    reply: bool = False
