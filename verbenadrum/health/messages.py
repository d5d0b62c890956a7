"""Messages by which a pool home obtains ejection permits from other hosts."""

from verbenadrum.messages import base

__all__ = ["VouchAsk", "VouchReply"]


@base.register
class VouchAsk(base.Message, frozen=True, array_like=True, gc=False, tag="hV"):
    """Request of a pool home for a host's vote for its ejections.

    A host votes for one home of a pool at a time. ``asked_ms`` is the home's monotonic time.
    """

    service: str
    region: str
    asked_ms: float


@base.register
class VouchReply(base.Message, frozen=True, array_like=True, gc=False, tag="hW"):
    """Granted vote.

    ``asked_ms`` is copied from the request, and ``hosts`` is the number of listed hosts of the
    region.
    """

    service: str
    region: str
    asked_ms: float
    hosts: int
