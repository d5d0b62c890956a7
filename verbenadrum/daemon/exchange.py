"""Exchange of one caller's request with backend servers, as ordered by the decision core."""

import logging
import math

import gevent
import msgspec
from gevent import event

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.daemon import buffers, connection_pools, http_server, upstream
from verbenadrum.engine import engine
from verbenadrum.utils import clock

__all__ = ["CommittedAnswer", "Exchange"]

# Maximum size of a response body that is stored for replay under its idempotency key.
MAX_STORED_BYTES = 65_536
_MS_PER_S = 1000.0
# Attempts time out this long after the request's deadline, if the core has not cancelled them.
_READ_TIMEOUT_MARGIN_MS = 1_000.0
# Limit for requests that must not run twice. Servers keep idle connections open for seconds, so one
# that was used this recently is rarely closed by its server while a request is being sent.
_MAX_REUSE_IDLE_S = 2.0

_log = logging.getLogger(__name__)


class CommittedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the attempt that the core committed, which is passed on to the caller."""

    lease: ids.LeaseId
    answer: upstream.Answer


Result = CommittedAnswer | ports.Refusal | ports.StoredAnswer


class Exchange:
    """Request sink of the core for one request: runs its attempts and waits for the result.

    Parameters
    ----------
    engine : Engine
        Decision core.
    pools : ConnectionPools
        Connections to backend servers.
    clock : Clock
        Source of time.
    outgoing : OutgoingRequest
        The request to send. The headers for identifier, deadline, workspace and expected server
        are added for each attempt.
    names : HeaderNames
        Names of the headers that backend servers use.
    budget : BufferBudget or None
        Buffers of the host for answers; None for a budget of each attempt's own.
    """

    def __init__(
        self,
        *,
        engine: engine.Engine,
        pools: connection_pools.ConnectionPools,
        clock: clock.Clock,
        outgoing: upstream.OutgoingRequest,
        names: upstream.HeaderNames = upstream.DEFAULT_HEADER_NAMES,
        budget: buffers.BufferBudget | None = None,
    ) -> None:
        self._names = names
        self._budget = budget
        self._engine = engine
        self._pools = pools
        self._clock = clock
        self._outgoing = outgoing
        self._attempts: dict[ids.LeaseId, upstream.Attempt] = {}
        self._greenlets: dict[ids.LeaseId, gevent.Greenlet] = {}
        self._result: event.AsyncResult = event.AsyncResult()

    def wait(self, timeout_s: float | None = None) -> Result:
        """Wait for the result of the request: a committed response, a refusal or a stored answer.

        Raises
        ------
        gevent.Timeout
            If there is no result after ``timeout_s`` seconds; None waits without a limit.
        CallerBodyError
            If the caller's body broke off or was malformed while an attempt was streaming it.
        """
        return self._result.get(timeout=timeout_s)

    def dispatch(self, order: ports.DispatchOrder) -> None:
        """Start the attempt in a new greenlet."""
        remaining_ms = max(1.0, order.deadline_ms - self._clock.now_ms())
        headers = [
            *self._outgoing.headers,
            (self._names.request_id, self._outgoing.caller_request_id or order.request),
            (self._names.deadline_ms, str(int(remaining_ms))),
        ]
        if order.workspace:
            headers.append((self._names.workspace, order.workspace))
        if self._names.expected_server:
            headers.append((self._names.expected_server, order.server))
        attempt = upstream.Attempt(
            pools=self._pools,
            order=order,
            outgoing=msgspec.structs.replace(self._outgoing, headers=tuple(headers)),
            timeout_s=(remaining_ms + _READ_TIMEOUT_MARGIN_MS) / _MS_PER_S,
            names=self._names,
            budget=self._budget,
            max_idle_s=math.inf if order.idempotent else _MAX_REUSE_IDLE_S,
        )
        self._attempts[order.lease] = attempt
        self._greenlets[order.lease] = gevent.spawn(self._run, order, attempt)

    def refuse(self, refusal: ports.Refusal) -> None:
        """Set a refusal as the result."""
        self._result.set(refusal)

    def replay(self, answer: ports.StoredAnswer) -> None:
        """Set the stored answer of the same idempotency key as the result."""
        self._result.set(answer)

    def cancel(self, lease: ids.LeaseId) -> None:
        """Close the connection of a running attempt; does nothing if the attempt has ended."""
        attempt = self._attempts.get(lease)
        if attempt is not None:
            attempt.cancel()

    def drop_result(self) -> None:
        """Discard the response of a committed attempt that is not passed on after all."""
        result = self._result.value if self._result.ready() else None
        if isinstance(result, CommittedAnswer):
            result.answer.discard()

    def stop_body_reads(self) -> None:
        """Kill the attempts that read the caller's body; does nothing if it is not streamed.

        Without this they would go on reading the body after the request has ended.
        """
        if isinstance(self._outgoing.body, bytes) or self._outgoing.body is None:
            return
        for greenlet in list(self._greenlets.values()):
            greenlet.kill()

    def _run(self, order: ports.DispatchOrder, attempt: upstream.Attempt) -> None:
        try:
            answer = attempt.run()
        except gevent.GreenletExit:
            self._finish(order, attempt.close_after_kill())
            return
        except upstream.AttemptError as error:
            self._finish(order, error.outcome)
            if isinstance(error.__cause__, http_server.CallerBodyError):
                self._result.set_exception(error.__cause__)
            return
        except Exception:
            _log.exception(
                "attempt failed unexpectedly",
                extra={"request": order.request, "server": order.server},
            )
            self._finish(order, attempt.close_after_error())
            return
        if not self._engine.commit(
            order.request, order.lease, draining=answer.draining, limit_per_s=answer.limit_per_s
        ):
            answer.discard()
            self._finish(order, answer.outcome(ports.OutcomeKind.CANCELLED))
            return
        if answer.fully_prefetched:
            # The response was read completely, so the lease ends before the caller has read it.
            self._finish(order, answer.outcome(answer.outcome_kind()), _make_stored_answer(answer))
        self._result.set(CommittedAnswer(lease=order.lease, answer=answer))

    def finish_streamed(
        self, request: ids.RequestId, committed: CommittedAnswer, outcome: ports.Outcome
    ) -> None:
        """Report the outcome of a committed attempt whose response body was streamed."""
        self._attempts.pop(committed.lease, None)
        self._greenlets.pop(committed.lease, None)
        self._engine.complete_attempt(request, committed.lease, outcome)

    def _finish(
        self,
        order: ports.DispatchOrder,
        outcome: ports.Outcome,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        self._attempts.pop(order.lease, None)
        self._greenlets.pop(order.lease, None)
        self._engine.complete_attempt(order.request, order.lease, outcome, answer)


def _make_stored_answer(answer: upstream.Answer) -> ports.StoredAnswer | None:
    if len(answer.prefetched) > MAX_STORED_BYTES:
        return None
    return ports.StoredAnswer(
        status=answer.status, headers=tuple(answer.forwarded_headers()), body=answer.prefetched
    )
