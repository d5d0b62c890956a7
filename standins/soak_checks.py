"""Checks of a soak: joins what callers and backend servers saw, by request."""

import collections
from collections.abc import Iterator

import msgspec

from standins import backend, planned_work, raw_caller
from verbenadrum.daemon import callers

__all__ = ["Checks", "Violation"]

# How long after its last byte a request that is not passed on may wait for its connection's end.
_LOSS_SLACK_MS = 200.0
# How long a new configuration may take to be in force on every host.
_APPLY_MS = 4_000.0
# A host reads bodies of up to this many bytes whole before it passes the request on, and passes
# longer ones on while they come (`callers.MAX_REPLAYABLE_BYTES`).
_READ_WHOLE_BYTES = callers.MAX_REPLAYABLE_BYTES
# Statuses that promise that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses of a host that gives up a request that may have run.
_GIVEN_UP_STATUSES = (502, 504)
# Servers are told the time that is left in whole milliseconds.
_DEADLINE_STEP_MS = 1.0


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A broken promise, with what happened to the request and its host."""

    check: str
    text: str


class _Passage(msgspec.Struct, kw_only=True):
    """Runs of one request, in order, and their ends by server."""

    runs: list[backend.Run] = msgspec.field(default_factory=list)
    ends: dict[str, backend.RunEnd] = msgspec.field(default_factory=dict)


class Checks:
    """What was seen of a soak, and what of it broke a promise.

    Parameters
    ----------
    work : PlannedWork
        Lives of the hosts, and configurations.
    rows : list of Row
        What callers saw.
    strays : list of str
        Bytes that came with no request waiting.
    """

    def __init__(
        self, *, work: planned_work.PlannedWork, rows: list[raw_caller.Row], strays: list[str]
    ) -> None:
        self._work = work
        self._rows = rows
        self._strays = strays
        self._shutdown = work.shutdown
        self._passages: dict[str, _Passage] = collections.defaultdict(_Passage)
        for run in work.fleet.runs():
            self._passages[run.request].runs.append(run)
        for end in work.fleet.run_ends():
            self._passages[end.request].ends[end.server] = end
        self._lives: dict[str, list[planned_work.Life]] = collections.defaultdict(list)
        for life in work.lives:
            self._lives[life.host].append(life)
        self.excused: collections.Counter[str] = collections.Counter()
        self.unread_ms: list[float] = []

    def violations(self) -> list[Violation]:
        """Return every violation."""
        found = [each for row in self._rows for each in self._check_row(row)]
        found += [Violation(check="d", text=f"stray bytes: {text}") for text in self._strays]
        found += [each for life in self._work.lives for each in self._check_life(life)]
        return found + [Violation(check="g", text=fault) for fault in self._work.faults]

    def summary(self) -> str:
        """Return what was sent and what came back, in a few lines; call `violations` first."""
        endings = collections.Counter(
            f"{row.ending.value} {row.status or ''} {row.code}".strip() for row in self._rows
        )
        told = [life for life in self._work.lives if life.told_ms and life.ended_ms]
        longest_ms = max((life.ended_ms - life.told_ms for life in told), default=0.0)
        done = collections.Counter(self._work.done)
        lines = [f"{count:6d}  requests {label}" for label, count in sorted(endings.items())]
        lines += [f"{count:6d}  excused: {label}" for label, count in sorted(self.excused.items())]
        lines.append(f"{len(self.unread_ms):6d}  closed and not passed on, {self._unread()}")
        lines.append(f"{len(told):6d}  ends of hosts, the longest {longest_ms:.0f} ms")
        lines += [f"{count:6d}  work: {label}" for label, count in sorted(done.items())]
        return "\n".join(lines)

    def _unread(self) -> str:
        if not self.unread_ms:
            return "none"
        ordered = sorted(self.unread_ms)
        middle = ordered[len(ordered) // 2]
        return f"after their last byte: median {middle:.1f} ms, longest {ordered[-1]:.1f} ms"

    def _check_row(self, row: raw_caller.Row) -> Iterator[Violation]:
        passage = self._passages[row.request]
        life = self._life(row)
        if row.fault:
            yield self._violation("d", row.fault, row, life)
        if row.once and len(passage.runs) > 1:
            yield self._violation("b", "ran more than once", row, life)
        if row.status in _NOT_RUN_STATUSES and passage.runs:
            yield self._violation("c", f"ran, answered {row.status}", row, life)
        if passage.runs and not self._has_answer(row, life):
            excuse = self._excuse(row, life, passage)
            if excuse:
                self.excused[excuse] += 1
            else:
                yield self._violation("a", f"ran, {row.ending.value}", row, life)
        elif row.sent_ms and row.ending is not raw_caller.Ending.ANSWERED:
            yield from self._check_unread(row, life)

    def _has_answer(self, row: raw_caller.Row, life: planned_work.Life | None) -> bool:
        """Return whether a request got an answer, other than one of an ending host's own."""
        if row.ending is not raw_caller.Ending.ANSWERED:
            return False
        told_ms = life.told_ms if life else 0.0
        given_up = row.status in _GIVEN_UP_STATUSES and row.code
        return not (given_up and 0 < told_ms <= row.ended_ms)

    def _check_unread(
        self, row: raw_caller.Row, life: planned_work.Life | None
    ) -> Iterator[Violation]:
        waited_ms = row.ended_ms - row.sent_ms
        self.unread_ms.append(waited_ms)
        if waited_ms > _LOSS_SLACK_MS:
            what = f"not passed on, {row.ending.value} {waited_ms:.0f} ms after its last byte"
            yield self._violation("e", what, row, life)

    def _excuse(
        self, row: raw_caller.Row, life: planned_work.Life | None, passage: _Passage
    ) -> str:
        """Return why a request that ran may have no answer, or nothing."""
        timeout_ms = self._work.configurations.least_timeout_ms(
            row.begun_ms, row.ended_ms, _APPLY_MS
        )
        if row.ended_ms - row.begun_ms >= timeout_ms:
            return "its route's timeout was reached"
        if life is None or not life.told_ms:
            return ""
        last_ms = life.told_ms + self._shutdown.limit_ms - self._shutdown.margin_ms
        asked_ms = row.sent_ms if row.body_bytes <= _READ_WHOLE_BYTES else row.head_ms
        in_time = asked_ms <= life.told_ms + self._shutdown.linger_ms
        if not in_time or row.ended_ms < last_ms - _DEADLINE_STEP_MS:
            return ""
        end = passage.ends.get(passage.runs[-1].server)
        if end is None or end.at_ms >= last_ms - _DEADLINE_STEP_MS:
            return "its server was at work at the host's limit"
        if end.at_ms + row.read_ms >= last_ms:
            return "its caller was still reading at the host's limit"
        return ""

    def _check_life(self, life: planned_work.Life) -> Iterator[Violation]:
        if not life.told_ms:
            if life.process.exit_code is not None:
                yield self._life_violation(life, f"ended by itself with {life.process.exit_code}")
            return
        took_ms = life.ended_ms - life.told_ms
        if life.exit_code is None or took_ms > self._shutdown.limit_ms:
            yield self._life_violation(life, f"still ran {took_ms:.0f} ms after SIGTERM")
        elif life.exit_code != 0 and self._is_used(life):
            yield self._life_violation(life, f"ended with {life.exit_code}")
        elif life.exit_code != 0:
            self.excused[f"a host ended with {life.exit_code} before it read a request"] += 1

    def _is_used(self, life: planned_work.Life) -> bool:
        """Return whether the process answered a request, or passed one on."""
        return any(
            self._life(row) is life and (row.status or self._passages[row.request].runs)
            for row in self._rows
        )

    def _life(self, row: raw_caller.Row) -> planned_work.Life | None:
        """Return the host process that took a row's connection."""
        for life in self._lives[row.host]:
            if life.started_ms <= row.opened_ms and (
                not life.ended_ms or row.opened_ms <= life.ended_ms
            ):
                return life
        return None

    def _life_violation(self, life: planned_work.Life, what: str) -> Violation:
        return Violation(check="f", text=f"{what}\n    host    {_describe_life(life, 0.0)}")

    def _violation(
        self, check: str, what: str, row: raw_caller.Row, life: planned_work.Life | None
    ) -> Violation:
        passage = self._passages[row.request]
        zero_ms = row.begun_ms
        times = " ".join(
            f"{name}={getattr(row, name + '_ms') - zero_ms:+.1f}"
            for name in ("opened", "begun", "head", "sent", "ended")
            if getattr(row, name + "_ms")
        )
        kind = "once" if row.once else "safe"
        lines = [
            f"{row.request} ({kind}) {what}",
            f"    times in ms from the request's first byte at {zero_ms:.1f}",
            f"    caller  {row.target} on connection {row.connection} (request {row.position}),"
            f" {times}, {row.ending.value} {row.status or ''} {row.code} {row.error}",
            f"    host    {_describe_life(life, zero_ms) if life else f'{row.host}, no process'}",
        ]
        for run in passage.runs:
            end = passage.ends.get(run.server)
            ended = f"{end.outcome.value} {end.at_ms - zero_ms:+.1f}" if end else "no end"
            lines.append(f"    server  {run.server} began {run.at_ms - zero_ms:+.1f}, {ended}")
        return Violation(check=check, text="\n".join(lines))


def _describe_life(life: planned_work.Life, zero_ms: float) -> str:
    signals = ", ".join(f"SIGTERM {each - zero_ms:+.1f}" for each in life.signals_ms)
    ended = f"ended {life.ended_ms - zero_ms:+.1f}" if life.ended_ms else "runs"
    started = f"started {life.started_ms - zero_ms:+.1f}"
    return f"{life.host} run {life.number} {started}, {signals or 'no signal'}, {ended}"
