"""HTTP client connections that guard against faulty servers.

They bound the size of heads, chunk sizes and trailers, and yield to other greenlets even if data is
always available.
"""

import collections
import http.client
import io
import socket
from collections.abc import Iterable, Mapping

import gevent
import urllib3
from gevent import monkey
from gevent import socket as gevent_socket
from urllib3 import connection, exceptions

from verbenadrum.daemon import framing, sockets

__all__ = [
    "BodyTooLongError",
    "BoundedConnection",
    "BoundedPool",
    "EarlierAnswers",
    "MAX_LINE_BYTES",
    "make_pool_manager",
    "read_body",
    "use_bounded_connections",
]

# Maximum total size of the lines of a head, or of consecutive chunk sizes and trailers;
# `http.client` allows as much for a single line.
MAX_LINE_BYTES = 65_536
# Memory that a header field takes beside its bytes, as HTTP/2 counts it (RFC 9113, section 6.5.2).
_FIELD_OVERHEAD_BYTES = 32
# Maximum number of interim heads (1xx) before the head of an answer.
_MAX_INTERIM_HEADS = 1_000
# After this many reads from a socket other greenlets run, even if more data is available.
_MAX_READS_WITHOUT_YIELD = 4
_READ_BYTES = 65_536
# A request is tried again within seconds, and a connection carries a few requests a second.
_MAX_REQUEST_IDS = 64
_EMPTY_LINES = (b"\r\n", b"\n")


class BodyTooLongError(exceptions.HTTPError):
    """A response body exceeds the maximum size."""


class _YieldingReader(io.RawIOBase):
    """Raw reader of a socket that yields to other greenlets regularly.

    gevent switches greenlets only when a read has to wait. A server that sends without a pause
    would otherwise block the event loop.

    Parameters
    ----------
    raw : io.RawIOBase
        Raw reader of the socket.
    sock : socket.socket
        The socket.

    Attributes
    ----------
    received_bytes : int
        Number of bytes read so far.
    """

    def __init__(self, *, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._reads_since_yield = 0
        self.received_bytes = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer: memoryview) -> int | None:
        """Read available data into ``buffer``; return the number of bytes, 0 at the end."""
        # Without gevent's sockets, as in the command line, each read blocks its thread alone.
        if self._reads_since_yield >= _MAX_READS_WITHOUT_YIELD and _has_gevent_sockets():
            self._reads_since_yield = 0
            self._yield_to_event_loop()
        self._reads_since_yield += 1
        byte_count = self._raw.readinto(buffer)
        self.received_bytes += byte_count or 0
        return byte_count

    def close(self) -> None:
        """Close this reader's reference to the socket."""
        self._raw.close()
        super().close()

    def _yield_to_event_loop(self) -> None:
        if sockets.is_tls(self._sock):
            # The TLS layer may have buffered data, which waiting for the descriptor does not show.
            gevent.sleep(0)
            return
        gevent_socket.wait_read(
            self._raw.fileno(),
            self._sock.gettimeout(),
            TimeoutError("the read from the server timed out"),
        )


def _has_gevent_sockets() -> bool:
    return monkey.is_module_patched("socket")


class _ChunkChecker:
    """Checks the lines and ends of the chunks of one body while urllib3 reads them."""

    def __init__(self) -> None:
        self._unread_bytes = 0
        self._trailers: list[bytes] | None = None
        self._trailer_bytes = 0

    def check_line(self, line: bytes) -> None:
        """Check the next line, which is a chunk size, a trailer or the last line of the body.

        Raises
        ------
        FramingError
            If the line is none of these.
        http.client.LineTooLong
            If the trailers exceed `MAX_LINE_BYTES`, each with `_FIELD_OVERHEAD_BYTES` added.
        """
        if self._trailers is None:
            self._unread_bytes = framing.read_chunk_size(line)
            if not self._unread_bytes:
                self._trailers = []
        elif line in _EMPTY_LINES:
            framing.read_fields(self._trailers)
        else:
            self._trailer_bytes += len(line) + _FIELD_OVERHEAD_BYTES
            if self._trailer_bytes > MAX_LINE_BYTES:
                raise http.client.LineTooLong("trailers")
            self._trailers.append(line)

    def check_data(self, data: bytes) -> None:
        """Check the next bytes, which are a part of a chunk or the line end behind it.

        Raises
        ------
        FramingError
            If another byte than a line end follows a chunk.
        """
        if self._unread_bytes:
            self._unread_bytes -= len(data)
        elif not b"\r\n".startswith(data):
            raise framing.FramingError("a chunk is longer than its size")


