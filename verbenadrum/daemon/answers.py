"""Connections to servers that may send anything: answers are read within bounds."""

import http.client
import io
import socket

from urllib3 import connection

__all__ = ["BoundedConnection", "MAX_LINES_BYTES"]

# As much as `http.client` allows for a single line.
MAX_LINES_BYTES = 65_536


class _BoundedReader(io.BufferedReader):
    """Buffered reads of one answer whose heads, chunk sizes and trailers are bounded."""

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._lines_bytes = 0

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line, where not too many have come since the last byte of the body.

        Raises
        ------
        http.client.LineTooLong
            If the lines are longer than `MAX_LINES_BYTES` together.
        """
        line = super().readline(size)
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
        return super().read(size)


class _BoundedResponse(http.client.HTTPResponse):
    """Answer that is read through a `_BoundedReader`."""

    def __init__(self, sock: socket.socket, *args: object, **kwargs: object) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = _BoundedReader(self.fp.detach())


class BoundedConnection(connection.HTTPConnection):
    """Connection whose answers are read within bounds."""

    response_class = _BoundedResponse
