"""Messages by which hosts back a pool home's ejections."""

from verbenadrum.messages import base

__all__ = ["VouchAsk", "VouchReply"]


@base.register
class VouchAsk(base.Message, frozen=True, array_like=True, gc=False, tag="hV"):
    """A pool home asks a host to back its ejections and no other home's for a while."""

    service: str
    region: str
    asked_ms: float


@base.register
class VouchReply(base.Message, frozen=True, array_like=True, gc=False, tag="hW"):
    """Consent; ``asked_ms`` is the asker's clock reading and ``hosts`` the listed hosts."""

    service: str
    region: str
    asked_ms: float
    hosts: int
