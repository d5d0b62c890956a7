"""Entry host's side of the escrow limiter: spends tokens and requests more from homes."""

import math
from collections.abc import Callable, Iterator

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import accounts, lots, messages, partitions

__all__ = ["EntryRole"]

# A request is refused if no token arrives within this time.
_MAX_TOKEN_WAIT_MS = 1_500.0
_MIN_QUEUE_LENGTH = 4
# Above this demand, tokens for the prefetch span are requested in advance, as soon as those held
# do not cover the demand of the lead time.
_PREFETCH_MIN_DEMAND_PER_S = 1.0
_PREFETCH_SPAN_MS = 800.0
_PREFETCH_LEAD_MS = 400.0
_REPLY_TIMEOUT_MS = 150.0
# A home is avoided for the shorter time after its first reply timeout, and for the longer one after
# further timeouts without a reply in between, or if it replies that it cannot serve.
_FIRST_AVOIDANCE_MS = 200.0
_AVOIDANCE_MS = 1_000.0
_MIN_ASK_INTERVAL_MS = 50.0
# Tokens that expire within this time are returned to their home.
_RETURN_BEFORE_EXPIRY_MS = 150.0
_HOUSEKEEPING_INTERVAL_MS = 200.0
_IDLE_EXPIRY_MS = 5_000.0
_MS_PER_S = 1000.0

_GRANTED = ports.Admission(granted=True, reason="within-rate")


