"""Simulated fleet of hosts with real limiters, for tests and benchmarks of rate limits.

The peer channel, the epochs and the time are simulated. Each host's monotonic clock has its own
origin. The channel delays, loses, duplicates and blocks messages according to `Faults`. A paused
host processes nothing; what reaches it meanwhile is processed when the pause ends.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours, engine
from verbenadrum.epochs import registry as epoch_registry
from verbenadrum.limits import registry
from verbenadrum.membership import table as host_table
from verbenadrum.messages import base, codec
from verbenadrum.records import table as record_table
from verbenadrum.records import types

assert behaviours  # Importing it registers the implementations that are chosen by name.

__all__ = ["FakeEpochs", "Faults", "Fleet", "Host", "RequestLog", "WALL_MS", "layout"]

WALL_MS = 1.7e12
_SAME_DATA_CENTRE_DELAY_MS = 0.25
_SAME_REGION_DELAY_MS = 0.5
_OTHER_REGION_DELAY_MS = 15.0
_JITTER_FRACTION = 0.2
_EPOCH_LIFETIME_MS = 3_000.0
_EPOCH_RENEWAL_INTERVAL_MS = 500.0
_REQUEST_TIMEOUT_MS = 10_000.0


class HostClock:
    """Clock of one host: the simulated time, with the host's own origin of monotonic time."""

    def __init__(self, *, fleet: "Fleet", origin_ms: float) -> None:
        self._fleet = fleet
        self._origin_ms = origin_ms

    def now_ms(self) -> float:
        """Return this host's monotonic time."""
        return self._fleet.now_ms + self._origin_ms

    def wall_ms(self) -> float:
        """Return the wall time, which is the same on every host."""
        return self._fleet.now_ms + WALL_MS

    def boot_ms(self) -> float:
        """Return this host's monotonic time, as nothing is ever suspended."""
        return self.now_ms()


class Faults(msgspec.Struct, kw_only=True):
    """Faults of the peer channel.

    Attributes
    ----------
    loss, repeat : float
        Probability that a message is lost, or delivered twice.
    late, late_ms : float
        Probability that a message is delayed further, and the maximum of this delay.
    cut : set of tuple
        Blocked directions between regions, data centres or hosts, as ``(sender, receiver)``.
    """

    loss: float = 0.0
    repeat: float = 0.0
    late: float = 0.0
    late_ms: float = 0.0
    cut: set[tuple[str, str]] = msgspec.field(default_factory=set)


class RequestLog(msgspec.Struct, kw_only=True):
    """One request and the limiter's decision on it.

    Attributes
    ----------
    at_ms, ended_ms : float
        Simulated times of the request and of the decision.
    granted : bool or None
        Whether it was admitted; None before the decision.
    reason : str
        Reason of the decision.
    """

    workspace: ids.WorkspaceId
    host: ids.HostId
    at_ms: float
    granted: bool | None = None
    reason: str = ""
    ended_ms: float = 0.0


class FakeEpochs:
    """Simulated epochs of every data centre.

    Each member is granted an equal share, or less if the unexpired grants of the other members
    leave less, so that the unexpired grants of a data centre never sum to more than 1.

    Attributes
    ----------
    members : dict of str to set of str
        Hosts that are counted as members, by data centre.
    """

    def __init__(self, *, fleet: "Fleet", lifetime_ms: float = _EPOCH_LIFETIME_MS) -> None:
        self._fleet = fleet
        self._lifetime_ms = lifetime_ms
        self._grants: dict[str, list[tuple[str, float, float]]] = collections.defaultdict(list)
        self.members: dict[str, set[str]] = collections.defaultdict(set)

    def renew(self, host: "Host") -> None:
        """Grant a host its share for the lifetime of an epoch, if it is a member."""
        now_ms = self._fleet.now_ms
        scope = host.row.data_centre
        if host.row.host not in self.members[scope]:
            return
        grants = [grant for grant in self._grants[scope] if grant[2] > now_ms]
        granted_shares: dict[str, float] = collections.defaultdict(float)
        for member, share, _ in grants:
            granted_shares[member] = max(granted_shares[member], share)
        previous_share = granted_shares.pop(host.row.host, 0.0)
        available = max(0.0, 1.0 - sum(granted_shares.values()))
        share = min(1.0 / len(self.members[scope]), available)
        assert previous_share <= available + 1e-9
        grants.append((host.row.host, share, now_ms + self._lifetime_ms))
        self._grants[scope] = grants
        members = tuple(sorted(self.members[scope]))
        host.epoch = ports.Epoch(
            scope=ids.EpochScope(scope),
            generation=1,
            revision=1,
            members=members,
            next_members=members,
            share=share,
            since_wall_ms=0.0,
            valid_until_ms=host.clock.now_ms() + self._lifetime_ms,
        )


