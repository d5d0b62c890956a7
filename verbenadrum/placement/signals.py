"""What backend servers say about themselves in their answers, as one host knows it."""

from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.records import types

__all__ = ["ServerSignals"]

# A server without a published start time cannot be told from the next process under its name. It
# may be used again this long after its last word, unless a probe ends or renews that.
_UNKNOWN_START_TTL_MS = 30_000.0
# Bounds the memory; a fleet of 8,000 servers has few that leave at the same time.
_MAX_LEAVING_ROWS = 4_096


class _LeavingRow(msgspec.Struct, kw_only=True):
    """A server's word that it is leaving; ``started_wall_ms`` is 0 if its start is not known."""

    started_wall_ms: float
    heard_ms: float


class ServerSignals:
    """Signals that backend servers have sent in their answers, to this host or to others.

    A server that is leaving gets no requests until another process stands in its place, which its
    published start time tells. Neither time, a probe, a missing record nor a change of home ends
    that.

    Parameters
    ----------
    now_ms : callable
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, *, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        # The row that was heard last is the last one.
        self._leaving: dict[ids.ServerId, _LeavingRow] = {}

    def record_leaving(self, server: ids.ServerId, started_wall_ms: float) -> bool:
        """Record that a server said that it is leaving.

        Parameters
        ----------
        server : ServerId
            The server.
        started_wall_ms : float
            Published start time of the process that said so; 0 if it is not known.

        Returns
        -------
        bool
            Whether this is news.
        """
        previous = self._leaving.pop(server, None)
        known = previous is not None and previous.started_wall_ms >= started_wall_ms
        self._leaving[server] = _LeavingRow(
            started_wall_ms=previous.started_wall_ms if known else started_wall_ms,
            heard_ms=self._now_ms(),
        )
        if len(self._leaving) > _MAX_LEAVING_ROWS:
            del self._leaving[next(iter(self._leaving))]
        return not known

    def is_leaving(self, entry: types.ServerEntry) -> bool:
        """Return whether the process that a record describes has said that it is leaving."""
        row = self._leaving.get(ids.ServerId(entry.server))
        if row is None:
            return False
        if entry.started_wall_ms and row.started_wall_ms:
            return entry.started_wall_ms <= row.started_wall_ms
        return self._now_ms() - row.heard_ms < _UNKNOWN_START_TTL_MS

    def record_staying(self, server: ids.ServerId) -> None:
        """Record a probe's answer without the word; it counts if the start time is not known."""
        row = self._leaving.get(server)
        if row is not None and not row.started_wall_ms:
            del self._leaving[server]
