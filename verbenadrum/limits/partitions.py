"""Fixed partitions of the workspaces, and the home of each partition in each scope."""

import enum
from collections.abc import Iterator

import msgspec
import xxhash

from verbenadrum import ids
from verbenadrum.core import context, ports

__all__ = ["HomeMap", "PARTITIONS", "SILENCE_MS", "Scope", "bits", "partition_of"]

PARTITIONS = 64
SILENCE_MS = 2_400.0
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


class _SeenPoll(msgspec.Struct, frozen=True, kw_only=True):
    """The newest poll of a host that acts as home."""

    at_ms: float
    wanted: int


class HomeMap:
    """Homes by rendezvous hashing over this host's view of the host list.

    In the own scope a home shows itself by its polls: the first candidate that polls is the
    home, and one that has been silent for `SILENCE_MS` is passed over, so that a dead host is
    replaced though the list lags. Rankings are kept until the list changes; reachability is
    looked up at each call.
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
        self._polls: dict[ids.HostId, _SeenPoll] = {}
        self._refreshed_ms = context.now_ms()

    @property
    def own_scope(self) -> str:
        """Name of the scope that this host belongs to."""
        return getattr(self._context, self._scope.value)

    def lenders(self) -> tuple[ports.HostRow, ...]:
        """Return the hosts of the own scope, which may own a share to lend."""
        self._refresh()
        return self._scopes.get(self.own_scope, ())

    def note_poll(self, host: ids.HostId, wanted: int) -> None:
        """Note that a host of the own scope acts as home of some partitions."""
        self._polls[host] = _SeenPoll(at_ms=self._context.now_ms(), wanted=wanted)

    def home(self, scope: str, partition: int) -> ids.HostId | None:
        """Return the home of a partition in a scope as far as this host knows, or None."""
        ranked = self._candidates(scope, partition)
        for host in ranked:
            if self._acts(host, partition):
                return host
        for host in ranked:
            if host == self._context.host or self._membership.reachable(host):
                return host
        return ranked[0] if ranked else None

    def is_home(self, partition: int, *, holding: bool) -> bool:
        """Return whether this host should act as home of a partition in its own scope.

        A host that is ``holding`` the partition goes on until a better candidate acts.
        """
        ranked = self._candidates(self.own_scope, partition)
        settling = self._context.now_ms() - self._refreshed_ms <= SILENCE_MS
        for host in ranked:
            if host == self._context.host:
                return True
            if self._acts(host, partition):
                return False
            if settling and not holding and self._membership.reachable(host):
                return False
        return holding

    def homes(self, partition: int) -> list[ids.HostId]:
        """Return the hosts to ask, best first: own scope, own region, others, substitutes."""
        self._refresh()
        found = [self.home(scope, partition) for scope in self._order]
        for scope in self._order:
            found.extend(self._candidates(scope, partition)[1:2])
        return list(dict.fromkeys(host for host in found if host is not None))

    def _acts(self, host: ids.HostId, partition: int) -> bool:
        seen = self._polls.get(host)
        if seen is None or self._context.now_ms() - seen.at_ms > SILENCE_MS:
            return False
        return bool(seen.wanted >> partition & 1)

    def _candidates(self, scope: str, partition: int) -> tuple[ids.HostId, ...]:
        self._refresh()
        ranked = self._ranked.get((scope, partition))
        if ranked is None:
            hosts = self._scopes.get(scope, ())
            ranked = self._membership.homes(f"limits-{partition}", hosts, _CANDIDATES)
            self._ranked[scope, partition] = ranked
        return ranked

    def _refresh(self) -> None:
        if self._membership.revision == self._revision:
            return
        self._revision = self._membership.revision
        self._refreshed_ms = self._context.now_ms()
        self._ranked.clear()
        self._polls = {
            host: seen
            for host, seen in self._polls.items()
            if self._refreshed_ms - seen.at_ms <= SILENCE_MS
        }
        groups: dict[str, list[ports.HostRow]] = {}
        for row in self._membership.hosts():
            groups.setdefault(getattr(row, self._scope.value), []).append(row)
        self._scopes = {scope: tuple(rows) for scope, rows in groups.items()}
        self._order = tuple(sorted(groups, key=self._distance))

    def _distance(self, scope: str) -> tuple[bool, bool, str]:
        region = self._scopes[scope][0].region
        return (scope != self.own_scope, region != self._context.region, scope)
