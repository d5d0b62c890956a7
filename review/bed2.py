"""Test bed of the cases 6 to 10: hosts as separate processes, and stand-ins for what is around them.

The hosts are started with the command of the deploy file, on settings that are filled in from the
template that it names. Store, upstreams and consumers are small stand-ins that follow the users'
pages. Everything listens on loopback addresses, on free ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
# Bounds of a small deployment, by the settings that the users' pages print.
BOUNDS = {
    "stable_window": "4000ms",
    "drain": "2500ms",
    "grace": "6s",
    "config_apply": "2500ms",
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 62,
}
KEY = "ctnfzs989anu6wsjnban"
TENANT = "sese880"
HOSTNAME = "jepu9.example"


class CannotRun(Exception):
    """The case could not be played, so it says nothing."""


def trouble():
    """Return whether the disturbance is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, in ``record.txt`` of the case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def add(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def free_port(ip):
    """Return a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def fill(template, fields):
    """Fill in a template by the rules of the users' page on templates, as far as ours needs them."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return ""

    def render(text, scopes, own):
        section = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

        def expand(found):
            value = look_up(found[1], scopes)
            rows = list(value.items() if isinstance(value, dict) else enumerate(value))
            return "".join(
                render(
                    found[2],
                    [*scopes, each],
                    {".": each, "@": key, ",": "," * (row < len(rows) - 1)},
                )
                for row, (key, each) in enumerate(rows)
            )

        text = section.sub(expand, text)
        for name, value in own.items():
            text = text.replace("{{" + name + "}}", str(value))
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda found: str(look_up(found[1], scopes)), text)

    return render(template, [fields], {})


