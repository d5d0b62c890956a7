"""Ejection permits, granted by votes so that several homes together never go below the floor.

While hosts disagree on the host list, a pool part (the servers of one service in one region) may
have more than one home. Each host of the region votes for one of them at a time. A home with ``v``
of ``n`` votes may hold the greatest whole number of ejections below
``(max_ejections + 1) * v / n`` (the Droop quota). Whatever the number of homes, the sum of these is
at most ``max_ejections``, the number that the floor allows.
"""

import math

from verbenadrum import ids
from verbenadrum.utils import asked_times

__all__ = ["PermitHolder", "Voucher", "quota"]

_VOTE_TERM_MS = 3_000.0
# Fraction of a vote's term that the home relies on, since the clocks of two hosts may drift.
_USABLE_TERM_FRACTION = 0.95
_REQUEST_INTERVAL_MS = 800.0


def quota(*, max_ejections: int, votes: int, hosts: int) -> int:
    """Return how many ejections a home may hold.

    Parameters
    ----------
    max_ejections : int
        Ejections that the floor allows to all homes together.
    votes : int
        Hosts that vote for the home.
    hosts : int
        Hosts that may vote.

    Examples
    --------
    >>> quota(max_ejections=5, votes=20, hosts=20)
    5
    >>> quota(max_ejections=1, votes=10, hosts=20), quota(max_ejections=1, votes=11, hosts=20)
    (0, 1)
    """
    if max_ejections <= 0 or votes <= 0 or hosts <= 0:
        return 0
    share = (max_ejections + 1) * min(votes, hosts)
    return min(max_ejections, math.ceil(share / hosts) - 1)


class Voucher:
    """Votes that this host has granted: to at most one home of each pool part at a time.

    Votes are not stored. A host that has just started may have voted before its restart, so it
    grants none until such a vote would have expired.

    Parameters
    ----------
    started_ms : float
        Monotonic time of the start.
    """

    def __init__(self, *, started_ms: float) -> None:
        self._abstain_until_ms = started_ms + _VOTE_TERM_MS
        self._votes: dict[tuple[str, str], tuple[ids.HostId, float]] = {}

    def consent(self, *, part: tuple[str, str], home: ids.HostId, now_ms: float) -> bool:
        """Grant or renew the vote for a home; return False while another home holds it."""
        if now_ms < self._abstain_until_ms:
            return False
        voted_home, until_ms = self._votes.get(part, (home, 0.0))
        if voted_home != home and now_ms < until_ms:
            return False
        self._votes[part] = (home, now_ms + _VOTE_TERM_MS)
        return True


class PermitHolder:
    """Votes that a home has received for one pool part."""

    def __init__(self) -> None:
        self._until_ms: dict[ids.HostId, float] = {}
        self._hosts = 0
        self._asked_ms = -math.inf
        self._asked = asked_times.AskedTimes(term_ms=_VOTE_TERM_MS)

    def start_request_if_due(self, now_ms: float) -> bool:
        """Return whether to request votes now; a True starts the wait for the next request."""
        if now_ms - self._asked_ms < _REQUEST_INTERVAL_MS:
            return False
        self._asked_ms = now_ms
        self.record_request(now_ms)
        return True

    def record_request(self, now_ms: float) -> None:
        """Record that votes are requested now, so that the answers count."""
        self._asked.add(now_ms)

    def backed(self, *, host: ids.HostId, asked_ms: float, hosts: int, now_ms: float) -> None:
        """Count a vote, unless it answers an earlier run of this host.

        Parameters
        ----------
        host : HostId
            The host that granted it.
        asked_ms : float
            Monotonic time of the request, from which the vote's term is counted.
        hosts : int
            Hosts of the region as ``host`` has them listed.
        now_ms : float
            Monotonic time.
        """
        self._drop_expired(now_ms)
        if asked_ms not in self._asked:
            return
        if not self._until_ms:
            self._hosts = 0
        self._until_ms[host] = asked_ms + _VOTE_TERM_MS * _USABLE_TERM_FRACTION
        self._hosts = max(self._hosts, hosts)

    def permitted_ejections(self, *, max_ejections: int, hosts: int, now_ms: float) -> int:
        """Return how many ejections the home may hold now.

        ``hosts`` is the number of hosts that this host has listed; the greatest number reported
        with a current vote counts if it is greater.
        """
        self._drop_expired(now_ms)
        return quota(
            max_ejections=max_ejections, votes=len(self._until_ms), hosts=max(hosts, self._hosts)
        )

    def share(self, *, hosts: int, now_ms: float) -> float:
        """Return the home's fraction of the votes, 0 to 1, out of all hosts that may vote.

        The fractions of all homes of a part sum to 1 at most, as each host votes for one of them.
        """
        self._drop_expired(now_ms)
        return len(self._until_ms) / max(1, hosts, self._hosts, len(self._until_ms))

    def _drop_expired(self, now_ms: float) -> None:
        expired = [host for host, until_ms in self._until_ms.items() if until_ms <= now_ms]
        for host in expired:
            del self._until_ms[host]
