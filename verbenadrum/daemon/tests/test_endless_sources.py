"""Tests of calls to the platform whose answers never end."""

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
FAST = endless.NO_ANSWERS | endless.BODIES
# The time limit of the former is too long for a body that takes as long to read.
CASES = [(platform_reader.HttpSource, case) for case in FAST if case != "small-chunks"]
CASES += [(store.StoreSource, case) for case in FAST]
FAILURES = (urllib3.exceptions.HTTPError, OSError, sources.SourceError, gevent.Timeout)
LIMIT_S = 0.5
LATE_S = 1.5
# The longest answer allowed, as its pieces and as a whole.
MEMORY_LIMIT_BYTES = 24_000_000
LONGEST_PAUSE_S = 0.5


def call(kind, server):
    """Make one call, and check that it fails in time and in bounded memory."""
    url = f"http://{server.address}"
    options = sources.SourceOptions(
        host="h1", urls=(url,), connect_timeout_s=LIMIT_S, read_timeout_s=LIMIT_S
    )
    order = duty.PollOrder(after=3, wait_ms=10.0, delay_ms=0.0)
    source = kind(options=options)
    ticker = endless.Ticker()
    started_s = time.monotonic()
    tracemalloc.start()
    try:
        with pytest.raises(FAILURES):
            source.poll(url, duty.Stream.RECORDS, order)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert time.monotonic() - started_s < 2.0 * LIMIT_S + LATE_S
    assert ticker.stop() < LONGEST_PAUSE_S
    assert peak < MEMORY_LIMIT_BYTES


@pytest.mark.parametrize(("kind", "case"), CASES)
def test_platform_answer_without_end_is_a_failed_call(serve, kind, case):
    server = serve(*FAST[case])
    call(kind, server)
    assert max(server.await_closed()) < endless.MANY_BYTES


@pytest.mark.parametrize("case", endless.DRIPPING)
def test_store_answer_that_drips_ends_when_the_time_of_the_call_is_up(serve, case):
    server = serve(*endless.DRIPPING[case], pause_s=0.005)
    call(store.StoreSource, server)
    server.await_closed()
