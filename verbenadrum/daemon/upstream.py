"""HTTP client towards backend servers: single attempts of a request.

An attempt sends the request once, validates the response's head and classifies every failure.
"""

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
from verbenadrum.daemon import (
    answers,
    buffers,
    connection_pools,
    framing,
    signal_headers,
    sockets,
)
from verbenadrum.utils import errors

__all__ = [
    "Answer",
    "Attempt",
    "AttemptError",
    "DEFAULT_HEADER_NAMES",
    "HeaderNames",
    "OutgoingRequest",
    "is_draining",
    "outcome_kind",
]

# A response body up to this size is read completely before any of it is passed on, so that the
# request can be retried if the body breaks off. Larger bodies are streamed.
PREFETCH_BYTES = 786_432
_READ_BYTES = 65_536
# An idle connection is dropped this long before the keep-alive timeout that its server announced,
# so that no request is sent while the server closes it.
_KEEP_ALIVE_MARGIN_S = 1.0
# Time for which an idle connection is reused if its server announces no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0
_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*([0-9]+)")
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# Values of the not-run and draining headers that mean the same as a missing header.
_FALSE_VALUES = ("", "0", "false")
_MS_PER_S = 1000.0
_CRASH_CHECK_CONNECT_TIMEOUT_S = 0.1
_CRASH_CHECK_HOLD_S = 0.01
_CONNECTION_LOSSES = (ports.OutcomeKind.RESET, ports.OutcomeKind.TRUNCATED)
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        # The host states the length itself, as it was read.
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class AttemptError(errors.VerbenadrumError):
    """An attempt failed, or its response must not be passed on.

    Attributes
    ----------
    outcome : Outcome
        Outcome to report to the decision core.
    """

    code = "attempt-failed"

    def __init__(self, message: str, outcome: ports.Outcome) -> None:
        super().__init__(message)
        self.outcome = outcome


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that hosts and backend servers exchange, and the accepted framing.

    Attributes
    ----------
    request_id : str
        Request header with the request's identifier, which the response repeats.
    deadline_ms : str
        Request header with the time left, in milliseconds.
    workspace : str
        Request header with the workspace.
    not_run : str
        Response header of a server that refused the request without running it.
    draining : str
        Response header of a server that accepts no new work.
    limit : str
        Response header with the requests per second that the server takes from all hosts together.
    expected_server : str
        Request header with the identifier of the intended server; any other server responds with
        421. Empty if this header is not sent.
    allow_close_delimited : bool
        Whether a response may have neither a Content-Length nor chunked encoding, so that its
        body ends when the connection is closed. Such a response cannot be told from a truncated
        one.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    workspace: str = "X-Workspace"
    not_run: str = "X-Not-Run"
    draining: str = "X-Draining"
    limit: str = "X-Rate-Limit"
    expected_server: str = ""
    allow_close_delimited: bool = False


DEFAULT_HEADER_NAMES = HeaderNames()


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request in the form in which it is sent to backend servers.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Request target in origin form.
    headers : tuple of (str, str)
        Names and values.
    body : bytes, iterator of bytes or None
        The complete body, an iterator over its parts if it is streamed, or None.
    caller_request_id : str
        The caller's request identifier if it is forwarded, else empty. The response must repeat
        the identifier that was sent.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterator[bytes] | None
    caller_request_id: str = ""


