"""Load generator: sends requests at a fixed rate and checks that each answer is whole.

The rate does not depend on the answers (an open loop). An answer is whole if its checksum is right
and its body belongs to the request. ``python -m standins.caller_command --targets 127.0.0.1:8080
--keys KEY`` prints a report; tests use `LoadRun`, in a program that has patched sockets for gevent
before.
"""

import enum
import itertools
import random
import time
import uuid
from collections.abc import Callable

import gevent
import msgspec
import urllib3
import xxhash
from gevent import event
from gevent import pool as gevent_pool
from hdrh import histogram

from verbenadrum.claims import keys as claim_keys

__all__ = ["Load", "LoadRun", "Row", "Verdict", "summary"]

_MAX_CONNECTIONS_PER_TARGET = 256
_MAX_IN_FLIGHT = 2_000
_REQUEST_TIMEOUT_S = 15.0
_MAX_LATENCY_US = 60_000_000
_MAX_SENDS = 8
_RESEND_PAUSE_S = 0.3


class Verdict(enum.Enum):
    """Outcome of one request at its caller.

    A ``WHOLE`` answer is a complete answer to the request, and a ``BROKEN`` one looks like a
    success but has a wrong checksum or the body of another request. An answer with a status of 400
    or more is ``REFUSED``. ``CUT`` is a failure of the connection after it was opened. ``TIMEOUT``
    is a wait of more than `_REQUEST_TIMEOUT_S` for the connection or for data, and ``UNREACHABLE``
    means that no target accepted a connection.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Stream of requests at a fixed rate.

    Attributes
    ----------
    name : str
        Name in reports.
    targets : tuple of str
        ``ip:port`` of the hosts' listeners for callers, used in turn.
    keys : tuple of str
        Keys of callers, used in turn; empty to send none.
    rate_per_s, duration_ms : float
        Requests per second, and the duration in milliseconds.
    method, path : str
        Method, and path with an optional query.
    size, body_bytes : int
        Length in bytes of the answer's and of the request's body.
    service_ms : float
        Service time in milliseconds that the backend server is to take; 0 for its default.
    keyed : bool
        Whether each request carries an idempotency key.
    resend : bool
        Whether a request without a whole answer is sent again, through the next target.
    one_connection : bool
        Whether all requests to a target share one connection.
    """

    name: str
    targets: tuple[str, ...]
    keys: tuple[str, ...]
    rate_per_s: float
    duration_ms: float
    method: str = "GET"
    path: str = "/"
    size: int = 256
    body_bytes: int = 0
    service_ms: float = 0.0
    keyed: bool = False
    resend: bool = False
    one_connection: bool = False


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Result of sending one request once.

    Attributes
    ----------
    number : int
        Position of the request in its load, from 0; the resends of a request share it.
    verdict : Verdict
        Outcome.
    started_ms : float
        Time of the start, in milliseconds since the Unix epoch.
    latency_ms : float
        Milliseconds from the start to the end of the answer.
    target : str
        ``ip:port`` of the host.
    status : int
        Status code of the answer; 0 without one.
    code, not_run : str
        Code of a refusal, and whether it states that nothing ran (``true``, ``false`` or
        ``unknown``); empty without a refusal.
    request : str
        Request identifier of the answer.
    key : str
        Idempotency key of the request.
    server : str
        Backend server that sent the answer.
    connections : int
        Number of connections opened to the target so far.
    """

    number: int
    verdict: Verdict
    started_ms: float
    latency_ms: float
    target: str = ""
    status: int = 0
    code: str = ""
    not_run: str = ""
    request: str = ""
    key: str = ""
    server: str = ""
    connections: int = 0


class _RefusalBody(msgspec.Struct):
    """Fields that are read from the body of a refusal."""

    code: str = ""
    not_run: bool | str = ""


class LoadRun:
    """Sends one load and records a row for each request sent.

    Parameters
    ----------
    load : Load
        Requests to send.
    avoided : callable
        Returns the targets to which the load balancer before the hosts sends no new requests.

    Attributes
    ----------
    rows : list of Row
        Results so far.
    done : gevent.event.Event
        Set when the last answer has arrived.
    """

    def __init__(self, *, load: Load, avoided: Callable[[], set[str]] = set) -> None:
        self.load = load
        self.rows: list[Row] = []
        self.done = event.Event()
        self._get_avoided_targets = avoided
        self._target_numbers = itertools.count()
        self._rng = random.SystemRandom()
        size = 1 if load.one_connection else _MAX_CONNECTIONS_PER_TARGET
        self._pools = {
            target: urllib3.HTTPConnectionPool(
                *target.split(":"), maxsize=size, block=load.one_connection, retries=False
            )
            for target in load.targets
        }

    @property
    def connections(self) -> int:
        """Number of connections opened so far."""
        return sum(pool.num_connections for pool in self._pools.values())

    def run(self) -> None:
        """Send all requests of the load, and return after the last answer."""
        count = int(self.load.rate_per_s * self.load.duration_ms / 1000.0)
        start_s = time.monotonic()
        workers = gevent_pool.Pool(_MAX_IN_FLIGHT)
        for number in range(count):
            due_s = start_s + number / self.load.rate_per_s
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            workers.spawn(self._send_until_whole, number)
        workers.join()
        self.done.set()

    def _send_until_whole(self, number: int) -> None:
        key = claim_keys.new_key(time.time() * 1000.0, self._rng) if self.load.keyed else ""
        # A resend repeats the request unchanged, nonce included: its idempotency key stands for the
        # same work, and a replayed answer carries the nonce of the first request.
        nonce = uuid.uuid4().hex
        max_sends = _MAX_SENDS if self.load.resend else 1
        for _ in range(max_sends):
            row = self._send(number, key, nonce)
            self.rows.append(row)
            if row.verdict is Verdict.WHOLE:
                return
            gevent.sleep(_RESEND_PAUSE_S if max_sends > 1 else 0)

    def _send(self, number: int, key: str, nonce: str) -> Row:
        headers = self._build_headers(number, key) | {"X-Nonce": nonce}
        started_ms = time.time() * 1000.0
        start_s = time.monotonic()
        row = Row(number=number, verdict=Verdict.UNREACHABLE, started_ms=started_ms, latency_ms=0)
        for _ in self.load.targets:
            target = self._next_target()
            row = msgspec.structs.replace(row, target=target, key=key)
            try:
                row = self._exchange(row, nonce, headers)
                break
            except urllib3.exceptions.NewConnectionError:
                continue
            except urllib3.exceptions.TimeoutError:
                row = msgspec.structs.replace(row, verdict=Verdict.TIMEOUT)
                break
            except (urllib3.exceptions.HTTPError, OSError):
                row = msgspec.structs.replace(row, verdict=Verdict.CUT)
                break
        return msgspec.structs.replace(row, latency_ms=(time.monotonic() - start_s) * 1000.0)

    def _exchange(self, row: Row, nonce: str, headers: dict[str, str]) -> Row:
        answer = self._pools[row.target].request(
            self.load.method,
            self._build_path(),
            headers=headers,
            body=b"x" * self.load.body_bytes if self.load.body_bytes else None,
            timeout=_REQUEST_TIMEOUT_S,
            redirect=False,
            preload_content=False,
        )
        try:
            verdict, first_block = _read_answer(answer, nonce)
        finally:
            answer.release_conn()
        refusal = _parse_refusal(first_block) if verdict is Verdict.REFUSED else _RefusalBody()
        return msgspec.structs.replace(
            row,
            verdict=verdict,
            status=answer.status,
            code=refusal.code,
            not_run=str(refusal.not_run).lower(),
            request=answer.headers.get("X-Request-Id", ""),
            server=answer.headers.get("X-Server", ""),
            connections=self._pools[row.target].num_connections,
        )

    def _next_target(self) -> str:
        avoided = self._get_avoided_targets()
        targets = [each for each in self.load.targets if each not in avoided] or self.load.targets
        return targets[next(self._target_numbers) % len(targets)]

    def _build_path(self) -> str:
        separator = "&" if "?" in self.load.path else "?"
        path = f"{self.load.path}{separator}size={self.load.size}"
        return f"{path}&ms={self.load.service_ms:g}" if self.load.service_ms else path

    def _build_headers(self, number: int, key: str) -> dict[str, str]:
        headers = {"Idempotency-Key": key} if key else {}
        if self.load.keys:
            secret = self.load.keys[number % len(self.load.keys)]
            headers["Authorization"] = f"Bearer {secret}"
        return headers


def _read_answer(answer: urllib3.BaseHTTPResponse, nonce: str) -> tuple[Verdict, bytes]:
    digest = xxhash.xxh3_64()
    first_block = b""
    for block in answer.stream(65_536, decode_content=False):
        digest.update(block)
        first_block = first_block or block
    if answer.status >= 400:
        return Verdict.REFUSED, first_block
    nonce_matches = first_block.partition(b"\n")[0].decode(errors="replace") == nonce
    checksum_matches = answer.headers.get("X-Checksum") == digest.hexdigest()
    return (Verdict.WHOLE if nonce_matches and checksum_matches else Verdict.BROKEN), first_block


def _parse_refusal(body: bytes) -> _RefusalBody:
    try:
        return msgspec.json.decode(body, type=_RefusalBody)
    except msgspec.MsgspecError:
        return _RefusalBody()


def summary(rows: list[Row]) -> str:
    """Return a table of the rows by verdict, status, code and not-run, and the latencies.

    The latencies are percentiles in milliseconds over the whole answers.

    Examples
    --------
    >>> print(summary([Row(number=0, verdict=Verdict.WHOLE, started_ms=0, latency_ms=2.0,
    ...     status=200)]))
        1  whole 200
    whole answers: p50 2.0 ms, p99 2.0 ms, max 2.0 ms
    """
    counts: dict[str, int] = {}
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
    for row in rows:
        parts = [row.verdict.value, str(row.status or ""), row.code]
        parts.append(f"not_run={row.not_run}" if row.not_run else "")
        label = " ".join(filter(None, parts))
        counts[label] = counts.get(label, 0) + 1
        if row.verdict is Verdict.WHOLE:
            latencies.record_value(min(int(row.latency_ms * 1000), _MAX_LATENCY_US))
    lines = [f"{count:5d}  {label}" for label, count in sorted(counts.items())]
    p50, p99, maximum = (latencies.get_value_at_percentile(p) / 1000.0 for p in (50, 99, 100))
    lines.append(f"whole answers: p50 {p50:.1f} ms, p99 {p99:.1f} ms, max {maximum:.1f} ms")
    return "\n".join(lines)