# ---- HTTP on plain streams, for the stand-ins


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message that has a length or is sent in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, reason, headers):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Listener:
    """A stand-in that serves channels at a free port of a loopback address."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """``ip:port`` of the stand-in."""
        return f"{self.ip}:{self.port}"

    async def start(self):
        """Listen; at the same port as before after a `stop`."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop to listen, and reset the open channels."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.channel(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def channel(self, reader, writer):
        """Serve one channel."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store, as the page on it says; the script writes, the hosts read."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 10
        self._items = {}
        self._events = []
        self._history_from = self.revision
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a value; this is the acknowledgement."""
        self.revision += 1
        created = self._items[key]["created_rev"] if key in self._items else self.revision
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "mod_revision": self.revision,
            "created_rev": created,
            "lease": 0,
        }
        self._add_event(self._items[key])

    def delete(self, key):
        """Remove a value."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "mod_revision": self.revision, "deleted": True})

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def channel(self, reader, writer):
        """Serve the calls of one channel."""
        while (message := await read_head(reader)) is not None:
            target = message[0].split()[1]
            path, _, query = target.partition("?")
            fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
            fields = {name: value.replace("%2F", "/") for name, value in fields.items()}
            status, body = await self._answer(path, fields)
            data = json.dumps(body).encode()
            fixed = [("Content-Type", "application/json"), ("Content-Length", len(data))]
            writer.write(head(status, "OK" if status == 200 else "No", fixed) + data)
            await writer.drain()

    async def _answer(self, path, fields):
        if path == "/verbenadrum/kv-key":
            item = self._items.get(fields["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/verbenadrum/kv-range":
            found = [self._items[key] for key in sorted(self._items)]
            found = [item for item in found if item["key"].startswith(fields.get("prefix", ""))]
            found = [item for item in found if item["key"] > fields.get("after", "")]
            body = {"items": found[:500], "more_pages": len(found) > 500}
            return 200, {**body, "current_rev": self.revision}
        if path == "/verbenadrum/kv-watch":
            return await self._watch(int(fields["after"]), float(fields["wait_ms"]) / 1000.0)
        return 404, {}

    async def _watch(self, after, wait_s):
        if after < self._history_from:
            return 410, {}
        end = time.monotonic() + wait_s
        while self.revision <= after and (left := end - time.monotonic()) > 0:
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
        events = [event for event in self._events if event["mod_revision"] > after]
        return 200, {"events": events, "current_rev": self.revision}


class Upstream(Listener):
    """One upstream: ``capacity`` requests at a time, a short queue, and its entry in the store.

    ``runs`` holds, for each request that it began to work on, its id, method, path, body, when it
    began, when it ended, and whether it was dropped because its channel closed.
    """

    def __init__(self, bed, *, service, ip, name, zone, capacity=3, queue=12, work_s=0.2):
        super().__init__(ip)
        self.bed = bed
        self.service = service
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.queue = queue
        self.work_s = work_s
        self.runs = []
        self.arrivals = []
        self._slots = asyncio.Semaphore(capacity)
        self._waiting = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0

    def register(self, state="ready"):
        """Write the entry in the store."""
        self._sequence += 1
        info = {"service": self.service, "config_version": "v1", "zone": self.zone}
        self.bed.store.put(
            f"servers/{self.name}",
            {
                "address": self.address,
                "born": self._born,
                "info": {**info, "capacity": self.capacity},
                "status": {"state": state, "sequence": self._sequence, "warmup_left": "0ms"},
            },
        )

    async def channel(self, reader, writer):
        """Serve one channel, a request at a time."""
        while (message := await read_head(reader)) is not None:
            first, headers = message
            body = await read_body(reader, headers)
            method, target, _ = first.split()
            if target.startswith("/healthz"):
                writer.write(
                    head(
                        200, "OK", [("X-Verbenadrum-Instance-Id", self.name), ("Content-Length", 0)]
                    )
                )
                await writer.drain()
                continue
            await self.serve(reader, writer, method, target, headers, body)

    async def serve(self, reader, writer, method, target, headers, body):
        """Run a request, or turn it away."""
        request = headers.get("x-verbenadrum-attempt-id", "")
        echo = [("X-Verbenadrum-Attempt-Id", request)]
        self.arrivals.append((self.bed.record.now(), request))
        if headers.get("x-verbenadrum-expected-instance", self.name) != self.name:
            await self.turn_away(writer, 421, [("X-Verbenadrum-Instance-Id", self.name)])
            return
        if not request:
            await self.turn_away(writer, 400, [])
            return
        if self._waiting >= self.queue:
            await self.turn_away(writer, 503, echo)
            return
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            run = {"id": request, "method": method, "target": target, "body": len(body)}
            run |= {
                "server": self.name,
                "began": self.bed.record.now(),
                "ended": None,
                "dropped": False,
            }
            self.runs.append(run)
            self.bed.record.add(
                f"run   begins at {self.name}: {method} {target} id={request} body={len(body)}"
            )
            work = asyncio.ensure_future(self.work(run, writer, echo, headers))
            gone = asyncio.ensure_future(self._closed(reader))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                run["dropped"] = True
            gone.cancel()
            run["ended"] = self.bed.record.now()
            self.bed.record.add(
                f"run   ends   at {self.name}: id={request}"
                + (" (dropped: channel closed)" if run["dropped"] else "")
            )
            if work.done() and not work.cancelled() and work.exception():
                raise work.exception()
        if run["dropped"]:
            raise ConnectionResetError

    async def _closed(self, reader):
        # A sound caller sends nothing more before the answer, so only the end of the channel wakes
        # this up.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def work(self, run, writer, echo, headers):
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        data = f"{run['id']} {run['method']} {run['target']}".encode()
        signed = [
            ("X-Verbenadrum-Upstream-Signature", f"sig-{run['id']}"),
            ("Content-Length", len(data)),
        ]
        writer.write(head(200, "OK", echo + signed) + data)
        await writer.drain()

    async def turn_away(self, writer, status, headers):
        """Answer that the request was not run."""
        writer.write(
            head(
                status,
                "Not run",
                [*headers, ("X-Verbenadrum-Not-Executed", 1), ("Content-Length", 0)],
            )
        )
        await writer.drain()


class Host:
    """One machine of the system: a process of its own, with the command of the deploy file."""

    def __init__(self, bed, *, name, ip, zone):
        self.bed = bed
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = {role: free_port(ip) for role in ("front", "readiness", "control")}
        self.process = None

    def address(self, role):
        """Return ``ip:port`` of a port."""
        return f"{self.ip}:{self.ports[role]}"

    def start(self, seeds):
        """Write the settings and start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        listen = {name: self.address(name) for name in self.ports}
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": self.bed.zones[self.zone],
            "listen": listen,
            "seeds": seeds,
            "zones": self.bed.zones,
            "provider": {"address": self.bed.store.address},
            "bounds": BOUNDS,
        }
        path = self.bed.folder / f"{self.name}.json"
        path.write_text(fill((ROOT / role["template"]).read_text(), fields))
        words = role["run"].replace("/etc/verbenadrum/node.json", str(path)).split()
        words[0] = shutil.which(words[0]) or sys.executable
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "VERBENADRUM_BOOT": str(path)}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.bed.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, number):
        """Send a signal to the process."""
        self.bed.record.add(f"host  {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self, within_s=25.0):
        """Wait until the host says that it is ready."""
        for _ in range(int(within_s / 0.1)):
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, ValueError, TypeError):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["readiness"])
                writer.write(
                    f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode()
                )
                first, _ = await read_head(reader)
                writer.close()
                if first.split()[1] == "200":
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready; see its log: {self.log()[-1500:]}")

    def log(self):
        """Return the log of the process."""
        return (self.bed.folder / f"{self.name}.log").read_text(errors="replace")


