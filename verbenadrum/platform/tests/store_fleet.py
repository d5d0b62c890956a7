"""Daemons beside a process of the platform's store, with operator, backend servers and callers.

Operator, backend servers and callers are greenlets of the calling process, which needs gevent's
patches. Times are seconds on the monotonic clock.
"""

import http.client
import http.server
import pathlib
import random
import re
import signal
import socket
import time

import gevent
import msgspec
from gevent import server

from standins import child, serving
from verbenadrum.platform.tests import store_process

__all__ = ["APPLY_S", "DRAIN_S", "Fault", "Fleet", "Server"]

# Bounds of the users' pages: from the acknowledgement of a change until it is in force everywhere,
# until no request reaches a server that reported that it leaves, and after which a host that was
# cut off or stood still counts as in touch again.
APPLY_S = 2.5
DRAIN_S = 2.5
STABLE_S = 4.0
HOSTNAME = "main.example"
POOL = "pool"
FIRST_KEY = "key0"
# Versions for which an added route and key stay in the configuration.
_KEPT_VERSIONS = 3
_HEARTBEAT_S = 0.5
_SERVICES = 24
_ZONES = ("z1", "z2")
_TEMPLATE = pathlib.Path(__file__).parents[1] / "host.toml"
_BOUNDS = {
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_slack": "62",
    "bounds.budget_window": "10s",
    "bounds.grace": "6s",
}
# Runs the daemon with messages to those peers left out that the file named last lists, one
# ``sender receiver`` a line.
_CUTTABLE_DAEMON = """
import importlib, os, pathlib, sys, time
from gevent import monkey
monkey.patch_all()
peers = importlib.import_module("verbenadrum.daemon.peers")
path = pathlib.Path(sys.argv.pop())
state = [0.0, frozenset()]
send = peers.PeerStreams.send
def send_unless_cut(self, receiver, message):
    if time.monotonic() - state[0] > 0.05:
        lines = path.read_text().splitlines() if path.exists() else ()
        state[:] = time.monotonic(), frozenset(lines)
    if f"{self._host} {receiver}" not in state[1]:
        send(self, receiver, message)
peers.PeerStreams.send = send_unless_cut
sys.argv[0] = "verbenadrumd"
importlib.import_module("verbenadrum.daemon.main").run()
"""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """Answer that a host must not give, or a request at a server that has left.

    ``kind`` is ``route-missing``, ``key-refused``, ``route-reverted``, ``key-reverted``,
    ``server-forgotten`` or ``server-left``.
    """

    at_s: float
    kind: str
    host: str
    subject: str
    status: int


class Server:
    """Backend server: a listener, and its entry in the store.

    Attributes
    ----------
    arrivals : list of (float, str)
        Time and host of each request.
    left_s : float or None
        Time at which the store acknowledged that it leaves.
    """

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.arrivals: list[tuple[float, str]] = []
        self.left_s: float | None = None
        self.joined_s: float | None = None
        self.listed = True
        self.capacity = 50
        self.state = "ready"
        self._zone = zone
        self._born = int(time.time() * 1000.0)
        self._sequence = 0
        self._listener = server.StreamServer((serving.LOOPBACK, 0), self._serve)
        self._listener.start()

    @property
    def key(self) -> str:
        """Key of the entry."""
        return f"servers/{self.name}"

    def beat(self) -> None:
        """Count a heartbeat."""
        self._sequence += 1

    def entry(self) -> dict:
        """Return the entry with the server's present state and sequence."""
        info = {"service": self.service, "config_version": "v1", "zone": self._zone}
        status = {"state": self.state, "sequence": self._sequence, "warmup_left": "0ms"}
        return {
            "address": f"{serving.LOOPBACK}:{self._listener.server_port}",
            "born": self._born,
            "info": {**info, "capacity": self.capacity},
            "status": status,
        }

    def stop(self) -> None:
        """Close the listener."""
        self._listener.stop(timeout=0)

    def _serve(self, connection: socket.socket, address: tuple) -> None:
        try:
            _ServerCall(connection, address, self)
        except OSError:
            pass
        finally:
            connection.close()


