"""Tests of attempts against backend servers that send endlessly, slowly or unrequested."""

import contextlib
import time
import tracemalloc

import gevent
import pytest
from gevent import monkey

from verbenadrum.core import ports
from verbenadrum.daemon import connection_pools, upstream
from verbenadrum.daemon.tests import endless, test_upstream

Kind = ports.OutcomeKind
serve = endless.serve
TIMEOUT_S = 1.0
MARGIN_S = 1.0
MEMORY_LIMIT_BYTES = 4_000_000
MAX_BLOCKED_S = 0.5
FAILURES = (Kind.RESET, Kind.TRUNCATED, Kind.TIMEOUT)


class SlowBackend(test_upstream.Backend):
    """Backend server that sends its response in parts with pauses, and then closes."""

    def handle(self, sock, address):
        sock.recv(65_536)
        for piece in self.answer:
            sock.sendall(piece)
            gevent.sleep(0.01)


class UnsolicitedBackend(test_upstream.Backend):
    """Backend server that sends before any request, until its connection is closed."""

    def handle(self, sock, address):
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(self.answer)
                gevent.sleep(0.001)


@pytest.fixture
def pools():
    return connection_pools.ConnectionPools(max_idle_per_server=2)


def outcome_of(pools, server, **options):
    """Read a complete response, check that this fails in time, and return the outcome."""
    started_s = time.monotonic()
    with gevent.Timeout(5.0), pytest.raises(upstream.AttemptError) as raised:
        answer = test_upstream.attempt(pools, server.address, timeout_s=TIMEOUT_S, **options).run()
        for _ in answer.iter_remaining():
            pass
    assert time.monotonic() - started_s < TIMEOUT_S + MARGIN_S
    return raised.value.outcome


@pytest.mark.parametrize("case", endless.INVALID_RESPONSES)
def test_lines_without_end_are_no_answer_and_hold_up_nobody(pools, serve, case):
    server = serve(*endless.INVALID_RESPONSES[case])
    ticker = endless.Ticker()
    tracemalloc.start()
    try:
        outcome = outcome_of(pools, server)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert ticker.stop() < MAX_BLOCKED_S
    assert outcome.kind in FAILURES, outcome
    assert outcome.may_have_run
    assert peak < MEMORY_LIMIT_BYTES
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES
    assert pools.idle_count == 0


@pytest.mark.parametrize("case", endless.BODIES)
def test_body_that_never_makes_a_read_wait_holds_up_nobody(pools, serve, case):
    server = serve(*endless.BODIES[case])
    names = upstream.HeaderNames(allow_close_delimited=True)
    ticker = endless.Ticker()
    pending = test_upstream.attempt(
        pools, server.address, names=names, timeout_s=3.0 * MAX_BLOCKED_S
    )
    deadline_s = time.monotonic() + 3.0 * MAX_BLOCKED_S
    with contextlib.suppress(upstream.AttemptError):
        for _ in pending.run().iter_remaining():
            if time.monotonic() > deadline_s:
                break
    # The ticker records a blocked interval only when it runs again.
    gevent.sleep(0.02)
    assert ticker.stop() < MAX_BLOCKED_S


def test_discarded_answer_without_a_length_closes_its_connection(pools, serve):
    server = serve(*endless.BODIES["unframed"])
    names = upstream.HeaderNames(allow_close_delimited=True)
    answer = test_upstream.attempt(pools, server.address, names=names).run()
    assert not answer.fully_prefetched
    answer.discard()
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES


@pytest.mark.parametrize("case", ["chunks", "unframed"])
def test_cancelled_answer_that_drips_ends_at_once(pools, serve, case):
    first, _, _ = endless.BODIES[case]
    server = serve(first, "1\r\nx\r\n", pause_s=0.005)
    names = upstream.HeaderNames(allow_close_delimited=True)
    pending = test_upstream.attempt(pools, server.address, names=names)
    gevent.spawn_later(0.2, pending.cancel)
    with gevent.Timeout(MARGIN_S), pytest.raises(upstream.AttemptError) as raised:
        pending.run()
    assert raised.value.outcome.kind is Kind.CANCELLED
    server.await_closed()


def test_answer_without_a_length_that_is_cancelled_as_bytes_come_is_not_whole(pools, serve):
    server = serve(f"{endless.HEAD}\r\n", "x", pause_s=0.005)
    names = upstream.HeaderNames(allow_close_delimited=True)
    for _ in range(20):
        pending = test_upstream.attempt(pools, server.address, names=names)
        gevent.spawn_later(0.05, pending.cancel)
        # The event loop is blocked until both the cancellation and a byte are due.
        gevent.spawn_later(0.04, monkey.get_original("time", "sleep"), 0.02)
        with gevent.Timeout(MARGIN_S), pytest.raises(upstream.AttemptError) as raised:
            pending.run()
        assert raised.value.outcome.kind is Kind.CANCELLED


