"""Tests of the record store through returns of the platform's store from an older copy."""

import random

import msgspec
import pytest

from standins import spreading
from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import envelope, revisions, store, table, types
from verbenadrum.utils import clock

LIVE, LEAVING = types.ServerState.LIVE, types.ServerState.LEAVING
PRESENT_MS = 11_000.0


class Host:
    """A record store with its clock."""

    def __init__(self, time=None):
        self.time = time or clock.SteppedClock()
        self.records = table.RecordTable()
        self.store = store.RecordStore(
            context=context.Context(
                host=ids.HostId("h1"),
                data_centre=ids.DataCentreId("dc1"),
                region=ids.RegionId("r1"),
                incarnation=1,
                clock=self.time,
                rng=random.Random(1),
                send=lambda receiver, message: None,
                decisions=ring.DecisionRing(wall_ms=self.time.wall_ms, size=16),
            ),
            records=self.records,
        )
        self.offer = self.store.offer
        self.offer(spreading.envelope_of("pool", "svc", 1, {"servers": []}))

    def state(self, name="s1"):
        pool = self.records.pool(ids.ServiceId("svc"))
        return {each.server: each.state for each in pool.servers}.get(name)

    def run(self, duration_ms, complete=0):
        for _ in range(int(duration_ms // 100)):
            self.time.advance(100.0)
            self.store.drop_lapsed_servers()
            if complete:
                self.store.restore_listed_servers(complete, self.time.now_ms())

    def pull_carried(self, other):
        for raw in other.store.carried():
            self.offer(raw)


def server(generation, counter, start, sequence, state=LIVE, name="s1"):
    spec = {
        "service": "svc",
        "address": "127.0.0.1:1",
        "state": state.value,
        "started_wall_ms": float(start),
    }
    revision = revisions.join(generation, counter)
    return spreading.envelope_of("server", name, revision, spec, order=(start, sequence))


def withdrawal(generation, counter, name="s1"):
    return spreading.envelope_of("server", name, revisions.join(generation, counter), None)


def configuration(version, generation, counter):
    spec = {"version": version, "routes": []}
    revision = revisions.join(generation, counter)
    return spreading.envelope_of(
        "configuration", "configuration", revision, spec, order=(version, 0)
    )


def refused_configuration(generation, counter):
    return envelope.render_refusal(
        types.RecordKind.CONFIGURATION,
        "configuration",
        revisions.join(generation, counter),
        "unreadable",
    )


def test_older_listed_server_of_another_schema_raises_from_no_tick():
    host = Host()
    host.offer(server(0, 400, 5, 9))
    host.offer(withdrawal(0, 410))
    document = msgspec.json.decode(server(1, 300, 5, 7))
    document["spec"]["state"] = "hibernating"
    host.offer(msgspec.json.encode(document))
    host.store.begin_generation(revisions.join(1, 320))
    host.run(PRESENT_MS, complete=revisions.join(1, 330))


def test_configuration_that_a_new_generation_refuses_has_one_checksum_at_all_hosts():
    veteran, fresh = Host(), Host()
    veteran.offer(configuration(5, 1, 400))
    for host in (veteran, fresh):
        host.offer(refused_configuration(2, 300))
        host.store.begin_generation(revisions.join(2, 320))
    fresh.offer(veteran.store.last_accepted("configuration", "configuration", 0))
    for _ in range(3):
        veteran.pull_carried(fresh)
        fresh.pull_carried(veteran)
    assert fresh.records.configuration_version == veteran.records.configuration_version == 5
    assert fresh.store.carried_checksum == veteran.store.carried_checksum


def test_server_restored_at_its_own_revision_is_not_withdrawn_again_by_a_later_host():
    time = clock.SteppedClock()
    first, second = Host(time), Host(time)
    newest = revisions.join(1, 300)
    for host in (first, second):
        host.offer(server(0, 200, 5, 7))
        host.offer(withdrawal(0, 410))
    first.offer(server(1, 300, 5, 7))
    first.store.begin_generation(newest)
    first.run(1_000, complete=newest)
    second.offer(server(1, 300, 5, 7))
    second.store.begin_generation(newest)
    first.run(9_500, complete=newest)
    assert first.state() is LIVE
    first.pull_carried(second)
    second.pull_carried(first)
    first.run(PRESENT_MS, complete=newest)
    second.store.restore_listed_servers(newest, time.now_ms())
    for _ in range(3):
        first.pull_carried(second)
        second.pull_carried(first)
    assert (first.state(), second.state()) == (LIVE, LIVE)


def test_withdrawal_learnt_from_a_peer_is_confirmed_as_at_the_host_that_made_it():
    first, second = Host(), Host()
    for host in (first, second):
        host.offer(server(1, 400, 5, 9))
    first.store.begin_generation(revisions.join(2, 320))
    for _, raw in first.store.envelopes_after(revisions.join(1, 400)):
        second.offer(raw)
    second.store.begin_generation(revisions.join(2, 320))
    for host in (first, second):
        host.run(3_000)
        assert host.state() is None
        host.offer(server(3, 330, 5, 9))
    assert first.state() is second.state() is None


def test_withdrawal_of_a_host_that_lagged_leaves_a_confirmed_one_as_it_is():
    first, second = Host(), Host()
    for host in (first, second):
        host.offer(server(1, 400, 5, 9))
    first.store.begin_generation(revisions.join(2, 320))
    first.run(3_000)
    second.store.begin_generation(revisions.join(2, 340))
    for _, raw in second.store.envelopes_after(revisions.join(2, 320)):
        first.offer(raw)
    first.run(3_000)
    first.offer(server(3, 330, 5, 9))
    assert first.state() is None


def test_server_that_two_copies_in_series_lack_has_two_seconds_after_the_second():
    host = Host()
    host.offer(server(1, 400, 5, 9))
    host.store.begin_generation(revisions.join(2, 320))
    host.run(1_500)
    host.store.begin_generation(revisions.join(3, 310))
    host.run(1_500)
    assert host.state() is types.ServerState.LAPSED


def test_server_written_again_as_it_was_after_two_returns_is_live_at_once():
    host = Host()
    host.offer(server(1, 400, 5, 9))
    host.store.begin_generation(revisions.join(2, 320))
    host.run(1_500)
    host.store.begin_generation(revisions.join(3, 310))
    host.run(1_000)
    host.offer(server(3, 330, 5, 9))
    assert host.state() is LIVE


@pytest.mark.parametrize("listed", [True, False])
def test_older_write_of_a_leaving_server_that_is_written_again_does_not_revive_it(listed):
    host = Host()
    host.offer(server(1, 390, 5, 6))
    host.offer(server(1, 400, 5, 9, LEAVING))
    if listed:
        host.offer(server(2, 300, 5, 5))
    host.store.begin_generation(revisions.join(2, 320))
    host.offer(server(2, 330, 5, 6))
    assert host.state() is not LIVE


@pytest.mark.parametrize("listing_first", [True, False])
def test_listed_server_whose_withdrawal_only_another_host_knew_is_live_again(listing_first):
    time = clock.SteppedClock()
    first, second = Host(time), Host(time)
    for host in (first, second):
        host.offer(server(1, 390, 5, 7))
    first.offer(server(1, 400, 5, 8, LEAVING))
    second.offer(withdrawal(1, 410))
    lister, other = (first, second) if listing_first else (second, first)
    lister.offer(server(2, 300, 5, 7))
    lister.store.begin_generation(revisions.join(2, 320))
    for _, raw in lister.store.envelopes_after(revisions.join(1, 410)):
        other.offer(raw)
    other.store.begin_generation(revisions.join(2, 320))
    for _ in range(3):
        first.pull_carried(second)
        second.pull_carried(first)
    first.run(500, complete=revisions.join(2, 330))
    for _ in range(200):
        time.advance(100.0)
        for host in (first, second):
            host.store.drop_lapsed_servers()
            host.store.restore_listed_servers(revisions.join(2, 330), time.now_ms())
        first.pull_carried(second)
        second.pull_carried(first)
    assert (first.state(), second.state()) == (LIVE, LIVE)
