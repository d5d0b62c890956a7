"""Tests of the single guards that the bound over the fleet rests on, each at its own object."""

import random

import pytest

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.limits import (
    entry_role,
    home_bucket,
    leases,
    lender,
    messages,
    partitions,
    weights,
)
from verbenadrum.limits import home as home_role
from verbenadrum.membership import table as host_table
from verbenadrum.records import table as record_table
from verbenadrum.records import types
from verbenadrum.utils import clock

WORKSPACE = "w"
PARTITION = partitions.partition_of(WORKSPACE)
BIT = 1 << PARTITION


class Bench:
    """Context, records and host list of the host ``me``, alone in its region."""

    def __init__(self, weight=1.0):
        self.clock = clock.SteppedClock(now_ms=50.0)
        self.sent = []
        self.epoch = None
        self.records = record_table.RecordTable()
        self.membership = host_table.HostTable()
        self.context = context.Context(
            host="me",
            data_centre="dc",
            region="r",
            incarnation=1,
            clock=self.clock,
            rng=random.Random(1),
            send=lambda to, message: self.sent.append((to, message)),
            decisions=ring.DecisionRing(wall_ms=self.clock.wall_ms),
        )
        row = ports.HostRow(host="me", address="127.0.0.1:1", data_centre="dc", region="r")
        self.membership.replace(1, (row,))
        self.put("fleet", types.FleetSpec(data_centres=self.shares(weight)), 1)
        self.put(WORKSPACE, types.WorkspaceSpec(rate_per_s=10.0, burst=10.0), 2)
        self.homes = partitions.HomeMap(
            context=self.context, membership=self.membership, scope=partitions.Scope.REGION
        )

    @staticmethod
    def shares(weight):
        own = types.DataCentreShare(data_centre="dc", region="r", weight=weight)
        return (own, types.DataCentreShare(data_centre="far", region="s", weight=1.0))

    def put(self, name, spec, revision):
        kind = types.RecordKind.FLEET if name == "fleet" else types.RecordKind.WORKSPACE
        self.records.put(types.Record(kind=kind, name=name, revision=revision, spec=spec))

    def active(self):
        return self.epoch

    def hold_epoch(self, share=0.5, life_ms=10_000.0):
        self.epoch = ports.Epoch(
            scope="dc",
            generation=1,
            revision=1,
            members=("me",),
            next_members=("me",),
            share=share,
            since_wall_ms=0.0,
            valid_until_ms=self.clock.now_ms() + life_ms,
        )

    def pass_ms(self, for_ms, *ticked):
        for _ in range(int(for_ms / 50.0)):
            self.clock.advance(50.0)
            for each in ticked:
                each.on_tick()

    def last(self):
        return self.sent[-1][1]


def make_lender(bench):
    return lender.Lender(
        context=bench.context, records=bench.records, epochs=bench, homes=bench.homes
    )


def poll(round=1, incarnation=7):
    return messages.Poll(round=round, incarnation=incarnation, wanted=BIT)


def ready_lender():
    bench = Bench()
    lends = make_lender(bench)
    lends.on_tick()
    bench.pass_ms(weights.HOLD_MS, lends)
    bench.hold_epoch()
    return bench, lends


def test_lender_lends_its_part_to_one_home_until_the_loan_ends():
    bench, lends = ready_lender()
    lends.on_poll("a", poll())
    assert (bench.last().share, bench.last().granted) == (0.25, BIT)
    lends.on_poll("b", poll())
    assert bench.last().granted == 0
    bench.pass_ms(lender.LEASE_MS, lends)
    lends.on_poll("b", poll())
    assert bench.last().granted == BIT


def test_lender_takes_a_second_run_of_a_home_for_another_home():
    bench, lends = ready_lender()
    lends.on_poll("a", poll(incarnation=7))
    lends.on_poll("a", poll(incarnation=8))
    assert bench.last().granted == 0


def test_lender_keeps_within_its_epoch():
    bench, lends = ready_lender()
    bench.hold_epoch(life_ms=300.0)
    lends.on_poll("a", poll())
    assert bench.last().life_ms == 300.0
    bench.pass_ms(300.0, lends)
    lends.on_poll("a", poll(round=2))
    assert bench.last().granted == 0


def test_lender_that_woke_from_a_pause_lends_nothing_for_the_hold_time():
    bench, lends = ready_lender()
    bench.clock.advance(3_000.0)
    lends.on_poll("a", poll())
    assert bench.last().granted == 0
    assert bench.context.decisions.newest(1)[0].reason == "host-paused"
    bench.pass_ms(weights.HOLD_MS, lends)
    lends.on_poll("a", poll())
    assert bench.last().granted == BIT


@pytest.mark.parametrize(("weight", "at_once", "later"), [(3.0, 0.25, 0.375), (0.0, 0.0, 0.0)])
def test_weight_shrinks_at_once_and_grows_after_the_hold_time(weight, at_once, later):
    bench, lends = ready_lender()
    bench.put("fleet", types.FleetSpec(data_centres=bench.shares(weight)), 3)
    bench.pass_ms(50.0, lends)
    lends.on_poll("a", poll())
    assert bench.last().share == at_once
    bench.pass_ms(weights.HOLD_MS, lends)
    lends.on_poll("a", poll(round=2))
    assert bench.last().share == later


