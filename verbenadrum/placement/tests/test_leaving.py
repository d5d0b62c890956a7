"""Tests that a host which has heard from a backend server that it is leaving sends it nothing."""

import msgspec
import pytest

from standins import stepped_fleet
from verbenadrum.core import ports
from verbenadrum.engine import behaviours
from verbenadrum.placement import signals
from verbenadrum.records import types
from verbenadrum.utils import clock

assert behaviours

LEAVING = "s1"
STARTED_WALL_MS = 1_000.0
_ANSWERS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR)


class LeavingFleet:
    """Fleet in which one server says in its answers, but not to probes, that it is leaving.

    ``broken`` lists the times and hosts of requests that a host sent to it after it had heard so.
    """

    def __init__(self, *, started_wall_ms=STARTED_WALL_MS, **fields):
        rows = stepped_fleet.two_regions(4)[:8]
        servers = {f"s{index}": "r1a" for index in range(6)}
        self.fleet = stepped_fleet.Fleet(hosts=rows, servers=servers, **fields)
        self.publish(started_wall_ms=started_wall_ms)
        self.heard = set()
        self.broken = []
        self._dispatch = self.fleet.dispatch
        self._end_attempt = self.fleet.end_attempt
        self.fleet.dispatch = self.dispatch
        self.fleet.end_attempt = self.end_attempt
        self.fleet.load(workspace="w", per_s=200.0, path=lambda: f"/{self.fleet.rng.random()}")
        self.fleet.run(3_000.0)
        server = self.fleet.servers[LEAVING]
        server.draining = True
        server.hides_draining_from_probes = True

    def publish(self, *, started_wall_ms, without=()):
        entries = tuple(
            msgspec.structs.replace(entry, started_wall_ms=started_wall_ms)
            for entry in self.fleet.entries
        )
        all_entries = self.fleet.entries
        self.fleet.publish(tuple(entry for entry in entries if entry.server not in without))
        self.fleet.entries = all_entries

    def dispatch(self, sink, order):
        host = sink.host.row.host
        if order.server == LEAVING and host in self.heard:
            self.broken.append((self.fleet.clock.now_ms(), host))
        self._dispatch(sink, order)

    def end_attempt(self, attempt, kind):
        if attempt.server.name == LEAVING and attempt.server.draining and kind in _ANSWERS:
            self.heard.add(attempt.sink.host.row.host)
        self._end_attempt(attempt, kind)

    def restart_hosts_in_turn(self):
        for name in sorted(self.fleet.hosts):
            self.fleet.run(2_000.0)
            self.fleet.fail_host(name)
            self.fleet.run(2_000.0)
            self.heard.discard(name)
            self.fleet.restart_host(name)


def test_leaving_server_gets_nothing_although_probes_pass_and_time_goes_by():
    leaving = LeavingFleet(seed=1)
    leaving.fleet.run(60_000.0)
    assert leaving.heard
    assert leaving.broken == []


@pytest.mark.parametrize("seed", range(3))
def test_leaving_server_gets_nothing_from_hosts_that_heard_it_while_homes_change(seed):
    leaving = LeavingFleet(seed=seed)
    leaving.restart_hosts_in_turn()
    assert leaving.heard
    assert leaving.broken == []


def test_leaving_server_gets_nothing_after_its_record_lapsed_and_came_back():
    leaving = LeavingFleet(seed=4)
    leaving.fleet.run(3_000.0)
    for _ in range(3):
        leaving.publish(started_wall_ms=STARTED_WALL_MS, without=(LEAVING,))
        leaving.fleet.run(1_000.0)
        leaving.publish(started_wall_ms=STARTED_WALL_MS)
        leaving.fleet.run(5_000.0)
    assert leaving.heard
    assert leaving.broken == []


