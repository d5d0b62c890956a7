"""Simulated operator and backend servers, which write records to the simulated platform.

What is lost when the platform comes back from an older copy is written again.
"""

import random

import msgspec

from standins import spreading
from verbenadrum.records import types

__all__ = ["ENTRY_COUNT", "SERVICE", "Server", "Write", "Writers", "key_hash"]

SERVICE = "svc"
# Routes and keys that a configuration holds; each further one replaces the oldest.
ENTRY_COUNT = 3

_CONFIGURATION = types.RecordKind.CONFIGURATION.value
_SERVER = types.RecordKind.SERVER.value
_MIN_REWRITE_DELAY_MS = 100.0
_MAX_SERVER_REWRITE_DELAY_MS = 2_000.0
_MAX_OPERATOR_REWRITE_DELAY_MS = 8_000.0


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One acknowledged write, and the number of the platform's returns before it.

    ``order`` is that of `types.Record`; that of a withdrawal is the order of what it withdraws.
    """

    kind: str
    name: str
    order: tuple[int, int]
    state: types.ServerState | None
    written_ms: float
    return_count: int


class Server(msgspec.Struct, kw_only=True):
    """A backend server: its start, the sequence of its last write and its state.

    ``state`` is None after it has withdrawn its record.
    """

    name: str
    started_ms: int
    sequence: int = 0
    state: types.ServerState | None = types.ServerState.LIVE
    rewrite_ms: float | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Place of its last write among all of its writes."""
        return (self.started_ms, self.sequence)


def key_hash(version: int) -> str:
    """Return the hash of the API key that the configuration of a version adds.

    Examples
    --------
    >>> key_hash(10)[-4:]
    '000a'
    """
    return f"{version:064x}"


class Writers:
    """An operator and backend servers, which write again what a return of the platform has lost.

    Parameters
    ----------
    fleet : Fleet
        The hosts and the platform; `step` is called after each of its steps.
    rng : random.Random
        Source of the delays until something is written again.

    Attributes
    ----------
    version : int
        Version of the newest configuration; 0 before the first one.
    servers : dict of str to Server
        All servers, including those that have left.
    writes : list of Write
        Every write, oldest first.
    operator_rewrites : bool
        Whether the operator writes a lost configuration again.
    """

    def __init__(self, *, fleet: spreading.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._platform = fleet.platform
        self._rng = rng
        self.version = 0
        self.servers: dict[str, Server] = {}
        self.writes: list[Write] = []
        self.operator_rewrites = True
        self._operator_rewrite_ms: float | None = None
        self._return_count = 0
        self._newest: dict[str, Write] = {}
        fleet.observers.append(self.step)

    def publish_configuration(self) -> int:
        """Publish the next configuration, which adds a route and a key and may drop others."""
        self.version += 1
        self._write_configuration()
        return self.version

    def join(self, name: str) -> Server:
        """Start a server, or start it again, and publish it as live."""
        started_ms = int(self._fleet.time.wall_ms())
        previous = self.servers.get(name)
        if previous is not None:
            started_ms = max(started_ms, previous.started_ms + 1)
        self.servers[name] = Server(name=name, started_ms=started_ms)
        self._write_server(self.servers[name])
        return self.servers[name]

    def announce_leaving(self, name: str) -> None:
        """Publish a server as leaving."""
        self.servers[name].state = types.ServerState.LEAVING
        self._write_server(self.servers[name])

    def announce_live(self, name: str) -> None:
        """Publish a server as live, whatever it published before."""
        self.servers[name].state = types.ServerState.LIVE
        self._write_server(self.servers[name])

    def withdraw(self, name: str) -> None:
        """Withdraw the record of a server that ends."""
        server = self.servers[name]
        server.state = None
        server.rewrite_ms = None
        self._withdraw(server)

    def live(self) -> set[str]:
        """Return the names of the servers that are live."""
        return {
            server.name
            for server in self.servers.values()
            if server.state is types.ServerState.LIVE
        }

    def newest_write(self, server: str) -> Write:
        """Return a server's newest write."""
        return self._newest[server]

    def step(self) -> None:
        """Write again what was lost, once its time has come and the platform answers."""
        now_ms = self._fleet.time.now_ms()
        if self._platform.return_count != self._return_count:
            self._return_count = self._platform.return_count
            self._plan_rewrites(now_ms)
        if self._platform.down:
            return
        for server in self.servers.values():
            if server.rewrite_ms is not None and now_ms >= server.rewrite_ms:
                if server.state is None:
                    server.rewrite_ms = None
                    self._withdraw(server)
                else:
                    self._write_server(server)
        if self._operator_rewrite_ms is not None and now_ms >= self._operator_rewrite_ms:
            self._write_configuration()

    def _plan_rewrites(self, now_ms: float) -> None:
        for server in self.servers.values():
            held = self._platform.content(_SERVER, server.name)
            held_order = None if held is None else tuple(held["order"])
            expected = None if server.state is None else server.order
            server.rewrite_ms = None
            if held_order != expected:
                server.rewrite_ms = now_ms + self._delay_ms(_MAX_SERVER_REWRITE_DELAY_MS)
        held = self._platform.content(_CONFIGURATION, _CONFIGURATION)
        self._operator_rewrite_ms = None
        if self.operator_rewrites and (held is None or held["spec"]["version"] < self.version):
            self._operator_rewrite_ms = now_ms + self._delay_ms(_MAX_OPERATOR_REWRITE_DELAY_MS)

    def _delay_ms(self, longest_ms: float) -> float:
        return self._rng.uniform(_MIN_REWRITE_DELAY_MS, longest_ms)

    def _write_configuration(self) -> None:
        self._operator_rewrite_ms = None
        versions = range(max(1, self.version - ENTRY_COUNT + 1), self.version + 1)
        spec = {
            "version": self.version,
            "routes": [
                {"name": f"r{each}", "spec": {"path_prefix": f"/{each}", "service": SERVICE}}
                for each in versions
            ],
            "workspaces": [{"name": "w", "spec": {"rate_per_s": 10.0, "burst": 4.0}}],
            "keys": [
                {"name": f"k{each}", "spec": {"workspace": "w", "sha256": key_hash(each)}}
                for each in versions
            ],
            "pools": [{"name": SERVICE, "spec": {"servers": []}}],
        }
        self._publish(_CONFIGURATION, _CONFIGURATION, spec, (self.version, 0))

    def _write_server(self, server: Server) -> None:
        server.rewrite_ms = None
        server.sequence += 1
        spec = {
            "service": SERVICE,
            "address": "127.0.0.1:1",
            "data_centre": "dc00",
            "state": server.state.value,
            # The entry of a pool then shows which write it comes from.
            "slots": server.sequence,
            "started_wall_ms": float(server.started_ms),
        }
        self._publish(_SERVER, server.name, spec, server.order, server.state)

    def _withdraw(self, server: Server) -> None:
        # The platform's announcement of a withdrawal states no order.
        self._platform.publish(_SERVER, server.name, None)
        self._record(_SERVER, server.name, server.order, None)

    def _publish(
        self,
        kind: str,
        name: str,
        spec: dict,
        order: tuple[int, int],
        state: types.ServerState | None = None,
    ) -> None:
        self._platform.publish(kind, name, spec, order)
        self._record(kind, name, order, state)

    def _record(
        self, kind: str, name: str, order: tuple[int, int], state: types.ServerState | None
    ) -> None:
        write = Write(
            kind=kind,
            name=name,
            order=order,
            state=state,
            written_ms=self._fleet.time.now_ms(),
            return_count=self._platform.return_count,
        )
        self.writes.append(write)
        self._newest[name] = write
