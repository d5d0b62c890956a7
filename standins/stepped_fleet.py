"""Simulated fleet of entry hosts in stepped time, for tests and benchmarks.

The hosts run the real request pipelines and placers. The simulated peer channel delays, drops and
blocks messages; simulated backend servers answer, stall, fail or crash; callers send at random
times. The simulation opens no socket and never sleeps.
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
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.engine import engine
from verbenadrum.entry import keys, pipeline
from verbenadrum.membership import table as host_table
from verbenadrum.placement import budget, registry
from verbenadrum.records import table as record_table
from verbenadrum.records import types
from verbenadrum.utils import clock

__all__ = ["Attempt", "Fleet", "FleetHost", "RequestLog", "StubServer", "two_regions"]

# One-way delays within a region and between regions.
NEAR_MS = 0.5
FAR_MS = 30.0
# Requests that a server runs at the same time.
SLOTS = 3
# Time from the start of a request that crashes its server to the crash.
CRASH_DELAY_MS = 10.0
# A server with ``answers_before_deadline`` answers this long before a deadline that it cannot keep.
DEADLINE_MARGIN_MS = 2.0
CONNECT_TIMEOUT_MS = 1_000.0
SERVICE = "svc"

_ANSWER_KINDS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR)


class StubServer:
    """Simulated backend server with ``SLOTS`` slots and a log-normal service time.

    Requests beyond the slots wait in a queue.

    Parameters
    ----------
    name : str
        Name of the server.
    median_ms, sigma : float
        Median of the service time, and standard deviation of its logarithm.
    rng : random.Random
        Source of random numbers.

    Attributes
    ----------
    stall_fraction : float
        Fraction of requests that are never answered.
    error_fraction : float
        Fraction of the answers that have status 500.
    error_ms : float
        Upper bound of the service time of a 500; if infinite, it takes as long as a success.
    pause_rate_per_s, pause_ms : float
        Mean number of pauses of the whole server per second of median service time, drawn at the
        start of each request, and fixed length of every pause in milliseconds. A request that
        starts during a pause is delayed by the remaining time of the pause.
    answers_before_deadline : bool
        Whether it answers a request that it cannot finish in time, stalled ones included, with an
        error `DEADLINE_MARGIN_MS` before the deadline.
    down : bool
        Whether it refuses connections.
    behind_proxy : bool
        Whether connections to it are accepted and then reset, not refused, while it is down.
    draining : bool
        Whether its answers tell the hosts to send it no new requests.
    hides_draining_from_probes : bool
        Whether its answers to health probes do not tell so.
    limit_per_s : float
        Limit that its answers name; infinite for none.
    rest_ms : float
        If greater than 0, it refuses every request at once, and wants no other one from the same
        host for so long.
    crash_path : str
        Path of the requests that crash it; it restarts after ``restart_ms``.
    up_since_ms : float
        Simulated time of the last restart; minus infinity before the first.
    crashes, received : int
        Number of crashes, and of the attempts sent to it, failed connections included.
    max_open_attempts : int
        Largest number of attempts that were open at the same time.
    """

    def __init__(self, *, name: str, median_ms: float, sigma: float, rng: random.Random) -> None:
        self.name = name
        self.stall_fraction = 0.0
        self.error_fraction = 0.0
        self.error_ms = math.inf
        self.answers_before_deadline = False
        self.down = False
        self.behind_proxy = False
        self.draining = False
        self.hides_draining_from_probes = False
        self.limit_per_s = math.inf
        self.rest_ms = 0.0
        self.crash_path = ""
        self.restart_ms = 2_000.0
        self.up_since_ms = -math.inf
        self.pause_rate_per_s = 0.0
        self.pause_ms = 250.0
        self._paused_until_ms = 0.0
        self.median_ms = median_ms
        self.sigma = sigma
        self.crashes = 0
        self.running: list[Attempt] = []
        self.backlog: collections.deque[Attempt] = collections.deque()
        self.max_open_attempts = 0
        self.received = 0
        self._rng = rng

    @property
    def open_attempts(self) -> list["Attempt"]:
        """Attempts that occupy a slot or wait for one."""
        return [*self.running, *self.backlog]

    def service_ms(self, now_ms: float) -> float:
        """Return the service time of one request; infinite if it stalls."""
        if self._rng.random() < self.stall_fraction:
            return math.inf
        base_ms = self.median_ms * math.exp(self._rng.gauss(0.0, self.sigma))
        return base_ms + self._pause_delay_ms(now_ms)

    def _pause_delay_ms(self, now_ms: float) -> float:
        """Return the remaining time of a pause of the server, which may begin at random."""
        probability = self.pause_rate_per_s * self.median_ms / 1000.0
        if now_ms >= self._paused_until_ms and self._rng.random() < probability:
            self._paused_until_ms = now_ms + self.pause_ms
        return max(0.0, self._paused_until_ms - now_ms)

    def draw_error(self) -> bool:
        """Draw whether the next answer is an error."""
        return self._rng.random() < self.error_fraction


class RequestLog(msgspec.Struct, kw_only=True):
    """Outcome of one caller's request.

    Attributes
    ----------
    ended_ms : float
        Simulated time at which the request ended; infinite while it is open.
    ok : bool
        Whether it got a successful answer.
    refusal : str
        Code of the host's refusal, or empty.
    not_run : bool
        Whether the refusal states that no server ran the request.
    attempts : list of str
        Servers to which it was sent, in order.
    """

    workspace: str
    path: str
    host: str
    sent_ms: float
    ended_ms: float = math.inf
    ok: bool = False
    refusal: str = ""
    not_run: bool = False
    retry_after_ms: float = 0.0
    attempts: list[str] = []


class _AdmitAllLimiter:
    def admit(self, *, workspace, request, deadline_ms, done):
        done(ports.Admission(granted=True, reason="within-rate"))


class Attempt(msgspec.Struct, kw_only=True, eq=False):
    """A request that was sent to a server and has no outcome yet."""

    sink: "_Sink"
    order: ports.DispatchOrder
    server: StubServer
    started_ms: float
    distance_ms: float
    ended: bool = False


class FleetHost:
    """Simulated entry host: a pipeline, a placer, and tables of records and hosts."""

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
            limiter=_AdmitAllLimiter(),
            claims=claims,
            placer=self.placer,
        )
        self.handlers = dict(self.placer.handlers())

    def ejected(self, region: str | None = None) -> set[str]:
        """Return the servers that this host has ejected.

        Under ``pool_home``, these are the servers that its homes ejected, of one region if
        ``region`` is given.
        """
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
            self.fleet.retry_times_ms.append(self.fleet.clock.now_ms())
        self.fleet.dispatch(self, order)

    def refuse(self, refusal):
        self.log.refusal = refusal.code
        self.log.not_run = refusal.not_run is ports.NotRun.TRUE
        self.log.retry_after_ms = refusal.retry_after_ms
        self.log.ended_ms = self.fleet.clock.now_ms()

    def replay(self, answer):
        self.log.ok = True

    def cancel(self, lease):
        attempt = self.attempts.get(lease)
        if attempt is not None:
            self.fleet.end_attempt(attempt, ports.OutcomeKind.CANCELLED)


class Fleet:
    """Simulated hosts, servers and callers, and the channels between them; `run` advances time.

    Parameters
    ----------
    hosts : tuple of HostRow
        Hosts of the fleet, all of them in the host list.
    servers : dict of str to str
        Data centre of each backend server, by name.
    placement, health : str
        Registered names of the placer and of the server health detector.
    seed : int
        Seed of all random numbers.
    floor : float
        Least fraction of a pool that stays in service, whatever is ejected.
    median_ms, sigma : float
        Parameters of the servers' service time.
    weights : dict of str to float
        Weight of each workspace; one workspace ``w`` by default.
    tick_ms : float
        Interval of the hosts' ticks.
    timeout_ms : float
        Timeout of the routes.
    target_ms : float
        Target latency of the routes.
    ranks : dict of str to int
        Priority of additional routes, by path prefix.
    timeouts : dict of str to float
        Timeouts of routes that differ from ``timeout_ms``, by path prefix.
    retries : RetryLimits
        Retry budget of the hosts.

    Attributes
    ----------
    retry_times_ms : list of float
        Simulated times at which a second or later attempt of a request was sent.
    cut : set of (str, str)
        Blocked directions, as pairs of sender and receiver (hosts, or a host and a server).
    drop : float
        Probability that a peer message is lost.
    extra_ms : callable
        Returns the additional one-way delay from a sender to a receiver; ``region:NAME`` stands
        for the servers of a region.
    keep_logs : bool
        Whether `request` adds its log to ``logs``.
    decision_listeners : list of callable
        Called with each decision of each host.
    total_attempt_ms, unused_attempt_ms : float
        Total duration in milliseconds of the attempts that have ended, and of those among them
        whose answer was not passed to the caller.
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
        self.retry_times_ms: list[float] = []
        self._timeouts = timeouts or {}
        self._target_ms = target_ms
        self._ranks = ranks or {}
        self.clock = clock.SteppedClock()
        self.rng = random.Random(seed)
        self.logs: list[RequestLog] = []
        self.keep_logs = True
        self.decision_listeners: list[Callable[[ring.Decision], None]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.unused_attempt_ms = 0.0
        self.total_attempt_ms = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.drop = 0.0
        self.extra_ms: Callable[[str, str], float] = lambda sender, to: 0.0
        self.sent_bytes = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._rows = {row.host: row for row in hosts}
        self._request_numbers = itertools.count()
        self.revision = 0
        self._tick_interval_ms = tick_ms
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
        self._listed_rows: tuple[ports.HostRow, ...] = ()
        self.entries = tuple(
            types.ServerEntry(server=name, address=f"127.0.0.1:{number}", data_centre=data_centre)
            for number, (name, data_centre) in enumerate(sorted(servers.items()), start=1)
        )
        self.floor = floor
        self.publish(self.entries)
        self.list_hosts(tuple(self._rows))
        for host in self.hosts.values():
            self.run_at(self.rng.random() * tick_ms, lambda host=host: self._tick(host))

    def on_decision(self, decision: ring.Decision) -> None:
        """Pass a host's decision to the listeners."""
        for listener in self.decision_listeners:
            listener(decision)

    def publish(self, entries: tuple[types.ServerEntry, ...]) -> None:
        """Publish records with the given pool entries; every host applies them at once."""
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
        self._apply_records(self.hosts.values())

    def list_hosts(self, names: tuple[str, ...], views: tuple[str, ...] = ()) -> None:
        """Publish a host list of ``names`` to the hosts in ``views``, by default to all."""
        self.revision += 1
        rows = self._listed_rows = tuple(self._rows[name] for name in names)
        for name in views or tuple(self.hosts):
            self.hosts[name].membership.replace(self.revision, rows)

    def run_at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def run_after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.run_at(self.clock.now_ms() + delay_ms, action)

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time and run the actions due in it."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            action()
        self.clock.advance(end_ms - self.clock.now_ms())

    def send(self, sender: str, to: str, message: object) -> None:
        """Deliver a peer message after its delay, unless its direction is cut or it is lost."""
        if (sender, to) in self.cut or self.rng.random() < self.drop:
            return
        delay_ms = self._distance_ms(sender, to) + self.extra_ms(sender, to)
        self.run_after(delay_ms, lambda: self._deliver(sender, to, message))

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
        """Send requests to random live hosts as a Poisson process.

        Parameters
        ----------
        workspace, method : str
            Workspace and method of the requests.
        per_s : float
            Mean number of requests per second.
        path : callable
            Returns the path of each request.
        hosts : tuple of str
            Hosts to send to, by default all.
        until_ms : float
            Simulated time at which the sending ends.
        """
        names = hosts or tuple(self.hosts)

        def arrive() -> None:
            if self.clock.now_ms() >= until_ms:
                return
            alive = [name for name in names if self.hosts[name].alive]
            self.request(self.rng.choice(alive), workspace=workspace, path=path(), method=method)
            self.run_after(self.rng.expovariate(per_s) * 1000.0, arrive)

        self.run_after(self.rng.expovariate(per_s) * 1000.0, arrive)

    def request(
        self, host: str, *, workspace: str = "w", path: str = "/x", method: str = "GET"
    ) -> RequestLog:
        """Send one request to a host; return its log, which is filled as the request proceeds."""
        now_ms = self.clock.now_ms()
        log = RequestLog(workspace=workspace, path=path, host=host, sent_ms=now_ms, attempts=[])
        if self.keep_logs:
            self.logs.append(log)
        head = ports.RequestHead(
            request=ids.RequestId(f"q{next(self._request_numbers)}"),
            method=method,
            host="any",
            path=path,
            api_key=workspace,
        )
        self.counts["requests"] += 1
        self.hosts[host].pipeline.begin(head, _Sink(self, self.hosts[host], log))
        return log

    def dispatch(self, sink: _Sink, order: ports.DispatchOrder) -> None:
        """Send an attempt to its server; it fails if the server is cut off or down."""
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
            timed_out = ports.OutcomeKind.CONNECT_FAILED
            self.run_after(CONNECT_TIMEOUT_MS, lambda: self.end_attempt(attempt, timed_out))
            return
        if server.down:
            kinds = ports.OutcomeKind
            refused = kinds.RESET if server.behind_proxy else kinds.CONNECT_FAILED
            self.run_after(attempt.distance_ms, lambda: self.end_attempt(attempt, refused))
            return
        if server.rest_ms:
            shed = ports.OutcomeKind.SHED
            self.run_after(2 * attempt.distance_ms, lambda: self.end_attempt(attempt, shed))
            return
        server.backlog.append(attempt)
        server.max_open_attempts = max(server.max_open_attempts, len(server.open_attempts))
        self._start_next(server)

    def crash(self, server: StubServer) -> None:
        """Stop a server, reset its open attempts, and restart it after its ``restart_ms``."""
        if server.down:
            return
        server.down = True
        server.crashes += 1
        for attempt in server.open_attempts:
            self.end_attempt(attempt, ports.OutcomeKind.RESET)
        self.run_after(server.restart_ms, lambda: self._restart(server))

    def end_attempt(self, attempt: Attempt, kind: ports.OutcomeKind) -> None:
        """End an attempt and report its outcome to the entry host.

        A paused host receives the outcome when its pause ends. An answer that the server cannot
        send, as the direction is cut, leaves the attempt open.
        """
        if attempt.ended:
            return
        sink, server = attempt.sink, attempt.server
        if self.clock.now_ms() < sink.host.paused_until_ms:
            self.run_at(sink.host.paused_until_ms, lambda: self.end_attempt(attempt, kind))
            return
        if (server.name, sink.host.row.host) in self.cut and kind in _ANSWER_KINDS:
            return
        attempt.ended = True
        sink.attempts.pop(attempt.order.lease, None)
        self._release_slot(attempt)
        elapsed_ms = self.clock.now_ms() - attempt.started_ms
        self.total_attempt_ms += elapsed_ms
        request, lease = attempt.order.request, attempt.order.lease
        forwarded = kind is ports.OutcomeKind.OK or attempt.order.pass_errors
        if kind in _ANSWER_KINDS and forwarded and sink.host.pipeline.commit(request, lease):
            sink.log.ok = kind is ports.OutcomeKind.OK
            sink.log.ended_ms = self.clock.now_ms()
        else:
            self.unused_attempt_ms += elapsed_ms
        outcome = ports.Outcome(
            kind=kind,
            latency_ms=elapsed_ms,
            bytes_sent=kind is not ports.OutcomeKind.CONNECT_FAILED,
            draining=server.draining,
            limit_per_s=server.limit_per_s if kind in _ANSWER_KINDS else None,
            rest_ms=server.rest_ms if kind is ports.OutcomeKind.SHED else 0.0,
            refuses_connections=kind is ports.OutcomeKind.RESET and server.down,
        )
        sink.host.pipeline.complete_attempt(request, lease, outcome)

    def ejected(self) -> set[str]:
        """Return the servers that at least one live host has ejected."""
        live = [host for host in self.hosts.values() if host.alive]
        return set().union(*(host.ejected() for host in live))

    def fail_host(self, name: str) -> None:
        """Stop a host without notice."""
        self.hosts[name].alive = False

    def restart_host(self, name: str) -> None:
        """Replace a stopped host by a new process with the published records and no other state."""
        stopped = self.hosts[name]
        host = self._make_host(stopped.row, incarnation=stopped.context.incarnation + 1)
        self.hosts[name] = host
        self._apply_records((host,))
        host.membership.replace(self.revision, self._listed_rows)
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

    def _apply_records(self, hosts: Iterable[FleetHost]) -> None:
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
        if server.crash_path and attempt.sink.log.path == server.crash_path:
            self.run_after(CRASH_DELAY_MS, lambda: self.crash(server))
            return
        service_ms = server.service_ms(self.clock.now_ms())
        kind = ports.OutcomeKind.OK
        if service_ms < math.inf and server.draw_error():
            kind = ports.OutcomeKind.SERVER_ERROR
            service_ms = min(service_ms, server.error_ms)
        remaining_ms = attempt.order.deadline_ms - self.clock.now_ms() - 2 * attempt.distance_ms
        if server.answers_before_deadline and service_ms > remaining_ms - DEADLINE_MARGIN_MS:
            kind = ports.OutcomeKind.SERVER_ERROR
            service_ms = max(0.0, remaining_ms - DEADLINE_MARGIN_MS)
        if service_ms < math.inf:
            self.run_after(
                2 * attempt.distance_ms + service_ms, lambda: self.end_attempt(attempt, kind)
            )

    def _release_slot(self, attempt: Attempt) -> None:
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
            for order in host.placer.pop_due_probes():
                self._probe(host, order)
        self.run_after(self._tick_interval_ms, lambda: self._tick(host))

    def _probe(self, host: FleetHost, order: ports.ProbeOrder) -> None:
        self.counts["probes"] += 1
        server = self.servers[order.server]
        delay_ms, kind = server.service_ms(self.clock.now_ms()), ports.OutcomeKind.OK
        if server.down:
            delay_ms, kind = 1.0, ports.OutcomeKind.CONNECT_FAILED
        elif delay_ms > order.timeout_ms:
            delay_ms, kind = order.timeout_ms, ports.OutcomeKind.TIMEOUT
        outcome = ports.Outcome(
            kind=kind,
            latency_ms=delay_ms,
            bytes_sent=True,
            draining=server.draining and not server.hides_draining_from_probes,
        )
        self.run_after(delay_ms, lambda: host.alive and host.placer.record_probe(order, outcome))

    def _deliver(self, sender: str, to: str, message: object) -> None:
        host = self.hosts[to]
        if not host.alive:
            return
        if self.clock.now_ms() < host.paused_until_ms:
            self.run_at(host.paused_until_ms, lambda: self._deliver(sender, to, message))
            return
        host.handlers[type(message)](sender, message)

    def _distance_ms(self, sender: str, to: str) -> float:
        if self._rows[sender].region == self._rows[to].region:
            return NEAR_MS
        return FAR_MS

    def _server_distance_ms(self, host: FleetHost, server: str) -> float:
        data_centre = next(entry.data_centre for entry in self.entries if entry.server == server)
        regions = {row.data_centre: row.region for row in self._rows.values()}
        same_region = regions.get(data_centre, host.row.region) == host.row.region
        link = f"region:{regions.get(data_centre, host.row.region)}"
        return (NEAR_MS if same_region else FAR_MS) + self.extra_ms(host.row.host, link)

    def _route(self, prefix: str, rank: int) -> types.RouteSpec:
        return types.RouteSpec(
            path_prefix=prefix,
            priority=rank,
            service=SERVICE,
            timeout_ms=self._timeouts.get(prefix, self._timeout_ms),
            target_latency_ms=self._target_ms,
        )


def two_regions(hosts_per_data_centre: int) -> tuple[ports.HostRow, ...]:
    """Return the rows of hosts in two regions with two data centres each."""
    return tuple(
        ports.HostRow(
            host=ids.HostId(f"{data_centre}-h{number}"),
            address="127.0.0.1:1",
            data_centre=ids.DataCentreId(data_centre),
            region=ids.RegionId(data_centre[:2]),
        )
        for data_centre in ("r1a", "r1b", "r2a", "r2b")
        for number in range(hosts_per_data_centre)
    )
