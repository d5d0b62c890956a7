"""Bayesian failure detector: the probability that each server is faulty now.

It is meant for pools whose servers get few requests each and return quick errors for seconds at a
time. There the first failure is nearly conclusive, and a detector that waits for several lets each
of them reach a caller. A server is healthy or faulty (a two-state hidden Markov model, Rabiner,
1989). Each outcome multiplies the odds of a fault by its likelihood ratio. Over time the
probability returns to the prior, so that a faulty server is tried again.
"""

import math
from collections.abc import Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.health import evidence, latency, registry

__all__ = ["BeliefJudge"]

# Probability that a server without evidence is faulty.
_PRIOR_PROBABILITY = 0.1
# Time constant of the exponential return to the prior. Each failure of a server that already counts
# as faulty lengthens it, because a fault that has lasted is likely to go on.
_DECAY_MS = 3_000.0
_DECAY_GROWTH = 1.4
_MAX_DECAY_MS = 8_000.0
# Likelihood ratios of an outcome, faulty to healthy: a faulty server fails about 70 % of its
# requests, a healthy one 2 %.
_FAILURE_RATIO = 35.0
_SUCCESS_RATIO = 0.3
# A healthy server sheds load as well when another caller took its last slot, so the ratio falls as
# the shed rate of the pool rises; where the whole pool sheds load, it is 1.
_MAX_SHED_RATIO = 8.0
_FAULTY_SHED_RATE = 0.7
_SHED_RATE_DECAY = 0.95
# A failed connection from one entry host mostly points to its network path. A failure from a second
# host within the window, with no success in between, points to the server.
_CONNECT_FAILED_RATIO = 2.0
_SECOND_OBSERVER_RATIO = 12.0
_CONNECT_FAILED_WINDOW_MS = 3_000.0
# For an answer later than twice the late quantile.
_LATE_ANSWER_RATIO = 3.0
_SLOW_QUANTILE = 0.9
_LATE_QUANTILE = 0.99
# Fraction of its requests that a faulty server leaves unanswered; the rest have the usual latency.
_FAULTY_STALL_RATE = 0.5
_MAX_PROBABILITY = 0.995
_MIN_PROBABILITY = 0.002
_MIN_LATENCY_SAMPLES = 30
# Late quantile that is assumed until there are enough samples; the slow quantile is half of it. It
# is high because servers that have just started are slow, which must not count as a stall.
_DEFAULT_LATE_MS = 4_000.0

_FAILURES = (
    ports.OutcomeKind.MISDIRECTED,
    ports.OutcomeKind.SERVER_ERROR,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
)
# The time without an answer is the evidence here, not the end of the attempt, which may be due to a
# short deadline.
_UNANSWERED = (ports.OutcomeKind.CANCELLED, ports.OutcomeKind.TIMEOUT)


class _ServerState(msgspec.Struct, kw_only=True):
    """Evidence about one server.

    Attributes
    ----------
    probability : float
        Probability of a fault at ``at_ms``, in-flight requests left out.
    at_ms : float
        Monotonic time of the last outcome that changed the probability.
    decay_ms : float
        Time constant of its return to the prior.
    in_flight_ratio : float
        Greatest likelihood ratio of an in-flight request, 1 for none.
    connect_failed_by : str
        Entry host of the last failed connection; empty after a success.
    connect_failed_ms : float
        Monotonic time of that failure.
    """

    probability: float = _PRIOR_PROBABILITY
    at_ms: float = -math.inf
    decay_ms: float = _DECAY_MS
    in_flight_ratio: float = 1.0
    connect_failed_by: str = ""
    connect_failed_ms: float = -math.inf


