"""Failure detector: probes of random peers, with indirect checks through others.

It follows SWIM (Das, Gupta and Motivala, 2002): the cost of a host does not grow with the number
of hosts. Unlike there, a suspicion is only a hint that ends by itself, and the list of members is
the platform's.
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

_PERIOD_MS = 500.0
_FAR_PROBES_PER_REGION = 2.0
_ACK_TIMEOUT_MS = 200.0
_DIRECT_TRIES = 4
_INDIRECT_FROM_TRY = 2
_PROXIES = 3
_PROXY_TIMEOUT_MS = 1_000.0
_REPROBE_MS = 1_000.0
_MAX_REPROBES_PER_TICK = 2
_HEARSAY_MS = 10_000.0
_RECENT_ACK_MS = 1_000.0
_PAUSE_MS = 1_000.0
_RUMOR_FANOUT = 3
_FAR_RUMORS_PER_REGION = 2.0
_JUDGED_PROBES = 8
_LEAVING_QUICK_REPEATS = 3
_LEAVING_QUICK_MS = 200.0
_LEAVING_SLOW_MS = 20_000.0
_LEAVING_LASTS_MS = 60_000.0


class _Probe(msgspec.Struct, kw_only=True):
    """A probe that has not ended."""

    target: ids.HostId
    number: int
    sent_ms: float
    tries: int = 1
    reached_by_proxy: bool = False


class _ProxyProbe(msgspec.Struct, kw_only=True):
    """A probe made for another host."""

    origin: ids.HostId
    origin_number: int
    until_ms: float


class FailureDetector(system.System):
    """Sets the hints of the host table.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers and sending.
    membership : HostTable
        The listed hosts, and where the hints go.
    peers : PeerSampler
        Chooses whom to probe and whom to tell.
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
        self._proxied: dict[int, _ProxyProbe] = {}
        self._suspicions: dict[ids.HostId, suspicion.SuspicionRow] = {}
        self._acked_ms: dict[ids.HostId, float] = {}
        self._verdicts: collections.deque[bool] = collections.deque(maxlen=_JUDGED_PROBES)
        self._number = 0
        self._last_tick_ms = context.now_ms()
        self._next_probe_ms = context.now_ms() + context.rng.random() * _PERIOD_MS
        self._leaving = False
        self._leaving_told = 0
        self._next_leaving_ms = 0.0
        self._heard_leaving_ms: dict[ids.HostId, float] = {}

    def suspicions(self) -> tuple[suspicion.SuspicionRow, ...]:
        """Return the hosts that are suspected here, with the reason."""
        return tuple(self._suspicions.values())

    def leave(self) -> None:
        """Tell every peer that this host shuts down; repeated by the next ticks."""
        self._leaving = True
        self._tell_leaving(self._context.now_ms())

    def on_tick(self) -> None:
        """Probe a peer when it is due, and judge the probes that got no answer."""
        now_ms = self._context.now_ms()
        if now_ms - self._last_tick_ms > _PAUSE_MS:
            # This host was paused: what came in the meantime has not been read yet.
            self._probes.clear()
        self._last_tick_ms = now_ms
        self._tell_leaving(now_ms)
        self._watch_probes(now_ms)
        self._watch_proxied(now_ms)
        self._watch_suspicions(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + _PERIOD_MS
            self._watch_leaving(now_ms)
            for target in self._peers.near(1) + self._peers.far(_FAR_PROBES_PER_REGION):
                self._begin_probe(target)

    @system.handles(messages.Ping)
    def on_ping(self, sender: ids.HostId, message: messages.Ping) -> None:
        """Answer a probe."""
        self._context.send(
            sender,
            messages.Ack(
                message.number, self._context.incarnation, self._leaving, self._told_rumors()
            ),
        )
        self._hear(sender, message.incarnation, message.leaving, message.rumors)
        if sender in self._suspicions:
            # It may be back: only an answer to a probe of ours proves both directions.
            self._begin_probe(sender)

    @system.handles(messages.Ack)
    def on_ack(self, sender: ids.HostId, message: messages.Ack) -> None:
        """Take an answer to a probe of this host, or to one that it made for another."""
        self._acked_ms[sender] = self._context.now_ms()
        self._hear(sender, message.incarnation, message.leaving, message.rumors)
        proxied = self._proxied.pop(message.number, None)
        if proxied is not None:
            self._context.send(proxied.origin, messages.IndirectAck(proxied.origin_number))
        if self._probes.pop(message.number, None) is not None:
            self._verdicts.append(True)
        if sender in self._suspicions:
            self._clear(sender, "answered-probe")

    @system.handles(messages.PingRequest)
    def on_ping_request(self, sender: ids.HostId, message: messages.PingRequest) -> None:
        """Probe a host for another one."""
        number = self._take_number()
        until_ms = self._context.now_ms() + _PROXY_TIMEOUT_MS
        self._proxied[number] = _ProxyProbe(
            origin=sender, origin_number=message.number, until_ms=until_ms
        )
        self._send_ping(ids.HostId(message.target), number)

    @system.handles(messages.IndirectAck)
    def on_indirect_ack(self, sender: ids.HostId, message: messages.IndirectAck) -> None:
        """Note that another host reaches the target of a probe."""
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.reached_by_proxy = True

    @system.handles(messages.Rumors)
    def on_rumors(self, sender: ids.HostId, message: messages.Rumors) -> None:
        """Take rumors, and pass on those that are new here."""
        self._take_rumors(message.rumors)

    @system.handles(messages.Leaving)
    def on_leaving(self, sender: ids.HostId, message: messages.Leaving) -> None:
        """Stop giving new work to a host that shuts down."""
        self._hear(sender, message.incarnation, True, ())

    # Probing

    def _take_number(self) -> int:
        self._number += 1
        return self._number

    def _begin_probe(self, target: ids.HostId) -> None:
        if any(probe.target == target for probe in self._probes.values()):
            return
        number = self._take_number()
        self._probes[number] = _Probe(target=target, number=number, sent_ms=self._context.now_ms())
        self._send_ping(target, number)

    def _send_ping(self, target: ids.HostId, number: int) -> None:
        rumors_told = self._told_rumors()
        if target in self._suspicions:
            # Told of the suspicion, a host that lives says so to others.
            rumors_told = (messages.Rumor(target, False), *rumors_told)
        ping = messages.Ping(number, self._context.incarnation, self._leaving, rumors_told)
        self._context.send(target, ping)

    def _watch_probes(self, now_ms: float) -> None:
        for probe in list(self._probes.values()):
            if now_ms - probe.sent_ms < _ACK_TIMEOUT_MS:
                continue
            if probe.tries >= _DIRECT_TRIES:
                del self._probes[probe.number]
                self._judge(probe, now_ms)
                continue
            probe.tries += 1
            probe.sent_ms = now_ms
            self._send_ping(probe.target, probe.number)
            if probe.tries >= _INDIRECT_FROM_TRY and not probe.reached_by_proxy:
                for proxy in self._peers.near(_PROXIES, exclude=probe.target):
                    request = messages.PingRequest(probe.number, probe.target)
                    self._context.send(proxy, request)

    def _judge(self, probe: _Probe, now_ms: float) -> None:
        if self._membership.row(probe.target) is None:
            return
        self._verdicts.append(False)
        if probe.reached_by_proxy:
            self._suspect(probe.target, suspicion.SuspicionReason.PATH, now_ms)
            return
        self._suspect(probe.target, suspicion.SuspicionReason.NO_ANSWER, now_ms)
        if self._trusts_itself() and self._rumors.add(probe.target, alive=False, now_ms=now_ms):
            self._tell(messages.Rumor(probe.target, False))

    def _trusts_itself(self) -> bool:
        """Return whether most probes were answered; else the fault may be this host's own."""
        return sum(self._verdicts) * 2 >= len(self._verdicts)

    def _watch_proxied(self, now_ms: float) -> None:
        for number, proxied in list(self._proxied.items()):
            if now_ms >= proxied.until_ms:
                del self._proxied[number]

    # Suspicions

    def _suspect(self, host: ids.HostId, reason: suspicion.SuspicionReason, now_ms: float) -> None:
        known = self._suspicions.get(host)
        hearsay = reason is suspicion.SuspicionReason.TOLD
        self._suspicions[host] = suspicion.SuspicionRow(
            host=host,
            reason=reason,
            probe_at_ms=now_ms + _REPROBE_MS * (0.5 + self._context.rng.random()),
            until_ms=now_ms + _HEARSAY_MS if hearsay else float("inf"),
        )
        self._membership.suspect(host, True)
        if known is None or known.reason is not reason:
            self._decide("suspected", reason.value, host)

    def _clear(self, host: ids.HostId, reason: str) -> None:
        del self._suspicions[host]
        self._membership.suspect(host, False)
        self._decide("reachable", reason, host)

    def _watch_suspicions(self, now_ms: float) -> None:
        reprobes = 0
        for row in list(self._suspicions.values()):
            if self._membership.row(row.host) is None:
                del self._suspicions[row.host]
            elif now_ms >= row.until_ms:
                self._clear(row.host, "hearsay-ended")
            elif row.reason is suspicion.SuspicionReason.TOLD:
                continue
            elif now_ms >= row.probe_at_ms and reprobes < _MAX_REPROBES_PER_TICK:
                row.probe_at_ms = now_ms + _REPROBE_MS * (0.5 + self._context.rng.random())
                reprobes += 1
                self._begin_probe(row.host)

    # What peers say

    def _hear(
        self,
        sender: ids.HostId,
        incarnation: int,
        leaving: bool,
        told: tuple[messages.Rumor, ...],
    ) -> None:
        if leaving:
            self._heard_leaving_ms[sender] = self._context.now_ms()
            if self._membership.mark_leaving(sender, incarnation):
                self._decide("leaving", "said-so", sender)
        else:
            self._membership.mark_staying(sender, incarnation)
        self._take_rumors(told)

    def _take_rumors(self, told: tuple[messages.Rumor, ...]) -> None:
        now_ms = self._context.now_ms()
        for rumor in told:
            host = ids.HostId(rumor.host)
            if host == self._context.host:
                self._refute(rumor, now_ms)
            elif rumor.alive:
                self._take_alive(rumor, now_ms)
            else:
                self._take_suspicion(rumor, now_ms)

    def _refute(self, rumor: messages.Rumor, now_ms: float) -> None:
        if rumor.alive:
            return
        if self._rumors.add(self._context.host, alive=True, now_ms=now_ms):
            self._tell(messages.Rumor(self._context.host, True))

    def _take_alive(self, rumor: messages.Rumor, now_ms: float) -> None:
        host = ids.HostId(rumor.host)
        if not self._rumors.add(host, alive=True, now_ms=now_ms):
            return
        self._tell(rumor)
        row = self._suspicions.get(host)
        if row is not None and row.reason is suspicion.SuspicionReason.TOLD:
            self._clear(host, "refuted")

    def _take_suspicion(self, rumor: messages.Rumor, now_ms: float) -> None:
        host = ids.HostId(rumor.host)
        if now_ms - self._acked_ms.get(host, float("-inf")) < _RECENT_ACK_MS:
            return
        if self._membership.row(host) is None:
            return
        if not self._rumors.add(host, alive=False, now_ms=now_ms):
            return
        self._tell(rumor)
        row = self._suspicions.get(host)
        if row is None or row.reason is suspicion.SuspicionReason.TOLD:
            self._suspect(host, suspicion.SuspicionReason.TOLD, now_ms)

    def _told_rumors(self) -> tuple[messages.Rumor, ...]:
        return self._rumors.told(self._context.now_ms())

    def _tell(self, rumor: messages.Rumor) -> None:
        peers = self._peers.near(_RUMOR_FANOUT, exclude=ids.HostId(rumor.host))
        for peer in peers + self._peers.far(_FAR_RUMORS_PER_REGION):
            self._context.send(peer, messages.Rumors((rumor,)))

    # Leaving

    def _tell_leaving(self, now_ms: float) -> None:
        if not self._leaving or now_ms < self._next_leaving_ms:
            return
        self._leaving_told += 1
        quick = self._leaving_told < _LEAVING_QUICK_REPEATS
        self._next_leaving_ms = now_ms + (_LEAVING_QUICK_MS if quick else _LEAVING_SLOW_MS)
        for row in self._membership.hosts():
            self._context.send(row.host, messages.Leaving(self._context.incarnation))

    def _watch_leaving(self, now_ms: float) -> None:
        """Forget what is no longer repeated: the host may have started again unheard."""
        for host, heard_ms in list(self._heard_leaving_ms.items()):
            if now_ms - heard_ms >= _LEAVING_LASTS_MS:
                del self._heard_leaving_ms[host]
                self._membership.forget_leaving(host)

    def _decide(self, choice: str, reason: str, host: ids.HostId) -> None:
        self._context.decide(ring.DecisionKind.MEMBERSHIP, choice, reason, subject=host)
