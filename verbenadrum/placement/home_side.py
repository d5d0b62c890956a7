"""Home of one pool part: grants slot leases and gathers the evidence about its servers."""

import collections
import math
from collections.abc import Callable, Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.health import ejection, evidence, latency
from verbenadrum.messages import base
from verbenadrum.placement import budget, fair_queue, gate, messages, parts, poison, servers

__all__ = ["PartHome"]

_LEASE_MS = 3_000.0
_QUEUE_PER_SLOT = 8
_MIN_QUEUE = 8
_ELSEWHERE_AFTER_MS = 250.0
# A request with a target waits for a slot for at most this part of what is left of it, so that
# its answer still comes in time, and one that will not get a slot is refused while its caller can
# come back.
_WAIT_SHARE = 0.35
# One that was let in and waits for longer than was expected still gets a slot while this many
# service times are left of its target.
_LAST_START = 1.5
# A target of less than this many service times counts for nothing.
_REACHABLE_TARGET = 1.5
# With a target, the other region is asked when the wait here is longer than the way there.
_ELSEWHERE_TARGET_MS = 80.0
# Callers that are refused together must not come back together.
_RETRY_AFTER_MS = 120.0
_RETRY_SPREAD_MS = 240.0
_FIRST_SERVICE_MS = 50.0
_SERVICE_SMOOTHING = 0.05
_HEDGE_QUANTILE = 0.98
_HEDGE_MEDIANS = 3.0
_HEDGE_SAMPLES = 100
_HEDGE_LOAD = 0.7
_DRAIN_PROBE_MS = 5_000.0
_PROBE_MS = 1_000.0
_HOUSEKEEPING_MS = 1_000.0
_SUSPECTED_RETRY_MS = 1_000.0
_UNSURE_MS = 1_000.0
# A home that refuses, or sees fail, more than this part of its asks finds out which of the servers
# that it leaves alone are well again.
_PRESSED_FROM = 0.12
_UNSERVED_SMOOTHING = 0.03
# Ends of a request that a server took.
_ENDS = (
    ports.OutcomeKind.OK,
    ports.OutcomeKind.SERVER_ERROR,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
    ports.OutcomeKind.TIMEOUT,
)
# Each costs a look at every server.
_MOST_PASSED_OVER = 3
# A server that gives up a request at its deadline says so this long before it, at most.
_TIME_UP_MS = 50.0
_PROBE_OBSERVER = ids.HostId("")
# Outcomes that show that a server lives.
_ANSWERS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR, ports.OutcomeKind.SHED)


class _Waiter(msgspec.Struct, kw_only=True):
    observer: ids.HostId
    ask: messages.PlaceAsk
    patience_ms: float
    deadline_ms: float
    arrived_ms: float


