"""Simulated dissemination of records and host lists, in stepped time.

Each host runs the real engine, without requests. The simulated platform, from which some hosts
read, can be stale or unreachable.
"""

import bisect
import random
from collections.abc import Callable

import msgspec

from standins import channel
from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import behaviours, engine
from verbenadrum.records import envelope, revisions, types
from verbenadrum.utils import clock

__all__ = ["Fleet", "PlatformCopy", "SteppedPlatform", "SteppedHost", "envelope_of"]

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


def envelope_of(
    kind: str,
    name: str,
    revision: int,
    spec: object,
    order: tuple[int, int] = types.UNKNOWN_ORDER,
) -> bytes:
    """Return the JSON envelope of a record with the present schema version."""
    document = {
        "kind": kind,
        "name": name,
        "revision": revision,
        "schema": types.SCHEMA_VERSION,
        "spec": spec,
    }
    if order != types.UNKNOWN_ORDER:
        document["order"] = order
    return msgspec.json.encode(document)


class _Published(msgspec.Struct, frozen=True, order=True):
    """The newest envelope of a record, and whether it withdraws the record."""

    revision: int
    data: bytes
    withdrawn: bool


class PlatformCopy(msgspec.Struct, frozen=True, kw_only=True):
    """The records that the platform held at a revision."""

    revision: int
    records: dict[tuple[str, str], _Published]


class SteppedPlatform:
    """Simulated platform, which holds the published records and host list.

    It may come back from an older copy of its records. Its counter then goes back, and its
    generation rises by one.

    Attributes
    ----------
    revision, hosts_revision : int
        Newest revision of the records, see `verbenadrum.records.revisions`, and of the host list.
    states_generation : bool
        Whether its answers state the generation; if not, every revision is of generation 0.
    returned_at : int
        Revision with which the present generation began.
    page_size : int or None
        Number of records in one page of a listing; None for all.
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
        self.states_generation = True
        self.returned_at = 0
        self.page_size: int | None = None
        self.hosts_revision = 0
        self.rows: tuple[ports.HostRow, ...] = ()
        self.down = False
        self.unreachable: set[str] = set()
        self.stale: dict[str, tuple[int, int]] = {}
        self.calls = 0
        self._return_count = 0
        self._records: dict[tuple[str, str], _Published] = {}
        self._sorted_records: list[_Published] | None = None
        self._frozen_records: dict[str, list[_Published]] = {}

    @property
    def return_count(self) -> int:
        """Number of returns from an older copy."""
        return self._return_count

    def publish(
        self,
        kind: str,
        name: str,
        spec: object,
        order: tuple[int, int] = types.UNKNOWN_ORDER,
    ) -> int:
        """Publish a record under a new revision, which is returned."""
        self.revision += 1
        self.publish_envelope(kind, name, envelope_of(kind, name, self.revision, spec, order))
        return self.revision

    def publish_envelope(self, kind: str, name: str, data: bytes) -> None:
        """Publish an envelope whose revision is the platform's newest."""
        withdrawn = msgspec.json.decode(data)["spec"] is None
        self._records[kind, name] = _Published(self.revision, data, withdrawn)
        self._sorted_records = None

    def copy(self) -> PlatformCopy:
        """Return a copy of the present records, from which the platform can come back."""
        return PlatformCopy(revision=self.revision, records=dict(self._records))

    def come_back(self, copy: PlatformCopy) -> None:
        """Lose what was written since a copy, and begin a new generation."""
        self._return_count += 1
        generation = self._return_count if self.states_generation else 0

        def renewed(revision: int) -> int:
            return revisions.join(generation, revisions.counter_of(revision))

        self.revision = self.returned_at = renewed(copy.revision)
        self._records = {
            key: _Published(
                renewed(each.revision),
                _with_revision(each.data, renewed(each.revision)),
                each.withdrawn,
            )
            for key, each in copy.records.items()
        }
        self._sorted_records = None

    def latest(self, kind: str, name: str) -> int:
        """Return the newest revision of a record, or 0 if it was never published."""
        published = self._records.get((kind, name))
        return 0 if published is None else published.revision

    def content(self, kind: str, name: str) -> dict | None:
        """Return the newest envelope of a record, decoded; None if it does not exist."""
        published = self._records.get((kind, name))
        if published is None or published.withdrawn:
            return None
        return msgspec.json.decode(published.data)

    def listing(self) -> dict[tuple[str, str], bytes]:
        """Return the envelope of each existing record by its kind and name."""
        return {key: each.data for key, each in self._records.items() if not each.withdrawn}

    def list_page(self, after: tuple[str, str] | None) -> list[tuple[tuple[str, str], bytes]]:
        """Return the next existing records in a listing, the configuration last."""
        found = [
            (key, data)
            for key, data in sorted(self.listing().items(), key=_listing_place)
            if after is None or _place(key) > _place(after)
        ]
        return found[: self.page_size]

    def can_watch(self, host: str, after: int) -> bool:
        """Return whether a host can watch for changes after a revision, without a listing."""
        if host in self.stale:
            return True
        same = revisions.generation_of(after) == revisions.generation_of(self.revision)
        return bool(after) and same and after <= self.revision

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
            start = bisect.bisect_right(records, after, key=lambda entry: entry.revision)
            records = records[start:]
        size = 0
        envelopes = []
        for each in records:
            size += len(each.data)
            if size > _MAX_ANSWER_BYTES and envelopes:
                break
            envelopes.append(each.data)
        return duty.RecordsAnswer(
            after=after,
            revision=visible_revision,
            final=len(envelopes) == len(records),
            envelopes=tuple(envelopes),
        )

    def _visible_records(self, host: str) -> list[_Published]:
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


