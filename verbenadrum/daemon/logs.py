"""Structured logs: one JSON line for each decision and event, on standard output."""

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
_MAX_WAITING = 100_000
# A process that ends waits so long for the reader of its last lines.
_END_S = 0.5
# Kinds of which a request in good order leaves one line each.
_ROUTINE = frozenset({ring.DecisionKind.ROUTE, ring.DecisionKind.PLACE, ring.DecisionKind.OUTCOME})
_GOOD_OUTCOME = "ok"
_REFUSED_PLACE = frozenset({"refused", "no-slot"})


def configure(level: str) -> log_writer.LineWriter:
    """Send log records of ``level`` and above to standard output as JSON lines.

    Returns
    -------
    LineWriter
        Holds the lines until it is flushed.
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
    """Writes decisions to the log away from the path of requests, within a budget of lines.

    Decisions wait in memory for a moment and are written in batches, so that no request waits
    for its own log lines. Beyond the budget, decisions of requests in good order are left out
    first; what is left out is counted in the log.

    Parameters
    ----------
    host : str
        Name of this host, for each line.
    lines_per_s : float
        Budget of lines a second.
    writer : LineWriter or None
        Flushed after each batch.
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
        self._lines_a_batch = max(1, round(lines_per_s * _FLUSH_INTERVAL_S))
        self._writer = writer
        self._waiting: collections.deque[ring.Decision] = collections.deque()
        self._left_out = 0

    def add(self, decision: ring.Decision) -> None:
        """Take a decision for the next batch."""
        if len(self._waiting) >= _MAX_WAITING:
            self._waiting.popleft()
            self._left_out += 1
        self._waiting.append(decision)

    def run(self) -> None:
        """Write batches until killed."""
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            self.flush()

    def flush(self, *, last: bool = False) -> None:
        """Write the waiting decisions within the budget; the ``last`` batch waits for a reader."""
        if self._logger.isEnabledFor(logging.INFO):
            for decision in self._choose():
                fields = msgspec.to_builtins(decision)
                fields["host"] = self._host
                self._logger.info(decision.kind.value, extra={"decision": fields})
        self._waiting.clear()
        self._report_left_out()
        if self._writer is not None:
            self._writer.flush(wait_s=_END_S if last else 0.0)

    def _choose(self) -> list[ring.Decision]:
        """Return the decisions to write, in their order; faults and refusals go first."""
        excess = len(self._waiting) - self._lines_a_batch
        if excess <= 0:
            return list(self._waiting)
        chosen = []
        for decision in self._waiting:
            if excess > 0 and _is_routine(decision):
                excess -= 1
                self._left_out += 1
            else:
                chosen.append(decision)
        self._left_out += max(0, len(chosen) - self._lines_a_batch)
        return chosen[: self._lines_a_batch]

    def _report_left_out(self) -> None:
        if self._left_out:
            self._logger.warning("decisions left out", extra={"count": self._left_out})
            self._left_out = 0
        if self._writer is not None and self._writer.left_out:
            lines, self._writer.left_out = self._writer.left_out, 0
            self._logger.warning("lines left out", extra={"count": lines})


def _is_routine(decision: ring.Decision) -> bool:
    if decision.kind not in _ROUTINE or decision.choice in _REFUSED_PLACE:
        return False
    outcome = decision.kind is ring.DecisionKind.OUTCOME
    return not outcome or decision.reason == _GOOD_OUTCOME
