"""Tests of the gossip of records and host lists over lossy, partitioned and slow channels."""

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from standins import spreading
from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.dissemination import duty, messages, packing, progress, sampler
from verbenadrum.records import envelope, revisions, store, table, types

_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=20,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_CONVERGENCE_MS = 15_000.0
_MAX_EXAMPLES = 400
_NAMES = ("w0", "w1", "w2")
_BAD_SPEC = {"rate_per_s": 0, "burst": 0}


def good_spec(rate):
    return {"rate_per_s": rate, "burst": 4}


def accepted_revisions(host):
    return {row.name: row.revision for row in host.engine.records.rows()}


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Faults of every kind, two at once: nothing reverts, and all agree once messages flow."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.fleet = spreading.Fleet(seed=seed, data_centres=1, hosts=3)
        self.fleet.seeds = list(self.fleet.hosts)
        self.names = list(self.fleet.hosts)
        self.good = {name: {} for name in _NAMES}
        self.seen = {}
        self.publish(0, False, False)
        self.fleet.run(2_000)

    @stateful.rule(
        index=strategies.integers(0, 2),
        bad=strategies.booleans(),
        gone=strategies.booleans(),
        run_ms=strategies.sampled_from([0, 5, 50, 500]),
    )
    def publish(self, index, bad, gone, run_ms=0):
        name = _NAMES[index]
        spec = _BAD_SPEC if bad else None if gone else good_spec(1 + len(self.good[name]))
        revision = self.fleet.platform.publish("workspace", name, spec)
        if not bad:
            self.good[name][revision] = spec
        self.fleet.run(run_ms)

    @stateful.rule(first=strategies.integers(0, 2), second=strategies.integers(0, 2))
    def two_operators_at_once(self, first, second):
        self.publish(first, False, False)
        self.publish(second, False, True)

    @stateful.rule(ms=strategies.sampled_from([10, 300, 1_500, 12_000]))
    def run(self, ms):
        self.fleet.run(ms)

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.05, 0.4]), twice=strategies.booleans())
    def disturb(self, loss, twice):
        self.fleet.channel.conditions.loss = loss
        self.fleet.channel.conditions.duplication = 0.3 if twice else 0.0
        self.fleet.channel.conditions.jitter = 20.0 if twice else 0.5

    @stateful.rule(
        first=strategies.integers(0, 5), others=strategies.sets(strategies.integers(0, 5))
    )
    def cut_one_way(self, first, others):
        pairs = {(self.names[first], self.names[other]) for other in others if other != first}
        self.fleet.channel.conditions.cuts |= pairs

    @stateful.rule()
    def heal(self):
        self.fleet.channel.conditions.cuts.clear()

    @stateful.rule(index=strategies.integers(0, 5), frozen=strategies.booleans())
    def stale_reader(self, index, frozen):
        if frozen:
            self.fleet.platform.freeze(self.names[index])
        else:
            self.fleet.platform.stale.pop(self.names[index], None)

    @stateful.rule(reader=strategies.integers(0, 5), index=strategies.integers(0, 2))
    def stale_replica_is_asked_again(self, reader, index):
        """Its long poll ends only after peers have brought something newer."""
        self.fleet.platform.freeze(self.names[reader])
        self.publish(index, False, False)
        self.fleet.run(12_000)

    @stateful.rule(down=strategies.booleans(), run_ms=strategies.sampled_from([0, 0, 20_000]))
    def platform(self, down, run_ms):
        self.fleet.platform.down = down
        self.fleet.run(run_ms)

    @stateful.rule(index=strategies.integers(0, 5), reachable=strategies.booleans())
    def platform_path(self, index, reachable):
        change = set.discard if reachable else set.add
        change(self.fleet.platform.unreachable, self.names[index])

    @stateful.rule(index=strategies.integers(0, 5))
    def restart_empty(self, index):
        self.fleet.stop(self.names[index])
        self.fleet.start(self.names[index])
        self.seen.pop(self.names[index], None)

    @stateful.rule(index=strategies.integers(0, 5), paused=strategies.booleans())
    def pause(self, index, paused):
        self.fleet.hosts[self.names[index]].paused = paused

    @stateful.invariant()
    def nothing_reverts(self):
        if not hasattr(self, "fleet"):
            return
        for name, host in self.fleet.hosts.items():
            seen = self.seen.setdefault(name, {})
            for record, revision in accepted_revisions(host).items():
                assert revision >= seen.get(record, 0), f"{record} on {name} reverted"
                assert revision in self.good[record], f"{record} on {name} is a refused revision"
                assert self._in_force(host, record) == self.good[record][revision]
                seen[record] = revision

    def _in_force(self, host, record):
        spec = host.engine.records.workspace(ids.WorkspaceId(record))
        return None if spec is None else good_spec(spec.rate_per_s)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.disturb(0.0, False)
        self.heal()
        self.fleet.platform.down = False
        self.fleet.platform.unreachable.clear()
        self.fleet.platform.stale.clear()
        for host in self.fleet.hosts.values():
            host.paused = False
        taken = self.fleet.run_until(self._agreed, _CONVERGENCE_MS)
        assert taken < _CONVERGENCE_MS, "no agreement"
        self.nothing_reverts()

    def _agreed(self):
        views = [accepted_revisions(host) for host in self.fleet.hosts.values()]
        latest = self.fleet.platform.revision
        if not self.fleet.all_have(latest) or any(view != views[0] for view in views):
            return False
        newest = {name: max(good) for name, good in self.good.items() if good}
        return all(
            views[0].get(name) == revision
            for name, revision in newest.items()
            if revision == self._latest_of(name)
        )

    def _latest_of(self, name):
        return self.fleet.platform.latest("workspace", name)


