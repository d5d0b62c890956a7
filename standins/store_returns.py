"""Random schedules of returns of the platform from older copies, with the invariants of records.

``python -m standins.store_returns --start 1 --seeds 1000`` plays one schedule for each seed.
"""

import multiprocessing
import random
import sys

import msgspec
from absl import app, flags

from standins import spreading, writers
from verbenadrum import ids
from verbenadrum.dissemination import duty
from verbenadrum.records import revisions, types

__all__ = [
    "Checker",
    "Outcome",
    "Schedule",
    "contents",
    "entries",
    "play",
    "readers",
    "start_fleet",
]

_START = flags.DEFINE_integer("start", 1, "Seed of the first schedule.")
_SEEDS = flags.DEFINE_integer("seeds", 100, "Number of schedules.")
_PROCESSES = flags.DEFINE_integer("processes", 2, "Number of processes that play them.")
_KIND = flags.DEFINE_enum(
    "kind",
    "returns",
    ["returns", "bare", "calm"],
    "Whether the platform comes back from copies, does so in answers that state no generation, or"
    " never does.",
)
_EVENTS = flags.DEFINE_bool("events", False, "Whether to print the events of each faulty schedule.")

IN_FORCE_LIMIT_MS = 2_500.0
POOL_LIMIT_MS = 4_500.0
AGREEMENT_LIMIT_MS = 20_000.0
_CHECK_INTERVAL_MS = 25.0
# A host is in touch if it has not been disturbed for this long.
_RECOVERY_MS = 6_000.0
_START_MS = 10_000.0
_SETTLE_MS = 2_000.0
_EVENT_COUNT = 36
_MAX_COPIES = 4
_GAPS_MS = (0.0, 5.0, 50.0, 300.0, 1_000.0, 2_500.0)
_SIZES = ((1, 4), (1, 7), (2, 2), (2, 4))


def entries(host: spreading.SteppedHost) -> dict[str, types.ServerEntry]:
    """Return the entries of the pool in force at a host by server."""
    pool = host.engine.records.pool(ids.ServiceId(writers.SERVICE))
    return {} if pool is None else {entry.server: entry for entry in pool.servers}


def order_of(entry: types.ServerEntry) -> tuple[int, int]:
    """Return the place of an entry among all that its server has written."""
    return (int(entry.started_wall_ms), entry.slots)


def contents(host: spreading.SteppedHost) -> dict[tuple[str, str], object]:
    """Return the content of each record that a host holds, without withdrawn ones."""
    found = {}
    for _, raw in host.engine.store.envelopes_after(0):
        document = msgspec.json.decode(raw)
        if document["spec"] is not None:
            found[document["kind"], document["name"]] = document["spec"]
    return found


def published(platform: spreading.SteppedPlatform) -> dict[tuple[str, str], object]:
    """Return the content of each record that the platform holds, as `contents` does."""
    return {key: msgspec.json.decode(raw)["spec"] for key, raw in platform.listing().items()}


def readers(fleet: spreading.Fleet) -> list[str]:
    """Return the hosts that are selected to read the platform."""
    return [
        name
        for name, host in fleet.hosts.items()
        if host.engine.platform_read_plan().reason is duty.ReadReason.READER
    ]


def start_fleet(
    seed: int, *, states_generation: bool = True, **sizes: int
) -> tuple[spreading.Fleet, writers.Writers]:
    """Return a fleet that holds three configurations' changes and three live servers."""
    fleet = spreading.Fleet(seed=seed, **sizes)
    fleet.platform.states_generation = states_generation
    written = writers.Writers(fleet=fleet, rng=random.Random(seed))
    for _ in range(3):
        written.publish_configuration()
    for name in ("s1", "s2", "s3"):
        written.join(name)
    fleet.run_until(lambda: fleet.all_have(fleet.platform.revision), _START_MS)
    fleet.run(_SETTLE_MS)
    return fleet, written


