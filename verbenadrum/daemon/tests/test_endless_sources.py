"""Tests of calls to a platform whose answers never end, for each record source."""

import time
import tracemalloc

import gevent
import pytest
import urllib3

from verbenadrum.daemon import platform_reader, sources
from verbenadrum.daemon.tests import endless
from verbenadrum.dissemination import duty
from verbenadrum.platform import store

serve = endless.serve
UNPAUSED = endless.INVALID_RESPONSES | endless.BODIES
# The call timeout of `HttpSource` is too long for a test with the body that is slow to read.
CASES = [(platform_reader.HttpSource, case) for case in UNPAUSED if case != "small-chunks"]
CASES += [(store.StoreSource, case) for case in UNPAUSED]
FAILURES = (urllib3.exceptions.HTTPError, OSError, sources.SourceError, gevent.Timeout)
TIMEOUT_S = 0.5
TOLERANCE_S = 1.5
# Room for the largest answer allowed, once in pieces and once joined.
MEMORY_LIMIT_BYTES = 24_000_000
MAX_BLOCKED_S = 0.5


def check_call(source_class, server):
    """Make one call, and check that it fails within bounded time and memory."""
    url = f"http://{server.address}"
    options = sources.SourceOptions(
        host="h1", urls=(url,), connect_timeout_s=TIMEOUT_S, read_timeout_s=TIMEOUT_S
    )
    order = duty.PollOrder(after=3, wait_ms=10.0, delay_ms=0.0)
    source = source_class(options=options)
    ticker = endless.Ticker()
    started_s = time.monotonic()
    tracemalloc.start()
    try:
        with pytest.raises(FAILURES):
            source.poll(url, duty.Stream.RECORDS, order)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert time.monotonic() - started_s < 2.0 * TIMEOUT_S + TOLERANCE_S
    assert ticker.stop() < MAX_BLOCKED_S
    assert peak < MEMORY_LIMIT_BYTES


@pytest.mark.parametrize(("kind", "case"), CASES)
def test_platform_answer_without_end_is_a_failed_call(serve, kind, case):
    server = serve(*UNPAUSED[case])
    check_call(kind, server)
    assert max(server.await_closed()) < endless.BUFFER_LIMIT_BYTES


@pytest.mark.parametrize("case", endless.SLOW_RESPONSES)
def test_store_answer_that_drips_ends_when_the_time_of_the_call_is_up(serve, case):
    server = serve(*endless.SLOW_RESPONSES[case], pause_s=0.005)
    check_call(store.StoreSource, server)
    server.await_closed()