SpreadMachine.TestCase.settings = _SETTINGS
TestSpread = SpreadMachine.TestCase


def is_bad(raw):
    return msgspec.json.decode(raw)["spec"] == _BAD_SPEC


def state_machine_finds_a_fault():
    """Run the state machine without shrinking, and return whether an assertion failed."""
    # Hypothesis draws from the constants of the modules imported so far, so the number of examples
    # needed to find a fault varies.
    unshrunk = hypothesis.settings(
        _SETTINGS,
        max_examples=_MAX_EXAMPLES,
        phases=[hypothesis.Phase.generate],
        report_multiple_bugs=False,
    )
    try:
        stateful.run_state_machine_as_test(SpreadMachine, settings=unshrunk)
    except AssertionError:
        return True
    return False


def test_state_machine_detects_a_table_that_accepts_older_revisions(monkeypatch):
    original_offer = store.RecordStore.offer

    def put(self, record):
        previous = self._rows[record.kind].get(record.name)
        self._rows[record.kind][record.name] = record
        self._index(record, None if previous is None else previous.spec)
        return True

    def offer(self, raw, **options):
        verdict = original_offer(self, raw)
        if verdict is store.Verdict.OLD and not is_bad(raw):
            self._records.put(envelope.parse(raw))
        return verdict

    monkeypatch.setattr(table.RecordTable, "put", put)
    monkeypatch.setattr(store.RecordStore, "offer", offer)
    assert state_machine_finds_a_fault()


def test_state_machine_detects_progress_that_skips_gaps(monkeypatch):
    def advance(self, source, *, after, to, final):
        self._complete_revision = max(self._complete_revision, to)
        return True

    monkeypatch.setattr(progress.Progress, "advance", advance)
    assert state_machine_finds_a_fault()


def ready_fleet(seed, **sizes):
    fleet = spreading.Fleet(seed=seed, **sizes)
    revision = fleet.platform.publish("workspace", "w", good_spec(1))
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    fleet.run(1_000)
    return fleet


@pytest.mark.parametrize("seed", range(4))
def test_changes_and_withdrawals_reach_all_hosts_within_two_seconds(seed):
    fleet = ready_fleet(seed)
    fleet.channel.conditions.loss = 0.05
    reader = next(
        host
        for host, each in fleet.hosts.items()
        if each.engine.platform_read_plan().reason is duty.ReadReason.READER
    )
    fleet.platform.freeze(reader)
    digest = "a" * 64
    revision = fleet.platform.publish("key", "k", {"workspace": "w", "sha256": digest})
    assert fleet.run_until(lambda: fleet.all_have(revision), 2_000) < 2_000
    fleet.platform.publish("key", "k", None)
    fleet.run(2_000)
    assert not any(host.engine.records.key_workspace(digest) for host in fleet.hosts.values())