class _Seen(msgspec.Struct):
    """What one run of a host has accepted."""

    host: spreading.SteppedHost
    version: int = 0
    # Generation in which each server was last in the pool, the order of that entry, and the order
    # of the write by which the host knows the server as leaving or left.
    generations: dict[str, int] = msgspec.field(default_factory=dict)
    orders: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)
    departed: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)


class Checker:
    """Checks, after each step, that nothing accepted reverts and that writes are in force in time.

    Parameters
    ----------
    fleet : Fleet
        The hosts and the platform.
    written : Writers
        What was written.

    Attributes
    ----------
    faults : list of str
        Every fault found, once for each host and record.
    """

    def __init__(self, *, fleet: spreading.Fleet, written: writers.Writers) -> None:
        self._fleet = fleet
        self._writers = written
        self._seen: dict[str, _Seen] = {}
        self._disturbed_ms: dict[str, float] = {}
        self._ongoing: set[str] = set()
        self._due = len(written.writes)
        self._next_ms = 0.0
        self._return_count = fleet.platform.return_count
        self._returned_ms = -POOL_LIMIT_MS
        self._faults: dict[str, str] = {}
        fleet.observers.append(self.observe)

    @property
    def faults(self) -> list[str]:
        """Every fault found, once for each host and record."""
        return list(self._faults.values())

    def begin_disturbance(self, host: str) -> None:
        """Expect nothing in time at a host until it has recovered."""
        self._ongoing.add(host)

    def end_disturbance(self, host: str) -> None:
        """Expect changes in time at a host again, after a while."""
        self._ongoing.discard(host)
        self._disturbed_ms[host] = self._fleet.time.now_ms()

    def is_in_touch(self, host: str, since_ms: float) -> bool:
        """Return whether a host had recovered from every disturbance at a time."""
        recovered_ms = self._disturbed_ms.get(host, -_RECOVERY_MS) + _RECOVERY_MS
        return host not in self._ongoing and recovered_ms <= since_ms

    def observe(self) -> None:
        """Check all hosts."""
        now_ms = self._fleet.time.now_ms()
        if self._fleet.platform.return_count != self._return_count:
            self._return_count = self._fleet.platform.return_count
            self._returned_ms = now_ms
        self._check_writes(now_ms)
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + _CHECK_INTERVAL_MS
        for name, host in self._fleet.hosts.items():
            seen = self._seen.get(name)
            if seen is None or seen.host is not host:
                seen = self._seen[name] = _Seen(host=host)
            self._check_reverts(name, seen)
            if now_ms - self._returned_ms >= POOL_LIMIT_MS:
                self._check_pool(name, host, now_ms)

    def _report(self, key: str, text: str) -> None:
        now_ms = self._fleet.time.now_ms()
        self._faults.setdefault(key, f"at {now_ms:.0f} ms: {text}")

    def _check_reverts(self, name: str, seen: _Seen) -> None:
        records = seen.host.engine.records
        version = records.configuration_version or 0
        if version < seen.version:
            self._report(
                f"version {name}",
                f"{name} went back from version {seen.version} to {version}",
            )
        seen.version = max(seen.version, version)
        for dropped in range(1, seen.version - writers.ENTRY_COUNT + 1):
            if records.key_workspace(writers.key_hash(dropped)) is not None:
                self._report(f"key {name} {dropped}", f"withdrawn key {dropped} works at {name}")
        present = entries(seen.host)
        generation = revisions.generation_of(seen.host.engine.record_spread.complete_revision)
        for server, entry in present.items():
            departed = seen.departed.get(server, types.UNKNOWN_ORDER)
            if entry.state is types.ServerState.LEAVING:
                seen.departed[server] = max(departed, order_of(entry))
            elif entry.state is types.ServerState.LIVE and order_of(entry) <= departed:
                self._report(f"live {name} {server}", f"{server} that left is live at {name}")
            elif entry.state is types.ServerState.LIVE:
                # Its writer has said so since, and a host may lose that with a later return.
                seen.departed.pop(server, None)
            if entry.state is not types.ServerState.LAPSED:
                seen.generations[server] = generation
                seen.orders[server] = order_of(entry)
        for server, last_generation in list(seen.generations.items()):
            entry = present.get(server)
            if entry is not None and entry.state is not types.ServerState.LAPSED:
                continue
            del seen.generations[server]
            write = self._writers.newest_write(server)
            # A host that has passed into a later generation since does not know whether the server
            # has left or is missing from the copy.
            if write.state is None and self._generation(write.return_count) == last_generation:
                departed = seen.departed.get(server, types.UNKNOWN_ORDER)
                # The withdrawal states no order, so a start that the host has missed may be later.
                held = seen.orders[server]
                left = write.order if write.order[0] == held[0] else held
                seen.departed[server] = max(departed, left)

    def _generation(self, return_count: int) -> int:
        return return_count if self._fleet.platform.states_generation else 0

    def _check_pool(self, name: str, host: spreading.SteppedHost, now_ms: float) -> None:
        if not self.is_in_touch(name, now_ms - POOL_LIMIT_MS):
            return
        present = entries(host)
        for server in self._writers.live():
            write = self._writers.newest_write(server)
            entry = present.get(server)
            if now_ms - write.written_ms > IN_FORCE_LIMIT_MS and (
                entry is None or entry.state is not types.ServerState.LIVE
            ):
                self._report(f"pool {name} {server}", f"live {server} is missing at {name}")

    def _check_writes(self, now_ms: float) -> None:
        writes = self._writers.writes
        while self._due < len(writes):
            write = writes[self._due]
            if now_ms - write.written_ms < IN_FORCE_LIMIT_MS:
                return
            self._due += 1
            lost = write.return_count != self._fleet.platform.return_count
            replaced = any(
                (each.kind, each.name) == (write.kind, write.name) for each in writes[self._due :]
            )
            if lost or replaced:
                continue
            for name, host in self._fleet.hosts.items():
                if self.is_in_touch(name, write.written_ms) and not _in_force(host, write):
                    self._report(
                        f"late {name} {write.kind} {write.name} {write.order}",
                        f"{write.kind} {write.name} {write.order}, written at"
                        f" {write.written_ms:.0f} ms, is not in force at {name}",
                    )


