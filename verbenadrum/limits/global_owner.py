"""Baseline limiter: one host fills a workspace's whole bucket, by each host's own view."""

import itertools
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import bucket, messages, registry

__all__ = ["GlobalOwnerLimiter"]

_ANSWER_MS = 300.0


class _Waiting(msgspec.Struct, frozen=True, kw_only=True):
    done: Callable[[ports.Admission], None]
    until_ms: float


@registry.limiters.register("global_owner")
class GlobalOwnerLimiter(system.System):
    """Asks one home over the whole fleet for each request.

    Kept for comparison: hosts whose lists differ have two owners, each of which fills the whole
    rate, and a cut between regions leaves one of them without an owner.
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
        self._numbers = itertools.count(context.rng.getrandbits(31))
        self._buckets: dict[ids.WorkspaceId, bucket.TokenBucket] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._owners: dict[ids.WorkspaceId, tuple[ids.HostId, ...]] = {}
        self._revision = -1

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Ask the owner for a token."""
        owner = self._owner(workspace)
        if self._records.workspace(workspace) is None or owner is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        number = next(self._numbers)
        until_ms = min(deadline_ms, self._context.now_ms() + _ANSWER_MS)
        self._waiting[number] = _Waiting(done=done, until_ms=until_ms)
        self._context.send(owner, messages.TokenAsk(number, workspace))

    def on_tick(self) -> None:
        """Refuse the requests whose owner has not answered."""
        now_ms = self._context.now_ms()
        late = [number for number, row in self._waiting.items() if row.until_ms <= now_ms]
        for number in late:
            refusal = ports.Admission(
                granted=False, reason="limit-unavailable", retry_after_ms=_ANSWER_MS
            )
            self._waiting.pop(number).done(refusal)

    @system.handles(messages.TokenAsk)
    def on_ask(self, sender: ids.HostId, message: messages.TokenAsk) -> None:
        """Take a token from the whole bucket."""
        spec = self._records.workspace(message.workspace)
        if spec is None:
            return
        now_ms = self._context.now_ms()
        own = self._buckets.get(message.workspace)
        if own is None:
            own = bucket.TokenBucket(
                now_ms=now_ms, tokens=spec.burst, rate_per_s=spec.rate_per_s, burst=spec.burst
            )
            self._buckets[message.workspace] = own
        own.configure(now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)
        granted = own.take(now_ms=now_ms)
        wait_ms = 0.0 if granted else own.wait_ms(now_ms=now_ms)
        self._context.send(sender, messages.TokenAnswer(message.number, granted, wait_ms, wait_ms))

    @system.handles(messages.TokenAnswer)
    def on_answer(self, sender: ids.HostId, message: messages.TokenAnswer) -> None:
        """End the request that the answer belongs to."""
        row = self._waiting.pop(message.number, None)
        if row is None:
            return
        reason = "within-rate" if message.granted else "over-rate"
        row.done(
            ports.Admission(
                granted=message.granted, reason=reason, retry_after_ms=message.retry_after_ms
            )
        )

    def _owner(self, workspace: ids.WorkspaceId) -> ids.HostId | None:
        if self._membership.revision != self._revision:
            self._revision = self._membership.revision
            self._owners.clear()
        ranked = self._owners.get(workspace)
        if ranked is None:
            hosts = self._membership.hosts()
            ranked = self._membership.homes(f"owner-{workspace}", hosts, 3)
            self._owners[workspace] = ranked
        for host in ranked:
            if self._membership.reachable(host):
                return host
        return ranked[0] if ranked else None
