"""Host list that the hosts maintain by gossip, joined through seed addresses.

It is used where no platform publishes the hosts. Each host announces its own row. Rows spread by
rumor mongering and anti-entropy (Demers et al., 1987), and are ordered by incarnations as in SWIM
(Das, Gupta and Motivala, 2002): of two rows of one host the one with the greater incarnation wins,
and only the host itself raises its incarnation.
"""

import msgspec
import xxhash

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import registry, sampler
from verbenadrum.membership import messages
from verbenadrum.membership import table as host_table

__all__ = ["SeededHostList"]

# Interval of requests to every seed while no other host is listed; startup waits for an answer.
_JOIN_INTERVAL_MS = 200.0
# Interval of requests to one random seed. They never end, so that the two sides of a long network
# partition join again.
_REJOIN_INTERVAL_MS = 4_000.0
_DIGEST_INTERVAL_MS = 500.0
# Digests are sent at the fast interval for a while after each change of the list.
_FAST_DIGEST_INTERVAL_MS = 200.0
_FAST_DIGEST_DURATION_MS = 1_000.0
_REMOTE_DIGESTS_PER_REGION = 3.0
_RUMOR_FANOUT = 3
_REMOTE_RUMORS_PER_REGION = 3.0
# A host that this host suspects for this long without a break is removed from the list.
_REMOVE_SUSPECTED_AFTER_MS = 30_000.0
_REMOVAL_CHECK_INTERVAL_MS = 1_000.0
# A removal is kept this long, so that an old row of the host does not restore it.
_TOMBSTONE_TTL_MS = 120_000.0


class _Entry(msgspec.Struct, kw_only=True):
    """Newest row of one host; ``removed_ms`` is when it left the list, 0 while it is listed."""

    row: ports.HostRow
    incarnation: int
    removed_ms: float = 0.0


