"""TCP proxy that injects network faults, separately for each direction between two processes.

One proxy process forwards to any number of targets, each through a port of its own. A rule applies
to the bytes that one process sends to another, on connections that either of the two has opened.
The process that opened a connection is found by its process identifier; a process that was not
named has the empty name.

The control paths take and return JSON. A POST to ``/control/forward`` (a `Forward`) opens a port,
to ``/control/sources`` (an object of process identifiers and names) names processes, and to
``/control/rule`` (a `FaultRule`) sets a rule. A GET of ``/control/heal`` removes all rules.
"""

if __name__ == "__main__":
    # Bottle keeps the request and the response in thread-local variables. They become local to a
    # greenlet only if threading is patched before Bottle is imported.
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

__all__ = ["FaultProxy", "FaultRule", "Forward", "Forwarded", "make_app"]

_PORT = flags.DEFINE_integer("proxy_port", 0, "Control port; 0 for any free port.")
_BLOCK_BYTES = 65_536
_QUEUE_BLOCKS = 64
# Columns of /proc/net/tcp.
_LOCAL_ADDRESS_COLUMN = 1
_INODE_COLUMN = 9
# With a linger time of 0, a closed connection is reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Target to forward to: its port on loopback, and its name in rules."""

    name: str
    port: int


class Forwarded(msgspec.Struct, frozen=True, kw_only=True):
    """Port of the proxy that forwards to a target."""

    port: int


class FaultRule(msgspec.Struct, frozen=True, kw_only=True):
    """Fault of the bytes that some processes send to others.

    Attributes
    ----------
    source, target : tuple of str
        Names of the sending and of the receiving processes; the rule applies to each pair.
    delay_ms : float
        Added one-way delay in milliseconds.
    swallow : bool
        Whether the bytes are dropped while the connections stay open.
    kbit_per_s : float
        Bandwidth in kilobits per second that all connections under the rule share; 0 for no limit.
    reset : bool
        Whether connections are reset as soon as a byte is sent in this direction.
    """

    source: tuple[str, ...]
    target: tuple[str, ...]
    delay_ms: float = 0.0
    swallow: bool = False
    kbit_per_s: float = 0.0
    reset: bool = False


class _ActiveRule(msgspec.Struct, kw_only=True):
    """A rule, and the time on the monotonic clock at which its bandwidth is free again."""

    rule: FaultRule
    bandwidth_free_at_s: float = 0.0

    def reserve_arrival_s(self, size: int) -> float:
        """Reserve bandwidth for a block sent now, and return when it arrives.

        Parameters
        ----------
        size : int
            Length of the block in bytes.

        Returns
        -------
        float
            Time of arrival in seconds, on the monotonic clock.
        """
        now_s = time.monotonic()
        if self.rule.kbit_per_s:
            transmission_s = size * 8 / (self.rule.kbit_per_s * 1000.0)
            self.bandwidth_free_at_s = max(now_s, self.bandwidth_free_at_s) + transmission_s
            now_s = self.bandwidth_free_at_s
        return now_s + self.rule.delay_ms / 1000.0


class _Block(msgspec.Struct, frozen=True, kw_only=True):
    """Part of a stream in transit, due for delivery at ``due_s`` on the monotonic clock.

    A block without bytes is the end of the stream, or a place where bytes were dropped if ``lost``
    is set.
    """

    due_s: float
    data: bytes = b""
    lost: bool = False


