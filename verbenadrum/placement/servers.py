"""Slots, leases and connections of the servers of one pool part, as counted by its home.

A slot is one request in flight at a server. The fault probability of a server is the probability,
0 to 1, that it is faulty, as estimated by the health judge. Ejected servers and those with too high
a fault probability are out of rotation: they get no requests besides occasional rechecks.
"""

import collections
import math
import random
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.health import ejection
from verbenadrum.placement import parts, server_rates, signals
from verbenadrum.records import types

__all__ = ["LeaseRow", "ServerTable"]

_CONNECTION_IDLE_TIMEOUT_MS = 60_000.0
_MIN_PAIR_AVOIDANCE_MS = 5_000.0
_MAX_PAIR_AVOIDANCE_MS = 60_000.0
_NOT_AVOIDED = (0.0, 0.0)
# Costs and bonuses are in fractions of a server's slots; the server with the lowest cost is chosen.
# An idle connection from the entry host lowers the cost by this much.
_IDLE_CONNECTION_BONUS = 0.3
# A server in another data centre than the entry host's costs this much more, as traffic between
# them is billed by volume. It is less than one slot, so that load decides before distance.
_OTHER_DATA_CENTRE_COST = 0.15
# Servers above the first probability get no requests, those between the two get one at a time.
_MAX_FAULT_PROBABILITY = 0.5
_SINGLE_REQUEST_FAULT_PROBABILITY = 0.25
# In recovery mode, this fraction of the servers, those with the lowest fault probability, is
# rechecked at this interval to find servers that have recovered. A recheck is a single request and
# not a slot to be reused, since a server that fails immediately would attract the whole queue.
_RECHECK_FRACTION = 0.8
_RECHECK_INTERVAL_MS = 1_200.0
_RECHECK_BONUS = 5.0
# Retryable requests also go to servers with a higher fault probability, since a failure costs them
# little.
_MAX_FAULT_PROBABILITY_IF_RETRYABLE = 0.75
# A server without requests for this long is preferred unless its fault probability is too high: a
# new server must get requests even if the others have free slots, and the evidence about an idle
# one becomes outdated.
_UNUSED_AFTER_MS = 1_500.0
_UNUSED_BONUS = 0.5
_UNUSED_BONUS_MAX_FAULT_PROBABILITY = 0.2
# If one entry host sees failures at a server, retryable requests of the other entry hosts go there
# first, one at a time: their outcomes distinguish a faulty network path from a faulty server.
_SECOND_OPINION_BONUS = 1.0
# Cost of a fault probability of 1, for requests that cannot be retried.
_FAULT_PROBABILITY_COST = 1.5
# Sends a request that cannot be retried to a server at or above `_SINGLE_REQUEST_FAULT_PROBABILITY`
# only if no other has a free slot.
_LAST_ATTEMPT_COST = 1.5
# Sends a suspected request to a busy server only if none is idle.
_SUSPECTED_ON_BUSY_COST = 10.0
# Cost of a fault probability of 1, for retryable requests.
_FAULT_PROBABILITY_COST_IF_RETRYABLE = 0.2


class LeaseRow(msgspec.Struct, kw_only=True):
    """Lease on one slot of a server. Points in time are monotonic, in milliseconds.

    Attributes
    ----------
    entry_host : HostId
        The entry host that holds the lease; empty for a probe.
    data_centre : DataCentreId
        Data centre of the entry host.
    number : int
        Number that the entry host gave its request for the slot; -1 if there is none here.
    started_ms : float
        When the lease was granted.
    renewed_ms : float
        When the lease was granted or last renewed by a heartbeat of the entry host.
    waited_ms : float
        How long the entry host had waited for the server's response at its last heartbeat, in
        milliseconds; 0 once the response has begun.
    trusted : bool
        Whether the request's fingerprint had succeeded lately when the lease was granted.
    suspected : bool
        Whether the request may have crashed a server before, so that it runs there alone.
    deadline_ms : float
        Deadline of the request.
    retry_until_ms : float
        Until when another attempt may follow if this one fails.
    recheck : bool
        Whether the server is out of rotation, and the attempt tests whether it has recovered.
    """

    lease: ids.LeaseId
    entry_host: ids.HostId
    data_centre: ids.DataCentreId
    number: int
    server: ids.ServerId
    workspace: ids.WorkspaceId
    fingerprint: str
    started_ms: float
    renewed_ms: float
    waited_ms: float = 0.0
    trusted: bool = False
    suspected: bool = False
    deadline_ms: float = math.inf
    retry_until_ms: float = -math.inf
    recheck: bool = False


