"""Signals of the backend servers in a soak test, and the checks of what the servers get then.

One server names a limit, another refuses requests and asks for rests, and a third says that it is
leaving; the rests change over time. The checks have the letters (h), a host sends nothing to a
leaving server later than `DRAIN_MS` after it has passed the word on, and (i), a limited server gets
no more than its limit from the host processes that know of it.
"""

import collections
import random

import gevent

from standins import backend, behaviours, fleet, planned_work, raw_caller, soak_checks

__all__ = ["Signals"]

# The users' bounds: for a leaving server; and for a limited one, in any window from the settling
# time on, a multiple of the limit and some requests, summed over the processes that have passed on
# an answer with the limit.
DRAIN_MS = 2_500.0
_TOLD_MS = 500.0
_SETTLING_MS = 4_000.0
_WINDOW_MS = 4_000.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_MS_PER_S = 1_000.0

_LIMITED, _RESTING, _LEAVING = "s1", "s2", "s3"
_LIMITS_PER_S = (1.0, 2.0, 5.0)
_FIRST_SIGNAL_S = 0.5
_REST_SHARE = 0.2
_REST_MS = (300.0, 2_000.0)
_REST_INTERVAL_S = (0.5, 2.0)


class Signals:
    """Lets backend servers send signals, and checks what they get.

    Parameters
    ----------
    running : Fleet
        The running fleet.
    rng : random.Random
        Draws the limit and the times.
    seconds : float
        Length of the run; the server that leaves says so at a random time in its first half.
    """

    def __init__(self, *, running: fleet.Fleet, rng: random.Random, seconds: float) -> None:
        self._fleet = running
        self._rng = rng
        self._limit_per_s = rng.choice(_LIMITS_PER_S)
        self._leaves_at_s = rng.uniform(_FIRST_SIGNAL_S, seconds / 2.0)
        self._named_ms = 0.0
        self._left_ms = 0.0
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to send the signals, in the background."""
        self._greenlets = [
            gevent.spawn_later(_FIRST_SIGNAL_S, self._name_limit),
            gevent.spawn_later(self._leaves_at_s, self._leave),
            gevent.spawn(self._ask_for_rests),
        ]

    def stop(self) -> None:
        """Stop to ask for rests; the other signals go on."""
        gevent.killall(self._greenlets)

    def violations(
        self, checks: soak_checks.Checks, results: list[raw_caller.RequestResult]
    ) -> list[soak_checks.Violation]:
        """Return the violations of both checks."""
        by_request = {result.request: result for result in results}
        sent = collections.defaultdict(list)
        for run in self._fleet.runs():
            result = by_request.get(run.request)
            process = None if result is None else checks.find_process(result)
            if process is not None:
                sent[run.server].append((run, result, process))
        return self._check_leaving(sent[_LEAVING]) + self._check_limit(sent[_LIMITED])

    def _check_leaving(self, sent: list) -> list[soak_checks.Violation]:
        told_ms = _told_ms(sent, self._left_ms)
        return [
            soak_checks.Violation(
                check="h",
                text=f"{run.request} reached {run.server} from {process.host} run {process.number}"
                f" {run.at_ms - told_ms[id(process)]:.0f} ms after it had passed on that it leaves",
            )
            for run, _, process in sent
            if run.at_ms > told_ms.get(id(process), float("inf")) + DRAIN_MS
        ]

    def _check_limit(self, sent: list) -> list[soak_checks.Violation]:
        told_ms = _told_ms(sent, self._named_ms)
        times_ms = sorted(
            run.at_ms
            for run, _, process in sent
            if run.at_ms >= told_ms.get(id(process), float("inf")) + _TOLD_MS
            and run.at_ms >= self._named_ms + _SETTLING_MS
        )
        most = max(
            (sum(start <= at < start + _WINDOW_MS for at in times_ms) for start in times_ms),
            default=0,
        )
        allowed = _LIMIT_FACTOR * self._limit_per_s * _WINDOW_MS / _MS_PER_S + _LIMIT_SLACK
        if most <= allowed:
            return []
        text = f"{_LIMITED} with a limit of {self._limit_per_s:g}/s got {most} of {allowed:g}"
        return [soak_checks.Violation(check="i", text=text)]

    def _name_limit(self) -> None:
        self._set(_LIMITED, behaviours.Fault(name="limit", rate_per_s=self._limit_per_s))
        self._named_ms = planned_work.now_ms()

    def _leave(self) -> None:
        self._set(_LEAVING, behaviours.Fault(name="drain"))
        self._left_ms = planned_work.now_ms()

    def _ask_for_rests(self) -> None:
        while True:
            gevent.sleep(self._rng.uniform(*_REST_INTERVAL_S))
            rest_ms = self._rng.uniform(*_REST_MS)
            self._set(_RESTING, behaviours.Fault(name="rest", share=_REST_SHARE, ms=rest_ms))

    def _set(self, server: str, fault: behaviours.Fault) -> None:
        self._fleet.set_server_faults(server, [fault])


def _told_ms(
    sent: list[tuple[backend.Run, raw_caller.RequestResult, planned_work.HostProcess]],
    since_ms: float,
) -> dict[int, float]:
    """Return when each host process, by its id, had first passed on an answer sent after a time."""
    told: dict[int, float] = {}
    for run, result, process in sent:
        if since_ms and run.at_ms >= since_ms and result.status == 200:  # noqa: PLR2004
            told[id(process)] = min(result.ended_ms, told.get(id(process), float("inf")))
    return told
