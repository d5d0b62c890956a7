"""Assembles one host process: the decision core, its network ports and its background tasks."""

import functools
import logging
import math
import pathlib
import random
import secrets
from collections.abc import Callable

import gevent
import msgspec
from gevent import event

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.daemon import (
    callers,
    connection_pools,
    http_server,
    log_limits,
    log_writer,
    logs,
    metrics,
    operators,
    peers,
    platform_reader,
    prober,
    sockets,
    sources,
)
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import behaviours, engine
from verbenadrum.limits import tolerance
from verbenadrum.messages import base, codec
from verbenadrum.placement import budget
from verbenadrum.platform import store
from verbenadrum.records import checks, revisions
from verbenadrum.records import types as record_types
from verbenadrum.settings import load, types, watch
from verbenadrum.utils import clock

__all__ = ["Host"]

assert behaviours and store  # Importing them registers the implementations that settings name.

_MS_PER_S = 1000.0
# Time for the last messages to reach other hosts before the peer connections are closed.
_PEER_FLUSH_S = 0.1
_SEED_REQUEST_INTERVAL_S = 0.5
_SHUTDOWN_POLL_INTERVAL_S = 0.02
# Requests that could outlive the host are refused this long before the linger time ends.
_EARLY_REFUSAL_MS = 250.0
# Covers the two ticks within which overdue requests are refused, as long again for writing the
# refusals, and the last messages to other hosts.
_MIN_MARGIN_MS = 400.0
# The same for a host that handled its signal late: a tick, the refusals and the last messages.
_LATE_MARGIN_MS = 300.0
_MAX_IDLE_PER_SERVER = 8
# Pool homes count an idle connection for 60 s after its last use, so it must be closed by then.
_IDLE_CONNECTION_TIMEOUT_S = 45.0
_IDLE_CHECK_INTERVAL_S = 5.0
_TASK_RESTART_DELAY_S = 1.0
# The settings file may change without a signal; a check of its status takes a few microseconds.
_SETTINGS_POLL_INTERVAL_S = 1.0
# Tables of the settings that a reload puts into force (of ``log``, the level). The other tables
# need a restart.
_RELOADABLE_TABLES = ("log", "shutdown")
_RNG_SEED_BITS = 62
# An incarnation is the wall-clock time in ms, which has 41 bits, followed by these bits; it fits
# into 64 bits for decades.
_INCARNATION_RANDOM_BITS = 20

_log = logging.getLogger(__name__)


