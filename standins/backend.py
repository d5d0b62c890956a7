"""Stand-in for a backend server: a few slots, a queue before them, and settable misbehaviours.

It reads raw HTTP/1.1, since a WSGI server would not let it send broken answers. Query parameters
choose the answer: ``ms`` the service time, ``size`` the body's bytes. A body's first line is the
caller's ``X-Nonce``, and ``/echo`` adds the request headers received. Begin and end of each run are
printed to standard output, so that they are known even after a crash. Control paths:
``/control/faults`` (a list of `behaviours.Fault`) and ``/control/runs``.
"""

import collections
import enum
import http.server
import os
import random
import socket
import time
import urllib.parse
from collections.abc import Iterator

import gevent
import msgspec
import xxhash
from absl import app, flags
from gevent import lock, select, server

from standins import behaviours, serving

__all__ = ["Backend", "Run", "RunCounts", "RunEnd", "RunOutcome"]

_PORT = flags.DEFINE_integer("backend_port", 0, "Port to listen on; 0 for any free one.")
_NAME = flags.DEFINE_string("server_name", "s1", "Identifier of this backend server.")
_SLOTS = flags.DEFINE_integer("slots", 3, "Requests that run at a time.")
_SERVICE_MS = flags.DEFINE_float("service_ms", 5.0, "Usual service time in milliseconds.")
_SEED = flags.DEFINE_integer("backend_seed", 1, "Seed of the random numbers.")

_BLOCK_BYTES = 65_536
_DEFAULT_SIZE = 256
_POLL_S = 0.05
_MAX_WORK_S = 60.0
SECRET_MARK = "secret-"
_CRASH_EXIT_CODE = 70


class RunOutcome(enum.Enum):
    """How a run ended."""

    ANSWERED = "answered"
    CALLER_LEFT = "caller left"
    DEADLINE = "deadline"
    CUT = "cut"


