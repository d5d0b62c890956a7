"""Leases of one partition at its home, and the workspace buckets that fill at the leased share."""

import bisect

import msgspec

from verbenadrum import ids
from verbenadrum.limits import home_bucket, idle

__all__ = ["Lease", "PartitionLeases"]


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Share of the whole fleet's limits that one lender lends until ``until_ms``.

    ``round`` is the number of the poll that the lease answers.
    """

    share: float
    until_ms: float
    round: int


class PartitionLeases:
    """Leases of one partition, their total share, and the buckets that fill at that share.

    Each change of the share, an expiry included, first accrues every bucket under the old share
    and then reduces it to the new one. A call after a pause applies the expiries in their order.

    Parameters
    ----------
    now_ms : float
        Monotonic time at which this host became home.
    min_round : int
        Leases of earlier poll rounds have been released and are ignored.

    Attributes
    ----------
    draining : bool
        Whether this host no longer grants tokens of the partition, and releases its leases once
        all grants are closed and all borrowed tokens are gone.
    buckets : dict
        Buckets of the active workspaces.
    """

    def __init__(self, *, now_ms: float, min_round: int) -> None:
        self._leases: dict[ids.HostId, Lease] = {}
        self._share = 0.0
        self._updated_ms = now_ms
        self._next_expiry_ms = float("inf")
        self._idle = idle.IdleCredit()
        self._share_by_expiry: tuple[list[float], list[float]] | None = None
        self.min_round = min_round
        self.draining = False
        self.buckets: dict[ids.WorkspaceId, home_bucket.HomeBucket] = {}

    @property
    def share(self) -> float:
        """Fraction of the whole fleet lent to this home, as of the last `expire_leases`."""
        return self._share

    def is_drained(self, *, now_ms: float) -> bool:
        """Return whether no bucket has open grants or borrowed tokens."""
        self.expire_leases(now_ms=now_ms)
        for bucket in self.buckets.values():
            bucket.advance(now_ms=now_ms, share=self._share)
            bucket.borrowed.purge(now_ms=now_ms)
        return all(bucket.idle for bucket in self.buckets.values())

    def add_lease(self, *, now_ms: float, lender: ids.HostId, lease: Lease) -> None:
        """Add or renew a lease; an expired one, or one of no newer round, is ignored."""
        self.expire_leases(now_ms=now_ms)
        previous = self._leases.get(lender)
        if lease.until_ms <= now_ms or lease.round < self.min_round:
            return
        if previous is not None and previous.round >= lease.round:
            return
        changed = previous is None or previous.share != lease.share
        if changed:
            self._advance_buckets(now_ms)
        self._leases[lender] = lease
        self._update_share(changed=changed)

    def expire_leases(self, *, now_ms: float) -> None:
        """Remove expired leases; must be called before any use of the share or of a bucket."""
        while self._next_expiry_ms <= now_ms:
            expiry_ms = self._next_expiry_ms
            self._advance_buckets(expiry_ms)
            self._advance(expiry_ms)
            self._leases = {
                lender: lease
                for lender, lease in self._leases.items()
                if lease.until_ms > expiry_ms
            }
            self._update_share(changed=True)
        self._advance(now_ms)

    def share_until(self, until_ms: float) -> float:
        """Return the total share of the leases that last until ``until_ms`` at least."""
        if self._share_by_expiry is None:
            self._share_by_expiry = self._compute_share_by_expiry()
        expiries, shares = self._share_by_expiry
        index = bisect.bisect_left(expiries, until_ms)
        return shares[index] if index < len(shares) else 0.0

    def bucket(
        self, workspace: ids.WorkspaceId, *, now_ms: float, rate_per_s: float, burst: float
    ) -> home_bucket.HomeBucket:
        """Return a workspace's bucket, advanced to now; call `expire_leases` first.

        A new bucket starts with the tokens that `IdleCredit` allows an idle workspace.
        """
        bucket = self.buckets.get(workspace)
        if bucket is None:
            tokens = self._idle.tokens(rate_per_s=rate_per_s, burst=burst)
            bucket = home_bucket.HomeBucket(
                now_ms=now_ms, tokens=tokens, rate_per_s=rate_per_s, burst=burst
            )
            self.buckets[workspace] = bucket
            return bucket
        bucket.advance(now_ms=now_ms, share=self._share)
        if bucket.rate_per_s != rate_per_s or bucket.burst != burst:
            bucket.configure(rate_per_s=rate_per_s, burst=burst, share=self._share)
        return bucket

    def remove_idle(self, *, now_ms: float, idle_ms: float) -> None:
        """Remove full buckets unused for ``idle_ms``; `IdleCredit` gives their level later."""
        for workspace, bucket in list(self.buckets.items()):
            if now_ms - bucket.last_used_ms < idle_ms or not bucket.idle:
                continue
            bucket.advance(now_ms=now_ms, share=self._share)
            if bucket.idle and bucket.tokens >= bucket.burst * self._share:
                del self.buckets[workspace]

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            self._idle.advance(share_ms=self._share * elapsed_ms)
            self._updated_ms = now_ms

    def _advance_buckets(self, now_ms: float) -> None:
        for bucket in self.buckets.values():
            bucket.advance(now_ms=now_ms, share=self._share)

    def _update_share(self, *, changed: bool) -> None:
        self._share_by_expiry = None
        expiries = (lease.until_ms for lease in self._leases.values())
        self._next_expiry_ms = min(expiries, default=float("inf"))
        if not changed:
            return
        self._share = sum(lease.share for lease in self._leases.values())
        self._idle.set_share(share=self._share)
        for bucket in self.buckets.values():
            bucket.clip(share=self._share)

    def _compute_share_by_expiry(self) -> tuple[list[float], list[float]]:
        leases = sorted(self._leases.values(), key=lambda lease: lease.until_ms, reverse=True)
        expiries: list[float] = []
        shares: list[float] = []
        total = 0.0
        for lease in leases:
            total += lease.share
            expiries.append(lease.until_ms)
            shares.append(total)
        return expiries[::-1], shares[::-1]
