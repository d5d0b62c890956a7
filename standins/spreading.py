"""Simulated dissemination of records and host lists, in stepped time.

Each host runs the real engine, without requests. The simulated platform, from which some hosts
read, can be stale or unreachable.
"""

import bisect
import random

import msgspec

from standins import channel
from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import behaviours, engine
from verbenadrum.records import types
from verbenadrum.utils import clock

__all__ = ["Fleet", "SteppedPlatform", "SteppedHost", "envelope_of"]

assert behaviours  # Importing it registers the implementations that are chosen by name.

STEP_MS = 5.0

_NEAR_PLATFORM_LATENCY_MS = 5.0
_FAR_PLATFORM_LATENCY_MS = 60.0
_POLL_MARGIN_MS = 2_000.0
_MAX_ANSWER_BYTES = 1_000_000

_CHOICES = engine.Choices(
    readers="rendezvous",
    limits="static_split",
    claims="local",
    epochs="listed",
    placement="power_of_two",
    health="consecutive",
)


def envelope_of(kind: str, name: str, revision: int, spec: object) -> bytes:
    """Return the JSON envelope of a record with the present schema version."""
    document = {
        "kind": kind,
        "name": name,
        "revision": revision,
        "schema": types.SCHEMA_VERSION,
        "spec": spec,
    }
    return msgspec.json.encode(document)


class SteppedPlatform:
    """Simulated platform, which holds the published records and host list.

    Attributes
    ----------
    revision, hosts_revision : int
        Newest revision of the records and of the host list.
    rows : tuple of HostRow
        Published host list.
    down : bool
        Whether it answers no host.
    unreachable : set of str
        Hosts that it does not answer.
    stale : dict of str to (int, int)
        Revisions of the records and of the host list at which it was frozen for a host.
    calls : int
        Number of polls that hosts have sent.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.hosts_revision = 0
        self.rows: tuple[ports.HostRow, ...] = ()
        self.down = False
        self.unreachable: set[str] = set()
        self.stale: dict[str, tuple[int, int]] = {}
        self.calls = 0
        self._records: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._sorted_records: list[tuple[int, bytes]] | None = None
        self._frozen_records: dict[str, list[tuple[int, bytes]]] = {}

    def publish(self, kind: str, name: str, spec: object) -> int:
        """Publish a record under a new revision, which is returned."""
        self.revision += 1
        self.publish_envelope(kind, name, envelope_of(kind, name, self.revision, spec))
        return self.revision

    def publish_envelope(self, kind: str, name: str, data: bytes) -> None:
        """Publish an envelope whose revision is the platform's newest."""
        self._records[kind, name] = (self.revision, data)
        self._sorted_records = None

    def latest(self, kind: str, name: str) -> int:
        """Return the newest revision of a record, or 0 if it was never published."""
        return self._records.get((kind, name), (0, b""))[0]

    def list_hosts(self, rows: tuple[ports.HostRow, ...]) -> None:
        """Publish a host list."""
        self.hosts_revision += 1
        self.rows = rows

    def freeze(self, host: str) -> None:
        """Answer a host from the present state from now on, like a replica that lags behind."""
        self.stale[host] = (self.revision, self.hosts_revision)
        self._frozen_records[host] = sorted(self._records.values())

    def is_reachable_from(self, host: str) -> bool:
        """Return whether the platform is reachable from a host."""
        return not self.down and host not in self.unreachable

    def records_after(self, host: str, after: int) -> duty.RecordsAnswer | None:
        """Return the answer to a poll for records, or None if the poll would wait for a change.

        A stale replica that is polled with a later revision than its own returns all its records.
        The answer is limited to about ``_MAX_ANSWER_BYTES`` and marked as incomplete if cut.
        """
        visible_revision, _ = self.stale.get(host, (self.revision, 0))
        if visible_revision == after:
            return None
        records = self._visible_records(host)
        if after < visible_revision:
            start = bisect.bisect_right(records, after, key=lambda entry: entry[0])
            records = records[start:]
        size = 0
        envelopes = []
        for _, data in records:
            size += len(data)
            if size > _MAX_ANSWER_BYTES and envelopes:
                break
            envelopes.append(data)
        return duty.RecordsAnswer(
            after=after,
            revision=visible_revision,
            final=len(envelopes) == len(records),
            envelopes=tuple(envelopes),
        )

    def _visible_records(self, host: str) -> list[tuple[int, bytes]]:
        if host in self.stale:
            return self._frozen_records[host]
        if self._sorted_records is None:
            self._sorted_records = sorted(self._records.values())
        return self._sorted_records

    def hosts_after(self, host: str, after: int) -> duty.HostsAnswer | None:
        """Return the answer to a poll for the host list, or None if the poll would wait.

        Earlier lists are not kept, so a host that reads stale data gets no rows once the list has
        changed.
        """
        _, visible_revision = self.stale.get(host, (0, self.hosts_revision))
        if visible_revision == after:
            return None
        rows = self.rows if visible_revision == self.hosts_revision else ()
        return duty.HostsAnswer(after=after, revision=visible_revision, rows=rows)


