"""Real limiters of many hosts over a fake peer channel, fake epochs and stepped time.

Hosts have clocks of their own origin. The channel delays, loses, repeats and cuts messages as
its faults say; a paused host hears and does nothing until it wakes.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import behaviours, context, engine, ports, system
from verbenadrum.decisions import ring
from verbenadrum.epochs import registry as epoch_registry
from verbenadrum.limits import registry
from verbenadrum.membership import table as host_table
from verbenadrum.messages import base, codec
from verbenadrum.records import table as record_table
from verbenadrum.records import types

assert behaviours

__all__ = ["EpochBook", "Faults", "Fleet", "Host", "RequestLog", "WALL_MS", "layout"]

WALL_MS = 1.7e12
_SAME_DATA_CENTRE_MS = 0.25
_SAME_REGION_MS = 0.5
_OTHER_REGION_MS = 15.0
_JITTER = 0.2
_EPOCH_LIFE_MS = 3_000.0
_EPOCH_RENEW_MS = 500.0
_DEADLINE_MS = 10_000.0


class HostClock:
    """Clock of one host: the fleet's time with an origin of its own."""

    def __init__(self, *, fleet: "Fleet", origin_ms: float) -> None:
        self._fleet = fleet
        self._origin_ms = origin_ms

    def now_ms(self) -> float:
        """Return this host's monotonic time."""
        return self._fleet.now_ms + self._origin_ms

    def wall_ms(self) -> float:
        """Return the wall time, which is the same on every host."""
        return self._fleet.now_ms + WALL_MS


class Faults(msgspec.Struct, kw_only=True):
    """What goes wrong on the channel.

    Attributes
    ----------
    loss, repeat : float
        Chance that a message is lost, or delivered a second time.
    late, late_ms : float
        Chance that a message is delayed, and by how much at most.
    cut : set of tuple
        One-way cuts between regions, data centres or hosts, as ``(from, to)``.
    """

    loss: float = 0.0
    repeat: float = 0.0
    late: float = 0.0
    late_ms: float = 0.0
    cut: set[tuple[str, str]] = msgspec.field(default_factory=set)


class RequestLog(msgspec.Struct, kw_only=True):
    """One request and what became of it; times are the fleet's."""

    workspace: ids.WorkspaceId
    host: ids.HostId
    at_ms: float
    granted: bool | None = None
    reason: str = ""
    ended_ms: float = 0.0


class EpochBook:
    """Fake epochs of every data centre.

    It gives each member an equal share, or what the unexpired promises to others leave of the
    whole, so that the promises of a data centre never sum to more than 1.
    """

    def __init__(self, *, fleet: "Fleet", life_ms: float = _EPOCH_LIFE_MS) -> None:
        self._fleet = fleet
        self._life_ms = life_ms
        self._promises: dict[str, list[tuple[str, float, float]]] = collections.defaultdict(list)
        self.members: dict[str, set[str]] = collections.defaultdict(set)

    def renew(self, host: "Host") -> None:
        """Promise a host its share for the life of an epoch."""
        now_ms = self._fleet.now_ms
        scope = host.row.data_centre
        if host.row.host not in self.members[scope]:
            return
        promises = [each for each in self._promises[scope] if each[2] > now_ms]
        taken: dict[str, float] = collections.defaultdict(float)
        for other, share, _ in promises:
            taken[other] = max(taken[other], share)
        own_before = taken.pop(host.row.host, 0.0)
        free = max(0.0, 1.0 - sum(taken.values()))
        share = min(1.0 / len(self.members[scope]), free)
        assert own_before <= free + 1e-9
        promises.append((host.row.host, share, now_ms + self._life_ms))
        self._promises[scope] = promises
        members = tuple(sorted(self.members[scope]))
        host.epoch = ports.Epoch(
            scope=ids.EpochScope(scope),
            generation=1,
            revision=1,
            members=members,
            next_members=members,
            share=share,
            since_wall_ms=0.0,
            valid_until_ms=host.clock.now_ms() + self._life_ms,
        )


