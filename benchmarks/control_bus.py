"""Measures the cost of control traffic per host, with the real engines in stepped time.

Messages are encoded and decoded by the real codec. Only the hosts are measured: a backend server
is simulated by a fixed delay, and the platform by the records applied at the start.
"""

import collections
import heapq
import itertools
import random
import time

import msgspec

from standins import spreading
from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import behaviours, engine
from verbenadrum.entry import keys
from verbenadrum.messages import codec
from verbenadrum.utils import clock

__all__ = ["ControlBus", "HostCost", "Layout", "MessageCost"]

assert behaviours  # Importing it registers the implementations that are chosen by name.

_SAME_REGION_DELAY_MS = 1.0
_OTHER_REGION_DELAY_MS = 30.0
_SERVICE_MS = 20.0
_KEY_PREFIX = "bench-key"
_SERVICE = "svc"
_MS_PER_S = 1000.0
_US_PER_S = 1e6


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of hosts, data centres, regions, backend servers and active workspaces."""

    host_count: int
    data_centres: int = 4
    regions: int = 2
    server_count: int = 40
    workspaces: int = 8


class MessageCost(msgspec.Struct, frozen=True, kw_only=True):
    """Number of messages of one type, their mean size, and the mean time to process one.

    The time covers decoding and handling; it is wall-clock time, like all times measured here.
    """

    count: int
    mean_bytes: float
    mean_cpu_us: float


class HostCost(msgspec.Struct, frozen=True, kw_only=True):
    """Mean cost of one host per second of simulated time.

    Attributes
    ----------
    cpu_ms : float
        Processing time of ticks, requests and messages, including encoding and decoding.
    bytes_sent, messages_sent : float
        Traffic to other hosts.
    far_bytes_sent : float
        Traffic to hosts of another region.
    by_type : dict of str to float
        Bytes sent, by message type.
    busiest_cpu_ms, busiest_bytes_sent : float
        Processing time, and bytes sent, of the host with the largest value.
    tick_cpu_us : float
        Mean processing time of one tick.
    hosts_per_server : float
        Mean number of hosts that sent requests to a backend server; each of them keeps a
        connection open to it.
    messages : dict of str to MessageCost
        Cost of processing received messages, by message type.
    """

    cpu_ms: float
    bytes_sent: float
    messages_sent: float
    far_bytes_sent: float
    by_type: dict[str, float]
    busiest_cpu_ms: float
    busiest_bytes_sent: float
    tick_cpu_us: float
    hosts_per_server: float
    messages: dict[str, MessageCost]


class _Sink:
    """Simulates the backend servers: answers each attempt after ``_SERVICE_MS``."""

    def __init__(self, bus: "ControlBus", host: ids.HostId) -> None:
        self._bus = bus
        self._host = host

    def dispatch(self, order: ports.DispatchOrder) -> None:
        self._bus.hosts_by_server.setdefault(order.server, set()).add(self._host)
        self._bus.run_after(_SERVICE_MS, lambda: self._bus.answer(self._host, order))

    def refuse(self, refusal: ports.Refusal) -> None:
        self._bus.refused[refusal.code] += 1

    def replay(self, answer: ports.StoredAnswer) -> None:
        self._bus.refused["replayed"] += 1

    def cancel(self, lease: ids.LeaseId) -> None:
        pass


class ControlBus:
    """Engines of all hosts of a layout on one stepped clock.

    Parameters
    ----------
    layout : Layout
        Size of the fleet.
    seed : int
        Seed of all random numbers.

    Attributes
    ----------
    answered : int
        Number of requests answered since the last `run` began.
    refused : Counter
        Number of requests refused since then, by code.
    hosts_by_server : dict of ServerId to set of HostId
        Hosts that sent requests to each server since then.
    """

    def __init__(self, *, layout: Layout, seed: int) -> None:
        self._layout = layout
        self._rng = random.Random(seed)
        self._clock = clock.SteppedClock()
        self._events: list = []
        self._event_numbers = itertools.count()
        self._cpu_s: collections.Counter[str] = collections.Counter()
        self._ticks_cpu_s = 0.0
        self._ticks = 0
        self._message_totals: dict[str, list[float]] = {}
        self._bytes_by_host: collections.Counter[str] = collections.Counter()
        self._bytes_by_type: collections.Counter[str] = collections.Counter()
        self._sent_messages = 0
        self._other_region_bytes = 0
        self._request_numbers = itertools.count()
        self.refused: collections.Counter[str] = collections.Counter()
        self.answered = 0
        self.hosts_by_server: dict[ids.ServerId, set[ids.HostId]] = {}
        self._rows = [self._make_row(number) for number in range(layout.host_count)]
        self._records = self._make_records()
        self._region_by_host = {row.host: row.region for row in self._rows}
        self._engines = {row.host: self._make_engine(row) for row in self._rows}
        for number, (host, host_engine) in enumerate(self._engines.items()):
            self._start_engine(host, host_engine, number)

    def run(self, duration_ms: float, *, requests_per_s: float = 0.0) -> HostCost:
        """Advance the simulated time, and return the mean cost of a host in it.

        Parameters
        ----------
        duration_ms : float
            Simulated time.
        requests_per_s : float
            Mean number of random requests sent to each host per second.
        """
        self._reset()
        end_ms = self._clock.now_ms() + duration_ms
        if requests_per_s > 0:
            for host in self._engines:
                self._schedule_request(host, requests_per_s, end_ms)
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, due_ms - self._clock.now_ms()))
            action()
        self._clock.advance(end_ms - self._clock.now_ms())
        return self._cost(duration_ms)

    def run_after(self, delay_ms: float, action) -> None:
        """Schedule an action after a delay."""
        due_ms = self._clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._event_numbers), action))

    def answer(self, host: ids.HostId, order: ports.DispatchOrder) -> None:
        """Report a successful outcome of an attempt to its host."""
        outcome = ports.Outcome(
            kind=ports.OutcomeKind.OK, latency_ms=_SERVICE_MS, bytes_sent=True, status=200
        )
        host_engine = self._engines[host]
        started_s = time.perf_counter()
        if host_engine.commit(order.request, order.lease):
            self.answered += 1
        host_engine.complete_attempt(order.request, order.lease, outcome)
        self._cpu_s[host] += time.perf_counter() - started_s

    def _make_row(self, number: int) -> ports.HostRow:
        data_centre = number % self._layout.data_centres
        return ports.HostRow(
            host=ids.HostId(f"h{number:04d}"),
            address=f"127.0.0.1:{20_000 + number}",
            data_centre=ids.DataCentreId(f"d{data_centre}"),
            region=ids.RegionId(f"r{data_centre % self._layout.regions}"),
        )

    def _make_engine(self, row: ports.HostRow) -> engine.Engine:
        host_context = context.Context(
            host=row.host,
            data_centre=row.data_centre,
            region=row.region,
            incarnation=1,
            clock=self._clock,
            rng=random.Random(self._rng.random()),
            send=lambda to, message: self._send(row.host, to, message),
            decisions=ring.DecisionRing(wall_ms=self._clock.wall_ms, size=64),
        )
        return engine.Engine(context=host_context, choices=engine.Choices(), address=row.address)

    def _start_engine(self, host: ids.HostId, host_engine: engine.Engine, number: int) -> None:
        host_engine.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=tuple(self._rows)))
        host_engine.on_platform_records(self._records)
        self.run_after(
            engine.TICK_MS * number / len(self._rows), lambda: self._tick(host, host_engine)
        )

    def _make_records(self) -> duty.RecordsAnswer:
        layout = self._layout
        servers = [
            {
                "server": f"s{number}",
                "address": f"127.0.0.1:{40_000 + number}",
                "data_centre": f"d{number % layout.data_centres}",
            }
            for number in range(layout.server_count)
        ]
        shares = [
            {
                "data_centre": f"d{number}",
                "region": f"r{number % layout.regions}",
                "start_until_wall_ms": self._clock.wall_ms() + 600_000.0,
            }
            for number in range(layout.data_centres)
        ]
        specs: list[tuple[str, str, dict]] = [
            ("fleet", "fleet", {"data_centres": shares, "first_start": True}),
            ("route", "all", {"path_prefix": "/", "service": _SERVICE}),
            ("pool", _SERVICE, {"servers": servers}),
        ]
        for number in range(layout.workspaces):
            name = f"w{number}"
            sha256 = keys.hash_key(f"{_KEY_PREFIX}{number}")
            specs.append(("workspace", name, {"rate_per_s": 10_000.0, "burst": 10_000.0}))
            specs.append(("key", name, {"workspace": name, "sha256": sha256}))
        return duty.RecordsAnswer(
            after=0,
            revision=len(specs),
            final=True,
            envelopes=tuple(
                spreading.envelope_of(kind, name, revision, spec)
                for revision, (kind, name, spec) in enumerate(specs, start=1)
            ),
        )

    def _tick(self, host: ids.HostId, host_engine: engine.Engine) -> None:
        started_s = time.perf_counter()
        host_engine.on_tick()
        spent_s = time.perf_counter() - started_s
        self._cpu_s[host] += spent_s
        self._ticks_cpu_s += spent_s
        self._ticks += 1
        self.run_after(engine.TICK_MS, lambda: self._tick(host, host_engine))

    def _send(self, sender: ids.HostId, to: ids.HostId, message: object) -> None:
        data = codec.encode(sender, message)
        if to not in self._engines:
            return
        if to != sender:
            self._sent_messages += 1
            self._bytes_by_type[type(message).__name__] += len(data)
            self._bytes_by_host[sender] += len(data)
        other_region = self._region_by_host[sender] != self._region_by_host[to]
        self._other_region_bytes += len(data) if other_region else 0
        self.run_after(
            _OTHER_REGION_DELAY_MS if other_region else _SAME_REGION_DELAY_MS,
            lambda: self._deliver(to, data),
        )

    def _deliver(self, to: ids.HostId, data: bytes) -> None:
        started_s = time.perf_counter()
        envelope = codec.decode(data)
        self._engines[to].on_message(ids.HostId(envelope.sender), envelope.message)
        spent_s = time.perf_counter() - started_s
        self._cpu_s[to] += spent_s
        totals = self._message_totals.setdefault(type(envelope.message).__name__, [0, 0, 0.0])
        totals[0] += 1
        totals[1] += len(data)
        totals[2] += spent_s

    def _schedule_request(self, host: ids.HostId, rate_per_s: float, end_ms: float) -> None:
        if self._clock.now_ms() >= end_ms:
            return
        self.run_after(
            self._rng.expovariate(rate_per_s) * _MS_PER_S,
            lambda: self._request(host, rate_per_s, end_ms),
        )

    def _request(self, host: ids.HostId, rate_per_s: float, end_ms: float) -> None:
        number = next(self._request_numbers)
        head = ports.RequestHead(
            request=ids.RequestId(f"{number:032x}"),
            method="GET",
            host="any",
            path=f"/item/{number}",
            api_key=f"{_KEY_PREFIX}{number % self._layout.workspaces}",
        )
        started_s = time.perf_counter()
        self._engines[host].begin(head, _Sink(self, host))
        self._cpu_s[host] += time.perf_counter() - started_s
        self._schedule_request(host, rate_per_s, end_ms)

    def _reset(self) -> None:
        self._cpu_s.clear()
        self._ticks_cpu_s, self._ticks = 0.0, 0
        self._message_totals.clear()
        self.hosts_by_server.clear()
        self._bytes_by_host.clear()
        self._bytes_by_type.clear()
        self._sent_messages = 0
        self._other_region_bytes = 0
        self.answered = 0
        self.refused.clear()

    def _cost(self, duration_ms: float) -> HostCost:
        host_seconds = len(self._rows) * duration_ms / _MS_PER_S
        return HostCost(
            cpu_ms=self._cpu_s.total() * _MS_PER_S / host_seconds,
            bytes_sent=self._bytes_by_type.total() / host_seconds,
            messages_sent=self._sent_messages / host_seconds,
            far_bytes_sent=self._other_region_bytes / host_seconds,
            by_type={name: count / host_seconds for name, count in self._bytes_by_type.items()},
            busiest_cpu_ms=max(self._cpu_s.values()) * _MS_PER_S * _MS_PER_S / duration_ms,
            busiest_bytes_sent=max(self._bytes_by_host.values()) * _MS_PER_S / duration_ms,
            hosts_per_server=sum(map(len, self.hosts_by_server.values()))
            / self._layout.server_count,
            tick_cpu_us=self._ticks_cpu_s / max(1, self._ticks) * _US_PER_S,
            messages={
                name: MessageCost(
                    count=count, mean_bytes=size / count, mean_cpu_us=spent_s / count * _US_PER_S
                )
                for name, (count, size, spent_s) in sorted(self._message_totals.items())
            },
        )
