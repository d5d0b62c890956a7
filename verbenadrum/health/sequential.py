"""Sequential failure detector: cumulative log-likelihood ratios relative to the whole pool."""

import collections
import math
from collections.abc import Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.health import evidence, latency, registry

__all__ = ["SequentialJudge"]

# Scores are natural logarithms of likelihood ratios.
_FAULTY_SCORE = 15.0
# One failure alone stays below `_FAULTY_SCORE`, two may reach it.
_MAX_FAILURE_SCORE = 7.6
# A late answer is weaker evidence than a missing one.
_MAX_LATE_SCORE = 2.0
_MAX_CANCELLED_SCORE = 2.8
_FAULTY_FAILURE_RATE = 0.25
_MIN_FAILURE_RATE = 0.002
_MIN_ERROR_RATE = 0.01
_SHED_SCORE = 1.0
_SUCCESS_SCORE = math.log((1.0 - _FAULTY_FAILURE_RATE) / (1.0 - _MIN_FAILURE_RATE))

# A healthy server answers this fraction of its requests after the slow limit. The fraction that is
# still unanswered falls with this power of the time.
_SLOW_FRACTION = 0.01
_TAIL_EXPONENT = 3.0
_MIN_SLOW_MS = 150.0
_MIN_STALL_MS = 400.0
_DEFAULT_SLOW_MS = 400.0
_MIN_LATENCY_SAMPLES = 100

_WINDOW_MS = 10_000.0
_MAX_WINDOW_EVENTS = 128
_SHARED_FAULT_FRACTION = 0.34
_MIN_FAILING_OBSERVERS = 3
_MIN_FAILING_OBSERVER_SHARE = 0.25
_RATE_DECAY = 0.999

_FAILURES = (
    ports.OutcomeKind.CONNECT_FAILED,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
    ports.OutcomeKind.CROSSED,
)
_CONNECTION_BREAKS = (ports.OutcomeKind.RESET, ports.OutcomeKind.TRUNCATED)
_SAME_PAUSE_WINDOW_MS = 250.0
_SAME_CRASH_WINDOW_MS = 100.0
# Weight of each further failure that the same pause or crash may have caused.
_REPEATED_FAILURE_WEIGHT = 0.25


class _Event(msgspec.Struct, frozen=True):
    """Scored outcome of an attempt; a positive score is evidence against the server."""

    at_ms: float
    started_ms: float
    observer: ids.HostId
    group: ids.DataCentreId
    score: float


class _ServerRow(msgspec.Struct):
    """Score and recent events of one server.

    ``broken_ms`` and ``overtaken_ms`` are the times of the last broken connection and of the last
    attempt overtaken by a hedge that counted with full weight.
    """

    score: float = 0.0
    broken_ms: float = -math.inf
    overtaken_ms: float = -math.inf
    events: collections.deque[_Event] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_WINDOW_EVENTS)
    )


