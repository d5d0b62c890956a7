"""Home's side of the metered limiter: one bucket for each workspace, charged by all hosts."""

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.records import types

__all__ = ["Meter", "MeterBook", "Verdict", "candidates"]

_MS_PER_S = 1000.0
# Levels of the bucket, as fractions of the burst, at which hosts begin to ask first, and cease.
_ASK_BELOW = 0.7
_FREE_ABOVE = 0.9
# A home does not know what its predecessor saw: what several new homes in turn add to a window
# stays within the bound's overshoot of a quarter.
_FIRST_LEVEL = 0.25
# Part of the rate that a second candidate gives out while the first one does not answer.
_STAND_IN_SHARE = 0.2
_CANDIDATES = 2
# A request waits at most so long for the token that comes next, instead of a refusal.
_PATIENCE_MS = 250.0
_FORGET_MS = 10_000.0


class Meter(msgspec.Struct, kw_only=True):
    """Bucket of one workspace; below zero where too much was admitted.

    ``next_ms`` is when the last caller that was refused finds a token.
    """

    level: float
    at_ms: float
    used_ms: float
    ask_first: bool = False
    next_ms: float = 0.0


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an ask for one token.

    A granted one may be used after ``wait_ms``; after a refusal another ask is of no use before.
    """

    granted: bool
    wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    ask_first: bool = True


def candidates(
    membership: ports.MembershipPort, workspace: ids.WorkspaceId
) -> tuple[ids.HostId, ...]:
    """Return the hosts to turn to for a workspace, its home first."""
    return membership.homes(f"limit/{workspace}", membership.hosts(), _CANDIDATES)


class MeterBook:
    """Meters of the workspaces that this host is home of, or stands in for.

    Parameters
    ----------
    context : Context
        Clock and decisions.
    membership : MembershipPort
        Listed hosts.
    """

    def __init__(self, *, context: context.Context, membership: ports.MembershipPort) -> None:
        self._context = context
        self._membership = membership
        self._meters: dict[ids.WorkspaceId, Meter] = {}
        self._shares: dict[ids.WorkspaceId, tuple[int, float]] = {}

    def charge(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, count: int
    ) -> tuple[Meter, bool]:
        """Count requests that a host has admitted, and return whether they made the bucket low."""
        meter = self._advanced(workspace, spec)
        before = meter.ask_first
        # A debt of more than a burst would refuse for longer than the bound asks for.
        meter.level = max(-spec.burst, meter.level - count)
        self._watch_level(workspace, spec, meter)
        return meter, meter.ask_first and not before

    def take(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> Verdict:
        """Take one token, or refuse where it takes too long to accrue."""
        meter = self._advanced(workspace, spec)
        token_ms = _MS_PER_S / max(1e-6, spec.rate_per_s * self._share(workspace))
        wait_ms = max(0.0, (1.0 - meter.level) * token_ms)
        granted = wait_ms <= _PATIENCE_MS
        if granted:
            meter.level -= 1.0
        self._watch_level(workspace, spec, meter)
        if granted:
            return Verdict(granted=True, wait_ms=wait_ms, ask_first=meter.ask_first)
        # Refused callers are told times one token apart, so that they do not meet again.
        now_ms = self._context.now_ms()
        meter.next_ms = max(meter.next_ms, now_ms + wait_ms)
        retry_after_ms = meter.next_ms - now_ms
        meter.next_ms += token_ms
        return Verdict(
            granted=False,
            wait_ms=wait_ms - _PATIENCE_MS,
            retry_after_ms=retry_after_ms,
            ask_first=meter.ask_first,
        )

    def asked_first(self) -> list[ids.WorkspaceId]:
        """Return the workspaces whose requests this home wants to be asked for."""
        own = self._context.host
        return [
            workspace
            for workspace, meter in self._meters.items()
            if meter.ask_first and candidates(self._membership, workspace)[:1] == (own,)
        ]

    def forget_idle(self) -> None:
        """Forget the workspaces that nobody has asked for lately."""
        now_ms = self._context.now_ms()
        for workspace, meter in list(self._meters.items()):
            if now_ms - meter.used_ms > _FORGET_MS:
                del self._meters[workspace]
                self._shares.pop(workspace, None)

    def _advanced(self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec) -> Meter:
        now_ms = self._context.now_ms()
        meter = self._meters.get(workspace)
        if meter is None:
            meter = Meter(level=spec.burst * _FIRST_LEVEL, at_ms=now_ms, used_ms=now_ms)
            self._meters[workspace] = meter
        rate_per_s = spec.rate_per_s * self._share(workspace)
        earned = rate_per_s * (now_ms - meter.at_ms) / _MS_PER_S
        meter.level = min(spec.burst, meter.level + earned)
        meter.at_ms = meter.used_ms = now_ms
        return meter

    def _watch_level(
        self, workspace: ids.WorkspaceId, spec: types.WorkspaceSpec, meter: Meter
    ) -> None:
        before = meter.ask_first
        limit = (_FREE_ABOVE if before else _ASK_BELOW) * spec.burst
        # A burst of a request or two is no sign of a rush.
        meter.ask_first = meter.level < limit - (0.0 if before else 1.0)
        if meter.ask_first != before:
            self._context.decide(
                ring.DecisionKind.LIMIT,
                "ask-first" if meter.ask_first else "free",
                "bucket-low" if meter.ask_first else "bucket-full",
                subject=workspace,
                detail={
                    "level": round(meter.level, 1),
                    "burst": spec.burst,
                    "rate_per_s": spec.rate_per_s,
                    "share": round(self._share(workspace), 3),
                },
            )

    def _share(self, workspace: ids.WorkspaceId) -> float:
        """Return the part of the rate that this host gives out.

        Both sides of a cut have a home, and each gives out its own part of the rate only.
        """
        changes = self._membership.changes
        known = self._shares.get(workspace)
        if known is not None and known[0] == changes:
            return known[1]
        listed = self._membership.hosts()
        own = self._context.host
        reached = sum(row.host == own or self._membership.reachable(row.host) for row in listed)
        share = reached / max(1, len(listed))
        if candidates(self._membership, workspace)[:1] != (own,):
            share *= _STAND_IN_SHARE
        self._shares[workspace] = (changes, share)
        return share
