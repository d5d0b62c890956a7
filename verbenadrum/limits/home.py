"""Home of some partitions: serves the hosts that ask it for tokens, first come first served."""

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

_GRANT_LIVES_MS = (1_500.0, 800.0, 400.0)
_BATCH_MS = 50.0
_BATCH_WAIT_MS = 100.0
_LEAST_LOAN = 0.05
_FORGET_MS = 10_000.0
_MS_PER_S = 1000.0


class _Serving(msgspec.Struct, frozen=True, kw_only=True):
    """What one round of serving a workspace works on."""

    waiting: queue.WaitQueue
    held: leases.PartitionLeases
    bucket: home_bucket.HomeBucket
    now_ms: float

    def backed(self, needed: float) -> tuple[float, float]:
        """Return the own tokens that may be granted, and the longest life that backs enough."""
        room = 0.0
        for life_ms in _GRANT_LIVES_MS:
            share = self.held.share_until(self.now_ms + life_ms)
            room = self.bucket.room(backed_share=share)
            if room >= needed - lots.EPSILON:
                return room, life_ms
        return room, _GRANT_LIVES_MS[-1]

    def least_batch(self, row: queue.AskRow) -> float:
        """Return the tokens that are worth a message, the more the busier the workspace is."""
        if self.now_ms - row.received_ms >= _BATCH_WAIT_MS:
            return 1.0
        accrued = self.bucket.rate_per_s * self.held.share * _BATCH_MS / _MS_PER_S
        return max(1.0, min(row.ask.need, math.floor(accrued)))


