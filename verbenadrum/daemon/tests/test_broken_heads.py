"""Tests that an answer with a malformed head never reaches a caller."""

import contextlib

import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import connection_pools, upstream
from verbenadrum.daemon.tests import broken_heads, test_endless_callers, test_framing, test_upstream

start = test_endless_callers.start
Kind = ports.OutcomeKind
BODY = b"body"
LENGTH = b"Content-Length: 4"
CHUNKED = b"Transfer-Encoding: chunked"
LINES_BY_FRAMING = {"length": [LENGTH], "chunked": [CHUNKED], "unframed": []}


def answer_of(first_line, field_lines, body=BODY):
    sent = test_framing.chunks(body) if CHUNKED in field_lines else body
    return b"\r\n".join([first_line, *field_lines, b"", sent])


def attempt(address):
    pools = connection_pools.ConnectionPools(max_idle_per_server=2)
    names = upstream.HeaderNames(allow_close_delimited=True)
    return test_upstream.attempt(pools, address, names=names, pass_errors=True)


def check_is_no_answer(start, answer):
    """Check that a request that may run once ends as work that may have run, and is not repeated.

    The next request gets its own answer.
    """
    backends = [test_framing.TwoAnswerBackend(answer, after="close") for _ in range(2)]
    host = start(*(backend.address for backend in backends))
    with contextlib.closing(test_framing.Caller(host)) as caller:
        first = caller.ask("/first", "POST")
        assert (first.status, b'"not_run": "unknown"' in first.body) == (502, True)
        assert sum(backend.requests for backend in backends) == 1
        assert host.core.kinds[0] in (Kind.RESET, Kind.TRUNCATED)
        assert host.core.outcomes[0].may_have_run
        second = caller.ask("/second", "POST")
    assert (second.status, second.body) == (200, test_framing.SECOND)


@pytest.mark.parametrize("framing", LINES_BY_FRAMING)
@pytest.mark.parametrize("first_line", broken_heads.MALFORMED_STATUS_LINES)
def test_answer_with_a_malformed_status_line_is_an_error(start, first_line, framing):
    check_is_no_answer(start, answer_of(first_line, LINES_BY_FRAMING[framing]))


@pytest.mark.parametrize("first_line", broken_heads.VALID_STATUS_LINES)
def test_answer_with_a_valid_status_line_is_passed_on(first_line):
    backend = test_upstream.Backend(answer_of(first_line, [b"X-Request-Id: q1", LENGTH]))
    answer = attempt(backend.address).run()
    assert (answer.status, answer.prefetched) == (200, BODY)


@pytest.mark.parametrize("place", ["first", "last"])
@pytest.mark.parametrize("framing", LINES_BY_FRAMING)
@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
def test_answer_with_a_malformed_field_line_is_an_error(start, line, framing, place):
    lines = [b"X-Signature: s", *LINES_BY_FRAMING[framing]]
    lines.insert(0 if place == "first" else len(lines), line)
    check_is_no_answer(start, answer_of(b"HTTP/1.1 200 OK", lines))


@pytest.mark.parametrize("line", broken_heads.VALID_FIELD_LINES)
def test_answer_with_valid_field_lines_is_passed_on(line):
    lines = [line, b"X-Request-Id: q1", LENGTH]
    backend = test_upstream.Backend(answer_of(b"HTTP/1.1 200 OK", lines))
    answer = attempt(backend.address).run()
    assert (answer.status, answer.prefetched) == (200, BODY)
    name = line.partition(b":")[0].decode()
    assert name in dict(answer.forwarded_headers())


@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
def test_interim_head_with_a_malformed_field_line_is_an_error(start, line):
    interim = b"\r\n".join([b"HTTP/1.1 103 Hints", b"Link: a", line, b"", b""])
    check_is_no_answer(start, interim + answer_of(b"HTTP/1.1 200 OK", [LENGTH]))


@pytest.mark.parametrize("first_line", [b"HTTP/1.1 +103 Hints", b"HTTP/1.1 0103 Hints"])
def test_interim_head_with_a_malformed_status_line_is_an_error(start, first_line):
    check_is_no_answer(start, first_line + b"\r\n\r\n" + answer_of(b"HTTP/1.1 200 OK", [LENGTH]))


# A refusal that a server in trouble sends says nothing of whether the request ran.
@pytest.mark.parametrize(
    ("status_line", "line"),
    [
        (b"HTTP/1.1 +503 Busy", b"X-Good: 1"),
        (b"HTTP/1.1 503 Bu\x00sy", b"X-Good: 1"),
        (b"HTTP/1.1 503 Busy", b"X Bad: 1"),
        (b"HTTP/1.1 503 Busy", b"X-Bad: \x01"),
    ],
)
def test_refusal_with_a_malformed_head_does_not_count_as_not_run(start, status_line, line):
    check_is_no_answer(start, answer_of(status_line, [b"X-Not-Run: true", line, LENGTH]))


def test_request_that_may_be_repeated_gets_the_whole_answer_of_another_server(start):
    broken = test_upstream.Backend(answer_of(b"HTTP/1.1 000 OK", [LENGTH]), after="close")
    whole = test_upstream.Backend(answer_of(b"HTTP/1.1 200 OK", [LENGTH]))
    host = start(broken.address, whole.address)
    for _ in range(10):
        with contextlib.closing(test_framing.Caller(host)) as caller:
            answer = caller.ask("/x")
        assert (answer.status, answer.body) == (200, BODY)
    assert broken.requests > 0
