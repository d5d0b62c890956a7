"""Simulated hosts on a stepped clock, with a network that loses, delays, repeats and cuts."""

import heapq
import itertools
import random

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours
from verbenadrum.epochs import registry
from verbenadrum.membership import table as host_table
from verbenadrum.records import table as record_table
from verbenadrum.records import types
from verbenadrum.utils import clock

assert behaviours

TICK_MS = 100.0
START_WALL_MS = 1.7e12
START_WINDOW_MS = 20_000.0
SERVE_AFTER_MS = 7_000.0


class Host:
    """One incarnation of a host: its tables and systems, which a restart creates anew."""

    def __init__(self, fleet, name, data_centre, incarnation):
        self.fleet, self.name, self.data_centre = fleet, name, data_centre
        self.incarnation = incarnation
        self.paused = False
        origin_ms = fleet.rng.uniform(0, 1e6)
        skew_ms = fleet.rng.uniform(-fleet.skew_ms, fleet.skew_ms)
        self.clock = clock.SteppedClock(
            now_ms=origin_ms, wall_offset_ms=START_WALL_MS + fleet.now_ms + skew_ms - origin_ms
        )
        self.context = context.Context(
            host=ids.HostId(name),
            data_centre=ids.DataCentreId(data_centre),
            region=ids.RegionId("r"),
            incarnation=incarnation,
            clock=self.clock,
            rng=random.Random(fleet.rng.random()),
            send=lambda to, message: fleet.send(name, to, message),
            decisions=ring.DecisionRing(wall_ms=self.clock.wall_ms, size=200),
        )
        self.records = record_table.RecordTable()
        self.membership = host_table.HostTable()
        self.epochs = registry.epoch_systems.get(fleet.behaviour)(
            context=self.context, records=self.records, membership=self.membership
        )
        self.systems: list[system.System] = [self.epochs, *fleet.make_systems(self)]
        self.handlers = {kind: call for each in self.systems for kind, call in each.handlers()}

    def tick(self):
        for each in self.systems:
            each.on_tick()


class Fleet:
    """Hosts by name; the test sets the time, the faults and the host lists."""

    def __init__(self, *, seed, behaviour="vouched", hosts=(), skew_ms=500.0, first_start=False):
        self.rng = random.Random(seed)
        self.behaviour = behaviour
        self.skew_ms = skew_ms
        self.first_start = first_start
        self.now_ms = 0.0
        self.loss = self.repeat = 0.0
        self.delay_ms = (1.0, 5.0)
        self.cuts = set()
        self.hosts = {}
        self.lists = {}
        self.generation = {}
        self.weights = {}
        self.sent = 0
        self._queue = []
        self._numbers = itertools.count(1)
        if hosts:
            for name in hosts:
                self.open_start_window(name)
            self.publish(hosts)
            for name in hosts:
                self.start(name)

    def make_systems(self, host):
        """Return additional systems of a host; none here."""
        return []

    def open_start_window(self, name):
        """Open the start window of a host's data centre on its first call."""
        self.generation.setdefault(data_centre(name), (1, START_WALL_MS + START_WINDOW_MS))

    def publish(self, names):
        """Publish a host list; hosts receive it by `show`."""
        self.lists[max(self.lists, default=0) + 1] = tuple(sorted(names))

    @property
    def newest(self):
        return max(self.lists)

    def start(self, name, revision=None):
        """Start a host, or restart it without its state, with the list of a revision."""
        host = Host(self, name, data_centre(name), next(self._numbers))
        self.hosts[name] = host
        self.put_fleet_record(host)
        self.show(name, revision)

    def put_fleet_record(self, host):
        shares = tuple(
            types.DataCentreShare(
                data_centre=name,
                region="r",
                weight=self.weights.get(name, 1.0),
                generation=number,
                start_until_wall_ms=until,
            )
            for name, (number, until) in sorted(self.generation.items())
        )
        serve_ms = START_WALL_MS + SERVE_AFTER_MS if self.first_start else 0.0
        spec = types.FleetSpec(data_centres=shares, serve_from_wall_ms=serve_ms)
        host.records.put(
            types.Record(
                kind=types.RecordKind.FLEET,
                name="fleet",
                revision=sum(number for number, _ in self.generation.values()) + len(self.weights),
                spec=spec,
            )
        )

    def show(self, name, revision=None):
        """Give a host the list of a revision, by default the newest."""
        revision = revision or self.newest
        rows = tuple(
            ports.HostRow(
                host=each, address="127.0.0.1:1", data_centre=data_centre(each), region="r"
            )
            for each in self.lists[revision]
        )
        self.hosts[name].membership.replace(revision, rows)

    def show_all(self):
        for name in self.hosts:
            self.show(name)

    def stop(self, name):
        del self.hosts[name]

    def send(self, sender, to, message):
        self.sent += 1
        copies = 1 + (self.rng.random() < self.repeat)
        for _ in range(copies):
            if sender != to and (self.rng.random() < self.loss or (sender, to) in self.cuts):
                continue
            due_ms = self.now_ms + self.rng.uniform(*self.delay_ms)
            heapq.heappush(self._queue, (due_ms, next(self._numbers), sender, to, message))

    def advance(self, span_ms, check=None):
        """Advance the time with deliveries and ticks; ``check`` runs after each tick of all."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            step_ms = min(TICK_MS, end_ms - self.now_ms)
            self._deliver_until(self.now_ms + step_ms)
            for host in list(self.hosts.values()):
                if not host.paused:
                    host.tick()
            if check is not None:
                check()

    def _deliver_until(self, end_ms):
        delayed = []
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, number, sender, to, message = heapq.heappop(self._queue)
            self._advance_to(max(due_ms, self.now_ms))
            host = self.hosts.get(to)
            if host is None:
                continue
            if host.paused:
                delayed.append((end_ms + 1, number, sender, to, message))
            elif type(message) in host.handlers:
                host.handlers[type(message)](sender, message)
        self._advance_to(end_ms)
        for entry in delayed:
            heapq.heappush(self._queue, entry)

    def _advance_to(self, now_ms):
        for host in self.hosts.values():
            host.clock.advance(now_ms - self.now_ms)
        self.now_ms = now_ms

    def epochs(self):
        """Return the valid epoch of each host that has one."""
        found = {name: host.epochs.active() for name, host in self.hosts.items()}
        return {name: epoch for name, epoch in found.items() if epoch is not None}

    def violation(self):
        """Return which invariant the epochs violate now, or an empty string."""
        by_scope, alone = {}, {}
        for name, epoch in self.epochs().items():
            by_scope.setdefault(epoch.scope, []).append(epoch)
            if epoch.stable or self.hosts[name].clock.now_ms() < epoch.alone_until_ms:
                lists = alone.setdefault(epoch.scope, set())
                lists.add((epoch.generation, epoch.members))
        for epochs in by_scope.values():
            if sum(epoch.share for epoch in epochs) > 1 + 1e-9:
                return f"shares of {[(e.revision, e.share) for e in epochs]} exceed 1"
        for lists in alone.values():
            if len(lists) > 1:
                return f"stable epochs differ: {sorted(lists)}"
        return ""

    def check(self):
        problem = self.violation()
        assert not problem, problem


def data_centre(name):
    """Return the data centre in a host's name, such as ``a`` of ``a-3``."""
    return name.split("-")[0]


