"""Spreads records: eager push of what is new, periodic digests, and pull of what is missing."""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import host_lists, messages, packing, progress, sampler
from verbenadrum.membership import table as host_table
from verbenadrum.records import envelope, store

__all__ = ["PLATFORM", "RecordSpread"]

PLATFORM = "platform"

_PUSH_FANOUT = 3
_FAR_PUSHES_PER_REGION = 3.0
_FAR_DIGESTS_PER_REGION = 2.0
_DIGEST_PERIOD_MS = 500.0
_NEWS_DIGEST_PERIOD_MS = 200.0
_NEWS_MS = 1_000.0
# Larger news is announced by a digest and pulled, so that each host gets it once.
_MAX_PUSH_BYTES = 1_500
_MAX_CHUNK_BYTES = 262_144
# A host that lags hears of it from several peers, so only little is sent to it unasked.
_MAX_UNASKED_BYTES = 32_768
# Digests go out several times a second while there is news, so their tail fits one packet.
_MAX_TAIL_BYTES = 700
_TAIL_AGE_MS = 5_000.0
_PULL_TIMEOUT_MS = 1_000.0
_PULL_TRIES = 3
_LOAD_TIMEOUT_MS = 4_000.0
_LOAD_RETRY_MS = 500.0
_MAX_WANTED = 8


class _Pull(msgspec.Struct):
    """A pull that is under way; at most one at a time."""

    peer: ids.HostId
    sent_ms: float
    tries: int = 1


