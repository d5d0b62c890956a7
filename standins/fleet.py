"""Starts a small fleet of daemons and the stand-ins around it, as child processes on loopback.

Every process, each daemon included, is a child of the test, benchmark or demo.
"""

import pathlib
import signal
import socket
import tempfile
import time
from collections.abc import Iterable

import msgspec

from standins import backend, behaviours, child, fault_proxy, platform, serving
from verbenadrum.decisions import ring

__all__ = ["Fleet", "HostSpec", "ServerSpec"]

_MAX_READY_POLLS = 300
_READY_POLL_INTERVAL_S = 0.1
# Hosts may start the first epochs of the fleet for this long.
_FIRST_EPOCH_WINDOW_MS = 600_000.0
# How far ahead the first fleet record allows claims; each host must hold an epoch by then.
_SERVE_FROM_DELAY_MS = 60_000.0
_CLOCK_MARGIN_MS = 2_000.0
# First part of the order of all records that a fleet publishes.
_WRITER_START = 1
_RunEvent = backend.Run | backend.RunEnd
_SETTINGS_TEMPLATE = """\
[host]
id = "{spec.host}"
data_centre = "{spec.data_centre}"
region = "{spec.region}"
[callers]
listen = "127.0.0.1:{callers}"
[operators]
listen = "127.0.0.1:{operators}"
[peers]
listen = "127.0.0.1:{peers}"
seeds = [{seeds}]
[platform]
urls = ["http://127.0.0.1:{platform}"]
[decisions]
seed = {seed}
ring_size = 65536
{decisions}
{tables}
"""


class HostSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Host to start, with its data centre and its region."""

    host: str
    data_centre: str
    region: str


class ServerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Backend server to start, with its service and its data centre."""

    server: str
    service: str
    data_centre: str


class _RunningHost(msgspec.Struct, kw_only=True):
    spec: HostSpec
    process: child.Child
    caller_port: int
    operator_port: int
    peer_port: int
    host_list_entry: platform.Host


class _RunningServer(msgspec.Struct, kw_only=True):
    spec: ServerSpec
    process: child.Child
    port: int
    address: str


