"""Tests of answers that a server begins before it has read a long upload."""

import contextlib
import itertools
import json
import re
import socket

import gevent
import pytest

from verbenadrum.core import ports
from verbenadrum.daemon import sockets, upstream
from verbenadrum.daemon.tests import test_endless_callers, test_framing, test_upstream

start = test_endless_callers.start
Kind = ports.OutcomeKind
PART = b"a part of the answer"
LARGE_PART = b"y" * (upstream.PREFETCH_BYTES + 50_000)
UPLOADS = {"300kB": 300_000, "8MB": 8_000_000}
PIECE_BYTES = 30_000
# The reset comes between two writes of the upload, or during one.
PIECE_PAUSE_S = 0.005
DELAYS_S = (0.0, 0.003, 0.01, 0.03)
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n"


class EarlyServer(test_upstream.Backend):
    """Server that answers as soon as it has read the head of a request.

    ``end`` is called with the connection and its file some time after the answer was sent.
    """

    def __init__(self, answer, end, *, delay_s=0.0):
        self.end = end
        self.delay_s = delay_s
        super().__init__(answer)

    def handle(self, sock, address):
        with contextlib.suppress(OSError), contextlib.closing(sock):
            file = sock.makefile("rb")
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                line = file.readline()
                if not line:
                    return
                head += line
            self.requests += 1
            sock.sendall(self.answer)
            gevent.sleep(self.delay_s)
            self.end(sock, file, head)


def reset(sock, file, head):
    sockets.reset(sock)


def read_on(sock, file, head):
    """Read the rest of the request, and of those that follow until the client closes."""
    while file.read1(65_536):
        pass


def end_in_order(sock, file, head):
    """End the answer, and read the request to its end before the connection is closed."""
    sock.shutdown(socket.SHUT_WR)
    read_on(sock, file, head)


def end_and_reset(sock, file, head):
    """End the answer, and reset the connection while the request is being sent."""
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(PIECE_PAUSE_S)
    sockets.reset(sock)


class Uploader(test_framing.Caller):
    """Caller that uploads in pieces while it waits for the answer."""

    def upload(self, size, *, chunked=False, pause_s=PIECE_PAUSE_S):
        """Return the answer; its body is None if the connection ended before its end.

        Returns None if there was no head.
        """
        sending = gevent.spawn(self._send, size, chunked, pause_s)
        answer = None
        try:
            answer = self.reader.read_head()
            self.reader.read_body(answer, itertools.repeat(0.0))
        except OSError:
            pass
        finally:
            sending.kill()
        return answer

    def _send(self, size, chunked, pause_s):
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        lines = [f"POST /x HTTP/{self.version}", "Host: a", framing]
        lines.extend(f"{name}: {value}" for name, value in self.headers.items())
        with contextlib.suppress(OSError):
            self.sock.sendall("\r\n".join([*lines, "", ""]).encode())
            for sent in range(0, size, PIECE_BYTES):
                piece = b"x" * min(PIECE_BYTES, size - sent)
                self.sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
                gevent.sleep(pause_s)
            if chunked:
                self.sock.sendall(b"0\r\n\r\n")


def upload_to(start, early, size, *, version="1.1", **options):
    """Return the answer to an upload, and the host's core."""
    host = start(early.address)
    with contextlib.closing(Uploader(host, version)) as caller:
        return caller.upload(size, **options), host.core


def answer_after_the_body(answer, end):
    """Return the behaviour of a server that reads the upload to its end before it answers."""

    def behave(sock, file, head):
        file.read(int(re.search(rb"Content-Length: (\d+)", head)[1]))
        sock.sendall(answer)
        gevent.sleep(PIECE_PAUSE_S)
        end(sock, file, head)

    return behave


def check_is_broken(answer, core, early):
    """Check that the answer is an error whose outcome is unknown, or does not look complete."""
    assert answer is None or answer.status == 502 or answer.body is None
    if answer is not None and answer.status == 502:
        assert json.loads(answer.body)["not_run"] == "unknown"
    assert early.requests == 1
    assert [outcome.kind in (Kind.RESET, Kind.TRUNCATED) for outcome in core.outcomes] == [True]
    assert core.outcomes[0].may_have_run


# A caller got a part of an answer as a success: the write of the upload had met the reset, and the
# read after it found an end in order.
@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", UPLOADS)
@pytest.mark.parametrize(
    "answer",
    [
        UNFRAMED + PART,
        UNFRAMED + LARGE_PART,
        UNFRAMED,
        UNFRAMED.replace(b"1.1", b"1.0") + PART,
        UNFRAMED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + PART,
        UNFRAMED.replace(b"200 OK", b"404 No") + PART,
    ],
    ids=["part", "large-part", "head-only", "old-version", "close", "failure"],
)
def test_answer_without_a_length_that_is_reset_during_an_upload_is_no_whole_one(
    start, answer, size, chunked, delay_s
):
    early = EarlyServer(answer, reset, delay_s=delay_s)
    check_is_broken(*upload_to(start, early, UPLOADS[size], chunked=chunked), early)


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 21\r\n\r\n" + PART,
        b"Content-Length: %d\r\n\r\n" % (2 * len(LARGE_PART)) + LARGE_PART,
        b"Transfer-Encoding: chunked\r\n\r\n14\r\n" + PART,
        b"Transfer-Encoding: chunked\r\n\r\n14\r\n" + PART + b"\r\n0\r\n",
    ],
    ids=["length", "long-length", "chunk", "last-chunk"],
)
def test_framed_answer_that_is_cut_by_a_reset_during_an_upload_is_no_whole_one(
    start, framing, delay_s
):
    early = EarlyServer(b"HTTP/1.1 200 OK\r\n" + framing, reset, delay_s=delay_s)
    check_is_broken(*upload_to(start, early, UPLOADS["8MB"]), early)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_caller_of_an_old_version_sees_that_the_answer_was_reset(start, delay_s):
    early = EarlyServer(UNFRAMED + LARGE_PART, reset, delay_s=delay_s)
    check_is_broken(*upload_to(start, early, UPLOADS["8MB"], version="1.0"), early)


