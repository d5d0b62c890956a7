"""Fixed partitions of the workspaces, and the home of each partition in each scope."""

import enum
from collections.abc import Iterator

import xxhash

from verbenadrum import ids
from verbenadrum.core import context, ports

__all__ = ["HomeMap", "PARTITIONS", "Scope", "bits", "partition_of"]

PARTITIONS = 64
_CANDIDATES = 3


class Scope(enum.Enum):
    """Set of hosts among which a partition has one home."""

    REGION = "region"
    DATA_CENTRE = "data_centre"


def partition_of(workspace: ids.WorkspaceId) -> int:
    """Return the partition of a workspace.

    Examples
    --------
    >>> 0 <= partition_of("bakery") < PARTITIONS
    True
    """
    return xxhash.xxh3_64_intdigest(workspace) % PARTITIONS


def bits(mask: int) -> Iterator[int]:
    """Yield the positions of the set bits.

    Examples
    --------
    >>> list(bits(0b1010))
    [1, 3]
    """
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


class HomeMap:
    """Homes by rendezvous hashing over this host's view of the host list.

    Rankings are kept until the list changes; reachability is looked up at each call.
    """

    def __init__(
        self, *, context: context.Context, membership: ports.MembershipPort, scope: Scope
    ) -> None:
        self._context = context
        self._membership = membership
        self._scope = scope
        self._revision = -1
        self._scopes: dict[str, tuple[ports.HostRow, ...]] = {}
        self._order: tuple[str, ...] = ()
        self._ranked: dict[tuple[str, int], tuple[ids.HostId, ...]] = {}

    @property
    def own_scope(self) -> str:
        """Name of the scope that this host belongs to."""
        return getattr(self._context, self._scope.value)

    def lenders(self) -> tuple[ports.HostRow, ...]:
        """Return the hosts of the own scope, which may own a share to lend."""
        self._refresh()
        return self._scopes.get(self.own_scope, ())

    def home(self, scope: str, partition: int) -> ids.HostId | None:
        """Return the first reachable home of a partition in a scope, or None."""
        self._refresh()
        ranked = self._ranked.get((scope, partition))
        if ranked is None:
            hosts = self._scopes.get(scope, ())
            ranked = self._membership.homes(f"limits-{partition}", hosts, _CANDIDATES)
            self._ranked[scope, partition] = ranked
        for host in ranked:
            if host == self._context.host or self._membership.reachable(host):
                return host
        return ranked[0] if ranked else None

    def is_home(self, partition: int) -> bool:
        """Return whether this host is the home of a partition in its own scope."""
        return self.home(self.own_scope, partition) == self._context.host

    def homes(self, partition: int) -> list[ids.HostId]:
        """Return the home of each scope: own scope, then own region, then the others."""
        self._refresh()
        found = (self.home(scope, partition) for scope in self._order)
        return [host for host in found if host is not None]

    def _refresh(self) -> None:
        if self._membership.revision == self._revision:
            return
        self._revision = self._membership.revision
        self._ranked.clear()
        groups: dict[str, list[ports.HostRow]] = {}
        for row in self._membership.hosts():
            groups.setdefault(getattr(row, self._scope.value), []).append(row)
        self._scopes = {scope: tuple(rows) for scope, rows in groups.items()}
        self._order = tuple(sorted(groups, key=self._distance))

    def _distance(self, scope: str) -> tuple[bool, bool, str]:
        region = self._scopes[scope][0].region
        return (scope != self.own_scope, region != self._context.region, scope)
