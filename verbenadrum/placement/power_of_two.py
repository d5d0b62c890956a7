"""Baseline placer: chooses the less loaded of two random servers, without coordination."""

import collections
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.health import ejection, evidence
from verbenadrum.health import registry as health_registry
from verbenadrum.placement import budget, registry
from verbenadrum.records import types

__all__ = ["PowerOfTwoPlacer"]


class _Lease(msgspec.Struct, frozen=True, kw_only=True):
    service: ids.ServiceId
    server: ids.ServerId
    started_ms: float


class _Pool(msgspec.Struct, kw_only=True):
    judge: evidence.Judge
    ejector: ejection.Ejector


@registry.placers.register("power_of_two")
class PowerOfTwoPlacer(system.System):
    """Chooses, of two random servers, the one with fewer attempts in flight from this host.

    It serves as a baseline for benchmarks and tests. Each host judges the servers' health and
    applies the pool's floor by its own attempts alone, so the ejections of all hosts together may
    exceed the floor.

    Parameters
    ----------
    context : Context
        Clock, random numbers and decision log of this host.
    records : RecordsPort
        Records in force.
    membership : MembershipPort
        Not used.
    judge : str
        Name of the health judge in its registry.
    retries : RetryLimits
        Not used: each request may be retried once.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        judge: str,
        retries: budget.RetryLimits = budget.DEFAULT_LIMITS,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._judge_type = health_registry.judges.get(judge)
        self._pools: dict[ids.ServiceId, _Pool] = {}
        self._in_flight: collections.Counter[ids.ServerId] = collections.Counter()
        self._leases: dict[ids.LeaseId, _Lease] = {}
        self._serial = 0

    def ejected(self, service: ids.ServiceId) -> list[ids.ServerId]:
        """Return the servers of a pool that this host has ejected; empty for an unknown pool."""
        pool = self._pools.get(service)
        return [] if pool is None else pool.ejector.ejected

    def place(
        self, request: ports.PlacementRequest, done: Callable[[ports.Placement], None]
    ) -> None:
        """Choose a server and call ``done`` before returning."""
        spec = self._records.pool(request.service)
        servers = [] if spec is None else self._eligible(request, spec)
        if not servers:
            done(ports.Placement(server=None, reason="no-eligible-server"))
            return
        pair = self._context.rng.sample(servers, min(2, len(servers)))
        chosen = min(pair, key=lambda entry: self._in_flight[ids.ServerId(entry.server)])
        server = ids.ServerId(chosen.server)
        lease = self._open_lease(request.service, server)
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
        """Release a lease with the attempt's outcome; a second call is ignored."""
        row = self._leases.pop(lease, None)
        if row is None:
            return
        self._in_flight[row.server] -= 1
        self._pools[row.service].judge.record_outcome(
            evidence.Evidence(
                server=row.server,
                observer=self._context.host,
                group=self._context.data_centre,
                kind=outcome.kind,
                latency_ms=outcome.latency_ms,
                at_ms=self._context.now_ms(),
            )
        )

    def may_retry(self, request: ports.PlacementRequest, *, hedge: bool = False) -> bool:
        """Return whether this is at most the first retry or hedge of the request."""
        return request.attempt <= 1

    def response_started(
        self, lease: ids.LeaseId, *, draining: bool = False, limit_per_s: float | None = None
    ) -> None:
        """Do nothing: this placer does not track whether a response has begun."""

    def pop_due_probes(self) -> list[ports.ProbeOrder]:
        """Return no probes: an ejected server returns when its ejection ends."""
        return []

    def record_probe(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Do nothing: this placer sends no probes."""

    def server_signals(self) -> tuple[ports.ServerSignal, ...]:
        """Return nothing: this placer keeps no signals."""
        return ()

    def on_tick(self) -> None:
        """Review the health of the servers by this host's attempts, and update the ejections."""
        now_ms = self._context.now_ms()
        for service, pool in self._pools.items():
            flights = [
                evidence.Flight(
                    server=row.server,
                    observer=self._context.host,
                    group=self._context.data_centre,
                    waited_ms=now_ms - row.started_ms,
                )
                for row in self._leases.values()
                if row.service == service
            ]
            pool.ejector.consider(pool.judge.find_outliers(now_ms=now_ms, flights=flights))
            pool.ejector.update_states()

    def _eligible(
        self, request: ports.PlacementRequest, spec: types.PoolSpec
    ) -> list[types.ServerEntry]:
        live = [entry for entry in spec.servers if entry.state is types.ServerState.LIVE]
        ejector = self._pool(request.service).ejector
        ejector.sync([ids.ServerId(entry.server) for entry in live], spec.floor)
        return [
            entry
            for entry in live
            if entry.server not in request.excluded
            and ejector.usable_slots(ids.ServerId(entry.server), spec.slots)
        ]

    def _pool(self, service: ids.ServiceId) -> _Pool:
        pool = self._pools.get(service)
        if pool is None:
            judge = self._judge_type()
            ejector = ejection.Ejector(
                context=self._context,
                judge=judge,
                permits=lambda max_ejections: max_ejections,
                probing=False,
            )
            pool = self._pools[service] = _Pool(judge=judge, ejector=ejector)
        return pool

    def _open_lease(self, service: ids.ServiceId, server: ids.ServerId) -> ids.LeaseId:
        self._serial += 1
        lease = ids.LeaseId(f"{self._context.host}:{self._context.incarnation}:l{self._serial}")
        self._leases[lease] = _Lease(
            service=service, server=server, started_ms=self._context.now_ms()
        )
        self._in_flight[server] += 1
        return lease
