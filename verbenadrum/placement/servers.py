"""Slots, leases and connections of the servers of one pool part, as its home counts them."""

import collections
import math
import random
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.health import ejection
from verbenadrum.placement import parts
from verbenadrum.records import types

__all__ = ["LeaseRow", "ServerTable"]

_CONNECTION_IDLE_MS = 60_000.0
_PAIR_AVOID_MS = 5_000.0
_MAX_PAIR_AVOID_MS = 60_000.0
_NEVER = (0.0, 0.0)
# A warm connection weighs as much as this part of a server's slots.
_WARM_BONUS = 0.3
# A server that is this likely to be sick gets no work, one that is less so a single request.
_AVOID_DOUBT = 0.5
_UNSURE_DOUBT = 0.25
# While many requests are not served, this part of the servers gets work every so often, the least
# doubtful ones first, so that those that are well again are found. It is one request and no slot: a
# server that fails at once would draw the whole queue.
_PRESSED_SHARE = 0.8
_PRESSED_EVERY_MS = 1_200.0
_PRESSED_BONUS = 5.0
# Requests that may be repeated try doubtful servers first, since a failure costs them little.
_TRIAL_DOUBT = 0.75
# A server that has had no work for this long is preferred, unless it is doubtful: a new one must
# get its part also where the others have room, and what is known of an idle one grows old.
_UNUSED_MS = 1_500.0
_UNUSED_BONUS = 0.5
_UNUSED_DOUBT = 0.2
# Where one entry host has bad answers from a server, requests of the others that may be sent again
# go there first, one at a time: their outcomes tell a bad path from a bad server.
_SECOND_OPINION_BONUS = 1.0
# Cost of certain sickness, in parts of a server's slots.
_DOUBT_WEIGHT = 1.5
# A request that is not sent again goes to a server that may be sick only where no other has a slot.
_LAST_ATTEMPT_COST = 1.5
# A suspected request goes to a server with other work only where none is idle.
_SHARED_COST = 10.0
_TRIAL_WEIGHT = 0.2


class LeaseRow(msgspec.Struct, kw_only=True):
    """One slot in use.

    Attributes
    ----------
    observer : HostId
        The entry host that holds the lease.
    group : DataCentreId
        Where the entry host stands.
    number : int
        The entry host's own number of the ask.
    waited_ms : float
        How long the entry host has waited for the answer, as it last said; 0 once it began.
    heard_ms : float
        When the entry host last spoke of the lease.
    trusted : bool
        Whether the request was believed harmless.
    suspected : bool
        Whether a server had died under the request before, so that it runs on its own.
    deadline_ms : float
        When the time of the request is over.
    repeat_until_ms : float
        Until when another attempt may follow if this one fails.
    recheck : bool
        Whether the server gets no work otherwise, so that the attempt finds out whether it is well.
    """

    lease: ids.LeaseId
    observer: ids.HostId
    group: ids.DataCentreId
    number: int
    server: ids.ServerId
    workspace: ids.WorkspaceId
    fingerprint: str
    started_ms: float
    heard_ms: float
    waited_ms: float = 0.0
    trusted: bool = False
    suspected: bool = False
    deadline_ms: float = math.inf
    repeat_until_ms: float = -math.inf
    recheck: bool = False


