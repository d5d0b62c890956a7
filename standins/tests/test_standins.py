"""Tests of the stand-ins in processes of their own, without a daemon."""

import http.client
import signal
import socket
import time
from concurrent import futures

import bottle
import gevent
import msgspec
import pytest

from standins import backend, behaviours, child, endless, fault_proxy, fleet, platform, serving


@pytest.fixture(scope="module")
def running_fleet():
    with fleet.Fleet() as running_fleet:
        specs = [
            fleet.ServerSpec(server=name, service="svc", data_centre="d") for name in ("s1", "s2")
        ]
        running_fleet.start_servers(specs, service_ms=1.0)
        yield running_fleet


@pytest.fixture
def clean_fleet(running_fleet):
    yield running_fleet
    running_fleet.set_server_faults("s1", [])
    running_fleet.set_rule(None)


def send_request(running_fleet, target="/x", method="GET", through="address", body=None, **headers):
    entry = running_fleet._servers["s1"]
    port = entry.port if through == "port" else int(entry.address.split(":")[1])
    connection = http.client.HTTPConnection(serving.LOOPBACK, port, timeout=2.0)
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, target, body=body, headers={"X-Request-Id": "q"} | headers)
    return connection.getresponse()


def test_answer_repeats_the_identifier_and_has_the_asked_size(clean_fleet):
    answer = send_request(clean_fleet, "/x?size=100000")
    assert answer.getheader("X-Request-Id") == "q"
    assert len(answer.read()) == 100_000


def test_large_body_is_streamed(clean_fleet):
    answer = send_request(clean_fleet, "/x?size=200000000", through="port")
    total = 0
    while block := answer.read(1_000_000):
        total += len(block)
    assert total == 200_000_000


def test_runs_are_counted_by_request_and_key(clean_fleet):
    for _ in range(2):
        send_request(
            clean_fleet, method="POST", X_Request_Id="twice", Idempotency_Key="k", X_Workspace="w"
        )
    counts = serving.call(clean_fleet._servers["s1"].port, "/control/runs")
    assert (counts["by_request"]["twice"], counts["by_key"]["w/k"]) == (2, 2)
    assert [run.key for run in clean_fleet.runs() if run.request == "twice"] == ["k", "k"]


@pytest.mark.parametrize("header", ["Authorization", "X_Api_Key", "Cookie"])
def test_secret_that_reaches_the_server_is_noted(clean_fleet, header):
    send_request(clean_fleet, X_Request_Id=header, **{header: "secret-1"})
    assert [run.secret for run in clean_fleet.runs() if run.request == header] == [True]


def test_errors_sheds_and_deadlines(clean_fleet):
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="error")])
    assert send_request(clean_fleet).status == 500
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="shed")])
    answer = send_request(clean_fleet, X_Request_Id="shed")
    assert (answer.status, answer.getheader("X-Not-Run")) == (503, "true")
    assert not [run for run in clean_fleet.runs() if run.request == "shed"]
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="stall")])
    assert send_request(clean_fleet, X_Deadline_Ms="20").status == 504


@pytest.mark.parametrize("mode", ["length", "chunked"])
def test_truncated_answer_is_noticed_by_its_reader(clean_fleet, mode):
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="truncate", mode=mode)])
    with pytest.raises(http.client.IncompleteRead):
        send_request(clean_fleet, "/x?size=300000").read()


@pytest.mark.parametrize("mode", behaviours.FRAMINGS)
def test_broken_head_is_sent_as_it_is(clean_fleet, mode):
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="frame", mode=mode)])
    port = int(clean_fleet._servers["s1"].address.split(":")[1])
    with socket.create_connection((serving.LOOPBACK, port), timeout=2.0) as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: q\r\n\r\n")
        head = b""
        while b"\r\n\r\n" not in head:
            head += sock.recv(65_536)
        first, *lines = head.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    assert first == behaviours.STATUS_LINES.get(mode, "HTTP/1.1 200 OK")
    for field in behaviours.FRAMINGS[mode]:
        assert field.replace("%d", "256") in lines