class _Poll(msgspec.Struct):
    """A long poll that is open at the platform; times are simulated monotonic times."""

    after: int
    arrives_ms: float
    until_ms: float
    latency_ms: float
    answer: duty.RecordsAnswer | duty.HostsAnswer | None = None
    answer_ms: float = 0.0


class SteppedHost:
    """Simulated host: its engine and its open polls.

    While ``paused`` is true, it does nothing and queues the messages that it receives.
    """

    def __init__(
        self,
        *,
        row: ports.HostRow,
        fleet: "Fleet",
        incarnation: int,
        platform_latency_ms: float,
        address: str = "",
    ) -> None:
        self.row = row
        self.paused = False
        self._fleet = fleet
        self._platform_latency_ms = platform_latency_ms
        self.decisions = ring.DecisionRing(wall_ms=fleet.time.wall_ms, size=512)
        self.engine = engine.Engine(
            context=context.Context(
                host=row.host,
                data_centre=row.data_centre,
                region=row.region,
                incarnation=incarnation,
                clock=fleet.time,
                rng=random.Random(fleet.rng.random()),
                send=self._send,
                decisions=self.decisions,
            ),
            choices=msgspec.structs.replace(
                _CHOICES, readers=fleet.readers, host_list=fleet.host_list
            ),
            address=address or row.host,
            seeds=tuple(fleet.seeds),
        )
        self._polls: dict[duty.Stream, _Poll] = {}
        self._next_tick_ms = fleet.time.now_ms() + fleet.rng.random() * engine.TICK_MS
        self._inbox: list[tuple[str, object]] = []
        self._next_seed_ms = 0.0

    def receive(self, sender: str, message: object) -> None:
        """Handle a message from a peer, or queue it while the host is paused."""
        if self.paused:
            self._inbox.append((sender, message))
        else:
            self.engine.on_message(ids.HostId(sender), message)

    def step(self) -> None:
        """Handle queued messages, advance the polls, and run the tick if it is due."""
        if self.paused:
            return
        inbox, self._inbox = self._inbox, []
        for sender, message in inbox:
            self.engine.on_message(ids.HostId(sender), message)
        now_ms = self._fleet.time.now_ms()
        self._advance_polls(now_ms)
        if now_ms >= self._next_tick_ms:
            self._next_tick_ms = now_ms + engine.TICK_MS
            self.engine.on_tick()
            self._start_polls(now_ms)

    def _send(self, receiver: str, message: object) -> None:
        self._fleet.channel.send(self.row.host, receiver, message)

    def _start_polls(self, now_ms: float) -> None:
        read_plan = self.engine.platform_read_plan()
        for stream, order in (
            (duty.Stream.RECORDS, read_plan.records),
            (duty.Stream.HOSTS, read_plan.hosts),
        ):
            if order is None or stream in self._polls or order.delay_ms > 0:
                continue
            self._fleet.platform.calls += 1
            self._polls[stream] = _Poll(
                after=order.after,
                arrives_ms=now_ms + self._platform_latency_ms / 2,
                until_ms=now_ms + order.wait_ms,
                latency_ms=self._platform_latency_ms,
            )
        if read_plan.contact_seeds and self._fleet.seeds and now_ms >= self._next_seed_ms:
            self._next_seed_ms = now_ms + 1_000.0
            self._send(self._fleet.rng.choice(self._fleet.seeds), self.engine.seed_request())

    def _advance_polls(self, now_ms: float) -> None:
        for stream, poll in list(self._polls.items()):
            if poll.answer is not None:
                if now_ms >= poll.answer_ms:
                    del self._polls[stream]
                    self._apply_answer(poll.answer)
            elif not self._fleet.platform.is_reachable_from(self.row.host):
                if now_ms >= min(poll.arrives_ms + poll.latency_ms, poll.until_ms):
                    del self._polls[stream]
                    self.engine.on_platform_failure(stream)
            elif now_ms >= poll.arrives_ms:
                self._answer_poll(stream, poll, now_ms)

    def _answer_poll(self, stream: duty.Stream, poll: _Poll, now_ms: float) -> None:
        platform = self._fleet.platform
        if stream is duty.Stream.RECORDS:
            answer = platform.records_after(self.row.host, poll.after)
            no_change = duty.RecordsAnswer(
                after=poll.after, revision=poll.after, final=True, envelopes=()
            )
        else:
            answer = platform.hosts_after(self.row.host, poll.after)
            no_change = duty.HostsAnswer(after=poll.after, revision=poll.after, rows=())
        if answer is None and now_ms >= poll.until_ms:
            answer = no_change
        if answer is not None:
            poll.answer = answer
            poll.answer_ms = now_ms + poll.latency_ms / 2

    def _apply_answer(self, answer: duty.RecordsAnswer | duty.HostsAnswer) -> None:
        if isinstance(answer, duty.RecordsAnswer):
            self.engine.on_platform_records(answer)
        else:
            self.engine.on_platform_hosts(answer)


