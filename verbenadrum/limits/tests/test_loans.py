"""Tests of the loans of shares between the lenders and the homes of a workspace."""

import functools

import pytest

from benchmarks import limits_fleet
from verbenadrum.limits import lenders, loans, messages, metered, tolerance
from verbenadrum.records import types

RATE_PER_S = BURST = 20.0
SETTLED_MS = 5_000.0


def make_fleet(hosts=8, regions=1, limiter=metered.MeteredLimiter):
    fleet = limits_fleet.Fleet(seed=1, limiter=limiter)
    spec = types.WorkspaceSpec(rate_per_s=RATE_PER_S, burst=BURST)
    fleet.publish(types.RecordKind.WORKSPACE, "w", spec)
    for row in limits_fleet.layout(regions, 1, hosts):
        fleet.add(row)
    fleet.publish_hosts()
    fleet.run(SETTLED_MS)
    return fleet


def ranked(fleet):
    membership = fleet.hosts[fleet.names[0]].membership
    return membership.ranked_hosts("limit/w", membership.hosts(), len(fleet.names))


def spend(fleet, name, count=100):
    """Send many requests through a host at once; return how many were admitted."""
    rows = [fleet.request(name, "w") for _ in range(count)]
    fleet.run(fleet.now_ms + 400.0)
    return sum(bool(row.granted) for row in rows)


def test_bucket_of_an_idle_workspace_holds_its_whole_burst():
    fleet = make_fleet()
    accrued = RATE_PER_S * 0.4
    assert BURST <= spend(fleet, fleet.names[0]) <= BURST + accrued + 1


def test_home_that_shuts_down_hands_over_what_is_left():
    fleet = make_fleet()
    home, _, other = ranked(fleet)[:3]
    spend(fleet, other, count=1)
    fleet.hosts[home].limiter.announce_shutdown()
    for host in fleet.hosts.values():
        host.membership.mark_leaving(home, 1)
    fleet.run(fleet.now_ms + 20.0)
    assert spend(fleet, other) >= BURST - 2


def test_share_is_lent_to_one_home_at_a_time():
    fleet = make_fleet()
    first, second, *_ = ranked(fleet)
    for host in fleet.hosts.values():
        if host.row.host != first:
            host.membership.set_suspected(first, True)
    admitted = spend(fleet, first) + spend(fleet, second)
    assert admitted <= BURST + RATE_PER_S * 0.8 + 1


def test_silent_home_keeps_its_shares_until_its_loans_end():
    fleet = make_fleet()
    home, second, other = ranked(fleet)[:3]
    assert spend(fleet, other) >= BURST
    fleet.remove(home)
    fleet.hosts[other].membership.set_suspected(home, True)
    fleet.hosts[second].membership.set_suspected(home, True)
    assert spend(fleet, other) == 0
    fleet.run(fleet.now_ms + loans.LEASE_MS)
    assert spend(fleet, other) > 0


def test_suspended_home_grants_nothing_from_its_earlier_loans(monkeypatch):
    fleet = make_fleet()
    home, _, other = ranked(fleet)[:3]
    spend(fleet, other, count=1)
    meters = fleet.hosts[home].limiter._meters
    move_clocks(monkeypatch, fleet, suspended_ms=10_000.0)
    spec = types.WorkspaceSpec(rate_per_s=RATE_PER_S, burst=BURST)
    assert not meters.take_token("w", spec).granted


def move_clocks(monkeypatch, fleet, *, suspended_ms=0.0, wall_jump_ms=0.0):
    """Let the monotonic clock of every host have stood still, and its wall clock have jumped."""
    for host in fleet.hosts.values():
        offset_ms, boot_ms = host.clock.wall_ms() - host.clock.now_ms(), host.clock.boot_ms
        monkeypatch.setattr(
            host.clock,
            "wall_ms",
            lambda clock=host.clock, offset_ms=offset_ms + suspended_ms + wall_jump_ms: (
                clock.now_ms() + offset_ms
            ),
        )
        monkeypatch.setattr(host.clock, "boot_ms", lambda ms=boot_ms: ms() + suspended_ms)


def test_suspension_is_noticed_although_the_time_of_day_went_back(monkeypatch):
    fleet = make_fleet()
    home, _, other = ranked(fleet)[:3]
    spend(fleet, other, count=1)
    move_clocks(monkeypatch, fleet, suspended_ms=3_000.0, wall_jump_ms=-5_000.0)
    spec = types.WorkspaceSpec(rate_per_s=RATE_PER_S, burst=BURST)
    assert not fleet.hosts[home].limiter._meters.take_token("w", spec).granted