class _BoundedReader(io.BufferedReader):
    """Buffered reader of one response that bounds heads, chunk sizes and trailers.

    Attributes
    ----------
    chunk_checker : _ChunkChecker or None
        Checks what is read while it is the body of an answer in chunks.
    """

    def __init__(self, raw: _YieldingReader) -> None:
        super().__init__(raw)
        self.chunk_checker: _ChunkChecker | None = None
        self._raw_reader = raw
        self._consumed_bytes = 0
        self._line_bytes = 0
        # Whether the lines read so far need another one, until the empty line of a head or trailer.
        self._expects_line = False

    @property
    def has_unread_bytes(self) -> bool:
        """Whether more bytes were received than read; also available after closing."""
        return self._raw_reader.received_bytes > self._consumed_bytes

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line of a head, a chunk size or a trailer.

        Raises
        ------
        http.client.LineTooLong
            If the lines since the start of the response, or since the last read of the body, exceed
            `MAX_LINE_BYTES` in total.
        http.client.IncompleteRead
            If the connection ends inside a line, or before the empty line that ends a head or the
            trailers. `http.client` itself takes such an end for the empty line.
        FramingError
            If the line is not what the chunks of a body require.
        """
        line = super().readline(size)
        cut = not line.endswith(b"\n") and len(line) != size
        if cut and (line or self._expects_line):
            raise http.client.IncompleteRead(line)
        self._expects_line = line not in _EMPTY_LINES
        self._consumed_bytes += len(line)
        self._line_bytes += len(line)
        if self._line_bytes > MAX_LINE_BYTES:
            raise http.client.LineTooLong("head or trailers")
        if self.chunk_checker is not None:
            self.chunk_checker.check_line(line)
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read up to ``size`` bytes of the body.

        Raises
        ------
        http.client.HTTPException
            If ``size`` is None or negative.
        FramingError
            If another byte than a line end follows a chunk of the body.
        """
        if size is None or size < 0:
            raise http.client.HTTPException("the size of a body part is missing or negative")
        self._line_bytes = 0
        data = super().read(size)
        self._consumed_bytes += len(data)
        if self.chunk_checker is not None:
            self.chunk_checker.check_data(data)
        return data


