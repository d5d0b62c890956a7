"""One attempt at a backend server: sends the request once and reads the answer's head."""

import collections
import contextlib
import http.client
import math
import re
import socket
import time
from collections.abc import Callable, Iterator

import gevent
import msgspec
import urllib3
from urllib3 import exceptions

from verbenadrum.core import ports
from verbenadrum.daemon import answers, sockets
from verbenadrum.utils import errors

__all__ = [
    "Answer",
    "Attempt",
    "AttemptError",
    "ConnectionPools",
    "DEFAULT_NAMES",
    "HeaderNames",
    "SentRequest",
    "outcome_kind",
    "says_draining",
]

# Answers up to this size are known whole before the first byte passes, so a broken one can be
# asked for again; the larger ones are streamed.
PREFETCH_BYTES = 786_432
_CHUNK_BYTES = 65_536
# Twice the round trip between distant regions, with room for a busy server.
_CONNECT_TIMEOUT_S = 0.4
# A server closes an idle connection after the time it states; by then it is not used any more.
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_KEEP_ALIVE_S = 4.0
_KEEP_ALIVE = re.compile(r"timeout\s*=\s*([0-9]+)")
# As many digits as an integer of 64 bits may surely have.
_LENGTH = re.compile(r"[0-9]{1,18}")
_MISDIRECTED_STATUS = 421
_FALSE = ("", "0", "false")
_MS_PER_S = 1000.0
_GONE_TIMEOUT_S = 0.1
_GONE_HOLD_S = 0.01
_BREAKS = (ports.OutcomeKind.RESET, ports.OutcomeKind.TRUNCATED)
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_BODILESS_STATUSES = (204, 304)


class AttemptError(errors.VerbenadrumError):
    """An attempt that gave no whole answer.

    Attributes
    ----------
    outcome : Outcome
        How the attempt ended.
    """

    code = "attempt-failed"

    def __init__(self, message: str, outcome: ports.Outcome) -> None:
        super().__init__(message)
        self.outcome = outcome


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that carry meaning between hosts and backend servers.

    ``expected_server`` is empty where servers are not told which one is meant. With
    ``unframed`` an answer may have no length and end with its connection.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    workspace: str = "X-Workspace"
    not_run: str = "X-Not-Run"
    draining: str = "X-Draining"
    expected_server: str = ""
    unframed: bool = False


DEFAULT_NAMES = HeaderNames()


class SentRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent to a backend server.

    ``body`` is the whole body, or an iterator of its pieces where it is streamed. An answer
    must repeat ``echoed_id`` to count as this request's.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterator[bytes] | None
    echoed_id: str = ""


