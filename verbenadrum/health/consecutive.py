"""Baseline failure detector: a server is faulty after several consecutive failures."""

import collections
from collections.abc import Iterable

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.health import evidence, registry

__all__ = ["ConsecutiveJudge"]

_FAILURES_UNTIL_FAULTY = 5
_IGNORED_KINDS = (ports.OutcomeKind.CANCELLED, ports.OutcomeKind.SHED)


@registry.judges.register("consecutive")
class ConsecutiveJudge:
    """Counts the failures of each server since its last success.

    Kept as a baseline for comparison. It misses a server that stalls only some of its answers,
    because too few failures are consecutive, and a fault of an observer makes it report every
    server as faulty.
    """

    def __init__(self) -> None:
        self._failures: collections.Counter[ids.ServerId] = collections.Counter()

    def record_outcome(self, evidence: evidence.Evidence) -> None:
        """Count a failure, or reset the count after a success."""
        if evidence.kind in _IGNORED_KINDS:
            return
        if evidence.kind is ports.OutcomeKind.OK:
            self._failures.pop(evidence.server, None)
        else:
            self._failures[evidence.server] += 1

    def find_outliers(
        self, *, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> list[evidence.Verdict]:
        """Return the servers with too many consecutive failures, most failures first."""
        return [
            evidence.Verdict(
                kind=evidence.VerdictKind.SICK,
                server=server,
                reason="consecutive-failures",
                score=float(count),
            )
            for server, count in self._failures.most_common()
            if count >= _FAILURES_UNTIL_FAULTY
        ]

    def fault_probability(self, server: ids.ServerId, now_ms: float) -> float:
        """Return 0: this detector only returns verdicts."""
        return 0.0

    def forget(self, server: ids.ServerId) -> None:
        """Reset the count of a server."""
        self._failures.pop(server, None)