class _BoundedResponse(http.client.HTTPResponse):
    """Response that is read through a `_BoundedReader`.

    Parameters
    ----------
    request_sent : bool
        Whether the whole request was sent.
    earlier : EarlierAnswers or None
        Answers to pass over; None for none.

    Attributes
    ----------
    framing : BodyFraming or None
        Framing of the body; None before the head is read.
    """

    def __init__(
        self,
        sock: socket.socket,
        *args: object,
        request_sent: bool = True,
        earlier: "EarlierAnswers | None" = None,
        **kwargs: object,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = _BoundedReader(_YieldingReader(raw=self.fp.detach(), sock=sock))
        self.framing: framing.BodyFraming | None = None
        self._request_sent = request_sent
        self._earlier = earlier

    def begin(self) -> None:
        """Read the head, after any interim heads, and decide how the body is framed.

        Raises
        ------
        http.client.HTTPException
            If the head is malformed, or does not tell where the body ends.
        """
        if self.headers is not None:
            return
        self._read_head()
        passed_over = False
        while (
            not self.will_close and self._earlier is not None and self._earlier.take(self.headers)
        ):
            passed_over = True
            self._discard_body()
            self._read_head()
        # A server that repeats answers may do so again.
        self.will_close = self.will_close or passed_over

    def _read_head(self) -> None:
        self.fp.chunk_checker = None
        line = self._read_final_status()
        self.code = self.status = line.status
        self.reason = line.reason
        self.version = 10 if line.http_1_0 else 11
        self.headers = self.msg = framing.read_fields(self._read_field_lines())
        self._apply_framing()

    def _read_final_status(self) -> framing.StatusLine:
        """Return the first line of the first head that is not an interim one."""
        for _ in range(_MAX_INTERIM_HEADS + 1):
            line = self._read_status_line()
            if line.status == http.client.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("the server switches protocols unasked")
            if line.status >= http.client.OK:
                return line
            framing.read_fields(self._read_field_lines())
        raise http.client.HTTPException(f"more than {_MAX_INTERIM_HEADS} interim heads")

    def _read_status_line(self) -> framing.StatusLine:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if not line:
            raise http.client.RemoteDisconnected("the server closed the connection unanswered")
        return framing.read_status_line(line)

    def _read_field_lines(self) -> list[bytes]:
        """Return the lines up to the empty one, which is left out.

        Raises
        ------
        http.client.LineTooLong
            If the lines exceed `MAX_LINE_BYTES`, each with `_FIELD_OVERHEAD_BYTES` added.
        """
        lines = []
        size = 0
        while (line := self.fp.readline(MAX_LINE_BYTES + 1)) not in (*_EMPTY_LINES, b""):
            size += len(line) + _FIELD_OVERHEAD_BYTES
            if size > MAX_LINE_BYTES:
                raise http.client.LineTooLong("head")
            lines.append(line)
        return lines

    def _discard_body(self) -> None:
        if self.framing.kind is framing.FramingKind.LENGTH:
            self._discard(self.framing.length)
        elif self.framing.kind is framing.FramingKind.CHUNKED:
            while size := self._read_chunk_size():
                self._discard(size)
                self._discard(len(b"\r\n"))
            self._read_field_lines()

    def _read_chunk_size(self) -> int:
        return framing.read_chunk_size(self.fp.readline(MAX_LINE_BYTES + 1))

    def _discard(self, size: int) -> None:
        while size:
            data = self.fp.read(min(size, _READ_BYTES))
            if not data:
                raise http.client.IncompleteRead(b"", size)
            size -= len(data)

    def _apply_framing(self) -> None:
        found = self.framing = framing.frame_body(
            self._method, self.status, self.headers, http_1_0=self.version == 10
        )
        if found.kind is framing.FramingKind.CLOSE and not self._request_sent:
            # A write that meets a reset takes the error, and the next read finds an orderly end.
            raise framing.FramingError("the connection broke under an answer without a length")
        # What reads the body, and whoever gets the headers, goes by the framing that was found.
        del self.headers["Content-Length"]
        if found.length is not None:
            self.headers["Content-Length"] = str(found.length)
        self.chunked = found.kind is framing.FramingKind.CHUNKED
        self.fp.chunk_checker = _ChunkChecker() if self.chunked else None
        self.length = 0 if found.kind is framing.FramingKind.NONE else found.length
        self.will_close = not found.reusable or self._check_close()


class EarlierAnswers:
    """Answers to earlier requests of a connection, which a server may write once more.

    Parameters
    ----------
    header : str
        Name of the header with the identifier of an answer's request.
    request_ids : iterable of str
        Identifiers of the earlier requests.

    Examples
    --------
    >>> earlier = EarlierAnswers(header="X-Request-Id", request_ids=["q1"])
    >>> [earlier.take({"X-Request-Id": each}) for each in ("q2", "q1", "q1")]
    [False, True, False]
    """

    def __init__(self, *, header: str, request_ids: Iterable[str]) -> None:
        self._header = header
        self._request_ids = set(request_ids)

    def take(self, headers: Mapping[str, str]) -> bool:
        """Return whether an answer with these headers is one of them; each is taken once."""
        request_id = headers.get(self._header, "")
        if request_id not in self._request_ids:
            return False
        self._request_ids.remove(request_id)
        return True


class _BoundedResponses(http.client.HTTPConnection):
    """Mixin of connections whose responses are read through a `_BoundedReader`."""

    _reader: _BoundedReader | None = None
    _response: _BoundedResponse | None = None
    _earlier: EarlierAnswers | None = None
    _send_failed = False

    def connect(self) -> None:
        """Open the connection; urllib3 also does so for a request after the last one has ended."""
        self._send_failed = False
        super().connect()

    def send(self, data: object) -> None:
        """Send a part of a request."""
        try:
            super().send(data)
        except OSError:
            self._send_failed = True
            raise

    def response_class(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> http.client.HTTPResponse:
        """Return a response that reads from ``sock``; urllib3 calls this for each request."""
        earlier, self._earlier = self._earlier, None
        response = _BoundedResponse(
            sock, *args, request_sent=not self._send_failed, earlier=earlier, **kwargs
        )
        self._reader = response.fp
        self._response = response
        return response


class BoundedConnection(_BoundedResponses, connection.HTTPConnection):
    """HTTP connection whose responses are read through a `_BoundedReader`.

    Attributes
    ----------
    request_ids : collections.deque of str
        Identifiers of the last requests that were sent on it.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.request_ids: collections.deque[str] = collections.deque(maxlen=_MAX_REQUEST_IDS)

    @property
    def framing(self) -> framing.BodyFraming:
        """Framing of the last response whose head was read."""
        return self._response.framing

    @property
    def has_unread_bytes(self) -> bool:
        """Whether data follows the last response that was read. It belongs to no request."""
        return self._reader is not None and self._reader.has_unread_bytes

    def pass_over_earlier(self, header: str) -> None:
        """Pass over answers to earlier requests when the next response is read.

        That holds for whole answers on a connection that stays open, each of them once. Whatever
        else comes before the response is taken for it. The connection is not reusable afterwards.

        Parameters
        ----------
        header : str
            Name of the response header with the identifier of the request.
        """
        earlier = [each for each in self.request_ids if each not in ("", self.request_ids[-1])]
        self._earlier = EarlierAnswers(header=header, request_ids=earlier) if earlier else None

    def _encode_request(self, request: str) -> bytes:
        # The target holds one character for each byte that the caller sent.
        return request.encode("latin-1")


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool of `BoundedConnection` objects to one server."""

    ConnectionCls = BoundedConnection


class _BoundedTlsConnection(_BoundedResponses, connection.HTTPSConnection):
    """HTTPS connection whose responses are read through a `_BoundedReader`."""


class _BoundedTlsPool(urllib3.HTTPSConnectionPool):
    """Pool of `_BoundedTlsConnection` objects to one server."""

    ConnectionCls = _BoundedTlsConnection


def make_pool_manager(**options: object) -> urllib3.PoolManager:
    """Return a `urllib3.PoolManager` with the given options that uses bounded connections."""
    manager = urllib3.PoolManager(**options)
    use_bounded_connections(manager)
    return manager


def use_bounded_connections(manager: urllib3.PoolManager) -> None:
    """Make a pool manager that has no pools yet use bounded connections."""
    manager.pool_classes_by_scheme = {"http": BoundedPool, "https": _BoundedTlsPool}


def read_body(response: urllib3.BaseHTTPResponse, *, max_bytes: int) -> bytes:
    """Read and return the complete body of a response, without decoding it.

    Raises
    ------
    BodyTooLongError
        If the body has more than ``max_bytes`` bytes.
    urllib3.exceptions.HTTPError
        If the body breaks off.
    """
    data = bytearray()
    for piece in response.stream(_READ_BYTES, decode_content=False):
        data += piece
        if len(data) > max_bytes:
            raise BodyTooLongError(f"a response body of more than {max_bytes} bytes")
    return bytes(data)
