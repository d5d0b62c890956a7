"""Tests of the rules of single components that the escrow limiter's bound depends on."""

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
PARTITION_BIT = 1 << PARTITION


class LimiterHost:
    """Context, records and host list of the host ``me``, the only one in its region."""

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
        self.publish("fleet", types.FleetSpec(data_centres=self.shares(weight)), 1)
        self.publish(WORKSPACE, types.WorkspaceSpec(rate_per_s=10.0, burst=10.0), 2)
        self.homes = partitions.HomeMap(
            context=self.context, membership=self.membership, scope=partitions.Scope.REGION
        )

    @staticmethod
    def shares(weight):
        own_share = types.DataCentreShare(data_centre="dc", region="r", weight=weight)
        return (own_share, types.DataCentreShare(data_centre="far", region="s", weight=1.0))

    def publish(self, name, spec, revision):
        kind = types.RecordKind.FLEET if name == "fleet" else types.RecordKind.WORKSPACE
        self.records.put(types.Record(kind=kind, name=name, revision=revision, spec=spec))

    def active(self):
        return self.epoch

    def activate_epoch(self, share=0.5, lifetime_ms=10_000.0):
        self.epoch = ports.Epoch(
            scope="dc",
            generation=1,
            revision=1,
            members=("me",),
            next_members=("me",),
            share=share,
            since_wall_ms=0.0,
            valid_until_ms=self.clock.now_ms() + lifetime_ms,
        )

    def advance(self, for_ms, *systems):
        for _ in range(int(for_ms / 50.0)):
            self.clock.advance(50.0)
            for system in systems:
                system.on_tick()

    def last_message(self):
        return self.sent[-1][1]


def make_lender(host):
    return lender.Lender(context=host.context, records=host.records, epochs=host, homes=host.homes)


def poll(round=1, incarnation=7):
    return messages.Poll(round=round, incarnation=incarnation, wanted=PARTITION_BIT)


def make_ready_lender():
    host = LimiterHost()
    lender_role = make_lender(host)
    lender_role.on_tick()
    host.advance(weights.HOLD_MS, lender_role)
    host.activate_epoch()
    return host, lender_role


def test_lender_lends_its_share_to_one_home_until_the_loan_expires():
    host, lender_role = make_ready_lender()
    lender_role.on_poll("a", poll())
    assert (host.last_message().share, host.last_message().granted) == (0.25, PARTITION_BIT)
    lender_role.on_poll("b", poll())
    assert host.last_message().granted == 0
    host.advance(lender.MAX_LEASE_MS, lender_role)
    lender_role.on_poll("b", poll())
    assert host.last_message().granted == PARTITION_BIT


def test_lender_treats_a_restarted_home_as_another_home():
    host, lender_role = make_ready_lender()
    lender_role.on_poll("a", poll(incarnation=7))
    lender_role.on_poll("a", poll(incarnation=8))
    assert host.last_message().granted == 0


def test_loan_does_not_outlast_the_epoch():
    host, lender_role = make_ready_lender()
    host.activate_epoch(lifetime_ms=300.0)
    lender_role.on_poll("a", poll())
    assert host.last_message().lifetime_ms == 300.0
    host.advance(300.0, lender_role)
    lender_role.on_poll("a", poll(round=2))
    assert host.last_message().granted == 0


def test_lender_lends_nothing_after_a_pause_until_the_hold_time_ends():
    host, lender_role = make_ready_lender()
    host.clock.advance(3_000.0)
    lender_role.on_poll("a", poll())
    assert host.last_message().granted == 0
    assert host.context.decisions.newest(1)[0].reason == "host-paused"
    host.advance(weights.HOLD_MS, lender_role)
    lender_role.on_poll("a", poll())
    assert host.last_message().granted == PARTITION_BIT


@pytest.mark.parametrize(("weight", "at_once", "later"), [(3.0, 0.25, 0.375), (0.0, 0.0, 0.0)])
def test_weight_decreases_at_once_and_increases_after_the_hold_time(weight, at_once, later):
    host, lender_role = make_ready_lender()
    host.publish("fleet", types.FleetSpec(data_centres=host.shares(weight)), 3)
    host.advance(50.0, lender_role)
    lender_role.on_poll("a", poll())
    assert host.last_message().share == at_once
    host.advance(weights.HOLD_MS, lender_role)
    lender_role.on_poll("a", poll(round=2))
    assert host.last_message().share == later


def test_release_removes_only_loans_of_its_rounds_and_incarnation():
    host, lender_role = make_ready_lender()
    lender_role.on_poll("a", poll(round=5))
    for release in (
        messages.Release(round=4, incarnation=7, partitions=PARTITION_BIT),
        messages.Release(round=5, incarnation=8, partitions=PARTITION_BIT),
    ):
        lender_role.on_release("a", release)
        lender_role.on_poll("b", poll())
        assert host.last_message().granted == 0
    lender_role.on_release("a", messages.Release(round=5, incarnation=7, partitions=PARTITION_BIT))
    lender_role.on_poll("b", poll())
    assert host.last_message().granted == PARTITION_BIT


