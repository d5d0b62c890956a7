"""gevent's WSGI server with strict framing of requests, for the callers' and operators' ports."""

import contextlib
import http.client
import logging
import re
import socket
import ssl
import time
from collections.abc import Callable

import gevent
from gevent import pywsgi

from verbenadrum.daemon import sockets
from verbenadrum.records import types
from verbenadrum.utils import errors

__all__ = [
    "AbortAnswer",
    "CallerBodyError",
    "HttpServer",
    "MALFORMED_BODY",
    "SOCKET_KEY",
    "TARGET_KEY",
]

# Keys of the WSGI environment that the handler adds.
SOCKET_KEY = "verbenadrum.socket"
TARGET_KEY = "verbenadrum.target"

_TOKEN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
_DIGITS = re.compile(r"^[0-9]{1,18}$")
_VERSIONS = ("HTTP/1.0", "HTTP/1.1")
_CLOSED_LINE = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_MS_PER_S = 1000.0
# A read of a body that gets nothing for this long ends; the operators' limits bound heads only.
_BODY_TIMEOUT_S = 30.0
# How long the rest of a body is read that nobody wants, as other servers do before they close.
_DISCARD_S = 2.0
_DISCARDED_PIECE_BYTES = 16_384
# The first request of a connection follows its opening within a round trip, at most this long.
_FIRST_REQUEST_S = 0.25

_log = logging.getLogger(__name__)


class AbortAnswer(errors.VerbenadrumError):
    """An answer cannot be completed: its connection is closed without a clean end.

    Attributes
    ----------
    reason : str
        Short stable reason code, for the log.
    """

    code = "answer-aborted"

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message)
        self.reason = reason


class CallerBodyError(OSError):
    """A caller's body that broke off, or is malformed, while it was passed on."""


# What gevent raises for a chunk that cannot be read; it answers 400 and closes.
MALFORMED_BODY = pywsgi._InvalidClientInput  # noqa: SLF001


class _FramingError(ValueError):
    """A request whose extent is not certain."""


class _HeadTooLongError(http.client.HTTPException):
    """A head of more bytes than the operators allow."""


class _HeadTimeoutError(ValueError):
    """A head that took longer than the operators allow."""


class _BodyTooLongError(ValueError):
    """A body of more bytes than the operators allow."""


class _Input(pywsgi.Input):
    """Body of a request, for which an empty chunk size is malformed like any other.

    ``most_bytes`` bounds a body in chunks, whose length no header tells. ``ended`` tells whether
    the body has been read to its end, without which no other request may follow. ``interrupted``
    tells whether a read was ended from outside, after which nobody knows how far it had come.
    """

    __slots__ = ("_left_bytes", "ended", "interrupted")

    def __init__(self, *given: object, most_bytes: int) -> None:
        super().__init__(*given)
        self._left_bytes = most_bytes
        self.ended = False
        self.interrupted = False

    def _discard(self) -> None:
        """Read on for a bounded time, since a close with unread bytes may destroy the answer."""
        if self.chunked_input or self.position < (self.content_length or 0):
            with gevent.Timeout(_DISCARD_S, TimeoutError("the rest of the body did not come")):
                if self.interrupted:
                    while self.rfile.read1(_DISCARDED_PIECE_BYTES):
                        pass
                super()._discard()
        self.ended = not (self._chunked_input_error or self.interrupted)

    def read(self, length: int | None = None) -> bytes:
        """Return up to ``length`` bytes of the body."""
        try:
            data = super().read(length)
        except ValueError as error:
            self._chunked_input_error = True
            raise MALFORMED_BODY(f"unreadable chunk size: {error}") from error
        except gevent.GreenletExit:
            self.interrupted = True
            raise
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self._chunked_input_error = True
            raise MALFORMED_BODY("the body is longer than the configuration allows")
        return data