class EntryRole:
    """Tokens and waiting requests of the workspaces that are active on this host.

    A token is spent only before its lot expires, which is checked against the clock at that
    moment. The lifetime of a lot starts when the request that it answers was sent.

    Parameters
    ----------
    context : Context
        Clock and sending of messages.
    records : RecordsPort
        Published limits of the workspaces.
    membership : MembershipPort
        Listed hosts.
    homes : HomeMap
        Homes of the partitions.
    numbers : iterator of int
        Source of request numbers, shared with the home on this host.
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
        self._active: set[ids.WorkspaceId] = set()
        self._open_asks: dict[int, tuple[accounts.Account, accounts.OpenAsk]] = {}
        self._avoided_until_ms: dict[ids.HostId, float] = {}
        self._unresponsive_homes: set[ids.HostId] = set()
        self._queued_settlements: dict[ids.HostId, list[messages.Settlement]] = {}
        self._next_housekeeping_ms = context.now_ms()

    def has_ask(self, number: int) -> bool:
        """Return whether a grant's number belongs to an open request of this role."""
        return number in self._open_asks

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Spend a token for a request, or queue the request until a token arrives.

        ``done`` is called once with the admission: a refusal if the queue is full, or if no token
        arrives before ``deadline_ms`` (monotonic time) or within `_MAX_TOKEN_WAIT_MS`.
        """
        spec = self._records.workspace(workspace)
        if spec is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        now_ms = self._context.now_ms()
        account = self._account(workspace, now_ms)
        account.record_request(now_ms=now_ms)
        if not account.waiting and account.take_token(now_ms=now_ms):
            self._settle_spent(account)
            self._prefetch(account, now_ms)
            done(_GRANTED)
            return
        if len(account.waiting) >= self._max_queue_length(spec.rate_per_s):
            done(self._refusal(account, spec.rate_per_s))
            return
        until_ms = min(deadline_ms, now_ms + _MAX_TOKEN_WAIT_MS)
        account.waiting.append(accounts.WaitingRequest(done=done, until_ms=until_ms))
        self._active.add(workspace)
        self._ask_if_due(account, now_ms)

    def on_grant(self, sender: ids.HostId, grant: messages.Grant) -> None:
        """Store the granted tokens, or avoid a home that cannot serve.

        The grant's number must be known, see `has_ask`; a grant of another host is ignored.
        """
        account, ask = self._open_asks[grant.number]
        if ask.home != sender:
            return
        now_ms = self._context.now_ms()
        ask.answered = True
        self._unresponsive_homes.discard(sender)
        account.home_unavailable = False
        account.retry_after_ms = grant.retry_after_ms
        if grant.state is messages.GrantState.QUEUED:
            return
        del self._open_asks[grant.number]
        if account.open_ask is ask:
            account.open_ask = None
        if grant.state is not messages.GrantState.GRANTED:
            account.home_unavailable = True
            self._avoid_home(sender, now_ms, _AVOIDANCE_MS)
        elif grant.count <= 0:
            account.next_ask_ms = now_ms + _MIN_ASK_INTERVAL_MS
        else:
            self._add_lot(account, ask, grant, now_ms)
        self._serve_waiting(account, now_ms)
        if account.waiting:
            self._ask_if_due(account, now_ms)

    def on_tick(self) -> None:
        """Refuse expired requests, handle reply timeouts, and send settlements."""
        now_ms = self._context.now_ms()
        for workspace in list(self._active):
            account = self._accounts[workspace]
            self._refuse_expired(account, now_ms)
            self._check_open_ask(account, now_ms)
            if account.waiting:
                self._ask_if_due(account, now_ms)
            elif account.open_ask is None:
                self._active.discard(workspace)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + _HOUSEKEEPING_INTERVAL_MS
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

    def _max_queue_length(self, rate_per_s: float) -> int:
        hosts = max(1, len(self._membership.hosts()))
        return _MIN_QUEUE_LENGTH + math.ceil(
            2.0 * rate_per_s * _MAX_TOKEN_WAIT_MS / _MS_PER_S / hosts
        )

    def _refusal(self, account: accounts.Account, rate_per_s: float) -> ports.Admission:
        if account.home_unavailable:
            return ports.Admission(
                granted=False, reason="limit-unavailable", retry_after_ms=_AVOIDANCE_MS
            )
        retry_ms = max(account.retry_after_ms, _MS_PER_S / rate_per_s)
        return ports.Admission(granted=False, reason="over-rate", retry_after_ms=retry_ms)

    def _prefetch(self, account: accounts.Account, now_ms: float) -> None:
        demand = account.demand_per_s(now_ms=now_ms)
        if demand < _PREFETCH_MIN_DEMAND_PER_S or account.open_ask is not None:
            return
        if now_ms < account.next_ask_ms:
            return
        unexpired_tokens = account.lots.total(now_ms=now_ms + _PREFETCH_LEAD_MS)
        if unexpired_tokens < 1.0 + demand * _PREFETCH_LEAD_MS / _MS_PER_S:
            self._send_ask(account, now_ms)

    def _ask_if_due(self, account: accounts.Account, now_ms: float) -> None:
        if now_ms < account.next_ask_ms:
            return
        ask = account.open_ask
        if ask is not None:
            queue_grew = len(account.waiting) > ask.need
            if not queue_grew or now_ms - ask.sent_ms < _MIN_ASK_INTERVAL_MS:
                return
        self._send_ask(account, now_ms)

    def _send_ask(self, account: accounts.Account, now_ms: float) -> None:
        home = self._choose_home(account, now_ms)
        if home is None:
            account.home_unavailable = True
            account.next_ask_ms = now_ms + _MIN_ASK_INTERVAL_MS
            return
        max_wait_ms = _MAX_TOKEN_WAIT_MS
        if account.waiting:
            max_wait_ms = max(0.0, account.waiting[-1].until_ms - now_ms)
        extra = 0.0
        demand = account.demand_per_s(now_ms=now_ms)
        if demand >= _PREFETCH_MIN_DEMAND_PER_S:
            extra = 1.0 + math.ceil(demand * _PREFETCH_SPAN_MS / _MS_PER_S)
        ask = accounts.OpenAsk(
            number=next(self._numbers),
            home=home,
            sent_ms=now_ms,
            until_ms=now_ms + max_wait_ms,
            need=float(len(account.waiting)),
            unanswered_since_ms=_unanswered_since(account.open_ask, home, now_ms),
        )
        account.open_ask = ask
        self._open_asks[ask.number] = (account, ask)
        self._active.add(account.workspace)
        message = messages.Ask(
            number=ask.number,
            workspace=account.workspace,
            need=ask.need,
            extra=extra,
            max_wait_ms=max_wait_ms,
        )
        self._context.send(home, message)

    def _choose_home(self, account: accounts.Account, now_ms: float) -> ids.HostId | None:
        candidate_homes = self._homes.homes_by_preference(account.partition)
        for host in candidate_homes:
            if self._avoided_until_ms.get(host, 0.0) <= now_ms:
                return host
        return min(
            candidate_homes, key=lambda host: self._avoided_until_ms.get(host, 0.0), default=None
        )

    def _avoid_home(self, host: ids.HostId, now_ms: float, duration_ms: float) -> None:
        self._avoided_until_ms[host] = now_ms + duration_ms

    def _on_reply_timeout(self, host: ids.HostId, now_ms: float) -> None:
        avoid_ms = _AVOIDANCE_MS if host in self._unresponsive_homes else _FIRST_AVOIDANCE_MS
        self._unresponsive_homes.add(host)
        self._avoid_home(host, now_ms, avoid_ms)

    def _check_open_ask(self, account: accounts.Account, now_ms: float) -> None:
        ask = account.open_ask
        if ask is None:
            return
        if not ask.answered and now_ms - ask.unanswered_since_ms >= _REPLY_TIMEOUT_MS:
            self._on_reply_timeout(ask.home, now_ms)
            account.home_unavailable = True
            account.open_ask = None
        elif now_ms >= ask.until_ms:
            account.open_ask = None

    def _add_lot(
        self,
        account: accounts.Account,
        ask: accounts.OpenAsk,
        grant: messages.Grant,
        now_ms: float,
    ) -> None:
        until_ms = ask.sent_ms + lots.shorten_lifetime(grant.lifetime_ms)
        if until_ms <= now_ms:
            return
        account.lots.add(
            lots.Lot(home=ask.home, number=grant.number, remaining=grant.count, until_ms=until_ms)
        )

    def _serve_waiting(self, account: accounts.Account, now_ms: float) -> None:
        while account.waiting:
            if account.waiting[0].until_ms <= now_ms:
                self._refuse_first(account)
                continue
            if not account.take_token(now_ms=now_ms):
                break
            account.waiting.popleft().done(_GRANTED)
        self._settle_spent(account)

    def _refuse_expired(self, account: accounts.Account, now_ms: float) -> None:
        while account.waiting and account.waiting[0].until_ms <= now_ms:
            self._refuse_first(account)

    def _refuse_first(self, account: accounts.Account) -> None:
        spec = self._records.workspace(account.workspace)
        rate_per_s = 1.0 if spec is None else spec.rate_per_s
        account.waiting.popleft().done(self._refusal(account, rate_per_s))

    def _settle_spent(self, account: accounts.Account) -> None:
        for lot in account.lots.remove_spent():
            self._queue_settlement(lot)

    def _queue_settlement(self, lot: lots.Lot) -> None:
        settlement = messages.Settlement(number=lot.number, unspent=lot.remaining)
        self._queued_settlements.setdefault(lot.home, []).append(settlement)

    def _send_settlements(self) -> None:
        for host, settlements in self._queued_settlements.items():
            self._context.send(host, messages.Settle(grants=tuple(settlements)))
        self._queued_settlements.clear()

    def _housekeep(self, now_ms: float) -> None:
        for workspace, account in list(self._accounts.items()):
            if account.lots:
                for lot in account.lots.remove_expiring(until_ms=now_ms + _RETURN_BEFORE_EXPIRY_MS):
                    self._queue_settlement(lot)
                self._prefetch(account, now_ms)
            elif (
                workspace not in self._active and now_ms - account.last_request_ms > _IDLE_EXPIRY_MS
            ):
                del self._accounts[workspace]
        self._open_asks = {
            number: (account, ask)
            for number, (account, ask) in self._open_asks.items()
            if now_ms - ask.sent_ms < _IDLE_EXPIRY_MS
        }
        self._avoided_until_ms = {
            host: until_ms for host, until_ms in self._avoided_until_ms.items() if until_ms > now_ms
        }


def _unanswered_since(previous: accounts.OpenAsk | None, home: ids.HostId, now_ms: float) -> float:
    if previous is None or previous.answered or previous.home != home:
        return now_ms
    return previous.unanswered_since_ms
