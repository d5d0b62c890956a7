"""Tests that no request of a caller that has left reaches a backend server, in any state."""

import contextlib
import socket
import ssl
import types as python_types

import gevent
import pytest
from gevent import event, server

from verbenadrum.core import ports
from verbenadrum.daemon import callers, connection_pools, http_server, sockets
from verbenadrum.daemon.tests import certificates, test_callers
from verbenadrum.settings import types as settings_types
from verbenadrum.utils import clock

# Users' requirement: no request reaches a server this long after its caller has closed.
LEAVE_TIMEOUT_S = 0.5
DEADLINE_MS = 10_000.0
CHUNK = b"x" * 10_000
BODIES = {
    "none": ("", b""),
    "short": ("Content-Length: 300", b"x" * 300),
    "long": ("Content-Length: 66000", b"x" * 66_000),
    "chunks": ("Transfer-Encoding: chunked", b"2710\r\n%s\r\n" % CHUNK * 7 + b"0\r\n\r\n"),
    "chunks-unfinished": ("Transfer-Encoding: chunked", b"2710\r\n%s\r\n" % CHUNK * 8),
}
MEGABYTES = ("Content-Length: 4000000", b"x" * 4_000_000)


def close(sock):
    sock.close()


def reset(sock):
    sockets.reset(sock)


def close_sending_side(sock):
    sock.shutdown(socket.SHUT_WR)


WAYS_TO_LEAVE = [close, reset, close_sending_side]


class HeldEngine:
    """Engine in which each request waits for a slot until the test gives it one."""

    def __init__(self):
        self.waiting = []
        self.abandoned = []
        self.outcomes = []

    def begin(self, head, sink):
        self.waiting.append((head, sink))

    def abandon(self, request, reason):
        self.abandoned.append(reason)
        for head, sink in self.waiting:
            if head.request == request:
                sink.cancel(f"lease-{request}")
        self.waiting = [row for row in self.waiting if row[0].request != request]

    def commit(self, request, lease, **fields):
        return True

    def complete_attempt(self, request, lease, outcome, answer=None):
        self.outcomes.append(outcome)

    def give_slot(self, address):
        """Let the oldest waiting request be sent to a server; return whether there is one."""
        if not self.waiting:
            return False
        head, sink = self.waiting[0]
        order = ports.DispatchOrder(
            request=head.request,
            attempt=1,
            lease=f"lease-{head.request}",
            server="s1",
            address=address,
            workspace="w",
            deadline_ms=head.deadline_ms,
            echo_required=False,
        )
        sink.dispatch(order)
        return True


class SlowServer:
    """Backend server that reads as fast as ``reads`` says and records what it received."""

    def __init__(self, reads=True):
        self.received = bytearray()
        self.closed = 0
        self._reads = reads
        self.listener = sockets.listen("127.0.0.1:0")
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.server = server.StreamServer(self.listener, self._handle)
        self.server.start()

    def _handle(self, sock, address):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536 if self._reads else 1):
                self.received += data
                if not self._reads:
                    gevent.sleep(0.05)
        self.closed += 1


@contextlib.contextmanager
def started_host(tls=None):
    core = HeldEngine()
    port = callers.CallersPort(
        engine=core,
        pools=connection_pools.ConnectionPools(max_idle_per_server=2),
        clock=clock.SystemClock(),
        request_metrics=test_callers.FakeRequestMetrics(),
        headers=settings_types.HeadersTable(unframed_answers=True),
    )
    made = http_server.HttpServer(
        listener=sockets.listen("127.0.0.1:0"), application=port.application, tls=tls
    )
    made.start()
    yield python_types.SimpleNamespace(core=core, port=made.server_port, server=made)
    made.stop(timeout=0)


@pytest.fixture
def host():
    with started_host() as started:
        yield started


def head_of(framing, target="/x"):
    lines = [f"POST {target} HTTP/1.1", "Host: a", f"X-Deadline-Ms: {DEADLINE_MS:.0f}", framing]
    return "\r\n".join([*filter(None, lines), "", ""]).encode()


def connect(host):
    return socket.create_connection(("127.0.0.1", host.port))


