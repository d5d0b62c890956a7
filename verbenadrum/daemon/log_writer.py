"""Writes log lines to a pipe or file without blocking on a slow reader."""

import collections
import contextlib
import logging
import os
import time

from gevent import monkey

__all__ = ["LineWriter", "WriterHandler"]

# Size of a write that does not block once poll reports a pipe as writable: PIPE_BUF of Linux.
_WRITE_BYTES = 4_096
_MAX_QUEUED_BYTES = 1_000_000
_POLL_TIMEOUT_MS = 20


class LineWriter:
    """Bounded queue of lines that are written to a file descriptor when it is writable.

    A slow reader delays nothing: lines that do not fit into the queue are dropped and counted.
    `logs.DecisionLog` adds a line with the count after its next batch; that line is dropped too if
    the queue is still full.

    Parameters
    ----------
    fd : int
        File descriptor to write to; its blocking mode is not changed.
    max_bytes : int
        Maximum size of the queue.

    Attributes
    ----------
    dropped_lines : int
        Number of dropped lines; reset by `logs.DecisionLog` when it logs the number.
    """

    def __init__(self, *, fd: int, max_bytes: int = _MAX_QUEUED_BYTES) -> None:
        self._fd = fd
        self._max_bytes = max_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        # The poll patched by gevent would let other greenlets run in the middle of a flush.
        self._poll = monkey.get_original("select", "poll")()
        self._poll.register(fd, monkey.get_original("select", "POLLOUT"))
        self.dropped_lines = 0

    @property
    def queued_bytes(self) -> int:
        """Bytes that have not been written yet."""
        return self._queued_bytes

    def add(self, line: str) -> None:
        """Queue a line, given without its line feed, or drop it if the queue is full."""
        data = line.encode(errors="replace") + b"\n"
        if self._queued_bytes + len(data) > self._max_bytes:
            self.dropped_lines += 1
            return
        self._lines.append(data)
        self._queued_bytes += len(data)

    def flush(self, *, wait_s: float = 0.0) -> bool:
        """Write as many queued lines as possible.

        Parameters
        ----------
        wait_s : float
            Maximum total time in seconds to wait for the descriptor to become writable.

        Returns
        -------
        bool
            Whether the queue is empty; False also if the reader has closed the pipe, which
            discards the queue.
        """
        deadline_s = time.monotonic() + wait_s
        while self._lines:
            if self._poll.poll(0):
                if not self._write_chunk():
                    return False
            elif time.monotonic() >= deadline_s:
                return False
            else:
                self._poll.poll(_POLL_TIMEOUT_MS)
        return True

    def _write_chunk(self) -> bool:
        """Write at most `_WRITE_BYTES`; return False if the write failed."""
        chunk = bytearray()
        while self._lines and len(chunk) < _WRITE_BYTES:
            chunk += self._lines.popleft()
        rest = bytes(chunk[_WRITE_BYTES:])
        try:
            written = os.write(self._fd, chunk[:_WRITE_BYTES])
        except OSError:
            # The reader has closed the pipe, and no other place is left to report it.
            self._lines.clear()
            self._queued_bytes = 0
            return False
        rest = bytes(chunk[written:_WRITE_BYTES]) + rest
        self._queued_bytes -= written
        if rest:
            self._lines.appendleft(rest)
        return True


class WriterHandler(logging.Handler):
    """Logging handler that formats records and adds them to a `LineWriter`."""

    def __init__(self, *, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a formatted record for the next flush."""
        with contextlib.suppress(RecursionError):
            self._writer.add(self.format(record))
