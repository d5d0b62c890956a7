"""Takes sick servers out of a pool while the floor allows, and brings them back by probe."""

import enum
import math
from collections.abc import Callable, Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.health import evidence

__all__ = ["Ejector", "ServerHealth", "ServerRow", "allowance"]

_EJECT_MS = 2_000.0
_MAX_EJECT_MS = 120_000.0
_FLAP_MEMORY_MS = 300_000.0
_SLOW_START_MS = 5_000.0
_PROBES_NEEDED = 3
_PROBE_GAP_MS = 250.0
_PROBE_LOST_MS = 2_000.0
_AVOID_MS = 1_000.0
_EXCUSE_MS = 5_000.0
_STALE_MS = 100.0


class ServerHealth(enum.Enum):
    """Whether a server gets work."""

    IN_SERVICE = "in-service"
    EJECTED = "ejected"
    SLOW_START = "slow-start"


class ServerRow(msgspec.Struct, kw_only=True):
    """Health of one server.

    Attributes
    ----------
    avoid_until_ms : float
        Until when the server gets work only where no other has a free slot.
    excused_until_ms : float
        Until when its failures are held against a request that crashed it.
    probe_at_ms, probe_sent_ms : float
        When the next probe is due, and when the one under way left (infinite for none).
    ejections : int
        Ejections lately; each doubles the time of the next.
    permitted : bool
        Whether its absence counts against the ejections that are allowed.
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


def allowance(*, live: int, floor: float) -> int:
    """Return how many of ``live`` servers may be out of service.

    Examples
    --------
    >>> allowance(live=5, floor=0.5), allowance(live=1, floor=0.5), allowance(live=4, floor=1.0)
    (2, 0, 0)
    """
    return live - math.ceil(floor * live - 1e-9)


class Ejector:
    """Health states of the servers of one pool part.

    Parameters
    ----------
    context : Context
        Clock and decisions.
    judge : Judge
        Told to forget a server whenever its state changes.
    permits : callable
        Given the allowance, returns how many ejections this host may hold now.
    probing : bool
        Whether probes bring servers back; without them the end of the ejection does.
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
        self._wants_permits = False
        self._reviewed_ms = -math.inf

    @property
    def rows(self) -> dict[ids.ServerId, ServerRow]:
        """Rows by server; the caller must not change the mapping."""
        return self._rows

    @property
    def wants_permits(self) -> bool:
        """Whether an ejection is held or wanted, so that permits are worth asking for."""
        return self._wants_permits or any(row.permitted for row in self._rows.values())

    @property
    def permit_missing(self) -> bool:
        """Whether the last review would have ejected a server with one permit more."""
        return self._wants_permits

    @property
    def ejected(self) -> list[ids.ServerId]:
        """Servers that get no work."""
        rows = self._rows.values()
        return [row.server for row in rows if row.state is ServerHealth.EJECTED]

    def sync(self, servers: Iterable[ids.ServerId], floor: float) -> None:
        """Follow the record: new servers get a slow start, unlisted ones are dropped."""
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

    def slots(self, server: ids.ServerId, full: int) -> int:
        """Return how many of a server's slots may be used now."""
        # A process that wakes late may rely on permits that have ended.
        if self._context.now_ms() - self._reviewed_ms >= _STALE_MS:
            self.review()
        row = self._rows[server]
        if row.state is ServerHealth.EJECTED:
            return 0
        if row.state is ServerHealth.IN_SERVICE:
            return full
        warmed = (self._context.now_ms() - row.since_ms) / _SLOW_START_MS
        return max(1, min(full, math.ceil(full * warmed)))

    def avoided(self, server: ids.ServerId) -> bool:
        """Return whether a server gets work only where no other has a free slot."""
        return self._context.now_ms() < self._rows[server].avoid_until_ms

    def excused(self, server: ids.ServerId) -> bool:
        """Return whether failures of a server are held against a request that crashed it."""
        return self._context.now_ms() < self._rows[server].excused_until_ms

    def excuse(self, server: ids.ServerId) -> None:
        """Hold a server's failures against the request that crashed it."""
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
        """Eject the servers that a judge calls sick, worst first, while the floor allows."""
        self._wants_permits = False
        for verdict in verdicts:
            row = self._rows.get(verdict.server)
            if row is None or row.state is ServerHealth.EJECTED or self.excused(row.server):
                continue
            if verdict.kind is evidence.VerdictKind.SICK:
                self._eject_or_avoid(row, verdict)
            elif verdict.kind is evidence.VerdictKind.SHARED:
                self._avoid(row, verdict, verdict.reason)

    def review(self) -> None:
        """End slow starts, and give up ejections that are no longer backed."""
        now_ms = self._reviewed_ms = self._context.now_ms()
        for row in self._rows.values():
            elapsed_ms = now_ms - row.since_ms
            if row.state is ServerHealth.SLOW_START and elapsed_ms >= _SLOW_START_MS:
                self._put_in_service(row, "slow-start-ended")
            elif row.state is ServerHealth.IN_SERVICE and elapsed_ms >= _FLAP_MEMORY_MS:
                row.ejections = 0
            elif row.state is ServerHealth.EJECTED and self._ejection_over(row, now_ms):
                self._start_slowly(row, "ejection-ended")
        self._keep_to_permits()

    def due_probes(self) -> list[ids.ServerId]:
        """Return the ejected servers to probe now, and note that the probes leave."""
        if not self._probing:
            return []
        now_ms = self._context.now_ms()
        due = []
        for row in self._rows.values():
            if row.state is not ServerHealth.EJECTED or now_ms < row.probe_at_ms:
                continue
            if row.probe_sent_ms <= now_ms < row.probe_sent_ms + _PROBE_LOST_MS:
                continue
            row.probe_sent_ms = now_ms
            due.append(row.server)
        return due

    def probed(self, server: ids.ServerId, passed: bool) -> None:
        """Take in a probe's result; several passes in a row bring the server back."""
        row = self._rows.get(server)
        if row is None or row.state is not ServerHealth.EJECTED:
            return
        now_ms = self._context.now_ms()
        row.probe_sent_ms = math.inf
        if not passed:
            row.probes_passed = 0
            row.probe_at_ms = now_ms + _EJECT_MS
            return
        row.probes_passed += 1
        row.probe_at_ms = now_ms + _PROBE_GAP_MS
        if row.probes_passed >= _PROBES_NEEDED:
            self._start_slowly(row, "probes-passed")

    def _ejection_over(self, row: ServerRow, now_ms: float) -> bool:
        return not self._probing and now_ms >= row.probe_at_ms

    def _eject_or_avoid(self, row: ServerRow, verdict: evidence.Verdict) -> None:
        live = len(self._rows)
        out = [other for other in self._rows.values() if other.state is not ServerHealth.IN_SERVICE]
        others_out = sum(other is not row for other in out)
        if others_out + 1 > allowance(live=live, floor=self._floor):
            self._avoid(row, verdict, "floor-reached")
            return
        held = sum(other.permitted for other in out if other is not row)
        if held + 1 > self._permits(self._allowance()):
            self._wants_permits = True
            self._avoid(row, verdict, "permit-missing")
            return
        self._eject(row, verdict)

    def _allowance(self) -> int:
        """Ejections that all homes together may hold: servers new in the record are out too."""
        unpermitted = sum(
            row.state is not ServerHealth.IN_SERVICE and not row.permitted
            for row in self._rows.values()
        )
        return max(0, allowance(live=len(self._rows), floor=self._floor) - unpermitted)

    def _eject(self, row: ServerRow, verdict: evidence.Verdict) -> None:
        now_ms = self._context.now_ms()
        duration_ms = min(_MAX_EJECT_MS, _EJECT_MS * 2.0**row.ejections)
        row.state = ServerHealth.EJECTED
        row.since_ms = now_ms
        row.probe_at_ms = now_ms + duration_ms
        row.probe_sent_ms = math.inf
        row.probes_passed = 0
        row.ejections += 1
        row.permitted = True
        self._judge.forget(row.server)
        detail = {"score": verdict.score, "for_ms": duration_ms, "ejections": row.ejections}
        self._decide(ring.DecisionKind.EJECT, row, "ejected", verdict.reason, detail)

    def _avoid(self, row: ServerRow, verdict: evidence.Verdict, reason: str) -> None:
        if not self.avoided(row.server):
            detail = {"score": verdict.score}
            self._decide(ring.DecisionKind.EJECT, row, "avoided", reason, detail)
        row.avoid_until_ms = self._context.now_ms() + _AVOID_MS

    def _keep_to_permits(self) -> None:
        held = [row for row in self._rows.values() if row.permitted]
        if not held:
            return
        # A server that has just joined the record does not call an ejected one back.
        whole = allowance(live=len(self._rows), floor=self._floor)
        excess = len(held) - self._permits(whole)
        # Servers in slow start are nearly back, so they give up their permits first.
        held.sort(key=lambda row: (row.state is ServerHealth.EJECTED, row.since_ms))
        for row in held[: max(0, excess)]:
            row.avoid_until_ms = self._context.now_ms() + _AVOID_MS
            self._put_in_service(row, "permit-lapsed")

    def _start_slowly(self, row: ServerRow, reason: str) -> None:
        row.state = ServerHealth.SLOW_START
        row.since_ms = self._context.now_ms()
        self._judge.forget(row.server)
        self._decide(ring.DecisionKind.RESTORE, row, "slow-start", reason, {})

    def _put_in_service(self, row: ServerRow, reason: str) -> None:
        row.state = ServerHealth.IN_SERVICE
        row.since_ms = self._context.now_ms()
        row.permitted = False
        self._judge.forget(row.server)
        self._decide(ring.DecisionKind.RESTORE, row, "in-service", reason, {})

    def _decide(
        self,
        kind: ring.DecisionKind,
        row: ServerRow,
        choice: str,
        reason: str,
        detail: dict[str, int | float | str],
    ) -> None:
        self._context.decide(kind, choice, reason, subject=row.server, detail=detail)
