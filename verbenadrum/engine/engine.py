"""Assembles the systems of one host and passes them messages, ticks, records and requests.

This is the interface of the core to its shell, the program that performs the I/O: the daemon, a
test that steps the clock, or a benchmark. The core never opens a socket, sleeps or reads the
machine's clock.
"""

import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import registry as claim_registry
from verbenadrum.core import context, ports, system
from verbenadrum.dissemination import duty as platform_duty
from verbenadrum.dissemination import records as record_spread
from verbenadrum.dissemination import registry as duty_registry
from verbenadrum.dissemination import sampler
from verbenadrum.entry import pipeline
from verbenadrum.epochs import registry as epoch_registry
from verbenadrum.limits import registry as limit_registry
from verbenadrum.limits import tolerance as tolerances
from verbenadrum.membership import detector
from verbenadrum.membership import table as host_table
from verbenadrum.messages import base
from verbenadrum.placement import budget
from verbenadrum.placement import registry as placement_registry
from verbenadrum.records import store as record_store
from verbenadrum.records import table as record_table
from verbenadrum.records import types

__all__ = ["Choices", "Engine", "TICK_MS"]

# Interval at which the shell calls `Engine.on_tick`.
TICK_MS = 50.0


class Choices(msgspec.Struct, frozen=True, kw_only=True):
    """Registered name of the implementation to run for each system.

    Attributes
    ----------
    limits : str
        Rate limiter of workspaces.
    claims : str
        Claims of idempotency keys.
    epochs : str
        Agreement on the host list of a data centre.
    placement : str
        Choice of backend servers.
    health : str
        Detection and ejection of faulty backend servers.
    readers : str
        Choice of the hosts that read from the platform.
    host_list : str
        Source of the list of hosts.
    """

    limits: str = "escrow"
    claims: str = "witnessed"
    epochs: str = "vouched"
    placement: str = "pool_home"
    health: str = "sequential"
    readers: str = "rendezvous"
    host_list: str = "published"


