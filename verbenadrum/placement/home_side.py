"""Home of one pool part: the host that grants leases on the slots of the part's servers.

A part is the servers of a pool in one region. Entry hosts send their requests for slots to the
part's home, which queues, grants or refuses them and judges the servers' health by the outcomes.
"""

import collections
import math
from collections.abc import Callable, Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.health import ejection, evidence, latency
from verbenadrum.messages import base
from verbenadrum.placement import (
    budget,
    fair_queue,
    gate,
    messages,
    parts,
    poison,
    server_rates,
    servers,
    signals,
)

__all__ = ["PartHome"]

_LEASE_TIMEOUT_MS = 3_000.0
_MAX_QUEUED_PER_SLOT = 8
_MIN_QUEUE_LIMIT = 8
# Bounds the estimated wait while no slot can be used.
_MIN_USABLE_SLOTS = 0.05
# A request is tried in another region once its expected wait here exceeds this.
_OTHER_REGION_WAIT_MS = 250.0
# A request with a target latency waits for a slot for at most this fraction of the time left. Its
# response can then still meet the target, and a refusal leaves its caller time to retry.
_MAX_WAIT_FRACTION = 0.35
# A queued request that waits longer than estimated still gets a slot while at least this many mean
# service times are left of its target.
_LATEST_START_SERVICE_TIMES = 1.5
# A target shorter than this many mean service times cannot be met and is ignored.
_MIN_TARGET_SERVICE_TIMES = 1.5
# With a target, it is tried there once the wait here exceeds the latency of reaching that region.
_OTHER_REGION_WAIT_WITH_TARGET_MS = 80.0
# The jitter keeps callers that are refused together from retrying together.
_RETRY_AFTER_BASE_MS = 120.0
_RETRY_AFTER_JITTER_MS = 240.0
_INITIAL_SERVICE_MS = 50.0
_SERVICE_SMOOTHING = 0.05
_HEDGE_QUANTILE = 0.98
_HEDGE_MEDIAN_MULTIPLE = 3.0
_MIN_HEDGE_SAMPLES = 100
_HEDGE_UTILIZATION_LIMIT = 0.7
_DRAIN_PROBE_INTERVAL_MS = 5_000.0
_PROBE_TIMEOUT_MS = 1_000.0
_CLEANUP_INTERVAL_MS = 1_000.0
_SUSPECTED_RETRY_AFTER_MS = 1_000.0
_LEASE_RECOVERY_MS = 1_000.0
# Once more than this fraction of the requests is refused or fails, the home enters recovery mode:
# it sends requests to servers that are out of rotation, to find those that have recovered.
_RECOVERY_UNSERVED_FRACTION = 0.12
_UNSERVED_SMOOTHING = 0.03
# Outcomes of attempts that the backend server accepted.
_ACCEPTED_OUTCOMES = (
    ports.OutcomeKind.OK,
    ports.OutcomeKind.SERVER_ERROR,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
    ports.OutcomeKind.TIMEOUT,
)
# Bounds the work of one pass: each skipped waiter costs a scan of all servers.
_MAX_SKIPPED_WAITERS = 3
# A server that aborts a request because of its deadline reports the error at most this long before
# the deadline.
_DEADLINE_ERROR_MARGIN_MS = 50.0
_PROBE_ENTRY_HOST = ids.HostId("")
# Outcomes that show that the server process is running.
_RUNNING_OUTCOMES = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR, ports.OutcomeKind.SHED)


class _Waiter(msgspec.Struct, kw_only=True):
    """An entry host's request for a slot, which waits for a grant or a refusal.

    ``max_wait_ms`` limits the estimated wait when the request is queued. The request is refused if
    it still waits at ``deadline_ms``, a monotonic time that may be later than that limit.
    """

    entry_host: ids.HostId
    ask: messages.PlaceAsk
    max_wait_ms: float
    deadline_ms: float
    arrived_ms: float


