"""Gossip of records: eager push of new ones, periodic digests, and pull of missing ones."""

import collections
import math

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import host_lists, messages, packing, parts, progress, sampler
from verbenadrum.membership import table as host_table
from verbenadrum.records import envelope, revisions, store

__all__ = ["PLATFORM", "RecordSpread"]

PLATFORM = "platform"

_PUSH_FANOUT = 3
# The numbers per region are expected sends of all hosts of this region to each other region.
_REMOTE_PUSHES_PER_REGION = 3.0
_REMOTE_DIGESTS_PER_REGION = 2.0
_DIGEST_INTERVAL_MS = 500.0
# Digests are sent at the fast interval for a while after each new revision.
_FAST_DIGEST_INTERVAL_MS = 200.0
_FAST_DIGEST_DURATION_MS = 1_000.0
# Larger changes are announced by a digest and pulled, so that each host receives them once.
_MAX_PUSH_BYTES = 1_500
_MAX_CHUNK_BYTES = 262_144
# Several peers notice that a host lags, so each of them sends only a few bytes unrequested.
_MAX_UNREQUESTED_BYTES = 32_768
# A digest carries the latest changes as its tail. Digests are sent several times a second after a
# change, so the tail must fit one packet.
_MAX_TAIL_BYTES = 700
_MAX_TAIL_AGE_MS = 5_000.0
_PULL_TIMEOUT_MS = 1_000.0
_MAX_PULL_ATTEMPTS = 3
_INITIAL_LOAD_TIMEOUT_MS = 4_000.0
_INITIAL_LOAD_RETRY_MS = 500.0
# A starting host does not use a listing of a store that once came back from a copy for this long,
# unless it loads the records of a peer before.
_HELD_LISTING_MS = 1_000.0
_MAX_WANTED_RECORDS = 8
_CARRIED_PULL_INTERVAL_MS = 1_000.0
# Interval of pulls of the same records that are carried over, which made no difference before.
_REPEATED_CARRIED_PULL_INTERVAL_MS = 10_000.0


class _Pull(msgspec.Struct):
    """A pull that awaits its answer; there is at most one at a time."""

    peer: ids.HostId
    sent_ms: float
    attempts: int = 1
    assembly: parts.PartAssembly = msgspec.field(default_factory=parts.PartAssembly)


class _Listing(msgspec.Struct, frozen=True, kw_only=True):
    """A listing that is used once a peer's records are loaded, or at ``use_ms``."""

    revision: int
    envelopes: tuple[bytes, ...]
    full_listing: bool
    use_ms: float


class _CarriedPull(msgspec.Struct):
    """The newest pull of records that a peer carries over from an older generation."""

    peer: ids.HostId
    checksum: int
    assembly: parts.PartAssembly = msgspec.field(default_factory=parts.PartAssembly)


