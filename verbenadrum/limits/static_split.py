"""Baseline limiter: every listed host owns an equal part of each workspace's rate and burst."""

from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import bucket, registry

__all__ = ["StaticSplitLimiter"]


@registry.limiters.register("static_split")
class StaticSplitLimiter(system.System):
    """Divides rate and burst by the number of listed hosts and asks nobody.

    Kept for comparison: a small workspace's part is less than one token, and lists that differ
    between hosts make the parts sum to more than the whole.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._membership = membership
        self._buckets: dict[ids.WorkspaceId, bucket.TokenBucket] = {}

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Decide on one request from this host's own part."""
        spec = self._records.workspace(workspace)
        if spec is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        now_ms = self._context.now_ms()
        part = 1.0 / max(1, len(self._membership.hosts()))
        own = self._buckets.get(workspace)
        if own is None:
            own = bucket.TokenBucket(
                now_ms=now_ms,
                tokens=spec.burst * part,
                rate_per_s=spec.rate_per_s * part,
                burst=spec.burst * part,
            )
            self._buckets[workspace] = own
        own.configure(now_ms=now_ms, rate_per_s=spec.rate_per_s * part, burst=spec.burst * part)
        if own.take(now_ms=now_ms):
            done(ports.Admission(granted=True, reason="within-rate"))
            return
        wait_ms = own.wait_ms(now_ms=now_ms)
        done(ports.Admission(granted=False, reason="over-rate", retry_after_ms=wait_ms))
