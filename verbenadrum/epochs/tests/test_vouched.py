"""Tests of epochs under faults: one epoch at a time, and shares that sum to at most 1."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from verbenadrum.core import ports
from verbenadrum.epochs import chain, messages, vouched
from verbenadrum.epochs.tests import fleet
from verbenadrum.messages import codec

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=12, stateful_step_count=40
)
WARM_UP_MS = fleet.START_WINDOW_MS + 1_000.0


def names(*numbers, scope="a"):
    return [f"{scope}-{number}" for number in numbers]


def start_fleet(count=5, **options):
    group = fleet.Fleet(seed=1, hosts=names(*range(1, count + 1)), **options)
    group.advance(WARM_UP_MS, group.check)
    return group


class EpochMachine(stateful.RuleBasedStateMachine):
    """Faults in any order: at most one settled list, and shares that sum to at most 1."""

    @stateful.initialize(seed=st.integers(0, 2**32), count=st.integers(2, 7))
    def begin(self, seed, count):
        self.group = fleet.Fleet(seed=seed, hosts=names(*range(1, count + 1)))
        self.faults = fleet.Schedule(self.group)
        self.group.advance(WARM_UP_MS, self.group.check)

    @stateful.rule(
        action=st.sampled_from(
            ["replace", "show", "pause", "wake", "restart", "cut", "heal", "noise"]
            + ["quiet", "raise_generation"]
        ),
        span_ms=st.sampled_from((100.0, 700.0, 2_500.0, 5_000.0)),
    )
    def step(self, action, span_ms):
        getattr(self.faults, action)()
        self.group.advance(span_ms, self.group.check)


TestEpochs = EpochMachine.TestCase
TestEpochs.settings = SETTINGS


def violations(behaviour, seeds):
    """Return the number of seeds whose random faults make the epochs violate an invariant."""
    count = 0
    for seed in seeds:
        group = fleet.Fleet(seed=seed, behaviour=behaviour, hosts=names(1, 2, 3, 4, 5))
        faults = fleet.Schedule(group)
        group.advance(WARM_UP_MS)
        for _ in range(25):
            faults.step(None)
            if group.violation():
                count += 1
                break
    return count


def test_listed_epochs_exceed_the_whole_share():
    assert violations("listed", range(6)) >= 4
    assert violations("vouched", range(6)) == 0


def test_share_that_ignores_later_lists_is_detected(monkeypatch):
    monkeypatch.setattr(
        chain.Chain,
        "share",
        lambda self, host: (host in self.base.members) / len(self.base.members),
    )
    assert violations("vouched", range(12)) > 0


def recover_from_one_host(self, now_ms):
    """Recover from a single host instead of a majority."""
    vouches = self._voters.not_recovering(now_ms)
    first = self._chain.find(max((each.base for each in vouches), default=0))
    if first is not None:
        self._begin_chain(first, "recovered")


@pytest.mark.parametrize("single", [False, True])
def test_restarted_host_recovers_from_a_majority_only(monkeypatch, single):
    if single:
        monkeypatch.setattr(vouched.VouchedEpochs, "_recover", recover_from_one_host)
    group = start_fleet(3)
    group.cuts = {(a, "a-3") for a in names(1, 2, 4)} | {("a-3", a) for a in names(1, 2, 4)}
    group.publish(names(1, 2, 4))
    group.start("a-4")
    group.show("a-1")
    group.advance(10_000.0, group.check)
    assert group.epochs()["a-1"].revision == 2
    # Host 2 loses its promise of the new list in a restart, and then reaches only host 3, which has
    # the old list only.
    group.cuts = {(a, b) for a in names(1, 4) for b in names(2, 3)}
    group.cuts |= {(b, a) for a, b in group.cuts}
    group.stop("a-2")
    group.advance(100.0)
    group.start("a-2", revision=1)
    problems = []
    group.advance(10_000.0, lambda: problems.append(group.violation()))
    assert any(problems) is single
    assert group.hosts["a-2"].epochs.recovering is not single


def test_new_host_gets_its_share_within_three_vouch_terms():
    group = start_fleet(5)
    group.publish(names(1, 2, 3, 4, 5, 6))
    group.start("a-6")
    group.show_all()
    group.advance(9_000.0, group.check)
    assert [epoch.share for epoch in group.epochs().values()] == [1 / 6] * 6


def test_other_hosts_keep_shares_while_one_in_ten_is_replaced_each_minute():
    group = start_fleet(10)
    for number in range(3):
        old, new = f"a-{number + 1}", f"a-{number + 11}"
        group.stop(old)
        group.advance(1_500.0, group.check)
        kept = [name for name in group.lists[group.newest] if name != old]
        group.publish([*kept, new])
        group.start(new)

        def check():
            group.check()
            assert all(group.epochs()[name].share > 0 for name in kept)  # noqa: B023

        for name in sorted(group.hosts):
            group.show(name)
            group.advance(100.0, check)
        group.advance(57_500.0, check)
        assert group.epochs()[new].share == 0.1


def test_host_has_no_epoch_after_a_pause():
    group = start_fleet(5)
    group.hosts["a-1"].paused = True
    group.advance(3_500.0, group.check)
    assert group.hosts["a-1"].epochs.active() is None


def test_no_epoch_after_a_lost_majority_until_the_generation_is_raised():
    group = start_fleet(4)
    for name in names(1, 2, 3):
        group.start(name)
    group.advance(60_000.0, group.check)
    assert not group.epochs()
    group.generation["a"] = (2, fleet.START_WALL_MS + group.now_ms + 20_000.0)
    for host in group.hosts.values():
        group.put_fleet_record(host)
    group.advance(15_000.0, group.check)
    assert {(epoch.generation, epoch.share) for epoch in group.epochs().values()} == {(2, 0.25)}


def test_first_epoch_needs_an_open_window_and_every_host():
    group = fleet.Fleet(seed=1)
    group.generation["a"] = (1, fleet.START_WALL_MS + 20_000.0)
    group.publish(names(1, 2, 3))
    group.start("a-1")
    group.start("a-2")
    group.advance(21_000.0, group.check)
    group.start("a-3")
    group.advance(30_000.0, group.check)
    assert not group.epochs()


def test_only_a_sample_is_polled_in_a_large_data_centre():
    group = start_fleet(60)
    sent = group.sent
    group.advance(10_000.0)
    assert len(group.epochs()) == 60
    assert (group.sent - sent) / 60 / 10 < 2 * 60 * 0.75


def test_epoch_has_the_lists_that_were_in_force_before():
    group = start_fleet(4)
    known = group.epochs()["a-1"].known_since_wall_ms
    group.publish(names(1, 2, 3))
    group.show_all()
    group.advance(8_000.0, group.check)
    epoch = group.epochs()["a-1"]
    assert epoch.known_since_wall_ms == known
    assert [each.revision for each in epoch.earlier] == [1]
    assert isinstance(epoch.earlier[0], ports.EarlierList)


def test_messages_survive_the_codec():
    first = messages.HostList(3, ("a-1", "a-2"))
    for message in (
        messages.Vouch("a", 1, 3, 2, 2, (3,), False, 7, 8, 1.5),
        messages.ListReply("a", 1, (first,)),
        messages.StartCertificate("a", 1, first, (7, 8)),
    ):
        assert codec.decode(codec.encode("a-1", message)).message == message