class RecordSpread(system.System):
    """Receives envelopes from the platform and from peers, and forwards new ones.

    It is an epidemic protocol after Demers et al. (1987): new records are pushed to a few random
    peers at once, and anti-entropy by digests finds those that a host missed.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        The listed hosts.
    store : RecordStore
        Validates and stores envelopes.
    peers : PeerSampler
        Selects the peers to send to.
    host_list : HostListSpread
        Receives the host list revision of each digest.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        store: store.RecordStore,
        peers: sampler.PeerSampler,
        host_list: host_lists.HostListSpread,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._store = store
        self._peers = peers
        self._host_list = host_list
        self._progress = progress.Progress()
        self._pull: _Pull | None = None
        self._ahead_peer: ids.HostId | None = None
        self._ahead_revision = 0
        self._next_digest_ms = context.now_ms() + context.rng.random() * _DIGEST_INTERVAL_MS
        self._load_started_ms: float | None = None
        self._load_timeout_ms = _INITIAL_LOAD_TIMEOUT_MS * (1.0 + context.rng.random())
        self._next_load_ms = 0.0
        self._last_heard_ms = context.now_ms()
        self._confirmed_ms = -math.inf
        # Every withdrawal after this revision is known to this host.
        self._known_from = 0
        # Withdrawals up to this revision may be missing here; 0 if none are.
        self._missing_to = 0
        self._last_packed: tuple[tuple[int, int, int], bytes] | None = None
        self._held_listing: _Listing | None = None
        self._carried_pull: _CarriedPull | None = None
        self._next_carried_pull_ms = 0.0
        self._packed_carried: tuple[int, bytes] = (0, b"")
        # Time of each recent advance of `complete_revision`, and its value before; newest last.
        self._recent_advances: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def complete_revision(self) -> int:
        """Revision up to which this host holds every record; 0 before the initial load."""
        return self._progress.complete_revision

    @property
    def last_heard_ms(self) -> float:
        """Monotonic time of the last message of any kind from a peer, in milliseconds."""
        return self._last_heard_ms

    @property
    def confirmed_age_ms(self) -> float:
        """Time in milliseconds since the records held here were the platform's newest.

        It is counted from the last answer of the platform, to this host or to one whose digests
        have reached it, that held nothing newer; infinite before the first one.
        """
        return self._context.now_ms() - self._confirmed_ms

    @property
    def withdrawals_missing(self) -> bool:
        """Whether this host may lack withdrawals of records that its peers lack as well.

        They are then recovered by reading all records from the platform.
        """
        return self._missing_to > 0

    @property
    def holds_listing(self) -> bool:
        """Whether a listing has been read that waits for the records of a peer."""
        return self._held_listing is not None

    @property
    def load_stalled(self) -> bool:
        """Whether the initial load of records from peers has timed out."""
        if self.complete_revision or self._load_started_ms is None:
            return False
        return self._context.now_ms() - self._load_started_ms >= self._load_timeout_ms

    @property
    def known_revision(self) -> int:
        """Greatest revision known here, of any record."""
        return max(self.complete_revision, self._store.newest_revision)

    def platform_cursor(self) -> int:
        """Return the revision after which to poll the platform; 0 to read all records."""
        return 0 if self._missing_to else self._progress.cursor(PLATFORM)

    def on_peer_heard(self) -> None:
        """Record that a message of any kind has come from a peer."""
        self._last_heard_ms = self._context.now_ms()

    def on_platform(
        self,
        *,
        after: int,
        revision: int,
        final: bool,
        envelopes: tuple[bytes, ...],
        full_listing: bool = False,
    ) -> bool:
        """Apply an answer of the platform; records older than those held change nothing.

        Returns
        -------
        bool
            False if the answer is older than the requested revision or makes no progress.
        """
        is_first = final and not after and not self.complete_revision
        if is_first and _generation(revision) and self._may_have_peers():
            return self._hold_listing(revision, envelopes, full_listing)
        to = revision if final else max(map(envelope.revision_of, envelopes), default=0)
        if full_listing or not after:
            self._known_from = max(self._known_from, self._missing_to)
            self._missing_to = 0
        if full_listing:
            if not self.complete_revision:
                self._known_from = revision
            envelopes += self._store.withdrawals(envelopes, revision)
        self._apply_changes(PLATFORM, after, to, final, envelopes)
        if final and to >= self.complete_revision:
            self._confirmed_ms = self._context.now_ms()
        return to >= after if final else to > after

    def _hold_listing(
        self, revision: int, envelopes: tuple[bytes, ...], full_listing: bool
    ) -> bool:
        """Keep a starting host's listing, which may be of a copy that the peers are ahead of."""
        use_ms = self._context.now_ms() + _HELD_LISTING_MS
        self._held_listing = _Listing(
            revision=revision, envelopes=envelopes, full_listing=full_listing, use_ms=use_ms
        )
        self._next_load_ms = 0.0
        return True

    def _may_have_peers(self) -> bool:
        return self._membership.seeking or len(self._membership.listed()) > 1

    def _use_held_listing(self, now_ms: float) -> None:
        held = self._held_listing
        if held is None or (now_ms < held.use_ms and not self.complete_revision):
            return
        self._held_listing = None
        envelopes = held.envelopes
        if held.full_listing:
            if not self.complete_revision:
                self._known_from = held.revision
            envelopes += self._store.withdrawals(envelopes, held.revision)
        self._apply_changes(PLATFORM, 0, held.revision, True, envelopes)
        if held.revision >= self.complete_revision:
            self._confirmed_ms = held.use_ms - _HELD_LISTING_MS

    def on_tick(self) -> None:
        """Send a digest when it is due, time out the pending pull, and drop lapsed servers."""
        now_ms = self._context.now_ms()
        self._store.drop_lapsed_servers()
        if not self._missing_to:
            self._store.restore_listed_servers(self.complete_revision, self._confirmed_ms)
        self._known_from = max(self._known_from, self._store.drop_withdrawn())
        self._store.report_rejections()
        self._check_pull(now_ms)
        self._load_initial(now_ms)
        self._use_held_listing(now_ms)
        if now_ms >= self._next_digest_ms:
            self._next_digest_ms = now_ms + self._digest_interval_ms(now_ms)
            self._send_digests()

    def send_digest(self, peer: ids.HostId) -> None:
        """Send a peer a digest, out of turn."""
        self._context.send(peer, self._digest())

    @system.handles(messages.RecordChanges)
    def on_changes(self, sender: ids.HostId, message: messages.RecordChanges) -> None:
        """Apply changes that a peer pushed or that were pulled from it."""
        envelopes = message.envelopes
        if message.packed:
            envelopes = self._unpacked(sender, message.packed)
            if not envelopes:
                return
        self._check_withdrawals(message)
        self._apply_changes(sender, message.after, message.to, message.final, envelopes)

    def _unpacked(self, sender: ids.HostId, packed: bytes) -> tuple[bytes, ...]:
        """Return the envelopes that a peer has packed; none if the pack is malformed."""
        try:
            return packing.unpack(packed)
        except packing.MalformedPackError as error:
            self._context.record_decision(
                ring.DecisionKind.RECORD,
                "unreadable",
                error.code,
                subject=sender,
                detail={"fault": error.message},
            )
            return ()

    @system.handles(messages.RecordPull)
    def on_pull(self, sender: ids.HostId, message: messages.RecordPull) -> None:
        """Answer a pull with the next chunk of records."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        chunk = self._chunk(message.after)
        if message.accepts_packed and sum(map(len, chunk.envelopes)) > _MAX_UNREQUESTED_BYTES:
            chunk = self._packed(chunk)
        if message.accepts_parts and len(chunk.packed) > parts.MAX_PART_BYTES:
            self._context.send(sender, parts.cut(chunk, 0))
        else:
            self._context.send(sender, chunk)

    @system.handles(messages.PartPull)
    def on_part_pull(self, sender: ids.HostId, message: messages.PartPull) -> None:
        """Send a further part of a packed chunk, or the first one if there are newer changes."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        chunk = self._packed(self._chunk(message.after))
        part = parts.cut(chunk, message.index if chunk.to == message.to else 0)
        if part is not None:
            self._context.send(sender, part)

    @system.handles(messages.RecordPart)
    def on_part(self, sender: ids.HostId, message: messages.RecordPart) -> None:
        """Collect a part of the changes that are pulled; apply them when all parts are here."""
        if not self._is_pulling_from(sender):
            return
        assembly = self._pull.assembly
        expected = assembly.next_index
        packed = assembly.add(message)
        if packed is not None:
            self.on_changes(
                sender,
                messages.RecordChanges(
                    message.after,
                    message.to,
                    message.final,
                    (),
                    message.known_from,
                    packed,
                    message.missing_to,
                ),
            )
        elif assembly.next_index != expected or message.index == 0:
            self._pull.sent_ms = self._context.now_ms()
            self._pull.attempts = 1
            self._send_pull()

    @system.handles(messages.Digest)
    def on_digest(self, sender: ids.HostId, message: messages.Digest) -> None:
        """Apply the digest's tail, then close the gap between both hosts.

        Records missing here are pulled, and those that the sender lacks are sent to it.
        """
        self._apply_changes(
            sender, message.tail_after, message.complete_revision, True, message.tail
        )
        if message.confirmed_age_ms >= 0.0 and message.complete_revision <= self.complete_revision:
            confirmed_ms = self._context.now_ms() - message.confirmed_age_ms
            self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        if message.complete_revision < self.complete_revision:
            self._catch_up(sender, message.complete_revision)
        self._host_list.on_peer_revision(sender, message.hosts_revision)
        self._send_wanted(sender, message.wanted)
        self._pull_carried(sender, message)

    @system.handles(messages.LastAccepted)
    def on_last_accepted(self, sender: ids.HostId, message: messages.LastAccepted) -> None:
        """Offer older envelopes to the store for records whose newest revision was rejected."""
        for raw in message.envelopes:
            self._store.offer(raw, listed_to=self._listed_to())

    def _check_withdrawals(self, message: messages.RecordChanges) -> None:
        """Detect whether withdrawals are missing here that the sender does not have either."""
        if not self.complete_revision:
            self._known_from = max(self._known_from, message.known_from)
            self._set_missing(message.missing_to)
        elif _generation(message.known_from) > _generation(self.complete_revision):
            return  # Servers that the newer generation lacks are withdrawn as it begins here.
        elif message.known_from > max(self.complete_revision, self._missing_to):
            self._set_missing(message.known_from)

    def _set_missing(self, to: int) -> None:
        """Register that withdrawals up to a revision may be missing; 0 for none."""
        known_before, self._missing_to = self._missing_to, max(self._missing_to, to)
        if known_before or not to:
            return
        detail = {"complete_to": self.complete_revision, "known_from": to}
        self._context.record_decision(
            ring.DecisionKind.RECORD, "read-whole", "withdrawals-unknown", detail=detail
        )

    def _apply_changes(
        self, source: str, after: int, to: int, final: bool, envelopes: tuple[bytes, ...]
    ) -> None:
        """Store a source's changes in ``(after, to]``, push new ones and continue its pull."""
        previous = self.complete_revision
        cursor = self._progress.cursor(source)
        quiet = not previous
        listed_to = 0 if source == PLATFORM else self._listed_to()
        new_envelopes = [
            raw
            for raw in envelopes
            if _is_new_revision(self._store.offer(raw, quiet=quiet, listed_to=listed_to))
        ]
        contiguous = self._progress.advance(source, after=after, to=to, final=final)
        if self.complete_revision > previous > 0:
            now_ms = self._context.now_ms()
            self._recent_advances.append((now_ms, previous))
            self._next_digest_ms = min(self._next_digest_ms, now_ms + _FAST_DIGEST_INTERVAL_MS)
        if self.complete_revision > 0 == previous:
            self._record_load_decision(source)
        if _generation(self.complete_revision) > _generation(previous):
            self._begin_generation(previous)
            self._push(source, self._digest(), previous)
        elif new_envelopes and final:
            self._push(source, messages.RecordChanges(after, to, True, envelopes), previous)
        if source == PLATFORM:
            return
        if contiguous and self._is_pulling_from(source):
            if final or to > cursor:
                self._continue_pull(final)
        elif to > self.complete_revision:
            self._on_peer_ahead(ids.HostId(source), to)

    def _begin_generation(self, previous: int) -> None:
        """Settle the records of older generations, as all those of a newer one are held."""
        transition = self._store.begin_generation(self.complete_revision)
        if not previous:
            return
        detail = {
            "generation": _generation(self.complete_revision),
            "before": _generation(previous),
            "revision": self.complete_revision,
            "lapsed": transition.lapsed,
            "carried": transition.carried,
        }
        self._context.record_decision(
            ring.DecisionKind.RECORD, "generation", "new-generation", detail=detail
        )

    def _listed_to(self) -> int:
        """Return the revision at which this host held every record that existed.

        A peer that lags may still send records that were withdrawn by then, of which the listing of
        the platform that this host, or the peer it loaded from, started with says nothing.
        """
        return self._known_from if self.complete_revision else 0

    def _record_load_decision(self, source: str) -> None:
        detail = {"records": len(self._store), "revision": self.complete_revision}
        self._context.record_decision(
            ring.DecisionKind.RECORD, "loaded", "first-set", subject=source, detail=detail
        )

    # Pushing

    def _push(
        self, source: str, changes: messages.RecordChanges | messages.Digest, previous: int
    ) -> None:
        """Send changes to a few peers; large ones are only announced by a digest."""
        if not previous and source != PLATFORM:
            return  # The initial load from a peer is new to this host only.
        peers = self._peers.pick_in_own_region(_PUSH_FANOUT, exclude=ids.HostId(source))
        peers += self._peers.pick_in_other_regions(_REMOTE_PUSHES_PER_REGION)
        message = changes
        if isinstance(changes, messages.RecordChanges):
            small = sum(map(len, changes.envelopes)) <= _MAX_PUSH_BYTES
            whole = previous and changes.after >= self._stated_known_from()
            message = changes if whole and small else self._digest()
        for peer in peers:
            self._context.send(peer, message)

    def _digest_interval_ms(self, now_ms: float) -> float:
        """Return the fast interval after a change, as pushes alone miss a few hosts."""
        if (
            self._recent_advances
            and now_ms - self._recent_advances[-1][0] < _FAST_DIGEST_DURATION_MS
        ):
            return _FAST_DIGEST_INTERVAL_MS
        return _DIGEST_INTERVAL_MS

    def _send_digests(self) -> None:
        message = self._digest()
        for peer in self._peers.pick_in_own_region(1) + self._peers.pick_in_other_regions(
            _REMOTE_DIGESTS_PER_REGION
        ):
            self._context.send(peer, message)

    def _digest(self) -> messages.Digest:
        tail_after, tail = self._tail()
        return messages.Digest(
            complete_revision=self.complete_revision,
            hosts_revision=self._membership.revision,
            tail_after=tail_after,
            tail=tail,
            wanted=self._wanted(),
            confirmed_age_ms=(
                round(self.confirmed_age_ms, 1) if math.isfinite(self._confirmed_ms) else -1.0
            ),
            carried=self._store.carried_checksum,
        )

    def _tail(self) -> tuple[int, tuple[bytes, ...]]:
        """Return the changes of the last seconds, as far as they fit the size limit."""
        oldest_ms = self._context.now_ms() - _MAX_TAIL_AGE_MS
        while self._recent_advances and self._recent_advances[0][0] < oldest_ms:
            self._recent_advances.popleft()
        tail_after, tail = self.complete_revision, ()
        for _, after in reversed(self._recent_advances):
            envelopes = self._small_changes(after)
            if envelopes is None or after < self._stated_known_from():
                break
            tail_after, tail = after, envelopes
        return tail_after, tail

    def _small_changes(self, after: int) -> tuple[bytes, ...] | None:
        """Return the envelopes after a revision, or None if they exceed the size of a tail."""
        envelopes = []
        size = 0
        for _, raw in self._store.envelopes_after(after):
            size += len(raw)
            if size > _MAX_TAIL_BYTES:
                return None
            envelopes.append(raw)
        return tuple(envelopes)

    def _catch_up(self, peer: ids.HostId, after: int) -> None:
        """Send a peer its missing records, or a digest if they are large, so that it pulls them."""
        chunk = self._chunk(after)
        small = chunk.final and sum(map(len, chunk.envelopes)) <= _MAX_UNREQUESTED_BYTES
        self._context.send(peer, chunk if small else self._digest())

    def _chunk(self, after: int) -> messages.RecordChanges:
        """Return the changes after a revision, limited in size but never splitting a revision."""
        known_from = self._stated_known_from()
        envelopes: list[bytes] = []
        size = 0
        last = after
        for revision, raw in self._store.envelopes_after(after):
            if size + len(raw) > _MAX_CHUNK_BYTES and revision != last and envelopes:
                return messages.RecordChanges(
                    after,
                    last,
                    False,
                    tuple(envelopes),
                    known_from,
                    missing_to=self._missing_to,
                )
            envelopes.append(raw)
            size += len(raw)
            last = revision
        return messages.RecordChanges(
            after,
            self.complete_revision,
            True,
            tuple(envelopes),
            known_from,
            missing_to=self._missing_to,
        )

    def _stated_known_from(self) -> int:
        """Return the revision after which peers that catch up from here get every withdrawal."""
        return max(self._known_from, self._missing_to)

    def _packed(self, chunk: messages.RecordChanges) -> messages.RecordChanges:
        """Return a chunk with its envelopes packed.

        The last result is cached, as many hosts pull the same chunk.
        """
        span = (chunk.after, chunk.to, self._store.carried_checksum)
        if self._last_packed is None or self._last_packed[0] != span:
            self._last_packed = (span, packing.pack(chunk.envelopes))
        return msgspec.structs.replace(chunk, envelopes=(), packed=self._last_packed[1])

    # Pulling

    def _is_pulling_from(self, source: str) -> bool:
        return self._pull is not None and self._pull.peer == source

    def _on_peer_ahead(self, peer: ids.HostId, to: int) -> None:
        self._ahead_peer = peer
        self._ahead_revision = max(self._ahead_revision, to)
        if self._pull is None:
            self._start_pull(peer)

    def _start_pull(self, peer: ids.HostId) -> None:
        self._pull = _Pull(peer=peer, sent_ms=self._context.now_ms())
        self._send_pull()

    def _continue_pull(self, final: bool) -> None:
        if final:
            self._pull = None
            return
        self._pull.sent_ms = self._context.now_ms()
        self._pull.attempts = 1
        self._send_pull()

    def _send_pull(self) -> None:
        peer = self._pull.peer
        reply_to = self._host_list.reply_address()
        assembly = self._pull.assembly
        if assembly.next_index:
            part_pull = messages.PartPull(
                assembly.after, assembly.to, assembly.next_index, reply_to
            )
            self._context.send(peer, part_pull)
            return
        cursor = self._progress.cursor(peer)
        self._context.send(peer, messages.RecordPull(cursor, reply_to, True, True))

    def _check_pull(self, now_ms: float) -> None:
        """Retry an unanswered pull, and switch to another peer after the last attempt."""
        pull = self._pull
        if pull is None or now_ms - pull.sent_ms < _PULL_TIMEOUT_MS:
            return
        if pull.attempts < _MAX_PULL_ATTEMPTS:
            pull.attempts += 1
            pull.sent_ms = now_ms
            self._send_pull()
            return
        self._pull = None
        self._progress.forget(pull.peer)
        other = self._peers.pick_one(exclude=pull.peer)
        if other is not None and self._ahead_revision > self.complete_revision:
            self._start_pull(other)

    def _load_initial(self, now_ms: float) -> None:
        """Pull all records from a random peer until the first set is complete."""
        if self.complete_revision or not self._membership.revision:
            return
        if self._load_started_ms is None:
            self._load_started_ms = now_ms
        if self._pull is None and now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + _INITIAL_LOAD_RETRY_MS
            peer = self._peers.pick_one()
            if peer is not None:
                self._start_pull(peer)

    # Records that are carried over from an older generation

    def _pull_carried(self, peer: ids.HostId, message: messages.Digest) -> None:
        """Pull the records that a peer of the same generation carries over, if they differ."""
        now_ms = self._context.now_ms()
        same_generation = _generation(message.complete_revision) == _generation(
            self.complete_revision
        )
        if not message.carried or message.carried == self._store.carried_checksum:
            return
        if not same_generation or now_ms < self._next_carried_pull_ms:
            return
        pull = self._carried_pull
        repeated = pull is not None and pull.checksum == message.carried
        self._next_carried_pull_ms = now_ms + (
            _REPEATED_CARRIED_PULL_INTERVAL_MS if repeated else _CARRIED_PULL_INTERVAL_MS
        )
        self._carried_pull = _CarriedPull(peer=peer, checksum=message.carried)
        self._send_carried_pull()

    def _send_carried_pull(self) -> None:
        pull = self._carried_pull
        index = pull.assembly.next_index
        reply_to = self._host_list.reply_address()
        self._context.send(pull.peer, messages.CarriedPull(pull.checksum, index, reply_to))

    @system.handles(messages.CarriedPull)
    def on_carried_pull(self, sender: ids.HostId, message: messages.CarriedPull) -> None:
        """Send a part of the records that this host carries over."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        checksum = self._store.carried_checksum
        if not checksum:
            return
        if self._packed_carried[0] != checksum:
            self._packed_carried = (checksum, packing.pack(self._store.carried()))
        # The checksum stands for the revision by which the parts of a set are known.
        changes = messages.RecordChanges(0, checksum, True, (), packed=self._packed_carried[1])
        part = parts.cut(changes, message.index if message.checksum == checksum else 0)
        if part is not None:
            self._context.send(
                sender, messages.CarriedPart(checksum, part.index, part.count, part.data)
            )

    @system.handles(messages.CarriedPart)
    def on_carried_part(self, sender: ids.HostId, message: messages.CarriedPart) -> None:
        """Collect a part of the records that are pulled; apply them when all parts are here."""
        pull = self._carried_pull
        if pull is None or pull.peer != sender:
            return
        pull.checksum = message.checksum
        expected = pull.assembly.next_index
        packed = pull.assembly.add(
            messages.RecordPart(
                0, message.checksum, True, 0, message.index, message.count, message.data
            )
        )
        if packed is not None:
            for raw in self._unpacked(sender, packed):
                self._store.offer(raw)
        elif pull.assembly.next_index != expected or message.index == 0:
            self._send_carried_pull()

    # Records whose newest revision this host has rejected

    def _wanted(self) -> tuple[messages.Wanted, ...]:
        """Return rejected records to request accepted envelopes of; a random sample if many."""
        rejections = self._store.rejections()
        if len(rejections) > _MAX_WANTED_RECORDS:
            rejections = self._context.rng.sample(rejections, _MAX_WANTED_RECORDS)
        return tuple(
            messages.Wanted(each.kind, each.name, each.accepted_revision) for each in rejections
        )

    def _send_wanted(self, peer: ids.HostId, wanted: tuple[messages.Wanted, ...]) -> None:
        """Send a peer the last accepted envelopes of the records that it wants."""
        found = []
        size = 0
        for each in wanted[:_MAX_WANTED_RECORDS]:
            raw = self._store.last_accepted(each.kind, each.name, each.accepted_revision)
            if raw is not None and size + len(raw) <= _MAX_CHUNK_BYTES:
                found.append(raw)
                size += len(raw)
        if found:
            self._context.send(peer, messages.LastAccepted(tuple(found)))


def _is_new_revision(verdict: store.Verdict) -> bool:
    """Return whether an offered envelope has a newer revision, valid or not."""
    return verdict in (store.Verdict.ACCEPTED, store.Verdict.RENEWED, store.Verdict.REJECTED)


def _generation(revision: int) -> int:
    return revisions.generation_of(revision)