class _ShutdownTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Monotonic times of a shutdown, in milliseconds.

    Attributes
    ----------
    since_ms : float
        Time from which the others are counted; the signal was sent no earlier.
    refuse_from_ms : float
        When new requests that may outlive the host begin to be refused.
    linger_end_ms : float
        When the listener closes.
    deadline_ms : float
        When requests without an answer are refused.
    close_by_ms : float
        When the connections that are still open are closed.
    """

    since_ms: float
    refuse_from_ms: float
    linger_end_ms: float
    deadline_ms: float
    close_by_ms: float


class Host:
    """One host: its decision core, network ports, connections and background tasks.

    The constructor binds the ports; `start` begins to serve them.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    writer : LineWriter or None
        Queue of log lines, flushed with each batch of decisions.

    Raises
    ------
    OSError
        If a port cannot be bound or a certificate cannot be read. A port of the ``[metrics]``
        table that cannot be bound is only logged.
    UnknownNameError
        If the settings select an implementation that is not registered.
    """

    def __init__(
        self, *, settings: types.Settings, writer: log_writer.LineWriter | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock.SystemClock()
        self._stopped = event.Event()
        self._stopping = False
        self._greenlets: list[gevent.Greenlet] = []
        self._tick_error_limit = log_limits.LogLimit()
        self._decision_log = logs.DecisionLog(
            host=settings.host.id, lines_per_s=settings.log.lines_per_s, writer=writer
        )
        self._decisions = ring.DecisionRing(
            wall_ms=self._clock.wall_ms,
            size=settings.decisions.ring_size,
            listener=self._decision_log.add,
        )
        self._engine = self._make_engine()
        self._peers = self._make_peers()
        self._platform_reader = platform_reader.PlatformReader(
            engine=self._engine,
            urls=settings.platform.urls,
            source=self._make_source(),
        )
        request_metrics = metrics.RequestMetrics(clock=self._clock)
        self._metrics = metrics.MetricsRegistry(
            host=settings.host.id, settings=settings.metrics, request_metrics=request_metrics
        )
        self._pools = connection_pools.ConnectionPools(max_idle_per_server=_MAX_IDLE_PER_SERVER)
        self._callers_port = callers.CallersPort(
            engine=self._engine,
            pools=self._pools,
            clock=self._clock,
            request_metrics=request_metrics,
            headers=settings.headers,
        )
        self._prober = prober.Prober(engine=self._engine, names=self._callers_port.names)
        self._caller_server = self._make_caller_server()
        self._operator_servers = self._make_operator_servers()
        self._register_gauges()

    def start(self) -> None:
        """Serve the ports and start the background tasks."""
        self._peers.start()
        self._metrics.start()
        self._caller_server.start()
        for server in self._operator_servers:
            server.start()
        for task in (
            self._run_ticks,
            self._decision_log.run,
            self._platform_reader.run_records,
            self._platform_reader.run_hosts,
            self._send_seed_requests,
            self._close_idle_connections,
        ):
            self._greenlets.append(gevent.spawn(_run_task, task))
        _log.info("started", extra={"host": self._settings.host.id})

    def wait(self) -> None:
        """Block until the host has shut down."""
        self._stopped.wait()

    def begin_shutdown(self, since_ms: float | None = None) -> None:
        """Start a graceful shutdown in the background; `wait` returns when it is complete.

        The host announces its shutdown to its peers and, after the linger time, closes its
        listener and finishes the requests in flight. Further calls have no effect.

        Parameters
        ----------
        since_ms : float or None
            Monotonic time in ms from which the shutdown times are measured, no later than the
            signal was sent; None for now.
        """
        if self._stopping:
            return
        self._stopping = True
        now_ms = self._clock.now_ms()
        times = _shutdown_times(
            self._settings.shutdown,
            since_ms=now_ms if since_ms is None else since_ms,
            handled_ms=now_ms,
        )
        gevent.spawn(self._shut_down, times)
        # Not in the new greenlet: requests that are read before that runs are subject to it.
        self._announce_shutdown(times)

    def follow_settings(self, settings_watch: watch.SettingsWatch) -> None:
        """Start to reload the settings whenever their file changes."""

        def follow_settings() -> None:
            while True:
                gevent.sleep(_SETTINGS_POLL_INTERVAL_S)
                if settings_watch.changed():
                    self.reload(settings_watch.path)

        self._greenlets.append(gevent.spawn(_run_task, follow_settings))

    def reload(self, path: pathlib.Path) -> None:
        """Reload the settings file; most changes take effect only after a restart.

        The log level, the table ``[shutdown]`` and the peers' seeds take effect at once. If the
        file is invalid, the error is logged and nothing changes.
        """
        try:
            new_settings = load.load_settings(path)
        except load.SettingsError as error:
            _log.error("settings not reloaded", extra={"fault": error.message})
            return
        changed = [
            field
            for field in self._settings.__struct_fields__
            if getattr(new_settings, field) != getattr(self._settings, field)
        ]
        applied = [name for name in changed if name in _RELOADABLE_TABLES]
        tables = {name: getattr(new_settings, name) for name in applied}
        seeds = new_settings.peers.seeds
        if seeds != self._settings.peers.seeds:
            applied.append("peers.seeds")
            tables["peers"] = msgspec.structs.replace(self._settings.peers, seeds=seeds)
            self._engine.host_spread.use_seeds(seeds)
        self._settings = msgspec.structs.replace(self._settings, **tables)
        logging.getLogger().setLevel(new_settings.log.level)
        _log.info("settings reloaded", extra={"changed": changed, "in_force": applied})

    def _shut_down(self, times: "_ShutdownTimes") -> None:
        try:
            # Keep accepting for a while: callers and load balancers notice the shutdown late.
            self._sleep_until(times.linger_end_ms)
            _run_shutdown_step("close listener", lambda: self._close_listener(times))
            _run_shutdown_step("finish requests", lambda: self._finish_requests(times))
            _run_shutdown_step("close ports", self._close_ports)
        finally:
            self._stopped.set()

    def _announce_shutdown(self, times: "_ShutdownTimes") -> None:
        """Announce the shutdown to other hosts and to callers, and cap the deadlines of requests.

        A request without an answer at the deadline is refused. One that is not idempotent and may
        take longer is refused from now on, before a server gets it.
        """
        _log.info(
            "shutting down",
            extra={
                "in_flight": self._caller_server.in_flight,
                "max_signal_age_ms": round(self._clock.now_ms() - times.since_ms, 1),
            },
        )
        self._caller_server.announce_close()
        _run_shutdown_step(
            "cap deadlines",
            lambda: self._engine.cap_deadlines(
                times.deadline_ms, refuse_from_ms=times.refuse_from_ms
            ),
        )
        _run_shutdown_step("announce to peers", self._engine.announce_shutdown)

    def _close_listener(self, times: "_ShutdownTimes") -> None:
        late_ms = round(self._clock.now_ms() - times.linger_end_ms, 1)
        self._caller_server.drain()
        _log.info("listener closed", extra={**self._open_counts(), "late_ms": late_ms})

    def _finish_requests(self, times: "_ShutdownTimes") -> None:
        """Wait for the requests in flight, and close each connection that becomes idle.

        This method returns `_PEER_FLUSH_S` after all connections are closed, or halfway through the
        margin at the latest.
        """
        # A request may still arrive on a keep-alive connection until that is closed, and requests
        # that are refused at the deadline get their answers after it.
        while self._caller_server.connections and self._clock.now_ms() < times.close_by_ms:
            try:
                self._caller_server.close_idle_connections()
            except Exception:
                # Idle connections then just close later; stopping here would cut the requests in
                # flight.
                _log.exception("idle connections not closed")
            gevent.sleep(_SHUTDOWN_POLL_INTERVAL_S)
        # The last lease releases and claim results are still being sent to other hosts.
        gevent.sleep(_PEER_FLUSH_S)

    def _sleep_until(self, at_ms: float) -> None:
        gevent.sleep(max(0.0, at_ms - self._clock.now_ms()) / _MS_PER_S)

    def _open_counts(self) -> dict[str, int]:
        """Return the open connections and requests of callers, as fields of a log line."""
        server = self._caller_server
        return {"connections": server.connections, "in_flight": server.in_flight}

    def _close_ports(self) -> None:
        if self._caller_server.connections:
            _log.warning("connections cut", extra=self._open_counts())
        self._caller_server.close_connections()
        for server in self._operator_servers:
            server.stop(timeout=0)
        gevent.killall(self._greenlets)
        self._peers.stop()
        self._metrics.stop()
        _log.info("stopped", extra={"host": self._settings.host.id})
        self._decision_log.flush(last=True)

    def _make_incarnation(self) -> int:
        """Return a number greater than those of earlier runs, unless the clock was set back.

        Its upper bits are the wall-clock time in ms, its lower bits are random.
        """
        return int(self._clock.wall_ms()) << _INCARNATION_RANDOM_BITS | secrets.randbits(
            _INCARNATION_RANDOM_BITS
        )

    def _make_source(self) -> sources.Source:
        table = self._settings.platform
        options = sources.SourceOptions(
            host=self._settings.host.id,
            urls=table.urls,
            connect_timeout_s=table.connect_timeout_ms / _MS_PER_S,
            read_timeout_s=table.read_timeout_ms / _MS_PER_S,
            data_centres=frozenset(self._settings.data_centres),
            floor=table.floor,
        )
        return sources.record_sources.get(table.source)(options=options)

    def _make_engine(self) -> engine.Engine:
        host = self._settings.host
        table = self._settings.platform
        seed = self._settings.decisions.seed or secrets.randbits(_RNG_SEED_BITS)
        host_context = context.Context(
            host=ids.HostId(host.id),
            data_centre=ids.DataCentreId(host.data_centre),
            region=ids.RegionId(host.region),
            incarnation=self._make_incarnation(),
            clock=self._clock,
            rng=random.Random(seed),
            send=self._send,
            decisions=self._decisions,
        )
        core_engine = engine.Engine(
            context=host_context,
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
            tolerance=tolerance.Tolerance(
                overshoot=self._settings.limits.overshoot,
                slack=self._settings.limits.slack,
                window_ms=self._settings.limits.window_ms,
            ),
        )
        if self._settings.data_centres:
            core_engine.apply_records([_fleet_record(self._settings.data_centres)])
        return core_engine

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
            application=self._callers_port.application,
            tls=sockets.server_context(table.tls_cert, table.tls_key),
            limits=lambda: self._engine.records.caller_limits,
        )

    def _make_operator_servers(self) -> list[http_server.HttpServer]:
        port = operators.OperatorsPort(
            decisions=self._decisions,
            ready=self._is_ready,
            status=self._status,
            scrape=self._metrics.scrape,
        )
        listeners = [sockets.listen(self._settings.operators.listen)]
        metrics_address = self._settings.metrics.listen
        if metrics_address:
            try:
                listeners.append(sockets.listen(metrics_address))
            except OSError as error:
                # The port may be in use by another process; requests are served without it.
                _log.warning(
                    "no metrics port", extra={"address": metrics_address, "fault": str(error)}
                )
        return [
            http_server.HttpServer(listener=listener, application=port.application)
            for listener in listeners
        ]

    def _send(self, receiver: ids.HostId, message: base.Message) -> None:
        # The core also sends to seed peers, by address, before it has their identifiers.
        if receiver in self._settings.peers.seeds:
            self._peers.send_to_address(receiver, message)
        else:
            self._peers.send(receiver, message)

    def _deliver(self, envelope: codec.Envelope) -> None:
        self._engine.on_message(ids.HostId(envelope.sender), envelope.message)

    def _find_address(self, host: ids.HostId) -> str | None:
        if host in self._settings.peers.seeds:
            return host
        return self._engine.membership.address(host)

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(engine.TICK_MS / _MS_PER_S)
            # The event loop runs timers before the reads that became ready meanwhile. Yield once
            # more, so that an answer that arrived before its deadline is handled before the tick
            # that expires the request.
            gevent.sleep(0)
            for system in self._engine.systems:
                self._run_guarded(type(system).__name__, system.on_tick)
            self._run_guarded(type(self._prober).__name__, self._prober.start_due_probes)

    def _run_guarded(self, name: str, tick: Callable[[], None]) -> None:
        """Run one part of a tick; an error is logged and stops neither other parts nor ticks."""
        try:
            tick()
        except Exception as error:
            if self._tick_error_limit.is_due((name, type(error))):
                _log.exception("a tick failed", extra={"system": name})

    def _close_idle_connections(self) -> None:
        while True:
            gevent.sleep(_IDLE_CHECK_INTERVAL_S)
            self._pools.close_idle(max_idle_s=_IDLE_CONNECTION_TIMEOUT_S)

    def _send_seed_requests(self) -> None:
        seeds = self._settings.peers.seeds
        requests_sent = 0
        while seeds:
            gevent.sleep(_SEED_REQUEST_INTERVAL_S)
            if self._engine.platform_read_plan().contact_seeds:
                self._peers.send_to_address(
                    seeds[requests_sent % len(seeds)], self._engine.seed_request()
                )
                requests_sent += 1

    def _is_ready(self) -> bool:
        return not self._stopping and self._engine.ready

    def _status(self) -> dict:
        """Return the status that the operators' port serves, with the keys of its interface."""
        host = self._settings.host
        return {
            "host": host.id,
            "data_centre": host.data_centre,
            "region": host.region,
            "ready": self._is_ready(),
            "stopping": self._stopping,
            "in_flight": self._caller_server.in_flight,
            "record_revision": self._engine.records.revision,
            "record_generation": self._record_generation(),
            "carried_records": self._engine.store.carried_count,
            "host_list_revision": self._engine.membership.revision,
            "hosts": [row.host for row in self._engine.membership.hosts()],
            "epoch": self._engine.epochs.active(),
            "complete_revision": self._engine.record_spread.complete_revision,
            "confirmed_age_ms": self._confirmed_age_ms(),
            "configuration_version": self._engine.records.configuration_version,
            "configuration_faults": self._engine.records.configuration_faults,
            "rejected_records": self._engine.store.rejections(),
            "suspected_hosts": self._engine.detector.suspicions(),
            "server_signals": self._engine.placer.server_signals(),
            "platform_reader": self._engine.platform_read_plan().reason,
            "platform_calls": self._platform_reader.calls,
            "peers": self._peers.counters,
        }

    def _confirmed_age_ms(self) -> float:
        """Return the age of the records held here, in ms; -1 if they were never confirmed."""
        age_ms = self._engine.record_spread.confirmed_age_ms
        return round(age_ms, 1) if math.isfinite(age_ms) else -1.0

    def _record_generation(self) -> int:
        """Return the generation of the platform's store whose records are held here."""
        return revisions.generation_of(self._engine.record_spread.complete_revision)

    def _configuration_version(self) -> int:
        version = self._engine.records.configuration_version
        return -1 if version is None else version

    def _count_signals(self, signal: str) -> int:
        return sum(each.signal == signal for each in self._engine.placer.server_signals())

    def _register_gauges(self) -> None:
        """Register the metrics that are read from this host's state at each collection."""
        counters = self._peers.counters
        gauges = (
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
            (
                "verbenadrum.records.generation",
                "",
                "Generation of the platform's store whose records are held here.",
                self._record_generation,
            ),
            (
                "verbenadrum.records.carried",
                "",
                "Records carried over from an older generation of the platform's store.",
                lambda: self._engine.store.carried_count,
            ),
            (
                "verbenadrum.records.complete_revision",
                "",
                "Revision up to which this host holds every record; 0 before the first set.",
                lambda: self._engine.record_spread.complete_revision,
            ),
            (
                "verbenadrum.records.rejected",
                "",
                "Records whose newest revision this host rejected.",
                lambda: len(self._engine.store.rejections()),
            ),
            (
                "verbenadrum.records.configuration_version",
                "",
                "Version of the configuration in force; -1 without one.",
                self._configuration_version,
            ),
            (
                "verbenadrum.records.confirmed_age",
                "ms",
                "Since the platform confirmed the records held here; -1 before the first time.",
                self._confirmed_age_ms,
            ),
            *(
                (
                    f"verbenadrum.servers.{signal}",
                    "",
                    f"Servers with the signal {signal!r} in force on this host.",
                    functools.partial(self._count_signals, signal),
                )
                for signal in ("leaving", "limit", "rest")
            ),
            ("verbenadrum.peers.unhandled", "", "From peers.", lambda: counters.unhandled),
            ("verbenadrum.peers.bytes_sent", "By", "To peers.", lambda: counters.bytes_sent),
            ("verbenadrum.peers.messages_sent", "", "To peers.", lambda: counters.messages_sent),
            ("verbenadrum.peers.dropped", "", "To peers.", lambda: counters.messages_dropped),
        )
        for name, unit, description, read in gauges:
            self._metrics.add_gauge(name, unit, description, read)