def _in_force(host: spreading.SteppedHost, write: writers.Write) -> bool:
    if write.kind == types.RecordKind.CONFIGURATION.value:
        return (host.engine.records.configuration_version or 0) >= write.order[0]
    entry = entries(host).get(write.name)
    if write.state is None:
        return entry is None or entry.state is types.ServerState.LAPSED
    return entry is not None and (order_of(entry), entry.state) == (write.order, write.state)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one schedule: its events, and the faults that were found."""

    seed: int
    events: tuple[str, ...]
    faults: tuple[str, ...]
    returns: int


class Schedule:
    """A fleet that goes through random events, several of them at once.

    Parameters
    ----------
    seed : int
        Seed of the fleet and of the events.
    states_generation : bool
        Whether the platform's answers state the generation.
    returns : bool
        Whether the platform comes back from copies.
    """

    def __init__(self, *, seed: int, states_generation: bool = True, returns: bool = True) -> None:
        self._seed = seed
        self._returns = returns
        self._rng = random.Random(f"schedule-{seed}")
        regions, hosts = self._rng.choice(_SIZES)
        self._fleet, self._writers = start_fleet(
            seed,
            states_generation=states_generation,
            regions=regions,
            data_centres=1,
            hosts=hosts,
        )
        self._platform = self._fleet.platform
        self._platform.page_size = self._rng.choice((None, 1, 2))
        self._fleet.channel.conditions.loss = self._rng.choice((0.0, 0.0, 0.03))
        self._checker = Checker(fleet=self._fleet, written=self._writers)
        self._copies = [self._platform.copy()]
        self._server_count = 3
        self._stopped: set[str] = set()
        self._isolated: set[str] = set()
        self._events: list[str] = []

    def play(self) -> Outcome:
        """Play the events, end all disturbances, and check that all hosts end equal."""
        actions = (
            (self._publish, 5),
            (self._join, 3),
            (self._leave, 3),
            (self._withdraw, 3),
            (self._stay, 1),
            (self._restart_server, 2),
            (self._copy, 4),
            (self._return, 4),
            (self._pause, 3),
            (self._isolate, 3),
            (self._stop, 2),
            (self._restart, 2),
            (self._recover, 5),
        )
        choices, weights = zip(*actions, strict=True)
        for _ in range(_EVENT_COUNT):
            (action,) = self._rng.choices(choices, weights)
            action()
            self._fleet.run(self._rng.choice(_GAPS_MS))
        self._return()
        self._fleet.run(self._rng.choice(_GAPS_MS))
        self._end()
        return Outcome(
            seed=self._seed,
            events=tuple(self._events),
            faults=tuple(self._checker.faults + self._final_faults()),
            returns=self._platform.return_count,
        )

    def _note(self, event: str) -> None:
        self._events.append(f"{self._fleet.time.now_ms():.0f} {event}")

    def _publish(self) -> None:
        self._note(f"configuration {self._writers.publish_configuration()}")

    def _join(self) -> None:
        self._server_count += 1
        self._writers.join(f"s{self._server_count}")
        self._note(f"s{self._server_count} joins")

    def _server_in(self, *states: types.ServerState | None) -> str | None:
        names = [each.name for each in self._writers.servers.values() if each.state in states]
        return self._rng.choice(names) if names else None

    def _leave(self) -> None:
        name = self._server_in(types.ServerState.LIVE)
        if name is not None:
            self._writers.announce_leaving(name)
            self._note(f"{name} announces that it leaves")

    def _stay(self) -> None:
        name = self._server_in(types.ServerState.LEAVING)
        if name is not None:
            self._writers.announce_live(name)
            self._note(f"{name} stays")

    def _withdraw(self) -> None:
        name = self._server_in(types.ServerState.LIVE, types.ServerState.LEAVING)
        if name is not None:
            self._writers.withdraw(name)
            self._note(f"{name} is withdrawn")

    def _restart_server(self) -> None:
        name = self._server_in(None, types.ServerState.LIVE, types.ServerState.LEAVING)
        if name is not None:
            self._writers.join(name)
            self._note(f"{name} starts again")

    def _copy(self) -> None:
        self._copies = [*self._copies, self._platform.copy()][-_MAX_COPIES:]
        self._note(f"copy at {self._platform.revision}")

    def _return(self) -> None:
        if not self._returns:
            return
        index = self._rng.randrange(len(self._copies))
        copy = self._copies[index]
        # A copy that was made after this one is of a history that is lost.
        del self._copies[index + 1 :]
        away_ms = self._rng.choice((0.0, 100.0, 500.0))
        self._note(f"return from {copy.revision} after {away_ms:.0f} ms")
        self._platform.down = away_ms > 0
        self._fleet.run(away_ms)
        self._platform.come_back(copy)
        self._platform.down = False

    def _undisturbed(self) -> list[str]:
        """Return the hosts that may be disturbed while another reader goes on."""
        free = [name for name in self._fleet.hosts if self._checker.is_in_touch(name, 1e18)]
        free_readers = [name for name in readers(self._fleet) if name in free]
        return (
            [name for name in free if any(reader != name for reader in free_readers)]
            if len(free) > 1
            else []
        )

    def _choose_host(self) -> str | None:
        names = self._undisturbed()
        if not names:
            return None
        name = self._rng.choice(names)
        self._checker.begin_disturbance(name)
        return name

    def _pause(self) -> None:
        name = self._choose_host()
        if name is not None:
            self._fleet.hosts[name].paused = True
            self._note(f"{name} stands still")

    def _isolate(self) -> None:
        name = self._choose_host()
        if name is None:
            return
        cuts = self._fleet.channel.conditions.cuts
        for other in self._fleet.host_names():
            if other != name:
                cuts |= {(name, other), (other, name)}
        self._isolated.add(name)
        if self._rng.random() < 0.5:
            self._platform.unreachable.add(name)
        self._note(f"{name} is cut off, platform included: {name in self._platform.unreachable}")

    def _stop(self) -> None:
        name = self._choose_host()
        if name is not None:
            self._fleet.stop(name)
            self._stopped.add(name)
            self._note(f"{name} stops")

    def _restart(self) -> None:
        name = self._choose_host()
        if name is not None:
            self._fleet.stop(name)
            self._fleet.start(name)
            self._checker.end_disturbance(name)
            self._note(f"{name} restarts")

    def _recover(self) -> None:
        paused = {name for name, host in self._fleet.hosts.items() if host.paused}
        names = sorted(paused | self._isolated | self._stopped)
        if names:
            self._recover_host(self._rng.choice(names))

    def _recover_host(self, name: str) -> None:
        if name in self._stopped:
            self._stopped.discard(name)
            self._fleet.start(name)
        elif name in self._isolated:
            self._isolated.discard(name)
            self._platform.unreachable.discard(name)
            cuts = self._fleet.channel.conditions.cuts
            cuts -= {
                (first, second)
                for first, second in cuts
                if name in (first, second) and not {first, second} & self._isolated
            }
        else:
            self._fleet.hosts[name].paused = False
        self._checker.end_disturbance(name)
        self._note(f"{name} recovers")

    def _end(self) -> None:
        for name in self._fleet.host_names():
            paused = name in self._fleet.hosts and self._fleet.hosts[name].paused
            if paused or name in self._isolated or name in self._stopped:
                self._recover_host(name)
        self._fleet.channel.conditions.loss = 0.0
        self._fleet.run_until(lambda: not self._final_faults(), AGREEMENT_LIMIT_MS)

    def _final_faults(self) -> list[str]:
        expected = published(self._platform)
        faults = []
        for name, host in self._fleet.hosts.items():
            held = contents(host)
            if held != expected:
                differing = sorted(
                    record
                    for record in held.keys() | expected.keys()
                    if held.get(record) != expected.get(record)
                )
                faults.append(f"in the end {name} differs from the platform in {differing}")
            version = host.engine.records.configuration_version
            if version != self._writers.version:
                faults.append(f"in the end {name} has version {version}")
            live = {
                server
                for server, entry in entries(host).items()
                if entry.state is types.ServerState.LIVE
            }
            if live != self._writers.live():
                faults.append(f"in the end {name} has the live servers {sorted(live)}")
        return faults


def play(seed: int) -> Outcome:
    """Play the schedule of a seed."""
    return Schedule(seed=seed).play()


def play_bare(seed: int) -> Outcome:
    """Play the schedule of a seed with answers that state no generation."""
    return Schedule(seed=seed, states_generation=False).play()


def play_calm(seed: int) -> Outcome:
    """Play the schedule of a seed without the returns."""
    return Schedule(seed=seed, returns=False).play()


def main(argv: list[str]) -> int:
    """Play the schedules, print those with faults, and return whether there were any."""
    del argv
    function = {"returns": play, "bare": play_bare, "calm": play_calm}[_KIND.value]
    seeds = range(_START.value, _START.value + _SEEDS.value)
    failed = []
    return_count = 0
    with multiprocessing.Pool(_PROCESSES.value) as pool:
        for outcome in pool.imap_unordered(function, seeds):
            return_count += outcome.returns
            if outcome.faults:
                failed.append(outcome.seed)
                events = outcome.events if _EVENTS.value else ()
                print(f"seed {outcome.seed}:", *events, *outcome.faults, sep="\n  ", flush=True)
    print(f"{len(seeds)} schedules, {return_count} returns, {len(failed)} with faults")
    print("seeds with faults:", *sorted(failed))
    return bool(failed)


if __name__ == "__main__":
    sys.exit(app.run(main))
