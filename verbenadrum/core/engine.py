"""Builds the systems of one host and passes them messages, ticks, records and requests.

This is the port that any shell drives: the daemon, a test that steps time by hand, or another
program's bench. It never opens a socket, sleeps or reads the machine's clock.
"""

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
from verbenadrum.membership import detector
from verbenadrum.membership import table as host_table
from verbenadrum.messages import base
from verbenadrum.placement import budget
from verbenadrum.placement import registry as placement_registry
from verbenadrum.records import store as record_store
from verbenadrum.records import table as record_table
from verbenadrum.records import types

__all__ = ["Choices", "Engine", "TICK_MS"]

TICK_MS = 50.0


class Choices(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the behaviours to run, each in its register."""

    limits: str = "escrow"
    claims: str = "witnessed"
    epochs: str = "vouched"
    placement: str = "pool_home"
    health: str = "sequential"
    readers: str = "rendezvous"
    host_list: str = "published"


class Engine:
    """Decision core of one host.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers, sending and decisions.
    choices : Choices
        Which behaviours to run.
    address : str
        ``ip:port`` of this host's peer port, for answers before the host list names it.
    seeds : tuple of str
        Peer addresses through which the other hosts are found.
    read_policy : ReadPolicy
        Times of the platform's readers.
    retries : RetryLimits
        How many requests of a service may be repeated.
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
            records=self.store,
            peers=peers,
            hosts=self.host_spread,
        )
        self.detector = detector.FailureDetector(
            context=context, membership=self.membership, peers=peers
        )
        self.duty = duty_registry.reader_duties.get(choices.readers)(
            context=context,
            membership=self.membership,
            records=self.record_spread,
            hosts=self.host_spread,
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
        self.entry = pipeline.EntryPipeline(
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
            self.duty,
            self.epochs,
            self.limiter,
            self.claims,
            self.placer,
            self.entry,
        )
        self._handlers = _collect_handlers(self._systems)

    def on_message(self, sender: ids.HostId, message: base.Message) -> None:
        """Pass a decoded message of another host, or of this one, to its handler."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def on_tick(self) -> None:
        """Run every system over its tables; due every `TICK_MS`, but safe when late."""
        for each in self._systems:
            each.on_tick()

    @property
    def ready(self) -> bool:
        """Whether a host list and a first whole set of records are in force here.

        Hosts that keep their list themselves always have one, so there a configuration is needed
        as well.
        """
        if not self.membership.revision or not self.record_spread.complete_to:
            return False
        return self.host_spread.published or self.records.configured

    def reader_duty(self) -> platform_duty.Duty:
        """Return what the shell should read from the platform now; ask before each call."""
        return self.duty.duty()

    def on_platform_records(self, answer: platform_duty.RecordsAnswer) -> bool:
        """Take an answer of the platform, and return False if it is stale."""
        return self.duty.on_records(answer)

    def on_platform_hosts(self, answer: platform_duty.HostsAnswer) -> bool:
        """Take a host list of the platform, and return False if it is stale."""
        return self.duty.on_hosts(answer)

    def on_platform_failure(self, stream: platform_duty.Stream) -> None:
        """Note that a call to the platform failed or timed out."""
        self.duty.on_failure(stream)

    def seed_request(self) -> base.Message:
        """Return the message to send to a seed peer while `Duty.ask_seeds` is set."""
        return self.host_spread.pull_request()

    def leave(self, ends_ms: float) -> None:
        """Tell the peers that this host shuts down, and end its requests by a monotonic time."""
        self.detector.leave()
        self.entry.cap_deadlines(ends_ms)

    def refuse_late(self) -> None:
        """Refuse new requests that may take longer than this host still runs."""
        self.entry.refuse_past_shutdown()

    def apply_records(self, records: list[types.Record]) -> int:
        """Put records in force, and return how many were newer than those held."""
        return sum(self.records.put(record) for record in records)

    def apply_hosts(self, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Put a host list in force if it is newer, and return whether it was."""
        return self.membership.replace(revision, rows)

    def begin(self, head: ports.RequestHead, sink: ports.RequestSink) -> None:
        """Start a caller's request."""
        self.entry.begin(head, sink)

    def commit(self, request: ids.RequestId, lease: ids.LeaseId) -> bool:
        """Return whether this attempt's answer is the one to pass to the caller."""
        return self.entry.commit(request, lease)

    def outcome(
        self,
        request: ids.RequestId,
        lease: ids.LeaseId,
        outcome: ports.Outcome,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        """Report how an attempt ended, with its whole answer if it is small and known."""
        self.entry.outcome(request, lease, outcome, answer)

    def abandon(self, request: ids.RequestId, reason: str) -> None:
        """Report why a caller gets no answer, such as that it has left."""
        self.entry.abandon(request, reason)

    def take_probes(self) -> list[ports.ProbeOrder]:
        """Return the probes of backend servers to send now; due after each tick."""
        return self.placer.take_probes()

    def probed(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Report how a probe ended."""
        self.placer.probed(order, outcome)


def _collect_handlers(
    systems: tuple[system.System, ...],
) -> dict[type[base.Message], Callable[..., None]]:
    handlers: dict[type[base.Message], Callable[..., None]] = {}
    for each in systems:
        for message_type, method in each.handlers():
            if message_type in handlers:
                raise ValueError(f"two systems handle {message_type.__name__}")
            handlers[message_type] = method
    return handlers