class Host:
    """One limiter with its context, records and host list."""

    def __init__(
        self,
        *,
        fleet: "Fleet",
        row: ports.HostRow,
        make: Callable[..., ports.Limiter],
        seed: int,
        incarnation: int,
        epochs: str = "",
    ) -> None:
        rng = random.Random(seed)
        self._fleet = fleet
        self.row = row
        self.clock = HostClock(fleet=fleet, origin_ms=rng.uniform(0.0, 1e6))
        self.records = record_table.RecordTable()
        self.membership = host_table.HostTable()
        self.epoch: ports.Epoch | None = None
        self.alive = True
        self.awake_ms = 0.0
        self.renews = True
        self.context = context.Context(
            host=row.host,
            data_centre=row.data_centre,
            region=row.region,
            incarnation=incarnation,
            clock=self.clock,
            rng=rng,
            send=lambda to, message: fleet.send(self, to, message),
            decisions=ring.DecisionRing(wall_ms=self.clock.wall_ms),
        )
        self.systems: list[system.System] = []
        source: ports.EpochPort = self
        if epochs:
            source = epoch_registry.epoch_systems.get(epochs)(
                context=self.context, records=self.records, membership=self.membership
            )
            self.systems.append(source)
        self.limiter = make(
            context=self.context,
            records=self.records,
            membership=self.membership,
            epochs=source,
        )
        self.systems.append(self.limiter)
        self.handlers = {
            message_type: handler
            for each in self.systems
            for message_type, handler in each.handlers()
        }

    def active(self) -> ports.Epoch | None:
        """Return the epoch while it is valid."""
        if self.epoch is None or self.epoch.valid_until_ms <= self.clock.now_ms():
            return None
        return self.epoch


