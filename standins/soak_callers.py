"""Callers of a soak: they keep connections, and send around the moments of a host's end."""

import itertools
import random

import gevent
import msgspec
import xxhash
from gevent import event, lock

from standins import planned_work, raw_caller

__all__ = ["Callers", "draw_request"]

_MS_PER_S = 1000.0
# Times of a host's end are aimed at this closely, since the signal takes a while to arrive.
_AIM_S = (-0.003, 0.015)
_WIDE_AIM_S = (-0.04, 0.04)
# A host waits this long for the first request of a connection when it drains.
_FIRST_REQUEST_S = 0.25
_NEW_CONNECTIONS = 10
_NEW_CONNECTION_AIM_S = (-0.05, 0.01)
_CLOSE_SHARE = 0.04
_REOPEN_PAUSE_S = (0.005, 0.1)
_SLOW_RECEIVE_BYTES = 16_384
_SLOW_CONNECTION_SHARE = 0.15
_MAX_PAUSE_S = 0.4
_MAX_IN_FLIGHT = 24
_numbers = itertools.count(1)


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    data: bytes
    chunked: bool

    def header(self) -> str:
        """Return the header that frames the body."""
        if self.chunked:
            return "Transfer-Encoding: chunked\r\n"
        return f"Content-Length: {len(self.data)}\r\n"

    def pieces(self, count: int) -> list[bytes]:
        """Return the body as sent, in pieces."""
        size = len(self.data) // count + 1
        parts = [self.data[at : at + size] for at in range(0, len(self.data), size)]
        if self.chunked:
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
        return parts


def draw_request(
    rng: random.Random, *, prefix: str, work_ms: float | None = None
) -> raw_caller.Request:
    """Return a request at random: what is asked, and how it is sent and its answer read."""
    request = f"{prefix}-{next(_numbers)}"
    once = rng.random() < 0.4
    if work_ms is None:
        work_ms = rng.choice((rng.uniform(2, 20), rng.uniform(2, 300), rng.uniform(2, 1_400)))
    sizes = (256, rng.randint(20_000, 200_000), rng.randint(800_000, 2_500_000))
    size = rng.choices(sizes, (8, 1, 1))[0]
    target = f"/{'once' if once else 'safe'}/x?ms={work_ms:.0f}&size={size}"
    body = _draw_body(rng, once)
    method = "GET" if body is None else "POST"
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {request}\r\n"
        f"X-Nonce: {request}\r\n{body.header() if body else ''}\r\n"
    ).encode()
    head_pieces, pieces = _draw_pieces(rng, head, body)
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
        read_pauses=5 if slow else 0,
        read_pause_s=rng.uniform(0.01, 0.08) if slow else 0.0,
    )


def _draw_body(rng: random.Random, once: bool) -> _Body | None:
    if rng.random() < (0.4 if once else 0.7):
        return None
    size = rng.choices((rng.randint(0, 2_000), rng.randint(2_000, 60_000), 150_000), (5, 3, 1))[0]
    return _Body(data=rng.randbytes(size), chunked=rng.random() < 0.3)


def _draw_pieces(
    rng: random.Random, head: bytes, body: _Body | None
) -> tuple[int, tuple[raw_caller.Piece, ...]]:
    """Return how many pieces bring the head, and all pieces."""
    cut = rng.randrange(1, len(head)) if rng.random() < 0.25 else len(head)
    heads = [part for part in (head[:cut], head[cut:]) if part]
    whole = rng.random() < 0.5
    bodies = [] if body is None else body.pieces(1 if whole else rng.randint(1, 4))
    if whole and len(heads) == 1:
        return 1, (raw_caller.Piece(data=b"".join(heads + bodies)),)
    first, *others = [*heads, *bodies]
    pauses = [rng.choice((0.0, rng.uniform(0.0, _MAX_PAUSE_S))) for _ in others]
    later = (
        raw_caller.Piece(data=part, pause_s=pause_s)
        for part, pause_s in zip(others, pauses, strict=True)
    )
    return len(heads), (raw_caller.Piece(data=first), *later)


