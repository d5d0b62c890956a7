"""Reads HTTP/1.1 answers from a socket and keeps the bytes that belong to none.

An HTTP client library would drop such bytes, and would hide how a connection ended.
"""

import re
import socket
from collections.abc import Iterator

import gevent
import msgspec

__all__ = ["Answer", "AnswerReader", "CutError"]

_READ_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"
_STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2}) [^\x00-\x08\x0a-\x1f\x7f]*")
_FIELD_LINE = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00-\x08\x0a-\x1f\x7f]*)")


class CutError(OSError):
    """Raised if a connection ends before an answer, or inside it."""


class Answer(msgspec.Struct, kw_only=True):
    """Answer; ``body`` is None until it is complete, and header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes | None = None

    @property
    def framed(self) -> bool:
        """Whether the answer states where its body ends, by its length or in chunks."""
        return self.chunked or "content-length" in self.headers

    @property
    def chunked(self) -> bool:
        """Whether the body is sent in chunked transfer coding."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the answer."""
        return not self.framed or self.headers.get("connection", "").lower() == "close"


class AnswerReader:
    """Reads the answers of one connection.

    Parameters
    ----------
    sock : socket.socket
        The connection.

    Attributes
    ----------
    pending : bytes
        Bytes that were received and are not part of an answer that was read.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._sock = sock
        self.pending = b""

    def read_head(self) -> Answer:
        """Read the status and the headers of the next answer.

        Raises
        ------
        CutError
            If the connection ends before the end of the headers.
        ValueError
            If the bytes are not the head of an HTTP answer.
        """
        while _HEAD_END not in self.pending:
            self._receive()
        head, _, self.pending = self.pending.partition(_HEAD_END)
        status_line, *lines = head.decode("latin-1").split("\r\n")
        status = _match(_STATUS_LINE, status_line)[1]
        fields = [_match(_FIELD_LINE, line) for line in lines]
        headers = {field[1].lower(): field[2].strip(" \t") for field in fields}
        return Answer(status=int(status), headers=headers)

    def read_body(self, answer: Answer, pauses_s: Iterator[float]) -> None:
        """Read the body of an answer and store it in the answer.

        Parameters
        ----------
        answer : Answer
            Answer whose status and headers have been read.
        pauses_s : iterator of float
            Seconds to pause before each read from the socket for a body with a length or for the
            data of a chunk. There are no pauses once it is exhausted, and none for a body that ends
            with its connection.

        Raises
        ------
        CutError
            If the connection ends before the body is complete.
        ValueError
            If the length of the body or of a chunk is not a number.
        """
        if answer.chunked:
            answer.body = self._read_chunks(pauses_s)
        elif answer.framed:
            answer.body = self._read_exactly(int(answer.headers["content-length"]), pauses_s)
        else:
            answer.body = self._read_to_end()

    def _read_to_end(self) -> bytes:
        while self._receive(allow_end=True):
            pass
        body, self.pending = self.pending, b""
        return body

    def _read_chunks(self, pauses_s: Iterator[float]) -> bytes:
        body = []
        while size := int(self._read_line().partition(b";")[0], 16):
            body.append(self._read_exactly(size, pauses_s))
            self._read_line()
        while self._read_line():
            pass
        return b"".join(body)

    def _read_line(self) -> bytes:
        while b"\r\n" not in self.pending:
            self._receive()
        line, _, self.pending = self.pending.partition(b"\r\n")
        return line

    def _read_exactly(self, size: int, pauses_s: Iterator[float]) -> bytes:
        pieces = [self.pending]
        remaining_bytes = size - len(self.pending)
        self.pending = b""
        while remaining_bytes > 0:
            gevent.sleep(next(pauses_s, 0.0))
            self._receive()
            pieces.append(self.pending)
            remaining_bytes -= len(self.pending)
            self.pending = b""
        body = b"".join(pieces)
        self.pending = body[size:]
        return body[:size]

    def _receive(self, *, allow_end: bool = False) -> bool:
        data = self._sock.recv(_READ_BYTES)
        if not data and not allow_end:
            raise CutError("connection ended before the end of an answer")
        self.pending += data
        return bool(data)


def _match(pattern: re.Pattern, line: str) -> re.Match:
    match = pattern.fullmatch(line)
    if match is None:
        raise ValueError(f"{line[:80]!r} is no line of the head of an answer")
    return match
