"""Tests of reading what backend servers say about themselves."""

import logging
import math

import pytest
import urllib3

from verbenadrum.daemon import signal_headers

NAME = "X-Server-Limit"
MALFORMED = ["", "-1", "nan", "inf", "1e999", "9" * 5_000, "1,5", "1 2", "0x10", "+1", "1.", "١"]


@pytest.fixture(autouse=True)
def nothing_logged():
    signal_headers._logged_s.clear()


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
