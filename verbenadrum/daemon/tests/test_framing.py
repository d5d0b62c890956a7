"""Tests that a caller sees the answers of servers as they were framed, whatever their heads say."""

import contextlib
import itertools
import json
import os
import re
import socket

import gevent
import hypothesis
import pytest
from hypothesis import strategies

from standins import raw_answer
from verbenadrum.daemon import upstream
from verbenadrum.daemon.tests import test_endless_callers, test_upstream

start = test_endless_callers.start
DEADLINE_MS = 15_000
# Ends an exchange with a server that neither frames its answer nor closes.
SHORT_DEADLINE_MS = 1_000
SMALL = b"small body"
LARGE = b"y" * (upstream.PREFETCH_BYTES + 50_000)
# Reads like an answer to a caller that takes a part of the body for the whole.
TRAP = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrap"
SECOND = b"the answer to the second request"
# Sets the number of examples by hand; which ones they are then depends on --hypothesis-seed.
EXAMPLES = os.environ.get("FRAMING_EXAMPLES")
SETTINGS = hypothesis.settings(
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
    max_examples=int(EXAMPLES or 40),
)


def chunks(body, size=50_000):
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\n\r\n"


class TwoAnswerBackend(test_upstream.Backend):
    """Backend server that gives ``answer`` to ``/first`` and a sound answer to other requests."""

    def handle(self, sock, address):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                self.requests += 1
                if b" /first" in data:
                    sock.sendall(self.answer)
                    if self.after != "keep":
                        return
                else:
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n" + SECOND)


class Caller:
    """Caller on a plain socket, which reads as strictly as a careful client."""

    def __init__(self, host, version="1.1", deadline_ms=DEADLINE_MS):
        self.sock = socket.create_connection(("127.0.0.1", host.server.server_port))
        self.sock.settimeout(2.0 * DEADLINE_MS / 1_000.0)
        self.reader = raw_answer.AnswerReader(sock=self.sock)
        self.version = version
        self.headers = {**test_endless_callers.HEADERS, "X-Deadline-Ms": str(deadline_ms)}

    def ask(self, path, method="GET"):
        """Send a request and return its answer; None if the connection ended before its end."""
        lines = [f"{method} {path} HTTP/{self.version}", "Host: a"]
        if self.version == "1.0":
            lines.append("Connection: keep-alive")
        lines.extend(f"{name}: {value}" for name, value in self.headers.items())
        try:
            self.sock.sendall("\r\n".join([*lines, "", ""]).encode())
            answer = self.reader.read_head()
            if method == "HEAD" or answer.status in (204, 304):
                answer.body = b""
            else:
                self.reader.read_body(answer, itertools.repeat(0.0))
        except (OSError, gevent.Timeout):
            return None
        return answer

    def close(self):
        self.sock.close()