def send_and_wait(host, framing, body):
    """Send a request, and return its connection when the engine has it."""
    sock = connect(host)
    sock.sendall(head_of(framing))
    gevent.spawn(sock.sendall, body)
    wait_until(lambda: host.core.waiting)
    return sock


def wait_until(condition, timeout_s=5.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


# Unsafe requests with long bodies ran seconds after their callers had left: nobody watched the
# connection while such a request waited for a slot.
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("body", BODIES)
def test_request_that_waits_for_a_slot_ends_with_its_caller(host, body, leave):
    backend = SlowServer()
    sock = send_and_wait(host, *BODIES[body])
    gevent.sleep(0.2)
    assert not host.core.abandoned
    leave(sock)
    gevent.sleep(LEAVE_TIMEOUT_S)
    assert host.core.abandoned == ["caller-left"]
    assert not host.core.give_slot(backend.address)


def test_request_of_megabytes_that_waits_for_a_slot_ends_with_a_reset(host):
    sock = send_and_wait(host, *MEGABYTES)
    gevent.sleep(0.2)
    reset(sock)
    gevent.sleep(LEAVE_TIMEOUT_S)
    assert host.core.abandoned == ["caller-left"]


# The caller's close stands behind data that the host has not read, so it shows with the last of it.
def test_upload_of_megabytes_stays_incomplete_if_its_caller_has_closed(host):
    backend = SlowServer()
    sock = send_and_wait(host, *MEGABYTES)
    gevent.sleep(0.6)
    sock.close()
    if host.core.give_slot(backend.address):
        wait_until(lambda: host.core.abandoned)
        wait_until(lambda: backend.closed)
    assert b"\r\n\r\n" not in backend.received or (
        len(backend.received.split(b"\r\n\r\n", 1)[1]) < 4_000_000
    )


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("body", ["long", "chunks"])
def test_upload_to_a_slow_server_ends_with_its_caller(host, body, leave):
    backend = SlowServer(reads=False)
    sock = send_and_wait(host, *BODIES[body])
    host.core.give_slot(backend.address)
    wait_until(lambda: backend.received)
    leave(sock)
    wait_until(lambda: host.core.abandoned, LEAVE_TIMEOUT_S)
    wait_until(lambda: host.core.outcomes, LEAVE_TIMEOUT_S)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("body", BODIES)
def test_request_between_two_attempts_ends_with_its_caller(host, body, leave):
    refusing = sockets.listen("127.0.0.1:0")
    address = f"127.0.0.1:{refusing.getsockname()[1]}"
    refusing.close()
    sock = send_and_wait(host, *BODIES[body])
    host.core.give_slot(address)
    wait_until(lambda: host.core.outcomes)
    leave(sock)
    gevent.sleep(LEAVE_TIMEOUT_S)
    assert host.core.abandoned == ["caller-left"]


@pytest.mark.parametrize("leave", [close, reset])
def test_request_ends_with_a_caller_that_has_pipelined_another_one(host, leave):
    sock = send_and_wait(host, "", b"")
    sock.sendall(head_of("", "/second"))
    gevent.sleep(0.2)
    leave(sock)
    gevent.sleep(LEAVE_TIMEOUT_S)
    assert host.core.abandoned == ["caller-left"]
    assert not host.core.waiting


def test_pipelined_request_of_a_caller_that_left_during_the_one_before_ends(host):
    sock = send_and_wait(host, "", b"")
    sock.sendall(head_of("", "/second"))
    head, sink = host.core.waiting.pop()
    sock.close()
    refusal = ports.Refusal(
        request=head.request, status=503, code="c", detail="", not_run=ports.NotRun.TRUE
    )
    sink.refuse(refusal)
    gevent.sleep(LEAVE_TIMEOUT_S)
    assert not host.server.connections
    assert not host.core.waiting


# TCP shows a caller that has closed its sending side like one that has left.
@pytest.mark.parametrize("body", sorted(set(BODIES) - {"chunks-unfinished"}))
def test_caller_that_closes_its_sending_side_gets_an_answer_that_comes_soon(host, body):
    backend = test_callers.Backend()
    sock = send_and_wait(host, *BODIES[body])
    gevent.sleep(0.2)
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(0.02)
    host.core.give_slot(backend.address)
    sock.settimeout(5.0)
    assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
    sock.close()
    backend.server.stop(timeout=0)


@pytest.mark.parametrize("body", BODIES)
def test_caller_that_stays_is_served_from_each_state(host, body):
    backend = test_callers.Backend()
    framing, data = BODIES[body]
    sock = send_and_wait(host, framing, data)
    gevent.sleep(0.3)
    host.core.give_slot(backend.address)
    if body == "chunks-unfinished":
        gevent.sleep(0.3)
        sock.sendall(b"0\r\n\r\n")
    sock.settimeout(5.0)
    assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
    assert not host.core.abandoned
    sock.close()
    backend.server.stop(timeout=0)


PIECE = b"d" * 393_216
DOWNLOADS = {
    "length": ("Content-Length: {}", b"", b""),
    "chunks": ("Transfer-Encoding: chunked", b"%x\r\n" % len(PIECE), b"\r\n"),
    "unframed": ("Connection: close", b"", b""),
}


class DownloadServer:
    """Backend server that sends a long answer in pieces, and records when its connections end.

    ``pauses_s`` has the pause before each piece; None waits until `released` is set.
    """

    def __init__(self, framing, pauses_s):
        self._framing = framing
        self._pauses_s = pauses_s
        self.released = event.Event()
        self.sent = 0
        self.completed = 0
        self.broken_off = 0
        self.listener = sockets.listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.server = server.StreamServer(self.listener, self._handle)
        self.server.start()

    def _handle(self, sock, address):
        watcher = None
        try:
            while sock.recv(65_536):
                watcher = gevent.spawn(self._watch, sock, gevent.getcurrent())
                self._answer(sock)
                watcher.kill()
                self.completed += 1
                if self._framing == "unframed":
                    break
        except OSError:
            self.broken_off += 1
        finally:
            gevent.killall([watcher] if watcher else [])

    def _watch(self, sock, serving):
        """End the answer when its connection ends."""
        while not sockets.is_closed_by_peer(sock):
            gevent.sleep(0.01)
        gevent.kill(serving, ConnectionAbortedError("the host closed its connection"))

    def _answer(self, sock):
        field, before, after = DOWNLOADS[self._framing]
        field = field.format(len(PIECE) * len(self._pauses_s))
        sock.sendall(f"HTTP/1.1 200 OK\r\n{field}\r\n\r\n".encode())
        for pause_s in self._pauses_s:
            if pause_s is None:
                self.released.wait()
            else:
                gevent.sleep(pause_s)
            sock.sendall(before + PIECE + after)
            self.sent += 1
        if self._framing == "chunks":
            sock.sendall(b"0\r\n\r\n")


@pytest.fixture
def download(host):
    """Return a function that starts a download, and returns its server and its connection."""
    running = []

    def start(framing, pauses_s, version=b"HTTP/1.1"):
        backend = DownloadServer(framing, pauses_s)
        running.append(backend.server)
        sock = connect(host)
        sock.sendall(head_of("").replace(b"HTTP/1.1", version))
        wait_until(lambda: host.core.waiting)
        host.core.give_slot(backend.address)
        host.core.waiting.clear()
        sock.settimeout(5.0)
        return backend, sock

    yield start
    for each in running:
        each.stop(timeout=0)


def receive(sock, length):
    """Read at least ``length`` bytes, or up to the end; return all that came."""
    received = bytearray()
    while len(received) < length and (data := sock.recv(65_536)):
        received += data
    return received


def receive_pieces(sock, number):
    """Read an answer until it has ``number`` pieces; return whether they came."""
    received, body = bytearray(), b""
    while body.count(b"d") < number * len(PIECE) and (data := sock.recv(65_536)):
        received += data
        body = received.partition(b"\r\n\r\n")[2]
    return body.count(b"d") == number * len(PIECE)


# Servers worked on for a second after callers had left in the middle of a slow download: the host
# looked at the server's connection alone.
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("framing", DOWNLOADS)
def test_server_that_pauses_in_a_download_is_cut_off_from_a_caller_that_left(
    host, download, framing, leave
):
    backend, sock = download(framing, [0.0, 0.0, 0.0, None])
    receive(sock, 2 * len(PIECE))
    gevent.sleep(0.3)
    assert (backend.broken_off, host.core.outcomes) == (0, [])
    leave(sock)
    wait_until(lambda: backend.broken_off, LEAVE_TIMEOUT_S)
    wait_until(lambda: host.core.outcomes, LEAVE_TIMEOUT_S)
    assert [outcome.kind for outcome in host.core.outcomes] == [ports.OutcomeKind.CANCELLED]


# The host waited for room in the connection of a caller that did not read, and saw nothing else.
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("framing", DOWNLOADS)
def test_server_is_cut_off_from_a_caller_that_did_not_read_and_left(host, download, framing, leave):
    backend, sock = download(framing, [0.0] * 200)
    gevent.sleep(0.5)
    sent = backend.sent
    gevent.sleep(0.3)
    assert backend.sent == sent < 200
    assert not backend.broken_off
    leave(sock)
    wait_until(lambda: backend.broken_off, LEAVE_TIMEOUT_S)
    wait_until(lambda: not host.server.connections, 1.0)


# A close shows below TLS only.
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_server_is_cut_off_from_a_caller_over_tls_that_left(tmp_path, leave):
    authority = certificates.Authority(folder=tmp_path)
    tls = sockets.server_context(*map(str, authority.issue("host")))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(authority.ca_file)
    backend = DownloadServer("length", [0.0, 0.0, 0.0, None])
    with started_host(tls) as host:
        sock = context.wrap_socket(connect(host))
        sock.sendall(head_of(""))
        wait_until(lambda: host.core.waiting)
        host.core.give_slot(backend.address)
        receive(sock, 2 * len(PIECE))
        gevent.sleep(0.3)
        assert not backend.broken_off
        leave(sock)
        wait_until(lambda: backend.broken_off, LEAVE_TIMEOUT_S)
    backend.server.stop(timeout=0)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_server_is_cut_off_from_a_caller_that_left_with_a_pipelined_request(host, download, leave):
    backend, sock = download("length", [0.0, 0.0, 0.0, None])
    sock.sendall(head_of("", "/second"))
    receive(sock, 2 * len(PIECE))
    leave(sock)
    wait_until(lambda: backend.broken_off, LEAVE_TIMEOUT_S)
    wait_until(lambda: not host.server.connections, 1.0)
    assert not host.core.waiting


# An answer without a length that just ends looks complete.
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("framing", DOWNLOADS)
def test_caller_that_closes_its_sending_side_sees_that_its_answer_is_cut(
    host, download, framing, version
):
    backend, sock = download(framing, [0.0, 0.0, 0.0, None], version)
    receive(sock, 2 * len(PIECE))
    sock.shutdown(socket.SHUT_WR)
    ends_with_connection = version == b"HTTP/1.0" and framing != "length"
    with pytest.raises(ConnectionResetError) if ends_with_connection else contextlib.nullcontext():
        received = receive(sock, 4 * len(PIECE))
        assert len(received) < 2 * len(PIECE)
        assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framing", DOWNLOADS)
def test_caller_that_closes_its_sending_side_gets_a_download_that_ends_soon(
    host, download, framing
):
    backend, sock = download(framing, [0.0, 0.0, 0.0, None])
    wait_until(lambda: backend.sent == 3)
    gevent.sleep(0.2)
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(0.02)
    backend.released.set()
    assert receive_pieces(sock, 4)
    assert (backend.broken_off, backend.completed) == (0, 1)


@pytest.mark.parametrize("framing", DOWNLOADS)
def test_caller_that_stays_gets_a_slow_download_and_its_next_answer(host, download, framing):
    backend, sock = download(framing, [0.3] * 4)
    assert receive_pieces(sock, 4)
    wait_until(lambda: host.core.outcomes)
    assert backend.broken_off == 0
    if framing == "unframed":
        return
    # The watch ends with the answer, not with the connection.
    gevent.sleep(0.4)
    sock.sendall(head_of("", "/second"))
    wait_until(lambda: host.core.waiting)
    host.core.give_slot(backend.address)
    receive(sock, 4 * len(PIECE))
    wait_until(lambda: len(host.core.outcomes) == 2)
    assert {outcome.kind for outcome in host.core.outcomes} == {ports.OutcomeKind.OK}
