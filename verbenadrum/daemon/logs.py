"""Structured logs: one JSON line for each decision and event."""

import collections
import logging

import gevent
import msgspec
from pythonjsonlogger import msgspec as json_formatter

from verbenadrum.decisions import ring

__all__ = ["DecisionLog", "configure"]

_FLUSH_INTERVAL_S = 0.25
_MAX_WAITING = 100_000


def configure(level: str) -> None:
    """Send log records of ``level`` and above to standard error as JSON lines."""
    handler = logging.StreamHandler()
    handler.setFormatter(
        json_formatter.MsgspecFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class DecisionLog:
    """Writes decisions to the log away from the path of requests.

    Decisions wait in memory for a moment and are written in batches, so that no request waits
    for its own log lines. When too many wait, the oldest are dropped and counted.
    """

    def __init__(self, *, host: str) -> None:
        self._logger = logging.getLogger("verbenadrum.decisions")
        self._host = host
        self._waiting: collections.deque[ring.Decision] = collections.deque()
        self._dropped = 0

    def add(self, decision: ring.Decision) -> None:
        """Take a decision for the next batch."""
        if len(self._waiting) >= _MAX_WAITING:
            self._waiting.popleft()
            self._dropped += 1
        self._waiting.append(decision)

    def run(self) -> None:
        """Write batches until killed."""
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write every waiting decision now."""
        enabled = self._logger.isEnabledFor(logging.INFO)
        while self._waiting:
            decision = self._waiting.popleft()
            if enabled:
                fields = msgspec.to_builtins(decision)
                fields["host"] = self._host
                self._logger.info(decision.kind.value, extra={"decision": fields})
        if self._dropped:
            self._logger.warning("decisions dropped", extra={"count": self._dropped})
            self._dropped = 0