# Framings of a body, each with whether its answer may be taken as whole.
FRAMINGS = {
    "length": (b"Content-Length: %(length)d\r\n", "plain", True),
    "length-with-blanks": (b"Content-Length:  \t%(length)d \r\n", "plain", True),
    "length-lower-case": (b"content-length: %(length)d\r\n", "plain", True),
    "length-leading-zeros": (b"Content-Length: 000%(length)d\r\n", "plain", True),
    "length-equal-lines": (b"Content-Length: %(length)d\r\n" * 2, "plain", False),
    "length-equal-list": (b"Content-Length: %(length)d, %(length)d\r\n", "plain", False),
    "length-unequal-lines": (
        b"Content-Length: 3\r\nContent-Length: %(length)d\r\n",
        "plain",
        False,
    ),
    "length-unequal-list": (b"Content-Length: 3, %(length)d\r\n", "plain", False),
    "length-plus": (b"Content-Length: +%(length)d\r\n", "plain", False),
    "length-minus": (b"Content-Length: -%(length)d\r\n", "plain", False),
    "length-empty": (b"Content-Length: \r\n", "plain", False),
    "length-blank-inside": (b"Content-Length: 1 0\r\n", "plain", False),
    "length-hexadecimal": (b"Content-Length: 0x%(length)x\r\n", "plain", False),
    "length-long": (b"Content-Length: %(length)030d\r\n", "plain", False),
    "length-underscore": (b"Content-Length: 1_0\r\n", "plain", False),
    "length-space-before-colon": (b"Content-Length : %(length)d\r\n", "plain", False),
    "length-folded": (b"Content-Length:\r\n %(length)d\r\n", "plain", True),
    "chunked": (b"Transfer-Encoding: chunked\r\n", "chunks", True),
    "chunked-upper-case": (b"TRANSFER-ENCODING: Chunked\r\n", "chunks", True),
    "chunked-and-short-length": (
        b"Transfer-Encoding: chunked\r\nContent-Length: 9\r\n",
        "chunks",
        True,
    ),
    "chunked-and-length": (
        b"Content-Length: %(length)d\r\nTransfer-Encoding: chunked\r\n",
        "chunks",
        True,
    ),
    "chunked-and-bad-length": (
        b"Content-Length: x\r\nTransfer-Encoding: chunked\r\n",
        "chunks",
        False,
    ),
    "chunked-lines": (b"Transfer-Encoding: chunked\r\n" * 2, "chunks", False),
    "chunked-list": (b"Transfer-Encoding: chunked, chunked\r\n", "chunks", False),
    "chunked-not-last": (b"Transfer-Encoding: chunked, identity\r\n", "chunks", False),
    "identity": (b"Transfer-Encoding: identity\r\nContent-Length: %(length)d\r\n", "plain", False),
    "gzip": (b"Transfer-Encoding: gzip\r\n", "plain", False),
    "gzip-chunked": (b"Transfer-Encoding: gzip, chunked\r\n", "chunks", False),
    "coding-empty": (b"Transfer-Encoding: \r\nContent-Length: %(length)d\r\n", "plain", False),
    "no-colon": (b"Content-Length %(length)d\r\n", "plain", False),
}


def answer_of(fields, encoding, body, *, status=b"200 OK", version=b"1.1"):
    filled = re.sub(rb"%\(length\)(0?\d*[dx])", lambda match: (b"%" + match[1]) % len(body), fields)
    sent = chunks(body) if encoding == "chunks" else body
    return b"HTTP/%s %s\r\nX-Signature: s\r\n%s\r\n%s" % (version, status, filled, sent)


def check_first_answer(answer, body, whole):
    """Check that an answer is whole, or an error, or not complete; return whether it is whole."""
    if answer is None:
        return False
    if answer.status == 200:
        assert answer.body == body
        return True
    assert answer.status == 502
    return False


# A length that contradicts the chunks was passed on: callers took a part of the body as a success.
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("size", ["small", "large"])
@pytest.mark.parametrize("case", FRAMINGS)
def test_answer_is_whole_or_an_error_and_the_next_request_gets_its_own(start, case, size, version):
    fields, encoding, may_be_whole = FRAMINGS[case]
    body = TRAP + (SMALL if size == "small" else LARGE)
    backend = TwoAnswerBackend(answer_of(fields, encoding, body))
    host = start(backend.address)
    with contextlib.closing(Caller(host, version)) as caller:
        whole = check_first_answer(caller.ask("/first"), body, may_be_whole)
        assert whole == may_be_whole
        second = caller.ask("/second")
    if second is None:
        # The connection may have ended with the first answer.
        with contextlib.closing(Caller(host, version)) as caller:
            second = caller.ask("/second")
    assert (second.status, second.body) == (200, SECOND)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("body", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 4\r\n"])
def test_transfer_coding_of_an_old_protocol_version_is_an_error(start, length, body, version):
    fields = b"Transfer-Encoding: chunked\r\n" + length
    backend = TwoAnswerBackend(answer_of(fields, "chunks", TRAP + body, version=b"1.0"))
    host = start(backend.address)
    with contextlib.closing(Caller(host, version)) as caller:
        assert caller.ask("/first").status == 502
        second = caller.ask("/second")
    assert (second.status, second.body) == (200, SECOND)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("body", [b"", TRAP, LARGE], ids=["none", "small", "large"])
@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", b"200 OK"), ("GET", b"204 No Content"), ("GET", b"304 Same")]
)
@pytest.mark.parametrize(
    ("fields", "announced"),
    [
        (b"Content-Length: 10\r\n", "10"),
        (b"Content-Length: 999999\r\n", "999999"),
        (b"Transfer-Encoding: chunked\r\n", None),
        (b"Transfer-Encoding: chunked\r\nContent-Length: 10\r\n", None),
        (b"", None),
    ],
)
def test_answer_without_a_body_ends_with_its_head(
    start, method, status, fields, announced, body, version
):
    backend = TwoAnswerBackend(b"HTTP/1.1 %s\r\n%s\r\n%s" % (status, fields, body))
    host = start(backend.address)
    with contextlib.closing(Caller(host, version)) as caller:
        first = caller.ask("/first", method)
        assert first.status == int(status[:3])
        if announced and method == "HEAD":
            assert first.headers["content-length"] == announced
        assert "transfer-encoding" not in first.headers
        assert caller.reader.pending == b""
        second = caller.ask("/second")
        assert (second.status, second.body) == (200, SECOND)