class Bed:
    """All of a case: store, upstreams and hosts, in a temporary folder that is deleted again."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = {"zone-a": "region-a"}
        self.store = Store("127.0.0.1")
        self.hosts = []
        self.upstreams = []

    async def start_store(self):
        """Start the store."""
        await self.store.start()

    async def add_upstream(self, kind=Upstream, **fields):
        """Start an upstream and write its entry."""
        upstream = kind(self, ip="127.0.0.1", **{"zone": "zone-a", **fields})
        await upstream.start()
        upstream.register()
        self.upstreams.append(upstream)
        return upstream

    def configure(self, version, routes, **fields):
        """Write a configuration; ``routes`` are tables as on the users' page."""
        named = {
            name
            for route in routes
            for name in [
                route.get("service"),
                *(each["service"] for each in route.get("backends", [])),
            ]
            if name
        }
        services = [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 390,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(named)
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}]
        value = {"config_version": f"{version:08x}", "routes": routes, "services": services}
        self.store.put("op/config", {**value, "limits": limits, "tenants": tenants, **fields})
        self.record.add(f"store acknowledges configuration {version}")

    async def start_hosts(self, count):
        """Start hosts on addresses of their own, and wait until all are ready."""
        self.hosts = [
            Host(self, name=f"edge-{number}", ip=f"127.0.0.{10 + number}", zone="zone-a")
            for number in range(1, count + 1)
        ]
        self.seeds = [host.address("control") for host in self.hosts[:3]]
        for host in self.hosts:
            host.start(self.seeds)
        for host in self.hosts:
            await host.ready()
        self.record.add(f"{count} hosts are ready")

    def close(self):
        """End every process that was started, and delete the folder."""
        for host in self.hosts:
            host.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name, *, kind, service="alpha", timeout="5000ms", attempts=2, **fields):
    """Return a route as on the users' page, at the prefix ``/NAME/``."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout": timeout,
        "target_latency": fields.pop("target", "4000ms"),
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        **fields,
    }


def request_head(method, target, request, deadline_ms, extra=()):
    """Return the head of a consumer's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Verbenadrum-Attempt-Id: {request}",
        f"X-Verbenadrum-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        *extra,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_answer(reader, method="GET"):
    """Return status, headers and body of an answer; None if the channel ends before it is whole."""
    message = await read_head(reader)
    if message is None:
        return None
    first, headers = message
    status = int(first.split()[1])
    if status == 100:
        return await read_answer(reader, method)
    try:
        if method == "HEAD" or status in (204, 304):
            return status, headers, b""
        return status, headers, await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def play(case_folder, main, limit_s=110.0):
    """Run a case, and exit as the review's rules say."""

    async def guarded():
        bed = Bed(case_folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await bed.start_store()
            return await asyncio.wait_for(main(bed), limit_s)
        except (Exception, asyncio.CancelledError) as error:
            # An error of the case itself says nothing about the rule.
            bed.record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return CANNOT_RUN
        finally:
            bed.close()

    sys.exit(asyncio.run(guarded()))
