"""Entry hosts with real pipelines and placers on stepped time, for tests and measurements.

The peer channel delays, drops and cuts; a backend server answers, stalls, errs or crashes; a
caller sends at random times. Nothing here opens a socket or sleeps.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import local
from verbenadrum.core import context, engine, ports
from verbenadrum.decisions import ring
from verbenadrum.entry import keys, pipeline
from verbenadrum.membership import table as host_table
from verbenadrum.placement import budget, registry
from verbenadrum.records import table as record_table
from verbenadrum.records import types
from verbenadrum.utils import clock

__all__ = ["Attempt", "Fleet", "FleetHost", "RequestLog", "StubServer", "two_regions"]

NEAR_MS = 0.5
FAR_MS = 30.0
SLOTS = 3
CRASH_AFTER_MS = 10.0
TIME_UP_MS = 2.0
CONNECT_TIMEOUT_MS = 1_000.0
SERVICE = "svc"

_ANSWERS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR)


class StubServer:
    """Backend server with slots that takes a random time for each request.

    Attributes
    ----------
    stall_fraction : float
        Fraction of its answers that never come.
    error_fraction : float
        Fraction of its answers that are 500.
    error_ms : float
        Time after which a 500 comes; infinite where it takes as long as an answer.
    hiccup_per_s, hiccup_ms : float
        How often all its answers are late together, and by how much at most.
    keeps_deadlines : bool
        Whether it answers with an error when the time of a request is over.
    down : bool
        Whether it refuses connections.
    behind_proxy : bool
        Whether connections to it are taken, and broken, while it is down.
    draining : bool
        Whether its answers say that it wants no new work.
    crashes_on : str
        Path that crashes it; it comes back after ``restart_ms``.
    """

    def __init__(self, *, name: str, median_ms: float, sigma: float, rng: random.Random) -> None:
        self.name = name
        self.stall_fraction = 0.0
        self.error_fraction = 0.0
        self.error_ms = math.inf
        self.keeps_deadlines = False
        self.down = False
        self.behind_proxy = False
        self.draining = False
        self.crashes_on = ""
        self.restart_ms = 2_000.0
        self.up_since_ms = -math.inf
        self.hiccup_per_s = 0.0
        self.hiccup_ms = 250.0
        self._hiccup_until_ms = 0.0
        self.median_ms = median_ms
        self.sigma = sigma
        self.crashes = 0
        self.running: list[Attempt] = []
        self.backlog: collections.deque[Attempt] = collections.deque()
        self.most_busy = 0
        self.received = 0
        self._rng = rng

    @property
    def open_attempts(self) -> list["Attempt"]:
        """Attempts that run or wait here."""
        return [*self.running, *self.backlog]

    def service_ms(self, now_ms: float) -> float:
        """Return the time of one answer; infinite for one that never comes."""
        if self._rng.random() < self.stall_fraction:
            return math.inf
        base_ms = self.median_ms * math.exp(self._rng.gauss(0.0, self.sigma))
        return base_ms + self._pause_ms(now_ms)

    def _pause_ms(self, now_ms: float) -> float:
        """Return what is left of a short pause of the whole server."""
        chance = self.hiccup_per_s * self.median_ms / 1000.0
        if now_ms >= self._hiccup_until_ms and self._rng.random() < chance:
            self._hiccup_until_ms = now_ms + self.hiccup_ms
        return max(0.0, self._hiccup_until_ms - now_ms)

    def errs(self) -> bool:
        """Return whether the next answer is an error."""
        return self._rng.random() < self.error_fraction


class RequestLog(msgspec.Struct, kw_only=True):
    """What became of one caller's request."""

    workspace: str
    path: str
    host: str
    sent_ms: float
    ended_ms: float = math.inf
    ok: bool = False
    refusal: str = ""
    retry_after_ms: float = 0.0
    attempts: list[str] = []


class _AdmitAll:
    def admit(self, *, workspace, request, deadline_ms, done):
        done(ports.Admission(granted=True, reason="within-rate"))


class Attempt(msgspec.Struct, kw_only=True, eq=False):
    """One dispatch under way."""

    sink: "_Sink"
    order: ports.DispatchOrder
    server: StubServer
    started_ms: float
    distance_ms: float
    ended: bool = False


