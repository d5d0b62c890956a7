"""Gossip of the platform's host list, sent as changes from an earlier list where possible."""

import collections

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import messages, registry, sampler
from verbenadrum.membership import table as host_table

__all__ = ["HostListSpread"]

_PUSH_FANOUT = 3
_REMOTE_PUSHES_PER_REGION = 3.0
_MAX_RECENT_LISTS = 8

_Rows = dict[ids.HostId, ports.HostRow]


@registry.host_list_systems.register("published")
class HostListSpread(system.System):
    """Receives host lists from the platform and from peers, and forwards newer ones.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        Receives the newest list.
    peers : PeerSampler
        Selects the peers to send to.
    address : str
        ``ip:port`` of this host's peer port, sent to peers until the list contains this host.
    seeds : tuple of str
        Not used: the daemon asks the seeds while the platform provides no list.
    """

    from_platform = True

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        peers: sampler.PeerSampler,
        address: str = "",
        seeds: tuple[str, ...] = (),
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._peers = peers
        self._address = address
        self._recent_lists: collections.OrderedDict[int, _Rows] = collections.OrderedDict()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Do nothing: the daemon asks the seeds of its current settings."""

    def on_platform(self, *, after: int, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Apply an answer of the platform; a list that is not newer changes nothing.

        Returns
        -------
        bool
            False if the answer is older than the requested revision.
        """
        if revision > self._membership.revision and rows:
            self._apply(revision, {row.host: row for row in rows}, source=None)
        return revision >= after

    @system.handles(messages.HostChanges)
    def on_changes(self, sender: ids.HostId, message: messages.HostChanges) -> None:
        """Apply a newer list, or pull one if the changes start from a list not held here."""
        if message.revision <= self._membership.revision:
            return
        if message.base not in (0, self._membership.revision):
            self._context.send(sender, self.list_request())
            return
        rows: _Rows = {}
        if message.base:
            rows = {row.host: row for row in self._membership.listed()}
        for host in message.removed:
            rows.pop(ids.HostId(host), None)
        for listed in message.rows:
            row = _from_wire(listed)
            if row is not None:
                rows[row.host] = row
        self._apply(message.revision, rows, source=sender)

    @system.handles(messages.HostsPull)
    def on_pull(self, sender: ids.HostId, message: messages.HostsPull) -> None:
        """Send the changes since the sender's list."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        if message.revision < self._membership.revision:
            self._context.send(sender, self._changes_since(message.revision))

    def reply_address(self) -> str:
        """Return this host's address until the list contains this host, then an empty string."""
        return self._address if self._membership.row(self._context.host) is None else ""

    def list_request(self) -> messages.HostsPull:
        """Return the message that requests a newer list from any peer."""
        return messages.HostsPull(self._membership.revision, self.reply_address())

    def on_peer_revision(self, peer: ids.HostId, revision: int) -> None:
        """Pull the list of a peer if it is newer, or send this host's list if that is newer."""
        if revision > self._membership.revision:
            self._context.send(peer, self.list_request())
        elif revision < self._membership.revision:
            self._context.send(peer, self._changes_since(revision))

    def _apply(self, revision: int, rows: _Rows, source: ids.HostId | None) -> None:
        previous = self._membership.revision
        if not self._membership.replace(revision, tuple(rows.values())):
            return
        self._recent_lists[revision] = rows
        if len(self._recent_lists) > _MAX_RECENT_LISTS:
            self._recent_lists.popitem(last=False)
        self._context.record_decision(
            ring.DecisionKind.MEMBERSHIP,
            "host-list",
            "newer-revision",
            subject=source or "platform",
            detail={"revision": revision, "hosts": len(rows)},
        )
        if not previous:
            return
        message = self._changes_since(previous)
        peers = self._peers.pick_in_own_region(_PUSH_FANOUT, exclude=source)
        for peer in peers + self._peers.pick_in_other_regions(_REMOTE_PUSHES_PER_REGION):
            self._context.send(peer, message)

    def _changes_since(self, revision: int) -> messages.HostChanges:
        """Return the changes since a revision, or the full list if that one is not kept."""
        rows = {row.host: row for row in self._membership.listed()}
        base_rows = self._recent_lists.get(revision, {})
        changed = [_to_wire(row) for host, row in rows.items() if base_rows.get(host) != row]
        return messages.HostChanges(
            base=revision if base_rows else 0,
            revision=self._membership.revision,
            rows=tuple(changed),
            removed=tuple(host for host in base_rows if host not in rows),
        )


def _to_wire(row: ports.HostRow) -> messages.ListedHost:
    return messages.ListedHost(row.host, row.address, row.data_centre, row.region, row.state.value)


def _from_wire(listed: messages.ListedHost) -> ports.HostRow | None:
    """Return the row of a listed host, or None if this version does not know its state."""
    try:
        state = ports.HostState(listed.state)
    except ValueError:
        return None
    return ports.HostRow(
        host=ids.HostId(listed.host),
        address=listed.address,
        data_centre=ids.DataCentreId(listed.data_centre),
        region=ids.RegionId(listed.region),
        state=state,
    )
