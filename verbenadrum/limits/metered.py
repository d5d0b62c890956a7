"""Limiter that meters use at a home, and asks it first only where a workspace is near its limit.

It answers the common load, in which nearly every workspace stays below its rate: a request is
admitted without a round trip and reported to the workspace's home, which keeps one bucket for
the whole fleet. When the bucket runs low, the home tells all hosts to ask for a token before they
admit, until it is nearly full again.

What is admitted beyond the bucket is what arrives while a report and the home's word are on their
way, some tens of milliseconds of the demand, however many hosts the fleet has. It is charged
like the rest, so that it is missing from what the home grants later. The escrow limiter keeps a
hard bound, at the price of a token for every request and of leases between all hosts.
"""

import itertools
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import bucket, messages, meters, registry
from verbenadrum.messages import base
from verbenadrum.records import types

__all__ = ["MeteredLimiter"]

# The first use after this time is reported at once; what follows is gathered for as long.
_REPORT_MS = 250.0
# Hosts are told again to ask first this often, and cease when they hear nothing for longer.
_RENEW_MS = 2_000.0
_ASK_FIRST_MS = 5_000.0
# The farthest home answers within a round trip between regions and the queue of a busy link.
_ANSWER_MS = 250.0
_SILENT_HOME_MS = 1_000.0
_FORGET_MS = 10_000.0

_GRANTED = ports.Admission(granted=True, reason="within-rate")
_UNAVAILABLE = ports.Admission(granted=False, reason="limit-unavailable", retry_after_ms=_ANSWER_MS)
_UNKNOWN = ports.Admission(granted=False, reason="unknown-workspace")


class _Account(msgspec.Struct, kw_only=True):
    """One workspace on this entry host.

    ``empty_until_ms`` is until when the home has no token, and ``retry_after_ms`` what it last
    told a refused caller.
    """

    own: bucket.TokenBucket
    used_ms: float
    admitted: int = 0
    ask_until_ms: float = 0.0
    empty_until_ms: float = 0.0
    retry_after_ms: float = 0.0


class _Waiting(msgspec.Struct, kw_only=True):
    """A request that waits for a home's verdict."""

    workspace: ids.WorkspaceId
    done: Callable[[ports.Admission], None]
    homes: list[ids.HostId]
    until_ms: float
    deadline_ms: float


