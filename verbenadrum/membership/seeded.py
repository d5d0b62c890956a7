"""Host list that the hosts keep among themselves, joined through seed addresses.

Where nobody publishes the hosts, each of them announces its own row. Rows spread by rumor and
by anti-entropy (Demers et al., 1987), and are ordered by incarnations as in SWIM (Das, Gupta and
Motivala, 2002): of two rows of one host the one with the greater incarnation holds, and only the
host itself raises it.
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

# Until another host is known each seed is asked this often; a start waits for the answer.
_JOIN_INTERVAL_MS = 200.0
# One seed is asked now and then for good: after a long cut it joins the two sides again.
_REJOIN_INTERVAL_MS = 4_000.0
_DIGEST_INTERVAL_MS = 500.0
_NEWS_DIGEST_INTERVAL_MS = 200.0
_NEWS_MS = 1_000.0
_FAR_DIGESTS_PER_REGION = 3.0
_RUMOR_FANOUT = 3
_FAR_RUMORS_PER_REGION = 3.0
# A host that answers nobody for this long is taken off the list.
_REMOVE_AFTER_MS = 30_000.0
_REMOVE_CHECK_MS = 1_000.0
# A removal is remembered this long, so that an old row of the host does not return.
_TOMBSTONE_MS = 120_000.0


class _Entry(msgspec.Struct, kw_only=True):
    """Newest row of one host; ``gone_ms`` is when it was taken off the list, or 0."""

    row: ports.HostRow
    incarnation: int
    gone_ms: float = 0.0


@registry.host_list_systems.register("seeded")
class SeededHostList(system.System):
    """Finds the other hosts by seeds and keeps the list of them.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending; it also sends to seed addresses.
    membership : HostTable
        Where the list goes in force.
    peers : PeerSampler
        Chooses whom to tell.
    address : str
        ``ip:port`` of this host's peer port.
    seeds : tuple of str
        Peer addresses to ask; they may be stale, down or this host's own.
    """

    published = False

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
        self.use_seeds(seeds)
        self._entries: dict[ids.HostId, _Entry] = {}
        self._incarnation = context.incarnation
        self._digest = 0
        self._revision = 0
        self._next_join_ms = 0.0
        self._next_digest_ms = 0.0
        self._next_removal_ms = 0.0
        self._news_ms = float("-inf")
        self._silent_since: dict[ids.HostId, float] = {}
        own = ports.HostRow(
            host=context.host,
            address=address,
            data_centre=context.data_centre,
            region=context.region,
        )
        self._entries[own.host] = _Entry(row=own, incarnation=self._incarnation)
        self._put_in_force()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask other seeds from now on."""
        self._seeds = tuple(seed for seed in seeds if seed != self._address)

    def on_tick(self) -> None:
        """Ask seeds, send digests and take silent hosts off the list when each is due."""
        now_ms = self._context.now_ms()
        if now_ms >= self._next_join_ms:
            self._join(now_ms)
        if now_ms >= self._next_digest_ms:
            recent = now_ms - self._news_ms < _NEWS_MS
            interval_ms = _NEWS_DIGEST_INTERVAL_MS if recent else _DIGEST_INTERVAL_MS
            self._next_digest_ms = now_ms + interval_ms * (0.75 + 0.5 * self._context.rng.random())
            for peer in self._peers.near(1) + self._peers.far(_FAR_DIGESTS_PER_REGION):
                self._context.send(peer, messages.RosterDigest(self._digest))
        if now_ms >= self._next_removal_ms:
            self._next_removal_ms = now_ms + _REMOVE_CHECK_MS
            self._remove_silent(now_ms)

    @system.handles(messages.Join)
    def on_join(self, sender: ids.HostId, message: messages.Join) -> None:
        """Take in the sender's row and answer with the list."""
        self._merge((message.row,), source=sender)
        if message.digest != self._digest:
            self._context.send(sender, messages.Roster(self._rows(), reply=False))

    @system.handles(messages.RosterDigest)
    def on_digest(self, sender: ids.HostId, message: messages.RosterDigest) -> None:
        """Send this host's list to a peer whose list differs, and ask for its."""
        if message.digest != self._digest:
            self._context.send(sender, messages.Roster(self._rows(), reply=True))

    @system.handles(messages.Roster)
    def on_roster(self, sender: ids.HostId, message: messages.Roster) -> None:
        """Merge a peer's list, and answer with what it lacks where it asks."""
        self._merge(message.rows, source=sender)
        if not message.reply:
            return
        theirs = {row.host: row for row in message.rows}
        missing = tuple(row for row in self._rows() if _newer(row, theirs.get(row.host)))
        if missing:
            self._context.send(sender, messages.Roster(missing, reply=False))

    def on_platform(self, *, after: int, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Ignore a published host list: this one is kept by the hosts."""
        return True

    def reply_address(self) -> str:
        """Return an empty text: every peer learns this host's address from its row."""
        return ""

    def compare(self, peer: ids.HostId, revision: int) -> None:
        """Leave revisions alone: each host counts its own."""

    def pull_request(self) -> messages.Join:
        """Return the message that asks any peer for the list."""
        return messages.Join(self._own_row(), self._digest)

    def _join(self, now_ms: float) -> None:
        alone = len(self._membership.listed()) < 2
        interval_ms = _JOIN_INTERVAL_MS if alone else _REJOIN_INTERVAL_MS
        self._next_join_ms = now_ms + interval_ms * (0.75 + 0.5 * self._context.rng.random())
        if not self._seeds:
            return
        asked = self._seeds if alone else (self._context.rng.choice(self._seeds),)
        for seed in asked:
            self._context.send(ids.HostId(seed), self.pull_request())

    def _merge(self, rows: tuple[messages.RosterRow, ...], source: ids.HostId) -> None:
        news = [row for row in rows if self._take(row)]
        if not news:
            return
        self._news_ms = self._context.now_ms()
        self._next_digest_ms = min(self._next_digest_ms, self._news_ms + _NEWS_DIGEST_INTERVAL_MS)
        self._put_in_force()
        self._context.decide(
            ring.DecisionKind.MEMBERSHIP,
            "host-list",
            "newer-rows",
            subject=source,
            detail={"news": len(news), "hosts": len(self._membership.listed())},
        )
        told = messages.Roster(tuple(news), reply=False)
        peers = self._peers.near(_RUMOR_FANOUT, exclude=source)
        for peer in peers + self._peers.far(_FAR_RUMORS_PER_REGION):
            self._context.send(peer, told)

    def _take(self, row: messages.RosterRow) -> bool:
        host = ids.HostId(row.host)
        if host == self._context.host:
            return self._refute(row)
        known = self._entries.get(host)
        if known is not None and not _newer(row, _to_wire(known)):
            return False
        if known is None and row.gone:
            return False
        self._entries[host] = _Entry(
            row=ports.HostRow(
                host=host,
                address=row.address,
                data_centre=ids.DataCentreId(row.data_centre),
                region=ids.RegionId(row.region),
            ),
            incarnation=row.incarnation,
            gone_ms=self._context.now_ms() if row.gone else 0.0,
        )
        return True

    def _refute(self, row: messages.RosterRow) -> bool:
        """Raise the own incarnation above what others say of this host, if that is not true."""
        own = self._entries[self._context.host]
        if row.incarnation < own.incarnation:
            return False
        if row.incarnation == own.incarnation and not row.gone and row.address == own.row.address:
            return False
        own.incarnation = row.incarnation + 1
        self._announce()
        return True

    def _announce(self) -> None:
        told = messages.Roster((self._own_row(),), reply=False)
        for peer in self._peers.near(_RUMOR_FANOUT):
            self._context.send(peer, told)

    def _remove_silent(self, now_ms: float) -> None:
        suspected = set(self._membership.suspected())
        self._silent_since = {host: self._silent_since.get(host, now_ms) for host in suspected}
        gone = []
        for host, since_ms in self._silent_since.items():
            entry = self._entries.get(host)
            if entry is not None and not entry.gone_ms and now_ms - since_ms >= _REMOVE_AFTER_MS:
                entry.gone_ms = now_ms
                gone.append(host)
                self._context.decide(
                    ring.DecisionKind.MEMBERSHIP,
                    "removed",
                    "silent",
                    subject=host,
                    detail={"silent_ms": round(now_ms - since_ms)},
                )
        ended = [
            host
            for host, entry in self._entries.items()
            if entry.gone_ms and now_ms - entry.gone_ms >= _TOMBSTONE_MS
        ]
        for host in ended:
            del self._entries[host]
        if gone or ended:
            self._put_in_force()

    def _put_in_force(self) -> None:
        self._revision += 1
        live = tuple(entry.row for entry in self._entries.values() if not entry.gone_ms)
        self._membership.replace(self._revision, live)
        state = "\n".join(
            f"{host} {entry.incarnation} {bool(entry.gone_ms)}"
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
        row.host, row.address, row.data_centre, row.region, entry.incarnation, bool(entry.gone_ms)
    )


def _newer(row: messages.RosterRow, other: messages.RosterRow | None) -> bool:
    """Return whether a row replaces another one of the same host."""
    if other is None:
        return True
    return (row.incarnation, row.gone) > (other.incarnation, other.gone)
