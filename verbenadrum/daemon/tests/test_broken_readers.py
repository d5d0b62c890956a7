"""Tests that probes and reads of the platform take no broken answer for a sound one."""

import gevent
import pytest
import urllib3
from gevent import server

from verbenadrum.core import ports
from verbenadrum.daemon import answers, platform_reader, sockets, sources
from verbenadrum.daemon.tests import (
    broken_heads,
    certificates,
    test_early_answers,
    test_prober,
    test_upstream,
)
from verbenadrum.dissemination import duty
from verbenadrum.platform import store

Kind = ports.OutcomeKind
TIMEOUT_S = 5.0
PROBE = "probe"
# Each read of the platform with a body that it accepts.
READS = {
    "store": (store.StoreSource, duty.Stream.RECORDS, b'{"events": [], "current_rev": 9}'),
    "records": (platform_reader.HttpSource, duty.Stream.RECORDS, b'{"revision": 9, "records": []}'),
    "hosts": (platform_reader.HttpSource, duty.Stream.HOSTS, b'{"revision": 9, "hosts": []}'),
}
READERS = [PROBE, *READS]
FAILURES = (urllib3.exceptions.HTTPError, OSError, sources.SourceError)


def answer_of(reader, first_line=b"HTTP/1.1 200 OK", lines=(), *, framed=True, tail=b""):
    body = b"" if reader == PROBE else READS[reader][2]
    framing = [b"Content-Length: %d" % len(body)] if framed else []
    return b"\r\n".join([first_line, *lines, *framing, b"", body + tail])


def read(reader, backend):
    """Return whether a reader takes the answer of a server for a sound one."""
    if reader == PROBE:
        return test_prober.outcome_of(backend.address).kind is Kind.OK
    source_class, stream, _ = READS[reader]
    url = f"http://{backend.address}"
    options = sources.SourceOptions(host="h1", urls=(url,), read_timeout_s=TIMEOUT_S)
    order = duty.PollOrder(after=3, wait_ms=10.0, delay_ms=0.0)
    try:
        return source_class(options=options).poll(url, stream, order).revision == 9
    except FAILURES:
        return False


def serve(sent):
    return test_upstream.Backend(sent, after="close")


@pytest.mark.parametrize("line", broken_heads.MALFORMED_STATUS_LINES)
@pytest.mark.parametrize("reader", READERS)
def test_answer_with_a_malformed_status_line_is_a_failure(reader, line):
    assert not read(reader, serve(answer_of(reader, line)))


@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "length"])
@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
@pytest.mark.parametrize("reader", READERS)
def test_answer_with_a_malformed_field_line_is_a_failure(reader, line, framed):
    assert not read(reader, serve(answer_of(reader, lines=[line], framed=framed)))


@pytest.mark.parametrize("reader", READS)
def test_answer_that_is_cut_is_a_failure(reader):
    for framed in (False, True):
        assert not read(reader, serve(answer_of(reader, framed=framed)[:-1]))


@pytest.mark.parametrize("reader", READERS)
def test_answer_with_a_broken_chunk_is_a_failure(reader):
    body = b"" if reader == PROBE else READS[reader][2]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    assert read(reader, serve(head + chunk + b"0\r\n\r\n"))
    assert not read(reader, serve(head + chunk + b"-0\r\n\r\n"))
    assert not read(reader, serve(head + chunk + b"0\r\njunk\r\n\r\n"))


@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "length"])
@pytest.mark.parametrize("line", broken_heads.VALID_STATUS_LINES)
@pytest.mark.parametrize("reader", READERS)
def test_sound_answer_is_read(reader, line, framed):
    lines = broken_heads.VALID_FIELD_LINES
    assert read(reader, serve(answer_of(reader, line, lines, framed=framed)))


# urllib3 reads the answer even if it could not send the request.
@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "length"])
def test_pool_takes_an_answer_that_is_reset_during_an_upload_by_its_framing(framed):
    framing = b"Content-Length: 4\r\n" if framed else b""
    answer = b"HTTP/1.1 200 OK\r\n%s\r\nbody" % framing
    early = test_early_answers.EarlyServer(answer, test_early_answers.reset, delay_s=0.01)

    def upload():
        for _ in range(200):
            yield b"x" * 50_000
            gevent.sleep(0.001)

    def post(pools):
        url = f"http://{early.address}/"
        response = pools.request("POST", url, body=upload(), preload_content=False)
        return answers.read_body(response, max_bytes=100)

    with answers.make_pool_manager(timeout=TIMEOUT_S, retries=False) as pools:
        if framed:
            assert post(pools) == b"body"
        else:
            with pytest.raises(urllib3.exceptions.ProtocolError):
                post(pools)


@pytest.mark.parametrize(
    ("first_line", "sound"), [(b"HTTP/1.1 200 OK", True), (b"HTTP/1.1 +200 OK", False)]
)
def test_answer_over_tls_is_read_in_the_same_way(tmp_path, first_line, sound):
    authority = certificates.Authority(folder=tmp_path)
    cert_file, key_file = map(str, authority.issue("platform"))
    context = sockets.server_context(cert_file, key_file)
    listener = sockets.listen("127.0.0.1:0")

    def handle(sock, address):
        sock.recv(65_536)
        sock.sendall(first_line + b"\r\nContent-Length: 4\r\n\r\nbody")

    platform = server.StreamServer(listener, handle, ssl_context=context)
    platform.start()
    url = f"https://127.0.0.1:{listener.getsockname()[1]}/"
    options = {"ca_certs": str(authority.ca_file), "assert_hostname": False}
    with answers.make_pool_manager(timeout=TIMEOUT_S, retries=False, **options) as pools:
        if sound:
            assert pools.request("GET", url).data == b"body"
        else:
            with pytest.raises(urllib3.exceptions.ProtocolError):
                pools.request("GET", url)
    platform.stop()
