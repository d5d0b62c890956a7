"""What backend servers say about themselves in their answers, as one host knows it."""

import math
from collections.abc import Callable, Iterable, Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["ServerSignals"]

# A server without a published start time cannot be told from the next process under its name. It
# may be used again this long after its last word, unless a probe ends or renews that.
_UNKNOWN_START_TTL_MS = 30_000.0
# Bounds the memory; a fleet of 8,000 servers has few that leave at the same time.
_MAX_ROWS = 4_096


class _LeavingRow(msgspec.Struct, kw_only=True):
    """A server's word that it is leaving; ``started_wall_ms`` is 0 if its start is not known."""

    started_wall_ms: float
    since_ms: float
    heard_ms: float
    heard_from: str


class _LimitRow(msgspec.Struct, kw_only=True):
    """A server's last word on its limit; ``limit_per_s`` is infinite once an answer named none.

    ``since_ms`` is when the limit in force was named first.
    """

    started_wall_ms: float
    since_ms: float
    heard_ms: float
    heard_from: str
    limit_per_s: float


class _RestRow(msgspec.Struct, kw_only=True):
    """Until when a server wants nothing from this host, in monotonic milliseconds."""

    started_wall_ms: float
    since_ms: float
    until_ms: float


class ServerSignals:
    """Signals that backend servers have sent in their answers, to this host or to others.

    A server that is leaving gets no requests until another process stands in its place, which its
    published start time tells. Neither time, a probe, a missing record nor a change of home ends
    that. A limit is in force for as long as the server's answers name it. A server that has refused
    a request of this host for a time gets nothing from this host until then; other hosts are not
    concerned.

    Parameters
    ----------
    now_ms : callable
        Returns the monotonic time in milliseconds.
    host : str
        This host, for `in_force`.
    """

    def __init__(self, *, now_ms: Callable[[], float], host: str = "") -> None:
        self._now_ms = now_ms
        self._host = host
        # The row that was heard last is the last one.
        self._leaving: dict[ids.ServerId, _LeavingRow] = {}
        # Likewise; only servers that have named a limit have a row.
        self._limits: dict[ids.ServerId, _LimitRow] = {}
        self._rests: dict[ids.ServerId, _RestRow] = {}

    @property
    def any_limited(self) -> bool:
        """Whether any server has named a limit, which it may have ended since."""
        return bool(self._limits)

    def record_leaving(
        self, server: ids.ServerId, started_wall_ms: float, *, heard_from: str = ""
    ) -> bool:
        """Record that a server said that it is leaving.

        Parameters
        ----------
        server : ServerId
            The server.
        started_wall_ms : float
            Published start time of the process that said so; 0 if it is not known.
        heard_from : str
            Host to which it said so; empty for this one.

        Returns
        -------
        bool
            Whether this is news.
        """
        previous = self._leaving.pop(server, None)
        known = previous is not None and previous.started_wall_ms >= started_wall_ms
        now_ms = self._now_ms()
        self._leaving[server] = _LeavingRow(
            started_wall_ms=previous.started_wall_ms if known else started_wall_ms,
            since_ms=previous.since_ms if known else now_ms,
            heard_ms=now_ms,
            heard_from=previous.heard_from if known else heard_from or self._host,
        )
        _bound(self._leaving)
        return not known

    def is_leaving(self, entry: types.ServerEntry) -> bool:
        """Return whether the process that a record describes has said that it is leaving."""
        row = self._leaving.get(ids.ServerId(entry.server))
        if row is None:
            return False
        if entry.started_wall_ms and row.started_wall_ms:
            return entry.started_wall_ms <= row.started_wall_ms
        return self._now_ms() - row.heard_ms < _UNKNOWN_START_TTL_MS

    def record_staying(self, server: ids.ServerId, *, asked_ms: float) -> None:
        """Record a probe's answer without the word; it counts if the start time is not known.

        Parameters
        ----------
        server : ServerId
            The server.
        asked_ms : float
            Monotonic time, in ms, at which the probe was ordered. A word that was heard later
            stands, although the answer to the probe is handled after it.
        """
        row = self._leaving.get(server)
        if row is not None and not row.started_wall_ms and row.heard_ms <= asked_ms:
            del self._leaving[server]

    def record_limit(
        self,
        server: ids.ServerId,
        started_wall_ms: float,
        limit_per_s: float,
        *,
        heard_from: str = "",
    ) -> bool:
        """Record the limit that an answer of a server names, infinite for none.

        ``heard_from`` is the host that got the answer; empty for this one.

        Returns
        -------
        bool
            Whether this is news.
        """
        previous = self._limits.get(server)
        if previous is None and math.isinf(limit_per_s):
            return False
        if previous is not None and previous.started_wall_ms > started_wall_ms:
            # A late answer of the process before.
            return False
        self._limits.pop(server, None)
        now_ms = self._now_ms()
        is_news = previous is None or previous.limit_per_s != limit_per_s
        self._limits[server] = _LimitRow(
            started_wall_ms=started_wall_ms,
            since_ms=now_ms if is_news else previous.since_ms,
            heard_ms=now_ms,
            heard_from=heard_from or self._host if is_news else previous.heard_from,
            limit_per_s=limit_per_s,
        )
        _bound(self._limits)
        return is_news

    def record_rest(self, server: ids.ServerId, started_wall_ms: float, rest_ms: float) -> bool:
        """Record that a server wants nothing from this host for ``rest_ms``.

        Returns
        -------
        bool
            Whether the server was not resting before.
        """
        now_ms = self._now_ms()
        previous = self._rests.pop(server, None)
        resting = previous is not None and previous.until_ms > now_ms
        until_ms = max(now_ms + rest_ms, previous.until_ms if resting else 0.0)
        self._rests[server] = _RestRow(
            started_wall_ms=started_wall_ms,
            since_ms=previous.since_ms if resting else now_ms,
            until_ms=until_ms,
        )
        _bound(self._rests)
        return not resting

    def rest_ms(self, entry: types.ServerEntry) -> float:
        """Return for how much longer the process of a record wants nothing from this host."""
        row = self._rests.get(ids.ServerId(entry.server))
        if row is None or entry.started_wall_ms > row.started_wall_ms:
            return 0.0
        return max(0.0, row.until_ms - self._now_ms())

    def limit_per_s(self, entry: types.ServerEntry) -> float:
        """Return the limit that the process of a record has named; infinite for none."""
        row = self._limits.get(ids.ServerId(entry.server))
        if row is None or entry.started_wall_ms > row.started_wall_ms:
            return math.inf
        return row.limit_per_s

    def limit_age_ms(self, server: ids.ServerId) -> float:
        """Return the age of a server's last word on its limit; infinite if it never named one."""
        row = self._limits.get(server)
        return math.inf if row is None else self._now_ms() - row.heard_ms

    def in_force(self, entries: Iterable[types.ServerEntry]) -> Iterator[ports.ServerSignal]:
        """Yield the signals that hold back requests of this host from servers, with their age.

        Parameters
        ----------
        entries : iterable of ServerEntry
            Records of the servers.
        """
        now_ms = self._now_ms()
        for entry in entries:
            server = ids.ServerId(entry.server)
            if self.is_leaving(entry):
                row = self._leaving[server]
                yield ports.ServerSignal(
                    server=server,
                    signal="leaving",
                    for_ms=round(now_ms - row.since_ms, 1),
                    heard_from=row.heard_from,
                )
            if math.isfinite(self.limit_per_s(entry)):
                limit = self._limits[server]
                yield ports.ServerSignal(
                    server=server,
                    signal="limit",
                    for_ms=round(now_ms - limit.since_ms, 1),
                    heard_from=limit.heard_from,
                    limit_per_s=limit.limit_per_s,
                )
            if self.rest_ms(entry):
                yield ports.ServerSignal(
                    server=server,
                    signal="rest",
                    for_ms=round(now_ms - self._rests[server].since_ms, 1),
                    heard_from=self._host,
                    left_ms=round(self.rest_ms(entry), 1),
                )


def _bound(rows: dict) -> None:
    """Drop the row that was heard first if there are too many."""
    if len(rows) > _MAX_ROWS:
        del rows[next(iter(rows))]
