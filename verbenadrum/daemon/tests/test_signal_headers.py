"""Tests of reading what backend servers say about themselves."""

import email.utils
import logging
import math
import time

import pytest
import urllib3

from verbenadrum.daemon import log_limits, signal_headers

NAME = "X-Rate-Limit"
MALFORMED = ["", "-1", "nan", "inf", "1e999", "9" * 5_000, "1,5", "1 2", "0x10", "+1", "1.", "١"]


@pytest.fixture(autouse=True)
def nothing_logged(monkeypatch):
    monkeypatch.setattr(signal_headers, "_malformed_limit", log_limits.LogLimit())


@pytest.mark.parametrize(("text", "limit_per_s"), [("0", 0.0), ("0.5", 0.5), (" 40 ", 40.0)])
def test_limit_is_a_decimal_number(text, limit_per_s):
    headers = urllib3.HTTPHeaderDict({NAME: text})
    assert signal_headers.read_limit(headers, NAME, "s") == limit_per_s


def test_answer_without_the_header_names_no_limit():
    assert math.isinf(signal_headers.read_limit(urllib3.HTTPHeaderDict(), NAME, "s"))


@pytest.mark.parametrize("text", MALFORMED)
def test_malformed_limit_says_nothing_and_is_logged_once(text, caplog):
    headers = urllib3.HTTPHeaderDict({NAME: text})
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert signal_headers.read_limit(headers, NAME, "s") is None
    assert [record.message for record in caplog.records] == ["malformed signal"]


def test_repeated_limit_says_nothing():
    headers = urllib3.HTTPHeaderDict([(NAME, "1"), (NAME, "2")])
    assert signal_headers.read_limit(headers, NAME, "s") is None


def retry_after_ms(*values):
    headers = urllib3.HTTPHeaderDict([("Retry-After", value) for value in values])
    return signal_headers.read_retry_after_ms(headers, "s")


@pytest.mark.parametrize(
    ("text", "rest_ms"), [("0", 0.0), ("2", 2_000.0), ("0.25", 250.0), ("999999999", 3_600_000.0)]
)
def test_retry_after_is_in_seconds_and_bounded(text, rest_ms):
    assert retry_after_ms(text) == rest_ms


def test_retry_after_may_be_a_date():
    in_a_minute = time.time() + 60.0
    rest_ms = retry_after_ms(email.utils.formatdate(in_a_minute, usegmt=True))
    assert 50_000.0 < rest_ms <= 60_000.0
    assert retry_after_ms("Sun, 06 Nov 1994 08:49:37 GMT") == 0.0


@pytest.mark.parametrize("ahead_s", [-3_600.0, -5.0, 5.0, 3_600.0])
def test_rest_until_a_date_does_not_depend_on_the_difference_of_the_clocks(ahead_s):
    server_s = time.time() + ahead_s
    dates = {
        "Date": email.utils.formatdate(server_s, usegmt=True),
        "Retry-After": email.utils.formatdate(server_s + 2.0, usegmt=True),
    }
    assert signal_headers.read_retry_after_ms(urllib3.HTTPHeaderDict(dates), "s") == 2_000.0


@pytest.mark.parametrize("text", ["", "soon", "Sun, 99 Nov 1994 08:49:37 GMT"])
def test_malformed_date_of_an_answer_is_replaced_by_the_time_of_the_host(text):
    until = email.utils.formatdate(time.time() + 60.0, usegmt=True)
    headers = urllib3.HTTPHeaderDict({"Date": text, "Retry-After": until})
    assert 50_000.0 < signal_headers.read_retry_after_ms(headers, "s") <= 60_000.0


@pytest.mark.parametrize("text", [*MALFORMED, "soon", "Sun, 99 Nov 1994 08:49:37 GMT"])
def test_malformed_retry_after_is_ignored_and_logged_once(text, caplog):
    with caplog.at_level(logging.WARNING):
        assert [retry_after_ms(text) for _ in range(3)] == [0.0] * 3
    assert [record.message for record in caplog.records] == ["malformed signal"]


def test_repeated_retry_after_is_ignored():
    assert retry_after_ms("1", "2") == 0.0
