"""Tests of a platform that comes back from an older copy of its records, in simulated time."""

import itertools
import os
import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from standins import spreading, store_returns, writers
from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import revisions, store, table, types
from verbenadrum.utils import clock

LIVE, LEAVING, LAPSED = (
    types.ServerState.LIVE,
    types.ServerState.LEAVING,
    types.ServerState.LAPSED,
)
IN_FORCE_MS = store_returns.IN_FORCE_LIMIT_MS
# Seeds of the schedules that run with the other tests; see `standins.store_returns` for more.
FIRST_SEED = int(os.environ.get("STORE_RETURNS_START", "1"))
SEED_COUNT = int(os.environ.get("STORE_RETURNS_SEEDS", "32"))


class Drill:
    """A fleet, its writers and a checker, whose platform can come back from a copy."""

    def __init__(self, seed, **sizes):
        sizes = {"data_centres": 1, "hosts": 4, **sizes}
        self.fleet, self.writers = store_returns.start_fleet(seed, **sizes)
        self.platform = self.fleet.platform
        self.hosts = self.fleet.hosts
        self.checker = store_returns.Checker(fleet=self.fleet, written=self.writers)
        self.run = self.fleet.run

    def lose(self, copy, away_ms=500.0):
        self.platform.down = away_ms > 0
        self.run(away_ms)
        self.platform.come_back(copy)
        self.platform.down = False

    def cut_off(self, *names, platform=False):
        cuts = self.fleet.channel.conditions.cuts
        for name in names:
            self.checker.begin_disturbance(name)
            cuts |= {(name, other) for other in self.fleet.host_names() if other != name}
            cuts |= {(other, name) for other in self.fleet.host_names() if other != name}
            if platform:
                self.platform.unreachable.add(name)

    def heal(self):
        self.fleet.channel.conditions.cuts.clear()
        self.platform.unreachable.clear()
        for name in self.fleet.host_names():
            self.checker.end_disturbance(name)

    def pause(self, *names):
        for name in names:
            self.checker.begin_disturbance(name)
            self.hosts[name].paused = True

    def resume(self, *names):
        for name in names:
            self.hosts[name].paused = False
            self.checker.end_disturbance(name)

    def restart(self, name):
        self.checker.begin_disturbance(name)
        self.fleet.stop(name)
        self.fleet.start(name)
        self.checker.end_disturbance(name)

    def versions(self):
        return {
            name: host.engine.records.configuration_version for name, host in self.hosts.items()
        }

    def states(self, server):
        found = [store_returns.entries(host).get(server) for host in self.hosts.values()]
        return {None if entry is None else entry.state for entry in found}

    def assert_versions(self, version):
        assert set(self.versions().values()) == {version}, self.versions()

    def assert_equal_to_the_platform(self):
        expected = store_returns.published(self.platform)
        for name, host in self.hosts.items():
            assert store_returns.contents(host) == expected, name
        assert self.checker.faults == []

    def assert_change_is_in_force(self):
        version = self.writers.publish_configuration()
        self.writers.join("joined-last")
        self.run(IN_FORCE_MS)
        self.assert_versions(version)
        assert self.states("joined-last") == {LIVE}


@pytest.mark.parametrize("away_ms", [0.0, 500.0])
@pytest.mark.parametrize("lost", [1, 3, 12])
def test_change_after_a_return_is_in_force_whatever_its_revision(lost, away_ms):
    drill = Drill(1)
    copy = drill.platform.copy()
    for _ in range(lost):
        drill.writers.publish_configuration()
    drill.run(1_000)
    drill.lose(copy, away_ms)
    drill.run(1_500)
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


def test_older_configuration_of_the_copy_replaces_none():
    drill = Drill(2)
    drill.writers.operator_rewrites = False
    copy = drill.platform.copy()
    for _ in range(2):
        drill.writers.publish_configuration()
    drill.run(1_000)
    drill.lose(copy)
    for _ in range(200):
        drill.run(50)
        drill.assert_versions(5)
    drill.assert_change_is_in_force()
    assert drill.checker.faults == []


