"""Callers of a soak test.

They keep connections to all hosts, and aim requests at the critical moments of a host's shutdown.
"""

import itertools
import random

import gevent
import msgspec
import xxhash
from gevent import event, lock

from standins import planned_work, raw_caller

__all__ = ["Callers", "draw_request"]

_MS_PER_S = 1000.0
# Offsets from an aimed moment; they extend to later times, as a signal takes a while to arrive.
_AIM_OFFSETS_S = (-0.003, 0.015)
_WIDE_AIM_OFFSETS_S = (-0.04, 0.04)
# During its shutdown, a host waits this long for the first request of a connection.
_FIRST_REQUEST_TIMEOUT_S = 0.25
_CONNECTIONS_PER_SHUTDOWN = 10
_CONNECTION_OFFSETS_S = (-0.05, 0.01)
_CLOSE_PROBABILITY = 0.04
_REOPEN_PAUSE_S = (0.005, 0.1)
_SLOW_RECEIVE_BUFFER_BYTES = 16_384
_SLOW_CONNECTION_PROBABILITY = 0.15
_MAX_PIECE_PAUSE_S = 0.4
_MAX_IN_FLIGHT_PER_SERVER = 6
# Drawn by the second source of random numbers.
_BUDGETS_MS = (300.0, 5_000.0)
_USUAL_BUDGET_MS = 3_000.0
_ANSWER_PAUSES_MS = (30.0, 300.0, 1_500.0)
_MAX_ANSWER_PIECES = 4
_LONG_PAUSE_S = (0.2, 1.5)
_LONG_PAUSE_PROBABILITY = 0.1
_AIMED_PAUSE_PROBABILITY = 0.4
_NEAR_BUDGET_PROBABILITY = 0.15
_BUSY_PROBABILITY = 0.15
_BUSY_PAUSE_S = 0.01
_LATE_PROBABILITY = 0.25
# Late requests are sent within this fraction of the limit after the linger.
_LATE_LIMIT_FRACTION = 0.25
# Probability of a service time that ends about at the limit, during the linger and after it.
_LONG_WORK_PROBABILITIES = (0.1, 0.7)
_LIMIT_OFFSETS_MS = (-400.0, 200.0)
_request_numbers = itertools.count(1)


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    data: bytes
    chunked: bool

    def header(self) -> str:
        """Return the header line that declares the framing of the body."""
        if self.chunked:
            return "Transfer-Encoding: chunked\r\n"
        return f"Content-Length: {len(self.data)}\r\n"

    def pieces(self, count: int) -> list[bytes]:
        """Return the encoded body, split into about ``count`` pieces."""
        size = len(self.data) // count + 1
        parts = [self.data[start : start + size] for start in range(0, len(self.data), size)]
        if self.chunked:
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
        return parts


class _Extras(msgspec.Struct, frozen=True, kw_only=True):
    """Time budget of a request, 0 for none, and how its server sends the answer."""

    budget_ms: float = 0.0
    work_ms: float | None = None
    query: str = ""

    @property
    def header(self) -> str:
        """Header line of the time budget, or an empty string."""
        return f"X-Deadline-Ms: {self.budget_ms:.0f}\r\n" if self.budget_ms else ""


def draw_request(
    rng: random.Random,
    *,
    prefix: str,
    work_ms: float | None = None,
    extra_rng: random.Random | None = None,
) -> raw_caller.Request:
    """Return a random request, including how it is sent and how its answer is read.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    prefix : str
        Beginning of the request's identifier.
    work_ms : float, optional
        Service time to request, in milliseconds; random by default.
    extra_rng : random.Random, optional
        Source of the time budget, of the way in which the answer is sent, and of long pauses within
        the body; without it there are none.
    """
    extras = _Extras() if extra_rng is None else _draw_extras(extra_rng)
    request = f"{prefix}-{next(_request_numbers)}"
    once = rng.random() < 0.4
    if work_ms is None:
        work_ms = rng.choice((rng.uniform(2, 20), rng.uniform(2, 300), rng.uniform(2, 1_400)))
        work_ms = work_ms if extras.work_ms is None else extras.work_ms
    sizes = (256, rng.randint(20_000, 200_000), rng.randint(800_000, 2_500_000))
    size = rng.choices(sizes, (8, 1, 1))[0]
    target = f"/{'once' if once else 'safe'}/x?ms={work_ms:.0f}&size={size}{extras.query}"
    body = _draw_body(rng, once)
    method = "GET" if body is None else "POST"
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request}\r\n"
        f"X-Nonce: {request}\r\n{extras.header}{body.header() if body else ''}\r\n"
    ).encode()
    head_pieces, pieces = _draw_pieces(rng, head, body)
    if extra_rng is not None and extra_rng.random() < _LONG_PAUSE_PROBABILITY:
        pieces = _with_pause(pieces, head_pieces, extra_rng.uniform(*_LONG_PAUSE_S))
    slow = size > 20_000 and rng.random() < 0.5
    return raw_caller.Request(
        request=request,
        method=method,
        target=target,
        once=once,
        pieces=pieces,
        head_pieces=head_pieces,
        body_bytes=len(body.data) if body else 0,
        body_checksum=xxhash.xxh3_64_hexdigest(body.data if body else b""),
        budget_ms=extras.budget_ms,
        read_pauses=5 if slow else 0,
        read_pause_s=rng.uniform(0.01, 0.08) if slow else 0.0,
    )


