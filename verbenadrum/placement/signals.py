"""What backend servers say about themselves in their answers, as one host knows it."""

import math
from collections.abc import Callable, Iterable, Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["ServerSignals"]

# A word that the published start times cannot attribute to a process holds for this long after it
# was heard, unless a probe ends or renews it: a record may lag behind the word, and a server
# without a start time cannot be told from the next process under its name.
_UNCERTAIN_TTL_MS = 30_000.0
# Bounds the memory; a fleet of 8,000 servers has few that leave at the same time.
_MAX_SERVERS = 4_096
# Late answers of a process may be handled after those of the next one under its name.
_MAX_PROCESSES = 3


class _Word(msgspec.Struct, kw_only=True):
    """What one process of a server has said.

    Attributes
    ----------
    started_wall_ms : float
        Published start time of the process; 0 if it is not known.
    since_ms, heard_ms : float
        Monotonic times at which it was heard first and last, in milliseconds.
    heard_from : str
        Host to which it was said first.
    published : bool
        Whether this host has seen a record with this start time.
    """

    started_wall_ms: float
    since_ms: float
    heard_ms: float
    heard_from: str
    published: bool = False


class _LimitWord(_Word, kw_only=True):
    """Limit of a process; infinite once an answer named none."""

    limit_per_s: float


class _RestWord(_Word, kw_only=True):
    """Until when a process wants nothing from this host, in monotonic milliseconds."""

    until_ms: float


