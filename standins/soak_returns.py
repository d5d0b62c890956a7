"""Returns of the configuration service from older copies in a soak test.

Meanwhile configurations follow one another, each with a route and an API key of its own, and
servers with records of their own join and leave. Callers ask for all of these on open connections
through every host. What a return has lost is published again a while later. The checks are: (k) a
change is in force in time at every host, (l) none reverts at a host process, (m) a withdrawn key
does not work, and (n) a server that has left gets no requests.
"""

import collections
import random
from collections.abc import Iterator

import gevent
import msgspec
import xxhash
from gevent import event

from standins import (
    backend,
    planned_work,
    raw_caller,
    soak_checks,
    soak_configuration,
    soak_signals,
    soak_writes,
)

__all__ = ["Returns", "SERVERS"]

SERVERS = ("moving1", "moving2", "moving3", "moving4")
_MIN_LIVE_SERVERS = 2
_PAUSE_S = (0.1, 1.0)
_COPY_AGE_S = (1.0, 10.0)
# Greatest age of a copy as a fraction of the run.
_COPY_AGE_FRACTION = 0.8
_AWAY_S = (0.0, 0.6)
_SERIES_PROBABILITY = 0.5
_SERIES_GAP_S = (0.2, 1.5)
_PUBLISH_LOST_S = (0.0, 3.0)
_CHANGE_GAP_S = (0.2, 1.0)
_MOVE_GAP_S = (0.3, 1.2)
_WITHDRAWAL_PROBABILITY = 0.5
_PROBE_GAP_S = (0.02, 0.1)
_PROBE_WORK_MS = 2
_KINDS = ("newest", "confirmed", "withdrawn", "keyed", "moving")
_KIND_WEIGHTS = (4, 3, 2, 1, 4)
_OK = 200
_NO_ROUTE = "no-route"
_KEY_REFUSED = "key-refused"


class _Probe(msgspec.Struct, frozen=True, kw_only=True):
    """A request for the route or the key of a version, or for neither if that is 0."""

    keyed: bool
    version: int
    result: raw_caller.RequestResult


class _Server(msgspec.Struct, kw_only=True):
    """Publications of a server: the versions with which it left, and when it joined each time."""

    live: bool = False
    version: int = 0
    writes: soak_writes.Writes = msgspec.field(default_factory=soak_writes.Writes)
    left: list[int] = msgspec.field(default_factory=list)
    joined_ms: list[float] = msgspec.field(default_factory=list)