class Home:
    """Queues and grants of the workspaces whose home this host is.

    A grant lasts no longer than the leases that back it, and borrowed tokens no longer than
    their lender said.
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
        self._held = home_leases.HomeLeases(context=context, homes=homes)
        self._borrowing = borrowing.Borrowing(
            context=context, homes=homes, held=self._held, numbers=numbers
        )
        self._forget_at_ms = context.now_ms()
        self._queues: dict[ids.WorkspaceId, queue.WaitQueue] = {}
        self._granted: dict[home_bucket.GrantKey, ids.WorkspaceId] = {}

    @property
    def leases(self) -> home_leases.HomeLeases:
        """The leases that this home collects."""
        return self._held

    def share(self, partition: int) -> float:
        """Return the share lent to this home for a partition now."""
        held = self._held.find(partition)
        return 0.0 if held is None else held.share

    def on_tick(self) -> None:
        """Collect leases, serve the queues and give back what is not needed."""
        self._held.on_tick()
        now_ms = self._context.now_ms()
        for workspace in list(self._queues):
            self._serve(workspace, now_ms)
        self._borrowing.on_tick()
        if now_ms >= self._forget_at_ms:
            self._forget_at_ms = now_ms + _FORGET_MS
            self._forget(now_ms)

    def on_ask(self, sender: ids.HostId, ask: messages.Ask) -> None:
        """Grant tokens at once, or queue the request until its patience ends."""
        refused = self._unservable(ask)
        if refused is not None:
            self._context.send(sender, messages.Grant(number=ask.number, state=refused))
            return
        now_ms = self._context.now_ms()
        waiting = self._queues.setdefault(ask.workspace, queue.WaitQueue())
        row = queue.AskRow(
            holder=sender, ask=ask, received_ms=now_ms, until_ms=now_ms + ask.patience_ms
        )
        key = home_bucket.GrantKey(holder=sender, number=ask.number)
        if key in self._granted or not waiting.put(row):
            return
        self._serve(ask.workspace, now_ms)
        if waiting.entries.get(sender) is row:
            self._say_queued(row, waiting)

    def on_settle(self, sender: ids.HostId, settle: messages.Settle) -> None:
        """Take back what the holder of grants has left of them."""
        for settlement in settle.grants:
            key = home_bucket.GrantKey(holder=sender, number=settlement.number)
            workspace = self._granted.pop(key, None)
            if workspace is not None:
                self._settle(workspace, key, settlement.unspent)

    def on_grant(self, sender: ids.HostId, grant: messages.Grant) -> None:
        """Keep tokens that another scope's home has lent, and serve the queue from them."""
        workspace = self._borrowing.workspace(sender, grant.number)
        if workspace is None:
            return
        self._borrowing.on_grant(grant, self._queues.get(workspace))
        if workspace in self._queues:
            self._serve(workspace, self._context.now_ms())

    def _unservable(self, ask: messages.Ask) -> messages.GrantState | None:
        held = self._held.find(partitions.partition_of(ask.workspace))
        if held is None or held.draining or self._records.workspace(ask.workspace) is None:
            return messages.GrantState.NOT_HOME
        return None if held.share > 0 else messages.GrantState.NO_SHARE

    def _serve(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        waiting = self._queues[workspace]
        for row in waiting.drop_expired(now_ms=now_ms):
            self._say_none(row)
        serving = self._serving(workspace, waiting, now_ms)
        if serving is None:
            self._refuse_all(waiting)
        else:
            self._borrowing.drop_short(serving.bucket)
            self._serve_entries(serving)
            self._serve_borrowers(serving)
            self._borrowing.ask(workspace, waiting, serving.bucket)
            self._borrowing.settle_spent(serving.bucket)
        if waiting.empty and waiting.borrow_number is None:
            del self._queues[workspace]

    def _serving(
        self, workspace: ids.WorkspaceId, waiting: queue.WaitQueue, now_ms: float
    ) -> _Serving | None:
        held = self._held.find(partitions.partition_of(workspace))
        spec = self._records.workspace(workspace)
        if held is None or held.draining or spec is None:
            return None
        bucket = held.bucket(workspace, now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)
        bucket.used_ms = now_ms
        return _Serving(waiting=waiting, held=held, bucket=bucket, now_ms=now_ms)

    def _serve_entries(self, serving: _Serving) -> None:
        entries = serving.waiting.entries
        for row in list(entries.values()):
            if not self._grant_entry(row, serving):
                return
            del entries[row.holder]

    def _grant_entry(self, row: queue.AskRow, serving: _Serving) -> bool:
        bucket, now_ms = serving.bucket, serving.now_ms
        borrowed = bucket.borrowed.total(now_ms=now_ms)
        own, life_ms = serving.backed(1.0 - borrowed)
        count = min(math.floor(own + borrowed + lots.EPSILON), row.ask.need)
        if row.ask.need > 0 and count < serving.least_batch(row):
            return False
        spare = (own - max(0.0, count - borrowed)) / 2.0
        if len(serving.waiting.entries) == 1 and spare > 0:
            count += min(row.ask.extra, math.floor(spare))
        if count < 1:
            self._say_none(row)
            return True
        parts = bucket.borrowed.take(now_ms=now_ms, count=min(count, borrowed))
        taken = sum(amount for _, amount in parts)
        until_ms = min([now_ms + life_ms, *(lot.until_ms for lot, _ in parts)])
        own_part = max(0.0, count - taken)
        grant = home_bucket.GrantRow(own=own_part, until_ms=until_ms, parts=parts)
        self._grant(row, bucket, count, grant)
        return True

    def _serve_borrowers(self, serving: _Serving) -> None:
        waiting = serving.waiting
        whole = serving.bucket.burst * serving.held.share >= 1.0
        for row in list(waiting.borrowers.values()):
            # Two homes that can each hold a part of one token only would wait for each other.
            if waiting.entries and (whole or row.ask.borrower >= self._homes.own_scope):
                continue
            least = min(row.ask.need, _LEAST_LOAN)
            own, life_ms = serving.backed(least)
            if own < least:
                continue
            count = min(own, row.ask.need)
            del waiting.borrowers[row.holder]
            until_ms = serving.now_ms + life_ms
            loan = home_bucket.GrantRow(own=count, until_ms=until_ms, parts=[])
            self._grant(row, serving.bucket, count, loan)

    def _grant(
        self,
        row: queue.AskRow,
        bucket: home_bucket.HomeBucket,
        count: float,
        grant: home_bucket.GrantRow,
    ) -> None:
        key = home_bucket.GrantKey(holder=row.holder, number=row.ask.number)
        bucket.grant(key, grant)
        self._granted[key] = row.ask.workspace
        # The holder counts from its request's sending, which was before the receipt here.
        answer = messages.Grant(
            number=row.ask.number,
            state=messages.GrantState.GRANTED,
            count=count,
            life_ms=grant.until_ms - row.received_ms,
        )
        self._context.send(row.holder, answer)

    def _settle(
        self, workspace: ids.WorkspaceId, key: home_bucket.GrantKey, unspent: float
    ) -> None:
        held = self._held.find(partitions.partition_of(workspace))
        bucket = None if held is None else held.buckets.get(workspace)
        if held is None or bucket is None:
            return
        bucket.advance(now_ms=self._context.now_ms(), share=held.share)
        bucket.settle(key, unspent=unspent, share=held.share)
        self._borrowing.settle_spent(bucket)

    def _forget(self, now_ms: float) -> None:
        for held in self._held:
            held.settle(now_ms=now_ms)
            held.forget_idle(now_ms=now_ms, idle_ms=_FORGET_MS)
        self._granted = {
            key: workspace
            for key, workspace in self._granted.items()
            if self._is_open(key, workspace)
        }

    def _is_open(self, key: home_bucket.GrantKey, workspace: ids.WorkspaceId) -> bool:
        held = self._held.find(partitions.partition_of(workspace))
        bucket = None if held is None else held.buckets.get(workspace)
        return bucket is not None and bucket.has_grant(key)

    def _refuse_all(self, waiting: queue.WaitQueue) -> None:
        for row in (*waiting.entries.values(), *waiting.borrowers.values()):
            grant = messages.Grant(number=row.ask.number, state=messages.GrantState.NOT_HOME)
            self._context.send(row.holder, grant)
        waiting.entries.clear()
        waiting.borrowers.clear()
        waiting.borrow_number = None

    def _say_queued(self, row: queue.AskRow, waiting: queue.WaitQueue) -> None:
        spec = self._records.workspace(row.ask.workspace)
        rate_per_s = 1.0 if spec is None else spec.rate_per_s
        grant = messages.Grant(
            number=row.ask.number,
            state=messages.GrantState.QUEUED,
            retry_after_ms=waiting.needed / rate_per_s * _MS_PER_S,
        )
        self._context.send(row.holder, grant)

    def _say_none(self, row: queue.AskRow) -> None:
        grant = messages.Grant(number=row.ask.number, state=messages.GrantState.GRANTED)
        self._context.send(row.holder, grant)
