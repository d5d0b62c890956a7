"""Limiter in which a workspace's rate and burst are shares that are lent to one home at a time.

Each workspace has a few lenders, which own the shares of its rate and burst. Its home, the host
that keeps its token bucket, borrows them for a short time while the workspace is used, so two homes
together never fill more than one bucket. An entry host, which is a host that receives a caller's
request, requests a token from the home before it admits the request.

An entry host may admit a few requests without asking, as long as no more than its part of the
tolerance are unaccounted for: what it admits so is reported to the home, and counts until the home
has covered it by tokens, or for the length of the window. Lenders hand out another part of the
tolerance while a home has fallen silent and its loans have not ended.

The bound follows: in any window, the buckets give out ``rate * window + burst`` at most, and all
other admissions come out of the tolerance, of which each host has its own part.
"""

import collections
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import lenders, loans, messages, meters, registry, usage
from verbenadrum.limits import tolerance as tolerances
from verbenadrum.messages import base
from verbenadrum.records import types

__all__ = ["MeteredLimiter"]

_REPORT_INTERVAL_MS = 250.0
_ASK_FIRST_LIFETIME_MS = 5_000.0
# Covers a round trip between regions plus the queueing delay of a busy link.
_REPLY_TIMEOUT_MS = tolerances.GRANT_DELAY_MS
_AVOID_HOME_MS = 1_000.0
_MAX_HOMES = 4
_HOUSEKEEPING_INTERVAL_MS = 2_000.0
_IDLE_EXPIRY_MS = 10_000.0
# A process that started this recently expects to meet its first peer shortly.
_JOIN_WAIT_MS = 1_000.0
# A process that started this recently may have an incomplete host list.
_FORMING_MS = 2_000.0
# When a caller should come back to a host that has found no peer yet.
_SEEKING_RETRY_MS = 1_000.0
# The number of hosts that divides the tolerance is the greatest of the last minutes.
_PEAK_PERIOD_MS = 120_000.0

_GRANTED = ports.Admission(granted=True, reason="within-rate")
_UNAVAILABLE = ports.Admission(
    granted=False, reason="limit-unavailable", retry_after_ms=_REPLY_TIMEOUT_MS
)
_SEEKING = ports.Admission(
    granted=False, reason="limit-unavailable", retry_after_ms=_SEEKING_RETRY_MS
)
_UNKNOWN = ports.Admission(granted=False, reason="unknown-workspace")


class _Unaccounted(msgspec.Struct, kw_only=True):
    """A request that was admitted without asking, and the report that told the home of it."""

    at_ms: float
    report: int = 0


class _Account(msgspec.Struct, kw_only=True):
    """State of one workspace on this entry host.

    Attributes
    ----------
    last_used_ms : float
        Monotonic time of the last access to this account.
    unaccounted : deque of _Unaccounted
        Requests admitted without asking that no home has covered, oldest first.
    ask_first_until_ms : float
        Monotonic time until which a token is requested before each admission.
    refuse_until_ms : float
        Monotonic time before which the home would refuse a token, so that none is requested.
    extra_retry_ms : float
        Milliseconds that a refused caller should wait after ``refuse_until_ms``.
    home : HostId
        Host that answered last, which is asked first while it answers as a home.
    """

    last_used_ms: float
    unaccounted: collections.deque[_Unaccounted] = msgspec.field(default_factory=collections.deque)
    ask_first_until_ms: float = 0.0
    refuse_until_ms: float = 0.0
    extra_retry_ms: float = 0.0
    home: ids.HostId = ids.HostId("")


class _PendingRequest(msgspec.Struct, kw_only=True):
    """A request that waits for a home's reply.

    ``homes`` lists the hosts to ask, the current one first, and ``asked`` those before. The last
    of these that did not answer in time is ``silent``. Until ``ask_again_until_ms`` all homes are
    asked once more, since the host list is still being formed.
    """

    workspace: ids.WorkspaceId
    done: Callable[[ports.Admission], None]
    homes: list[ids.HostId]
    deadline_ms: float
    reply_deadline_ms: float = 0.0
    asked: list[ids.HostId] = msgspec.field(default_factory=list)
    silent: str = ""
    ask_again_until_ms: float = 0.0


