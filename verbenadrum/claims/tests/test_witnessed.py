"""Tests of claims under faults: no key is won twice, and none that ran is reported as not run."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from verbenadrum.claims import attempts, homes, keys, messages, register, winners
from verbenadrum.claims.tests import callers
from verbenadrum.core import ports
from verbenadrum.epochs.tests import fleet
from verbenadrum.messages import codec

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=10, stateful_step_count=40
)
# Epochs begin after one vouch term; witnesses abstain for keys from before that and the clock skew.
WARM_UP_MS = 27_000.0
WON, UNKNOWN = ports.ClaimState.WON, ports.ClaimState.UNKNOWN


def names(count, scope="a"):
    return [f"{scope}-{number}" for number in range(1, count + 1)]


def start_fleet(count=5, **options):
    group = callers.ClaimFleet(seed=2, hosts=names(count), **options)
    group.advance(WARM_UP_MS, group.check)
    return group


def claim(group, name, key, span_ms=2_000.0, **options):
    result = group.claim(name, key, **options)
    group.advance(span_ms, group.check)
    return result


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Faults and resends in any order: one winner for each key, and no false "not run"."""

    @stateful.initialize(seed=st.integers(0, 2**32), count=st.integers(3, 7))
    def begin(self, seed, count):
        self.group = callers.ClaimFleet(seed=seed, hosts=names(count))
        self.faults = callers.ClaimSchedule(self.group)
        self.group.advance(WARM_UP_MS, self.group.check)

    @stateful.rule(
        action=st.sampled_from(
            ["replace", "show", "pause", "wake", "restart", "cut", "heal", "noise", "quiet"]
            + ["call", "call", "call", "finish"]
        ),
        span_ms=st.sampled_from((0.0, 100.0, 700.0, 4_000.0)),
    )
    def step(self, action, span_ms):
        getattr(self.faults, action)()
        self.group.advance(span_ms, self.group.check)


TestClaims = ClaimMachine.TestCase
TestClaims.settings = SETTINGS


def fleets_with_problems(seeds, steps=30, **options):
    """Return the number of seeds that lead to a second win or to a false report of "not run"."""
    count = 0
    for seed in seeds:
        group = callers.ClaimFleet(seed=seed, hosts=names(4), **options)
        faults = callers.ClaimSchedule(group)
        group.advance(WARM_UP_MS)
        for _ in range(steps):
            faults.step(None)
        count += bool(group.problems)
    return count


def test_local_claims_run_resent_keys_twice():
    assert fleets_with_problems(range(6), claims="local") == 6
    assert fleets_with_problems(range(6)) == 0


def test_win_by_a_single_accept_is_detected(monkeypatch):
    def first_accept(self):
        verdicts = [answer.verdict for answer in self.answers.values()]
        accepted = messages.WitnessVerdict.ACCEPTED in verdicts
        return attempts.ClaimVote.WON if accepted else attempts.ClaimVote.OPEN

    monkeypatch.setattr(attempts.PendingClaim, "result", first_accept)
    assert fleets_with_problems(range(4)) > 0


def test_resend_through_another_host_gets_the_stored_answer():
    group = start_fleet()
    key = group.key()
    assert claim(group, "a-1", key, win=group.run).claim.state is WON
    resent = claim(group, "a-2", key).claim
    assert (resent.state, resent.answer) == (ports.ClaimState.ANSWERED, callers.ANSWER)


def test_resend_during_the_run_is_in_progress():
    group = start_fleet()
    key = group.key()
    claim(group, "a-1", key)
    assert claim(group, "a-2", key).claim.state is ports.ClaimState.IN_PROGRESS
    assert claim(group, "a-1", key).claim.state is ports.ClaimState.IN_PROGRESS


def test_resend_after_the_winner_restarted_or_stopped_is_unknown():
    group = start_fleet()
    key = group.key()
    claim(group, "a-1", key, win=group.run)
    group.start("a-1")
    resent = claim(group, "a-2", key).claim
    assert (resent.state, resent.reason) == (UNKNOWN, "outcome-unknown")
    group.stop("a-1")
    resent = claim(group, "a-2", key).claim
    assert (resent.state, resent.reason) == (UNKNOWN, "winner-unreachable")


def test_released_key_can_be_won_again():
    group = start_fleet()
    key = group.key()
    claim(group, "a-1", key, win=group.release)
    assert claim(group, "a-2", key, win=group.run).claim.state is WON


