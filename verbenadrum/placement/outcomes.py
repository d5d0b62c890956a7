"""Evidence that the home of a pool part collects from the outcomes of the requests placed there.

It answers servers that fail partially: outcomes and unanswered requests are evidence about the
servers, and the requests that are not served tell whether the part needs servers that are out of
rotation. It also measures service times, from which waits and hedges are estimated.
"""

import math
from collections.abc import Callable, Iterable

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.health import ejection, evidence, latency
from verbenadrum.placement import messages, poison, servers

__all__ = ["PartOutcomes", "clearing_notice"]

_INITIAL_SERVICE_MS = 50.0
_SERVICE_SMOOTHING = 0.05
_HEDGE_QUANTILE = 0.98
_HEDGE_MEDIAN_MULTIPLE = 3.0
_MIN_HEDGE_SAMPLES = 100
# Once more than this fraction of the requests is refused or fails, the home enters recovery mode:
# it sends requests to servers that are out of rotation, to find those that have recovered.
_RECOVERY_UNSERVED_FRACTION = 0.12
_UNSERVED_SMOOTHING = 0.03
# Outcomes of attempts that the backend server accepted.
_ACCEPTED_OUTCOMES = (
    ports.OutcomeKind.OK,
    ports.OutcomeKind.SERVER_ERROR,
    ports.OutcomeKind.RESET,
    ports.OutcomeKind.TRUNCATED,
    ports.OutcomeKind.TIMEOUT,
)
# Outcomes that show that the server process is running.
_RUNNING_OUTCOMES = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR, ports.OutcomeKind.SHED)
# A server that aborts a request because of its deadline reports the error at most this long before
# the deadline.
_DEADLINE_ERROR_MARGIN_MS = 50.0


