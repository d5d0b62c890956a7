"""Limiter that meters use at a home and throttles the entry hosts only near the limit.

It answers the common load, in which nearly every workspace stays below its rate: a request is
admitted without a round trip and without a token. Entry hosts report what they were asked for
and admitted to the workspace's home, which keeps one bucket for the whole fleet. When the bucket
runs low, the home gives each entry host a part of the rate in proportion to what it is asked
for, until the bucket is nearly full again.

The bound is soft: reports are late by up to `_REPORT_MS` and a round trip, so that the fleet may
admit about half a second's demand too much once, when a workspace suddenly sends many times its
rate. The escrow limiter keeps the hard bound, at the price of a token for every request.
"""

from collections.abc import Callable, Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring
from verbenadrum.limits import bucket, messages, registry
from verbenadrum.records import types

__all__ = ["MeteredLimiter"]

_MS_PER_S = 1000.0
# Late reports let more through; early ones cost messages. A seven-fold rush spends its burst in
# about this time.
_REPORT_MS = 250.0
# A throttle that is not renewed ends, since its home may be gone.
_THROTTLE_MS = 1_500.0
# Levels of the home's bucket, as fractions of the burst, at which throttling begins and ends.
_THROTTLE_BELOW = 0.7
_FREE_ABOVE = 0.9
# Demand of an entry host that has not reported for this long no longer counts.
_DEMAND_MS = 2_000.0
_DEMAND_WEIGHT = 0.5
# A new home does not know what its predecessor saw.
_FIRST_LEVEL = 0.75
# Parts of the rate are spread over hosts that get few requests each, so some go unused.
_MOST_GAIN = 1.1
_LEAST_GAIN = 0.5
_LEAST_LOCAL_BURST = 2.0
_LOCAL_BURST_S = 0.5
_FORGET_MS = 10_000.0

_GRANTED = ports.Admission(granted=True, reason="within-rate")


class _Account(msgspec.Struct, kw_only=True):
    """Use of one workspace on this entry host since the last report, and its throttle."""

    asked: int = 0
    admitted: int = 0
    throttle: bucket.TokenBucket | None = None
    throttled_until_ms: float = 0.0
    own: bucket.TokenBucket | None = None
    used_ms: float = 0.0


class _Demand(msgspec.Struct, kw_only=True):
    """What one entry host is asked for, in requests per second."""

    rate_per_s: float
    at_ms: float


