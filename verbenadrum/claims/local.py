"""Baseline claims: a register on each entry host, not shared between hosts."""

from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import registry
from verbenadrum.core import context, ports, system

__all__ = ["LocalClaims"]


class _ClaimRow(msgspec.Struct, kw_only=True):
    """A claimed key: the request that won it, and the end of its run."""

    request: ids.RequestId
    ended: bool = False
    answer: ports.StoredAnswer | None = None


@registry.claim_systems.register("local")
class LocalClaims(system.System):
    """Register of the keys claimed on this host, without exchange with other hosts.

    Kept as a baseline for comparison: a resend through another host runs a second time.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)
        self._rows: dict[tuple[ids.WorkspaceId, ids.IdempotencyKey], _ClaimRow] = {}

    def claim(self, request: ports.ClaimRequest, done: Callable[[ports.ClaimResult], None]) -> None:
        """Claim a key; ``done`` is called before this returns."""
        row = self._rows.get((request.workspace, request.key))
        if row is None:
            self._rows[request.workspace, request.key] = _ClaimRow(request=request.request)
            done(ports.ClaimResult(state=ports.ClaimState.WON, reason="first-claim"))
        elif not row.ended:
            done(ports.ClaimResult(state=ports.ClaimState.IN_PROGRESS, reason="in-progress"))
        elif row.answer is None:
            done(ports.ClaimResult(state=ports.ClaimState.UNKNOWN, reason="outcome-unknown"))
        else:
            state = ports.ClaimState.ANSWERED
            done(ports.ClaimResult(state=state, reason="answered", answer=row.answer))

    def release(self, request: ports.ClaimRequest) -> None:
        """Release a won claim for which no byte was sent."""
        self._rows.pop((request.workspace, request.key), None)

    def finish(self, request: ports.ClaimRequest, answer: ports.StoredAnswer | None) -> None:
        """Record the end of a won run, with its answer or None."""
        row = self._rows[request.workspace, request.key]
        row.ended = True
        row.answer = answer