class FleetHost:
    """One host: a pipeline, a placer and its tables."""

    def __init__(
        self,
        *,
        fleet: "Fleet",
        row: ports.HostRow,
        placement: str,
        health: str,
        retries: budget.RetryLimits,
        incarnation: int,
    ) -> None:
        self.row = row
        self.alive = True
        self.paused_until_ms = 0.0
        self.records = record_table.RecordTable()
        self.membership = host_table.HostTable()
        self.decisions = ring.DecisionRing(
            wall_ms=fleet.clock.wall_ms, size=2_000, listener=fleet.on_decision
        )
        self.context = context.Context(
            host=row.host,
            data_centre=row.data_centre,
            region=row.region,
            incarnation=incarnation,
            clock=fleet.clock,
            rng=random.Random(fleet.rng.random()),
            send=lambda to, message: fleet.send(row.host, to, message),
            decisions=self.decisions,
        )
        self.placer = registry.placers.get(placement)(
            context=self.context,
            records=self.records,
            membership=self.membership,
            judge=health,
            retries=retries,
        )
        claims = local.LocalClaims(
            context=self.context, records=self.records, membership=self.membership, epochs=None
        )
        self.pipeline = pipeline.EntryPipeline(
            context=self.context,
            records=self.records,
            limiter=_AdmitAll(),
            claims=claims,
            placer=self.placer,
        )
        self.handlers = dict(self.placer.handlers())

    def ejected(self, region: str | None = None) -> set[str]:
        """Return the servers that this host, as a home, gives no work."""
        if hasattr(self.placer, "homes"):
            return {
                server
                for (_, home_region), home in self.placer.homes.items()
                if region is None or home_region == region
                for server in home.ejector.ejected
            }
        return set(self.placer.ejected(ids.ServiceId(SERVICE)))


class _Sink:
    def __init__(self, fleet: "Fleet", host: FleetHost, log: RequestLog) -> None:
        self.fleet = fleet
        self.host = host
        self.log = log
        self.attempts: dict[str, Attempt] = {}

    def dispatch(self, order):
        self.log.attempts.append(order.server)
        if len(self.log.attempts) > 1:
            self.fleet.repeats_ms.append(self.fleet.clock.now_ms())
        self.fleet.dispatch(self, order)

    def refuse(self, refusal):
        self.log.refusal = refusal.code
        self.log.retry_after_ms = refusal.retry_after_ms
        self.log.ended_ms = self.fleet.clock.now_ms()

    def replay(self, answer):
        self.log.ok = True

    def cancel(self, lease):
        attempt = self.attempts.get(lease)
        if attempt is not None:
            self.fleet.end(attempt, ports.OutcomeKind.CANCELLED)