@registry.judges.register("sequential")
class SequentialJudge:
    """Accumulates a score for each server, and compares suspects with the rest of the pool.

    A failure, a slow answer or a wait beyond the pool's own tail latency raises a server's score,
    a success lowers it, and the score never falls below zero (Page's CUSUM over Wald's likelihood
    ratios). A server whose score reaches the limit is a suspect. It is faulty only if the evidence
    of the observers that can still use other servers suffices, and comes from more than one.
    """

    def __init__(self) -> None:
        self._rows: dict[ids.ServerId, _ServerRow] = collections.defaultdict(_ServerRow)
        self._latencies: dict[ids.DataCentreId, latency.LatencyHistogram] = collections.defaultdict(
            latency.LatencyHistogram
        )
        self._slow_ms: dict[ids.DataCentreId, float] = {}
        self._tail_ms: dict[ids.DataCentreId, float] = {}
        self._failure_rate = 0.0
        self._overtaken_rate = 0.0
        self._find_count = 0

    def record_outcome(self, evidence: evidence.Evidence) -> None:
        """Add the outcome of an attempt to the score of its server."""
        failed = evidence.kind in _FAILURES
        self._failure_rate = self._failure_rate * _RATE_DECAY + failed * (1.0 - _RATE_DECAY)
        if evidence.kind is ports.OutcomeKind.OK:
            self._latencies[evidence.group].add(evidence.latency_ms)
        overtaken = self._is_overtaken(evidence)
        self._overtaken_rate = self._overtaken_rate * _RATE_DECAY + overtaken * (1.0 - _RATE_DECAY)
        score = self._overtaken_score() if overtaken else self._score(evidence)
        if score == 0.0:
            return
        row = self._rows[evidence.server]
        if overtaken:
            # One pause of a server makes hedges overtake all of its in-flight attempts at once.
            if evidence.at_ms - row.overtaken_ms < _SAME_PAUSE_WINDOW_MS:
                score *= _REPEATED_FAILURE_WEIGHT
            else:
                row.overtaken_ms = evidence.at_ms
        if evidence.kind in _CONNECTION_BREAKS:
            # One crash resets every connection of a server, so the later resets count less.
            if evidence.at_ms - row.broken_ms < _SAME_CRASH_WINDOW_MS:
                score *= _REPEATED_FAILURE_WEIGHT
            else:
                row.broken_ms = evidence.at_ms
        row.score = max(0.0, row.score + score)
        started_ms = evidence.at_ms - evidence.latency_ms
        row.events.append(
            _Event(evidence.at_ms, started_ms, evidence.observer, evidence.group, score)
        )

    def find_outliers(
        self, *, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> list[evidence.Verdict]:
        """Return verdicts on the suspected servers, worst first."""
        self._find_count += 1
        if self._find_count % 20 == 1:
            self._slow_ms.clear()
            self._tail_ms.clear()
        waiting = self._in_flight_events(now_ms, flights)
        suspects = [
            server
            for server, row in self._rows.items()
            if row.score + sum(event.score for event in waiting[server]) >= _FAULTY_SCORE
        ]
        suspects += [
            server
            for server, events in list(waiting.items())
            if server not in self._rows and _total_score(events) >= _FAULTY_SCORE
        ]
        if not suspects:
            return []
        view = _PoolView(self._events(now_ms, waiting))
        verdicts = [view.verdict(server) for server in suspects]
        found = [verdict for verdict in verdicts if verdict is not None]
        return sorted(found, key=lambda verdict: -verdict.score)

    def fault_probability(self, server: ids.ServerId, now_ms: float) -> float:
        """Return 0: this detector only returns verdicts."""
        return 0.0

    def forget(self, server: ids.ServerId) -> None:
        """Drop all evidence about a server."""
        self._rows.pop(server, None)

    def _score(self, evidence: evidence.Evidence) -> float:
        if evidence.kind in _FAILURES:
            return _log_ratio(max(_MIN_FAILURE_RATE, self._failure_rate))
        if evidence.kind is ports.OutcomeKind.SERVER_ERROR:
            return _log_ratio(max(_MIN_ERROR_RATE, self._failure_rate))
        if evidence.kind is ports.OutcomeKind.SHED:
            return _SHED_SCORE
        if evidence.kind is ports.OutcomeKind.CANCELLED:
            return self._cancelled_score(evidence)
        slow = self._wait_score(evidence.group, evidence.latency_ms)
        if slow > 0.0:
            answered = evidence.kind is ports.OutcomeKind.OK
            return min(slow, _MAX_LATE_SCORE) if answered else slow
        return _SUCCESS_SCORE if evidence.kind is ports.OutcomeKind.OK else 0.0

    def _is_overtaken(self, evidence: evidence.Evidence) -> bool:
        """Return whether an attempt was cancelled between the tail and the slow limit of the pool.

        A hedge that was sent later has answered first. The rarer that is in this pool, the
        stronger is the evidence.
        """
        if evidence.kind is not ports.OutcomeKind.CANCELLED:
            return False
        group = evidence.group
        return self._tail_limit_ms(group) <= evidence.latency_ms < self._slow_limit_ms(group)

    def _overtaken_score(self) -> float:
        return min(_MAX_CANCELLED_SCORE, _log_ratio(max(_MIN_ERROR_RATE, self._overtaken_rate)))

    def _tail_limit_ms(self, group: ids.DataCentreId) -> float:
        cached = self._tail_ms.get(group)
        if cached is None:
            histogram = self._latencies[group]
            known = histogram.total >= _MIN_LATENCY_SAMPLES
            cached = histogram.quantile(1.0 - _SLOW_FRACTION) if known else math.inf
            self._tail_ms[group] = cached
        return cached

    def _cancelled_score(self, evidence: evidence.Evidence) -> float:
        """Return the score of an unanswered attempt that a hedge or the caller cancelled."""
        slow_ms = self._slow_limit_ms(evidence.group)
        if evidence.latency_ms < slow_ms / 2.0:
            return 0.0
        return min(_MAX_CANCELLED_SCORE, _late_log_ratio(evidence.latency_ms, slow_ms))

    def _wait_score(self, group: ids.DataCentreId, waited_ms: float) -> float:
        slow_ms = self._slow_limit_ms(group)
        if waited_ms < max(slow_ms, _MIN_STALL_MS):
            return 0.0
        return _late_log_ratio(waited_ms, slow_ms)

    def _slow_limit_ms(self, group: ids.DataCentreId) -> float:
        cached = self._slow_ms.get(group)
        if cached is not None:
            return cached
        histogram = self._latencies[group]
        limit = _DEFAULT_SLOW_MS
        if histogram.total >= _MIN_LATENCY_SAMPLES:
            limit = max(_MIN_SLOW_MS, histogram.quantile(1.0 - _SLOW_FRACTION))
        self._slow_ms[group] = limit
        return limit

    def _in_flight_events(
        self, now_ms: float, flights: Iterable[evidence.Flight]
    ) -> dict[ids.ServerId, list[_Event]]:
        waiting: dict[ids.ServerId, list[_Event]] = collections.defaultdict(list)
        for flight in flights:
            score = self._wait_score(flight.group, flight.waited_ms)
            if score > 0.0:
                started_ms = now_ms - flight.waited_ms
                event = _Event(now_ms, started_ms, flight.observer, flight.group, score)
                waiting[flight.server].append(event)
        return waiting

    def _events(
        self, now_ms: float, waiting: dict[ids.ServerId, list[_Event]]
    ) -> dict[ids.ServerId, list[_Event]]:
        events: dict[ids.ServerId, list[_Event]] = {}
        for server in {*self._rows, *waiting}:
            row = self._rows.get(server)
            recent = [] if row is None else row.events
            kept = [event for event in recent if now_ms - event.at_ms <= _WINDOW_MS]
            events[server] = kept + waiting.get(server, [])
        return events


class _PoolView:
    """Recent events of a whole pool, to separate faults of a server from those of observers."""

    def __init__(self, events: dict[ids.ServerId, list[_Event]]) -> None:
        self._events = events
        self._by_name: dict[str, dict[ids.ServerId, list[_Event]]] = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        self._judged_by_name: dict[str, tuple[set[ids.ServerId], set[ids.ServerId]]] = {}

    def verdict(self, server: ids.ServerId) -> evidence.Verdict | None:
        """Return the verdict on a suspect, or None if its recent evidence is too weak."""
        events = self._events[server]
        score = _cusum(events)
        if score < _FAULTY_SCORE:
            return None
        trusted = [event for event in events if not self._failing_elsewhere(server, event)]
        counted = _cap_each_observer(trusted)
        if _cusum(trusted) < _FAULTY_SCORE:
            return _verdict(evidence.VerdictKind.SHARED, server, "fault-shared", score)
        changed = _events_since_change(trusted)
        failing = _failing_observers(changed)
        if _cusum(counted) < _FAULTY_SCORE or _paths_at_fault(trusted, changed, failing):
            observers = tuple(sorted(failing))
            return _verdict(
                evidence.VerdictKind.PATH, server, "few-observers-only", score, observers
            )
        return _verdict(evidence.VerdictKind.SICK, server, "worse-than-its-pool", score)

    def _failing_elsewhere(self, server: ids.ServerId, event: _Event) -> bool:
        """Return whether an observer or data centre with a failure fails at many others too."""
        return event.score > 0.0 and (
            self._fails_widely(server, "observer:" + event.observer)
            or self._fails_widely(server, "group:" + event.group)
        )

    def _fails_widely(self, server: ids.ServerId, name: str) -> bool:
        judged, failing = self._judged_and_failing(name)
        others = len(judged) - (server in judged)
        failing_others = len(failing) - (server in failing)
        return others > 0 and failing_others / others >= _SHARED_FAULT_FRACTION

    def _judged_and_failing(self, name: str) -> tuple[set[ids.ServerId], set[ids.ServerId]]:
        """Return the servers that an observer or data centre used, and those that fail there."""
        if not self._by_name:
            self._index_by_name()
        found = self._judged_by_name.get(name)
        if found is None:
            judged = set(self._by_name[name])
            failing = {
                server
                for server, events in self._by_name[name].items()
                if _cusum(events) >= _FAULTY_SCORE / 3.0
            }
            found = self._judged_by_name[name] = (judged, failing)
        return found

    def _index_by_name(self) -> None:
        for server, events in self._events.items():
            for event in events:
                for name in ("observer:" + event.observer, "group:" + event.group):
                    self._by_name[name][server].append(event)


def _verdict(
    kind: evidence.VerdictKind,
    server: ids.ServerId,
    reason: str,
    score: float,
    observers: tuple[ids.HostId, ...] = (),
) -> evidence.Verdict:
    return evidence.Verdict(
        kind=kind, server=server, reason=reason, score=round(score, 2), observers=observers
    )


def _late_log_ratio(waited_ms: float, slow_ms: float) -> float:
    return _log_ratio(_SLOW_FRACTION * (slow_ms / waited_ms) ** _TAIL_EXPONENT)


def _log_ratio(probability: float) -> float:
    return (
        min(_MAX_FAILURE_SCORE, math.log(_FAULTY_FAILURE_RATE / probability))
        if probability < _FAULTY_FAILURE_RATE
        else 0.0
    )


def _paths_at_fault(events: list[_Event], changed: list[_Event], failing: set[ids.HostId]) -> bool:
    """Return whether other observers succeed so often that the paths must be at fault.

    Only successes that began after the first failure since the change count.
    """
    onset_ms = min(event.started_ms for event in changed if event.score > 0.0)
    served = {
        event.observer for event in events if event.score < 0.0 and event.started_ms >= onset_ms
    }
    succeeding = served - failing
    if not succeeding:
        return len(failing) < 2
    failing = failing - _unserved_observers(changed)
    share = len(failing) / (len(failing) + len(succeeding))
    # If few hosts use the server, half of them are enough.
    needed = min(_MIN_FAILING_OBSERVERS, max(2, math.ceil(len(served | failing) / 2)))
    return len(failing) < needed or share < _MIN_FAILING_OBSERVER_SHARE


def _failing_observers(events: list[_Event]) -> set[ids.HostId]:
    """Return the observers with more evidence against a server than one late answer."""
    scores: dict[ids.HostId, float] = collections.defaultdict(float)
    for event in events:
        if event.score > 0.0:
            scores[event.observer] += event.score
    return {name for name, score in scores.items() if score > _MAX_LATE_SCORE}


def _unserved_observers(events: list[_Event]) -> set[ids.HostId]:
    """Return the observers with several failures and no success: their path is at fault."""
    failures = collections.Counter(event.observer for event in events if event.score > 0.0)
    served = {event.observer for event in events if event.score < 0.0}
    return {name for name, count in failures.items() if count > 1 and name not in served}


def _cap_each_observer(events: list[_Event]) -> list[_Event]:
    """Limit the score from each observer without a success to that of one attempt.

    Its failures may come from its path to the server as well as from the server.
    """
    served = {event.observer for event in events if event.score < 0.0}
    remaining: dict[ids.HostId, float] = collections.defaultdict(lambda: _MAX_FAILURE_SCORE)
    counted = []
    for event in events:
        if event.score <= 0.0 or event.observer in served:
            counted.append(event)
        elif remaining[event.observer] > 0.0:
            score = min(event.score, remaining[event.observer])
            remaining[event.observer] -= score
            counted.append(msgspec.structs.replace(event, score=score))
    return counted


def _total_score(events: Iterable[_Event]) -> float:
    return sum(event.score for event in events)


def _events_since_change(events: list[_Event]) -> list[_Event]:
    """Return the events since the score was last zero: the likeliest time of the change."""
    score = 0.0
    start = 0
    for index, event in enumerate(events):
        score = max(0.0, score + event.score)
        if score == 0.0:
            start = index + 1
    return events[start:]


def _cusum(events: Iterable[_Event]) -> float:
    score = 0.0
    for event in events:
        score = max(0.0, score + event.score)
    return score
