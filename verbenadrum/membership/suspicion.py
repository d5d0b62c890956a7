"""Hosts that the failure detector suspects, and the reasons."""

import enum

import msgspec

from verbenadrum import ids

__all__ = ["SuspicionReason", "SuspicionRow"]


class SuspicionReason(enum.Enum):
    """Why this host considers another one unreachable.

    ``PATH_FAULT``: other hosts reach it, this one does not. ``NO_ANSWER``: no direct or indirect
    probe was answered. ``REPORTED_BY_PEER``: a peer reported it, and this host has not probed it.
    """

    PATH_FAULT = "path-fault"
    NO_ANSWER = "no-answer"
    REPORTED_BY_PEER = "told-by-peer"


class SuspicionRow(msgspec.Struct, kw_only=True):
    """One suspected host.

    The rows are written out as JSON under ``suspected_hosts`` of ``/status``, where the names of
    the two times are ``probe_at_ms`` and ``until_ms``.

    Attributes
    ----------
    next_probe_ms : float
        When the host is probed again. A suspicion reported by a peer is not probed; it expires.
    expires_ms : float
        When the suspicion ends without an answer; infinite for this host's own suspicions.
    """

    host: ids.HostId
    reason: SuspicionReason
    next_probe_ms: float = msgspec.field(name="probe_at_ms")
    expires_ms: float = msgspec.field(name="until_ms", default=float("inf"))
