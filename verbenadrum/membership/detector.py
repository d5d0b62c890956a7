"""Failure detector: probes random peers, directly and through other hosts.

It follows SWIM (Das, Gupta and Motivala, 2002), so the load on each host does not grow with the
size of the fleet. Unlike SWIM, a suspicion is a mark that may be wrong and can be cleared, and it
does not remove the host from the host list, which is maintained elsewhere.
"""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.core import context, system
from verbenadrum.decisions import ring
from verbenadrum.dissemination import sampler
from verbenadrum.membership import messages, rumors, suspicion
from verbenadrum.membership import table as host_table

__all__ = ["FailureDetector"]

_PROBE_INTERVAL_MS = 500.0
# Expected remote probes per interval to each other region, by all hosts of this region together.
_REMOTE_PROBES_PER_REGION = 2.0
_ACK_TIMEOUT_MS = 200.0
_MAX_PROBE_ATTEMPTS = 4
_INDIRECT_FROM_ATTEMPT = 2
_RELAYS_PER_ATTEMPT = 3
_RELAYED_PROBE_TIMEOUT_MS = 1_000.0
_REPROBE_INTERVAL_MS = 1_000.0
_MAX_REPROBES_PER_TICK = 2
_REPORTED_SUSPICION_TTL_MS = 10_000.0
# Suspicions reported by peers are ignored for a host that answered a probe this recently.
_RECENT_ACK_MS = 1_000.0
# A longer time between two ticks means that this host was paused.
_PAUSE_THRESHOLD_MS = 1_000.0
_RUMOR_FANOUT = 3
_REMOTE_RUMORS_PER_REGION = 2.0
# Number of recent probe results that decide whether this host itself may be cut off.
_SELF_CHECK_PROBES = 8
# A leaving host sends its first notices at the fast interval and then repeats them slowly, so that
# a receiver can drop a notice that is no longer repeated.
_LEAVING_FAST_SENDS = 3
_LEAVING_FAST_INTERVAL_MS = 200.0
_LEAVING_SLOW_INTERVAL_MS = 20_000.0
_LEAVING_TTL_MS = 60_000.0
# A host that is newly marked as leaving is probed within this time, once: the notice may be a late
# one of its earlier run.
_LEAVING_CHECK_SPREAD_MS = 2_000.0


class _Probe(msgspec.Struct, kw_only=True):
    """A probe of this host that has neither been answered nor failed."""

    target: ids.HostId
    number: int
    sent_ms: float
    attempts: int = 1
    reached_by_relay: bool = False


class _RelayedProbe(msgspec.Struct, kw_only=True):
    """A probe made on behalf of ``origin``, which gets an `IndirectAck` if it is answered."""

    origin: ids.HostId
    origin_number: int
    expires_ms: float


