"""Ejection of faulty servers, within the floor of the pool, and their return after probes.

The floor is the fraction of a pool's servers that must stay in service.
"""

import enum
import math
from collections.abc import Callable, Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.health import evidence

__all__ = ["Ejector", "ServerHealth", "ServerRow", "max_ejections"]

_FIRST_EJECTION_MS = 2_000.0
_MAX_EJECTION_MS = 120_000.0
_EJECTION_COUNT_RESET_MS = 300_000.0
_SLOW_START_MS = 5_000.0
_REQUIRED_PASSED_PROBES = 3
_PROBE_INTERVAL_MS = 250.0
_PROBE_TIMEOUT_MS = 2_000.0
_AVOIDANCE_MS = 1_000.0
_EXCUSE_MS = 5_000.0
_MAX_UPDATE_AGE_MS = 100.0


class ServerHealth(enum.Enum):
    """State of a server: in service it gets all its work, ejected none, in slow start some.

    The usable part of its slots grows during the slow start.
    """

    IN_SERVICE = "in-service"
    EJECTED = "ejected"
    SLOW_START = "slow-start"


class ServerRow(msgspec.Struct, kw_only=True):
    """Health of one server. Times are monotonic.

    Attributes
    ----------
    server : ServerId
        The backend server.
    state : ServerHealth
        Whether it gets work.
    since_ms : float
        Time of the last change of state.
    avoid_until_ms : float
        Time until which the server gets work only if no other has a free slot.
    excused_until_ms : float
        Time until which its failures are attributed to a request that crashed it.
    probe_at_ms, probe_sent_ms : float
        Time at which the next probe is due, and at which the in-flight one was sent (infinite for
        none).
    probes_passed : int
        Consecutive probes passed.
    ejections : int
        Recent ejections; each doubles the duration of the next.
    permitted : bool
        Whether the server holds an ejection permit, which it keeps until it is in service.
    """

    server: ids.ServerId
    state: ServerHealth = ServerHealth.IN_SERVICE
    since_ms: float = -math.inf
    avoid_until_ms: float = -math.inf
    excused_until_ms: float = -math.inf
    probe_at_ms: float = math.inf
    probe_sent_ms: float = math.inf
    probes_passed: int = 0
    ejections: int = 0
    permitted: bool = False


def max_ejections(*, live: int, floor: float) -> int:
    """Return how many of ``live`` servers may be out of service at a ``floor`` (0 to 1).

    Examples
    --------
    >>> max_ejections(live=5, floor=0.5), max_ejections(live=1, floor=0.5)
    (2, 0)
    >>> max_ejections(live=4, floor=1.0)
    0
    """
    return live - math.ceil(floor * live - 1e-9)


