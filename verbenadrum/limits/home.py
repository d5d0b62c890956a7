"""Home's side of the escrow limiter: grants tokens, first come first served."""

import math
from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import (
    borrowing,
    home_bucket,
    home_leases,
    leases,
    lots,
    messages,
    partitions,
    queue,
)

__all__ = ["Home"]

# Lifetimes tried for a grant, longest first.
_GRANT_LIFETIMES_MS = (1_500.0, 800.0, 400.0)
# A grant waits until it has the tokens that accrue in this time, to save messages, but no longer
# than the maximum wait.
_BATCH_ACCRUAL_MS = 50.0
_MAX_BATCH_WAIT_MS = 100.0
# Smallest loan to another scope's home, in tokens, unless that home needs less.
_MIN_LOAN_TOKENS = 0.05
_IDLE_EXPIRY_MS = 10_000.0
_MS_PER_S = 1000.0


class _ServingRound(msgspec.Struct, frozen=True, kw_only=True):
    """State for serving one workspace's queue once."""

    wait_queue: queue.WaitQueue
    partition_leases: leases.PartitionLeases
    bucket: home_bucket.HomeBucket
    now_ms: float

    def grantable(self, needed: float) -> tuple[float, float]:
        """Return the own tokens that may be granted, and the lifetime of the grant in ms.

        The lifetime is the longest one for which the leases back ``needed`` tokens, or the
        shortest one if none does.
        """
        available = 0.0
        for lifetime_ms in _GRANT_LIFETIMES_MS:
            share = self.partition_leases.share_until(self.now_ms + lifetime_ms)
            available = self.bucket.available(backed_share=share)
            if available >= needed - lots.EPSILON:
                return available, lifetime_ms
        return available, _GRANT_LIFETIMES_MS[-1]

    def min_batch_tokens(self, queued: queue.QueuedAsk) -> float:
        """Return the minimum tokens of a grant; they grow with the rate, up to what is needed."""
        if self.now_ms - queued.received_ms >= _MAX_BATCH_WAIT_MS:
            return 1.0
        accrued = (
            self.bucket.rate_per_s * self.partition_leases.share * _BATCH_ACCRUAL_MS / _MS_PER_S
        )
        return max(1.0, min(queued.ask.need, math.floor(accrued)))