def test_withdrawn_key_of_the_copy_does_not_work_again():
    drill = Drill(3)
    drill.writers.operator_rewrites = False
    copy = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.run(1_000)
    withdrawn = writers.key_hash(1)
    drill.lose(copy)
    drill.writers.publish_configuration()
    for _ in range(200):
        drill.run(50)
        for host in drill.hosts.values():
            assert host.engine.records.key_workspace(withdrawn) is None
            assert host.engine.records.key_workspace(writers.key_hash(4)) is not None
    drill.assert_versions(5)


def test_single_key_record_that_was_withdrawn_does_not_work_again():
    drill = Drill(4)
    sha256 = "a" * 64
    drill.platform.publish("key", "single", {"workspace": "w", "sha256": sha256})
    drill.run(1_000)
    copy = drill.platform.copy()
    drill.platform.publish("key", "single", None)
    drill.run(1_000)
    drill.lose(copy)
    drill.run(1_000)
    drill.platform.publish("key", "single", None)
    drill.run(IN_FORCE_MS)
    for host in drill.hosts.values():
        assert host.engine.records.key_workspace(sha256) is None


@pytest.mark.parametrize("withdrawn", [False, True])
def test_departed_server_of_the_copy_is_not_live_again(withdrawn):
    drill = Drill(5)
    copy = drill.platform.copy()
    drill.writers.announce_leaving("s1")
    drill.run(500)
    if withdrawn:
        drill.writers.withdraw("s1")
        drill.run(4_000)
    drill.lose(copy)
    for _ in range(200):
        drill.run(25)
        assert LIVE not in drill.states("s1")
    assert drill.states("s1") == ({None} if withdrawn else {LEAVING})
    assert drill.states("s2") == {LIVE}
    assert drill.checker.faults == []


def test_departed_server_that_starts_again_after_a_return_is_live():
    drill = Drill(6)
    copy = drill.platform.copy()
    drill.writers.withdraw("s1")
    drill.run(3_000)
    drill.lose(copy)
    drill.run(500)
    drill.writers.join("s1")
    drill.run(IN_FORCE_MS)
    assert drill.states("s1") == {LIVE}
    assert drill.checker.faults == []


def test_living_server_that_the_copy_lacks_stays_in_its_pool():
    drill = Drill(7)
    copy = drill.platform.copy()
    drill.writers.join("s4")
    drill.run(1_000)
    drill.lose(copy)
    drill.writers.servers["s4"].rewrite_ms = drill.fleet.time.now_ms() + 1_400
    for _ in range(200):
        drill.run(25)
        assert None not in drill.states("s4")
    assert drill.states("s4") == {LIVE}
    assert drill.checker.faults == []


def test_server_that_the_copy_lacks_and_that_is_gone_leaves_its_pool():
    drill = Drill(8)
    copy = drill.platform.copy()
    drill.writers.join("s4")
    drill.run(1_000)
    # It has ended without a word.
    drill.writers.servers["s4"].state = None
    drill.lose(copy)
    drill.run(store_returns.POOL_LIMIT_MS)
    assert drill.states("s4") == {None}
    assert drill.states("s1") == {LIVE}


