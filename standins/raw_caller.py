"""HTTP client on a plain socket, which observes resets, truncated answers and stray bytes.

It sends a request in separate pieces with pauses, and records when each part was sent.
"""

import enum
import itertools
import socket
import time

import gevent
import msgspec
import xxhash

from standins import raw_answer
from verbenadrum.daemon import sockets

__all__ = ["Connection", "Ending", "Piece", "Request", "RequestResult"]

_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 15.0
_MAX_READ_BYTES = 65_536
_connection_numbers = itertools.count(1)


class Ending(enum.Enum):
    """How a request ended for its caller.

    ``CLOSED``: the connection was closed before the first byte of an answer. ``TRUNCATED``: the
    answer is incomplete. ``UNSENT``: not all bytes of the request could be sent. ``TIMEOUT``: the
    exchange took longer than ``_ANSWER_TIMEOUT_S``.
    """

    ANSWERED = "answered"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    UNSENT = "unsent"
    TIMEOUT = "timeout"


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes that are sent after a pause."""

    data: bytes
    pause_s: float = 0.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request, split into the pieces in which it is sent.

    Attributes
    ----------
    request : str
        Identifier of the request, which is also sent as its nonce.
    method, target : str
        Method and target of the request line.
    once : bool
        Whether it is not idempotent, so that it must not run twice.
    pieces : tuple of Piece
        Head and body as they are sent.
    head_pieces : int
        Number of pieces that contain the head.
    body_checksum : str
        XXH3 checksum of the body, as 16 hexadecimal digits.
    body_bytes : int
        Length of the body.
    budget_ms : float
        Time budget in the deadline header, in milliseconds; 0 without the header.
    read_pauses : int
        Number of pauses between the first reads of the answer.
    read_pause_s : float
        Length of each of these pauses.
    """

    request: str
    method: str
    target: str
    once: bool
    pieces: tuple[Piece, ...]
    head_pieces: int
    body_checksum: str
    body_bytes: int
    budget_ms: float = 0.0
    read_pauses: int = 0
    read_pause_s: float = 0.0


class RequestResult(msgspec.Struct, kw_only=True):
    """Result of one request.

    Times are milliseconds since the Unix epoch, and 0 if the event did not happen.

    Attributes
    ----------
    request, target, once, body_bytes, budget_ms
        Those of the `Request`.
    host : str
        Host to which the connection leads.
    connection, position : int
        Number of the connection, and of the request on it, from 1.
    opened_ms : float
        When the connection was established.
    begun_ms : float
        When the first byte was due to be sent.
    head_ms, sent_ms : float
        When the last byte of the head, and of the whole request, was sent.
    ended_ms : float
        When the answer was complete or the exchange failed.
    read_ms : float
        Total of the caller's pauses while it reads the answer, at most.
    ending : Ending
        How the request ended.
    error : str
        Class of the socket error, or empty.
    status, code : int, str
        Status of the answer, and the error code of a refusal.
    closing : bool
        Whether the answer announced that the connection closes.
    fault : str
        What is wrong with the answer, or empty.
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
    budget_ms: float = 0.0
    ending: Ending = Ending.CLOSED
    error: str = ""
    status: int = 0
    code: str = ""
    closing: bool = False
    fault: str = ""


class _RefusalBody(msgspec.Struct):
    """Body of a refusal; other fields are ignored."""

    code: str = ""


class Connection:
    """Connection to a host, for one request at a time.

    Parameters
    ----------
    host : str
        Name of the host, for the results.
    address : str
        Its ``ip:port``.
    receive_bytes : int
        Size of the socket's receive buffer, or 0 for the default of the system.

    Attributes
    ----------
    usable : bool
        Whether another request can be sent.

    Raises
    ------
    OSError
        If the connection fails or times out.
    """

    def __init__(self, *, host: str, address: str, receive_bytes: int = 0) -> None:
        self.host = host
        self.number = next(_connection_numbers)
        self.usable = True
        self._request_count = 0
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
        """Close the connection; it is not usable any more."""
        self.usable = False
        self._sock.close()

    def read_stray_bytes(self) -> bytes:
        """Return bytes that were received while no request was open, without blocking.

        A connection that was closed by the host, or that has such bytes, is not usable any more.
        """
        self._sock.settimeout(0.0)
        try:
            stray = self._sock.recv(_MAX_READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError:
            stray = b""
        finally:
            self._sock.settimeout(None)
        self.usable = False
        return stray

    def perform(self, request: Request) -> RequestResult:
        """Send a request, read its answer and return the result; failures are not raised."""
        self._request_count += 1
        result = RequestResult(
            request=request.request,
            target=request.target,
            once=request.once,
            host=self.host,
            connection=self.number,
            position=self._request_count,
            opened_ms=self.opened_ms,
            begun_ms=_now_ms() + request.pieces[0].pause_s * 1000.0,
            body_bytes=request.body_bytes,
            budget_ms=request.budget_ms,
            read_ms=request.read_pauses * request.read_pause_s * 1000.0,
        )
        with gevent.Timeout(_ANSWER_TIMEOUT_S, False):
            self._exchange(request, result)
            result.ended_ms = _now_ms()
            self.usable = self.usable and result.ending is Ending.ANSWERED and not result.closing
            return result
        result.ended_ms = _now_ms()
        result.ending = Ending.TIMEOUT
        self.usable = False
        return result

    def _exchange(self, request: Request, result: RequestResult) -> None:
        try:
            self._send(request, result)
        except OSError as error:
            result.error = type(error).__name__
        try:
            self._receive(request, result)
            result.ending = Ending.ANSWERED
        except OSError as error:
            result.error = result.error or type(error).__name__
            result.ending = (
                Ending.TRUNCATED if self._reader.pending or result.status else Ending.CLOSED
            )
            if not result.sent_ms:
                result.ending = Ending.UNSENT
        except ValueError as error:
            result.ending = Ending.TRUNCATED
            result.fault = f"malformed answer: {error}"

    def _send(self, request: Request, result: RequestResult) -> None:
        for number, piece in enumerate(request.pieces, start=1):
            gevent.sleep(piece.pause_s)
            self._sock.sendall(piece.data)
            if number == request.head_pieces:
                result.head_ms = _now_ms()
        result.sent_ms = _now_ms()

    def _receive(self, request: Request, result: RequestResult) -> None:
        answer = self._reader.read_head()
        result.status = answer.status
        result.closing = answer.closes_connection
        self._reader.read_body(answer, iter([request.read_pause_s] * request.read_pauses))
        if self._reader.pending:
            result.fault = f"{len(self._reader.pending)} extra bytes after the answer"
            self.usable = False
        elif answer.status == 200:
            result.fault = _find_fault(request, answer)
        else:
            result.code = _refusal_code(answer.body)


def _find_fault(request: Request, answer: raw_answer.Answer) -> str:
    """Return what is wrong with an answer of status 200, or an empty string."""
    headers, body = answer.headers, answer.body
    if headers.get("x-request-id") != request.request:
        return f"answer belongs to request {headers.get('x-request-id')}"
    if body.partition(b"\n")[0].decode(errors="replace") != request.request:
        return "body belongs to another request"
    if headers.get("x-checksum") != xxhash.xxh3_64_hexdigest(body):
        return f"checksum of the body of {len(body)} bytes differs from the server's"
    if headers.get("x-body-checksum") != request.body_checksum:
        return "checksum of the request body differs at the server"
    return ""


def _refusal_code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_RefusalBody).code
    except msgspec.MsgspecError:
        return ""


def _now_ms() -> float:
    return time.time() * 1000.0
