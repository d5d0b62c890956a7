"""Random selection of peers for gossip and probes.

The traffic between regions does not grow with the number of hosts.
"""

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.membership import table as host_table

__all__ = ["PeerSampler"]

_INCLUDE_SUSPECTED_PROBABILITY = 0.1
# Random draws per requested peer; duplicates and suspected hosts use up draws.
_ATTEMPTS_PER_PEER = 8
_VIEW_SIZE = 16
_ROTATION_INTERVAL_MS = 10_000.0


class PeerSampler:
    """Selects random peers of this host's region and, less often, of other regions.

    In a large region peers are picked from a small random view that changes slowly, so that the
    number of connections per host stays bounded. Suspected peers are usually skipped, but not
    always, as a suspicion may be wrong.

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
        self._next_rotation_ms = context.now_ms() + _ROTATION_INTERVAL_MS

    def pick_in_own_region(
        self, count: int, *, exclude: ids.HostId | None = None
    ) -> list[ids.HostId]:
        """Return up to ``count`` different peers of this host's region."""
        return self._pick(self._own_region_view(), count, exclude)

    def pick_in_other_regions(self, per_region: float) -> list[ids.HostId]:
        """Return one peer of each other region or, with a certain probability, none.

        Parameters
        ----------
        per_region : float
            Expected number of peers picked in each other region if every host of this region calls
            this once.
        """
        own_rows = self._own_region_rows()
        if self._context.rng.random() >= per_region / max(1, len(own_rows)):
            return []
        picks = []
        for region in self._membership.regions():
            if region != self._context.region:
                rows = self._membership.hosts(region=region)
                picks.extend(self._pick([row.host for row in rows], 1, None))
        return picks

    def pick_one(self, *, exclude: ids.HostId | None = None) -> ids.HostId | None:
        """Return a peer of this host's region, else of another region, else None."""
        picks = self.pick_in_own_region(1, exclude=exclude)
        if not picks:
            hosts = [row.host for row in self._membership.hosts()]
            picks = self._pick(hosts, 1, exclude)
        return picks[0] if picks else None

    def _own_region_rows(self) -> tuple[ports.HostRow, ...]:
        return self._membership.hosts(region=self._context.region)

    def _own_region_view(self) -> list[ids.HostId]:
        """Return the peers of this host's region to pick from, refilled and rotated if due."""
        rows = self._own_region_rows()
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
            self._next_rotation_ms = self._context.now_ms() + _ROTATION_INTERVAL_MS
            view.pop(rng.randrange(_VIEW_SIZE))
        self._view = view
        return view

    def _pick(
        self, hosts: list[ids.HostId], count: int, exclude: ids.HostId | None
    ) -> list[ids.HostId]:
        """Return up to ``count`` random hosts, fewer if most draws hit unsuitable ones."""
        picks: list[ids.HostId] = []
        rng = self._context.rng
        include_suspected = rng.random() < _INCLUDE_SUSPECTED_PROBABILITY
        for _ in range(min(count, len(hosts)) * _ATTEMPTS_PER_PEER):
            if len(picks) == count:
                break
            host = hosts[rng.randrange(len(hosts))]
            if host in picks or host in (exclude, self._context.host):
                continue
            if include_suspected or self._membership.reachable(host):
                picks.append(host)
        return picks