@pytest.mark.parametrize("seed", range(4))
def test_host_that_starts_after_a_return_and_lists_the_copy_gets_what_it_lacks(seed):
    drill = Drill(seed)
    drill.writers.operator_rewrites = False
    copy = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.writers.announce_leaving("s1")
    drill.run(1_000)
    drill.fleet.stop("h0001")
    drill.lose(copy)
    drill.cut_off("h0001")
    drill.fleet.start("h0001")
    drill.run(9_500)
    assert drill.versions()["h0001"] == 3
    drill.heal()
    drill.run(5_000)
    drill.assert_versions(4)
    assert drill.states("s1") == {LEAVING}
    drill.assert_change_is_in_force()
    drill.run(2_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("platform", [False, True])
def test_hosts_that_are_cut_off_through_a_return_end_equal(platform):
    drill = Drill(9)
    drill.cut_off("h0001", "h1002", platform=platform)
    copy = drill.platform.copy()
    for _ in range(4):
        drill.writers.publish_configuration()
    drill.writers.join("s4")
    drill.writers.withdraw("s2")
    drill.run(3_000)
    drill.lose(copy)
    drill.writers.join("s5")
    drill.run(4_000)
    drill.heal()
    drill.run(6_000)
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


def test_hosts_that_stand_still_with_greater_counters_of_the_older_generation_end_equal():
    drill = Drill(10)
    copy = drill.platform.copy()
    for _ in range(30):
        drill.writers.publish_configuration()
    drill.run(1_000)
    drill.pause("h0000", "h1001")
    drill.lose(copy)
    drill.writers.join("s4")
    drill.run(IN_FORCE_MS)
    drill.resume("h0000", "h1001")
    drill.run(5_000)
    assert drill.states("s4") == {LIVE}
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gap_ms", [0.0, 300.0, 3_000.0])
def test_two_returns_in_series(seed, gap_ms):
    drill = Drill(seed)
    first = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.writers.join("s4")
    second = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.writers.announce_leaving("s1")
    drill.run(1_000)
    drill.lose(second)
    drill.run(gap_ms)
    drill.writers.join("s5")
    drill.run(50)
    drill.lose(first)
    drill.run(2_000)
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()
    assert drill.states("s1") == {LEAVING}


@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_restart_through_a_return_end_equal(seed):
    drill = Drill(seed)
    copy = drill.platform.copy()
    for _ in range(3):
        drill.writers.publish_configuration()
    drill.writers.withdraw("s1")
    drill.run(1_000)
    drill.restart("h0000")
    drill.run(100)
    drill.lose(copy, 300.0)
    drill.restart("h1001")
    drill.run(50)
    drill.restart("h0002")
    drill.run(10_000)
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("delay_ms", [10.0, 100.0, 400.0])
def test_reader_that_dies_while_it_learns_of_a_return(delay_ms):
    drill = Drill(11, regions=1, hosts=8)
    copy = drill.platform.copy()
    for _ in range(3):
        drill.writers.publish_configuration()
    drill.run(1_000)
    drill.lose(copy, 0.0)
    drill.writers.join("s4")
    drill.run(delay_ms)
    dead = store_returns.readers(drill.fleet)[0]
    drill.checker.begin_disturbance(dead)
    drill.fleet.stop(dead)
    drill.run(IN_FORCE_MS)
    assert drill.states("s4") == {LIVE}
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


def test_readers_that_held_different_rows_end_equal():
    drill = Drill(12, regions=1, hosts=6)
    drill.writers.operator_rewrites = False
    first, second = store_returns.readers(drill.fleet)[:2]
    drill.cut_off(first, second)
    for name in drill.fleet.host_names():
        if name not in (first, second):
            drill.checker.begin_disturbance(name)
            drill.platform.unreachable.add(name)
    copy = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.run(500)
    drill.platform.unreachable.add(second)
    drill.writers.publish_configuration()
    drill.writers.announce_leaving("s1")
    drill.run(500)
    drill.platform.unreachable -= {second}
    drill.lose(copy)
    drill.run(2_000)
    assert {drill.versions()[first], drill.versions()[second]} == {4, 5}
    drill.heal()
    drill.run(5_000)
    drill.assert_versions(5)
    assert drill.states("s1") == {LEAVING}
    assert drill.checker.faults == []
    drill.assert_change_is_in_force()
    drill.run(2_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("delay_ms", [5.0, 20.0, 60.0])
def test_listing_in_pages_that_a_return_interrupts(delay_ms):
    drill = Drill(13)
    drill.platform.page_size = 1
    first = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.writers.join("s4")
    second = drill.platform.copy()
    for _ in range(3):
        drill.writers.publish_configuration()
    drill.run(1_000)
    drill.lose(second, 0.0)
    drill.writers.join("s5")
    drill.run(delay_ms)
    drill.lose(first, 0.0)
    drill.run(1_500)
    drill.assert_change_is_in_force()
    drill.run(10_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_kept_for_good_after_a_return(seed):
    drill = Drill(seed, hosts=2)
    copy = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.writers.join("s4")
    drill.writers.withdraw("s1")
    drill.writers.announce_leaving("s2")
    drill.run(1_000)
    drill.lose(copy)
    drill.run(1_000)
    drill.writers.withdraw("s3")
    drill.run(11_000)
    for server in ("s2", "s4"):
        drill.writers.withdraw(server)
    drill.run(630_000)
    expected = set(drill.platform.listing())
    for host in drill.hosts.values():
        held = [msgspec.json.decode(raw) for _, raw in host.engine.store.envelopes_after(0)]
        assert {(each["kind"], each["name"]) for each in held} == expected
        assert len(host.engine.store) == len(expected)
        assert {row.name for row in host.engine.records.rows()} == {name for _, name in expected}
    drill.assert_equal_to_the_platform()


def test_calls_at_a_return_do_not_grow_with_the_hosts():
    calls = []
    for hosts in (12, 48):
        drill = Drill(14, hosts=hosts)
        copy = drill.platform.copy()
        drill.writers.publish_configuration()
        drill.run(1_000)
        before = drill.platform.calls
        drill.lose(copy)
        drill.run(10_000)
        calls.append(drill.platform.calls - before)
    assert calls[1] <= 1.2 * calls[0], calls


@pytest.mark.parametrize("block", range(4))
def test_random_schedules_of_returns(block):
    for seed in range(FIRST_SEED + block, FIRST_SEED + SEED_COUNT, 4):
        outcome = store_returns.play(seed)
        assert outcome.faults == (), "\n".join([f"seed {seed}", *outcome.events])


def test_random_schedules_without_returns():
    for seed in range(FIRST_SEED, FIRST_SEED + 5):
        assert store_returns.play_calm(seed).faults == (), f"seed {seed}"


def test_departed_server_is_not_live_again_at_a_host_that_lacks_its_second_withdrawal():
    """The host catches up from one that has started with a listing."""
    drill = Drill(15, regions=1)
    copy = drill.platform.copy()
    drill.writers.withdraw("s1")
    drill.run(3_000)
    drill.cut_off("h0000")
    drill.lose(copy, 0.0)
    drill.fleet.step()
    drill.writers.servers["s1"].rewrite_ms = None
    drill.writers.join("s4")
    drill.run(1_000)
    drill.platform.unreachable.add("h0000")
    drill.writers.withdraw("s1")
    drill.run(12_000)
    drill.fleet.stop("h0001")
    drill.cut_off("h0001")
    drill.fleet.start("h0001")
    drill.run(9_000)
    drill.platform.unreachable.clear()
    drill.fleet.channel.conditions.cuts -= {("h0000", "h0001"), ("h0001", "h0000")}
    for _ in range(100):
        drill.run(20)
        assert LIVE not in drill.states("s1")
    drill.heal()
    drill.run(6_000)
    assert drill.states("s1") == {None}
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("seed", range(3))
def test_departed_server_is_not_live_again_at_a_host_that_stood_still(seed):
    """What its peers sent meanwhile comes first, as old as it is."""
    drill = Drill(seed, regions=1)
    copy = drill.platform.copy()
    drill.writers.withdraw("s1")
    drill.run(3_000)
    drill.cut_off("h0000")
    drill.lose(copy, 0.0)
    drill.fleet.step()
    drill.writers.servers["s1"].rewrite_ms = None
    drill.writers.join("s4")
    drill.run(1_000)
    drill.heal()
    drill.run(5)
    drill.pause("h0000")
    drill.run(1_000)
    drill.writers.withdraw("s1")
    drill.run(12_000)
    drill.resume("h0000")
    for _ in range(400):
        drill.fleet.step()
        assert LIVE not in drill.states("s1")
    drill.run(6_000)
    drill.assert_equal_to_the_platform()


@pytest.mark.parametrize("seed", [279, 304, 3016])
def test_departed_server_that_a_schedule_brought_back_is_not_live_again(seed):
    assert store_returns.play(seed).faults == ()


@pytest.mark.parametrize("seed", [28, 87])
def test_departed_server_that_a_calm_schedule_left_at_a_lagging_host_is_gone(seed):
    assert store_returns.play_calm(seed).faults == ()


# Contents of a record whose writers' orders only rise, in any order of arrival.

SERVER_SPEC = {"service": writers.SERVICE, "address": "127.0.0.1:1"}
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=300)


def configuration_envelope(version, revision):
    spec = {
        "version": version,
        "routes": [{"name": f"r{version}", "spec": {"path_prefix": f"/{version}", "service": "s"}}],
    }
    return spreading.envelope_of(
        "configuration", "configuration", revision, spec, order=(version, 0)
    )


def server_envelope(start, sequence, state, revision):
    spec = {**SERVER_SPEC, "state": state.value, "slots": sequence, "started_wall_ms": float(start)}
    return spreading.envelope_of("server", "s1", revision, spec, order=(start, sequence))


def withdrawal_envelope(start, sequence, revision):
    """Return a withdrawal as a host that held the server sends it."""
    return spreading.envelope_of("server", "s1", revision, None, order=(start, sequence))


@strategies.composite
def histories(draw):
    """Return the envelopes of one record in all generations, each list as the store gave it.

    A generation begins with what its copy held, and its writer only goes on.
    """
    kind = draw(strategies.sampled_from(["configuration", "server"]))
    generation_count = draw(strategies.integers(1, 3))
    start, sequence = 1, 0
    envelopes, place = [], None
    for generation in range(generation_count):
        counter = draw(strategies.integers(1, 3))
        if place is not None:
            # The copy holds any of the writer's contents up to the present one.
            copied = draw(strategies.sampled_from(place))
            envelopes.append(copied(revisions.join(generation, counter)))
        for _ in range(draw(strategies.integers(0 if envelopes else 1, 3))):
            counter += draw(strategies.integers(1, 3))
            if kind == "configuration":
                sequence += 1
                made = _maker(configuration_envelope, sequence)
            elif place and not place_of(place[-1](1))[1] and draw(strategies.booleans()):
                made = _maker(withdrawal_envelope, start, sequence)
            else:
                gone = bool(place) and place_of(place[-1](1))[1]
                starts_again = gone or draw(strategies.booleans())
                start, sequence = (start + 1, 1) if starts_again else (start, sequence + 1)
                made = _maker(
                    server_envelope, start, sequence, draw(strategies.sampled_from([LIVE, LEAVING]))
                )
            place = [*(place or []), made]
            envelopes.append(made(revisions.join(generation, counter)))
    return envelopes


def _maker(function, *fields):
    return lambda revision: function(*fields, revision)


def place_of(raw):
    document = msgspec.json.decode(raw)
    return tuple(document["order"]), document["spec"] is None


def make_store():
    time = clock.SteppedClock()
    made = context.Context(
        host=ids.HostId("h1"),
        data_centre=ids.DataCentreId("dc1"),
        region=ids.RegionId("r1"),
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda receiver, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms, size=16),
    )
    records = table.RecordTable()
    return store.RecordStore(context=made, records=records), records


def result_of(envelopes):
    held, records = make_store()
    for raw in envelopes:
        held.offer(raw)
    contents = sorted(
        (document["kind"], document["name"], document["revision"], str(document["spec"]))
        for document in (msgspec.json.decode(raw) for _, raw in held.envelopes_after(0))
    )
    in_force = [(row.name, row.revision, row.spec) for row in records.rows()]
    return contents, in_force, records.configuration_version


@_SETTINGS
@hypothesis.given(data=strategies.data())
def test_contents_do_not_depend_on_the_order_of_arrival(data):
    envelopes = data.draw(histories())
    shuffled = data.draw(strategies.permutations(envelopes))
    repeated = data.draw(strategies.lists(strategies.sampled_from(envelopes), max_size=3))
    assert result_of([*shuffled, *repeated]) == result_of(envelopes)


@_SETTINGS
@hypothesis.given(history=histories())
def test_content_that_is_last_in_its_writers_order_is_in_force(history):
    newest_place = max(map(place_of, history))
    newest = max(msgspec.json.decode(raw)["revision"] for raw in history)
    for arrival in itertools.islice(itertools.permutations(history), 24):
        held, _ = make_store()
        for raw in arrival:
            held.offer(raw)
        ((revision, raw),) = held.envelopes_after(0)
        assert place_of(raw) == newest_place
        assert revision == newest
