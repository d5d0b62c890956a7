"""Entry host's side of the escrow limiter: spends tokens, asks homes for more."""

import math
from collections.abc import Callable, Iterator

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import accounts, lots, messages, partitions

__all__ = ["EntryRole"]

_WAIT_MS = 1_500.0
_LEAST_PLACES = 4
_PREFETCH_DEMAND_PER_S = 1.0
_PREFETCH_MS = 800.0
_LOW_WATER_MS = 400.0
_UNANSWERED_MS = 150.0
_AVOID_FIRST_MS = 200.0
_AVOID_MS = 1_000.0
_ASK_PAUSE_MS = 50.0
_RETURN_BEFORE_MS = 150.0
_HOUSEKEEPING_MS = 200.0
_FORGET_MS = 5_000.0
_MS_PER_S = 1000.0

_GRANTED = ports.Admission(granted=True, reason="within-rate")


class EntryRole:
    """Accounts of the workspaces that are active on this host.

    A token is spent only before its lot expires, which is checked against the clock at that
    moment, and the lot's life counts from the sending of the request that it answers.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        homes: partitions.HomeMap,
        numbers: Iterator[int],
    ) -> None:
        self._context = context
        self._records = records
        self._membership = membership
        self._homes = homes
        self._numbers = numbers
        self._accounts: dict[ids.WorkspaceId, accounts.Account] = {}
        self._busy: set[ids.WorkspaceId] = set()
        self._asks: dict[int, tuple[accounts.Account, accounts.OpenAsk]] = {}
        self._avoided: dict[ids.HostId, float] = {}
        self._missed: set[ids.HostId] = set()
        self._settlements: dict[ids.HostId, list[messages.Settlement]] = {}
        self._housekeeping_ms = context.now_ms()

    def owns(self, number: int) -> bool:
        """Return whether a grant's number belongs to a request of this role."""
        return number in self._asks

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Spend a token for a request, or let it wait for one."""
        spec = self._records.workspace(workspace)
        if spec is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        now_ms = self._context.now_ms()
        account = self._account(workspace, now_ms)
        account.note_request(now_ms=now_ms)
        if not account.waiting and account.take(now_ms=now_ms):
            self._settle_spent(account)
            self._prefetch(account, now_ms)
            done(_GRANTED)
            return
        if len(account.waiting) >= self._places(spec.rate_per_s):
            done(self._refusal(account, spec.rate_per_s))
            return
        until_ms = min(deadline_ms, now_ms + _WAIT_MS)
        account.waiting.append(accounts.Waiter(done=done, until_ms=until_ms))
        self._busy.add(workspace)
        self._ask_if_due(account, now_ms)

    def on_grant(self, sender: ids.HostId, grant: messages.Grant) -> None:
        """Keep the tokens of an answer, or note that the home cannot serve now."""
        account, ask = self._asks[grant.number]
        if ask.home != sender:
            return
        now_ms = self._context.now_ms()
        ask.answered = True
        self._missed.discard(sender)
        account.unanswered = False
        account.retry_after_ms = grant.retry_after_ms
        if grant.state is messages.GrantState.QUEUED:
            return
        del self._asks[grant.number]
        if account.ask is ask:
            account.ask = None
        if grant.state is not messages.GrantState.GRANTED:
            account.unanswered = True
            self._avoid(sender, now_ms, _AVOID_MS)
        elif grant.count <= 0:
            account.ask_again_ms = now_ms + _ASK_PAUSE_MS
        else:
            self._keep(account, ask, grant, now_ms)
        self._serve(account, now_ms)
        if account.waiting:
            self._ask_if_due(account, now_ms)

    def on_tick(self) -> None:
        """Refuse requests that waited too long, ask again where an answer is late."""
        now_ms = self._context.now_ms()
        for workspace in list(self._busy):
            account = self._accounts[workspace]
            self._expire_waiters(account, now_ms)
            self._check_ask(account, now_ms)
            if account.waiting:
                self._ask_if_due(account, now_ms)
            elif account.ask is None:
                self._busy.discard(workspace)
        if now_ms >= self._housekeeping_ms:
            self._housekeeping_ms = now_ms + _HOUSEKEEPING_MS
            self._housekeep(now_ms)
        self._send_settlements()

    def _account(self, workspace: ids.WorkspaceId, now_ms: float) -> accounts.Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = accounts.Account(
                workspace=workspace,
                partition=partitions.partition_of(workspace),
                now_ms=now_ms,
            )
            self._accounts[workspace] = account
        return account

    def _places(self, rate_per_s: float) -> int:
        hosts = max(1, len(self._membership.hosts()))
        return _LEAST_PLACES + math.ceil(2.0 * rate_per_s * _WAIT_MS / _MS_PER_S / hosts)

    def _refusal(self, account: accounts.Account, rate_per_s: float) -> ports.Admission:
        if account.unanswered:
            return ports.Admission(
                granted=False, reason="limit-unavailable", retry_after_ms=_AVOID_MS
            )
        retry_ms = max(account.retry_after_ms, _MS_PER_S / rate_per_s)
        return ports.Admission(granted=False, reason="over-rate", retry_after_ms=retry_ms)

    def _prefetch(self, account: accounts.Account, now_ms: float) -> None:
        demand = account.demand_per_s(now_ms=now_ms)
        if demand < _PREFETCH_DEMAND_PER_S or account.ask is not None:
            return
        if now_ms < account.ask_again_ms:
            return
        lasting = account.lots.total(now_ms=now_ms + _LOW_WATER_MS)
        if lasting < 1.0 + demand * _LOW_WATER_MS / _MS_PER_S:
            self._ask(account, now_ms)

    def _ask_if_due(self, account: accounts.Account, now_ms: float) -> None:
        if now_ms < account.ask_again_ms:
            return
        ask = account.ask
        if ask is not None:
            grown = len(account.waiting) > ask.need
            if not grown or now_ms - ask.sent_ms < _ASK_PAUSE_MS:
                return
        self._ask(account, now_ms)

    def _ask(self, account: accounts.Account, now_ms: float) -> None:
        target = self._target(account, now_ms)
        if target is None:
            account.unanswered = True
            account.ask_again_ms = now_ms + _ASK_PAUSE_MS
            return
        patience_ms = _WAIT_MS
        if account.waiting:
            patience_ms = max(0.0, account.waiting[-1].until_ms - now_ms)
        extra = 0.0
        demand = account.demand_per_s(now_ms=now_ms)
        if demand >= _PREFETCH_DEMAND_PER_S:
            extra = 1.0 + math.ceil(demand * _PREFETCH_MS / _MS_PER_S)
        ask = accounts.OpenAsk(
            number=next(self._numbers),
            home=target,
            sent_ms=now_ms,
            until_ms=now_ms + patience_ms,
            need=float(len(account.waiting)),
            silent_ms=_silent_since(account.ask, target, now_ms),
        )
        account.ask = ask
        self._asks[ask.number] = (account, ask)
        self._busy.add(account.workspace)
        message = messages.Ask(
            number=ask.number,
            workspace=account.workspace,
            need=ask.need,
            extra=extra,
            patience_ms=patience_ms,
        )
        self._context.send(target, message)

    def _target(self, account: accounts.Account, now_ms: float) -> ids.HostId | None:
        candidates = self._homes.homes(account.partition)
        for host in candidates:
            if self._avoided.get(host, 0.0) <= now_ms:
                return host
        return min(candidates, key=lambda host: self._avoided.get(host, 0.0), default=None)

    def _avoid(self, host: ids.HostId, now_ms: float, for_ms: float) -> None:
        self._avoided[host] = now_ms + for_ms

    def _note_missed(self, host: ids.HostId, now_ms: float) -> None:
        avoid_ms = _AVOID_MS if host in self._missed else _AVOID_FIRST_MS
        self._missed.add(host)
        self._avoid(host, now_ms, avoid_ms)

    def _check_ask(self, account: accounts.Account, now_ms: float) -> None:
        ask = account.ask
        if ask is None:
            return
        if not ask.answered and now_ms - ask.silent_ms >= _UNANSWERED_MS:
            self._note_missed(ask.home, now_ms)
            account.unanswered = True
            account.ask = None
        elif now_ms >= ask.until_ms:
            account.ask = None

    def _keep(
        self,
        account: accounts.Account,
        ask: accounts.OpenAsk,
        grant: messages.Grant,
        now_ms: float,
    ) -> None:
        until_ms = ask.sent_ms + lots.shortened(grant.life_ms)
        if until_ms <= now_ms:
            return
        account.lots.add(
            lots.Lot(home=ask.home, number=grant.number, left=grant.count, until_ms=until_ms)
        )

    def _serve(self, account: accounts.Account, now_ms: float) -> None:
        while account.waiting:
            if account.waiting[0].until_ms <= now_ms:
                self._refuse_first(account)
                continue
            if not account.take(now_ms=now_ms):
                break
            account.waiting.popleft().done(_GRANTED)
        self._settle_spent(account)

    def _expire_waiters(self, account: accounts.Account, now_ms: float) -> None:
        while account.waiting and account.waiting[0].until_ms <= now_ms:
            self._refuse_first(account)

    def _refuse_first(self, account: accounts.Account) -> None:
        spec = self._records.workspace(account.workspace)
        rate_per_s = 1.0 if spec is None else spec.rate_per_s
        account.waiting.popleft().done(self._refusal(account, rate_per_s))

    def _settle_spent(self, account: accounts.Account) -> None:
        for lot in account.lots.remove_spent():
            self._note_settled(lot)

    def _note_settled(self, lot: lots.Lot) -> None:
        settlement = messages.Settlement(number=lot.number, unspent=lot.left)
        self._settlements.setdefault(lot.home, []).append(settlement)

    def _send_settlements(self) -> None:
        for host, settlements in self._settlements.items():
            self._context.send(host, messages.Settle(grants=tuple(settlements)))
        self._settlements.clear()

    def _housekeep(self, now_ms: float) -> None:
        for workspace, account in list(self._accounts.items()):
            if account.lots:
                for lot in account.lots.remove_before(until_ms=now_ms + _RETURN_BEFORE_MS):
                    self._note_settled(lot)
                self._prefetch(account, now_ms)
            elif workspace not in self._busy and now_ms - account.used_ms > _FORGET_MS:
                del self._accounts[workspace]
        self._asks = {
            number: (account, ask)
            for number, (account, ask) in self._asks.items()
            if now_ms - ask.sent_ms < _FORGET_MS
        }
        self._avoided = {
            host: until_ms for host, until_ms in self._avoided.items() if until_ms > now_ms
        }


def _silent_since(previous: accounts.OpenAsk | None, home: ids.HostId, now_ms: float) -> float:
    if previous is None or previous.answered or previous.home != home:
        return now_ms
    return previous.silent_ms