@registry.judges.register("belief")
class BeliefJudge:
    """Estimates the probability that each server is faulty.

    Placement prefers servers with a low probability. The only verdicts are `VerdictKind.PATH`, for
    connections that fail.
    """

    def __init__(self) -> None:
        self._rows: dict[ids.ServerId, _ServerState] = {}
        self._latencies = latency.LatencyHistogram()
        self._slow_ms = _DEFAULT_LATE_MS / 2.0
        self._late_ms = _DEFAULT_LATE_MS
        self._shed_rate = 0.0
        self._find_count = 0
        # Server and entry host of each failed connection since the last call of `find_outliers`.
        self._failed_paths: list[tuple[ids.ServerId, ids.HostId]] = []

    def record_outcome(self, evidence: evidence.Evidence) -> None:
        """Update the probability of a server with the outcome of an attempt."""
        if evidence.kind is ports.OutcomeKind.OK:
            self._latencies.add(evidence.latency_ms)
        shed = evidence.kind is ports.OutcomeKind.SHED
        self._shed_rate = self._shed_rate * _SHED_RATE_DECAY + shed * (1.0 - _SHED_RATE_DECAY)
        ratio = self._likelihood_ratio(evidence)
        if ratio == 1.0:
            return
        row = self._rows.setdefault(evidence.server, _ServerState())
        current = self._decayed(row, evidence.at_ms)
        was_faulty = current > 0.5 or row.probability > 0.5
        odds = current / (1.0 - current) * ratio
        row.probability = min(_MAX_PROBABILITY, max(_MIN_PROBABILITY, odds / (1.0 + odds)))
        row.at_ms = evidence.at_ms
        if ratio < 1.0:
            row.decay_ms = _DECAY_MS
        elif was_faulty:
            row.decay_ms = min(_MAX_DECAY_MS, row.decay_ms * _DECAY_GROWTH)

    def find_outliers(
        self, *, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> list[evidence.Verdict]:
        """Score the in-flight requests, and return a verdict for each failed connection."""
        self._find_count += 1
        if self._find_count % 20 == 1 and self._latencies.total >= _MIN_LATENCY_SAMPLES:
            self._slow_ms = self._latencies.quantile(_SLOW_QUANTILE)
            self._late_ms = max(self._slow_ms * 1.1, self._latencies.quantile(_LATE_QUANTILE))
        for row in self._rows.values():
            row.in_flight_ratio = 1.0
        for flight in flights:
            ratio = self._unanswered_ratio(flight.waited_ms)
            if ratio > 1.0:
                row = self._rows.setdefault(flight.server, _ServerState())
                row.in_flight_ratio = max(row.in_flight_ratio, ratio)
        failed_paths, self._failed_paths = self._failed_paths, []
        return [
            evidence.Verdict(
                kind=evidence.VerdictKind.PATH,
                server=server,
                reason="not-reached",
                score=0.0,
                observers=(observer,),
            )
            for server, observer in failed_paths
        ]

    def fault_probability(self, server: ids.ServerId, now_ms: float) -> float:
        """Return the probability that a server is faulty, in-flight requests included."""
        row = self._rows.get(server)
        if row is None:
            return _PRIOR_PROBABILITY
        current = self._decayed(row, now_ms)
        odds = current / (1.0 - current) * row.in_flight_ratio
        return odds / (1.0 + odds)

    def forget(self, server: ids.ServerId) -> None:
        """Reset a server to the prior probability."""
        self._rows.pop(server, None)

    def _decayed(self, row: _ServerState, now_ms: float) -> float:
        remaining = math.exp(min(0.0, row.at_ms - now_ms) / row.decay_ms)
        return _PRIOR_PROBABILITY + (row.probability - _PRIOR_PROBABILITY) * remaining

    def _likelihood_ratio(self, evidence: evidence.Evidence) -> float:
        if evidence.kind in _FAILURES:
            return _FAILURE_RATIO
        if evidence.kind is ports.OutcomeKind.SHED:
            return max(1.0, min(_MAX_SHED_RATIO, _FAULTY_SHED_RATE / max(0.01, self._shed_rate)))
        if evidence.kind is ports.OutcomeKind.CONNECT_FAILED:
            return self._connect_failed_ratio(evidence)
        if evidence.kind is ports.OutcomeKind.OK:
            self._rows.setdefault(evidence.server, _ServerState()).connect_failed_by = ""
            return (
                _LATE_ANSWER_RATIO if evidence.latency_ms > 2.0 * self._late_ms else _SUCCESS_RATIO
            )
        if evidence.kind in _UNANSWERED:
            return self._unanswered_ratio(evidence.latency_ms)
        return 1.0

    def _connect_failed_ratio(self, evidence: evidence.Evidence) -> float:
        row = self._rows.setdefault(evidence.server, _ServerState())
        last, last_ms = row.connect_failed_by, row.connect_failed_ms
        row.connect_failed_by, row.connect_failed_ms = evidence.observer, evidence.at_ms
        self._failed_paths.append((evidence.server, evidence.observer))
        if not last or evidence.at_ms - last_ms > _CONNECT_FAILED_WINDOW_MS:
            return _CONNECT_FAILED_RATIO
        return 1.0 if last == evidence.observer else _SECOND_OBSERVER_RATIO

    def _unanswered_ratio(self, waited_ms: float) -> float:
        """Return the likelihood ratio of a request that is unanswered after ``waited_ms``.

        The survival function of a healthy server is modelled as a power law of the time between
        the slow and the late quantile, and as an inverse cube beyond the late one.
        """
        if waited_ms <= self._slow_ms:
            return 1.0
        if waited_ms < self._late_ms:
            exponent = math.log(waited_ms / self._slow_ms) / math.log(self._late_ms / self._slow_ms)
            slow, late = 1.0 - _SLOW_QUANTILE, 1.0 - _LATE_QUANTILE
            healthy = slow * (late / slow) ** exponent
        else:
            healthy = max(1e-4, (1.0 - _LATE_QUANTILE) * (self._late_ms / waited_ms) ** 3.0)
        return min(
            _FAILURE_RATIO, (_FAULTY_STALL_RATE + (1.0 - _FAULTY_STALL_RATE) * healthy) / healthy
        )
