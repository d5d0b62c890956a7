"""Entry host's side of placement: requests slots from homes, or places locally if none answers."""

import collections
import math
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.messages import base
from verbenadrum.placement import budget, messages, parts, poison, signals
from verbenadrum.records import types

__all__ = ["EntrySide"]

# Timeouts for a home's answer: a round trip, plus the queueing delay of a 10 Mbit/s link that
# carries a few large responses.
_SAME_REGION_TIMEOUT_MS = 250.0
_OTHER_REGION_TIMEOUT_MS = 350.0
_QUEUED_RESEND_MS = 1_000.0
_SLOW_HOME_PENALTY_MS = 10_000.0
_FIRST_HEARTBEAT_MS = 300.0
_HEARTBEAT_INTERVAL_MS = 250.0
_ANSWERED_HEARTBEAT_INTERVAL_MS = 1_000.0
# Avoidance of a server that refused a connection, and retry delay of requests refused because no
# home answers.
_SHORT_AVOIDANCE_MS = 1_000.0
# A grant on a leaving server is returned and the request sent again at most this often.
_MAX_RETURNED_GRANTS = 3

PlacementCallback = Callable[[ports.Placement], None]


class _PendingRequest(msgspec.Struct, kw_only=True):
    """A request for a slot that waits for a home's answer.

    ``regions`` are the pool parts still to try, the current one first, and ``homes`` the candidates
    for home of the current part, without those that have timed out. ``home`` is the one to which
    the request was sent last.
    """

    number: int
    request: ports.PlacementRequest
    done: PlacementCallback
    regions: list[parts.Part]
    homes: list[ids.HostId]
    home: ids.HostId = ids.HostId("")
    sent_ms: float = -math.inf
    queued: bool = False
    # Number of the row of the same request at another home; the first grant ends both.
    sibling: int = 0
    # Whether another home has charged the attempt to the retry budget already.
    already_charged: bool = False
    # Whether this row was added while the request waits in the queue of another home.
    in_second_region: bool = False
    # Number of granted slots that were returned.
    returned_grants: int = 0


class _HeldLeaseRow(msgspec.Struct, kw_only=True):
    """A lease held by this host; the times are monotonic.

    ``homes`` are the hosts that count its slot: the one that granted it and those that have become
    home since. It is empty for a lease that this host granted itself.
    """

    lease: ids.LeaseId
    homes: list[ids.HostId]
    service: ids.ServiceId
    region: ids.RegionId
    server: ids.ServerId
    workspace: ids.WorkspaceId
    fingerprint: str
    started_ms: float
    heartbeat_ms: float
    trusted: bool
    response_started: bool = False
    # Published start time of the server's process; 0 if it is not known.
    server_started_wall_ms: float = 0.0


