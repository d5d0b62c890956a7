"""Stand-ins for the cases of the review: the platform's store, backend servers and callers.

They follow the users' pages and use the standard library alone. All of them run as threads of the
script; the project's daemons run as separate processes, started as the deploy file says.
"""

import base64
import hashlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
import urllib.request
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
ATTEMPT = "X-Verbenadrum-Attempt-Id"
SIGNATURE = "X-Verbenadrum-Upstream-Signature"
BOUNDS = {
    "drain": "2500ms",
    "grace": "6s",
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 62,
}


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def sign(body: bytes) -> str:
    """Return the signature of a body."""
    return f"{len(body):x}.{hashlib.sha256(b'review' + body).hexdigest()[:16]}"


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store: the items under `servers/` and `op/config`, and watches."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._rev = 100
        self.down = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key: str, value: object) -> None:
        """Store a JSON value; when this returns, the store has acknowledged it."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._rev += 1
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "mod_revision": self._rev,
                "created_rev": self._items.get(key, {}).get("created_rev", self._rev),
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Delete a key."""
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._rev += 1
            self._events.append({"key": key, "mod_revision": self._rev, "deleted": True})
            self._changed.notify_all()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as source:
            while True:
                try:
                    head = read_head(source)
                    if head is None:
                        return
                    if self.down:
                        return
                    status, body = self._answer(head.target)
                    if self.down:
                        return
                    data = json.dumps(body).encode()
                    sock.sendall(
                        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                    )
                except OSError:
                    return

    def _answer(self, target: str) -> tuple[int, dict]:
        path, _, query_text = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(query_text).items()}
        with self._changed:
            if path == "/verbenadrum/kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "current_rev": self._rev}
            if path == "/verbenadrum/kv-range":
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(query.get("prefix", "")) and key > query.get("after", "")
                )
                items = [self._items[key] for key in keys]
                return 200, {"items": items, "more_pages": False, "current_rev": self._rev}
            after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
            prefix = query.get("prefix", "")

            def events() -> list[dict]:
                return [
                    event
                    for event in self._events
                    if event["mod_revision"] > after and event["key"].startswith(prefix)
                ]

            self._changed.wait_for(lambda: bool(events()) or self.down, wait_s)
            return 200, {"events": events(), "current_rev": self._rev}