class Callers:
    """Callers with kept connections to every host, and new ones when a host ends.

    Parameters
    ----------
    work : PlannedWork
        The work whose moments are aimed at.
    seed : int
        Seed of what is sent.
    connections : int
        Connections kept open to each host.
    rate_per_s : float
        Requests a second of all callers together, while nothing is aimed at.

    Attributes
    ----------
    rows : list of Row
        Result of each request.
    strays : list of str
        Bytes that came on a connection with no request waiting.
    """

    def __init__(
        self, *, work: planned_work.PlannedWork, seed: int, connections: int, rate_per_s: float
    ) -> None:
        self.rows: list[raw_caller.Row] = []
        self.strays: list[str] = []
        self._work = work
        self._seed = seed
        self._connections = connections
        self._hosts = work.fleet.hosts
        self._mean_pause_s = connections * len(self._hosts) / rate_per_s
        self._stopped = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        # Aimed requests beyond what the servers can run would only be refused.
        self._in_flight = lock.BoundedSemaphore(_MAX_IN_FLIGHT)

    def start(self) -> None:
        """Start the callers."""
        for number in range(self._connections * len(self._hosts)):
            host = self._hosts[number % len(self._hosts)]
            rng = random.Random(f"{self._seed}/{number}")
            self._greenlets.append(gevent.spawn(self._keep_connection, host, rng))
        for host in self._hosts:
            rng = random.Random(f"{self._seed}/{host}")
            self._greenlets.append(gevent.spawn(self._follow_ends, host, rng))

    def stop(self) -> None:
        """Stop sending, and wait for the answers."""
        self._stopped.set()
        gevent.joinall(self._greenlets)

    def _keep_connection(self, host: str, rng: random.Random) -> None:
        self._stopped.wait(rng.uniform(0.0, min(1.0, self._mean_pause_s)))
        while not self._stopped.is_set():
            connection = self._open(host, rng)
            if connection is not None:
                self._use(connection, rng)
            self._stopped.wait(rng.uniform(*_REOPEN_PAUSE_S))

    def _open(self, host: str, rng: random.Random) -> raw_caller.Connection | None:
        slow = rng.random() < _SLOW_CONNECTION_SHARE
        try:
            return raw_caller.Connection(
                host=host,
                address=self._work.fleet.caller_address(host),
                receive_bytes=_SLOW_RECEIVE_BYTES if slow else 0,
            )
        except OSError:
            return None

    def _use(self, connection: raw_caller.Connection, rng: random.Random) -> None:
        while connection.usable and not self._stopped.is_set():
            work_ms = self._wait_for_turn(connection.host, rng)
            self._ask(connection, rng, work_ms)
            if rng.random() < _CLOSE_SHARE:
                break
        connection.close()

    def _ask(
        self, connection: raw_caller.Connection, rng: random.Random, work_ms: float | None
    ) -> None:
        # Between this look and the sending the host may close: such requests are wanted.
        stray = connection.look()
        if stray:
            self.strays.append(f"{connection.host} connection {connection.number}: {stray[:200]!r}")
        if not connection.usable:
            return
        request = draw_request(rng, prefix=f"soak{self._seed}", work_ms=work_ms)
        if self._in_flight.acquire(blocking=False):
            try:
                self.rows.append(connection.ask(request))
            finally:
                self._in_flight.release()

    def _wait_for_turn(self, host: str, rng: random.Random) -> float | None:
        """Wait until the next request is due, and return the work it asks for, if that matters."""
        pause_s = rng.expovariate(1.0 / self._mean_pause_s)
        if rng.random() < 0.2:
            idle_s = self._work.configurations.published[-1].idle_ms / _MS_PER_S
            pause_s = min(pause_s, idle_s) + rng.uniform(*_AIM_S)
        life = self._work.life(host)
        gevent.wait([life.told, self._stopped], timeout=max(0.0, pause_s), count=1)
        if not life.told.is_set():
            return None
        left_s = self._draw_moment_s(rng) - self._since_told_s(life)
        if left_s > 0:
            self._stopped.wait(left_s)
        return self._draw_work_ms(life, rng)

    def _since_told_s(self, life: planned_work.Life) -> float:
        return (planned_work.now_ms() - life.told_ms) / _MS_PER_S

    def _draw_moment_s(self, rng: random.Random) -> float:
        """Return a moment of a host's end, in seconds after the SIGTERM."""
        shutdown = self._work.shutdown
        linger_s = shutdown.linger_ms / _MS_PER_S
        last_s = (shutdown.limit_ms - shutdown.margin_ms) / _MS_PER_S
        moments = (
            linger_s + rng.uniform(*_AIM_S),
            linger_s + rng.uniform(*_WIDE_AIM_S),
            linger_s + _FIRST_REQUEST_S + rng.uniform(*_WIDE_AIM_S),
            last_s + rng.uniform(*_WIDE_AIM_S),
            rng.uniform(0.0, linger_s),
            rng.uniform(0.0, last_s),
        )
        return rng.choices(moments, (6, 2, 1, 2, 4, 2))[0]

    def _draw_work_ms(self, life: planned_work.Life, rng: random.Random) -> float | None:
        """Return now and then a work time that ends with the host's limit."""
        shutdown = self._work.shutdown
        left_ms = shutdown.limit_ms - shutdown.margin_ms - self._since_told_s(life) * _MS_PER_S
        if rng.random() < 0.8 or left_ms < 0:
            return None
        return max(2.0, left_ms + rng.uniform(-150.0, 60.0))

    def _follow_ends(self, host: str, rng: random.Random) -> None:
        """Open new connections up to the moment at which an ending host closes its listener."""
        seen = None
        while not self._stopped.is_set():
            life = self._work.life(host)
            if life is seen or not life.told.wait(0.05):
                self._stopped.wait(0.05)
                continue
            seen = life
            for _ in range(_NEW_CONNECTIONS):
                own = random.Random(rng.random())
                self._greenlets.append(gevent.spawn(self._open_late, life, own))

    def _open_late(self, life: planned_work.Life, rng: random.Random) -> None:
        linger_s = self._work.shutdown.linger_ms / _MS_PER_S
        at_s = linger_s + rng.uniform(*_NEW_CONNECTION_AIM_S)
        gevent.sleep(max(0.0, at_s - self._since_told_s(life)))
        connection = self._open(life.host, rng)
        if connection is None:
            return
        gevent.sleep(rng.choice((0.0, rng.uniform(0.0, _FIRST_REQUEST_S * 1.2))))
        self._ask(connection, rng, None)
        connection.close()
