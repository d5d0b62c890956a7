"""Home of one pool part: the host that grants leases on the slots of the part's servers.

A part is the servers of a pool in one region. Entry hosts send their requests for slots to the
part's home. It takes in messages, and leaves what to answer to the parts that decide: who waits in
which order (`queueing`), whether a request may wait at all (`admission`), which server it gets
(`servers`), and what outcomes say about the servers (`outcomes`).
"""

import math
from collections.abc import Callable, Iterator

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.health import ejection, evidence
from verbenadrum.messages import base
from verbenadrum.placement import (
    admission,
    budget,
    gate,
    lease_book,
    messages,
    outcomes,
    parts,
    poison,
    queueing,
    server_rates,
    servers,
    signals,
)

__all__ = ["PartHome"]

# Bounds the estimated wait while no slot can be used.
_MIN_USABLE_SLOTS = 0.05
_HEDGE_UTILIZATION_LIMIT = 0.7
_DRAIN_PROBE_INTERVAL_MS = 5_000.0
_PROBE_TIMEOUT_MS = 1_000.0
_CLEANUP_INTERVAL_MS = 1_000.0
_SUSPECTED_RETRY_AFTER_MS = 1_000.0
_LEASE_RECOVERY_MS = 1_000.0
# Bounds the work of one pass: each skipped waiter costs a scan of all servers.
_MAX_SKIPPED_WAITERS = 3
_PROBE_ENTRY_HOST = ids.HostId("")


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
    admission_rule : str
        Registered name of the rule by which requests may wait for a slot.
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
        admission_rule: str = "expected-wait",
    ) -> None:
        self._context = context
        self._part = part
        self._ledger = ledger
        self._signals = signals
        self._part_count = part_count
        self._send = send
        self._request_allowance = request_allowance
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
        self._leases = lease_book.LeaseBook(
            context=context, part=part, table=self._servers, poison_gate=self._gate
        )
        self._waiting = queueing.WaitingRequests(weight=weight, now_ms=context.now_ms)
        self._admission = admission.admission_rules.get(admission_rule)()
        self._outcomes = outcomes.PartOutcomes(
            context=context,
            region=part.region,
            judge=judge,
            ejector=self._ejector,
            table=self._servers,
            ledger=ledger,
            broadcast_notice=broadcast_notice,
            on_crash=self.on_fingerprint_changed,
        )
        self._budget = budget.RetryPool(limits=retries, retained_fraction=retained_fraction)
        # Answers by entry host and request number; None while the request waits.
        self._answers: dict[tuple[ids.HostId, int], messages.PlaceAnswer | None] = {}
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
        return self._leases.rows

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
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether no slot is leased and no request waits, so that the part may be dropped."""
        return not self._leases.rows and not self.waiting

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
        service_ms = self._outcomes.service_ms
        max_wait_ms = self._admission.max_wait_ms(ask, service_ms)
        latest_wait_ms = self._admission.latest_wait_ms(ask, service_ms)
        waiter = queueing.Waiter(
            entry_host=entry_host,
            ask=ask,
            max_wait_ms=max_wait_ms,
            deadline_ms=now_ms + max(max_wait_ms, latest_wait_ms),
            arrived_ms=now_ms,
        )
        if not self._check_gate(waiter):
            return
        if not self._charge_budget(ask, now_ms):
            self._refuse(waiter, "retry-budget-spent", self._retry_delay_ms())
            return
        if ask.hedge and self._is_loaded():
            self._refuse(waiter, "pool-loaded", self._outcomes.hedge_ms)
            return
        if not self._waiting.queued and self._grant(waiter):
            self._waiting.charge(waiter)
            return
        self._admit(waiter)

    def release(self, entry_host: ids.HostId, message: messages.Release) -> None:
        """End a lease, free its slot and record the outcome of its attempt.

        An unknown lease is ignored.
        """
        lease = self._leases.get(message.lease)
        if lease is None:
            return
        self._close_lease(lease)
        kind = ports.OutcomeKind(message.kind)
        if message.draining:
            self._mark_leaving(lease.server, message.started_wall_ms, heard_from=entry_host)
        if message.rest_ms > 0.0:
            until_ms = self._context.now_ms() + message.rest_ms
            self._servers.record_rest(entry_host, lease.server, until_ms)
        if message.limit_per_s >= 0.0:
            self._signals.record_limit(
                lease.server,
                message.started_wall_ms,
                message.limit_per_s,
                heard_from=entry_host,
            )
        unused = kind is ports.OutcomeKind.CANCELLED and not message.bytes_sent
        if unused:
            self._rates.refund(lease.server)
        else:
            self._outcomes.record(lease, kind, message.latency_ms)
        self._outcomes.record_crash_evidence(
            lease, kind, refuses_connections=message.refuses_connections
        )
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
        self._waiting.withdraw(key)

    def renew_leases(self, message: messages.Waiting) -> None:
        """Renew the leases in an entry host's heartbeat, with the times waited for a response."""
        self._leases.renew(message)

    def adopt_leases(self, entry_host: ids.HostId, message: messages.Holding) -> None:
        """Count the leases that an entry host was granted by an earlier home."""
        self._leases.adopt(entry_host, message)

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
            self._review()

    def on_tick(self) -> None:
        """Expire leases without heartbeats, review server health and refuse overdue requests.

        Free slots then go to the requests that wait.
        """
        now_ms = self._context.now_ms()
        self._rates.refill(self._servers.live)
        self._expire_leases()
        self._review()
        self._refuse_overdue(now_ms)
        if now_ms - self._cleaned_up_ms >= _CLEANUP_INTERVAL_MS:
            self._cleaned_up_ms = now_ms
            self._servers.forget_idle(now_ms)
            self._servers.apply_signals()
            self._waiting.forget_idle()
            self._outcomes.update_hedge_delay()
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
            lease = self._leases.new(server, entry_host=_PROBE_ENTRY_HOST)
            self._leases.open(lease)
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
            self._outcomes.record_running(order.server)
        self._context.record_decision(
            ring.DecisionKind.OUTCOME,
            order.server,
            "probe-passed" if passed else "probe-failed",
            subject=order.server,
            detail={"latency_ms": round(outcome.latency_ms, 3)},
        )
        if outcome.draining:
            self._mark_leaving(order.server, self._started_wall_ms(order.server))
        elif passed and lease is not None:
            self._signals.record_staying(order.server, asked_ms=lease.started_ms)
            self._servers.apply_signals()
        self._ejector.probed(order.server, passed)
        self._grant_free_slots()

    def _check_gate(self, waiter: queueing.Waiter) -> bool:
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
        self._waiting.hold_back(waiter)
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

    def _retry_delay_ms(self) -> float:
        """Return the retry delay for a caller that is refused although the part has room."""
        return admission.retry_delay_ms(0.0, self._context.rng.random())

    def _admit(self, waiter: queueing.Waiter) -> None:
        """Queue a request for which no slot is free, refuse it, or send it to another region."""
        ask = waiter.ask
        service_ms = self._outcomes.service_ms
        slots = max(_MIN_USABLE_SLOTS, self._servers.usable_slots(service_ms))
        load = admission.PartLoad(
            has_servers=bool(self._servers.live),
            slots=slots,
            service_ms=service_ms,
            ahead=self._waiting.count_ahead(ask),
            wait_ms=self._waiting.expected_wait_ms(ask, service_ms=service_ms, slots=slots),
            rest_ms=self._servers.shortest_rest_ms(waiter.entry_host, self._context.now_ms()),
            random_fraction=self._context.rng.random(),
        )
        verdict = self._admission.decide(ask, load)
        states = messages.PlaceState
        if verdict.state == states.REFUSED:
            self._refuse(waiter, verdict.reason, verdict.retry_after_ms)
        elif verdict.state == states.ELSEWHERE:
            self._reply(waiter, verdict.state, verdict.reason)
        else:
            self._waiting.push(waiter)
            self._mark_queued(waiter, verdict.reason, state=verdict.state)

    def _grant(self, waiter: queueing.Waiter) -> bool:
        """Grant a waiter a slot; return False if no server suits it now."""
        now_ms = self._context.now_ms()
        ask = waiter.ask
        retryable = ask.idempotent and not ask.attempt
        state = self._ledger.state(ask.fingerprint, now_ms)
        suspected = state is poison.FingerprintState.SUSPECTED
        recovering = self._outcomes.recovering
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
        lease = self._leases.new(
            server,
            entry_host=waiter.entry_host,
            workspace=ask.workspace,
            fingerprint=ask.fingerprint,
            number=ask.number,
        )
        lease.data_centre = ids.DataCentreId(ask.data_centre)
        lease.trusted = state is poison.FingerprintState.GOOD
        lease.suspected = suspected
        lease.recheck = recovering and self._servers.is_out_of_rotation(entry, retryable=retryable)
        lease.deadline_ms = now_ms + ask.remaining_ms
        if ask.retry_possible:
            lease.retry_until_ms = lease.deadline_ms
        self._leases.open(lease)
        self._rates.spend(entry)
        limit_age_ms = self._signals.limit_age_ms(entry)
        limited = math.isfinite(limit_age_ms)
        answer = _answer(
            ask,
            messages.PlaceState.GRANTED,
            "least-loaded" if now_ms == waiter.arrived_ms else "fair-turn",
            server=server,
            address=entry.address,
            lease=lease.lease,
            hedge_after_ms=self._outcomes.hedge_ms if ask.idempotent else 0.0,
            trusted=lease.trusted,
            limit_per_s=self._signals.limit_per_s(entry) if limited else -1.0,
            limit_age_ms=round(limit_age_ms, 1) if limited else -1.0,
        )
        self._answers[waiter.key] = answer
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
        skipped: list[queueing.Waiter] = []
        while self._waiting.queued and len(skipped) <= _MAX_SKIPPED_WAITERS:
            if not self._servers.any_free():
                break
            waiter = self._waiting.pop()
            if waiter.deadline_ms <= self._context.now_ms():
                self._refuse(waiter, "waited-too-long", self._retry_delay_ms())
                continue
            # Another copy of the request may have crashed a server while this one waited.
            if not self._check_gate(waiter):
                continue
            if not self._grant(waiter):
                skipped.append(waiter)
        for waiter in reversed(skipped):
            self._waiting.put_back(waiter)

    def _recheck_held_back(self) -> None:
        for waiter in self._waiting.take_held_back():
            # The gate counts only leased copies, so the slot is granted before the next check.
            if not self._check_gate(waiter):
                continue
            if self._grant(waiter):
                self._waiting.charge(waiter)
            else:
                self._waiting.push(waiter, front=True)

    def _refuse_overdue(self, now_ms: float) -> None:
        for waiter in self._waiting.remove_overdue(now_ms):
            self._refuse(waiter, "waited-too-long", self._retry_delay_ms())
        self._refuse_held_back(lambda item: item.deadline_ms <= now_ms, "waited-too-long")

    def _refuse_held_back(
        self,
        is_unwanted: Callable[[queueing.Waiter], bool],
        reason: str,
        retry_after_ms: float = 0.0,
    ) -> None:
        for waiter in self._waiting.remove_held_back(is_unwanted):
            self._refuse(waiter, reason, retry_after_ms)

    def _mark_queued(
        self, waiter: queueing.Waiter, reason: str, *, state: int = messages.PlaceState.QUEUED
    ) -> None:
        if waiter.key not in self._answers:
            self._answers[waiter.key] = None
            self._send(waiter.entry_host, _answer(waiter.ask, state, reason))

    def _refuse(self, waiter: queueing.Waiter, reason: str, retry_after_ms: float = 0.0) -> None:
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
                "service_ms": round(self._outcomes.service_ms, 1),
                "slots": self._servers.total_slots,
                "in_use": self._servers.in_use,
                "waiting": self._waiting.queued,
                "retry_tokens": round(self._budget.tokens(now_ms=now_ms), 1),
            },
        )
        self._outcomes.count_refusal()
        self._reply(waiter, messages.PlaceState.REFUSED, reason, retry_after_ms)

    def _reply(
        self, waiter: queueing.Waiter, state: int, reason: str, retry_after_ms: float = 0.0
    ) -> None:
        self._answers.pop(waiter.key, None)
        answer = _answer(waiter.ask, state, reason, retry_after_ms=retry_after_ms)
        self._send(waiter.entry_host, answer)

    def _close_lease(self, lease: servers.LeaseRow) -> None:
        self._answers.pop((lease.entry_host, lease.number), None)
        self._outcomes.add_service_time(self._leases.close(lease))

    def _mark_leaving(
        self, server: ids.ServerId, started_wall_ms: float, *, heard_from: str = ""
    ) -> None:
        if self._signals.record_leaving(server, started_wall_ms, heard_from=heard_from):
            self._drain_probed_ms = self._context.now_ms()
            self._context.record_decision(
                ring.DecisionKind.EJECT,
                "no-new-work",
                "server-draining",
                subject=server,
                detail={"heard_from": heard_from or self._context.host},
            )
        self._servers.apply_signals()

    def _started_wall_ms(self, server: ids.ServerId) -> float:
        starts = (entry.started_wall_ms for entry in self._part.servers if entry.server == server)
        return next(starts, 0.0)

    def _review(self) -> None:
        self._outcomes.review(self._leases.rows.values())

    def _expire_leases(self) -> None:
        for lease in self._leases.silent():
            self._close_lease(lease)
            self._context.record_decision(
                ring.DecisionKind.LEASE, lease.server, "entry-host-silent", subject=lease.lease
            )

    def _is_loaded(self) -> bool:
        return self._servers.in_use >= _HEDGE_UTILIZATION_LIMIT * self._servers.total_slots


def _answer(
    ask: messages.PlaceAsk, state: int, reason: str, **fields: object
) -> messages.PlaceAnswer:
    return messages.PlaceAnswer(number=ask.number, state=state, reason=reason, **fields)