@registry.host_list_systems.register("seeded")
class SeededHostList(system.System):
    """Discovers the other hosts through seeds and maintains the list of them.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending; it also sends to seed addresses.
    membership : HostTable
        Receives every new version of the list.
    peers : PeerSampler
        Selects the peers to gossip with.
    address : str
        ``ip:port`` of this host's peer port.
    seeds : tuple of str
        Peer addresses to join through; an address may be outdated, unreachable, or this host's own.
    """

    from_platform = False

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        peers: sampler.PeerSampler,
        address: str,
        seeds: tuple[str, ...],
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._peers = peers
        self._address = address
        self._seeds: tuple[str, ...] = ()
        self._has_met_peer = False
        self.use_seeds(seeds)
        self._entries: dict[ids.HostId, _Entry] = {}
        self._incarnation = context.incarnation
        self._digest = 0
        self._revision = 0
        self._next_join_ms = 0.0
        self._next_digest_ms = 0.0
        self._next_removal_ms = 0.0
        self._last_change_ms = float("-inf")
        self._suspected_since_ms: dict[ids.HostId, float] = {}
        own = ports.HostRow(
            host=context.host,
            address=address,
            data_centre=context.data_centre,
            region=context.region,
        )
        self._entries[own.host] = _Entry(row=own, incarnation=self._incarnation)
        self._apply_list()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses; this host's own address is left out.

        A host without other seeds that has met no peer is the whole fleet.
        """
        self._seeds = tuple(seed for seed in seeds if seed != self._address)
        if not self._has_met_peer:
            self._set_seeking(bool(self._seeds))

    def on_tick(self) -> None:
        """Send joins and digests, and remove suspected hosts, when each is due."""
        now_ms = self._context.now_ms()
        if now_ms >= self._next_join_ms:
            self._send_joins(now_ms)
        if now_ms >= self._next_digest_ms:
            recent = now_ms - self._last_change_ms < _FAST_DIGEST_DURATION_MS
            interval_ms = _FAST_DIGEST_INTERVAL_MS if recent else _DIGEST_INTERVAL_MS
            self._next_digest_ms = now_ms + interval_ms * (0.75 + 0.5 * self._context.rng.random())
            for peer in self._peers.pick_in_own_region(1) + self._peers.pick_in_other_regions(
                _REMOTE_DIGESTS_PER_REGION
            ):
                self._context.send(peer, messages.RosterDigest(self._digest))
        if now_ms >= self._next_removal_ms:
            self._next_removal_ms = now_ms + _REMOVAL_CHECK_INTERVAL_MS
            self._remove_suspected(now_ms)

    @system.handles(messages.Join)
    def on_join(self, sender: ids.HostId, message: messages.Join) -> None:
        """Merge the sender's row, and answer with the list if the lists differ.

        The answer goes to the address in the sender's row. A host that has started at another
        address with a smaller incarnation is still listed at the old one, and raises its
        incarnation once it has the list.
        """
        self._merge((message.row,), source=sender)
        if message.digest == self._digest:
            return
        receiver = sender
        if self._membership.address(sender) != message.row.address:
            receiver = ids.HostId(message.row.address)
            self._membership.add_unlisted_address(receiver, message.row.address)
        self._context.send(receiver, messages.Roster(self._rows(), reply_wanted=False))

    @system.handles(messages.RosterDigest)
    def on_digest(self, sender: ids.HostId, message: messages.RosterDigest) -> None:
        """Send this host's list to a peer whose list differs, and ask for newer rows."""
        if message.digest != self._digest:
            self._context.send(sender, messages.Roster(self._rows(), reply_wanted=True))

    @system.handles(messages.Roster)
    def on_roster(self, sender: ids.HostId, message: messages.Roster) -> None:
        """Merge a peer's rows, and send it newer ones if it asks for them."""
        self._merge(message.rows, source=sender)
        if not message.reply_wanted:
            return
        peer_rows = {row.host: row for row in message.rows}
        missing = tuple(row for row in self._rows() if _supersedes(row, peer_rows.get(row.host)))
        if missing:
            self._context.send(sender, messages.Roster(missing, reply_wanted=False))

    def on_platform(self, *, after: int, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Ignore a published host list, and return True as if it was applied."""
        return True

    def reply_address(self) -> str:
        """Return an empty string, as peers get this host's address from its row."""
        return ""

    def on_peer_revision(self, peer: ids.HostId, revision: int) -> None:
        """Do nothing: each host counts revisions of its own, which cannot be compared."""

    def list_request(self) -> messages.Join:
        """Return the message that asks any peer for the list."""
        return messages.Join(self._own_row(), self._digest)

    def _set_seeking(self, seeking: bool) -> None:
        if seeking == self._membership.seeking:
            return
        self._membership.seeking = seeking
        self._context.record_decision(
            ring.DecisionKind.MEMBERSHIP,
            "seeking" if seeking else "joined",
            "no-peer-met" if seeking else "peer-met" if self._has_met_peer else "no-seeds",
            detail={"seeds": len(self._seeds)},
        )

    def _send_joins(self, now_ms: float) -> None:
        alone = len(self._membership.listed()) < 2
        interval_ms = _JOIN_INTERVAL_MS if alone else _REJOIN_INTERVAL_MS
        self._next_join_ms = now_ms + interval_ms * (0.75 + 0.5 * self._context.rng.random())
        if not self._seeds:
            return
        targets = self._seeds if alone else (self._context.rng.choice(self._seeds),)
        for seed in targets:
            self._context.send(ids.HostId(seed), self.list_request())

    def _merge(self, rows: tuple[messages.RosterRow, ...], source: ids.HostId) -> None:
        changed = [row for row in rows if self._merge_row(row)]
        if not changed:
            return
        self._last_change_ms = self._context.now_ms()
        self._next_digest_ms = min(
            self._next_digest_ms, self._last_change_ms + _FAST_DIGEST_INTERVAL_MS
        )
        self._apply_list()
        self._context.record_decision(
            ring.DecisionKind.MEMBERSHIP,
            "host-list",
            "newer-rows",
            subject=source,
            detail={"news": len(changed), "hosts": len(self._membership.listed())},
        )
        roster = messages.Roster(tuple(changed), reply_wanted=False)
        peers = self._peers.pick_in_own_region(_RUMOR_FANOUT, exclude=source)
        for peer in peers + self._peers.pick_in_other_regions(_REMOTE_RUMORS_PER_REGION):
            self._context.send(peer, roster)

    def _merge_row(self, row: messages.RosterRow) -> bool:
        """Store a row that is newer than the known one; return whether the list changed."""
        host = ids.HostId(row.host)
        if host == self._context.host:
            return self._refute(row)
        known = self._entries.get(host)
        if known is not None and not _supersedes(row, _to_wire(known)):
            return False
        if known is None and row.removed:
            return False
        self._entries[host] = _Entry(
            row=ports.HostRow(
                host=host,
                address=row.address,
                data_centre=ids.DataCentreId(row.data_centre),
                region=ids.RegionId(row.region),
            ),
            incarnation=row.incarnation,
            removed_ms=self._context.now_ms() if row.removed else 0.0,
        )
        self._membership.clear_earlier_leaving(host, row.incarnation)
        return True

    def _refute(self, row: messages.RosterRow) -> bool:
        """Raise this host's incarnation if a peer's row of this host contradicts its own.

        Returns whether the incarnation was raised.
        """
        own = self._entries[self._context.host]
        if row.incarnation < own.incarnation:
            return False
        if (
            row.incarnation == own.incarnation
            and not row.removed
            and row.address == own.row.address
        ):
            return False
        own.incarnation = row.incarnation + 1
        self._send_own_row()
        return True

    def _send_own_row(self) -> None:
        roster = messages.Roster((self._own_row(),), reply_wanted=False)
        for peer in self._peers.pick_in_own_region(_RUMOR_FANOUT):
            self._context.send(peer, roster)

    def _remove_suspected(self, now_ms: float) -> None:
        suspected = set(self._membership.suspected())
        self._suspected_since_ms = {
            host: self._suspected_since_ms.get(host, now_ms) for host in suspected
        }
        removed = []
        for host, since_ms in self._suspected_since_ms.items():
            entry = self._entries.get(host)
            if (
                entry is not None
                and not entry.removed_ms
                and now_ms - since_ms >= _REMOVE_SUSPECTED_AFTER_MS
            ):
                entry.removed_ms = now_ms
                removed.append(host)
                self._context.record_decision(
                    ring.DecisionKind.MEMBERSHIP,
                    "removed",
                    "silent",
                    subject=host,
                    detail={"silent_ms": round(now_ms - since_ms)},
                )
        expired = [
            host
            for host, entry in self._entries.items()
            if entry.removed_ms and now_ms - entry.removed_ms >= _TOMBSTONE_TTL_MS
        ]
        for host in expired:
            del self._entries[host]
        if removed or expired:
            self._apply_list()

    def _apply_list(self) -> None:
        """Pass the list to the host table as a new revision, and update its digest."""
        self._revision += 1
        live = tuple(entry.row for entry in self._entries.values() if not entry.removed_ms)
        self._membership.replace(self._revision, live)
        if len(self._entries) > 1 and not self._has_met_peer:
            self._has_met_peer = True
            self._set_seeking(False)
        state = "\n".join(
            f"{host} {entry.incarnation} {bool(entry.removed_ms)}"
            for host, entry in sorted(self._entries.items())
        )
        self._digest = xxhash.xxh3_64_intdigest(state)

    def _rows(self) -> tuple[messages.RosterRow, ...]:
        return tuple(_to_wire(entry) for entry in self._entries.values())

    def _own_row(self) -> messages.RosterRow:
        return _to_wire(self._entries[self._context.host])


def _to_wire(entry: _Entry) -> messages.RosterRow:
    row = entry.row
    return messages.RosterRow(
        row.host,
        row.address,
        row.data_centre,
        row.region,
        entry.incarnation,
        bool(entry.removed_ms),
    )


def _supersedes(row: messages.RosterRow, other: messages.RosterRow | None) -> bool:
    """Return whether a row replaces ``other``, a row of the same host or None."""
    if other is None:
        return True
    return (row.incarnation, row.removed) > (other.incarnation, other.removed)
