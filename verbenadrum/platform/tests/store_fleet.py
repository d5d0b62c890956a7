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
from gevent import lock, server

from standins import child, serving
from verbenadrum.platform.tests import store_process

__all__ = ["APPLY_S", "DRAIN_S", "POOL", "SERVICES", "STABLE_S", "Fault", "Fleet", "Server"]

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
_KEPT_VERSIONS = 5
_HEARTBEAT_S = 0.5
SERVICES = 60
# Refusals that depend on the records in force; others say nothing about them.
_CODES_BY_RECORDS = {"no-route", "key-refused", "no-eligible-server"}
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
    joined_s : float
        Time at which the store acknowledged its first entry.
    left_s : float or None
        Time at which the store acknowledged that it leaves.
    """

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.arrivals: list[tuple[float, str]] = []
        self.left_s: float | None = None
        self.joined_s = float("inf")
        self.listed = True
        self.capacity = 50
        self.state = "ready"
        # Held while the entry is written, so that no older one follows a newer one.
        self.writing = lock.RLock()
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


class _Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a refusal by a host."""

    code: str


class _Host(msgspec.Struct, kw_only=True):
    name: str
    zone: str
    ports: dict[str, int]
    process: child.Child | None = None
    # Beginnings and ends of the times in which it is not judged.
    excuses: list[tuple[float, float]] = []

    def excuse(self) -> None:
        """Begin a time in which the host is not judged."""
        self.excuses.append((time.monotonic(), float("inf")))

    def end_excuse(self, after_s: float) -> None:
        """Let the times in which the host is not judged end after a while."""
        end_s = time.monotonic() + after_s
        self.excuses = [(begin, min(end, end_s)) for begin, end in self.excuses]

    def excused(self, at_s: float) -> bool:
        """Return whether the host is not judged at a time."""
        return any(begin <= at_s <= end for begin, end in self.excuses)


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
        self._operator = lock.RLock()
        self._faults_of_store = store_process.Faults()

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
        for _ in range(self._host_count):
            self._add_host()
        for name in self.hosts:
            self.start_host(name)
        for name in self.hosts:
            self._begin_to_ask(name, 0.0)
        self._greenlets.append(gevent.spawn(self._beat_forever))
        if self._writes_per_s:
            self._greenlets.append(gevent.spawn(self._write_forever))

    # The store

    def store(self, order: str, message: object = None) -> dict:
        """Call a control path of the store."""
        return serving.call(self._control_port, f"/control/{order}", message, timeout_s=30.0)

    def set_store_faults(self, **faults: object) -> None:
        """Change some faults of the store's answers."""
        self._faults_of_store = msgspec.structs.replace(self._faults_of_store, **faults)
        self.store("faults", self._faults_of_store)

    def put(self, key: str, value: object) -> float:
        """Write to the store, again while it is away; return the time of the acknowledgement."""
        return self._write(lambda: ("put", store_process.Write(key=key, value=value)))

    def delete(self, key: str) -> float:
        """Remove a key like `put`."""
        return self._write(lambda: ("delete", store_process.Removal(key=key)))

    def _write(self, make_order) -> float:
        while True:
            try:
                self.store(*make_order())
            except serving.CallError:
                gevent.sleep(0.05)
            else:
                return time.monotonic()

    def _write_entry(self, written: Server) -> float:
        """Write a server's present entry, or remove it if the server is gone."""

        def make_order() -> tuple[str, object]:
            if written.listed:
                return "put", store_process.Write(key=written.key, value=written.entry())
            return "delete", store_process.Removal(key=written.key)

        with written.writing:
            return self._write(make_order)

    def be_away(self, seconds: float) -> None:
        """Let the store be away for a while, without loss."""
        self.store("leave", store_process.Absence(seconds=seconds))

    def come_back(self, *, away_s: float = 0.5, cut: bool = True, spread_s: float = 1.5) -> None:
        """Let the store return from its copy, and have all written again within ``spread_s``.

        An entry of a server that is gone is removed within three times ``spread_s``. What was not
        yet due counts from when it is written again.
        """
        due_s = time.monotonic() - APPLY_S
        versions = [number for number, at_s in enumerate(self.versions) if at_s > due_s]
        for number in versions:
            self.versions[number] = float("inf")
        rewrites = []
        for each in list(self.servers.values()):
            rewrites.append((each, each.joined_s > due_s, (each.left_s or 0.0) > due_s))
            if each.joined_s > due_s:
                each.joined_s = float("inf")
            if (each.left_s or 0.0) > due_s:
                each.left_s = float("inf")
        self.store("leave", store_process.Absence(seconds=away_s, from_copy=True, cut=cut))
        self._spawn_later(0.2, self._rewrite_configuration, versions)
        for each, joins, leaves in rewrites:
            delay_s = self.rng.uniform(0.1, spread_s if each.listed else 3.0 * spread_s)
            self._spawn_later(delay_s, self._rewrite_entry, each, joins, leaves)

    def _rewrite_configuration(self, versions: list[int]) -> None:
        with self._operator:
            at_s = self._write_configuration()
            for number in versions:
                self.versions[number] = at_s

    def _rewrite_entry(self, each: Server, joins: bool, leaves: bool) -> None:
        at_s = self._write_entry(each)
        if joins:
            each.joined_s = at_s
        if leaves:
            each.left_s = at_s

    def _spawn_later(self, delay_s: float, action, *arguments: object) -> None:
        self._greenlets.append(gevent.spawn_later(delay_s, action, *arguments))

    # The operator

    def configure(self) -> int:
        """Write the next configuration, which adds a route and a key; return its number."""
        with self._operator:
            self.versions.append(float("inf"))
            self.versions[-1] = self._write_configuration()
            return len(self.versions) - 1

    def _write_configuration(self) -> float:
        newest = len(self.versions) - 1
        kept = range(max(1, newest - _KEPT_VERSIONS + 1), newest + 1)
        services = [POOL, *(f"only{number}" for number in range(SERVICES))]
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
        joined.joined_s = self._write_entry(joined)
        return joined

    def leave(self, left: Server, *, says_so: bool = True) -> None:
        """Let a server report that it leaves, or have its entry removed."""
        left.beat()
        left.state = "draining"
        left.listed = says_so
        left.left_s = self._write_entry(left)
        if says_so:
            self._spawn_later(2.0 * DRAIN_S, self._remove, left)

    def _remove(self, left: Server) -> None:
        left.listed = False
        self._write_entry(left)

    def touch(self, touched: Server) -> None:
        """Let a server change its entry and write it."""
        touched.beat()
        touched.capacity = 101 - touched.capacity
        self._write_entry(touched)

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

    def _add_host(self) -> str:
        ports = {role: self._free_port() for role in ("callers", "operators", "peers", "text")}
        number = len(self.hosts) + 1
        name = f"h{number}"
        self.hosts[name] = _Host(name=name, zone=_ZONES[number % len(_ZONES)], ports=ports)
        return name

    def _begin_to_ask(self, name: str, excused_s: float) -> None:
        self.wait_ready(name)
        self.hosts[name].end_excuse(excused_s)
        self._greenlets.append(gevent.spawn(self._ask_forever, name))

    def start_new_host(self) -> None:
        """Start a further daemon, and ask it from when it is ready."""
        name = self._add_host()
        self.start_host(name)
        self._begin_to_ask(name, STABLE_S)

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
        host.excuse()
        host.process = self._spawn(
            name, "-c", _CUTTABLE_DAEMON, f"--config={path}", str(self._cuts)
        )

    def wait_ready(self, name: str, timeout_s: float = 40.0) -> None:
        """Wait until a host serves."""
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
                return

    def freeze(self, name: str, seconds: float) -> None:
        """Let a host stand still."""
        host = self.hosts[name]
        host.excuse()
        host.process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        host.process.send_signal(signal.SIGCONT)
        host.end_excuse(STABLE_S)

    def kill(self, name: str, seconds: float) -> None:
        """Kill a host, and start it again after a while."""
        host = self.hosts[name]
        host.excuse()
        host.process.kill()
        gevent.sleep(seconds)
        self.start_host(name)
        self.wait_ready(name)
        host.end_excuse(STABLE_S)

    def cut(self, names: list[str], seconds: float, *, store: bool = True) -> None:
        """Cut hosts off from the other hosts and, with ``store``, from the store."""
        rest = [name for name in self.hosts if name not in names]
        pairs = [(each, other) for each in names for other in rest]
        for name in names:
            self.hosts[name].excuse()
        if store:
            self.set_store_faults(refused=dict.fromkeys(names, -1))
        self._cuts.write_text("".join(f"{each} {other}\n{other} {each}\n" for each, other in pairs))
        gevent.sleep(seconds)
        self._cuts.write_text("")
        if store:
            self.set_store_faults(refused={})
        for name in names:
            self.hosts[name].end_excuse(STABLE_S)

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

    def all_faults(self) -> list[Fault]:
        """Return `faults`, and the requests that reached servers after they had left.

        Raises
        ------
        Exception
            If a greenlet of the callers or writers has failed, as nothing is judged then.
        """
        for each in self._greenlets:
            if each.ready():
                each.get()
        return [*self.faults, *self.late_arrivals()]

    def late_arrivals(self) -> list[Fault]:
        """Return the requests that reached a server longer than `DRAIN_S` after it left."""
        return [
            Fault(at_s=at_s, kind="server-left", host=host, subject=each.name, status=200)
            for each in self.servers.values()
            if each.left_s is not None
            for at_s, host in each.arrivals
            if at_s > each.left_s + DRAIN_S and not self.hosts[host].excused(at_s)
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
        # Of a route and key that never change, so that each host sends requests to the pool.
        yield "route-missing", "base", "/base/x", FIRST_KEY, served
        newest = max((n for n, at_s in enumerate(self.versions) if at_s < due_s), default=0)
        if newest > 0:
            yield "route-missing", f"v{newest}", f"/v{newest}/x", FIRST_KEY, served
            yield "key-refused", f"key{newest}", "/base/x", f"key{newest}", served
        gone = newest - _KEPT_VERSIONS
        if gone > 0:
            yield "route-reverted", f"v{gone}", f"/v{gone}/x", FIRST_KEY, (404,)
            yield "key-reverted", f"key{gone}", "/base/x", f"key{gone}", (401,)
        alone = [
            each
            for each in self.servers.values()
            if each.service != POOL and each.state == "ready" and each.joined_s < due_s
        ]
        for each in self.rng.sample(alone, min(2, len(alone))):
            yield "server-forgotten", each.name, f"/{each.service}/x", FIRST_KEY, served

    def _still_due(self, kind: str, subject: str) -> bool:
        """Return whether no later change made another answer right meanwhile."""
        if kind == "server-forgotten":
            return self.servers[subject].state == "ready"
        if kind in ("route-missing", "key-refused") and subject != "base":
            number = int(subject.removeprefix("key").removeprefix("v"))
            return number > len(self.versions) - 1 - _KEPT_VERSIONS
        return True

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
            answer = connection.getresponse()
            status, body = answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()
        if host.excused(at_s) or not self._still_due(kind, subject):
            return
        self.asked += 1
        if status not in expected and (status == 200 or _refusal_code(body) in _CODES_BY_RECORDS):
            self.faults.append(
                Fault(at_s=at_s, kind=kind, host=name, subject=subject, status=status)
            )


def _refusal_code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_Refusal).code
    except msgspec.DecodeError:
        return ""


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