@pytest.mark.parametrize("wall_jump_ms", [-5_000.0, 300.0, 5_000.0])
def test_jump_of_the_time_of_day_takes_no_burst_away(monkeypatch, wall_jump_ms):
    fleet = make_fleet(hosts=22, regions=2)
    spend(fleet, fleet.names[0], count=1)
    fleet.run(fleet.now_ms + 1_000.0)
    move_clocks(monkeypatch, fleet, wall_jump_ms=wall_jump_ms)
    fleet.run(fleet.now_ms + 300.0)
    assert spend(fleet, fleet.names[0]) >= BURST


# The monotonic clock of a machine starts anew with it.
def test_answer_to_an_earlier_run_of_a_home_lends_nothing_for_longer_than_a_lease():
    fleet = make_fleet()
    home, lender, other = ranked(fleet)[:3]
    spend(fleet, home, count=1)
    host = fleet.hosts[home]
    fleet.faults.cut.update((name, home) for name in fleet.names if name != home)
    row = messages.ShareRow("w", 0.5, 5.0, False, 5.0, home)
    late = messages.ShareAnswer(host.clock.now_ms() + 600_000.0, (row,))
    host.limiter._meters.borrow(lender, late)
    fleet.run(fleet.now_ms + 3.0 * loans.LEASE_MS)
    tokens = [host.limiter._meters.take_token("w", host.records.workspace("w")) for _ in range(9)]
    assert not any(token.granted or token.has_share for token in tokens)


# Messages are not ordered: a late release freed a share that had been lent once more.
def test_release_that_arrives_after_the_next_loan_does_not_end_it():
    fleet = make_fleet()
    first, second, *_ = ranked(fleet)
    book = fleet.hosts[second].limiter._loans
    wishes = (messages.ShareWish("w"),)
    book.lend(first, messages.ShareAsk(100.0, 1, wishes))
    book.lend(first, messages.ShareAsk(300.0, 1, wishes))
    late = messages.ShareRelease(200.0, 1, (messages.ReleasedShare("w", 1.0),))
    book.take_back(first, late)
    answer, _ = book.lend(second, messages.ShareAsk(0.0, 2, wishes))
    assert [each.share for each in answer.rows] == [0.0]
    book.take_back(first, messages.ShareRelease(400.0, 1, late.rows))
    answer, _ = book.lend(second, messages.ShareAsk(0.0, 2, wishes))
    assert [each.share > 0.0 for each in answer.rows] == [True]


def test_started_host_lends_at_first_only_to_the_usual_home():
    fleet = make_fleet()
    first, second, *_, last = ranked(fleet)
    row = fleet.hosts[last].row
    fleet.add(row)
    fleet.publish_hosts()
    book = fleet.hosts[last].limiter._loans
    ask = messages.ShareAsk(0.0, 1, (messages.ShareWish("w"),))
    answer, _ = book.lend(second, ask)
    assert [each.share for each in answer.rows] == [0.0]
    answer, _ = book.lend(first, ask)
    assert [each.share > 0.0 for each in answer.rows] == [True]


# One late answer of the home used up the tolerance of the workspace for a window.
def test_late_answers_of_a_home_cost_the_tolerance_no_more_than_they_need():
    made = functools.partial(
        metered.MeteredLimiter, tolerance=tolerance.Tolerance(overshoot=0.25, slack=20.0)
    )
    fleet = make_fleet(hosts=20, limiter=made)
    fleet.run(fleet.now_ms + 3_000.0)
    home, *_, other, last = ranked(fleet)
    fleet.faults.cut.update({(last, home), (home, last)})
    rows = []
    for _ in range(4):
        rows.append(fleet.request(last, "w"))
        for _ in range(7):
            fleet.request(other, "w")
            fleet.run(fleet.now_ms + 200.0)
    assert [bool(row.granted) for row in rows] == [True] * 4


@pytest.mark.parametrize("hosts", [1, 3, 37])
def test_shares_of_a_workspace_add_up_to_the_whole(hosts):
    fleet = make_fleet(hosts, regions=2)
    host = fleet.hosts[fleet.names[0]]
    lender_list = lenders.LenderList(
        context=host.context, records=host.records, membership=host.membership
    )
    assert sum(lender_list.shares("w").values()) == pytest.approx(1.0)


@pytest.mark.parametrize("rate_per_s", [4.0, 46.0, 400.0, 4_000.0])
@pytest.mark.parametrize("hosts", [1, 44, 293, 890])
def test_parts_of_the_tolerance_add_up_to_no_more_than_it(hosts, rate_per_s):
    made = tolerance.Tolerance(overshoot=0.25, slack=20.0)
    spec = types.WorkspaceSpec(rate_per_s=rate_per_s, burst=rate_per_s)
    parts = hosts * made.local_part(spec, hosts) + made.lender_part(spec, 1.0)
    reserved = rate_per_s * (tolerance.GRANT_DELAY_MS + tolerance.LEASE_MS) / 1000.0
    assert parts + reserved <= 0.25 * rate_per_s * 6.0 + 20.0 + 1e-6
