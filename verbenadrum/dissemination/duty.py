"""Selects the hosts that read the platform, and schedules their polls.

The core makes no calls itself: the daemon gets a `ReadPlan`, polls the platform and passes the
answers back.
"""

import enum
import math

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import host_lists, messages, records, registry
from verbenadrum.membership import table as host_table

__all__ = [
    "DEFAULT_POLICY",
    "HostsAnswer",
    "PollOrder",
    "ReadPlan",
    "ReadPolicy",
    "ReadReason",
    "ReadScheduler",
    "RecordsAnswer",
    "Stream",
]

_READERS_PER_REGION = 3
_READER_KEY = "platform-reader"
_DELAY_AFTER_SUCCESS_MS = 50.0
_BACKOFF_BASE_MS = 200.0
_CONTACT_SEEDS_AFTER_MS = 500.0
# A reader whose calls fail asks another host to read, and a further one at growing intervals until
# the records have been confirmed since. A substitute that can read is asked again before its term
# ends.
_SUBSTITUTE_TERM_MS = 5_000.0
_SUBSTITUTE_RENEWAL_MS = 2_000.0
_MIN_SUBSTITUTE_INTERVAL_MS = 400.0
_MAX_SUBSTITUTE_INTERVAL_MS = 5_000.0


class Stream(enum.Enum):
    """Kind of data that is read from the platform."""

    RECORDS = "records"
    HOSTS = "hosts"


class ReadReason(enum.Enum):
    """Why this host reads the platform; ``NONE`` if other hosts do it.

    ``READER``: it is one of the selected readers. ``STARTING``: it lacks a host list or records.
    ``WITHDRAWALS_UNKNOWN``: it may have missed withdrawals of records. ``ISOLATED``: it has
    received nothing from its peers for too long. ``SUBSTITUTE``: a reader whose calls fail has
    asked it to.
    """

    READER = "reader"
    STARTING = "starting"
    WITHDRAWALS_UNKNOWN = "withdrawals-unknown"
    ISOLATED = "no-peer-heard"
    SUBSTITUTE = "asked-by-reader"
    NONE = "left-to-readers"


class PollOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One long poll: asks for changes after a revision, and waits up to ``wait_ms`` for one.

    If ``delay_ms`` is not 0, the daemon waits that long and gets a new order instead of polling.
    ``known_revision`` is the greatest revision known here; its generation is that of an answer
    which states none.
    """

    after: int
    wait_ms: float
    delay_ms: float
    known_revision: int = 0


class ReadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of reads of the platform, in milliseconds.

    Attributes
    ----------
    poll_wait_ms : float
        How long a poll may wait for a change. A dead connection is detected only after it.
    backoff_cap_ms : float
        Longest delay after a failed call.
    isolated_after_ms : float
        A host that has received nothing from peers for this long reads the platform itself.
    """

    poll_wait_ms: float = 10_000.0
    backoff_cap_ms: float = 5_000.0
    isolated_after_ms: float = 10_000.0


DEFAULT_POLICY = ReadPolicy()


class ReadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What the daemon should read now; None for a stream that it should not read.

    If ``contact_seeds`` is set, it should also send `Engine.seed_request` to one of the seed peers.
    """

    reason: ReadReason
    records: PollOrder | None = None
    hosts: PollOrder | None = None
    contact_seeds: bool = False


class RecordsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's answer to a poll for records changed after revision ``after``.

    ``final`` is False if more changes up to ``revision`` follow in later answers. A
    ``full_listing`` contains every existing record, so a record that it lacks has been withdrawn.
    """

    after: int
    revision: int
    final: bool
    envelopes: tuple[bytes, ...]
    full_listing: bool = False


class HostsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's answer to a poll for a host list newer than revision ``after``."""

    after: int
    revision: int
    rows: tuple[ports.HostRow, ...]


class _SubstituteSearch(msgspec.Struct):
    """A failing reader's search for a host that can read; times are monotonic.

    ``host`` is the one that was asked last.
    """

    host: ids.HostId = ids.HostId("")
    asked_ms: float = -math.inf
    interval_ms: float = _MIN_SUBSTITUTE_INTERVAL_MS