class PartHome:
    """State of a pool part on the host that is its home.

    Parameters
    ----------
    context : Context
        Clock, random numbers and decisions of this host.
    part : Part
        The servers and the pool's specification.
    judge : Judge
        Weighs the evidence.
    ledger : PoisonLedger
        The host's memory of deaths and good completions.
    permits : callable
        Given an allowance, returns how many ejections may be held now.
    weight : callable
        Returns a workspace's weight.
    regions : callable
        Returns the number of parts of the pool.
    send : callable
        Sends a message to a host.
    reserve : callable
        Asks the other regions' homes for their allowance of a fingerprint.
    spread : callable
        Tells the other candidates a `messages.PoisonNotice`.
    share : callable
        Returns this home's part of the repeats that the service's homes may keep, 0 to 1.
    retries : RetryLimits
        How many requests may be repeated.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        part: parts.Part,
        judge: evidence.Judge,
        ledger: poison.PoisonLedger,
        permits: Callable[[int], int],
        weight: Callable[[str], float],
        regions: Callable[[], int],
        send: Callable[[ids.HostId, base.Message], None],
        reserve: Callable[[str], None],
        spread: Callable[[messages.PoisonNotice], None],
        share: Callable[[], float],
        retries: budget.RetryLimits = budget.DEFAULT_LIMITS,
    ) -> None:
        self._context = context
        self._part = part
        self._judge = judge
        self._ledger = ledger
        self._regions = regions
        self._send = send
        self._reserve = reserve
        self._spread = spread
        self._ejector = ejection.Ejector(context=context, judge=judge, permits=permits)
        self._servers = servers.ServerTable(
            ejector=self._ejector,
            rng=context.rng,
            doubt=lambda server: judge.doubt(server, context.now_ms()),
        )
        self._servers.sync(part)
        self._gate = gate.PoisonGate(ledger=ledger, region=part.region)
        self._queue: fair_queue.FairQueue[_Waiter] = fair_queue.FairQueue(
            weight=weight, now_ms=context.now_ms
        )
        self._weight = weight
        self._budget = budget.RetryPool(limits=retries, share=share)
        # Servers that died, and when; none of them has answered anything since.
        self._died_ms: dict[ids.ServerId, float] = {}
        self._held_back: collections.deque[_Waiter] = collections.deque()
        self._leases: dict[ids.LeaseId, servers.LeaseRow] = {}
        self._asks: dict[tuple[ids.HostId, int], messages.PlaceAnswer | None] = {}
        self._latencies = latency.LatencyHistogram()
        self._service_ms = _FIRST_SERVICE_MS
        self._serial = 0
        self._hedge_ms = 0.0
        self._unserved_share = 0.0
        self._serving = False
        self._serve_again = False
        self._housekeeping_ms = -math.inf
        self._drain_probe_ms = -math.inf
        self._made_ms = context.now_ms()
        self.last_asked_ms = self._made_ms

    @property
    def ejector(self) -> ejection.Ejector:
        """Health states of the servers."""
        return self._ejector

    @property
    def server_table(self) -> servers.ServerTable:
        """Slots and connections of the servers."""
        return self._servers

    @property
    def leases(self) -> dict[ids.LeaseId, servers.LeaseRow]:
        """Slots in use; the caller must not change the mapping."""
        return self._leases

    @property
    def budget(self) -> budget.RetryPool:
        """Repeats that this home may still grant."""
        return self._budget

    @property
    def waiting(self) -> int:
        """Number of asks that wait for a slot."""
        return len(self._queue) + len(self._held_back)

    @property
    def idle(self) -> bool:
        """Whether nothing would be lost if the host were no longer home."""
        return not self._leases and not self.waiting

    def sync(self, part: parts.Part) -> None:
        """Follow the record."""
        if part is not self._part:
            self._part = part
            self._servers.sync(part)

    def ask(self, observer: ids.HostId, ask: messages.PlaceAsk) -> None:
        """Grant, queue or refuse an entry host's ask; a repeated one gets the same answer."""
        now_ms = self._context.now_ms()
        self.last_asked_ms = now_ms
        known = (observer, ask.number)
        if known in self._asks:
            again = self._asks[known] or _answer(ask, messages.PlaceState.QUEUED, "queued")
            self._send(observer, again)
            return
        self._budget.add(ask.tokens, now_ms=now_ms)
        patience_ms = self._patience_ms(ask)
        waiter = _Waiter(
            observer=observer,
            ask=ask,
            patience_ms=patience_ms,
            deadline_ms=now_ms + max(patience_ms, self._latest_start_ms(ask)),
            arrived_ms=now_ms,
        )
        if not self._pass_gate(waiter):
            return
        if not self._within_budget(ask, now_ms):
            self._refuse(waiter, "retry-budget-spent", self._come_back_ms(0.0))
            return
        if ask.hedge and self._loaded():
            self._refuse(waiter, "pool-loaded", self._hedge_ms)
            return
        if not len(self._queue) and self._grant(waiter):
            self._queue.charge(ask.workspace)
            return
        self._enqueue(waiter)

    def release(self, observer: ids.HostId, message: messages.Release) -> None:
        """Free a slot and take in the outcome of its attempt."""
        lease = self._leases.get(ids.LeaseId(message.lease))
        if lease is None:
            return
        self._close(lease)
        kind = ports.OutcomeKind(message.kind)
        if message.draining:
            self._note_draining(lease.server)
        unused = kind is ports.OutcomeKind.CANCELLED and not message.bytes_sent
        if not unused:
            self._learn(lease, kind, message.latency_ms)
        self._note_poison(lease, kind, message.server_gone)
        self._serve()

    def withdraw(self, observer: ids.HostId, message: messages.Withdraw) -> None:
        """Forget an ask that waits; a slot that is on its way comes back by its release."""
        known = (observer, message.number)
        if self._asks.get(known, True) is not None:
            return
        del self._asks[known]

        def withdrawn(waiter: _Waiter) -> bool:
            return (waiter.observer, waiter.ask.number) == known

        self._queue.remove(withdrawn)
        self._held_back = collections.deque(
            waiter for waiter in self._held_back if not withdrawn(waiter)
        )

    def still_waiting(self, message: messages.Waiting) -> None:
        """Take in how long an entry host has waited for its answers."""
        now_ms = self._context.now_ms()
        for name, waited_ms in zip(message.leases, message.waited_ms, strict=False):
            lease = self._leases.get(ids.LeaseId(name))
            if lease is not None:
                lease.heard_ms = now_ms
                lease.waited_ms = waited_ms

    def adopt(self, observer: ids.HostId, message: messages.Holding) -> None:
        """Take over the leases that an entry host holds from an earlier home."""
        now_ms = self._context.now_ms()
        for held in message.leases:
            if ids.LeaseId(held.lease) in self._leases:
                continue
            lease = servers.LeaseRow(
                lease=ids.LeaseId(held.lease),
                observer=observer,
                group=ids.DataCentreId(message.data_centre),
                number=-1,
                server=ids.ServerId(held.server),
                workspace=ids.WorkspaceId(held.workspace),
                fingerprint=held.fingerprint,
                started_ms=now_ms - held.waited_ms,
                heard_ms=now_ms,
                trusted=held.trusted,
            )
            self._open(lease)

    def lend(self, fingerprint: str) -> bool:
        """Return whether this part's allowance for a fingerprint may go to another region."""
        now_ms = self._context.now_ms()
        # A new home does not know yet what is under way.
        if now_ms - self._made_ms < _UNSURE_MS:
            return False
        return self._gate.lendable(fingerprint, regions=self._regions(), now_ms=now_ms)

    def reserved(self, fingerprint: str, granted: bool) -> None:
        """Take in another region's answer; without its allowance the waiting copies end."""
        self._gate.reserve_ended(fingerprint)
        if not granted:
            self._refuse_held_back(
                lambda item: item.ask.fingerprint == fingerprint,
                "poison-suspected",
                _SUSPECTED_RETRY_MS,
            )
        self._serve()

    def suspicion_changed(self, fingerprint: str) -> None:
        """Excuse the victims of a request that has turned out to be poison."""
        now_ms = self._context.now_ms()
        if self._ledger.suspicion(fingerprint, now_ms) is poison.Suspicion.POISON:
            for unit in self._ledger.units(fingerprint, now_ms).values():
                self._ejector.excuse(ids.ServerId(unit.server))
        self._serve()

    def on_backing(self) -> None:
        """Eject at once where an ejection had only been waiting for its permit."""
        if self._ejector.permit_missing:
            self._review(self._context.now_ms())

    def on_tick(self) -> None:
        """Review the servers, end silent leases and shed what can no longer be served."""
        now_ms = self._context.now_ms()
        self._end_silent(now_ms)
        self._review(now_ms)
        self._shed(now_ms)
        if now_ms - self._housekeeping_ms >= _HOUSEKEEPING_MS:
            self._housekeeping_ms = now_ms
            self._servers.forget_idle(now_ms)
            self._queue.forget_idle()
            self._hedge_ms = self._hedge_delay()
        self._serve()

    def take_probes(self) -> Iterator[ports.ProbeOrder]:
        """Yield the probes to send now; each takes a slot."""
        now_ms = self._context.now_ms()
        due = self._ejector.due_probes()
        if self._servers.draining() and now_ms - self._drain_probe_ms >= _DRAIN_PROBE_MS:
            self._drain_probe_ms = now_ms
            due += sorted(self._servers.draining())
        addresses = {entry.server: entry.address for entry in self._part.servers}
        for server in due:
            if server not in addresses:
                continue
            lease = self._new_lease(server, _PROBE_OBSERVER, "", "", number=-1)
            self._open(lease)
            yield ports.ProbeOrder(
                lease=lease.lease,
                service=self._part.service,
                server=server,
                address=addresses[server],
                path=self._part.spec.probe_path,
                timeout_ms=_PROBE_MS,
            )

    def probed(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Take in a probe's outcome."""
        lease = self._leases.get(order.lease)
        if lease is not None:
            self._close(lease)
        passed = outcome.kind is ports.OutcomeKind.OK
        if passed:
            self._died_ms.pop(order.server, None)
        self._context.decide(
            ring.DecisionKind.OUTCOME,
            order.server,
            "probe-passed" if passed else "probe-failed",
            subject=order.server,
            detail={"latency_ms": round(outcome.latency_ms, 3)},
        )
        if passed and not outcome.draining and order.server in self._servers.draining():
            self._servers.undrain(order.server)
        self._ejector.probed(order.server, passed)
        self._serve()

    def _pass_gate(self, waiter: _Waiter) -> bool:
        """Return whether a waiter may go on; else it is refused or held back."""
        now_ms = self._context.now_ms()
        fingerprint = waiter.ask.fingerprint
        passage = self._gate.passage(
            fingerprint, regions=self._regions(), now_ms=now_ms, hedge=waiter.ask.hedge
        )
        if passage is gate.Passage.OPEN:
            return True
        if passage is gate.Passage.POISON:
            self._refuse(waiter, "poison-request")
            return False
        self._held_back.append(waiter)
        self._queued(waiter, "unproven-request")
        if passage is gate.Passage.RESERVE and self._gate.reserve_due(fingerprint, now_ms):
            self._reserve(fingerprint)
        return False

    def _within_budget(self, ask: messages.PlaceAsk, now_ms: float) -> bool:
        """Return whether an ask is a first attempt, or one more repeat within the budget."""
        if ask.counted or not (ask.attempt or ask.hedge):
            return True
        return self._budget.draw(now_ms=now_ms)

    def _patience_ms(self, ask: messages.PlaceAsk) -> float:
        """Return how long a request may wait for a slot."""
        if not ask.target_ms:
            return ask.remaining_ms
        left_ms = ask.target_ms
        if left_ms < _REACHABLE_TARGET * self._service_ms:
            # The target cannot be met at all, but the request can still be served.
            left_ms = ask.remaining_ms
        return max(0.0, min(_WAIT_SHARE * left_ms, ask.remaining_ms - self._service_ms))

    def _latest_start_ms(self, ask: messages.PlaceAsk) -> float:
        """Return after how long a request can still be answered within its target."""
        return min(ask.target_ms, ask.remaining_ms) - _LAST_START * self._service_ms

    def _come_back_ms(self, wait_ms: float) -> float:
        """Return when a refused caller finds room: after the wait, spread over a while."""
        return wait_ms + _RETRY_AFTER_MS + _RETRY_SPREAD_MS * self._context.rng.random()

    def _enqueue(self, waiter: _Waiter) -> None:
        workspace = waiter.ask.workspace
        slots = max(1, self._servers.total_slots)
        rank = waiter.ask.priority
        ahead = self._queue.waiting(workspace, rank)
        wait_ms = self._expected_wait_ms(workspace, rank, slots)
        elsewhere_ms = _ELSEWHERE_TARGET_MS if waiter.ask.target_ms else _ELSEWHERE_AFTER_MS
        patience_ms = waiter.patience_ms
        come_back_ms = self._come_back_ms(max(0.0, wait_ms - patience_ms))
        if not self._servers.live:
            self._refuse(waiter, "no-eligible-server", self._come_back_ms(0.0))
        elif not waiter.ask.last and wait_ms > max(elsewhere_ms, patience_ms):
            self._reply(waiter, messages.PlaceState.ELSEWHERE, "other-region-sooner")
        elif waiter.ask.far and waiter.ask.target_ms:
            # The way there and back keeps a slot from the callers of this region.
            self._refuse(waiter, "no-free-slot-for-far", come_back_ms)
        elif wait_ms > patience_ms:
            self._refuse(waiter, "deadline-unreachable", come_back_ms)
        elif ahead >= max(_MIN_QUEUE, slots * _QUEUE_PER_SLOT):
            self._refuse(waiter, "queue-full", come_back_ms)
        else:
            self._queue.push(workspace, waiter, rank=rank)
            sooner = not waiter.ask.last and wait_ms > elsewhere_ms
            self._queued(waiter, "queued", elsewhere=sooner)

    def _expected_wait_ms(self, workspace: str, rank: int, slots: int) -> float:
        ahead = self._queue.waiting(workspace, rank)
        own = self._weight(workspace)
        others = self._queue.weights(rank) - (own if ahead else 0.0)
        return (ahead + 1) * self._service_ms / slots * (own + others) / own

    def _grant(self, waiter: _Waiter) -> bool:
        """Give a waiter a slot if a server has one."""
        now_ms = self._context.now_ms()
        ask = waiter.ask
        trial = ask.idempotent and not ask.attempt
        suspicion = self._ledger.suspicion(ask.fingerprint, now_ms)
        suspected = suspicion is poison.Suspicion.SUSPECTED
        pressed = self._unserved_share > _PRESSED_FROM
        entry = self._servers.choose(
            waiter.observer,
            ask.excluded,
            now_ms,
            trial=trial,
            suspected=suspected,
            pressed=pressed,
        )
        if entry is None:
            return False
        server = ids.ServerId(entry.server)
        lease = self._new_lease(
            server, waiter.observer, ask.workspace, ask.fingerprint, number=ask.number
        )
        lease.group = ids.DataCentreId(ask.data_centre)
        lease.trusted = suspicion is poison.Suspicion.GOOD
        lease.suspected = suspected
        lease.recheck = pressed and self._servers.is_left_alone(entry, trial=trial)
        lease.deadline_ms = now_ms + ask.remaining_ms
        if ask.repeatable:
            lease.repeat_until_ms = lease.deadline_ms
        self._open(lease)
        answer = _answer(
            ask,
            messages.PlaceState.GRANTED,
            "least-loaded" if now_ms == waiter.arrived_ms else "fair-turn",
            server=server,
            address=entry.address,
            lease=lease.lease,
            hedge_after_ms=self._hedge_ms if ask.idempotent else 0.0,
            trusted=lease.trusted,
        )
        self._asks[waiter.observer, ask.number] = answer
        self._send(waiter.observer, answer)
        return True

    def _serve(self) -> None:
        """Give free slots to the waiters; a call from within another only repeats that one."""
        if self._serving:
            self._serve_again = True
            return
        self._serving = self._serve_again = True
        try:
            while self._serve_again:
                self._serve_again = False
                self._recheck_held_back()
                self._serve_queue()
        finally:
            self._serving = False

    def _serve_queue(self) -> None:
        """Serve waiters in turn; a few that no free server suits do not hold up the next."""
        passed_over: list[_Waiter] = []
        while len(self._queue) and len(passed_over) <= _MOST_PASSED_OVER:
            if not self._servers.any_free():
                break
            waiter = self._queue.pop()
            now_ms = self._context.now_ms()
            if waiter.deadline_ms <= now_ms:
                self._refuse(waiter, "waited-too-long", self._come_back_ms(0.0))
                continue
            # Another copy of the request may have crashed a server in the meantime.
            if not self._pass_gate(waiter):
                continue
            if not self._grant(waiter):
                passed_over.append(waiter)
        for waiter in reversed(passed_over):
            ask = waiter.ask
            self._queue.put_back(ask.workspace, waiter, rank=ask.priority)

    def _recheck_held_back(self) -> None:
        waiters, self._held_back = self._held_back, collections.deque()
        for waiter in waiters:
            # One copy may open the gate for one other only, so its slot is given at once.
            if not self._pass_gate(waiter):
                continue
            if self._grant(waiter):
                self._queue.charge(waiter.ask.workspace)
            else:
                ask = waiter.ask
                self._queue.push(ask.workspace, waiter, rank=ask.priority, front=True)

    def _shed(self, now_ms: float) -> None:
        for waiter in self._queue.remove(lambda item: item.deadline_ms <= now_ms):
            self._refuse(waiter, "waited-too-long", self._come_back_ms(0.0))
        self._refuse_held_back(lambda item: item.deadline_ms <= now_ms, "waited-too-long")

    def _refuse_held_back(
        self, unwanted: Callable[[_Waiter], bool], reason: str, retry_after_ms: float = 0.0
    ) -> None:
        refused = [waiter for waiter in self._held_back if unwanted(waiter)]
        if not refused:
            return
        self._held_back = collections.deque(
            waiter for waiter in self._held_back if not unwanted(waiter)
        )
        for waiter in refused:
            self._refuse(waiter, reason, retry_after_ms)

    def _queued(self, waiter: _Waiter, reason: str, *, elsewhere: bool = False) -> None:
        known = (waiter.observer, waiter.ask.number)
        if known not in self._asks:
            self._asks[known] = None
            states = messages.PlaceState
            state = states.QUEUED_OR_ELSEWHERE if elsewhere else states.QUEUED
            self._send(waiter.observer, _answer(waiter.ask, state, reason))

    def _refuse(self, waiter: _Waiter, reason: str, retry_after_ms: float = 0.0) -> None:
        now_ms = self._context.now_ms()
        self._context.decide(
            ring.DecisionKind.PLACE,
            "no-slot",
            reason,
            subject=self._part.service,
            detail={
                "entry": waiter.observer,
                "ask": waiter.ask.number,
                "workspace": waiter.ask.workspace,
                "attempt": waiter.ask.attempt,
                "waited_ms": round(now_ms - waiter.arrived_ms, 1),
                "patience_ms": round(waiter.patience_ms, 1),
                "service_ms": round(self._service_ms, 1),
                "slots": self._servers.total_slots,
                "in_use": self._servers.in_use,
                "waiting": len(self._queue),
                "retry_tokens": round(self._budget.tokens(now_ms=now_ms), 1),
            },
        )
        self._count_unserved(1.0)
        self._reply(waiter, messages.PlaceState.REFUSED, reason, retry_after_ms)

    def _count_unserved(self, unserved: float) -> None:
        self._unserved_share += (unserved - self._unserved_share) * _UNSERVED_SMOOTHING

    def _count_end(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> None:
        """Count the end of a request; a failed attempt is none while another one may follow."""
        failed = kind is not ports.OutcomeKind.OK
        if failed and self._context.now_ms() + self._service_ms < lease.repeat_until_ms:
            return
        self._count_unserved(float(failed))

    def _reply(self, waiter: _Waiter, state: int, reason: str, retry_after_ms: float = 0.0) -> None:
        self._asks.pop((waiter.observer, waiter.ask.number), None)
        answer = _answer(waiter.ask, state, reason, retry_after_ms=retry_after_ms)
        self._send(waiter.observer, answer)

    def _new_lease(
        self,
        server: ids.ServerId,
        observer: ids.HostId,
        workspace: str,
        fingerprint: str,
        *,
        number: int,
    ) -> servers.LeaseRow:
        now_ms = self._context.now_ms()
        self._serial += 1
        origin = f"{self._context.host}:{self._context.incarnation}"
        name = f"{origin}:{self._part.service}:{self._part.region}:{self._serial}"
        return servers.LeaseRow(
            lease=ids.LeaseId(name),
            observer=observer,
            group=self._context.data_centre,
            number=number,
            server=server,
            workspace=ids.WorkspaceId(workspace),
            fingerprint=fingerprint,
            started_ms=now_ms,
            heard_ms=now_ms,
        )

    def _open(self, lease: servers.LeaseRow) -> None:
        self._leases[lease.lease] = lease
        self._servers.take(lease, self._context.now_ms())
        self._gate.start(lease)

    def _close(self, lease: servers.LeaseRow) -> None:
        del self._leases[lease.lease]
        self._asks.pop((lease.observer, lease.number), None)
        self._servers.give_back(lease)
        self._gate.end(lease)
        held_ms = self._context.now_ms() - lease.started_ms
        self._service_ms += (held_ms - self._service_ms) * _SERVICE_SMOOTHING

    def _learn(self, lease: servers.LeaseRow, kind: ports.OutcomeKind, latency_ms: float) -> None:
        # A pool does not stay pressed by what it spends on finding servers that are well again.
        if kind in _ENDS and not lease.recheck:
            self._count_end(lease, kind)
        if kind is ports.OutcomeKind.OK:
            self._latencies.add(latency_ms)
        if lease.server in self._ejector.rows and self._ejector.excused(lease.server):
            return
        self._judge.ended(
            evidence.Evidence(
                server=lease.server,
                observer=lease.observer,
                group=lease.group,
                kind=self._evidence_kind(lease, kind),
                latency_ms=latency_ms,
                at_ms=self._context.now_ms(),
            )
        )

    def _evidence_kind(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> ports.OutcomeKind:
        """Return how an end counts: an error at the deadline says only that time was up."""
        in_time = self._context.now_ms() < lease.deadline_ms - _TIME_UP_MS
        if kind is not ports.OutcomeKind.SERVER_ERROR or in_time:
            return kind
        return ports.OutcomeKind.TIMEOUT

    def _note_poison(
        self, lease: servers.LeaseRow, kind: ports.OutcomeKind, server_gone: bool
    ) -> None:
        now_ms = self._context.now_ms()
        if kind in _ANSWERS:
            self._died_ms.pop(lease.server, None)
        if kind is ports.OutcomeKind.OK and lease.fingerprint:
            if self._ledger.clear(lease.fingerprint, now_ms):
                self._spread(_cleared(lease.fingerprint))
        elif poison.is_death(kind, server_gone=server_gone) and not self._was_dead(lease):
            self._died_ms.setdefault(lease.server, now_ms)
            if lease.fingerprint:
                self._blame(lease, now_ms)

    def _was_dead(self, lease: servers.LeaseRow) -> bool:
        """Return whether a server had died before a request was sent to it.

        What stands before a server may take connections in its place. A suspected request is
        blamed all the same, since it may have been the first at a server that has come back.
        """
        died_ms = self._died_ms.get(lease.server, math.inf)
        return lease.started_ms > died_ms and not lease.suspected

    def _blame(self, lease: servers.LeaseRow, now_ms: float) -> None:
        """Remember a server's death under a request, here and at every host that may be home."""
        unit = poison.Unit(
            region=self._part.region,
            server=lease.server,
            borrower="",
            trusted=lease.trusted,
            at_ms=now_ms,
        )
        self._ledger.add(lease.fingerprint, lease.lease, unit)
        self.suspicion_changed(lease.fingerprint)
        self._spread(
            messages.PoisonNotice(
                fingerprint=lease.fingerprint,
                unit=lease.lease,
                region=self._part.region,
                server=lease.server,
                borrower="",
                trusted=lease.trusted,
            )
        )

    def _note_draining(self, server: ids.ServerId) -> None:
        if self._servers.drain(server):
            self._drain_probe_ms = self._context.now_ms()
            self._context.decide(
                ring.DecisionKind.EJECT, "no-new-work", "server-draining", subject=server
            )

    def _review(self, now_ms: float) -> None:
        flights = [
            evidence.Flight(
                server=lease.server,
                observer=lease.observer,
                group=lease.group,
                waited_ms=lease.waited_ms,
            )
            for lease in self._leases.values()
            if lease.waited_ms > 0.0
        ]
        verdicts = self._judge.review(now_ms=now_ms, flights=flights)
        for verdict in verdicts:
            if verdict.kind is evidence.VerdictKind.PATH:
                self._avoid_paths(verdict, now_ms)
        self._ejector.consider(verdicts)
        self._ejector.review()

    def _avoid_paths(self, verdict: evidence.Verdict, now_ms: float) -> None:
        for observer in verdict.observers:
            if self._servers.avoid_pair(observer, verdict.server, now_ms):
                self._context.decide(
                    ring.DecisionKind.EJECT,
                    "path-avoided",
                    verdict.reason,
                    subject=verdict.server,
                    detail={"observer": observer, "score": verdict.score},
                )

    def _end_silent(self, now_ms: float) -> None:
        silent = [lease for lease in self._leases.values() if now_ms - lease.heard_ms >= _LEASE_MS]
        for lease in silent:
            self._close(lease)
            self._context.decide(
                ring.DecisionKind.LEASE, lease.server, "entry-host-silent", subject=lease.lease
            )

    def _loaded(self) -> bool:
        return self._servers.in_use >= _HEDGE_LOAD * self._servers.total_slots

    def _hedge_delay(self) -> float:
        if self._latencies.total < _HEDGE_SAMPLES:
            return 0.0
        median_ms = self._latencies.quantile(0.5)
        return max(_HEDGE_MEDIANS * median_ms, self._latencies.quantile(_HEDGE_QUANTILE))


def _answer(
    ask: messages.PlaceAsk, state: int, reason: str, **fields: object
) -> messages.PlaceAnswer:
    return messages.PlaceAnswer(number=ask.number, state=state, reason=reason, **fields)


def _cleared(fingerprint: str) -> messages.PoisonNotice:
    return messages.PoisonNotice(
        fingerprint=fingerprint, unit="", region="", server="", borrower="", trusted=False
    )