def _draw_extras(rng: random.Random) -> _Extras:
    budgets_ms = (0.0, _USUAL_BUDGET_MS, float(round(rng.uniform(*_BUDGETS_MS))))
    budget_ms = rng.choices(budgets_ms, (4, 4, 2))[0]
    near_budget = rng.random() < _NEAR_BUDGET_PROBABILITY
    work_ms = budget_ms * rng.uniform(0.6, 1.0) if budget_ms and near_budget else None
    query = "&chunked=1" if rng.random() < 0.4 else ""
    if rng.random() < 0.3:
        pause_ms = rng.uniform(1.0, rng.choice(_ANSWER_PAUSES_MS))
        query += f"&pieces={rng.randint(1, _MAX_ANSWER_PIECES)}&pause={pause_ms:.0f}"
    return _Extras(budget_ms=budget_ms, work_ms=work_ms, query=query)


def _with_pause(
    pieces: tuple[raw_caller.Piece, ...], head_pieces: int, pause_s: float
) -> tuple[raw_caller.Piece, ...]:
    """Return the pieces with a pause before the last, if that is a piece of the body alone."""
    if len(pieces) <= head_pieces:
        return pieces
    return (*pieces[:-1], msgspec.structs.replace(pieces[-1], pause_s=pause_s))


def _draw_body(rng: random.Random, once: bool) -> _Body | None:
    if rng.random() < (0.4 if once else 0.7):
        return None
    size = rng.choices((rng.randint(0, 2_000), rng.randint(2_000, 60_000), 150_000), (5, 3, 1))[0]
    return _Body(data=rng.randbytes(size), chunked=rng.random() < 0.3)


def _draw_pieces(
    rng: random.Random, head: bytes, body: _Body | None
) -> tuple[int, tuple[raw_caller.Piece, ...]]:
    """Return the number of pieces that contain the head, and all pieces."""
    split_at = rng.randrange(1, len(head)) if rng.random() < 0.25 else len(head)
    heads = [part for part in (head[:split_at], head[split_at:]) if part]
    in_one_piece = rng.random() < 0.5
    bodies = [] if body is None else body.pieces(1 if in_one_piece else rng.randint(1, 4))
    if in_one_piece and len(heads) == 1:
        return 1, (raw_caller.Piece(data=b"".join(heads + bodies)),)
    first, *others = [*heads, *bodies]
    pauses = [rng.choice((0.0, rng.uniform(0.0, _MAX_PIECE_PAUSE_S))) for _ in others]
    later_pieces = (
        raw_caller.Piece(data=part, pause_s=pause_s)
        for part, pause_s in zip(others, pauses, strict=True)
    )
    return len(heads), (raw_caller.Piece(data=first), *later_pieces)


class _Draws:
    """Random numbers of one connection.

    Parameters
    ----------
    rng : random.Random
        Source of the requests and of their times.
    extra : random.Random
        Second source, so that what it decides leaves the draws of the first as they are.
    """

    def __init__(self, *, rng: random.Random, extra: random.Random) -> None:
        self.rng = rng
        self.extra = extra
        self._shutdown: planned_work.HostProcess | None = None
        self._busy = False

    def is_busy(self, process: planned_work.HostProcess) -> bool:
        """Return whether requests follow each other without a pause until a process is gone."""
        if process is not self._shutdown:
            self._shutdown = process
            self._busy = self.extra.random() < _BUSY_PROBABILITY
        return self._busy