def test_hosts_without_the_platform_receive_records_from_peers():
    fleet = ready_fleet(1)
    fleet.platform.unreachable = {host for host in fleet.hosts if host.startswith("h1")}
    revision = fleet.platform.publish("workspace", "w", good_spec(2))
    assert fleet.run_until(lambda: fleet.all_have(revision), 2_000) < 2_000


def test_host_that_receives_but_cannot_send_gets_records():
    fleet = ready_fleet(2)
    muted = "h0003"
    fleet.platform.unreachable.add(muted)
    fleet.channel.conditions.cuts = {(muted, other) for other in fleet.hosts}
    revision = fleet.platform.publish("workspace", "w", good_spec(2))
    assert fleet.run_until(lambda: fleet.all_have(revision), 5_000) < 5_000


def test_restarted_host_loads_from_peers_and_seeds_while_the_platform_is_down():
    fleet = ready_fleet(3)
    fleet.platform.down = True
    fleet.seeds = ["h0001", "h1001"]
    fleet.stop("h0005")
    started = fleet.start("h0005")
    assert fleet.run_until(lambda: started.engine.ready, 10_000) < 10_000


def test_last_accepted_revision_reaches_a_host_started_after_a_rejected_one():
    fleet = ready_fleet(4)
    fleet.platform.publish("workspace", "w", _BAD_SPEC)
    fleet.run(2_000)
    for name in ("h0001", "h1003"):
        fleet.stop(name)
        fleet.start(name)
    fleet.run(8_000)
    for host in fleet.hosts.values():
        assert host.engine.records.workspace(ids.WorkspaceId("w")).rate_per_s == 1
        (rejection,) = host.engine.store.rejections()
        assert rejection.accepted_revision == 1


def test_large_sets_load_in_chunks_below_the_message_limit():
    fleet = ready_fleet(5, data_centres=1, hosts=3)
    padding = "x" * 200_000
    for index in range(12):
        spec = {"path_prefix": f"/{index}", "service": "s", "note": padding}
        revision = fleet.platform.publish("route", f"r{index}", spec)
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    fleet.stop("h1001")
    fleet.start("h1001")
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    assert fleet.hosts["h1001"].engine.records.route("", "/7") is not None


def test_large_change_reaches_all_hosts_within_three_seconds_over_slow_links():
    fleet = ready_fleet(9, data_centres=3, hosts=18)
    # Links of 10 Mbit/s.
    fleet.channel.conditions.link_bytes_per_ms = 10e6 / 8.0 / 1000.0
    words = fleet.rng.choices(["timeout", "service", "prefix", *"abcdefghij"], k=100_000)
    spec = {"path_prefix": "/x", "service": "s", "note": " ".join(words)}
    revision = fleet.platform.publish("route", "r", spec)
    assert fleet.run_until(lambda: fleet.all_have(revision), 3_000) < 3_000


@pytest.mark.parametrize("packed", [b"junk", packing.pack((b"x" * 10_000,))[:-9], b"\x00"])
def test_malformed_packed_changes_are_ignored(packed):
    fleet = ready_fleet(11, data_centres=1, hosts=2)
    host = next(iter(fleet.hosts.values()))
    complete_revision = host.engine.record_spread.complete_revision
    changes = messages.RecordChanges(
        complete_revision, complete_revision + 5, True, (), packed=packed
    )
    host.receive("h0001", changes)
    assert host.engine.record_spread.complete_revision == complete_revision
    assert any(row.reason == "malformed-pack" for row in host.decisions.newest(20))


def test_readers_and_their_calls_are_few_while_the_platform_is_down():
    fleet = ready_fleet(6)
    reasons = [host.engine.platform_read_plan().reason for host in fleet.hosts.values()]
    assert reasons.count(duty.ReadReason.READER) == 6
    fleet.platform.down = True
    fleet.run(5_000)
    before = fleet.platform.calls
    fleet.run(20_000)
    # Six readers poll two streams each, at intervals of at least half of the longest backoff (5 s).
    assert fleet.platform.calls - before <= 6 * 2 * 20 / 2.5 * 1.1