class Returns:
    """Returns of the platform, changes around them, and callers that look for their effects.

    Parameters
    ----------
    work : PlannedWork
        Planned work, with the configurations.
    seed : int
        Seed of all draws.
    seconds : float
        Length of the run.
    results : list of RequestResult
        Gets the results of the callers' requests.
    """

    def __init__(
        self,
        *,
        work: planned_work.PlannedWork,
        seed: int,
        seconds: float,
        results: list[raw_caller.RequestResult],
    ) -> None:
        self._work = work
        self._fleet = work.fleet
        self._configurations = work.configurations
        self._seed = seed
        self._max_age_s = max(_COPY_AGE_S[0], min(_COPY_AGE_S[1], seconds * _COPY_AGE_FRACTION))
        self._results = results
        self._probes: list[_Probe] = []
        self._probe_count = 0
        self._servers = {name: _Server() for name in SERVERS}
        self._stopped = event.Event()
        self._finished = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._probe_greenlets: list[gevent.Greenlet] = []
        self._return_count = 0

    def start(self) -> None:
        """Publish the servers, and start the returns, the changes and the callers."""
        for name in SERVERS:
            self._publish_server(name, "live")
        for action in (self._play_returns, self._publish_changes, self._move_servers):
            rng = random.Random(f"{self._seed}/returns/{action.__name__}")
            self._greenlets.append(gevent.spawn(action, rng))
        for host in self._fleet.hosts:
            rng = random.Random(f"{self._seed}/returns/{host}")
            self._probe_greenlets.append(gevent.spawn(self._send_probes, host, rng))

    def stop(self) -> None:
        """Stop the returns and the changes, after at least one return, and publish what is lost."""
        self._stopped.set()
        gevent.joinall(self._greenlets)

    def finish(self) -> None:
        """Wait until the last changes are due everywhere, and stop the callers."""
        gevent.sleep(soak_checks.MAX_APPLY_MS / 1000.0)
        self._finished.set()
        gevent.joinall(self._probe_greenlets)
        self._work.performed += ["return from a copy"] * self._return_count

    def violations(self, checks: soak_checks.Checks) -> list[soak_checks.Violation]:
        """Return the violations of the checks."""
        by_host = collections.defaultdict(list)
        for probe in self._probes:
            by_host[probe.result.host].append(probe)
        found = [each for probes in by_host.values() for each in self._check_host(probes, checks)]
        return found + list(self._check_servers())

    def _play_returns(self, rng: random.Random) -> None:
        while not self._stopped.wait(rng.uniform(*_PAUSE_S)) or not self._return_count:
            with self._configurations.lock:
                self._fleet.copy_platform()
                for writes in self._all_writes():
                    writes.copy()
            self._stopped.wait(rng.uniform(_COPY_AGE_S[0], self._max_age_s))
            self._return(rng)
            if rng.random() < _SERIES_PROBABILITY:
                self._stopped.wait(rng.uniform(*_SERIES_GAP_S))
                self._return(rng)
            self._stopped.wait(rng.uniform(*_PUBLISH_LOST_S))
            self._publish_lost()

    def _return(self, rng: random.Random) -> None:
        with self._configurations.lock:
            away_ms = planned_work.now_ms()
            self._fleet.stop_platform()
            gevent.sleep(rng.uniform(*_AWAY_S))
            self._fleet.return_platform()
            for writes in self._all_writes():
                writes.lose(away_ms)
        self._return_count += 1

    def _publish_lost(self) -> None:
        with self._configurations.lock:
            published = self._fleet.publish_lost()
            for kind, name in published:
                server = self._servers.get(name)
                writes = self._configurations.writes if server is None else server.writes
                if kind in ("configuration", "server"):
                    writes.add(writes.newest, planned_work.now_ms())

    def _all_writes(self) -> Iterator[soak_writes.Writes]:
        yield self._configurations.writes
        for server in self._servers.values():
            yield server.writes

    def _publish_changes(self, rng: random.Random) -> None:
        while not self._stopped.wait(rng.uniform(*_CHANGE_GAP_S)):
            self._configurations.publish_change()

    def _move_servers(self, rng: random.Random) -> None:
        while not self._stopped.wait(rng.uniform(*_MOVE_GAP_S)):
            name = rng.choice(SERVERS)
            if not self._servers[name].live:
                self._publish_server(name, "live")
            elif sum(server.live for server in self._servers.values()) > _MIN_LIVE_SERVERS:
                self._publish_server(name, "leaving")
                if rng.random() < _WITHDRAWAL_PROBABILITY:
                    self._stopped.wait(rng.uniform(*_MOVE_GAP_S))
                    self._publish_server(name, None)

    def _publish_server(self, name: str, state: str | None) -> None:
        """Publish a server's record with a state, or withdraw it."""
        with self._configurations.lock:
            server = self._servers[name]
            server.version += 1
            if state == "live":
                server.joined_ms.append(planned_work.now_ms())
            elif server.live:
                server.left.append(server.version)
            server.live = state == "live"
            spec = None
            if state is not None:
                service = soak_configuration.MOVING_SERVICE
                entries = self._fleet.server_entries(service)
                entry = next(each for each in entries if each["server"] == name)
                spec = {
                    "service": service,
                    "address": entry["address"],
                    "data_centre": entry["data_centre"],
                    "state": state,
                    "started_wall_ms": server.joined_ms[-1],
                }
            self._fleet.publish("server", name, spec)
            server.writes.add(server.version, planned_work.now_ms())

    def _send_probes(self, host: str, rng: random.Random) -> None:
        confirmed = 0
        while not self._finished.wait(rng.uniform(*_PROBE_GAP_S)):
            try:
                connection = raw_caller.Connection(
                    host=host, address=self._fleet.caller_address(host)
                )
            except OSError:
                continue
            while connection.usable and not self._finished.is_set():
                probe = self._send_probe(connection, rng, confirmed)
                if probe is not None and probe.result.status == _OK and not probe.keyed:
                    confirmed = max(confirmed, probe.version)
                self._finished.wait(rng.uniform(*_PROBE_GAP_S))
            connection.close()

    def _send_probe(
        self, connection: raw_caller.Connection, rng: random.Random, confirmed: int
    ) -> _Probe | None:
        connection.read_stray_bytes()
        if not connection.usable:
            return None
        newest = self._configurations.writes.newest
        kind = rng.choices(_KINDS, _KIND_WEIGHTS)[0]
        keyed = kind in ("withdrawn", "keyed")
        version = newest
        if kind == "confirmed" and confirmed:
            version = confirmed
        elif kind == "withdrawn":
            withdrawn = newest - soak_configuration.KEY_LIFETIME - rng.randrange(2)
            version = max(1, withdrawn)
        elif kind == "moving":
            version = 0
        path = "keyed" if keyed else f"change/{version}" if version else "moving"
        self._probe_count += 1
        name = f"returns{self._seed}-{self._probe_count}"
        key = f"X-Api-Key: {soak_configuration.key_of(version)}\r\n" if keyed else ""
        target = f"/{path}/x?ms={_PROBE_WORK_MS}"
        head = (
            f"GET {target} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {name}\r\n"
            f"X-Nonce: {name}\r\n{key}\r\n"
        )
        request = raw_caller.Request(
            request=name,
            method="GET",
            target=target,
            once=False,
            pieces=(raw_caller.Piece(data=head.encode()),),
            head_pieces=1,
            body_checksum=xxhash.xxh3_64_hexdigest(b""),
            body_bytes=0,
        )
        probe = _Probe(keyed=keyed, version=version, result=connection.perform(request))
        self._probes.append(probe)
        self._results.append(probe.result)
        return probe

    def _check_host(
        self, probes: list[_Probe], checks: soak_checks.Checks
    ) -> Iterator[soak_checks.Violation]:
        """Check the answers of one host, which its caller got one after the other."""
        process = None
        confirmed = 0
        for probe in probes:
            result = probe.result
            current = checks.find_process(result)
            if current is not process:
                process, confirmed = current, 0
            if result.status == _OK and not probe.keyed:
                confirmed = max(confirmed, probe.version)
            violation = self._check_probe(probe, confirmed)
            if violation is not None:
                check, text = violation
                number = process.number if process else 0
                yield soak_checks.Violation(
                    check=check,
                    text=f"{result.request} to {result.target} at {result.host} run {number},"
                    f" {result.begun_ms:.0f} to {result.ended_ms:.0f}: {result.status}"
                    f" {result.code}: {text}",
                )

    def _check_probe(self, probe: _Probe, confirmed: int) -> tuple[str, str] | None:
        """Return the check that an answer breaks and why, or None."""
        result = probe.result
        if probe.keyed:
            return self._check_key(probe, confirmed)
        if not probe.version or result.code != _NO_ROUTE:
            return None
        if confirmed >= probe.version:
            return "l", f"version {confirmed} was in force at this process"
        late_ms = result.begun_ms - self._due_ms(probe.version)
        if late_ms >= 0.0:
            return "k", f"version {probe.version} was due {late_ms:.0f} ms earlier"
        return None

    def _check_key(self, probe: _Probe, confirmed: int) -> tuple[str, str] | None:
        result = probe.result
        ended_by = probe.version + soak_configuration.KEY_LIFETIME
        published = self._configurations.published
        ended = ended_by <= len(published) and published[ended_by - 1].at_ms <= result.ended_ms
        if result.status == _OK and ended_by <= len(published):
            if confirmed >= ended_by:
                return "m", f"version {confirmed}, which was in force, had not held the key"
            late_ms = result.begun_ms - self._due_ms(ended_by)
            if late_ms >= 0.0:
                return "m", f"version {ended_by}, without the key, was due {late_ms:.0f} ms earlier"
        if result.code == _KEY_REFUSED and not ended:
            late_ms = result.begun_ms - self._due_ms(probe.version)
            if late_ms >= 0.0:
                return (
                    "k",
                    f"version {probe.version}, with the key, was due {late_ms:.0f} ms earlier",
                )
        return None

    def _due_ms(self, version: int) -> float:
        return self._configurations.due_ms(version, soak_checks.MAX_APPLY_MS)

    def _check_servers(self) -> Iterator[soak_checks.Violation]:
        for run in self._fleet.runs():
            server = self._servers.get(run.server)
            due_ms = None if server is None else self._left_due_ms(server, run)
            if due_ms is not None and run.at_ms > due_ms:
                yield soak_checks.Violation(
                    check="n",
                    text=f"{run.request} reached {run.server} {run.at_ms - due_ms:.0f} ms after"
                    " it had to be known that it had left",
                )

    def _left_due_ms(self, server: _Server, run: backend.Run) -> float | None:
        """Return from when a server that was gone at a run had to get no requests, or None."""
        for index, version in enumerate(server.left):
            due_ms = server.writes.due_ms(version, soak_signals.DRAIN_MS)
            until_ms = (*server.joined_ms[index + 1 :], float("inf"))[0]
            if due_ms <= run.at_ms < until_ms:
                return due_ms
        return None
