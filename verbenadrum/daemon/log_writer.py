"""Writes log lines to a pipe or file without ever waiting for whoever reads it."""

import collections
import contextlib
import logging
import os
import time

from gevent import monkey

__all__ = ["LineWriter", "WriterHandler"]

# Poll reports a pipe as writable only if this many bytes fit (PIPE_BUF of Linux).
_PIECE_BYTES = 4_096
_MAX_WAITING_BYTES = 1_000_000
_END_POLL_MS = 20


class LineWriter:
    """Lines that wait to be written to a file descriptor, bounded in bytes.

    A reader that does not read costs lines and nothing else: what does not fit is left out and
    counted, and the count is written once there is room.

    Parameters
    ----------
    fd : int
        File descriptor to write to; its mode is left alone.
    most_bytes : int
        Bytes that may wait.
    """

    def __init__(self, *, fd: int, most_bytes: int = _MAX_WAITING_BYTES) -> None:
        self._fd = fd
        self._most_bytes = most_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        # The cooperative poll would let other greenlets run in the middle of a flush.
        self._poll = monkey.get_original("select", "poll")()
        self._poll.register(fd, monkey.get_original("select", "POLLOUT"))
        self.left_out = 0

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._waiting_bytes

    def add(self, line: str) -> None:
        """Take a line, without its line feed, for the next flush."""
        data = line.encode(errors="replace") + b"\n"
        if self._waiting_bytes + len(data) > self._most_bytes:
            self.left_out += 1
            return
        self._lines.append(data)
        self._waiting_bytes += len(data)

    def flush(self, *, wait_s: float = 0.0) -> bool:
        """Write what the reader has room for, and return whether nothing waits any more.

        Parameters
        ----------
        wait_s : float
            Longest time to wait for a reader, in seconds; for the end of a process.
        """
        end_s = time.monotonic() + wait_s
        while self._lines:
            if self._poll.poll(0):
                if not self._write_piece():
                    return False
            elif time.monotonic() >= end_s:
                return False
            else:
                self._poll.poll(_END_POLL_MS)
        return True

    def _write_piece(self) -> bool:
        """Write up to one piece; False if the other end is closed."""
        piece = bytearray()
        while self._lines and len(piece) < _PIECE_BYTES:
            piece += self._lines.popleft()
        rest = bytes(piece[_PIECE_BYTES:])
        try:
            written = os.write(self._fd, piece[:_PIECE_BYTES])
        except OSError:
            # Nobody will read any more, and there is nowhere to say so.
            self._lines.clear()
            self._waiting_bytes = 0
            return False
        rest = bytes(piece[written:_PIECE_BYTES]) + rest
        self._waiting_bytes -= written
        if rest:
            self._lines.appendleft(rest)
        return True


class WriterHandler(logging.Handler):
    """Passes formatted log records to a `LineWriter`."""

    def __init__(self, *, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record for the next flush; what is left out is counted by the writer."""
        with contextlib.suppress(RecursionError):
            self._writer.add(self.format(record))