class _HeldAsk(msgspec.Struct, frozen=True, kw_only=True):
    """A token request that waits at this host until it has borrowed a share."""

    sender: ids.HostId
    number: int
    until_ms: float


@registry.limiters.register("metered")
class MeteredLimiter(system.System):
    """Runs the entry host's, the home's and the lender's side of the limiter on each host.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers, sending and decision log.
    records : RecordsPort
        Limits of the workspaces.
    membership : MembershipPort
        Listed hosts, and which of them are reachable.
    epochs : EpochPort
        Not used.
    tolerance : Tolerance
        What may be admitted beyond the limits.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
        tolerance: tolerances.Tolerance = tolerances.NO_TOLERANCE,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._membership = membership
        self._tolerance = tolerance
        lender_list = lenders.LenderList(context=context, records=records, membership=membership)
        self._meters = meters.MeterTable(context=context, records=records, lender_list=lender_list)
        self._loans = loans.LoanBook(
            context=context,
            records=records,
            lender_list=lender_list,
            tolerance=tolerance,
        )
        self._started_ms = context.now_ms()
        self._host_count = tolerances.PeakCount(period_ms=_PEAK_PERIOD_MS)
        self._accounts: dict[ids.WorkspaceId, _Account] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._numbers = context.numbers()
        # Granted requests, each with the monotonic time at which its token becomes valid.
        self._delayed_grants: list[tuple[float, Callable[[ports.Admission], None]]] = []
        self._reports = usage.UsageBatches(interval_ms=_REPORT_INTERVAL_MS)
        self._avoided_until_ms: dict[ids.HostId, float] = {}
        # Candidates for the homes, ranked for one state of the host list.
        self._ranked: dict[ids.WorkspaceId, tuple[ids.HostId, ...]] = {}
        self._ranked_change_count = -1
        self._held_asks: dict[ids.WorkspaceId, collections.deque[_HeldAsk]] = {}
        # Requests that came while this host expected to meet its first peer.
        self._unsent: list[_PendingRequest] = []
        self._local_handlers = dict(self.handlers())
        self._next_housekeeping_ms = (
            context.now_ms() + context.rng.random() * _HOUSEKEEPING_INTERVAL_MS
        )

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Decide on one request at once, or after the home's reply.

        ``done`` is called once with the admission. Its reason is ``limit-unavailable`` if no home
        replies in time, at the latest by ``deadline_ms`` (monotonic time), and at once where this
        host looks for its first peer and has not only just started.
        """
        spec = self._records.workspace(workspace)
        if spec is None:
            done(_UNKNOWN)
            return
        if not spec.limited:
            done(_GRANTED)
            return
        if self._membership.seeking and not self._joining:
            # The other hosts, which this one does not know, may be granting the whole rate.
            done(_SEEKING)
            return
        now_ms = self._context.now_ms()
        account = self._account(workspace, now_ms)
        if now_ms < account.refuse_until_ms:
            done(_over_rate(account.refuse_until_ms - now_ms + account.extra_retry_ms))
        elif self._may_admit_unasked(spec, account, now_ms):
            account.unaccounted.append(_Unaccounted(at_ms=now_ms))
            self._report(workspace, now_ms)
            done(_GRANTED)
        else:
            self._request_token(workspace, deadline_ms, done)

    def announce_shutdown(self) -> None:
        """Give back what this host has borrowed as a home, and borrow nothing more."""
        self._send_releases(self._meters.release())
        self._meters.close()

    def on_tick(self) -> None:
        """Send what is due, complete delayed grants and handle timeouts."""
        now_ms = self._context.now_ms()
        self._host_count.update(now_ms, len(self._membership.hosts()))
        self._send_reports(now_ms)
        self._send_unsent(now_ms)
        due = [done for at_ms, done in self._delayed_grants if at_ms <= now_ms]
        self._delayed_grants = [row for row in self._delayed_grants if row[0] > now_ms]
        for done in due:
            done(_GRANTED)
        overdue = [
            number
            for number, pending in self._pending.items()
            if pending.reply_deadline_ms <= now_ms
        ]
        for number in overdue:
            # A home on this host may have answered it during the one before.
            pending = self._pending.pop(number, None)
            if pending is not None:
                self._on_reply_timeout(pending, now_ms)
        self._meters.end_loans_after_suspension()
        self._send_asks(self._meters.due_asks())
        for workspace in list(self._held_asks):
            self._answer_held(workspace, now_ms)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + _HOUSEKEEPING_INTERVAL_MS
            self._housekeep(now_ms)

    # Entry host

    @system.handles(messages.TokenAnswer)
    def on_token_answer(self, sender: ids.HostId, message: messages.TokenAnswer) -> None:
        """Complete the request that the reply belongs to, or ask the next home.

        Replies to unknown request numbers are ignored.
        """
        self._avoided_until_ms.pop(sender, None)
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        now_ms = self._context.now_ms()
        if message.home is not None:
            self._ask_elsewhere(pending, ids.HostId(message.home), now_ms)
            return
        account = self._account(pending.workspace, now_ms)
        account.home = sender
        account.ask_first_until_ms = now_ms + _ASK_FIRST_LIFETIME_MS if message.ask_first else 0.0
        if not message.granted:
            account.refuse_until_ms = now_ms + message.wait_ms
            account.extra_retry_ms = max(0.0, message.retry_after_ms - message.wait_ms)
            pending.done(_over_rate(message.retry_after_ms))
        elif message.wait_ms > 0.0:
            self._delayed_grants.append((now_ms + message.wait_ms, pending.done))
        else:
            pending.done(_GRANTED)

    @system.handles(messages.UsageAck)
    def on_usage_ack(self, sender: ids.HostId, message: messages.UsageAck) -> None:
        """Free the part of the tolerance that the covered requests had used."""
        now_ms = self._context.now_ms()
        for name in message.covered:
            account = self._accounts.get(ids.WorkspaceId(name))
            if account is not None:
                account.unaccounted = collections.deque(
                    row for row in account.unaccounted if row.report != message.number
                )
        for name in message.ask_first:
            account = self._accounts.get(ids.WorkspaceId(name))
            if account is not None:
                account.ask_first_until_ms = now_ms + _ASK_FIRST_LIFETIME_MS

    @property
    def _joining(self) -> bool:
        age_ms = self._context.now_ms() - self._started_ms
        return age_ms < _JOIN_WAIT_MS and self._membership.seeking

    def _account(self, workspace: ids.WorkspaceId, now_ms: float) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account(last_used_ms=now_ms)
        account.last_used_ms = now_ms
        return account

    def _may_admit_unasked(
        self, spec: types.WorkspaceSpec, account: _Account, now_ms: float
    ) -> bool:
        window_ms = self._tolerance.window_ms
        # An earlier run of this host may have used the part until then.
        if now_ms < account.ask_first_until_ms or now_ms - self._started_ms < window_ms:
            return False
        while account.unaccounted and now_ms - account.unaccounted[0].at_ms > window_ms:
            account.unaccounted.popleft()
        hosts = self._host_count.update(now_ms, len(self._membership.hosts()))
        return len(account.unaccounted) < self._tolerance.local_part(spec, hosts)

    def _report(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        homes = self._ranked_homes(workspace)
        if homes:
            self._reports.add(homes[0], workspace, 1)
            self._send_reports(now_ms)

    def _send_reports(self, now_ms: float) -> None:
        for home, usages in self._reports.pop_due(now_ms):
            number = next(self._numbers)
            for row in usages:
                account = self._accounts.get(ids.WorkspaceId(row.workspace))
                for unaccounted in account.unaccounted if account is not None else ():
                    unaccounted.report = unaccounted.report or number
            self._send(home, messages.UsageReport(number, usages))

    def _send_unsent(self, now_ms: float) -> None:
        if not self._unsent or self._joining:
            return
        unsent, self._unsent = self._unsent, []
        for pending in unsent:
            if self._membership.seeking:
                pending.done(_SEEKING)
            else:
                pending.homes = self._candidates(pending.workspace, now_ms)
                self._try_next_home(pending, now_ms)

    def _ranked_homes(self, workspace: ids.WorkspaceId) -> tuple[ids.HostId, ...]:
        if self._ranked_change_count != self._membership.change_count:
            self._ranked_change_count = self._membership.change_count
            self._ranked.clear()
        homes = self._ranked.get(workspace)
        if homes is None:
            homes = meters.candidate_homes(self._membership, workspace)
            self._ranked[workspace] = homes
        return homes

    def _candidates(self, workspace: ids.WorkspaceId, now_ms: float) -> list[ids.HostId]:
        homes = list(self._ranked_homes(workspace))
        account = self._account(workspace, now_ms)
        if account.home:
            homes = [account.home, *(host for host in homes if host != account.home)]
        return homes

    def _request_token(
        self,
        workspace: ids.WorkspaceId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        now_ms = self._context.now_ms()
        pending = _PendingRequest(
            workspace=workspace,
            done=done,
            homes=self._candidates(workspace, now_ms),
            deadline_ms=deadline_ms,
        )
        if now_ms - self._started_ms < _FORMING_MS:
            pending.ask_again_until_ms = min(deadline_ms, now_ms + _JOIN_WAIT_MS)
        if self._joining:
            self._unsent.append(pending)
        else:
            self._try_next_home(pending, now_ms)

    def _try_next_home(self, pending: _PendingRequest, now_ms: float) -> None:
        # What can't be served is refused at once, rather than after the time of a silent home.
        pending.homes = [
            host for host in pending.homes if self._avoided_until_ms.get(host, 0.0) <= now_ms
        ]
        exhausted = not pending.homes or len(pending.asked) >= _MAX_HOMES
        if exhausted and now_ms < pending.ask_again_until_ms:
            pending.asked.clear()
            self._unsent.append(pending)
            return
        if exhausted or now_ms >= pending.deadline_ms:
            pending.done(_UNAVAILABLE)
            return
        if pending.homes[0] in self._avoided_until_ms:
            # Only one request at a time waits for a home that was silent lately.
            self._avoided_until_ms[pending.homes[0]] = now_ms + _AVOID_HOME_MS
        number = next(self._numbers)
        pending.reply_deadline_ms = min(pending.deadline_ms, now_ms + _REPLY_TIMEOUT_MS)
        self._pending[number] = pending
        self._send(pending.homes[0], messages.TokenAsk(number, pending.workspace, pending.silent))

    def _on_reply_timeout(self, pending: _PendingRequest, now_ms: float) -> None:
        self._avoided_until_ms[pending.homes[0]] = now_ms + _AVOID_HOME_MS
        pending.silent = pending.homes[0]
        self._ask_elsewhere(pending, ids.HostId(""), now_ms)

    def _ask_elsewhere(self, pending: _PendingRequest, home: ids.HostId, now_ms: float) -> None:
        """Ask the next home: the one that the last one named, or else the next candidate."""
        self._account(pending.workspace, now_ms).home = ids.HostId("")
        pending.asked.append(pending.homes.pop(0))
        if home and home not in pending.asked:
            pending.homes = [home, *(each for each in pending.homes if each != home)]
        self._try_next_home(pending, now_ms)

    # Home

    @system.handles(messages.UsageReport)
    def on_report(self, sender: ids.HostId, message: messages.UsageReport) -> None:
        """Charge an entry host's admissions to the buckets, and tell which they covered."""
        covered = []
        ask_first = []
        for row in message.usages:
            workspace = ids.WorkspaceId(row.workspace)
            spec = self._records.workspace(workspace)
            if spec is None or not spec.limited:
                continue
            is_covered, asks_first = self._meters.charge(workspace, spec, row.admitted)
            self._send_asks(self._meters.due_asks((workspace,)))
            if is_covered:
                covered.append(workspace)
            if asks_first:
                ask_first.append(workspace)
        self._send(sender, messages.UsageAck(message.number, tuple(covered), tuple(ask_first)))

    @system.handles(messages.TokenAsk)
    def on_token_ask(self, sender: ids.HostId, message: messages.TokenAsk) -> None:
        """Reply to a token request; the request is refused for an unknown workspace."""
        workspace = ids.WorkspaceId(message.workspace)
        spec = self._records.workspace(workspace)
        if spec is None:
            self._send(sender, messages.TokenAnswer(message.number, False))
            return
        if self._membership.seeking:
            # The lenders are not known yet.
            self._send(sender, messages.TokenAnswer(message.number, False, home=""))
            return
        # Asked first, so that a request waits for the answers rather than being refused.
        self._meters.touch(workspace, spec, urgent=bool(message.silent))
        self._send_asks(self._meters.due_asks((workspace,)))
        decision = self._meters.take_token(workspace, spec)
        holder = "" if decision.has_share else self._meters.holder(workspace)
        is_elsewhere = holder not in ("", message.silent)
        if decision.granted or not decision.borrowing or is_elsewhere:
            self._answer(sender, message.number, workspace, decision)
            return
        until_ms = self._context.now_ms() + meters.SHARE_WAIT_MS
        held = _HeldAsk(sender=sender, number=message.number, until_ms=until_ms)
        self._held_asks.setdefault(workspace, collections.deque()).append(held)

    @system.handles(messages.ShareAnswer)
    def on_share_answer(self, sender: ids.HostId, message: messages.ShareAnswer) -> None:
        """Take over the shares that a lender lends, and answer the requests that waited."""
        now_ms = self._context.now_ms()
        for workspace in self._meters.borrow(sender, message):
            self._answer_held(workspace, now_ms)

    @system.handles(messages.ShareWanted)
    def on_share_wanted(self, sender: ids.HostId, message: messages.ShareWanted) -> None:
        """Release the shares of a workspace to a home that precedes this host."""
        workspace = ids.WorkspaceId(message.workspace)
        home = ids.HostId(message.home)
        precedes = loans.ranks_before(workspace, home, self._context.host)
        if precedes and home in self._ranked_homes(workspace):
            self._send_releases(self._meters.release((workspace,)))
            self._meters.set_holder(workspace, home)

    def _answer(
        self,
        sender: ids.HostId,
        number: int,
        workspace: ids.WorkspaceId,
        decision: meters.TokenDecision,
    ) -> None:
        is_home = decision.granted or decision.has_share
        answer = messages.TokenAnswer(
            number,
            decision.granted,
            round(decision.wait_ms, 1),
            round(decision.retry_after_ms, 1),
            decision.ask_first,
            None if is_home else self._meters.holder(workspace),
        )
        self._send(sender, answer)

    def _answer_held(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        """Answer the requests that wait for a share, as far as there is one or their time is up."""
        asks = self._held_asks.get(workspace)
        spec = self._records.workspace(workspace)
        while asks and spec is not None:
            decision = self._meters.take_token(workspace, spec)
            if not decision.granted and decision.borrowing and asks[0].until_ms > now_ms:
                return
            held = asks.popleft()
            self._answer(held.sender, held.number, workspace, decision)
        self._held_asks.pop(workspace, None)

    def _send_asks(self, asks: dict[ids.HostId, messages.ShareAsk]) -> None:
        for lender, message in asks.items():
            self._send(lender, message)

    def _send_releases(self, releases: dict[ids.HostId, messages.ShareRelease]) -> None:
        for lender, message in releases.items():
            self._send(lender, message)

    # Lender

    @system.handles(messages.ShareAsk)
    def on_share_ask(self, sender: ids.HostId, message: messages.ShareAsk) -> None:
        """Lend this host's shares to a home, as far as no other home has them."""
        answer, wanted = self._loans.lend(sender, message)
        self._send(sender, answer)
        for holder, notice in wanted:
            self._send(holder, notice)

    @system.handles(messages.ShareRelease)
    def on_share_release(self, sender: ids.HostId, message: messages.ShareRelease) -> None:
        """Take back shares before their loans end."""
        self._loans.take_back(sender, message)

    def _housekeep(self, now_ms: float) -> None:
        self._meters.remove_idle()
        self._loans.remove_idle()
        for workspace, account in list(self._accounts.items()):
            if now_ms - account.last_used_ms > _IDLE_EXPIRY_MS:
                del self._accounts[workspace]
        for host, until_ms in list(self._avoided_until_ms.items()):
            if now_ms - until_ms > _IDLE_EXPIRY_MS:
                del self._avoided_until_ms[host]
        self._reports.forget_reports_before(now_ms - _IDLE_EXPIRY_MS)

    def _send(self, host: ids.HostId, message: base.Message) -> None:
        if host != self._context.host:
            self._context.send(host, message)
            return
        self._local_handlers[type(message)](host, message)


def _over_rate(retry_after_ms: float) -> ports.Admission:
    return ports.Admission(granted=False, reason="over-rate", retry_after_ms=retry_after_ms)