class Run(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A run that has begun; ``secret`` says whether a caller's key came with it."""

    server: str
    request: str
    key: str
    workspace: str
    at_ms: float
    secret: bool = False


class RunEnd(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A run that has ended; its answer, if any, is with the operating system."""

    server: str
    request: str
    at_ms: float
    outcome: RunOutcome


class RunCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Runs begun, by request identifier and by idempotency key."""

    by_request: dict[str, int]
    by_key: dict[str, int]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Identifier and body of an answer."""

    request: str
    prefix: bytes
    size: int

    def blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks."""
        yield self.prefix
        left = self.size - len(self.prefix)
        block = b"." * _BLOCK_BYTES
        while left > 0:
            yield block[:left]
            left -= _BLOCK_BYTES

    def checksum(self) -> str:
        """Return the checksum of the whole body."""
        digest = xxhash.xxh3_64()
        for block in self.blocks():
            digest.update(block)
        return digest.hexdigest()


class Backend:
    """State that the connections of one backend server share."""

    def __init__(self, *, name: str, slots: int, service_ms: float, seed: int) -> None:
        self.name = name
        self.slots = lock.BoundedSemaphore(slots)
        self.last = Answer(request="nobody", prefix=b"nobody\n", size=_DEFAULT_SIZE)
        self._service_ms = service_ms
        self._rng = random.Random(seed)
        self._faults: dict[behaviours.Fault, float] = {}
        self._by_request: collections.Counter[str] = collections.Counter()
        self._by_key: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> RunCounts:
        """Runs begun so far."""
        return RunCounts(by_request=self._by_request, by_key=self._by_key)

    def set_faults(self, faults: list[behaviours.Fault]) -> None:
        """Put faults in force, in place of all earlier ones."""
        for fault in faults:
            behaviours.behaviours.get(fault.name)
        self._faults = dict.fromkeys(faults, _now_ms())

    def plan(self, target: str, service_ms: float | None) -> behaviours.Plan:
        """Return how a call will be answered."""
        return behaviours.make_plan(
            behaviours.Call(target=target),
            self._faults,
            service_ms=self._service_ms if service_ms is None else service_ms,
            now_ms=_now_ms(),
            rng=self._rng,
        )

    def begin_run(self, run: Run) -> None:
        """Count and print a run."""
        self._by_request[run.request] += 1
        if run.key:
            self._by_key[f"{run.workspace}/{run.key}"] += 1
        print(msgspec.json.encode(run).decode(), flush=True)

    def end_run(self, request: str, outcome: RunOutcome) -> None:
        """Print the end of a run."""
        end = RunEnd(server=self.name, request=request, at_ms=time.time() * 1000.0, outcome=outcome)
        print(msgspec.json.encode(end).decode(), flush=True)


class Connection(http.server.BaseHTTPRequestHandler):
    """One caller's connection; ``server`` is the `Backend`."""

    protocol_version = "HTTP/1.1"
    wbufsize = 0
    disable_nagle_algorithm = True

    def __getattr__(self, name: str):
        """Serve every method alike."""
        if name.startswith("do_"):
            return self._serve
        raise AttributeError(name)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def _serve(self) -> None:
        if self.path.startswith("/control/"):
            self._control()
            return
        body_checksum = self._checksum_body()
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        service_ms = float(query["ms"][0]) if "ms" in query else None
        plan = self.server.plan(self.path, service_ms)
        deadline = time.monotonic() + float(self.headers.get("X-Deadline-Ms", 60_000)) / 1000.0
        queue_s = max(0.0, deadline - time.monotonic())
        if not plan.run or not self.server.slots.acquire(timeout=queue_s):
            self._send_status(503, not_run=True)
            return
        try:
            self._run(plan, query, deadline, body_checksum)
        finally:
            self.server.slots.release()

    def _run(self, plan: behaviours.Plan, query: dict, deadline: float, body: str) -> None:
        run = Run(
            server=self.server.name,
            request=self.headers.get("X-Request-Id", ""),
            key=self.headers.get("Idempotency-Key", ""),
            workspace=self.headers.get("X-Workspace", ""),
            at_ms=time.time() * 1000.0,
            secret=SECRET_MARK in f"{self.path} {self.headers}",
        )
        if behaviours.Call(target=self.path).is_probe:
            self._finish_run(plan, run, query, deadline, body)
            return
        self.server.begin_run(run)
        outcome = RunOutcome.CUT
        try:
            outcome = self._finish_run(plan, run, query, deadline, body)
        finally:
            self.server.end_run(run.request, outcome)

    def _finish_run(
        self, plan: behaviours.Plan, run: Run, query: dict, deadline: float, body: str
    ) -> RunOutcome:
        """Work, and answer as planned."""
        if plan.crash:
            os._exit(_CRASH_EXIT_CODE)
        outcome = self._work(plan.service_ms, deadline)
        if outcome is not RunOutcome.ANSWERED:
            return outcome
        if plan.status != 200:
            self._send_status(plan.status, not_run=False)
        else:
            self._send_answer(plan, self._make_answer(run.request, query), body)
        return outcome

    def _make_answer(self, request: str, query: dict) -> Answer:
        prefix = f"{self.headers.get('X-Nonce', self.path)}\n".encode()
        if self.path.startswith("/echo"):
            prefix += msgspec.json.encode(self.headers.items())
        size = int(query.get("size", [_DEFAULT_SIZE])[0])
        return Answer(request=request, prefix=prefix, size=max(size, len(prefix)))

    def _work(self, service_ms: float, deadline: float) -> RunOutcome:
        """Work until done, or until the caller leaves or the deadline passes."""
        end = time.monotonic() + min(service_ms / 1000.0, _MAX_WORK_S)
        while (now := time.monotonic()) < end:
            if now >= deadline:
                self._send_status(504, not_run=False)
                return RunOutcome.DEADLINE
            if self._caller_left(min(end, deadline) - now):
                self.close_connection = True
                return RunOutcome.CALLER_LEFT
        return RunOutcome.ANSWERED

    def _caller_left(self, wait_s: float) -> bool:
        readable, _, _ = select.select([self.connection], [], [], min(wait_s, _POLL_S))
        if not readable:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def _send_answer(self, plan: behaviours.Plan, answer: Answer, body_checksum: str) -> None:
        sent = self.server.last if plan.crossed else answer
        self.server.last = answer
        cut = plan.truncation is not behaviours.Truncation.NONE
        chunked = plan.truncation is behaviours.Truncation.CHUNKED
        self.send_response(200)
        self.send_header("X-Request-Id", sent.request)
        self.send_header("X-Checksum", sent.checksum())
        self.send_header("X-Body-Checksum", body_checksum)
        self.send_header("X-Server", self.server.name)
        if plan.draining:
            self.send_header("X-Draining", "true")
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Content-Length", str(sent.size))
        self.end_headers()
        if self.command == "HEAD":
            return
        if chunked:
            self.wfile.write(b"%x\r\n" % sent.size)
        for block in sent.blocks():
            self.wfile.write(block[: len(block) // 2] if cut else block)
            if cut:
                break
        self.close_connection = self.close_connection or cut

    def _send_status(self, status: int, *, not_run: bool) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("Content-Length", "0")
        if not_run:
            self.send_header("X-Not-Run", "true")
        self.end_headers()

    def _blocks(self) -> Iterator[bytes]:
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            return self._chunks()
        return self._sized_blocks()

    def _checksum_body(self) -> str:
        digest = xxhash.xxh3_64()
        for block in self._blocks():
            digest.update(block)
        return digest.hexdigest()

    def _sized_blocks(self) -> Iterator[bytes]:
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            block = self.rfile.read(min(left, _BLOCK_BYTES))
            if not block:
                raise ConnectionResetError
            left -= len(block)
            yield block

    def _chunks(self) -> Iterator[bytes]:
        while size := int(self.rfile.readline().split(b";")[0], 16):
            yield self.rfile.read(size)
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass

    def _control(self) -> None:
        if self.path == "/control/faults" and self.command == "POST":
            faults = msgspec.json.decode(b"".join(self._blocks()), type=list[behaviours.Fault])
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
    """Start serving a backend server, and return its listener."""

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
    """Serve until the process is ended."""
    del argv
    backend = Backend(
        name=_NAME.value, slots=_SLOTS.value, service_ms=_SERVICE_MS.value, seed=_SEED.value
    )
    listener = serve(backend, _PORT.value)
    serving.announce(listener.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
