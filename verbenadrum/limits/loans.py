"""Loans of this host's share of a workspace's rate and burst, to one home at a time.

A share is a token bucket that is whole at one place: the lender fills it while it is not lent, and
a loan hands over its tokens and its rate for a short time. Loans are leases (Gray and Cheriton,
1989): the home counts the time from before it asked, the lender from its answer, so that the home
has stopped when the lender may lend to another one.
"""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.limits import lenders, messages
from verbenadrum.limits import tolerance as tolerances
from verbenadrum.records import types
from verbenadrum.utils import hashing

__all__ = ["LEASE_MS", "LoanBook"]

LEASE_MS = tolerances.LEASE_MS
# Clocks of two hosts may run at rates that differ by less than this.
_CLOCK_MARGIN = 1.001
_MS_PER_S = 1000.0
_IDLE_EXPIRY_MS = 30_000.0
# Fraction of a lender's part of the tolerance that it hands out at a time. What a home doesn't use
# is lost for the window.
_EXTRA_FRACTION = 0.25


class _Loan(msgspec.Struct, kw_only=True):
    """Last loan of this host's share of one workspace.

    Attributes
    ----------
    holder : HostId
        The home that it was lent to.
    incarnation : int
        The run of that home.
    asked_ms : float
        When it asked, by its own clock.
    until_ms : float
        Monotonic time at which the loan has ended for certain.
    tokens : float
        Tokens in the bucket at that time.
    """

    holder: ids.HostId
    incarnation: int
    asked_ms: float
    until_ms: float
    tokens: float = 0.0