def test_unframed_answer_is_whole_and_its_connection_is_not_used_again(start):
    backend = TwoAnswerBackend(answer_of(b"", "plain", SMALL), after="close")
    host = start(backend.address)
    with contextlib.closing(Caller(host)) as caller:
        assert caller.ask("/first").body == SMALL
        assert caller.ask("/second").body == SECOND


def test_answer_with_more_than_a_hundred_headers_is_passed_on(start):
    fields = b"".join(b"X-Field-%d: %d\r\n" % (number, number) for number in range(300))
    backend = TwoAnswerBackend(answer_of(fields + b"Content-Length: 10\r\n", "plain", SMALL))
    host = start(backend.address)
    with contextlib.closing(Caller(host)) as caller:
        first = caller.ask("/first")
    assert (first.status, first.body, first.headers["x-field-299"]) == (200, SMALL, "299")


FIELD_LINES = strategies.one_of(
    strategies.sampled_from([fields for fields, _, _ in FRAMINGS.values()]),
    strategies.sampled_from(
        [b"X-Other: 1\r\n", b"junk\r\n", b": 1\r\n", b" folded\r\n", b"Connection: close\r\n"]
    ),
    strategies.binary(max_size=12).map(lambda data: b"X-Raw: " + data + b"\r\n"),
)


def is_true_refusal(answer, backend, requests_before):
    """Return whether an answer says that the deadline passed before the request was sent.

    A host whose process stood still refuses so, which is true only if the server saw nothing.
    """
    if answer.status != 503:
        return False
    problem = json.loads(answer.body)
    assert (problem["code"], problem["not_run"]) == ("deadline-passed", "true")
    assert backend.requests == requests_before
    return True


def possible_bodies(sent, body):
    """Return the bodies that an answer of these bytes may have; a lone LF may end a line too."""
    end = re.search(rb"\n\r?\n", sent).end()
    head, rest = sent[:end].lower(), sent[end:]
    if b"chunked" in head:
        return {body} if rest == chunks(body) else set()
    return {rest, *(rest[: int(number)] for number in re.findall(rb"\d+", head))}


@hypothesis.given(
    lines=strategies.lists(FIELD_LINES, max_size=4),
    encoding=strategies.sampled_from(["plain", "chunks"]),
    body=strategies.binary(max_size=40),
    status=strategies.sampled_from([b"200 OK", b"204 No", b"304 Same", b"201 Made", b"404 No"]),
    after=strategies.sampled_from(["close", "close", "close", "keep"]),
)
@hypothesis.example(
    lines=[b"X-Raw: \n\r\n"], encoding="plain", body=b"", status=b"200 OK", after="close"
)
@SETTINGS
def test_callers_see_the_answers_of_their_requests_and_nothing_else(
    lines, encoding, body, status, after
):
    sent = answer_of(b"".join(lines), encoding, body + TRAP, status=status)
    backend = TwoAnswerBackend(sent, after=after)
    host = test_endless_callers.Host(backend.address)
    try:
        with contextlib.closing(Caller(host, deadline_ms=SHORT_DEADLINE_MS)) as caller:
            first = caller.ask("/first")
            refused = first is not None and is_true_refusal(first, backend, 0)
            if first is not None and not refused and first.status not in (204, 304, 502, 504):
                assert first.status == int(status[:3])
                assert first.body in possible_bodies(sent, body + TRAP)
            sent_requests = backend.requests
            second = caller.ask("/second") if first is not None else None
            refused = second is not None and is_true_refusal(second, backend, sent_requests)
            if second is not None and not refused and second.status != 504:
                assert (second.status, second.body) == (200, SECOND)
            assert caller.reader.pending == b""
    finally:
        host.stop()
        backend.server.stop(timeout=0)