class ServerTable:
    """Rows of the servers, with the choice among them."""

    def __init__(
        self,
        *,
        ejector: ejection.Ejector,
        rng: random.Random,
        doubt: Callable[[ids.ServerId], float] = lambda server: 0.0,
    ) -> None:
        self._ejector = ejector
        self._rng = rng
        self._doubt = doubt
        self._part: parts.Part | None = None
        self._live: tuple[types.ServerEntry, ...] = ()
        self._in_use: collections.Counter[ids.ServerId] = collections.Counter()
        self._by_pair: collections.Counter[tuple[ids.HostId, ids.ServerId]] = collections.Counter()
        self._connections: dict[ids.ServerId, dict[ids.HostId, tuple[int, float]]] = {}
        self._pairs: dict[tuple[ids.HostId, ids.ServerId], tuple[float, float]] = {}
        # Until when some entry host is kept from each server.
        self._disputed_ms: dict[ids.ServerId, float] = {}
        self._draining: set[ids.ServerId] = set()
        self._guarded: collections.Counter[ids.ServerId] = collections.Counter()
        self._taken_ms: dict[ids.ServerId, float] = {}

    @property
    def total_slots(self) -> int:
        """Slots that may be used now, over all servers."""
        doubts = self._doubts()
        limit = self._limit(doubts)
        return sum(
            self._slots(entry, doubt, limit)
            for entry, doubt in zip(self._live, doubts, strict=True)
        )

    @property
    def in_use(self) -> int:
        """Slots in use, over all servers."""
        return sum(self._in_use.values())

    @property
    def live(self) -> tuple[types.ServerEntry, ...]:
        """Servers that are neither leaving nor draining."""
        return self._live

    def sync(self, part: parts.Part) -> None:
        """Follow the record."""
        if self._part is part:
            return
        self._part = part
        listed = {entry.server for entry in part.servers}
        self._draining &= listed
        self._taken_ms = {name: at for name, at in self._taken_ms.items() if name in listed}
        self._select()

    def used(self, server: ids.ServerId) -> int:
        """Return how many of a server's slots are in use."""
        return self._in_use[server]

    def drain(self, server: ids.ServerId) -> bool:
        """Give a server no new work; return whether that is news."""
        if server in self._draining:
            return False
        self._draining.add(server)
        self._select()
        return True

    def draining(self) -> set[ids.ServerId]:
        """Return the servers that said they are draining."""
        return self._draining

    def undrain(self, server: ids.ServerId) -> None:
        """Give a server work again."""
        self._draining.discard(server)
        self._select()

    def avoid_pair(self, observer: ids.HostId, server: ids.ServerId, now_ms: float) -> bool:
        """Keep one entry host from one server for a while; return whether that is news."""
        until_ms, wait_ms = self._pairs.get((observer, server), (0.0, _PAIR_AVOID_MS / 2.0))
        if until_ms > now_ms:
            return False
        wait_ms = min(_MAX_PAIR_AVOID_MS, wait_ms * 2.0)
        self._pairs[observer, server] = (now_ms + wait_ms, wait_ms)
        self._disputed_ms[server] = max(now_ms + wait_ms, self._disputed_ms.get(server, 0.0))
        return True

    def take(self, lease: LeaseRow, now_ms: float) -> None:
        """Count a slot as used by an entry host."""
        server, observer = lease.server, lease.observer
        self._in_use[server] += 1
        if lease.suspected:
            self._guarded[server] += 1
        self._taken_ms[server] = now_ms
        self._by_pair[observer, server] += 1
        used = self._connections.setdefault(server, {})
        most = used.get(observer, (0, 0.0))[0]
        used[observer] = (max(self._by_pair[observer, server], most), now_ms)

    def give_back(self, lease: LeaseRow) -> None:
        """Count a slot as free."""
        _decrement(self._in_use, lease.server)
        _decrement(self._by_pair, (lease.observer, lease.server))
        if lease.suspected:
            _decrement(self._guarded, lease.server)

    def connections(self, server: ids.ServerId) -> int:
        """Return how many connections the entry hosts are believed to hold to a server."""
        return sum(most for most, _ in self._connections.get(server, {}).values())

    def choose(
        self,
        observer: ids.HostId,
        excluded: tuple[str, ...],
        now_ms: float,
        *,
        trial: bool = False,
        suspected: bool = False,
        pressed: bool = False,
    ) -> types.ServerEntry | None:
        """Return the least loaded server with a free slot, a warm one among equals.

        Parameters
        ----------
        observer : HostId
            The entry host that asks.
        excluded : tuple of str
            Servers that failed the request already.
        now_ms : float
            Monotonic time.
        trial : bool
            Whether the request may be sent again, so that it can try a doubtful server.
        suspected : bool
            Whether a server died under the request, so that it should run on its own: if the next
            one dies too, no other request is to blame.
        pressed : bool
            Whether many requests are not served, so that servers that are left alone are tried.
        """
        best = None
        best_cost = math.inf
        doubts = self._doubts()
        limit = self._limit(doubts, trial=trial)
        reached = self._reaches_any(observer, now_ms)
        for entry, doubt in zip(self._live, doubts, strict=True):
            server = ids.ServerId(entry.server)
            if reached and self._is_avoided_pair(observer, server, now_ms):
                continue
            slots = self._slots(entry, doubt, limit)
            starves = pressed and self._starves(server, doubt, doubts, now_ms)
            if starves:
                slots = max(1, slots)
            cost = self._cost(entry, observer, slots=slots, doubt=doubt, now_ms=now_ms, trial=trial)
            if starves:
                cost -= _PRESSED_BONUS
            if server in excluded:
                cost += 1000.0
            if suspected and self._in_use.get(ids.ServerId(entry.server), 0):
                cost += _SHARED_COST
            if cost < best_cost:
                best, best_cost = entry, cost
        if best is not None and best.server in excluded and self._any_other(excluded, doubts):
            return None
        return best

    def is_left_alone(self, entry: types.ServerEntry, *, trial: bool = False) -> bool:
        """Return whether a server gets no work but to find out whether it is well again."""
        doubt = self._doubt(ids.ServerId(entry.server))
        return not self._slots(entry, doubt, self._limit(self._doubts(), trial=trial))

    def any_free(self) -> bool:
        """Return whether some server has a slot that some request may use."""
        return any(
            self._in_use.get(ids.ServerId(entry.server), 0) < self._slots(entry, 0.0, 1.0)
            for entry in self._live
        )

    def forget_idle(self, now_ms: float) -> None:
        """Drop connections and avoided pairs whose time is over."""
        for used in self._connections.values():
            idle = [host for host, (_, at) in used.items() if now_ms - at > _CONNECTION_IDLE_MS]
            for host in idle:
                del used[host]
        ended = [
            pair
            for pair, (until_ms, wait_ms) in self._pairs.items()
            if until_ms + 2.0 * wait_ms <= now_ms
        ]
        for pair in ended:
            del self._pairs[pair]
        self._disputed_ms = {
            server: until_ms for server, until_ms in self._disputed_ms.items() if until_ms > now_ms
        }

    def _cost(
        self,
        entry: types.ServerEntry,
        observer: ids.HostId,
        *,
        slots: int,
        doubt: float,
        now_ms: float,
        trial: bool,
    ) -> float:
        server = ids.ServerId(entry.server)
        used = self._in_use.get(server, 0)
        if used >= slots or server in self._guarded:
            return math.inf
        cost = used / (entry.slots or self._part.spec.slots) + self._rng.random() * 0.1
        cost += (_TRIAL_WEIGHT if trial else _DOUBT_WEIGHT) * doubt
        if not trial and doubt >= _UNSURE_DOUBT:
            cost += _LAST_ATTEMPT_COST
        if doubt < _UNUSED_DOUBT and now_ms - self._taken_ms.get(server, -math.inf) > _UNUSED_MS:
            cost -= _UNUSED_BONUS
        if self._is_warm(server, observer):
            cost -= _WARM_BONUS
        elif self._is_full(server):
            return math.inf
        if self._ejector.avoided(server):
            cost += 100.0
        if trial and not used and self._disputed_ms.get(server, 0.0) > now_ms:
            cost -= _SECOND_OPINION_BONUS
        return cost

    def _is_avoided_pair(self, observer: ids.HostId, server: ids.ServerId, now_ms: float) -> bool:
        return self._pairs.get((observer, server), _NEVER)[0] > now_ms

    def _reaches_any(self, observer: ids.HostId, now_ms: float) -> bool:
        """Return whether an entry host is not kept from every server."""
        return not self._pairs or any(
            not self._is_avoided_pair(observer, ids.ServerId(entry.server), now_ms)
            for entry in self._live
        )

    def _any_other(self, excluded: tuple[str, ...], doubts: list[float]) -> bool:
        limit = self._limit(doubts)
        return any(
            entry.server not in excluded and self._slots(entry, doubt, limit)
            for entry, doubt in zip(self._live, doubts, strict=True)
        )

    def _slots(self, entry: types.ServerEntry, doubt: float, limit: float) -> int:
        """Return how many of a server's slots may be used, given the doubt about it.

        A server that is doubted up to ``limit`` gets one request at a time.
        """
        slots = self._ejector.slots(
            ids.ServerId(entry.server), entry.slots or self._part.spec.slots
        )
        if doubt < _UNSURE_DOUBT:
            return slots
        return min(1, slots) if doubt <= limit else 0

    def _limit(self, doubts: list[float], *, trial: bool = False) -> float:
        """Return the doubt up to which servers stay in use; the least doubtful one always does."""
        return max(_TRIAL_DOUBT if trial else _AVOID_DOUBT, min(doubts, default=0.0))

    def _starves(
        self, server: ids.ServerId, doubt: float, doubts: list[float], now_ms: float
    ) -> bool:
        """Return whether a server must get work again, since requests are not served meanwhile."""
        if now_ms - self._taken_ms.get(server, -math.inf) < _PRESSED_EVERY_MS:
            return False
        return doubt <= sorted(doubts)[math.ceil(_PRESSED_SHARE * len(doubts)) - 1]

    def _doubts(self) -> list[float]:
        return [self._doubt(ids.ServerId(entry.server)) for entry in self._live]

    def _is_warm(self, server: ids.ServerId, observer: ids.HostId) -> bool:
        held = self._connections.get(server, {}).get(observer)
        return held is not None and self._by_pair.get((observer, server), 0) < held[0]

    def _is_full(self, server: ids.ServerId) -> bool:
        # Each entry host may hold as many connections as there are slots, so most never count.
        hosts = len(self._connections.get(server, ()))
        cap = self._part.spec.max_connections
        if hosts * self._part.spec.slots < cap:
            return False
        return self.connections(server) >= cap

    def _select(self) -> None:
        usable = [entry for entry in self._part.servers if entry.server not in self._draining]
        live = [entry for entry in usable if entry.state is types.ServerState.LIVE]
        lapsed = [entry for entry in usable if entry.state is types.ServerState.LAPSED]
        # Records that lapse together tell of the platform, not of the servers.
        self._live = tuple(live + lapsed if len(lapsed) > len(live) else live)
        self._ejector.sync([entry.server for entry in self._live], self._part.spec.floor)


def _decrement(counter: collections.Counter, key: object) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
