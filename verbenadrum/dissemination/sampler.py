"""Chooses random peers so that the load on the link between regions does not grow with hosts."""

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.membership import table as host_table

__all__ = ["PeerSampler"]

_ANY_PEER_PROBABILITY = 0.1
_ATTEMPTS_PER_PEER = 8
_VIEW_SIZE = 16
_ROTATION_MS = 10_000.0


class PeerSampler:
    """Random peers of the own region and, seldom, of the others.

    In a large region the picks come from a small random view that changes slowly, so that the
    connections of a host do not grow with the hosts. Peers that seem unreachable are mostly
    passed over, but not always: the hint may be wrong.

    Parameters
    ----------
    context : Context
        Identity and random numbers.
    membership : HostTable
        The listed hosts.
    """

    def __init__(self, *, context: context.Context, membership: host_table.HostTable) -> None:
        self._context = context
        self._membership = membership
        self._view: list[ids.HostId] = []
        self._next_rotation_ms = context.now_ms() + _ROTATION_MS

    def near(self, count: int, *, exclude: ids.HostId | None = None) -> list[ids.HostId]:
        """Return up to ``count`` different peers of the own region."""
        return self._pick(self._near_view(), count, exclude)

    def far(self, per_region: float) -> list[ids.HostId]:
        """Return a peer of each other region, or none, seldom enough to be ``per_region``.

        Parameters
        ----------
        per_region : float
            Expected number of picks by all hosts of the own region together.
        """
        near = self._near_rows()
        if self._context.rng.random() >= per_region / max(1, len(near)):
            return []
        picks = []
        for region in self._membership.regions():
            if region != self._context.region:
                rows = self._membership.hosts(region=region)
                picks.extend(self._pick([row.host for row in rows], 1, None))
        return picks

    def any(self, *, exclude: ids.HostId | None = None) -> ids.HostId | None:
        """Return a peer of the own region or, if there is none, of another one."""
        picks = self.near(1, exclude=exclude)
        if not picks:
            hosts = [row.host for row in self._membership.hosts()]
            picks = self._pick(hosts, 1, exclude)
        return picks[0] if picks else None

    def _near_rows(self) -> tuple[ports.HostRow, ...]:
        return self._membership.hosts(region=self._context.region)

    def _near_view(self) -> list[ids.HostId]:
        """Return the peers of the region to pick from, refilled and rotated where due."""
        rows = self._near_rows()
        if len(rows) <= _VIEW_SIZE + 2:
            return [row.host for row in rows]
        view = [host for host in self._view if self._membership.row(host) is not None]
        rng = self._context.rng
        rotates = self._context.now_ms() >= self._next_rotation_ms
        while len(view) < _VIEW_SIZE + rotates:
            host = rows[rng.randrange(len(rows))].host
            if host != self._context.host and host not in view:
                view.append(host)
        if rotates:
            self._next_rotation_ms = self._context.now_ms() + _ROTATION_MS
            view.pop(rng.randrange(_VIEW_SIZE))
        self._view = view
        return view

    def _pick(
        self, hosts: list[ids.HostId], count: int, exclude: ids.HostId | None
    ) -> list[ids.HostId]:
        picks: list[ids.HostId] = []
        rng = self._context.rng
        ignore_hints = rng.random() < _ANY_PEER_PROBABILITY
        for _ in range(min(count, len(hosts)) * _ATTEMPTS_PER_PEER):
            if len(picks) == count:
                break
            host = hosts[rng.randrange(len(hosts))]
            if host in picks or host in (exclude, self._context.host):
                continue
            if ignore_hints or self._membership.reachable(host):
                picks.append(host)
        return picks
