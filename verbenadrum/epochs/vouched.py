"""Epochs by majority vouching: a list is in force while a majority of its members vouches for it.

A vouch is a vote with a lease. Each host polls the members of the lists that may be in force; a
vouch is valid for `voters.VOUCH_TERM_MS` after its poll was sent. A later list is activated once a
majority of every earlier list vouches for it and their older vouches have expired. The proof is in
``docs/design/epochs.md``.
"""

import math

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.epochs import chain, messages, registry, voters
from verbenadrum.messages import base
from verbenadrum.records import types
from verbenadrum.utils import hashing

__all__ = ["VouchedEpochs"]

_POLL_PERIOD_MS = 1_000.0
# Period for hosts that do not vouch for the promised list yet, to keep the transition short.
_TRANSITION_POLL_PERIOD_MS = 250.0
_POLL_JITTER = 0.1
_QUERY_PERIOD_MS = 200.0
_EPOCH_CACHE_MS = 100.0
# Wait until every earlier vouch has expired, for clocks whose rates differ by up to 2 %.
_EXPIRY_WAIT_MS = voters.VOUCH_TERM_MS + 60.0
# Up to this number, every host is polled each period; above it, only a fraction of the hosts.
_MAX_FULLY_POLLED_HOSTS = 24
_POLLED_FRACTION = 0.65
# Longer than the lifetime of an idempotency key, 15 min: a witness needs the lists that were in
# force since the time of the key.
_EARLIER_RETENTION_MS = 16 * 60_000.0
_MAX_EARLIER_LISTS = 64
_INFINITE_MS = float("inf")