@registry.limiters.register("metered")
class MeteredLimiter(system.System):
    """Entry host and home in one system."""

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._membership = membership
        self._book = meters.MeterBook(context=context, membership=membership)
        self._accounts: dict[ids.WorkspaceId, _Account] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._numbers = itertools.count(context.rng.getrandbits(31))
        # Requests with a token that may be used from a time on.
        self._early: list[tuple[float, Callable[[ports.Admission], None]]] = []
        # Workspaces with unreported use, by home, and when each home was last told.
        self._unreported: dict[ids.HostId, set[ids.WorkspaceId]] = {}
        self._reported_ms: dict[ids.HostId, float] = {}
        self._silent_until_ms: dict[ids.HostId, float] = {}
        self._own_handlers = dict(self.handlers())
        self._renew_ms = context.now_ms() + context.rng.random() * _RENEW_MS

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Decide on one request: at once, or by the home where it wants to be asked first."""
        spec = self._records.workspace(workspace)
        if spec is None:
            done(_UNKNOWN)
            return
        if not spec.limited:
            done(_GRANTED)
            return
        now_ms = self._context.now_ms()
        account = self._account(workspace, spec, now_ms)
        if now_ms < account.empty_until_ms:
            done(_over_rate(account.empty_until_ms - now_ms + account.retry_after_ms))
        elif now_ms < account.ask_until_ms:
            self._ask(workspace, deadline_ms, done)
        elif account.own.take(now_ms=now_ms):
            account.admitted += 1
            self._note_use(workspace, now_ms)
            done(_GRANTED)
        else:
            done(_over_rate(account.own.wait_ms(now_ms=now_ms)))

    def on_tick(self) -> None:
        """Report use, turn to the next home where one is silent, and renew what is in force."""
        now_ms = self._context.now_ms()
        for home in list(self._unreported):
            if now_ms - self._reported_ms.get(home, -_REPORT_MS) >= _REPORT_MS:
                self._report(home, now_ms)
        due = [done for at_ms, done in self._early if at_ms <= now_ms]
        self._early = [row for row in self._early if row[0] > now_ms]
        for done in due:
            done(_GRANTED)
        late = [number for number, row in self._waiting.items() if row.until_ms <= now_ms]
        for number in late:
            self._on_silence(self._waiting.pop(number), now_ms)
        if now_ms >= self._renew_ms:
            self._renew_ms = now_ms + _RENEW_MS
            self._housekeep(now_ms)

    @system.handles(messages.UsageReport)
    def on_report(self, sender: ids.HostId, message: messages.UsageReport) -> None:
        """Charge an entry host's use, and tell it, or all hosts, to ask first from now on."""
        low = []
        for use in message.uses:
            workspace = ids.WorkspaceId(use.workspace)
            spec = self._records.workspace(workspace)
            if spec is None or not spec.limited:
                continue
            meter, began = self._book.charge(workspace, spec, use.admitted)
            if began:
                self._tell_all((workspace,))
            elif meter.ask_first:
                low.append(workspace)
        if low:
            self._send(sender, messages.AskFirst(tuple(low)))

    @system.handles(messages.AskFirst)
    def on_ask_first(self, sender: ids.HostId, message: messages.AskFirst) -> None:
        """Ask before admitting requests of some workspaces."""
        now_ms = self._context.now_ms()
        for name in message.workspaces:
            workspace = ids.WorkspaceId(name)
            spec = self._records.workspace(workspace)
            if spec is not None and spec.limited:
                account = self._account(workspace, spec, now_ms)
                account.ask_until_ms = now_ms + _ASK_FIRST_MS

    @system.handles(messages.TokenAsk)
    def on_token_ask(self, sender: ids.HostId, message: messages.TokenAsk) -> None:
        """Give out a token if there is one."""
        workspace = ids.WorkspaceId(message.workspace)
        spec = self._records.workspace(workspace)
        if spec is None:
            self._send(sender, messages.TokenAnswer(message.number, False))
            return
        verdict = self._book.take(workspace, spec)
        answer = messages.TokenAnswer(
            message.number,
            verdict.granted,
            round(verdict.wait_ms, 1),
            round(verdict.retry_after_ms, 1),
            verdict.ask_first,
        )
        self._send(sender, answer)

    @system.handles(messages.TokenAnswer)
    def on_token_answer(self, sender: ids.HostId, message: messages.TokenAnswer) -> None:
        """End the request that a verdict belongs to, and follow the home's word."""
        self._silent_until_ms.pop(sender, None)
        row = self._waiting.pop(message.number, None)
        if row is None:
            return
        now_ms = self._context.now_ms()
        account = self._accounts.get(row.workspace)
        if account is not None:
            account.ask_until_ms = now_ms + _ASK_FIRST_MS if message.ask_first else 0.0
            if not message.granted:
                account.empty_until_ms = now_ms + message.wait_ms
                account.retry_after_ms = max(0.0, message.retry_after_ms - message.wait_ms)
        if not message.granted:
            row.done(_over_rate(message.retry_after_ms))
        elif message.wait_ms > 0.0:
            self._early.append((now_ms + message.wait_ms, row.done))
        else:
            row.done(_GRANTED)

    def _account(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, now_ms: float
    ) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            own = bucket.TokenBucket(
                now_ms=now_ms, tokens=spec.burst, rate_per_s=spec.rate_per_s, burst=spec.burst
            )
            account = self._accounts[workspace] = _Account(own=own, used_ms=now_ms)
        account.used_ms = now_ms
        account.own.configure(now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)
        return account

    def _note_use(self, workspace: ids.WorkspaceId, now_ms: float) -> None:
        homes = meters.candidates(self._membership, workspace)
        if not homes:
            return
        self._unreported.setdefault(homes[0], set()).add(workspace)
        if now_ms - self._reported_ms.get(homes[0], -_REPORT_MS) >= _REPORT_MS:
            self._report(homes[0], now_ms)

    def _report(self, home: ids.HostId, now_ms: float) -> None:
        self._reported_ms[home] = now_ms
        uses = []
        for workspace in sorted(self._unreported.pop(home)):
            account = self._accounts.get(workspace)
            if account is not None and account.admitted:
                uses.append(messages.Use(workspace, account.admitted))
                account.admitted = 0
        if uses:
            self._send(home, messages.UsageReport(tuple(uses)))

    def _ask(
        self,
        workspace: ids.WorkspaceId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        now_ms = self._context.now_ms()
        homes = list(meters.candidates(self._membership, workspace))
        homes.sort(key=lambda host: self._silent_until_ms.get(host, 0.0) > now_ms)
        row = _Waiting(
            workspace=workspace, done=done, homes=homes, until_ms=0.0, deadline_ms=deadline_ms
        )
        self._ask_next(row, now_ms)

    def _ask_next(self, row: _Waiting, now_ms: float) -> None:
        if not row.homes or now_ms >= row.deadline_ms:
            row.done(_UNAVAILABLE)
            return
        number = next(self._numbers)
        row.until_ms = min(row.deadline_ms, now_ms + _ANSWER_MS)
        self._waiting[number] = row
        self._send(row.homes[0], messages.TokenAsk(number, row.workspace))

    def _on_silence(self, row: _Waiting, now_ms: float) -> None:
        self._silent_until_ms[row.homes.pop(0)] = now_ms + _SILENT_HOME_MS
        self._ask_next(row, now_ms)

    def _tell_all(self, workspaces: tuple[ids.WorkspaceId, ...]) -> None:
        message = messages.AskFirst(workspaces)
        for row in self._membership.hosts():
            self._send(row.host, message)

    def _housekeep(self, now_ms: float) -> None:
        workspaces = self._book.asked_first()
        if workspaces:
            self._tell_all(tuple(workspaces))
        self._book.forget_idle()
        for workspace, account in list(self._accounts.items()):
            if now_ms - account.used_ms > _FORGET_MS and not account.admitted:
                del self._accounts[workspace]
        for table in (self._reported_ms, self._silent_until_ms):
            for host, at_ms in list(table.items()):
                if now_ms - at_ms > _FORGET_MS:
                    del table[host]

    def _send(self, host: ids.HostId, message: base.Message) -> None:
        if host != self._context.host:
            self._context.send(host, message)
            return
        self._own_handlers[type(message)](host, message)


def _over_rate(retry_after_ms: float) -> ports.Admission:
    return ports.Admission(granted=False, reason="over-rate", retry_after_ms=retry_after_ms)
