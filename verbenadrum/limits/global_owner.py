"""Baseline limiter: one host, by the sender's host list, keeps a workspace's only bucket."""

from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import bucket, messages, registry
from verbenadrum.limits import tolerance as tolerances

__all__ = ["GlobalOwnerLimiter"]

_REPLY_TIMEOUT_MS = 300.0


class _PendingRequest(msgspec.Struct, frozen=True, kw_only=True):
    done: Callable[[ports.Admission], None]
    until_ms: float


@registry.limiters.register("global_owner")
class GlobalOwnerLimiter(system.System):
    """Requests each token from the workspace's owner, one host of the whole fleet.

    Kept for comparison: hosts with different host lists use two owners, each of which grants the
    whole rate, and a network partition leaves one side without an owner.
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
        self._request_numbers = context.numbers()
        self._buckets: dict[ids.WorkspaceId, bucket.TokenBucket] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._owners: dict[ids.WorkspaceId, tuple[ids.HostId, ...]] = {}
        self._list_revision = -1

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Request a token from the owner; ``done`` is called once with the admission."""
        owner = self._owner(workspace)
        if self._records.workspace(workspace) is None or owner is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        number = next(self._request_numbers)
        until_ms = min(deadline_ms, self._context.now_ms() + _REPLY_TIMEOUT_MS)
        self._pending[number] = _PendingRequest(done=done, until_ms=until_ms)
        self._context.send(owner, messages.TokenAsk(number, workspace))

    def on_tick(self) -> None:
        """Refuse the requests whose owner has not replied in time."""
        now_ms = self._context.now_ms()
        overdue = [
            number for number, pending in self._pending.items() if pending.until_ms <= now_ms
        ]
        for number in overdue:
            refusal = ports.Admission(
                granted=False, reason="limit-unavailable", retry_after_ms=_REPLY_TIMEOUT_MS
            )
            self._pending.pop(number).done(refusal)

    @system.handles(messages.TokenAsk)
    def on_ask(self, sender: ids.HostId, message: messages.TokenAsk) -> None:
        """Take a token as owner and reply; unknown workspaces get no reply."""
        spec = self._records.workspace(message.workspace)
        if spec is None:
            return
        now_ms = self._context.now_ms()
        owner_bucket = self._buckets.get(message.workspace)
        if owner_bucket is None:
            owner_bucket = bucket.TokenBucket(
                now_ms=now_ms, tokens=spec.burst, rate_per_s=spec.rate_per_s, burst=spec.burst
            )
            self._buckets[message.workspace] = owner_bucket
        owner_bucket.configure(now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)
        granted = owner_bucket.take(now_ms=now_ms)
        wait_ms = 0.0 if granted else owner_bucket.wait_ms(now_ms=now_ms)
        self._context.send(sender, messages.TokenAnswer(message.number, granted, wait_ms, wait_ms))

    @system.handles(messages.TokenAnswer)
    def on_answer(self, sender: ids.HostId, message: messages.TokenAnswer) -> None:
        """Complete the request that the reply belongs to; unknown numbers are ignored."""
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        reason = "within-rate" if message.granted else "over-rate"
        pending.done(
            ports.Admission(
                granted=message.granted, reason=reason, retry_after_ms=message.retry_after_ms
            )
        )

    def _owner(self, workspace: ids.WorkspaceId) -> ids.HostId | None:
        if self._membership.revision != self._list_revision:
            self._list_revision = self._membership.revision
            self._owners.clear()
        ranked = self._owners.get(workspace)
        if ranked is None:
            hosts = self._membership.hosts()
            ranked = self._membership.ranked_hosts(f"owner-{workspace}", hosts, 3)
            self._owners[workspace] = ranked
        for host in ranked:
            if self._membership.reachable(host):
                return host
        return ranked[0] if ranked else None