class Head:
    """Head of a request or an answer; `names` keeps the fields in lower case."""

    def __init__(self, first: str, lines: list[str]) -> None:
        self.first = first
        self.method, _, rest = first.partition(" ")
        self.target = rest.rpartition(" ")[0]
        self.fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
        self.names = {name.lower(): value for name, value in self.fields}

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a field."""
        return self.names.get(name.lower(), default)


def read_head(source) -> Head | None:
    """Read a head; None at the end of the stream."""
    first = source.readline()
    if not first:
        return None
    lines = []
    while True:
        line = source.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        lines.append(line.decode("latin-1").rstrip("\r\n"))
    return Head(first.decode("latin-1").rstrip("\r\n"), lines)


def read_body(source, head: Head) -> bytes:
    """Read the body that a head announces."""
    if "chunked" in head.get("Transfer-Encoding").lower():
        body = b""
        while True:
            size = int(source.readline().split(b";")[0], 16)
            if size == 0:
                while source.readline() not in (b"\r\n", b""):
                    pass
                return body
            body += source.read(size)
            source.readline()
    length = int(head.get("Content-Length") or 0)
    body = source.read(length)
    if len(body) < length:
        raise OSError("the body broke off")
    return body


class Backend:
    """One backend server; `behave` may replace the sound answer of a request.

    `behave(backend, sock, head, body)` returns True if it has answered the request.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        *,
        name: str = "",
        zone: str = "zone-a",
        work_s: float = 0.02,
        behave=None,
        capacity: int = 3,
    ) -> None:
        self.store, self.record, self.service = store, record, service
        self.name = name or f"i-{uuid.uuid4().hex[:8]}"
        self.zone, self.work_s, self.behave, self.capacity = zone, work_s, behave, capacity
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[str, str, str, bytes]] = []
        self.heads: list[Head] = []
        self.alive = True
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        self.publish()
        threading.Thread(target=self._beat, daemon=True).start()

    def publish(self) -> None:
        """Write this server's entry to the store."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "address": self.address,
                "born": self.born,
                "info": {
                    "service": self.service,
                    "zone": self.zone,
                    "config_version": "00000001",
                    "capacity": self.capacity,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "warmup_left": "0ms",
                },
            },
        )

    def _beat(self) -> None:
        while self.alive:
            time.sleep(1.5)
            if self.alive and not self.store.down:
                self.publish()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as source:
            try:
                while True:
                    head = read_head(source)
                    if head is None:
                        return
                    if head.get(ATTEMPT) == "" and head.target == "/healthz":
                        answer(sock, 200, b"", {"X-Verbenadrum-Instance-Id": self.name})
                        continue
                    body = read_body(source, head)
                    expected = head.get("X-Verbenadrum-Expected-Instance")
                    if expected and expected != self.name:
                        answer(sock, 421, b"", self._echo(head) | {"X-Verbenadrum-Not-Executed": "1"})
                        continue
                    self.runs.append((head.get(ATTEMPT), head.method, head.target, body))
                    self.heads.append(head)
                    self.record.write(
                        f"run {self.name} {head.method} {head.target} id={head.get(ATTEMPT)}"
                    )
                    if self.behave is not None and self.behave(self, sock, head, body):
                        continue
                    time.sleep(self.work_s)
                    data = f"answer to {head.get(ATTEMPT)}\n".encode()
                    answer(sock, 200, data, self._echo(head) | {SIGNATURE: sign(data)})
            except (OSError, ValueError):
                return

    def _echo(self, head: Head) -> dict[str, str]:
        return {ATTEMPT: head.get(ATTEMPT)}


def answer(sock: socket.socket, status: int, body: bytes, fields: dict[str, str]) -> None:
    """Send an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    sock.sendall(head.encode() + b"\r\n" + body)


