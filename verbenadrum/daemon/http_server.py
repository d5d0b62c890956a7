"""HTTP server of the callers' and operators' ports: gevent's WSGI server with strict framing."""

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
    "AbortResponse",
    "CallerBodyError",
    "HttpServer",
    "MalformedBodyError",
    "SOCKET_KEY",
    "TARGET_KEY",
]

# Keys that the handler adds to the WSGI environment: the client's socket and the raw target.
SOCKET_KEY = "verbenadrum.socket"
TARGET_KEY = "verbenadrum.target"

_TOKEN_PATTERN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
_CONTENT_LENGTH_PATTERN = re.compile(r"^[0-9]{1,18}$")
_SERVED_VERSIONS = ("HTTP/1.0", "HTTP/1.1")
_ERROR_RESPONSE = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_MS_PER_S = 1000.0
# Timeout of each read of a request body, and of each write of a response. The configured head
# timeout applies to heads only.
_BODY_TIMEOUT_S = 30.0
# Maximum time to read and discard the rest of a body, as other servers do before they close a
# connection.
_DISCARD_TIMEOUT_S = 2.0
_DISCARD_READ_BYTES = 16_384
# A client sends its first request within a round trip after connecting. At a shutdown, a connection
# is therefore closed as idle only after it has waited this long for a request.
_FIRST_REQUEST_GRACE_S = 0.25

_log = logging.getLogger(__name__)


class AbortResponse(errors.VerbenadrumError):
    """Raised by an application that cannot complete its response.

    The connection is closed without ending the response, so that the client sees it truncated.

    Attributes
    ----------
    reason : str
        Short stable reason code, for the decision log.
    """

    code = "answer-aborted"

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message)
        self.reason = reason


class CallerBodyError(OSError):
    """A caller's request body broke off or was malformed while it was being streamed."""


# gevent raises this for an unreadable chunk, responds with 400 and closes the connection.
MalformedBodyError = pywsgi._InvalidClientInput  # noqa: SLF001


class _FramingError(ValueError):
    """A request whose beginning or end is ambiguous."""


class _HeadTooLongError(http.client.HTTPException):
    """A request head exceeds the configured size."""


class _RequestLineTooLongError(ValueError):
    """A request line exceeds the configured size of a head."""


class _HeadTimeoutError(ValueError):
    """A request head did not arrive within the configured time."""


class _BodyTooLongError(ValueError):
    """A request body exceeds the configured size."""


class _RequestBody(pywsgi.Input):
    """Request body of limited size, which treats an empty chunk size like other malformed ones.

    The base class raises a plain ValueError for an empty chunk size.

    Parameters
    ----------
    base_arguments : object
        Arguments of `pywsgi.Input`.
    max_bytes : int
        Maximum size. It matters for chunked bodies, whose length is not known in advance.

    Attributes
    ----------
    fully_read : bool
        Whether the body was read to its end; otherwise the connection cannot be reused.
    interrupted : bool
        Whether the greenlet was killed during a read. The position in the body is unknown then.
    """

    __slots__ = ("_remaining_bytes", "fully_read", "interrupted")

    def __init__(self, *base_arguments: object, max_bytes: int) -> None:
        super().__init__(*base_arguments)
        self._remaining_bytes = max_bytes
        self.fully_read = False
        self.interrupted = False

    def _discard(self) -> None:
        """Read the rest of the body for a limited time.

        Closing a connection with unread bytes resets it, and the client may then lose the response.
        """
        if self.chunked_input or self.position < (self.content_length or 0):
            with gevent.Timeout(
                _DISCARD_TIMEOUT_S,
                TimeoutError("the rest of the request body did not arrive in time"),
            ):
                # The position in the body is unknown, so all data is discarded until the client
                # closes the connection or the time is over.
                if self.interrupted:
                    while self.rfile.read1(_DISCARD_READ_BYTES):
                        pass
                super()._discard()
        self.fully_read = not (self._chunked_input_error or self.interrupted)

    def read(self, length: int | None = None) -> bytes:
        """Return up to ``length`` bytes of the body.

        Raises
        ------
        MalformedBodyError
            If a chunk is malformed, or the body exceeds its maximum size.
        """
        try:
            data = super().read(length)
        except ValueError as error:
            self._chunked_input_error = True
            raise MalformedBodyError(f"the chunk size is invalid: {error}") from error
        except gevent.GreenletExit:
            self.interrupted = True
            raise
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._chunked_input_error = True
            raise MalformedBodyError("the request body exceeds the configured maximum size")
        return data


