"""Pools of keep-alive connections to backend servers."""

import collections
import math
import time

import msgspec

from verbenadrum.daemon import answers, sockets

__all__ = ["ConnectionPools"]

# Twice the round-trip time between distant regions, plus time for a busy server to accept.
_CONNECT_TIMEOUT_S = 0.4


class _IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection; both times are monotonic seconds."""

    connection: answers.BoundedConnection
    idle_since_s: float
    expires_s: float


class ConnectionPools:
    """Keep-alive connections to backend servers, pooled by address.

    Parameters
    ----------
    max_idle_per_server : int
        Maximum number of idle connections per server.
    """

    def __init__(self, *, max_idle_per_server: int) -> None:
        self._max_idle_per_server = max_idle_per_server
        self._idle: dict[str, collections.deque[_IdleConnection]] = {}
        self._connect_count = 0

    @property
    def idle_count(self) -> int:
        """Number of idle connections to all servers."""
        return sum(map(len, self._idle.values()))

    @property
    def connect_count(self) -> int:
        """Number of connections opened since the start."""
        return self._connect_count

    def acquire(
        self,
        address: str,
        *,
        timeout_s: float,
        request_id: str = "",
        max_idle_s: float = math.inf,
    ) -> answers.BoundedConnection:
        """Return an idle connection to a server, or a new one if none is usable.

        A connection that has carried the same request before is not used: the identifier could not
        tell an answer to that try, which a faulty server may write once more, from the new one's.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        timeout_s : float
            Timeout of each socket operation of the request.
        request_id : str
            Identifier that the response must repeat; empty for none.
        max_idle_s : float
            Connections that have been idle for longer are closed instead of reused.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If the server cannot be reached. No byte of the request has been sent then.
        """
        connection = self._pop_idle(address, request_id, max_idle_s)
        if connection is None:
            ip, port = sockets.split_address(address)
            connect_timeout_s = min(_CONNECT_TIMEOUT_S, timeout_s)
            connection = answers.BoundedConnection(ip, port, timeout=connect_timeout_s)
            connection.connect()
            self._connect_count += 1
        # urllib3 applies this value again before it sends and before it reads.
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        connection.request_ids.append(request_id)
        return connection

    def _pop_idle(
        self, address: str, request_id: str, max_idle_s: float
    ) -> answers.BoundedConnection | None:
        """Remove and return the usable idle connection that was used last, or None."""
        idle = self._idle.get(address)
        min_idle_since_s = time.monotonic() - max_idle_s
        set_aside = []
        found = None
        while idle and found is None:
            entry = idle.pop()
            connection = entry.connection
            usable = min_idle_since_s <= entry.idle_since_s and time.monotonic() < entry.expires_s
            if not usable or sockets.is_unusable(connection.sock):
                connection.close()
            elif request_id and request_id in connection.request_ids:
                set_aside.append(entry)
            else:
                found = connection
        if set_aside:
            idle.extend(reversed(set_aside))
        return found

    def release(
        self, address: str, used: answers.BoundedConnection, *, keep_alive_s: float = math.inf
    ) -> None:
        """Return a connection whose last response was read completely to the pool.

        It is closed instead if the server has enough idle connections, or if unread bytes follow
        the response. After ``keep_alive_s`` it is no longer reused.
        """
        idle = self._idle.setdefault(address, collections.deque())
        if used.sock is None or used.has_unread_bytes or len(idle) >= self._max_idle_per_server:
            used.close()
        else:
            now_s = time.monotonic()
            idle.append(_IdleConnection(used, now_s, now_s + keep_alive_s))

    def close_idle(self, *, max_idle_s: float) -> None:
        """Close connections that are idle for too long, were closed, or have unexpected bytes."""
        min_idle_since_s = time.monotonic() - max_idle_s
        for address, idle in list(self._idle.items()):
            for _ in range(len(idle)):
                entry = idle.popleft()
                if entry.idle_since_s < min_idle_since_s or sockets.is_unusable(
                    entry.connection.sock
                ):
                    entry.connection.close()
                else:
                    idle.append(entry)
            if not idle:
                del self._idle[address]