def test_leaving_server_gets_nothing_from_hosts_that_reach_no_home():
    leaving = LeavingFleet(seed=5)
    leaving.fleet.run(3_000.0)
    names = list(leaving.fleet.hosts)
    leaving.fleet.cut.update((one, other) for one in names for other in names if one != other)
    leaving.fleet.run(40_000.0)
    assert leaving.heard
    assert leaving.broken == []


def test_signals_in_force_tell_since_when_and_from_whose_answer():
    time = clock.SteppedClock()
    said = signals.ServerSignals(now_ms=time.now_ms, host="h1")
    entries = [
        types.ServerEntry(server=name, address="127.0.0.1:1", started_wall_ms=1.0)
        for name in ("a", "b", "c", "d")
    ]
    said.record_leaving("a", 1.0, heard_from="h2")
    said.record_limit("b", 1.0, 4.0)
    said.record_rest("c", 1.0, 2_000.0)
    time.advance(1_500.0)
    # Words that are heard again are no news.
    said.record_leaving("a", 1.0)
    said.record_limit("b", 1.0, 4.0, heard_from="h3")
    time.advance(100.0)
    found = [
        (each.server, each.signal, each.for_ms, each.heard_from, each.limit_per_s, each.left_ms)
        for each in said.in_force(entries)
    ]
    assert found == [
        ("a", "leaving", 1_600.0, "h2", 0.0, 0.0),
        ("b", "limit", 1_600.0, "h1", 4.0, 0.0),
        ("c", "rest", 1_600.0, "h1", 0.0, 400.0),
    ]
    said.record_limit("b", 1.0, float("inf"))
    time.advance(400.0)
    assert [each.server for each in said.in_force(entries)] == ["a"]


# The time of day of a server may have gone back before it started again.
@pytest.mark.parametrize("later_ms", [1.0, -1.0])
def test_new_process_of_a_server_that_left_gets_requests(later_ms):
    leaving = LeavingFleet(seed=6)
    leaving.fleet.run(5_000.0)
    server = leaving.fleet.servers[LEAVING]
    server.draining = False
    leaving.publish(started_wall_ms=STARTED_WALL_MS + later_ms)
    before = server.received
    leaving.fleet.run(3_000.0)
    assert server.received > before


@pytest.mark.parametrize("later_ms", [1.0, -1.0])
def test_second_process_that_says_that_it_is_leaving_gets_nothing_more(later_ms):
    leaving = LeavingFleet(seed=8)
    leaving.fleet.run(5_000.0)
    server = leaving.fleet.servers[LEAVING]
    server.draining = False
    leaving.heard.clear()
    leaving.publish(started_wall_ms=STARTED_WALL_MS + later_ms)
    leaving.fleet.run(5_000.0)
    assert leaving.heard == set()
    server.draining = True
    leaving.fleet.run(20_000.0)
    assert leaving.heard
    assert leaving.broken == []


def said_by(word, said, started_wall_ms):
    """Let a process say that it is leaving, name a limit, or ask for a rest."""
    if word == "leaving":
        said.record_leaving("a", started_wall_ms)
    elif word == "limit":
        said.record_limit("a", started_wall_ms, 4.0)
    else:
        said.record_rest("a", started_wall_ms, 60_000.0)


def signals_of(said, started_wall_ms):
    entry = types.ServerEntry(server="a", address="127.0.0.1:1", started_wall_ms=started_wall_ms)
    return [each.signal for each in said.in_force([entry])]


WORDS = ["leaving", "limit", "rest"]


@pytest.mark.parametrize("word", WORDS)
@pytest.mark.parametrize("later_ms", [1.0, -1.0])
def test_word_of_a_process_does_not_bind_the_next_one_under_its_name(word, later_ms):
    said = signals.ServerSignals(now_ms=clock.SteppedClock().now_ms)
    said_by(word, said, STARTED_WALL_MS)
    assert signals_of(said, STARTED_WALL_MS) == [word]
    assert signals_of(said, STARTED_WALL_MS + later_ms) == []
    said_by(word, said, STARTED_WALL_MS + later_ms)
    assert signals_of(said, STARTED_WALL_MS + later_ms) == [word]


