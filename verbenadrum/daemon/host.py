"""Assembles one host: the decision core and the ports around it."""

import logging
import pathlib
import random
import secrets

import gevent
import msgspec
from gevent import event

from verbenadrum import ids
from verbenadrum.core import behaviours, context, engine
from verbenadrum.daemon import (
    callers,
    http_server,
    log_writer,
    logs,
    metrics,
    operators,
    peers,
    platform_reader,
    prober,
    sockets,
    sources,
    upstream,
)
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.messages import base, codec
from verbenadrum.placement import budget
from verbenadrum.platform import store
from verbenadrum.records import checks
from verbenadrum.records import types as record_types
from verbenadrum.settings import load, types, watch
from verbenadrum.utils import clock

__all__ = ["Host"]

assert behaviours and store  # Imported for what they register.

_MS_PER_S = 1000.0
_LAST_MESSAGES_S = 0.1
_SEED_INTERVAL_S = 0.5
_SHUTDOWN_POLL_S = 0.02
# Callers count the linger from the sending of SIGTERM, which a busy process handles late.
_SIGNAL_DELAY_MS = 250.0
# Two ticks until requests expire, as long to write their refusals, and the last messages.
_LEAST_MARGIN_MS = 400.0
_MAX_IDLE_CONNECTIONS = 8
# Pool homes count a connection for 60 s after its last use, so it must be closed by then.
_IDLE_CONNECTION_S = 45.0
_SWEEP_INTERVAL_S = 5.0
# A settings file may change without a signal; reading its status costs a few microseconds.
_SETTINGS_INTERVAL_S = 1.0
# Tables that take effect while the host runs; the others wait for a restart.
_RELOADED_TABLES = ("log", "shutdown")
_SEED_BITS = 62
# With the 41 bits of the time of day, an incarnation fits into 64 bits for decades.
_RANDOM_BITS = 20

_log = logging.getLogger(__name__)


