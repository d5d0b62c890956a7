"""Tests that metrics count as pushed only if the collector gave a sound answer."""

import gevent
import pytest
import requests
from opentelemetry.sdk import metrics

from verbenadrum.daemon import otlp
from verbenadrum.daemon.tests import broken_heads, test_early_answers, test_upstream
from verbenadrum.settings import types

LENGTH = b"Content-Length: 2"
TIMEOUT_S = 5.0


def post(address):
    return otlp.make_session().post(f"http://{address}/v1/metrics", b"data", timeout=TIMEOUT_S)


def answer_of(first_line, *lines, body=b"{}"):
    sent = b"\r\n".join([first_line, *lines, b"", body])
    return test_upstream.Backend(sent, after="close")


def check_is_no_answer(collector):
    with pytest.raises((requests.ConnectionError, requests.exceptions.ChunkedEncodingError)):
        post(collector.address)
    assert collector.requests == 1


# Metrics counted as pushed whatever the status line and the fields of the answer were.
@pytest.mark.parametrize("first_line", broken_heads.MALFORMED_STATUS_LINES)
def test_answer_with_a_malformed_status_line_is_an_error(first_line):
    check_is_no_answer(answer_of(first_line, LENGTH))


@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
def test_answer_with_a_malformed_field_line_is_an_error(line):
    check_is_no_answer(answer_of(b"HTTP/1.1 200 OK", line, LENGTH))


@pytest.mark.parametrize("body", [b"2\r\n{}\r\n-0\r\n\r\n", b"2\r\n{}\r\n0\r\njunk\r\n\r\n"])
def test_answer_with_a_broken_chunk_is_an_error(body):
    coding = b"Transfer-Encoding: chunked"
    check_is_no_answer(answer_of(b"HTTP/1.1 200 OK", coding, body=body))


def test_answer_that_is_cut_is_an_error():
    check_is_no_answer(answer_of(b"HTTP/1.1 200 OK", LENGTH, body=b"{"))


@pytest.mark.parametrize("first_line", broken_heads.VALID_STATUS_LINES)
@pytest.mark.parametrize("framing", [[LENGTH], []], ids=["length", "unframed"])
def test_sound_answer_is_read(first_line, framing):
    collector = answer_of(first_line, *broken_heads.VALID_FIELD_LINES, *framing)
    assert post(collector.address).json() == {}


def test_early_answer_is_read():
    answer = b"\r\n".join([b"HTTP/1.1 200 OK", LENGTH, b"", b"{}"])
    collector = test_early_answers.EarlyServer(answer, test_early_answers.read_on)
    assert post(collector.address).json() == {}


def test_answer_through_a_proxy_is_read_in_the_same_way(monkeypatch):
    proxy = answer_of(b"HTTP/1.1 +200 OK", LENGTH)
    monkeypatch.setenv("http_proxy", f"http://{proxy.address}")
    monkeypatch.setenv("no_proxy", "")
    with pytest.raises(requests.ConnectionError):
        post("collector.test:4318")
    assert proxy.requests == 1


@pytest.mark.parametrize(
    ("first_line", "pushed"), [(b"HTTP/1.1 200 OK", True), (b"HTTP/1.1 +200 OK", False)]
)
def test_push_is_repeated_until_it_is_answered(first_line, pushed, caplog):
    collector = answer_of(first_line, LENGTH)
    reader = otlp.make_reader(
        types.MetricsTable(otlp_endpoint=f"http://{collector.address}/v1/metrics")
    )
    provider = metrics.MeterProvider(metric_readers=[reader])
    provider.get_meter("test").create_counter("requests").add(1)
    pushing = gevent.spawn(reader.collect)
    # An unanswered push is repeated after a second or more.
    pushing.join(timeout=0.5)
    assert (pushing.ready(), "Transient error" in caplog.text) == (pushed, not pushed)
    reader._exporter.shutdown()
    pushing.join(timeout=TIMEOUT_S)
    assert pushing.successful()
    provider.shutdown()
