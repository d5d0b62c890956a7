"""Structured logs: each decision and event is a JSON line on standard output."""

import collections
import logging
import sys

import gevent
import msgspec
from pythonjsonlogger import msgspec as json_formatter

from verbenadrum.daemon import log_writer
from verbenadrum.decisions import ring

__all__ = ["DecisionLog", "configure"]

_FLUSH_INTERVAL_S = 0.25
_MAX_QUEUED_DECISIONS = 100_000
# Longest wait at exit for the reader of standard output to accept the last lines.
_FINAL_FLUSH_S = 0.5
# Kinds of decisions of which a successful request causes one each.
_ROUTINE_KINDS = frozenset(
    {ring.DecisionKind.ROUTE, ring.DecisionKind.PLACE, ring.DecisionKind.OUTCOME}
)
_SUCCESS_REASON = "ok"
_REFUSED_PLACE_CHOICES = frozenset({"refused", "no-slot"})


def configure(level: str) -> log_writer.LineWriter:
    """Configure the root logger to write records of ``level`` and above as JSON lines.

    Returns
    -------
    LineWriter
        Queue of the lines, which reach standard output when it is flushed.
    """
    writer = log_writer.LineWriter(fd=sys.stdout.fileno())
    handler = log_writer.WriterHandler(writer=writer)
    handler.setFormatter(
        json_formatter.MsgspecFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return writer


class DecisionLog:
    """Writes decisions to the log in batches, with a limited rate of lines.

    Decisions are queued in memory, so that no request waits for its log lines. If a batch exceeds
    the limit, routine decisions of successful requests are dropped first; the number of dropped
    decisions is logged.

    Parameters
    ----------
    host : str
        This host's identifier, added to each line.
    lines_per_s : float
        Maximum number of decisions written per second, averaged over a batch.
    writer : LineWriter or None
        Queue of log lines, flushed after each batch.
    """

    def __init__(
        self,
        *,
        host: str,
        lines_per_s: float = 400.0,
        writer: log_writer.LineWriter | None = None,
    ) -> None:
        self._logger = logging.getLogger("verbenadrum.decisions")
        self._host = host
        self._max_lines_per_batch = max(1, round(lines_per_s * _FLUSH_INTERVAL_S))
        self._writer = writer
        self._queue: collections.deque[ring.Decision] = collections.deque()
        self._dropped = 0

    def add(self, decision: ring.Decision) -> None:
        """Queue a decision for the next batch; drop the oldest one if the queue is full."""
        if len(self._queue) >= _MAX_QUEUED_DECISIONS:
            self._queue.popleft()
            self._dropped += 1
        self._queue.append(decision)

    def run(self) -> None:
        """Write batches periodically until the greenlet is killed."""
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            self.flush()

    def flush(self, *, last: bool = False) -> None:
        """Write the queued decisions, at most as many as the limit allows, and flush the writer.

        At log levels above INFO the queued decisions are discarded and not counted as dropped.

        Parameters
        ----------
        last : bool
            Whether to wait, for a bounded time, until the reader of standard output accepts the
            lines, because the process is about to exit.
        """
        if self._logger.isEnabledFor(logging.INFO):
            for decision in self._select():
                fields = msgspec.to_builtins(decision)
                fields["host"] = self._host
                self._logger.info(decision.kind.value, extra={"decision": fields})
        self._queue.clear()
        self._log_dropped()
        if self._writer is not None:
            self._writer.flush(wait_s=_FINAL_FLUSH_S if last else 0.0)

    def _select(self) -> list[ring.Decision]:
        """Return the decisions to write, in order; drop routine ones first, then the newest."""
        excess = len(self._queue) - self._max_lines_per_batch
        if excess <= 0:
            return list(self._queue)
        selected = []
        for decision in self._queue:
            if excess > 0 and _is_routine(decision):
                excess -= 1
                self._dropped += 1
            else:
                selected.append(decision)
        self._dropped += max(0, len(selected) - self._max_lines_per_batch)
        return selected[: self._max_lines_per_batch]

    def _log_dropped(self) -> None:
        if self._dropped:
            self._logger.warning("decisions left out", extra={"count": self._dropped})
            self._dropped = 0
        if self._writer is not None and self._writer.dropped_lines:
            lines, self._writer.dropped_lines = self._writer.dropped_lines, 0
            self._logger.warning("lines left out", extra={"count": lines})


def _is_routine(decision: ring.Decision) -> bool:
    if decision.kind not in _ROUTINE_KINDS or decision.choice in _REFUSED_PLACE_CHOICES:
        return False
    is_outcome = decision.kind is ring.DecisionKind.OUTCOME
    return not is_outcome or decision.reason == _SUCCESS_REASON
