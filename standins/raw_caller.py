"""Caller on a plain socket: it sends in pieces, and sees each reset, cut and stray byte."""

import enum
import itertools
import socket
import time

import gevent
import msgspec
import xxhash

from standins import raw_answer
from verbenadrum.daemon import sockets

__all__ = ["Connection", "Ending", "Piece", "Request", "Row"]

_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 15.0
_READ_BYTES = 65_536
_numbers = itertools.count(1)


class Ending(enum.Enum):
    """How a request ended at its caller.

    A ``CLOSED`` connection brought no byte of an answer, a ``TRUNCATED`` answer is not complete,
    and of an ``UNSENT`` request the connection did not take all bytes.
    """

    ANSWERED = "answered"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    UNSENT = "unsent"
    TIMEOUT = "timeout"


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes to send after a pause."""

    data: bytes
    pause_s: float = 0.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request, cut into the pieces in which it is sent.

    Attributes
    ----------
    request : str
        Identifier, which is its nonce too.
    method, target : str
        What is asked.
    once : bool
        Whether it may run only once.
    pieces : tuple of Piece
        Head and body as they are sent.
    head_pieces : int
        How many of them bring the head.
    body_checksum : str
        Checksum of the body.
    body_bytes : int
        Length of the body.
    read_pauses : int
        Pauses of ``read_pause_s`` seconds between the first reads of the answer.
    """

    request: str
    method: str
    target: str
    once: bool
    pieces: tuple[Piece, ...]
    head_pieces: int
    body_checksum: str
    body_bytes: int
    read_pauses: int = 0
    read_pause_s: float = 0.0


class Row(msgspec.Struct, kw_only=True):
    """Result of one request; times are milliseconds since the epoch, 0 where it did not happen.

    ``head_ms`` is when the head was sent whole, and ``sent_ms`` when the request was. ``read_ms``
    is how long the caller pauses in its reading at most, and ``position`` counts the requests of
    the connection.
    """

    request: str
    target: str
    once: bool
    host: str
    connection: int
    position: int
    opened_ms: float
    begun_ms: float
    head_ms: float = 0.0
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    read_ms: float = 0.0
    body_bytes: int = 0
    ending: Ending = Ending.CLOSED
    error: str = ""
    status: int = 0
    code: str = ""
    closing: bool = False
    fault: str = ""


class _Problem(msgspec.Struct):
    """Fields of a refusal that are recorded."""

    code: str = ""


class Connection:
    """A connection to a host, used for one request at a time.

    Parameters
    ----------
    host : str
        Name of the host, for the rows.
    address : str
        Its ``ip:port``.
    receive_bytes : int
        Size of the receive buffer, or 0 for the system's.

    Raises
    ------
    OSError
        If the host takes no connection.
    """

    def __init__(self, *, host: str, address: str, receive_bytes: int = 0) -> None:
        self.host = host
        self.number = next(_numbers)
        self.usable = True
        self._asked = 0
        self._sock = socket.socket()
        if receive_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sock.settimeout(_CONNECT_TIMEOUT_S)
        try:
            self._sock.connect(sockets.split_address(address))
        except OSError:
            self._sock.close()
            raise
        sockets.disable_nagle(self._sock)
        self._sock.settimeout(None)
        self._reader = raw_answer.AnswerReader(sock=self._sock)
        self.opened_ms = _now_ms()

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self._sock.close()

    def look(self) -> bytes:
        """Return bytes that belong to no request; an ended connection is not usable any more."""
        self._sock.settimeout(0.0)
        try:
            stray = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError:
            stray = b""
        finally:
            self._sock.settimeout(None)
        self.usable = False
        return stray

    def ask(self, request: Request) -> Row:
        """Send a request and read its answer."""
        self._asked += 1
        row = Row(
            request=request.request,
            target=request.target,
            once=request.once,
            host=self.host,
            connection=self.number,
            position=self._asked,
            opened_ms=self.opened_ms,
            begun_ms=_now_ms() + request.pieces[0].pause_s * 1000.0,
            body_bytes=request.body_bytes,
            read_ms=request.read_pauses * request.read_pause_s * 1000.0,
        )
        with gevent.Timeout(_ANSWER_TIMEOUT_S, False):
            self._exchange(request, row)
            row.ended_ms = _now_ms()
            self.usable = self.usable and row.ending is Ending.ANSWERED and not row.closing
            return row
        row.ended_ms = _now_ms()
        row.ending = Ending.TIMEOUT
        self.usable = False
        return row

    def _exchange(self, request: Request, row: Row) -> None:
        try:
            self._send(request, row)
        except OSError as error:
            row.error = type(error).__name__
        try:
            self._receive(request, row)
            row.ending = Ending.ANSWERED
        except OSError as error:
            row.error = row.error or type(error).__name__
            row.ending = Ending.TRUNCATED if self._reader.pending or row.status else Ending.CLOSED
            if not row.sent_ms:
                row.ending = Ending.UNSENT
        except (ValueError, IndexError) as error:
            row.ending = Ending.TRUNCATED
            row.fault = f"bytes that are no answer: {error}"

    def _send(self, request: Request, row: Row) -> None:
        for number, piece in enumerate(request.pieces, start=1):
            gevent.sleep(piece.pause_s)
            self._sock.sendall(piece.data)
            if number == request.head_pieces:
                row.head_ms = _now_ms()
        row.sent_ms = _now_ms()

    def _receive(self, request: Request, row: Row) -> None:
        answer = self._reader.read_head()
        row.status = answer.status
        row.closing = answer.closing
        self._reader.read_body(answer, iter([request.read_pause_s] * request.read_pauses))
        if self._reader.pending:
            row.fault = f"{len(self._reader.pending)} bytes beyond the answer"
            self.usable = False
        elif answer.status == 200:
            row.fault = _fault(request, answer)
        else:
            row.code = _code(answer.body)


def _fault(request: Request, answer: raw_answer.Answer) -> str:
    """Return what is wrong with a success, or nothing."""
    headers, body = answer.headers, answer.body
    if headers.get("x-request-id") != request.request:
        return f"answer of request {headers.get('x-request-id')}"
    if body.partition(b"\n")[0].decode(errors="replace") != request.request:
        return "body of another request"
    if headers.get("x-checksum") != xxhash.xxh3_64_hexdigest(body):
        return f"body of {len(body)} bytes is not the server's"
    if headers.get("x-body-checksum") != request.body_checksum:
        return "the server read another body"
    return ""


def _code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_Problem).code
    except msgspec.MsgspecError:
        return ""


def _now_ms() -> float:
    return time.time() * 1000.0