@registry.epoch_systems.register("vouched")
class VouchedEpochs(system.System):
    """Determines from vouches which list is in force in this host's data centre.

    The base is the last list that was activated here, and the promised list the newest one, for
    which this host vouches; see `chain.Chain`.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._membership = membership
        self._generation = 0
        self._sampled_from: set[ids.HostId] = set()
        self._sample: set[ids.HostId] = set()
        self._reset(0)

    @property
    def recovering(self) -> bool:
        """Whether this host has no base yet, so that its answers to polls are no vouches."""
        return self._chain.base is None

    def active(self) -> ports.Epoch | None:
        """Return the valid epoch of this host's data centre, or None if majorities are missing."""
        now_ms = self._context.now_ms()
        if now_ms >= self._refresh_ms or now_ms >= self._valid_until_ms():
            self._refresh(now_ms)
        if self._epoch is None or now_ms >= self._epoch.valid_until_ms:
            return None
        return self._epoch

    def on_tick(self) -> None:
        """Apply newer records and lists, activate or recover a list if possible, and poll."""
        now_ms = self._context.now_ms()
        self._update_generation()
        self._update_list(now_ms)
        if self._generation == 0:
            return
        if self.recovering:
            self._start_generation(now_ms)
            self._recover(now_ms)
        else:
            self._activate(now_ms)
            self._rejoin(now_ms)
        self._record_validity(now_ms)
        self._poll(now_ms)

    @system.handles(messages.Poll)
    def on_poll(self, sender: ids.HostId, message: messages.Poll) -> None:
        """Request a later list that the poller has, and reply with a vouch."""
        if not self._accept_scope(message):
            return
        if message.generation == self._generation:
            self._query_unknown(sender, (message.promised,))
        if message.recovering and self._certificate is not None:
            self._context.send(sender, self._certificate)
        self._context.send(
            sender,
            messages.Vouch(
                scope=message.scope,
                generation=self._generation,
                promised=self._chain.promised_revision,
                base=self._chain.base_revision,
                floor=self._floor,
                history=self._history_after(message.base),
                recovering=self.recovering,
                incarnation=self._context.incarnation,
                poll_incarnation=message.incarnation,
                poll_sent_ms=message.sent_ms,
            ),
        )

    @system.handles(messages.Vouch)
    def on_vouch(self, sender: ids.HostId, message: messages.Vouch) -> None:
        """Store a vouch, and request the lists in it that are unknown here."""
        own = self._context.incarnation
        if not self._accept_scope(message) or message.poll_incarnation != own:
            return
        if message.generation != self._generation:
            return
        row = self._voters.row(sender)
        if not row.record_answer(message, self._context.now_ms()):
            return
        known = self._query_unknown(sender, (message.base, message.promised, *message.history))
        if known and self._supports_chain(message):
            row.vouched_revision = message.promised
            row.vouched_ms = row.answered_ms

    @system.handles(messages.ListQuery)
    def on_list_query(self, sender: ids.HostId, message: messages.ListQuery) -> None:
        """Send the members of the requested lists that are known here."""
        if not self._accept_scope(message):
            return
        known = {each.revision: each for each in self._chain.lists}
        for old in self._earlier:
            known[old.revision] = messages.HostList(old.revision, old.members)
        lists = tuple(known[each] for each in message.revisions if each in known)
        if lists:
            reply = messages.ListReply(
                scope=message.scope, generation=self._generation, lists=lists
            )
            self._context.send(sender, reply)

    @system.handles(messages.ListReply)
    def on_list_reply(self, sender: ids.HostId, message: messages.ListReply) -> None:
        """Add the received lists to the chain."""
        if self._accept_scope(message) and message.generation == self._generation:
            for each in message.lists:
                self._add_list(each, self._context.now_ms())

    @system.handles(messages.StartCertificate)
    def on_certificate(self, sender: ids.HostId, message: messages.StartCertificate) -> None:
        """Adopt the first epoch if the certificate names this incarnation of the host."""
        if not self._accept_scope(message) or message.generation != self._generation:
            return
        certified = dict(zip(message.first.members, message.incarnations, strict=True))
        if certified.get(self._context.host) != self._context.incarnation or not self.recovering:
            return
        if self._chain.promised_revision == message.first.revision:
            self._certificate = message
            self._begin_chain(message.first, "started-by-peer")
            self._mark_history_if_complete()

    def _reset(self, generation: int) -> None:
        self._generation = generation
        self._chain = chain.Chain()
        self._voters = voters.VoterTable()
        self._certificate: messages.StartCertificate | None = None
        self._earlier: list[ports.EarlierList] = []
        self._floor = 0
        self._reset_ms = self._context.now_ms()
        self._promised_ms = self._reset_ms
        self._base_since_wall_ms = 0.0
        self._known_since_wall_ms = 0.0
        self._next_query_ms: dict[int, float] = {}
        self._alone_until_ms = -_INFINITE_MS
        self._was_valid = False
        self._lapsed_ms = self._reset_ms
        self._invalidate_epoch()
        self._listed_revision = 0

    def _update_generation(self) -> None:
        share = self._own_share()
        if share is not None and share.generation > self._generation:
            self._raise_generation(share.generation)

    def _own_share(self) -> types.DataCentreShare | None:
        fleet = self._records.fleet()
        if fleet is None:
            return None
        own = self._context.data_centre
        return next((each for each in fleet.data_centres if each.data_centre == own), None)

    def _raise_generation(self, generation: int) -> None:
        if self._generation:
            self._record_decision("dropped", "generation-raised")
        self._reset(generation)

    def _update_list(self, now_ms: float) -> None:
        revision = self._membership.revision
        if revision == self._listed_revision:
            return
        self._listed_revision = revision
        rows = self._membership.hosts(data_centre=self._context.data_centre)
        if rows:
            members = tuple(row.host for row in rows)
            if revision > self._chain.promised_revision:
                self._add_list(messages.HostList(revision, members), now_ms)

    def _accept_scope(self, message: base.Message) -> bool:
        """Return whether a message is of this data centre, and adopt a greater generation."""
        if message.scope != self._context.data_centre:
            return False
        if message.generation > self._generation:
            self._raise_generation(message.generation)
            self._update_list(self._context.now_ms())
        return True

    def _query_unknown(self, sender: ids.HostId, revisions: tuple[int, ...]) -> bool:
        """Query the sender for unknown lists; return whether all were known."""
        unknown = {each for each in revisions if each and not self._chain.covers(each)}
        now_ms = self._context.now_ms()
        due = [each for each in unknown if now_ms >= self._next_query_ms.get(each, -_INFINITE_MS)]
        if due:
            for each in due:
                self._next_query_ms[each] = now_ms + _QUERY_PERIOD_MS
            query = messages.ListQuery(
                scope=self._context.data_centre,
                generation=self._generation,
                revisions=tuple(sorted(due)),
            )
            self._context.send(sender, query)
        return not unknown

    def _add_list(self, new: messages.HostList, now_ms: float) -> None:
        promised = self._chain.promised_revision
        alone_until_ms = self._base_alone_until_ms(now_ms)
        if not self._chain.add(new):
            return
        self._alone_until_ms = alone_until_ms
        self._next_query_ms.pop(new.revision, None)
        self._invalidate_epoch()
        if new.revision > promised:
            self._promised_ms = now_ms
            self._poll_soon(now_ms)

    def _base_alone_until_ms(self, now_ms: float) -> float:
        """Return the monotonic time until which no list but the base can be in force anywhere.

        No later list is activated before the vouches that this host has received expire, nor
        before its own, which is valid for a full term after its promise of a later list.
        """
        if not self._chain.stable:
            return self._alone_until_ms
        epoch = self.active()
        if epoch is None:
            return -_INFINITE_MS
        return min(epoch.valid_until_ms, now_ms + voters.VOUCH_TERM_MS)

    def _poll_soon(self, now_ms: float) -> None:
        self._voters.retain_only(self._chain.hosts())
        self._voters.schedule_polls(now_ms + self._context.rng.uniform(0, _EPOCH_CACHE_MS))

    def _supports_chain(self, vouch: messages.Vouch) -> bool:
        """Return whether a vouch whose lists are all known supports this host's chain.

        A voter that may lack a list in force after this host's base cannot rule out a later
        activation, so its vouch does not count.
        """
        if vouch.recovering or self.recovering:
            return False
        own = self._chain.base_revision
        return vouch.floor <= own <= vouch.promised <= self._chain.promised_revision

    def _history_after(self, revision: int) -> tuple[int, ...]:
        if revision == 0 or revision >= self._chain.base_revision:
            return self._chain.history
        earlier = tuple(each.revision for each in self._earlier if each.revision > revision)
        return (*earlier, self._chain.base_revision, *self._chain.history)

    def _activate(self, now_ms: float) -> None:
        target = self._chain.promised
        if self._chain.stable or target is None or self.active() is None:
            return
        if now_ms < self._promised_ms + _EXPIRY_WAIT_MS:
            return
        own = self._context.host
        for each in self._chain.lists:
            if not self._voters.majority_moved(each.members, own, target.revision, now_ms):
                return
        self._archive_lists(self._chain.advance(target))
        self._base_since_wall_ms = self._context.clock.wall_ms()
        self._invalidate_epoch()
        self._voters.retain_only(self._chain.hosts())
        self._record_decision("activated", "majorities-moved")

    def _archive_lists(self, replaced: list[messages.HostList]) -> None:
        wall_ms = self._context.clock.wall_ms()
        for each in replaced:
            # Most lists change only other data centres; equal member lists share one entry.
            if self._earlier and self._earlier[-1].members == each.members:
                self._earlier.pop()
            self._earlier.append(
                ports.EarlierList(
                    revision=each.revision, members=each.members, until_wall_ms=wall_ms
                )
            )
        while self._earlier and self._archive_is_full(wall_ms):
            dropped = self._earlier.pop(0)
            self._known_since_wall_ms = max(self._known_since_wall_ms, dropped.until_wall_ms)
            self._floor = max(self._floor, dropped.revision)

    def _archive_is_full(self, wall_ms: float) -> bool:
        expired = self._earlier[0].until_wall_ms + _EARLIER_RETENTION_MS < wall_ms
        return expired or len(self._earlier) > _MAX_EARLIER_LISTS

    def _rejoin(self, now_ms: float) -> None:
        """Adopt a later base of the peers once this host has had no epoch for a full term."""
        if self._was_valid or now_ms < self._lapsed_ms + voters.VOUCH_TERM_MS:
            return
        revision = max((each.base for each in self._voters.not_recovering(now_ms)), default=0)
        newer = self._chain.find(revision)
        if newer is not None and revision > self._chain.base_revision:
            self._chain.advance(newer)
            self._restart_history()
            self._record_decision("rejoined", "base-of-peers")

    def _recover(self, now_ms: float) -> None:
        """Recover the base from a majority of every list that may be in force."""
        if not self.recovering or now_ms < self._reset_ms + _EXPIRY_WAIT_MS:
            return
        vouches = self._voters.not_recovering(now_ms)
        first = self._chain.find(max((each.base for each in vouches), default=0))
        if first is None:
            return
        lists = [each for each in self._chain.lists if each.revision >= first.revision]
        for each in lists:
            if self._count_informed(each.members, now_ms) < chain.majority(each.members):
                return
        self._begin_chain(first, "recovered")

    def _count_informed(self, members: tuple[ids.HostId, ...], now_ms: float) -> int:
        count = 0
        for host in members:
            row = self._voters.row(host)
            if row.vouch is not None and row.fresh(now_ms) and not row.vouch.recovering:
                known = (row.vouch.base, row.vouch.promised, *row.vouch.history)
                count += all(self._chain.covers(each) for each in known)
        return count

    def _start_generation(self, now_ms: float) -> None:
        """Start the generation's first epoch once every listed host has answered as recovering."""
        first = self._chain.promised
        share = self._own_share()
        if first is None or share is None or share.generation != self._generation:
            return
        if self._context.clock.wall_ms() >= share.start_until_wall_ms:
            return
        own = self._context.host
        if own not in first.members or now_ms < self._promised_ms + _EXPIRY_WAIT_MS:
            return
        others = self._chain.hosts() - {own}
        if not all(self._ready_to_start(self._voters.row(host), first, now_ms) for host in others):
            return
        self._certificate = self._certify(first)
        for host in others:
            self._context.send(host, self._certificate)
        self._begin_chain(first, "all-without-memory")
        self._mark_history_if_complete()

    def _ready_to_start(
        self, row: voters.VoterRow, first: messages.HostList, now_ms: float
    ) -> bool:
        vouch = row.vouch
        if vouch is None or not vouch.recovering or vouch.promised != first.revision:
            return False
        return row.unchanged_for_term(now_ms) and all(
            self._chain.covers(each) for each in vouch.history
        )

    def _certify(self, first: messages.HostList) -> messages.StartCertificate:
        incarnations = []
        for host in first.members:
            vouch = self._voters.row(host).vouch
            own = host == self._context.host
            incarnations.append(self._context.incarnation if own else vouch.incarnation)
        return messages.StartCertificate(
            scope=self._context.data_centre,
            generation=self._generation,
            first=first,
            incarnations=tuple(incarnations),
        )

    def _begin_chain(self, first: messages.HostList, reason: str) -> None:
        self._chain.advance(first)
        self._restart_history()
        self._poll_soon(self._context.now_ms())
        self._record_decision("joined", reason)

    def _mark_history_if_complete(self) -> None:
        fleet = self._records.fleet()
        if fleet is None or self._generation != 1:
            return
        if self._context.clock.wall_ms() <= fleet.serve_from_wall_ms:
            # No host accepts a claim before this time, even after a restart, so every list under
            # which a claim may have been made is known here.
            self._known_since_wall_ms = 0.0
            self._invalidate_epoch()

    def _restart_history(self) -> None:
        self._base_since_wall_ms = self._context.clock.wall_ms()
        self._known_since_wall_ms = self._base_since_wall_ms
        self._earlier.clear()
        self._floor = self._chain.base_revision
        self._invalidate_epoch()

    def _invalidate_epoch(self) -> None:
        self._epoch: ports.Epoch | None = None
        self._refresh_ms = -_INFINITE_MS

    def _valid_until_ms(self) -> float:
        return -_INFINITE_MS if self._epoch is None else self._epoch.valid_until_ms

    def _refresh(self, now_ms: float) -> None:
        """Compute the epoch, which is cached for a time in which majorities change little."""
        self._refresh_ms = now_ms + _EPOCH_CACHE_MS
        current, promised = self._chain.base, self._chain.promised
        self._epoch = None
        if current is None or promised is None:
            return
        own = self._context.host
        until_ms = min(
            self._voters.vouched_until_ms(each.members, own, current.revision, now_ms)
            for each in self._chain.lists
        )
        if until_ms <= now_ms:
            return
        self._epoch = ports.Epoch(
            scope=ids.EpochScope(self._context.data_centre),
            generation=self._generation,
            revision=current.revision,
            members=current.members,
            next_members=promised.members,
            share=self._chain.share(own),
            since_wall_ms=self._base_since_wall_ms,
            valid_until_ms=until_ms,
            intermediate=tuple(each.members for each in self._chain.lists[1:-1]),
            earlier=tuple(self._earlier),
            known_since_wall_ms=self._known_since_wall_ms,
            alone_until_ms=until_ms if self._chain.stable else self._alone_until_ms,
        )

    def _record_validity(self, now_ms: float) -> None:
        valid = self.active() is not None
        if self._was_valid and not valid:
            self._lapsed_ms = now_ms
            self._record_decision("lapsed", "no-majority")
        elif valid and not self._was_valid:
            self._record_decision("valid", "majority-vouches")
        self._was_valid = valid

    def _poll(self, now_ms: float) -> None:
        hosts = self._chain.hosts()
        own = self._context.host
        if own not in hosts:
            return
        hosts.discard(own)
        for host in self._hosts_to_poll(hosts, now_ms):
            row = self._voters.row(host)
            if now_ms >= row.next_poll_ms:
                row.next_poll_ms = now_ms + self._period_ms(row)
                self._context.send(host, self._make_poll(now_ms))

    def _period_ms(self, row: voters.VoterRow) -> float:
        behind = row.vouch is not None and row.vouch.promised < self._chain.promised_revision
        period_ms = _TRANSITION_POLL_PERIOD_MS if behind else _POLL_PERIOD_MS
        return period_ms * self._context.rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)

    def _hosts_to_poll(self, hosts: set[ids.HostId], now_ms: float) -> set[ids.HostId]:
        """Return the hosts to poll: a fixed sample while its vouches keep the epoch valid."""
        remaining_ms = self._valid_until_ms() - now_ms
        if len(hosts) <= _MAX_FULLY_POLLED_HOSTS or remaining_ms < voters.VOUCH_TERM_MS / 2:
            return hosts
        if self._sampled_from != hosts:
            count = math.ceil(_POLLED_FRACTION * len(hosts))
            self._sampled_from = set(hosts)
            self._sample = set(hashing.rank(self._context.host, hosts)[:count])
        return self._sample

    def _make_poll(self, now_ms: float) -> messages.Poll:
        return messages.Poll(
            scope=self._context.data_centre,
            generation=self._generation,
            promised=self._chain.promised_revision,
            base=self._chain.base_revision,
            incarnation=self._context.incarnation,
            sent_ms=now_ms,
            recovering=self.recovering,
        )

    def _record_decision(self, choice: str, reason: str) -> None:
        self._context.record_decision(
            ring.DecisionKind.EPOCH,
            choice,
            reason,
            subject=self._context.data_centre,
            detail={
                "generation": self._generation,
                "revision": self._chain.base_revision,
                "promised": self._chain.promised_revision,
            },
        )
