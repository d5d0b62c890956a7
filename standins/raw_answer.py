"""Reads answers from a plain socket, byte by byte as they are framed."""

import socket
from collections.abc import Iterator

import gevent
import msgspec

__all__ = ["Answer", "AnswerReader", "CutError"]

_READ_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"


class CutError(OSError):
    """A connection that ended inside an answer, or before it."""


class Answer(msgspec.Struct, kw_only=True):
    """An answer as it came; ``body`` is None until it is complete."""

    status: int
    headers: dict[str, str]
    body: bytes | None = None

    @property
    def framed(self) -> bool:
        """Whether the answer's end can be told without the end of its connection."""
        return self.chunked or "content-length" in self.headers

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def closing(self) -> bool:
        """Whether the connection carries no other request."""
        return not self.framed or self.headers.get("connection", "").lower() == "close"


class AnswerReader:
    """Reads the answers of one connection.

    Parameters
    ----------
    sock : socket
        The connection.

    Attributes
    ----------
    pending : bytes
        Bytes that were received and belong to no complete answer.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._sock = sock
        self.pending = b""

    def read_head(self) -> Answer:
        """Read status and headers.

        Raises
        ------
        CutError
            If the connection ends before.
        ValueError, IndexError
            If the bytes are no answer.
        """
        while _HEAD_END not in self.pending:
            self._read_more()
        head, _, self.pending = self.pending.partition(_HEAD_END)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return Answer(status=int(first.split()[1]), headers=headers)

    def read_body(self, answer: Answer, pauses_s: Iterator[float]) -> None:
        """Read the body, with pauses before its reads.

        Raises
        ------
        CutError
            If the connection ends before the body does.
        """
        if answer.chunked:
            answer.body = self._read_chunks(pauses_s)
        elif answer.framed:
            answer.body = self._read_exactly(int(answer.headers["content-length"]), pauses_s)
        else:
            answer.body = self._read_to_end()

    def _read_to_end(self) -> bytes:
        while self._read_more(at_end=True):
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
            self._read_more()
        line, _, self.pending = self.pending.partition(b"\r\n")
        return line

    def _read_exactly(self, size: int, pauses_s: Iterator[float]) -> bytes:
        pieces = [self.pending]
        left = size - len(self.pending)
        self.pending = b""
        while left > 0:
            gevent.sleep(next(pauses_s, 0.0))
            self._read_more()
            pieces.append(self.pending)
            left -= len(self.pending)
            self.pending = b""
        body = b"".join(pieces)
        self.pending = body[size:]
        return body[:size]

    def _read_more(self, *, at_end: bool = False) -> bool:
        data = self._sock.recv(_READ_BYTES)
        if not data and not at_end:
            raise CutError("the connection ended")
        self.pending += data
        return bool(data)
