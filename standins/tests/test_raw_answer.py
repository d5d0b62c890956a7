"""Tests that the reader of the test callers takes nothing but whole, well-formed answers."""

import socket

import pytest

from standins import raw_answer
from verbenadrum.daemon.tests import broken_heads

# Hosts always send a reason, and HTTP/1.1.
SOUND_LINES = [line for line in broken_heads.VALID_STATUS_LINES if line.count(b" ") > 1][:4]


def read_head(data):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        return raw_answer.AnswerReader(sock=ours).read_head()


@pytest.mark.parametrize("line", broken_heads.MALFORMED_STATUS_LINES)
def test_malformed_status_line_is_an_error(line):
    with pytest.raises(ValueError, match="no line of the head"):
        read_head(line + b"\r\nX-Good: 1\r\n\r\n")


@pytest.mark.parametrize("line", broken_heads.MALFORMED_FIELD_LINES)
def test_malformed_field_line_is_an_error(line):
    with pytest.raises(ValueError, match="no line of the head"):
        read_head(b"HTTP/1.1 200 OK\r\nX-Good: 1\r\n" + line + b"\r\n\r\n")


@pytest.mark.parametrize("line", SOUND_LINES)
def test_sound_head_is_read(line):
    answer = read_head(line + b"\r\nX-Good: \t1 \r\n\r\n")
    assert (answer.status, answer.headers) == (200, {"x-good": "1"})


def test_cut_head_is_an_error():
    with pytest.raises(raw_answer.CutError):
        read_head(b"HTTP/1.1 200 OK\r\nX-Good: 1\r\n")
