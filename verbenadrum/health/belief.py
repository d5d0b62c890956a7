"""Judge that keeps, for each server, the probability that it is sick now.

It answers pools whose servers get few requests each and fail in quick errors for seconds at a
time: there the first failure says nearly everything, and counting several costs the callers of
each. A server is well or sick (a two-state hidden Markov model, Rabiner, 1989). Each outcome
multiplies the odds by its likelihood ratio; with time the probability returns to that of any
server, so that a sick one is tried again.
"""

import math
from collections.abc import Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.health import evidence, latency, registry

__all__ = ["BeliefJudge"]

# Probability that a server of which nothing is known is sick.
_PRIOR = 0.1
# Time constant of the return to the prior; failures in a row lengthen it, as sick spells last.
_RELAX_MS = 3_000.0
_RELAX_GROWTH = 1.4
_LONGEST_RELAX_MS = 8_000.0
# Likelihood ratios of an outcome, sick against well: a sick server fails about seven requests in
# ten, a well one two in a hundred.
_FAILED_RATIO = 35.0
_OK_RATIO = 0.3
# A refusal without a run may only say that another caller was sooner. Where the whole pool sheds,
# it tells nothing of one server.
_SHED_RATIO = 8.0
_SHED_CHANCE = 0.7
_SHED_DECAY = 0.95
# One entry host that cannot reach a server tells mostly of its path; a second one within this time,
# with no good answer in between, tells of the server.
_UNREACHED_RATIO = 2.0
_UNREACHED_AGAIN_RATIO = 12.0
_UNREACHED_MEMORY_MS = 3_000.0
_LATE_RATIO = 3.0
_SLOW_QUANTILE = 0.9
_LATE_QUANTILE = 0.99
# A sick server leaves this part of its requests without an answer; the rest come as usual.
_STALLED = 0.5
_MOST = 0.995
_LEAST = 0.002
_MIN_SAMPLES = 30
# Latencies of a pool that has not answered enough requests yet, as quantiles in milliseconds:
# servers that have just started are slow, and a wait must not be taken for a stall by mistake.
_UNKNOWN_LATE_MS = 4_000.0

_FAILURES = (
    ports.OutcomeKind.MISDIRECTED,
    ports.OutcomeKind.SERVER_ERROR,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
)
# Ends that say how long a request had no answer; its time may just have been short.
_UNANSWERED = (ports.OutcomeKind.CANCELLED, ports.OutcomeKind.TIMEOUT)


class _Row(msgspec.Struct, kw_only=True):
    """What is believed of one server at ``at_ms``, without the requests under way."""

    probability: float = _PRIOR
    at_ms: float = -math.inf
    relax_ms: float = _RELAX_MS
    stalled_ratio: float = 1.0
    # Who could not reach the server last, and when; nobody since it gave a good answer.
    unreached_by: str = ""
    unreached_ms: float = -math.inf