# Guards against departed servers that stay in use at hosts which caught up from one that lagged.
def test_host_that_lacks_withdrawals_tells_those_that_catch_up_from_it():
    fleet = ready_fleet(18, data_centres=1, hosts=2, regions=1)
    first, second = fleet.hosts.values()
    fleet.platform.down = True
    complete = first.engine.record_spread.complete_revision
    first.receive(
        "h0009", messages.RecordChanges(complete, complete + 7, True, (), known_from=complete + 6)
    )
    assert first.engine.record_spread.withdrawals_missing
    fleet.run(2_000)
    assert second.engine.record_spread.complete_revision == complete + 7
    assert second.engine.record_spread.withdrawals_missing


# Guards against an older copy in force at a host that reads it from a platform of either kind.
@pytest.mark.parametrize("full_listing", [False, True])
def test_starting_host_keeps_the_listing_of_a_copy_until_a_peer_answers(full_listing):
    fleet = ready_fleet(20, data_centres=1, hosts=2, regions=1)
    name = next(iter(fleet.hosts))
    fleet.stop(name)
    started = fleet.start(name)
    started.engine.apply_hosts(fleet.platform.hosts_revision, fleet.platform.rows)
    revision = revisions.join(1, 1)
    raw = spreading.envelope_of("workspace", "w", revision, good_spec(9))
    started.engine.on_platform_records(
        duty.RecordsAnswer(
            after=0, revision=revision, final=True, envelopes=(raw,), full_listing=full_listing
        )
    )
    assert started.engine.records.workspace(ids.WorkspaceId("w")) is None
    assert fleet.run_until(lambda: started.engine.ready, 1_500) < 1_500


# Guards against a listing every 50 ms from a platform that drops its history again and again.
def test_listings_that_bring_nothing_new_are_read_ever_less_often():
    fleet = ready_fleet(19, data_centres=1, hosts=2, regions=1)
    engine = next(iter(fleet.hosts.values())).engine
    delays_ms = []
    for _ in range(4):
        engine.on_platform_records(
            duty.RecordsAnswer(
                after=0,
                revision=fleet.platform.revision,
                final=True,
                envelopes=(),
                full_listing=True,
            )
        )
        delays_ms.append(engine.platform_read_plan().records.delay_ms)
    assert delays_ms[-1] > 500.0, delays_ms


def test_isolated_host_reads_the_platform_itself():
    fleet = ready_fleet(7)
    isolated = next(
        host
        for host, each in fleet.hosts.items()
        if each.engine.platform_read_plan().reason is duty.ReadReason.NONE
    )
    fleet.channel.conditions.cuts = {(other, isolated) for other in fleet.hosts}
    fleet.run(12_000)
    revision = fleet.platform.publish("workspace", "w", good_spec(2))
    assert fleet.run_until(lambda: fleet.all_have(revision), 2_000) < 2_000


def selected_readers(fleet):
    return {
        host
        for host, each in fleet.hosts.items()
        if each.engine.platform_read_plan().reason is duty.ReadReason.READER
    }


@pytest.mark.parametrize("seed", range(4))
def test_change_is_in_force_in_time_while_all_readers_are_turned_away(seed):
    fleet = ready_fleet(seed)
    fleet.platform.unreachable = selected_readers(fleet)
    for _ in range(3):
        fleet.run(4_000)
        revision = fleet.platform.publish("workspace", "w", good_spec(2))
        assert fleet.run_until(lambda to=revision: fleet.all_have(to), 2_500) < 2_500


@pytest.mark.parametrize("hosts", [11, 31])
def test_hosts_of_a_large_fleet_leave_reading_to_the_readers(hosts):
    """A host gets few digests, each from a random peer, but it hears its peers all the time."""
    fleet = spreading.Fleet(seed=17, hosts=hosts, host_list="seeded", seeds=("h0000", "h1000"))
    policy = duty.ReadPolicy(poll_wait_ms=800.0, isolated_after_ms=2_000.0)
    for host in fleet.hosts.values():
        host.engine.read_scheduler._policy = policy
    fleet.platform.publish("workspace", "w", good_spec(1))
    fleet.run(3_000)
    calls = fleet.platform.calls
    reasons = set()
    for _ in range(100):
        fleet.run(50)
        reasons |= {each.engine.platform_read_plan().reason for each in fleet.hosts.values()}
    assert reasons == {duty.ReadReason.READER, duty.ReadReason.NONE}
    # Three readers in each region make a call each 0.85 s or longer.
    assert fleet.platform.calls - calls <= 6 * 5_000 / 850 + 6


