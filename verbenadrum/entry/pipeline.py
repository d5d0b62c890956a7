"""Processes callers' requests on the host that receives them, from head to answer or refusal.

Stages: route, authenticate, admit against the workspace's rate, claim the idempotency key, place
on a backend server, dispatch. Failed attempts are retried, slow ones hedged, where that is safe.
"""

import math

import msgspec
import xxhash

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.entry import keys, refusals, table
from verbenadrum.records import types

__all__ = ["EntryPipeline"]

# Callers ignore a Retry-After longer than a third of the time left until their deadline.
_MAX_RETRY_AFTER_FRACTION = 0.33
# Attempts beyond the maximum of the route that certainly did not run, such as shed ones. When these
# are spent as well, the pool counts as full.
_MAX_UNEXECUTED_ATTEMPTS = 2
# Stages in which neither the deadline nor a hedge timer applies.
_UNTIMED_STAGES = (table.RequestStage.COMMITTED, table.RequestStage.ENDED)


class EntryPipeline(system.System):
    """State machine of the requests in flight.

    Each request ends in exactly one of: a committed answer, a refusal, a replay of a stored
    answer, or `abandon` without an answer.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers, sending and decisions of this host.
    records : RecordsPort
        Routes, workspaces, API keys and pools in force.
    limiter : Limiter
        Admits requests against the rate of their workspace.
    claims : ClaimPort
        Claims idempotency keys.
    placer : Placer
        Chooses backend servers.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        limiter: ports.Limiter,
        claims: ports.ClaimPort,
        placer: ports.Placer,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._limiter = limiter
        self._claims = claims
        self._placer = placer
        self._rows: dict[ids.RequestId, table.RequestRow] = {}
        self._shutdown_at_ms = math.inf
        self._refuse_from_ms = math.inf

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended, committed ones included."""
        return len(self._rows)

    def begin(self, head: ports.RequestHead, sink: ports.RequestSink) -> None:
        """Start a request; ``sink`` receives its dispatch orders and its refusal or replay."""
        found = self._records.route(head.host, head.path)
        if found is None and not self._records.configured:
            self._refuse_head(head, sink, refusals.not_configured(head))
            return
        if found is None:
            self._refuse_by_records(head, sink, refusals.no_route(head))
            return
        name, route = found
        workspace = self._authenticate(head)
        if workspace is None and not route.public:
            self._refuse_by_records(head, sink, refusals.not_authenticated(head))
            return
        if head.lacks_request_id:
            self._refuse_head(head, sink, refusals.no_request_id(head))
            return
        service = self._choose_service(route)
        self._context.record_decision(
            ring.DecisionKind.ROUTE,
            service,
            "longest-prefix",
            subject=name,
            request=head.request,
            detail={"workspace": workspace or "", **_caller_request(head)},
        )
        now_ms = self._context.now_ms()
        deadline_ms = min(head.deadline_ms, now_ms + route.timeout_ms)
        idempotent = head.method in route.idempotent_methods
        ends_too_late = deadline_ms > self._shutdown_at_ms
        if ends_too_late and (now_ms >= self._refuse_from_ms or not idempotent):
            self._refuse_head(head, sink, refusals.host_shutting_down(head, may_have_run=False))
            return
        spec = self._records.workspace(workspace) if workspace else None
        row = table.RequestRow(
            head=head,
            sink=sink,
            route_name=name,
            route=route,
            service=service,
            workspace=workspace or ids.WorkspaceId(""),
            idempotent=idempotent,
            fingerprint=_fingerprint(head, workspace),
            deadline_ms=min(deadline_ms, self._shutdown_at_ms),
            priority=route.priority if spec is None or spec.priority is None else spec.priority,
            target_ms=now_ms + route.target_latency_ms if route.target_latency_ms else 0.0,
        )
        self._rows[head.request] = row
        self._admit(row)

    def cap_deadlines(self, at_ms: float, *, refuse_from_ms: float = math.inf) -> None:
        """Cap the deadline of every request, present or future.

        A request that is not idempotent, has no attempt in flight and may take longer is refused at
        once, now or when it begins: its server could still be at work when this host ends. One that
        is idempotent, may take longer and begins at ``refuse_from_ms`` or later is refused as well:
        its connection has been announced as closing, so its caller retries on another host at once.

        Parameters
        ----------
        at_ms : float
            Monotonic time until which this host waits for answers before it shuts down.
        refuse_from_ms : float
            Monotonic time from which idempotent requests that may take longer are refused.
        """
        self._shutdown_at_ms = at_ms
        self._refuse_from_ms = refuse_from_ms
        for row in list(self._rows.values()):
            if row.deadline_ms <= at_ms:
                continue
            row.deadline_ms = at_ms
            row.may_outlive_host = True
            if not (row.idempotent or row.attempts or row.stage in _UNTIMED_STAGES):
                self._refuse(row, refusals.host_shutting_down(row.head, row.may_have_run))

    def commit(
        self,
        request: ids.RequestId,
        lease: ids.LeaseId,
        *,
        draining: bool = False,
        limit_per_s: float | None = None,
    ) -> bool:
        """Choose an attempt's answer as the one passed to the caller.

        ``draining`` and ``limit_per_s`` are what its head tells of the server.

        Returns
        -------
        bool
            True for the first call of a request in flight, whose other attempts are cancelled;
            False if another answer was committed or the request has ended.
        """
        self._placer.response_started(lease, draining=draining, limit_per_s=limit_per_s)
        row = self._rows.get(request)
        if row is None or row.stage is not table.RequestStage.DISPATCHED:
            return False
        row.stage = table.RequestStage.COMMITTED
        for other in list(row.attempts):
            if other != lease:
                row.sink.cancel(other)
        return True

    def complete_attempt(
        self,
        request: ids.RequestId,
        lease: ids.LeaseId,
        outcome: ports.Outcome,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        """Record the end of an attempt; retry or refuse the request if no attempt remains.

        Parameters
        ----------
        request : RequestId
            The caller's request.
        lease : LeaseId
            Lease of the attempt, which is released.
        outcome : Outcome
            How the attempt ended.
        answer : StoredAnswer or None
            The complete answer of a committed attempt, kept for replays; None if it is unknown
            or too large.
        """
        self._placer.complete(lease, outcome)
        row = self._rows.get(request)
        if row is None or lease not in row.attempts:
            return
        attempt = row.attempts.pop(lease)
        row.byte_sent = row.byte_sent or outcome.bytes_sent
        row.may_have_run = row.may_have_run or outcome.may_have_run
        row.run_count += outcome.may_have_run
        self._log_outcome(row, attempt, outcome)
        if row.stage is table.RequestStage.COMMITTED:
            if not row.attempts:
                self._end(row, answer)
            return
        if row.stage is table.RequestStage.ENDED:
            return
        row.excluded.append(attempt.server)
        if row.attempts or row.placing:
            return
        self._retry_or_refuse(row, outcome)

    def abandon(self, request: ids.RequestId, reason: str) -> None:
        """End a request without an answer and cancel its attempts; ``reason`` is logged.

        A request that has ended is ignored.
        """
        row = self._rows.get(request)
        if row is None:
            return
        self._context.record_decision(
            ring.DecisionKind.ABANDON,
            "abandoned",
            reason,
            request=request,
            detail={
                "stage": row.stage.value,
                "left_ms": round(row.deadline_ms - self._context.now_ms(), 1),
                **_caller_request(row.head),
            },
        )
        for lease in list(row.attempts):
            row.sink.cancel(lease)
        self._end(row, None)

    def on_tick(self) -> None:
        """Refuse requests whose deadline has passed and start the hedges that are due."""
        now_ms = self._context.now_ms()
        for row in list(self._rows.values()):
            if row.stage in _UNTIMED_STAGES:
                continue
            if now_ms >= row.deadline_ms:
                self._expire(row)
            elif now_ms >= row.hedge_at_ms:
                self._hedge(row)

    def _choose_service(self, route: types.RouteSpec) -> ids.ServiceId:
        """Return the route's service, or a random one by weight where it has several backends."""
        weights = [share.weight for share in route.backends]
        if not sum(weights):
            return ids.ServiceId(route.service)
        (chosen,) = self._context.rng.choices(route.backends, weights)
        return ids.ServiceId(chosen.service)

    def _authenticate(self, head: ports.RequestHead) -> ids.WorkspaceId | None:
        """Return the workspace of the request's API key, or None if it has no valid key."""
        if not head.api_key:
            return None
        return self._records.key_workspace(keys.hash_key(head.api_key))

    def _admit(self, row: table.RequestRow) -> None:
        spec = self._records.workspace(row.workspace)
        if not row.workspace or (spec is not None and not spec.limited):
            self._claim(row)
            return

        def admitted(admission: ports.Admission) -> None:
            if row.stage is not table.RequestStage.ADMITTING:
                return
            if admission.granted:
                self._claim(row)
            else:
                self._refuse(row, refusals.not_admitted(row.head, admission))

        self._limiter.admit(
            workspace=row.workspace,
            request=row.head.request,
            deadline_ms=row.deadline_ms,
            done=admitted,
        )

    def _claim(self, row: table.RequestRow) -> None:
        if row.idempotent or not row.head.idempotency_key:
            self._place(row)
            return
        row.stage = table.RequestStage.CLAIMING
        request = ports.ClaimRequest(
            workspace=row.workspace,
            key=row.head.idempotency_key,
            request=row.head.request,
            fingerprint=_claim_fingerprint(row),
            deadline_ms=row.deadline_ms,
        )

        def claimed(claim: ports.ClaimResult) -> None:
            self._on_claim(row, request, claim)

        self._claims.claim(request, claimed)

    def _on_claim(
        self, row: table.RequestRow, request: ports.ClaimRequest, claim: ports.ClaimResult
    ) -> None:
        if row.stage is not table.RequestStage.CLAIMING:
            # The request ended before its claim was decided, so no byte was sent.
            if claim.state is ports.ClaimState.WON:
                self._claims.release(request)
            return
        if claim.state is ports.ClaimState.WON:
            row.claim = request
            self._place(row)
        elif claim.state is ports.ClaimState.ANSWERED and claim.answer is not None:
            self._remove_row(row)
            row.sink.replay(claim.answer)
        else:
            self._refuse(row, refusals.claim_refused(row.head, claim))

    def _place(self, row: table.RequestRow) -> None:
        if row.stage is not table.RequestStage.DISPATCHED:
            row.stage = table.RequestStage.PLACING
        row.placing = True
        request = self._placement_request(row)

        def placed(placement: ports.Placement) -> None:
            row.placing = False
            self._on_placement(row, request, placement)

        self._placer.place(request, placed)

    def _placement_request(self, row: table.RequestRow) -> ports.PlacementRequest:
        return ports.PlacementRequest(
            request=row.head.request,
            attempt=row.attempt_count,
            workspace=row.workspace,
            service=row.service,
            idempotent=row.idempotent,
            fingerprint=_placement_fingerprint(row),
            deadline_ms=row.deadline_ms,
            excluded=tuple(row.excluded),
            hedge=bool(row.attempts),
            priority=row.priority,
            target_ms=row.target_ms,
            retry_possible=self._retry_possible(row),
        )

    def _on_placement(
        self,
        row: table.RequestRow,
        request: ports.PlacementRequest,
        placement: ports.Placement,
    ) -> None:
        if row.stage not in (table.RequestStage.PLACING, table.RequestStage.DISPATCHED):
            self._return_lease(placement)
            return
        if placement.server is None:
            if row.attempts and placement.retry_after_ms > 0:
                # The refused placement was a hedge, which is tried again later.
                row.hedge_at_ms = self._context.now_ms() + placement.retry_after_ms
            if not row.attempts:
                refusal = refusals.not_placed(row.head, placement, row.may_have_run)
                self._refuse(row, refusal)
            return
        if self._context.now_ms() >= row.deadline_ms:
            self._return_lease(placement)
            if not row.attempts:
                self._expire(row)
            return
        self._dispatch(row, request, placement)

    def _dispatch(
        self,
        row: table.RequestRow,
        request: ports.PlacementRequest,
        placement: ports.Placement,
    ) -> None:
        now_ms = self._context.now_ms()
        row.stage = table.RequestStage.DISPATCHED
        row.attempt_count += 1
        row.attempts[placement.lease] = table.AttemptRow(
            server=placement.server, number=request.attempt
        )
        row.hedge_at_ms = float("inf")
        if row.idempotent and row.head.body_buffered and placement.hedge_after_ms > 0:
            row.hedge_at_ms = now_ms + placement.hedge_after_ms
        row.sink.dispatch(
            ports.DispatchOrder(
                request=row.head.request,
                attempt=request.attempt,
                lease=placement.lease,
                server=placement.server,
                address=placement.address,
                workspace=row.workspace,
                deadline_ms=row.deadline_ms,
                route=row.route_name,
                pass_errors=not row.idempotent or not self._attempt_left(row),
                echo_required=self._echo_required(row),
                idempotent=row.idempotent,
            )
        )

    def _retry_possible(self, row: table.RequestRow) -> bool:
        """Return whether the request could be sent again if the attempt being placed fails."""
        return row.idempotent and row.head.body_buffered and self._attempt_left(row, placing=1)

    def _echo_required(self, row: table.RequestRow) -> bool:
        """Return whether an answer must repeat the request's identifier to be accepted."""
        pool = self._records.pool(row.service)
        return pool is None or pool.echoes_request_id

    def _retry_or_refuse(self, row: table.RequestRow, outcome: ports.Outcome) -> None:
        if self._retry_allowed(row, outcome):
            self._log_retry(row, "retry", outcome.kind.value)
            self._place(row)
            return
        self._refuse(row, refusals.attempt_failed(row.head, outcome, row.may_have_run))

    def _retry_allowed(self, row: table.RequestRow, outcome: ports.Outcome) -> bool:
        safe = row.idempotent or not row.may_have_run
        resendable = row.head.body_buffered or not row.byte_sent
        if not (safe and resendable) or outcome.kind is ports.OutcomeKind.CANCELLED:
            return False
        if row.may_outlive_host and not row.idempotent:
            return False
        if not self._attempt_left(row):
            return False
        if self._context.now_ms() >= row.deadline_ms:
            return False
        return self._placer.may_retry(self._placement_request(row))

    def _attempt_left(self, row: table.RequestRow, *, placing: int = 0) -> bool:
        """Return whether the route allows one more attempt.

        Attempts that certainly did not run do not count towards the maximum of the route, except
        for those beyond `_MAX_UNEXECUTED_ATTEMPTS`. ``placing`` is the number of attempts to count
        that have no server yet.
        """
        max_attempts = row.route.max_attempts
        if not max_attempts:
            return True
        if row.attempt_count + placing >= max_attempts + _MAX_UNEXECUTED_ATTEMPTS:
            return False
        return row.run_count + len(row.attempts) + placing < max_attempts

    def _hedge(self, row: table.RequestRow) -> None:
        row.hedge_at_ms = float("inf")
        if row.placing or not self._attempt_left(row):
            return
        if not self._placer.may_retry(self._placement_request(row), hedge=True):
            return
        self._log_retry(row, "hedge", "slower-than-expected")
        # Excludes the servers with an attempt in flight from this one placement.
        current = [attempt.server for attempt in row.attempts.values()]
        row.excluded.extend(current)
        self._place(row)
        for server in current:
            row.excluded.remove(server)

    def _expire(self, row: table.RequestRow) -> None:
        may_have_run = row.may_have_run or bool(row.attempts)
        for lease in list(row.attempts):
            row.sink.cancel(lease)
        row.may_have_run = may_have_run
        shutting_down = self._context.now_ms() >= self._shutdown_at_ms
        refusal = refusals.host_shutting_down if shutting_down else refusals.deadline_passed
        self._refuse(row, refusal(row.head, may_have_run))

    def _refuse(self, row: table.RequestRow, refusal: ports.Refusal) -> None:
        self._end(row, None)
        self._refuse_head(row.head, row.sink, refusal)

    def _refuse_by_records(
        self, head: ports.RequestHead, sink: ports.RequestSink, refusal: ports.Refusal
    ) -> None:
        """Refuse a request that the records in force do not allow, and log their version."""
        version = self._records.configuration_version
        detail = {} if version is None else {"configuration_version": version}
        self._refuse_head(head, sink, refusal, detail)

    def _refuse_head(
        self,
        head: ports.RequestHead,
        sink: ports.RequestSink,
        refusal: ports.Refusal,
        detail: dict[str, int] = {},
    ) -> None:
        refusal = self._cap_retry_after(head, refusal)
        self._context.record_decision(
            ring.DecisionKind.REFUSE,
            "refused",
            refusal.code,
            request=head.request,
            detail={
                "status": refusal.status,
                "not_run": refusal.not_run.value,
                "retry_after_ms": round(refusal.retry_after_ms, 1),
                **detail,
                **_caller_request(head),
            },
        )
        sink.refuse(refusal)

    def _cap_retry_after(self, head: ports.RequestHead, refusal: ports.Refusal) -> ports.Refusal:
        """Return the refusal with a Retry-After no longer than callers honour."""
        max_ms = max(0.0, head.deadline_ms - self._context.now_ms()) * _MAX_RETRY_AFTER_FRACTION
        if refusal.retry_after_ms <= max_ms:
            return refusal
        return msgspec.structs.replace(refusal, retry_after_ms=max_ms)

    def _end(self, row: table.RequestRow, answer: ports.StoredAnswer | None) -> None:
        """Finish or release the claim of a request and remove its row."""
        if row.claim is not None:
            if row.may_have_run or row.attempts:
                self._claims.finish(row.claim, answer)
            else:
                self._claims.release(row.claim)
            row.claim = None
        self._remove_row(row)

    def _remove_row(self, row: table.RequestRow) -> None:
        row.stage = table.RequestStage.ENDED
        self._rows.pop(row.head.request, None)

    def _return_lease(self, placement: ports.Placement) -> None:
        """Release the lease of a placement that is not dispatched."""
        if placement.server is None:
            return
        unused = ports.Outcome(kind=ports.OutcomeKind.CANCELLED, latency_ms=0.0, bytes_sent=False)
        self._placer.complete(placement.lease, unused)

    def _log_outcome(
        self, row: table.RequestRow, attempt: table.AttemptRow, outcome: ports.Outcome
    ) -> None:
        self._context.record_decision(
            ring.DecisionKind.OUTCOME,
            attempt.server,
            outcome.kind.value,
            request=row.head.request,
            detail={
                "attempt": attempt.number,
                "latency_ms": round(outcome.latency_ms, 3),
                "status": outcome.status,
            },
        )

    def _log_retry(self, row: table.RequestRow, choice: str, reason: str) -> None:
        self._context.record_decision(
            ring.DecisionKind.RETRY,
            choice,
            reason,
            request=row.head.request,
            detail={"attempt": row.attempt_count},
        )


def _caller_request(head: ports.RequestHead) -> dict[str, str]:
    """Return the decision detail that holds the caller's own request identifier, if any."""
    return {"caller_request": head.caller_request} if head.caller_request else {}


def _fingerprint(head: ports.RequestHead, workspace: str | None) -> str:
    parts = (workspace or "", head.method, head.host, head.path, head.query, str(head.body_length))
    return xxhash.xxh3_64_hexdigest("\x00".join(parts))


def _claim_fingerprint(row: table.RequestRow) -> str:
    """Return the hash by which a resend under an idempotency key is told from another request.

    A body that is streamed has no digest, so such a request equals no other one.
    """
    body = row.head.body_digest if row.head.body_buffered else row.head.request
    return xxhash.xxh3_64_hexdigest(f"{row.fingerprint}\x00{body}")


def _placement_fingerprint(row: table.RequestRow) -> str:
    if not row.head.body_digest:
        return row.fingerprint
    return xxhash.xxh3_64_hexdigest(f"{row.fingerprint}\x00{row.head.body_digest}")