class Host:
    """Simulated host: a limiter with its context, records and host list.

    Attributes
    ----------
    paused_until_ms : float
        Simulated time at which its pause ends.
    renews : bool
        Whether its simulated epoch is renewed.
    """

    def __init__(
        self,
        *,
        fleet: "Fleet",
        row: ports.HostRow,
        make_limiter: Callable[..., ports.Limiter],
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
        self.paused_until_ms = 0.0
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
        epoch_source: ports.EpochPort = self
        if epochs:
            epoch_source = epoch_registry.epoch_systems.get(epochs)(
                context=self.context, records=self.records, membership=self.membership
            )
            self.systems.append(epoch_source)
        self.limiter = make_limiter(
            context=self.context,
            records=self.records,
            membership=self.membership,
            epochs=epoch_source,
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
    """Simulated hosts, their peer channel and the requests sent to them.

    Parameters
    ----------
    seed : int
        Seed of the channel and of every host.
    limiter : callable or str
        Limiter class, or its registered name.
    epochs : str
        Registered name of the epoch system, or empty for the simulated epochs of `FakeEpochs`.

    Attributes
    ----------
    log : list of RequestLog
        All requests sent.
    sent : Counter
        Number of messages that each host has sent.
    link_bytes : Counter
        Encoded bytes sent from region to region, counted while ``measure_bytes`` is true.
    """

    def __init__(
        self, *, seed: int, limiter: Callable[..., ports.Limiter] | str, epochs: str = ""
    ) -> None:
        self._epochs = epochs
        self._rng = random.Random(seed)
        self._make_limiter = registry.limiters.get(limiter) if isinstance(limiter, str) else limiter
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._revision = 0
        self._host_list_revision = 0
        self._published_records: dict[tuple[types.RecordKind, str], types.Record] = {}
        self.now_ms = 0.0
        self.faults = Faults()
        self.hosts: dict[ids.HostId, Host] = {}
        self.fake_epochs = FakeEpochs(fleet=self)
        self.log: list[RequestLog] = []
        self.link_bytes: collections.Counter[tuple[str, str]] = collections.Counter()
        self.sent: collections.Counter[ids.HostId] = collections.Counter()
        self.measure_bytes = False

    @property
    def names(self) -> list[ids.HostId]:
        """Names of the running hosts."""
        return sorted(self.hosts)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def run(self, until_ms: float) -> None:
        """Advance the simulated time, and run the actions due until then."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = until_ms

    def add(self, row: ports.HostRow, *, member: bool = True) -> Host:
        """Start and return a host, which first replaces a running host of the same name.

        Parameters
        ----------
        row : HostRow
            Identity and place of the host.
        member : bool
            Whether the simulated epochs count it as a member at once.
        """
        self.remove(row.host)
        host = Host(
            fleet=self,
            row=row,
            make_limiter=self._make_limiter,
            seed=self._rng.getrandbits(32),
            incarnation=self._rng.getrandbits(48),
            epochs=self._epochs,
        )
        self.hosts[row.host] = host
        for record in self._published_records.values():
            host.records.put(record)
        if member:
            self.fake_epochs.members[row.data_centre].add(row.host)
        self.at(self.now_ms + self._rng.uniform(0.0, engine.TICK_MS), lambda: self._tick(host))
        self.at(self.now_ms + self._rng.uniform(0.0, 50.0), lambda: self._renew(host))
        return host

    def remove(self, name: ids.HostId) -> None:
        """Stop a host without notice; do nothing if it does not run."""
        host = self.hosts.pop(name, None)
        if host is not None:
            host.alive = False
            self.fake_epochs.members[host.row.data_centre].discard(name)

    def publish_hosts(
        self,
        *,
        lag_ms: Callable[[], float] = lambda: 0.0,
        leaving: frozenset[ids.HostId] = frozenset(),
        only: set[ids.HostId] | None = None,
    ) -> None:
        """Publish the list of running hosts.

        Parameters
        ----------
        lag_ms : callable
            Returns the delay after which a host applies it; called once for each host.
        leaving : frozenset of HostId
            Hosts that are listed as leaving.
        only : set of HostId, optional
            Hosts that receive the list, by default all.
        """
        self._host_list_revision += 1
        revision = self._host_list_revision
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
                self._defer(host, lag_ms(), _replace_host_list(host, revision, rows))

    def publish(
        self,
        kind: types.RecordKind,
        name: str,
        spec: types.Spec,
        *,
        lag_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Publish a record, which each host applies after its own lag; see `publish_hosts`."""
        self._revision += 1
        record = types.Record(kind=kind, name=name, revision=self._revision, spec=spec)
        self._published_records[kind, name] = record
        for host in self.hosts.values():
            self._defer(host, lag_ms(), _put_record(host, record))

    def send(self, sender: Host, to: ids.HostId, message: base.Message) -> None:
        """Send a message over the channel, subject to the present faults."""
        self.sent[sender.row.host] += 1
        host = self.hosts.get(to)
        if not sender.alive or host is None:
            return
        sender_row, receiver_row = sender.row, host.row
        if self.measure_bytes and sender_row.region != receiver_row.region:
            self.link_bytes[sender_row.region, receiver_row.region] += len(
                codec.encode(sender_row.host, message)
            )
        if self._is_cut(sender_row, receiver_row) or self._occurs(self.faults.loss):
            return
        copies = 2 if self._occurs(self.faults.repeat) else 1
        for _ in range(copies):
            self._defer(
                host,
                self._draw_delay_ms(sender_row, receiver_row),
                _deliver(host, sender_row.host, message),
            )

    def request(
        self, name: ids.HostId, workspace: ids.WorkspaceId, deadline_ms: float = _REQUEST_TIMEOUT_MS
    ) -> RequestLog:
        """Send one request to a host now; return its log, which the decision completes."""
        row = RequestLog(workspace=workspace, host=name, at_ms=self.now_ms)
        self.log.append(row)
        host = self.hosts[name]

        def done(admission: ports.Admission) -> None:
            assert row.granted is None, "the limiter decided a request twice"
            row.granted = admission.granted
            row.reason = admission.reason
            row.ended_ms = self.now_ms

        def admit() -> None:
            host.limiter.admit(
                workspace=workspace,
                request=ids.RequestId(str(len(self.log))),
                deadline_ms=host.clock.now_ms() + deadline_ms,
                done=done,
            )

        self._defer(host, 0.0, admit)
        return row

    def pause(self, name: ids.HostId, for_ms: float) -> None:
        """Pause a host; messages and updates that reach it meanwhile are processed afterwards."""
        host = self.hosts[name]
        host.paused_until_ms = max(host.paused_until_ms, self.now_ms + for_ms)

    def admitted(self, workspace: ids.WorkspaceId) -> list[float]:
        """Return the times at which a workspace's requests were admitted."""
        return [row.ended_ms for row in self.log if row.granted and row.workspace == workspace]

    def _tick(self, host: Host) -> None:
        if not host.alive:
            return
        if host.paused_until_ms > self.now_ms:
            self.at(host.paused_until_ms, lambda: self._tick(host))
            return
        for each in host.systems:
            each.on_tick()
        self.at(self.now_ms + engine.TICK_MS, lambda: self._tick(host))

    def _renew(self, host: Host) -> None:
        if not host.alive:
            return
        if host.renews and host.paused_until_ms <= self.now_ms:
            self.fake_epochs.renew(host)
        self.at(self.now_ms + _EPOCH_RENEWAL_INTERVAL_MS, lambda: self._renew(host))

    def _defer(self, host: Host, delay_ms: float, action: Callable[[], None]) -> None:
        def run() -> None:
            if not host.alive:
                return
            if host.paused_until_ms > self.now_ms:
                self.at(host.paused_until_ms, run)
            else:
                action()

        if delay_ms <= 0.0 and host.paused_until_ms <= self.now_ms:
            run()
        else:
            self.at(self.now_ms + delay_ms, run)

    def _draw_delay_ms(self, sender_row: ports.HostRow, receiver_row: ports.HostRow) -> float:
        if sender_row.region != receiver_row.region:
            delay_ms = _OTHER_REGION_DELAY_MS
        elif sender_row.data_centre != receiver_row.data_centre:
            delay_ms = _SAME_REGION_DELAY_MS
        else:
            delay_ms = _SAME_DATA_CENTRE_DELAY_MS
        delay_ms *= 1.0 + self._rng.random() * _JITTER_FRACTION
        if self._occurs(self.faults.late):
            delay_ms += self._rng.uniform(0.0, self.faults.late_ms)
        return delay_ms

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self._rng.random() < probability

    def _is_cut(self, sender_row: ports.HostRow, receiver_row: ports.HostRow) -> bool:
        if not self.faults.cut:
            return False
        pairs = itertools.product(
            (sender_row.region, sender_row.data_centre, sender_row.host),
            (receiver_row.region, receiver_row.data_centre, receiver_row.host),
        )
        return any(pair in self.faults.cut for pair in pairs)


def layout(regions: int, data_centres: int, hosts: int) -> list[ports.HostRow]:
    """Return the rows of ``hosts`` hosts in each of ``data_centres`` data centres per region."""
    return [
        ports.HostRow(
            host=ids.HostId(f"h{region}{data_centre}{index:03d}"),
            address="127.0.0.1:1",
            data_centre=ids.DataCentreId(f"dc{region}{data_centre}"),
            region=ids.RegionId(f"r{region}"),
        )
        for region in range(regions)
        for data_centre in range(data_centres)
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


def _replace_host_list(
    host: Host, revision: int, rows: tuple[ports.HostRow, ...]
) -> Callable[[], None]:
    return lambda: host.membership.replace(revision, rows)
