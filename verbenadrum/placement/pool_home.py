"""Placer whose pools each have a home: a host that keeps the slots and gathers the evidence."""

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
)

__all__ = ["PoolHomePlacer"]

_DROP_IDLE_MS = 10_000.0
_ACTIVE_MS = 5_000.0

PartKey = tuple[ids.ServiceId, ids.RegionId]


@registry.placers.register("pool_home")
class PoolHomePlacer(system.System):
    """Entry side and home side of placement on one host.

    Which host is home is a matter of each entry host's own view, so that several hosts may act
    as home of one part for a while. Slots are then overfilled at worst; the ejections of all of
    them together stay within the pool's floor by `permits`.
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
        self._voucher = permits.Voucher(started_ms=context.now_ms())
        self._homes: dict[PartKey, home_side.PartHome] = {}
        self._permits: dict[PartKey, permits.PermitHolder] = {}
        # Parts of the kept repeats, with the state of the host list that they were worked out from.
        self._shares: dict[PartKey, tuple[int, float]] = {}
        self._most_hosts: collections.Counter[ids.RegionId] = collections.Counter()
        self._probe_homes: dict[ids.LeaseId, home_side.PartHome] = {}
        self._entry = entry_side.EntrySide(
            context=context,
            table=self._table,
            membership=membership,
            ledger=self._ledger,
            send=self._send,
            retries=retries,
        )
        self._own_handlers = {type_: method for type_, method in self.handlers()}

    @property
    def homes(self) -> dict[PartKey, home_side.PartHome]:
        """Pool parts that this host is home of; the caller must not change the mapping."""
        return self._homes

    @property
    def entry(self) -> entry_side.EntrySide:
        """Asks and leases of this host."""
        return self._entry

    def place(
        self, request: ports.PlacementRequest, done: Callable[[ports.Placement], None]
    ) -> None:
        """Ask a home for a server; ``done`` gets the placement by the request's deadline."""
        self._entry.place(request, done)

    def complete(self, lease: ids.LeaseId, outcome: ports.Outcome) -> None:
        """Release a lease with the attempt's outcome; a second call is ignored."""
        self._entry.complete(lease, outcome)

    def may_retry(self, request: ports.PlacementRequest, *, hedge: bool = False) -> bool:
        """Draw one retry or hedge of the service's budget; False if it is spent."""
        return self._entry.may_retry(request, hedge=hedge)

    def answered(self, lease: ids.LeaseId) -> None:
        """Note that the head of an attempt's answer has come."""
        self._entry.answered(lease)

    def take_probes(self) -> list[ports.ProbeOrder]:
        """Return the probes to send now; each is returned once."""
        orders = []
        for home in self._homes.values():
            for order in home.take_probes():
                self._probe_homes[order.lease] = home
                orders.append(order)
        return orders

    def probed(self, order: ports.ProbeOrder, outcome: ports.Outcome) -> None:
        """Report how a probe ended."""
        home = self._probe_homes.pop(order.lease, None)
        if home is not None:
            home.probed(order, outcome)

    def on_tick(self) -> None:
        """Run the entry side and every part that this host is home of."""
        self._entry.on_tick()
        now_ms = self._context.now_ms()
        for key, home in list(self._homes.items()):
            part = self._table.part(*key)
            if part is None or (home.idle and now_ms - home.last_asked_ms > _DROP_IDLE_MS):
                del self._homes[key]
                self._permits.pop(key, None)
                self._note_home(key, "ends", "pool-gone" if part is None else "unused")
                continue
            home.sync(part)
            home.on_tick()
            if home.ejector.wants_permits and now_ms - home.last_asked_ms <= _ACTIVE_MS:
                self._ask_permits(key)

    @system.handles(messages.PlaceAsk)
    def on_ask(self, sender: ids.HostId, message: messages.PlaceAsk) -> None:
        """Act as home for an entry host's ask."""
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
        home.ask(sender, message)

    @system.handles(messages.PlaceAnswer)
    def on_answer(self, sender: ids.HostId, message: messages.PlaceAnswer) -> None:
        """Take in a home's answer."""
        self._entry.on_answer(sender, message)

    @system.handles(messages.Release)
    def on_release(self, sender: ids.HostId, message: messages.Release) -> None:
        """Free a slot."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.release(sender, message)

    @system.handles(messages.Withdraw)
    def on_withdraw(self, sender: ids.HostId, message: messages.Withdraw) -> None:
        """Forget an ask that waits."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.withdraw(sender, message)

    @system.handles(messages.Waiting)
    def on_waiting(self, sender: ids.HostId, message: messages.Waiting) -> None:
        """Take in which leases an entry host still holds."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.still_waiting(message)

    @system.handles(messages.HomeHello)
    def on_hello(self, sender: ids.HostId, message: messages.HomeHello) -> None:
        """Tell a new home what this host holds."""
        self._entry.holding(ids.ServiceId(message.service), ids.RegionId(message.region), sender)

    @system.handles(messages.Holding)
    def on_holding(self, sender: ids.HostId, message: messages.Holding) -> None:
        """Take over leases from an earlier home."""
        home = self._homes.get((ids.ServiceId(message.service), ids.RegionId(message.region)))
        if home is not None:
            home.adopt(sender, message)

    @system.handles(messages.PoisonNotice)
    def on_poison(self, sender: ids.HostId, message: messages.PoisonNotice) -> None:
        """Remember what another host knows of a request that may crash servers."""
        now_ms = self._context.now_ms()
        if not message.unit:
            self._ledger.clear(message.fingerprint, now_ms)
        else:
            unit = poison.Unit(
                region=message.region,
                server=message.server,
                borrower=message.borrower,
                trusted=message.trusted,
                at_ms=now_ms,
            )
            self._ledger.add(message.fingerprint, message.unit, unit)
        for home in self._homes.values():
            home.suspicion_changed(message.fingerprint)

    @system.handles(messages.ReserveAsk)
    def on_reserve_ask(self, sender: ids.HostId, message: messages.ReserveAsk) -> None:
        """Lend this region's allowance for a suspected request, if it is unused."""
        key = (ids.ServiceId(message.service), ids.RegionId(message.region))
        home = self._home(key)
        granted = home is not None and home.lend(message.fingerprint)
        if granted:
            self._note_lent(key[0], message.region, message.own_region, message.fingerprint)
        answer = messages.ReserveAnswer(
            service=message.service,
            region=message.own_region,
            fingerprint=message.fingerprint,
            granted=granted,
            lender=message.region,
        )
        self._send(sender, answer)

    @system.handles(messages.ReserveAnswer)
    def on_reserve_answer(self, sender: ids.HostId, message: messages.ReserveAnswer) -> None:
        """Take in whether another region lends its allowance."""
        service = ids.ServiceId(message.service)
        if message.granted:
            self._note_lent(service, message.lender, message.region, message.fingerprint)
        home = self._homes.get((service, ids.RegionId(message.region)))
        if home is not None:
            home.reserved(message.fingerprint, message.granted)

    @system.handles(health_messages.VouchAsk)
    def on_vouch_ask(self, sender: ids.HostId, message: health_messages.VouchAsk) -> None:
        """Back a home's ejections if this host would ask it too and backs no other."""
        part = (ids.ServiceId(message.service), ids.RegionId(message.region))
        # A home that only a few cut-off hosts use gets no say over the servers of all.
        if self._entry.homes(*part)[:1] != [sender]:
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
        """Count a host that backs this home."""
        key = (ids.ServiceId(message.service), ids.RegionId(message.region))
        holder = self._permits.get(key)
        if holder is not None:
            holder.backed(
                host=sender,
                asked_ms=message.asked_ms,
                hosts=message.hosts,
                now_ms=self._context.now_ms(),
            )
            self._homes[key].on_backing()

    def _home(self, key: PartKey) -> home_side.PartHome | None:
        part = self._table.part(*key)
        if part is None or not part.servers:
            return None
        home = self._homes.get(key)
        if home is None:
            home = self._homes[key] = self._make_home(key, part)
            self._note_home(key, "acts", "asked")
            hello = messages.HomeHello(service=part.service, region=part.region)
            for row in self._membership.hosts():
                if row.host != self._context.host:
                    self._send(row.host, hello)
        home.sync(part)
        return home

    def _note_home(self, key: PartKey, choice: str, reason: str) -> None:
        service, region = key
        candidates = self._entry.homes(service, region)
        self._context.decide(
            ring.DecisionKind.HOME,
            choice,
            reason,
            subject=service,
            alternatives=tuple(host for host in candidates if host != self._context.host),
            detail={"region": region, "first": str(candidates[:1] == [self._context.host])},
        )

    def _make_home(self, key: PartKey, part: parts.Part) -> home_side.PartHome:
        holder = self._permits[key] = permits.PermitHolder()

        def permitted(allowance: int) -> int:
            hosts = len(self._table.hosts(part.region))
            now_ms = self._context.now_ms()
            return holder.allowed(allowance=allowance, hosts=hosts, now_ms=now_ms)

        return home_side.PartHome(
            context=self._context,
            part=part,
            judge=self._judge_type(),
            ledger=self._ledger,
            permits=permitted,
            weight=self._weight,
            regions=lambda: len(self._table.parts(part.service)),
            send=self._send,
            reserve=lambda fingerprint: self._reserve(key, fingerprint),
            spread=lambda notice: self._spread(part.service, notice),
            share=lambda: self._share(key),
            retries=self._retries,
        )

    def _share(self, key: PartKey) -> float:
        """Return this host's part of what the homes of a service may keep together.

        Of hosts that act as home of one part, those on two sides of a cut each have the part
        that they reach, and on one side only the first candidate has any.
        """
        changes = self._membership.changes
        known = self._shares.get(key)
        if known is not None and known[0] == changes:
            return known[1]
        service, region = key
        rows = self._table.hosts(region)
        self._most_hosts[region] = max(self._most_hosts[region], len(rows))
        own = self._context.host
        reached = sum(row.host == own or self._membership.reachable(row.host) for row in rows)
        first = self._table.homes(service, region)[:1] == (own,)
        share = reached / self._most_hosts[region] / len(self._table.parts(service)) * first
        self._shares[key] = (changes, share)
        return share

    def _weight(self, workspace: str) -> float:
        spec = self._records.workspace(ids.WorkspaceId(workspace))
        return 1.0 if spec is None else spec.weight

    def _ask_permits(self, key: PartKey) -> None:
        now_ms = self._context.now_ms()
        if not self._permits[key].due(now_ms):
            return
        service, region = key
        ask = health_messages.VouchAsk(service=service, region=region, asked_ms=now_ms)
        for row in self._table.hosts(region):
            self._send(row.host, ask)

    def _reserve(self, key: PartKey, fingerprint: str) -> None:
        service, region = key
        for part in self._table.parts(service):
            if part.region == region:
                continue
            ask = messages.ReserveAsk(
                service=service, region=part.region, own_region=region, fingerprint=fingerprint
            )
            for home in self._table.homes(service, part.region)[:1]:
                self._send(home, ask)

    def _note_lent(
        self, service: ids.ServiceId, lender: str, borrower: str, fingerprint: str
    ) -> None:
        notice = messages.PoisonNotice(
            fingerprint=fingerprint,
            unit=gate.unit_name(lender, borrower),
            region=lender,
            server="",
            borrower=borrower,
            trusted=False,
        )
        self.on_poison(self._context.host, notice)
        self._spread(service, notice)

    def _spread(self, service: ids.ServiceId, notice: messages.PoisonNotice) -> None:
        for part in self._table.parts(service):
            for home in self._table.homes(service, part.region):
                if home != self._context.host:
                    self._send(home, notice)

    def _send(self, host: ids.HostId, message: base.Message) -> None:
        if host != self._context.host:
            self._context.send(host, message)
            return
        self._own_handlers[type(message)](host, message)