def test_release_frees_the_loans_of_its_rounds_only():
    bench, lends = ready_lender()
    lends.on_poll("a", poll(round=5))
    for release in (
        messages.Release(round=4, incarnation=7, partitions=BIT),
        messages.Release(round=5, incarnation=8, partitions=BIT),
    ):
        lends.on_release("a", release)
        lends.on_poll("b", poll())
        assert bench.last().granted == 0
    lends.on_release("a", messages.Release(round=5, incarnation=7, partitions=BIT))
    lends.on_poll("b", poll())
    assert bench.last().granted == BIT


def make_home(bench):
    numbers = iter(range(100, 10_000))
    role = home_role.Home(
        context=bench.context, records=bench.records, homes=bench.homes, numbers=numbers
    )
    role.on_tick()
    return role, next(m.round for _, m in bench.sent if isinstance(m, messages.Poll))


def test_home_counts_a_lease_from_its_poll_and_ignores_unknown_rounds():
    bench = Bench()
    role, round_number = make_home(bench)
    lend = messages.Lend(round=round_number, share=0.5, life_ms=1_000.0, granted=BIT)
    role.leases.on_lend("a", messages.Lend(round=1, share=0.5, life_ms=1_000.0, granted=BIT))
    assert role.share(PARTITION) == 0.0
    bench.pass_ms(600.0)
    role.leases.on_lend("a", lend)
    assert role.share(PARTITION) == 0.5
    bench.pass_ms(400.0)
    assert role.share(PARTITION) == 0.0


def test_home_grants_no_longer_than_its_leases_and_takes_unspent_tokens_once():
    bench = Bench()
    role, round_number = make_home(bench)
    role.leases.on_lend(
        "a", messages.Lend(round=round_number, share=0.5, life_ms=900.0, granted=BIT)
    )
    bench.pass_ms(400.0)
    ask = messages.Ask(number=9, workspace=WORKSPACE, need=2.0, extra=0.0, patience_ms=100.0)
    role.on_ask("e", ask)
    grant = bench.last()
    assert grant.count == 2.0
    assert grant.life_ms <= 900.0 - 400.0
    for _ in range(2):
        settlement = messages.Settlement(number=9, unspent=2.0)
        role.on_settle("e", messages.Settle(grants=(settlement,)))
    again = messages.Ask(number=10, workspace=WORKSPACE, need=4.0, extra=0.0, patience_ms=100.0)
    role.on_ask("e", again)
    assert bench.last().count == 2.0


def test_tokens_of_a_lease_that_ended_during_a_pause_are_gone():
    held = leases.PartitionLeases(now_ms=0.0, first_round=0)
    held.bucket(WORKSPACE, now_ms=0.0, rate_per_s=10.0, burst=10.0)
    for name, until_ms in (("a", 5_000.0), ("b", 9_000.0)):
        lease = leases.Lease(share=0.4, until_ms=until_ms, round=1)
        held.lend(now_ms=0.0, lender=name, lease=lease)
    assert held.share_until(5_000.0) == pytest.approx(0.8)
    assert held.share_until(5_001.0) == pytest.approx(0.4)
    held.settle(now_ms=8_000.0)
    bucket = held.bucket(WORKSPACE, now_ms=8_000.0, rate_per_s=10.0, burst=10.0)
    assert bucket.held == pytest.approx(4.0)
    held.settle(now_ms=9_000.0)
    assert bucket.held == 0.0


def test_granted_tokens_take_room_until_they_expire():
    bucket = home_bucket.HomeBucket(now_ms=0.0, held=4.0, rate_per_s=10.0, burst=4.0)
    key = home_bucket.GrantKey(holder="e", number=1)
    bucket.grant(key, home_bucket.GrantRow(own=3.0, until_ms=1_000.0, parts=[]))
    bucket.advance(now_ms=999.0, share=1.0)
    assert bucket.held == 1.0
    bucket.advance(now_ms=1_200.0, share=1.0)
    assert bucket.held == pytest.approx(3.0)


def make_entry(bench):
    return entry_role.EntryRole(
        context=bench.context,
        records=bench.records,
        membership=bench.membership,
        homes=bench.homes,
        numbers=iter(range(100, 10_000)),
    )


def test_entry_counts_tokens_from_its_asking_and_takes_a_grant_once():
    bench = Bench()
    entry = make_entry(bench)
    verdicts = []

    def admit():
        entry.admit(workspace=WORKSPACE, deadline_ms=5_000.0, done=verdicts.append)

    admit()
    number = bench.last().number
    bench.pass_ms(600.0)
    grant = messages.Grant(
        number=number, state=messages.GrantState.GRANTED, count=3.0, life_ms=1_000.0
    )
    entry.on_grant("me", grant)
    assert not entry.owns(number)
    admit()
    assert [verdict.granted for verdict in verdicts] == [True, True]
    bench.pass_ms(400.0)
    admit()
    assert len(verdicts) == 2


def test_entry_refuses_with_a_hint_when_no_token_comes():
    bench = Bench()
    entry = make_entry(bench)
    verdicts = []
    entry.admit(workspace=WORKSPACE, deadline_ms=400.0, done=verdicts.append)
    bench.pass_ms(500.0, entry)
    assert [verdict.reason for verdict in verdicts] == ["limit-unavailable"]
    assert verdicts[0].retry_after_ms > 0
