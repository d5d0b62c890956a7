"""Tests of health probes of servers whose answers are malformed, truncated or endless."""

import time
import tracemalloc

import gevent
import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import prober
from verbenadrum.daemon.tests import endless, test_upstream

Kind = ports.OutcomeKind
serve = endless.serve
TIMEOUT_S = 0.5
TOLERANCE_S = 1.0
MEMORY_LIMIT_BYTES = 4_000_000
MAX_BLOCKED_S = 0.5


class FakeEngine:
    """Orders one probe and records its outcome."""

    def __init__(self, address):
        self.order = ports.ProbeOrder(
            lease="l1",
            service="svc",
            server="s1",
            address=address,
            path="/health",
            timeout_ms=1000.0 * TIMEOUT_S,
        )
        self.outcomes = []

    def pop_due_probes(self):
        return [self.order]

    def record_probe(self, order, outcome):
        self.outcomes.append(outcome)


def outcome_of(address):
    """Return the outcome of a probe, and check that it takes bounded time and memory."""
    fake_engine = FakeEngine(address)
    ticker = endless.Ticker()
    started_s = time.monotonic()
    tracemalloc.start()
    try:
        prober.Prober(engine=fake_engine).start_due_probes()
        with gevent.Timeout(5.0):
            while not fake_engine.outcomes:
                gevent.sleep(0.01)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert time.monotonic() - started_s < TIMEOUT_S + TOLERANCE_S
    assert ticker.stop() < MAX_BLOCKED_S
    assert peak < MEMORY_LIMIT_BYTES
    return fake_engine.outcomes[0]


@pytest.mark.parametrize("case", endless.INVALID_RESPONSES | endless.BODIES)
def test_probe_that_is_answered_without_end_fails(serve, case):
    server = serve(*(endless.INVALID_RESPONSES | endless.BODIES)[case])
    assert outcome_of(server.address).kind in (Kind.CONNECT_FAILED, Kind.TIMEOUT)
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES


@pytest.mark.parametrize("case", endless.SLOW_RESPONSES)
def test_probe_whose_answer_drips_ends_at_its_timeout(serve, case):
    server = serve(*endless.SLOW_RESPONSES[case], pause_s=0.005)
    assert outcome_of(server.address).kind is Kind.TIMEOUT
    server.await_closed()


@pytest.mark.parametrize(
    ("answer", "after", "kind"),
    [
        (b"Content-Length: 2\r\n\r\nok", "keep", Kind.OK),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "keep", Kind.OK),
        (b"\r\nok", "close", Kind.OK),
        (b"Content-Length: 9\r\n\r\nok", "close", Kind.CONNECT_FAILED),
    ],
)
def test_probe_reads_the_whole_answer(answer, after, kind):
    backend = test_upstream.Backend(test_upstream.HEAD + answer, after=after)
    outcome = outcome_of(backend.address)
    assert (outcome.kind, outcome.status) == (kind, 200 if kind is Kind.OK else 0)


# Probes read heads as requests do: else a server that is sound would be taken out of service.
@pytest.mark.parametrize(
    ("first", "fields", "kind"),
    [
        (b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n", b"Content-Length: 2\r\n\r\nok", Kind.OK),
        (b"HTTP/1.1 102 Wait\r\n\r\n" * 1_001, b"Content-Length: 2\r\n\r\nok", None),
        (b"HTTP/1.1 101 Other\r\n\r\n", b"Content-Length: 2\r\n\r\nok", None),
        (b"", b"X-Field: 1\r\n" * 300 + b"Content-Length: 2\r\n\r\nok", Kind.OK),
        (b"", b"Content-Length: 2, 2\r\n\r\nok", None),
        (
            b"",
            b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Kind.OK,
        ),
    ],
)
def test_probe_reads_heads_as_requests_do(first, fields, kind):
    backend = test_upstream.Backend(first + test_upstream.HEAD + fields)
    assert outcome_of(backend.address).kind is (kind or Kind.CONNECT_FAILED)