class Fleet:
    """Hosts, their channel and the requests sent to them.

    Parameters
    ----------
    seed : int
        Seed of the channel and of every host.
    make : callable or str
        Limiter class, or its registered name.
    epochs : str
        Registered name of the epoch system, or empty for the fake epochs of `EpochBook`.
    """

    def __init__(
        self, *, seed: int, make: Callable[..., ports.Limiter] | str, epochs: str = ""
    ) -> None:
        self._epochs = epochs
        self._rng = random.Random(seed)
        self._make = registry.limiters.get(make) if isinstance(make, str) else make
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._revision = 0
        self._list_revision = 0
        self._specs: dict[tuple[types.RecordKind, str], types.Record] = {}
        self.now_ms = 0.0
        self.faults = Faults()
        self.hosts: dict[ids.HostId, Host] = {}
        self.book = EpochBook(fleet=self)
        self.log: list[RequestLog] = []
        self.link_bytes: collections.Counter[tuple[str, str]] = collections.Counter()
        self.sent: collections.Counter[ids.HostId] = collections.Counter()
        self.measure_bytes = False

    @property
    def names(self) -> list[ids.HostId]:
        """Names of the running hosts."""
        return sorted(self.hosts)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time of the fleet."""
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Run every event up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = until_ms

    def add(self, row: ports.HostRow, *, member: bool = True) -> Host:
        """Start a host; one of the same name that still runs is ended first."""
        self.remove(row.host)
        host = Host(
            fleet=self,
            row=row,
            make=self._make,
            seed=self._rng.getrandbits(32),
            incarnation=self._rng.getrandbits(48),
            epochs=self._epochs,
        )
        self.hosts[row.host] = host
        for record in self._specs.values():
            host.records.put(record)
        if member:
            self.book.members[row.data_centre].add(row.host)
        self.at(self.now_ms + self._rng.uniform(0.0, engine.TICK_MS), lambda: self._tick(host))
        self.at(self.now_ms + self._rng.uniform(0.0, 50.0), lambda: self._renew(host))
        return host

    def remove(self, name: ids.HostId) -> None:
        """End a host without notice."""
        host = self.hosts.pop(name, None)
        if host is not None:
            host.alive = False
            self.book.members[host.row.data_centre].discard(name)

    def publish_hosts(
        self,
        *,
        lag_ms: Callable[[], float] = lambda: 0.0,
        leaving: frozenset[ids.HostId] = frozenset(),
        only: set[ids.HostId] | None = None,
    ) -> None:
        """Publish the list of running hosts, which each host learns after its own lag."""
        self._list_revision += 1
        revision = self._list_revision
        rows = tuple(
            (
                msgspec.structs.replace(host.row, state=ports.HostState.LEAVING)
                if name in leaving
                else host.row
            )
            for name, host in self.hosts.items()
        )
        for name, host in self.hosts.items():
            if only is None or name in only:
                self._defer(host, lag_ms(), _replace_list(host, revision, rows))

    def publish(
        self,
        kind: types.RecordKind,
        name: str,
        spec: types.Spec,
        *,
        lag_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Publish a record, which each host learns after its own lag."""
        self._revision += 1
        record = types.Record(kind=kind, name=name, revision=self._revision, spec=spec)
        self._specs[kind, name] = record
        for host in self.hosts.values():
            self._defer(host, lag_ms(), _put_record(host, record))

    def send(self, sender: Host, to: ids.HostId, message: base.Message) -> None:
        """Carry a message under the faults in force."""
        self.sent[sender.row.host] += 1
        host = self.hosts.get(to)
        if not sender.alive or host is None:
            return
        own, other = sender.row, host.row
        if self.measure_bytes and own.region != other.region:
            self.link_bytes[own.region, other.region] += len(codec.encode(own.host, message))
        if self._is_cut(own, other) or self._chance(self.faults.loss):
            return
        copies = 2 if self._chance(self.faults.repeat) else 1
        for _ in range(copies):
            self._defer(host, self._delay(own, other), _deliver(host, own.host, message))

    def request(
        self, name: ids.HostId, workspace: ids.WorkspaceId, deadline_ms: float = _DEADLINE_MS
    ) -> RequestLog:
        """Send one request to a host now."""
        row = RequestLog(workspace=workspace, host=name, at_ms=self.now_ms)
        self.log.append(row)
        host = self.hosts[name]

        def done(admission: ports.Admission) -> None:
            assert row.granted is None, "a verdict came twice"
            row.granted = admission.granted
            row.reason = admission.reason
            row.ended_ms = self.now_ms

        def begin() -> None:
            host.limiter.admit(
                workspace=workspace,
                request=ids.RequestId(str(len(self.log))),
                deadline_ms=host.clock.now_ms() + deadline_ms,
                done=done,
            )

        self._defer(host, 0.0, begin)
        return row

    def pause(self, name: ids.HostId, for_ms: float) -> None:
        """Stop a host for a while; it then wakes with everything that it missed."""
        host = self.hosts[name]
        host.awake_ms = max(host.awake_ms, self.now_ms + for_ms)

    def admitted(self, workspace: ids.WorkspaceId) -> list[float]:
        """Return the times at which a workspace's requests were admitted."""
        return [row.ended_ms for row in self.log if row.granted and row.workspace == workspace]

    def _tick(self, host: Host) -> None:
        if not host.alive:
            return
        if host.awake_ms > self.now_ms:
            self.at(host.awake_ms, lambda: self._tick(host))
            return
        for each in host.systems:
            each.on_tick()
        self.at(self.now_ms + engine.TICK_MS, lambda: self._tick(host))

    def _renew(self, host: Host) -> None:
        if not host.alive:
            return
        if host.renews and host.awake_ms <= self.now_ms:
            self.book.renew(host)
        self.at(self.now_ms + _EPOCH_RENEW_MS, lambda: self._renew(host))

    def _defer(self, host: Host, delay_ms: float, action: Callable[[], None]) -> None:
        def run() -> None:
            if not host.alive:
                return
            if host.awake_ms > self.now_ms:
                self.at(host.awake_ms, run)
            else:
                action()

        if delay_ms <= 0.0 and host.awake_ms <= self.now_ms:
            run()
        else:
            self.at(self.now_ms + delay_ms, run)

    def _delay(self, own: ports.HostRow, other: ports.HostRow) -> float:
        if own.region != other.region:
            delay_ms = _OTHER_REGION_MS
        elif own.data_centre != other.data_centre:
            delay_ms = _SAME_REGION_MS
        else:
            delay_ms = _SAME_DATA_CENTRE_MS
        delay_ms *= 1.0 + self._rng.random() * _JITTER
        if self._chance(self.faults.late):
            delay_ms += self._rng.uniform(0.0, self.faults.late_ms)
        return delay_ms

    def _chance(self, chance: float) -> bool:
        return chance > 0.0 and self._rng.random() < chance

    def _is_cut(self, own: ports.HostRow, other: ports.HostRow) -> bool:
        if not self.faults.cut:
            return False
        pairs = itertools.product(
            (own.region, own.data_centre, own.host), (other.region, other.data_centre, other.host)
        )
        return any(pair in self.faults.cut for pair in pairs)


def layout(regions: int, data_centres: int, hosts: int) -> list[ports.HostRow]:
    """Return the rows of ``hosts`` hosts in each of the data centres of each region."""
    return [
        ports.HostRow(
            host=ids.HostId(f"h{region}{centre}{index:03d}"),
            address="127.0.0.1:1",
            data_centre=ids.DataCentreId(f"dc{region}{centre}"),
            region=ids.RegionId(f"r{region}"),
        )
        for region in range(regions)
        for centre in range(data_centres)
        for index in range(hosts)
    ]


def _deliver(host: Host, sender: ids.HostId, message: base.Message) -> Callable[[], None]:
    def run() -> None:
        handler = host.handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    return run


def _put_record(host: Host, record: types.Record) -> Callable[[], None]:
    return lambda: host.records.put(record)


def _replace_list(host: Host, revision: int, rows: tuple[ports.HostRow, ...]) -> Callable[[], None]:
    return lambda: host.membership.replace(revision, rows)
