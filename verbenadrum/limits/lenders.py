"""Lenders of a workspace: the few hosts that each own a share of its rate and burst."""

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.utils import hashing

__all__ = ["LenderList"]

# Number of lenders of a workspace, if its data centres have as many hosts; at least one for each.
_LENDERS = 8
# A host that the list has dropped keeps its rank among the lenders for as long, unless most of its
# data centre can be reached without it. Both sides of a network partition drop each other.
_FORGET_MS = 600_000.0


class LenderList:
    """Hosts that own the shares of each workspace, by the host list and the fleet record.

    The data centres of the fleet record own fixed shares, so those of one that cannot be reached
    pass to no other. Within a data centre the lenders are the first hosts in rendezvous order,
    whether they can be reached or not.

    Parameters
    ----------
    context : Context
        Clock and identity of this host.
    records : RecordsPort
        The fleet record; without one the data centres of the host list have equal weights.
    membership : MembershipPort
        Listed hosts, and which of them are reachable.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
    ) -> None:
        self._context = context
        self._records = records
        self._membership = membership
        # For each host that has a rank, when the host list dropped it; infinite while it is listed.
        self._known: dict[ids.DataCentreId, dict[ids.HostId, float]] = {}
        self._change_count = -1
        self._cut_off = False
        self._shares: dict[ids.WorkspaceId, dict[ids.HostId, float]] = {}
        self._first: dict[ids.WorkspaceId, ids.HostId | None] = {}

    def first_home(self, workspace: ids.WorkspaceId) -> ids.HostId | None:
        """Return the first of all hosts in the order of homes, whether it can be reached or not."""
        self._update()
        if workspace not in self._first:
            hosts = [host for known in self._known.values() for host in known]
            self._first[workspace] = hashing.top(f"limit/{workspace}", hosts)
        return self._first[workspace]

    def shares(self, workspace: ids.WorkspaceId) -> dict[ids.HostId, float]:
        """Return the share of the whole that each lender of a workspace owns."""
        self._update()
        shares = self._shares.get(workspace)
        if shares is None:
            shares = self._shares[workspace] = self._rank(workspace)
        return shares

    def own_share(self, workspace: ids.WorkspaceId) -> float:
        """Return the share that this host may lend; 0 if it is no lender, or may not know.

        A host that reaches less than half of its data centre may have been replaced as a lender.
        """
        if self._membership.seeking:
            return 0.0
        share = self.shares(workspace).get(self._context.host, 0.0)
        return 0.0 if self._cut_off else share

    @property
    def alone(self) -> bool:
        """Whether this host is the whole fleet."""
        self._update()
        return not self._membership.seeking and sum(map(len, self._known.values())) == 1

    def _update(self) -> None:
        if self._change_count == self._membership.change_count:
            return
        self._change_count = self._membership.change_count
        now_ms = self._context.now_ms()
        before = {name: set(hosts) for name, hosts in self._known.items()}
        for row in self._membership.hosts():
            self._known.setdefault(row.data_centre, {})[row.host] = float("inf")
        self._cut_off = False
        for data_centre, hosts in self._known.items():
            listed = {row.host for row in self._membership.hosts(data_centre=data_centre)}
            reached = sum(
                host == self._context.host or self._membership.reachable(host) for host in listed
            )
            for host, dropped_ms in list(hosts.items()):
                if host in listed:
                    continue
                hosts[host] = min(dropped_ms, now_ms)
                if 2 * reached > len(hosts) or now_ms - hosts[host] > _FORGET_MS:
                    del hosts[host]
            if data_centre == self._context.data_centre:
                self._cut_off = 2 * reached < len(hosts)
        if before != {name: set(hosts) for name, hosts in self._known.items()}:
            self._shares.clear()
            self._first.clear()

    def _rank(self, workspace: ids.WorkspaceId) -> dict[ids.HostId, float]:
        weights = self._weights()
        most = max(1, _LENDERS // max(1, len(weights)))
        shares: dict[ids.HostId, float] = {}
        for data_centre, weight in weights.items():
            known = self._known.get(data_centre, {})
            lenders = hashing.rank(f"limit/{workspace}", known)[:most]
            shares.update({host: weight / len(lenders) for host in lenders})
        return shares

    def _weights(self) -> dict[ids.DataCentreId, float]:
        fleet = self._records.fleet()
        if fleet is None:
            weights = dict.fromkeys(sorted(self._known), 1.0)
        else:
            weights = {row.data_centre: row.weight for row in fleet.data_centres if row.weight}
        total = sum(weights.values())
        return {name: weight / total for name, weight in weights.items()}
