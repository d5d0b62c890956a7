"""Baseline placer: the less loaded of two random servers, by this host's own count."""

import collections
from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.placement import registry
from verbenadrum.records import types

__all__ = ["PowerOfTwoPlacer"]


@registry.placers.register("power_of_two")
class PowerOfTwoPlacer(system.System):
    """Picks two live servers at random and takes the one with fewer attempts from here.

    Kept for comparison, and used as the last resort when no pool home answers.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        judge: str,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._in_flight: collections.Counter[ids.ServerId] = collections.Counter()
        self._leases: dict[ids.LeaseId, ids.ServerId] = {}
        self._serial = 0

    def place(
        self, request: ports.PlacementRequest, done: Callable[[ports.Placement], None]
    ) -> None:
        """Choose a server at once."""
        pool = self._records.pool(request.service)
        servers = [] if pool is None else _eligible(pool, request.excluded)
        if not servers:
            done(ports.Placement(server=None, reason="no-eligible-server"))
            return
        pair = self._context.rng.sample(servers, min(2, len(servers)))
        chosen = min(pair, key=lambda entry: self._in_flight[ids.ServerId(entry.server)])
        server = ids.ServerId(chosen.server)
        lease = self._open_lease(server)
        done(
            ports.Placement(
                server=server,
                reason="fewer-in-flight-of-two",
                lease=lease,
                address=chosen.address,
                until_ms=request.deadline_ms,
            )
        )

    def complete(self, lease: ids.LeaseId, outcome: ports.Outcome) -> None:
        """Release a lease; a second call is ignored."""
        server = self._leases.pop(lease, None)
        if server is not None:
            self._in_flight[server] -= 1

    def may_retry(self, request: ports.PlacementRequest) -> bool:
        """Allow one retry of each request."""
        return request.attempt <= 1

    def _open_lease(self, server: ids.ServerId) -> ids.LeaseId:
        self._serial += 1
        lease = ids.LeaseId(f"{self._context.host}:{self._context.incarnation}:l{self._serial}")
        self._leases[lease] = server
        self._in_flight[server] += 1
        return lease


def _eligible(pool: types.PoolSpec, excluded: tuple[ids.ServerId, ...]) -> list[types.ServerEntry]:
    return [
        entry
        for entry in pool.servers
        if entry.state is types.ServerState.LIVE and entry.server not in excluded
    ]
