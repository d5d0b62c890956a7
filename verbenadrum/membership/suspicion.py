"""Rows of the hosts that are suspected here, and why."""

import enum

import msgspec

from verbenadrum import ids

__all__ = ["SuspicionReason", "SuspicionRow"]


class SuspicionReason(enum.Enum):
    """Why a host is believed unreachable from here."""

    PATH = "path-fault"
    NO_ANSWER = "no-answer"
    TOLD = "told-by-peer"


class SuspicionRow(msgspec.Struct, kw_only=True):
    """One suspected host.

    Attributes
    ----------
    probe_at_ms : float
        When it is probed again; a suspicion by hearsay is not, but ends at ``until_ms``.
    until_ms : float
        When the suspicion ends by itself.
    """

    host: ids.HostId
    reason: SuspicionReason
    probe_at_ms: float
    until_ms: float = float("inf")