class _WordTable:
    """Last word of each process of the servers.

    Start times identify processes but do not order them: a server whose clock was set back starts
    again with an earlier time.

    Parameters
    ----------
    now_ms : callable
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, *, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        # By server and start time; what was heard last is the last one.
        self._words: dict[ids.ServerId, dict[float, _Word]] = {}

    def __len__(self) -> int:
        """Return the number of servers with a word."""
        return len(self._words)

    def of_process(self, server: ids.ServerId, started_wall_ms: float) -> _Word | None:
        """Return the word of one process, or None."""
        return self._words.get(server, {}).get(started_wall_ms)

    def last(self, server: ids.ServerId) -> _Word | None:
        """Return the word of a server that was heard last, or None."""
        return next(reversed(self._words.get(server, {}).values()), None)

    def store(self, server: ids.ServerId, word: _Word) -> None:
        """Store the word of a process, and drop the ones that were heard first if too many."""
        words = self._words.pop(server, {})
        words.pop(word.started_wall_ms, None)
        words[word.started_wall_ms] = word
        if len(words) > _MAX_PROCESSES:
            del words[next(iter(words))]
        self._words[server] = words
        if len(self._words) > _MAX_SERVERS:
            del self._words[next(iter(self._words))]

    def drop(self, server: ids.ServerId, started_wall_ms: float) -> None:
        """Drop the word of one process, if there is one."""
        words = self._words.get(server, {})
        words.pop(started_wall_ms, None)
        if not words:
            self._words.pop(server, None)

    def find(self, entry: types.ServerEntry) -> _Word | None:
        """Return the word of the process that a record describes, or None.

        A record that was published before the process that said it may lag behind the word.
        """
        words = self._words.get(ids.ServerId(entry.server))
        if words is None:
            return None
        own = words.get(entry.started_wall_ms)
        if own is not None:
            own.published = True
            return own
        for word in reversed(words.values()):
            lags = entry.started_wall_ms < word.started_wall_ms and not word.published
            if lags and self.is_recent(word):
                return word
        return None

    def is_recent(self, word: _Word) -> bool:
        """Return whether a word was heard so lately that it may concern an unknown process."""
        return self._now_ms() - word.heard_ms < _UNCERTAIN_TTL_MS


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
        self._leaving = _WordTable(now_ms=now_ms)
        # Only servers that have named a limit have a word.
        self._limits = _WordTable(now_ms=now_ms)
        self._rests = _WordTable(now_ms=now_ms)

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
            Start time of the process that said so, as published in the record of the host that
            heard it; 0 if it is not known.
        heard_from : str
            Host to which it said so; empty for this one.

        Returns
        -------
        bool
            Whether this is news.
        """
        previous = self._leaving.of_process(server, started_wall_ms)
        if previous is None and not started_wall_ms:
            previous = self._leaving.last(server)
        now_ms = self._now_ms()
        if previous is not None:
            self._leaving.store(server, msgspec.structs.replace(previous, heard_ms=now_ms))
            return False
        self._leaving.drop(server, 0.0)
        word = _Word(
            started_wall_ms=started_wall_ms,
            since_ms=now_ms,
            heard_ms=now_ms,
            heard_from=heard_from or self._host,
            published=not heard_from,
        )
        self._leaving.store(server, word)
        return True

    def is_leaving(self, entry: types.ServerEntry) -> bool:
        """Return whether the process that a record describes has said that it is leaving."""
        return self._leaving_word(entry) is not None

    def _leaving_word(self, entry: types.ServerEntry) -> _Word | None:
        word = self._leaving.find(entry)
        if word is not None and word.started_wall_ms:
            return word
        unknown = self._leaving.of_process(ids.ServerId(entry.server), 0.0)
        return unknown if unknown is not None and self._leaving.is_recent(unknown) else None

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
        word = self._leaving.of_process(server, 0.0)
        if word is not None and word.heard_ms <= asked_ms:
            self._leaving.drop(server, 0.0)

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
        previous = self._limits.of_process(server, started_wall_ms)
        if previous is None and math.isinf(limit_per_s):
            return False
        now_ms = self._now_ms()
        is_news = previous is None or previous.limit_per_s != limit_per_s
        word = _LimitWord(
            started_wall_ms=started_wall_ms,
            since_ms=now_ms if is_news else previous.since_ms,
            heard_ms=now_ms,
            heard_from=heard_from or self._host if is_news else previous.heard_from,
            published=not heard_from or (previous is not None and previous.published),
            limit_per_s=limit_per_s,
        )
        self._limits.store(server, word)
        return is_news

    def record_rest(self, server: ids.ServerId, started_wall_ms: float, rest_ms: float) -> bool:
        """Record that a server wants nothing from this host for ``rest_ms``.

        Returns
        -------
        bool
            Whether the server was not resting before.
        """
        now_ms = self._now_ms()
        previous = self._rests.of_process(server, started_wall_ms)
        resting = previous is not None and previous.until_ms > now_ms
        word = _RestWord(
            started_wall_ms=started_wall_ms,
            since_ms=previous.since_ms if resting else now_ms,
            heard_ms=now_ms,
            heard_from=self._host,
            until_ms=max(now_ms + rest_ms, previous.until_ms if resting else 0.0),
        )
        self._rests.store(server, word)
        return not resting

    def rest_ms(self, entry: types.ServerEntry) -> float:
        """Return for how much longer the process of a record wants nothing from this host."""
        word = self._rests.of_process(ids.ServerId(entry.server), entry.started_wall_ms)
        return 0.0 if word is None else max(0.0, word.until_ms - self._now_ms())

    def limit_per_s(self, entry: types.ServerEntry) -> float:
        """Return the limit that the process of a record has named; infinite for none."""
        word = self._limits.find(entry)
        return math.inf if word is None else word.limit_per_s

    def limit_age_ms(self, entry: types.ServerEntry) -> float:
        """Return the age of the last word of a record's process on its limit.

        It is infinite if the process never named one.
        """
        word = self._limits.find(entry)
        return math.inf if word is None else self._now_ms() - word.heard_ms

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
            leaving = self._leaving_word(entry)
            if leaving is not None:
                yield ports.ServerSignal(
                    server=server,
                    signal="leaving",
                    for_ms=round(now_ms - leaving.since_ms, 1),
                    heard_from=leaving.heard_from,
                )
            limit = self._limits.find(entry)
            if limit is not None and math.isfinite(limit.limit_per_s):
                yield ports.ServerSignal(
                    server=server,
                    signal="limit",
                    for_ms=round(now_ms - limit.since_ms, 1),
                    heard_from=limit.heard_from,
                    limit_per_s=limit.limit_per_s,
                )
            rest = self._rests.of_process(server, entry.started_wall_ms)
            if rest is not None and rest.until_ms > now_ms:
                yield ports.ServerSignal(
                    server=server,
                    signal="rest",
                    for_ms=round(now_ms - rest.since_ms, 1),
                    heard_from=self._host,
                    left_ms=round(rest.until_ms - now_ms, 1),
                )
