"""Plays many hosts whose homes move while servers fail, and counts repeats as servers see them."""

import bisect

import pytest

from standins import stepped_fleet
from verbenadrum.core import behaviours
from verbenadrum.placement import budget

assert behaviours

PER_S = 200.0
SERVERS = 12
RUN_MS = 24_000.0
LIMITS = budget.RetryLimits(ratio=0.2, slack=0.8 * PER_S, window_ms=10_000.0)
SILENT_MS = 150.0


def failing_fleet(hosts, seed, **fields):
    """Return a fleet in which most answers are quick errors."""
    rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
    centres = ("r1a", "r1b", "r2a", "r2b")
    fleet = stepped_fleet.Fleet(
        hosts=rows,
        servers={f"s{index}": centres[index % 4] for index in range(SERVERS)},
        health="belief",
        seed=seed,
        retries=LIMITS,
        **fields,
    )
    for server in fleet.servers.values():
        server.error_fraction = 0.8
        server.error_ms = 1.0
    fleet.load(workspace="w", per_s=PER_S, path=lambda: f"/item/{fleet.rng.randrange(1_000_000)}")
    return fleet


def beyond_budget(fleet):
    """Return the most repeats above the budget in any window.

    The requests of a window are those in it, in the one before it, or in the one that begins
    half a window earlier, whichever are most.
    """
    sent = sorted(log.sent_ms for log in fleet.logs)
    repeats = sorted(fleet.repeats_ms)
    width = LIMITS.window_ms

    def requests(start_ms):
        return bisect.bisect_left(sent, start_ms + width) - bisect.bisect_left(sent, start_ms)

    def beyond(index):
        start_ms = repeats[index]
        count = bisect.bisect_left(repeats, start_ms + width) - index
        firsts = max(requests(start_ms - lag_ms) for lag_ms in (0.0, width / 2.0, width))
        return count - LIMITS.ratio * firsts - LIMITS.slack

    return max(map(beyond, range(len(repeats))))


def homes(fleet):
    """Return the host that each region's hosts ask first."""
    found = []
    for region in ("r1", "r2"):
        entry = next(
            host.placer.entry
            for host in fleet.hosts.values()
            if host.alive and host.row.region == region
        )
        found.append(entry.homes(stepped_fleet.SERVICE, region)[0])
    return found


def end_homes(fleet, *, down_ms, every_ms):
    """Kill the homes of both regions again and again; each comes back without memory."""

    def back(names):
        for name in names:
            fleet.restart_host(name)
        fleet.list_hosts(tuple(name for name, host in fleet.hosts.items() if host.alive))

    def end():
        ended = homes(fleet)
        for name in ended:
            fleet.fail_host(name)
        left = tuple(name for name, host in fleet.hosts.items() if host.alive)
        fleet.after(SILENT_MS, lambda: fleet.list_hosts(left))
        fleet.after(down_ms, lambda: back(ended))
        fleet.after(every_ms, end)

    fleet.after(3_000.0, end)


@pytest.mark.parametrize("hosts", [44, 90, 110])
def test_homes_that_follow_each_other_keep_to_one_retry_budget(hosts):
    fleet = failing_fleet(hosts, seed=hosts)
    end_homes(fleet, down_ms=2_000.0, every_ms=1_300.0)
    fleet.run(RUN_MS)
    assert beyond_budget(fleet) <= 0.0


@pytest.mark.parametrize("hosts", [44, 90, 110])
def test_hosts_that_are_each_cut_off_keep_to_one_retry_budget(hosts):
    fleet = failing_fleet(hosts, seed=hosts)
    fleet.run(2_000.0)
    names = list(fleet.hosts)
    alone = names[:: max(1, hosts // 20)]
    for name in alone:
        for other in names:
            if other != name:
                fleet.cut |= {(name, other), (other, name)}
                fleet.hosts[name].membership.suspect(other, True)
                fleet.hosts[other].membership.suspect(name, True)
    fleet.load(workspace="w", per_s=PER_S, hosts=tuple(alone))
    fleet.run(RUN_MS)
    assert beyond_budget(fleet) <= 0.0


def test_data_centres_cut_from_each_other_keep_to_one_retry_budget():
    fleet = failing_fleet(90, seed=3)
    fleet.run(2_000.0)
    for name, host in fleet.hosts.items():
        for other, peer in fleet.hosts.items():
            if peer.row.data_centre != host.row.data_centre:
                fleet.cut.add((name, other))
                host.membership.suspect(other, True)
    fleet.run(RUN_MS)
    assert beyond_budget(fleet) <= 0.0


def test_hosts_that_know_of_no_other_yet_keep_to_one_retry_budget():
    fleet = failing_fleet(90, seed=4)
    for name in fleet.hosts:
        fleet.list_hosts((name,), views=(name,))
    fleet.run(3_000.0)
    fleet.list_hosts(tuple(fleet.hosts))
    fleet.run(RUN_MS)
    assert beyond_budget(fleet) <= 0.0


def test_steady_home_grants_most_of_the_budget():
    fleet = failing_fleet(90, seed=5)
    fleet.run(RUN_MS)
    allowed = LIMITS.ratio * PER_S * RUN_MS / 1_000.0
    assert len(fleet.repeats_ms) >= 0.9 * allowed