class Fleet:
    """Simulated hosts in regions and data centres, their peer channel and the platform.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    regions, data_centres, hosts : int
        Number of regions, of data centres per region and of hosts per data centre.
    readers : str
        Registered name of the policy that selects the hosts that read the platform.
    host_list : str
        Registered name of the host list's source; one maintained by the hosts themselves, such
        as ``seeded``, starts from ``seeds``.
    seeds : tuple of str
        Hosts whose addresses are configured on every host.
    """

    def __init__(
        self,
        *,
        seed: int,
        regions: int = 2,
        data_centres: int = 2,
        hosts: int = 10,
        readers: str = "rendezvous",
        host_list: str = "published",
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.readers = readers
        self.host_list = host_list
        self.rng = random.Random(seed)
        self.time = clock.SteppedClock()
        self.platform = SteppedPlatform()
        self.seeds: list[str] = list(seeds)
        self.channel = channel.PeerChannel(
            time=self.time, rng=random.Random(self.rng.random()), region_of=self._region_of
        )
        rows = [
            ports.HostRow(
                host=ids.HostId(f"h{region}{data_centre}{index:02}"),
                address=f"10.{region}.{data_centre}.{index}:1",
                data_centre=ids.DataCentreId(f"dc{region}{data_centre}"),
                region=ids.RegionId(f"r{region}"),
            )
            for region in range(regions)
            for data_centre in range(data_centres)
            for index in range(hosts)
        ]
        self._rows = {row.host: row for row in rows}
        self.platform.list_hosts(tuple(rows))
        self.hosts: dict[str, SteppedHost] = {}
        for row in rows:
            self.start(row.host)

    def start(self, host: str, *, address: str = "") -> SteppedHost:
        """Start a host, or restart it with empty state, and return it.

        Its address is ``address``, or its name if that is empty.
        """
        row = self._rows[host]
        latency_ms = _NEAR_PLATFORM_LATENCY_MS if row.region == "r0" else _FAR_PLATFORM_LATENCY_MS
        started = SteppedHost(
            row=row,
            fleet=self,
            incarnation=self.rng.getrandbits(40),
            platform_latency_ms=latency_ms,
            address=address,
        )
        self.hosts[host] = started
        self.channel.set_receiver(host, started.receive)
        return started

    def stop(self, host: str) -> None:
        """Stop a host without notice to the others."""
        self.channel.set_receiver(host, None)
        del self.hosts[host]

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time."""
        end_ms = self.time.now_ms() + duration_ms
        while self.time.now_ms() < end_ms:
            self.step()

    def step(self) -> None:
        """Advance the simulated time by one step of ``STEP_MS``."""
        self.time.advance(STEP_MS)
        self.channel.deliver()
        for host in list(self.hosts.values()):
            host.step()

    def run_until(self, condition, limit_ms: float) -> float:
        """Advance the time until a condition holds, and return how long it took.

        Parameters
        ----------
        condition : callable
            Called without arguments before each step; true ends the run.
        limit_ms : float
            Time after which the run gives up.

        Returns
        -------
        float
            Simulated time in milliseconds; infinite if the limit was reached first.
        """
        start_ms = self.time.now_ms()
        while not condition():
            if self.time.now_ms() - start_ms >= limit_ms:
                return float("inf")
            self.step()
        return self.time.now_ms() - start_ms

    def all_have(self, revision: int) -> bool:
        """Return whether every host holds every record up to a revision."""
        return all(
            host.engine.record_spread.complete_revision >= revision for host in self.hosts.values()
        )

    def _region_of(self, host: str) -> str:
        return self._rows[ids.HostId(host)].region
