"""Connections to servers that may send anything: answers are read fairly and within bounds."""

import http.client
import io
import socket

import gevent
import urllib3
from gevent import socket as gevent_socket
from urllib3 import connection, exceptions

from verbenadrum.daemon import sockets

__all__ = [
    "BodyTooLongError",
    "BoundedConnection",
    "BoundedPool",
    "MAX_LINES_BYTES",
    "make_manager",
    "read_body",
]

# As much as `http.client` allows for a single line.
MAX_LINES_BYTES = 65_536
# Reads from a socket after which other greenlets run, though more bytes wait.
_READS_PER_TURN = 4
_CHUNK_BYTES = 65_536


class BodyTooLongError(exceptions.HTTPError):
    """A body of more bytes than are wanted."""


class _FairReads(io.RawIOBase):
    """Reads from a socket that let other greenlets run although bytes always wait.

    Parameters
    ----------
    raw : io.RawIOBase
        Reads from the socket.
    sock : socket.socket
        The socket.

    Attributes
    ----------
    received : int
        Bytes read so far.
    """

    def __init__(self, *, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._reads = 0
        self.received = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._raw.fileno()

    def readinto(self, buffer: memoryview) -> int | None:
        """Read what there is, at least a byte unless the answer's connection has ended."""
        if self._reads >= _READS_PER_TURN:
            self._reads = 0
            self._let_others_run()
        self._reads += 1
        count = self._raw.readinto(buffer)
        self.received += count or 0
        return count

    def close(self) -> None:
        """Let go of the socket."""
        self._raw.close()
        super().close()

    def _let_others_run(self) -> None:
        if sockets.is_tls(self._sock):
            # Bytes may wait in the TLS layer, where the operating system does not see them.
            gevent.sleep(0)
            return
        gevent_socket.wait_read(
            self._raw.fileno(), self._sock.gettimeout(), TimeoutError("timed out")
        )


class _BoundedReader(io.BufferedReader):
    """Buffered reads of one answer whose heads, chunk sizes and trailers are bounded."""

    def __init__(self, raw: _FairReads) -> None:
        super().__init__(raw)
        self._reads = raw
        self._taken = 0
        self._lines_bytes = 0

    @property
    def has_surplus(self) -> bool:
        """Whether more bytes came than were taken; it can be asked after closing, too."""
        return self._reads.received > self._taken

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line, where not too many have come since the last byte of the body.

        Raises
        ------
        http.client.LineTooLong
            If the lines are longer than `MAX_LINES_BYTES` together.
        """
        line = super().readline(size)
        self._taken += len(line)
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise http.client.LineTooLong("head or trailers")
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read a part of the body.

        Raises
        ------
        http.client.HTTPException
            If the part has no size, as after a negative chunk size.
        """
        if size is None or size < 0:
            raise http.client.HTTPException("a part of the body without a size")
        self._lines_bytes = 0
        data = super().read(size)
        self._taken += len(data)
        return data


class _BoundedResponse(http.client.HTTPResponse):
    """Answer that is read through a `_BoundedReader`."""

    def __init__(self, sock: socket.socket, *args: object, **kwargs: object) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = _BoundedReader(_FairReads(raw=self.fp.detach(), sock=sock))


class BoundedConnection(connection.HTTPConnection):
    """Connection whose answers are read fairly and within bounds."""

    _reader: _BoundedReader | None = None

    @property
    def has_surplus(self) -> bool:
        """Whether bytes came after the last answer, to which no request belongs."""
        return self._reader is not None and self._reader.has_surplus

    def response_class(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> http.client.HTTPResponse:
        """Make an answer."""
        response = _BoundedResponse(sock, *args, **kwargs)
        self._reader = response.fp
        return response


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool of such connections to one server."""

    ConnectionCls = BoundedConnection


class _BoundedTlsConnection(connection.HTTPSConnection):
    """The same over TLS."""

    response_class = _BoundedResponse


class _BoundedTlsPool(urllib3.HTTPSConnectionPool):
    """Pool of such connections to one server."""

    ConnectionCls = _BoundedTlsConnection


def make_manager(**options: object) -> urllib3.PoolManager:
    """Return a manager of bounded pools, made with the options of `urllib3.PoolManager`."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": BoundedPool, "https": _BoundedTlsPool}
    return manager


def read_body(response: urllib3.BaseHTTPResponse, *, most_bytes: int) -> bytes:
    """Return a body that has not been read yet.

    Raises
    ------
    BodyTooLongError
        If it has more than ``most_bytes``.
    urllib3.exceptions.HTTPError
        If it ends early.
    """
    data = bytearray()
    for piece in response.stream(_CHUNK_BYTES, decode_content=False):
        data += piece
        if len(data) > most_bytes:
            raise BodyTooLongError(f"a body of more than {most_bytes} bytes")
    return bytes(data)