def test_substitutes_stop_reading_once_the_readers_can():
    fleet = ready_fleet(15)
    fleet.platform.unreachable = selected_readers(fleet)
    fleet.run(10_000)
    fleet.platform.unreachable.clear()
    fleet.run(12_000)
    reasons = [host.engine.platform_read_plan().reason for host in fleet.hosts.values()]
    assert duty.ReadReason.SUBSTITUTE not in reasons


def test_servers_whose_records_have_lapsed_leave_their_pool():
    fleet = ready_fleet(14, data_centres=1, hosts=2)
    fleet.platform.publish("pool", "svc", {"servers": []})
    for name in ("s1", "s2", "s3"):
        spec = {"service": "svc", "address": "127.0.0.1:1", "data_centre": "dc00"}
        fleet.platform.publish("server", name, spec)
    fleet.run(2_000)
    for name in ("s1", "s2"):
        fleet.platform.publish("server", name, None)
    # An entry that the store lost by its own fault is back within two seconds.
    fleet.run(4_000)
    for host in fleet.hosts.values():
        pool = host.engine.records.pool(ids.ServiceId("svc"))
        assert [entry.server for entry in pool.servers] == ["s3"]


def test_each_host_knows_the_age_of_its_records():
    fleet = ready_fleet(13)
    fleet.run(30_000)
    ages_ms = [each.engine.record_spread.confirmed_age_ms for each in fleet.hosts.values()]
    # A poll waits for 10 s, and digests spread its result.
    assert max(ages_ms) < 20_000
    fleet.platform.down = True
    fleet.run(20_000)
    for host in fleet.hosts.values():
        assert 20_000 <= host.engine.record_spread.confirmed_age_ms < 40_000


def test_host_list_changes_reach_all_hosts_and_never_revert():
    fleet = ready_fleet(8)
    rows = fleet.platform.rows
    leaving = msgspec.structs.replace(rows[0], state=ports.HostState.LEAVING)
    fleet.platform.list_hosts((leaving, *rows[1:-1]))
    fleet.run(2_000)
    for host in fleet.hosts.values():
        assert host.engine.membership.revision == 2
        assert len(host.engine.membership.hosts()) == len(rows) - 1
        assert host.engine.membership.row(rows[0].host).state is ports.HostState.LEAVING
    host = fleet.hosts["h0001"].engine
    assert not host.on_platform_hosts(duty.HostsAnswer(after=2, revision=1, rows=rows))
    host.on_message("h0002", messages.HostChanges(0, 1, ()))
    assert host.membership.revision == 2


def test_older_answer_of_the_platform_changes_nothing():
    fleet = ready_fleet(9, data_centres=1, hosts=1)
    host = fleet.hosts["h0000"].engine
    newer = spreading.envelope_of("workspace", "w", 7, good_spec(7))
    older = spreading.envelope_of("workspace", "w", 3, good_spec(3))
    for revision, data in ((7, newer), (3, older)):
        answer = duty.RecordsAnswer(after=1, revision=revision, final=True, envelopes=(data,))
        host.on_platform_records(answer)
    assert host.records.row(types.RecordKind.WORKSPACE, "w").revision == 7
    stale = duty.RecordsAnswer(after=7, revision=3, final=True, envelopes=())
    assert not host.on_platform_records(stale)


def restarted_host_with_a_listing_without(fleet, revision):
    """Return a host that holds a complete listing of ``revision``, which lacks server ``s1``."""
    host = fleet.start("h0000").engine
    pool = spreading.envelope_of("pool", "svc", 1, {"servers": []})
    other = spreading.envelope_of("server", "s2", 3, SERVER)
    answer = duty.RecordsAnswer(
        after=0, revision=revision, final=True, envelopes=(pool, other), full_listing=True
    )
    host.on_platform_records(answer)
    return host