class Home:
    """Queues and grants of the workspaces of which this host is the home.

    A grant expires no later than the leases that back it, and no later than the borrowed lots
    that it is taken from.

    Parameters
    ----------
    context : Context
        Clock, identity of this host, and sending of messages.
    records : RecordsPort
        Published limits of the workspaces.
    homes : HomeMap
        Homes of the partitions.
    numbers : iterator of int
        Source of request numbers, shared with the entry role of this host.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        homes: partitions.HomeMap,
        numbers: Iterator[int],
    ) -> None:
        self._context = context
        self._records = records
        self._homes = homes
        self._home_leases = home_leases.HomeLeases(context=context, homes=homes)
        self._borrowing = borrowing.Borrowing(
            context=context, homes=homes, leases=self._home_leases, numbers=numbers
        )
        self._next_cleanup_ms = context.now_ms()
        self._queues: dict[ids.WorkspaceId, queue.WaitQueue] = {}
        self._open_grants: dict[home_bucket.GrantKey, ids.WorkspaceId] = {}

    @property
    def leases(self) -> home_leases.HomeLeases:
        """Leases of the partitions of which this host is the home."""
        return self._home_leases

    def share(self, partition: int) -> float:
        """Return the share lent to this home for a partition; 0 if it is not the home."""
        partition_leases = self._home_leases.find(partition)
        return 0.0 if partition_leases is None else partition_leases.share

    def on_tick(self) -> None:
        """Collect leases, serve the queues and return unneeded borrowed tokens."""
        self._home_leases.on_tick()
        now_ms = self._context.now_ms()
        for workspace in list(self._queues):
            self._serve(workspace, now_ms)
        self._borrowing.on_tick()
        if now_ms >= self._next_cleanup_ms:
            self._next_cleanup_ms = now_ms + _IDLE_EXPIRY_MS
            self._remove_idle(now_ms)

    def on_ask(self, sender: ids.HostId, ask: messages.Ask) -> None:
        """Grant tokens at once, or queue the request for its ``max_wait_ms``.

        A repeated or outdated request is ignored; one that this host cannot serve is answered with
        the reason as its state.
        """
        refusal = self._refusal_state(ask)
        if refusal is not None:
            self._context.send(sender, messages.Grant(number=ask.number, state=refusal))
            return
        now_ms = self._context.now_ms()
        wait_queue = self._queues.setdefault(ask.workspace, queue.WaitQueue())
        queued = queue.QueuedAsk(
            holder=sender, ask=ask, received_ms=now_ms, until_ms=now_ms + ask.max_wait_ms
        )
        key = home_bucket.GrantKey(holder=sender, number=ask.number)
        if key in self._open_grants or not wait_queue.enqueue(queued):
            return
        self._serve(ask.workspace, now_ms)
        if wait_queue.entry_hosts.get(sender) is queued:
            self._reply_queued(queued, wait_queue)

    def on_settle(self, sender: ids.HostId, settle: messages.Settle) -> None:
        """Take back the unspent tokens of settled grants; unknown grants are ignored."""
        for settlement in settle.grants:
            key = home_bucket.GrantKey(holder=sender, number=settlement.number)
            workspace = self._open_grants.pop(key, None)
            if workspace is not None:
                self._settle(workspace, key, settlement.unspent)

    def on_grant(self, sender: ids.HostId, grant: messages.Grant) -> None:
        """Store tokens borrowed from another scope's home, and serve the queue from them."""
        workspace = self._borrowing.requested_workspace(sender, grant.number)
        if workspace is None:
            return
        self._borrowing.on_grant(grant, self._queues.get(workspace))
        if workspace in self._queues:
            self._serve(workspace, self._context.now_ms())

    def _refusal_state(self, ask: messages.Ask) -> messages.GrantState | None:
        partition_leases = self._home_leases.find(partitions.partition_of(ask.workspace))
        if (
            partition_leases is None
            or partition_leases.draining
            or self._records.workspace(ask.workspace) is None
        ):
            return messages.GrantState.NOT_HOME
        return None if partition_leases.share > 0 else messages.GrantState.NO_SHARE

    def _serve(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        wait_queue = self._queues[workspace]
        for queued in wait_queue.drop_expired(now_ms=now_ms):
            self._reply_empty(queued)
        serving = self._start_round(workspace, wait_queue, now_ms)
        if serving is None:
            self._refuse_all(wait_queue)
        else:
            self._borrowing.return_expiring(serving.bucket)
            self._serve_entry_hosts(serving)
            self._serve_borrowers(serving)
            self._borrowing.request_missing(workspace, wait_queue, serving.bucket)
            self._borrowing.settle_spent(serving.bucket)
        if wait_queue.empty and wait_queue.borrow_number is None:
            del self._queues[workspace]

    def _start_round(
        self, workspace: ids.WorkspaceId, wait_queue: queue.WaitQueue, now_ms: float
    ) -> _ServingRound | None:
        partition_leases = self._home_leases.find(partitions.partition_of(workspace))
        spec = self._records.workspace(workspace)
        if partition_leases is None or partition_leases.draining or spec is None:
            return None
        bucket = partition_leases.bucket(
            workspace, now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst
        )
        bucket.last_used_ms = now_ms
        return _ServingRound(
            wait_queue=wait_queue, partition_leases=partition_leases, bucket=bucket, now_ms=now_ms
        )

    def _serve_entry_hosts(self, serving: _ServingRound) -> None:
        entry_hosts = serving.wait_queue.entry_hosts
        for queued in list(entry_hosts.values()):
            if not self._grant_to_entry_host(queued, serving):
                return
            del entry_hosts[queued.holder]

    def _grant_to_entry_host(self, queued: queue.QueuedAsk, serving: _ServingRound) -> bool:
        bucket, now_ms = serving.bucket, serving.now_ms
        borrowed = bucket.borrowed.total(now_ms=now_ms)
        own, lifetime_ms = serving.grantable(1.0 - borrowed)
        count = min(math.floor(own + borrowed + lots.EPSILON), queued.ask.need)
        if queued.ask.need > 0 and count < serving.min_batch_tokens(queued):
            return False
        spare = (own - max(0.0, count - borrowed)) / 2.0
        if len(serving.wait_queue.entry_hosts) == 1 and spare > 0:
            count += min(queued.ask.extra, math.floor(spare))
        if count < 1:
            self._reply_empty(queued)
            return True
        parts = bucket.borrowed.take(now_ms=now_ms, count=min(count, borrowed))
        taken = sum(amount for _, amount in parts)
        until_ms = min([now_ms + lifetime_ms, *(lot.until_ms for lot, _ in parts)])
        own_part = max(0.0, count - taken)
        grant = home_bucket.OpenGrant(own_tokens=own_part, until_ms=until_ms, parts=parts)
        self._grant(queued, bucket, count, grant)
        return True

    def _serve_borrowers(self, serving: _ServingRound) -> None:
        wait_queue = serving.wait_queue
        holds_whole_token = serving.bucket.burst * serving.partition_leases.share >= 1.0
        for queued in list(wait_queue.borrowers.values()):
            # Waiting entry hosts come before borrowers. But two homes that can each hold only a
            # fraction of a token would wait for each other, so one of them lends: the home whose
            # scope name is the greater.
            if wait_queue.entry_hosts and (
                holds_whole_token or queued.ask.borrower >= self._homes.own_scope
            ):
                continue
            min_count = min(queued.ask.need, _MIN_LOAN_TOKENS)
            own, lifetime_ms = serving.grantable(min_count)
            if own < min_count:
                continue
            count = min(own, queued.ask.need)
            del wait_queue.borrowers[queued.holder]
            until_ms = serving.now_ms + lifetime_ms
            loan = home_bucket.OpenGrant(own_tokens=count, until_ms=until_ms, parts=[])
            self._grant(queued, serving.bucket, count, loan)

    def _grant(
        self,
        queued: queue.QueuedAsk,
        bucket: home_bucket.HomeBucket,
        count: float,
        grant: home_bucket.OpenGrant,
    ) -> None:
        key = home_bucket.GrantKey(holder=queued.holder, number=queued.ask.number)
        bucket.grant(key, grant)
        self._open_grants[key] = queued.ask.workspace
        # The holder counts the lifetime from when it sent the request, which is before it was
        # received here, so the holder's copy never outlasts the grant.
        answer = messages.Grant(
            number=queued.ask.number,
            state=messages.GrantState.GRANTED,
            count=count,
            lifetime_ms=grant.until_ms - queued.received_ms,
        )
        self._context.send(queued.holder, answer)

    def _settle(
        self, workspace: ids.WorkspaceId, key: home_bucket.GrantKey, unspent: float
    ) -> None:
        partition_leases = self._home_leases.find(partitions.partition_of(workspace))
        bucket = None if partition_leases is None else partition_leases.buckets.get(workspace)
        if partition_leases is None or bucket is None:
            return
        bucket.advance(now_ms=self._context.now_ms(), share=partition_leases.share)
        bucket.settle(key, unspent=unspent, share=partition_leases.share)
        self._borrowing.settle_spent(bucket)

    def _remove_idle(self, now_ms: float) -> None:
        for partition_leases in self._home_leases:
            partition_leases.expire_leases(now_ms=now_ms)
            partition_leases.remove_idle(now_ms=now_ms, idle_ms=_IDLE_EXPIRY_MS)
        self._open_grants = {
            key: workspace
            for key, workspace in self._open_grants.items()
            if self._is_open(key, workspace)
        }

    def _is_open(self, key: home_bucket.GrantKey, workspace: ids.WorkspaceId) -> bool:
        partition_leases = self._home_leases.find(partitions.partition_of(workspace))
        bucket = None if partition_leases is None else partition_leases.buckets.get(workspace)
        return bucket is not None and bucket.has_grant(key)

    def _refuse_all(self, wait_queue: queue.WaitQueue) -> None:
        for queued in (*wait_queue.entry_hosts.values(), *wait_queue.borrowers.values()):
            grant = messages.Grant(number=queued.ask.number, state=messages.GrantState.NOT_HOME)
            self._context.send(queued.holder, grant)
        wait_queue.entry_hosts.clear()
        wait_queue.borrowers.clear()
        wait_queue.borrow_number = None

    def _reply_queued(self, queued: queue.QueuedAsk, wait_queue: queue.WaitQueue) -> None:
        spec = self._records.workspace(queued.ask.workspace)
        rate_per_s = 1.0 if spec is None else spec.rate_per_s
        grant = messages.Grant(
            number=queued.ask.number,
            state=messages.GrantState.QUEUED,
            retry_after_ms=wait_queue.needed / rate_per_s * _MS_PER_S,
        )
        self._context.send(queued.holder, grant)

    def _reply_empty(self, queued: queue.QueuedAsk) -> None:
        """Refuse a request by a grant of no tokens."""
        grant = messages.Grant(number=queued.ask.number, state=messages.GrantState.GRANTED)
        self._context.send(queued.holder, grant)
