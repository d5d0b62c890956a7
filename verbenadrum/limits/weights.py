"""Fraction of every workspace's rate and burst that is assigned to this host's data centre."""

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.records import types

__all__ = ["DataCentreWeight", "HOLD_MS"]

# Delay before a higher fraction takes effect. It covers the propagation of a record over the
# fleet (2 s), a pause shorter than the threshold, and the longest lease granted before the record
# arrived.
HOLD_MS = 6_000.0
# A longer time between two calls means that the process was paused.
_PAUSE_THRESHOLD_MS = 1_500.0


class DataCentreWeight:
    """Published weight of the own data centre, divided by the sum of all weights.

    A lower fraction takes effect at once, a higher one only after `HOLD_MS`, so the fractions of
    data centres that receive a record at different times never sum to more than 1. For the same
    time after a start or a pause of this host its fraction is 0.

    Parameters
    ----------
    context : Context
        Clock, data centre of this host, and decision log.
    records : RecordsPort
        Published weights of the data centres.

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
        self._effective = 0.0
        self._target_since_ms = context.now_ms()
        self._last_call_ms = context.now_ms()

    def fraction(self) -> float:
        """Return the fraction in effect now, from 0 to 1; must be called at least each tick.

        A longer gap between calls is handled as a pause of this host.
        """
        now_ms = self._context.now_ms()
        paused_ms = now_ms - self._last_call_ms
        if paused_ms > _PAUSE_THRESHOLD_MS:
            self._effective = 0.0
            self._target_since_ms = now_ms
            self._context.record_decision(
                ring.DecisionKind.LIMIT,
                "share-held-back",
                "host-paused",
                subject=self._context.data_centre,
                detail={"paused_ms": round(paused_ms), "for_ms": HOLD_MS},
            )
        self._last_call_ms = now_ms
        spec = self._records.fleet()
        if spec is not self._spec:
            self._spec = spec
            self._update_target(now_ms)
        if now_ms - self._target_since_ms >= HOLD_MS:
            self._effective = self._target
        return self._effective

    def _update_target(self, now_ms: float) -> None:
        target = self._published_fraction()
        if target != self._target:
            self._target_since_ms = now_ms
        self._target = target
        self._effective = min(self._effective, target)

    def _published_fraction(self) -> float:
        if self._spec is None:
            return 0.0
        total = sum(entry.weight for entry in self._spec.data_centres)
        own = sum(
            entry.weight
            for entry in self._spec.data_centres
            if entry.data_centre == self._context.data_centre
        )
        return own / total if total > 0 else 0.0
