"""Stand-in for a backend server: a few slots, a queue of requests, and injectable faults.

It handles HTTP/1.1 without a WSGI server, which would not let it send malformed answers. Two query
parameters choose the answer: ``ms`` is the service time in milliseconds, ``size`` the length of the
body in bytes. With ``pieces`` the body is sent in so many parts, each after a pause of ``pause``
milliseconds, and with ``chunked=1`` it is sent in chunks. The first line of a body is the caller's
``X-Nonce`` header, or the path without one; ``/echo`` adds the headers of the request as JSON. The
start and the end of each run are printed to standard output as JSON lines, so that they survive a
crash of the process. A run is one execution of a request that is no health probe. A request that
gets no slot before its deadline, which is 60 s after its arrival without an ``X-Deadline-Ms``
header, is refused with 503 as not run.

A POST to ``/control/faults`` replaces the faults (a list of `behaviours.Fault`). A GET of
``/control/runs`` returns the `RunCounts`.
"""

import collections
import enum
import http.server
import os
import random
import socket
import time
import urllib.parse
from collections.abc import Iterable, Iterator

import gevent
import msgspec
import xxhash
from absl import app, flags
from gevent import lock, select, server

from standins import behaviours, serving
from verbenadrum.daemon import sockets

__all__ = ["Backend", "Run", "RunCounts", "RunEnd", "RunOutcome"]

_PORT = flags.DEFINE_integer("backend_port", 0, "Port to listen on; 0 for any free port.")
_NAME = flags.DEFINE_string("server_name", "s1", "Identifier of this backend server.")
_SLOTS = flags.DEFINE_integer("slots", 3, "Requests that run at the same time.")
_SERVICE_MS = flags.DEFINE_float("service_ms", 5.0, "Default service time in milliseconds.")
_SEED = flags.DEFINE_integer("backend_seed", 1, "Seed of the random number generator.")

_BLOCK_BYTES = 65_536
_DEFAULT_BODY_BYTES = 256
_DISCONNECT_POLL_S = 0.05
_MAX_SERVICE_S = 60.0
# Every caller's key in the tests starts with this; a backend server must never receive one.
SECRET_MARKER = "secret-"
_CRASH_EXIT_CODE = 70


class RunOutcome(enum.Enum):
    """How a run ended.

    ``ANSWERED``: its answer was written, be it an error. ``CALLER_LEFT``: the connection was closed
    during the service time. ``DEADLINE``: the service time exceeded the deadline, and the answer
    was 504. ``CUT``: the connection failed before the answer was written.
    """

    ANSWERED = "answered"
    CALLER_DISCONNECTED = "caller left"
    DEADLINE = "deadline"
    CUT = "cut"