class _Meter(msgspec.Struct, kw_only=True):
    """Bucket of one workspace at its home; below zero where too much was admitted."""

    level: float
    at_ms: float
    throttled: bool = False
    demand: dict[ids.HostId, _Demand] = msgspec.field(default_factory=dict)


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
        self._accounts: dict[ids.WorkspaceId, _Account] = {}
        self._meters: dict[ids.WorkspaceId, _Meter] = {}
        self._next_report_ms = context.now_ms() + context.rng.random() * _REPORT_MS
        self._reported_ms = context.now_ms()

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Decide on one request at once, by the throttle or this host's own bucket."""
        spec = self._records.workspace(workspace)
        if spec is None:
            done(ports.Admission(granted=False, reason="unknown-workspace"))
            return
        now_ms = self._context.now_ms()
        account = self._accounts.setdefault(workspace, _Account())
        account.asked += 1
        account.used_ms = now_ms
        local = self._local_bucket(account, spec, now_ms)
        if not local.take(now_ms=now_ms):
            wait_ms = local.wait_ms(now_ms=now_ms)
            done(ports.Admission(granted=False, reason="over-rate", retry_after_ms=wait_ms))
            return
        account.admitted += 1
        done(_GRANTED)

    def on_tick(self) -> None:
        """Report use to the homes, and forget what is no longer used."""
        now_ms = self._context.now_ms()
        if now_ms < self._next_report_ms:
            return
        elapsed_ms = now_ms - self._reported_ms
        self._reported_ms = now_ms
        self._next_report_ms = now_ms + _REPORT_MS
        self._report(elapsed_ms)
        for table, used in ((self._accounts, "used_ms"), (self._meters, "at_ms")):
            for workspace, row in list(table.items()):
                if now_ms - getattr(row, used) > _FORGET_MS:
                    del table[workspace]

    @system.handles(messages.UsageReport)
    def on_report(self, sender: ids.HostId, message: messages.UsageReport) -> None:
        """Charge an entry host's use, and answer with its parts where it is to be throttled."""
        now_ms = self._context.now_ms()
        parts = []
        for use in message.uses:
            workspace = ids.WorkspaceId(use.workspace)
            spec = self._records.workspace(workspace)
            if spec is None or not spec.limited:
                continue
            meter = self._charge(workspace, spec, use)
            asked_per_s = use.asked / max(message.elapsed_ms, 1.0) * _MS_PER_S
            self._note_demand(meter, sender, asked_per_s, now_ms)
            self._watch_level(workspace, spec, meter, sender)
            if meter.throttled:
                parts.append(self._part(workspace, spec, meter, sender))
            elif use.throttled:
                parts.append(messages.RatePart(use.workspace, -1.0))
        if parts:
            self._context.send(sender, messages.RateParts(tuple(parts)))

    @system.handles(messages.RateParts)
    def on_parts(self, sender: ids.HostId, message: messages.RateParts) -> None:
        """Follow a home's throttle, or its end."""
        now_ms = self._context.now_ms()
        for part in message.parts:
            account = self._accounts.setdefault(ids.WorkspaceId(part.workspace), _Account())
            account.used_ms = max(account.used_ms, now_ms - _FORGET_MS / 2.0)
            if part.rate_per_s < 0.0:
                account.throttle = None
                continue
            burst = max(_LEAST_LOCAL_BURST, part.rate_per_s * _LOCAL_BURST_S)
            if account.throttle is None:
                account.throttle = bucket.TokenBucket(
                    now_ms=now_ms, tokens=1.0, rate_per_s=part.rate_per_s, burst=burst
                )
            else:
                account.throttle.configure(now_ms=now_ms, rate_per_s=part.rate_per_s, burst=burst)
            account.throttled_until_ms = now_ms + _THROTTLE_MS

    def _local_bucket(
        self, account: _Account, spec: types.WorkspaceSpec, now_ms: float
    ) -> bucket.TokenBucket:
        if account.throttle is not None and now_ms < account.throttled_until_ms:
            return account.throttle
        account.throttle = None
        if account.own is None:
            account.own = bucket.TokenBucket(
                now_ms=now_ms, tokens=spec.burst, rate_per_s=spec.rate_per_s, burst=spec.burst
            )
        account.own.configure(now_ms=now_ms, rate_per_s=spec.rate_per_s, burst=spec.burst)
        return account.own

    def _report(self, elapsed_ms: float) -> None:
        by_home: dict[ids.HostId, list[messages.Use]] = {}
        for workspace, account in self._accounts.items():
            if not account.asked:
                continue
            use = messages.Use(
                workspace, account.asked, account.admitted, account.throttle is not None
            )
            account.asked = account.admitted = 0
            home = self._home(workspace)
            if home is not None:
                by_home.setdefault(home, []).append(use)
        for home, uses in by_home.items():
            report = messages.UsageReport(round(elapsed_ms, 1), tuple(uses))
            if home == self._context.host:
                self.on_report(home, report)
            else:
                self._context.send(home, report)

    def _home(self, workspace: ids.WorkspaceId) -> ids.HostId | None:
        homes = self._membership.homes(f"limit/{workspace}", self._membership.hosts(), 1)
        return homes[0] if homes else None

    def _charge(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        use: messages.Use,
    ) -> _Meter:
        now_ms = self._context.now_ms()
        meter = self._meters.get(workspace)
        if meter is None:
            meter = _Meter(level=spec.burst * _FIRST_LEVEL, at_ms=now_ms)
            self._meters[workspace] = meter
        rate_per_s = spec.rate_per_s * self._reached()
        earned = rate_per_s * (now_ms - meter.at_ms) / _MS_PER_S
        meter.level = min(spec.burst, meter.level + earned) - use.admitted
        # A debt of more than a burst would throttle for longer than the bound asks for.
        meter.level = max(-spec.burst, meter.level)
        meter.at_ms = now_ms
        return meter

    def _watch_level(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        meter: _Meter,
        sender: ids.HostId,
    ) -> None:
        was_throttled = meter.throttled
        limit = _FREE_ABOVE if was_throttled else _THROTTLE_BELOW
        # A burst of a request or two is no sign of a rush.
        meter.throttled = meter.level < limit * spec.burst - (0.0 if was_throttled else 1.0)
        if meter.throttled and not was_throttled:
            self._tell_all(workspace, spec, meter, sender)

    def _note_demand(
        self, meter: _Meter, sender: ids.HostId, rate_per_s: float, now_ms: float
    ) -> None:
        known = meter.demand.get(sender)
        if known is not None:
            rate_per_s = known.rate_per_s + _DEMAND_WEIGHT * (rate_per_s - known.rate_per_s)
        meter.demand[sender] = _Demand(rate_per_s=rate_per_s, at_ms=now_ms)
        silent = [host for host, row in meter.demand.items() if now_ms - row.at_ms > _DEMAND_MS]
        for host in silent:
            del meter.demand[host]

    def _tell_all(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        meter: _Meter,
        but: ids.HostId,
    ) -> None:
        self._context.decide(
            ring.DecisionKind.LIMIT,
            "throttled",
            "use-above-rate",
            subject=workspace,
            detail={"level": round(meter.level, 1), "hosts": len(meter.demand)},
        )
        for host in _others(meter.demand, but):
            part = messages.RateParts((self._part(workspace, spec, meter, host),))
            if host == self._context.host:
                self.on_parts(host, part)
            else:
                self._context.send(host, part)

    def _part(
        self,
        workspace: ids.WorkspaceId,
        spec: types.WorkspaceSpec,
        meter: _Meter,
        host: ids.HostId,
    ) -> messages.RatePart:
        """Return a host's part of the rate, by its share of what all are asked for."""
        total = sum(row.rate_per_s for row in meter.demand.values())
        own = meter.demand[host].rate_per_s
        share = own / total if total > 0.0 else 1.0 / len(meter.demand)
        fullness = max(-1.0, min(1.0, meter.level / spec.burst))
        gain = max(_LEAST_GAIN, 1.0 + fullness * (_MOST_GAIN - 1.0 if fullness > 0 else 0.5))
        rate_per_s = spec.rate_per_s * self._reached() * gain * share
        return messages.RatePart(workspace, round(rate_per_s, 3))

    def _reached(self) -> float:
        """Return the fraction of the listed hosts that this one reaches.

        Both sides of a cut have a home, and each gives out its own part of the rate only.
        """
        listed = self._membership.hosts()
        if not listed:
            return 1.0
        reached = sum(
            row.host == self._context.host or self._membership.reachable(row.host) for row in listed
        )
        return reached / len(listed)


def _others(hosts: Iterable[ids.HostId], but: ids.HostId) -> list[ids.HostId]:
    return [host for host in hosts if host != but]