class RecordSpread(system.System):
    """Takes envelopes from the platform and from peers, and passes on what is new.

    Epidemic spreading after Demers et al. (1987): rumours go to a few random peers at once, and
    anti-entropy by digests finds whatever they missed.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        The listed hosts.
    records : RecordStore
        Judges and keeps envelopes.
    peers : PeerSampler
        Chooses whom to tell.
    hosts : HostListSpread
        Told of the host list revision in each digest.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        records: store.RecordStore,
        peers: sampler.PeerSampler,
        hosts: host_lists.HostListSpread,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._store = records
        self._peers = peers
        self._hosts = hosts
        self._progress = progress.Progress()
        self._pull: _Pull | None = None
        self._ahead: ids.HostId | None = None
        self._ahead_to = 0
        self._next_digest_ms = context.now_ms() + context.rng.random() * _DIGEST_PERIOD_MS
        self._load_since_ms: float | None = None
        self._load_patience_ms = _LOAD_TIMEOUT_MS * (1.0 + context.rng.random())
        self._next_load_ms = 0.0
        self._heard_ms = context.now_ms()
        # Time of each step of `complete_to` and where it stood before, newest last.
        # Revision since which every withdrawal is known, and whether some are known to be missing.
        self._known_from = 0
        self._gap = False
        self._last_packed: tuple[tuple[int, int], bytes] | None = None
        self._steps: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def complete_to(self) -> int:
        """Every record published up to this revision is held; 0 before the first load."""
        return self._progress.complete_to

    @property
    def heard_ms(self) -> float:
        """Monotonic time of the newest digest or changes of a peer."""
        return self._heard_ms

    @property
    def gap(self) -> bool:
        """Whether records may have been withdrawn that no peer can tell of any more."""
        return self._gap

    @property
    def load_stalled(self) -> bool:
        """Whether peers have not given a first set of records for too long."""
        if self.complete_to or self._load_since_ms is None:
            return False
        return self._context.now_ms() - self._load_since_ms >= self._load_patience_ms

    def platform_cursor(self) -> int:
        """Return the revision after which to ask the platform."""
        return 0 if self._gap else self._progress.cursor(PLATFORM)

    def on_platform(
        self,
        *,
        after: int,
        revision: int,
        complete: bool,
        envelopes: tuple[bytes, ...],
        whole: bool = False,
    ) -> bool:
        """Take an answer of the platform; one that is older than what is held changes nothing.

        Returns
        -------
        bool
            False if the answer is older than its question or leads no further.
        """
        to = revision if complete else max(map(envelope.revision_of, envelopes), default=0)
        if whole:
            self._gap = False
            if not self.complete_to:
                self._known_from = revision
            envelopes += self._store.withdrawals(envelopes, revision)
        self._take(PLATFORM, after, to, complete, envelopes)
        return to >= after if complete else to > after

    def on_tick(self) -> None:
        """Send a digest when it is due, and see to the pull under way."""
        now_ms = self._context.now_ms()
        self._watch_pull(now_ms)
        self._load_first(now_ms)
        if now_ms >= self._next_digest_ms:
            self._next_digest_ms = now_ms + self._digest_period_ms(now_ms)
            self._send_digests()

    @system.handles(messages.RecordChanges)
    def on_changes(self, sender: ids.HostId, message: messages.RecordChanges) -> None:
        """Take changes that a peer pushed or that were pulled from it."""
        self._heard_ms = self._context.now_ms()
        envelopes = message.envelopes
        if message.packed:
            try:
                envelopes = packing.unpack(message.packed)
            except packing.MalformedPackError as error:
                self._context.decide(
                    ring.DecisionKind.RECORD,
                    "unreadable",
                    error.code,
                    subject=sender,
                    detail={"fault": error.message},
                )
                return
        self._compare_history(message)
        self._take(sender, message.after, message.to, message.final, envelopes)

    @system.handles(messages.RecordPull)
    def on_pull(self, sender: ids.HostId, message: messages.RecordPull) -> None:
        """Answer a pull with the next chunk."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        chunk = self._chunk(message.after)
        if message.unpacks and sum(map(len, chunk.envelopes)) > _MAX_UNASKED_BYTES:
            chunk = self._packed(chunk)
        self._context.send(sender, chunk)

    @system.handles(messages.Digest)
    def on_digest(self, sender: ids.HostId, message: messages.Digest) -> None:
        """Compare how far both are: pull what is missing here, push what is missing there."""
        self._heard_ms = self._context.now_ms()
        self._take(sender, message.tail_after, message.complete_to, True, message.tail)
        if message.complete_to < self.complete_to:
            self._catch_up(sender, message.complete_to)
        self._hosts.on_peer_revision(sender, message.hosts_revision)
        self._answer_wanted(sender, message.wanted)

    @system.handles(messages.LastAccepted)
    def on_last_accepted(self, sender: ids.HostId, message: messages.LastAccepted) -> None:
        """Take older envelopes that are good where the newest one was refused."""
        for raw in message.envelopes:
            self._store.offer(raw)

    def _compare_history(self, message: messages.RecordChanges) -> None:
        """Note where the sender never knew of withdrawals that this host lacks too."""
        if not self.complete_to:
            self._known_from = max(self._known_from, message.known_from)
        elif message.known_from > self.complete_to and not self._gap:
            self._gap = True
            detail = {"complete_to": self.complete_to, "known_from": message.known_from}
            self._context.decide(
                ring.DecisionKind.RECORD, "read-whole", "withdrawals-unknown", detail=detail
            )

    def _take(
        self, source: str, after: int, to: int, final: bool, envelopes: tuple[bytes, ...]
    ) -> None:
        before = self.complete_to
        cursor = self._progress.cursor(source)
        quiet = not before
        news = [raw for raw in envelopes if _is_news(self._store.offer(raw, quiet=quiet))]
        joined = self._progress.advance(source, after=after, to=to, final=final)
        if self.complete_to > before > 0:
            now_ms = self._context.now_ms()
            self._steps.append((now_ms, before))
            self._next_digest_ms = min(self._next_digest_ms, now_ms + _NEWS_DIGEST_PERIOD_MS)
        if self.complete_to > 0 == before:
            self._decide_loaded(source)
        if news and final:
            self._pass_on(source, messages.RecordChanges(after, to, True, envelopes), before)
        if source == PLATFORM:
            return
        if joined and self._pulls_from(source):
            if final or to > cursor:
                self._continue_pull(final)
        elif to > self.complete_to:
            self._note_ahead(ids.HostId(source), to)

    def _decide_loaded(self, source: str) -> None:
        detail = {"records": len(self._store), "revision": self.complete_to}
        self._context.decide(
            ring.DecisionKind.RECORD, "loaded", "first-set", subject=source, detail=detail
        )

    # Pushing

    def _pass_on(self, source: str, changes: messages.RecordChanges, before: int) -> None:
        """Send news to a few peers; where there is much of it, only that it is there."""
        if not before and source != PLATFORM:
            return  # the first load from a peer is news to this host alone
        peers = self._peers.near(_PUSH_FANOUT, exclude=ids.HostId(source))
        peers += self._peers.far(_FAR_PUSHES_PER_REGION)
        small = sum(map(len, changes.envelopes)) <= _MAX_PUSH_BYTES
        message = changes if before and small else self._digest()
        for peer in peers:
            self._context.send(peer, message)

    def _digest_period_ms(self, now_ms: float) -> float:
        """Return a shorter period while there is news, for pushes alone miss a few hosts."""
        if self._steps and now_ms - self._steps[-1][0] < _NEWS_MS:
            return _NEWS_DIGEST_PERIOD_MS
        return _DIGEST_PERIOD_MS

    def _send_digests(self) -> None:
        message = self._digest()
        for peer in self._peers.near(1) + self._peers.far(_FAR_DIGESTS_PER_REGION):
            self._context.send(peer, message)

    def _digest(self) -> messages.Digest:
        tail_after, tail = self._tail()
        return messages.Digest(
            complete_to=self.complete_to,
            hosts_revision=self._membership.revision,
            tail_after=tail_after,
            tail=tail,
            wanted=self._wanted(),
        )

    def _tail(self) -> tuple[int, tuple[bytes, ...]]:
        """Return the changes of the last seconds, or fewer where they are large."""
        oldest_ms = self._context.now_ms() - _TAIL_AGE_MS
        while self._steps and self._steps[0][0] < oldest_ms:
            self._steps.popleft()
        tail_after, tail = self.complete_to, ()
        for _, after in reversed(self._steps):
            envelopes = self._small_changes(after)
            if envelopes is None:
                break
            tail_after, tail = after, envelopes
        return tail_after, tail

    def _small_changes(self, after: int) -> tuple[bytes, ...] | None:
        envelopes = []
        size = 0
        for _, raw in self._store.after(after):
            size += len(raw)
            if size > _MAX_TAIL_BYTES:
                return None
            envelopes.append(raw)
        return tuple(envelopes)

    def _catch_up(self, peer: ids.HostId, after: int) -> None:
        """Send a peer what it lacks, or that it lacks much: it then pulls at its own pace."""
        chunk = self._chunk(after)
        little = chunk.final and sum(map(len, chunk.envelopes)) <= _MAX_UNASKED_BYTES
        self._context.send(peer, chunk if little else self._digest())

    def _chunk(self, after: int) -> messages.RecordChanges:
        envelopes: list[bytes] = []
        size = 0
        last = after
        for revision, raw in self._store.after(after):
            if size + len(raw) > _MAX_CHUNK_BYTES and revision != last and envelopes:
                return messages.RecordChanges(
                    after, last, False, tuple(envelopes), self._known_from
                )
            envelopes.append(raw)
            size += len(raw)
            last = revision
        return messages.RecordChanges(
            after, self.complete_to, True, tuple(envelopes), self._known_from
        )

    def _packed(self, chunk: messages.RecordChanges) -> messages.RecordChanges:
        """Return a chunk with its envelopes packed; many hosts pull the same one."""
        span = (chunk.after, chunk.to)
        if self._last_packed is None or self._last_packed[0] != span:
            self._last_packed = (span, packing.pack(chunk.envelopes))
        return msgspec.structs.replace(chunk, envelopes=(), packed=self._last_packed[1])

    # Pulling

    def _pulls_from(self, source: str) -> bool:
        return self._pull is not None and self._pull.peer == source

    def _note_ahead(self, peer: ids.HostId, to: int) -> None:
        self._ahead = peer
        self._ahead_to = max(self._ahead_to, to)
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
        self._pull.tries = 1
        self._send_pull()

    def _send_pull(self) -> None:
        peer = self._pull.peer
        cursor = self._progress.cursor(peer)
        self._context.send(peer, messages.RecordPull(cursor, self._hosts.reply_address(), True))

    def _watch_pull(self, now_ms: float) -> None:
        """Repeat a pull that got no answer, then turn to another peer."""
        pull = self._pull
        if pull is None or now_ms - pull.sent_ms < _PULL_TIMEOUT_MS:
            return
        if pull.tries < _PULL_TRIES:
            pull.tries += 1
            pull.sent_ms = now_ms
            self._send_pull()
            return
        self._pull = None
        self._progress.forget(pull.peer)
        other = self._peers.any(exclude=pull.peer)
        if other is not None and self._ahead_to > self.complete_to:
            self._start_pull(other)

    def _load_first(self, now_ms: float) -> None:
        """Ask a random peer for everything while nothing is held."""
        if self.complete_to or not self._membership.revision:
            return
        if self._load_since_ms is None:
            self._load_since_ms = now_ms
        if self._pull is None and now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + _LOAD_RETRY_MS
            peer = self._peers.any()
            if peer is not None:
                self._start_pull(peer)

    # Records whose newest revision is refused here

    def _wanted(self) -> tuple[messages.Wanted, ...]:
        rejections = self._store.rejections()
        if len(rejections) > _MAX_WANTED:
            rejections = self._context.rng.sample(rejections, _MAX_WANTED)
        return tuple(
            messages.Wanted(each.kind, each.name, each.accepted_revision) for each in rejections
        )

    def _answer_wanted(self, peer: ids.HostId, wanted: tuple[messages.Wanted, ...]) -> None:
        found = []
        size = 0
        for each in wanted[:_MAX_WANTED]:
            raw = self._store.last_accepted(each.kind, each.name, each.accepted_revision)
            if raw is not None and size + len(raw) <= _MAX_CHUNK_BYTES:
                found.append(raw)
                size += len(raw)
        if found:
            self._context.send(peer, messages.LastAccepted(tuple(found)))


def _is_news(verdict: store.Verdict) -> bool:
    return verdict in (store.Verdict.ACCEPTED, store.Verdict.REJECTED)
