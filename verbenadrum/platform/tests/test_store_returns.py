"""Tests of a store that comes back from an older copy, and gives out revisions again."""

import copy
import hashlib
import random

import pytest

from standins import canned
from verbenadrum.core import context
from verbenadrum.daemon import platform_reader, sources
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import behaviours, engine
from verbenadrum.platform.tests import test_store, test_wire
from verbenadrum.records import envelope, revisions, types
from verbenadrum.utils import clock

assert behaviours  # Importing it registers the implementations that are chosen by name.

CHOICES = engine.Choices(
    limits="metered", claims="none", epochs="counted", health="belief", host_list="seeded"
)
LOST_WRITES = 20


class ReturningStore(test_store.FakeStore):
    """Store that drops what was written since a copy; a watch from later than that gets 410."""

    def __init__(self, generation=0):
        super().__init__()
        self.generation = generation
        self.headers = header(generation)

    def copy(self):
        return copy.deepcopy((self.rows, self.revision, self.events))

    def come_back(self, copied):
        self.rows, self.revision, self.events = copy.deepcopy(copied)
        self.generation += 1
        self.headers = header(self.generation)

    def kv_watch(self, query):
        if int(query["after"]) > self.revision:
            return 410, {}
        return super().kv_watch(query)


def header(generation):
    return (("Store-Era", str(generation)),)