class Host:
    """One daemon, started with the command of the deploy file and its own settings."""

    def __init__(self, folder: pathlib.Path, store: Store, spec: dict, seeds: list[str], zones: dict):
        self.spec = spec
        self.name = spec["name"]
        self.front, self.readiness = spec["front"], spec["readiness"]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
        fields = {
            "node_name": self.name,
            "zone": spec["zone"],
            "region": zones[spec["zone"]],
            "listen.front": self.front,
            "listen.readiness": self.readiness,
            "listen.control": spec["control"],
            "provider.address": store.address,
            "ip": spec["ip"],
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        text = (ROOT / deploy["template"]).read_text()
        seed_text = ", ".join(f'"{seed}"' for seed in seeds)
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: seed_text, text, flags=re.S)
        zone_text = "".join(f'{zone} = "{region}"\n' for zone, region in zones.items())
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", lambda _: zone_text, text, flags=re.S)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: str(fields[match[1]]), text)
        self.path = folder / f"{self.name}.json"
        self.path.write_text(text)
        self.log = folder / f"{self.name}.log"
        self._command = shlex.split(
            deploy["run"].replace("/etc/verbenadrum/node.json", str(self.path))
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        try:
            with urllib.request.urlopen(
                f"http://{self.readiness}/ready", timeout=1
            ) as got:
                return got.status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Wait until the host says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.ready():
                return True
            time.sleep(0.1)
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Stage:
    """A small deployment: a store, hosts and backend servers; use it as a context manager."""

    def __init__(self, record_path: pathlib.Path, *, hosts: int = 2, zones: dict | None = None):
        self.zones = zones or {"zone-a": "region-a", "zone-b": "region-a"}
        self.record = Record(record_path)
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory()
        specs = []
        for index in range(hosts):
            ip = f"127.0.0.{11 + index}"
            specs.append(
                {
                    "name": f"edge-{index}",
                    "ip": ip,
                    "zone": list(self.zones)[index % len(self.zones)],
                    **{
                        port: f"{ip}:{free_port(ip)}" for port in ("front", "readiness", "control")
                    },
                }
            )
        seeds = [spec["control"] for spec in specs[:3]]
        self.hosts = [
            Host(pathlib.Path(self.folder.name), self.store, spec, seeds, self.zones)
            for spec in specs
        ]
        self.backends: list[Backend] = []
        self.version = 0

    def configure(self, routes: list[dict], **more: object) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        services = {route["service"] for route in routes if "service" in route}
        services |= {part["service"] for route in routes for part in route.get("backends", ())}
        self.store.put(
            "op/config",
            {
                "config_version": f"{self.version:08x}",
                "routes": routes,
                "services": [
                    {"name": name, "health_path": "/healthz", "max_connections": 390}
                    for name in sorted(services)
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 8388608,
                    "header_timeout": "5s",
                    "idle_timeout": "5s",
                },
                **more,
            },
        )

    def backend(self, service: str, **options: object) -> Backend:
        """Start a backend server."""
        self.backends.append(Backend(self.store, self.record, service, **options))
        return self.backends[-1]

    def start_hosts(self, settle_s: float = 2.0) -> bool:
        """Start all hosts; return whether all became ready."""
        for host in self.hosts:
            host.start()
        ready = all(host.wait_ready() for host in self.hosts)
        time.sleep(settle_s)
        return ready

    def __enter__(self) -> "Stage":
        return self

    def __exit__(self, *details: object) -> None:
        for host in self.hosts:
            host.kill()
        for backend in self.backends:
            backend.alive = False
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                (pathlib.Path(os.environ["KEEP_LOGS"]) / host.log.name).write_bytes(
                    host.log.read_bytes()
                )
        self.folder.cleanup()


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": "keg.example",
        "prefix": f"/{name}/",
        "type": kind,
        "timeout": "3s",
        "target_latency": "1200ms",
        "priority": 2,
        "max_attempts": 3,
        "service": service,
        "public": True,
        **more,
    }


class Channel:
    """A caller's channel to a host, on which it sends one request after the other."""

    def __init__(self, address: str, timeout_s: float = 10.0) -> None:
        ip, _, port = address.rpartition(":")
        self.sock = socket.create_connection((ip, int(port)), timeout=timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = self.sock.makefile("rb")

    def send(
        self,
        method: str,
        target: str,
        *,
        attempt: str = "",
        body: bytes | None = None,
        deadline_ms: int = 3000,
        fields: dict[str, str] | None = None,
    ) -> str:
        """Send a request and return its id."""
        attempt = attempt or uuid.uuid4().hex[:16]
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: keg.example",
            f"{ATTEMPT}: {attempt}",
            f"X-Verbenadrum-Deadline-Ms: {deadline_ms}",
        ]
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        return attempt

    def receive(self, interim: list[str] | None = None) -> tuple[int, Head, bytes] | None:
        """Return the next final answer; None if the channel ends without one.

        Interim answers (1xx) are skipped, as every HTTP/1.1 client has to do; their first lines are
        added to `interim`.
        """
        while True:
            head = read_head(self.source)
            if head is None:
                return None
            status = int(head.first.split(" ")[1])
            if 100 <= status < 200:
                if interim is not None:
                    interim.append(head.first)
                continue
            if status in (204, 304):
                return status, head, b""
            if "content-length" not in head.names and "transfer-encoding" not in head.names:
                return status, head, self.source.read()
            return status, head, read_body(self.source, head)

    def close(self) -> None:
        """Close the channel."""
        self.source.close()
        self.sock.close()


def run_case(main) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    def stop(*details: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.exit(code)
