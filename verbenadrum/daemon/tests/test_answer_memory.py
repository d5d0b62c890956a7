"""Tests that the answers of many requests at once stay within a bound on memory."""

import contextlib
import socket
import tracemalloc

import gevent
import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import answers, buffers, connection_pools, upstream
from verbenadrum.daemon.tests import test_endless_callers, test_upstream

start = test_endless_callers.start
CALLERS = 150
# What the host may hold of answers, and as much again for sockets, greenlets and copies in passing.
MEMORY_LIMIT_BYTES = 2 * buffers.DEFAULT_MAX_BYTES
MAX_WAIT_S = 30.0
HELD_BYTES = 700_000


class StallingBackend(test_upstream.Backend):
    """Backend server that sends most of what a host holds of an answer, and then stalls."""

    sent = 0

    def handle(self, sock, address):
        if sock.recv(65_536):
            self.requests += 1
            sock.sendall(self.answer)
            self.sent += 1
            gevent.sleep(60.0)


def send_request(host, path):
    """Send a request with a long deadline, and return its connection without reading."""
    headers = {**test_endless_callers.HEADERS, "X-Deadline-Ms": "60000"}
    lines = [f"GET {path} HTTP/1.1", "Host: a", *(f"{name}: {headers[name]}" for name in headers)]
    sock = socket.create_connection(("127.0.0.1", host.server.server_port))
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


# Each answer was held up to 786 kB before it was passed on: some hundred of them filled a host.
@pytest.mark.parametrize(
    "framing",
    [
        b"Transfer-Encoding: chunked\r\n\r\n" + b"2710\r\n" + b"x" * 10_000 + b"\r\n",
        b"X-Unframed: 1\r\n\r\n" + b"x" * 10_000,
        b"Content-Length: 780000\r\n\r\n" + b"x" * 10_000,
    ],
)
def test_many_answers_that_stall_stay_in_bounded_memory(start, framing):
    head, _, piece = framing.partition(b"\r\n\r\n")
    whole = test_upstream.HEAD.replace(b"X-Request-Id: q1\r\n", b"") + head
    backend = StallingBackend(whole + b"\r\n\r\n" + piece * (HELD_BYTES // 10_000))
    host = start(backend.address)
    tracemalloc.start()
    try:
        with contextlib.ExitStack() as stack:
            for number in range(CALLERS):
                stack.enter_context(contextlib.closing(send_request(host, f"/{number}")))
            with gevent.Timeout(MAX_WAIT_S):
                while backend.sent < CALLERS:
                    gevent.sleep(0.05)
            # What was sent last is still to be read.
            gevent.sleep(0.5)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert backend.requests == CALLERS
    assert peak < MEMORY_LIMIT_BYTES


def head_in_short_lines(count):
    fields = b"a:\r\n" * count + b"Content-Length: 780000\r\n\r\n"
    return StallingBackend(test_upstream.HEAD + fields)


def test_head_takes_a_small_multiple_of_its_limit_while_its_body_stalls():
    budget = buffers.BufferBudget(max_bytes=0)
    # The first attempt of a process fills caches.
    run_attempt(head_in_short_lines(100).address, budget)
    tracemalloc.start()
    try:
        answer = run_attempt(head_in_short_lines(1_700).address, budget)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert answer.status == 200
    assert held < 6 * answers.MAX_LINE_BYTES


# A head of 64 KiB in short lines took 2 MB for as long as the body of its answer stalled.
def test_head_in_more_short_lines_than_its_limit_holds_is_no_answer():
    backend = head_in_short_lines(16_000)
    pools = connection_pools.ConnectionPools(max_idle_per_server=2)
    assert test_upstream.outcome_of(pools, backend).kind is ports.OutcomeKind.RESET


def run_attempt(address, budget, names=upstream.DEFAULT_HEADER_NAMES):
    pools = connection_pools.ConnectionPools(max_idle_per_server=2)
    return test_upstream.attempt(pools, address, names=names, budget=budget).run()


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000,
        b"Transfer-Encoding: chunked\r\n\r\n" + b"186a0\r\n" + b"x" * 100_000 + b"\r\n0\r\n\r\n",
    ],
)
def test_answer_beyond_the_budget_is_streamed_whole(framing):
    backend = test_upstream.Backend(test_upstream.HEAD + framing)
    small = buffers.BufferBudget(max_bytes=70_000)
    answer = run_attempt(backend.address, small)
    assert not answer.fully_prefetched
    assert answer.prefetched + b"".join(answer.iter_remaining()) == b"x" * 100_000
    answer.release_buffer()
    assert small.used_bytes == 0


def test_buffer_of_an_answer_is_returned_when_it_was_passed_on_or_dropped():
    framing = b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000
    backend = test_upstream.Backend(test_upstream.HEAD + framing)
    budget = buffers.BufferBudget(max_bytes=200_000)
    answer = run_attempt(backend.address, budget)
    assert (answer.fully_prefetched, budget.used_bytes) == (True, 100_000)
    answer.discard()
    assert budget.used_bytes == 0
    cut = test_upstream.Backend(test_upstream.HEAD + framing[:-9], after="close")
    with pytest.raises(upstream.AttemptError) as raised:
        run_attempt(cut.address, budget)
    assert raised.value.outcome.kind is ports.OutcomeKind.TRUNCATED
    assert budget.used_bytes == 0


def test_callers_port_returns_the_buffers_of_answers(start):
    framing = b"Content-Length: 300000\r\n\r\n" + b"x" * 300_000
    backend = test_upstream.Backend(
        test_upstream.HEAD.replace(b"X-Request-Id: q1\r\n", b"") + framing
    )
    host = start(backend.address)
    for _ in range(3):
        assert host.call("GET").data == b"x" * 300_000
    left = send_request(host, "/left")
    gevent.sleep(0.2)
    left.close()
    gevent.sleep(0.5)
    assert host.budget.used_bytes == 0
