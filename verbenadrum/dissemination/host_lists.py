"""Spreads the platform's host list between the hosts, mostly as changes from the last one."""

import collections

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import messages, registry, sampler
from verbenadrum.membership import table as host_table

__all__ = ["HostListSpread"]

_PUSH_FANOUT = 3
_FAR_PUSHES_PER_REGION = 3.0
_KEPT_LISTS = 8

_Rows = dict[ids.HostId, ports.HostRow]


@registry.host_list_systems.register("published")
class HostListSpread(system.System):
    """Takes host lists from the platform and from peers, and passes on newer ones.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        Where the newest list goes in force.
    peers : PeerSampler
        Chooses whom to tell.
    address : str
        ``ip:port`` of this host's peer port, for answers before the list names it.
    seeds : tuple of str
        Not used here: the shell asks the seeds while the platform gives no list.
    """

    published = True

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
        self._kept: collections.OrderedDict[int, _Rows] = collections.OrderedDict()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Change nothing: the shell asks the seeds, by the settings in force."""

    def on_platform(self, *, after: int, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Take an answer of the platform; an older list than the one in force changes nothing.

        Returns
        -------
        bool
            False if the answer is older than its question.
        """
        if revision > self._membership.revision and rows:
            self._take(revision, {row.host: row for row in rows}, source=None)
        return revision >= after

    @system.handles(messages.HostChanges)
    def on_changes(self, sender: ids.HostId, message: messages.HostChanges) -> None:
        """Take a newer list, or pull it whole where the change starts from another one."""
        if message.revision <= self._membership.revision:
            return
        if message.base not in (0, self._membership.revision):
            self._context.send(sender, self.pull_request())
            return
        rows: _Rows = {}
        if message.base:
            rows = {row.host: row for row in self._membership.listed()}
        for host in message.gone:
            rows.pop(ids.HostId(host), None)
        for listed in message.rows:
            row = _from_wire(listed)
            if row is not None:
                rows[row.host] = row
        self._take(message.revision, rows, source=sender)

    @system.handles(messages.HostsPull)
    def on_pull(self, sender: ids.HostId, message: messages.HostsPull) -> None:
        """Answer with what has changed since the asker's list."""
        self._membership.add_unlisted_address(sender, message.reply_to)
        if message.revision < self._membership.revision:
            self._context.send(sender, self._changes_since(message.revision))

    def reply_address(self) -> str:
        """Return this host's address while its list does not name it, else an empty text."""
        return self._address if self._membership.row(self._context.host) is None else ""

    def pull_request(self) -> messages.HostsPull:
        """Return the message that asks any peer for a newer list."""
        return messages.HostsPull(self._membership.revision, self.reply_address())

    def on_peer_revision(self, peer: ids.HostId, revision: int) -> None:
        """Pull a newer list from a peer, or send it the newer one that is held here."""
        if revision > self._membership.revision:
            self._context.send(peer, self.pull_request())
        elif revision < self._membership.revision:
            self._context.send(peer, self._changes_since(revision))

    def _take(self, revision: int, rows: _Rows, source: ids.HostId | None) -> None:
        before = self._membership.revision
        if not self._membership.replace(revision, tuple(rows.values())):
            return
        self._kept[revision] = rows
        if len(self._kept) > _KEPT_LISTS:
            self._kept.popitem(last=False)
        self._context.decide(
            ring.DecisionKind.MEMBERSHIP,
            "host-list",
            "newer-revision",
            subject=source or "platform",
            detail={"revision": revision, "hosts": len(rows)},
        )
        if not before:
            return
        message = self._changes_since(before)
        peers = self._peers.near(_PUSH_FANOUT, exclude=source)
        for peer in peers + self._peers.far(_FAR_PUSHES_PER_REGION):
            self._context.send(peer, message)

    def _changes_since(self, revision: int) -> messages.HostChanges:
        rows = {row.host: row for row in self._membership.listed()}
        old = self._kept.get(revision, {})
        changed = [_to_wire(row) for host, row in rows.items() if old.get(host) != row]
        return messages.HostChanges(
            base=revision if old else 0,
            revision=self._membership.revision,
            rows=tuple(changed),
            gone=tuple(host for host in old if host not in rows),
        )


def _to_wire(row: ports.HostRow) -> messages.ListedHost:
    return messages.ListedHost(row.host, row.address, row.data_centre, row.region, row.state.value)


def _from_wire(listed: messages.ListedHost) -> ports.HostRow | None:
    """Return the row of a listed host, or None if its state is of a newer version."""
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