def _with_revision(data: bytes, revision: int) -> bytes:
    document = msgspec.json.decode(data)
    document["revision"] = revision
    return msgspec.json.encode(document)


def _place(key: tuple[str, str]) -> tuple[bool, str, str]:
    """Return what a listing is sorted by."""
    kind, name = key
    return (kind == types.RecordKind.CONFIGURATION.value, kind, name)


def _listing_place(item: tuple[tuple[str, str], bytes]) -> tuple[bool, str, str]:
    return _place(item[0])


class _Listing(msgspec.Struct):
    """The pages of a listing that have been read; it begins again at another generation."""

    next_ms: float
    first_revision: int = 0
    generation: int = 0
    envelopes: list[bytes] = msgspec.field(default_factory=list)
    last_key: tuple[str, str] | None = None


class _Poll(msgspec.Struct):
    """A long poll that is open at the platform; times are simulated monotonic times.

    ``return_count`` is that of the platform when the poll arrived, or -1 before.
    """

    after: int
    arrives_ms: float
    until_ms: float
    latency_ms: float
    return_count: int = -1
    listing: _Listing | None = None
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
            answer = self._records_answer(poll, now_ms)
            no_change = duty.RecordsAnswer(
                after=poll.after, revision=poll.after, final=True, envelopes=()
            )
            if poll.listing is not None and answer is None:
                return
        else:
            answer = platform.hosts_after(self.row.host, poll.after)
            no_change = duty.HostsAnswer(after=poll.after, revision=poll.after, rows=())
        if answer is None and now_ms >= poll.until_ms:
            answer = no_change
        if answer is not None:
            poll.answer = answer
            poll.answer_ms = now_ms + poll.latency_ms / 2

    def _records_answer(self, poll: _Poll, now_ms: float) -> duty.RecordsAnswer | None:
        """Return the answer of a watch, or of a listing if the platform cannot be watched."""
        platform = self._fleet.platform
        if poll.return_count < 0:
            poll.return_count = platform.return_count
        if poll.listing is None and not platform.can_watch(self.row.host, poll.after):
            returned = poll.return_count != platform.return_count
            unchanged = platform.revision == platform.returned_at
            if returned and unchanged and now_ms < poll.until_ms:
                return None
            # The answer of the watch, which is discarded, and the request of the first page.
            poll.listing = _Listing(next_ms=now_ms + (poll.latency_ms if poll.after else 0.0))
            platform.calls += bool(poll.after)
        if poll.listing is not None:
            return self._read_page(poll, poll.listing, now_ms)
        return platform.records_after(self.row.host, poll.after)

    def _read_page(
        self, poll: _Poll, listing: _Listing, now_ms: float
    ) -> duty.RecordsAnswer | None:
        """Read the next page of a listing if it is due; return the listing after the last one."""
        platform = self._fleet.platform
        if now_ms < listing.next_ms:
            return None
        generation = revisions.generation_of(platform.revision)
        if listing.first_revision and generation != listing.generation:
            platform.calls += 1
            poll.listing = _Listing(next_ms=now_ms + poll.latency_ms)
            return None
        if not listing.first_revision:
            listing.first_revision = platform.revision
            listing.generation = generation
        page = platform.list_page(listing.last_key)
        listing.envelopes += [data for _, data in page]
        if page and len(page) == platform.page_size:
            platform.calls += 1
            listing.last_key = page[-1][0]
            listing.next_ms = now_ms + poll.latency_ms
            return None
        # The pages are no snapshot: changes since the first one are read by the next watch.
        return duty.RecordsAnswer(
            after=0,
            revision=min(listing.first_revision, platform.revision),
            final=True,
            envelopes=tuple(sorted(listing.envelopes, key=envelope.revision_of)),
            full_listing=True,
        )

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
        # Called after each step.
        self.observers: list[Callable[[], None]] = []
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

    def host_names(self) -> tuple[str, ...]:
        """Return the names of all listed hosts, including stopped ones."""
        return tuple(self._rows)

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
        for observe in self.observers:
            observe()

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
