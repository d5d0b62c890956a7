"""The callers' port: passes HTTP requests to the decision core and returns its results."""

import contextlib
import http.client
import itertools
import json
import math
import socket
import uuid
from collections.abc import Callable, Iterator

import bottle
import gevent
import xxhash

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.daemon import (
    buffers,
    connection_pools,
    exchange,
    http_server,
    metrics,
    sockets,
    targets,
    upstream,
)
from verbenadrum.engine import engine
from verbenadrum.settings import types
from verbenadrum.utils import clock

__all__ = ["CallersPort"]

# A body up to this size is read completely, so that it can be sent again; a larger one is streamed.
MAX_REPLAYABLE_BYTES = 65_536
_READ_BYTES = 65_536
_MS_PER_S = 1000.0
# Callers choose their request identifiers freely, so the logged part is limited.
_MAX_LOGGED_ID_LENGTH = 64
_DISCONNECT_CHECK_DELAY_S = 0.05
_DISCONNECT_CHECK_INTERVAL_S = 0.1
# How long a request goes on after its caller has closed its sending side. Servers must not get the
# request of a caller that has left over half a second later.
_HALF_CLOSE_GRACE_MS = 150.0
# The caller of an upload that begins this long after its request may have left meanwhile.
_LATE_UPLOAD_MS = 500.0
# Reason codes, in decisions, of requests that end without a complete response.
_DISCONNECT_REASON = "caller-left"
_BODY_ERROR_REASON = "body-broke-off"
_SERVED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class _CallerWatch:
    """Notices that a caller has left while its request waits for the result or is answered.

    A caller that only closes its sending side still reads its answer, but until something is sent
    TCP shows it like one that has left. It gets an answer that comes within a short time.

    Parameters
    ----------
    sock : socket
        The caller's connection.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, *, sock: socket.socket, clock: clock.Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._closed_ms = math.inf

    def has_left(self) -> bool:
        """Return whether the connection was reset, or closed by the caller some time ago."""
        if not _caller_disconnected(self._sock):
            return False
        if sockets.is_reset_by_peer(self._sock):
            return True
        now_ms = self._clock.now_ms()
        self._closed_ms = min(self._closed_ms, now_ms)
        return now_ms - self._closed_ms >= _HALF_CLOSE_GRACE_MS

    @contextlib.contextmanager
    def aborting(self) -> Iterator[None]:
        """Raise `http_server.AbortResponse` in the block if the caller leaves.

        It interrupts whatever the greenlet waits for, and is raised while it waits only.
        """
        # The timer calls from the event loop, as that of `gevent.Timeout` does. Another greenlet
        # could only schedule the exception, which might come after the end of the block.
        timer = gevent.get_hub().loop.timer(
            _DISCONNECT_CHECK_INTERVAL_S, _DISCONNECT_CHECK_INTERVAL_S
        )
        with contextlib.closing(timer):
            timer.start(self._abort_if_left, gevent.getcurrent().throw, timer)
            yield

    def _abort_if_left(self, throw: Callable[..., None], timer: object) -> None:
        if self.has_left():
            timer.stop()
            throw(_caller_left())


def _caller_left() -> http_server.AbortResponse:
    return http_server.AbortResponse("the caller closed its connection", _DISCONNECT_REASON)


class CallersPort:
    """WSGI application of the callers' port.

    Parameters
    ----------
    engine : Engine
        Decision core.
    pools : ConnectionPools
        Connections to backend servers.
    clock : Clock
        Monotonic clock.
    request_metrics : RequestMetrics
        Metrics of requests and refusals.
    headers : HeadersTable
        Settings for the headers of requests and responses.
    budget : BufferBudget or None
        Buffers of the host for answers; None for one of the default size.

    Attributes
    ----------
    application : bottle.Bottle
        The WSGI application.
    """

    def __init__(
        self,
        *,
        engine: engine.Engine,
        pools: connection_pools.ConnectionPools,
        clock: clock.Clock,
        request_metrics: metrics.RequestMetrics,
        headers: types.HeadersTable = types.DEFAULT_HEADERS,
        budget: buffers.BufferBudget | None = None,
    ) -> None:
        self._budget = budget or buffers.BufferBudget()
        self._headers = headers
        self._names = upstream.HeaderNames(
            request_id=headers.request_id,
            deadline_ms=headers.deadline_ms,
            workspace=headers.workspace,
            not_run=headers.not_run,
            draining=headers.draining,
            limit=headers.limit,
            expected_server=headers.expected_server,
            allow_close_delimited=headers.unframed_answers,
        )
        reserved = (
            headers.request_id,
            headers.deadline_ms,
            headers.workspace,
            headers.expected_server,
        )
        self._reserved_headers = frozenset(targets.environ_name(name) for name in reserved if name)
        self._key_places = frozenset(map(targets.KeyPlace, headers.key_places))
        self._request_id_key = targets.environ_name(headers.request_id)
        self._deadline_key = targets.environ_name(headers.deadline_ms)
        self._engine = engine
        self._pools = pools
        self._clock = clock
        self._request_metrics = request_metrics
        self.application = bottle.Bottle(catchall=False)
        self.application.route(r"<path:re:[\s\S]*>", method="ANY", callback=self._handle)

    @property
    def names(self) -> upstream.HeaderNames:
        """Names of the headers that this host and backend servers exchange."""
        return self._names

    def _handle(self, path: str) -> object:
        environ = bottle.request.environ
        request = ids.RequestId(uuid.uuid4().hex)
        started_ms = self._clock.now_ms()
        try:
            head, outgoing = self._read_head(environ, request, started_ms)
        except targets.BadRequestError as error:
            return self._problem_response(_bad_request(request, error))
        if head.method not in _SERVED_METHODS:
            return self._problem_response(_method_refusal(request))
        sink = exchange.Exchange(
            engine=self._engine,
            pools=self._pools,
            clock=self._clock,
            outgoing=outgoing,
            names=self._names,
            budget=self._budget,
        )
        watch = _CallerWatch(sock=environ[http_server.SOCKET_KEY], clock=self._clock)
        try:
            self._engine.begin(head, sink)
            result = self._wait_for_result(sink, watch)
        except http_server.AbortResponse as error:
            self._engine.abandon(request, error.reason)
            sink.stop_body_reads()
            sink.drop_result()
            raise
        except BaseException as error:
            self._engine.abandon(request, type(error).__name__)
            sink.stop_body_reads()
            sink.drop_result()
            raise
        if isinstance(result, exchange.CommittedAnswer) and not result.answer.fully_prefetched:
            return self._start_stream(sink, head, result, started_ms, watch)
        self._request_metrics.record_duration(started_ms)
        if isinstance(result, ports.Refusal):
            sink.stop_body_reads()
            return self._problem_response(result)
        if isinstance(result, ports.StoredAnswer):
            return _complete_response(
                result.status, list(result.headers), result.body, request, replayed=True
            )
        answer = result.answer
        body = _complete_response(
            answer.status, answer.forwarded_headers(), answer.prefetched, request
        )
        return _passed_on(answer) if len(body) > _READ_BYTES else _copied(answer, body)

    def _read_head(
        self, environ: dict, request: ids.RequestId, started_ms: float
    ) -> tuple[ports.RequestHead, upstream.OutgoingRequest]:
        # The caller's time runs while its body is read.
        deadline_ms = started_ms + self._parse_remaining_ms(environ)
        target = targets.parse_target(environ[http_server.TARGET_KEY], self._key_places)
        authority = target.authority or environ.get("HTTP_HOST", "")
        key = targets.find_key(environ, target, self._headers.key_scheme, self._key_places)
        length, body = self._read_body(environ, request, started_ms)
        method = environ["REQUEST_METHOD"]
        headers = list(
            targets.clean_headers(environ, key, self._reserved_headers, self._key_places)
        )
        if length >= 0 and not isinstance(body, bytes) and body is not None:
            headers.append(("Content-Length", str(length)))
        own_id = environ.get(self._request_id_key, "")
        head = ports.RequestHead(
            request=request,
            method=method,
            host=targets.host_name(authority),
            path=target.path,
            query=target.query,
            api_key=key,
            idempotency_key=ids.IdempotencyKey(environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()),
            deadline_ms=deadline_ms,
            body_length=length,
            body_buffered=body is None or isinstance(body, bytes),
            body_digest=xxhash.xxh3_64_hexdigest(body) if isinstance(body, bytes) else "",
            caller_request=own_id[:_MAX_LOGGED_ID_LENGTH],
            lacks_request_id=self._headers.keep_request_id and not own_id,
        )
        headers.append(("Host", authority))
        outgoing = upstream.OutgoingRequest(
            method=method,
            target=target.forward,
            headers=tuple(headers),
            body=body,
            caller_request_id=own_id if self._headers.keep_request_id else "",
        )
        return head, outgoing

    def _read_body(
        self, environ: dict, request: ids.RequestId, started_ms: float
    ) -> tuple[int, bytes | Iterator[bytes] | None]:
        """Return the length of the body in bytes, and the body.

        The length is -1 if it is not known in advance. The body is complete if it is small, an
        iterator if it is streamed, and None if the request has none.
        """
        if "HTTP_TRANSFER_ENCODING" in environ:
            return self._read_chunked(environ, request, started_ms)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length == 0:
            has_length = "CONTENT_LENGTH" in environ
            return 0, b"" if has_length else None
        if length > MAX_REPLAYABLE_BYTES:
            return length, self._stream_body(environ, request, started_ms)
        try:
            body = environ["wsgi.input"].read(length)
        except OSError as error:
            raise http_server.AbortResponse(
                "the caller's request body broke off", _BODY_ERROR_REASON
            ) from error
        if len(body) < length:
            raise targets.BadRequestError("the body is shorter than its Content-Length")
        return length, body

    def _read_chunked(
        self, environ: dict, request: ids.RequestId, started_ms: float
    ) -> tuple[int, bytes | Iterator[bytes]]:
        """Return length and body of a chunked request, as `_read_body` does."""
        try:
            prefix = environ["wsgi.input"].read(MAX_REPLAYABLE_BYTES + 1)
        except http_server.MalformedBodyError:
            # The HTTP server responds with 400 and closes the connection.
            raise
        except OSError as error:
            raise http_server.AbortResponse(
                "the caller's request body broke off", _BODY_ERROR_REASON
            ) from error
        if len(prefix) <= MAX_REPLAYABLE_BYTES:
            return len(prefix), prefix
        return -1, itertools.chain((prefix,), self._stream_body(environ, request, started_ms))

    def _stream_body(
        self, environ: dict, request: ids.RequestId, started_ms: float
    ) -> Iterator[bytes]:
        begun_late = self._clock.now_ms() - started_ms > _LATE_UPLOAD_MS
        remaining = int(environ.get("CONTENT_LENGTH") or -1)
        while remaining != 0:
            try:
                piece = environ["wsgi.input"].read(_READ_BYTES)
            except OSError as error:
                self._engine.abandon(request, _BODY_ERROR_REASON)
                raise http_server.CallerBodyError(str(error)) from error
            if not piece:
                if remaining > 0:
                    self._engine.abandon(request, _BODY_ERROR_REASON)
                    raise http_server.CallerBodyError("the body is shorter than its Content-Length")
                return
            remaining -= len(piece) if remaining > 0 else 0
            if begun_late and _caller_disconnected(environ[http_server.SOCKET_KEY]):
                # The close became visible only as the data before it was read. A server does not
                # run a request whose body stays incomplete.
                self._engine.abandon(request, _DISCONNECT_REASON)
                raise http_server.CallerBodyError("the caller closed its connection")
            yield piece

    def _parse_remaining_ms(self, environ: dict) -> float:
        text = environ.get(self._deadline_key)
        if text is None:
            return math.inf
        name = self._headers.deadline_ms
        try:
            remaining_ms = float(text)
        except ValueError as error:
            raise targets.BadRequestError(f"{name} is no number") from error
        if not remaining_ms > 0:
            raise targets.BadRequestError(f"{name} must be greater than 0")
        return remaining_ms

    def _wait_for_result(self, sink: exchange.Exchange, watch: _CallerWatch) -> exchange.Result:
        """Wait for the result, and abort if the caller disconnects or its body breaks off."""
        timeout_s = _DISCONNECT_CHECK_DELAY_S
        while True:
            try:
                return sink.wait(timeout_s)
            except gevent.Timeout:
                timeout_s = _DISCONNECT_CHECK_INTERVAL_S
            except http_server.CallerBodyError as error:
                raise http_server.AbortResponse(
                    "the caller's request body broke off", _BODY_ERROR_REASON
                ) from error
            if watch.has_left():
                raise _caller_left()

    def _start_stream(
        self,
        sink: exchange.Exchange,
        head: ports.RequestHead,
        committed: exchange.CommittedAnswer,
        started_ms: float,
        watch: _CallerWatch,
    ) -> Iterator[bytes]:
        _set_head(committed.answer.status, committed.answer.forwarded_headers(), head.request)
        return self._stream_answer(sink, head, committed, started_ms, watch)

    def _stream_answer(
        self,
        sink: exchange.Exchange,
        head: ports.RequestHead,
        committed: exchange.CommittedAnswer,
        started_ms: float,
        watch: _CallerWatch,
    ) -> Iterator[bytes]:
        answer = committed.answer
        outcome = answer.outcome(ports.OutcomeKind.CANCELLED)
        try:
            with watch.aborting():
                if answer.prefetched:
                    yield answer.prefetched
                answer.release_buffer()
                yield from answer.iter_remaining()
            outcome = answer.outcome(answer.outcome_kind())
        except upstream.AttemptError as error:
            outcome = error.outcome
            raise http_server.AbortResponse(error.message, error.outcome.kind.value) from error
        finally:
            answer.release_buffer()
            if outcome.kind is ports.OutcomeKind.CANCELLED:
                answer.discard()
            sink.finish_streamed(head.request, committed, outcome)
            self._request_metrics.record_duration(started_ms)

    def _problem_response(self, refusal: ports.Refusal) -> bytes:
        self._request_metrics.count_refusal(refusal.code)
        body = {
            "type": "about:blank",
            "title": http.client.responses.get(refusal.status, "Refused"),
            "status": refusal.status,
            "code": refusal.code,
            "detail": refusal.detail,
            "not_run": refusal.not_run.value,
            "request_id": refusal.request,
        }
        headers = [("Content-Type", "application/problem+json")]
        if refusal.status == 401:
            headers.append(("WWW-Authenticate", self._headers.key_scheme))
        if refusal.retry_after_ms > 0 and math.isfinite(refusal.retry_after_ms):
            headers.append(("Retry-After", self._format_retry_after(refusal.retry_after_ms)))
        return _complete_response(
            refusal.status, headers, json.dumps(body).encode(), refusal.request
        )

    def _format_retry_after(self, retry_after_ms: float) -> str:
        seconds = retry_after_ms / _MS_PER_S
        return f"{seconds:.3f}" if self._headers.fractional_retry_after else str(math.ceil(seconds))


def _passed_on(answer: upstream.Answer) -> Iterator[bytes]:
    """Yield the whole body of an answer, and return its buffer when it was written."""
    try:
        yield answer.prefetched
    finally:
        answer.release_buffer()


def _copied(answer: upstream.Answer, body: bytes) -> bytes:
    """Return the body of a small answer, which the socket's buffer can take."""
    answer.release_buffer()
    return body