def make_engine(time=None):
    time = time or clock.SteppedClock()
    made = context.Context(
        host="h1",
        data_centre="d1",
        region="r1",
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    return engine.Engine(context=made, choices=CHOICES, address="127.0.0.1:1")


def read(store, core, polls=3):
    """Read changes until the engine has all of them."""
    for _ in range(polls):
        order = core.platform_read_plan().records
        core.on_platform_records(test_store.poll(store, order.after if order else 0))


# Guards against hosts that keep an older configuration for good, and send requests to servers that
# have left: they took the store's counter for one that only rises.
@pytest.mark.parametrize("returns", [False, True])
def test_what_is_written_after_a_return_from_an_older_copy_is_in_force(returns):
    store = ReturningStore()
    core = make_engine()
    store.put("servers/i-1", test_wire.SERVER)
    copied = store.copy()
    for _ in range(LOST_WRITES):
        store.put("servers/i-1", test_wire.SERVER)
    store.put("op/config", test_wire.CONFIGURATION)
    read(store, core)
    before = set(core.records.pools())
    if returns:
        store.come_back(copied)
    read(store, core)
    changed = copy.deepcopy(test_wire.CONFIGURATION)
    changed["routes"][0]["hostname"] = "changed.example"
    store.put("op/config", changed)
    for _ in range(2 * LOST_WRITES):
        store.put("servers/i-1", test_wire.SERVER)
    read(store, core)
    assert before
    prefix = changed["routes"][0]["prefix"]
    assert core.records.route("changed.example", f"{prefix}x") is not None


@pytest.fixture
def returning_store():
    store = ReturningStore(3)
    for index in range(5):
        store.put(f"servers/i-{index}", test_wire.SERVER)
    return store


def revisions_of(answer):
    return [envelope.revision_of(raw) for raw in answer.envelopes]


def lines(caplog, message):
    return [record for record in caplog.records if record.message == message]


def test_revisions_of_all_records_hold_the_generation(returning_store):
    listed = test_store.poll(returning_store, 0)
    returning_store.put("servers/i-0", test_wire.SERVER)
    watched = test_store.poll(returning_store, listed.revision)
    assert revisions_of(listed) == [revisions.join(3, counter) for counter in range(5, 11)]
    assert listed.revision == revisions.join(3, 10)
    assert revisions_of(watched) == [watched.revision] == [revisions.join(3, 11)]
    assert not watched.full_listing


@pytest.mark.parametrize("answers_before", [1, 2, 3])
def test_return_during_a_listing_begins_it_again(returning_store, answers_before):
    copied = returning_store.copy()
    returning_store.put("servers/i-5", test_wire.SERVER)
    returning_store.put("servers/i-lost", test_wire.SERVER)
    answer_path = returning_store.answer

    def answer(path):
        if len(returning_store.calls) == answers_before:
            returning_store.come_back(copied)
        return answer_path(path)

    returning_store.answer = answer
    listed = test_store.poll(returning_store, 0)
    assert revisions_of(listed) == [revisions.join(4, counter) for counter in range(5, 11)]
    assert listed.revision == revisions.join(4, 10)


def test_store_that_returns_during_each_listing_is_unusable(returning_store):
    copied = returning_store.copy()
    answer_key = returning_store.kv_key

    def come_back_and_answer(query):
        returning_store.come_back(copied)
        return answer_key(query)

    returning_store.kv_key = come_back_and_answer
    with pytest.raises(sources.SourceError, match="changed during"):
        test_store.poll(returning_store, 0)
    assert 2 <= returning_store.calls.count("kv-key") <= 5


@pytest.mark.parametrize("writes_after", [0, 50])
def test_long_poll_that_answers_across_a_return_is_discarded(returning_store, writes_after):
    copied = returning_store.copy()
    returning_store.put("servers/i-lost", test_wire.SERVER)
    after = revisions.join(3, returning_store.revision)
    watch = returning_store.kv_watch

    def come_back_and_answer(query):
        returning_store.come_back(copied)
        for _ in range(writes_after):
            returning_store.put("servers/i-1", test_wire.SERVER)
        return watch(query)

    returning_store.kv_watch = come_back_and_answer
    listed = test_store.poll(returning_store, after)
    assert (listed.full_listing, listed.after) == (True, 0)
    assert listed.revision == revisions.join(4, 10 + writes_after)
    assert "i-lost" not in test_store.names(listed)


# Guards against changes that are missed: those up to the old counter were never read.
@pytest.mark.parametrize("writes", [3, 10, 200])
def test_counter_that_has_passed_the_old_one_by_the_next_watch_leads_to_a_listing(
    returning_store, writes
):
    copied = returning_store.copy()
    for _ in range(10):
        returning_store.put("servers/i-lost", test_wire.SERVER)
    after = revisions.join(3, returning_store.revision)
    returning_store.come_back(copied)
    for index in range(writes):
        returning_store.put(f"servers/new-{index}", test_wire.SERVER)
    listed = test_store.poll(returning_store, after)
    assert (listed.full_listing, listed.after) == (True, 0)
    assert listed.revision == revisions.join(4, 10 + writes)
    assert "new-0" in test_store.names(listed)


def test_watch_refused_by_a_new_generation_leads_to_a_listing(returning_store, caplog):
    caplog.set_level("INFO")
    copied = returning_store.copy()
    returning_store.put("servers/i-lost", test_wire.SERVER)
    after = revisions.join(3, returning_store.revision)
    returning_store.come_back(copied)
    assert test_store.poll(returning_store, after).revision == revisions.join(4, 10)
    assert not lines(caplog, "the store's history was dropped")


def test_generation_known_from_peers_is_listed_without_a_watch(returning_store):
    after = revisions.join(3, returning_store.revision)
    returning_store.come_back(returning_store.copy())
    known = revisions.join(4, 2)
    listed = test_store.poll(returning_store, after, known_revision=known)
    assert listed.full_listing
    assert "kv-watch" not in returning_store.calls


def test_answer_without_header_counts_as_the_generation_known(returning_store):
    source = test_store.make_source()
    test_store.poll(returning_store, 0, source)
    returning_store.headers = ()
    returning_store.put("servers/i-0", test_wire.SERVER)
    after = revisions.join(3, 10)
    for each in (source, None):
        watched = test_store.poll(returning_store, after, each)
        assert (watched.full_listing, watched.revision) == (False, revisions.join(3, 11))
    assert test_store.poll(returning_store, 0, source).revision == revisions.join(3, 11)
    listed = test_store.poll(returning_store, 0, known_revision=revisions.join(5, 1))
    assert listed.revision == revisions.join(5, 11)


def test_watch_without_header_in_a_newer_known_generation_leads_to_a_listing(returning_store):
    source = test_store.make_source()
    returning_store.come_back(returning_store.copy())
    test_store.poll(returning_store, 0, source)
    returning_store.headers = ()
    listed = test_store.poll(returning_store, revisions.join(3, 10), source)
    assert (listed.full_listing, listed.revision) == (True, revisions.join(4, 10))


@pytest.mark.parametrize(
    "headers",
    [
        *((("Store-Era", text),) for text in ("", "x", "-1", "+4", "3.0", "4 4", "0x4", "\xb2")),
        header(revisions.MAX_GENERATION + 1),
        (("Store-Era", "9" * 5_000),),
        (*header(4), *header(4)),
        (*header(3), *header(4)),
    ],
)
@pytest.mark.parametrize("after", [0, revisions.join(3, 9)])
def test_answer_with_a_malformed_header_is_unusable(returning_store, headers, after):
    returning_store.headers = headers
    with pytest.raises(sources.SourceError, match="Store-Era") as caught:
        test_store.poll(returning_store, after)
    assert len(caught.value.message) < 300


@pytest.mark.parametrize("generation", [0, 1, revisions.MAX_GENERATION])
def test_whole_numbers_in_range_are_generations(returning_store, generation):
    returning_store.headers = header(generation)
    assert test_store.poll(returning_store, 0).revision == revisions.join(generation, 10)


def test_two_returns_in_series_are_each_listed_and_logged_once(returning_store, caplog):
    caplog.set_level("INFO")
    source = test_store.make_source()
    copied = returning_store.copy()
    answer = test_store.poll(returning_store, 0, source)
    held = [answer.revision]
    for _ in range(2):
        returning_store.put("servers/i-lost", test_wire.SERVER)
        returning_store.come_back(copied)
        for _ in range(3):
            answer = test_store.poll(returning_store, held[-1], source)
            held.append(answer.revision)
    assert held == [revisions.join(generation, 10) for generation in (3, 4, 4, 4, 5, 5, 5)]
    met = lines(caplog, "the store has a new generation")
    assert [(record.old, record.new) for record in met] == [(3, 4), (4, 5)]


def test_first_generation_met_is_no_new_one(returning_store, caplog):
    caplog.set_level("INFO")
    test_store.poll(returning_store, 0)
    test_store.poll(returning_store, revisions.join(3, 9))
    assert not caplog.records


def test_generation_that_goes_back_is_unusable_and_logged_once(returning_store, caplog):
    source = test_store.make_source()
    after = revisions.join(3, 9)
    returning_store.headers = header(2)
    for order_after in (after, after, 0):
        with pytest.raises(sources.SourceError, match="generation 2 .* older than 3"):
            test_store.poll(returning_store, order_after, source, known_revision=after)
    returning_store.headers = header(3)
    assert test_store.poll(returning_store, after, source).revision == revisions.join(3, 10)
    assert len(lines(caplog, "the store's generation went back")) == 1


@pytest.mark.parametrize("generation", [None, 3])
@pytest.mark.parametrize("refused", [False, True])
def test_answer_below_the_revision_held_is_reported_as_stale_and_logged_once(
    returning_store, caplog, generation, refused
):
    returning_store.headers = () if generation is None else header(generation)
    if not refused:
        returning_store.kv_watch = lambda query: (200, {"events": []})
    after = revisions.join(generation or 0, 500)
    source = test_store.make_source()
    for _ in range(3):
        answer = test_store.poll(returning_store, after, source)
        assert (answer.full_listing, answer.after) == (refused, after)
        assert answer.revision == revisions.join(generation or 0, 10)
    assert len(lines(caplog, "the store is behind the records held")) == 1


# Guards against a listing each 50 ms for as long as the store's counter is below the one held.
def test_store_behind_the_records_held_is_asked_ever_less_often(returning_store, caplog):
    caplog.set_level("INFO")
    time = clock.SteppedClock()
    core = make_engine(time)
    source = test_store.make_source()
    copied = returning_store.copy()
    for _ in range(LOST_WRITES):
        returning_store.put("servers/i-0", test_wire.SERVER)
    polls = 0
    with canned.serve(returning_store.answer) as server:
        reader = platform_reader.PlatformReader(engine=core, urls=(server.url,), source=source)
        assert reader.poll_once(duty.Stream.RECORDS) == 0.0
        returning_store.rows, returning_store.revision, returning_store.events = copied
        calls = reader.calls
        for _ in range(1_000):
            time.advance(10.0)
            reader.poll_once(duty.Stream.RECORDS)
        polls = reader.calls - calls
    assert 3 <= polls <= 12
    assert len(lines(caplog, "the store's history was dropped")) == 1


def test_unusable_header_is_logged_once_by_the_reader(returning_store, caplog):
    time = clock.SteppedClock()
    core = make_engine(time)
    with canned.serve(returning_store.answer) as server:
        reader = platform_reader.PlatformReader(
            engine=core, urls=(server.url,), source=test_store.make_source()
        )
        reader.poll_once(duty.Stream.RECORDS)
        returning_store.headers = (("Store-Era", "none"),)
        for _ in range(1_000):
            time.advance(10.0)
            reader.poll_once(duty.Stream.RECORDS)
        assert 4 <= reader.calls <= 12
    assert len(caplog.records) == 1
    assert "Store-Era 'none'" in caplog.records[0].fault


def test_faults_are_logged_once_a_revision_and_generation(returning_store, caplog):
    source = test_store.make_source()
    returning_store.put("servers/i-0", {"address": 3})
    copied = returning_store.copy()
    for _ in range(3):
        test_store.poll(returning_store, 0, source)
    returning_store.come_back(copied)
    for _ in range(3):
        test_store.poll(returning_store, 0, source)
    skipped = lines(caplog, "value skipped")
    assert [(record.revision, record.generation) for record in skipped] == [(11, 3), (11, 4)]


def test_memory_of_logged_faults_is_bounded_by_the_keys_of_the_store(returning_store):
    source = test_store.make_source()
    after = test_store.poll(returning_store, 0, source).revision
    for index in range(300):
        returning_store.put(f"servers/odd-{index}", {"address": 3})
    after = test_store.poll(returning_store, after, source).revision
    for index in range(300):
        del returning_store.rows[f"servers/odd-{index}"]
        returning_store.revision += 1
        returning_store.events.append(
            {
                "key": f"servers/odd-{index}",
                "mod_revision": returning_store.revision,
                "deleted": True,
            }
        )
    test_store.poll(returning_store, after, source)
    assert not source._logged_faults  # It has no other effect than memory.
    for index in range(30):
        returning_store.put(f"servers/odd-{index}", {"address": 3})
    test_store.poll(returning_store, after, source)
    for index in range(30):
        del returning_store.rows[f"servers/odd-{index}"]
    test_store.poll(returning_store, 0, source)
    assert not source._logged_faults


@pytest.mark.parametrize("revision", [-1, 1 << 41])
def test_counter_out_of_range_costs_its_item_or_its_answer(returning_store, revision):
    born = returning_store.rows["servers/i-0"][1]
    returning_store.rows["servers/i-0"] = (revision, born)
    assert test_store.names(test_store.poll(returning_store, 0)) == ["configuration"] + [
        f"i-{index}" for index in range(1, 5)
    ]
    returning_store.revision = revision
    with pytest.raises(sources.SourceError, match="counter"):
        test_store.poll(returning_store, 0)


def configuration(version, hostname, key):
    document = test_wire.with_field(test_wire.CONFIGURATION, "config_version", f"{version:08x}")
    document = test_wire.with_field(document, "routes.0.hostname", hostname)
    return test_wire.with_field(document, "tenants.0.api_keys", [key])


def in_force(core, hostname, key):
    """Return whether a route and a key of the configuration are in force."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    route = core.records.route(hostname, "/a/x")
    return route is not None, core.records.key_workspace(digest) is not None


def live_servers(core):
    entries = core.records.pools()["svc"].servers
    return {each.server for each in entries if each.state is types.ServerState.LIVE}


# Guards against an older configuration, a withdrawn key and a departed server that come back.
def test_nothing_that_was_accepted_reverts_at_a_return_from_an_older_copy(returning_store):
    core = make_engine()
    returning_store.put("op/config", configuration(12, "old.example", "old"))
    copied = returning_store.copy()
    returning_store.put("op/config", configuration(13, "new.example", "new"))
    leaving = test_wire.with_field(test_wire.SERVER, "status.state", "draining")
    returning_store.put("servers/i-0", test_wire.with_field(leaving, "status.sequence", 5))
    returning_store.put("servers/joined", test_wire.SERVER)
    read(returning_store, core)
    returning_store.come_back(copied)
    read(returning_store, core)
    assert revisions.generation_of(core.record_spread.complete_revision) == 4
    assert in_force(core, "new.example", "new") == (True, True)
    assert in_force(core, "old.example", "old") == (False, False)
    assert live_servers(core) == {"i-1", "i-2", "i-3", "i-4"}
    assert core.store.carried_count == 2
    returning_store.put("servers/joined", test_wire.SERVER)
    returning_store.put("op/config", configuration(14, "newest.example", "newest"))
    returning_store.put("servers/i-0", test_wire.with_field(leaving, "status.sequence", 6))
    read(returning_store, core)
    assert in_force(core, "newest.example", "newest") == (True, True)
    assert live_servers(core) == {"i-1", "i-2", "i-3", "i-4", "joined"}
    assert core.store.carried_count == 0
