"""Tests of the escrow limiter with vouched epochs while hosts are replaced."""

import random

import msgspec
import pytest

from benchmarks import limits_fleet
from verbenadrum.limits import reference
from verbenadrum.records import types

RATE_PER_S, BURST = 40.0, 20.0
READY_MS = 12_000.0


def make_fleet(seed):
    fleet = limits_fleet.Fleet(seed=seed, limiter="escrow", epochs="vouched")
    rows = limits_fleet.layout(2, 1, 5)
    shares = tuple(
        types.DataCentreShare(
            data_centre=f"dc{index}0",
            region=f"r{index}",
            start_until_wall_ms=limits_fleet.WALL_MS + READY_MS,
        )
        for index in range(2)
    )
    fleet.publish(types.RecordKind.FLEET, "fleet", types.FleetSpec(data_centres=shares))
    spec = types.WorkspaceSpec(rate_per_s=RATE_PER_S, burst=BURST)
    fleet.publish(types.RecordKind.WORKSPACE, "w", spec)
    for row in rows:
        fleet.add(row)
    fleet.publish_hosts()
    fleet.run(READY_MS)
    return fleet


def replace_random_host(fleet, rng, count):
    name = rng.choice(fleet.names)
    row = fleet.hosts[name].row
    fleet.remove(name)
    fleet.add(msgspec.structs.replace(row, host=f"{row.data_centre}-new{count}"))
    fleet.publish_hosts(lag_ms=lambda: rng.uniform(0.0, 4_000.0))


def ready_hosts(fleet):
    """Return the hosts that a load balancer would use, which are those with a host list."""
    return [name for name in fleet.names if fleet.hosts[name].membership.revision]


def send(fleet, rng, for_ms, every_ms, copies=1):
    end_ms = fleet.now_ms + for_ms
    while fleet.now_ms < end_ms:
        for _ in range(copies):
            fleet.request(rng.choice(ready_hosts(fleet)), "w")
        fleet.run(fleet.now_ms + every_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_while_hosts_are_replaced_under_load(seed):
    fleet = make_fleet(seed)
    rng = random.Random(seed)
    for count in range(6):
        replace_random_host(fleet, rng, count)
        fleet.pause(rng.choice(fleet.names), rng.choice([200.0, 4_000.0]))
        send(fleet, rng, rng.choice([1_500.0, 6_000.0]), every_ms=25.0, copies=4)
    admitted = fleet.admitted("w")
    assert reference.excess(admitted, rate_per_s=RATE_PER_S, burst=BURST) <= 1e-6
    assert len(admitted) > 0.3 * RATE_PER_S * (fleet.now_ms - READY_MS) / 1000.0


def test_requests_within_the_rate_are_admitted_while_hosts_are_replaced():
    fleet = make_fleet(4)
    rng = random.Random(4)
    for count in range(4):
        send(fleet, rng, 15_000.0, every_ms=50.0)
        replace_random_host(fleet, rng, count)
    ended = [row for row in fleet.log if row.granted is not None]
    assert all(row.granted for row in ended)
