"""Shares that other hosts have lent to this home for one partition, and the buckets on them."""

import bisect

import msgspec

from verbenadrum import ids
from verbenadrum.limits import home_bucket, idle

__all__ = ["Lease", "PartitionLeases"]


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """One lender's share of the whole fleet, and the round of the poll that it answers."""

    share: float
    until_ms: float
    round: int


class PartitionLeases:
    """Leases of one partition, the share they sum to, and the buckets that fill at it.

    Each change of the share, an expiry included, first accrues every bucket under the old share
    and then cuts it to the new one; a call after a pause replays the expiries in their order.

    Parameters
    ----------
    now_ms : float
        Monotonic time at which this host became home.
    first_round : int
        Leases of earlier rounds were released and are never taken again.
    """

    def __init__(self, *, now_ms: float, first_round: int) -> None:
        self._leases: dict[ids.HostId, Lease] = {}
        self._share = 0.0
        self._settled_ms = now_ms
        self._next_expiry_ms = float("inf")
        self._idle = idle.IdleCredit()
        self._tail: tuple[list[float], list[float]] | None = None
        self.first_round = first_round
        self.draining = False
        self.buckets: dict[ids.WorkspaceId, home_bucket.HomeBucket] = {}

    @property
    def share(self) -> float:
        """Fraction of the whole fleet lent to this home, as of the last `settle`."""
        return self._share

    def drained(self, *, now_ms: float) -> bool:
        """Return whether no other host holds any of this home's tokens."""
        self.settle(now_ms=now_ms)
        for bucket in self.buckets.values():
            bucket.advance(now_ms=now_ms, share=self._share)
            bucket.borrowed.purge(now_ms=now_ms)
        return all(bucket.idle for bucket in self.buckets.values())

    def lend(self, *, now_ms: float, lender: ids.HostId, lease: Lease) -> None:
        """Take or renew a lease; one of an earlier round than the last is ignored."""
        self.settle(now_ms=now_ms)
        current = self._leases.get(lender)
        if lease.until_ms <= now_ms or lease.round < self.first_round:
            return
        if current is not None and current.round >= lease.round:
            return
        changed = current is None or current.share != lease.share
        if changed:
            self._advance_buckets(now_ms)
        self._leases[lender] = lease
        self._refresh(changed=changed)

    def settle(self, *, now_ms: float) -> None:
        """Drop expired leases; to be called before any use of the share or of a bucket."""
        while self._next_expiry_ms <= now_ms:
            expiry_ms = self._next_expiry_ms
            self._advance_buckets(expiry_ms)
            self._advance(expiry_ms)
            self._leases = {
                lender: lease
                for lender, lease in self._leases.items()
                if lease.until_ms > expiry_ms
            }
            self._refresh(changed=True)
        self._advance(now_ms)

    def share_until(self, until_ms: float) -> float:
        """Return the share whose leases last until ``until_ms`` at least."""
        if self._tail is None:
            self._tail = self._sum_tail()
        expiries, shares = self._tail
        index = bisect.bisect_left(expiries, until_ms)
        return shares[index] if index < len(shares) else 0.0

    def bucket(
        self, workspace: ids.WorkspaceId, *, now_ms: float, rate_per_s: float, burst: float
    ) -> home_bucket.HomeBucket:
        """Return a workspace's bucket, brought up to now; call `settle` first."""
        bucket = self.buckets.get(workspace)
        if bucket is None:
            held = self._idle.tokens(rate_per_s=rate_per_s, burst=burst)
            bucket = home_bucket.HomeBucket(
                now_ms=now_ms, held=held, rate_per_s=rate_per_s, burst=burst
            )
            self.buckets[workspace] = bucket
            return bucket
        bucket.advance(now_ms=now_ms, share=self._share)
        if bucket.rate_per_s != rate_per_s or bucket.burst != burst:
            bucket.configure(rate_per_s=rate_per_s, burst=burst, share=self._share)
        return bucket

    def forget_idle(self, *, now_ms: float, idle_ms: float) -> None:
        """Forget full buckets unused for a while; `IdleCredit` stands in for them."""
        for workspace, bucket in list(self.buckets.items()):
            if now_ms - bucket.used_ms < idle_ms or not bucket.idle:
                continue
            bucket.advance(now_ms=now_ms, share=self._share)
            if bucket.idle and bucket.held >= bucket.burst * self._share:
                del self.buckets[workspace]

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._settled_ms
        if elapsed_ms > 0:
            self._idle.advance(share_ms=self._share * elapsed_ms)
            self._settled_ms = now_ms

    def _advance_buckets(self, now_ms: float) -> None:
        for bucket in self.buckets.values():
            bucket.advance(now_ms=now_ms, share=self._share)

    def _refresh(self, *, changed: bool) -> None:
        self._tail = None
        expiries = (lease.until_ms for lease in self._leases.values())
        self._next_expiry_ms = min(expiries, default=float("inf"))
        if not changed:
            return
        self._share = sum(lease.share for lease in self._leases.values())
        self._idle.change(share=self._share)
        for bucket in self.buckets.values():
            bucket.clip(share=self._share)

    def _sum_tail(self) -> tuple[list[float], list[float]]:
        leases = sorted(self._leases.values(), key=lambda lease: lease.until_ms, reverse=True)
        expiries: list[float] = []
        shares: list[float] = []
        total = 0.0
        for lease in leases:
            total += lease.share
            expiries.append(lease.until_ms)
            shares.append(total)
        return expiries[::-1], shares[::-1]