class LoanBook:
    """Lender's side of the metered limiter.

    Parameters
    ----------
    context : Context
        Clock and identity of this host.
    records : RecordsPort
        Limits of the workspaces.
    lender_list : LenderList
        This host's shares.
    tolerance : Tolerance
        What lenders may hand out in a window while their share is lent to another home.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        lender_list: lenders.LenderList,
        tolerance: tolerances.Tolerance,
    ) -> None:
        self._context = context
        self._records = records
        self._lenders = lender_list
        self._tolerance = tolerance
        self._started_ms = context.now_ms()
        self._loans: dict[ids.WorkspaceId, _Loan] = {}
        # Times at which tokens of the tolerance were handed out, and their number.
        self._extras: dict[ids.WorkspaceId, collections.deque[tuple[float, float]]] = {}

    def lend(
        self, home: ids.HostId, message: messages.ShareAsk
    ) -> tuple[messages.ShareAnswer, list[tuple[ids.HostId, messages.ShareWanted]]]:
        """Answer a home that asks for shares.

        Returns
        -------
        answer : ShareAnswer
            One row for each workspace whose share this host owns.
        wanted : list of tuple
            Messages to the present holders of shares that the home would rather have.
        """
        rows = []
        wanted = []
        for wish in message.wishes:
            workspace = ids.WorkspaceId(wish.workspace)
            spec = self._records.workspace(workspace)
            share = self._lenders.own_share(workspace)
            if spec is None or not spec.limited or not share:
                continue
            loan = self._loans.get(workspace)
            if self._may_lend(workspace, loan, home, wish.held):
                rows.append(self._lend(workspace, spec, share, home, message))
                continue
            extra = self._take_extra(workspace, spec, share) if wish.urgent else 0.0
            holder = loan.holder if loan is not None else ids.HostId("")
            rows.append(messages.ShareRow(workspace, 0.0, 0.0, False, extra, holder))
            if loan is not None:
                wanted.append((loan.holder, messages.ShareWanted(workspace, home)))
        return messages.ShareAnswer(message.asked_ms, tuple(rows)), wanted

    def take_back(self, home: ids.HostId, message: messages.ShareRelease) -> None:
        """End loans that a home has released, with the tokens that it has left."""
        now_ms = self._context.now_ms()
        for row in message.rows:
            loan = self._loans.get(ids.WorkspaceId(row.workspace))
            if (
                loan is not None
                and (loan.holder, loan.incarnation) == (home, message.incarnation)
                and loan.asked_ms < message.released_ms
                and loan.until_ms > now_ms
            ):
                loan.until_ms = now_ms
                loan.tokens = max(0.0, row.tokens)

    def remove_idle(self) -> None:
        """Remove loans that ended so long ago that their bucket is full again."""
        now_ms = self._context.now_ms()
        for workspace, loan in list(self._loans.items()):
            if now_ms - loan.until_ms > self._refill_ms(workspace):
                del self._loans[workspace]
        for workspace, extras in list(self._extras.items()):
            if not extras or now_ms - extras[-1][0] > self._extra_window_ms:
                del self._extras[workspace]

    def _refill_ms(self, workspace: ids.WorkspaceId) -> float:
        spec = self._records.workspace(workspace)
        full_ms = 0.0 if spec is None else spec.burst / spec.rate_per_s * _MS_PER_S
        return max(_IDLE_EXPIRY_MS, full_ms)

    def _may_lend(
        self, workspace: ids.WorkspaceId, loan: _Loan | None, home: ids.HostId, held: bool
    ) -> bool:
        now_ms = self._context.now_ms()
        if loan is not None:
            return loan.holder == home or loan.until_ms <= now_ms
        # An earlier run of this host may have lent the share until then. If the asking home has
        # it, no other can. The usual home need not wait, since the tolerance has room for that.
        return (
            held
            or self._lenders.alone
            or self._lenders.first_home(workspace) == home
            or now_ms >= self._started_ms + LEASE_MS * _CLOCK_MARGIN
        )

    def _lend(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        share: float,
        home: ids.HostId,
        message: messages.ShareAsk,
    ) -> messages.ShareRow:
        now_ms = self._context.now_ms()
        loan = self._loans.get(workspace)
        if loan is None:
            since_ms = self._started_ms
            if not self._lenders.alone and self._lenders.first_home(workspace) != home:
                since_ms += LEASE_MS * _CLOCK_MARGIN
            known_tokens, continued = 0.0, False
        else:
            # The earlier run of a restarted home has ended, and what it used is not known.
            since_ms = min(loan.until_ms, now_ms)
            known_tokens = loan.tokens
            continued = (loan.holder, loan.incarnation) == (home, message.incarnation)
        accrued = spec.rate_per_s * share * max(0.0, now_ms - since_ms) / _MS_PER_S
        tokens = min(spec.burst * share, known_tokens + accrued)
        if loan is not None and loan.until_ms > now_ms:
            tokens = 0.0
        until_ms = now_ms + LEASE_MS * _CLOCK_MARGIN
        self._loans[workspace] = _Loan(
            holder=home,
            incarnation=message.incarnation,
            asked_ms=message.asked_ms,
            until_ms=until_ms,
        )
        return messages.ShareRow(workspace, share, round(tokens, 3), continued, 0.0, home)

    @property
    def _extra_window_ms(self) -> float:
        # A home uses them within a lease after they were handed out.
        return self._tolerance.window_ms + LEASE_MS

    def _take_extra(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, share: float
    ) -> float:
        """Return the tokens of the tolerance that are left in this window, and hand them out."""
        now_ms = self._context.now_ms()
        # What an earlier run of this host handed out is not known.
        if now_ms - self._started_ms < self._extra_window_ms:
            return 0.0
        extras = self._extras.setdefault(workspace, collections.deque())
        while extras and now_ms - extras[0][0] > self._extra_window_ms:
            extras.popleft()
        part = self._tolerance.lender_part(spec, share)
        left = part - sum(count for _, count in extras)
        if left <= 0.0:
            return 0.0
        count = min(left, max(_EXTRA_FRACTION * part, share))
        extras.append((now_ms, count))
        return round(count, 3)


def ranks_before(workspace: ids.WorkspaceId, host: ids.HostId, other: ids.HostId) -> bool:
    """Return whether a host precedes another one among the candidates for a workspace's home."""
    return host != other and hashing.top(f"limit/{workspace}", (host, other)) == host
