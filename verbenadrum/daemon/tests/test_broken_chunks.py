"""Tests that a chunked body is whole only if its chunks and trailers are well-formed."""

import contextlib

import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import connection_pools, upstream
from verbenadrum.daemon.tests import broken_heads, test_endless_callers, test_framing, test_upstream

start = test_endless_callers.start
Kind = ports.OutcomeKind
HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"
LARGE = test_framing.chunks(b"y" * (upstream.PREFETCH_BYTES + 50_000)).removesuffix(LAST)
# Sizes of a chunk of four bytes, and of the last chunk, that a lenient reader takes for a number.
BROKEN_SIZES = [
    b"+4",
    b"0x4",
    b" 4",
    b"\t4",
    b"\x0b4",
    b"4\x0c",
    b"4\x00",
    b"0_4",
    b"4 4",
    b"4,",
    b"4;a\rb",
    b"",
]
BROKEN_LAST_SIZES = [b"-0", b"+0", b"0x0", b" 0", b"0_0", b"0\x00", b"00x", b"0 0"]
BROKEN_BODIES = {
    **{f"size {size!r}": size + b"\r\nbody\r\n" + LAST for size in BROKEN_SIZES},
    **{f"last size {size!r}": b"4\r\nbody\r\n" + size + b"\r\n\r\n" for size in BROKEN_LAST_SIZES},
    "longer than its size": b"4\r\nbody12" + LAST,
    "longer by one": b"4\r\nbody1\r\n" + LAST,
    "without its line end": b"4\r\nbody" + LAST,
    "other line end": b"4\r\nbody\n\r" + LAST,
    **{
        f"trailer {line!r}": b"4\r\nbody\r\n0\r\n" + line + b"\r\n\r\n"
        for line in broken_heads.MALFORMED_FIELD_LINES
    },
    "second trailer": b"4\r\nbody\r\n0\r\nX-Good: 1\r\njunk\r\n\r\n",
    "trailer that begins folded": b"4\r\nbody\r\n0\r\n folded: 1\r\n\r\n",
}
SOUND_BODIES = {
    "plain": b"4\r\nbody\r\n" + LAST,
    "leading zeros": b"0004\r\nbody\r\n000\r\n\r\n",
    "letters": b"A\r\n0123456789\r\nb\r\n0123456789a\r\n" + LAST,
    "extension": b"4;name=value\r\nbody\r\n0;last\r\n\r\n",
    "blanks": b"4 \t;name\r\nbody\r\n0  \r\n\r\n",
    "trailers": b"4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Other: a\r\n folded\r\n\r\n",
    "line ends inside": b"8\r\n\r\n4\r\n0\r\n\r\n" + LAST,
    "none": LAST,
}
WHOLE = {
    "letters": b"01234567890123456789a",
    "line ends inside": b"\r\n4\r\n0\r\n",
    "none": b"",
}


# Such bodies reached callers as whole ones: "-0" and "0x0" ended them, and what stood in place of
# the end of a chunk was thrown away.
@pytest.mark.parametrize("before", [b"", LARGE], ids=["small", "large"])
@pytest.mark.parametrize("case", BROKEN_BODIES)
def test_body_with_a_broken_chunk_or_trailer_does_not_look_complete(start, case, before):
    backend = test_framing.TwoAnswerBackend(HEAD + before + BROKEN_BODIES[case], after="close")
    host = start(backend.address)
    with contextlib.closing(test_framing.Caller(host)) as caller:
        first = caller.ask("/first", "POST")
    # The head of a large answer has been passed on; the connection ends before the body does.
    assert first is None if before else first.status == 502
    assert host.core.kinds == [Kind.TRUNCATED]
    assert backend.requests == 1


@pytest.mark.parametrize("before", [b"", LARGE], ids=["small", "large"])
@pytest.mark.parametrize("case", SOUND_BODIES)
def test_body_in_sound_chunks_is_passed_on(start, case, before):
    backend = test_framing.TwoAnswerBackend(HEAD + before + SOUND_BODIES[case])
    host = start(backend.address)
    with contextlib.closing(test_framing.Caller(host)) as caller:
        first = caller.ask("/first", "POST")
        second = caller.ask("/second", "POST")
    expected = WHOLE.get(case, b"body")
    assert (first.status, first.body.lstrip(b"y")) == (200, expected)
    assert (second.status, second.body) == (200, test_framing.SECOND)


def test_trailers_of_many_short_lines_are_an_error():
    trailers = b"a:\r\n" * 3_000
    head = test_upstream.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    backend = test_upstream.Backend(head + b"0\r\n" + trailers + b"\r\n", after="close")
    pools = connection_pools.ConnectionPools(max_idle_per_server=2)
    assert test_upstream.outcome_of(pools, backend).kind is Kind.TRUNCATED