class _Backoff(msgspec.Struct):
    """Time of the next poll of a stream, and its consecutive failures."""

    next_ms: float = 0.0
    failures: int = 0


@registry.read_schedulers.register("rendezvous")
class ReadScheduler(system.System):
    """Limits the number of platform readers, independent of the number of hosts.

    A few hosts of each region read, selected by rendezvous hashing. While the host lists of hosts
    differ, more may read; this is harmless, as only newer answers are applied. A host without a
    host list or records, or isolated from its peers, reads the platform itself. A reader whose
    calls fail asks random other hosts to read until one can, since the platform may refuse just the
    readers, or be cut off from them.

    Parameters
    ----------
    context : Context
        Identity, clock and random numbers.
    membership : HostTable
        The listed hosts.
    record_spread : RecordSpread
        Receives records; provides the revision to poll from.
    host_list : HostListSpread
        Receives host lists.
    policy : ReadPolicy
        Timing of the calls.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        record_spread: records.RecordSpread,
        host_list: host_lists.HostListSpread,
        policy: ReadPolicy = DEFAULT_POLICY,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._record_spread = record_spread
        self._host_list = host_list
        self._policy = policy
        self._started_ms = context.now_ms()
        self._backoffs = {stream: _Backoff() for stream in Stream}
        self._reason = ReadReason.NONE
        self._ranked_at_change = -1
        self._selected = False
        self._search = _SubstituteSearch()
        self._substitute_until_ms = -math.inf
        # Readers that wait for the result of this host's next call.
        self._requesters: set[ids.HostId] = set()

    def plan(self) -> ReadPlan:
        """Return what to read now; the daemon calls this before each poll."""
        reason = self._choose_reason()
        if reason is not self._reason:
            self._reason = reason
            self._context.record_decision(
                ring.DecisionKind.MEMBERSHIP, "platform-reader", reason.value
            )
        reads = reason is not ReadReason.NONE
        wants_hosts = reads and self._host_list.from_platform
        wants_records = (
            reads and bool(self._membership.revision) and not self._record_spread.holds_listing
        )
        records_order = self._poll_order(
            Stream.RECORDS,
            self._record_spread.platform_cursor(),
            self._record_spread.known_revision,
        )
        hosts_order = self._poll_order(
            Stream.HOSTS, self._membership.revision, self._membership.revision
        )
        return ReadPlan(
            reason=reason,
            records=records_order if wants_records else None,
            hosts=hosts_order if wants_hosts else None,
            contact_seeds=self._should_contact_seeds(),
        )

    def on_records(self, answer: RecordsAnswer) -> bool:
        """Apply an answer; return False if it is stale, so that the next URL is tried."""
        previous = self._record_spread.complete_revision
        fresh = self._record_spread.on_platform(
            after=answer.after,
            revision=answer.revision,
            final=answer.final,
            envelopes=answer.envelopes,
            full_listing=answer.full_listing,
        )
        # A history that is dropped again and again must not cause a listing at each poll.
        listed_again = answer.full_listing and answer.revision <= previous
        self._update_backoff(Stream.RECORDS, fresh and not listed_again)
        if fresh:
            self._search = _SubstituteSearch()
            for requester in self._requesters:
                self._record_spread.send_digest(requester)
            self._requesters.clear()
        return fresh

    def on_hosts(self, answer: HostsAnswer) -> bool:
        """Apply an answer; return False if it is stale, so that the next URL is tried."""
        fresh = self._host_list.on_platform(
            after=answer.after, revision=answer.revision, rows=answer.rows
        )
        self._update_backoff(Stream.HOSTS, fresh)
        return fresh

    def on_failure(self, stream: Stream) -> None:
        """Register a failed call; the backoff grows exponentially, with jitter.

        A reader then asks another host to read, and a substitute stops to read.
        """
        self._update_backoff(stream, False)
        if stream is not Stream.RECORDS:
            return
        self._requesters.clear()
        self._substitute_until_ms = -math.inf
        if self._reason is ReadReason.READER:
            self._request_substitute()

    @system.handles(messages.ReadRequest)
    def on_read_request(self, sender: ids.HostId, message: messages.ReadRequest) -> None:
        """Read the platform for a while, on behalf of a reader whose calls fail."""
        now_ms = self._context.now_ms()
        if now_ms >= self._substitute_until_ms:
            self._requesters.add(sender)
        self._substitute_until_ms = now_ms + _SUBSTITUTE_TERM_MS

    def _choose_reason(self) -> ReadReason:
        if not self._membership.revision:
            return ReadReason.STARTING
        if self._is_reader():
            return ReadReason.READER
        # A list that the hosts maintain is incomplete at first, so it cannot select the readers.
        list_incomplete = (
            not self._host_list.from_platform and not self._record_spread.complete_revision
        )
        if list_incomplete or self._record_spread.load_stalled:
            return ReadReason.STARTING
        if self._record_spread.withdrawals_missing:
            return ReadReason.WITHDRAWALS_UNKNOWN
        now_ms = self._context.now_ms()
        if now_ms - self._record_spread.last_heard_ms > self._policy.isolated_after_ms:
            return ReadReason.ISOLATED
        return ReadReason.SUBSTITUTE if now_ms < self._substitute_until_ms else ReadReason.NONE

    def _request_substitute(self) -> None:
        """Ask another host to read, or the last one again if it can."""
        search = self._search
        now_ms = self._context.now_ms()
        elapsed_ms = now_ms - search.asked_ms
        if self._record_spread.confirmed_age_ms < elapsed_ms < math.inf:
            # The platform has confirmed the records since the last request.
            if elapsed_ms < _SUBSTITUTE_RENEWAL_MS:
                return
            search.interval_ms = _MIN_SUBSTITUTE_INTERVAL_MS
        elif elapsed_ms < search.interval_ms:
            return
        else:
            others = [
                row.host
                for row in self._membership.hosts()
                if row.host not in (self._context.host, search.host)
                and self._membership.reachable(row.host)
            ]
            if not others:
                return
            search.host = self._context.rng.choice(others)
            search.interval_ms = min(_MAX_SUBSTITUTE_INTERVAL_MS, 2.0 * search.interval_ms)
        search.asked_ms = now_ms
        self._context.record_decision(
            ring.DecisionKind.MEMBERSHIP,
            "read-request",
            "platform-unreadable",
            subject=search.host,
            detail={"failures": self._backoffs[Stream.RECORDS].failures},
        )
        self._context.send(search.host, messages.ReadRequest())

    def _is_reader(self) -> bool:
        """Return whether this host is a selected reader; cached until the membership changes."""
        if self._ranked_at_change != self._membership.change_count:
            self._ranked_at_change = self._membership.change_count
            region = self._membership.hosts(region=self._context.region)
            readers = self._membership.ranked_hosts(_READER_KEY, region, _READERS_PER_REGION)
            self._selected = self._context.host in readers
        return self._selected

    def _should_contact_seeds(self) -> bool:
        if self._membership.revision or not self._host_list.from_platform:
            return False
        return self._context.now_ms() - self._started_ms >= _CONTACT_SEEDS_AFTER_MS

    def _poll_order(self, stream: Stream, after: int, known_revision: int) -> PollOrder:
        delay_ms = max(0.0, self._backoffs[stream].next_ms - self._context.now_ms())
        # A reader that waits for the result is told at once what the platform holds.
        waited_for = stream is Stream.RECORDS and self._requesters
        wait_ms = 0.0 if waited_for else self._policy.poll_wait_ms
        return PollOrder(
            after=after, wait_ms=wait_ms, delay_ms=delay_ms, known_revision=known_revision
        )

    def _update_backoff(self, stream: Stream, succeeded: bool) -> None:
        """Set the time of the next poll: exponential backoff with jitter after failures."""
        backoff = self._backoffs[stream]
        now_ms = self._context.now_ms()
        if succeeded:
            backoff.failures = 0
            backoff.next_ms = now_ms + _DELAY_AFTER_SUCCESS_MS
            return
        max_delay_ms = min(self._policy.backoff_cap_ms, _BACKOFF_BASE_MS * 2.0**backoff.failures)
        backoff.failures = min(backoff.failures + 1, 16)
        backoff.next_ms = now_ms + max_delay_ms * (0.5 + 0.5 * self._context.rng.random())
