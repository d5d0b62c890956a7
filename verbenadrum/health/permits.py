"""Permits to eject: backed by the hosts of a region, so that two homes never exceed the floor.

Each host backs one home of a pool at a time. A home that is backed by ``v`` of ``n`` hosts may
hold the greatest whole number of ejections below ``(allowance + 1) * v / n`` (the Droop quota):
whatever the number of homes, the sum stays within the allowance.
"""

import math

from verbenadrum import ids

__all__ = ["PermitHolder", "Voucher", "quota"]

_VOUCH_MS = 3_000.0
# The home stops relying on a consent this much before the host forgets it.
_CLOCK_MARGIN = 0.95
_RENEW_MS = 800.0


def quota(*, allowance: int, backing: int, hosts: int) -> int:
    """Return how many ejections a home may hold.

    Examples
    --------
    >>> quota(allowance=5, backing=20, hosts=20)
    5
    >>> quota(allowance=1, backing=10, hosts=20), quota(allowance=1, backing=11, hosts=20)
    (0, 1)
    """
    if allowance <= 0 or backing <= 0 or hosts <= 0:
        return 0
    share = (allowance + 1) * min(backing, hosts)
    return min(allowance, math.ceil(share / hosts) - 1)


class Voucher:
    """A host's consents: at most one home for each pool part at a time.

    A process that has just started may have consented in its previous life, so it consents to
    nobody until such a consent would have ended.
    """

    def __init__(self, *, started_ms: float) -> None:
        self._silent_until_ms = started_ms + _VOUCH_MS
        self._given: dict[tuple[str, str], tuple[ids.HostId, float]] = {}

    def consent(self, *, part: tuple[str, str], home: ids.HostId, now_ms: float) -> bool:
        """Back a home from now on, unless another one is still backed."""
        if now_ms < self._silent_until_ms:
            return False
        backed, until_ms = self._given.get(part, (home, 0.0))
        if backed != home and now_ms < until_ms:
            return False
        self._given[part] = (home, now_ms + _VOUCH_MS)
        return True


class PermitHolder:
    """A home's count of the hosts that back it for one pool part."""

    def __init__(self) -> None:
        self._until_ms: dict[ids.HostId, float] = {}
        self._hosts = 0
        self._asked_ms = -math.inf

    def due(self, now_ms: float) -> bool:
        """Return whether consents should be asked for again, and note that they are."""
        if now_ms - self._asked_ms < _RENEW_MS:
            return False
        self._asked_ms = now_ms
        return True

    def backed(self, *, host: ids.HostId, asked_ms: float, hosts: int, now_ms: float) -> None:
        """Count a consent from the time at which it was asked for."""
        self._drop_ended(now_ms)
        if not self._until_ms:
            self._hosts = 0
        self._until_ms[host] = asked_ms + _VOUCH_MS * _CLOCK_MARGIN
        self._hosts = max(self._hosts, hosts)

    def allowed(self, *, allowance: int, hosts: int, now_ms: float) -> int:
        """Return how many ejections may be held now; ``hosts`` is this host's own count."""
        self._drop_ended(now_ms)
        return quota(
            allowance=allowance, backing=len(self._until_ms), hosts=max(hosts, self._hosts)
        )

    def _drop_ended(self, now_ms: float) -> None:
        ended = [host for host, until_ms in self._until_ms.items() if until_ms <= now_ms]
        for host in ended:
            del self._until_ms[host]
