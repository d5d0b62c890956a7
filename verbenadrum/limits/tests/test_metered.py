"""Plays many hosts and a workspace that sends far more than its rate, or just below it."""

import random

import pytest

from benchmarks import limits_fleet
from verbenadrum.limits import metered
from verbenadrum.records import types

WORKSPACE = "busy"
RATE_PER_S = BURST = 46.0
ROWS = limits_fleet.layout(2, 2, 11)
# The users' bound: any window of five seconds, a quarter more and twenty requests.
WINDOW_MS = 5_000.0
MOST = (RATE_PER_S * WINDOW_MS / 1000.0 + BURST) * 1.25 + 20.0
SETTLED_MS = 3_000.0


def make_fleet(seed):
    fleet = limits_fleet.Fleet(seed=seed, make=metered.MeteredLimiter)
    spec = types.WorkspaceSpec(rate_per_s=RATE_PER_S, burst=BURST)
    fleet.publish(types.RecordKind.WORKSPACE, WORKSPACE, spec)
    for row in ROWS:
        fleet.add(row)
    fleet.publish_hosts()
    fleet.run(fleet.now_ms + SETTLED_MS)
    return fleet


def send(fleet, rng, per_s, for_ms, names=None):
    """Send at random moments through random hosts, and return how many were sent."""
    end_ms = fleet.now_ms + for_ms
    sent = 0
    while (next_ms := fleet.now_ms + rng.expovariate(per_s / 1000.0)) < end_ms:
        fleet.run(next_ms)
        fleet.request(rng.choice(names or fleet.names), WORKSPACE)
        sent += 1
    fleet.run(end_ms)
    return sent


def most_in_window(fleet):
    times = sorted(fleet.admitted(WORKSPACE))
    return max(
        sum(start <= at <= start + WINDOW_MS for at in times[index:])
        for index, start in enumerate(times)
    )


@pytest.mark.parametrize("seed", range(3))
def test_nothing_within_the_rate_is_refused(seed):
    fleet = make_fleet(seed)
    sent = send(fleet, random.Random(seed), RATE_PER_S / 1.6, 10_000.0)
    assert len(fleet.admitted(WORKSPACE)) == sent


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("times", [1.5, 4.7, 12.0])
def test_a_rush_stays_within_the_bound_and_uses_the_rate(seed, times):
    fleet = make_fleet(seed)
    rng = random.Random(seed)
    send(fleet, rng, RATE_PER_S / 1.6, 4_000.0)
    before = len(fleet.admitted(WORKSPACE))
    send(fleet, rng, RATE_PER_S * times, 10_000.0)
    assert most_in_window(fleet) <= MOST
    assert len(fleet.admitted(WORKSPACE)) - before >= 0.9 * RATE_PER_S * 10.0


def test_both_sides_of_a_cut_together_stay_within_the_bound():
    fleet = make_fleet(5)
    rng = random.Random(5)
    regions = sorted({row.region for row in ROWS})
    for host in fleet.hosts.values():
        for row in ROWS:
            if row.region != host.row.region:
                host.membership.suspect(row.host, True)
    fleet.faults.cut.update({tuple(regions), tuple(reversed(regions))})
    send(fleet, rng, RATE_PER_S * 4.7, 12_000.0)
    assert most_in_window(fleet) <= MOST