class Answer:
    """Answer of a backend server whose head has been checked.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        The answer.
    release : callable
        Called with whether the connection can carry another request.
    prefetched : bytes
        The first bytes of the body.
    rest : iterator of bytes or None
        What follows; None where ``prefetched`` is the whole body.
    latency_ms : float
        From sending to the head.
    address : str
        ``ip:port`` of the server.
    names : HeaderNames
        Headers that carry meaning.
    """

    def __init__(
        self,
        *,
        response: urllib3.BaseHTTPResponse,
        release: Callable[[bool], None],
        prefetched: bytes,
        rest: Iterator[bytes] | None,
        latency_ms: float,
        address: str,
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._names = names
        self._response = response
        self._address = address
        self._release = release
        self.prefetched = prefetched
        self._rest = rest
        self.latency_ms = latency_ms
        self._begun_s = time.monotonic()

    @property
    def whole(self) -> bool:
        """Whether ``prefetched`` is the whole body."""
        return self._rest is None

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers_by_name(self) -> urllib3.HTTPHeaderDict:
        """Headers as the server sent them."""
        return self._response.headers

    @property
    def draining(self) -> bool:
        """Whether the server says that it wants no new work."""
        return says_draining(self._response.headers, self._names)

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers that go to the caller."""
        return [
            (name, value)
            for name, value in self._response.headers.items()
            if name.lower() not in _NOT_FORWARDED
        ]

    def rest(self) -> Iterator[bytes]:
        """Yield the body after ``prefetched``.

        Raises
        ------
        AttemptError
            If the body ends early.
        """
        if self._rest is None:
            return
        waited_s = 0.0
        asked_s = time.monotonic()
        try:
            for piece in self._rest:
                waited_s += time.monotonic() - asked_s
                yield piece
                asked_s = time.monotonic()
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            waited_s += time.monotonic() - asked_s
            self.discard()
            raise AttemptError(
                f"the answer's body ended early: {type(error).__name__}",
                self.outcome(self._blamed_kind(error, waited_s)),
            ) from error
        self._release(True)

    def outcome(self, kind: ports.OutcomeKind) -> ports.Outcome:
        """Return an outcome of this answer."""
        return ports.Outcome(
            kind=kind,
            latency_ms=self.latency_ms,
            bytes_sent=True,
            status=self.status,
            draining=self.draining,
            server_gone=kind in _BREAKS and has_crashed(self._address),
        )

    def kind(self) -> ports.OutcomeKind:
        """Return how the whole answer counts as evidence about its server."""
        return outcome_kind(self.status, self._response.headers, self._names)

    def discard(self) -> None:
        """Close the connection, so that nothing late on it reaches another request."""
        self._release(False)

    def _blamed_kind(self, error: Exception, waited_s: float) -> ports.OutcomeKind:
        kind = _broken_kind(error)
        passed_s = time.monotonic() - self._begun_s
        if kind is ports.OutcomeKind.TIMEOUT and 2.0 * waited_s < passed_s:
            # The caller took most of the time, for which the server cannot be blamed.
            return ports.OutcomeKind.CANCELLED
        return kind


class _Idle(msgspec.Struct, frozen=True):
    """A connection that waits for its next request, since and until when (monotonic seconds)."""

    connection: answers.BoundedConnection
    since_s: float
    until_s: float


class ConnectionPools:
    """Connections to backend servers, kept warm by server.

    Parameters
    ----------
    max_idle : int
        Most idle connections kept for each server.
    """

    def __init__(self, *, max_idle: int) -> None:
        self._max_idle = max_idle
        self._idle: dict[str, collections.deque[_Idle]] = {}
        self._connects = 0

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle.values()))

    @property
    def connects(self) -> int:
        """Connections opened since the start."""
        return self._connects

    def take(
        self, address: str, *, timeout_s: float, idle_at_most_s: float = math.inf
    ) -> answers.BoundedConnection:
        """Return a connection to a server, connecting where no idle one is usable.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If the server cannot be reached; then no byte was sent.
        """
        idle = self._idle.get(address)
        oldest_s = time.monotonic() - idle_at_most_s
        while idle:
            row = idle.pop()
            warm = row.connection
            usable = oldest_s <= row.since_s and time.monotonic() < row.until_s
            if usable and not sockets.ended(warm.sock):
                warm.sock.settimeout(timeout_s)
                return warm
            warm.close()
        ip, port = sockets.split_address(address)
        fresh = answers.BoundedConnection(ip, port, timeout=min(_CONNECT_TIMEOUT_S, timeout_s))
        fresh.connect()
        self._connects += 1
        fresh.timeout = timeout_s
        fresh.sock.settimeout(timeout_s)
        return fresh

    def put(
        self, address: str, used: answers.BoundedConnection, *, keep_s: float = math.inf
    ) -> None:
        """Keep a connection whose last answer was read whole.

        It is closed where too many wait, or where bytes have come that belong to no request.
        """
        idle = self._idle.setdefault(address, collections.deque())
        if used.sock is None or used.has_unread_bytes or len(idle) >= self._max_idle:
            used.close()
        else:
            now_s = time.monotonic()
            idle.append(_Idle(used, now_s, now_s + keep_s))

    def close_idle(self, *, longer_than_s: float) -> None:
        """Close connections that have waited for long, have ended, or hold bytes of no request."""
        oldest_s = time.monotonic() - longer_than_s
        for address, idle in list(self._idle.items()):
            for _ in range(len(idle)):
                row = idle.popleft()
                if row.since_s < oldest_s or sockets.ended(row.connection.sock):
                    row.connection.close()
                else:
                    idle.append(row)
            if not idle:
                del self._idle[address]


class Attempt:
    """One sending of a request to one backend server.

    Parameters
    ----------
    pools : ConnectionPools
        Connections to backend servers.
    order : DispatchOrder
        Where to send it.
    sent : SentRequest
        What to send.
    timeout_s : float
        Longest time to the last byte of the answer.
    names : HeaderNames
        Headers that carry meaning.
    reuse_idle_s : float
        Connections that have been idle for longer are not used. A server may close an idle
        connection at any moment, and a request that may run only once is lost with it.
    """

    def __init__(
        self,
        *,
        pools: ConnectionPools,
        order: ports.DispatchOrder,
        sent: SentRequest,
        timeout_s: float,
        names: HeaderNames = DEFAULT_NAMES,
        reuse_idle_s: float = math.inf,
    ) -> None:
        self._names = names
        self._reuse_idle_s = reuse_idle_s
        self._pools = pools
        self._order = order
        self._sent = sent
        self._timeout_s = timeout_s
        self._connection: answers.BoundedConnection | None = None
        # The connection lets go of both where the answer ends with it.
        self._sock: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._cancelled = False
        self._keep_s = _DEFAULT_KEEP_ALIVE_S
        self._started_s = time.monotonic()
        self._bytes_sent = False
        self._body_cut = False

    def cancel(self) -> None:
        """Close the connection at once, which the backend server sees as a cancellation."""
        self._cancelled = True
        if self._sock is not None:
            if self._response is not None:
                # A server that waits to send more of its answer does not see the shutdown.
                with contextlib.suppress(OSError):  # An ended connection needs no reset.
                    sockets.reset_on_close(self._sock)
            with contextlib.suppress(OSError):  # The connection may have ended already.
                self._sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> ports.Outcome:
        """Close the connection of an attempt whose `run` was ended from outside."""
        self._cancelled = True
        self._release(False)
        return self._outcome(ports.OutcomeKind.CANCELLED)

    def run(self) -> Answer:
        """Send the request and return its checked answer.

        Raises
        ------
        AttemptError
            If there is no whole answer of this request.
        """
        response = self._exchange()
        latency_ms = self._elapsed_ms()
        try:
            self._check_identity(response)
            prefetched, rest = self._prefetch(response)
        except AttemptError:
            self._release(False)
            raise
        answer = Answer(
            response=response,
            release=self._release,
            prefetched=prefetched,
            rest=rest,
            latency_ms=latency_ms,
            address=self._order.address,
            names=self._names,
        )
        self._check_status(answer)
        return answer

    def _exchange(self) -> urllib3.BaseHTTPResponse:
        try:
            with self._time_limit():
                self._connection = self._pools.take(
                    self._order.address,
                    timeout_s=self._timeout_s,
                    idle_at_most_s=self._reuse_idle_s,
                )
                self._sock = self._connection.sock
                if self._cancelled:
                    raise OSError("the attempt was cancelled")
                self._bytes_sent = True
                self._send()
                self._response = self._connection.getresponse()
            self._keep_s = _keep_alive_s(self._response.headers)
            return self._response
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            self._release(False)
            raise self._failed(error) from error

    def _time_limit(self) -> gevent.Timeout:
        """Return a context that raises TimeoutError once the time of this attempt is up."""
        left_s = self._started_s + self._timeout_s - time.monotonic()
        return gevent.Timeout(max(0.0, left_s), TimeoutError("the time of the attempt is up"))

    def _send(self) -> None:
        try:
            self._connection.request(
                self._sent.method,
                self._sent.target,
                body=self._sent.body,
                headers=urllib3.HTTPHeaderDict(self._sent.headers),
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # A server may answer before it has read a long body, and close. Its answer may have
            # come; where the rest of the body is due, no other request may follow.
            self._body_cut = True

    def _release(self, reusable: bool) -> None:
        used, self._connection = self._connection, None
        response, self._response = self._response, None
        self._sock = None
        if used is None:
            return
        if reusable and not self._cancelled and not self._body_cut:
            self._pools.put(self._order.address, used, keep_s=self._keep_s)
            return
        if response is not None:
            response.close()
        used.close()

    def _failed(self, error: Exception) -> AttemptError:
        if self._cancelled:
            kind = ports.OutcomeKind.CANCELLED
        elif not self._bytes_sent:
            kind = ports.OutcomeKind.CONNECT_FAILED
        elif _is_timeout(error):
            kind = ports.OutcomeKind.TIMEOUT
        else:
            kind = ports.OutcomeKind.RESET
        return AttemptError(f"{kind.value}: {type(error).__name__}", self._outcome(kind))

    def _outcome(self, kind: ports.OutcomeKind, status: int = 0) -> ports.Outcome:
        return ports.Outcome(
            kind=kind,
            latency_ms=self._elapsed_ms(),
            bytes_sent=self._bytes_sent,
            status=status,
            server_gone=kind in _BREAKS and has_crashed(self._order.address),
        )

    def _elapsed_ms(self) -> float:
        return (time.monotonic() - self._started_s) * _MS_PER_S

    def _check_identity(self, response: urllib3.BaseHTTPResponse) -> None:
        echoed = response.headers.get(self._names.request_id)
        wanted = self._sent.echoed_id or self._order.request
        if echoed == wanted or (echoed is None and not self._order.echo_required):
            return
        raise AttemptError(
            f"the answer is of request {echoed!r}",
            self._outcome(ports.OutcomeKind.CROSSED, response.status),
        )

    def _prefetch(self, response: urllib3.BaseHTTPResponse) -> tuple[bytes, Iterator[bytes] | None]:
        """Read the start of the body, so that a small answer is known whole before it passes."""
        if self._sent.method == "HEAD" or response.status in _BODILESS_STATUSES:
            response.close()
            self._release(True)
            return b"", None
        length = response.headers.get("Content-Length")
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        unframed = length is None and self._names.unframed
        if not chunked and not unframed and not _LENGTH.fullmatch(length or ""):
            # Without a length, an answer that was cut off may look like a whole one.
            raise AttemptError(
                "the answer has no length",
                self._outcome(ports.OutcomeKind.TRUNCATED, response.status),
            )
        try:
            return self._read_start(response, chunked, length)
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            kind = ports.OutcomeKind.CANCELLED if self._cancelled else _broken_kind(error)
            raise AttemptError(
                f"the answer's body ended early: {type(error).__name__}",
                self._outcome(kind, response.status),
            ) from error

    def _read_start(
        self, response: urllib3.BaseHTTPResponse, chunked: bool, length: str | None
    ) -> tuple[bytes, Iterator[bytes] | None]:
        if not chunked and length is not None:
            if int(length) > PREFETCH_BYTES:
                return b"", self._stream(response)
            with self._time_limit():
                data = response.read(decode_content=False)
            self._release(True)
            return data, None
        # One iterator for the whole body: dropping it half-way would close the answer, which
        # then looks complete.
        pieces = self._stream(response)
        data = bytearray()
        for piece in pieces:
            data += piece
            if len(data) >= PREFETCH_BYTES:
                return bytes(data), pieces
        self._release(True)
        return bytes(data), None

    def _stream(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Yield the body's pieces until its end or that of the attempt's time."""
        pieces = response.stream(_CHUNK_BYTES, decode_content=False)
        while True:
            if time.monotonic() >= self._started_s + self._timeout_s:
                raise TimeoutError("the time of the attempt is up")
            with self._time_limit():
                piece = next(pieces, None)
            if piece is None:
                break
            yield piece
        if self._cancelled:
            # An answer without a length that is cut off here looks like a whole one.
            raise OSError("the attempt was cancelled")

    def _check_status(self, answer: Answer) -> None:
        kind = answer.kind()
        refused = kind in (ports.OutcomeKind.SHED, ports.OutcomeKind.MISDIRECTED)
        if not refused and (self._order.pass_errors or answer.status < 500):
            return
        if not answer.whole:
            answer.discard()
        raise AttemptError(f"status {answer.status}", answer.outcome(kind))


def says_draining(headers: urllib3.HTTPHeaderDict, names: HeaderNames = DEFAULT_NAMES) -> bool:
    """Return whether an answer's headers say that its server wants no new work."""
    return headers.get(names.draining, "").lower() not in _FALSE


def has_crashed(address: str) -> bool:
    """Return whether a server that has just broken a connection takes no other one.

    It answers within a few milliseconds, since a retry waits for it: a crashed process has
    closed its listening socket by the time its connections break.
    """
    return sockets.refuses_connections(
        address, connect_timeout_s=_GONE_TIMEOUT_S, hold_s=_GONE_HOLD_S
    )


def outcome_kind(
    status: int, headers: urllib3.HTTPHeaderDict, names: HeaderNames = DEFAULT_NAMES
) -> ports.OutcomeKind:
    """Return how a whole answer counts as evidence about its server."""
    if status == _MISDIRECTED_STATUS and names.expected_server:
        return ports.OutcomeKind.MISDIRECTED
    if headers.get(names.not_run, "").lower() not in _FALSE:
        return ports.OutcomeKind.SHED
    if status >= 500:
        return ports.OutcomeKind.SERVER_ERROR
    return ports.OutcomeKind.OK


def _is_timeout(error: Exception) -> bool:
    return isinstance(error, (exceptions.TimeoutError, TimeoutError))


def _broken_kind(error: Exception) -> ports.OutcomeKind:
    """Return how an answer ended whose head had come."""
    return ports.OutcomeKind.TIMEOUT if _is_timeout(error) else ports.OutcomeKind.TRUNCATED


def _keep_alive_s(headers: urllib3.HTTPHeaderDict) -> float:
    """Return how long a connection may wait for its next request, by what its server states."""
    stated = _KEEP_ALIVE.search(headers.get("Keep-Alive", ""))
    if stated is None:
        return _DEFAULT_KEEP_ALIVE_S
    return max(0.0, float(stated.group(1)) - _KEEP_ALIVE_MARGIN_S)