class FaultProxy:
    """Forwarding ports and rules of one proxy process."""

    def __init__(self) -> None:
        self._source_names: dict[int, str] = {}
        self._rules: dict[tuple[str, str], _ActiveRule] = {}
        self._listeners: list[server.StreamServer] = []

    def forward(self, forward: Forward) -> Forwarded:
        """Open a port that forwards to a target, and return it."""

        def handle(connection: gevent_socket.socket, address: tuple) -> None:
            self._relay(forward, connection, address[1])

        listener = server.StreamServer((serving.LOOPBACK, 0), handle)
        listener.start()
        self._listeners.append(listener)
        return Forwarded(port=listener.server_port)

    def set_source_names(self, names: dict[int, str]) -> None:
        """Set the names of processes by process identifier; earlier names of others stay."""
        self._source_names.update(names)

    def set_rule(self, rule: FaultRule) -> None:
        """Apply a rule to each pair of its names, in place of an earlier rule of the pair."""
        active_rule = _ActiveRule(rule=rule)
        for source in rule.source:
            for target in rule.target:
                self._rules[source, target] = active_rule

    def heal(self) -> None:
        """Remove all rules."""
        self._rules.clear()

    def _relay(self, forward: Forward, caller: gevent_socket.socket, source_port: int) -> None:
        try:
            target = gevent_socket.create_connection((serving.LOOPBACK, forward.port))
        except OSError:
            _reset(caller)
            return
        source = self._find_source_name(source_port)
        greenlets = [
            gevent.spawn(self._copy_stream, caller, target, (source, forward.name)),
            gevent.spawn(self._copy_stream, target, caller, (forward.name, source)),
        ]
        gevent.joinall(greenlets)
        caller.close()
        target.close()

    def _find_source_name(self, port: int) -> str:
        file = f"socket:[{_socket_inode(port)}]"
        for pid, name in self._source_names.items():
            if file in _list_open_files(pid):
                return name
        return ""

    def _copy_stream(
        self, source: gevent_socket.socket, target: gevent_socket.socket, direction: tuple[str, str]
    ) -> None:
        source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        blocks: queue.Queue = queue.Queue(maxsize=_QUEUE_BLOCKS)
        writer = gevent.spawn(_write_blocks, blocks, target)
        try:
            while block := source.recv(_BLOCK_BYTES):
                self._enqueue(block, blocks, direction)
            blocks.put(_Block(due_s=time.monotonic()))
            writer.join()
        except OSError:
            writer.kill()
            _reset(source)
            _reset(target)

    def _enqueue(self, block: bytes, blocks: queue.Queue, direction: tuple[str, str]) -> None:
        active_rule = self._rules.get(direction)
        if active_rule is not None and active_rule.rule.reset:
            raise ConnectionResetError
        if active_rule is not None and active_rule.rule.swallow:
            blocks.put(_Block(due_s=time.monotonic(), lost=True))
            return
        due_s = (
            time.monotonic() if active_rule is None else active_rule.reserve_arrival_s(len(block))
        )
        blocks.put(_Block(due_s=due_s, data=block))


def _write_blocks(blocks: queue.Queue, target: gevent_socket.socket) -> None:
    """Write blocks as they fall due.

    A stream that has lost bytes is reset at its next byte: continued, it would deliver a byte
    stream with a gap, which TCP never does.
    """
    lost = False
    try:
        for block in blocks:
            gevent.sleep(max(0.0, block.due_s - time.monotonic()))
            lost = lost or block.lost
            if lost and block.data:
                _reset(target)
                return
            if not block.lost and not block.data:
                target.shutdown(socket.SHUT_WR)
                return
            target.sendall(block.data)
    except OSError:
        _reset(target)


def _socket_inode(port: int) -> str:
    """Return the inode of the socket on a local port, or an empty string if there is none.

    A search by inode needs to read only the open files of the named processes.
    """
    address = f"0100007F:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = (line.split() for line in table)
        return next(
            (row[_INODE_COLUMN] for row in rows if row[_LOCAL_ADDRESS_COLUMN] == address), ""
        )


def _list_open_files(pid: int) -> set[str]:
    folder = pathlib.Path(f"/proc/{pid}/fd")
    try:
        return {os.readlink(file) for file in folder.iterdir()}
    except OSError:
        return set()


def _reset(connection: gevent_socket.socket) -> None:
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def make_app(proxy: FaultProxy) -> bottle.Bottle:
    """Return the WSGI application that serves the control paths of a proxy."""
    web = bottle.Bottle()

    def control(path: str, kind: type, action) -> None:
        def run() -> bytes:
            message = msgspec.json.decode(bottle.request.body.read(), type=kind)
            return msgspec.json.encode(action(message))

        web.post(path)(run)

    control("/control/forward", Forward, proxy.forward)
    control("/control/sources", dict[int, str], proxy.set_source_names)
    control("/control/rule", FaultRule, proxy.set_rule)
    web.get("/control/heal")(lambda: msgspec.json.encode(proxy.heal()))
    return web


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    del argv
    control = serving.make_server(make_app(FaultProxy()), port=_PORT.value)
    serving.announce(control.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