SERVER = {"service": "svc", "address": "127.0.0.1:1", "data_centre": "dc00"}


@pytest.mark.parametrize("kind", ["changes", "digest", "last-accepted"])
def test_server_that_left_before_a_restart_does_not_return_by_a_peer_that_lags(kind):
    """The listing that the host started with lacks the server, so its record is gone."""
    fleet = ready_fleet(15, data_centres=1, hosts=2)
    host = restarted_host_with_a_listing_without(fleet, 10)
    gone = spreading.envelope_of("server", "s1", 4, SERVER)
    host.on_message(
        ids.HostId("h0001"),
        {
            "changes": messages.RecordChanges(3, 4, True, (gone,)),
            "digest": messages.Digest(4, 1, 3, (gone,)),
            "last-accepted": messages.LastAccepted((gone,)),
        }[kind],
    )
    pool = host.records.pool(ids.ServiceId("svc"))
    assert [entry.server for entry in pool.servers] == ["s2"]


def test_server_that_joins_after_a_restart_is_learnt_from_a_peer():
    fleet = ready_fleet(16, data_centres=1, hosts=2)
    host = restarted_host_with_a_listing_without(fleet, 10)
    joined = spreading.envelope_of("server", "s1", 12, SERVER)
    host.on_message(ids.HostId("h0001"), messages.RecordChanges(10, 12, True, (joined,)))
    pool = host.records.pool(ids.ServiceId("svc"))
    assert [entry.server for entry in pool.servers] == ["s1", "s2"]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("all_restart", [False, True])
def test_restarted_host_soon_knows_what_was_withdrawn_while_the_platform_is_down(seed, all_restart):
    """Some of its peers lag, and may be the first to send it their records."""
    fleet = spreading.Fleet(
        seed=seed, data_centres=1, hosts=8, host_list="seeded", seeds=("h0000", "h1000")
    )
    fleet.platform.publish("workspace", "w", good_spec(1))
    fleet.run(3_000)
    lagging = list(fleet.hosts)[5:8]
    for name in lagging:
        fleet.hosts[name].paused = True
    withdrawn = fleet.platform.publish("workspace", "w", None)
    fleet.run(1_000)
    fleet.platform.down = True
    for name in lagging:
        fleet.hosts[name].paused = False
    restarted = list(fleet.hosts)[2:5] if all_restart else ["h0002"]
    for name in restarted:
        fleet.start(name)
    fleet.run(2_000)
    for name in restarted:
        host = fleet.hosts[name].engine
        assert host.records.row(types.RecordKind.WORKSPACE, "w").revision == withdrawn
        assert host.records.workspace(ids.WorkspaceId("w")) is None


def test_peers_of_a_large_region_come_from_a_small_rotating_view():
    fleet = ready_fleet(10, data_centres=1, hosts=40)
    engine = fleet.hosts["h0000"].engine
    peers = sampler.PeerSampler(context=engine.record_spread._context, membership=engine.membership)
    # The view has 16 hosts, of which one is replaced every 10 s.
    first = {peer for _ in range(200) for peer in peers.pick_in_own_region(3)}
    assert len(first) == 16
    fleet.time.advance(10_000.0)
    second = {peer for _ in range(200) for peer in peers.pick_in_own_region(3)}
    assert len(first | second) == 17


def test_records_survive_an_outage_while_every_host_is_replaced_in_turn():
    fleet = ready_fleet(11, data_centres=1, hosts=3)
    fleet.seeds = list(fleet.hosts)
    fleet.platform.down = True
    for name in list(fleet.hosts):
        fleet.run(20_000)
        fleet.stop(name)
        started = fleet.start(name)
        assert fleet.run_until(lambda host=started: host.engine.ready, 10_000) < 10_000
    for host in fleet.hosts.values():
        assert host.engine.records.workspace(ids.WorkspaceId("w")).rate_per_s == 1
    revision = fleet.platform.publish("workspace", "w", good_spec(2))
    fleet.platform.down = False
    assert fleet.run_until(lambda: fleet.all_have(revision), 7_000) < 7_000