@registry.judges.register("belief")
class BeliefJudge:
    """Gives a probability of sickness instead of verdicts; placement weighs it."""

    def __init__(self) -> None:
        self._rows: dict[ids.ServerId, _Row] = {}
        self._latencies = latency.LatencyHistogram()
        self._slow_ms = _UNKNOWN_LATE_MS / 2.0
        self._late_ms = _UNKNOWN_LATE_MS
        self._shed_rate = 0.0
        self._reviews = 0
        # Hosts that could not reach a server, to be told at the next review.
        self._unreached: list[tuple[ids.ServerId, ids.HostId]] = []

    def ended(self, evidence: evidence.Evidence) -> None:
        """Take in the end of an attempt."""
        if evidence.kind is ports.OutcomeKind.OK:
            self._latencies.add(evidence.latency_ms)
        shed = evidence.kind is ports.OutcomeKind.SHED
        self._shed_rate = self._shed_rate * _SHED_DECAY + shed * (1.0 - _SHED_DECAY)
        ratio = self._ratio(evidence)
        if ratio == 1.0:
            return
        row = self._rows.setdefault(evidence.server, _Row())
        now = self._relaxed(row, evidence.at_ms)
        was_sick = now > 0.5 or row.probability > 0.5
        odds = now / (1.0 - now) * ratio
        row.probability = min(_MOST, max(_LEAST, odds / (1.0 + odds)))
        row.at_ms = evidence.at_ms
        if ratio < 1.0:
            row.relax_ms = _RELAX_MS
        elif was_sick:
            row.relax_ms = min(_LONGEST_RELAX_MS, row.relax_ms * _RELAX_GROWTH)

    def review(
        self, *, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> list[evidence.Verdict]:
        """Weigh the requests under way, and return the paths that do not reach their server."""
        self._reviews += 1
        if self._reviews % 20 == 1 and self._latencies.total >= _MIN_SAMPLES:
            self._slow_ms = self._latencies.quantile(_SLOW_QUANTILE)
            self._late_ms = max(self._slow_ms * 1.1, self._latencies.quantile(_LATE_QUANTILE))
        for row in self._rows.values():
            row.stalled_ratio = 1.0
        for flight in flights:
            ratio = self._stalled_ratio(flight.waited_ms)
            if ratio > 1.0:
                row = self._rows.setdefault(flight.server, _Row())
                row.stalled_ratio = max(row.stalled_ratio, ratio)
        unreached, self._unreached = self._unreached, []
        return [
            evidence.Verdict(
                kind=evidence.VerdictKind.PATH,
                server=server,
                reason="not-reached",
                score=0.0,
                observers=(observer,),
            )
            for server, observer in unreached
        ]

    def doubt(self, server: ids.ServerId, now_ms: float) -> float:
        """Return the probability that a server is sick."""
        row = self._rows.get(server)
        if row is None:
            return _PRIOR
        now = self._relaxed(row, now_ms)
        odds = now / (1.0 - now) * row.stalled_ratio
        return odds / (1.0 + odds)

    def forget(self, server: ids.ServerId) -> None:
        """Believe of a server what is believed of any."""
        self._rows.pop(server, None)

    def _relaxed(self, row: _Row, now_ms: float) -> float:
        left = math.exp(min(0.0, row.at_ms - now_ms) / row.relax_ms)
        return _PRIOR + (row.probability - _PRIOR) * left

    def _ratio(self, evidence: evidence.Evidence) -> float:
        if evidence.kind in _FAILURES:
            return _FAILED_RATIO
        if evidence.kind is ports.OutcomeKind.SHED:
            return max(1.0, min(_SHED_RATIO, _SHED_CHANCE / max(0.01, self._shed_rate)))
        if evidence.kind is ports.OutcomeKind.CONNECT_FAILED:
            return self._unreached_ratio(evidence)
        if evidence.kind is ports.OutcomeKind.OK:
            self._rows.setdefault(evidence.server, _Row()).unreached_by = ""
            return _LATE_RATIO if evidence.latency_ms > 2.0 * self._late_ms else _OK_RATIO
        if evidence.kind in _UNANSWERED:
            return self._stalled_ratio(evidence.latency_ms)
        return 1.0

    def _unreached_ratio(self, evidence: evidence.Evidence) -> float:
        row = self._rows.setdefault(evidence.server, _Row())
        last, last_ms = row.unreached_by, row.unreached_ms
        row.unreached_by, row.unreached_ms = evidence.observer, evidence.at_ms
        self._unreached.append((evidence.server, evidence.observer))
        if not last or evidence.at_ms - last_ms > _UNREACHED_MEMORY_MS:
            return _UNREACHED_RATIO
        return 1.0 if last == evidence.observer else _UNREACHED_AGAIN_RATIO

    def _stalled_ratio(self, waited_ms: float) -> float:
        """Return the likelihood ratio of a request that has had no answer for so long.

        Between the two quantiles the survival function of a well server is taken to fall with a
        power of the time, and beyond the later one with the third power.
        """
        if waited_ms <= self._slow_ms:
            return 1.0
        if waited_ms < self._late_ms:
            share = math.log(waited_ms / self._slow_ms) / math.log(self._late_ms / self._slow_ms)
            slow, late = 1.0 - _SLOW_QUANTILE, 1.0 - _LATE_QUANTILE
            well = slow * (late / slow) ** share
        else:
            well = max(1e-4, (1.0 - _LATE_QUANTILE) * (self._late_ms / waited_ms) ** 3.0)
        return min(_FAILED_RATIO, (_STALLED + (1.0 - _STALLED) * well) / well)