def test_upload_is_answered_early_and_reset(clean_fleet):
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="reset", ms=20.0)])
    # The proxy passes a reset on as an end.
    port = clean_fleet._servers["s1"].port
    with socket.create_connection((serving.LOOPBACK, port), timeout=2.0) as sock:
        target = f"/x?{behaviours.UPLOAD_QUERY}"
        sock.sendall(f"POST {target} HTTP/1.1\r\nContent-Length: 500000\r\n\r\nx".encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        with pytest.raises(ConnectionResetError):
            while sock.recv(65_536):
                pass
    assert send_request(clean_fleet).status == 200


def test_crossed_answer_carries_another_identifier(clean_fleet):
    send_request(clean_fleet, "/first", X_Request_Id="first").read()
    clean_fleet.set_server_faults("s1", [behaviours.Fault(name="cross")])
    answer = send_request(clean_fleet, "/second", X_Request_Id="second")
    assert answer.getheader("X-Request-Id") == "first"
    assert answer.read().startswith(b"/first\n")


def test_behaviours_combine_and_health_misleads(clean_fleet):
    faults = [behaviours.Fault(name="error"), behaviours.Fault(name="mislead")]
    clean_fleet.set_server_faults("s1", faults)
    assert (send_request(clean_fleet).status, send_request(clean_fleet, "/health").status) == (
        500,
        200,
    )


def test_chunked_upload_is_read_whole(clean_fleet):
    blocks = iter([b"ab", b"c"])
    first = send_request(clean_fleet, method="POST", body=blocks).getheader("X-Body-Checksum")
    assert first == send_request(clean_fleet, method="POST", body=b"abc").getheader(
        "X-Body-Checksum"
    )


def test_marked_request_crashes_the_server_and_stays_counted(running_fleet):
    running_fleet.set_server_faults("s2", [behaviours.Fault(name="crash")])
    entry = running_fleet._servers["s2"]
    with pytest.raises(serving.CallError):
        serving.call(entry.port, "/x?crash=1")
    assert entry.process.wait(5.0) == 70
    assert [run.server for run in running_fleet.runs() if run.server == "s2"] == ["s2"]


def test_swallowed_direction_leaves_the_connection_open(clean_fleet):
    clean_fleet.set_rule(fault_proxy.FaultRule(source=("s1",), target=("",), swallow=True))
    with pytest.raises(TimeoutError):
        send_request(clean_fleet, X_Request_Id="unanswered")
    assert [run for run in clean_fleet.runs() if run.request == "unanswered"]


def test_reset_rule_resets(clean_fleet):
    clean_fleet.set_rule(fault_proxy.FaultRule(source=("",), target=("s1",), reset=True))
    with pytest.raises((ConnectionError, http.client.RemoteDisconnected)):
        send_request(clean_fleet)


def test_delay_and_bandwidth_keep_the_answer_whole(clean_fleet):
    rule = fault_proxy.FaultRule(source=("s1",), target=("",), delay_ms=20.0, kbit_per_s=30_000.0)
    clean_fleet.set_rule(rule)
    assert len(send_request(clean_fleet, "/x?size=200000").read()) == 200_000


def test_paused_child_is_killed_and_its_port_closed(tmp_path):
    process = child.Child(name="p", arguments=("-m", "standins.platform"), directory=tmp_path)
    port = process.read_port()
    process.send_signal(signal.SIGSTOP)
    process.kill()
    assert process.exit_code == -signal.SIGKILL
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((serving.LOOPBACK, port))


def read_platform(running_fleet, path, reader):
    port = running_fleet._platform_port
    connection = http.client.HTTPConnection(serving.LOOPBACK, port, timeout=5.0)
    connection.request("GET", path, headers={"X-Reader": reader})
    answer = connection.getresponse()
    return answer.status, answer.read()


def test_platform_serves_changes_faults_and_counts(running_fleet):
    running_fleet.publish("workspace", "w", {"rate_per_s": 1, "burst": 1})
    running_fleet.publish("workspace", "w", {"rate_per_s": 2, "burst": 1})
    running_fleet.set_platform_fault(platform.ReaderFault(reader="old", stale=True))
    running_fleet.publish("workspace", "w", None)
    status, body = read_platform(running_fleet, "/v1/records?after=1&wait_ms=0", "new")
    assert (status, b'"revision":3' in body, b'"spec":null' in body) == (200, True, True)
    _, body = read_platform(running_fleet, "/v1/records?after=0&wait_ms=0", "old")
    assert b'"rate_per_s":2' in body
    running_fleet.set_platform_fault(platform.ReaderFault(outage=True))
    assert read_platform(running_fleet, "/v1/hosts?after=0&wait_ms=0", "new")[0] == 503
    running_fleet.set_platform_fault(None)
    assert running_fleet.platform_calls() == {"new": 2, "old": 1}


def test_waiting_reader_gets_its_own_answer(running_fleet):
    after = records_revision(running_fleet)
    path = f"/v1/records?after={after}&wait_ms=5000"
    with futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(read_platform, running_fleet, path, "waiting")
        while not running_fleet.platform_calls().get("waiting"):
            assert not waiting.done()
        running_fleet.publish("workspace", "late", {"rate_per_s": 1, "burst": 1})
        _, body = waiting.result()
    page = msgspec.json.decode(body, type=platform.RecordPage)
    assert [record.name for record in page.records] == ["late"]


def records_revision(running_fleet):
    return serving.call(running_fleet._platform_port, "/control/state")["records"]


def test_platform_splits_large_answers(running_fleet):
    first = records_revision(running_fleet)
    for index in range(12):
        running_fleet.publish("route", f"large{index}", {"path_prefix": "/" + "x" * 100_000})
    after, answers = first, 0
    while True:
        _, body = read_platform(running_fleet, f"/v1/records?after={after}&wait_ms=0", "pages")
        page = msgspec.json.decode(body, type=platform.RecordPage)
        assert len(body) <= 1_000_000
        after, answers = page.revision, answers + 1
        if page.complete:
            break
    assert (after, answers) == (first + 12, 2)


def test_events_of_connections_that_close_at_once_stay_on_lines_of_their_own(tmp_path):
    process = child.Child(
        name="endless",
        arguments=("-m", "standins.endless", "--first=x", "--piece=x", "--pause_s=0.1"),
        directory=tmp_path,
    )
    try:
        port = process.read_port()
        count = 100
        for _ in range(3):
            sockets = [
                socket.create_connection((serving.LOOPBACK, port), 5.0) for _ in range(count)
            ]
            for sock in sockets:
                sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            for sock in sockets:
                sock.recv(1)
            for sock in sockets:
                sock.close()
            time.sleep(0.5)
        lines = process.stdout.read_bytes().splitlines()[1:]
    finally:
        process.kill()
    events = [msgspec.json.decode(line, type=endless.Event) for line in lines]
    assert sum(event.name == "closed" for event in events) == 3 * count


def test_answer_in_chunks_and_in_pieces_with_pauses_is_whole(clean_fleet):
    plain = send_request(clean_fleet, "/x?size=5000", X_Nonce="n")
    answer = send_request(clean_fleet, "/x?size=5000&chunked=1", X_Nonce="n")
    assert answer.getheader("Transfer-Encoding") == "chunked"
    assert answer.getheader("Content-Length") is None
    whole = plain.read()
    assert answer.read() == whole
    started_s = time.monotonic()
    slow = send_request(clean_fleet, "/x?size=5000&pieces=3&pause=60", X_Nonce="n")
    assert (slow.getheader("Content-Length"), slow.read()) == ("5000", whole)
    assert time.monotonic() - started_s >= 0.18
    both = send_request(clean_fleet, "/x?size=5000&pieces=3&pause=10&chunked=1", X_Nonce="n")
    assert both.read() == whole


def test_caller_that_leaves_ends_a_slow_answer(clean_fleet):
    answer = send_request(clean_fleet, "/x?pieces=2&pause=60000", X_Request_Id="left")
    answer.close()
    give_up_s = time.monotonic() + 5.0
    while not (ends := [each for each in clean_fleet.run_ends() if each.request == "left"]):
        assert time.monotonic() < give_up_s
        time.sleep(0.02)
    assert ends[0].outcome is backend.RunOutcome.CUT


def publish_key(platform_standin, name):
    publication = platform.Publication(kind="key", name=name, spec=None, order=(1, 2))
    return platform_standin.publish(publication)


def names_of(records_page):
    return [envelope.name for envelope in records_page.records]


def test_platform_that_returns_from_a_copy_gives_out_its_revisions_again():
    standin = platform.Platform()
    publish_key(standin, "kept")
    standin.publish_hosts([platform.Host(host="h", address="a", data_centre="d", region="r")])
    standin.make_copy()
    publish_key(standin, "lost")
    standin.publish_hosts([])
    assert standin.return_from_copy() == platform.State(records=1, hosts=1, generation=1)
    everything = standin.read_records("r", 2, 0.0)
    assert (names_of(everything), everything.generation) == (["kept"], 1)
    assert everything.records[0].order == (1, 2)
    assert publish_key(standin, "other").records == 2
    assert names_of(standin.read_records("r", 1, 0.0, generation=1)) == ["other"]
    assert len(standin.read_hosts("r", 2, 0.0).hosts) == 1
    assert standin.read_hosts("r", 1, 0.0, generation=1).hosts == ()
    standin.return_from_copy()
    assert names_of(standin.read_records("r", 2, 0.0, generation=1)) == ["kept"]


def test_platform_that_is_away_refuses_reads_and_publications():
    standin = platform.Platform()
    standin.make_copy()
    waiting = gevent.spawn(standin.read_records, "r", 0, 5_000.0)
    gevent.sleep(0.01)
    standin.leave()
    with pytest.raises(bottle.HTTPResponse):
        waiting.get(timeout=2.0)
    with pytest.raises(bottle.HTTPResponse):
        publish_key(standin, "k")
    standin.return_from_copy()
    assert standin.read_records("r", 0, 0.0).generation == 1


def test_stale_reader_stays_in_the_generation_it_saw():
    standin = platform.Platform()
    publish_key(standin, "k")
    standin.set_fault(platform.ReaderFault(reader="r", stale=True))
    standin.make_copy()
    standin.return_from_copy()
    publish_key(standin, "later")
    stale = standin.read_records("r", 0, 0.0)
    assert (names_of(stale), stale.generation) == (["k"], 0)


def test_what_a_return_has_lost_is_published_again_unless_it_has_been_since():
    with fleet.Fleet(proxied=False) as running:
        for name in ("kept", "lost", "newer"):
            running.publish("workspace", name, {"rate_per_s": 1, "burst": 1})
        running.copy_platform()
        for name in ("lost", "newer"):
            running.publish("workspace", name, None)
        running.stop_platform()
        with pytest.raises(serving.CallError):
            running.publish("workspace", "newer", None)
        running.return_platform()
        running.publish("workspace", "newer", {"rate_per_s": 2, "burst": 1})
        for _ in range(2):
            running.publish_lost()
        records = serving.call(running._platform_port, "/v1/records?after=3&generation=1")
    published = [(each["name"], each["spec"] is None, each["order"]) for each in records["records"]]
    assert published == [("newer", False, [1, 7]), ("lost", True, [1, 4])]
