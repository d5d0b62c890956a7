"""Entry host's side of placement: asks the homes, and chooses alone where none answers."""

import collections
import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.messages import base
from verbenadrum.placement import budget, messages, parts, poison
from verbenadrum.records import types

__all__ = ["EntrySide"]

# A round trip, and the queue of a link of 10 Mbit/s that carries a few large answers.
_NEAR_TIMEOUT_MS = 250.0
_FAR_TIMEOUT_MS = 350.0
_QUEUED_RENEW_MS = 1_000.0
_SLOW_HOME_MS = 10_000.0
_WAITING_AFTER_MS = 300.0
_WAITING_EVERY_MS = 250.0
_ANSWERED_EVERY_MS = 1_000.0
_LOCAL_AVOID_MS = 1_000.0
_DRAINING_MS = 30_000.0

Done = Callable[[ports.Placement], None]


class _AskRow(msgspec.Struct, kw_only=True):
    """A request that waits for a home's answer."""

    number: int
    request: ports.PlacementRequest
    done: Done
    regions: list[parts.Part]
    homes: list[ids.HostId]
    asked: ids.HostId = ids.HostId("")
    sent_ms: float = -math.inf
    queued: bool = False
    # The same request's ask at another home; the first grant ends both.
    twin: int = 0
    # Whether another home has charged the retry budget for the request's repeat.
    counted: bool = False
    # Whether another home keeps a place in its queue for the request meanwhile.
    second: bool = False


class _HeldRow(msgspec.Struct, kw_only=True):
    """A lease held by this host.

    ``homes`` are the hosts that count it: the one that gave it and those that have become home
    since; none for a lease that this host gave itself.
    """

    lease: ids.LeaseId
    homes: list[ids.HostId]
    service: ids.ServiceId
    region: ids.RegionId
    server: ids.ServerId
    workspace: ids.WorkspaceId
    fingerprint: str
    started_ms: float
    said_ms: float
    trusted: bool
    answered: bool = False


