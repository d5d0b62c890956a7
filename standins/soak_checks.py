"""Checks of a soak test: compares the results of callers with the runs on backend servers.

Each check has a letter: (a) a request that ran has an answer, (b) a request that is not idempotent
runs at most once, (c) a request that is answered as not run has not run, (d) answers are intact,
(e) the connection of an unanswered request that was not forwarded is closed within 200 ms, (f) a
host exits within its limit and with code 0, and (g) hosts serve again after planned work.

A stall of a host's process excuses only what no program could do. Time in which the process was
stopped does not count for (e). For (a) and (f), a process that could run for less than
`_MIN_RUNNING_MS` before it was killed at its limit could not pass an answer on, or exit, in time.
Nor can a process know when in a stall its SIGTERM was sent. It has to exit by its limit, counted
from the beginning of the stall, and to hold on to requests until the last sixth of its limit,
counted from the end: so (a) is checked against that last sixth, and a stall that is too long for
both excuses (f).
"""

import collections
from collections.abc import Iterator

import msgspec

from standins import backend, planned_work, raw_caller, soak_stalls
from verbenadrum.daemon import callers

__all__ = ["Checks", "MAX_APPLY_MS", "Violation"]

# A connection must be closed within this time of the last byte of a request that is not forwarded.
_CLOSE_TOLERANCE_MS = 200.0
# Time within which every host applies a new configuration.
MAX_APPLY_MS = 4_000.0
# A host buffers a body of up to this size before it forwards the request; it streams larger ones.
_MAX_BUFFERED_BYTES = callers.MAX_REPLAYABLE_BYTES
# Statuses that guarantee that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses with which a host ends a request that may have run.
_HOST_FAILURE_STATUSES = (502, 504)
_KILLED = "its host was killed"
# A process needs this much running time to pass an answer on, or to refuse the rest and exit.
_MIN_RUNNING_MS = 300.0
# A request that is sent later than in this first part of the limit may not be cut.
_LATEST_PART = 0.5
# A request at which a server is still at work in this last part of the limit may be cut.
_LAST_PART = 1.0 / 6.0
# A server may run out of time this much earlier, as the deadline header is in whole milliseconds.
_DEADLINE_RESOLUTION_MS = 1.0


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A failed check: its letter, and a description of the request and its host."""

    check: str
    text: str


class _ServerRuns(msgspec.Struct, kw_only=True):
    """Runs of one request on servers, in order, and the ends of the runs by server."""

    runs: list[backend.Run] = msgspec.field(default_factory=list)
    ends: dict[str, backend.RunEnd] = msgspec.field(default_factory=dict)


class Checks:
    """Observations of a soak test, and the violations among them.

    Parameters
    ----------
    work : PlannedWork
        Planned work, with the host processes and the published configurations.
    results : list of RequestResult
        Results of the callers' requests.
    strays : list of str
        Descriptions of bytes that were received while no request was open.

    Attributes
    ----------
    excused : Counter
        Observations that would be violations but for an accepted reason, by reason.
    unforwarded_ms : list of float
        Time from the last byte of each request that was not forwarded to the end of its
        connection; filled by `violations`.
    """

    def __init__(
        self,
        *,
        work: planned_work.PlannedWork,
        results: list[raw_caller.RequestResult],
        strays: list[str],
    ) -> None:
        self._work = work
        self._results = results
        self._strays = strays
        self._shutdown = work.shutdown
        self._server_runs: dict[str, _ServerRuns] = collections.defaultdict(_ServerRuns)
        for run in work.fleet.runs():
            self._server_runs[run.request].runs.append(run)
        for end in work.fleet.run_ends():
            self._server_runs[end.request].ends[end.server] = end
        self._processes_by_host: dict[str, list[planned_work.HostProcess]] = (
            collections.defaultdict(list)
        )
        for process in work.processes:
            self._processes_by_host[process.host].append(process)
        self.excused: collections.Counter[str] = collections.Counter()
        self.unforwarded_ms: list[float] = []

    def violations(self) -> list[Violation]:
        """Run the checks and return all violations.

        Call it once: each call adds to ``excused`` and ``unforwarded_ms``.
        """
        violations = [each for result in self._results for each in self._check_result(result)]
        violations += [Violation(check="d", text=f"stray bytes: {text}") for text in self._strays]
        violations += [
            each for process in self._work.processes for each in self._check_process(process)
        ]
        return violations + [Violation(check="g", text=fault) for fault in self._work.faults]

    def summary(self) -> str:
        """Return the counts of endings, excuses, shutdowns and operations, one per line.

        Call `violations` first, which fills ``excused`` and ``unforwarded_ms``.
        """
        endings = collections.Counter(
            f"{result.ending.value} {result.status or ''} {result.code}".strip()
            for result in self._results
        )
        shutdowns = [
            process for process in self._work.processes if process.sigterm_ms and process.ended_ms
        ]
        longest_ms = max(
            (process.ended_ms - process.sigterm_ms for process in shutdowns), default=0.0
        )
        performed = collections.Counter(self._work.performed)
        lines = [f"{count:6d}  requests {label}" for label, count in sorted(endings.items())]
        lines += [f"{count:6d}  excused: {label}" for label, count in sorted(self.excused.items())]
        lines.append(
            f"{len(self.unforwarded_ms):6d}  closed and not passed on,"
            f" {self._describe_unforwarded()}"
        )
        lines.append(f"{len(shutdowns):6d}  ends of hosts, the longest {longest_ms:.0f} ms")
        lines.append(
            f"{sum(len(process.stalls) for process in shutdowns):6d}  stalls of hosts,"
            f" {sum(process.limit_kill_ms > 0 for process in shutdowns)} killed at their limit"
        )
        lines += [f"{count:6d}  work: {label}" for label, count in sorted(performed.items())]
        return "\n".join(lines)

    def _describe_unforwarded(self) -> str:
        if not self.unforwarded_ms:
            return "none"
        ordered = sorted(self.unforwarded_ms)
        median_ms = ordered[len(ordered) // 2]
        return f"after their last byte: median {median_ms:.1f} ms, longest {ordered[-1]:.1f} ms"

    def _check_result(self, result: raw_caller.RequestResult) -> Iterator[Violation]:
        server_runs = self._server_runs[result.request]
        process = self.find_process(result)
        if result.fault:
            yield self._violation("d", result.fault, result, process)
        if result.once and len(server_runs.runs) > 1:
            yield self._violation("b", "ran more than once", result, process)
        if result.status in _NOT_RUN_STATUSES and server_runs.runs:
            yield self._violation("c", f"ran, answered {result.status}", result, process)
        if server_runs.runs and not self._has_answer(result, process):
            killed = process is not None and 0.0 < process.killed_ms <= result.ended_ms
            excuse = _KILLED if killed else self._excuse(result, process, server_runs)
            if excuse:
                self.excused[excuse] += 1
            else:
                yield self._violation("a", f"ran, {result.ending.value}", result, process)
        elif result.sent_ms and result.ending is not raw_caller.Ending.ANSWERED:
            yield from self._check_unforwarded(result, process)

    def _has_answer(
        self, result: raw_caller.RequestResult, process: planned_work.HostProcess | None
    ) -> bool:
        """Return whether a request was answered.

        502 and 504 of a host in shutdown do not count, unless a server gave a faulty answer.
        """
        if result.ending is not raw_caller.Ending.ANSWERED:
            return False
        sigterm_ms = process.sigterm_ms if process else 0.0
        ends = self._server_runs[result.request].ends.values()
        if result.status in _HOST_FAILURE_STATUSES and any(end.faulty for end in ends):
            return True
        ended_by_host = result.status in _HOST_FAILURE_STATUSES and result.code
        return not (ended_by_host and 0 < sigterm_ms <= result.ended_ms)

    def _check_unforwarded(
        self, result: raw_caller.RequestResult, process: planned_work.HostProcess | None
    ) -> Iterator[Violation]:
        stalls = process.stalls if process else []
        waited_ms = soak_stalls.running_ms(stalls, result.sent_ms, result.ended_ms)
        self.unforwarded_ms.append(waited_ms)
        killed = process is not None and process.killed_ms > 0.0
        if waited_ms > _CLOSE_TOLERANCE_MS and not killed:
            description = (
                f"not passed on, {result.ending.value} {waited_ms:.0f} ms after its last byte"
            )
            yield self._violation("e", description, result, process)

    def _excuse(
        self,
        result: raw_caller.RequestResult,
        process: planned_work.HostProcess | None,
        server_runs: _ServerRuns,
    ) -> str:
        """Return an accepted reason why a request that ran has no answer, or an empty string.

        The reasons are the timeout of its route, its time budget, and the time in its host's
        shutdown at which requests still in flight are refused. The latter counts only for a request
        that was sent by the end of the linger, and if its server or its caller was not done at that
        time, or its host was stopped until it was killed.
        """
        excuse = self._excuse_time(result)
        if excuse or process is None or not process.sigterm_ms:
            return excuse
        cutoff_ms = process.sigterm_ms + self._cutoff_ms(process)
        forwardable_ms = (
            result.sent_ms if result.body_bytes <= _MAX_BUFFERED_BYTES else result.head_ms
        )
        linger_ms = min(self._shutdown.linger_ms, self._shutdown.limit_ms * _LATEST_PART)
        in_time = forwardable_ms <= process.sigterm_ms + linger_ms
        if not in_time or result.ended_ms < cutoff_ms - _DEADLINE_RESOLUTION_MS:
            return ""
        end = server_runs.ends.get(server_runs.runs[-1].server)
        if end is None or end.at_ms >= cutoff_ms - _DEADLINE_RESOLUTION_MS:
            return "its server was at work at the host's limit"
        if end.at_ms + result.read_ms >= cutoff_ms:
            return "its caller was still reading at the host's limit"
        return _excuse_stopped(process, end.at_ms)

    def _excuse_time(self, result: raw_caller.RequestResult) -> str:
        taken_ms = result.ended_ms - result.begun_ms
        timeout_ms = self._work.configurations.min_timeout_ms(
            result.begun_ms, result.ended_ms, MAX_APPLY_MS
        )
        if taken_ms >= timeout_ms:
            return "its route's timeout was reached"
        if 0.0 < result.budget_ms <= taken_ms:
            return "its time budget was reached"
        return ""

    def _cutoff_ms(self, process: planned_work.HostProcess) -> float:
        """Return the time from SIGTERM from which a request in flight may be refused."""
        last_part_ms = self._shutdown.limit_ms * (1.0 - _LAST_PART)
        cutoff_ms = self._shutdown.cutoff_ms
        return cutoff_ms if process.sigterm_stall is None else min(cutoff_ms, last_part_ms)

    def _is_end_unknown(self, process: planned_work.HostProcess) -> bool:
        """Return whether a process could not know its limit well enough to exit by then."""
        stall = process.sigterm_stall
        known_ms = self._shutdown.limit_ms * _LAST_PART - _MIN_RUNNING_MS
        return stall is not None and stall.ended_ms - stall.begun_ms > known_ms

    def _excuse_end(self, process: planned_work.HostProcess) -> str:
        """Return why no program would have exited by its limit, or an empty string."""
        limit_ms = process.sigterm_ms + self._shutdown.limit_ms
        cutoff_ms = process.sigterm_ms + self._shutdown.cutoff_ms
        if process.stalls and (
            soak_stalls.running_ms(process.stalls, cutoff_ms, limit_ms) < _MIN_RUNNING_MS
        ):
            return "a host was stopped until its limit"
        if self._is_end_unknown(process):
            return "a host could not know when its SIGTERM was sent"
        return ""

    def _check_process(self, process: planned_work.HostProcess) -> Iterator[Violation]:
        if process.killed_ms:
            return
        if not process.sigterm_ms:
            if process.child_process.exit_code is not None:
                yield self._process_violation(
                    process, f"ended by itself with {process.child_process.exit_code}"
                )
            return
        shutdown_ms = process.ended_ms - process.sigterm_ms
        if process.exit_code is None or shutdown_ms > self._shutdown.limit_ms:
            excuse = self._excuse_end(process)
            if excuse:
                self.excused[excuse] += 1
                return
            yield self._process_violation(process, f"still ran {shutdown_ms:.0f} ms after SIGTERM")
        elif process.exit_code != 0 and self._served_requests(process):
            yield self._process_violation(process, f"ended with {process.exit_code}")
        elif process.exit_code != 0:
            self.excused[f"a host ended with {process.exit_code} before it read a request"] += 1

    def _served_requests(self, process: planned_work.HostProcess) -> bool:
        """Return whether the process answered or forwarded a request."""
        return any(
            self.find_process(result) is process
            and (result.status or self._server_runs[result.request].runs)
            for result in self._results
        )

    def find_process(self, result: raw_caller.RequestResult) -> planned_work.HostProcess | None:
        """Return the host process that accepted the connection of a request, or None."""
        for process in self._processes_by_host[result.host]:
            if process.started_ms <= result.opened_ms and (
                not process.ended_ms or result.opened_ms <= process.ended_ms
            ):
                return process
        return None

    def _process_violation(self, process: planned_work.HostProcess, description: str) -> Violation:
        return Violation(
            check="f", text=f"{description}\n    host    {_describe_process(process, 0.0)}"
        )

    def _violation(
        self,
        check: str,
        description: str,
        result: raw_caller.RequestResult,
        process: planned_work.HostProcess | None,
    ) -> Violation:
        server_runs = self._server_runs[result.request]
        origin_ms = result.begun_ms
        times = " ".join(
            f"{name}={getattr(result, name + '_ms') - origin_ms:+.1f}"
            for name in ("opened", "begun", "head", "sent", "ended")
            if getattr(result, name + "_ms")
        )
        kind = "once" if result.once else "safe"
        budget = f"{result.budget_ms:.0f} ms" if result.budget_ms else "none"
        lines = [
            f"{result.request} ({kind}) {description}",
            f"    times in ms from the request's first byte at {origin_ms:.1f}",
            f"    caller  {result.target}, budget {budget}, on connection {result.connection}"
            f" (request {result.position}),"
            f" {times}, {result.ending.value} {result.status or ''} {result.code} {result.error}",
            "    host    "
            f"{_describe_process(process, origin_ms) if process else f'{result.host}, no process'}",
        ]
        for run in server_runs.runs:
            end = server_runs.ends.get(run.server)
            ended = f"{end.outcome.value} {end.at_ms - origin_ms:+.1f}" if end else "no end"
            lines.append(f"    server  {run.server} began {run.at_ms - origin_ms:+.1f}, {ended}")
        return Violation(check=check, text="\n".join(lines))


def _excuse_stopped(process: planned_work.HostProcess, answered_ms: float) -> str:
    """Return whether a process was stopped from an answer until its kill, as an excuse."""
    killed_ms = process.limit_kill_ms
    left_ms = soak_stalls.running_ms(process.stalls, answered_ms, killed_ms)
    if process.stalls and killed_ms and left_ms < _MIN_RUNNING_MS:
        return "its host was stopped until it was killed at its limit"
    return ""


def _describe_process(process: planned_work.HostProcess, origin_ms: float) -> str:
    signals = ", ".join(f"SIGTERM {each - origin_ms:+.1f}" for each in process.signals_ms)
    ended = f"ended {process.ended_ms - origin_ms:+.1f}" if process.ended_ms else "runs"
    if process.limit_kill_ms:
        ended = f"killed at its limit {process.limit_kill_ms - origin_ms:+.1f}"
    started = f"started {process.started_ms - origin_ms:+.1f}"
    stalls = "".join(
        f", stopped {stall.begun_ms - origin_ms:+.1f} to {stall.ended_ms - origin_ms:+.1f}"
        for stall in process.stalls
    )
    signals = f"{signals or 'no signal'}{stalls}"
    return f"{process.host} run {process.number} {started}, {signals}, {ended}"
