"""Home of some partitions: collects leases, keeps buckets and grants tokens to hosts."""

import math
from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.limits import (
    home_bucket,
    leases,
    lender,
    lots,
    messages,
    partitions,
    queue,
)

__all__ = ["CLOCK_DRIFT", "Home"]

# Part by which every received lifetime is shortened, since clocks run at slightly other rates.
CLOCK_DRIFT = 0.001
_POLL_MS = 700.0
_GRANT_LIVES_MS = (1_500.0, 800.0, 400.0)
_LEAST_LIFE_MS = 150.0
_BORROW_PATIENCE_MS = 300.0
_BORROW_TIMEOUT_MS = 500.0
_BORROW_PAUSE_MS = 50.0
_BORROW_PAUSE_MAX_MS = 800.0
_BATCH_MS = 50.0
_BATCH_WAIT_MS = 100.0
_LEAST_LOAN = 0.05
_FORGET_MS = 10_000.0
_DEAF_MS = 3_000.0
_MS_PER_S = 1000.0


class _Borrow(msgspec.Struct, frozen=True, kw_only=True):
    """An open request to the home of another scope."""

    workspace: ids.WorkspaceId
    partner: ids.HostId
    sent_ms: float


class Home:
    """Buckets of the workspaces whose home this host is, by its own view.

    Hosts whose views differ may both act as home of one partition: each lender lends to one of
    them at a time, so their buckets still fill at no more than the whole.
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
        self._numbers = numbers
        self._round = context.rng.getrandbits(31)
        self._rounds: dict[int, float] = {}
        self._poll_at_ms = context.now_ms()
        self._forget_at_ms = context.now_ms()
        self._heard_ms = context.now_ms()
        self._partitions: dict[int, leases.PartitionLeases] = {}
        self._queues: dict[ids.WorkspaceId, queue.WaitQueue] = {}
        self._borrows: dict[int, _Borrow] = {}
        self._borrowing: set[ids.WorkspaceId] = set()
        self._granted: dict[home_bucket.GrantKey, ids.WorkspaceId] = {}

    def share(self, partition: int) -> float:
        """Return the share lent to this home for a partition now."""
        held = self._partitions.get(partition)
        if held is None:
            return 0.0
        held.settle(now_ms=self._context.now_ms())
        return held.share

    def note_heard(self, sender: ids.HostId) -> None:
        """Note that messages of other hosts of the scope reach this one."""
        if sender != self._context.host:
            self._heard_ms = self._context.now_ms()

    def on_tick(self) -> None:
        """Poll the lenders when due, serve the queues and give back what is not needed."""
        now_ms = self._context.now_ms()
        if now_ms >= self._poll_at_ms:
            self._poll_at_ms = now_ms + _POLL_MS
            self._choose_partitions(now_ms)
            self._poll(now_ms)
        for workspace in list(self._queues):
            self._serve(workspace, now_ms)
        self._return_borrowed(now_ms)
        self._release_drained(now_ms)
        if now_ms >= self._forget_at_ms:
            self._forget_at_ms = now_ms + _FORGET_MS
            self._forget(now_ms)

    def on_lend(self, sender: ids.HostId, lend: messages.Lend) -> None:
        """Take a lender's lease; it counts from the sending of the poll it answers."""
        self.note_heard(sender)
        sent_ms = self._rounds.get(lend.round)
        if sent_ms is None:
            return
        now_ms = self._context.now_ms()
        until_ms = sent_ms + lend.life_ms * (1.0 - CLOCK_DRIFT)
        for partition in partitions.bits(lend.granted):
            held = self._partitions.get(partition)
            if held is not None:
                held.lend(
                    now_ms=now_ms,
                    lender=sender,
                    share=lend.share,
                    until_ms=until_ms,
                    round=lend.round,
                )

    def on_ask(self, sender: ids.HostId, ask: messages.Ask) -> None:
        """Grant tokens at once, or queue the request until its patience ends."""
        now_ms = self._context.now_ms()
        refused = self._unservable(ask, now_ms)
        if refused is not None:
            self._context.send(sender, messages.Grant(number=ask.number, state=refused))
            return
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
        now_ms = self._context.now_ms()
        for settlement in settle.grants:
            key = home_bucket.GrantKey(holder=sender, number=settlement.number)
            workspace = self._granted.pop(key, None)
            if workspace is not None:
                self._settle(workspace, key, settlement.unspent, now_ms)

    def on_grant(self, sender: ids.HostId, grant: messages.Grant) -> None:
        """Keep tokens that another scope's home has lent, and serve the queue from them."""
        borrow = self._borrows.get(grant.number)
        if borrow is None or borrow.partner != sender:
            return
        del self._borrows[grant.number]
        now_ms = self._context.now_ms()
        waiting = self._queues.get(borrow.workspace)
        if waiting is not None and waiting.borrow_number == grant.number:
            waiting.borrow_number = None
            if grant.count <= 0:
                waiting.next_partner += 1
                self._pause_borrowing(waiting, now_ms)
            else:
                waiting.borrow_pause_ms = 0.0
        if grant.count > 0:
            self._keep_borrowed(grant, borrow, now_ms)
            if waiting is not None:
                self._serve(borrow.workspace, now_ms)

    def _choose_partitions(self, now_ms: float) -> None:
        deaf = self._is_deaf(now_ms)
        for partition in range(partitions.PARTITIONS):
            held = self._partitions.get(partition)
            holding = held is not None and not held.draining
            if not deaf and self._homes.is_home(partition, holding=holding):
                self._take(partition, held, now_ms)
            elif holding:
                held.draining = True
                self._log(partition, "drain", "unheard" if deaf else "home-elsewhere")

    def _take(self, partition: int, held: leases.PartitionLeases | None, now_ms: float) -> None:
        if held is not None:
            held.draining = False
            return
        self._partitions[partition] = leases.PartitionLeases(
            now_ms=now_ms, first_round=self._round + 1
        )
        self._log(partition, "take", "first-candidate-that-acts")

    def _is_deaf(self, now_ms: float) -> bool:
        # A home that polls but hears no answer would keep a substitute from taking over.
        alone = len(self._homes.lenders()) <= 1
        return not alone and now_ms - self._heard_ms > _DEAF_MS

    def _poll(self, now_ms: float) -> None:
        wanted = sum(1 << p for p, held in self._partitions.items() if not held.draining)
        if not wanted:
            return
        self._round += 1
        self._rounds = {
            number: sent_ms
            for number, sent_ms in self._rounds.items()
            if now_ms - sent_ms < lender.LEASE_MS
        }
        self._rounds[self._round] = now_ms
        poll = messages.Poll(
            round=self._round, incarnation=self._context.incarnation, wanted=wanted
        )
        for row in self._homes.lenders():
            self._context.send(row.host, poll)

    def _unservable(self, ask: messages.Ask, now_ms: float) -> messages.GrantState | None:
        held = self._partitions.get(partitions.partition_of(ask.workspace))
        if held is None or held.draining or self._records.workspace(ask.workspace) is None:
            return messages.GrantState.NOT_HOME
        held.settle(now_ms=now_ms)
        return None if held.share > 0 else messages.GrantState.NO_SHARE

    def _serve(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        waiting = self._queues[workspace]
        held = self._partitions.get(partitions.partition_of(workspace))
        spec = self._records.workspace(workspace)
        for row in waiting.drop_expired(now_ms=now_ms):
            self._say_none(row)
        if held is None or held.draining or spec is None:
            self._refuse_all(waiting)
        else:
            bucket = self._bucket(held, workspace, spec, now_ms)
            bucket.used_ms = now_ms
            self._serve_entries(waiting, held, bucket, now_ms)
            self._serve_borrowers(waiting, held, bucket, now_ms)
            self._borrow(workspace, waiting, bucket, now_ms)
            self._settle_borrowed(bucket)
        if waiting.empty and waiting.borrow_number is None:
            del self._queues[workspace]

    def _bucket(
        self, held: leases.PartitionLeases, workspace: ids.WorkspaceId, spec, now_ms: float
    ) -> home_bucket.HomeBucket:
        held.settle(now_ms=now_ms)
        return held.bucket(workspace, now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)

    def _serve_entries(
        self,
        waiting: queue.WaitQueue,
        held: leases.PartitionLeases,
        bucket: home_bucket.HomeBucket,
        now_ms: float,
    ) -> None:
        self._drop_short_lots(bucket, now_ms)
        for row in list(waiting.entries.values()):
            if not self._grant_entry(row, len(waiting.entries) == 1, held, bucket, now_ms):
                return
            del waiting.entries[row.holder]

    def _grant_entry(
        self,
        row: queue.AskRow,
        alone: bool,
        held: leases.PartitionLeases,
        bucket: home_bucket.HomeBucket,
        now_ms: float,
    ) -> bool:
        borrowed = bucket.borrowed.total(now_ms=now_ms)
        own, life_ms = _longest(held, bucket, now_ms, needed=1.0 - borrowed)
        count = min(math.floor(own + borrowed + lots.EPSILON), row.ask.need)
        if row.ask.need > 0 and count < self._least_batch(row, held, bucket, now_ms):
            return False
        spare = (own - max(0.0, count - borrowed)) / 2.0
        if alone and spare > 0:
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

    def _least_batch(
        self,
        row: queue.AskRow,
        held: leases.PartitionLeases,
        bucket: home_bucket.HomeBucket,
        now_ms: float,
    ) -> float:
        """Return the tokens that are worth a message, the more the busier the workspace is."""
        if now_ms - row.received_ms >= _BATCH_WAIT_MS:
            return 1.0
        accrued = bucket.rate_per_s * held.share * _BATCH_MS / _MS_PER_S
        return max(1.0, min(row.ask.need, math.floor(accrued)))

    def _serve_borrowers(
        self,
        waiting: queue.WaitQueue,
        held: leases.PartitionLeases,
        bucket: home_bucket.HomeBucket,
        now_ms: float,
    ) -> None:
        whole = bucket.burst * held.share >= 1.0
        for row in list(waiting.borrowers.values()):
            # Two homes that can each hold a part of one token only would wait for each other.
            if waiting.entries and (whole or row.ask.borrower >= self._homes.own_scope):
                continue
            least = min(row.ask.need, _LEAST_LOAN)
            own, life_ms = _longest(held, bucket, now_ms, needed=least)
            if own < least:
                continue
            count = min(own, row.ask.need)
            del waiting.borrowers[row.holder]
            loan = home_bucket.GrantRow(own=count, until_ms=now_ms + life_ms, parts=[])
            self._grant(row, bucket, count, loan)

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

    def _borrow(
        self,
        workspace: ids.WorkspaceId,
        waiting: queue.WaitQueue,
        bucket: home_bucket.HomeBucket,
        now_ms: float,
    ) -> None:
        if waiting.borrow_number is not None:
            self._time_out_borrow(waiting, now_ms)
        missing = waiting.needed - bucket.held - bucket.borrowed.total(now_ms=now_ms)
        if not waiting.entries or missing <= 0 or waiting.borrow_number is not None:
            return
        if now_ms < waiting.borrow_again_ms:
            return
        partners = [
            host
            for host in self._homes.homes(partitions.partition_of(workspace))
            if host != self._context.host
        ]
        if not partners:
            return
        partner = partners[waiting.next_partner % len(partners)]
        number = next(self._numbers)
        waiting.borrow_number = number
        self._borrows[number] = _Borrow(workspace=workspace, partner=partner, sent_ms=now_ms)
        ask = messages.Ask(
            number=number,
            workspace=workspace,
            need=missing,
            extra=0.0,
            patience_ms=_BORROW_PATIENCE_MS,
            borrower=self._homes.own_scope,
        )
        self._context.send(partner, ask)

    def _time_out_borrow(self, waiting: queue.WaitQueue, now_ms: float) -> None:
        borrow = self._borrows.get(waiting.borrow_number)
        if borrow is None or now_ms - borrow.sent_ms >= _BORROW_TIMEOUT_MS:
            self._borrows.pop(waiting.borrow_number, None)
            waiting.borrow_number = None
            waiting.next_partner += 1
            self._pause_borrowing(waiting, now_ms)

    def _pause_borrowing(self, waiting: queue.WaitQueue, now_ms: float) -> None:
        # Scopes that are all over their share would ask each other without end.
        doubled = max(_BORROW_PAUSE_MS, 2.0 * waiting.borrow_pause_ms)
        waiting.borrow_pause_ms = min(doubled, _BORROW_PAUSE_MAX_MS)
        waiting.borrow_again_ms = now_ms + waiting.borrow_pause_ms

    def _keep_borrowed(self, grant: messages.Grant, borrow: _Borrow, now_ms: float) -> None:
        until_ms = borrow.sent_ms + grant.life_ms * (1.0 - CLOCK_DRIFT)
        held = self._partitions.get(partitions.partition_of(borrow.workspace))
        spec = self._records.workspace(borrow.workspace)
        if until_ms <= now_ms:
            return
        if held is None or held.draining or spec is None:
            self._send_settle(borrow.partner, grant.number, grant.count)
            return
        lot = lots.Lot(
            home=borrow.partner, number=grant.number, left=grant.count, until_ms=until_ms
        )
        self._bucket(held, borrow.workspace, spec, now_ms).borrowed.add(lot)
        self._borrowing.add(borrow.workspace)

    def _settle(
        self,
        workspace: ids.WorkspaceId,
        key: home_bucket.GrantKey,
        unspent: float,
        now_ms: float,
    ) -> None:
        held = self._partitions.get(partitions.partition_of(workspace))
        bucket = None if held is None else held.buckets.get(workspace)
        if held is None or bucket is None:
            return
        held.settle(now_ms=now_ms)
        bucket.advance(now_ms=now_ms, share=held.share)
        bucket.settle(key, unspent=unspent, share=held.share)
        self._settle_borrowed(bucket)

    def _drop_short_lots(self, bucket: home_bucket.HomeBucket, now_ms: float) -> None:
        for lot in bucket.borrowed.remove_before(until_ms=now_ms + _LEAST_LIFE_MS):
            self._send_settle(lot.home, lot.number, lot.left)

    def _settle_borrowed(self, bucket: home_bucket.HomeBucket) -> None:
        for lot in bucket.borrowed.remove_spent():
            self._send_settle(lot.home, lot.number, 0.0)

    def _return_borrowed(self, now_ms: float) -> None:
        for workspace in list(self._borrowing):
            held = self._partitions.get(partitions.partition_of(workspace))
            bucket = None if held is None else held.buckets.get(workspace)
            if bucket is None:
                self._borrowing.discard(workspace)
                continue
            self._drop_short_lots(bucket, now_ms)
            bucket.borrowed.purge(now_ms=now_ms)
            if not bucket.borrowed:
                self._borrowing.discard(workspace)

    def _release_drained(self, now_ms: float) -> None:
        freed = 0
        for partition, held in list(self._partitions.items()):
            if not held.draining:
                continue
            held.settle(now_ms=now_ms)
            for bucket in held.buckets.values():
                bucket.advance(now_ms=now_ms, share=held.share)
                bucket.borrowed.purge(now_ms=now_ms)
            if not held.outstanding:
                freed |= 1 << partition
                del self._partitions[partition]
        if freed:
            release = messages.Release(
                round=self._round, incarnation=self._context.incarnation, partitions=freed
            )
            for row in self._homes.lenders():
                self._context.send(row.host, release)

    def _forget(self, now_ms: float) -> None:
        for held in self._partitions.values():
            held.settle(now_ms=now_ms)
            held.forget_idle(now_ms=now_ms, idle_ms=_FORGET_MS)
        self._granted = {
            key: workspace
            for key, workspace in self._granted.items()
            if self._is_open(key, workspace)
        }

    def _is_open(self, key: home_bucket.GrantKey, workspace: ids.WorkspaceId) -> bool:
        held = self._partitions.get(partitions.partition_of(workspace))
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
        grant = messages.Grant(
            number=row.ask.number,
            state=messages.GrantState.QUEUED,
            retry_after_ms=waiting.needed / spec.rate_per_s * _MS_PER_S,
        )
        self._context.send(row.holder, grant)

    def _say_none(self, row: queue.AskRow) -> None:
        grant = messages.Grant(number=row.ask.number, state=messages.GrantState.GRANTED)
        self._context.send(row.holder, grant)

    def _send_settle(self, home: ids.HostId, number: int, unspent: float) -> None:
        settlement = messages.Settlement(number=number, unspent=unspent)
        self._context.send(home, messages.Settle(grants=(settlement,)))

    def _log(self, partition: int, choice: str, reason: str) -> None:
        self._context.decide(
            ring.DecisionKind.LEASE, choice, reason, subject=f"limits-partition-{partition}"
        )


def _longest(
    held: leases.PartitionLeases,
    bucket: home_bucket.HomeBucket,
    now_ms: float,
    *,
    needed: float,
) -> tuple[float, float]:
    """Return the own tokens that may be granted, and the longest life that backs enough."""
    room = 0.0
    for life_ms in _GRANT_LIVES_MS:
        room = bucket.room(backed_share=held.share_until(now_ms + life_ms))
        if room >= needed - lots.EPSILON:
            return room, life_ms
    return room, _GRANT_LIVES_MS[-1]
