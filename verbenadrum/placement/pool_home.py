"""Placer that coordinates the slots of each pool part at one host, the part's home.

Entry hosts request slots from the home. Every host is an entry host, and may be home of any number
of parts.
"""

import collections
from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.health import messages as health_messages
from verbenadrum.health import permits
from verbenadrum.health import registry as health_registry
from verbenadrum.messages import base
from verbenadrum.placement import (
    budget,
    entry_side,
    gate,
    home_side,
    messages,
    parts,
    poison,
    registry,
    signals,
)

__all__ = ["PoolHomePlacer"]

_IDLE_HOME_EXPIRY_MS = 10_000.0
_PERMIT_REQUEST_MAX_IDLE_MS = 5_000.0

PartKey = tuple[ids.ServiceId, ids.RegionId]


@registry.placers.register("pool_home")
class PoolHomePlacer(system.System):
    """Entry side and home side of placement on one host.

    Each entry host determines the home of a part from its own host list, so several hosts may act
    as home of one part for a while. At worst, servers then get more requests than they have slots.
    The ejections of all homes together still respect the pool's floor, by the quorum of
    `verbenadrum.health.permits`.

    Parameters
    ----------
    context : Context
        Clock, random numbers, messages and decision log of this host.
    records : RecordsPort
        Records in force.
    membership : MembershipPort
        Listed hosts.
    judge : str
        Name of the health judge in its registry.
    retries : RetryLimits
        Limits of the retry budget of each service.
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
        self._retries = retries
        self._records = records
        self._membership = membership
        self._judge_type = health_registry.judges.get(judge)
        self._table = parts.PartTable(records=records, membership=membership)
        self._ledger = poison.PoisonLedger()
        self._signals = signals.ServerSignals(now_ms=context.now_ms, host=context.host)
        self._voucher = permits.Voucher(started_ms=context.now_ms())
        self._homes: dict[PartKey, home_side.PartHome] = {}
        self._permits: dict[PartKey, permits.PermitHolder] = {}
        # Cached fractions of the retained retry tokens, with the host list's change count of each.
        self._retained_fractions: dict[PartKey, tuple[int, float]] = {}
        # Greatest number of hosts ever listed in each region: hosts that are no longer listed may
        # be partitioned and still act as homes.
        self._max_hosts: collections.Counter[ids.RegionId] = collections.Counter()
        self._probe_homes: dict[ids.LeaseId, home_side.PartHome] = {}
        self._entry = entry_side.EntrySide(
            context=context,
            table=self._table,
            membership=membership,
            ledger=self._ledger,
            signals=self._signals,
            send=self._send,
            retries=retries,
        )
        self._own_handlers = {type_: method for type_, method in self.handlers()}

    @property
    def homes(self) -> dict[PartKey, home_side.PartHome]:
        """Home sides of the parts that this host is home of; the caller must not change them."""
        return self._homes

    @property
    def entry_side(self) -> entry_side.EntrySide:
        """Pending requests and leases of this host as an entry host."""
        return self._entry

    def place(
        self, request: ports.PlacementRequest, done: Callable[[ports.Placement], None]
    ) -> None:
        """Request a slot from a home; ``done`` gets the placement by the request's deadline."""
        self._entry.place(request, done)

    def complete(self, lease: ids.LeaseId, outcome: ports.Outcome) -> None:
        """Release a lease with the attempt's outcome; a second call is ignored."""
        self._entry.complete(lease, outcome)

    def may_retry(self, request: ports.PlacementRequest, *, hedge: bool = False) -> bool:
        """Return True: the home charges the retry budget when the slot is requested."""
        return self._entry.may_retry(request, hedge=hedge)

    def response_started(
        self, lease: ids.LeaseId, *, draining: bool = False, limit_per_s: float | None = None
    ) -> None:
        """Record that the head of an attempt's response has arrived, with the server's signals."""
        self._entry.response_started(lease, draining=draining, limit_per_s=limit_per_s)

    def pop_due_probes(self) -> list[ports.ProbeOrder]:
        """Return the probes to send now; each is returned once."""
        orders = []
        for home in self._homes.values():
            for order in home.pop_due_probes():
                self._probe_homes[order.lease] = home
                orders.append(order)
        return orders

    def record_probe(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Apply the outcome of a probe; a second call is ignored."""
        home = self._probe_homes.pop(order.lease, None)
        if home is not None:
            home.record_probe(order, outcome)

    def server_signals(self) -> tuple[ports.ServerSignal, ...]:
        """Return the signals of servers that are in force on this host."""
        entries = (entry for pool in self._records.pools().values() for entry in pool.servers)
        return tuple(self._signals.in_force(entries))

    def on_tick(self) -> None:
        """Run the periodic work of the entry side and of every part that this host is home of."""
        self._entry.on_tick()
        now_ms = self._context.now_ms()
        for key, home in list(self._homes.items()):
            part = self._table.part(*key)
            if part is None or (home.idle and now_ms - home.last_request_ms > _IDLE_HOME_EXPIRY_MS):
                del self._homes[key]
                self._permits.pop(key, None)
                self._record_home_decision(key, "ends", "pool-gone" if part is None else "unused")
                continue
            home.sync(part)
            home.on_tick()
            if home.needs_votes and now_ms - home.last_request_ms <= _PERMIT_REQUEST_MAX_IDLE_MS:
                self._request_permits(key)

    @system.handles(messages.PlaceAsk)
    def on_ask(self, sender: ids.HostId, message: messages.PlaceAsk) -> None:
        """Handle an entry host's request for a slot, as home of the part."""
        key = (ids.ServiceId(message.service), ids.RegionId(message.region))
        home = self._home(key)
        if home is None:
            refusal = messages.PlaceAnswer(
                number=message.number,
                state=messages.PlaceState.REFUSED,
                reason="no-eligible-server",
            )
            self._send(sender, refusal)
            return
        home.request_slot(sender, message)

    @system.handles(messages.PlaceAnswer)
    def on_answer(self, sender: ids.HostId, message: messages.PlaceAnswer) -> None:
        """Handle a home's answer to a request for a slot."""
        self._entry.on_answer(sender, message)

    @system.handles(messages.Release)
    def on_release(self, sender: ids.HostId, message: messages.Release) -> None:
        """Free the slot of a lease that has ended."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.release(sender, message)

    @system.handles(messages.Withdraw)
    def on_withdraw(self, sender: ids.HostId, message: messages.Withdraw) -> None:
        """Remove a waiting request that the entry host no longer needs."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.withdraw(sender, message)

    @system.handles(messages.Waiting)
    def on_waiting(self, sender: ids.HostId, message: messages.Waiting) -> None:
        """Renew the leases in an entry host's heartbeat."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.renew_leases(message)

    @system.handles(messages.HomeHello)
    def on_hello(self, sender: ids.HostId, message: messages.HomeHello) -> None:
        """Send a new home the leases that this host holds."""
        self._entry.send_held_leases(
            ids.ServiceId(message.service), ids.RegionId(message.region), sender
        )

    @system.handles(messages.Holding)
    def on_holding(self, sender: ids.HostId, message: messages.Holding) -> None:
        """Count the leases that an entry host was granted by an earlier home."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.adopt_leases(sender, message)

    @system.handles(messages.PoisonNotice)
    def on_poison(self, sender: ids.HostId, message: messages.PoisonNotice) -> None:
        """Record a crash, a lent allowance or a success that another host reports."""
        now_ms = self._context.now_ms()
        if not message.use:
            self._ledger.record_success(message.fingerprint, now_ms)
        else:
            use = poison.AllowanceUse(
                region=message.region,
                server=message.server,
                borrower=message.borrower,
                trusted=message.trusted,
                at_ms=now_ms,
            )
            self._ledger.add_use(message.fingerprint, message.use, use)
        for home in self._homes.values():
            home.on_fingerprint_changed(message.fingerprint)

    @system.handles(messages.ReserveAsk)
    def on_reserve_ask(self, sender: ids.HostId, message: messages.ReserveAsk) -> None:
        """Lend this region's crash allowance for a request to another region, if it is unused."""
        key = (ids.ServiceId(message.service), ids.RegionId(message.region))
        home = self._home(key)
        granted = home is not None and home.can_lend_allowance(message.fingerprint)
        if granted:
            self._record_loan(key[0], message.region, message.borrower, message.fingerprint)
        answer = messages.ReserveAnswer(
            service=message.service,
            region=message.borrower,
            fingerprint=message.fingerprint,
            granted=granted,
            lender=message.region,
        )
        self._send(sender, answer)

    @system.handles(messages.ReserveAnswer)
    def on_reserve_answer(self, sender: ids.HostId, message: messages.ReserveAnswer) -> None:
        """Handle another region's answer to a request for its crash allowance."""
        service = ids.ServiceId(message.service)
        if message.granted:
            self._record_loan(service, message.lender, message.region, message.fingerprint)
        home = self._homes.get((service, ids.RegionId(message.region)))
        if home is not None:
            home.on_reserve_answer(message.fingerprint, message.granted)

    @system.handles(health_messages.VouchAsk)
    def on_vouch_ask(self, sender: ids.HostId, message: health_messages.VouchAsk) -> None:
        """Support a home's ejections if this host uses it too and supports no other home."""
        part = (ids.ServiceId(message.service), ids.RegionId(message.region))
        # A home that only a few partitioned hosts use must not eject servers that all hosts use.
        if self._entry.home_candidates(*part)[:1] != [sender]:
            return
        if not self._voucher.consent(part=part, home=sender, now_ms=self._context.now_ms()):
            return
        reply = health_messages.VouchReply(
            service=message.service,
            region=message.region,
            asked_ms=message.asked_ms,
            hosts=len(self._table.hosts(ids.RegionId(message.region))),
        )
        self._send(sender, reply)

    @system.handles(health_messages.VouchReply)
    def on_vouch_reply(self, sender: ids.HostId, message: health_messages.VouchReply) -> None:
        """Count a host that supports this home's ejections."""
        key = (ids.ServiceId(message.service), ids.RegionId(message.region))
        holder = self._permits.get(key)
        if holder is not None:
            holder.backed(
                host=sender,
                asked_ms=message.asked_ms,
                hosts=message.hosts,
                now_ms=self._context.now_ms(),
            )
            self._homes[key].on_permits_changed()

    def _home(self, key: PartKey) -> home_side.PartHome | None:
        part = self._table.part(*key)
        if part is None or not part.servers:
            return None
        home = self._homes.get(key)
        if home is None:
            home = self._homes[key] = self._make_home(key, part)
            self._record_home_decision(key, "acts", "asked")
            hello = messages.HomeHello(service=part.service, region=part.region)
            for row in self._membership.hosts():
                if row.host != self._context.host:
                    self._send(row.host, hello)
        home.sync(part)
        return home

    def _record_home_decision(self, key: PartKey, choice: str, reason: str) -> None:
        service, region = key
        candidates = self._entry.home_candidates(service, region)
        self._context.record_decision(
            ring.DecisionKind.HOME,
            choice,
            reason,
            subject=service,
            alternatives=tuple(host for host in candidates if host != self._context.host),
            detail={"region": region, "first": str(candidates[:1] == [self._context.host])},
        )

    def _make_home(self, key: PartKey, part: parts.Part) -> home_side.PartHome:
        holder = self._permits[key] = permits.PermitHolder()

        def permitted_ejections(max_ejections: int) -> int:
            hosts = len(self._table.hosts(part.region))
            now_ms = self._context.now_ms()
            return holder.permitted_ejections(
                max_ejections=max_ejections, hosts=hosts, now_ms=now_ms
            )

        def vote_share() -> float:
            hosts = len(self._table.hosts(part.region))
            return holder.share(hosts=hosts, now_ms=self._context.now_ms())

        return home_side.PartHome(
            context=self._context,
            part=part,
            judge=self._judge_type(),
            ledger=self._ledger,
            signals=self._signals,
            permits=permitted_ejections,
            vote_share=vote_share,
            weight=self._weight,
            part_count=lambda: len(self._table.parts(part.service)),
            send=self._send,
            request_allowance=lambda fingerprint: self._request_allowance(key, fingerprint),
            broadcast_notice=lambda notice: self._broadcast_notice(part.service, notice),
            retained_fraction=lambda: self._retained_fraction(key),
            retries=self._retries,
        )

    def _retained_fraction(self, key: PartKey) -> float:
        """Return this host's fraction of the retry tokens that a service's homes may retain.

        On each side of a network partition only the first candidate for home has a fraction, in
        proportion to the hosts that it reaches, so that the fractions sum to 1 at most.
        """
        change_count = self._membership.change_count
        cached = self._retained_fractions.get(key)
        if cached is not None and cached[0] == change_count:
            return cached[1]
        service, region = key
        rows = self._table.hosts(region)
        self._max_hosts[region] = max(self._max_hosts[region], len(rows))
        own = self._context.host
        reached = sum(row.host == own or self._membership.reachable(row.host) for row in rows)
        first = self._table.home_candidates(service, region)[:1] == (own,)
        retained_fraction = (
            reached / self._max_hosts[region] / len(self._table.parts(service)) * first
        )
        self._retained_fractions[key] = (change_count, retained_fraction)
        return retained_fraction

    def _weight(self, workspace: str) -> float:
        spec = self._records.workspace(ids.WorkspaceId(workspace))
        return 1.0 if spec is None else spec.weight

    def _request_permits(self, key: PartKey) -> None:
        now_ms = self._context.now_ms()
        if not self._permits[key].start_request_if_due(now_ms):
            return
        service, region = key
        ask = health_messages.VouchAsk(service=service, region=region, asked_ms=now_ms)
        for row in self._table.hosts(region):
            self._send(row.host, ask)

    def _request_allowance(self, key: PartKey, fingerprint: str) -> None:
        service, region = key
        for part in self._table.parts(service):
            if part.region == region:
                continue
            ask = messages.ReserveAsk(
                service=service, region=part.region, borrower=region, fingerprint=fingerprint
            )
            for home in self._table.home_candidates(service, part.region)[:1]:
                self._send(home, ask)

    def _record_loan(
        self, service: ids.ServiceId, lender: str, borrower: str, fingerprint: str
    ) -> None:
        notice = messages.PoisonNotice(
            fingerprint=fingerprint,
            use=gate.loan_id(lender, borrower),
            region=lender,
            server="",
            borrower=borrower,
            trusted=False,
        )
        self.on_poison(self._context.host, notice)
        self._broadcast_notice(service, notice)

    def _broadcast_notice(self, service: ids.ServiceId, notice: messages.PoisonNotice) -> None:
        for part in self._table.parts(service):
            for home in self._table.home_candidates(service, part.region):
                if home != self._context.host:
                    self._send(home, notice)

    def _send(self, host: ids.HostId, message: base.Message) -> None:
        if host != self._context.host:
            self._context.send(host, message)
            return
        self._own_handlers[type(message)](host, message)