@pytest.mark.parametrize("word", WORDS)
@pytest.mark.parametrize("later_ms", [1.0, -1.0])
def test_late_word_of_the_process_before_leaves_that_of_the_present_one(word, later_ms):
    said = signals.ServerSignals(now_ms=clock.SteppedClock().now_ms)
    said_by(word, said, STARTED_WALL_MS + later_ms)
    said_by(word, said, STARTED_WALL_MS)
    assert signals_of(said, STARTED_WALL_MS + later_ms) == [word]


def test_word_that_is_ahead_of_the_record_holds_until_the_record_has_followed():
    time = clock.SteppedClock()
    said = signals.ServerSignals(now_ms=time.now_ms)
    said.record_leaving("a", STARTED_WALL_MS + 1.0, heard_from="h2")
    time.advance(5_000.0)
    assert signals_of(said, STARTED_WALL_MS) == ["leaving"]
    assert signals_of(said, STARTED_WALL_MS + 1.0) == ["leaving"]
    assert signals_of(said, STARTED_WALL_MS) == []


def test_server_without_a_start_time_returns_by_a_probe():
    leaving = LeavingFleet(seed=7, started_wall_ms=0.0)
    leaving.fleet.run(2_000.0)
    server = leaving.fleet.servers[LEAVING]
    server.draining = False
    before = server.received
    leaving.fleet.run(15_000.0)
    assert server.received > before


def test_probe_that_was_sent_before_a_server_said_that_it_leaves_tells_nothing_of_it():
    """The answer to the probe may be handled late, after that of a request."""
    fleet = stepped_fleet.Fleet(hosts=stepped_fleet.two_regions(1)[:1], servers={LEAVING: "r1a"})
    (host,) = fleet.hosts.values()
    orders = []
    fleet._probe = lambda host, order: orders.append(order)
    fleet.load(workspace="w", per_s=5.0, path=lambda: "/")
    fleet.run(1_000.0)
    fleet.servers[LEAVING].draining = True
    while not orders:
        fleet.run(50.0)
    fleet.run(50.0)
    host.placer._signals.record_leaving(LEAVING, 0.0)
    passed = ports.Outcome(kind=ports.OutcomeKind.OK, latency_ms=60.0, bytes_sent=True)
    host.placer.record_probe(orders.pop(), passed)
    assert [each.signal for each in host.placer.server_signals()] == ["leaving"]
    while not orders:
        fleet.run(50.0)
    host.placer.record_probe(orders.pop(), passed)
    assert host.placer.server_signals() == ()


def test_grant_on_a_server_that_only_the_entry_host_knows_to_leave_keeps_the_home():
    rows = stepped_fleet.two_regions(4)[:8]
    fleet = stepped_fleet.Fleet(hosts=rows, servers={f"s{index}": "r1a" for index in range(6)})
    passed_over = []
    fleet.decision_listeners.append(
        lambda decision: decision.choice == "passed-over" and passed_over.append(decision)
    )
    fleet.load(workspace="w", per_s=100.0, path=lambda: f"/{fleet.rng.random()}")
    fleet.run(2_000.0)
    acting = {name for name, host in fleet.hosts.items() if host.placer.homes}
    pool = fleet.hosts["r1a-h0"].records.pool(stepped_fleet.SERVICE)
    leaving = types.ServerState.LEAVING
    entries = tuple(
        msgspec.structs.replace(entry, state=leaving if entry.server == LEAVING else entry.state)
        for entry in pool.servers
    )
    spec = msgspec.structs.replace(pool, servers=entries)
    for name, host in fleet.hosts.items():
        if name not in acting:
            host.records.put(
                types.Record(
                    kind=types.RecordKind.POOL, name=stepped_fleet.SERVICE, revision=99, spec=spec
                )
            )
    fleet.run(3_000.0)
    assert passed_over == []
    assert all(log.ok for log in fleet.logs if log.ended_ms < float("inf"))