def test_racing_claims_have_one_winner():
    group = start_fleet()
    for _ in range(20):
        key = group.key()
        for name in names(5):
            group.claim(name, key, win=group.run)
        group.advance(1_000.0, group.check)
        assert group.won[key] == 1


def test_key_with_another_fingerprint_is_unknown_as_reused():
    group = start_fleet()
    key = group.key()
    claim(group, "a-1", key, win=group.run)
    for name in ("a-1", "a-2"):
        resent = claim(group, name, key, fingerprint="g").claim
        assert (resent.state, resent.reason) == (UNKNOWN, "key-reused")


@pytest.mark.parametrize(
    ("age_ms", "reason"),
    [
        (-5_000.0, "key-from-future"),
        (keys.LIFETIME_MS + 5_000.0, "key-expired"),
        (60_000.0, "witnesses-too-new"),
    ],
)
def test_keys_outside_the_age_limits_are_unknown(age_ms, reason):
    group = start_fleet()
    result = claim(group, "a-1", group.key(-age_ms)).claim
    assert (result.state, result.reason) == (UNKNOWN, reason)


def test_opaque_key_needs_witnesses_older_than_its_lifetime():
    group = start_fleet(3)
    assert claim(group, "a-1", "refund-1").claim.reason == "witnesses-too-new"
    group.advance(keys.LIFETIME_MS, group.check)
    assert claim(group, "a-1", "refund-1").claim.state is WON


def test_opaque_key_needs_no_wait_after_the_first_start():
    group = callers.ClaimFleet(seed=2, hosts=names(3), first_start=True)
    group.advance(fleet.START_WINDOW_MS / 2, group.check)
    assert claim(group, "a-1", "refund-1", win=group.run).claim.state is WON
    for name in names(2):
        group.start(name)
        group.advance(fleet.START_WINDOW_MS, group.check)
    assert claim(group, "a-3", "refund-2").claim.reason == "witnesses-too-new"


def test_opaque_keys_have_one_winner_after_a_first_start():
    assert fleets_with_problems(range(10), first_start=True) == 0


@pytest.mark.parametrize("abstaining", [True, False])
def test_restarted_witnesses_abstain(monkeypatch, abstaining):
    if not abstaining:
        monkeypatch.setattr(register.ClaimRegister, "_refusal", lambda *args: None)
    group = start_fleet(3)
    key = group.key()
    claim(group, "a-1", key, win=group.run)
    for name in ("a-2", "a-3"):
        group.start(name)
        group.advance(8_000.0)
    group.stop("a-1")
    group.advance(200.0)
    group.claim("a-2", key, win=group.run)
    group.advance(6_000.0)
    assert (group.won[key] == 1) is abstaining


def test_last_witness_of_a_shrunken_list_abstains():
    group = start_fleet(3)
    key = group.key()
    for name in names(3):
        group.cuts = {(name, "a-2")} | group.cuts
    claim(group, "a-1", key, win=group.run)
    group.cuts.clear()
    group.publish(["a-2"])
    group.show_all()
    group.advance(8_000.0, group.check)
    assert group.epochs()["a-2"].members == ("a-2",)
    assert claim(group, "a-3", key).claim.reason == "witnesses-too-new"


def test_full_register_gives_not_run(monkeypatch):
    monkeypatch.setattr(register, "MAX_ROWS", 1)
    group = start_fleet(3)
    claim(group, "a-1", group.key(), win=group.run)
    result = claim(group, "a-1", group.key()).claim
    assert (result.state, result.reason) == (ports.ClaimState.NOT_RUN, "register-full")


def test_claims_win_during_the_transition_to_another_list():
    group = start_fleet(5)
    group.publish([*names(5), "a-6"])
    group.start("a-6")
    group.show_all()
    results = []
    for _ in range(60):
        results.append(claim(group, "a-1", group.key(), 100.0, deadline_ms=8_000.0))
    group.advance(9_000.0, group.check)
    assert {result.claim.state for result in results} == {WON}


def test_cut_data_centre_gives_unknown_and_neither_won_nor_not_run():
    group = callers.ClaimFleet(seed=3, hosts=[*names(3), *names(3, "b")])
    group.advance(WARM_UP_MS, group.check)
    home = keys.home_data_centre(group.hosts["a-1"].records, callers.WORKSPACE)
    other = "b" if home == "a" else "a"
    group.cuts = {(x, y) for x in names(3, home) for y in names(3, other)}
    key = group.key()
    assert claim(group, f"{other}-1", key, 6_000.0).claim.state is UNKNOWN
    group.cuts.clear()
    group.advance(100.0)
    assert claim(group, f"{home}-1", key, win=group.run).claim.state is WON