# The refusal is cut, so that nothing it says counts: the request may have run.
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_refusal_without_a_length_that_is_reset_does_not_count_as_not_run(start, delay_s):
    refusal = UNFRAMED.replace(b"200 OK\r\n", b"503 Busy\r\nX-Not-Run: true\r\n")
    early = EarlyServer(refusal + PART, reset, delay_s=delay_s)
    check_is_broken(*upload_to(start, early, UPLOADS["8MB"]), early)


# A server that is killed in the middle of an answer does the same if it had read what had arrived.
def test_answer_without_a_length_whose_end_is_followed_by_a_reset_is_no_whole_one(start):
    early = EarlyServer(UNFRAMED + PART, end_and_reset)
    check_is_broken(*upload_to(start, early, UPLOADS["8MB"]), early)


WHOLE = b"whole answer"
# More than the buffers of a connection hold, so that it is passed on while it is received.
LONG_BODY = b"y" * (20 * upstream.PREFETCH_BYTES)
FRAMED = {
    "length": b"Content-Length: 12\r\n\r\n" + WHOLE,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\nc\r\n" + WHOLE + b"\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("end", [reset, read_on, end_in_order])
@pytest.mark.parametrize("framing", FRAMED)
def test_early_answer_with_a_length_or_in_chunks_is_passed_on(start, framing, end, delay_s):
    answer = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + FRAMED[framing]
    early = EarlyServer(answer, end, delay_s=delay_s)
    received, _ = upload_to(start, early, UPLOADS["8MB"], pause_s=0.0)
    assert (received.status, received.body, early.requests) == (200, WHOLE, 1)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_early_answer_that_has_no_body_is_passed_on(start, status):
    early = EarlyServer(b"HTTP/1.1 %s\r\nX-Signature: s\r\n\r\n" % status, reset, delay_s=0.01)
    host = start(early.address)
    with contextlib.closing(Uploader(host)) as caller:
        caller.reader.read_body = lambda answer, pauses_s: None
        assert caller.upload(UPLOADS["8MB"], pause_s=0.0).status == int(status[:3])


@pytest.mark.parametrize("end", [reset, read_on])
def test_refusal_of_a_long_upload_counts_as_not_run(start, end):
    refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\nbusy"
    early = EarlyServer(refusal, end, delay_s=0.01)
    received, core = upload_to(start, early, UPLOADS["8MB"], pause_s=0.0)
    assert (received.status, json.loads(received.body)["not_run"]) == (503, "true")
    assert core.kinds == [Kind.SHED]


@pytest.mark.parametrize("body", [WHOLE, LARGE_PART], ids=["small", "large"])
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_early_answer_without_a_length_that_ends_in_order_is_passed_on(start, body, delay_s):
    early = EarlyServer(UNFRAMED + body, end_in_order, delay_s=delay_s)
    received, _ = upload_to(start, early, UPLOADS["300kB"])
    assert (received.status, received.body) == (200, body)


@pytest.mark.parametrize("body", [WHOLE, LONG_BODY], ids=["small", "streamed"])
def test_answer_without_a_length_after_the_upload_was_read_is_passed_on(start, body):
    early = EarlyServer(b"", answer_after_the_body(UNFRAMED + body, end_in_order))
    received, _ = upload_to(start, early, UPLOADS["300kB"])
    assert (received.status, received.body) == (200, body)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_answer_without_a_length_that_is_reset_is_no_whole_one(start, version):
    early = EarlyServer(b"", answer_after_the_body(UNFRAMED + LONG_BODY, reset))
    received, core = upload_to(start, early, UPLOADS["300kB"], version=version)
    # The first part has been passed on by then.
    assert (received.status, received.body) == (200, None)
    assert core.kinds == [Kind.TRUNCATED]


def test_upload_whose_answer_is_reset_is_sent_to_no_other_server(start):
    servers = [EarlyServer(UNFRAMED + PART, reset, delay_s=0.01) for _ in range(2)]
    host = start(*(early.address for early in servers))
    with contextlib.closing(Uploader(host)) as caller:
        answer = caller.upload(UPLOADS["8MB"])
    assert (answer.status, json.loads(answer.body)["not_run"]) == (502, "unknown")
    assert sum(early.requests for early in servers) == 1