class _HeadReader:
    """Reads the lines of a request head, which must end with CR LF, up to a maximum size.

    Another HTTP parser may treat a bare LF as part of a header value, and so see other requests.
    """

    def __init__(self, source: object, max_bytes: int) -> None:
        self._source = source
        self._remaining_bytes = max_bytes

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, at most ``limit`` bytes of it."""
        line = self._source.readline(limit)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise _HeadTooLongError("the request head exceeds the configured maximum size")
        if line.endswith(b"\n") and not line.endswith(b"\r\n"):
            raise _FramingError("a header line does not end with CR LF")
        return line


class _Handler(pywsgi.WSGIHandler):
    """Reads and serves the requests of one connection."""

    _head_buffered = False

    def MessageClass(self, *arguments: object) -> http.client.HTTPMessage:  # noqa: N802
        """Parse the head, and reject requests with ambiguous framing.

        This runs before the base class drops a Content-Length next to a Transfer-Encoding.
        """
        lines, *rest = arguments
        limits = self.server.limits()
        max_bytes = limits.max_head_bytes - len(self.requestline)
        headers = super().MessageClass(_HeadReader(lines, max_bytes), *rest)
        _check_head(self.request_version, headers)
        if int(headers.get("Content-Length", 0)) > limits.max_body_bytes:
            raise _BodyTooLongError("Content-Length exceeds the configured maximum size")
        return headers

    def read_requestline(self) -> str:
        """Return the next request line, or an empty string if the connection is to be closed."""
        self.server.mark_idle(self.socket)
        received = self._wait_for_request()
        if not received or not self.server.mark_busy(self.socket):
            return ""
        self.socket.settimeout(_BODY_TIMEOUT_S)
        # A timer would cost more than reading a head that is completely buffered.
        self._head_buffered = b"\r\n\r\n" in self.rfile.peek(1)
        max_bytes = self.server.limits().max_head_bytes
        read = self._read_within_head_timeout(lambda: self.rfile.readline(max_bytes + 1))
        line = read.decode("latin-1")
        if len(line) > max_bytes:
            raise _RequestLineTooLongError("the request line exceeds the configured size of a head")
        if line and not line.endswith("\r\n"):
            raise _FramingError("the request line does not end with CR LF")
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head within the configured time."""
        read = super().read_request
        return self._read_within_head_timeout(lambda: read(raw_requestline))

    def handle_one_request(self) -> object:
        """Serve a request; respond with an error status if its head cannot be read.

        Unlike the base class, which refuses request lines of more than 8,191 bytes, it leaves their
        limit to `read_requestline`.
        """
        if self.rfile.closed:
            return None
        try:
            self.requestline = self.read_requestline()
        except OSError:
            return None
        except ValueError as error:
            return self._handle_client_error(error)
        if not self.requestline:
            return None
        self.response_length = 0
        try:
            self.read_request(self.requestline)
        except Exception as error:  # noqa: BLE001
            return self._handle_client_error(error)
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        return None if self.close_connection or self.rfile.closed else True

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; False if the connection is to be closed.

        That is if the client has closed it or the idle timeout has passed. If the timeout is
        raised during the wait, the new value applies; otherwise a caller that relies on the new
        value could find its connection closed.
        """
        waited_s = 0.0
        # A socket timeout would make the buffered reader unusable.
        self.socket.settimeout(None)
        while True:
            limit_s = self.server.limits().idle_timeout_ms / _MS_PER_S
            if limit_s <= waited_s:
                return False
            with gevent.Timeout(limit_s - waited_s, False):
                return self._wait_for_first_byte()
            if sockets.is_readable(self.socket):
                # With TLS these bytes may be part of a record. The rest of it must arrive within
                # the head timeout.
                with gevent.Timeout(self.server.limits().head_timeout_ms / _MS_PER_S, False):
                    return self._wait_for_first_byte()
                return False
            waited_s = limit_s

    def _wait_for_first_byte(self) -> bool:
        try:
            return bool(self.rfile.peek(1))
        except ValueError:
            # Raised by a TLS socket that is read after this server has shut it down.
            return False

    def _read_within_head_timeout(self, read: Callable[[], object]) -> object:
        if self._head_buffered:
            return read()
        limit_s = self.server.limits().head_timeout_ms / _MS_PER_S
        with gevent.Timeout(limit_s, _HeadTimeoutError("the request head did not arrive in time")):
            return read()

    def get_environ(self) -> dict:
        """Return the WSGI environment with a bounded body, the raw target and the socket."""
        environ = super().get_environ()
        # An offer to change the protocol is ignored; the base class would leave the body to the
        # application then.
        base_input = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        self.wsgi_input = environ["wsgi.input"] = _RequestBody(
            base_input.rfile,
            base_input.content_length,
            base_input.socket,
            base_input.chunked_input,
            max_bytes=self.server.limits().max_body_bytes,
        )
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        """Serve one request; it is in flight until the kernel has accepted the whole response."""
        self.server.in_flight += 1
        try:
            super().handle_one_response()
            if not self.wsgi_input.fully_read:
                self.close_connection = True
        finally:
            self.server.in_flight -= 1
            self.server.close_delimited.discard(self.socket)

    def finalize_headers(self) -> None:
        """Add ``Connection: close`` if the connection cannot serve another request."""
        closes = self.server.stopping or self.wsgi_input.interrupted
        if closes and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()
        if not self.response_use_chunked and not any(
            name.lower() == b"content-length" for name, _ in self.response_headers
        ):
            self.server.close_delimited.add(self.socket)
            self._close_after_body()

    def _close_after_body(self) -> None:
        """Close the connection after a body without a length, also for HTTP/1.0 with keep-alive."""
        bodiless = self.command == "HEAD" or self.code in (204, 304)
        if not bodiless and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def _write_with_headers(self, data: bytes) -> None:
        # Head and first data are sent in one write, since two writes would cost a second packet.
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
        """Close the connection after `AbortResponse`; leave other errors to the base class.

        The end of a connection would complete a response without a length, so it is reset instead.
        """
        if self.socket in self.server.close_delimited:
            sockets.reset_on_close(self.socket)
        if isinstance(error, AbortResponse):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _log_error(self, kind: type, error: BaseException, trace: object) -> None:
        if not issubclass(kind, gevent.GreenletExit):
            _log.error("request failed", exc_info=(kind, error, trace))

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        status = "400 Bad Request"
        for kind, answer in _STATUS_BY_ERROR:
            if isinstance(ex, kind):
                status = answer
        _log.info("request refused", extra={"status": status, "fault": str(ex)})
        return status.split()[0], _ERROR_RESPONSE % status.encode()

    def log_request(self) -> None:
        """Write no access log: decisions are logged instead, and paths may contain secrets."""


_STATUS_BY_ERROR = (
    (http.client.HTTPException, "431 Request Header Fields Too Large"),
    (_BodyTooLongError, "413 Content Too Large"),
    (_RequestLineTooLongError, "414 URI Too Long"),
    (_HeadTimeoutError, "408 Request Timeout"),
    (TimeoutError, "408 Request Timeout"),
)


class HttpServer(pywsgi.WSGIServer):
    """WSGI server that rejects ambiguous framing and can shut down without cutting off requests.

    Parameters
    ----------
    listener : socket
        Listening socket.
    application : callable
        WSGI application.
    tls : ssl.SSLContext or None
        TLS context; None for plain HTTP.
    limits : callable
        Returns the `types.CallerLimits` in force.

    Attributes
    ----------
    stopping : bool
        Whether every response carries ``Connection: close``.
    in_flight : int
        Number of requests whose response has not been written completely.
    close_delimited : set of socket
        Connections on which a response is being written whose end is the end of the connection.
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
        self.close_delimited: set[socket.socket] = set()
        self.limits = limits
        # From accept to close. The greenlet that serves a connection starts one event loop
        # iteration after the accept.
        self._accepted_sockets: set[socket.socket] = set()
        self._served_sockets: set[socket.socket] = set()
        # Start of the wait of each connection that waits for a request, in monotonic seconds.
        self._idle_since_s: dict[socket.socket, float] = {}

    @property
    def connections(self) -> int:
        """Number of open connections, including those that are not served yet."""
        return len(self._accepted_sockets)

    def mark_idle(self, sock: socket.socket) -> None:
        """Record that a connection waits for its next request."""
        self._idle_since_s[sock] = time.monotonic()

    def mark_busy(self, sock: socket.socket) -> bool:
        """Record the first byte of a request; False if the connection has been shut down already.

        Bytes that arrived before the shutdown can still be read, but no response can be sent.
        """
        return self._idle_since_s.pop(sock, None) is not None

    def do_handle(self, sock: socket.socket, address: tuple) -> None:
        """Start a greenlet that serves an accepted connection."""
        self._accepted_sockets.add(sock)
        super().do_handle(sock, address)

    def do_close(self, sock: socket.socket, *rest: object) -> None:
        """Close a connection after it was served."""
        self._accepted_sockets.discard(sock)
        super().do_close(sock, *rest)

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: tuple) -> None:
        """Do the TLS handshake within the head timeout, and serve the connection."""
        limit_s = self.limits().head_timeout_ms / _MS_PER_S
        try:
            with gevent.Timeout(
                limit_s, TimeoutError("the TLS handshake was not completed in time")
            ):
                encrypted = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError as error:
            _log.info("TLS handshake failed", extra={"fault": str(error)})
            return
        with contextlib.closing(encrypted):
            self.handle(encrypted, address)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection until it is closed."""
        sockets.disable_nagle(sock)
        self._served_sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._served_sockets.discard(sock)
            self._idle_since_s.pop(sock, None)

    def announce_close(self) -> None:
        """Add ``Connection: close`` to every response from now on, and go on serving."""
        self.stopping = True

    def drain(self) -> None:
        """Close the listener, and close each open connection after its current request.

        Connections in the listen queue are accepted first, since to their clients they are open.
        """
        self.stopping = True
        self.stop_accepting()
        while self._accept_next():
            pass
        self.close()

    def _accept_next(self) -> bool:
        """Accept a connection from the listen queue; False if it is empty or accepting fails."""
        try:
            accepted = self.do_read()
        except ConnectionAbortedError:
            # Only this client has disconnected; more may be waiting.
            return True
        except OSError as error:
            _log.warning("listen queue not emptied", extra={"fault": str(error)})
            return False
        if accepted:
            self.do_handle(*accepted)
        return bool(accepted)

    def close_idle_connections(self) -> None:
        """Close the connections that wait for a request and have no data to read.

        A connection stays open until it has waited for `_FIRST_REQUEST_GRACE_S`.
        """
        max_idle_since_s = time.monotonic() - _FIRST_REQUEST_GRACE_S
        for sock, idle_since_s in list(self._idle_since_s.items()):
            if idle_since_s <= max_idle_since_s and not sockets.is_readable(sock):
                del self._idle_since_s[sock]
                _shut_down(sock)

    def close_connections(self) -> None:
        """Shut down every connection that is being served, at once.

        One with an unfinished response that has no length is reset, so that the response does not
        look complete.
        """
        for sock in list(self._served_sockets):
            if sock in self.close_delimited:
                sockets.reset(sock)
            else:
                _shut_down(sock)


def _shut_down(sock: socket.socket) -> None:
    """Shut a connection down; closing alone takes effect only after the greenlet's pending read."""
    with contextlib.suppress(OSError):  # The client may have closed it first.
        sock.shutdown(socket.SHUT_RDWR)


def _check_head(version: str, headers: http.client.HTTPMessage) -> None:
    if version not in _SERVED_VERSIONS:
        raise _FramingError(f"{version!r} is not a supported protocol version")
    for name, value in headers.items():
        if not _TOKEN_PATTERN.match(name):
            raise _FramingError("a header name contains invalid characters")
        if "\n" in value or "\r" in value or "\x00" in value:
            raise _FramingError(f"header {name} is folded or contains control characters")
    if headers.defects:
        raise _FramingError("the request head is malformed")
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if len(lengths) > 1 or (lengths and not _CONTENT_LENGTH_PATTERN.match(lengths[0].strip())):
        raise _FramingError("Content-Length is repeated or not a number")
    if codings and (lengths or version == "HTTP/1.0"):
        raise _FramingError("Transfer-Encoding conflicts with Content-Length or HTTP/1.0")
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        raise _FramingError("Transfer-Encoding is not chunked")
    hosts = headers.get_all("Host", [])
    if len(hosts) > 1 or (version == "HTTP/1.1" and not hosts):
        raise _FramingError("the Host header is missing or repeated")
