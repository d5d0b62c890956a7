"""Home's side of the metered limiter: a bucket for each workspace, filled by borrowed shares."""

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.limits import lenders, loans, messages
from verbenadrum.records import types
from verbenadrum.utils import asked_times

__all__ = ["SHARE_WAIT_MS", "Meter", "MeterTable", "TokenDecision", "candidate_homes"]

_MS_PER_S = 1000.0
# Ask-first mode starts below the first bucket level and ends at the second, both as fractions of
# the burst that the borrowed shares allow.
_ASK_FIRST_START_LEVEL = 0.7
_ASK_FIRST_END_LEVEL = 0.9
_CANDIDATE_COUNT = 3
# A request waits for a token that accrues within this time; otherwise it is refused.
_MAX_TOKEN_WAIT_MS = 250.0
# While a workspace is used, a loan is renewed when less than this is left of it.
_RENEW_BEFORE_MS = 450.0
_USED_RECENTLY_MS = 1_000.0
# Requests wait this long for the answers of lenders; it covers a round trip between regions.
SHARE_WAIT_MS = 150.0
_URGENT_MS = 500.0
_NOT_AWAITED_MS = float("-inf")
# How long a home believes that the shares it has none of are at the host that lenders named.
_HOLDER_LIFETIME_MS = 800.0
# A lender that lends nothing is asked again after the first interval, which doubles up to the last.
_FIRST_ASK_INTERVAL_MS = 100.0
_LAST_ASK_INTERVAL_MS = 400.0
_IDLE_EXPIRY_MS = 10_000.0
# Difference between the two monotonic clocks from which on the machine was suspended.
_SUSPENSION_MS = 200.0


class _Borrowed(msgspec.Struct, kw_only=True):
    """One lender's share as its home sees it.

    Attributes
    ----------
    share : float
        Part of rate and burst; 0 if nothing was ever lent.
    until_ms : float
        Monotonic time at which the loan ends.
    unused : float
        Tokens that were left of the share when its last loan ended.
    next_ask_ms : float
        Earliest monotonic time of the next request to the lender.
    awaited_until_ms : float
        Monotonic time until which an answer of the lender is expected. It stands still while the
        lender is silent, and is `_NOT_AWAITED_MS` after an answer.
    ask_interval_ms : float
        Time until the request after that.
    """

    share: float = 0.0
    until_ms: float = float("-inf")
    unused: float = 0.0
    next_ask_ms: float = float("-inf")
    awaited_until_ms: float = _NOT_AWAITED_MS
    ask_interval_ms: float = _FIRST_ASK_INTERVAL_MS


class Meter(msgspec.Struct, kw_only=True):
    """Token bucket of one workspace at its home.

    Attributes
    ----------
    updated_ms : float
        Monotonic time up to which tokens have accrued.
    last_used_ms : float
        Monotonic time of the last charge or token request.
    level : float
        Tokens in the bucket; negative after admissions beyond the limit.
    borrowed : dict
        Shares by lender.
    live : float
        Sum of the shares whose loans have not ended.
    extras : list of tuple of float
        Tokens of the tolerance, each row with their number and the time at which they expire.
    ask_first : bool
        Whether entry hosts must request a token before each admission.
    next_retry_ms : float
        Earliest monotonic time that the next refused caller is given for a retry.
    holder : HostId
        Host that has borrowed the shares instead, as far as lenders told; empty if unknown.
    holder_ms : float
        Monotonic time at which it was named.
    urgent_until_ms : float
        Monotonic time until which lenders are asked to help out.
    """

    updated_ms: float
    last_used_ms: float
    level: float = 0.0
    borrowed: dict[ids.HostId, _Borrowed] = msgspec.field(default_factory=dict)
    live: float = 0.0
    extras: list[tuple[float, float]] = msgspec.field(default_factory=list)
    ask_first: bool = False
    next_retry_ms: float = 0.0
    holder: ids.HostId = ids.HostId("")
    holder_ms: float = float("-inf")
    urgent_until_ms: float = float("-inf")


class TokenDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a request for one token.

    A granted token may be used after ``wait_ms``. After a refusal, token requests fail until
    ``wait_ms`` has passed, and the caller should retry after ``retry_after_ms``.

    Attributes
    ----------
    has_share : bool
        Whether this host has borrowed any share of the workspace.
    borrowing : bool
        Whether answers of lenders are expected that may let the token be granted after all.
    """

    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True
    has_share: bool = True
    borrowing: bool = False


def candidate_homes(
    membership: ports.MembershipPort, workspace: ids.WorkspaceId
) -> tuple[ids.HostId, ...]:
    """Return the home of a workspace, followed by its substitutes.

    The tuple is shorter, possibly empty, if fewer hosts are listed.
    """
    return membership.ranked_hosts(f"limit/{workspace}", membership.hosts(), _CANDIDATE_COUNT)


class MeterTable:
    """Meters of the workspaces for which this host acts as home.

    Whichever host is asked may act as home: a bucket fills at the rate of the shares that its
    lenders have lent to this host, and holds at most their part of the burst. A share is lent to
    one home at a time, so the buckets of all homes together are those of one.

    Parameters
    ----------
    context : Context
        Clock, identity of this host, and decision log.
    records : RecordsPort
        Limits of the workspaces.
    lender_list : LenderList
        Hosts to borrow from.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        lender_list: lenders.LenderList,
    ) -> None:
        self._context = context
        self._records = records
        self._lenders = lender_list
        self._meters: dict[ids.WorkspaceId, Meter] = {}
        self._asked = asked_times.AskedTimes(term_ms=loans.LEASE_MS)
        self._closed = False
        self._suspended_ms = context.clock.boot_ms() - context.now_ms()

    def holder(self, workspace: ids.WorkspaceId) -> ids.HostId:
        """Return the other host that has borrowed the shares of a workspace; empty if unknown."""
        meter = self._meters.get(workspace)
        if meter is None or self._context.now_ms() - meter.holder_ms > _HOLDER_LIFETIME_MS:
            return ids.HostId("")
        return meter.holder

    def set_holder(self, workspace: ids.WorkspaceId, holder: ids.HostId) -> None:
        """Record that another host has borrowed the shares of a workspace, or is about to."""
        meter = self._meters.get(workspace)
        if meter is not None and holder != self._context.host:
            meter.holder, meter.holder_ms = holder, self._context.now_ms()

    def charge(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, count: int
    ) -> tuple[bool, bool]:
        """Charge ``count`` admitted requests to a workspace's meter.

        Returns
        -------
        covered : bool
            Whether the bucket had tokens for them.
        ask_first : bool
            Whether entry hosts must request a token before each admission.
        """
        meter = self._refilled_meter(workspace, spec)
        covered = meter.live > 0.0 and meter.level >= count
        # A debt of more than one burst would refuse requests for longer than the bound requires.
        meter.level = max(-spec.burst, meter.level - count)
        self._update_ask_first(workspace, spec, meter)
        return covered, meter.ask_first

    def take_token(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> TokenDecision:
        """Take one token, or refuse if the next one accrues later than `_MAX_TOKEN_WAIT_MS`."""
        meter = self._refilled_meter(workspace, spec)
        now_ms = self._context.now_ms()
        share = meter.live if meter.level >= 1.0 else self._live_after(meter, _MAX_TOKEN_WAIT_MS)
        token_ms = _MS_PER_S / max(1e-6, spec.rate_per_s * share)
        wait_ms = max(0.0, (1.0 - meter.level) * token_ms)
        granted = share > 0.0 and wait_ms <= _MAX_TOKEN_WAIT_MS
        if granted:
            meter.level -= 1.0
        self._update_ask_first(workspace, spec, meter)
        if granted:
            return TokenDecision(granted=True, wait_ms=wait_ms, ask_first=meter.ask_first)
        if _take_extra(meter):
            return TokenDecision(granted=True)
        borrowing = any(row.awaited_until_ms > now_ms for row in meter.borrowed.values())
        if borrowing or share <= 0.0:
            return TokenDecision(granted=False, has_share=share > 0.0, borrowing=borrowing)
        # Successive refusals get retry times one token apart, so that retries do not coincide.
        meter.next_retry_ms = max(meter.next_retry_ms, now_ms + wait_ms)
        retry_after_ms = meter.next_retry_ms - now_ms
        meter.next_retry_ms += token_ms
        return TokenDecision(
            granted=False,
            wait_ms=wait_ms - _MAX_TOKEN_WAIT_MS,
            retry_after_ms=retry_after_ms,
            ask_first=meter.ask_first,
        )

    def touch(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, *, urgent: bool) -> None:
        """Record that a workspace is used, so that its shares are borrowed.

        Parameters
        ----------
        workspace : WorkspaceId
            The workspace.
        spec : WorkspaceSpec
            Its limits.
        urgent : bool
            Whether another home has fallen silent, so that lenders should help out.
        """
        meter = self._refilled_meter(workspace, spec)
        now_ms = self._context.now_ms()
        if not urgent:
            return
        if now_ms >= meter.urgent_until_ms:
            for row in meter.borrowed.values():
                row.next_ask_ms, row.ask_interval_ms = now_ms, _FIRST_ASK_INTERVAL_MS
        meter.urgent_until_ms = now_ms + _URGENT_MS

    def due_asks(
        self, workspaces: tuple[ids.WorkspaceId, ...] | None = None
    ) -> dict[ids.HostId, messages.ShareAsk]:
        """Return the requests for shares that are due now, by lender.

        Parameters
        ----------
        workspaces : tuple of WorkspaceId, optional
            Workspaces to ask for, by default all that were used recently.
        """
        if self._closed:
            return {}
        now_ms = self._context.now_ms()
        wishes: dict[ids.HostId, list[messages.ShareWish]] = {}
        for workspace in self._meters if workspaces is None else workspaces:
            meter = self._meters.get(workspace)
            if meter is None or now_ms - meter.last_used_ms > _USED_RECENTLY_MS:
                continue
            urgent = now_ms < meter.urgent_until_ms and _extra_tokens(meter) < 1.0
            if meter.live <= 0.0 and self.holder(workspace) and not urgent:
                continue
            for lender in self._lenders.shares(workspace):
                row = meter.borrowed.setdefault(lender, _Borrowed())
                if row.until_ms - now_ms > _RENEW_BEFORE_MS or now_ms < row.next_ask_ms:
                    continue
                row.next_ask_ms = now_ms + row.ask_interval_ms
                if row.awaited_until_ms == _NOT_AWAITED_MS:
                    row.awaited_until_ms = now_ms + SHARE_WAIT_MS
                row.ask_interval_ms = min(_LAST_ASK_INTERVAL_MS, 2.0 * row.ask_interval_ms)
                wish = messages.ShareWish(workspace, row.until_ms > now_ms, urgent)
                wishes.setdefault(lender, []).append(wish)
        if wishes:
            self._asked.add(now_ms)
        return {
            lender: messages.ShareAsk(now_ms, self._context.incarnation, tuple(each))
            for lender, each in wishes.items()
        }

    def borrow(
        self, lender: ids.HostId, message: messages.ShareAnswer
    ) -> tuple[ids.WorkspaceId, ...]:
        """Take over the shares that a lender lends, and return their workspaces.

        The loans count from when they were asked for, so a late answer may bring nothing. One to an
        earlier run of this host brings nothing.
        """
        if message.asked_ms not in self._asked:
            return ()
        now_ms = self._context.now_ms()
        until_ms = message.asked_ms + loans.LEASE_MS
        answered = []
        for row in message.rows:
            workspace = ids.WorkspaceId(row.workspace)
            spec = self._records.workspace(workspace)
            meter = self._meters.get(workspace)
            if self._closed or spec is None or meter is None:
                continue
            answered.append(workspace)
            self._refill(meter, spec)
            borrowed = meter.borrowed.setdefault(lender, _Borrowed())
            borrowed.awaited_until_ms = _NOT_AWAITED_MS
            if row.extra > 0.0:
                meter.extras.append((row.extra, until_ms))
                # The lender may have more, which is asked for once these are used.
                borrowed.next_ask_ms, borrowed.ask_interval_ms = now_ms, _FIRST_ASK_INTERVAL_MS
            if row.share <= 0.0:
                self.set_holder(workspace, ids.HostId(row.holder))
                continue
            if until_ms <= now_ms:
                continue
            self._add_share(lender, row, until_ms)
        return tuple(answered)

    def release(
        self, workspaces: tuple[ids.WorkspaceId, ...] | None = None
    ) -> dict[ids.HostId, messages.ShareRelease]:
        """Give up all borrowed shares of some workspaces, by default of all; return the messages.

        Each share goes back with its part of the bucket.
        """
        now_ms = self._context.now_ms()
        rows: dict[ids.HostId, list[messages.ReleasedShare]] = {}
        for workspace in self._meters if workspaces is None else workspaces:
            meter = self._meters.get(workspace)
            spec = self._records.workspace(workspace)
            if meter is None or spec is None:
                continue
            self._refill(meter, spec)
            for lender, row in meter.borrowed.items():
                if row.until_ms > now_ms:
                    tokens = round(meter.level * row.share / meter.live, 3)
                    rows.setdefault(lender, []).append(messages.ReleasedShare(workspace, tokens))
                    row.until_ms = now_ms
                row.unused = 0.0
            meter.level = min(0.0, meter.level)
            self._set_live(workspace, spec, meter, 0.0, "released")
        return {
            lender: messages.ShareRelease(now_ms, self._context.incarnation, tuple(each))
            for lender, each in rows.items()
        }

    def close(self) -> None:
        """Borrow nothing from now on; this host shuts down."""
        self._closed = True

    def remove_idle(self) -> None:
        """Remove meters that have been idle for `_IDLE_EXPIRY_MS`."""
        now_ms = self._context.now_ms()
        for workspace, meter in list(self._meters.items()):
            if now_ms - meter.last_used_ms > _IDLE_EXPIRY_MS:
                del self._meters[workspace]

    def end_loans_after_suspension(self) -> None:
        """End all loans if the machine was suspended, since their time went on meanwhile."""
        suspended_ms = self._context.clock.boot_ms() - self._context.now_ms()
        if suspended_ms - self._suspended_ms > _SUSPENSION_MS:
            for meter in self._meters.values():
                meter.borrowed.clear()
                meter.extras.clear()
                meter.level, meter.live = min(0.0, meter.level), 0.0
        self._suspended_ms = suspended_ms

    def _add_share(self, lender: ids.HostId, row: messages.ShareRow, until_ms: float) -> None:
        workspace = ids.WorkspaceId(row.workspace)
        spec, meter = self._records.workspace(workspace), self._meters[workspace]
        borrowed = meter.borrowed.setdefault(lender, _Borrowed())
        borrowed.ask_interval_ms = _FIRST_ASK_INTERVAL_MS
        if until_ms <= borrowed.until_ms:
            return
        is_live = borrowed.until_ms > self._context.now_ms()
        if is_live:
            meter.live -= borrowed.share
        else:
            unused = borrowed.unused if row.continued else 0.0
            meter.level += min(spec.burst * row.share, unused + row.tokens)
        borrowed.share, borrowed.until_ms, borrowed.unused = row.share, until_ms, 0.0
        self._set_live(workspace, spec, meter, meter.live + row.share, "borrowed")

    def _set_live(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        meter: Meter,
        live: float,
        reason: str,
    ) -> None:
        acted, meter.live = meter.live > 0.0, live
        meter.level = min(meter.level, spec.burst * live)
        if acted != (live > 0.0):
            self._context.record_decision(
                ring.DecisionKind.LIMIT,
                "ends" if acted else "acts",
                reason,
                subject=workspace,
                detail={"share": round(live, 3), "level": round(meter.level, 1)},
            )

    def _refilled_meter(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> Meter:
        now_ms = self._context.now_ms()
        meter = self._meters.get(workspace)
        if meter is None:
            meter = Meter(updated_ms=now_ms, last_used_ms=now_ms)
            self._meters[workspace] = meter
        self.end_loans_after_suspension()
        self._refill(meter, spec)
        meter.last_used_ms = now_ms
        return meter

    def _refill(self, meter: Meter, spec: types.WorkspaceSpec) -> None:
        """Let tokens accrue up to now, and take those of each ended loan out of the bucket."""
        now_ms = self._context.now_ms()
        ended = [
            (row.until_ms, row)
            for row in meter.borrowed.values()
            if meter.updated_ms < row.until_ms <= now_ms
        ]
        for until_ms, row in sorted(ended, key=lambda each: each[0]):
            self._accrue(meter, spec, until_ms)
            part = max(0.0, meter.level) * row.share / meter.live
            meter.level -= part
            row.unused = part
            meter.live = max(0.0, meter.live - row.share)
        if not any(row.until_ms > now_ms for row in meter.borrowed.values()):
            meter.live = 0.0
        self._accrue(meter, spec, now_ms)
        meter.extras = [each for each in meter.extras if each[1] > now_ms and each[0] > 0.0]

    def _accrue(self, meter: Meter, spec: types.WorkspaceSpec, at_ms: float) -> None:
        accrued = spec.rate_per_s * meter.live * (at_ms - meter.updated_ms) / _MS_PER_S
        meter.level = min(spec.burst * meter.live, meter.level + accrued)
        meter.updated_ms = at_ms

    def _live_after(self, meter: Meter, wait_ms: float) -> float:
        """Return the sum of the shares whose loans do not end within a time."""
        later_ms = self._context.now_ms() + wait_ms
        return sum(row.share for row in meter.borrowed.values() if row.until_ms > later_ms)

    def _update_ask_first(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, meter: Meter
    ) -> None:
        was_ask_first = meter.ask_first
        fraction = _ASK_FIRST_END_LEVEL if was_ask_first else _ASK_FIRST_START_LEVEL
        threshold = fraction * spec.burst * meter.live
        # The margin of one token keeps a small burst from starting the mode at its first requests.
        meter.ask_first = meter.level < threshold - (0.0 if was_ask_first else 1.0)
        if meter.ask_first != was_ask_first:
            self._context.record_decision(
                ring.DecisionKind.LIMIT,
                "ask-first" if meter.ask_first else "free",
                "bucket-low" if meter.ask_first else "bucket-full",
                subject=workspace,
                detail={
                    "level": round(meter.level, 1),
                    "burst": spec.burst,
                    "rate_per_s": spec.rate_per_s,
                    "share": round(meter.live, 3),
                },
            )


def _extra_tokens(meter: Meter) -> float:
    return sum(count for count, _ in meter.extras)


def _take_extra(meter: Meter) -> bool:
    """Take one token of the tolerance from what several lenders handed out."""
    if _extra_tokens(meter) < 1.0:
        return False
    wanted = 1.0
    for index, (count, until_ms) in enumerate(meter.extras):
        taken = min(count, wanted)
        meter.extras[index] = (count - taken, until_ms)
        wanted -= taken
    return True
