"""TCP proxy that forwards and injects faults, each direction of each link apart.

One process holds a forward for each target. A link rule names the side that bytes come from and the
side that they go to, so one rule covers the requests of one side and the answers of the other. The
source of a connection is known by its process identifier. Control paths take and give JSON:
``/control/forward`` (a `Forward`), ``/control/sources`` (process identifier to name),
``/control/rule`` (a `Rule`) and ``/control/heal``.
"""

if __name__ == "__main__":
    # Bottle keeps its request and response apart by thread, and so by greenlet once patched.
    from gevent import monkey

    monkey.patch_all()

import os
import pathlib
import socket
import struct
import time

import bottle
import gevent
import msgspec
from absl import app, flags
from gevent import queue, server
from gevent import socket as gevent_socket

from standins import serving

__all__ = ["FaultProxy", "Forward", "Forwarded", "Rule", "make_app"]

_PORT = flags.DEFINE_integer("proxy_port", 0, "Control port; 0 for any free one.")
_BLOCK_BYTES = 65_536
_QUEUE_BLOCKS = 64
_LOCAL_COLUMN = 1
_INODE_COLUMN = 9
_LINGER_OFF = struct.pack("ii", 1, 0)


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """A target to forward to, and the name that rules know it by."""

    name: str
    port: int


class Forwarded(msgspec.Struct, frozen=True, kw_only=True):
    """Port on which a target can be reached through the proxy."""

    port: int


class Rule(msgspec.Struct, frozen=True, kw_only=True):
    """Fault of the bytes that go from some names to others.

    Attributes
    ----------
    source, target : tuple of str
        Names at both ends.
    delay_ms : float
        Added delay.
    swallow : bool
        Whether the bytes vanish while the connections stay open.
    kbit_per_s : float
        Bandwidth that all connections under the rule share; 0 for no limit.
    reset : bool
        Whether connections are reset as soon as a byte goes this way.
    """

    source: tuple[str, ...]
    target: tuple[str, ...]
    delay_ms: float = 0.0
    swallow: bool = False
    kbit_per_s: float = 0.0
    reset: bool = False


class _Link(msgspec.Struct, kw_only=True):
    """A rule in force, and the time at which its bandwidth is free again."""

    rule: Rule
    free_at_s: float = 0.0

    def arrival_s(self, size: int) -> float:
        """Return the time at which a block that is sent now arrives."""
        now_s = time.monotonic()
        if self.rule.kbit_per_s:
            busy_s = size * 8 / (self.rule.kbit_per_s * 1000.0)
            self.free_at_s = max(now_s, self.free_at_s) + busy_s
            now_s = self.free_at_s
        return now_s + self.rule.delay_ms / 1000.0


class _Block(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes under way; none for the end of the stream, or for bytes lost where ``torn``."""

    due_s: float
    content: bytes = b""
    torn: bool = False


class FaultProxy:
    """Forwards of one process and the rules over them."""

    def __init__(self) -> None:
        self._sources: dict[int, str] = {}
        self._links: dict[tuple[str, str], _Link] = {}
        self._listeners: list[server.StreamServer] = []

    def forward(self, forward: Forward) -> Forwarded:
        """Open a port that forwards to a target."""

        def handle(connection: gevent_socket.socket, address: tuple) -> None:
            self._relay(forward, connection, address[1])

        listener = server.StreamServer((serving.LOOPBACK, 0), handle)
        listener.start()
        self._listeners.append(listener)
        return Forwarded(port=listener.server_port)

    def name_sources(self, names: dict[int, str]) -> None:
        """Tell which process goes by which name."""
        self._sources.update(names)

    def set_rule(self, rule: Rule) -> None:
        """Put a rule in force for each pair of its names, in place of earlier ones."""
        link = _Link(rule=rule)
        for source in rule.source:
            for target in rule.target:
                self._links[source, target] = link

    def heal(self) -> None:
        """Remove every rule."""
        self._links.clear()

    def _relay(self, forward: Forward, caller: gevent_socket.socket, source_port: int) -> None:
        try:
            target = gevent_socket.create_connection((serving.LOOPBACK, forward.port))
        except OSError:
            _reset(caller)
            return
        source = self._source(source_port)
        pumps = [
            gevent.spawn(self._pump, caller, target, (source, forward.name)),
            gevent.spawn(self._pump, target, caller, (forward.name, source)),
        ]
        gevent.joinall(pumps)
        caller.close()
        target.close()

    def _source(self, port: int) -> str:
        file = f"socket:[{_socket_inode(port)}]"
        for pid, name in self._sources.items():
            if file in _open_files(pid):
                return name
        return ""

    def _pump(
        self, source: gevent_socket.socket, target: gevent_socket.socket, ends: tuple[str, str]
    ) -> None:
        source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        blocks: queue.Queue = queue.Queue(maxsize=_QUEUE_BLOCKS)
        writer = gevent.spawn(_write, blocks, target)
        try:
            while block := source.recv(_BLOCK_BYTES):
                self._pass(block, blocks, ends)
            blocks.put(_Block(due_s=time.monotonic()))
            writer.join()
        except OSError:
            writer.kill()
            _reset(source)
            _reset(target)

    def _pass(self, block: bytes, blocks: queue.Queue, ends: tuple[str, str]) -> None:
        link = self._links.get(ends)
        if link is not None and link.rule.reset:
            raise ConnectionResetError
        if link is not None and link.rule.swallow:
            blocks.put(_Block(due_s=time.monotonic(), torn=True))
            return
        due_s = time.monotonic() if link is None else link.arrival_s(len(block))
        blocks.put(_Block(due_s=due_s, content=block))


def _write(blocks: queue.Queue, target: gevent_socket.socket) -> None:
    """Write blocks as they fall due; a stream that has lost bytes is reset, not continued."""
    torn = False
    try:
        for block in blocks:
            gevent.sleep(max(0.0, block.due_s - time.monotonic()))
            torn = torn or block.torn
            if torn and block.content:
                _reset(target)
                return
            if not block.torn and not block.content:
                target.shutdown(socket.SHUT_WR)
                return
            target.sendall(block.content)
    except OSError:
        _reset(target)


def _socket_inode(port: int) -> str:
    """Return the inode of the socket on a local port; only the sources' files are then read."""
    address = f"0100007F:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = (line.split() for line in table)
        return next((row[_INODE_COLUMN] for row in rows if row[_LOCAL_COLUMN] == address), "")


def _open_files(pid: int) -> set[str]:
    folder = pathlib.Path(f"/proc/{pid}/fd")
    try:
        return {os.readlink(file) for file in folder.iterdir()}
    except OSError:
        return set()


def _reset(connection: gevent_socket.socket) -> None:
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def make_app(proxy: FaultProxy) -> bottle.Bottle:
    """Return the WSGI application of the control paths."""
    web = bottle.Bottle()

    def control(path: str, kind: type, action) -> None:
        def run() -> bytes:
            message = msgspec.json.decode(bottle.request.body.read(), type=kind)
            return msgspec.json.encode(action(message))

        web.post(path)(run)

    control("/control/forward", Forward, proxy.forward)
    control("/control/sources", dict[int, str], proxy.name_sources)
    control("/control/rule", Rule, proxy.set_rule)
    web.get("/control/heal")(lambda: msgspec.json.encode(proxy.heal()))
    return web


def main(argv: list[str]) -> None:
    """Serve until the process is ended."""
    del argv
    control = serving.make_server(make_app(FaultProxy()), port=_PORT.value)
    serving.announce(control.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