class Engine:
    """Core of one host.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers, message sending and decision log of this host.
    choices : Choices
        Which implementations to run.
    address : str
        ``ip:port`` of this host's peer port, for replies of peers whose host list lacks it.
    seeds : tuple of str
        Peer addresses (``ip:port``) from which a starting host discovers the others.
    read_policy : ReadPolicy
        Timeouts and backoff of the calls to the platform.
    retries : RetryLimits
        Retry budget of each service.
    tolerance : Tolerance
        What may be admitted beyond the limits of a workspace.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        choices: Choices,
        address: str = "",
        seeds: tuple[str, ...] = (),
        read_policy: platform_duty.ReadPolicy = platform_duty.DEFAULT_POLICY,
        retries: budget.RetryLimits = budget.DEFAULT_LIMITS,
        tolerance: tolerances.Tolerance = tolerances.NO_TOLERANCE,
    ) -> None:
        self._context = context
        self.records = record_table.RecordTable()
        self.membership = host_table.HostTable()
        self.store = record_store.RecordStore(context=context, records=self.records)
        peers = sampler.PeerSampler(context=context, membership=self.membership)
        self.host_spread = duty_registry.host_list_systems.get(choices.host_list)(
            context=context,
            membership=self.membership,
            peers=peers,
            address=address,
            seeds=seeds,
        )
        self.record_spread = record_spread.RecordSpread(
            context=context,
            membership=self.membership,
            store=self.store,
            peers=peers,
            host_list=self.host_spread,
        )
        self.detector = detector.FailureDetector(
            context=context, membership=self.membership, peers=peers
        )
        self.read_scheduler = duty_registry.read_schedulers.get(choices.readers)(
            context=context,
            membership=self.membership,
            record_spread=self.record_spread,
            host_list=self.host_spread,
            policy=read_policy,
        )
        self.epochs = epoch_registry.epoch_systems.get(choices.epochs)(
            context=context, records=self.records, membership=self.membership
        )
        self.limiter = limit_registry.limiters.get(choices.limits)(
            context=context,
            records=self.records,
            membership=self.membership,
            epochs=self.epochs,
            tolerance=tolerance,
        )
        self.claims = claim_registry.claim_systems.get(choices.claims)(
            context=context,
            records=self.records,
            membership=self.membership,
            epochs=self.epochs,
        )
        self.placer = placement_registry.placers.get(choices.placement)(
            context=context,
            records=self.records,
            membership=self.membership,
            judge=choices.health,
            retries=retries,
        )
        self.pipeline = pipeline.EntryPipeline(
            context=context,
            records=self.records,
            limiter=self.limiter,
            claims=self.claims,
            placer=self.placer,
        )
        self._systems: tuple[system.System, ...] = (
            self.host_spread,
            self.record_spread,
            self.detector,
            self.read_scheduler,
            self.epochs,
            self.limiter,
            self.claims,
            self.placer,
            self.pipeline,
        )
        self._handlers = _collect_handlers(self._systems)

    @property
    def systems(self) -> tuple[system.System, ...]:
        """The systems of the core, in the order of their ticks."""
        return self._systems

    def on_message(self, sender: ids.HostId, message: base.Message) -> None:
        """Pass a decoded message to its handler; ``sender`` may be this host itself."""
        if sender != self._context.host:
            self.record_spread.on_peer_heard()
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def on_tick(self) -> None:
        """Run the periodic work of every system; call it every `TICK_MS`. Late calls are safe."""
        for each in self._systems:
            each.on_tick()

    @property
    def ready(self) -> bool:
        """Whether a host list and a first complete set of records are in force here.

        A host list that the hosts maintain themselves is never empty, so there a route or
        configuration record is required as well.
        """
        if not self.membership.revision or not self.record_spread.complete_revision:
            return False
        return self.host_spread.from_platform or self.records.configured

    def platform_read_plan(self) -> platform_duty.ReadPlan:
        """Return what the shell should read from the platform now; call it before each read."""
        return self.read_scheduler.plan()

    def on_platform_records(self, answer: platform_duty.RecordsAnswer) -> bool:
        """Apply records that the platform returned; return False for a stale answer."""
        return self.read_scheduler.on_records(answer)

    def on_platform_hosts(self, answer: platform_duty.HostsAnswer) -> bool:
        """Apply a host list that the platform returned; return False for a stale answer."""
        return self.read_scheduler.on_hosts(answer)

    def on_platform_failure(self, stream: platform_duty.Stream) -> None:
        """Record that a call to the platform failed or timed out; the next call backs off."""
        self.read_scheduler.on_failure(stream)

    def seed_request(self) -> base.Message:
        """Return the message to send to the seed peers while `ReadPlan.contact_seeds` is set."""
        return self.host_spread.list_request()

    def announce_shutdown(self) -> None:
        """Announce to the peers that this host is shutting down."""
        for each in self._systems:
            each.announce_shutdown()

    def cap_deadlines(self, deadline_ms: float, *, refuse_from_ms: float = math.inf) -> None:
        """Cap the deadlines of requests, because this host is shutting down.

        Parameters
        ----------
        deadline_ms : float
            Monotonic time by which requests without an answer are refused.
        refuse_from_ms : float
            Monotonic time from which new requests are refused if their deadline is later than
            ``deadline_ms``; those that are not idempotent are refused at once.
        """
        self.pipeline.cap_deadlines(deadline_ms, refuse_from_ms=refuse_from_ms)

    def apply_records(self, records: list[types.Record]) -> int:
        """Put records in force; return how many were newer than those in force before."""
        return sum(self.records.put(record) for record in records)

    def apply_hosts(self, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Put a host list in force if its revision is newer; return whether it is."""
        return self.membership.replace(revision, rows)

    def begin(self, head: ports.RequestHead, sink: ports.RequestSink) -> None:
        """Start a request; ``sink`` receives its dispatch orders and its refusal or replay."""
        self.pipeline.begin(head, sink)

    def commit(
        self,
        request: ids.RequestId,
        lease: ids.LeaseId,
        *,
        draining: bool = False,
        limit_per_s: float | None = None,
    ) -> bool:
        """Choose this attempt's answer, whose head has arrived, for the caller.

        The other attempts are cancelled. Returns False if another answer was chosen or the request
        has ended. ``draining`` and ``limit_per_s`` are what its head tells of the server, as in
        `ports.Outcome`.
        """
        return self.pipeline.commit(request, lease, draining=draining, limit_per_s=limit_per_s)

    def complete_attempt(
        self,
        request: ids.RequestId,
        lease: ids.LeaseId,
        outcome: ports.Outcome,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        """Report how an attempt ended, with its complete answer if it is small enough to store."""
        self.pipeline.complete_attempt(request, lease, outcome, answer)

    def abandon(self, request: ids.RequestId, reason: str) -> None:
        """End a request without an answer, for example because the caller disconnected."""
        self.pipeline.abandon(request, reason)

    def pop_due_probes(self) -> list[ports.ProbeOrder]:
        """Return the health probes to send now; call it after each tick."""
        return self.placer.pop_due_probes()

    def record_probe(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Report the outcome of a health probe."""
        self.placer.record_probe(order, outcome)


def _collect_handlers(
    systems: tuple[system.System, ...],
) -> dict[type[base.Message], Callable[..., None]]:
    """Return the handler of each message type; ValueError if two systems handle the same one."""
    handlers: dict[type[base.Message], Callable[..., None]] = {}
    for each in systems:
        for message_type, method in each.handlers():
            if message_type in handlers:
                raise ValueError(f"two systems handle {message_type.__name__}")
            handlers[message_type] = method
    return handlers
