"""Tests that all hosts together keep to the limits that backend servers name in their answers."""

import math

import pytest

from standins import limited_fleet
from verbenadrum.engine import behaviours

assert behaviours

_NEXT_TO_NOTHING_PER_S = 1e-6


@pytest.mark.parametrize(
    ("hosts", "script"),
    [
        *((hosts, script) for hosts in (44, 110) for script in limited_fleet.SCRIPTS),
        (890, "steady"),
    ],
)
def test_limited_servers_get_no_more_than_they_take(script, hosts):
    limited = limited_fleet.LimitedFleet(hosts)
    limited_fleet.SCRIPTS[script](limited)
    assert any(limited.told_ms)
    assert limited.excess() == {}


@pytest.mark.parametrize("limit_per_s", [1.0, 5.0])
def test_limited_pool_serves_what_its_limits_allow_under_twice_the_load(limit_per_s):
    total_per_s = 8 * limit_per_s
    limited = limited_fleet.LimitedFleet(
        44, per_s=2.0 * total_per_s, limits=(limit_per_s,) * 8, unlimited=0, target_ms=1_200.0
    )
    limited.fleet.run(5_000.0)
    received = limited_fleet.count_received(limited, 20_000.0)
    assert sum(received.values()) >= 0.9 * total_per_s * 20.0
    assert limited.excess() == {}


@pytest.mark.parametrize("limit_per_s", [1.0, 5.0])
def test_limited_pool_serves_each_workspace_beside_one_at_seven_times_its_rate(limit_per_s):
    """The pool is asked for twice what its limits allow."""
    names = ("a", "b", "c", "d")
    total_per_s = 8 * limit_per_s
    rate_per_s = 2.0 * total_per_s / (len(names) + 7)
    limited = limited_fleet.LimitedFleet(
        44,
        per_s=_NEXT_TO_NOTHING_PER_S,
        limits=(limit_per_s,) * 8,
        unlimited=0,
        target_ms=1_200.0,
        weights=dict.fromkeys(("w", *names, "greedy"), 1.0),
    )
    fleet = limited.fleet
    for name, per_s in (*dict.fromkeys(names, rate_per_s).items(), ("greedy", 7 * rate_per_s)):
        fleet.load(workspace=name, per_s=per_s, path=lambda: f"/{fleet.rng.random()}")
    fleet.run(5_000.0)
    started_ms = fleet.clock.now_ms()
    received = limited_fleet.count_received(limited, 20_000.0)
    fleet.run(2_000.0)
    assert sum(received.values()) >= 0.9 * total_per_s * 20.0
    sent = [log for log in fleet.logs if started_ms <= log.sent_ms < started_ms + 20_000.0]
    for name in names:
        own = [log.ok for log in sent if log.workspace == name]
        assert sum(own) >= 0.95 * len(own), name


def test_refused_callers_of_a_limited_pool_are_told_when_to_come_back():
    limited = limited_fleet.LimitedFleet(
        44, per_s=60.0, limits=(1.0,) * 8, unlimited=0, target_ms=1_200.0
    )
    limited.fleet.run(10_000.0)
    refused = [log for log in limited.fleet.logs[200:] if log.refusal]
    assert refused
    assert all(log.retry_after_ms > 0.0 for log in refused)


@pytest.mark.parametrize("limit_per_s", [20.0, math.inf])
def test_limit_that_rises_or_vanishes_is_used_within_a_second(limit_per_s):
    limited = limited_fleet.LimitedFleet(44, per_s=200.0, limits=(2.0,) * 8, unlimited=0)
    limited.fleet.run(5_000.0)
    for server in limited.fleet.servers.values():
        server.limit_per_s = limit_per_s
    limited.fleet.run(1_000.0)
    received = limited_fleet.count_received(limited, 3_000.0)
    assert sum(received.values()) >= 0.9 * 3.0 * min(8 * limit_per_s, 200.0)