class Host:
    """One host process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    writer : LineWriter or None
        Where log lines wait; flushed with each batch of decisions.

    Raises
    ------
    OSError
        If a port cannot be bound or a certificate cannot be read.
    """

    def __init__(
        self, *, settings: types.Settings, writer: log_writer.LineWriter | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock.SystemClock()
        self._stopped = event.Event()
        self._stopping = False
        self._greenlets: list[gevent.Greenlet] = []
        self._log = logs.DecisionLog(
            host=settings.host.id, lines_per_s=settings.log.lines_per_s, writer=writer
        )
        self._decisions = ring.DecisionRing(
            wall_ms=self._clock.wall_ms,
            size=settings.decisions.ring_size,
            listener=self._log.add,
        )
        self._engine = self._make_engine()
        self._peers = self._make_peers()
        self._reader = platform_reader.PlatformReader(
            engine=self._engine,
            urls=settings.platform.urls,
            source=self._make_source(),
        )
        meters = metrics.RequestMeters(clock=self._clock)
        self._setup = metrics.MeterSetup(
            host=settings.host.id, settings=settings.metrics, meters=meters
        )
        self._pools = upstream.ConnectionPools(max_idle=_MAX_IDLE_CONNECTIONS)
        self._callers = callers.CallersPort(
            engine=self._engine,
            pools=self._pools,
            clock=self._clock,
            meters=meters,
            headers=settings.headers,
        )
        self._prober = prober.Prober(engine=self._engine, names=self._callers.names)
        self._caller_server = self._make_caller_server()
        self._operator_servers = self._make_operator_servers()
        self._observe()

    def start(self) -> None:
        """Open the ports and start the background work."""
        self._peers.start()
        self._setup.start()
        self._caller_server.start()
        for server in self._operator_servers:
            server.start()
        for run in (
            self._run_ticks,
            self._log.run,
            self._reader.run_records,
            self._reader.run_hosts,
            self._ask_seeds,
            self._close_idle,
        ):
            self._greenlets.append(gevent.spawn(run))
        _log.info("started", extra={"host": self._settings.host.id})

    def wait(self) -> None:
        """Return once the host has shut down."""
        self._stopped.wait()

    def begin_shutdown(self, since_ms: float | None = None) -> None:
        """Stop accepting, finish what is in flight, and end; a second call changes nothing.

        Parameters
        ----------
        since_ms : float or None
            Monotonic time from which the end is counted, where that is not now.
        """
        if not self._stopping:
            self._stopping = True
            gevent.spawn(self._shut_down, self._clock.now_ms() if since_ms is None else since_ms)

    def follow_settings(self, watched: watch.SettingsWatch) -> None:
        """Read the settings again whenever their file changes."""
        self._greenlets.append(gevent.spawn(self._follow_settings, watched))

    def _follow_settings(self, watched: watch.SettingsWatch) -> None:
        while True:
            gevent.sleep(_SETTINGS_INTERVAL_S)
            if watched.changed():
                self.reload(watched.path)

    def reload(self, path: pathlib.Path) -> None:
        """Read the settings again; those that cannot change while running wait for a restart.

        A file with faults changes nothing. The seeds of the peers take effect as well.
        """
        try:
            fresh = load.load_settings(path)
        except load.SettingsError as error:
            _log.error("settings not reloaded", extra={"fault": error.message})
            return
        changed = [
            field
            for field in self._settings.__struct_fields__
            if getattr(fresh, field) != getattr(self._settings, field)
        ]
        in_force = [name for name in changed if name in _RELOADED_TABLES]
        tables = {name: getattr(fresh, name) for name in in_force}
        seeds = fresh.peers.seeds
        if seeds != self._settings.peers.seeds:
            in_force.append("peers.seeds")
            tables["peers"] = msgspec.structs.replace(self._settings.peers, seeds=seeds)
            self._engine.host_spread.use_seeds(seeds)
        self._settings = msgspec.structs.replace(self._settings, **tables)
        logging.getLogger().setLevel(fresh.log.level)
        _log.info("settings reloaded", extra={"changed": changed, "in_force": in_force})

    def _shut_down(self, since_ms: float) -> None:
        try:
            self._finish_requests(since_ms)
            self._close_ports()
        finally:
            # A fault on the way must not leave a process that takes no work and never ends.
            self._stopped.set()

    def _finish_requests(self, since_ms: float) -> None:
        _log.info("shutting down", extra={"in_flight": self._caller_server.in_flight})
        table = self._settings.shutdown
        margin_ms = max(table.margin_ms, _LEAST_MARGIN_MS)
        allowed_ms = max(0.0, table.limit_ms - margin_ms)
        ends_ms = since_ms + allowed_ms
        self._engine.leave(ends_ms)
        self._caller_server.announce_end()
        # Callers, and a balancer before this host, learn of the end late.
        linger_ms = min(table.linger_ms, allowed_ms / 2.0)
        refuses_ms = min(_SIGNAL_DELAY_MS, linger_ms / 2.0)
        self._sleep_until(since_ms + linger_ms - refuses_ms)
        self._engine.refuse_late()
        self._sleep_until(since_ms + linger_ms)
        late_ms = round(self._clock.now_ms() - since_ms - linger_ms, 1)
        self._caller_server.drain()
        _log.info("listener closed", extra={**self._open_work(), "late_ms": late_ms})
        # A request may arrive on a kept connection until the moment at which that is closed, and
        # those that are refused because the time is up get their answers after it.
        closes_ms = ends_ms + margin_ms / 2.0 - _LAST_MESSAGES_S * _MS_PER_S
        while self._caller_server.connections and self._clock.now_ms() < closes_ms:
            try:
                self._caller_server.close_idle()
            except Exception:
                # Without it connections end later; a cut would lose what is in flight.
                _log.exception("idle connections not closed")
            gevent.sleep(_SHUTDOWN_POLL_S)
        # The last releases and ends of claims are still on their way to other hosts.
        gevent.sleep(_LAST_MESSAGES_S)

    def _sleep_until(self, at_ms: float) -> None:
        gevent.sleep(max(0.0, at_ms - self._clock.now_ms()) / _MS_PER_S)

    def _open_work(self) -> dict[str, int]:
        server = self._caller_server
        return {"connections": server.connections, "in_flight": server.in_flight}

    def _close_ports(self) -> None:
        if self._caller_server.connections:
            _log.warning("connections cut", extra=self._open_work())
        self._caller_server.close_connections()
        for server in self._operator_servers:
            server.stop(timeout=0)
        gevent.killall(self._greenlets)
        self._peers.stop()
        self._setup.stop()
        _log.info("stopped", extra={"host": self._settings.host.id})
        self._log.flush(last=True)

    def _make_incarnation(self) -> int:
        """Return a number that grows from run to run, unless the time of day is set back."""
        return int(self._clock.wall_ms()) << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)

    def _make_source(self) -> sources.Source:
        table = self._settings.platform
        options = sources.SourceOptions(
            host=self._settings.host.id,
            urls=table.urls,
            connect_timeout_s=table.connect_timeout_ms / _MS_PER_S,
            read_timeout_s=table.read_timeout_ms / _MS_PER_S,
            zones=frozenset(self._settings.data_centres),
            floor=table.floor,
        )
        return sources.sources.get(table.source)(options=options)

    def _make_engine(self) -> engine.Engine:
        host = self._settings.host
        table = self._settings.platform
        seed = self._settings.decisions.seed or secrets.randbits(_SEED_BITS)
        made = context.Context(
            host=ids.HostId(host.id),
            data_centre=ids.DataCentreId(host.data_centre),
            region=ids.RegionId(host.region),
            incarnation=self._make_incarnation(),
            clock=self._clock,
            rng=random.Random(seed),
            send=self._send,
            decisions=self._decisions,
        )
        made_engine = engine.Engine(
            context=made,
            choices=self._settings.decisions,
            address=self._settings.peers.listen,
            seeds=self._settings.peers.seeds,
            read_policy=duty.ReadPolicy(
                poll_wait_ms=table.poll_wait_ms,
                backoff_cap_ms=table.backoff_cap_ms,
                isolated_after_ms=table.isolated_after_ms,
            ),
            retries=budget.RetryLimits(
                ratio=self._settings.retries.ratio,
                slack=self._settings.retries.slack,
                window_ms=self._settings.retries.window_ms,
            ),
        )
        if self._settings.data_centres:
            made_engine.apply_records([_fleet_record(self._settings.data_centres)])
        return made_engine

    def _make_peers(self) -> peers.PeerStreams:
        table = self._settings.peers
        return peers.PeerStreams(
            host=ids.HostId(self._settings.host.id),
            listener=sockets.listen(table.listen),
            server_tls=sockets.peer_server_context(table),
            client_tls=sockets.peer_client_context(table),
            find_address=self._find_address,
            deliver=self._deliver,
        )

    def _make_caller_server(self) -> http_server.HttpServer:
        table = self._settings.callers
        return http_server.HttpServer(
            listener=sockets.listen(table.listen),
            application=self._callers.application,
            tls=sockets.server_context(table.tls_cert, table.tls_key),
            limits=lambda: self._engine.records.caller_limits,
        )

    def _make_operator_servers(self) -> list[http_server.HttpServer]:
        port = operators.OperatorsPort(
            decisions=self._decisions,
            ready=self._is_ready,
            status=self._status,
            scrape=self._setup.scrape,
        )
        listeners = [sockets.listen(self._settings.operators.listen)]
        further = self._settings.metrics.listen
        if further:
            try:
                listeners.append(sockets.listen(further))
            except OSError as error:
                # A fixed port may be taken; requests are served without it.
                _log.warning("no metrics port", extra={"address": further, "fault": str(error)})
        return [
            http_server.HttpServer(listener=listener, application=port.application)
            for listener in listeners
        ]

    def _send(self, to: ids.HostId, message: base.Message) -> None:
        if to in self._settings.peers.seeds:
            self._peers.send_to_address(to, message)
        else:
            self._peers.send(to, message)

    def _deliver(self, envelope: codec.Envelope) -> None:
        self._engine.on_message(ids.HostId(envelope.sender), envelope.message)

    def _find_address(self, host: ids.HostId) -> str | None:
        if host in self._settings.peers.seeds:
            return host
        return self._engine.membership.address(host)

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(engine.TICK_MS / _MS_PER_S)
            # The loop runs timers before the bytes that arrived meanwhile, and a tick that finds a
            # deadline passed must not overtake an answer that came before it.
            gevent.sleep(0)
            try:
                self._engine.on_tick()
                self._prober.start_due()
            except Exception:
                # A fault in one tick must not end every later one.
                _log.exception("a tick failed")

    def _close_idle(self) -> None:
        while True:
            gevent.sleep(_SWEEP_INTERVAL_S)
            self._pools.close_idle(longer_than_s=_IDLE_CONNECTION_S)

    def _ask_seeds(self) -> None:
        seeds = self._settings.peers.seeds
        turn = 0
        while seeds:
            gevent.sleep(_SEED_INTERVAL_S)
            if self._engine.reader_duty().ask_seeds:
                self._peers.send_to_address(seeds[turn % len(seeds)], self._engine.seed_request())
                turn += 1

    def _is_ready(self) -> bool:
        return not self._stopping and self._engine.ready

    def _status(self) -> dict:
        host = self._settings.host
        return {
            "host": host.id,
            "data_centre": host.data_centre,
            "region": host.region,
            "ready": self._is_ready(),
            "stopping": self._stopping,
            "in_flight": self._caller_server.in_flight,
            "record_revision": self._engine.records.revision,
            "host_list_revision": self._engine.membership.revision,
            "hosts": [row.host for row in self._engine.membership.hosts()],
            "epoch": self._engine.epochs.active(),
            "complete_revision": self._engine.record_spread.complete_to,
            "rejected_records": self._engine.store.rejections(),
            "suspected_hosts": self._engine.detector.suspicions(),
            "platform_reader": self._engine.reader_duty().reason,
            "platform_calls": self._reader.calls,
            "peers": self._peers.counters,
        }

    def _observe(self) -> None:
        counters = self._peers.counters
        figures = (
            (
                "verbenadrum.requests.in_flight",
                "",
                "Requests.",
                lambda: self._caller_server.in_flight,
            ),
            (
                "verbenadrum.callers.connections",
                "",
                "Open connections of callers.",
                lambda: self._caller_server.connections,
            ),
            ("verbenadrum.records.revision", "", "Records.", lambda: self._engine.records.revision),
            ("verbenadrum.peers.bytes_sent", "By", "To peers.", lambda: counters.bytes_sent),
            ("verbenadrum.peers.messages_sent", "", "To peers.", lambda: counters.messages_sent),
            ("verbenadrum.peers.dropped", "", "To peers.", lambda: counters.messages_dropped),
        )
        for name, unit, describe, read in figures:
            self._setup.observe(name, unit, describe, read)


def _fleet_record(data_centres: dict[str, str]) -> record_types.Record:
    """Return the record of data centres that the settings name, each with the same weight."""
    shares = tuple(
        record_types.DataCentreShare(data_centre=name, region=region)
        for name, region in sorted(data_centres.items())
    )
    return record_types.Record(
        kind=record_types.RecordKind.FLEET,
        name=checks.FLEET_RECORD_NAME,
        revision=1,
        spec=record_types.FleetSpec(data_centres=shares),
    )