class _CrlfLines:
    """Lines of a head, which must end with CR and LF.

    Another parser may take a bare LF for a part of a header's value, and see another request.
    """

    def __init__(self, source: object, most_bytes: int) -> None:
        self._source = source
        self._left_bytes = most_bytes

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line."""
        line = self._source.readline(limit)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise _HeadTooLongError("the head is longer than the configuration allows")
        if line.endswith(b"\n") and not line.endswith(b"\r\n"):
            raise _FramingError("a header line does not end with CR and LF")
        return line


class _Handler(pywsgi.WSGIHandler):
    """Reads requests of one connection."""

    _head_is_here = False

    def MessageClass(self, *arguments: object) -> http.client.HTTPMessage:  # noqa: N802
        """Parse the head, and refuse every request whose framing is in doubt.

        This is checked before the base class drops a Content-Length beside a Transfer-Encoding.
        """
        lines, *rest = arguments
        limits = self.server.limits()
        most_bytes = limits.max_head_bytes - len(self.requestline)
        headers = super().MessageClass(_CrlfLines(lines, most_bytes), *rest)
        _check_head(self.request_version, headers)
        if int(headers.get("Content-Length", 0)) > limits.max_body_bytes:
            raise _BodyTooLongError("Content-Length is more than the configuration allows")
        return headers

    def read_requestline(self) -> str:
        """Wait a bounded time for the next request on the connection."""
        self.server.note_idle(self.socket)
        begun = self._wait_for_head()
        if not begun or not self.server.note_busy(self.socket):
            return ""
        self.socket.settimeout(_BODY_TIMEOUT_S)
        # A timer would cost more than reading a head that has come whole.
        self._head_is_here = b"\r\n\r\n" in self.rfile.peek(1)
        line = self._within_head_timeout(super().read_requestline)
        if line and not line.endswith("\r\n"):
            raise _FramingError("the request line does not end with CR and LF")
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head."""
        read = super().read_request
        return self._within_head_timeout(lambda: read(raw_requestline))

    def handle_one_request(self) -> object:
        """Answer 400 or 408 where not even the request line could be read."""
        try:
            return super().handle_one_request()
        except (_FramingError, _HeadTimeoutError) as error:
            return self._handle_client_error(error)

    def _wait_for_head(self) -> bool:
        """Return whether a request begins before the connection has been idle for too long.

        A longer limit that comes into force meanwhile counts, so that no caller that has heard of
        it finds its connection closed.
        """
        waited_s = 0.0
        # A time-out of the socket would leave its buffered reader unusable.
        self.socket.settimeout(None)
        while True:
            limit_s = self.server.limits().idle_timeout_ms / _MS_PER_S
            if limit_s <= waited_s:
                return False
            with gevent.Timeout(limit_s - waited_s, False):
                return self._head_begins()
            if sockets.is_readable(self.socket):
                # Over TLS these may be a part of a record, whose rest is bounded like a head's.
                with gevent.Timeout(self.server.limits().head_timeout_ms / _MS_PER_S, False):
                    return self._head_begins()
                return False
            waited_s = limit_s

    def _head_begins(self) -> bool:
        try:
            return bool(self.rfile.peek(1))
        except ValueError:
            # What an encrypted socket raises for a read after this server has ended it.
            return False

    def _within_head_timeout(self, read: Callable[[], object]) -> object:
        if self._head_is_here:
            return read()
        limit_s = self.server.limits().head_timeout_ms / _MS_PER_S
        with gevent.Timeout(limit_s, _HeadTimeoutError("the head did not come in time")):
            return read()

    def get_environ(self) -> dict:
        """Add the raw target and the socket to the WSGI environment."""
        environ = super().get_environ()
        given = environ["wsgi.input"]
        self.wsgi_input = environ["wsgi.input"] = _Input(
            given.rfile,
            given.content_length,
            given.socket,
            given.chunked_input,
            most_bytes=self.server.limits().max_body_bytes,
        )
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        """Count the request until the last byte of its answer is with the operating system."""
        self.server.in_flight += 1
        try:
            super().handle_one_response()
            if not self.wsgi_input.ended:
                self.close_connection = True
        finally:
            self.server.in_flight -= 1

    def finalize_headers(self) -> None:
        """Tell the caller to close where no other request can follow."""
        ends = self.server.stopping or self.wsgi_input.interrupted
        if ends and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _write_with_headers(self, data: bytes) -> None:
        # One write for head and first piece: two writes would cost a second packet.
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines.extend(name + b": " + value for name, value in self.response_headers)
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        if not data:
            self._sendall(head)
        elif self.response_use_chunked:
            self._sendall(b"%s%x\r\n%s\r\n" % (head, len(data), data))
        else:
            self._sendall(head + data)

    def handle_error(self, kind: type, error: BaseException, trace: object) -> None:
        """Close the connection of an aborted answer, and report anything else."""
        if isinstance(error, AbortAnswer):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        status = "400 Bad Request"
        for kind, answer in _STATUS_OF_FAULTS:
            if isinstance(ex, kind):
                status = answer
        _log.info("request refused", extra={"status": status, "fault": str(ex)})
        return status.split()[0], _CLOSED_LINE % status.encode()

    def log_request(self) -> None:
        """Write nothing: decisions carry what operators need, and paths may hold secrets."""


_STATUS_OF_FAULTS = (
    (http.client.HTTPException, "431 Request Header Fields Too Large"),
    (_BodyTooLongError, "413 Content Too Large"),
    (_HeadTimeoutError, "408 Request Timeout"),
    (TimeoutError, "408 Request Timeout"),
)