class _ServerCall(http.server.BaseHTTPRequestHandler):
    """Connection of a host; the attribute ``server`` is the `Server`."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def do_GET(self) -> None:
        request = self.headers.get("X-Verbenadrum-Attempt-Id", "")
        if request:
            self.server.arrivals.append((time.monotonic(), request.partition(".")[0]))
        self.send_response(200)
        self.send_header("X-Verbenadrum-Instance-Id", self.server.name)
        self.send_header("X-Verbenadrum-Attempt-Id", request)
        self.send_header("Content-Length", "0")
        self.end_headers()
        self.wfile.flush()

    def log_message(self, *args: object) -> None:
        """Suppress the access log of the base class."""


class _Host(msgspec.Struct, kw_only=True):
    name: str
    zone: str
    ports: dict[str, int]
    process: child.Child | None = None
    # Until then its answers are not judged.
    excused_until_s: float = 0.0


class Fleet:
    """Store, daemons, operator, backend servers and callers; a context manager.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and logs.
    hosts : int
        Number of daemons, in two data centres in turn.
    seed : int
        Seed of what is drawn at random.
    regions : int
        Number of regions, 1 or 2, that the two data centres are in.
    writes_per_s : float
        Writes of backend servers a second beside the changes that are asked for.

    Attributes
    ----------
    faults : list of Fault
        What hosts got wrong.
    asked : int
        Number of requests whose answers were judged.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        hosts: int,
        regions: int = 2,
        seed: int = 1,
        writes_per_s: float = 20.0,
    ) -> None:
        self.faults: list[Fault] = []
        self.asked = 0
        self.rng = random.Random(seed)
        # Time of the acknowledgement of each version.
        self.versions: list[float] = []
        self._directory = directory
        self._host_count = hosts
        self._regions = {zone: f"r{1 + at % regions}" for at, zone in enumerate(_ZONES)}
        self._writes_per_s = writes_per_s
        self._children: list[child.Child] = []
        self._reserved: list[socket.socket] = []
        self._greenlets: list[gevent.Greenlet] = []
        self.hosts: dict[str, _Host] = {}
        self.servers: dict[str, Server] = {}
        self._requests = 0
        self._control_port = 0
        self._store_port = 0
        self._cuts = directory / "cuts"

    def __enter__(self) -> "Fleet":
        """Start everything, and wait until all hosts are ready."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End every process."""
        self.close()

    def close(self) -> None:
        """End every process, greenlet and listener."""
        gevent.killall(self._greenlets)
        for process in self._children:
            process.send_signal(signal.SIGKILL)
        for process in self._children:
            process.kill()
        for each in self.servers.values():
            each.stop()
        for reserved in self._reserved:
            reserved.close()

    def _start(self) -> None:
        process = self._spawn("store", "-m", "verbenadrum.platform.tests.store_process")
        self._control_port = process.read_port()
        self._store_port = self.store("state")["port"]
        self.configure()
        for _ in range(6):
            self.join(POOL)
        zones = sorted(self._regions)
        for number in range(1, self._host_count + 1):
            ports = {role: self._free_port() for role in ("callers", "operators", "peers", "text")}
            name = f"h{number}"
            self.hosts[name] = _Host(name=name, zone=zones[number % 2], ports=ports)
        for name in self.hosts:
            self.start_host(name)
        for name in self.hosts:
            self.wait_ready(name)
        for name in self.hosts:
            self._greenlets.append(gevent.spawn(self._ask_forever, name))
        self._greenlets.append(gevent.spawn(self._beat_forever))
        if self._writes_per_s:
            self._greenlets.append(gevent.spawn(self._write_forever))

    # The store

    def store(self, order: str, message: object = None) -> dict:
        """Call a control path of the store."""
        return serving.call(self._control_port, f"/control/{order}", message, timeout_s=30.0)

    def put(self, key: str, value: object) -> float:
        """Write to the store, again while it is away; return the time of the acknowledgement."""
        return self._write("put", store_process.Write(key=key, value=value))

    def delete(self, key: str) -> float:
        """Remove a key like `put`."""
        return self._write("delete", store_process.Removal(key=key))

    def _write(self, order: str, message: object) -> float:
        while True:
            try:
                self.store(order, message)
            except serving.CallError:
                gevent.sleep(0.05)
            else:
                return time.monotonic()

    def come_back(self, *, away_s: float = 0.5, cut: bool = True, spread_s: float = 1.5) -> None:
        """Let the store return from its copy, and have all written again within ``spread_s``."""
        self.store("leave", store_process.Absence(seconds=away_s, from_copy=True, cut=cut))
        if len(self.versions) > 1:
            self._greenlets.append(gevent.spawn_later(0.2, self._write_configuration))
        for each in self.servers.values():
            rewrite = gevent.spawn_later(self.rng.uniform(0.1, spread_s), self._rewrite, each)
            self._greenlets.append(rewrite)

    def _rewrite(self, each: Server) -> None:
        if each.listed:
            self.put(each.key, each.entry())
        else:
            self.delete(each.key)

    # The operator

    def configure(self) -> int:
        """Write the next configuration, which adds a route and a key; return its number."""
        self.versions.append(float("inf"))
        self.versions[-1] = self._write_configuration()
        return len(self.versions) - 1

    def _write_configuration(self) -> float:
        newest = len(self.versions) - 1
        kept = range(max(1, newest - _KEPT_VERSIONS + 1), newest + 1)
        services = [POOL, *(f"only{number}" for number in range(_SERVICES))]
        routes = [_route("base", POOL), *(_route(f"v{number}", POOL) for number in kept)]
        routes += [_route(service, service) for service in services[1:]]
        keys = [FIRST_KEY, *(f"key{number}" for number in kept)]
        limits = {"max_header_bytes": 16384, "header_timeout": "3000ms", "idle_timeout": "15s"}
        tenant = {"name": "t1", "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}
        configuration = {
            "config_version": f"{100 + 7 * newest:08x}",
            "routes": routes,
            "services": [
                {"name": each, "health_path": "/h", "max_connections": 390} for each in services
            ],
            "limits": limits,
            "tenants": [tenant],
        }
        return self.put("op/config", configuration)

    # Backend servers

    def join(self, service: str) -> Server:
        """Start a server, and write its entry."""
        number = len(self.servers)
        joined = Server(name=f"i-{number}", service=service, zone=f"z{1 + number % 2}")
        self.servers[joined.name] = joined
        joined.joined_s = self.put(joined.key, joined.entry())
        return joined

    def leave(self, left: Server, *, says_so: bool = True) -> None:
        """Let a server report that it leaves, or have its entry removed."""
        left.state = "draining"
        if says_so:
            left.left_s = self.put(left.key, left.entry())
        else:
            left.listed = False
            left.left_s = self.delete(left.key)

    def touch(self, touched: Server) -> None:
        """Let a server change its entry and write it."""
        touched.capacity = 101 - touched.capacity
        self.put(touched.key, touched.entry())

    def pool(self) -> list[Server]:
        """Return the servers of the common pool that are in service."""
        return [
            each for each in self.servers.values() if each.service == POOL and each.state == "ready"
        ]

    def _beat_forever(self) -> None:
        while True:
            gevent.sleep(_HEARTBEAT_S)
            for each in self.servers.values():
                each.beat()

    def _write_forever(self) -> None:
        while True:
            gevent.sleep(1.0 / self._writes_per_s)
            each = self.rng.choice([each for each in self.servers.values() if each.listed])
            self.touch(each)

    # Hosts

    def start_host(self, name: str) -> None:
        """Start a daemon, also again."""
        host = self.hosts[name]
        seeds = [each.ports["peers"] for each in list(self.hosts.values())[:4]]
        values = {
            "node_name": name,
            "zone": host.zone,
            "region": self._regions[host.zone],
            "listen.front": f"{serving.LOOPBACK}:{host.ports['callers']}",
            "listen.readiness": f"{serving.LOOPBACK}:{host.ports['operators']}",
            "listen.control": f"{serving.LOOPBACK}:{host.ports['peers']}",
            "provider.address": f"{serving.LOOPBACK}:{self._store_port}/as/{name}",
            "ip": serving.LOOPBACK,
            **_BOUNDS,
        }
        lists = {
            "seeds": ", ".join(f'"{serving.LOOPBACK}:{port}"' for port in seeds),
            "zones": "\n".join(f'{zone} = "{region}"' for zone, region in self._regions.items()),
        }
        text = _TEMPLATE.read_text().replace("{{ip}}:9464", f"{{{{ip}}}}:{host.ports['text']}")
        section = re.compile(r"\{\{#(\w+)\}\}.*?\{\{/\1\}\}", flags=re.DOTALL)
        text = section.sub(lambda found: lists[found[1]], text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: values[found[1]], text)
        path = self._directory / f"{name}.toml"
        path.write_text(text)
        host.excused_until_s = float("inf")
        host.process = self._spawn(
            name, "-c", _CUTTABLE_DAEMON, f"--config={path}", str(self._cuts)
        )

    def wait_ready(self, name: str, timeout_s: float = 40.0) -> None:
        """Wait until a host serves; it is judged from then on."""
        host = self.hosts[name]
        end_s = time.monotonic() + timeout_s
        while True:
            host.process.check_running()
            try:
                serving.call(host.ports["operators"], "/ready")
            except serving.CallError:
                if time.monotonic() > end_s:
                    raise
                gevent.sleep(0.1)
            else:
                break
        host.excused_until_s = time.monotonic() + 0.1

    def freeze(self, name: str, seconds: float) -> None:
        """Let a host stand still."""
        host = self.hosts[name]
        host.excused_until_s = float("inf")
        host.process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        host.process.send_signal(signal.SIGCONT)
        host.excused_until_s = time.monotonic() + STABLE_S

    def kill(self, name: str, seconds: float) -> None:
        """Kill a host, and start it again after a while."""
        host = self.hosts[name]
        host.excused_until_s = float("inf")
        host.process.kill()
        gevent.sleep(seconds)
        self.start_host(name)
        self.wait_ready(name)

    def cut(self, names: list[str], seconds: float, *, store: bool = True) -> None:
        """Cut hosts off from the other hosts and, with ``store``, from the store."""
        rest = [name for name in self.hosts if name not in names]
        pairs = [(each, other) for each in names for other in rest]
        lines = [f"{each} {other}\n{other} {each}\n" for each, other in pairs]
        for name in names:
            self.hosts[name].excused_until_s = float("inf")
        if store:
            self.store("faults", store_process.Faults(refused=dict.fromkeys(names, -1)))
        self._cuts.write_text("".join(lines))
        gevent.sleep(seconds)
        self._cuts.write_text("")
        if store:
            self.store("heal")
        for name in names:
            self.hosts[name].excused_until_s = time.monotonic() + STABLE_S

    def status(self, name: str) -> dict:
        """Return the status of a host as its operators' port states it."""
        return serving.call(self.hosts[name].ports["operators"], "/status")

    def log(self, name: str) -> str:
        """Return the log of a host."""
        return (self._directory / f"{name}.out").read_text(errors="replace")

    def _spawn(self, name: str, *arguments: str) -> child.Child:
        process = child.Child(name=name, arguments=arguments, directory=self._directory)
        self._children.append(process)
        return process

    def _free_port(self) -> int:
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((serving.LOOPBACK, 0))
        self._reserved.append(reserved)
        return reserved.getsockname()[1]

    # Callers

    def fault_counts(self) -> dict[str, int]:
        """Return the number of faults by kind, those at servers that have left included."""
        counts: dict[str, int] = {}
        for each in [*self.faults, *self.late_arrivals()]:
            counts[each.kind] = counts.get(each.kind, 0) + 1
        return counts

    def late_arrivals(self) -> list[Fault]:
        """Return the requests that reached a server longer than `DRAIN_S` after it left."""
        return [
            Fault(at_s=at_s, kind="server-left", host=host, subject=each.name, status=200)
            for each in self.servers.values()
            if each.left_s is not None
            for at_s, host in each.arrivals
            if at_s > each.left_s + DRAIN_S and at_s > self.hosts[host].excused_until_s
        ]

    def _ask_forever(self, name: str) -> None:
        gevent.sleep(self.rng.random() * 0.25)
        while True:
            for kind, subject, path, key, expected in self._questions():
                self._ask(name, kind, subject, path, key, expected)
                gevent.sleep(0.25)
            gevent.sleep(0.05)

    def _questions(self):
        """Yield kind, subject, path, key and the expected statuses of the requests due now."""
        due_s = time.monotonic() - APPLY_S
        served = (200,)
        newest = max((n for n, at_s in enumerate(self.versions) if at_s < due_s), default=0)
        if newest > 0:
            yield "route-missing", f"v{newest}", f"/v{newest}/x", FIRST_KEY, served
            yield "key-refused", f"key{newest}", "/base/x", f"key{newest}", served
        gone = newest - _KEPT_VERSIONS
        if gone > 0:
            yield "route-reverted", f"v{gone}", f"/v{gone}/x", FIRST_KEY, (404,)
            yield "key-reverted", f"key{gone}", "/base/x", f"key{gone}", (401,)
        for each in list(self.servers.values()):
            if each.service != POOL and each.state == "ready" and each.joined_s < due_s:
                yield "server-forgotten", each.name, f"/{each.service}/x", FIRST_KEY, served

    def _ask(self, name, kind, subject, path, key, expected) -> None:
        host = self.hosts[name]
        at_s = time.monotonic()
        self._requests += 1
        headers = {
            "Host": HOSTNAME,
            "X-Verbenadrum-Attempt-Id": f"{name}.{self._requests}",
            "X-Verbenadrum-Deadline-Ms": "2000",
            "Authorization": f"Token {key}",
        }
        connection = http.client.HTTPConnection(
            serving.LOOPBACK, host.ports["callers"], timeout=3.0
        )
        try:
            connection.request("GET", path, headers=headers)
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()
        if at_s < host.excused_until_s:
            return
        self.asked += 1
        if status not in expected and (status, kind) not in _OTHER_REFUSALS:
            self.faults.append(
                Fault(at_s=at_s, kind=kind, host=name, subject=subject, status=status)
            )


# Refusals that say nothing about the newest configuration.
_OTHER_REFUSALS = {
    (status, kind)
    for status in (429, 502, 503, 504)
    for kind in ("route-missing", "key-refused", "route-reverted", "key-reverted")
}


def _route(name: str, service: str) -> dict:
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": f"/{name}/",
        "type": "safe",
        "timeout": "1500ms",
        "target_latency": "1200ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