def test_late_message_of_an_earlier_attempt_does_not_remove_a_row():
    group = start_fleet(3)
    witness = group.hosts["a-1"].claims._register
    key = group.key()
    owner = messages.Owner("a-2", 9, "q")
    current_witnesses = keys.witnesses(callers.WORKSPACE, key, tuple(names(3)))
    late = messages.ClaimAsk(callers.WORKSPACE, key, owner, "f", 1, ("a-1", "x", "y"))
    assert (
        witness.decide(
            messages.ClaimAsk(callers.WORKSPACE, key, owner, "f", 2, current_witnesses)
        ).verdict
        is messages.WitnessVerdict.ACCEPTED
    )
    witness.decide(late)
    witness.drop(messages.ClaimDrop(callers.WORKSPACE, key, owner, 1))
    assert len(witness) == 1


def test_rows_and_answers_are_dropped_in_the_end(monkeypatch):
    group = start_fleet(3)
    claim(group, "a-1", group.key(), win=group.run)
    assert {len(host.claims._register) for host in group.hosts.values()} == {1}
    group.advance(keys.LIFETIME_MS + 10_000.0)
    assert {len(host.claims._register) for host in group.hosts.values()} == {0}
    monkeypatch.setattr(winners, "_MAX_ENDED_RUNS", 1)
    table = winners.WinnerTable()
    for number in range(3):
        owner = messages.Owner("a-1", 1, f"q{number}")
        row = winners.WinnerRow(owner=owner, fingerprint="f", attempt=1, witnesses=())
        table.add(("w", f"k{number}"), row)
        table.finish(("w", f"k{number}"), callers.ANSWER, float(number))
    assert table.get(("w", "k0")) is None
    assert table.state(("w", "k0"), row.owner) is messages.WinnerState.ENDED


def test_messages_survive_the_codec():
    owner = messages.Owner("a-1", 3, "q1")
    for message in (
        messages.ClaimAsk("w", "k", owner, "f", 1, ("a-1",)),
        messages.ClaimAnswer(owner, 1, messages.WitnessVerdict.TAKEN, owner),
        messages.WinnerReply("q", owner, messages.WinnerState.ANSWERED, callers.ANSWER),
    ):
        assert codec.decode(codec.encode("a-1", message)).message == message


def test_claims_are_won_after_the_start_window():
    group = callers.ClaimFleet(seed=4, hosts=names(3))
    group.advance(fleet.START_WINDOW_MS, group.check)
    assert claim(group, "a-1", group.key()).claim.state is WON


@pytest.mark.parametrize("restart_ms", [1_000.0, 10_000.0])
def test_restart_does_not_count_as_a_second_first_start(restart_ms):
    group = callers.ClaimFleet(seed=2, hosts=names(3), first_start=True)
    group.advance(restart_ms, group.check)
    claim(group, "a-1", "refund-1", win=group.run)
    for name in names(3):
        group.start(name)
    group.advance(fleet.START_WINDOW_MS - 1_000.0 - group.now_ms, group.check)
    assert len(group.epochs()) == 3
    claim(group, "a-1", "refund-1", win=group.run)
    assert group.runs["refund-1"] == 1


@pytest.mark.parametrize("tracked", [True, False])
def test_witnesses_of_a_moved_home_abstain_while_the_record_propagates(monkeypatch, tracked):
    if not tracked:
        monkeypatch.setattr(homes.HomeTracker, "settled_since_wall_ms", lambda *args, **kw: 0.0)
    group = callers.ClaimFleet(seed=3, hosts=[*names(3), *names(3, "b")])
    group.advance(WARM_UP_MS, group.check)
    home = keys.home_data_centre(group.hosts["a-1"].records, callers.WORKSPACE)
    other = "b" if home == "a" else "a"
    group.weights = {home: 0.0}
    for name in names(3, other):
        group.put_fleet_record(group.hosts[name])
    group.advance(5_000.0)
    key = group.key()
    for name in (f"{home}-1", f"{other}-1"):
        group.claim(name, key, win=group.run)
        group.advance(1_000.0)
    assert (group.won[key] == 1) is tracked
    group.problems.clear()
    for host in group.hosts.values():
        group.put_fleet_record(host)
    group.advance(12_000.0)
    for name in (f"{home}-1", f"{other}-1"):
        assert claim(group, name, group.key(), win=group.run).claim.state is WON