def _run_shutdown_step(name: str, step: Callable[[], None]) -> None:
    """Run one step of a shutdown; an error is logged, and the next steps follow all the same.

    To end the process instead would cut the requests in flight.
    """
    try:
        step()
    except Exception:
        _log.exception("a step of the shutdown failed", extra={"step": name})


def _shutdown_times(
    table: types.ShutdownTable, *, since_ms: float, handled_ms: float
) -> _ShutdownTimes:
    """Return the times of a shutdown whose signal was sent between two monotonic times.

    New requests are refused by the earlier time. Those in flight have the time allowed from the
    later one, as far as the host can still end by its limit from the earlier one. Where that is
    less by more than `_LATE_MARGIN_MS`, new requests that may outlive the host are refused at once.
    """
    margin_ms = max(table.margin_ms, _MIN_MARGIN_MS)
    allowed_ms = max(0.0, table.limit_ms - margin_ms)
    linger_ms = min(table.linger_ms, allowed_ms / 2.0)
    limit_ms = since_ms + table.limit_ms
    deadline_ms = max(
        since_ms + allowed_ms, min(handled_ms + allowed_ms, limit_ms - _LATE_MARGIN_MS)
    )
    refuse_from_ms = since_ms + linger_ms - min(_EARLY_REFUSAL_MS, linger_ms / 2.0)
    is_short_of_time = deadline_ms < handled_ms + allowed_ms - _LATE_MARGIN_MS
    flush_ms = _PEER_FLUSH_S * _MS_PER_S
    return _ShutdownTimes(
        since_ms=since_ms,
        refuse_from_ms=handled_ms if is_short_of_time else refuse_from_ms,
        linger_end_ms=since_ms + linger_ms,
        deadline_ms=deadline_ms,
        close_by_ms=min(deadline_ms + margin_ms / 2.0, limit_ms - flush_ms) - flush_ms,
    )


def _run_task(task: Callable[[], None]) -> None:
    """Run a background task to its end; one that fails is logged and started again."""
    while True:
        try:
            task()
            return
        except Exception:
            _log.exception("a background task failed", extra={"task": task.__name__})
            gevent.sleep(_TASK_RESTART_DELAY_S)


def _fleet_record(data_centres: dict[str, str]) -> record_types.Record:
    """Return the fleet record for the data centres of the settings, all of the same weight.

    Parameters
    ----------
    data_centres : dict of str to str
        Region of each data centre.
    """
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
