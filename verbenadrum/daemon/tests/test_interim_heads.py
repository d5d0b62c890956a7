"""Tests of interim heads (1xx) that a server sends before its answer."""

import contextlib
import json
import math
import time

import gevent
import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import connection_pools, upstream
from verbenadrum.daemon.tests import test_endless_callers, test_framing, test_upstream
from verbenadrum.records import types

start = test_endless_callers.start
Kind = ports.OutcomeKind
FINAL = test_upstream.HEAD + b"Content-Length: 2\r\n\r\nok"
PAUSE_S = 0.2
INTERIM = {
    status: b"HTTP/1.1 %d Wait\r\nX-Request-Id: q1\r\nContent-Length: 7\r\n\r\n" % status
    for status in (100, 102, 103, 150, 199)
}
LONG_INTERIM = b"HTTP/1.1 103 Hints\r\nLink: %s\r\n\r\n" % (b"x" * 10_000)
ROUTE_TIMEOUT_MS = 500.0


class PausingBackend(test_upstream.Backend):
    """Backend server that pauses after each part of its answer."""

    pause_s = PAUSE_S

    def handle(self, sock, address):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                self.requests += data.count(b"HTTP/1.1\r\n")
                for part in self.answer:
                    sock.sendall(part)
                    gevent.sleep(self.pause_s)
                if self.after != "keep":
                    return


def attempt(address, **options):
    pools = connection_pools.ConnectionPools(max_idle_per_server=2)
    return test_upstream.attempt(pools, address, **{"timeout_s": 20.0, **options})


# A head of status 102 or 103 ended the request: it ran and was never answered.
@pytest.mark.parametrize("status", INTERIM)
@pytest.mark.parametrize("count", [1, 3])
def test_answer_after_interim_heads_is_passed_on(status, count):
    backend = PausingBackend([*[INTERIM[status]] * count, FINAL])
    answer = attempt(backend.address).run()
    assert (answer.status, answer.prefetched) == (200, b"ok")
    assert answer.latency_ms >= count * PAUSE_S * 1000.0


@pytest.mark.parametrize(
    ("parts", "kind"),
    [
        ([b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", FINAL], Kind.RESET),
        ([INTERIM[102] * 5_000, FINAL], Kind.RESET),
        ([b"HTTP/1.1 103 Hints\r\n\r\n" * 1_001, FINAL], Kind.RESET),
        ([LONG_INTERIM * 8, FINAL], Kind.RESET),
        ([INTERIM[102]], Kind.TIMEOUT),
        ([INTERIM[103][:-4]], Kind.TIMEOUT),
    ],
)
def test_interim_heads_without_an_answer_end_as_work_that_may_have_run(parts, kind):
    backend = PausingBackend(parts)
    timeout_s = 1.0 if kind is Kind.TIMEOUT else 20.0
    with pytest.raises(upstream.AttemptError) as raised:
        attempt(backend.address, timeout_s=timeout_s).run()
    assert (raised.value.outcome.kind, raised.value.outcome.may_have_run) == (kind, True)


def test_connection_that_ends_after_an_interim_head_may_have_run():
    backend = PausingBackend([INTERIM[102]], after="close")
    with pytest.raises(upstream.AttemptError) as raised:
        attempt(backend.address).run()
    assert (raised.value.outcome.kind, raised.value.outcome.may_have_run) == (Kind.RESET, True)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_caller_gets_the_one_answer_and_no_interim_head(start, method):
    final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    backend = PausingBackend([INTERIM[103], final])
    host = start(backend.address)
    with contextlib.closing(test_framing.Caller(host)) as caller:
        for _ in range(2):
            answer = caller.ask("/first", method)
            assert (answer.status, answer.body) == (200, b"ok")
        assert caller.reader.pending == b""
    assert backend.requests == 2


# A word of an interim head could make a request that may have run count as not run.
def test_headers_of_an_interim_head_say_nothing_of_the_answer():
    said = b"X-Not-Run: true\r\nX-Draining: true\r\nX-Rate-Limit: 1\r\nRetry-After: 9\r\n\r\n"
    final = FINAL.replace(b"200 OK", b"503 Busy")
    backend = PausingBackend([b"HTTP/1.1 103 Hints\r\n" + said, final])
    with pytest.raises(upstream.AttemptError) as raised:
        attempt(backend.address).run()
    outcome = raised.value.outcome
    assert (outcome.kind, outcome.may_have_run) == (Kind.SERVER_ERROR, True)
    assert (outcome.draining, outcome.limit_per_s, outcome.rest_ms) == (False, math.inf, 0.0)


def test_interim_heads_without_end_are_cut_off_at_the_timeout_of_the_route(start):
    backend = PausingBackend([INTERIM[102]] * 500)
    backend.pause_s = 0.02
    host = start(backend.address)
    spec = types.RouteSpec(path_prefix="/", service="svc", timeout_ms=ROUTE_TIMEOUT_MS)
    kind = types.RecordKind.ROUTE
    host.core.apply_records([types.Record(kind=kind, name="svc", revision=99, spec=spec)])
    with contextlib.closing(test_framing.Caller(host)) as caller:
        started_s = time.monotonic()
        answer = caller.ask("/first", "POST")
        assert ROUTE_TIMEOUT_MS <= (time.monotonic() - started_s) * 1000.0 < ROUTE_TIMEOUT_MS * 5.0
    assert (answer.status, json.loads(answer.body)["not_run"]) == (504, "unknown")


# Where a server that sends interim heads looks alive, requests go on to one that stalls.
def test_server_that_sends_interim_heads_alone_counts_as_waited_for(start):
    backend = PausingBackend([INTERIM[102]] * 500)
    backend.pause_s = 0.02
    host = start(backend.address)
    with contextlib.closing(test_framing.Caller(host, deadline_ms=1_000)) as caller:
        assert caller.ask("/first", "POST").status == 504
        with gevent.Timeout(test_endless_callers.CANCEL_TIMEOUT_S):
            while not host.core.outcomes:
                gevent.sleep(0.005)
    outcome = host.core.outcomes[0]
    assert (outcome.kind, outcome.status) == (Kind.CANCELLED, 0)
    assert outcome.latency_ms >= 900.0
