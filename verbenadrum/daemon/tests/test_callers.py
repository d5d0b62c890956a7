"""Tests of the callers' port with real sockets and the baseline implementation of each system."""

import json
import random
import socket
import ssl
import time
import tracemalloc

import gevent
import pytest
import urllib3
from gevent import server

from standins import raw_answer
from verbenadrum.core import context, ports
from verbenadrum.daemon import callers, connection_pools, http_server, sockets
from verbenadrum.daemon.tests import certificates
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours, engine
from verbenadrum.entry import keys
from verbenadrum.records import types
from verbenadrum.settings import types as settings_types
from verbenadrum.utils import clock

assert behaviours  # Importing it registers the implementations that are chosen by name.

MB = 1_000_000
LARGE_BYTES = 200 * MB
MEMORY_LIMIT_BYTES = 8 * MB
KEY = {"X-Api-Key": "secret"}
BASELINES = engine.Choices(
    limits="static_split",
    claims="local",
    epochs="listed",
    placement="power_of_two",
    health="consecutive",
)


class FakeRequestMetrics:
    """Fake of `metrics.RequestMetrics` that records nothing."""

    def record_duration(self, started_ms):
        pass

    def count_refusal(self, code):
        pass


class Backend:
    """Backend server for large bodies.

    It responds to ``/large`` with 200 MB, and otherwise with the size of the request body and the
    names of the request headers.
    """

    def __init__(self):
        self.listener = sockets.listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.server = http_server.HttpServer(listener=self.listener, application=self.answer)
        self.server.start()

    def answer(self, environ, start_response):
        headers = [("X-Request-Id", environ["HTTP_X_REQUEST_ID"])]
        if environ["PATH_INFO"] == "/large":
            start_response("200 OK", [*headers, ("Content-Length", str(LARGE_BYTES))])
            return (b"x" * 50_000 for _ in range(LARGE_BYTES // 50_000))
        received = 0
        while piece := environ["wsgi.input"].read(50_000):
            received += len(piece)
        header_names = [name for name in environ if name.startswith("HTTP_")]
        body = f"{received} {sorted(header_names)}".encode()
        start_response("200 OK", [*headers, ("Content-Length", str(len(body)))])
        return [body]


def make_engine(*addresses, **pool):
    time = clock.SystemClock()
    made = context.Context(
        host="h1",
        data_centre="d1",
        region="r1",
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    core = engine.Engine(context=made, choices=BASELINES)
    row = ports.HostRow(host="h1", address="127.0.0.1:1", data_centre="d1", region="r1")
    core.apply_hosts(1, (row,))
    entries = tuple(
        types.ServerEntry(server=f"s{number}", address=address)
        for number, address in enumerate(addresses, start=1)
    )
    specs = [
        (types.RecordKind.ROUTE, types.RouteSpec(path_prefix="/", service="svc")),
        (types.RecordKind.POOL, types.PoolSpec(servers=entries, **pool)),
        (types.RecordKind.WORKSPACE, types.WorkspaceSpec(rate_per_s=1e6, burst=1e6)),
        (types.RecordKind.KEY, types.KeySpec(workspace="svc", sha256=keys.hash_key("secret"))),
    ]
    core.apply_records(
        [
            types.Record(kind=kind, name="svc", revision=revision, spec=spec)
            for revision, (kind, spec) in enumerate(specs, start=1)
        ]
    )
    return core, time


@pytest.fixture
def serve():
    running: list[server.BaseServer] = []

    def start(tls=None, backend=None, headers=settings_types.DEFAULT_HEADERS):
        backend = backend or Backend()
        core, time = make_engine(backend.address)
        port = callers.CallersPort(
            engine=core,
            pools=connection_pools.ConnectionPools(max_idle_per_server=2),
            clock=time,
            request_metrics=FakeRequestMetrics(),
            headers=headers,
        )
        made = http_server.HttpServer(
            listener=sockets.listen("127.0.0.1:0"), application=port.application, tls=tls
        )
        made.start()
        backend.host = made
        running.extend((made, backend.server))
        return f"127.0.0.1:{made.server_port}"

    yield start
    for each in running:
        each.stop(timeout=0)


def test_large_bodies_pass_both_ways_in_constant_memory(serve):
    http = urllib3.PoolManager(retries=False)
    address = serve()
    tracemalloc.start()
    try:
        answer = http.request("GET", f"http://{address}/large", headers=KEY, preload_content=False)
        assert sum(map(len, answer.stream(50_000))) == LARGE_BYTES
        pieces = (b"y" * 50_000 for _ in range(LARGE_BYTES // 50_000))
        answer = http.request("PUT", f"http://{address}/up", headers=KEY, body=pieces)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert answer.data.startswith(f"{LARGE_BYTES} ".encode())
    assert peak < MEMORY_LIMIT_BYTES


def test_callers_reach_the_port_over_tls(serve, tmp_path):
    authority = certificates.Authority(folder=tmp_path)
    cert, key = authority.issue("host")
    address = serve(tls=sockets.server_context(str(cert), str(key)))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(authority.ca_file)
    http = urllib3.PoolManager(retries=False, ssl_context=context, assert_hostname=False)
    for _ in range(2):
        assert http.request("GET", f"https://{address}/x", headers=KEY).status == 200


def test_refusals_are_problems_and_identity_is_the_fleets(serve):
    """Refusals are problem documents, and callers cannot forge the headers that a host sets."""
    http = urllib3.PoolManager(retries=False)
    address = serve()
    refusal = http.request("GET", f"http://{address}/x")
    assert refusal.headers["Content-Type"] == "application/problem+json"
    assert (refusal.status, refusal.json()["not_run"]) == (401, "true")
    forged = {**KEY, "X-Workspace": "forged", "X-Request-Id": "forged", "Cookie": "a=1"}
    answer = http.request("GET", f"http://{address}/x", headers=forged)
    assert answer.status == 200
    assert answer.headers["X-Request-Id"] != "forged"
    assert b"HTTP_X_API_KEY" not in answer.data
    assert b"HTTP_X_WORKSPACE" in answer.data


# Where callers' identifiers go to servers, a request without one got one of the host's own.
@pytest.mark.parametrize("own_id", [{}, {"X-Request-Id": ""}])
def test_request_without_the_identifier_that_servers_expect_is_not_sent(serve, own_id):
    http = urllib3.PoolManager(retries=False)
    backend = DeadlineBackend()
    address = serve(backend=backend, headers=settings_types.HeadersTable(keep_request_id=True))
    url = f"http://{address}/x"
    refusal = http.request("GET", url, headers={**KEY, **own_id})
    assert (refusal.status, refusal.json()["code"]) == (400, "request-id-missing")
    assert refusal.json()["not_run"] == "true"
    assert http.request("GET", url, headers=own_id).status == 401
    assert backend.requests == 0
    answer = http.request("GET", url, headers={**KEY, "X-Request-Id": "caller-1"})
    assert (answer.status, answer.headers["X-Request-Id"]) == (200, "caller-1")
    assert backend.requests == 1


class DeadlineBackend(Backend):
    """Backend server that responds with the deadline it was given; ``requests`` counts its runs."""

    def __init__(self):
        super().__init__()
        self.requests = 0

    def answer(self, environ, start_response):
        self.requests += 1
        while environ["wsgi.input"].read(50_000):
            pass
        body = environ["HTTP_X_DEADLINE_MS"].encode()
        headers = [("X-Request-Id", environ["HTTP_X_REQUEST_ID"])]
        start_response("200 OK", [*headers, ("Content-Length", str(len(body)))])
        return [body]


PAUSE_S = 0.6
# Each with its framing, the part of the body before the pause and the part after it.
SLOW_BODIES = {
    "length": ("Content-Length: 6", b"abc", b"def"),
    "chunks": ("Transfer-Encoding: chunked", b"3\r\nabc\r\n", b"3\r\ndef\r\n0\r\n\r\n"),
    "streamed-chunks": (
        "Transfer-Encoding: chunked",
        b"3\r\nabc\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (100_000, b"x" * 100_000),
    ),
}


def post_slowly(backend, case, deadline_ms):
    """Send a request whose body pauses; return its answer, and the time left after the pause."""
    host = backend.host
    framing, first, rest = SLOW_BODIES[case]
    lines = ["POST /x HTTP/1.1", "Host: a", "X-Api-Key: secret", framing]
    lines.append(f"X-Deadline-Ms: {deadline_ms}")
    with socket.create_connection(("127.0.0.1", host.server_port)) as sock:
        sock.settimeout(20.0)
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + first)
        with gevent.Timeout(10.0):
            while not host.in_flight:
                gevent.sleep(0.001)
        head_read_s = time.monotonic()
        gevent.sleep(PAUSE_S)
        left_ms = deadline_ms - (time.monotonic() - head_read_s) * 1000.0
        sock.sendall(rest)
        reader = raw_answer.AnswerReader(sock=sock)
        answer = reader.read_head()
        reader.read_body(answer, iter(()))
    return answer, left_ms


# The time that a caller took to send its body was handed to the server once more.
@pytest.mark.parametrize("case", SLOW_BODIES)
def test_server_is_handed_no_more_time_than_a_slow_body_leaves(serve, case):
    backend = DeadlineBackend()
    serve(backend=backend)
    answer, left_ms = post_slowly(backend, case, 10_000)
    assert answer.status == 200
    assert int(answer.body) <= left_ms


@pytest.mark.parametrize("case", SLOW_BODIES)
def test_request_whose_body_comes_after_its_deadline_is_not_sent(serve, case):
    backend = DeadlineBackend()
    serve(backend=backend)
    answer, left_ms = post_slowly(backend, case, 300)
    assert left_ms < 0.0
    refusal = json.loads(answer.body)
    assert (refusal["code"], refusal["not_run"]) == ("deadline-passed", "true")
    assert backend.requests == 0


@pytest.mark.parametrize("timeout_s", [None, 30.0])
def test_checks_of_a_connection_leave_its_time_as_it_was(timeout_s):
    """A time of 0 that stayed on the socket would end the next read or write at once."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(timeout_s)
        assert not callers._caller_disconnected(ours)
        assert not sockets.is_unusable(ours)
        theirs.sendall(b"x")
        assert not callers._caller_disconnected(ours)
        theirs.close()
        assert ours.recv(1) == b"x"
        assert callers._caller_disconnected(ours)
        assert ours.gettimeout() == timeout_s