class FailureDetector(system.System):
    """Probes peers and marks suspected and leaving hosts in the host table.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        Listed hosts; receives the suspected and leaving marks.
    peers : PeerSampler
        Selects the peers to probe and to send rumors to.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        membership: host_table.HostTable,
        peers: sampler.PeerSampler,
    ) -> None:
        super().__init__(context=context)
        self._membership = membership
        self._peers = peers
        self._rumors = rumors.RumorTable()
        self._probes: dict[int, _Probe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._suspicions: dict[ids.HostId, suspicion.SuspicionRow] = {}
        self._last_ack_ms: dict[ids.HostId, float] = {}
        self._recent_results: collections.deque[bool] = collections.deque(maxlen=_SELF_CHECK_PROBES)
        self._probe_numbers = context.numbers()
        self._last_tick_ms = context.now_ms()
        self._next_probe_ms = context.now_ms() + context.rng.random() * _PROBE_INTERVAL_MS
        self._leaving = False
        self._leaving_sends = 0
        self._next_leaving_ms = 0.0
        self._last_leaving_ms: dict[ids.HostId, float] = {}
        self._leaving_check_ms: dict[ids.HostId, float] = {}

    def suspicions(self) -> tuple[suspicion.SuspicionRow, ...]:
        """Return the hosts that this host suspects, with the reasons."""
        return tuple(self._suspicions.values())

    def announce_shutdown(self) -> None:
        """Announce the shutdown of this host to every peer, now and again on later ticks."""
        self._leaving = True
        self._send_leaving(self._context.now_ms())

    def on_tick(self) -> None:
        """Start probes that are due, retry or fail unanswered ones and expire old state."""
        now_ms = self._context.now_ms()
        if now_ms - self._last_tick_ms > _PAUSE_THRESHOLD_MS:
            # This host was paused and has not read the answers that arrived meanwhile.
            self._probes.clear()
        self._last_tick_ms = now_ms
        self._send_leaving(now_ms)
        self._check_probes(now_ms)
        self._expire_relayed_probes(now_ms)
        self._check_suspicions(now_ms)
        self._check_leaving(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + _PROBE_INTERVAL_MS
            self._expire_leaving(now_ms)
            for target in self._peers.pick_in_own_region(1) + self._peers.pick_in_other_regions(
                _REMOTE_PROBES_PER_REGION
            ):
                self._begin_probe(target)

    @system.handles(messages.Ping)
    def on_ping(self, sender: ids.HostId, message: messages.Ping) -> None:
        """Acknowledge a probe."""
        self._context.send(
            sender,
            messages.Ack(
                message.number, self._context.incarnation, self._leaving, self._active_rumors()
            ),
        )
        self._apply_peer_state(sender, message.incarnation, message.leaving, message.rumors)
        if sender in self._suspicions:
            # The sender may be back, but only an answer to our own probe proves both directions.
            self._begin_probe(sender)

    @system.handles(messages.Ack)
    def on_ack(self, sender: ids.HostId, message: messages.Ack) -> None:
        """Complete a probe of this host, or one that it relays for another host."""
        self._last_ack_ms[sender] = self._context.now_ms()
        self._apply_peer_state(sender, message.incarnation, message.leaving, message.rumors)
        relayed = self._relayed_probes.pop(message.number, None)
        if relayed is not None:
            self._context.send(relayed.origin, messages.IndirectAck(relayed.origin_number))
        if self._probes.pop(message.number, None) is not None:
            self._recent_results.append(True)
        if sender in self._suspicions:
            self._clear_suspicion(sender, "answered-probe")

    @system.handles(messages.PingRequest)
    def on_ping_request(self, sender: ids.HostId, message: messages.PingRequest) -> None:
        """Probe a host on behalf of the sender."""
        number = next(self._probe_numbers)
        expires_ms = self._context.now_ms() + _RELAYED_PROBE_TIMEOUT_MS
        self._relayed_probes[number] = _RelayedProbe(
            origin=sender, origin_number=message.number, expires_ms=expires_ms
        )
        self._send_ping(ids.HostId(message.target), number)

    @system.handles(messages.IndirectAck)
    def on_indirect_ack(self, sender: ids.HostId, message: messages.IndirectAck) -> None:
        """Record that another host reaches the target of a pending probe."""
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.reached_by_relay = True

    @system.handles(messages.Rumors)
    def on_rumors(self, sender: ids.HostId, message: messages.Rumors) -> None:
        """Apply rumors, and forward those that are new to this host."""
        self._apply_rumors(message.rumors)

    @system.handles(messages.Leaving)
    def on_leaving(self, sender: ids.HostId, message: messages.Leaving) -> None:
        """Mark a host as leaving, so that it gets no new work."""
        self._apply_peer_state(sender, message.incarnation, True, ())

    # Probing

    def _begin_probe(self, target: ids.HostId) -> None:
        if any(probe.target == target for probe in self._probes.values()):
            return
        number = next(self._probe_numbers)
        self._probes[number] = _Probe(target=target, number=number, sent_ms=self._context.now_ms())
        self._send_ping(target, number)

    def _send_ping(self, target: ids.HostId, number: int) -> None:
        piggybacked = self._active_rumors()
        if target in self._suspicions:
            # A live target that learns of the suspicion refutes it.
            piggybacked = (messages.Rumor(target, False), *piggybacked)
        ping = messages.Ping(number, self._context.incarnation, self._leaving, piggybacked)
        self._context.send(target, ping)

    def _check_probes(self, now_ms: float) -> None:
        """Retry probes whose answer is overdue, and fail those with no attempts left."""
        for probe in list(self._probes.values()):
            if now_ms - probe.sent_ms < _ACK_TIMEOUT_MS:
                continue
            if probe.attempts >= _MAX_PROBE_ATTEMPTS:
                del self._probes[probe.number]
                self._fail_probe(probe, now_ms)
                continue
            probe.attempts += 1
            probe.sent_ms = now_ms
            self._send_ping(probe.target, probe.number)
            if probe.attempts >= _INDIRECT_FROM_ATTEMPT and not probe.reached_by_relay:
                for relay in self._peers.pick_in_own_region(
                    _RELAYS_PER_ATTEMPT, exclude=probe.target
                ):
                    request = messages.PingRequest(probe.number, probe.target)
                    self._context.send(relay, request)

    def _fail_probe(self, probe: _Probe, now_ms: float) -> None:
        """Suspect the target of an unanswered probe, and spread that if no relay reached it."""
        if self._membership.row(probe.target) is None:
            return
        self._recent_results.append(False)
        if probe.reached_by_relay:
            self._suspect(probe.target, suspicion.SuspicionReason.PATH_FAULT, now_ms)
            return
        self._suspect(probe.target, suspicion.SuspicionReason.NO_ANSWER, now_ms)
        if self._most_probes_answered() and self._rumors.add(
            probe.target, alive=False, now_ms=now_ms
        ):
            self._send_rumor(messages.Rumor(probe.target, False))

    def _most_probes_answered(self) -> bool:
        """Return whether at least half of the recent probes were answered.

        Otherwise the fault may be on this host, which then spreads no suspicion.
        """
        return sum(self._recent_results) * 2 >= len(self._recent_results)

    def _expire_relayed_probes(self, now_ms: float) -> None:
        for number, relayed in list(self._relayed_probes.items()):
            if now_ms >= relayed.expires_ms:
                del self._relayed_probes[number]

    # Suspicions

    def _suspect(self, host: ids.HostId, reason: suspicion.SuspicionReason, now_ms: float) -> None:
        previous = self._suspicions.get(host)
        reported = reason is suspicion.SuspicionReason.REPORTED_BY_PEER
        self._suspicions[host] = suspicion.SuspicionRow(
            host=host,
            reason=reason,
            next_probe_ms=now_ms + _REPROBE_INTERVAL_MS * (0.5 + self._context.rng.random()),
            expires_ms=now_ms + _REPORTED_SUSPICION_TTL_MS if reported else float("inf"),
        )
        self._membership.set_suspected(host, True)
        if previous is None or previous.reason is not reason:
            self._record_decision("suspected", reason.value, host)

    def _clear_suspicion(self, host: ids.HostId, reason: str) -> None:
        del self._suspicions[host]
        self._membership.set_suspected(host, False)
        self._record_decision("reachable", reason, host)

    def _check_suspicions(self, now_ms: float) -> None:
        """Drop unlisted hosts, expire reported suspicions and probe the others again."""
        reprobes = 0
        for row in list(self._suspicions.values()):
            if self._membership.row(row.host) is None:
                del self._suspicions[row.host]
            elif now_ms >= row.expires_ms:
                self._clear_suspicion(row.host, "hearsay-ended")
            elif row.reason is suspicion.SuspicionReason.REPORTED_BY_PEER:
                continue
            elif now_ms >= row.next_probe_ms and reprobes < _MAX_REPROBES_PER_TICK:
                row.next_probe_ms = now_ms + _REPROBE_INTERVAL_MS * (
                    0.5 + self._context.rng.random()
                )
                reprobes += 1
                self._begin_probe(row.host)

    # State reported by peers

    def _apply_peer_state(
        self,
        sender: ids.HostId,
        incarnation: int,
        leaving: bool,
        received: tuple[messages.Rumor, ...],
    ) -> None:
        """Update the leaving mark of the sender, and apply the rumors that it sent."""
        if leaving:
            self._last_leaving_ms[sender] = self._context.now_ms()
            if self._membership.mark_leaving(sender, incarnation):
                self._leaving_check_ms[sender] = (
                    self._last_leaving_ms[sender]
                    + _LEAVING_CHECK_SPREAD_MS * self._context.rng.random()
                )
                self._record_decision("leaving", "said-so", sender)
        else:
            self._membership.clear_earlier_leaving(sender, incarnation)
        self._apply_rumors(received)

    def _apply_rumors(self, received: tuple[messages.Rumor, ...]) -> None:
        now_ms = self._context.now_ms()
        for rumor in received:
            host = ids.HostId(rumor.host)
            if host == self._context.host:
                self._refute(rumor, now_ms)
            elif rumor.alive:
                self._apply_alive(rumor, now_ms)
            else:
                self._apply_suspicion(rumor, now_ms)

    def _refute(self, rumor: messages.Rumor, now_ms: float) -> None:
        """Answer a suspicion of this host with a rumor that it is alive."""
        if rumor.alive:
            return
        if self._rumors.add(self._context.host, alive=True, now_ms=now_ms):
            self._send_rumor(messages.Rumor(self._context.host, True))

    def _apply_alive(self, rumor: messages.Rumor, now_ms: float) -> None:
        host = ids.HostId(rumor.host)
        if not self._rumors.add(host, alive=True, now_ms=now_ms):
            return
        self._send_rumor(rumor)
        row = self._suspicions.get(host)
        if row is not None and row.reason is suspicion.SuspicionReason.REPORTED_BY_PEER:
            self._clear_suspicion(host, "refuted")

    def _apply_suspicion(self, rumor: messages.Rumor, now_ms: float) -> None:
        host = ids.HostId(rumor.host)
        if now_ms - self._last_ack_ms.get(host, float("-inf")) < _RECENT_ACK_MS:
            return
        if self._membership.row(host) is None:
            return
        if not self._rumors.add(host, alive=False, now_ms=now_ms):
            return
        self._send_rumor(rumor)
        row = self._suspicions.get(host)
        if row is None or row.reason is suspicion.SuspicionReason.REPORTED_BY_PEER:
            self._suspect(host, suspicion.SuspicionReason.REPORTED_BY_PEER, now_ms)

    def _active_rumors(self) -> tuple[messages.Rumor, ...]:
        return self._rumors.active(self._context.now_ms())

    def _send_rumor(self, rumor: messages.Rumor) -> None:
        peers = self._peers.pick_in_own_region(_RUMOR_FANOUT, exclude=ids.HostId(rumor.host))
        for peer in peers + self._peers.pick_in_other_regions(_REMOTE_RUMORS_PER_REGION):
            self._context.send(peer, messages.Rumors((rumor,)))

    # Leaving

    def _send_leaving(self, now_ms: float) -> None:
        if not self._leaving or now_ms < self._next_leaving_ms:
            return
        self._leaving_sends += 1
        fast = self._leaving_sends < _LEAVING_FAST_SENDS
        self._next_leaving_ms = now_ms + (
            _LEAVING_FAST_INTERVAL_MS if fast else _LEAVING_SLOW_INTERVAL_MS
        )
        for row in self._membership.hosts():
            self._context.send(row.host, messages.Leaving(self._context.incarnation))

    def _check_leaving(self, now_ms: float) -> None:
        """Probe newly marked hosts once; the answer of another run clears the mark."""
        for host, due_ms in list(self._leaving_check_ms.items()):
            if now_ms >= due_ms:
                del self._leaving_check_ms[host]
                self._begin_probe(host)

    def _expire_leaving(self, now_ms: float) -> None:
        """Clear leaving marks that are no longer repeated.

        The host may have restarted without this host receiving anything from the new process.
        """
        for host, last_ms in list(self._last_leaving_ms.items()):
            if now_ms - last_ms >= _LEAVING_TTL_MS:
                del self._last_leaving_ms[host]
                self._membership.clear_leaving(host)

    def _record_decision(self, choice: str, reason: str, host: ids.HostId) -> None:
        self._context.record_decision(ring.DecisionKind.MEMBERSHIP, choice, reason, subject=host)
