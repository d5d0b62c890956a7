"""Keeps a home's grants within the limits that backend servers have named.

A limit counts for all hosts together, and several hosts may act as home of one pool part at the
same time. Each host of the part's region votes for one home at a time (`health.permits`), and a
home uses the fraction of a limit that its fraction of the votes gives it. These sum to 1 at most.
A server's tokens are the requests that the home may send it; they accrue at the usable rate up to
a cap. A new home starts with none.

In any window the homes together grant at most ``limit * window`` requests, plus the tokens that
they held at its start: ``1 + limit * share * 1 s`` for each of at most ``1 / _MIN_SHARE`` homes.
"""

import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.placement import signals
from verbenadrum.records import types

__all__ = ["ServerRates"]

_MS_PER_S = 1000.0
# A home with fewer votes sends limited servers nothing, which bounds the number of homes that do.
_MIN_SHARE = 0.2
# Tokens accrue up to one, plus those of this time.
_MAX_ACCRUAL_MS = 1_000.0
# A server with a smaller limit gets a request now and then all the same, since only its answers
# tell that the limit has ended.
_MIN_RATE_PER_S = 0.25
_EPSILON = 1e-9


class _Bucket(msgspec.Struct, kw_only=True):
    """Tokens of one server, as of the monotonic time ``updated_ms``."""

    tokens: float
    updated_ms: float


class ServerRates:
    """Tokens of the limited servers of one pool part, at one home.

    Parameters
    ----------
    now_ms : callable
        Returns the monotonic time in milliseconds.
    signals : ServerSignals
        Limits that the servers have named.
    share : callable
        Returns this home's fraction of the votes of the part's hosts, 0 to 1.
    """

    def __init__(
        self,
        *,
        now_ms: Callable[[], float],
        signals: signals.ServerSignals,
        share: Callable[[], float],
    ) -> None:
        self._now_ms = now_ms
        self._signals = signals
        self._share = share
        self._buckets: dict[ids.ServerId, _Bucket] = {}

    def rate_per_s(self, entry: types.ServerEntry) -> float:
        """Return how many requests a second this home may send a server; infinite for no limit."""
        limit_per_s = self._signals.limit_per_s(entry)
        if math.isinf(limit_per_s):
            return math.inf
        share = self._share()
        return max(_MIN_RATE_PER_S, limit_per_s) * share if share >= _MIN_SHARE else 0.0

    def may_send(self, entry: types.ServerEntry) -> bool:
        """Return whether a request may be sent to a server now."""
        if math.isinf(self._signals.limit_per_s(entry)):
            return True
        return self._refill(entry).tokens >= 1.0 - _EPSILON

    def spend(self, entry: types.ServerEntry) -> None:
        """Take a token for a request to a server, if the server is limited."""
        if math.isfinite(self._signals.limit_per_s(entry)):
            self._refill(entry).tokens -= 1.0

    def refund(self, server: ids.ServerId) -> None:
        """Give back the token of a grant that was returned before anything was sent."""
        bucket = self._buckets.get(server)
        if bucket is not None:
            bucket.tokens += 1.0

    def refill(self, entries: tuple[types.ServerEntry, ...]) -> None:
        """Accrue the tokens of all servers, and forget those that are not limited any more.

        It has to be called regularly: a home that has lost its votes loses its tokens as well.
        """
        if not self._signals.any_limited:
            return
        limited = [entry for entry in entries if math.isfinite(self._signals.limit_per_s(entry))]
        for entry in limited:
            self._refill(entry)
        names = {entry.server for entry in limited}
        self._buckets = {name: each for name, each in self._buckets.items() if name in names}

    def _refill(self, entry: types.ServerEntry) -> _Bucket:
        server = ids.ServerId(entry.server)
        now_ms = self._now_ms()
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = self._buckets[server] = _Bucket(tokens=0.0, updated_ms=now_ms)
        rate_per_s = self.rate_per_s(entry)
        accrued = rate_per_s * (now_ms - bucket.updated_ms) / _MS_PER_S
        cap = 1.0 + rate_per_s * _MAX_ACCRUAL_MS / _MS_PER_S if rate_per_s else 0.0
        bucket.tokens = min(cap, bucket.tokens + accrued)
        bucket.updated_ms = now_ms
        return bucket
