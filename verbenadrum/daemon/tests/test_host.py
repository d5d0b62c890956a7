"""Tests of a complete host in this process, mostly of its graceful shutdown."""

import contextlib
import functools
import json
import socket
import sys
import time

import gevent
import pytest
import urllib3
from gevent import monkey

from verbenadrum.core import ports
from verbenadrum.daemon import host, http_server, upstream
from verbenadrum.daemon.tests import test_command
from verbenadrum.dissemination import duty
from verbenadrum.records import envelope, revisions, types
from verbenadrum.settings import load
from verbenadrum.settings import types as settings_types

TIMEOUT_S = 10.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SETTINGS = f"""{test_command.SETTINGS}
[data_centres]
d1 = "r1"
[decisions]
host_list = "seeded"
epochs = "counted"
claims = "local"
limits = "metered"
health = "belief"
[metrics]
listen = "127.0.0.1:0"
[shutdown]
linger_ms = 400
limit_ms = 1300
margin_ms = 300
"""


test_host_module = sys.modules[__name__]


class DelayedServer:
    """A backend server that answers each request after ``delay_s``."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.heads = []
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.greenlets = [gevent.spawn(self.accept)]

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.greenlets.append(gevent.spawn(self.serve, sock))

    def serve(self, sock):
        self.sockets.append(sock)
        with contextlib.suppress(OSError), sock:
            head = b""
            while chunk := sock.recv(65_536):
                head += chunk
                if not head.endswith(b"\r\n\r\n"):
                    continue
                self.heads.append(head)
                gevent.sleep(self.delay_s)
                sock.sendall(ANSWER)
                head = b""

    def stop(self):
        gevent.killall(self.greenlets)
        self.listener.close()


class HostWithServer:
    """A host in this process, with one backend server that has one slot."""

    def __init__(self, delay_s):
        self.server = DelayedServer(delay_s)
        self.host = host.Host(settings=load.parse_settings(SETTINGS, source="test"))
        entry = types.ServerEntry(server="s1", address=self.server.address)
        specs = (
            (
                types.RecordKind.POOL,
                "svc",
                types.PoolSpec(servers=(entry,), slots=1, echoes_request_id=False),
            ),
            (
                types.RecordKind.ROUTE,
                "all",
                types.RouteSpec(path_prefix="/", service="svc", public=True),
            ),
        )
        self.host._engine.apply_records(
            [
                types.Record(kind=kind, name=name, revision=number, spec=spec)
                for number, (kind, name, spec) in enumerate(specs, start=2)
            ]
        )
        self.host.start()

    def connect(self):
        port = self.host._caller_server.server_port
        return socket.create_connection(("127.0.0.1", port), TIMEOUT_S)

    def send_request(self, method=b"POST"):
        sock = self.connect()
        sock.sendall(method + b" /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        return sock

    def stop(self):
        self.host.begin_shutdown()
        self.host.wait()
        self.server.stop()


def read_to_end(sock):
    """Return all bytes until the connection closes, and whether it closed without a reset."""
    data = b""
    with sock:
        try:
            while chunk := sock.recv(65_536):
                data += chunk
        except ConnectionResetError:
            return data, False
    return data, True


def read_answer(sock):
    """Return the bytes of a short answer, and close the connection."""
    with sock:
        return sock.recv(65_536)


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.005)


@pytest.fixture
def stalled():
    hosted = HostWithServer(delay_s=30.0)
    yield hosted
    hosted.stop()


@pytest.fixture
def quick():
    hosted = HostWithServer(delay_s=0.01)
    yield hosted
    hosted.stop()


def test_request_that_waits_for_a_server_is_refused_before_its_host_ends(stalled):
    first = stalled.send_request()
    wait_until(lambda: stalled.server.heads)
    waiting = stalled.send_request()
    gevent.sleep(0.05)
    stalled.host.begin_shutdown()
    data, _ = read_to_end(waiting)
    assert data.startswith(b"HTTP/1.1 503 ")
    refusal = json.loads(data.split(b"\r\n\r\n", 1)[1])
    assert (refusal["code"], refusal["not_run"]) == ("host-ended", ports.NotRun.TRUE.value)
    assert len(stalled.server.heads) == 1
    first.close()


def test_request_that_a_server_runs_gets_an_answer_before_its_host_ends(stalled):
    in_flight = stalled.send_request()
    wait_until(lambda: stalled.server.heads)
    stalled.host.begin_shutdown()
    data, _ = read_to_end(in_flight)
    assert data.startswith(b"HTTP/1.1 504 ")
    assert json.loads(data.split(b"\r\n\r\n", 1)[1])["not_run"] == ports.NotRun.UNKNOWN.value


def test_request_that_becomes_whole_after_the_linger_is_not_passed_on(stalled):
    """Without a deadline of its own, the request could outlive the host, so it gets a 503."""
    with stalled.connect() as late:
        late.sendall(b"POST /x HTTP/1.1\r\n")
        gevent.sleep(0.05)
        stalled.host.begin_shutdown()
        wait_until(lambda: not stalled.host._caller_server.started)
        late.sendall(b"Host: a\r\nContent-Length: 0\r\n\r\n")
        data, _ = read_to_end(late)
    assert data.startswith(b"HTTP/1.1 503 ")
    assert not stalled.server.heads


def test_request_that_may_outlive_its_host_is_refused_before_the_linger_ends(quick):
    quick.host.begin_shutdown()
    gevent.sleep(0.25)
    assert quick.host._caller_server.started
    data, _ = read_to_end(quick.send_request())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert not quick.server.heads


def test_request_that_must_not_run_twice_is_refused_at_once_if_it_may_outlive_its_host(stalled):
    """Its server could still be at work when the host ends, and nobody may send it again then."""
    stalled.host.begin_shutdown()
    gevent.sleep(0.02)
    started_s = time.monotonic()
    data, clean = read_to_end(stalled.send_request(b"POST"))
    assert time.monotonic() - started_s < 0.2
    assert data.startswith(b"HTTP/1.1 503 ") and clean
    assert b"\r\nConnection: close\r\n" in data
    refusal = json.loads(data.split(b"\r\n\r\n", 1)[1])
    assert (refusal["code"], refusal["not_run"]) == ("host-ended", ports.NotRun.TRUE.value)
    assert not stalled.server.heads


def test_idempotent_request_is_served_during_the_linger(quick):
    quick.host.begin_shutdown()
    gevent.sleep(0.02)
    data, _ = read_to_end(quick.send_request(b"GET"))
    assert data.startswith(b"HTTP/1.1 200 ")
    assert len(quick.server.heads) == 1


def test_request_that_waits_for_a_server_is_refused_at_once_if_it_may_outlive_its_host(stalled):
    first = stalled.send_request()
    wait_until(lambda: stalled.server.heads)
    waiting = stalled.send_request()
    gevent.sleep(0.05)
    started_s = time.monotonic()
    stalled.host.begin_shutdown()
    data, _ = read_to_end(waiting)
    assert time.monotonic() - started_s < 0.2
    assert data.startswith(b"HTTP/1.1 503 ")
    assert len(stalled.server.heads) == 1
    first.close()


def test_request_that_ends_in_time_is_served_after_the_linger(quick):
    with quick.connect() as late:
        late.sendall(b"POST /x HTTP/1.1\r\nX-Deadline-Ms: 300\r\n")
        gevent.sleep(0.05)
        quick.host.begin_shutdown()
        wait_until(lambda: not quick.host._caller_server.started)
        late.sendall(b"Host: a\r\nContent-Length: 0\r\n\r\n")
        data, _ = read_to_end(late)
    assert data.startswith(b"HTTP/1.1 200 ")


def test_fault_in_closing_idle_connections_cuts_no_request(quick, monkeypatch):
    def fail():
        raise OSError("cannot check the connections")

    monkeypatch.setattr(quick.host._caller_server, "close_idle_connections", fail)
    quick.server.delay_s = 0.6
    in_flight = quick.send_request()
    wait_until(lambda: quick.server.heads)
    quick.host.begin_shutdown()
    data, clean = read_to_end(in_flight)
    assert not quick.host._stopped.is_set()
    assert data.startswith(b"HTTP/1.1 200 ")
    assert clean


@pytest.mark.parametrize(
    ("owner", "step"),
    [
        (lambda running: running._engine.detector, "announce_shutdown"),
        (lambda running: running._engine.pipeline, "cap_deadlines"),
        (lambda running: running._caller_server, "drain"),
    ],
)
def test_fault_in_a_step_of_the_shutdown_cuts_no_request(quick, monkeypatch, caplog, owner, step):
    def fail(*arguments, **options):
        raise KeyError("unexpected")

    monkeypatch.setattr(owner(quick.host), step, fail)
    quick.server.delay_s = 0.6
    in_flight = quick.send_request()
    wait_until(lambda: quick.server.heads)
    quick.host.begin_shutdown()
    data, clean = read_to_end(in_flight)
    assert not quick.host._stopped.is_set()
    assert data.startswith(b"HTTP/1.1 200 ") and clean
    assert "a step of the shutdown failed" in [each.getMessage() for each in caplog.records]
    quick.host.wait()


def test_answer_that_arrived_before_the_deadline_is_delivered_by_a_host_that_is_late(stalled):
    stall = monkey.get_original("time", "sleep")
    with stalled.connect() as sock:
        sock.sendall(
            b"POST /x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 300\r\nContent-Length: 0\r\n\r\n"
        )
        wait_until(lambda: stalled.server.heads)
        stalled.server.sockets[-1].sendall(ANSWER)
        # This sleep blocks the event loop until the deadline has passed.
        stall(0.5)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_error_in_any_system_stops_no_other_and_is_logged_once(quick, monkeypatch, caplog):
    def fail():
        raise KeyError("unexpected")

    systems = quick.host._engine.systems
    for each in systems:
        monkeypatch.setattr(each, "on_tick", fail)
    gevent.sleep(0.3)
    data = read_answer(quick.send_request(b"GET"))
    assert data.startswith(b"HTTP/1.1 200 ")
    logged = [each for each in caplog.records if each.getMessage() == "a tick failed"]
    assert sorted(each.system for each in logged) == sorted(type(each).__name__ for each in systems)


def test_error_in_one_system_leaves_the_deadlines_of_requests_in_force(stalled, monkeypatch):
    def fail():
        raise KeyError("unexpected")

    monkeypatch.setattr(stalled.host._engine.host_spread, "on_tick", fail)
    with stalled.connect() as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 300\r\n\r\n")
        sock.settimeout(2.0)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 504 ")


def test_background_task_that_fails_is_logged_and_starts_again(monkeypatch, caplog):
    monkeypatch.setattr(host, "_TASK_RESTART_DELAY_S", 0.02)
    calls = []

    def fail_once():
        calls.append("called")
        if len(calls) == 1:
            raise KeyError("unexpected")

    host._run_task(fail_once)
    assert len(calls) == 2
    logged = [each for each in caplog.records if each.getMessage() == "a background task failed"]
    assert [each.task for each in logged] == ["fail_once"]


@pytest.mark.parametrize("after_bytes", [False, True])
def test_unexpected_error_of_an_attempt_is_answered_at_once(
    quick, monkeypatch, caplog, after_bytes
):
    def fail(*arguments, **options):
        raise KeyError("unexpected")

    target = "_check_identity" if after_bytes else "_exchange"
    monkeypatch.setattr(upstream.Attempt, target, fail)
    started_s = time.monotonic()
    data = read_answer(quick.send_request(b"POST"))
    assert time.monotonic() - started_s < 1.0
    assert data.startswith(b"HTTP/1.1 502 " if after_bytes else b"HTTP/1.1 503 ")
    refusal = json.loads(data.split(b"\r\n\r\n", 1)[1])
    assert refusal["not_run"] == ("unknown" if after_bytes else "true")
    assert len(quick.server.heads) == int(after_bytes)
    assert "attempt failed unexpectedly" in [each.getMessage() for each in caplog.records]


def test_status_and_metrics_tell_the_signals_of_servers(quick, monkeypatch):
    answer = ANSWER.replace(b"\r\n", b"\r\nX-Rate-Limit: 50\r\n", 1)
    monkeypatch.setattr(test_host_module, "ANSWER", answer)
    read_answer(quick.send_request(b"GET"))
    (found,) = quick.host._status()["server_signals"]
    assert (found.server, found.signal, found.limit_per_s) == ("s1", "limit", 50.0)
    assert found.heard_from == quick.host._settings.host.id
    port = quick.host._operator_servers[0].server_port
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, retries=False)
    scraped = pool.request("GET", "/metrics").data.decode()
    (line,) = [
        each for each in scraped.splitlines() if each.startswith("verbenadrum_servers_limit{")
    ]
    assert line.endswith(" 1.0")


def test_status_and_metrics_tell_the_generation_and_what_is_carried_over(quick):
    core = quick.host._engine
    publish = functools.partial(duty.RecordsAnswer, after=0, final=True, full_listing=True)
    key = types.Record(
        kind=types.RecordKind.KEY,
        name="kept",
        revision=revisions.join(2, 90),
        spec=types.KeySpec(workspace="w", sha256="0" * 64),
    )
    core.on_platform_records(
        publish(revision=revisions.join(2, 90), envelopes=(envelope.render(key),))
    )
    core.on_platform_records(publish(revision=revisions.join(3, 50), envelopes=()))
    status = quick.host._status()
    assert status["record_generation"] == 3
    assert status["carried_records"] == core.store.carried_count >= 1
    port = quick.host._operator_servers[0].server_port
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, retries=False)
    scraped = pool.request("GET", "/metrics").data.decode().splitlines()
    for name, value in (("generation", 3), ("carried", core.store.carried_count)):
        (line,) = [each for each in scraped if each.startswith(f"verbenadrum_records_{name}{{")]
        assert float(line.split()[-1]) == value


def test_metrics_are_served_on_a_further_address(quick):
    ports_open = [server.server_port for server in quick.host._operator_servers]
    assert len(set(ports_open)) == 2
    with quick.connect():
        wait_until(lambda: quick.host._caller_server.connections)
        for port in ports_open:
            pool = urllib3.HTTPConnectionPool("127.0.0.1", port, retries=False)
            scraped = pool.request("GET", "/metrics").data.decode()
            assert "\nverbenadrum_callers_connections{" in scraped


def test_metrics_port_that_is_taken_does_not_keep_a_host_from_starting():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        text = SETTINGS.replace(
            '[metrics]\nlisten = "127.0.0.1:0"', f'[metrics]\nlisten = "{address}"'
        )
        started_host = host.Host(settings=load.parse_settings(text, source="test"))
        started_host.start()
        assert len(started_host._operator_servers) == 1
    started_host.begin_shutdown()
    started_host.wait()


@pytest.mark.parametrize("framing", [b"Content-Length: 200000", b"Transfer-Encoding: chunked"])
def test_refusal_reaches_a_caller_whose_long_body_still_comes(stalled, framing, capfd):
    chunk = b"x" * 20_000
    sent = chunk if b"Length" in framing else b"%x\r\n%s\r\n" % (len(chunk), chunk)
    end = b"" if b"Length" in framing else b"0\r\n\r\n"
    with stalled.connect() as sock:
        sock.sendall(b"PUT /x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 300\r\n%s\r\n\r\n" % framing)
        for _ in range(10):
            sock.sendall(sent)
            gevent.sleep(0.06)
        sock.sendall(end)
        data, clean = read_to_end(sock)
    assert clean
    assert b"\r\nConnection: close\r\n" in data
    assert data.startswith(b"HTTP/1.1 504 ")
    assert "Traceback" not in capfd.readouterr().err


def test_rest_of_a_body_that_comes_late_is_never_taken_for_a_request(stalled, monkeypatch):
    monkeypatch.setattr(http_server, "_DISCARD_TIMEOUT_S", 0.1)
    smuggled = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    with stalled.connect() as sock:
        head = b"PUT /x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 100\r\nContent-Length: 90000\r\n\r\n"
        sock.sendall(head + b"x" * 70_000)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 504 ")
        gevent.sleep(0.3)
        with contextlib.suppress(OSError):
            sock.sendall(smuggled)
            assert not sock.recv(65_536)
    assert not any(b"smuggled" in seen for seen in stalled.server.heads)


@pytest.mark.parametrize("age_ms", [0.0, 150.0, 600.0, 5_000.0])
def test_late_signal_leaves_requests_in_flight_their_time_and_the_host_its_limit(age_ms):
    table = settings_types.ShutdownTable(linger_ms=3_000.0, limit_ms=6_000.0, margin_ms=600.0)
    times = host._shutdown_times(table, since_ms=-age_ms, handled_ms=0.0)
    assert times.deadline_ms == max(5_400.0 - age_ms, min(5_400.0, 5_700.0 - age_ms))
    assert times.deadline_ms < times.close_by_ms <= 5_800.0 - age_ms
    assert times.linger_end_ms == 2_700.0 - age_ms


@pytest.mark.parametrize("margin_ms", [0.0, 400.0, 600.0])
def test_host_that_takes_its_signal_as_late_as_usual_serves_during_the_linger(margin_ms):
    table = settings_types.ShutdownTable(linger_ms=3_000.0, limit_ms=6_000.0, margin_ms=margin_ms)
    times = host._shutdown_times(table, since_ms=-150.0, handled_ms=0.0)
    assert times.refuse_from_ms == times.linger_end_ms - 250.0
    late = host._shutdown_times(table, since_ms=-1_000.0, handled_ms=0.0)
    assert late.refuse_from_ms == 0.0
