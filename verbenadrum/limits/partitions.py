"""Partitions of the workspaces, and the home of each partition in each scope."""

import enum
from collections.abc import Iterator

import msgspec
import xxhash

from verbenadrum import ids
from verbenadrum.core import context, ports

__all__ = ["HOME_TIMEOUT_MS", "HomeMap", "PARTITION_COUNT", "Scope", "partition_of", "set_bits"]

PARTITION_COUNT = 64
# A home that has not polled for this long is passed over for the next candidate.
HOME_TIMEOUT_MS = 2_400.0
_CANDIDATE_COUNT = 3


class Scope(enum.Enum):
    """Whether a partition has one home in each region or in each data centre."""

    REGION = "region"
    DATA_CENTRE = "data_centre"


def partition_of(workspace: ids.WorkspaceId) -> int:
    """Return the index of a workspace's partition, from 0 to ``PARTITION_COUNT - 1``.

    Examples
    --------
    >>> 0 <= partition_of("bakery") < PARTITION_COUNT
    True
    """
    return xxhash.xxh3_64_intdigest(workspace) % PARTITION_COUNT


def set_bits(mask: int) -> Iterator[int]:
    """Yield the positions of the set bits, the lowest first.

    Examples
    --------
    >>> list(set_bits(0b1010))
    [1, 3]
    """
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


class _ReceivedPoll(msgspec.Struct, frozen=True, kw_only=True):
    """Last poll of a host that acts as home; ``wanted`` is its mask of partitions."""

    received_ms: float
    wanted: int


class HomeMap:
    """Homes of the partitions, by rendezvous hashing over this host's copy of the host list.

    In the own scope the polls of homes serve as heartbeats: the first candidate that polls is the
    home, and one that has not polled for `HOME_TIMEOUT_MS` is passed over, so that a dead host is
    replaced even while the host list still contains it. Rankings are cached until the list
    changes; reachability is looked up at each call.

    Parameters
    ----------
    context : Context
        Clock and identity of this host.
    membership : MembershipPort
        Listed hosts, and which of them are reachable.
    scope : Scope
        Whether a partition has one home in each region or in each data centre.
    """

    def __init__(
        self, *, context: context.Context, membership: ports.MembershipPort, scope: Scope
    ) -> None:
        self._context = context
        self._membership = membership
        self._scope = scope
        self._revision = -1
        self._hosts_by_scope: dict[str, tuple[ports.HostRow, ...]] = {}
        self._scopes_by_distance: tuple[str, ...] = ()
        self._ranking_cache: dict[tuple[str, int], tuple[ids.HostId, ...]] = {}
        self._last_polls: dict[ids.HostId, _ReceivedPoll] = {}
        self._list_changed_ms = context.now_ms()

    @property
    def own_scope(self) -> str:
        """Name of the scope that this host belongs to."""
        return getattr(self._context, self._scope.value)

    def lenders(self) -> tuple[ports.HostRow, ...]:
        """Return the hosts of the own scope; each may have a share to lend."""
        self._refresh()
        return self._hosts_by_scope.get(self.own_scope, ())

    def record_poll(self, host: ids.HostId, wanted: int) -> None:
        """Record that a host of the own scope polls as home of the ``wanted`` partitions."""
        self._last_polls[host] = _ReceivedPoll(received_ms=self._context.now_ms(), wanted=wanted)

    def home(self, scope: str, partition: int) -> ids.HostId | None:
        """Return the likely home of a partition in a scope, or None if no host is listed there.

        It is the first candidate that polls for the partition, else the first reachable one,
        else the first.
        """
        ranked = self._candidates(scope, partition)
        for host in ranked:
            if self._polls_for(host, partition):
                return host
        for host in ranked:
            if host == self._context.host or self._membership.reachable(host):
                return host
        return ranked[0] if ranked else None

    def is_home(self, partition: int, *, holding: bool) -> bool:
        """Return whether this host should act as home of a partition in its own scope.

        A host that is ``holding`` the partition keeps it until a better candidate polls for it.
        """
        ranked = self._candidates(self.own_scope, partition)
        list_is_new = self._context.now_ms() - self._list_changed_ms <= HOME_TIMEOUT_MS
        for host in ranked:
            if host == self._context.host:
                return True
            if self._polls_for(host, partition):
                return False
            if list_is_new and not holding and self._membership.reachable(host):
                return False
        return holding

    def homes_by_preference(self, partition: int) -> list[ids.HostId]:
        """Return the hosts to request tokens from, in the order of preference.

        The homes of the own scope, of the own region and of other regions come first, then the
        second candidates in the same order.
        """
        self._refresh()
        found = [self.home(scope, partition) for scope in self._scopes_by_distance]
        for scope in self._scopes_by_distance:
            found.extend(self._candidates(scope, partition)[1:2])
        return list(dict.fromkeys(host for host in found if host is not None))

    def _polls_for(self, host: ids.HostId, partition: int) -> bool:
        poll = self._last_polls.get(host)
        if poll is None or self._context.now_ms() - poll.received_ms > HOME_TIMEOUT_MS:
            return False
        return bool(poll.wanted >> partition & 1)

    def _candidates(self, scope: str, partition: int) -> tuple[ids.HostId, ...]:
        self._refresh()
        ranked = self._ranking_cache.get((scope, partition))
        if ranked is None:
            hosts = self._hosts_by_scope.get(scope, ())
            ranked = self._membership.ranked_hosts(f"limits-{partition}", hosts, _CANDIDATE_COUNT)
            self._ranking_cache[scope, partition] = ranked
        return ranked

    def _refresh(self) -> None:
        if self._membership.revision == self._revision:
            return
        self._revision = self._membership.revision
        self._list_changed_ms = self._context.now_ms()
        self._ranking_cache.clear()
        self._last_polls = {
            host: poll
            for host, poll in self._last_polls.items()
            if self._list_changed_ms - poll.received_ms <= HOME_TIMEOUT_MS
        }
        groups: dict[str, list[ports.HostRow]] = {}
        for row in self._membership.hosts():
            groups.setdefault(getattr(row, self._scope.value), []).append(row)
        self._hosts_by_scope = {scope: tuple(rows) for scope, rows in groups.items()}
        self._scopes_by_distance = tuple(sorted(groups, key=self._distance))

    def _distance(self, scope: str) -> tuple[bool, bool, str]:
        region = self._hosts_by_scope[scope][0].region
        return (scope != self.own_scope, region != self._context.region, scope)
