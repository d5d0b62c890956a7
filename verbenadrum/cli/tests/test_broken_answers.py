"""Tests that the command line takes no broken answer of an operators' port for a sound one."""

import subprocess
import sys

import msgspec
import pytest

from standins import canned
from verbenadrum.cli import operators
from verbenadrum.daemon.tests import broken_heads, test_upstream
from verbenadrum.decisions import ring

TIMEOUT_S = 5.0
BODY = msgspec.json.encode({"host": "h1", "ready": True})
LENGTH = b"Content-Length: %d" % len(BODY)
# Reads decisions in a process of its own, in which no socket is patched.
READ_DECISIONS = """
import sys
from verbenadrum.cli import operators
print(len(operators.read_decisions(sys.argv[1], 5.0, "q1")))
"""


def check_is_no_answer(sent):
    backend = test_upstream.Backend(sent, after="close")
    with pytest.raises(operators.OperatorsPortError, match="no answer"):
        operators.read_status(backend.address, TIMEOUT_S)


# The command line took the lines behind a malformed one for the body of an answer.
@pytest.mark.parametrize("framing", [[LENGTH], []], ids=["length", "unframed"])
@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
def test_answer_with_a_malformed_field_line_is_refused(line, framing):
    check_is_no_answer(b"\r\n".join([b"HTTP/1.1 200 OK", line, *framing, b"", BODY]))


@pytest.mark.parametrize("line", broken_heads.MALFORMED_STATUS_LINES)
def test_answer_with_a_malformed_status_line_is_refused(line):
    check_is_no_answer(b"\r\n".join([line, LENGTH, b"", BODY]))


@pytest.mark.parametrize("lengths", [b"Content-Length: 3\r\n%s" % LENGTH, b"Content-Length: +9"])
def test_answer_without_one_plain_length_is_refused(lengths):
    check_is_no_answer(b"\r\n".join([b"HTTP/1.1 200 OK", lengths, b"", BODY]))


@pytest.mark.parametrize("body", [b"%x\r\n%s\r\n-0\r\n\r\n", b"%x\r\n%s12"])
def test_answer_with_a_broken_chunk_is_refused(body):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    check_is_no_answer(head + body % (len(BODY), BODY))


def test_answer_that_is_cut_is_refused():
    check_is_no_answer(b"\r\n".join([b"HTTP/1.1 200 OK", LENGTH, b"", BODY[:-1]]))


@pytest.mark.parametrize("line", broken_heads.VALID_STATUS_LINES)
@pytest.mark.parametrize("framing", [[LENGTH], []], ids=["length", "unframed"])
def test_sound_answer_is_read(line, framing):
    lines = [line, *broken_heads.VALID_FIELD_LINES, *framing, b"", BODY]
    backend = test_upstream.Backend(b"\r\n".join(lines), after="close")
    assert operators.read_status(backend.address, TIMEOUT_S).ready


def test_large_answer_is_read_in_a_process_without_patched_sockets():
    decisions = [ring.Decision(kind=ring.DecisionKind.PLACE, choice="s1", reason="r")] * 30_000
    body = msgspec.json.encode(decisions)
    with canned.serve(lambda path: canned.Answer(body)) as server:
        completed = subprocess.run(
            [sys.executable, "-c", READ_DECISIONS, server.address],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
    assert completed.stdout.split() == ["30000"]
