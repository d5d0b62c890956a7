"""Baseline limiter: each listed host gets an equal part of a workspace's rate and burst."""

from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import bucket, registry
from verbenadrum.limits import tolerance as tolerances

__all__ = ["StaticSplitLimiter"]


@registry.limiters.register("static_split")
class StaticSplitLimiter(system.System):
    """Divides rate and burst by the number of listed hosts, without communication.

    Kept for comparison: a host's part of a small workspace is less than one token, and with
    different host lists the parts can sum to more than the whole.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
        tolerance: tolerances.Tolerance = tolerances.NO_TOLERANCE,
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
        """Decide on one request at once, from this host's part."""
        spec = self._records.workspace(workspace)
        if spec is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        now_ms = self._context.now_ms()
        fraction = 1.0 / max(1, len(self._membership.hosts()))
        local_bucket = self._buckets.get(workspace)
        if local_bucket is None:
            local_bucket = bucket.TokenBucket(
                now_ms=now_ms,
                tokens=spec.burst * fraction,
                rate_per_s=spec.rate_per_s * fraction,
                burst=spec.burst * fraction,
            )
            self._buckets[workspace] = local_bucket
        local_bucket.configure(
            now_ms=now_ms, rate_per_s=spec.rate_per_s * fraction, burst=spec.burst * fraction
        )
        if local_bucket.take(now_ms=now_ms):
            done(ports.Admission(granted=True, reason="within-rate"))
            return
        wait_ms = local_bucket.wait_ms(now_ms=now_ms)
        done(ports.Admission(granted=False, reason="over-rate", retry_after_ms=wait_ms))