@pytest.mark.parametrize("case", endless.SLOW_RESPONSES)
def test_answer_that_drips_ends_when_the_time_of_the_attempt_is_up(pools, serve, case):
    server = serve(*endless.SLOW_RESPONSES[case], pause_s=0.005)
    outcome = outcome_of(pools, server, names=upstream.HeaderNames(allow_close_delimited=True))
    assert (outcome.kind, outcome.may_have_run) == (Kind.TIMEOUT, True)
    server.await_closed()
    assert pools.idle_count == 0


@pytest.mark.parametrize("case", endless.BODIES)
def test_body_without_end_is_streamed_in_bounded_memory_until_the_time_is_up(pools, serve, case):
    server = serve(*endless.BODIES[case])
    tracemalloc.start()
    try:
        outcome = outcome_of(pools, server, names=upstream.HeaderNames(allow_close_delimited=True))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (outcome.kind, outcome.may_have_run) == (Kind.TIMEOUT, True)
    assert peak < MEMORY_LIMIT_BYTES
    server.await_closed()


@pytest.mark.parametrize("pause_s", [0.0, TIMEOUT_S])
def test_time_that_the_caller_takes_is_no_fault_of_the_server(pools, serve, pause_s):
    server = serve(*endless.BODIES["chunks"])
    answer = test_upstream.attempt(pools, server.address, timeout_s=TIMEOUT_S).run()
    gevent.sleep(pause_s)
    with gevent.Timeout(TIMEOUT_S + MARGIN_S), pytest.raises(upstream.AttemptError) as raised:
        for _ in answer.iter_remaining():
            gevent.sleep(0.1)
    assert raised.value.outcome.kind is Kind.CANCELLED
    server.await_closed()


@pytest.mark.parametrize(
    ("framing", "pieces"),
    [
        (b"Content-Length: 20\r\n\r\n", [b"x"] * 20),
        (b"Transfer-Encoding: chunked\r\n\r\n", [b"1\r\nx\r\n"] * 20 + [b"0\r\n\r\n"]),
        (b"\r\n", [b"x"] * 20),
        (b"Content-Length: 2000000\r\n\r\n", [b"x" * 100_000] * 20),
    ],
)
def test_slow_answer_within_the_time_of_the_attempt_passes_whole(pools, framing, pieces):
    backend = SlowBackend([test_upstream.HEAD + framing, *pieces])
    names = upstream.HeaderNames(allow_close_delimited=True)
    answer = test_upstream.attempt(pools, backend.address, timeout_s=2.0, names=names).run()
    received = answer.prefetched + b"".join(answer.iter_remaining())
    assert received == b"x" * len(received)
    assert len(received) in (20, 2_000_000)


WHOLE = f"{endless.HEAD}Content-Length: 2\r\n\r\nok"


def test_connection_on_which_bytes_came_after_an_answer_carries_no_other_request(pools, serve):
    server = serve(f"{WHOLE}HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", pause_s=0.25)
    for _ in range(3):
        answer = test_upstream.attempt(pools, server.address).run()
        assert (answer.prefetched, answer.fully_prefetched) == (b"ok", True)
    assert (pools.idle_count, pools.connect_count) == (0, 3)
    server.await_closed(3)


def test_idle_connection_on_which_bytes_come_without_end_is_closed(pools, serve):
    server = serve(WHOLE, WHOLE, 1_000)
    answer = test_upstream.attempt(pools, server.address).run()
    assert (answer.prefetched, answer.fully_prefetched) == (b"ok", True)
    with gevent.Timeout(2.0):
        while pools.idle_count:
            gevent.sleep(0.05)
            pools.close_idle(max_idle_s=60.0)
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES


@pytest.mark.parametrize(("status", "method"), [(204, "GET"), (304, "GET"), (200, "HEAD")])
def test_body_of_an_answer_that_has_none_is_not_read(pools, serve, status, method):
    first = endless.CHUNKED.replace("200 OK", f"{status} No")
    server = serve(first, *endless.BODIES["chunks"][1:])
    pending = test_upstream.attempt(pools, server.address, method=method, timeout_s=TIMEOUT_S)
    with gevent.Timeout(TIMEOUT_S + MARGIN_S):
        answer = pending.run()
    assert (answer.status, answer.prefetched, answer.fully_prefetched) == (status, b"", True)
    with gevent.Timeout(2.0):
        while pools.idle_count:
            gevent.sleep(0.05)
            pools.close_idle(max_idle_s=60.0)
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES


def test_cancelled_answer_that_comes_fast_resets_its_connection(pools, serve):
    server = serve(*endless.BODIES["small-chunks"])
    pending = test_upstream.attempt(pools, server.address)
    gevent.spawn_later(0.3, pending.cancel)
    with gevent.Timeout(0.3 + MARGIN_S), pytest.raises(upstream.AttemptError) as raised:
        pending.run()
    assert raised.value.outcome.kind is Kind.CANCELLED
    server.await_closed()


def test_server_that_sends_unasked_has_not_crashed(pools):
    backend = UnsolicitedBackend(b"junk\r\n")
    outcome = test_upstream.outcome_of(pools, backend)
    assert (outcome.kind, outcome.refuses_connections) == (Kind.RESET, False)