class Fleet:
    """Hosts, backend servers, platform and fault proxy of one test.

    It is a context manager: entering it starts the platform and the proxy, leaving it kills every
    process.

    Parameters
    ----------
    seed : int
        Seed of the daemons and the backend servers.
    proxied : bool
        Whether hosts reach their peers and the backend servers through the fault proxy.
    decisions : str
        Further TOML lines of the daemons' ``[decisions]`` table.
    tables : str
        Further TOML tables of the daemons' settings.

    Attributes
    ----------
    directory : pathlib.Path
        Directory of the settings and the output files of all processes; deleted by `close`.
    """

    def __init__(
        self, *, seed: int = 1, proxied: bool = True, decisions: str = "", tables: str = ""
    ) -> None:
        self._seed = seed
        self._proxied = proxied
        self._decisions = decisions
        self._tables = tables
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="verbenadrum-")
        self.directory = pathlib.Path(self._temporary_directory.name)
        self._children: list[child.Child] = []
        self._hosts: dict[str, _RunningHost] = {}
        self._servers: dict[str, _RunningServer] = {}
        self._reserved_sockets: list[socket.socket] = []
        self._shares: list[dict[str, object]] = []
        self._platform_port = 0
        self._proxy_port = 0
        self._published_count = 0
        # Newest publications since the platform's copy, by kind and name, and those of them that
        # its return has lost. None stands for the host list.
        self._since_copy: dict[tuple[str, str] | None, object] = {}
        self._lost: dict[tuple[str, str] | None, object] = {}

    def __enter__(self) -> "Fleet":
        """Start the platform and the fault proxy, and wait until they listen."""
        try:
            self._platform_port = self._start_process(
                "platform", "-m", "standins.platform"
            ).read_port()
            self._proxy_port = self._start_process(
                "proxy", "-m", "standins.fault_proxy"
            ).read_port()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process and delete the directory."""
        self.close()

    @property
    def hosts(self) -> list[str]:
        """Names of the hosts started so far, stopped ones included."""
        return list(self._hosts)

    @property
    def servers(self) -> list[str]:
        """Names of the backend servers started so far, stopped ones included."""
        return list(self._servers)

    def close(self) -> None:
        """Kill every process and delete the directory."""
        for process in self._children:
            process.send_signal(signal.SIGKILL)
        for process in self._children:
            process.kill()
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()
        self._temporary_directory.cleanup()

    def start_servers(
        self, specs: Iterable[ServerSpec], *, service_ms: float = 5.0, slots: int = 3
    ) -> None:
        """Start backend servers, and wait until each listens.

        They serve requests once a pool record with their `server_entries` is published.

        Parameters
        ----------
        specs : iterable of ServerSpec
            The servers.
        service_ms : float
            Default service time in milliseconds.
        slots : int
            Number of requests that each server runs at the same time.

        Raises
        ------
        ChildError
            If a server exits or does not listen in time.
        """
        started = [(spec, self._start_server(spec, service_ms, slots)) for spec in specs]
        for spec, process in started:
            port = process.read_port()
            self._servers[spec.server] = _RunningServer(
                spec=spec,
                process=process,
                port=port,
                address=self._reachable_address(spec.server, port),
            )

    def server_entries(self, service: str, leaving: Iterable[str] = ()) -> list[dict]:
        """Return the ``servers`` of a service's pool record, with some servers as leaving."""
        return [
            {
                "server": name,
                "address": running.address,
                "data_centre": running.spec.data_centre,
                "state": "leaving" if name in leaving else "live",
            }
            for name, running in self._servers.items()
            if running.spec.service == service
        ]

    def start_hosts(self, specs: Iterable[HostSpec]) -> None:
        """Start daemons, publish the host list with them, and wait until each is ready.

        Raises
        ------
        ChildError
            If a daemon exits or does not become ready in time.
        """
        specs = list(specs)
        for spec in specs:
            self._start_host(spec)
        self.publish_host_list()
        for spec in specs:
            self.wait_ready(spec.host)

    def restart_host(self, host: str) -> child.Child:
        """Start a stopped host again on its earlier ports, with other hosts of the fleet as seeds.

        Returns
        -------
        Child
            The new process, which may not listen yet.
        """
        running = self._hosts[host]
        ports = [running.caller_port, running.operator_port, running.peer_port]
        path = self._write_settings(running.spec, ports)
        running.process = self._start_daemon(host, path)
        return running.process

    def reload_host(self, host: str) -> None:
        """Write a host's settings with its present seeds, and make it reload them by SIGHUP."""
        running = self._hosts[host]
        self._write_settings(
            running.spec, [running.caller_port, running.operator_port, running.peer_port]
        )
        running.process.send_signal(signal.SIGHUP)

    def publish_host_list(self, unlisted: Iterable[str] = (), leaving: Iterable[str] = ()) -> None:
        """Publish a host list without the ``unlisted`` hosts and with others as ``leaving``."""
        rows = [
            msgspec.structs.replace(
                running.host_list_entry, state="leaving" if name in leaving else "live"
            )
            for name, running in self._hosts.items()
            if name not in unlisted
        ]
        self._publish_rows(rows)

    def wait_ready(self, host: str) -> None:
        """Wait until the readiness check of a host succeeds.

        Raises
        ------
        ChildError
            If the host exits or does not become ready in time.
        """
        running = self._hosts[host]
        for _ in range(_MAX_READY_POLLS):
            running.process.check_running()
            try:
                serving.call(running.operator_port, "/ready")
                return
            except serving.CallError:
                time.sleep(_READY_POLL_INTERVAL_S)
        raise child.ChildError(f"{host} did not become ready")

    def publish(self, kind: str, name: str, spec: object) -> None:
        """Publish a record of a kind and name; a ``spec`` of None withdraws it.

        Raises
        ------
        CallError
            If the platform is away.
        """
        content = None if spec is None else msgspec.to_builtins(spec)
        self._published_count += 1
        order = (_WRITER_START, self._published_count)
        self._publish(platform.Publication(kind=kind, name=name, spec=content, order=order))

    def publish_data_centre_weights(self, weights: dict[tuple[str, str], float]) -> None:
        """Publish the fleet record, with weights by region and data centre.

        No idempotency key is claimed before the record's ``serve_from_wall_ms``, which lies ahead
        until `enable_claims` is called. Hosts that start after that time refuse keys of an unknown
        age, so a first start publishes the record once its hosts are up.
        """
        start_until_ms = time.time() * 1000.0 + _FIRST_EPOCH_WINDOW_MS
        shares = [
            {
                "region": region,
                "data_centre": data_centre,
                "weight": weight,
                "start_until_wall_ms": start_until_ms,
            }
            for (region, data_centre), weight in weights.items()
        ]
        self._shares = shares
        self._publish_fleet_record(time.time() * 1000.0 + _SERVE_FROM_DELAY_MS)

    def enable_claims(self) -> None:
        """Wait until each host holds an epoch, then allow idempotency keys to be claimed.

        A host without an epoch after `_MAX_READY_POLLS` polls is passed over without an error.
        """
        for running in self._hosts.values():
            for _ in range(_MAX_READY_POLLS):
                if serving.call(running.operator_port, "/status")["epoch"] is not None:
                    break
                time.sleep(_READY_POLL_INTERVAL_S)
        self._publish_fleet_record(time.time() * 1000.0 - _CLOCK_MARGIN_MS)

    def _publish(self, publication: platform.Publication) -> None:
        serving.call(self._platform_port, "/control/publish", publication)
        self._set_published((publication.kind, publication.name), publication)

    def _publish_rows(self, rows: list[platform.Host]) -> None:
        serving.call(self._platform_port, "/control/hosts", rows)
        self._set_published(None, rows)

    def _set_published(self, key: tuple[str, str] | None, published: object) -> None:
        self._since_copy[key] = published
        self._lost.pop(key, None)

    def _publish_fleet_record(self, serve_from_ms: float) -> None:
        content = {"data_centres": self._shares, "serve_from_wall_ms": serve_from_ms}
        self.publish("fleet", "fleet", content)

    def set_platform_fault(self, fault: platform.ReaderFault | None) -> None:
        """Set a fault of the platform; None removes all of them."""
        path = "/control/heal" if fault is None else "/control/fault"
        serving.call(self._platform_port, path, fault)

    def copy_platform(self) -> None:
        """Let the platform make a copy of all that is published, in place of an earlier copy."""
        serving.call(self._platform_port, "/control/copy")
        self._since_copy.clear()

    def stop_platform(self) -> None:
        """Let the platform refuse all reads and publications until it returns from its copy."""
        serving.call(self._platform_port, "/control/away")

    def return_platform(self) -> None:
        """Let the platform come back from its copy; what was published since is lost there."""
        self._lost = dict(self._since_copy)
        serving.call(self._platform_port, "/control/return")

    def publish_lost(self) -> list[tuple[str, str]]:
        """Publish again what the platform's return has lost and nobody has published since.

        Returns
        -------
        list of (str, str)
            Kinds and names of the records.
        """
        published = []
        for key, lost in list(self._lost.items()):
            if self._lost.get(key) is not lost:
                continue
            if key is None:
                self._publish_rows(lost)
            else:
                self._publish(lost)
                published.append(key)
        return published

    def platform_calls(self) -> dict[str, int]:
        """Return the number of calls that the platform has received, by reader."""
        return serving.call(self._platform_port, "/control/calls")

    def set_rule(self, rule: fault_proxy.FaultRule | None) -> None:
        """Set a rule of the fault proxy; None removes all of them."""
        path = "/control/heal" if rule is None else "/control/rule"
        serving.call(self._proxy_port, path, rule)

    def set_server_faults(self, server: str, faults: list[behaviours.Fault]) -> None:
        """Replace all faults of a backend server."""
        serving.call(self._servers[server].port, "/control/faults", faults)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host or backend server, if it still runs."""
        self.process(name).send_signal(number)

    def process(self, name: str) -> child.Child:
        """Return the process of a host or backend server."""
        running = self._hosts.get(name) or self._servers[name]
        return running.process

    def caller_address(self, host: str) -> str:
        """Return the ``ip:port`` at which a host listens for callers."""
        return f"{serving.LOOPBACK}:{self._hosts[host].caller_port}"

    def operator_port(self, host: str) -> int:
        """Return the port of a host's listener for operators."""
        return self._hosts[host].operator_port

    def decisions(self, host: str, query: str = "newest=1000000") -> list[ring.Decision]:
        """Return the decisions in a host's ring buffer; an empty list if it does not answer.

        Parameters
        ----------
        host : str
            Name of the host.
        query : str
            Query of the decisions path, by default for all decisions.
        """
        try:
            answer = serving.call(self._hosts[host].operator_port, f"/decisions?{query}")
        except serving.CallError:
            return []
        return msgspec.convert(answer, list[ring.Decision])

    def runs(self) -> list[backend.Run]:
        """Return the runs started on all backend servers, crashed ones included, by time."""
        return [each for each in self._read_run_events() if isinstance(each, backend.Run)]

    def run_ends(self) -> list[backend.RunEnd]:
        """Return the ends of runs on all backend servers, by time."""
        return [each for each in self._read_run_events() if isinstance(each, backend.RunEnd)]

    def _read_run_events(self) -> list[backend.Run | backend.RunEnd]:
        run_events = []
        for running in self._servers.values():
            lines = running.process.stdout.read_bytes().splitlines()[1:]
            run_events += [msgspec.json.decode(line, type=_RunEvent) for line in lines]
        return sorted(run_events, key=lambda run_event: run_event.at_ms)

    def _start_process(self, name: str, *arguments: str) -> child.Child:
        process = child.Child(name=name, arguments=arguments, directory=self.directory)
        self._children.append(process)
        return process

    def _start_server(self, spec: ServerSpec, service_ms: float, slots: int) -> child.Child:
        return self._start_process(
            spec.server,
            "-m",
            "standins.backend",
            f"--server_name={spec.server}",
            f"--service_ms={service_ms}",
            f"--slots={slots}",
            f"--backend_seed={self._seed}",
        )

    def _start_host(self, spec: HostSpec) -> None:
        ports = [self._reserve_port() for _ in range(3)]
        host_list_entry = platform.Host(
            host=spec.host,
            address=self._reachable_address(spec.host, ports[2]),
            data_centre=spec.data_centre,
            region=spec.region,
        )
        path = self._write_settings(spec, ports)
        self._hosts[spec.host] = _RunningHost(
            spec=spec,
            process=self._start_daemon(spec.host, path),
            caller_port=ports[0],
            operator_port=ports[1],
            peer_port=ports[2],
            host_list_entry=host_list_entry,
        )

    def _start_daemon(self, host: str, path: pathlib.Path) -> child.Child:
        process = self._start_process(host, "-m", "verbenadrum.daemon", "--config", str(path))
        serving.call(self._proxy_port, "/control/sources", {process.pid: host})
        return process

    def _write_settings(self, spec: HostSpec, ports: list[int]) -> pathlib.Path:
        other_entries = [
            running.host_list_entry
            for running in self._hosts.values()
            if running.spec.host != spec.host
        ]
        seeds = ", ".join(f'"{entry.address}"' for entry in other_entries[:3])
        path = self.directory / f"{spec.host}.toml"
        path.write_text(
            _SETTINGS_TEMPLATE.format(
                spec=spec,
                callers=ports[0],
                operators=ports[1],
                peers=ports[2],
                seeds=seeds,
                platform=self._platform_port,
                seed=self._seed + len(self._hosts),
                decisions=self._decisions,
                tables=self._tables,
            )
        )
        return path

    def _reserve_port(self) -> int:
        """Return a free port that no other process gets until the fleet is closed.

        A socket is bound to it but does not listen, so a daemon can still listen on the port with
        ``SO_REUSEADDR``.
        """
        reserved_socket = socket.socket()
        reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved_socket.bind((serving.LOOPBACK, 0))
        self._reserved_sockets.append(reserved_socket)
        return reserved_socket.getsockname()[1]

    def _reachable_address(self, name: str, port: int) -> str:
        if self._proxied:
            forward = fault_proxy.Forward(name=name, port=port)
            port = serving.call(self._proxy_port, "/control/forward", forward)["port"]
        return f"{serving.LOOPBACK}:{port}"