class HttpServer(pywsgi.WSGIServer):
    """WSGI server that refuses doubtful framing and stops without cutting requests.

    Parameters
    ----------
    listener : socket
        Listening socket.
    application : callable
        WSGI application.
    tls : ssl.SSLContext or None
        TLS towards clients.
    limits : callable
        Returns the `types.CallerLimits` in force.

    Attributes
    ----------
    stopping : bool
        Whether each answer asks its client to close the connection.
    in_flight : int
        Requests whose answer has not been written completely.
    """

    handler_class = _Handler

    def __init__(
        self,
        *,
        listener: socket.socket,
        application: object,
        tls: ssl.SSLContext | None = None,
        limits: Callable[[], types.CallerLimits] = types.CallerLimits,
    ) -> None:
        options = {} if tls is None else {"ssl_context": tls}
        super().__init__(listener, application, log=None, error_log=_log, **options)
        self.stopping = False
        self.in_flight = 0
        self.limits = limits
        # From the accept to the close; a greenlet that is to handle one begins a turn later.
        self._accepted: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        # Since when each connection has waited for a request (monotonic seconds).
        self._idle: dict[socket.socket, float] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._accepted)

    def note_idle(self, sock: socket.socket) -> None:
        """Note that a connection waits for its next request."""
        self._idle[sock] = time.monotonic()

    def note_busy(self, sock: socket.socket) -> bool:
        """Note that a request has begun to arrive; False where the connection was ended before.

        Bytes that arrived before the end can still be read, but an answer can no longer be sent.
        """
        return self._idle.pop(sock, None) is not None

    def do_handle(self, sock: socket.socket, address: tuple) -> None:
        """Begin to serve a connection that was accepted."""
        self._accepted.add(sock)
        super().do_handle(sock, address)

    def do_close(self, sock: socket.socket, *rest: object) -> None:
        """Close a connection that has been served."""
        self._accepted.discard(sock)
        super().do_close(sock, *rest)

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: tuple) -> None:
        """Shake hands within the time that a head may take, and serve the connection."""
        limit_s = self.limits().head_timeout_ms / _MS_PER_S
        try:
            with gevent.Timeout(limit_s, TimeoutError("the TLS handshake did not come in time")):
                encrypted = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError as error:
            _log.info("TLS handshake failed", extra={"fault": str(error)})
            return
        with contextlib.closing(encrypted):
            self.handle(encrypted, address)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection."""
        sockets.disable_nagle(sock)
        self._open.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._open.discard(sock)
            self._idle.pop(sock, None)

    def announce_end(self) -> None:
        """Ask each client to close its connection, and go on serving."""
        self.stopping = True

    def drain(self) -> None:
        """Close the listener; requests on open connections are served and then closed.

        Connections in the listen queue are open to their clients, so they are accepted first.
        """
        self.stopping = True
        self.stop_accepting()
        while self._accept_next():
            pass
        self.close()

    def _accept_next(self) -> bool:
        """Accept from the listen queue; False where it is empty or nothing can be accepted."""
        try:
            accepted = self.do_read()
        except ConnectionAbortedError:
            # This client has gone; the next one has not.
            return True
        except OSError as error:
            _log.warning("listen queue not emptied", extra={"fault": str(error)})
            return False
        if accepted:
            self.do_handle(*accepted)
        return bool(accepted)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive, nor is about to."""
        latest_s = time.monotonic() - _FIRST_REQUEST_S
        for sock, since_s in list(self._idle.items()):
            if since_s <= latest_s and not sockets.is_readable(sock):
                del self._idle[sock]
                _end(sock)

    def close_connections(self) -> None:
        """Close every connection that is still open."""
        for sock in list(self._open):
            _end(sock)


def _end(sock: socket.socket) -> None:
    """End a connection; closing it alone would wait for the greenlet that reads from it."""
    with contextlib.suppress(OSError):  # The client may have ended it already.
        sock.shutdown(socket.SHUT_RDWR)


def _check_head(version: str, headers: http.client.HTTPMessage) -> None:
    if version not in _VERSIONS:
        raise _FramingError(f"{version!r} is not served")
    for name, value in headers.items():
        if not _TOKEN.match(name):
            raise _FramingError("a header name has forbidden characters")
        if "\n" in value or "\r" in value or "\x00" in value:
            raise _FramingError(f"header {name} is folded or has control characters")
    if headers.defects:
        raise _FramingError("the head is malformed")
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if len(lengths) > 1 or (lengths and not _DIGITS.match(lengths[0].strip())):
        raise _FramingError("Content-Length is duplicated or no number")
    if codings and (lengths or version == "HTTP/1.0"):
        raise _FramingError("Transfer-Encoding conflicts with the rest of the head")
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        raise _FramingError("the only Transfer-Encoding served is chunked")
    hosts = headers.get_all("Host", [])
    if len(hosts) > 1 or (version == "HTTP/1.1" and not hosts):
        raise _FramingError("one Host header is needed")
