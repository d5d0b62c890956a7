"""Home's side of the metered limiter: one bucket per workspace, charged for the whole fleet."""

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.records import types

__all__ = ["Meter", "MeterTable", "TokenDecision", "candidate_homes"]

_MS_PER_S = 1000.0
# Ask-first mode starts below the first bucket level and ends at the second, both as fractions of
# the burst.
_ASK_FIRST_START_LEVEL = 0.7
_ASK_FIRST_END_LEVEL = 0.9
# Initial bucket level as a fraction of the burst. A new home has no record of its predecessor's
# admissions. A low initial level keeps what several successive homes add to one window within
# the permitted overshoot of a quarter of the limit.
_INITIAL_LEVEL = 0.25
# Fraction of the rate that the second candidate grants while the first one does not reply.
_SUBSTITUTE_SHARE = 0.2
_CANDIDATE_COUNT = 2
# A request waits for a token that accrues within this time; otherwise it is refused.
_MAX_TOKEN_WAIT_MS = 250.0
_IDLE_EXPIRY_MS = 10_000.0


class Meter(msgspec.Struct, kw_only=True):
    """Token bucket of one workspace at its home.

    Attributes
    ----------
    level : float
        Tokens in the bucket; negative after admissions beyond the limit.
    updated_ms : float
        Monotonic time up to which tokens have accrued.
    last_used_ms : float
        Monotonic time of the last charge or token request.
    ask_first : bool
        Whether entry hosts must request a token before each admission.
    next_retry_ms : float
        Earliest monotonic time that the next refused caller is given for a retry.
    """

    level: float
    updated_ms: float
    last_used_ms: float
    ask_first: bool = False
    next_retry_ms: float = 0.0


class TokenDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a request for one token.

    A granted token may be used after ``wait_ms``. After a refusal, token requests fail until
    ``wait_ms`` has passed, and the caller should retry after ``retry_after_ms``.
    """

    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True


def candidate_homes(
    membership: ports.MembershipPort, workspace: ids.WorkspaceId
) -> tuple[ids.HostId, ...]:
    """Return the home of a workspace, followed by its substitute.

    The tuple is shorter, possibly empty, if fewer hosts are listed.
    """
    return membership.ranked_hosts(f"limit/{workspace}", membership.hosts(), _CANDIDATE_COUNT)


class MeterTable:
    """Meters of the workspaces for which this host acts as home or substitute.

    Parameters
    ----------
    context : Context
        Clock, identity of this host, and decision log.
    membership : MembershipPort
        Listed hosts, and which of them are reachable.
    """

    def __init__(self, *, context: context.Context, membership: ports.MembershipPort) -> None:
        self._context = context
        self._membership = membership
        self._meters: dict[ids.WorkspaceId, Meter] = {}
        self._cached_shares: dict[ids.WorkspaceId, tuple[int, float]] = {}

    def charge(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, count: int
    ) -> tuple[Meter, bool]:
        """Charge ``count`` admitted requests to a workspace's meter.

        Returns
        -------
        meter : Meter
            The charged meter.
        started : bool
            Whether this charge started ask-first mode.
        """
        meter = self._refilled_meter(workspace, spec)
        was_ask_first = meter.ask_first
        # A debt of more than one burst would refuse requests for longer than the bound requires.
        meter.level = max(-spec.burst, meter.level - count)
        self._update_ask_first(workspace, spec, meter)
        return meter, meter.ask_first and not was_ask_first

    def take_token(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> TokenDecision:
        """Take one token, or refuse if the next one accrues later than `_MAX_TOKEN_WAIT_MS`."""
        meter = self._refilled_meter(workspace, spec)
        token_ms = _MS_PER_S / max(1e-6, spec.rate_per_s * self._rate_share(workspace))
        wait_ms = max(0.0, (1.0 - meter.level) * token_ms)
        granted = wait_ms <= _MAX_TOKEN_WAIT_MS
        if granted:
            meter.level -= 1.0
        self._update_ask_first(workspace, spec, meter)
        if granted:
            return TokenDecision(granted=True, wait_ms=wait_ms, ask_first=meter.ask_first)
        # Successive refusals get retry times one token apart, so that retries do not coincide.
        now_ms = self._context.now_ms()
        meter.next_retry_ms = max(meter.next_retry_ms, now_ms + wait_ms)
        retry_after_ms = meter.next_retry_ms - now_ms
        meter.next_retry_ms += token_ms
        return TokenDecision(
            granted=False,
            wait_ms=wait_ms - _MAX_TOKEN_WAIT_MS,
            retry_after_ms=retry_after_ms,
            ask_first=meter.ask_first,
        )

    def ask_first_workspaces(self) -> list[ids.WorkspaceId]:
        """Return the workspaces in ask-first mode of which this host is the home."""
        own = self._context.host
        return [
            workspace
            for workspace, meter in self._meters.items()
            if meter.ask_first and candidate_homes(self._membership, workspace)[:1] == (own,)
        ]

    def remove_idle(self) -> None:
        """Remove the meters that have been idle for longer than `_IDLE_EXPIRY_MS`."""
        now_ms = self._context.now_ms()
        for workspace, meter in list(self._meters.items()):
            if now_ms - meter.last_used_ms > _IDLE_EXPIRY_MS:
                del self._meters[workspace]
                self._cached_shares.pop(workspace, None)

    def _refilled_meter(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> Meter:
        now_ms = self._context.now_ms()
        meter = self._meters.get(workspace)
        if meter is None:
            meter = Meter(level=spec.burst * _INITIAL_LEVEL, updated_ms=now_ms, last_used_ms=now_ms)
            self._meters[workspace] = meter
        rate_per_s = spec.rate_per_s * self._rate_share(workspace)
        accrued = rate_per_s * (now_ms - meter.updated_ms) / _MS_PER_S
        meter.level = min(spec.burst, meter.level + accrued)
        meter.updated_ms = meter.last_used_ms = now_ms
        return meter

    def _update_ask_first(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, meter: Meter
    ) -> None:
        was_ask_first = meter.ask_first
        threshold = (_ASK_FIRST_END_LEVEL if was_ask_first else _ASK_FIRST_START_LEVEL) * spec.burst
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
                    "share": round(self._rate_share(workspace), 3),
                },
            )

    def _rate_share(self, workspace: ids.WorkspaceId) -> float:
        """Return the fraction of the rate that this host grants.

        Each side of a network partition has its own home, which grants the rate in proportion to
        the listed hosts that it can reach.
        """
        change_count = self._membership.change_count
        cached = self._cached_shares.get(workspace)
        if cached is not None and cached[0] == change_count:
            return cached[1]
        listed = self._membership.hosts()
        own = self._context.host
        reachable = sum(row.host == own or self._membership.reachable(row.host) for row in listed)
        share = reachable / max(1, len(listed))
        if candidate_homes(self._membership, workspace)[:1] != (own,):
            share *= _SUBSTITUTE_SHARE
        self._cached_shares[workspace] = (change_count, share)
        return share