class PartOutcomes:
    """Service times, unserved requests, server faults and crashes of one pool part.

    Parameters
    ----------
    context : Context
        Clock and decision log of this host.
    region : RegionId
        Region of the part.
    judge : Judge
        Evaluates the evidence of server faults.
    ejector : Ejector
        Ejects the servers that the judge finds faulty.
    table : ServerTable
        Servers of the part, and the paths to them that are avoided.
    ledger : PoisonLedger
        Crashes and successes by request fingerprint.
    broadcast_notice : callable
        Sends a `messages.PoisonNotice` to the other hosts that may be home.
    on_crash : callable
        Called with the fingerprint of a request that has crashed a server, once it is recorded.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        region: ids.RegionId,
        judge: evidence.Judge,
        ejector: ejection.Ejector,
        table: servers.ServerTable,
        ledger: poison.PoisonLedger,
        broadcast_notice: Callable[[messages.PoisonNotice], None],
        on_crash: Callable[[str], None],
    ) -> None:
        self._context = context
        self._region = region
        self._judge = judge
        self._ejector = ejector
        self._servers = table
        self._ledger = ledger
        self._broadcast_notice = broadcast_notice
        self._on_crash = on_crash
        # Times of the crashes of servers that have not responded since.
        self._crashed_ms: dict[ids.ServerId, float] = {}
        self._latencies = latency.LatencyHistogram()
        self._service_ms = _INITIAL_SERVICE_MS
        self._hedge_ms = 0.0
        self._unserved_fraction = 0.0

    @property
    def service_ms(self) -> float:
        """Mean time for which a slot is held, in milliseconds."""
        return self._service_ms

    @property
    def hedge_ms(self) -> float:
        """Time after which a request is slower than nearly all, in ms; 0 if it is not known."""
        return self._hedge_ms

    @property
    def recovering(self) -> bool:
        """Whether so many requests are not served that servers out of rotation are rechecked."""
        return self._unserved_fraction > _RECOVERY_UNSERVED_FRACTION

    def add_service_time(self, held_ms: float) -> None:
        """Add the time for which a slot was held."""
        self._service_ms += (held_ms - self._service_ms) * _SERVICE_SMOOTHING

    def update_hedge_delay(self) -> None:
        """Update `hedge_ms` from the latencies so far."""
        if self._latencies.total < _MIN_HEDGE_SAMPLES:
            self._hedge_ms = 0.0
            return
        median_ms = self._latencies.quantile(0.5)
        self._hedge_ms = max(
            _HEDGE_MEDIAN_MULTIPLE * median_ms, self._latencies.quantile(_HEDGE_QUANTILE)
        )

    def count_refusal(self) -> None:
        """Count a request that was refused."""
        self._update_unserved_fraction(1.0)

    def record(self, lease: servers.LeaseRow, kind: ports.OutcomeKind, latency_ms: float) -> None:
        """Record the outcome of an attempt as evidence about its server."""
        # Rechecks are left out, as their failures would keep the pool in recovery mode.
        if kind in _ACCEPTED_OUTCOMES and not lease.recheck:
            self._count_outcome(lease, kind)
        if kind is ports.OutcomeKind.OK:
            self._latencies.add(latency_ms)
        if lease.server in self._ejector.rows and self._ejector.excused(lease.server):
            return
        self._judge.record_outcome(
            evidence.Evidence(
                server=lease.server,
                observer=lease.entry_host,
                group=lease.data_centre,
                kind=self._evidence_kind(lease, kind),
                latency_ms=latency_ms,
                at_ms=self._context.now_ms(),
            )
        )

    def record_crash_evidence(
        self, lease: servers.LeaseRow, kind: ports.OutcomeKind, *, refuses_connections: bool
    ) -> None:
        """Record whether a request has crashed its server, or has succeeded."""
        now_ms = self._context.now_ms()
        if kind in _RUNNING_OUTCOMES:
            self._crashed_ms.pop(lease.server, None)
        if kind is ports.OutcomeKind.OK and lease.fingerprint:
            if self._ledger.record_success(lease.fingerprint, now_ms):
                self._broadcast_notice(clearing_notice(lease.fingerprint))
        elif poison.is_server_crash(
            kind, refuses_connections=refuses_connections
        ) and not self._had_crashed_before(lease):
            self._crashed_ms.setdefault(lease.server, now_ms)
            if lease.fingerprint:
                self._record_crash(lease, now_ms)

    def record_running(self, server: ids.ServerId) -> None:
        """Record that a server's process runs, as a probe has shown."""
        self._crashed_ms.pop(server, None)

    def review(self, leases: Iterable[servers.LeaseRow]) -> None:
        """Eject and restore servers by the evidence, requests in flight included."""
        now_ms = self._context.now_ms()
        flights = [
            evidence.Flight(
                server=lease.server,
                observer=lease.entry_host,
                group=lease.data_centre,
                waited_ms=lease.waited_ms,
            )
            for lease in leases
            if lease.waited_ms > 0.0
        ]
        verdicts = self._judge.find_outliers(now_ms=now_ms, flights=flights)
        for verdict in verdicts:
            if verdict.kind is evidence.VerdictKind.PATH:
                self._avoid_paths(verdict, now_ms)
        self._ejector.consider(verdicts)
        self._ejector.update_states()

    def _update_unserved_fraction(self, unserved: float) -> None:
        self._unserved_fraction += (unserved - self._unserved_fraction) * _UNSERVED_SMOOTHING

    def _count_outcome(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> None:
        """Count a request as served or not; ignore a failed attempt that may be retried in time."""
        failed = kind is not ports.OutcomeKind.OK
        if failed and self._context.now_ms() + self._service_ms < lease.retry_until_ms:
            return
        self._update_unserved_fraction(float(failed))

    def _evidence_kind(self, lease: servers.LeaseRow, kind: ports.OutcomeKind) -> ports.OutcomeKind:
        """Return the outcome to use as evidence about the server's health.

        A server error close to the deadline counts as a timeout, since it shows only that the
        request ran out of time.
        """
        in_time = self._context.now_ms() < lease.deadline_ms - _DEADLINE_ERROR_MARGIN_MS
        if kind is not ports.OutcomeKind.SERVER_ERROR or in_time:
            return kind
        return ports.OutcomeKind.TIMEOUT

    def _had_crashed_before(self, lease: servers.LeaseRow) -> bool:
        """Return whether a server had crashed before a request was sent to it.

        A proxy in front of a crashed server may still accept connections. A suspected request is
        blamed all the same, since it may have been the first one at a restarted server.
        """
        crashed_ms = self._crashed_ms.get(lease.server, math.inf)
        return lease.started_ms > crashed_ms and not lease.suspected

    def _record_crash(self, lease: servers.LeaseRow, now_ms: float) -> None:
        """Record a server's crash during a request, here and at every host that may be home."""
        use = poison.AllowanceUse(
            region=self._region,
            server=lease.server,
            borrower="",
            trusted=lease.trusted,
            at_ms=now_ms,
        )
        self._ledger.add_use(lease.fingerprint, lease.lease, use)
        self._on_crash(lease.fingerprint)
        self._broadcast_notice(
            messages.PoisonNotice(
                fingerprint=lease.fingerprint,
                use=lease.lease,
                region=self._region,
                server=lease.server,
                borrower="",
                trusted=lease.trusted,
            )
        )

    def _avoid_paths(self, verdict: evidence.Verdict, now_ms: float) -> None:
        for entry_host in verdict.observers:
            if self._servers.avoid_pair(entry_host, verdict.server, now_ms):
                self._context.record_decision(
                    ring.DecisionKind.EJECT,
                    "path-avoided",
                    verdict.reason,
                    subject=verdict.server,
                    detail={"observer": entry_host, "score": verdict.score},
                )


def clearing_notice(fingerprint: str) -> messages.PoisonNotice:
    """Return the notice that a request with a fingerprint has succeeded."""
    return messages.PoisonNotice(
        fingerprint=fingerprint, use="", region="", server="", borrower="", trusted=False
    )