class Callers:
    """Callers with persistent connections to every host, and new ones while a host shuts down.

    Parameters
    ----------
    work : PlannedWork
        Planned work, at whose shutdowns requests are aimed.
    seed : int
        Seed of the requests and of their times.
    connections : int
        Number of connections kept open to each host.
    rate_per_s : float
        Requests per second of all callers together, while no host shuts down.

    Attributes
    ----------
    results : list of RequestResult
        Result of each request.
    strays : list of str
        Descriptions of bytes that were received while no request was open.
    """

    def __init__(
        self, *, work: planned_work.PlannedWork, seed: int, connections: int, rate_per_s: float
    ) -> None:
        self.results: list[raw_caller.RequestResult] = []
        self.strays: list[str] = []
        self._work = work
        self._seed = seed
        self._connections = connections
        self._hosts = work.fleet.hosts
        self._mean_pause_s = connections * len(self._hosts) / rate_per_s
        self._stopped = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        # Requests beyond the capacity of the servers would only be refused.
        servers = len(work.fleet.server_entries("one")) + len(work.fleet.server_entries("two"))
        self._in_flight = lock.BoundedSemaphore(_MAX_IN_FLIGHT_PER_SERVER * servers)

    def start(self) -> None:
        """Start the callers."""
        for number in range(self._connections * len(self._hosts)):
            host = self._hosts[number % len(self._hosts)]
            draws = _Draws(
                rng=random.Random(f"{self._seed}/{number}"),
                extra=random.Random(f"{self._seed}/{number}/extra"),
            )
            self._greenlets.append(gevent.spawn(self._keep_connection, host, draws))
        for host in self._hosts:
            rng = random.Random(f"{self._seed}/{host}")
            self._greenlets.append(gevent.spawn(self._watch_shutdowns, host, rng))

    def stop(self) -> None:
        """Stop sending, and wait for the requests in flight."""
        self._stopped.set()
        gevent.joinall(self._greenlets)

    def _keep_connection(self, host: str, draws: _Draws) -> None:
        rng = draws.rng
        self._stopped.wait(rng.uniform(0.0, min(1.0, self._mean_pause_s)))
        while not self._stopped.is_set():
            connection = self._connect(host, rng)
            if connection is not None:
                self._send_requests(connection, draws)
            self._stopped.wait(rng.uniform(*_REOPEN_PAUSE_S))

    def _connect(self, host: str, rng: random.Random) -> raw_caller.Connection | None:
        slow = rng.random() < _SLOW_CONNECTION_PROBABILITY
        try:
            return raw_caller.Connection(
                host=host,
                address=self._work.fleet.caller_address(host),
                receive_bytes=_SLOW_RECEIVE_BUFFER_BYTES if slow else 0,
            )
        except OSError:
            return None

    def _send_requests(self, connection: raw_caller.Connection, draws: _Draws) -> None:
        while connection.usable and not self._stopped.is_set():
            work_ms = self._wait_until_due(connection.host, draws)
            self._send_request(connection, draws, work_ms)
            if draws.rng.random() < _CLOSE_PROBABILITY:
                break
        connection.close()

    def _send_request(
        self, connection: raw_caller.Connection, draws: _Draws, work_ms: float | None
    ) -> None:
        # The host may close the connection between this read and the request; the soak test is
        # meant to cover this race.
        stray = connection.read_stray_bytes()
        if stray:
            self.strays.append(f"{connection.host} connection {connection.number}: {stray[:200]!r}")
        if not connection.usable:
            return
        request = draw_request(
            draws.rng, prefix=f"soak{self._seed}", work_ms=work_ms, extra_rng=draws.extra
        )
        if draws.extra.random() < _AIMED_PAUSE_PROBABILITY:
            request = self._aim_pause(request, connection.host, draws.extra)
        if self._in_flight.acquire(blocking=False):
            try:
                self.results.append(connection.perform(request))
            finally:
                self._in_flight.release()

    def _aim_pause(
        self, request: raw_caller.Request, host: str, rng: random.Random
    ) -> raw_caller.Request:
        """Return a request whose last piece is sent as its host's linger ends, if that is ahead."""
        process = self._work.newest_process(host)
        if not process.sigterm_sent.is_set():
            return request
        left_s = self._work.shutdown.listening_ms / _MS_PER_S - self._since_sigterm_s(process)
        pause_s = left_s - sum(piece.pause_s for piece in request.pieces[:-1])
        pause_s += rng.uniform(*_WIDE_AIM_OFFSETS_S)
        if pause_s <= 0:
            return request
        pieces = _with_pause(request.pieces, request.head_pieces, pause_s)
        return msgspec.structs.replace(request, pieces=pieces)

    def _wait_until_due(self, host: str, draws: _Draws) -> float | None:
        """Wait until the next request is due.

        Returns
        -------
        float or None
            Service time to request in milliseconds, or None for a random one.
        """
        rng = draws.rng
        pause_s = rng.expovariate(1.0 / self._mean_pause_s)
        if rng.random() < 0.2:
            idle_s = self._work.configurations.published[-1].idle_timeout_ms / _MS_PER_S
            pause_s = min(pause_s, idle_s) + rng.uniform(*_AIM_OFFSETS_S)
        process = self._work.newest_process(host)
        gevent.wait([process.sigterm_sent, self._stopped], timeout=max(0.0, pause_s), count=1)
        if not process.sigterm_sent.is_set():
            return None
        wait_s = self._draw_shutdown_moment_s(draws) - self._since_sigterm_s(process)
        if draws.is_busy(process):
            wait_s = _BUSY_PAUSE_S
        if wait_s > 0:
            self._stopped.wait(wait_s)
        return self._draw_work_ms(process, draws)

    def _since_sigterm_s(self, process: planned_work.HostProcess) -> float:
        return (planned_work.now_ms() - process.sigterm_ms) / _MS_PER_S

    def _draw_shutdown_moment_s(self, draws: _Draws) -> float:
        """Return a random moment of a host's shutdown, in seconds after the SIGTERM."""
        rng = draws.rng
        shutdown = self._work.shutdown
        linger_s = shutdown.listening_ms / _MS_PER_S
        cutoff_s = shutdown.cutoff_ms / _MS_PER_S
        moments = (
            linger_s + rng.uniform(*_AIM_OFFSETS_S),
            linger_s + rng.uniform(*_WIDE_AIM_OFFSETS_S),
            linger_s + _FIRST_REQUEST_TIMEOUT_S + rng.uniform(*_WIDE_AIM_OFFSETS_S),
            cutoff_s + rng.uniform(*_WIDE_AIM_OFFSETS_S),
            rng.uniform(0.0, linger_s),
            rng.uniform(0.0, cutoff_s),
        )
        moment_s = rng.choices(moments, (6, 2, 1, 2, 4, 2))[0]
        if draws.extra.random() < _LATE_PROBABILITY:
            late_s = shutdown.limit_ms / _MS_PER_S * _LATE_LIMIT_FRACTION
            return linger_s + draws.extra.uniform(0.0, late_s)
        return moment_s

    def _draw_work_ms(self, process: planned_work.HostProcess, draws: _Draws) -> float | None:
        """Return a service time that ends near the cutoff or the limit of the host's shutdown.

        In other cases, and after the cutoff, return None, which stands for a random one.
        """
        rng = draws.rng
        shutdown = self._work.shutdown
        since_ms = self._since_sigterm_s(process) * _MS_PER_S
        remaining_ms = shutdown.cutoff_ms - since_ms
        near_cutoff = rng.random() >= 0.8 and remaining_ms >= 0
        cutoff_work_ms = remaining_ms + rng.uniform(-150.0, 60.0) if near_cutoff else 0.0
        long_probability = _LONG_WORK_PROBABILITIES[since_ms >= shutdown.listening_ms]
        if remaining_ms >= 0 and draws.extra.random() < long_probability:
            return remaining_ms + shutdown.margin_ms + draws.extra.uniform(*_LIMIT_OFFSETS_MS)
        return max(2.0, cutoff_work_ms) if near_cutoff else None

    def _watch_shutdowns(self, host: str, rng: random.Random) -> None:
        """Open connections around the time at which a host in shutdown closes its listener."""
        handled = None
        while not self._stopped.is_set():
            process = self._work.newest_process(host)
            if process is handled or not process.sigterm_sent.wait(0.05):
                self._stopped.wait(0.05)
                continue
            handled = process
            for _ in range(_CONNECTIONS_PER_SHUTDOWN):
                number = rng.random()
                draws = _Draws(rng=random.Random(number), extra=random.Random(f"{number}/extra"))
                self._greenlets.append(gevent.spawn(self._connect_during_shutdown, process, draws))

    def _connect_during_shutdown(self, process: planned_work.HostProcess, draws: _Draws) -> None:
        rng = draws.rng
        linger_s = self._work.shutdown.listening_ms / _MS_PER_S
        at_s = linger_s + rng.uniform(*_CONNECTION_OFFSETS_S)
        gevent.sleep(max(0.0, at_s - self._since_sigterm_s(process)))
        connection = self._connect(process.host, rng)
        if connection is None:
            return
        gevent.sleep(rng.choice((0.0, rng.uniform(0.0, _FIRST_REQUEST_TIMEOUT_S * 1.2))))
        self._send_request(connection, draws, None)
        connection.close()
