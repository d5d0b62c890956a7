"""Tests of the HTTP server with raw sockets: framing, limits, idle connections and shutdown."""

import errno
import socket
import ssl
import time

import gevent
import hypothesis
import pytest
from gevent import monkey
from hypothesis import strategies

from verbenadrum.daemon import http_server, sockets
from verbenadrum.daemon.tests import certificates
from verbenadrum.records import types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=150)
TIMEOUT_S = 5.0
GOOD = b"GET /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class Server:
    """HTTP server whose application records the target and body of each request."""

    def __init__(self, tls=None):
        self.bodies = []
        self.in_flight = []
        self.server = http_server.HttpServer(
            listener=sockets.listen("127.0.0.1:0"), application=self.answer, tls=tls
        )
        self.server.start()

    def answer(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.bodies.append((environ[http_server.TARGET_KEY], body))
        self.in_flight.append(self.server.in_flight)
        if environ["PATH_INFO"] == "/abort":
            start_response("200 OK", [("Content-Length", "10")])
            return self.aborted()
        if environ["PATH_INFO"].startswith("/unframed"):
            start_response("200 OK", [])
            return self.unframed(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def aborted(self):
        yield b"half"
        raise http_server.AbortResponse("the server left", "truncated")

    def unframed(self, path):
        yield b"half"
        if path == "/unframed-abort":
            raise http_server.AbortResponse("the server left", "truncated")
        if path == "/unframed-error":
            raise KeyError("unexpected")
        if path == "/unframed-wait":
            gevent.sleep(TIMEOUT_S)

    def send(self, data):
        with socket.create_connection(("127.0.0.1", self.server.server_port), TIMEOUT_S) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while piece := sock.recv(65_536):
                received += piece
            return received


@pytest.fixture(scope="module")
def server():
    created = Server()
    yield created
    created.server.stop(timeout=0)


def post(*headers, body=b""):
    lines = [b"POST /guarded HTTP/1.1", b"Host: a", *headers, b"", body]
    return b"\r\n".join(lines)


@pytest.mark.parametrize(
    "data",
    [
        post(b"Content-Length: 3", b"Content-Length: 3", body=b"abc"),
        post(b"Content-Length: 3", b"Content-Length: 4", body=b"abcd"),
        post(b"Content-Length: +3", body=b"abc"),
        post(b"Content-Length: -1"),
        post(b"Content-Length: 3", b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"),
        post(b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"),
        post(b"Transfer-Encoding: xchunked", body=b"0\r\n\r\n"),
        post(b"Transfer-Encoding : chunked", body=b"0\r\n\r\n"),
        post(b"Bad Name: x"),
        post(b"X: a", b" folded"),
        post(b"Host: b"),
        post(b"X: a\x00b"),
        b"GET /guarded HTTP/1.1\r\n\r\n",
        b"GET /guarded HTTP/2.0\r\nHost: a\r\n\r\n",
        b"GET /guarded\r\n\r\n",
        b"GET /guarded HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 200 + b"\r\n",
        b"GET /guarded HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
        b"GET /guarded HTTP/1.1\nHost: a\n\n",
        b"GET /guarded HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        b"GET /" + b"g" * 65_530 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
)
def test_doubtful_framing_never_reaches_the_application(server, data):
    server.bodies.clear()
    received = server.send(data)
    assert received == b"" or received.startswith(b"HTTP/1.1 4")
    assert server.bodies == []


@pytest.mark.parametrize("size", [b"-1", b"f" * 18, b"0x4", b"", b"g"])
def test_malformed_chunk_size_is_refused_at_once(server, size):
    server.bodies.clear()
    data = post(b"Transfer-Encoding: chunked", body=size + b"\r\nabcd\r\n0\r\n\r\n")
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        sock.sendall(data)
        received = b""
        while piece := sock.recv(65_536):
            received += piece
    assert received.startswith(b"HTTP/1.1 400")
    assert server.bodies == []


def test_pipelined_requests_get_their_own_answers(server):
    server.bodies.clear()
    data = post(b"Content-Length: 3", body=b"one") + post(b"Content-Length: 3", body=b"two")
    received = server.send(data)
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert [body for _, body in server.bodies] == [b"one", b"two"]


def test_aborted_answer_is_not_ended_cleanly(server):
    received = server.send(b"GET /abort HTTP/1.1\r\nHost: a\r\n\r\n" + GOOD)
    assert received.endswith(b"half")


@pytest.mark.parametrize("path", [b"/unframed-abort", b"/unframed-error"])
def test_answer_that_ends_with_its_connection_is_reset_if_it_breaks_off(server, path):
    """A caller of HTTP/1.0 would take a clean end for the end of the answer."""
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        sock.sendall(b"GET %s HTTP/1.0\r\n\r\n" % path)
        with pytest.raises(ConnectionResetError):
            while sock.recv(65_536):
                pass


def test_answer_that_ends_with_its_connection_is_reset_if_its_host_ends(draining):
    with socket.create_connection(("127.0.0.1", draining.server.server_port), TIMEOUT_S) as sock:
        sock.sendall(b"GET /unframed-wait HTTP/1.0\r\n\r\n")
        received = b""
        while not received.endswith(b"half"):
            received += sock.recv(65_536)
        draining.server.close_connections()
        with pytest.raises(ConnectionResetError):
            assert sock.recv(65_536)


# A caller of HTTP/1.0 that keeps its connection waited for the end of such an answer for good.
def test_answer_without_a_length_ends_the_kept_connection_of_an_old_caller(server):
    request = b"GET /unframed HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        sock.sendall(request)
        received = b""
        while piece := sock.recv(65_536):
            received += piece
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"\r\nConnection: close" in head
    assert body == b"half"


def test_error_of_the_application_is_logged_and_answered(server, caplog, monkeypatch, capfd):
    def fail(environ, start_response):
        raise KeyError("unexpected")

    monkeypatch.setattr(server.server, "application", fail)
    assert server.send(GOOD).startswith(b"HTTP/1.1 500 ")
    assert [record.getMessage() for record in caplog.records] == ["request failed"]
    assert "Traceback" not in capfd.readouterr().err


def test_requests_are_counted_until_their_answers_are_written(server):
    server.in_flight.clear()
    server.send(GOOD)
    server.send(b"GET /abort HTTP/1.1\r\nHost: a\r\n\r\n")
    assert server.in_flight == [1, 1]
    assert server.server.in_flight == 0


@hypothesis.given(
    prefix=strategies.sampled_from((b"", b"GET / HTTP/1.1\r\n", b"POST / HTTP/1.1\r\nHost: a\r\n")),
    junk=strategies.binary(max_size=300),
)
@SETTINGS
def test_junk_never_harms_the_next_connection(server, prefix, junk):
    received = server.send(prefix + junk)
    assert received == b"" or received.startswith(b"HTTP/1.1 ")
    assert server.send(GOOD).startswith(b"HTTP/1.1 200 OK")


@pytest.fixture
def no_grace(monkeypatch):
    """Give new connections no grace period before they count as idle."""
    monkeypatch.setattr(http_server, "_FIRST_REQUEST_GRACE_S", 0.0)


def wait_until_idle(server, count=1):
    """Wait until ``count`` connections wait for a request."""
    deadline = time.monotonic() + TIMEOUT_S
    while len(server.server._idle_since_s) < count:
        assert time.monotonic() < deadline
        time.sleep(0.001)


def test_request_that_has_arrived_unnoticed_is_answered_when_idle_connections_close(
    server, no_grace
):
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(server)
        sock.sendall(GOOD)
        # No other greenlet has run since, so the connection's greenlet has not seen the data yet.
        server.server.close_idle_connections()
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_request_on_a_connection_that_was_ended_is_not_run(server, no_grace, monkeypatch):
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(server)
        before = len(server.bodies)
        # The data arrives between the check of the connection and its shutdown.
        monkeypatch.setattr(sockets, "is_readable", lambda sock: False)
        sock.sendall(GOOD)
        server.server.close_idle_connections()
        assert sock.recv(65_536) == b""
        assert len(server.bodies) == before


def test_connection_that_was_just_opened_is_left_for_its_first_request(server):
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(server)
        server.server.close_idle_connections()
        sock.sendall(GOOD)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_closing_idle_connections_leaves_one_with_a_request_alone(server, no_grace):
    with (
        socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as idle,
        socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as busy,
    ):
        busy.sendall(b"POST /good HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n")
        deadline = time.monotonic() + TIMEOUT_S
        ready = (2, 1)
        while (server.server.connections, server.server.in_flight) != ready:
            assert time.monotonic() < deadline
            time.sleep(0.001)
        server.server.close_idle_connections()
        assert idle.recv(1) == b""
        busy.sendall(b"ab")
        assert busy.recv(65_536).startswith(b"HTTP/1.1 200 OK")


@pytest.fixture
def limited():
    created = Server()
    created.server.limits = lambda: types.CallerLimits(
        max_head_bytes=300, max_body_bytes=10, head_timeout_ms=150.0, idle_timeout_ms=100.0
    )
    yield created
    created.server.stop(timeout=0)


def test_head_longer_than_configured_gets_431(limited):
    answer = limited.send(post(b"X-Long: " + b"a" * 300))
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert not limited.bodies


# A request line of 8,192 bytes and more was refused, whatever the configured size of a head.
@pytest.mark.parametrize("size", [8_191, 8_192, 8_193, 12_000, 16_300])
def test_request_line_may_take_the_configured_size_of_a_head(limited, size):
    limited.server.limits = lambda: types.CallerLimits(max_head_bytes=16_384)
    path = b"/" + b"g" * (size - len(b"GET / HTTP/1.1\r\n"))
    answer = limited.send(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path + GOOD)
    assert answer.count(b"HTTP/1.1 200 OK") == 2
    assert limited.bodies == [(path.decode(), b""), ("/good", b"")]


@pytest.mark.parametrize(
    ("line_bytes", "header_bytes", "status"),
    [
        (16_385, 0, b"414"),
        (20_000, 0, b"414"),
        (16_384, 20, b"431"),
        (9_000, 9_000, b"431"),
    ],
)
def test_request_line_counts_in_the_configured_size_of_a_head(
    limited, line_bytes, header_bytes, status
):
    limited.server.limits = lambda: types.CallerLimits(max_head_bytes=16_384)
    path = b"/" + b"g" * (line_bytes - len(b"GET / HTTP/1.1\r\n"))
    head = b"GET %s HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n" % (path, b"x" * header_bytes)
    assert limited.send(head).startswith(b"HTTP/1.1 " + status)
    assert not limited.bodies


def test_length_above_the_configured_one_gets_413_before_the_body(limited):
    answer = limited.send(post(b"Content-Length: 11"))
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert not limited.bodies


def test_body_in_chunks_longer_than_configured_is_refused(limited):
    answer = limited.send(
        post(b"Transfer-Encoding: chunked", body=b"b\r\n01234567890\r\n0\r\n\r\n")
    )
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert not limited.bodies


@pytest.mark.parametrize("start", [b"GET", b"GET / HTTP/1.1\r\nHost:"])
def test_head_that_stays_unfinished_gets_408(limited, start):
    with socket.create_connection(("127.0.0.1", limited.server.server_port), TIMEOUT_S) as sock:
        sock.sendall(start)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 408 ")


def test_idle_connection_is_closed_after_the_configured_time(limited):
    with socket.create_connection(("127.0.0.1", limited.server.server_port), TIMEOUT_S) as sock:
        assert sock.recv(65_536) == b""


def test_longer_idle_time_counts_for_connections_that_wait_already(limited):
    limits = iter([100.0, 400.0])
    last = [0.0]

    def changing():
        last[0] = next(limits, last[0])
        return types.CallerLimits(idle_timeout_ms=last[0])

    limited.server.limits = changing
    started_s = time.monotonic()
    with socket.create_connection(("127.0.0.1", limited.server.server_port), TIMEOUT_S) as sock:
        assert sock.recv(65_536) == b""
    assert time.monotonic() - started_s >= 0.35


def send_while_loop_stalls(sock, after_s, until_s):
    """Block the event loop for ``until_s`` seconds, and send a request after ``after_s``."""
    stall = monkey.get_original("time", "sleep")
    stall(after_s)
    sock.sendall(GOOD)
    stall(until_s - after_s)


def test_request_that_arrives_in_the_loop_turn_that_closes_idle_connections_is_answered(
    server, no_grace
):
    before = len(server.bodies)
    with socket.create_connection(("127.0.0.1", server.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(server)
        gevent.spawn_later(0.02, server.server.close_idle_connections)
        send_while_loop_stalls(sock, 0.03, 0.05)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")
    assert len(server.bodies) == before + 1


def test_request_that_arrives_in_the_loop_turn_that_ends_the_idle_time_is_answered(limited):
    with socket.create_connection(("127.0.0.1", limited.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(limited)
        send_while_loop_stalls(sock, 0.02, 0.15)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


@pytest.fixture
def draining():
    created = Server()
    yield created
    created.server.stop(timeout=0)


def test_request_in_the_listen_queue_is_answered_when_the_listener_closes(draining):
    address = ("127.0.0.1", draining.server.server_port)
    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(GOOD)
        # The event loop has not run since, so the connection has not been accepted yet.
        draining.server.drain()
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_connection_whose_greenlet_has_not_run_counts_as_open(draining):
    address = ("127.0.0.1", draining.server.server_port)
    with socket.create_connection(address, TIMEOUT_S):
        draining.server.drain()
        assert draining.server.connections == 1
    deadline = time.monotonic() + TIMEOUT_S
    while draining.server.connections:
        assert time.monotonic() < deadline
        time.sleep(0.001)


def test_request_that_arrives_as_an_idle_connection_is_given_up_is_answered(limited, monkeypatch):
    with socket.create_connection(("127.0.0.1", limited.server.server_port), TIMEOUT_S) as sock:
        wait_until_idle(limited)
        is_readable = sockets.is_readable

        def send_before_check(idle):
            # The data arrives after the event loop polled, in the iteration of the timeout.
            sock.sendall(GOOD)
            return is_readable(idle)

        monkeypatch.setattr(sockets, "is_readable", send_before_check)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_listen_queue_is_emptied_past_a_client_that_has_gone(draining, monkeypatch):
    address = ("127.0.0.1", draining.server.server_port)
    read = draining.server.do_read
    faults = iter([ConnectionAbortedError(errno.ECONNABORTED, "gone")])

    def read_after_fault():
        for fault in faults:
            raise fault
        return read()

    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(GOOD)
        monkeypatch.setattr(draining.server, "do_read", read_after_fault)
        draining.server.drain()
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


@pytest.fixture
def encrypted(tmp_path):
    authority = certificates.Authority(folder=tmp_path)
    cert, key = authority.issue("localhost")
    created = Server(tls=sockets.server_context(str(cert), str(key)))
    created.client = ssl.create_default_context(cafile=str(authority.ca_file))
    created.client.check_hostname = False
    created.server.limits = lambda: types.CallerLimits(head_timeout_ms=150.0)
    yield created
    created.server.stop(timeout=0)


def test_request_that_has_arrived_unnoticed_over_tls_is_answered_when_idle_connections_close(
    encrypted, no_grace
):
    address = ("127.0.0.1", encrypted.server.server_port)
    with encrypted.client.wrap_socket(socket.create_connection(address, TIMEOUT_S)) as sock:
        wait_until_idle(encrypted)
        # Wait until the session tickets of the handshake have been read.
        time.sleep(0.05)
        sock.sendall(GOOD)
        encrypted.server.close_idle_connections()
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_connection_over_tls_that_ends_while_it_is_read_leaves_no_traceback(
    encrypted, no_grace, monkeypatch, capfd
):
    address = ("127.0.0.1", encrypted.server.server_port)
    with encrypted.client.wrap_socket(socket.create_connection(address, TIMEOUT_S)) as sock:
        wait_until_idle(encrypted)
        time.sleep(0.05)
        monkeypatch.setattr(sockets, "is_readable", lambda sock: False)
        gevent.spawn_later(0.02, encrypted.server.close_idle_connections)
        send_while_loop_stalls(sock, 0.03, 0.05)
        assert sock.recv(1) == b""
        time.sleep(0.05)
    assert not encrypted.bodies
    assert "Traceback" not in capfd.readouterr().err


def test_client_that_never_shakes_hands_is_given_up(encrypted):
    address = ("127.0.0.1", encrypted.server.server_port)
    with socket.create_connection(address, TIMEOUT_S) as sock:
        assert sock.recv(1) == b""
    assert not encrypted.server.connections


# The channel of a request that offered another protocol ended without an answer.
@pytest.mark.parametrize(
    "offer",
    [
        (b"Connection: Upgrade", b"Upgrade: h2c"),
        (b"Connection: upgrade",),
        (b"Upgrade: websocket",),
        (b"Connection: Upgrade", b"Upgrade: WebSocket", b"Sec-WebSocket-Version: 13"),
        (b"Connection: keep-alive, Upgrade", b"Upgrade: TLS/1.0"),
    ],
)
@pytest.mark.parametrize(
    ("framing", "data"),
    [
        (b"Content-Length: 3", b"abc"),
        (b"Transfer-Encoding: chunked", b"3\r\nabc\r\n0\r\n\r\n"),
        (b"Accept: */*", b""),
    ],
)
def test_offer_of_another_protocol_is_ignored(server, offer, framing, data):
    server.bodies.clear()
    received = server.send(post(*offer, framing, body=data) + GOOD)
    assert server.bodies == [("/guarded", b"abc" if data else b""), ("/good", b"")]
    assert received.count(b"HTTP/1.1 200 ") == 2
