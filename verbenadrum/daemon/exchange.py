"""Joins one caller's request to the decisions of the core and the attempts that they order."""

import math

import gevent
import msgspec
from gevent import event

from verbenadrum import ids
from verbenadrum.core import engine, ports
from verbenadrum.daemon import http_server, upstream
from verbenadrum.utils import clock

__all__ = ["Exchange", "Passed"]

MAX_STORED_BYTES = 65_536
_MS_PER_S = 1000.0
# Ends a read that the core's own deadline has not cancelled.
_EXTRA_TIMEOUT_MS = 1_000.0
# Servers keep idle connections for seconds; one used this lately is seldom gone unnoticed.
_ONCE_REUSE_S = 2.0


class Passed(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt whose answer goes to the caller."""

    lease: ids.LeaseId
    answer: upstream.Answer


Verdict = Passed | ports.Refusal | ports.StoredAnswer


class Exchange:
    """Sink of one request: runs the attempts that the core orders.

    Parameters
    ----------
    engine : Engine
        Decision core.
    pools : ConnectionPools
        Connections to backend servers.
    clock : Clock
        Source of time.
    sent : SentRequest
        The request as backend servers see it, without deadline and identity headers.
    names : HeaderNames
        Headers that carry meaning.
    """

    def __init__(
        self,
        *,
        engine: engine.Engine,
        pools: upstream.ConnectionPools,
        clock: clock.Clock,
        sent: upstream.OutgoingRequest,
        names: upstream.HeaderNames = upstream.DEFAULT_NAMES,
    ) -> None:
        self._names = names
        self._engine = engine
        self._pools = pools
        self._clock = clock
        self._sent = sent
        self._attempts: dict[ids.LeaseId, upstream.Attempt] = {}
        self._running: dict[ids.LeaseId, gevent.Greenlet] = {}
        self._verdict: event.AsyncResult = event.AsyncResult()

    def wait(self, timeout_s: float | None = None) -> Verdict:
        """Return what the caller gets, once it is known.

        Raises
        ------
        gevent.Timeout
            If it is not known in time.
        """
        return self._verdict.get(timeout=timeout_s)

    def dispatch(self, order: ports.DispatchOrder) -> None:
        """Start an attempt."""
        remaining_ms = max(1.0, order.deadline_ms - self._clock.now_ms())
        headers = [
            *self._sent.headers,
            (self._names.request_id, self._sent.caller_request_id or order.request),
            (self._names.deadline_ms, str(int(remaining_ms))),
        ]
        if order.workspace:
            headers.append((self._names.workspace, order.workspace))
        if self._names.expected_server:
            headers.append((self._names.expected_server, order.server))
        attempt = upstream.Attempt(
            pools=self._pools,
            order=order,
            outgoing=msgspec.structs.replace(self._sent, headers=tuple(headers)),
            timeout_s=(remaining_ms + _EXTRA_TIMEOUT_MS) / _MS_PER_S,
            names=self._names,
            max_idle_s=math.inf if order.repeatable else _ONCE_REUSE_S,
        )
        self._attempts[order.lease] = attempt
        self._running[order.lease] = gevent.spawn(self._run, order, attempt)

    def refuse(self, refusal: ports.Refusal) -> None:
        """Answer with a refusal."""
        self._verdict.set(refusal)

    def replay(self, answer: ports.StoredAnswer) -> None:
        """Answer with the stored answer of the same idempotency key."""
        self._verdict.set(answer)

    def cancel(self, lease: ids.LeaseId) -> None:
        """Close the connection of an attempt."""
        attempt = self._attempts.get(lease)
        if attempt is not None:
            attempt.cancel()

    def stop_reading(self) -> None:
        """End the attempts that still read the caller's body, once it is of no use."""
        if isinstance(self._sent.body, bytes) or self._sent.body is None:
            return
        for running in list(self._running.values()):
            running.kill()

    def _run(self, order: ports.DispatchOrder, attempt: upstream.Attempt) -> None:
        try:
            answer = attempt.run()
        except gevent.GreenletExit:
            self._end(order, attempt.close_after_kill())
            return
        except upstream.AttemptError as error:
            self._end(order, error.outcome)
            if isinstance(error.__cause__, http_server.CallerBodyError):
                self._verdict.set_exception(error.__cause__)
            return
        if not self._engine.commit(order.request, order.lease):
            answer.discard()
            self._end(order, answer.outcome(ports.OutcomeKind.CANCELLED))
            return
        if answer.fully_prefetched:
            # The answer is known whole, so its end need not wait for the caller to read it.
            self._end(order, answer.outcome(answer.outcome_kind()), _stored(answer))
        self._verdict.set(Passed(lease=order.lease, answer=answer))

    def end_streamed(self, request: ids.RequestId, passed: Passed, outcome: ports.Outcome) -> None:
        """Report how an answer ended whose body was passed on piece by piece."""
        self._attempts.pop(passed.lease, None)
        self._running.pop(passed.lease, None)
        self._engine.outcome(request, passed.lease, outcome)

    def _end(
        self,
        order: ports.DispatchOrder,
        outcome: ports.Outcome,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        self._attempts.pop(order.lease, None)
        self._running.pop(order.lease, None)
        self._engine.outcome(order.request, order.lease, outcome, answer)


def _stored(answer: upstream.Answer) -> ports.StoredAnswer | None:
    if len(answer.prefetched) > MAX_STORED_BYTES:
        return None
    return ports.StoredAnswer(
        status=answer.status, headers=tuple(answer.forwarded_headers()), body=answer.prefetched
    )