class EntrySide:
    """Asks and leases of this host.

    Parameters
    ----------
    context : Context
        Clock, random numbers and decisions.
    table : PartTable
        Parts of the pools and their homes.
    membership : MembershipPort
        Listed hosts.
    ledger : PoisonLedger
        This host's memory of requests that crash servers.
    send : callable
        Sends a message to a host, this one included.
    retries : RetryLimits
        How many requests may be repeated.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        table: parts.PartTable,
        membership: ports.MembershipPort,
        ledger: poison.PoisonLedger,
        send: Callable[[ids.HostId, base.Message], None],
        retries: budget.RetryLimits,
    ) -> None:
        self._context = context
        self._table = table
        self._membership = membership
        self._ledger = ledger
        self._send = send
        self._asks: dict[int, _AskRow] = {}
        self._held: dict[ids.LeaseId, _HeldRow] = {}
        started_ms = context.now_ms()
        self._purses: dict[ids.ServiceId, budget.RetryPurse] = collections.defaultdict(
            lambda: budget.RetryPurse(limits=retries, started_ms=started_ms)
        )
        self._slow_homes: dict[ids.HostId, float] = {}
        self._local: collections.Counter[ids.ServerId] = collections.Counter()
        self._shunned: dict[ids.ServerId, float] = {}
        self._serial = 0

    @property
    def held(self) -> dict[ids.LeaseId, _HeldRow]:
        """Leases that this host holds; the caller must not change the mapping."""
        return self._held

    def place(self, request: ports.PlacementRequest, done: Done) -> None:
        """Ask the home of the nearest part for a slot."""
        found = self._table.parts(request.service)
        if not any(part.servers for part in found):
            done(_refusal("no-eligible-server"))
            return
        now_ms = self._context.now_ms()
        if self._ledger.suspicion(request.fingerprint, now_ms) is poison.Suspicion.POISON:
            done(_refusal("poison-request"))
            return
        if request.attempt == 0:
            self._purses[request.service].earn()
        self._serial += 1
        near_first = sorted(found, key=lambda part: part.region != self._context.region)
        row = _AskRow(number=self._serial, request=request, done=done, regions=near_first, homes=[])
        self._asks[row.number] = row
        self._ask_part(row)

    def may_retry(self, request: ports.PlacementRequest, *, hedge: bool) -> bool:
        """Return whether to ask for one more attempt; the home that grants it keeps the budget."""
        return True

    def answered(self, lease: ids.LeaseId) -> None:
        """Note that an attempt's answer has begun, so that its wait is over."""
        row = self._held.get(lease)
        if row is not None and not row.answered:
            row.answered = True
            if row.homes and self._context.now_ms() - row.started_ms >= _WAITING_AFTER_MS:
                self._say([row])

    def complete(self, lease: ids.LeaseId, outcome: ports.Outcome) -> None:
        """Release a lease with its outcome; a second call is ignored."""
        row = self._held.pop(lease, None)
        if row is None:
            return
        now_ms = self._context.now_ms()
        if outcome.draining:
            self._shunned[row.server] = now_ms + _DRAINING_MS
        elif outcome.kind is ports.OutcomeKind.CONNECT_FAILED:
            self._shunned[row.server] = now_ms + _LOCAL_AVOID_MS
        if not row.homes:
            self._local[row.server] -= 1
            self._remember_death(row, outcome)
            return
        release = messages.Release(
            service=row.service,
            region=row.region,
            lease=lease,
            kind=outcome.kind.value,
            latency_ms=round(outcome.latency_ms, 1),
            bytes_sent=outcome.bytes_sent,
            draining=outcome.draining,
            server_gone=outcome.server_gone,
        )
        for home in row.homes:
            self._send(home, release)

    def on_answer(self, sender: ids.HostId, answer: messages.PlaceAnswer) -> None:
        """Take in a home's answer; a slot that is no longer wanted goes back at once."""
        # A home whose answer was late lives, and to ask another one divides what it knows.
        self._slow_homes.pop(sender, None)
        row = self._asks.get(answer.number)
        if answer.state == messages.PlaceState.GRANTED:
            self._granted(sender, row, answer)
            return
        if row is None or sender != row.asked:
            return
        if answer.state == messages.PlaceState.QUEUED:
            row.queued = True
            row.sent_ms = self._context.now_ms()
        elif answer.state == messages.PlaceState.QUEUED_OR_ELSEWHERE:
            row.queued = True
            row.sent_ms = self._context.now_ms()
            self._ask_second(row)
        elif answer.state == messages.PlaceState.ELSEWHERE and len(row.regions) > 1:
            row.regions.pop(0)
            row.counted = True
            self._ask_part(row)
        else:
            self._finish(row, _refusal(answer.reason, answer.retry_after_ms))

    def holding(self, service: ids.ServiceId, region: ids.RegionId, home: ids.HostId) -> None:
        """Tell a new home of a part which leases this host holds, and release to it as well.

        An earlier home may still act, as far as other hosts believe.
        """
        rows = [
            row
            for row in self._held.values()
            if row.service == service and row.region == region and row.homes
        ]
        if not rows:
            return
        for row in rows:
            if home not in row.homes:
                row.homes.append(home)
        now_ms = self._context.now_ms()
        held = tuple(
            messages.HeldLease(
                lease=row.lease,
                server=row.server,
                workspace=row.workspace,
                fingerprint=row.fingerprint,
                waited_ms=round(now_ms - row.started_ms, 1),
                trusted=row.trusted,
            )
            for row in rows
        )
        self._send(
            home,
            messages.Holding(
                service=service,
                region=region,
                data_centre=self._context.data_centre,
                leases=held,
            ),
        )

    def on_tick(self) -> None:
        """Turn to the next home where one is silent, and say which leases are still held."""
        now_ms = self._context.now_ms()
        for row in list(self._asks.values()):
            if row.number not in self._asks:
                # Its twin was granted a slot in this tick.
                continue
            if now_ms >= row.request.deadline_ms:
                self._finish(row, _refusal("deadline-passed"))
            elif row.queued and self._home_moved(row):
                # A home that leaves is told of no more free slots, so its queue stands still.
                self._withdraw(row)
                self._ask_part(row)
            elif now_ms - row.sent_ms >= self._timeout_ms(row):
                self._on_silence(row)
        self._say([row for row in self._held.values() if row.homes and _due(row, now_ms)])

    def homes(self, service: ids.ServiceId, region: ids.RegionId) -> list[ids.HostId]:
        """Return the hosts to ask for a part; those that were silent lately come last."""
        now_ms = self._context.now_ms()
        homes = list(self._table.homes(service, region))
        homes.sort(key=lambda host: self._slow_homes.get(host, 0.0) > now_ms)
        return homes

    def _home_moved(self, row: _AskRow) -> bool:
        """Return whether the home that was asked leaves, and another one takes its place."""
        if self._membership.takes_work(row.asked):
            return False
        part = row.regions[0]
        return bool(self._table.homes(part.service, part.region))

    def _ask_part(self, row: _AskRow) -> None:
        part = row.regions[0]
        row.homes = self.homes(part.service, part.region)
        self._ask_home(row)

    def _ask_second(self, row: _AskRow) -> None:
        """Ask the next region as well, while the request waits in the first one's queue."""
        if row.twin in self._asks or len(row.regions) < 2:
            return
        self._serial += 1
        second = _AskRow(
            number=self._serial,
            request=row.request,
            done=row.done,
            regions=row.regions[1:],
            homes=[],
            twin=row.number,
            counted=True,
            second=True,
        )
        row.twin = second.number
        self._asks[second.number] = second
        self._ask_part(second)

    def _ask_home(self, row: _AskRow) -> None:
        if not row.homes and row.second:
            self._finish(row, _refusal("no-home"))
            return
        if not row.homes:
            self._place_alone(row)
            return
        part = row.regions[0]
        request = row.request
        now_ms = self._context.now_ms()
        row.asked = row.homes[0]
        row.sent_ms = now_ms
        row.queued = False
        remaining_ms = min(request.deadline_ms - now_ms, 3_600_000.0)
        hosts = len(self._membership.hosts())
        self._send(
            row.asked,
            messages.PlaceAsk(
                number=row.number,
                service=request.service,
                region=part.region,
                workspace=request.workspace,
                fingerprint=request.fingerprint,
                remaining_ms=round(remaining_ms, 1),
                idempotent=request.idempotent,
                last=len(row.regions) == 1,
                data_centre=self._context.data_centre,
                excluded=request.excluded,
                hedge=request.hedge,
                attempt=request.attempt,
                priority=request.priority,
                target_ms=(
                    max(1.0, round(request.target_ms - now_ms, 1)) if request.target_ms else 0.0
                ),
                far=part.region not in (self._context.region, parts.EVERYWHERE),
                counted=row.counted,
                repeatable=request.repeatable,
                tokens=round(self._purses[request.service].take(now_ms=now_ms, hosts=hosts), 6),
            ),
        )

    def _on_silence(self, row: _AskRow) -> None:
        if row.queued:
            # The home may have lost the ask with its life, so it is asked for again.
            part = row.regions[0]
            row.homes = self.homes(part.service, part.region) or row.homes
            self._ask_home(row)
            return
        self._pass_over(row)
        row.homes = row.homes[1:]
        self._ask_home(row)

    def _pass_over(self, row: _AskRow) -> None:
        """Ask a silent home last for a while."""
        now_ms = self._context.now_ms()
        if self._slow_homes.get(row.asked, 0.0) <= now_ms:
            self._context.decide(
                ring.DecisionKind.HOME,
                "passed-over",
                "no-answer",
                subject=row.request.service,
                detail={
                    "home": row.asked,
                    "region": row.regions[0].region,
                    "waited_ms": round(now_ms - row.sent_ms, 1),
                    "for_ms": _SLOW_HOME_MS,
                },
            )
        self._slow_homes[row.asked] = now_ms + _SLOW_HOME_MS

    def _granted(
        self, sender: ids.HostId, row: _AskRow | None, answer: messages.PlaceAnswer
    ) -> None:
        lease = ids.LeaseId(answer.lease)
        if row is None:
            if lease not in self._held:
                self._give_back(sender, lease)
            return
        part = row.regions[0]
        if self._is_leaving(row.request.service, answer.server):
            # The home has not heard yet, or this host was paused while the grant waited.
            self._give_back(sender, lease)
            row.sent_ms = -math.inf
            row.queued = False
            return
        self._hold(
            row,
            lease=lease,
            homes=[sender],
            region=part.region,
            server=ids.ServerId(answer.server),
            trusted=answer.trusted,
        )
        self._finish(
            row,
            ports.Placement(
                server=ids.ServerId(answer.server),
                reason=answer.reason,
                lease=lease,
                address=answer.address,
                until_ms=row.request.deadline_ms,
                hedge_after_ms=answer.hedge_after_ms,
            ),
        )

    def _is_leaving(self, service: ids.ServiceId, server: str) -> bool:
        leaving = types.ServerState.LEAVING
        return any(
            entry.server == server and entry.state is leaving
            for part in self._table.parts(service)
            for entry in part.servers
        )

    def _give_back(self, home: ids.HostId, lease: ids.LeaseId) -> None:
        _, _, service, region, _ = lease.rsplit(":", 4)
        self._send(
            home,
            messages.Release(
                service=service,
                region=region,
                lease=lease,
                kind=ports.OutcomeKind.CANCELLED.value,
                latency_ms=0.0,
                bytes_sent=False,
            ),
        )

    def _place_alone(self, row: _AskRow) -> None:
        """Choose the less loaded of two servers, within a small allowance of this host's own."""
        part = row.regions[0]
        now_ms = self._context.now_ms()
        request = row.request
        if (request.attempt or request.hedge) and not self._draw_alone(request, now_ms):
            self._finish(row, _refusal("retry-budget-spent"))
            return
        suspicion = self._ledger.suspicion(row.request.fingerprint, now_ms)
        if suspicion is poison.Suspicion.SUSPECTED:
            self._finish(row, _refusal("poison-suspected", _LOCAL_AVOID_MS))
            return
        most = self._local_allowance(part)
        free = [
            entry
            for entry in part.servers
            if entry.state is types.ServerState.LIVE
            and entry.server not in row.request.excluded
            and self._shunned.get(entry.server, 0.0) <= now_ms
            and self._local[entry.server] < most
        ]
        if not free:
            self._finish(row, _refusal("no-home", _LOCAL_AVOID_MS))
            return
        pair = self._context.rng.sample(free, min(2, len(free)))
        chosen = min(pair, key=lambda entry: self._local[entry.server])
        server = ids.ServerId(chosen.server)
        self._local[server] += 1
        origin = f"{self._context.host}:{self._context.incarnation}"
        lease = ids.LeaseId(f"{origin}:alone:{row.number}")
        self._hold(row, lease=lease, homes=[], region=part.region, server=server, trusted=False)
        self._finish(
            row,
            ports.Placement(
                server=server,
                reason="no-home-answered",
                lease=lease,
                address=chosen.address,
                until_ms=row.request.deadline_ms,
            ),
        )

    def _draw_alone(self, request: ports.PlacementRequest, now_ms: float) -> bool:
        """Return whether this host may repeat a request that no home knows of; never a hedge."""
        hosts = len(self._membership.hosts())
        purse = self._purses[request.service]
        return not request.hedge and purse.draw(now_ms=now_ms, hosts=hosts)

    def _local_allowance(self, part: parts.Part) -> int:
        hosts = max(1, len(self._table.hosts(part.region)))
        return max(1, math.ceil(part.spec.slots / hosts))

    def _hold(
        self,
        row: _AskRow,
        *,
        lease: ids.LeaseId,
        homes: list[ids.HostId],
        region: ids.RegionId,
        server: ids.ServerId,
        trusted: bool,
    ) -> None:
        now_ms = self._context.now_ms()
        self._held[lease] = _HeldRow(
            lease=lease,
            homes=homes,
            service=row.request.service,
            region=region,
            server=server,
            workspace=row.request.workspace,
            fingerprint=row.request.fingerprint,
            started_ms=now_ms,
            said_ms=now_ms + _WAITING_AFTER_MS - _WAITING_EVERY_MS,
            trusted=trusted,
        )

    def _finish(self, row: _AskRow, placement: ports.Placement) -> None:
        del self._asks[row.number]
        twin = self._asks.get(row.twin)
        if twin is not None and placement.server is None:
            # The request still waits at the other home.
            return
        if twin is not None:
            del self._asks[twin.number]
            self._withdraw(twin)
        self._context.decide(
            ring.DecisionKind.PLACE,
            placement.server or "refused",
            placement.reason,
            subject=row.request.service,
            request=row.request.request,
            alternatives=tuple(part.region for part in row.regions[1:]),
            detail={"attempt": row.request.attempt, "home": row.asked, "ask": row.number},
        )
        row.done(placement)

    def _withdraw(self, row: _AskRow) -> None:
        part = row.regions[0]
        message = messages.Withdraw(service=part.service, region=part.region, number=row.number)
        self._send(row.asked, message)

    def _timeout_ms(self, row: _AskRow) -> float:
        if row.queued:
            return _QUEUED_RENEW_MS
        host = self._membership.row(row.asked)
        near = host is not None and host.region == self._context.region
        return _NEAR_TIMEOUT_MS if near else _FAR_TIMEOUT_MS

    def _remember_death(self, row: _HeldRow, outcome: ports.Outcome) -> None:
        """Note a server's death under a request that was placed alone, and tell the homes."""
        died = poison.is_death(outcome.kind, server_gone=outcome.server_gone)
        if not died or not row.fingerprint:
            return
        unit = poison.Unit(
            region=row.region,
            server=row.server,
            borrower="",
            trusted=row.trusted,
            at_ms=self._context.now_ms(),
        )
        self._ledger.add(row.fingerprint, row.lease, unit)
        notice = messages.PoisonNotice(
            fingerprint=row.fingerprint,
            unit=row.lease,
            region=row.region,
            server=row.server,
            borrower="",
            trusted=row.trusted,
        )
        for part in self._table.parts(row.service):
            for home in self._table.homes(row.service, part.region):
                if home != self._context.host:
                    self._send(home, notice)

    def _say(self, rows: list[_HeldRow]) -> None:
        """Send one message for each home and part with the leases that are still held."""
        now_ms = self._context.now_ms()
        groups: dict[tuple[str, str, str], list[_HeldRow]] = collections.defaultdict(list)
        for row in rows:
            row.said_ms = now_ms
            for home in row.homes:
                groups[home, row.service, row.region].append(row)
        for (home, service, region), group in groups.items():
            leases = tuple(row.lease for row in group)
            waited = tuple(
                0.0 if row.answered else round(now_ms - row.started_ms, 1) for row in group
            )
            message = messages.Waiting(
                service=service, region=region, leases=leases, waited_ms=waited
            )
            self._send(ids.HostId(home), message)


def _due(row: _HeldRow, now_ms: float) -> bool:
    every_ms = _ANSWERED_EVERY_MS if row.answered else _WAITING_EVERY_MS
    return now_ms - row.said_ms >= every_ms


def _refusal(reason: str, retry_after_ms: float = 0.0) -> ports.Placement:
    return ports.Placement(server=None, reason=reason, retry_after_ms=retry_after_ms)