class ServerTable:
    """Use of the slots and connections of a part's servers, and the choice among the servers.

    Parameters
    ----------
    ejector : Ejector
        Health states of the servers.
    rng : Random
        Varies the choice between about equally loaded servers.
    signals : ServerSignals
        What the servers have said of themselves.
    rates : ServerRates
        Requests that may be sent to servers which have named a limit.
    fault_probability : callable
        Returns the probability, 0 to 1, that a server is faulty.
    """

    def __init__(
        self,
        *,
        ejector: ejection.Ejector,
        rng: random.Random,
        signals: signals.ServerSignals,
        rates: server_rates.ServerRates,
        fault_probability: Callable[[ids.ServerId], float] = lambda server: 0.0,
    ) -> None:
        self._ejector = ejector
        self._rng = rng
        self._signals = signals
        self._rates = rates
        self._fault_probability = fault_probability
        self._part: parts.Part | None = None
        self._live: tuple[types.ServerEntry, ...] = ()
        self._in_use: collections.Counter[ids.ServerId] = collections.Counter()
        # The pairs below are of an entry host and a server.
        self._in_use_by_pair: collections.Counter[tuple[ids.HostId, ids.ServerId]] = (
            collections.Counter()
        )
        # By server and entry host: greatest number of requests in flight at once, which is the
        # estimate of the open connections, and the time of the last request.
        self._peak_connections: dict[ids.ServerId, dict[ids.HostId, tuple[int, float]]] = {}
        # Until when each pair is avoided, and the length of its last avoidance.
        self._avoided_pairs: dict[tuple[ids.HostId, ids.ServerId], tuple[float, float]] = {}
        # Until when each server wants nothing from an entry host.
        self._rests: dict[tuple[ids.HostId, ids.ServerId], float] = {}
        # Until when each server is avoided by some entry host.
        self._avoided_by_some_until_ms: dict[ids.ServerId, float] = {}
        # Suspected requests in flight; a server with one gets no other request.
        self._isolated: collections.Counter[ids.ServerId] = collections.Counter()
        self._last_used_ms: dict[ids.ServerId, float] = {}

    @property
    def total_slots(self) -> int:
        """Number of slots that may be used now, over all servers, given their health."""
        fault_probabilities = self._fault_probabilities()
        max_fault_probability = self._max_fault_probability(fault_probabilities)
        return sum(
            self._slots(entry, fault_probability, max_fault_probability)
            for entry, fault_probability in zip(self._live, fault_probabilities, strict=True)
        )

    def usable_slots(self, service_ms: float) -> float:
        """Return how many slots can be kept busy, given the servers' health and limits.

        Parameters
        ----------
        service_ms : float
            Mean time for which a request holds its slot.
        """
        fault_probabilities = self._fault_probabilities()
        max_fault_probability = self._max_fault_probability(fault_probabilities)
        return sum(
            min(
                self._slots(entry, fault_probability, max_fault_probability),
                self._rates.rate_per_s(entry) * service_ms / 1000.0,
            )
            for entry, fault_probability in zip(self._live, fault_probabilities, strict=True)
        )

    @property
    def in_use(self) -> int:
        """Number of slots in use, over all servers."""
        return sum(self._in_use.values())

    @property
    def live(self) -> tuple[types.ServerEntry, ...]:
        """Servers that may get requests: those that are not leaving.

        Servers with a lapsed record are left out, unless most of the records have lapsed.
        """
        return self._live

    def sync(self, part: parts.Part) -> None:
        """Apply a changed pool record or server list."""
        if self._part is part:
            return
        if self._part is not None and self._rests:
            self._drop_rests_of_earlier_processes(part)
        self._part = part
        listed = {entry.server for entry in part.servers}
        self._last_used_ms = {name: at for name, at in self._last_used_ms.items() if name in listed}
        self._select_live()

    def slots_in_use(self, server: ids.ServerId) -> int:
        """Return how many of a server's slots are in use."""
        return self._in_use[server]

    def apply_signals(self) -> None:
        """Leave out the servers that have said that they are leaving, and no others."""
        self._select_live()

    def leaving_without_start(self) -> list[ids.ServerId]:
        """Return the leaving servers whose return only a probe can tell, as no start is known."""
        return [
            ids.ServerId(entry.server)
            for entry in self._part.servers
            if not entry.started_wall_ms and self._signals.is_leaving(entry)
        ]

    def avoid_pair(self, entry_host: ids.HostId, server: ids.ServerId, now_ms: float) -> bool:
        """Keep one entry host's requests from one server for a while.

        The duration doubles with each repetition, up to `_MAX_PAIR_AVOIDANCE_MS`. Returns False if
        the pair is avoided already.
        """
        until_ms, duration_ms = self._avoided_pairs.get(
            (entry_host, server), (0.0, _MIN_PAIR_AVOIDANCE_MS / 2.0)
        )
        if until_ms > now_ms:
            return False
        duration_ms = min(_MAX_PAIR_AVOIDANCE_MS, duration_ms * 2.0)
        self._avoided_pairs[entry_host, server] = (now_ms + duration_ms, duration_ms)
        self._avoided_by_some_until_ms[server] = max(
            now_ms + duration_ms, self._avoided_by_some_until_ms.get(server, 0.0)
        )
        return True

    def record_rest(self, entry_host: ids.HostId, server: ids.ServerId, until_ms: float) -> None:
        """Send nothing from an entry host to a server until a monotonic time."""
        pair = (entry_host, server)
        self._rests[pair] = max(until_ms, self._rests.get(pair, 0.0))

    def _drop_rests_of_earlier_processes(self, part: parts.Part) -> None:
        started_wall_ms = {entry.server: entry.started_wall_ms for entry in self._part.servers}
        restarted = {
            entry.server
            for entry in part.servers
            if started_wall_ms.get(entry.server, entry.started_wall_ms) != entry.started_wall_ms
        }
        if restarted:
            self._rests = {
                pair: until_ms for pair, until_ms in self._rests.items() if pair[1] not in restarted
            }

    def shortest_rest_ms(self, entry_host: ids.HostId, now_ms: float) -> float:
        """Return when the first server takes requests of an entry host again; 0 if one does now."""
        if not self._rests:
            return 0.0
        rests_ms = (
            self._rests.get((entry_host, ids.ServerId(entry.server)), 0.0) - now_ms
            for entry in self._live
        )
        return max(0.0, min(rests_ms, default=0.0))

    def take_slot(self, lease: LeaseRow, now_ms: float) -> None:
        """Count a lease's slot and connection as in use."""
        server, entry_host = lease.server, lease.entry_host
        self._in_use[server] += 1
        if lease.suspected:
            self._isolated[server] += 1
        self._last_used_ms[server] = now_ms
        self._in_use_by_pair[entry_host, server] += 1
        peaks = self._peak_connections.setdefault(server, {})
        peak = peaks.get(entry_host, (0, 0.0))[0]
        peaks[entry_host] = (max(self._in_use_by_pair[entry_host, server], peak), now_ms)

    def free_slot(self, lease: LeaseRow) -> None:
        """Count a lease's slot as free."""
        _decrement(self._in_use, lease.server)
        _decrement(self._in_use_by_pair, (lease.entry_host, lease.server))
        if lease.suspected:
            _decrement(self._isolated, lease.server)

    def connections(self, server: ids.ServerId) -> int:
        """Return the estimated number of open connections to a server.

        It is the sum, over the entry hosts with recent requests to it, of the most requests that
        each had in flight at once.
        """
        return sum(peak for peak, _ in self._peak_connections.get(server, {}).values())

    def choose(
        self,
        entry_host: ids.HostId,
        excluded: tuple[str, ...],
        now_ms: float,
        *,
        data_centre: str = "",
        retryable: bool = False,
        suspected: bool = False,
        recovering: bool = False,
    ) -> types.ServerEntry | None:
        """Return the server with the lowest cost, or None if no suitable one has a free slot.

        The cost rises with load and fault probability. Servers to which the entry host has an idle
        connection are preferred, and of equally loaded ones those in its data centre.

        Parameters
        ----------
        entry_host : HostId
            The entry host that requests the slot.
        excluded : tuple of str
            Servers that have failed the request already; chosen only if there is no alternative.
        now_ms : float
            Monotonic time, in milliseconds.
        data_centre : str
            Data centre of the entry host; empty if it is not known.
        retryable : bool
            Whether the request may be sent again, so that it can test a server that may be faulty.
        suspected : bool
            Whether the request may have crashed a server, so that it should run alone: if the next
            server crashes too, no other request is to blame.
        recovering : bool
            Whether many requests are not served, so that servers out of rotation are rechecked.
        """
        best = None
        best_cost = math.inf
        fault_probabilities = self._fault_probabilities()
        max_fault_probability = self._max_fault_probability(
            fault_probabilities, retryable=retryable
        )
        reaches_any = self._reaches_any(entry_host, now_ms)
        for entry, fault_probability in zip(self._live, fault_probabilities, strict=True):
            server = ids.ServerId(entry.server)
            if self._rests.get((entry_host, server), 0.0) > now_ms:
                continue
            if reaches_any and self._is_avoided_pair(entry_host, server, now_ms):
                continue
            slots = self._slots(entry, fault_probability, max_fault_probability)
            recheck = recovering and self._is_recheck_due(
                server, fault_probability, fault_probabilities, now_ms
            )
            if recheck:
                slots = max(1, slots)
            cost = self._cost(
                entry,
                entry_host,
                slots=slots,
                fault_probability=fault_probability,
                now_ms=now_ms,
                retryable=retryable,
            )
            if entry.data_centre != data_centre and entry.data_centre and data_centre:
                cost += _OTHER_DATA_CENTRE_COST
            if recheck:
                cost -= _RECHECK_BONUS
            if server in excluded:
                cost += 1000.0
            if suspected and self._in_use.get(ids.ServerId(entry.server), 0):
                cost += _SUSPECTED_ON_BUSY_COST
            if cost < best_cost:
                best, best_cost = entry, cost
        if (
            best is not None
            and best.server in excluded
            and self._has_alternative(excluded, fault_probabilities)
        ):
            return None
        return best

    def is_out_of_rotation(self, entry: types.ServerEntry, *, retryable: bool = False) -> bool:
        """Return whether a server has no usable slot, so that it gets only rechecks."""
        fault_probability = self._fault_probability(ids.ServerId(entry.server))
        return not self._slots(
            entry,
            fault_probability,
            self._max_fault_probability(self._fault_probabilities(), retryable=retryable),
        )

    def any_free(self) -> bool:
        """Return whether any server has a free slot, whatever its fault probability."""
        return any(
            self._in_use.get(ids.ServerId(entry.server), 0) < self._slots(entry, 0.0, 1.0)
            and self._rates.may_send(entry)
            for entry in self._live
        )

    def forget_idle(self, now_ms: float) -> None:
        """Drop the counts of idle connections, and expired entries of avoided pairs."""
        for peaks in self._peak_connections.values():
            idle = [
                host for host, (_, at) in peaks.items() if now_ms - at > _CONNECTION_IDLE_TIMEOUT_MS
            ]
            for host in idle:
                del peaks[host]
        ended = [
            pair
            for pair, (until_ms, duration_ms) in self._avoided_pairs.items()
            if until_ms + 2.0 * duration_ms <= now_ms
        ]
        for pair in ended:
            del self._avoided_pairs[pair]
        self._rests = {pair: until for pair, until in self._rests.items() if until > now_ms}
        self._avoided_by_some_until_ms = {
            server: until_ms
            for server, until_ms in self._avoided_by_some_until_ms.items()
            if until_ms > now_ms
        }

    def _cost(
        self,
        entry: types.ServerEntry,
        entry_host: ids.HostId,
        *,
        slots: int,
        fault_probability: float,
        now_ms: float,
        retryable: bool,
    ) -> float:
        server = ids.ServerId(entry.server)
        used = self._in_use.get(server, 0)
        if used >= slots or server in self._isolated or not self._rates.may_send(entry):
            return math.inf
        cost = used / (entry.slots or self._part.spec.slots) + self._rng.random() * 0.1
        cost += (
            _FAULT_PROBABILITY_COST_IF_RETRYABLE if retryable else _FAULT_PROBABILITY_COST
        ) * fault_probability
        if not retryable and fault_probability >= _SINGLE_REQUEST_FAULT_PROBABILITY:
            cost += _LAST_ATTEMPT_COST
        if (
            fault_probability < _UNUSED_BONUS_MAX_FAULT_PROBABILITY
            and now_ms - self._last_used_ms.get(server, -math.inf) > _UNUSED_AFTER_MS
        ):
            cost -= _UNUSED_BONUS
        if self._has_idle_connection(server, entry_host):
            cost -= _IDLE_CONNECTION_BONUS
        elif self._is_at_connection_limit(server):
            return math.inf
        if self._ejector.avoided(server):
            cost += 100.0
        if retryable and not used and self._avoided_by_some_until_ms.get(server, 0.0) > now_ms:
            cost -= _SECOND_OPINION_BONUS
        return cost

    def _is_avoided_pair(self, entry_host: ids.HostId, server: ids.ServerId, now_ms: float) -> bool:
        return self._avoided_pairs.get((entry_host, server), _NOT_AVOIDED)[0] > now_ms

    def _reaches_any(self, entry_host: ids.HostId, now_ms: float) -> bool:
        """Return whether there is a live server that an entry host does not avoid."""
        return not self._avoided_pairs or any(
            not self._is_avoided_pair(entry_host, ids.ServerId(entry.server), now_ms)
            for entry in self._live
        )

    def _has_alternative(self, excluded: tuple[str, ...], fault_probabilities: list[float]) -> bool:
        max_fault_probability = self._max_fault_probability(fault_probabilities)
        return any(
            entry.server not in excluded
            and self._slots(entry, fault_probability, max_fault_probability)
            for entry, fault_probability in zip(self._live, fault_probabilities, strict=True)
        )

    def _slots(
        self, entry: types.ServerEntry, fault_probability: float, max_fault_probability: float
    ) -> int:
        """Return how many of a server's slots may be used, given its fault probability.

        From `_SINGLE_REQUEST_FAULT_PROBABILITY` on, a server gets one request at a time, and above
        ``max_fault_probability`` none.
        """
        slots = self._ejector.usable_slots(
            ids.ServerId(entry.server), entry.slots or self._part.spec.slots
        )
        if fault_probability < _SINGLE_REQUEST_FAULT_PROBABILITY:
            return slots
        return min(1, slots) if fault_probability <= max_fault_probability else 0

    def _max_fault_probability(
        self, fault_probabilities: list[float], *, retryable: bool = False
    ) -> float:
        """Return the fault probability up to which servers stay in rotation.

        It is never below the lowest one, so that at least one server is in rotation.
        """
        return max(
            _MAX_FAULT_PROBABILITY_IF_RETRYABLE if retryable else _MAX_FAULT_PROBABILITY,
            min(fault_probabilities, default=0.0),
        )

    def _is_recheck_due(
        self,
        server: ids.ServerId,
        fault_probability: float,
        fault_probabilities: list[float],
        now_ms: float,
    ) -> bool:
        """Return whether a server is to be rechecked now; applies in recovery mode only."""
        if now_ms - self._last_used_ms.get(server, -math.inf) < _RECHECK_INTERVAL_MS:
            return False
        return (
            fault_probability
            <= sorted(fault_probabilities)[
                math.ceil(_RECHECK_FRACTION * len(fault_probabilities)) - 1
            ]
        )

    def _fault_probabilities(self) -> list[float]:
        return [self._fault_probability(ids.ServerId(entry.server)) for entry in self._live]

    def _has_idle_connection(self, server: ids.ServerId, entry_host: ids.HostId) -> bool:
        held = self._peak_connections.get(server, {}).get(entry_host)
        return held is not None and self._in_use_by_pair.get((entry_host, server), 0) < held[0]

    def _is_at_connection_limit(self, server: ids.ServerId) -> bool:
        # An entry host holds at most one connection for each slot, so the connections are counted
        # only if that bound reaches the limit.
        hosts = len(self._peak_connections.get(server, ()))
        cap = self._part.spec.max_connections
        if hosts * self._part.spec.slots < cap:
            return False
        return self.connections(server) >= cap

    def _select_live(self) -> None:
        usable = [entry for entry in self._part.servers if not self._signals.is_leaving(entry)]
        live = [entry for entry in usable if entry.state is types.ServerState.LIVE]
        lapsed = [entry for entry in usable if entry.state is types.ServerState.LAPSED]
        # Records that lapse together point to a fault of the platform and not of the servers.
        self._live = tuple(live + lapsed if len(lapsed) > len(live) else live)
        self._ejector.sync([entry.server for entry in self._live], self._part.spec.floor)


def _decrement(counter: collections.Counter, key: object) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