class Answer:
    """Response of a backend server whose identifier and framing have been checked.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        The response.
    release : callable
        Releases the connection; its argument tells whether the connection can be reused.
    prefetched : bytes
        The first bytes of the body.
    rest : iterator of bytes or None
        The remaining body; None if ``prefetched`` is the complete body.
    body : BodyFraming
        Framing of the body.
    latency_ms : float
        Time from the start of the attempt to the response's head.
    address : str
        ``ip:port`` of the server.
    reservation : Reservation
        Part of the host's buffers that ``prefetched`` takes.
    names : HeaderNames
        Names of the headers that backend servers use.
    """

    def __init__(
        self,
        *,
        response: urllib3.BaseHTTPResponse,
        release: Callable[[bool], None],
        prefetched: bytes,
        rest: Iterator[bytes] | None,
        body: framing.BodyFraming,
        latency_ms: float,
        address: str,
        reservation: buffers.Reservation,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self._reservation = reservation
        self._names = names
        self._response = response
        self._address = address
        self._release = release
        self.prefetched = prefetched
        self._rest = rest
        self._body = body
        self.latency_ms = latency_ms
        self._received_s = time.monotonic()

    @property
    def fully_prefetched(self) -> bool:
        """Whether ``prefetched`` is the complete body."""
        return self._rest is None

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._response.status

    @property
    def headers_by_name(self) -> urllib3.HTTPHeaderDict:
        """All headers of the response, including hop-by-hop headers."""
        return self._response.headers

    @property
    def draining(self) -> bool:
        """Whether the server announced that it accepts no new work."""
        return is_draining(self._response.headers, self._names)

    @property
    def limit_per_s(self) -> float | None:
        """Limit that the server named, as in `ports.Outcome`."""
        return signal_headers.read_limit(self._response.headers, self._names.limit, self._address)

    @property
    def rest_ms(self) -> float:
        """Time for which the server wants nothing more from this host, as in `ports.Outcome`."""
        if self.status != _UNAVAILABLE_STATUS:
            return 0.0
        return signal_headers.read_retry_after_ms(self._response.headers, self._address)

    @property
    def body_length(self) -> int | None:
        """Length of the body as it was read, or as it was announced in an answer without one.

        None if the length is not known.
        """
        if self._rest is None and self._body.kind is not framing.FramingKind.NONE:
            return len(self.prefetched)
        return self._body.length

    def forwarded_headers(self) -> list[tuple[str, str]]:
        """Return names and values of the headers to forward, without hop-by-hop headers.

        Content-Length follows from how the body was read, not from the server's headers.
        """
        headers = [
            (name, value)
            for name, value in self._response.headers.items()
            if name.lower() not in _HOP_BY_HOP_HEADERS
        ]
        length = self.body_length
        if length is not None:
            headers.append(("Content-Length", str(length)))
        return headers

    def iter_remaining(self) -> Iterator[bytes]:
        """Yield the body that follows ``prefetched``, and release the connection at its end.

        Raises
        ------
        AttemptError
            If the body breaks off or the attempt's deadline passes. The connection is then closed.
        """
        if self._rest is None:
            return
        waited_s = 0.0
        wait_started_s = time.monotonic()
        try:
            for piece in self._rest:
                waited_s += time.monotonic() - wait_started_s
                yield piece
                wait_started_s = time.monotonic()
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            waited_s += time.monotonic() - wait_started_s
            self.discard()
            raise AttemptError(
                f"the response body broke off: {type(error).__name__}",
                self.outcome(self._interrupted_kind(error, waited_s)),
            ) from error
        self._release(True)

    def outcome(self, kind: ports.OutcomeKind) -> ports.Outcome:
        """Return an outcome of the given kind with this response's status and latency.

        If the kind is a lost connection, `has_crashed` first tries a new connection, which takes up
        to 0.11 s.
        """
        # An answer of another server at the address says nothing about the intended one.
        misdirected = kind is ports.OutcomeKind.MISDIRECTED
        return ports.Outcome(
            kind=kind,
            latency_ms=self.latency_ms,
            bytes_sent=True,
            status=self.status,
            draining=self.draining and not misdirected,
            limit_per_s=None if misdirected else self.limit_per_s,
            rest_ms=self.rest_ms,
            refuses_connections=kind in _CONNECTION_LOSSES and has_crashed(self._address),
        )

    def outcome_kind(self) -> ports.OutcomeKind:
        """Return the outcome kind of the response, provided that its body is complete."""
        return outcome_kind(self.status, self._response.headers, self._names)

    def release_buffer(self) -> None:
        """Return the buffer of ``prefetched``, once that was passed on or is not needed."""
        self._reservation.release()

    def discard(self) -> None:
        """Close the connection, so that late bytes are not read as another response."""
        self.release_buffer()
        self._release(False)

    def _interrupted_kind(self, error: Exception, waited_s: float) -> ports.OutcomeKind:
        kind = _read_error_kind(error)
        elapsed_s = time.monotonic() - self._received_s
        if kind is ports.OutcomeKind.TIMEOUT and 2.0 * waited_s < elapsed_s:
            # The caller read slowly: the server was not the cause of the timeout.
            return ports.OutcomeKind.CANCELLED
        return kind


class Attempt:
    """One attempt to run a request on one backend server.

    Parameters
    ----------
    pools : ConnectionPools
        Connections to backend servers.
    order : DispatchOrder
        The server, the lease and the rules for the response.
    outgoing : OutgoingRequest
        The request.
    timeout_s : float
        Maximum time from the creation of this object to the last byte of the response.
    names : HeaderNames
        Names of the headers that backend servers use.
    budget : BufferBudget or None
        Buffers of the host; None for a budget of the attempt's own.
    max_idle_s : float
        Connections that have been idle for longer are not reused. A server may close an idle
        connection at any time, and a request that must not run twice cannot be retried then.
    """

    def __init__(
        self,
        *,
        pools: connection_pools.ConnectionPools,
        order: ports.DispatchOrder,
        outgoing: OutgoingRequest,
        timeout_s: float,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        budget: buffers.BufferBudget | None = None,
        max_idle_s: float = math.inf,
    ) -> None:
        self._names = names
        self._reservation = (budget or buffers.BufferBudget()).reservation()
        self._max_idle_s = max_idle_s
        self._pools = pools
        self._order = order
        self._outgoing = outgoing
        self._timeout_s = timeout_s
        self._connection: answers.BoundedConnection | None = None
        # The connection drops its references to both when a close-delimited response ends.
        self._sock: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._cancelled = False
        self._keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self._started_s = time.monotonic()
        self._bytes_sent = False
        self._body_incomplete = False

    def cancel(self) -> None:
        """Shut the connection down at once; the backend server sees that the request is cancelled.

        `run` then fails with the outcome kind CANCELLED.
        """
        self._cancelled = True
        if self._sock is not None:
            if self._response is not None:
                # A server that is blocked in sending does not notice the shutdown, only a reset.
                with contextlib.suppress(OSError):  # The connection is already closed.
                    sockets.reset_on_close(self._sock)
            with contextlib.suppress(OSError):  # The server may have closed it first.
                self._sock.shutdown(socket.SHUT_RDWR)

    def close_after_kill(self) -> ports.Outcome:
        """Close the connection after the greenlet in `run` was killed, and return the outcome."""
        self._cancelled = True
        self._abort()
        return self._outcome(ports.OutcomeKind.CANCELLED)

    def close_after_error(self) -> ports.Outcome:
        """Close the connection after an unexpected error in `run`, and return the outcome.

        The server may have begun to process the request if a byte may have been sent.
        """
        self._abort()
        sent = self._bytes_sent
        return self._outcome(ports.OutcomeKind.RESET if sent else ports.OutcomeKind.CONNECT_FAILED)

    def run(self) -> Answer:
        """Send the request and return its checked response.

        Raises
        ------
        AttemptError
            If the attempt fails, or if its response belongs to another request, is truncated, or
            has a status that is not passed on (see `DispatchOrder.pass_errors`).
        """
        response = self._exchange()
        latency_ms = self._elapsed_ms()
        body = self._connection.framing
        try:
            self._check_identity(response)
            prefetched, rest = self._prefetch(response, body)
        except AttemptError:
            self._abort()
            raise
        answer = Answer(
            response=response,
            release=self._release,
            prefetched=prefetched,
            rest=rest,
            body=body,
            latency_ms=latency_ms,
            address=self._order.address,
            reservation=self._reservation,
            names=self._names,
        )
        self._check_status(answer)
        return answer

    def _exchange(self) -> urllib3.BaseHTTPResponse:
        try:
            with self._deadline_timeout():
                self._connection = self._pools.acquire(
                    self._order.address,
                    timeout_s=self._timeout_s,
                    request_id=self._outgoing.caller_request_id or self._order.request,
                    max_idle_s=self._max_idle_s,
                )
                self._sock = self._connection.sock
                if self._cancelled:
                    raise OSError("the attempt was cancelled")
                self._bytes_sent = True
                self._send()
                if self._order.pass_errors:
                    # Its server is at work on it, and it will not be sent again.
                    self._connection.pass_over_earlier(self._names.request_id)
                self._response = self._connection.getresponse()
            self._keep_alive_s = _parse_keep_alive_s(self._response.headers)
            return self._response
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            self._release(False)
            raise self._make_error(error) from error

    def _deadline_timeout(self) -> gevent.Timeout:
        """Return a context manager that raises TimeoutError at this attempt's deadline."""
        remaining_s = self._started_s + self._timeout_s - time.monotonic()
        return gevent.Timeout(
            max(0.0, remaining_s), TimeoutError("the deadline of the attempt has passed")
        )

    def _check_deadline(self) -> None:
        if time.monotonic() >= self._started_s + self._timeout_s:
            raise TimeoutError("the deadline of the attempt has passed")

    def _send(self) -> None:
        try:
            self._connection.request(
                self._outgoing.method,
                self._outgoing.target,
                body=self._outgoing.body,
                headers=urllib3.HTTPHeaderDict(self._outgoing.headers),
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # A server may respond before it has read a long body, and close the connection. The
            # response may have arrived, but the connection cannot be reused, since the rest of the
            # body was not sent.
            self._body_incomplete = True

    def _abort(self) -> None:
        """Close the connection and return the buffer."""
        self._reservation.release()
        self._release(False)

    def _release(self, reusable: bool) -> None:
        used, self._connection = self._connection, None
        response, self._response = self._response, None
        self._sock = None
        if used is None:
            return
        if reusable and not self._cancelled and not self._body_incomplete:
            self._pools.release(self._order.address, used, keep_alive_s=self._keep_alive_s)
            return
        if response is not None:
            response.close()
        used.close()

    def _make_error(self, error: Exception) -> AttemptError:
        if self._cancelled:
            kind = ports.OutcomeKind.CANCELLED
        elif not self._bytes_sent:
            kind = ports.OutcomeKind.CONNECT_FAILED
        elif _is_timeout(error):
            kind = ports.OutcomeKind.TIMEOUT
        elif isinstance(error, framing.FramingError):
            kind = ports.OutcomeKind.TRUNCATED
        else:
            kind = ports.OutcomeKind.RESET
        return AttemptError(f"{kind.value}: {type(error).__name__}", self._outcome(kind))

    def _outcome(self, kind: ports.OutcomeKind, status: int = 0) -> ports.Outcome:
        return ports.Outcome(
            kind=kind,
            latency_ms=self._elapsed_ms(),
            bytes_sent=self._bytes_sent,
            status=status,
            refuses_connections=kind in _CONNECTION_LOSSES and has_crashed(self._order.address),
        )

    def _elapsed_ms(self) -> float:
        return (time.monotonic() - self._started_s) * _MS_PER_S

    def _check_identity(self, response: urllib3.BaseHTTPResponse) -> None:
        received = response.headers.get(self._names.request_id)
        expected = self._outgoing.caller_request_id or self._order.request
        if received == expected or (received is None and not self._order.echo_required):
            return
        raise AttemptError(
            f"the response carries the identifier of another request, or none: {received!r}",
            self._outcome(ports.OutcomeKind.CROSSED, response.status),
        )

    def _prefetch(
        self, response: urllib3.BaseHTTPResponse, body: framing.BodyFraming
    ) -> tuple[bytes, Iterator[bytes] | None]:
        """Return the first bytes of the body, and an iterator over the rest or None.

        A body of up to `PREFETCH_BYTES` is read completely, as far as the buffers of the host
        allow, so that it is known to be whole before any of it is passed on.
        """
        if body.kind is framing.FramingKind.NONE:
            response.close()
            self._release(True)
            return b"", None
        if body.kind is framing.FramingKind.CLOSE and not self._names.allow_close_delimited:
            # Without a length, a truncated response cannot be told from a complete one.
            raise AttemptError(
                "the response has neither a valid Content-Length nor chunked encoding",
                self._outcome(ports.OutcomeKind.TRUNCATED, response.status),
            )
        try:
            return self._read_prefix(response, body)
        except (exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            kind = ports.OutcomeKind.CANCELLED if self._cancelled else _read_error_kind(error)
            raise AttemptError(
                f"the response body broke off: {type(error).__name__}",
                self._outcome(kind, response.status),
            ) from error

    def _read_prefix(
        self, response: urllib3.BaseHTTPResponse, body: framing.BodyFraming
    ) -> tuple[bytes, Iterator[bytes] | None]:
        if body.kind is framing.FramingKind.LENGTH:
            size = body.length
            if size > PREFETCH_BYTES or not self._reservation.extend(size):
                return b"", self._stream(response)
            with self._deadline_timeout():
                data = response.read(decode_content=False)
            self._release(True)
            return data, None
        # The same iterator serves the whole body: abandoning one half-way closes the response,
        # which then looks complete.
        pieces = self._stream(response)
        held: collections.deque[bytes] = collections.deque()
        held_bytes = 0
        for piece in pieces:
            held.append(piece)
            held_bytes += len(piece)
            if held_bytes >= PREFETCH_BYTES or not self._reservation.extend(len(piece)):
                return b"", self._continue_stream(held, pieces)
        self._release(True)
        return b"".join(held), None

    def _continue_stream(
        self, held: collections.deque[bytes], rest: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield the parts of the body that are held, then the rest as it comes."""
        while held:
            self._check_deadline()
            yield held.popleft()
        self._reservation.release()
        yield from rest

    def _stream(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Yield the body in parts; raises TimeoutError at the attempt's deadline."""
        pieces = response.stream(_READ_BYTES, decode_content=False)
        while True:
            self._check_deadline()
            with self._deadline_timeout():
                piece = next(pieces, None)
            if piece is None:
                break
            yield piece
        if self._cancelled:
            # A close-delimited response that was cancelled looks complete.
            raise OSError("the attempt was cancelled")

    def _check_status(self, answer: Answer) -> None:
        kind = answer.outcome_kind()
        not_run = kind in (ports.OutcomeKind.SHED, ports.OutcomeKind.MISDIRECTED)
        if not not_run and (self._order.pass_errors or answer.status < 500):
            return
        if answer.fully_prefetched:
            answer.release_buffer()
        else:
            answer.discard()
        raise AttemptError(
            f"the server responded with status {answer.status}", answer.outcome(kind)
        )


def is_draining(headers: urllib3.HTTPHeaderDict, names: HeaderNames = DEFAULT_HEADER_NAMES) -> bool:
    """Return whether a response's headers announce that its server accepts no new work."""
    return headers.get(names.draining, "").lower() not in _FALSE_VALUES


def has_crashed(address: str) -> bool:
    """Return whether a server that has just broken a connection refuses new ones.

    A process that crashes closes its listening socket before its connections break. The check
    usually takes a few milliseconds, and a retry waits for its result.
    """
    return sockets.refuses_connections(
        address, connect_timeout_s=_CRASH_CHECK_CONNECT_TIMEOUT_S, hold_s=_CRASH_CHECK_HOLD_S
    )


def outcome_kind(
    status: int, headers: urllib3.HTTPHeaderDict, names: HeaderNames = DEFAULT_HEADER_NAMES
) -> ports.OutcomeKind:
    """Return the outcome kind of a complete response, from its status and headers."""
    if status == _MISDIRECTED_STATUS and names.expected_server:
        return ports.OutcomeKind.MISDIRECTED
    if headers.get(names.not_run, "").lower() not in _FALSE_VALUES:
        return ports.OutcomeKind.SHED
    if status >= 500:
        return ports.OutcomeKind.SERVER_ERROR
    return ports.OutcomeKind.OK


def _is_timeout(error: Exception) -> bool:
    return isinstance(error, (exceptions.TimeoutError, TimeoutError))


def _read_error_kind(error: Exception) -> ports.OutcomeKind:
    """Return the outcome kind of an error while reading a body."""
    return ports.OutcomeKind.TIMEOUT if _is_timeout(error) else ports.OutcomeKind.TRUNCATED


def _parse_keep_alive_s(headers: urllib3.HTTPHeaderDict) -> float:
    """Return for how many seconds an idle connection may be reused, from the Keep-Alive header."""
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(headers.get("Keep-Alive", ""))
    if match is None:
        return _DEFAULT_KEEP_ALIVE_S
    return max(0.0, float(match.group(1)) - _KEEP_ALIVE_MARGIN_S)
