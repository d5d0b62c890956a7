"""Tests that workspaces can use their rate through any host, also while homes fail."""

import random

import pytest

from benchmarks import limits_fleet
from verbenadrum.limits import bucket, weights
from verbenadrum.records import types

READY_MS = weights.HOLD_MS + 2_000.0


def make_fleet(rate, burst, hosts=4, make="escrow", seed=3):
    fleet = limits_fleet.Fleet(seed=seed, limiter=make)
    rows = limits_fleet.layout(2, 2, hosts)
    centres = sorted({(row.data_centre, row.region) for row in rows})
    shares = tuple(
        types.DataCentreShare(data_centre=name, region=region) for name, region in centres
    )
    fleet.publish(types.RecordKind.FLEET, "fleet", types.FleetSpec(data_centres=shares))
    spec = types.WorkspaceSpec(rate_per_s=rate, burst=burst)
    fleet.publish(types.RecordKind.WORKSPACE, "w", spec)
    for row in rows:
        fleet.add(row)
    fleet.publish_hosts()
    fleet.run(READY_MS)
    return fleet


def send(fleet, rate, burst, load, for_ms, regions=("r0", "r1"), seed=9):
    """Send requests at random times, at ``load`` times the rate.

    With a load of at most 1, only those requests are sent that one token bucket of this rate and
    burst would admit.
    """
    rng = random.Random(seed)
    allowance = bucket.TokenBucket(now_ms=fleet.now_ms, tokens=burst, rate_per_s=rate, burst=burst)
    end_ms = fleet.now_ms + for_ms
    while True:
        fleet.run(fleet.now_ms + rng.expovariate(load * rate) * 1000.0)
        if fleet.now_ms > end_ms:
            fleet.run(fleet.now_ms + 2_000.0)
            return
        names = [name for name in fleet.names if fleet.hosts[name].row.region in regions]
        if load > 1.0 or allowance.take(now_ms=fleet.now_ms):
            fleet.request(rng.choice(names), "w")


def refused_fraction(fleet):
    return sum(not row.granted for row in fleet.log) / len(fleet.log)


def home_of(fleet, region):
    (home,) = (
        name
        for name, host in fleet.hosts.items()
        if host.row.region == region and host.limiter.lent_share("w") > 0
    )
    return home


@pytest.mark.parametrize(("make", "expected_refused"), [("escrow", 0.0), ("static_split", 1.0)])
def test_small_workspace_gets_its_rate_through_44_hosts(make, expected_refused):
    fleet = make_fleet(2.0, 4.0, hosts=11, make=make)
    send(fleet, 2.0, 4.0, 0.7, 25_000.0)
    assert refused_fraction(fleet) == expected_refused


def test_load_of_five_times_the_rate_gets_the_rate():
    fleet = make_fleet(20.0, 10.0)
    send(fleet, 20.0, 10.0, 5.0, 20_000.0)
    admitted = [at_ms for at_ms in fleet.admitted("w") if at_ms < READY_MS + 20_000.0]
    assert len(admitted) >= 0.95 * 20.0 * 20.0


def test_one_region_can_use_the_share_of_an_idle_region():
    fleet = make_fleet(20.0, 40.0)
    send(fleet, 20.0, 40.0, 0.9, 20_000.0, regions=("r1",))
    assert refused_fraction(fleet) == 0.0


def test_each_side_of_a_network_partition_keeps_its_share():
    fleet = make_fleet(20.0, 20.0)
    fleet.faults.cut.update({("r0", "r1"), ("r1", "r0")})
    send(fleet, 10.0, 10.0, 0.8, 20_000.0, regions=("r0",))
    assert refused_fraction(fleet) == 0.0


def test_large_workspace_is_admitted_without_a_round_trip():
    fleet = make_fleet(200.0, 400.0)
    send(fleet, 200.0, 400.0, 0.7, 10_000.0)
    settled = [row for row in fleet.log if row.at_ms > READY_MS + 3_000.0]
    at_once = sum(row.ended_ms == row.at_ms for row in settled)
    assert at_once >= 0.99 * len(settled)


@pytest.mark.parametrize("one_way", [False, True])
def test_silent_home_is_replaced_while_still_listed(one_way):
    fleet = make_fleet(20.0, 40.0)
    home = home_of(fleet, "r0")
    if one_way:
        fleet.faults.cut.update({(home, "r0"), (home, "r1")})
    else:
        fleet.remove(home)
    fleet.run(fleet.now_ms + 8_000.0)
    substitute = home_of(fleet, "r0") if not one_way else None
    fleet.log.clear()
    fleet.hosts.pop(home, None)
    send(fleet, 20.0, 40.0, 0.8, 15_000.0)
    assert substitute != home
    assert refused_fraction(fleet) == 0.0


def test_idle_workspaces_keep_no_bucket_or_account():
    fleet = make_fleet(20.0, 40.0)
    send(fleet, 20.0, 40.0, 0.5, 3_000.0)
    assert any(
        partition_leases.buckets
        for host in fleet.hosts.values()
        for partition_leases in host.limiter._home.leases
    )
    fleet.run(fleet.now_ms + 25_000.0)
    for host in fleet.hosts.values():
        assert not any(partition_leases.buckets for partition_leases in host.limiter._home.leases)
        assert not host.limiter._entry._accounts