def _complete_response(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    request: ids.RequestId,
    *,
    replayed: bool = False,
) -> bytes:
    _set_head(status, headers, request)
    response = bottle.response
    if replayed:
        response.set_header("Idempotent-Replayed", "true")
    bodiless = bottle.request.environ["REQUEST_METHOD"] == "HEAD" or status in (204, 304)
    if not bodiless and "Content-Length" not in response.headers:
        response.set_header("Content-Length", str(len(body)))
    return body


def _set_head(status: int, headers: list[tuple[str, str]], request: ids.RequestId) -> None:
    response = bottle.response
    response.status = f"{status} {http.client.responses.get(status, 'Unknown')}"
    for name, value in headers:
        response.add_header(name, value)
    if "X-Request-Id" not in response.headers:
        response.set_header("X-Request-Id", request)
    if "Content-Type" not in response.headers:
        # Otherwise Bottle adds its own default, which the backend server did not send.
        response.content_type = "application/octet-stream"


def _bad_request(request: ids.RequestId, error: targets.BadRequestError) -> ports.Refusal:
    return ports.Refusal(
        request=request,
        status=400,
        code=error.code,
        detail=error.message,
        not_run=ports.NotRun.TRUE,
    )


def _method_refusal(request: ids.RequestId) -> ports.Refusal:
    return ports.Refusal(
        request=request,
        status=405,
        code="method-not-served",
        detail=f"served methods: {', '.join(sorted(_SERVED_METHODS))}",
        not_run=ports.NotRun.TRUE,
    )


def _caller_disconnected(sock: socket.socket) -> bool:
    if sockets.is_closed_by_peer(sock):
        return True
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        # TLS sockets do not support MSG_PEEK; a disconnect shows when the response is written.
        return not sockets.is_tls(sock)
    finally:
        sock.settimeout(timeout_s)
