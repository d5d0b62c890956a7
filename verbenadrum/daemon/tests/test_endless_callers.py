"""Tests of what callers receive if a backend server sends endlessly or slowly."""

import contextlib
import socket
import time

import gevent
import pytest
import urllib3

from verbenadrum.core import ports
from verbenadrum.daemon import buffers, callers, connection_pools, http_server, sockets
from verbenadrum.daemon.tests import endless, test_callers
from verbenadrum.engine import engine
from verbenadrum.settings import types

serve = endless.serve
Kind = ports.OutcomeKind
REQUEST_ID_LINE = "X-Request-Id: q1\r\n"
HEADERS = {**test_callers.KEY, "X-Deadline-Ms": "1000"}
# 1 s to the deadline, plus 1 s after which a read that was not cancelled times out.
TIMEOUT_S = 2.0
MARGIN_S = 1.5
# Users' requirement: a server stops working on a request this soon after its caller disconnects.
CANCEL_TIMEOUT_S = 0.5
STREAMED_CASES = {case: (*arguments, 0.0) for case, arguments in endless.BODIES.items()}
STREAMED_CASES["long-length"] = (*endless.SLOW_RESPONSES["long-length"], 1, 0.005)
FAILURES = (Kind.RESET, Kind.TRUNCATED, Kind.TIMEOUT, Kind.CANCELLED)


class RecordingEngine:
    """Wraps an engine and records the outcomes that are reported to it."""

    def __init__(self, core):
        self._core = core
        self.outcomes = []

    def __getattr__(self, name):
        return getattr(self._core, name)

    @property
    def kinds(self):
        return [outcome.kind for outcome in self.outcomes]

    def complete_attempt(self, request, lease, outcome, answer=None):
        self.outcomes.append(outcome)
        return self._core.complete_attempt(request, lease, outcome, answer)


class Host:
    """A callers' port on a real socket, with an engine that is ticked by a greenlet."""

    def __init__(self, *addresses):
        core, clock = test_callers.make_engine(*addresses, echoes_request_id=False)
        self.core = RecordingEngine(core)
        self.budget = buffers.BufferBudget()
        port = callers.CallersPort(
            engine=self.core,
            budget=self.budget,
            pools=connection_pools.ConnectionPools(max_idle_per_server=2),
            clock=clock,
            request_metrics=test_callers.FakeRequestMetrics(),
            headers=types.HeadersTable(unframed_answers=True),
        )
        self.server = http_server.HttpServer(
            listener=sockets.listen("127.0.0.1:0"), application=port.application
        )
        self.server.start()
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self._ticks = gevent.spawn(self._tick)

    def _tick(self):
        while True:
            gevent.sleep(engine.TICK_MS / 1000.0)
            self.core.on_tick()

    def call(self, method, path="/x"):
        return urllib3.request(
            method,
            f"{self.url}{path}",
            headers=HEADERS,
            retries=False,
            timeout=TIMEOUT_S + MARGIN_S,
        )

    def stop(self):
        self._ticks.kill()
        self.server.stop(timeout=0)


@pytest.fixture
def start():
    with contextlib.ExitStack() as stack:

        def make(*addresses):
            host = Host(*addresses)
            stack.callback(host.stop)
            return host

        yield make


def without_id(first, *rest):
    return first.replace(REQUEST_ID_LINE, ""), *rest


def read_all(host, path="/x"):
    """Read a response until its connection is closed, and return its last part."""
    lines = [f"GET {path} HTTP/1.1", "Host: a", "Connection: close"]
    lines.extend(f"{name}: {value}" for name, value in HEADERS.items())
    received = bytearray()
    with socket.create_connection(("127.0.0.1", host.server.server_port)) as sock:
        sock.settimeout(TIMEOUT_S + MARGIN_S)
        sock.sendall("\r\n".join([*lines, "", ""]).encode())
        while data := sock.recv(1_000_000):
            received = received[-100:] + data if received else bytearray(data)
    return bytes(received)


@pytest.mark.parametrize("case", endless.INVALID_RESPONSES)
def test_request_that_may_run_once_is_told_that_its_outcome_is_unknown(serve, start, case):
    server = serve(*without_id(*endless.INVALID_RESPONSES[case]))
    host = start(server.address)
    answer = host.call("POST")
    assert (answer.status, answer.json()["not_run"]) == (502, "unknown")
    assert len(host.core.kinds) == 1
    assert host.core.kinds[0] in FAILURES
    server.await_closed()
    assert len(server.events("requested")) == 1


@pytest.mark.parametrize("case", sorted(set(endless.SLOW_RESPONSES) - {"long-length"}))
def test_request_whose_answer_drips_is_answered_at_its_deadline(serve, start, case):
    server = serve(*without_id(*endless.SLOW_RESPONSES[case]), pause_s=0.005)
    host = start(server.address)
    started_s = time.monotonic()
    answer = host.call("POST")
    assert time.monotonic() - started_s < TIMEOUT_S
    assert (answer.status, answer.json()["not_run"]) == (504, "unknown")
    server.await_closed()


@pytest.mark.parametrize("case", STREAMED_CASES)
def test_streamed_body_without_end_is_cut_off_and_holds_up_nobody(serve, start, case):
    *arguments, pause_s = STREAMED_CASES[case]
    server = serve(*without_id(*arguments), pause_s=pause_s)
    host = start(server.address)
    healthy = start(test_callers.Backend().address)
    started_s = time.monotonic()
    streaming = gevent.spawn(read_all, host)
    max_latency_s = 0.0
    while not streaming.ready() and time.monotonic() - started_s < TIMEOUT_S + MARGIN_S:
        call_started_s = time.monotonic()
        assert healthy.call("GET").status == 200
        max_latency_s = max(max_latency_s, time.monotonic() - call_started_s)
        gevent.sleep(0.01)
    assert not streaming.get(timeout=0.0).endswith(b"\r\n0\r\n\r\n")
    assert max_latency_s < 1.0
    # The caller gets its response at the deadline, before the cancelled attempt has ended.
    with gevent.Timeout(CANCEL_TIMEOUT_S):
        while not host.core.kinds:
            gevent.sleep(0.005)
    assert host.core.kinds[0] in FAILURES
    server.await_closed()


def test_repeatable_request_is_answered_by_another_server(serve, start):
    server = serve(*endless.INVALID_RESPONSES["interim-heads"])
    host = start(server.address, test_callers.Backend().address)
    for _ in range(10):
        answer = host.call("GET")
        assert (answer.status, answer.data[:2]) == (200, b"0 ")
    assert Kind.RESET in host.core.kinds