class Schedule:
    """Random faults of a fleet, drawn from its seed."""

    def __init__(self, fleet, *, scope="a"):
        self.fleet, self.scope = fleet, scope
        self.rng = random.Random(fleet.rng.random())
        self._next = len(fleet.hosts) + 1
        self._names = sorted(fleet.hosts)

    def step(self, check):
        """Apply one random fault or repair, and advance the time."""
        actions = (self.replace, self.show, self.show, self.pause, self.wake, self.restart)
        self.rng.choice((*actions, self.cut, self.heal, self.noise, self.quiet))()
        self.fleet.advance(self.rng.choice((100.0, 300.0, 1000.0, 2500.0, 5000.0)), check)

    def replace(self):
        """Publish a list with one or two hosts replaced, added or removed."""
        names = [each for each in self.fleet.lists[self.fleet.newest] if self._in_scope(each)]
        others = [each for each in self.fleet.lists[self.fleet.newest] if not self._in_scope(each)]
        for _ in range(self.rng.choice((0, 1, 1, 2))):
            if len(names) > 1:
                names.remove(self.rng.choice(names))
        for _ in range(self.rng.choice((0, 1, 1, 2))):
            name = f"{self.scope}-{self._next}"
            self._next += 1
            names.append(name)
        self.fleet.publish([*others, *names])
        for name in names:
            if name not in self.fleet.hosts:
                self.fleet.start(name)

    def _in_scope(self, name):
        return data_centre(name) == self.scope

    def _random_host(self):
        return self.rng.choice(sorted(each for each in self.fleet.hosts if self._in_scope(each)))

    def show(self):
        """Give some hosts a recent list, which may not be the newest."""
        revision = self.rng.choice(sorted(self.fleet.lists)[-3:])
        for name in self.fleet.hosts:
            if self.rng.random() < 0.6:
                self.fleet.show(name, revision)

    def pause(self):
        self.fleet.hosts[self._random_host()].paused = True

    def wake(self):
        for host in self.fleet.hosts.values():
            host.paused = False

    def restart(self):
        self.fleet.start(self._random_host())

    def raise_generation(self):
        """Stop every host of the data centre, start new ones, and publish a new generation."""
        if self.rng.random() > 0.2:
            return
        fleet = self.fleet
        number = fleet.generation[self.scope][0] + 1
        fleet.generation[self.scope] = (number, START_WALL_MS + fleet.now_ms + START_WINDOW_MS)
        for name in list(fleet.hosts):
            if self._in_scope(name):
                fleet.stop(name)
        for name in fleet.lists[fleet.newest]:
            if name not in fleet.hosts:
                fleet.start(name)
        fleet.advance(START_WINDOW_MS + 1_000.0, fleet.check)

    def cut(self):
        """Cut the network one way between random pairs of hosts."""
        names = sorted(self.fleet.hosts)
        count = self.rng.randrange(1, len(names) + 1)
        for _ in range(count):
            self.fleet.cuts.add((self.rng.choice(names), self.rng.choice(names)))

    def heal(self):
        self.fleet.cuts.clear()
        self.wake()

    def noise(self):
        self.fleet.loss = self.rng.choice((0.0, 0.05, 0.3))
        self.fleet.repeat = self.rng.choice((0.0, 0.3))
        self.fleet.delay_ms = self.rng.choice(((1.0, 5.0), (1.0, 400.0), (1.0, 4000.0)))

    def quiet(self):
        self.fleet.loss = self.fleet.repeat = 0.0
        self.fleet.delay_ms = (1.0, 5.0)
