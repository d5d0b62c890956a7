"""The callers' port: turns HTTP requests into requests of the core, and verdicts into answers."""

import http.client
import itertools
import json
import math
import socket
import uuid
from collections.abc import Iterator

import bottle
import gevent
import xxhash

from verbenadrum import ids
from verbenadrum.core import engine, ports
from verbenadrum.daemon import exchange, http_server, metrics, sockets, targets, upstream
from verbenadrum.settings import types
from verbenadrum.utils import clock

__all__ = ["CallersPort"]

MAX_REPLAYABLE_BYTES = 65_536
_PIECE_BYTES = 65_536
_MS_PER_S = 1000.0
# A caller chooses its identifier, so that what is logged of it is bounded.
_LOGGED_ID_LENGTH = 64
_WATCH_AFTER_S = 0.05
_WATCH_INTERVAL_S = 0.1
# Reasons for which a caller gets no answer, or no whole one.
_CALLER_LEFT = "caller-left"
_BODY_BROKE_OFF = "body-broke-off"
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class CallersPort:
    """WSGI application of the callers' port.

    Parameters
    ----------
    engine : Engine
        Decision core.
    pools : ConnectionPools
        Connections to backend servers.
    clock : Clock
        Source of time.
    meters : RequestMeters
        Counts of requests.
    headers : HeadersTable
        Names of the headers that carry meaning.
    """

    def __init__(
        self,
        *,
        engine: engine.Engine,
        pools: upstream.ConnectionPools,
        clock: clock.Clock,
        meters: metrics.RequestMeters,
        headers: types.HeadersTable = types.DEFAULT_HEADERS,
    ) -> None:
        self._headers = headers
        self._names = upstream.HeaderNames(
            request_id=headers.request_id,
            deadline_ms=headers.deadline_ms,
            workspace=headers.workspace,
            not_run=headers.not_run,
            draining=headers.draining,
            expected_server=headers.expected_server,
            allow_close_delimited=headers.unframed_answers,
        )
        own = (headers.request_id, headers.deadline_ms, headers.workspace, headers.expected_server)
        self._own_headers = frozenset(targets.environ_name(name) for name in own if name)
        self._id_key = targets.environ_name(headers.request_id)
        self._deadline_key = targets.environ_name(headers.deadline_ms)
        self._engine = engine
        self._pools = pools
        self._clock = clock
        self._meters = meters
        self.application = bottle.Bottle(catchall=False)
        self.application.route("<path:re:.*>", method="ANY", callback=self._answer)

    @property
    def names(self) -> upstream.HeaderNames:
        """Headers that carry meaning between this host and backend servers."""
        return self._names

    def _answer(self, path: str) -> object:
        environ = bottle.request.environ
        request = ids.RequestId(uuid.uuid4().hex)
        started_ms = self._clock.now_ms()
        try:
            head, outgoing = self._read_head(environ, request)
        except targets.BadRequestError as error:
            return self._problem(_bad_request(request, error))
        if head.method not in _METHODS:
            return self._problem(_method_refusal(request))
        joined = exchange.Exchange(
            engine=self._engine,
            pools=self._pools,
            clock=self._clock,
            outgoing=outgoing,
            names=self._names,
        )
        try:
            self._engine.begin(head, joined)
            verdict = self._wait(joined, head, environ)
        except http_server.AbortResponse as error:
            self._engine.abandon(request, error.reason)
            joined.stop_body_reads()
            raise
        except BaseException as error:
            self._engine.abandon(request, type(error).__name__)
            joined.stop_body_reads()
            raise
        if isinstance(verdict, exchange.CommittedAnswer) and not verdict.answer.fully_prefetched:
            return self._stream(joined, head, verdict, started_ms)
        self._meters.ended(started_ms)
        if isinstance(verdict, ports.Refusal):
            joined.stop_body_reads()
            return self._problem(verdict)
        if isinstance(verdict, ports.StoredAnswer):
            return _whole(
                verdict.status, list(verdict.headers), verdict.body, request, replayed=True
            )
        answer = verdict.answer
        return _whole(answer.status, answer.forwarded_headers(), answer.prefetched, request)

    def _read_head(
        self, environ: dict, request: ids.RequestId
    ) -> tuple[ports.RequestHead, upstream.OutgoingRequest]:
        target = targets.parse_target(environ[http_server.TARGET_KEY])
        key = targets.find_key(environ, target, self._headers.key_scheme)
        length, body = self._read_body(environ, request)
        method = environ["REQUEST_METHOD"]
        headers = list(targets.clean_headers(environ, key, self._own_headers))
        if length >= 0 and not isinstance(body, bytes) and body is not None:
            headers.append(("Content-Length", str(length)))
        head = ports.RequestHead(
            request=request,
            method=method,
            host=environ.get("HTTP_HOST", "").rsplit(":", 1)[0].lower(),
            path=target.path,
            query=target.query,
            key=key,
            idempotency_key=ids.IdempotencyKey(environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()),
            deadline_ms=self._deadline_ms(environ),
            body_length=length,
            replayable=body is None or isinstance(body, bytes),
            body_digest=xxhash.xxh3_64_hexdigest(body) if isinstance(body, bytes) else "",
            caller_request=environ.get(self._id_key, "")[:_LOGGED_ID_LENGTH],
        )
        headers.append(("Host", environ.get("HTTP_HOST", "")))
        sent = upstream.OutgoingRequest(
            method=method,
            target=target.forward,
            headers=tuple(headers),
            body=body,
            caller_request_id=(
                environ.get(self._id_key, "") if self._headers.keep_request_id else ""
            ),
        )
        return head, sent

    def _read_body(
        self, environ: dict, request: ids.RequestId
    ) -> tuple[int, bytes | Iterator[bytes] | None]:
        """Return the body's length and the body: whole where it is small, else in pieces."""
        if "HTTP_TRANSFER_ENCODING" in environ:
            return self._read_chunked(environ, request)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length == 0:
            has_length = "CONTENT_LENGTH" in environ
            return 0, b"" if has_length else None
        if length > MAX_REPLAYABLE_BYTES:
            return length, self._pieces(environ, request)
        try:
            body = environ["wsgi.input"].read(length)
        except OSError as error:
            raise http_server.AbortResponse(
                "the caller's body did not come", _BODY_BROKE_OFF
            ) from error
        if len(body) < length:
            raise targets.BadRequestError("the body is shorter than its Content-Length")
        return length, body

    def _read_chunked(
        self, environ: dict, request: ids.RequestId
    ) -> tuple[int, bytes | Iterator[bytes]]:
        """Return a small body whole, so that it can be sent again; pass a larger one on."""
        try:
            start = environ["wsgi.input"].read(MAX_REPLAYABLE_BYTES + 1)
        except http_server.MalformedBodyError:
            # The server answers 400 and closes the connection.
            raise
        except OSError as error:
            raise http_server.AbortResponse(
                "the caller's body did not come", _BODY_BROKE_OFF
            ) from error
        if len(start) <= MAX_REPLAYABLE_BYTES:
            return len(start), start
        return -1, itertools.chain((start,), self._pieces(environ, request))

    def _pieces(self, environ: dict, request: ids.RequestId) -> Iterator[bytes]:
        remaining = int(environ.get("CONTENT_LENGTH") or -1)
        while remaining != 0:
            try:
                piece = environ["wsgi.input"].read(_PIECE_BYTES)
            except OSError as error:
                self._engine.abandon(request, _BODY_BROKE_OFF)
                raise http_server.CallerBodyError(str(error)) from error
            if not piece:
                if remaining > 0:
                    self._engine.abandon(request, _BODY_BROKE_OFF)
                    raise http_server.CallerBodyError("it ended before its length")
                return
            remaining -= len(piece) if remaining > 0 else 0
            yield piece

    def _deadline_ms(self, environ: dict) -> float:
        text = environ.get(self._deadline_key)
        if text is None:
            return math.inf
        name = self._headers.deadline_ms
        try:
            allowed_ms = float(text)
        except ValueError as error:
            raise targets.BadRequestError(f"{name} is no number") from error
        if not allowed_ms > 0:
            raise targets.BadRequestError(f"{name} must be greater than 0")
        return self._clock.now_ms() + allowed_ms

    def _wait(
        self, joined: exchange.Exchange, head: ports.RequestHead, environ: dict
    ) -> exchange.Result:
        """Wait for the verdict, and give the request up if the caller leaves meanwhile."""
        timeout_s = _WATCH_AFTER_S
        watched = head.replayable
        while True:
            try:
                return joined.wait(timeout_s if watched else None)
            except gevent.Timeout:
                timeout_s = _WATCH_INTERVAL_S
            except http_server.CallerBodyError as error:
                raise http_server.AbortResponse(
                    "the caller's body did not come", _BODY_BROKE_OFF
                ) from error
            if _caller_left(environ[http_server.SOCKET_KEY]):
                raise http_server.AbortResponse("the caller left", _CALLER_LEFT)

    def _stream(
        self,
        joined: exchange.Exchange,
        head: ports.RequestHead,
        passed: exchange.CommittedAnswer,
        started_ms: float,
    ) -> Iterator[bytes]:
        _set_head(passed.answer.status, passed.answer.forwarded_headers(), head.request)
        return self._pieces_of_answer(joined, head, passed, started_ms)

    def _pieces_of_answer(
        self,
        joined: exchange.Exchange,
        head: ports.RequestHead,
        passed: exchange.CommittedAnswer,
        started_ms: float,
    ) -> Iterator[bytes]:
        answer = passed.answer
        outcome = answer.outcome(ports.OutcomeKind.CANCELLED)
        try:
            if answer.prefetched:
                yield answer.prefetched
            yield from answer.iter_remaining()
            outcome = answer.outcome(answer.outcome_kind())
        except upstream.AttemptError as error:
            outcome = error.outcome
            raise http_server.AbortResponse(error.message, error.outcome.kind.value) from error
        finally:
            if outcome.kind is ports.OutcomeKind.CANCELLED:
                answer.discard()
            joined.finish_streamed(head.request, passed, outcome)
            self._meters.ended(started_ms)

    def _problem(self, refusal: ports.Refusal) -> bytes:
        self._meters.refused(refusal.code)
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
            headers.append(("Retry-After", self._retry_after(refusal.retry_after_ms)))
        return _whole(refusal.status, headers, json.dumps(body).encode(), refusal.request)

    def _retry_after(self, retry_after_ms: float) -> str:
        seconds = retry_after_ms / _MS_PER_S
        return f"{seconds:.3f}" if self._headers.fractional_retry_after else str(math.ceil(seconds))


def _whole(
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
    if not bodiless:
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
        # Bottle would add one that the backend server did not send.
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
        detail=f"served methods: {', '.join(sorted(_METHODS))}",
        not_run=ports.NotRun.TRUE,
    )


def _caller_left(sock: socket.socket) -> bool:
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        # A TLS socket cannot peek; its end shows when the answer is written.
        return not sockets.is_tls(sock)
    finally:
        sock.settimeout(timeout_s)
