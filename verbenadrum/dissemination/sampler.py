"""Chooses random peers so that the load on the link between regions does not grow with hosts."""

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.membership import table as host_table

__all__ = ["PeerSampler"]

_ANY_PEER_PROBABILITY = 0.1
_ATTEMPTS_PER_PEER = 8


class PeerSampler:
    """Random peers of the own region and, seldom, of the others.

    Peers that seem unreachable are mostly passed over, but not always: the hint may be wrong.

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

    def near(self, count: int, *, exclude: ids.HostId | None = None) -> list[ids.HostId]:
        """Return up to ``count`` different peers of the own region."""
        return self._pick(self._near_rows(), count, exclude)

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
                picks.extend(self._pick(self._membership.hosts(region=region), 1, None))
        return picks

    def any(self, *, exclude: ids.HostId | None = None) -> ids.HostId | None:
        """Return a peer of the own region or, if there is none, of another one."""
        picks = self.near(1, exclude=exclude)
        picks = picks or self._pick(self._membership.hosts(), 1, exclude)
        return picks[0] if picks else None

    def _near_rows(self) -> tuple[ports.HostRow, ...]:
        return self._membership.hosts(region=self._context.region)

    def _pick(
        self, rows: tuple[ports.HostRow, ...], count: int, exclude: ids.HostId | None
    ) -> list[ids.HostId]:
        picks: list[ids.HostId] = []
        rng = self._context.rng
        ignore_hints = rng.random() < _ANY_PEER_PROBABILITY
        for _ in range(min(count, len(rows)) * _ATTEMPTS_PER_PEER):
            if len(picks) == count:
                break
            host = rows[rng.randrange(len(rows))].host
            if host in picks or host in (exclude, self._context.host):
                continue
            if ignore_hints or self._membership.reachable(host):
                picks.append(host)
        return picks
