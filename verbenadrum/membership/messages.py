"""Messages of the failure detector."""

import msgspec

from verbenadrum.messages import base

__all__ = ["Ack", "IndirectAck", "Leaving", "Ping", "PingRequest", "Rumor", "Rumors"]


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
