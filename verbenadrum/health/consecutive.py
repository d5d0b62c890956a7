"""Baseline judge: a server is sick after several failures in a row."""

import collections
from collections.abc import Iterable

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.health import evidence, registry

__all__ = ["ConsecutiveJudge"]

_FAILURES_IN_A_ROW = 5
_NEUTRAL = (ports.OutcomeKind.CANCELLED, ports.OutcomeKind.SHED)


@registry.judges.register("consecutive")
class ConsecutiveJudge:
    """Counts failures since the last good answer and looks at nothing else.

    Kept for comparison: a server that stalls some answers and gives the others in time never
    fails often enough in a row, and a fault of the observer condemns every server.
    """

    def __init__(self) -> None:
        self._failures: collections.Counter[ids.ServerId] = collections.Counter()

    def ended(self, evidence: evidence.Evidence) -> None:
        """Count a failure, or start again after a good answer."""
        if evidence.kind in _NEUTRAL:
            return
        if evidence.kind is ports.OutcomeKind.OK:
            self._failures.pop(evidence.server, None)
        else:
            self._failures[evidence.server] += 1

    def review(
        self, *, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> list[evidence.Verdict]:
        """Return the servers with too many failures in a row."""
        return [
            evidence.Verdict(
                kind=evidence.VerdictKind.SICK,
                server=server,
                reason="consecutive-failures",
                score=float(count),
            )
            for server, count in self._failures.most_common()
            if count >= _FAILURES_IN_A_ROW
        ]

    def doubt(self, server: ids.ServerId, now_ms: float) -> float:
        """Return 0: this judge gives verdicts."""
        return 0.0

    def forget(self, server: ids.ServerId) -> None:
        """Start counting again."""
        self._failures.pop(server, None)