class Run(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Start of a run, as printed to standard output.

    Attributes
    ----------
    server : str
        Identifier of the backend server.
    request, key, workspace : str
        Request identifier, idempotency key and workspace from the request's headers; empty where
        the header is missing.
    at_ms : float
        Time of the start, in milliseconds since the Unix epoch.
    secret : bool
        Whether the path or a header contained a caller's key.
    """

    server: str
    request: str
    key: str
    workspace: str
    at_ms: float
    secret: bool = False


class RunEnd(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """End of a run, as printed to standard output.

    ``at_ms`` is in milliseconds since the Unix epoch. An answer, if there is one, has been
    handed to the operating system by then; it may not have reached the host yet. ``faulty`` says
    that its head contradicted itself, so that it cannot be passed on.
    """

    server: str
    request: str
    at_ms: float
    outcome: RunOutcome
    faulty: bool = False


class RunCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Number of runs started, by request identifier and by ``WORKSPACE/IDEMPOTENCY_KEY``."""

    by_request: dict[str, int]
    by_key: dict[str, int]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Successful answer: its request identifier and its body.

    The body starts with ``prefix`` and is filled up with dots to ``body_bytes`` bytes.
    """

    request: str
    prefix: bytes
    body_bytes: int

    def blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks, so that a large body is never held in memory."""
        yield self.prefix
        remaining_bytes = self.body_bytes - len(self.prefix)
        block = b"." * _BLOCK_BYTES
        while remaining_bytes > 0:
            yield block[:remaining_bytes]
            remaining_bytes -= _BLOCK_BYTES

    def pieces(self, count: int) -> Iterator[bytes]:
        """Yield the body in at most ``count`` pieces of about the same length."""
        body = b"".join(self.blocks())
        size = max(1, -(-len(body) // count))
        for start in range(0, len(body), size):
            yield body[start : start + size]

    def checksum(self) -> str:
        """Return the XXH3 64-bit checksum of the whole body, in hexadecimal."""
        digest = xxhash.xxh3_64()
        for block in self.blocks():
            digest.update(block)
        return digest.hexdigest()


class _Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """How a body is sent: in chunks or with a length, and in pieces with pauses before them."""

    chunked: bool
    pieces: int
    pause_s: float

    @classmethod
    def from_query(cls, query: dict[str, list[str]]) -> "_Delivery":
        """Return what the query of a request asks for."""
        return cls(
            chunked=query.get("chunked") == ["1"],
            pieces=int(query.get("pieces", ["0"])[0]),
            pause_s=float(query.get("pause", ["0"])[0]) / 1000.0,
        )


class Backend:
    """State that all connections of one backend server share.

    Parameters
    ----------
    name : str
        Identifier of the backend server.
    slots : int
        Number of requests that run at the same time.
    service_ms : float
        Default service time in milliseconds.
    seed : int
        Seed of the random choice of the requests that a fault affects.

    Attributes
    ----------
    last_answer : Answer
        Newest answer; the fault ``cross`` sends it to the next request.
    """

    def __init__(self, *, name: str, slots: int, service_ms: float, seed: int) -> None:
        self.name = name
        self.slots = lock.BoundedSemaphore(slots)
        self.last_answer = Answer(
            request="nobody", prefix=b"nobody\n", body_bytes=_DEFAULT_BODY_BYTES
        )
        self._service_ms = service_ms
        self._rng = random.Random(seed)
        self._faults: dict[behaviours.Fault, float] = {}
        self._by_request: collections.Counter[str] = collections.Counter()
        self._by_key: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> RunCounts:
        """Number of runs started so far."""
        return RunCounts(by_request=self._by_request, by_key=self._by_key)

    def set_faults(self, faults: list[behaviours.Fault]) -> None:
        """Replace all faults.

        Raises
        ------
        UnknownNameError
            If no behaviour is registered under the name of a fault.
        """
        for fault in faults:
            behaviours.behaviours.get(fault.name)
        self._faults = dict.fromkeys(faults, _now_ms())

    def plan(self, target: str, service_ms: float | None) -> behaviours.Plan:
        """Return how a request is to be answered under the current faults.

        Parameters
        ----------
        target : str
            Path and query.
        service_ms : float or None
            Requested service time in milliseconds; None for the default.
        """
        return behaviours.make_plan(
            behaviours.Call(target=target),
            self._faults,
            service_ms=self._service_ms if service_ms is None else service_ms,
            now_ms=_now_ms(),
            rng=self._rng,
        )

    def begin_run(self, run: Run) -> None:
        """Count a run and print its start."""
        self._by_request[run.request] += 1
        if run.key:
            self._by_key[f"{run.workspace}/{run.key}"] += 1
        print(msgspec.json.encode(run).decode(), flush=True)

    def end_run(self, request: str, outcome: RunOutcome, *, faulty: bool) -> None:
        """Print the end of a run."""
        end = RunEnd(
            server=self.name,
            request=request,
            at_ms=time.time() * 1000.0,
            outcome=outcome,
            faulty=faulty,
        )
        print(msgspec.json.encode(end).decode(), flush=True)


class Connection(http.server.BaseHTTPRequestHandler):
    """Connection to a backend server; the attribute ``server`` is the `Backend`."""

    protocol_version = "HTTP/1.1"
    wbufsize = 0
    disable_nagle_algorithm = True

    def __getattr__(self, name: str):
        """Return the same handler for every HTTP method."""
        if name.startswith("do_"):
            return self._serve
        raise AttributeError(name)

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the access log of the base class, which would go to standard error."""

    def _serve(self) -> None:
        if self.path.startswith("/control/"):
            self._serve_control()
            return
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        service_ms = float(query["ms"][0]) if "ms" in query else None
        plan = self.server.plan(self.path, service_ms)
        if plan.reset_after_ms is not None:
            self._answer_early_and_reset(plan.reset_after_ms, query)
            return
        body_checksum = self._checksum_body()
        deadline_s = time.monotonic() + float(self.headers.get("X-Deadline-Ms", 60_000)) / 1000.0
        queue_s = max(0.0, deadline_s - time.monotonic())
        if not plan.run or not self.server.slots.acquire(timeout=queue_s):
            self._send_status(503, not_run=True, rest_ms=plan.rest_ms)
            return
        try:
            self._handle_run(plan, query, deadline_s, body_checksum)
        finally:
            self.server.slots.release()

    def _handle_run(
        self, plan: behaviours.Plan, query: dict, deadline_s: float, body_checksum: str
    ) -> None:
        run = self._make_run()
        if behaviours.Call(target=self.path).is_probe:
            self._execute_plan(plan, run, query, deadline_s, body_checksum)
            return
        self.server.begin_run(run)
        outcome = RunOutcome.CUT
        try:
            outcome = self._execute_plan(plan, run, query, deadline_s, body_checksum)
        finally:
            self.server.end_run(run.request, outcome, faulty=bool(plan.framing))

    def _make_run(self) -> Run:
        return Run(
            server=self.server.name,
            request=self.headers.get("X-Request-Id", ""),
            key=self.headers.get("Idempotency-Key", ""),
            workspace=self.headers.get("X-Workspace", ""),
            at_ms=time.time() * 1000.0,
            secret=SECRET_MARKER in f"{self.path} {self.headers}",
        )

    def _answer_early_and_reset(self, delay_ms: float, query: dict) -> None:
        """Send a part of an answer without a length, and reset the connection after a while."""
        run = self._make_run()
        self.server.begin_run(run)
        answer = self._build_answer(run.request, query)
        self.send_response(200)
        self.send_header("X-Request-Id", run.request)
        self.send_header("X-Checksum", answer.checksum())
        self.send_header("X-Body-Checksum", xxhash.xxh3_64_hexdigest(b""))
        self.end_headers()
        self.wfile.write(next(iter(answer.blocks()))[:-1])
        gevent.sleep(delay_ms / 1000.0)
        sockets.reset(self.connection)
        self.close_connection = True
        self.server.end_run(run.request, RunOutcome.CUT, faulty=True)

    def _execute_plan(
        self, plan: behaviours.Plan, run: Run, query: dict, deadline_s: float, body_checksum: str
    ) -> RunOutcome:
        """Wait for the service time and send the answer of the plan; return how the run ended."""
        if plan.crash:
            os._exit(_CRASH_EXIT_CODE)
        if plan.interim:
            self.wfile.write(b"HTTP/1.1 103 Early Hints\r\nX-Server: hint\r\n\r\n")
        outcome = self._simulate_work(plan.service_ms, deadline_s)
        if outcome is not RunOutcome.ANSWERED:
            return outcome
        if plan.status != 200:
            self._send_status(plan.status, not_run=False)
        else:
            self._send_answer(plan, self._build_answer(run.request, query), body_checksum, query)
        return outcome

    def _build_answer(self, request: str, query: dict) -> Answer:
        prefix = f"{self.headers.get('X-Nonce', self.path)}\n".encode()
        if self.path.startswith("/echo"):
            prefix += msgspec.json.encode(self.headers.items())
        size = int(query.get("size", [_DEFAULT_BODY_BYTES])[0])
        return Answer(request=request, prefix=prefix, body_bytes=max(size, len(prefix)))

    def _simulate_work(self, service_ms: float, deadline_s: float) -> RunOutcome:
        """Wait for the service time, or until the caller disconnects or the deadline passes."""
        end_s = time.monotonic() + min(service_ms / 1000.0, _MAX_SERVICE_S)
        while (now := time.monotonic()) < end_s:
            if now >= deadline_s:
                self._send_status(504, not_run=False)
                return RunOutcome.DEADLINE
            if self._caller_disconnected(min(end_s, deadline_s) - now):
                self.close_connection = True
                return RunOutcome.CALLER_DISCONNECTED
        return RunOutcome.ANSWERED

    def _caller_disconnected(self, wait_s: float) -> bool:
        readable, _, _ = select.select([self.connection], [], [], min(wait_s, _DISCONNECT_POLL_S))
        if not readable:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def _send_answer(
        self, plan: behaviours.Plan, answer: Answer, body_checksum: str, query: dict
    ) -> None:
        answer_to_send = self.server.last_answer if plan.crossed else answer
        self.server.last_answer = answer
        cut = plan.truncation is not behaviours.Truncation.NONE
        fields = behaviours.FRAMINGS.get(plan.framing, ())
        delivery = _Delivery.from_query(query)
        chunked = plan.truncation is behaviours.Truncation.CHUNKED or (
            delivery.chunked and not cut and not fields
        )
        self._send_status_line(plan)
        self.send_header("X-Request-Id", answer_to_send.request)
        self.send_header("X-Checksum", answer_to_send.checksum())
        self.send_header("X-Body-Checksum", body_checksum)
        self.send_header("X-Server", self.server.name)
        if plan.draining:
            self.send_header("X-Draining", "true")
        if plan.limit_per_s is not None:
            self.send_header("X-Rate-Limit", f"{plan.limit_per_s:g}")
        for field in fields:
            name, _, value = field.partition(": ")
            self.send_header(name, value.replace("%d", str(answer_to_send.body_bytes)))
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        elif not fields:
            self.send_header("Content-Length", str(answer_to_send.body_bytes))
        self.end_headers()
        if self.command == "HEAD":
            return
        if any("chunked" in field for field in fields):
            self._write_chunks(answer_to_send.blocks())
            return
        if not cut and (chunked or delivery.pieces):
            self._write_pieces(answer_to_send, delivery, chunked=chunked)
            return
        if chunked:
            self.wfile.write(b"%x\r\n" % answer_to_send.body_bytes)
        for block in answer_to_send.blocks():
            self.wfile.write(block[: len(block) // 2] if cut else block)
            if cut:
                break
        self.close_connection = self.close_connection or cut

    def _send_status_line(self, plan: behaviours.Plan) -> None:
        line = behaviours.STATUS_LINES.get(plan.framing)
        if line is None:
            self.send_response(200)
        else:
            self.wfile.write(f"{line}\r\n".encode())

    def _write_pieces(self, answer: Answer, delivery: _Delivery, *, chunked: bool) -> None:
        pieces = answer.pieces(delivery.pieces) if delivery.pieces else answer.blocks()
        pieces = self._paused(pieces, delivery.pause_s)
        if chunked:
            self._write_chunks(pieces)
            return
        for piece in pieces:
            self.wfile.write(piece)

    def _paused(self, pieces: Iterable[bytes], pause_s: float) -> Iterator[bytes]:
        """Yield the pieces, each after a pause that the caller's leaving ends."""
        for piece in pieces:
            end_s = time.monotonic() + pause_s
            while (left_s := end_s - time.monotonic()) > 0:
                if self._caller_disconnected(left_s):
                    raise ConnectionResetError
            yield piece

    def _write_chunks(self, blocks: Iterable[bytes]) -> None:
        for block in blocks:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(block), block))
        self.wfile.write(b"0\r\n\r\n")

    def _send_status(self, status: int, *, not_run: bool, rest_ms: float = 0.0) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("Content-Length", "0")
        if not_run:
            self.send_header("X-Not-Run", "true")
        if rest_ms:
            self.send_header("Retry-After", f"{rest_ms / 1000.0:g}")
        self.end_headers()

    def _read_blocks(self) -> Iterator[bytes]:
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            return self._read_chunks()
        return self._read_sized_blocks()

    def _checksum_body(self) -> str:
        digest = xxhash.xxh3_64()
        for block in self._read_blocks():
            digest.update(block)
        return digest.hexdigest()

    def _read_sized_blocks(self) -> Iterator[bytes]:
        remaining_bytes = int(self.headers.get("Content-Length", 0))
        while remaining_bytes > 0:
            block = self.rfile.read(min(remaining_bytes, _BLOCK_BYTES))
            if not block:
                raise ConnectionResetError
            remaining_bytes -= len(block)
            yield block

    def _read_chunks(self) -> Iterator[bytes]:
        while size := int(self.rfile.readline().split(b";")[0], 16):
            yield self.rfile.read(size)
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass

    def _serve_control(self) -> None:
        if self.path == "/control/faults" and self.command == "POST":
            faults = msgspec.json.decode(b"".join(self._read_blocks()), type=list[behaviours.Fault])
            self.server.set_faults(faults)
            answer: object = faults
        else:
            answer = self.server.counts
        content = msgspec.json.encode(answer)
        self.send_response(200)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


def _now_ms() -> float:
    return time.monotonic() * 1000.0


def serve(backend: Backend, port: int) -> server.StreamServer:
    """Start a listener for a backend server on loopback, and return it.

    Parameters
    ----------
    backend : Backend
        State of the server.
    port : int
        Port to listen on; 0 for any free port.
    """

    def handle(connection: socket.socket, address: tuple) -> None:
        try:
            Connection(connection, address, backend)
        except OSError:
            pass
        finally:
            connection.close()

    listener = server.StreamServer((serving.LOOPBACK, port), handle)
    listener.start()
    return listener


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    del argv
    backend = Backend(
        name=_NAME.value, slots=_SLOTS.value, service_ms=_SERVICE_MS.value, seed=_SEED.value
    )
    listener = serve(backend, _PORT.value)
    serving.announce(listener.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