class EntrySide:
    """Pending requests for slots, and leases, of one entry host.

    Parameters
    ----------
    context : Context
        Clock, random numbers and decision log of this host.
    table : PartTable
        Parts of the pools and their homes.
    membership : MembershipPort
        Listed hosts.
    ledger : PoisonLedger
        Crashes and successes by request fingerprint, as this host has recorded them.
    signals : ServerSignals
        What servers have said of themselves, as this host knows it.
    send : callable
        Sends a message to a host, this one included.
    retries : RetryLimits
        Limits of the retry budget of each service.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        table: parts.PartTable,
        membership: ports.MembershipPort,
        ledger: poison.PoisonLedger,
        signals: signals.ServerSignals,
        send: Callable[[ids.HostId, base.Message], None],
        retries: budget.RetryLimits,
    ) -> None:
        self._context = context
        self._table = table
        self._membership = membership
        self._ledger = ledger
        self._signals = signals
        self._send = send
        self._pending: dict[int, _PendingRequest] = {}
        self._held: dict[ids.LeaseId, _HeldLeaseRow] = {}
        started_ms = context.now_ms()
        self._retry_buckets: dict[ids.ServiceId, budget.RetryBucket] = collections.defaultdict(
            lambda: budget.RetryBucket(limits=retries, started_ms=started_ms)
        )
        self._slow_homes_until_ms: dict[ids.HostId, float] = {}
        self._local_in_use: collections.Counter[ids.ServerId] = collections.Counter()
        self._avoided_until_ms: dict[ids.ServerId, float] = {}
        self._numbers = context.numbers()

    @property
    def held(self) -> dict[ids.LeaseId, _HeldLeaseRow]:
        """Leases that this host holds; the caller must not change the mapping."""
        return self._held

    def place(self, request: ports.PlacementRequest, done: PlacementCallback) -> None:
        """Request a slot from the home of the nearest part.

        ``done`` gets the placement, or a refusal, by the request's deadline.
        """
        pool_parts = self._table.parts(request.service)
        if not any(part.servers for part in pool_parts):
            done(_refusal("no-eligible-server"))
            return
        now_ms = self._context.now_ms()
        if self._ledger.state(request.fingerprint, now_ms) is poison.FingerprintState.POISON:
            done(_refusal("poison-request"))
            return
        if request.attempt == 0:
            self._retry_buckets[request.service].earn()
        near_first = sorted(pool_parts, key=lambda part: part.region != self._context.region)
        row = _PendingRequest(
            number=next(self._numbers), request=request, done=done, regions=near_first, homes=[]
        )
        self._pending[row.number] = row
        self._try_first_part(row)

    def may_retry(self, request: ports.PlacementRequest, *, hedge: bool) -> bool:
        """Return True: the home charges the retry budget when the slot is requested."""
        return True

    def response_started(
        self, lease: ids.LeaseId, *, draining: bool = False, limit_per_s: float | None = None
    ) -> None:
        """Record that the response to an attempt has begun, so that the attempt waits no longer.

        ``draining`` and ``limit_per_s`` are what its head tells of the server.
        """
        row = self._held.get(lease)
        if row is not None:
            self._record_signals(row, draining, limit_per_s)
        if row is not None and not row.response_started:
            row.response_started = True
            if row.homes and self._context.now_ms() - row.started_ms >= _FIRST_HEARTBEAT_MS:
                self._send_heartbeats([row])

    def complete(self, lease: ids.LeaseId, outcome: ports.Outcome) -> None:
        """Release a lease with its outcome; a second call is ignored."""
        row = self._held.pop(lease, None)
        if row is None:
            return
        now_ms = self._context.now_ms()
        self._record_signals(row, outcome.draining, outcome.limit_per_s)
        if outcome.rest_ms > 0.0 and self._signals.record_rest(
            row.server, row.server_started_wall_ms, outcome.rest_ms
        ):
            self._log_signal(row, "rest", {"rest_ms": round(outcome.rest_ms, 1)})
        if outcome.kind is ports.OutcomeKind.CONNECT_FAILED:
            self._avoided_until_ms[row.server] = now_ms + _SHORT_AVOIDANCE_MS
        if not row.homes:
            self._local_in_use[row.server] -= 1
            self._report_crash(row, outcome)
            return
        release = messages.Release(
            service=row.service,
            region=row.region,
            lease=lease,
            kind=outcome.kind.value,
            latency_ms=round(outcome.latency_ms, 1),
            bytes_sent=outcome.bytes_sent,
            draining=outcome.draining,
            refuses_connections=outcome.refuses_connections,
            started_wall_ms=row.server_started_wall_ms,
            limit_per_s=-1.0 if outcome.limit_per_s is None else outcome.limit_per_s,
            rest_ms=round(outcome.rest_ms, 1),
        )
        for home in row.homes:
            self._send(home, release)

    def on_answer(self, sender: ids.HostId, answer: messages.PlaceAnswer) -> None:
        """Handle a home's answer; a granted slot that is no longer needed is released at once."""
        # The home is alive although its answer may have been late. Using another one would divide
        # the counts of slots and the health evidence between two homes.
        self._slow_homes_until_ms.pop(sender, None)
        row = self._pending.get(answer.number)
        if answer.state == messages.PlaceState.GRANTED:
            self._apply_grant(sender, row, answer)
            return
        if row is None or sender != row.home:
            return
        if answer.state == messages.PlaceState.QUEUED:
            row.queued = True
            row.sent_ms = self._context.now_ms()
        elif answer.state == messages.PlaceState.QUEUED_OR_ELSEWHERE:
            row.queued = True
            row.sent_ms = self._context.now_ms()
            self._try_second_region(row)
        elif answer.state == messages.PlaceState.ELSEWHERE and len(row.regions) > 1:
            row.regions.pop(0)
            row.already_charged = True
            self._try_first_part(row)
        else:
            self._finish(row, _refusal(answer.reason, answer.retry_after_ms))

    def send_held_leases(
        self, service: ids.ServiceId, region: ids.RegionId, home: ids.HostId
    ) -> None:
        """Send a new home of a part the leases that this host holds there.

        They will be released at the new home as well as at earlier ones, which other hosts may
        still use.
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
        """Refuse overdue requests, retry those whose home does not answer, and send heartbeats."""
        now_ms = self._context.now_ms()
        for row in list(self._pending.values()):
            if row.number not in self._pending:
                # The same request was finished at the other home in this tick.
                continue
            if now_ms >= row.request.deadline_ms:
                self._finish(row, _refusal("deadline-passed"))
            elif row.queued and self._home_is_replaced(row):
                # Slots that the new home grants are released only there, so fewer become free for
                # the queue of the leaving home, which is lost when its process ends.
                self._withdraw(row)
                self._try_first_part(row)
            elif now_ms - row.sent_ms >= self._timeout_ms(row):
                self._on_timeout(row)
        self._send_heartbeats(
            [row for row in self._held.values() if row.homes and _is_heartbeat_due(row, now_ms)]
        )

    def home_candidates(self, service: ids.ServiceId, region: ids.RegionId) -> list[ids.HostId]:
        """Return the candidates for home of a part, best first, recently unresponsive ones last."""
        now_ms = self._context.now_ms()
        homes = list(self._table.home_candidates(service, region))
        homes.sort(key=lambda host: self._slow_homes_until_ms.get(host, 0.0) > now_ms)
        return homes

    def _home_is_replaced(self, row: _PendingRequest) -> bool:
        """Return whether the current home accepts no more work and another host can replace it."""
        if self._membership.accepts_work(row.home):
            return False
        part = row.regions[0]
        return bool(self._table.home_candidates(part.service, part.region))

    def _try_first_part(self, row: _PendingRequest) -> None:
        part = row.regions[0]
        row.homes = self.home_candidates(part.service, part.region)
        self._try_first_home(row)

    def _try_second_region(self, row: _PendingRequest) -> None:
        """Request a slot in the next region too, while the request waits in the current one."""
        if row.sibling in self._pending or len(row.regions) < 2:
            return
        second_row = _PendingRequest(
            number=next(self._numbers),
            request=row.request,
            done=row.done,
            regions=row.regions[1:],
            homes=[],
            sibling=row.number,
            already_charged=True,
            in_second_region=True,
        )
        row.sibling = second_row.number
        self._pending[second_row.number] = second_row
        self._try_first_part(second_row)

    def _try_first_home(self, row: _PendingRequest) -> None:
        if not row.homes and row.in_second_region:
            self._finish(row, _refusal("no-home"))
            return
        if not row.homes:
            self._place_locally(row)
            return
        part = row.regions[0]
        request = row.request
        now_ms = self._context.now_ms()
        row.home = row.homes[0]
        row.sent_ms = now_ms
        row.queued = False
        remaining_ms = min(request.deadline_ms - now_ms, 3_600_000.0)
        hosts = len(self._membership.hosts())
        self._send(
            row.home,
            messages.PlaceAsk(
                number=row.number,
                service=request.service,
                region=part.region,
                workspace=request.workspace,
                fingerprint=request.fingerprint,
                remaining_ms=round(remaining_ms, 1),
                idempotent=request.idempotent,
                is_last_region=len(row.regions) == 1,
                data_centre=self._context.data_centre,
                excluded=request.excluded,
                hedge=request.hedge,
                attempt=request.attempt,
                priority=request.priority,
                remaining_target_ms=(
                    max(1.0, round(request.target_ms - now_ms, 1)) if request.target_ms else 0.0
                ),
                from_other_region=part.region not in (self._context.region, parts.EVERYWHERE),
                already_charged=row.already_charged,
                retry_possible=request.retry_possible,
                retry_tokens=round(
                    self._retry_buckets[request.service].take_all(now_ms=now_ms, hosts=hosts), 6
                ),
            ),
        )

    def _on_timeout(self, row: _PendingRequest) -> None:
        if row.queued:
            # The home may have restarted and lost its queue, so the request is sent again.
            part = row.regions[0]
            row.homes = self.home_candidates(part.service, part.region) or row.homes
            self._try_first_home(row)
            return
        self._deprioritize_home(row)
        row.homes = row.homes[1:]
        self._try_first_home(row)

    def _deprioritize_home(self, row: _PendingRequest) -> None:
        """Move an unresponsive home to the end of the candidates for `_SLOW_HOME_PENALTY_MS`."""
        now_ms = self._context.now_ms()
        if self._slow_homes_until_ms.get(row.home, 0.0) <= now_ms:
            self._context.record_decision(
                ring.DecisionKind.HOME,
                "passed-over",
                "no-answer",
                subject=row.request.service,
                detail={
                    "home": row.home,
                    "region": row.regions[0].region,
                    "waited_ms": round(now_ms - row.sent_ms, 1),
                    "for_ms": _SLOW_HOME_PENALTY_MS,
                },
            )
        self._slow_homes_until_ms[row.home] = now_ms + _SLOW_HOME_PENALTY_MS

    def _apply_grant(
        self, sender: ids.HostId, row: _PendingRequest | None, answer: messages.PlaceAnswer
    ) -> None:
        lease = ids.LeaseId(answer.lease)
        if row is None:
            if lease not in self._held:
                self._return_slot(sender, lease)
            return
        part = row.regions[0]
        entry = self._table.server(row.request.service, answer.server)
        if entry is not None and self._must_not_use(entry):
            # The home has an older server list or has not heard the server's word, or this host was
            # paused before it read the grant.
            self._return_slot(sender, lease, entry)
            if sender == row.home:
                self._ask_for_another_server(row, answer.server)
            return
        if entry is not None and self._exceeds_limit(sender, entry, answer):
            # The home does not know of the limit that the server has named to this host.
            self._return_slot(sender, lease, entry)
            if sender == row.home:
                self._ask_for_another_server(row, "")
            return
        self._add_lease(
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

    def _must_not_use(self, entry: types.ServerEntry) -> bool:
        """Return whether a server is leaving, by its record or its word, or rests from this host.

        The word of a server without a start time is left to the home, which probes the server.
        """
        if entry.state is types.ServerState.LEAVING or self._signals.rest_ms(entry):
            return True
        return bool(entry.started_wall_ms) and self._signals.is_leaving(entry)

    def _exceeds_limit(
        self, home: ids.HostId, entry: types.ServerEntry, answer: messages.PlaceAnswer
    ) -> bool:
        """Return whether a grant was not charged to a limit that this host knows of.

        What the home knows counts if it is newer, and this host learns it.
        """
        if math.isinf(self._signals.limit_per_s(entry)):
            return False
        server = ids.ServerId(entry.server)
        if answer.limit_per_s < 0.0:
            return True
        if answer.limit_age_ms < self._signals.limit_age_ms(entry):
            self._signals.record_limit(
                server, entry.started_wall_ms, answer.limit_per_s, heard_from=home
            )
            return False
        return math.isinf(answer.limit_per_s)

    def _ask_for_another_server(self, row: _PendingRequest, server: str) -> None:
        """Request a slot again after a grant was returned, up to `_MAX_RETURNED_GRANTS` times.

        The new request excludes ``server``, unless that is empty.
        """
        row.returned_grants += 1
        if row.returned_grants > _MAX_RETURNED_GRANTS:
            self._finish(row, _refusal("no-eligible-server", _SHORT_AVOIDANCE_MS))
            return
        if server:
            row.request = msgspec.structs.replace(
                row.request, excluded=(*row.request.excluded, ids.ServerId(server))
            )
        row.already_charged = True
        self._try_first_home(row)

    def _record_signals(self, row: _HeldLeaseRow, leaving: bool, limit_per_s: float | None) -> None:
        """Record what the server of a lease has said about itself."""
        started_wall_ms = row.server_started_wall_ms
        if leaving and self._signals.record_leaving(row.server, started_wall_ms):
            self._log_signal(row, "leaving", {})
        if limit_per_s is not None and self._signals.record_limit(
            row.server, started_wall_ms, limit_per_s
        ):
            if math.isinf(limit_per_s):
                self._log_signal(row, "no-limit", {})
            else:
                self._log_signal(row, "limit", {"limit_per_s": limit_per_s})

    def _log_signal(self, row: _HeldLeaseRow, choice: str, detail: dict[str, float]) -> None:
        self._context.record_decision(
            ring.DecisionKind.SIGNAL,
            choice,
            "said-so",
            subject=row.server,
            detail={"started_wall_ms": row.server_started_wall_ms, **detail},
        )

    def _return_slot(
        self, home: ids.HostId, lease: ids.LeaseId, server: types.ServerEntry | None = None
    ) -> None:
        """Release a slot unused, and tell the home what its ``server`` has said to this host."""
        limit_per_s = -1.0
        if server is not None and math.isfinite(self._signals.limit_per_s(server)):
            limit_per_s = self._signals.limit_per_s(server)
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
                draining=server is not None and self._signals.is_leaving(server),
                started_wall_ms=0.0 if server is None else server.started_wall_ms,
                limit_per_s=limit_per_s,
                rest_ms=0.0 if server is None else round(self._signals.rest_ms(server), 1),
            ),
        )

    def _place_locally(self, row: _PendingRequest) -> None:
        """Place a request without a home, on the less loaded of two random servers.

        Only the requests that this host has placed there without a home count as load. They are
        limited for each server to this host's share of its slots.
        """
        part = row.regions[0]
        now_ms = self._context.now_ms()
        request = row.request
        if (request.attempt or request.hedge) and not self._may_retry_locally(request, now_ms):
            self._finish(row, _refusal("retry-budget-spent"))
            return
        state = self._ledger.state(row.request.fingerprint, now_ms)
        if state is poison.FingerprintState.SUSPECTED:
            self._finish(row, _refusal("poison-suspected", _SHORT_AVOIDANCE_MS))
            return
        slot_limit = self._local_slot_limit(part)
        free = [
            entry
            for entry in part.servers
            if entry.state is types.ServerState.LIVE
            and entry.server not in row.request.excluded
            and self._avoided_until_ms.get(entry.server, 0.0) <= now_ms
            and not self._signals.is_leaving(entry)
            and not self._signals.rest_ms(entry)
            # Only homes can keep to a limit that all hosts share.
            and math.isinf(self._signals.limit_per_s(entry))
            and self._local_in_use[entry.server] < slot_limit
        ]
        if not free:
            self._finish(row, _refusal("no-home", _SHORT_AVOIDANCE_MS))
            return
        pair = self._context.rng.sample(free, min(2, len(free)))
        chosen = min(pair, key=lambda entry: self._local_in_use[entry.server])
        server = ids.ServerId(chosen.server)
        self._local_in_use[server] += 1
        origin = f"{self._context.host}:{self._context.incarnation}"
        lease = ids.LeaseId(f"{origin}:alone:{row.number}")
        self._add_lease(
            row, lease=lease, homes=[], region=part.region, server=server, trusted=False
        )
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

    def _may_retry_locally(self, request: ports.PlacementRequest, now_ms: float) -> bool:
        """Spend a retry token without a home; return False for a hedge or if there is none."""
        hosts = len(self._membership.hosts())
        bucket = self._retry_buckets[request.service]
        return not request.hedge and bucket.try_spend(now_ms=now_ms, hosts=hosts)

    def _local_slot_limit(self, part: parts.Part) -> int:
        hosts = max(1, len(self._table.hosts(part.region)))
        return max(1, math.ceil(part.spec.slots / hosts))

    def _add_lease(
        self,
        row: _PendingRequest,
        *,
        lease: ids.LeaseId,
        homes: list[ids.HostId],
        region: ids.RegionId,
        server: ids.ServerId,
        trusted: bool,
    ) -> None:
        now_ms = self._context.now_ms()
        entry = self._table.server(row.request.service, server)
        self._held[lease] = _HeldLeaseRow(
            lease=lease,
            homes=homes,
            service=row.request.service,
            region=region,
            server=server,
            workspace=row.request.workspace,
            fingerprint=row.request.fingerprint,
            started_ms=now_ms,
            # Makes the first heartbeat due after `_FIRST_HEARTBEAT_MS`.
            heartbeat_ms=now_ms + _FIRST_HEARTBEAT_MS - _HEARTBEAT_INTERVAL_MS,
            trusted=trusted,
            server_started_wall_ms=0.0 if entry is None else entry.started_wall_ms,
        )

    def _finish(self, row: _PendingRequest, placement: ports.Placement) -> None:
        del self._pending[row.number]
        sibling = self._pending.get(row.sibling)
        if sibling is not None and placement.server is None:
            # The request is still pending at the other home.
            return
        if sibling is not None:
            del self._pending[sibling.number]
            self._withdraw(sibling)
        self._context.record_decision(
            ring.DecisionKind.PLACE,
            placement.server or "refused",
            placement.reason,
            subject=row.request.service,
            request=row.request.request,
            alternatives=tuple(part.region for part in row.regions[1:]),
            detail={"attempt": row.request.attempt, "home": row.home, "ask": row.number},
        )
        row.done(placement)

    def _withdraw(self, row: _PendingRequest) -> None:
        part = row.regions[0]
        message = messages.Withdraw(service=part.service, region=part.region, number=row.number)
        self._send(row.home, message)

    def _timeout_ms(self, row: _PendingRequest) -> float:
        if row.queued:
            return _QUEUED_RESEND_MS
        host = self._membership.row(row.home)
        in_region = host is not None and host.region == self._context.region
        return _SAME_REGION_TIMEOUT_MS if in_region else _OTHER_REGION_TIMEOUT_MS

    def _report_crash(self, row: _HeldLeaseRow, outcome: ports.Outcome) -> None:
        """Record a server's crash during a request placed locally, and notify the homes."""
        crashed = poison.is_server_crash(
            outcome.kind, refuses_connections=outcome.refuses_connections
        )
        if not crashed or not row.fingerprint:
            return
        use = poison.AllowanceUse(
            region=row.region,
            server=row.server,
            borrower="",
            trusted=row.trusted,
            at_ms=self._context.now_ms(),
        )
        self._ledger.add_use(row.fingerprint, row.lease, use)
        notice = messages.PoisonNotice(
            fingerprint=row.fingerprint,
            use=row.lease,
            region=row.region,
            server=row.server,
            borrower="",
            trusted=row.trusted,
        )
        for part in self._table.parts(row.service):
            for home in self._table.home_candidates(row.service, part.region):
                if home != self._context.host:
                    self._send(home, notice)

    def _send_heartbeats(self, rows: list[_HeldLeaseRow]) -> None:
        """Send each home of the leases one heartbeat message for each part."""
        now_ms = self._context.now_ms()
        groups: dict[tuple[str, str, str], list[_HeldLeaseRow]] = collections.defaultdict(list)
        for row in rows:
            row.heartbeat_ms = now_ms
            for home in row.homes:
                groups[home, row.service, row.region].append(row)
        for (home, service, region), group in groups.items():
            leases = tuple(row.lease for row in group)
            waited = tuple(
                0.0 if row.response_started else round(now_ms - row.started_ms, 1) for row in group
            )
            message = messages.Waiting(
                service=service, region=region, leases=leases, waited_ms=waited
            )
            self._send(ids.HostId(home), message)


def _is_heartbeat_due(row: _HeldLeaseRow, now_ms: float) -> bool:
    every_ms = _ANSWERED_HEARTBEAT_INTERVAL_MS if row.response_started else _HEARTBEAT_INTERVAL_MS
    return now_ms - row.heartbeat_ms >= every_ms


def _refusal(reason: str, retry_after_ms: float = 0.0) -> ports.Placement:
    return ports.Placement(server=None, reason=reason, retry_after_ms=retry_after_ms)