def make_home(host):
    numbers = iter(range(100, 10_000))
    role = home_role.Home(
        context=host.context, records=host.records, homes=host.homes, numbers=numbers
    )
    role.on_tick()
    return role, next(m.round for _, m in host.sent if isinstance(m, messages.Poll))


def test_lease_lifetime_starts_at_the_poll_and_unknown_rounds_are_ignored():
    host = LimiterHost()
    role, round_number = make_home(host)
    lend = messages.Lend(round=round_number, share=0.5, lifetime_ms=1_000.0, granted=PARTITION_BIT)
    role.leases.on_lend(
        "a", messages.Lend(round=1, share=0.5, lifetime_ms=1_000.0, granted=PARTITION_BIT)
    )
    assert role.share(PARTITION) == 0.0
    host.advance(600.0)
    role.leases.on_lend("a", lend)
    assert role.share(PARTITION) == 0.5
    host.advance(400.0)
    assert role.share(PARTITION) == 0.0


def test_grant_ends_with_its_leases_and_unspent_tokens_are_returned_once():
    host = LimiterHost()
    role, round_number = make_home(host)
    role.leases.on_lend(
        "a", messages.Lend(round=round_number, share=0.5, lifetime_ms=900.0, granted=PARTITION_BIT)
    )
    host.advance(400.0)
    ask = messages.Ask(number=9, workspace=WORKSPACE, need=2.0, extra=0.0, max_wait_ms=100.0)
    role.on_ask("e", ask)
    grant = host.last_message()
    assert grant.count == 2.0
    assert grant.lifetime_ms <= 900.0 - 400.0
    for _ in range(2):
        settlement = messages.Settlement(number=9, unspent=2.0)
        role.on_settle("e", messages.Settle(grants=(settlement,)))
    again = messages.Ask(number=10, workspace=WORKSPACE, need=4.0, extra=0.0, max_wait_ms=100.0)
    role.on_ask("e", again)
    assert host.last_message().count == 2.0


def test_leases_that_expire_during_a_pause_reduce_the_tokens():
    partition_leases = leases.PartitionLeases(now_ms=0.0, min_round=0)
    partition_leases.bucket(WORKSPACE, now_ms=0.0, rate_per_s=10.0, burst=10.0)
    for name, until_ms in (("a", 5_000.0), ("b", 9_000.0)):
        lease = leases.Lease(share=0.4, until_ms=until_ms, round=1)
        partition_leases.add_lease(now_ms=0.0, lender=name, lease=lease)
    assert partition_leases.share_until(5_000.0) == pytest.approx(0.8)
    assert partition_leases.share_until(5_001.0) == pytest.approx(0.4)
    partition_leases.expire_leases(now_ms=8_000.0)
    bucket = partition_leases.bucket(WORKSPACE, now_ms=8_000.0, rate_per_s=10.0, burst=10.0)
    assert bucket.tokens == pytest.approx(4.0)
    partition_leases.expire_leases(now_ms=9_000.0)
    assert bucket.tokens == 0.0


def test_granted_tokens_use_capacity_until_they_expire():
    bucket = home_bucket.HomeBucket(now_ms=0.0, tokens=4.0, rate_per_s=10.0, burst=4.0)
    key = home_bucket.GrantKey(holder="e", number=1)
    bucket.grant(key, home_bucket.OpenGrant(own_tokens=3.0, until_ms=1_000.0, parts=[]))
    bucket.advance(now_ms=999.0, share=1.0)
    assert bucket.tokens == 1.0
    bucket.advance(now_ms=1_200.0, share=1.0)
    assert bucket.tokens == pytest.approx(3.0)


def make_entry(host):
    return entry_role.EntryRole(
        context=host.context,
        records=host.records,
        membership=host.membership,
        homes=host.homes,
        numbers=iter(range(100, 10_000)),
    )


def test_token_lifetime_starts_at_the_request_and_a_grant_is_used_once():
    host = LimiterHost()
    entry = make_entry(host)
    verdicts = []

    def admit():
        entry.admit(workspace=WORKSPACE, deadline_ms=5_000.0, done=verdicts.append)

    admit()
    number = host.last_message().number
    host.advance(600.0)
    grant = messages.Grant(
        number=number, state=messages.GrantState.GRANTED, count=3.0, lifetime_ms=1_000.0
    )
    entry.on_grant("me", grant)
    assert not entry.has_ask(number)
    admit()
    assert [verdict.granted for verdict in verdicts] == [True, True]
    host.advance(400.0)
    admit()
    assert len(verdicts) == 2


def test_entry_host_refuses_with_a_retry_delay_when_no_token_arrives():
    host = LimiterHost()
    entry = make_entry(host)
    verdicts = []
    entry.admit(workspace=WORKSPACE, deadline_ms=400.0, done=verdicts.append)
    host.advance(500.0, entry)
    assert [verdict.reason for verdict in verdicts] == ["limit-unavailable"]
    assert verdicts[0].retry_after_ms > 0