class Fleet:
    """Hosts, servers, callers and the channels between them, moved by `run`.

    Parameters
    ----------
    hosts : tuple of HostRow
        The listed hosts.
    servers : dict of str to str
        Data centre of each backend server, by name.
    placement, health : str
        Registered behaviours.
    seed : int
        Seed of every random choice.
    timeouts : dict of str to float
        Time-outs of routes that differ from ``timeout_ms``, by the path that they begin with.
    retries : RetryLimits
        How many requests may be repeated.

    Attributes
    ----------
    repeats_ms : list of float
        Times at which a request was sent to one more server.
    """

    def __init__(
        self,
        *,
        hosts: tuple[ports.HostRow, ...],
        servers: dict[str, str],
        placement: str = "pool_home",
        health: str = "sequential",
        seed: int = 1,
        floor: float = 0.5,
        median_ms: float = 40.0,
        sigma: float = 0.5,
        weights: dict[str, float] | None = None,
        tick_ms: float = engine.TICK_MS,
        timeout_ms: float = 10_000.0,
        target_ms: float = 0.0,
        ranks: dict[str, int] | None = None,
        timeouts: dict[str, float] | None = None,
        retries: budget.RetryLimits = budget.DEFAULT_LIMITS,
    ) -> None:
        self._placement = placement
        self._health = health
        self._retries = retries
        self.repeats_ms: list[float] = []
        self._timeouts = timeouts or {}
        self._target_ms = target_ms
        self._ranks = ranks or {}
        self.clock = clock.SteppedClock()
        self.rng = random.Random(seed)
        self.logs: list[RequestLog] = []
        self.keep_logs = True
        self.listeners: list[Callable[[ring.Decision], None]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.wasted_ms = 0.0
        self.used_ms = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.drop = 0.0
        self.extra_ms: Callable[[str, str], float] = lambda sender, to: 0.0
        self.sent_bytes = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._rows = {row.host: row for row in hosts}
        self._numbers = itertools.count()
        self.revision = 0
        self._tick_ms = tick_ms
        self._timeout_ms = timeout_ms
        self.workspaces = weights or {"w": 1.0}
        self.servers = {
            name: StubServer(
                name=name,
                median_ms=median_ms,
                sigma=sigma,
                rng=random.Random(self.rng.random()),
            )
            for name in servers
        }
        self.hosts: dict[str, FleetHost] = {}
        for row in hosts:
            self.hosts[row.host] = self._make_host(row, incarnation=1)
        self._records: list[types.Record] = []
        self._listed: tuple[ports.HostRow, ...] = ()
        self.entries = tuple(
            types.ServerEntry(server=name, address=f"127.0.0.1:{number}", data_centre=place)
            for number, (name, place) in enumerate(sorted(servers.items()), start=1)
        )
        self.floor = floor
        self.publish(self.entries)
        self.list_hosts(tuple(self._rows))
        for host in self.hosts.values():
            self.at(self.rng.random() * tick_ms, lambda host=host: self._tick(host))

    def on_decision(self, decision: ring.Decision) -> None:
        """Pass a host's decision to whoever listens."""
        for listener in self.listeners:
            listener(decision)

    def publish(self, entries: tuple[types.ServerEntry, ...]) -> None:
        """Put a pool in force on every host at once."""
        self.entries = entries
        specs = [
            (types.RecordKind.ROUTE, "all", self._route("/", 0)),
            (types.RecordKind.POOL, SERVICE, types.PoolSpec(servers=entries, floor=self.floor)),
        ]
        for prefix in {**self._ranks, **self._timeouts}:
            route = self._route(prefix, self._ranks.get(prefix, 0))
            specs.append((types.RecordKind.ROUTE, prefix, route))
        for name, weight in self.workspaces.items():
            spec = types.WorkspaceSpec(rate_per_s=1e6, burst=1e6, weight=weight)
            specs.append((types.RecordKind.WORKSPACE, name, spec))
            key = types.KeySpec(workspace=name, sha256=keys.hash_key(name))
            specs.append((types.RecordKind.KEY, name, key))
        self.revision += 1
        self._records = [
            types.Record(kind=kind, name=name, revision=self.revision, spec=spec)
            for kind, name, spec in specs
        ]
        self._put_records(self.hosts.values())

    def list_hosts(self, names: tuple[str, ...], views: tuple[str, ...] = ()) -> None:
        """Give the hosts in ``views`` (all by default) a list of ``names``."""
        self.revision += 1
        rows = self._listed = tuple(self._rows[name] for name in names)
        for name in views or tuple(self.hosts):
            self.hosts[name].membership.replace(self.revision, rows)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.clock.now_ms() + delay_ms, action)

    def run(self, duration_ms: float) -> None:
        """Move time forward."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            action()
        self.clock.advance(end_ms - self.clock.now_ms())

    def send(self, sender: str, to: str, message: object) -> None:
        """Carry a message, unless it is cut or lost."""
        if (sender, to) in self.cut or self.rng.random() < self.drop:
            return
        delay_ms = self._distance_ms(sender, to) + self.extra_ms(sender, to)
        self.after(delay_ms, lambda: self._deliver(sender, to, message))

    def load(
        self,
        *,
        workspace: str,
        per_s: float,
        path: Callable[[], str] = lambda: "/x",
        hosts: tuple[str, ...] = (),
        until_ms: float = math.inf,
        method: str = "GET",
    ) -> None:
        """Let a caller send at random times."""
        names = hosts or tuple(self.hosts)

        def arrive() -> None:
            if self.clock.now_ms() >= until_ms:
                return
            alive = [name for name in names if self.hosts[name].alive]
            self.request(self.rng.choice(alive), workspace=workspace, path=path(), method=method)
            self.after(self.rng.expovariate(per_s) * 1000.0, arrive)

        self.after(self.rng.expovariate(per_s) * 1000.0, arrive)

    def request(
        self, host: str, *, workspace: str = "w", path: str = "/x", method: str = "GET"
    ) -> RequestLog:
        """Send one request to a host, and return the row that tells what becomes of it."""
        now_ms = self.clock.now_ms()
        log = RequestLog(workspace=workspace, path=path, host=host, sent_ms=now_ms, attempts=[])
        if self.keep_logs:
            self.logs.append(log)
        head = ports.RequestHead(
            request=ids.RequestId(f"q{next(self._numbers)}"),
            method=method,
            host="any",
            path=path,
            key=workspace,
        )
        self.counts["requests"] += 1
        self.hosts[host].pipeline.begin(head, _Sink(self, self.hosts[host], log))
        return log

    def dispatch(self, sink: _Sink, order: ports.DispatchOrder) -> None:
        """Send an attempt to its server."""
        self.counts["attempts"] += 1
        server = self.servers[order.server]
        server.received += 1
        attempt = Attempt(
            sink=sink,
            order=order,
            server=server,
            started_ms=self.clock.now_ms(),
            distance_ms=self._server_distance_ms(sink.host, order.server),
        )
        sink.attempts[order.lease] = attempt
        if (sink.host.row.host, server.name) in self.cut:
            lost = ports.OutcomeKind.CONNECT_FAILED
            self.after(CONNECT_TIMEOUT_MS, lambda: self.end(attempt, lost))
            return
        if server.down:
            kinds = ports.OutcomeKind
            refused = kinds.RESET if server.behind_proxy else kinds.CONNECT_FAILED
            self.after(attempt.distance_ms, lambda: self.end(attempt, refused))
            return
        server.backlog.append(attempt)
        server.most_busy = max(server.most_busy, len(server.open_attempts))
        self._start_next(server)

    def crash(self, server: StubServer) -> None:
        """Break every connection of a server, and bring it back later."""
        if server.down:
            return
        server.down = True
        server.crashes += 1
        for attempt in server.open_attempts:
            self.end(attempt, ports.OutcomeKind.RESET)
        self.after(server.restart_ms, lambda: self._restart(server))

    def end(self, attempt: Attempt, kind: ports.OutcomeKind) -> None:
        """Tell the entry host how an attempt ended."""
        if attempt.ended:
            return
        sink, server = attempt.sink, attempt.server
        if self.clock.now_ms() < sink.host.paused_until_ms:
            self.at(sink.host.paused_until_ms, lambda: self.end(attempt, kind))
            return
        if (server.name, sink.host.row.host) in self.cut and kind in _ANSWERS:
            return
        attempt.ended = True
        sink.attempts.pop(attempt.order.lease, None)
        self._leave(attempt)
        held_ms = self.clock.now_ms() - attempt.started_ms
        self.used_ms += held_ms
        request, lease = attempt.order.request, attempt.order.lease
        passed_on = kind is ports.OutcomeKind.OK or attempt.order.pass_errors
        if kind in _ANSWERS and passed_on and sink.host.pipeline.commit(request, lease):
            sink.log.ok = kind is ports.OutcomeKind.OK
            sink.log.ended_ms = self.clock.now_ms()
        else:
            self.wasted_ms += held_ms
        outcome = ports.Outcome(
            kind=kind,
            latency_ms=held_ms,
            bytes_sent=kind is not ports.OutcomeKind.CONNECT_FAILED,
            draining=server.draining,
            server_gone=kind is ports.OutcomeKind.RESET and server.down,
        )
        sink.host.pipeline.outcome(request, lease, outcome)

    def ejected(self) -> set[str]:
        """Return the servers that any live host gives no work."""
        live = [host for host in self.hosts.values() if host.alive]
        return set().union(*(host.ejected() for host in live))

    def fail_host(self, name: str) -> None:
        """Stop a host."""
        self.hosts[name].alive = False

    def restart_host(self, name: str) -> None:
        """Put a new process in a stopped host's place, with the records and without memory."""
        old = self.hosts[name]
        host = self._make_host(old.row, incarnation=old.context.incarnation + 1)
        self.hosts[name] = host
        self._put_records((host,))
        host.membership.replace(self.revision, self._listed)
        self._tick(host)

    def _make_host(self, row: ports.HostRow, *, incarnation: int) -> FleetHost:
        return FleetHost(
            fleet=self,
            row=row,
            placement=self._placement,
            health=self._health,
            retries=self._retries,
            incarnation=incarnation,
        )

    def _put_records(self, hosts: Iterable[FleetHost]) -> None:
        for host in hosts:
            for record in self._records:
                host.records.put(record)

    def _restart(self, server: StubServer) -> None:
        server.down = False
        server.up_since_ms = self.clock.now_ms()

    def _start_next(self, server: StubServer) -> None:
        while server.backlog and len(server.running) < SLOTS:
            self._start(server.backlog.popleft())

    def _start(self, attempt: Attempt) -> None:
        server = attempt.server
        server.running.append(attempt)
        if server.crashes_on and attempt.sink.log.path == server.crashes_on:
            self.after(CRASH_AFTER_MS, lambda: self.crash(server))
            return
        service_ms = server.service_ms(self.clock.now_ms())
        kind = ports.OutcomeKind.OK
        if service_ms < math.inf and server.errs():
            kind = ports.OutcomeKind.SERVER_ERROR
            service_ms = min(service_ms, server.error_ms)
        left_ms = attempt.order.deadline_ms - self.clock.now_ms() - 2 * attempt.distance_ms
        if server.keeps_deadlines and service_ms > left_ms - TIME_UP_MS:
            kind = ports.OutcomeKind.SERVER_ERROR
            service_ms = max(0.0, left_ms - TIME_UP_MS)
        if service_ms < math.inf:
            self.after(2 * attempt.distance_ms + service_ms, lambda: self.end(attempt, kind))

    def _leave(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt in server.running:
            server.running.remove(attempt)
            self._start_next(server)
        elif attempt in server.backlog:
            server.backlog.remove(attempt)

    def _tick(self, host: FleetHost) -> None:
        if not host.alive:
            return
        if self.clock.now_ms() >= host.paused_until_ms:
            host.placer.on_tick()
            host.pipeline.on_tick()
            for order in host.placer.take_probes():
                self._probe(host, order)
        self.after(self._tick_ms, lambda: self._tick(host))

    def _probe(self, host: FleetHost, order: ports.ProbeOrder) -> None:
        self.counts["probes"] += 1
        server = self.servers[order.server]
        delay_ms, kind = server.service_ms(self.clock.now_ms()), ports.OutcomeKind.OK
        if server.down:
            delay_ms, kind = 1.0, ports.OutcomeKind.CONNECT_FAILED
        elif delay_ms > order.timeout_ms:
            delay_ms, kind = order.timeout_ms, ports.OutcomeKind.TIMEOUT
        outcome = ports.Outcome(
            kind=kind, latency_ms=delay_ms, bytes_sent=True, draining=server.draining
        )
        self.after(delay_ms, lambda: host.alive and host.placer.probed(order, outcome))

    def _deliver(self, sender: str, to: str, message: object) -> None:
        host = self.hosts[to]
        if not host.alive:
            return
        if self.clock.now_ms() < host.paused_until_ms:
            self.at(host.paused_until_ms, lambda: self._deliver(sender, to, message))
            return
        host.handlers[type(message)](sender, message)

    def _distance_ms(self, sender: str, to: str) -> float:
        if self._rows[sender].region == self._rows[to].region:
            return NEAR_MS
        return FAR_MS

    def _server_distance_ms(self, host: FleetHost, server: str) -> float:
        place = next(entry.data_centre for entry in self.entries if entry.server == server)
        regions = {row.data_centre: row.region for row in self._rows.values()}
        same = regions.get(place, host.row.region) == host.row.region
        link = f"region:{regions.get(place, host.row.region)}"
        return (NEAR_MS if same else FAR_MS) + self.extra_ms(host.row.host, link)

    def _route(self, prefix: str, rank: int) -> types.RouteSpec:
        return types.RouteSpec(
            path_prefix=prefix,
            priority=rank,
            service=SERVICE,
            timeout_ms=self._timeouts.get(prefix, self._timeout_ms),
            target_latency_ms=self._target_ms,
        )


def two_regions(hosts_per_centre: int) -> tuple[ports.HostRow, ...]:
    """Return the rows of two regions with two data centres each."""
    return tuple(
        ports.HostRow(
            host=ids.HostId(f"{centre}-h{number}"),
            address="127.0.0.1:1",
            data_centre=ids.DataCentreId(centre),
            region=ids.RegionId(centre[:2]),
        )
        for centre in ("r1a", "r1b", "r2a", "r2b")
        for number in range(hosts_per_centre)
    )