class Ejector:
    """Health states of the servers of one pool part (a service's servers in one region).

    Parameters
    ----------
    context : Context
        Clock and decisions.
    judge : Judge
        Failure detector; it drops its evidence about a server whose state changes.
    permits : callable
        Called with the number of ejections that all homes together may hold; returns how many of
        them this host may hold now.
    probing : bool
        Whether servers return after probes; otherwise they return after the ejection's duration.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        judge: evidence.Judge,
        permits: Callable[[int], int],
        probing: bool = True,
    ) -> None:
        self._context = context
        self._judge = judge
        self._permits = permits
        self._probing = probing
        self._rows: dict[ids.ServerId, ServerRow] = {}
        self._floor = 0.0
        self._permit_missing = False
        self._updated_ms = -math.inf

    @property
    def rows(self) -> dict[ids.ServerId, ServerRow]:
        """Rows by server; the caller must not change the mapping."""
        return self._rows

    @property
    def needs_permits(self) -> bool:
        """Whether an ejection is held or pending, so that permits should be requested."""
        return self._permit_missing or any(row.permitted for row in self._rows.values())

    @property
    def permit_missing(self) -> bool:
        """Whether the last call of `consider` lacked a permit to eject a server."""
        return self._permit_missing

    @property
    def ejected(self) -> list[ids.ServerId]:
        """Ejected servers; they get no work."""
        rows = self._rows.values()
        return [row.server for row in rows if row.state is ServerHealth.EJECTED]

    def sync(self, servers: Iterable[ids.ServerId], floor: float) -> None:
        """Apply a change of the pool's record.

        New servers get a slow start, except those of the first call; unlisted ones are dropped.
        """
        self._floor = floor
        listed = set(servers)
        first = not self._rows
        for server in listed.difference(self._rows):
            row = ServerRow(server=server)
            if not first:
                row.state = ServerHealth.SLOW_START
                row.since_ms = self._context.now_ms()
            self._rows[server] = row
        for server in set(self._rows).difference(listed):
            del self._rows[server]
            self._judge.forget(server)

    def usable_slots(self, server: ids.ServerId, max_slots: int) -> int:
        """Return how many of a server's ``max_slots`` slots may be used now."""
        # After a pause of the process, permits may have expired since the last update.
        if self._context.now_ms() - self._updated_ms >= _MAX_UPDATE_AGE_MS:
            self.update_states()
        row = self._rows[server]
        if row.state is ServerHealth.EJECTED:
            return 0
        if row.state is ServerHealth.IN_SERVICE:
            return max_slots
        warmed = (self._context.now_ms() - row.since_ms) / _SLOW_START_MS
        return max(1, min(max_slots, math.ceil(max_slots * warmed)))

    def avoided(self, server: ids.ServerId) -> bool:
        """Return whether a server gets work only if no other has a free slot."""
        return self._context.now_ms() < self._rows[server].avoid_until_ms

    def excused(self, server: ids.ServerId) -> bool:
        """Return whether failures of a server are attributed to a request that crashed it."""
        return self._context.now_ms() < self._rows[server].excused_until_ms

    def excuse(self, server: ids.ServerId) -> None:
        """Attribute a server's failures to a request that crashed it.

        A current ejection no longer lengthens the next one, and its next probe is due at once.
        """
        row = self._rows.get(server)
        if row is None:
            return
        now_ms = self._context.now_ms()
        self._judge.forget(server)
        row.excused_until_ms = now_ms + _EXCUSE_MS
        row.avoid_until_ms = max(row.avoid_until_ms, row.excused_until_ms)
        if row.state is ServerHealth.EJECTED:
            row.ejections = max(0, row.ejections - 1)
            row.probe_at_ms = now_ms

    def consider(self, verdicts: Iterable[evidence.Verdict]) -> None:
        """Eject faulty servers in the order of the verdicts, as far as floor and permits allow.

        The others, and those with a shared fault, are avoided for `_AVOIDANCE_MS`: they get work
        only if no other server has a free slot.
        """
        self._permit_missing = False
        for verdict in verdicts:
            row = self._rows.get(verdict.server)
            if row is None or row.state is ServerHealth.EJECTED or self.excused(row.server):
                continue
            if verdict.kind is evidence.VerdictKind.SICK:
                self._eject_or_avoid(row, verdict)
            elif verdict.kind is evidence.VerdictKind.SHARED:
                self._avoid(row, verdict, verdict.reason)

    def update_states(self) -> None:
        """End slow starts and ejections that are over, and ejections without a valid permit."""
        now_ms = self._updated_ms = self._context.now_ms()
        for row in self._rows.values():
            elapsed_ms = now_ms - row.since_ms
            if row.state is ServerHealth.SLOW_START and elapsed_ms >= _SLOW_START_MS:
                self._put_in_service(row, "slow-start-ended")
            elif row.state is ServerHealth.IN_SERVICE and elapsed_ms >= _EJECTION_COUNT_RESET_MS:
                row.ejections = 0
            elif row.state is ServerHealth.EJECTED and self._ejection_over(row, now_ms):
                self._begin_slow_start(row, "ejection-ended")
        self._release_excess_permits()

    def pop_due_probes(self) -> list[ids.ServerId]:
        """Return the ejected servers to probe now, and record their probes as sent."""
        if not self._probing:
            return []
        now_ms = self._context.now_ms()
        due = []
        for row in self._rows.values():
            if row.state is not ServerHealth.EJECTED or now_ms < row.probe_at_ms:
                continue
            if row.probe_sent_ms <= now_ms < row.probe_sent_ms + _PROBE_TIMEOUT_MS:
                continue
            row.probe_sent_ms = now_ms
            due.append(row.server)
        return due

    def probed(self, server: ids.ServerId, passed: bool) -> None:
        """Record a probe's result; the server returns after `_REQUIRED_PASSED_PROBES` in a row."""
        row = self._rows.get(server)
        if row is None or row.state is not ServerHealth.EJECTED:
            return
        now_ms = self._context.now_ms()
        row.probe_sent_ms = math.inf
        if not passed:
            row.probes_passed = 0
            row.probe_at_ms = now_ms + _FIRST_EJECTION_MS
            return
        row.probes_passed += 1
        row.probe_at_ms = now_ms + _PROBE_INTERVAL_MS
        if row.probes_passed >= _REQUIRED_PASSED_PROBES:
            self._begin_slow_start(row, "probes-passed")

    def _ejection_over(self, row: ServerRow, now_ms: float) -> bool:
        return not self._probing and now_ms >= row.probe_at_ms

    def _eject_or_avoid(self, row: ServerRow, verdict: evidence.Verdict) -> None:
        live = len(self._rows)
        not_in_service = [
            other for other in self._rows.values() if other.state is not ServerHealth.IN_SERVICE
        ]
        others_not_in_service = sum(other is not row for other in not_in_service)
        if others_not_in_service + 1 > max_ejections(live=live, floor=self._floor):
            self._avoid(row, verdict, "floor-reached")
            return
        held = sum(other.permitted for other in not_in_service if other is not row)
        if held + 1 > self._permits(self._max_permitted_ejections()):
            self._permit_missing = True
            self._avoid(row, verdict, "permit-missing")
            return
        self._eject(row, verdict)

    def _max_permitted_ejections(self) -> int:
        """Return how many ejections all homes together may hold.

        New servers in their slow start hold no permit, but use up a part of what the floor allows.
        """
        unpermitted = sum(
            row.state is not ServerHealth.IN_SERVICE and not row.permitted
            for row in self._rows.values()
        )
        return max(0, max_ejections(live=len(self._rows), floor=self._floor) - unpermitted)

    def _eject(self, row: ServerRow, verdict: evidence.Verdict) -> None:
        now_ms = self._context.now_ms()
        duration_ms = min(_MAX_EJECTION_MS, _FIRST_EJECTION_MS * 2.0**row.ejections)
        row.state = ServerHealth.EJECTED
        row.since_ms = now_ms
        row.probe_at_ms = now_ms + duration_ms
        row.probe_sent_ms = math.inf
        row.probes_passed = 0
        row.ejections += 1
        row.permitted = True
        self._judge.forget(row.server)
        detail = {"score": verdict.score, "for_ms": duration_ms, "ejections": row.ejections}
        self._record_decision(ring.DecisionKind.EJECT, row, "ejected", verdict.reason, detail)

    def _avoid(self, row: ServerRow, verdict: evidence.Verdict, reason: str) -> None:
        if not self.avoided(row.server):
            detail = {"score": verdict.score}
            self._record_decision(ring.DecisionKind.EJECT, row, "avoided", reason, detail)
        row.avoid_until_ms = self._context.now_ms() + _AVOIDANCE_MS

    def _release_excess_permits(self) -> None:
        """Put servers back into service while more permits are held than are valid."""
        held = [row for row in self._rows.values() if row.permitted]
        if not held:
            return
        # A server that was just added to the record does not end the ejection of another.
        allowed = max_ejections(live=len(self._rows), floor=self._floor)
        excess = len(held) - self._permits(allowed)
        # Servers in slow start give up their permits first: they are nearly in service.
        held.sort(key=lambda row: (row.state is ServerHealth.EJECTED, row.since_ms))
        for row in held[: max(0, excess)]:
            row.avoid_until_ms = self._context.now_ms() + _AVOIDANCE_MS
            self._put_in_service(row, "permit-lapsed")

    def _begin_slow_start(self, row: ServerRow, reason: str) -> None:
        row.state = ServerHealth.SLOW_START
        row.since_ms = self._context.now_ms()
        self._judge.forget(row.server)
        self._record_decision(ring.DecisionKind.RESTORE, row, "slow-start", reason, {})

    def _put_in_service(self, row: ServerRow, reason: str) -> None:
        row.state = ServerHealth.IN_SERVICE
        row.since_ms = self._context.now_ms()
        row.permitted = False
        self._judge.forget(row.server)
        self._record_decision(ring.DecisionKind.RESTORE, row, "in-service", reason, {})

    def _record_decision(
        self,
        kind: ring.DecisionKind,
        row: ServerRow,
        choice: str,
        reason: str,
        detail: dict[str, int | float | str],
    ) -> None:
        self._context.record_decision(kind, choice, reason, subject=row.server, detail=detail)
