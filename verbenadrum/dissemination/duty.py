"""Decides what this host reads from the platform now, if anything."""

import enum

import msgspec

from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import host_lists, records, registry
from verbenadrum.membership import table as host_table

__all__ = [
    "DEFAULT_POLICY",
    "Duty",
    "HostsAnswer",
    "PollOrder",
    "ReadPolicy",
    "ReadReason",
    "ReaderDuty",
    "RecordsAnswer",
    "Stream",
]

_READERS_PER_REGION = 3
_READER_KEY = "platform-reader"
_POLL_GAP_MS = 50.0
_BACKOFF_BASE_MS = 200.0
_SEEDS_AFTER_MS = 500.0


class Stream(enum.Enum):
    """What is read from the platform."""

    RECORDS = "records"
    HOSTS = "hosts"


class ReadReason(enum.Enum):
    """Why this host reads the platform, or why not."""

    READER = "reader"
    STARTING = "starting"
    GAP = "withdrawals-unknown"
    ISOLATED = "no-peer-heard"
    NONE = "left-to-readers"


class PollOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One call to make: what changed ``after``, waiting for a change up to ``wait_ms``.

    The shell waits ``delay_ms`` and then asks for the order again, unless it is 0.
    """

    after: int
    wait_ms: float
    delay_ms: float


class ReadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the platform's readers, in milliseconds.

    Attributes
    ----------
    poll_wait_ms : float
        How long a call may wait for a change. A connection that has gone silent is noticed
        after it.
    backoff_cap_ms : float
        Longest pause between calls that fail.
    isolated_after_ms : float
        A host that has heard no peer for this long reads for itself.
    """

    poll_wait_ms: float = 10_000.0
    backoff_cap_ms: float = 5_000.0
    isolated_after_ms: float = 10_000.0


DEFAULT_POLICY = ReadPolicy()


class Duty(msgspec.Struct, frozen=True, kw_only=True):
    """What the shell should read now; None for a stream that is left alone.

    ``ask_seeds`` tells it to send `Engine.seed_request` to one of the seed peers.
    """

    reason: ReadReason
    records: PollOrder | None = None
    hosts: PollOrder | None = None
    ask_seeds: bool = False


class RecordsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's answer to a poll for records; ``after`` is the revision asked for.

    A ``whole`` answer holds every record that exists, so that one which is held here and does not
    occur in it has been withdrawn.
    """

    after: int
    revision: int
    complete: bool
    envelopes: tuple[bytes, ...]
    whole: bool = False


class HostsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's answer to a poll for hosts; ``after`` is the revision asked for."""

    after: int
    revision: int
    rows: tuple[ports.HostRow, ...]


class _Backoff(msgspec.Struct):
    """When a stream may be polled next."""

    next_ms: float = 0.0
    failures: int = 0


@registry.reader_duties.register("rendezvous")
class ReaderDuty(system.System):
    """Keeps the number of platform readers fixed however many hosts there are.

    A few hosts of each region read, chosen by rendezvous hashing. Views of the list differ, so
    more may read for a while: answers overlap and only newer ones count. A host without a list
    or without records, and one that hears no peer, reads for itself.

    Parameters
    ----------
    context : Context
        Identity, clock and random numbers.
    membership : HostTable
        The listed hosts.
    records : RecordSpread
        How far the records are.
    hosts : HostListSpread
        Takes new host lists.
    policy : ReadPolicy
        Times of the calls.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        records: records.RecordSpread,
        hosts: host_lists.HostListSpread,
        policy: ReadPolicy = DEFAULT_POLICY,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._records = records
        self._hosts = hosts
        self._policy = policy
        self._started_ms = context.now_ms()
        self._backoffs = {stream: _Backoff() for stream in Stream}
        self._reason = ReadReason.NONE
        self._ranked_at = -1
        self._reads = False

    def duty(self) -> Duty:
        """Return what to read now; asked again before each call."""
        reason = self._choose_reason()
        if reason is not self._reason:
            self._reason = reason
            self._context.decide(ring.DecisionKind.MEMBERSHIP, "platform-reader", reason.value)
        reads = reason is not ReadReason.NONE
        wants_hosts = reads and self._hosts.published
        wants_records = reads and bool(self._membership.revision)
        records_order = self._order(Stream.RECORDS, self._records.platform_cursor())
        hosts_order = self._order(Stream.HOSTS, self._membership.revision)
        return Duty(
            reason=reason,
            records=records_order if wants_records else None,
            hosts=hosts_order if wants_hosts else None,
            ask_seeds=self._asks_seeds(),
        )

    def on_records(self, answer: RecordsAnswer) -> bool:
        """Take an answer; False if it is stale, so that the shell turns to another URL."""
        fresh = self._records.on_platform(
            after=answer.after,
            revision=answer.revision,
            complete=answer.complete,
            envelopes=answer.envelopes,
            whole=answer.whole,
        )
        self._note(Stream.RECORDS, fresh)
        return fresh

    def on_hosts(self, answer: HostsAnswer) -> bool:
        """Take an answer; False if it is stale, so that the shell turns to another URL."""
        fresh = self._hosts.on_platform(
            after=answer.after, revision=answer.revision, rows=answer.rows
        )
        self._note(Stream.HOSTS, fresh)
        return fresh

    def on_failure(self, stream: Stream) -> None:
        """Note a call without an answer; the next one waits longer, with jitter."""
        self._note(stream, False)

    def _choose_reason(self) -> ReadReason:
        if not self._membership.revision:
            return ReadReason.STARTING
        if self._is_reader():
            return ReadReason.READER
        # A list that the hosts keep themselves is short at first, so its readers are not known.
        unlisted = not self._hosts.published and not self._records.complete_to
        if unlisted or self._records.load_stalled:
            return ReadReason.STARTING
        if self._records.gap:
            return ReadReason.GAP
        if self._context.now_ms() - self._records.heard_ms > self._policy.isolated_after_ms:
            return ReadReason.ISOLATED
        return ReadReason.NONE

    def _is_reader(self) -> bool:
        """Return whether this host is among the readers; ranked anew only after a change."""
        if self._ranked_at != self._membership.changes:
            self._ranked_at = self._membership.changes
            region = self._membership.hosts(region=self._context.region)
            readers = self._membership.homes(_READER_KEY, region, _READERS_PER_REGION)
            self._reads = self._context.host in readers
        return self._reads

    def _asks_seeds(self) -> bool:
        if self._membership.revision or not self._hosts.published:
            return False
        return self._context.now_ms() - self._started_ms >= _SEEDS_AFTER_MS

    def _order(self, stream: Stream, after: int) -> PollOrder:
        delay_ms = max(0.0, self._backoffs[stream].next_ms - self._context.now_ms())
        return PollOrder(after=after, wait_ms=self._policy.poll_wait_ms, delay_ms=delay_ms)

    def _note(self, stream: Stream, good: bool) -> None:
        backoff = self._backoffs[stream]
        now_ms = self._context.now_ms()
        if good:
            backoff.failures = 0
            backoff.next_ms = now_ms + _POLL_GAP_MS
            return
        ceiling_ms = min(self._policy.backoff_cap_ms, _BACKOFF_BASE_MS * 2.0**backoff.failures)
        backoff.failures = min(backoff.failures + 1, 16)
        backoff.next_ms = now_ms + ceiling_ms * (0.5 + 0.5 * self._context.rng.random())