class PartHome:
    """Slots, queue and server health of one pool part, on the host that is its home.

    Parameters
    ----------
    context : Context
        Clock, random numbers and decision log of this host.
    part : Part
        The servers and the pool's specification.
    judge : Judge
        Evaluates the evidence of server faults.
    ledger : PoisonLedger
        Crashes and successes by request fingerprint, shared by all parts on this host.
    signals : ServerSignals
        What servers have said of themselves, as this host knows it.
    permits : callable
        Given the number of ejections that the pool's floor allows, returns how many the other
        hosts permit this home to hold now.
    vote_share : callable
        Returns this home's fraction, 0 to 1, of the votes of the part's hosts.
    weight : callable
        Returns the fair-queueing weight of a workspace.
    part_count : callable
        Returns the number of parts of the pool.
    send : callable
        Sends a message to a host.
    request_allowance : callable
        Requests the other regions' crash allowances for a fingerprint.
    broadcast_notice : callable
        Sends a `messages.PoisonNotice` to the other hosts that may be home.
    retained_fraction : callable
        Returns this home's fraction, 0 to 1, of the retry tokens that all homes of the service may
        retain.
    retries : RetryLimits
        Limits of the service's retry budget.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        part: parts.Part,
        judge: evidence.Judge,
        ledger: poison.PoisonLedger,
        signals: signals.ServerSignals,
        permits: Callable[[int], int],
        vote_share: Callable[[], float],
        weight: Callable[[str], float],
        part_count: Callable[[], int],
        send: Callable[[ids.HostId, base.Message], None],
        request_allowance: Callable[[str], None],
        broadcast_notice: Callable[[messages.PoisonNotice], None],
        retained_fraction: Callable[[], float],
        retries: budget.RetryLimits = budget.DEFAULT_LIMITS,
    ) -> None:
        self._context = context
        self._part = part
        self._judge = judge
        self._ledger = ledger
        self._signals = signals
        self._part_count = part_count
        self._send = send
        self._request_allowance = request_allowance
        self._broadcast_notice = broadcast_notice
        self._ejector = ejection.Ejector(context=context, judge=judge, permits=permits)
        self._rates = server_rates.ServerRates(
            now_ms=context.now_ms, signals=signals, share=vote_share
        )
        self._servers = servers.ServerTable(
            ejector=self._ejector,
            rng=context.rng,
            signals=signals,
            rates=self._rates,
            fault_probability=lambda server: judge.fault_probability(server, context.now_ms()),
        )
        self._servers.sync(part)
        self._gate = gate.PoisonGate(ledger=ledger, region=part.region)
        self._queue: fair_queue.FairQueue[_Waiter] = fair_queue.FairQueue(
            weight=weight, now_ms=context.now_ms
        )
        self._weight = weight
        self._budget = budget.RetryPool(limits=retries, retained_fraction=retained_fraction)
        # Times of the crashes of servers that have not responded since.
        self._crashed_ms: dict[ids.ServerId, float] = {}
        # Requests that the poison gate holds back.
        self._held_back: collections.deque[_Waiter] = collections.deque()
        self._leases: dict[ids.LeaseId, servers.LeaseRow] = {}
        # Answers by entry host and request number; None while the request waits.
        self._answers: dict[tuple[ids.HostId, int], messages.PlaceAnswer | None] = {}
        self._latencies = latency.LatencyHistogram()
        self._service_ms = _INITIAL_SERVICE_MS
        self._serial = 0
        self._hedge_ms = 0.0
        self._unserved_fraction = 0.0
        self._granting = False
        self._grant_again = False
        self._cleaned_up_ms = -math.inf
        self._drain_probed_ms = -math.inf
        self._created_ms = context.now_ms()
        self.last_request_ms = self._created_ms

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
        """Leases on the slots in use; the caller must not change the mapping."""
        return self._leases

    @property
    def needs_votes(self) -> bool:
        """Whether ejections or the limits of servers depend on the votes of the other hosts."""
        if self._ejector.needs_permits or not self._signals.any_limited:
            return self._ejector.needs_permits
        return any(math.isfinite(self._signals.limit_per_s(each)) for each in self._servers.live)

    @property
    def budget(self) -> budget.RetryPool:
        """Retry tokens out of which this home grants retries and hedges."""
        return self._budget

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot, those held back by the poison gate included."""
        return len(self._queue) + len(self._held_back)

    @property
    def idle(self) -> bool:
        """Whether no slot is leased and no request waits, so that the part may be dropped."""
        return not self._leases and not self.waiting

    def sync(self, part: parts.Part) -> None:
        """Apply a changed pool record or server list."""
        if part is not self._part:
            self._part = part
            self._servers.sync(part)

    def request_slot(self, entry_host: ids.HostId, ask: messages.PlaceAsk) -> None:
        """Grant, queue or refuse an entry host's request for a slot.

        The call is idempotent: a request sent again gets the same answer while it waits or holds
        its lease.
        """
        now_ms = self._context.now_ms()
        self.last_request_ms = now_ms
        key = (entry_host, ask.number)
        if key in self._answers:
            answer = self._answers[key] or _answer(ask, messages.PlaceState.QUEUED, "queued")
            self._send(entry_host, answer)
            return
        self._budget.add(ask.retry_tokens, now_ms=now_ms)
        max_wait_ms = self._max_wait_ms(ask)
        waiter = _Waiter(
            entry_host=entry_host,
            ask=ask,
            max_wait_ms=max_wait_ms,
            deadline_ms=now_ms + max(max_wait_ms, self._max_wait_within_target_ms(ask)),
            arrived_ms=now_ms,
        )
        if not self._check_gate(waiter):
            return
        if not self._charge_budget(ask, now_ms):
            self._refuse(waiter, "retry-budget-spent", self._retry_delay_ms(0.0))
            return
        if ask.hedge and self._is_loaded():
            self._refuse(waiter, "pool-loaded", self._hedge_ms)
            return
        if not len(self._queue) and self._grant(waiter):
            self._queue.charge(ask.workspace)
            return
        self._enqueue(waiter)

    def release(self, entry_host: ids.HostId, message: messages.Release) -> None:
        """End a lease, free its slot and record the outcome of its attempt.

        An unknown lease is ignored.
        """
        lease = self._leases.get(ids.LeaseId(message.lease))
        if lease is None:
            return
        self._close_lease(lease)
        kind = ports.OutcomeKind(message.kind)
        if message.draining:
            self._mark_leaving(lease.server, message.started_wall_ms)
        if message.rest_ms > 0.0:
            until_ms = self._context.now_ms() + message.rest_ms
            self._servers.record_rest(entry_host, lease.server, until_ms)
        if message.limit_per_s >= 0.0:
            self._signals.record_limit(lease.server, message.started_wall_ms, message.limit_per_s)
        unused = kind is ports.OutcomeKind.CANCELLED and not message.bytes_sent
        if unused:
            self._rates.refund(lease.server)
        else:
            self._record_evidence(lease, kind, message.latency_ms)
        self._record_poison_evidence(lease, kind, message.refuses_connections)
        self._grant_free_slots()

    def withdraw(self, entry_host: ids.HostId, message: messages.Withdraw) -> None:
        """Remove a waiting request from the queue.

        A request that has been granted a slot is ignored: the entry host releases the lease when
        the grant arrives.
        """
        key = (entry_host, message.number)
        if self._answers.get(key, True) is not None:
            return
        del self._answers[key]

        def is_withdrawn(waiter: _Waiter) -> bool:
            return (waiter.entry_host, waiter.ask.number) == key

        self._queue.remove(is_withdrawn)
        self._held_back = collections.deque(
            waiter for waiter in self._held_back if not is_withdrawn(waiter)
        )

    def renew_leases(self, message: messages.Waiting) -> None:
        """Renew the leases in an entry host's heartbeat, with the times waited for a response."""
        now_ms = self._context.now_ms()
        for name, waited_ms in zip(message.leases, message.waited_ms, strict=False):
            lease = self._leases.get(ids.LeaseId(name))
            if lease is not None:
                lease.renewed_ms = now_ms
                lease.waited_ms = waited_ms

    def adopt_leases(self, entry_host: ids.HostId, message: messages.Holding) -> None:
        """Count the leases that an entry host was granted by an earlier home."""
        now_ms = self._context.now_ms()
        for held in message.leases:
            if ids.LeaseId(held.lease) in self._leases:
                continue
            lease = servers.LeaseRow(
                lease=ids.LeaseId(held.lease),
                entry_host=entry_host,
                data_centre=ids.DataCentreId(message.data_centre),
                number=-1,
                server=ids.ServerId(held.server),
                workspace=ids.WorkspaceId(held.workspace),
                fingerprint=held.fingerprint,
                started_ms=now_ms - held.waited_ms,
                renewed_ms=now_ms,
                trusted=held.trusted,
            )
            self._open_lease(lease)

    def can_lend_allowance(self, fingerprint: str) -> bool:
        """Return whether this part's crash allowance for a fingerprint may go to another region."""
        now_ms = self._context.now_ms()
        # A new home may not yet have received the leases that entry hosts hold from an earlier one.
        if now_ms - self._created_ms < _LEASE_RECOVERY_MS:
            return False
        return self._gate.can_lend(fingerprint, part_count=self._part_count(), now_ms=now_ms)

    def on_reserve_answer(self, fingerprint: str, granted: bool) -> None:
        """Handle another region's answer about its crash allowance.

        Without the allowance, the requests held back under the fingerprint are refused.
        """
        self._gate.stop_borrowing(fingerprint)
        if not granted:
            self._refuse_held_back(
                lambda item: item.ask.fingerprint == fingerprint,
                "poison-suspected",
                _SUSPECTED_RETRY_AFTER_MS,
            )
        self._grant_free_slots()

    def on_fingerprint_changed(self, fingerprint: str) -> None:
        """Handle a change in the recorded crashes, loans or successes of a fingerprint.

        If the request has turned out to be poison, the crashes that it caused no longer count
        against the servers. Requests held back under the fingerprint are checked again.
        """
        now_ms = self._context.now_ms()
        if self._ledger.state(fingerprint, now_ms) is poison.FingerprintState.POISON:
            for use in self._ledger.uses(fingerprint, now_ms).values():
                self._ejector.excuse(ids.ServerId(use.server))
        self._grant_free_slots()

    def on_permits_changed(self) -> None:
        """Review the servers at once if an ejection was waiting for a permit."""
        if self._ejector.permit_missing:
            self._review(self._context.now_ms())

    def on_tick(self) -> None:
        """Expire leases without heartbeats, review server health and refuse overdue requests.

        Free slots then go to the requests that wait.
        """
        now_ms = self._context.now_ms()
        self._rates.refill(self._servers.live)
        self._expire_leases(now_ms)
        self._review(now_ms)
        self._refuse_overdue(now_ms)
        if now_ms - self._cleaned_up_ms >= _CLEANUP_INTERVAL_MS:
            self._cleaned_up_ms = now_ms
            self._servers.forget_idle(now_ms)
            self._servers.apply_signals()
            self._queue.forget_idle()
            self._hedge_ms = self._hedge_delay_ms()
        self._grant_free_slots()

    def pop_due_probes(self) -> Iterator[ports.ProbeOrder]:
        """Yield the probes to send now; each occupies a slot of its server."""
        now_ms = self._context.now_ms()
        due = self._ejector.pop_due_probes()
        if now_ms - self._drain_probed_ms >= _DRAIN_PROBE_INTERVAL_MS:
            self._drain_probed_ms = now_ms
            due += self._servers.leaving_without_start()
        addresses = {entry.server: entry.address for entry in self._part.servers}
        for server in due:
            if server not in addresses:
                continue
            lease = self._new_lease(server, _PROBE_ENTRY_HOST, "", "", number=-1)
            self._open_lease(lease)
            yield ports.ProbeOrder(
                lease=lease.lease,
                service=self._part.service,
                server=server,
                address=addresses[server],
                path=self._part.spec.probe_path,
                timeout_ms=_PROBE_TIMEOUT_MS,
            )

    def record_probe(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Free the slot of a probe and update the server's health by the probe's outcome."""
        lease = self._leases.get(order.lease)
        if lease is not None:
            self._close_lease(lease)
        passed = outcome.kind is ports.OutcomeKind.OK
        if passed:
            self._crashed_ms.pop(order.server, None)
        self._context.record_decision(
            ring.DecisionKind.OUTCOME,
            order.server,
            "probe-passed" if passed else "probe-failed",
            subject=order.server,
            detail={"latency_ms": round(outcome.latency_ms, 3)},
        )
        if outcome.draining:
            self._mark_leaving(order.server, self._started_wall_ms(order.server))
        elif passed:
            self._signals.record_staying(order.server)
            self._servers.apply_signals()
        self._ejector.probed(order.server, passed)
        self._grant_free_slots()

    def _check_gate(self, waiter: _Waiter) -> bool:
        """Return whether the poison gate admits a waiter; otherwise refuse it or hold it back."""
        now_ms = self._context.now_ms()
        fingerprint = waiter.ask.fingerprint
        decision = self._gate.check(
            fingerprint, part_count=self._part_count(), now_ms=now_ms, hedge=waiter.ask.hedge
        )
        if decision is gate.GateDecision.OPEN:
            return True
        if decision is gate.GateDecision.POISON:
            self._refuse(waiter, "poison-request")
            return False
        self._held_back.append(waiter)
        self._mark_queued(waiter, "unproven-request")
        if decision is gate.GateDecision.NEEDS_ALLOWANCE and self._gate.start_borrowing(
            fingerprint, now_ms
        ):
            self._request_allowance(fingerprint)
        return False

    def _charge_budget(self, ask: messages.PlaceAsk, now_ms: float) -> bool:
        """Return whether the retry budget admits a request, and charge a retry or hedge to it.

        First attempts, and requests that another home has charged already, cost nothing.
        """
        if ask.already_charged or not (ask.attempt or ask.hedge):
            return True
        return self._budget.try_spend(now_ms=now_ms)

    def _max_wait_ms(self, ask: messages.PlaceAsk) -> float:
        """Return how long a request may wait for a slot, by the estimate at its admission."""
        if not ask.remaining_target_ms:
            return ask.remaining_ms
        left_ms = ask.remaining_target_ms
        if left_ms < _MIN_TARGET_SERVICE_TIMES * self._service_ms:
            # The target cannot be met, but the request can still be served by its deadline.
            left_ms = ask.remaining_ms
        return max(0.0, min(_MAX_WAIT_FRACTION * left_ms, ask.remaining_ms - self._service_ms))

    def _max_wait_within_target_ms(self, ask: messages.PlaceAsk) -> float:
        """Return the wait after which a request can just be answered within its target."""
        return (
            min(ask.remaining_target_ms, ask.remaining_ms)
            - _LATEST_START_SERVICE_TIMES * self._service_ms
        )

    def _retry_delay_ms(self, wait_ms: float) -> float:
        """Return the retry delay for a refused caller: the wait plus a base delay and jitter."""
        return wait_ms + _RETRY_AFTER_BASE_MS + _RETRY_AFTER_JITTER_MS * self._context.rng.random()

    def _enqueue(self, waiter: _Waiter) -> None:
        workspace = waiter.ask.workspace
        slots = max(_MIN_USABLE_SLOTS, self._servers.usable_slots(self._service_ms))
        rank = waiter.ask.priority
        ahead = self._queue.count_ahead(workspace, rank)
        wait_ms = self._expected_wait_ms(workspace, rank, slots)
        elsewhere_ms = (
            _OTHER_REGION_WAIT_WITH_TARGET_MS
            if waiter.ask.remaining_target_ms
            else _OTHER_REGION_WAIT_MS
        )
        max_wait_ms = waiter.max_wait_ms
        retry_delay_ms = self._retry_delay_ms(max(0.0, wait_ms - max_wait_ms))
        rest_ms = self._servers.shortest_rest_ms(waiter.entry_host, self._context.now_ms())
        if not self._servers.live:
            self._refuse(waiter, "no-eligible-server", self._retry_delay_ms(0.0))
        elif rest_ms and not waiter.ask.is_last_region:
            self._reply(waiter, messages.PlaceState.ELSEWHERE, "servers-resting")
        elif rest_ms:
            self._refuse(waiter, "servers-resting", rest_ms)
        elif not waiter.ask.is_last_region and wait_ms > max(elsewhere_ms, max_wait_ms):
            self._reply(waiter, messages.PlaceState.ELSEWHERE, "other-region-sooner")
        elif waiter.ask.from_other_region and waiter.ask.remaining_target_ms:
            # During the round trip to the other region the slot would serve none of this region's
            # callers.
            self._refuse(waiter, "no-free-slot-for-far", retry_delay_ms)
        elif wait_ms > max_wait_ms:
            self._refuse(waiter, "deadline-unreachable", retry_delay_ms)
        elif ahead >= max(_MIN_QUEUE_LIMIT, slots * _MAX_QUEUED_PER_SLOT):
            self._refuse(waiter, "queue-full", retry_delay_ms)
        else:
            self._queue.push(workspace, waiter, rank=rank)
            try_elsewhere = not waiter.ask.is_last_region and wait_ms > elsewhere_ms
            self._mark_queued(waiter, "queued", try_elsewhere=try_elsewhere)

    def _expected_wait_ms(self, workspace: str, rank: int, slots: float) -> float:
        # The workspace gets slots in proportion to its weight among those that wait.
        ahead = self._queue.count_ahead(workspace, rank)
        own = self._weight(workspace)
        others = self._queue.total_weight(rank) - (own if ahead else 0.0)
        return (ahead + 1) * self._service_ms / slots * (own + others) / own

    def _grant(self, waiter: _Waiter) -> bool:
        """Grant a waiter a slot; return False if no server suits it now."""
        now_ms = self._context.now_ms()
        ask = waiter.ask
        retryable = ask.idempotent and not ask.attempt
        state = self._ledger.state(ask.fingerprint, now_ms)
        suspected = state is poison.FingerprintState.SUSPECTED
        recovering = self._unserved_fraction > _RECOVERY_UNSERVED_FRACTION
        entry = self._servers.choose(
            waiter.entry_host,
            ask.excluded,
            now_ms,
            data_centre=ask.data_centre,
            retryable=retryable,
            suspected=suspected,
            recovering=recovering,
        )
        if entry is None:
            return False
        server = ids.ServerId(entry.server)
        lease = self._new_lease(
            server, waiter.entry_host, ask.workspace, ask.fingerprint, number=ask.number
        )
        lease.data_centre = ids.DataCentreId(ask.data_centre)
        lease.trusted = state is poison.FingerprintState.GOOD
        lease.suspected = suspected
        lease.recheck = recovering and self._servers.is_out_of_rotation(entry, retryable=retryable)
        lease.deadline_ms = now_ms + ask.remaining_ms
        if ask.retry_possible:
            lease.retry_until_ms = lease.deadline_ms
        self._open_lease(lease)
        self._rates.spend(entry)
        limit_age_ms = self._signals.limit_age_ms(server)
        limited = math.isfinite(limit_age_ms)
        answer = _answer(
            ask,
            messages.PlaceState.GRANTED,
            "least-loaded" if now_ms == waiter.arrived_ms else "fair-turn",
            server=server,
            address=entry.address,
            lease=lease.lease,
            hedge_after_ms=self._hedge_ms if ask.idempotent else 0.0,
            trusted=lease.trusted,
            limit_per_s=self._signals.limit_per_s(entry) if limited else -1.0,
            limit_age_ms=round(limit_age_ms, 1) if limited else -1.0,
        )
        self._answers[waiter.entry_host, ask.number] = answer
        self._send(waiter.entry_host, answer)
        return True

    def _grant_free_slots(self) -> None:
        """Grant free slots to the waiters.

        A reentrant call, caused by a message that this host sends to itself, only makes the outer
        call run once more.
        """
        if self._granting:
            self._grant_again = True
            return
        self._granting = self._grant_again = True
        try:
            while self._grant_again:
                self._grant_again = False
                self._recheck_held_back()
                self._grant_from_queue()
        finally:
            self._granting = False

    def _grant_from_queue(self) -> None:
        """Grant slots in queue order, skipping a few waiters that no free server suits."""
        skipped: list[_Waiter] = []
        while len(self._queue) and len(skipped) <= _MAX_SKIPPED_WAITERS:
            if not self._servers.any_free():
                break
            waiter = self._queue.pop()
            now_ms = self._context.now_ms()
            if waiter.deadline_ms <= now_ms:
                self._refuse(waiter, "waited-too-long", self._retry_delay_ms(0.0))
                continue
            # Another copy of the request may have crashed a server while this one waited.
            if not self._check_gate(waiter):
                continue
            if not self._grant(waiter):
                skipped.append(waiter)
        for waiter in reversed(skipped):
            ask = waiter.ask
            self._queue.put_back(ask.workspace, waiter, rank=ask.priority)

    def _recheck_held_back(self) -> None:
        waiters, self._held_back = self._held_back, collections.deque()
        for waiter in waiters:
            # The gate counts only leased copies, so the slot is granted before the next check.
            if not self._check_gate(waiter):
                continue
            if self._grant(waiter):
                self._queue.charge(waiter.ask.workspace)
            else:
                ask = waiter.ask
                self._queue.push(ask.workspace, waiter, rank=ask.priority, front=True)

    def _refuse_overdue(self, now_ms: float) -> None:
        for waiter in self._queue.remove(lambda item: item.deadline_ms <= now_ms):
            self._refuse(waiter, "waited-too-long", self._retry_delay_ms(0.0))
        self._refuse_held_back(lambda item: item.deadline_ms <= now_ms, "waited-too-long")

    def _refuse_held_back(
        self, is_unwanted: Callable[[_Waiter], bool], reason: str, retry_after_ms: float = 0.0
    ) -> None:
        refused = [waiter for waiter in self._held_back if is_unwanted(waiter)]
        if not refused:
            return
        self._held_back = collections.deque(
            waiter for waiter in self._held_back if not is_unwanted(waiter)
        )
        for waiter in refused:
            self._refuse(waiter, reason, retry_after_ms)

    def _mark_queued(self, waiter: _Waiter, reason: str, *, try_elsewhere: bool = False) -> None:
        key = (waiter.entry_host, waiter.ask.number)
        if key not in self._answers:
            self._answers[key] = None
            states = messages.PlaceState
            state = states.QUEUED_OR_ELSEWHERE if try_elsewhere else states.QUEUED
            self._send(waiter.entry_host, _answer(waiter.ask, state, reason))

    def _refuse(self, waiter: _Waiter, reason: str, retry_after_ms: float = 0.0) -> None:
        now_ms = self._context.now_ms()
        self._context.record_decision(
            ring.DecisionKind.PLACE,
            "no-slot",
            reason,
            subject=self._part.service,
            detail={
                "entry": waiter.entry_host,
                "ask": waiter.ask.number,
                "workspace": waiter.ask.workspace,
                "attempt": waiter.ask.attempt,
                "waited_ms": round(now_ms - waiter.arrived_ms, 1),
                "patience_ms": round(waiter.max_wait_ms, 1),
                "service_ms": round(self._service_ms, 1),
                "slots": self._servers.total_slots,
                "in_use": self._servers.in_use,
                "waiting": len(self._queue),
                "retry_tokens": round(self._budget.tokens(now_ms=now_ms), 1),
            },
        )
        self._update_unserved_fraction(1.0)
        self._reply(waiter, messages.PlaceState.REFUSED, reason, retry_after_ms)

    def _update_unserved_fraction(self, unserved: float) -> None:
        self._unserved_fraction += (unserved - self._unserved_fraction) * _UNSERVED_SMOOTHING

    def _count_outcome(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> None:
        """Count a request as served or not; ignore a failed attempt that may be retried in time."""
        failed = kind is not ports.OutcomeKind.OK
        if failed and self._context.now_ms() + self._service_ms < lease.retry_until_ms:
            return
        self._update_unserved_fraction(float(failed))

    def _reply(self, waiter: _Waiter, state: int, reason: str, retry_after_ms: float = 0.0) -> None:
        self._answers.pop((waiter.entry_host, waiter.ask.number), None)
        answer = _answer(waiter.ask, state, reason, retry_after_ms=retry_after_ms)
        self._send(waiter.entry_host, answer)

    def _new_lease(
        self,
        server: ids.ServerId,
        entry_host: ids.HostId,
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
            entry_host=entry_host,
            data_centre=self._context.data_centre,
            number=number,
            server=server,
            workspace=ids.WorkspaceId(workspace),
            fingerprint=fingerprint,
            started_ms=now_ms,
            renewed_ms=now_ms,
        )

    def _open_lease(self, lease: servers.LeaseRow) -> None:
        self._leases[lease.lease] = lease
        self._servers.take_slot(lease, self._context.now_ms())
        self._gate.add_lease(lease)

    def _close_lease(self, lease: servers.LeaseRow) -> None:
        del self._leases[lease.lease]
        self._answers.pop((lease.entry_host, lease.number), None)
        self._servers.free_slot(lease)
        self._gate.remove_lease(lease)
        held_ms = self._context.now_ms() - lease.started_ms
        self._service_ms += (held_ms - self._service_ms) * _SERVICE_SMOOTHING

    def _record_evidence(
        self, lease: servers.LeaseRow, kind: ports.OutcomeKind, latency_ms: float
    ) -> None:
        # Rechecks are left out, as their failures would keep the pool in recovery mode.
        if kind in _ACCEPTED_OUTCOMES and not lease.recheck:
            self._count_outcome(lease, kind)
        if kind is ports.OutcomeKind.OK:
            self._latencies.add(latency_ms)
        if lease.server in self._ejector.rows and self._ejector.excused(lease.server):
            return
        self._judge.record_outcome(
            evidence.Evidence(
                server=lease.server,
                observer=lease.entry_host,
                group=lease.data_centre,
                kind=self._evidence_kind(lease, kind),
                latency_ms=latency_ms,
                at_ms=self._context.now_ms(),
            )
        )

    def _evidence_kind(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> ports.OutcomeKind:
        """Return the outcome to use as evidence about the server's health.

        A server error close to the deadline counts as a timeout, since it shows only that the
        request ran out of time.
        """
        in_time = self._context.now_ms() < lease.deadline_ms - _DEADLINE_ERROR_MARGIN_MS
        if kind is not ports.OutcomeKind.SERVER_ERROR or in_time:
            return kind
        return ports.OutcomeKind.TIMEOUT

    def _record_poison_evidence(
        self, lease: servers.LeaseRow, kind: ports.OutcomeKind, refuses_connections: bool
    ) -> None:
        now_ms = self._context.now_ms()
        if kind in _RUNNING_OUTCOMES:
            self._crashed_ms.pop(lease.server, None)
        if kind is ports.OutcomeKind.OK and lease.fingerprint:
            if self._ledger.record_success(lease.fingerprint, now_ms):
                self._broadcast_notice(_clearing_notice(lease.fingerprint))
        elif poison.is_server_crash(
            kind, refuses_connections=refuses_connections
        ) and not self._had_crashed_before(lease):
            self._crashed_ms.setdefault(lease.server, now_ms)
            if lease.fingerprint:
                self._record_crash(lease, now_ms)

    def _had_crashed_before(self, lease: servers.LeaseRow) -> bool:
        """Return whether a server had crashed before a request was sent to it.

        A proxy in front of a crashed server may still accept connections. A suspected request is
        blamed all the same, since it may have been the first one at a restarted server.
        """
        crashed_ms = self._crashed_ms.get(lease.server, math.inf)
        return lease.started_ms > crashed_ms and not lease.suspected

    def _record_crash(self, lease: servers.LeaseRow, now_ms: float) -> None:
        """Record a server's crash during a request, here and at every host that may be home."""
        use = poison.AllowanceUse(
            region=self._part.region,
            server=lease.server,
            borrower="",
            trusted=lease.trusted,
            at_ms=now_ms,
        )
        self._ledger.add_use(lease.fingerprint, lease.lease, use)
        self.on_fingerprint_changed(lease.fingerprint)
        self._broadcast_notice(
            messages.PoisonNotice(
                fingerprint=lease.fingerprint,
                use=lease.lease,
                region=self._part.region,
                server=lease.server,
                borrower="",
                trusted=lease.trusted,
            )
        )

    def _mark_leaving(self, server: ids.ServerId, started_wall_ms: float) -> None:
        if self._signals.record_leaving(server, started_wall_ms):
            self._drain_probed_ms = self._context.now_ms()
            self._context.record_decision(
                ring.DecisionKind.EJECT, "no-new-work", "server-draining", subject=server
            )
        self._servers.apply_signals()

    def _started_wall_ms(self, server: ids.ServerId) -> float:
        starts = (entry.started_wall_ms for entry in self._part.servers if entry.server == server)
        return next(starts, 0.0)

    def _review(self, now_ms: float) -> None:
        flights = [
            evidence.Flight(
                server=lease.server,
                observer=lease.entry_host,
                group=lease.data_centre,
                waited_ms=lease.waited_ms,
            )
            for lease in self._leases.values()
            if lease.waited_ms > 0.0
        ]
        verdicts = self._judge.find_outliers(now_ms=now_ms, flights=flights)
        for verdict in verdicts:
            if verdict.kind is evidence.VerdictKind.PATH:
                self._avoid_paths(verdict, now_ms)
        self._ejector.consider(verdicts)
        self._ejector.update_states()

    def _avoid_paths(self, verdict: evidence.Verdict, now_ms: float) -> None:
        for entry_host in verdict.observers:
            if self._servers.avoid_pair(entry_host, verdict.server, now_ms):
                self._context.record_decision(
                    ring.DecisionKind.EJECT,
                    "path-avoided",
                    verdict.reason,
                    subject=verdict.server,
                    detail={"observer": entry_host, "score": verdict.score},
                )

    def _expire_leases(self, now_ms: float) -> None:
        expired = [
            lease
            for lease in self._leases.values()
            if now_ms - lease.renewed_ms >= _LEASE_TIMEOUT_MS
        ]
        for lease in expired:
            self._close_lease(lease)
            self._context.record_decision(
                ring.DecisionKind.LEASE, lease.server, "entry-host-silent", subject=lease.lease
            )

    def _is_loaded(self) -> bool:
        return self._servers.in_use >= _HEDGE_UTILIZATION_LIMIT * self._servers.total_slots

    def _hedge_delay_ms(self) -> float:
        if self._latencies.total < _MIN_HEDGE_SAMPLES:
            return 0.0
        median_ms = self._latencies.quantile(0.5)
        return max(_HEDGE_MEDIAN_MULTIPLE * median_ms, self._latencies.quantile(_HEDGE_QUANTILE))


def _answer(
    ask: messages.PlaceAsk, state: int, reason: str, **fields: object
) -> messages.PlaceAnswer:
    return messages.PlaceAnswer(number=ask.number, state=state, reason=reason, **fields)


def _clearing_notice(fingerprint: str) -> messages.PoisonNotice:
    return messages.PoisonNotice(
        fingerprint=fingerprint, use="", region="", server="", borrower="", trusted=False
    )
