"""Fraction of every workspace's rate and burst that this host's data centre owns."""

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.records import types

__all__ = ["DataCentreWeight", "HOLD_MS"]

# Covers the spread of a record over the fleet (2 s), a pause that goes unnoticed, and the longest
# lease granted before the record arrived.
HOLD_MS = 6_000.0
_PAUSE_MS = 1_500.0


class DataCentreWeight:
    """Published weight of the own data centre over the sum of all weights.

    A lower fraction is in force at once, a higher one only after `HOLD_MS`, so data centres that
    learn a record at different times never own more than the whole together. A host that has
    just started, or woken from a pause, owns nothing for as long.

    Examples
    --------
    >>> from verbenadrum.limits import weights
    >>> weights.HOLD_MS
    6000.0
    """

    def __init__(self, *, context: context.Context, records: ports.RecordsPort) -> None:
        self._context = context
        self._records = records
        self._spec: types.FleetSpec | None = None
        self._target = 0.0
        self._in_force = 0.0
        self._since_ms = context.now_ms()
        self._seen_ms = context.now_ms()

    def fraction(self) -> float:
        """Return the fraction in force now; to be called at least each tick."""
        now_ms = self._context.now_ms()
        paused_ms = now_ms - self._seen_ms
        if paused_ms > _PAUSE_MS:
            self._in_force = 0.0
            self._since_ms = now_ms
            self._context.decide(
                ring.DecisionKind.LIMIT,
                "share-held-back",
                "host-paused",
                subject=self._context.data_centre,
                detail={"paused_ms": round(paused_ms), "for_ms": HOLD_MS},
            )
        self._seen_ms = now_ms
        spec = self._records.fleet()
        if spec is not self._spec:
            self._spec = spec
            self._retarget(now_ms)
        if now_ms - self._since_ms >= HOLD_MS:
            self._in_force = self._target
        return self._in_force

    def _retarget(self, now_ms: float) -> None:
        target = self._published()
        if target != self._target:
            self._since_ms = now_ms
        self._target = target
        self._in_force = min(self._in_force, target)

    def _published(self) -> float:
        if self._spec is None:
            return 0.0
        total = sum(entry.weight for entry in self._spec.data_centres)
        own = sum(
            entry.weight
            for entry in self._spec.data_centres
            if entry.data_centre == self._context.data_centre
        )
        return own / total if total > 0 else 0.0
