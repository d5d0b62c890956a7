"""Tests of placement in simulated fleets: slots, fairness, faults, poison requests and budgets."""

import collections
import itertools

import msgspec
import pytest

from standins import stepped_fleet
from verbenadrum import ids
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours
from verbenadrum.records import types

assert behaviours

DATA_CENTRES = ("r1a", "r1b", "r2a", "r2b")


def make_fleet(*, servers=8, hosts=2, **fields):
    data_centres = {f"s{index}": DATA_CENTRES[index % 4] for index in range(servers)}
    return stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(hosts), servers=data_centres, **fields
    )


def one_region(*, servers=6, hosts=4, **fields):
    rows = stepped_fleet.two_regions(hosts)[:hosts]
    data_centres = {f"s{index}": "r1a" for index in range(servers)}
    return stepped_fleet.Fleet(hosts=rows, servers=data_centres, **fields)


def fresh_paths(fleet):
    return lambda: f"/item/{fleet.rng.randrange(10_000)}"


def test_slots_are_never_exceeded_under_overload():
    fleet = make_fleet()
    fleet.load(workspace="w", per_s=1_000.0, path=fresh_paths(fleet))
    fleet.run(4_000.0)
    assert max(server.max_open_attempts for server in fleet.servers.values()) == stepped_fleet.SLOTS


def test_baseline_exceeds_slots_under_the_same_load():
    fleet = make_fleet(placement="power_of_two", health="consecutive")
    fleet.load(workspace="w", per_s=1_000.0, path=fresh_paths(fleet))
    fleet.run(4_000.0)
    assert max(server.max_open_attempts for server in fleet.servers.values()) > stepped_fleet.SLOTS


def count_served(fleet, workspace):
    return sum(log.ok and log.workspace == workspace for log in fleet.logs)


def test_each_workspace_gets_its_share_beside_one_that_sends_five_times_as_much():
    names = [f"w{index}" for index in range(4)]
    fleet = one_region(weights=dict.fromkeys(names, 1.0), sigma=0.3)
    # Six servers with three slots each, and a mean service time of 42 ms.
    capacity_per_s = 6 * 3 / 0.042
    share_per_s = capacity_per_s / 4
    for name in names[1:]:
        fleet.load(workspace=name, per_s=share_per_s * 0.9, path=fresh_paths(fleet))
    fleet.load(workspace="w0", per_s=share_per_s * 5, path=fresh_paths(fleet))
    fleet.run(10_000.0)
    for name in names[1:]:
        sent = sum(log.workspace == name and log.sent_ms < 9_500 for log in fleet.logs)
        assert count_served(fleet, name) >= 0.95 * sent


def test_attempts_stay_within_the_retry_budget_when_every_server_fails():
    fleet = make_fleet()
    for server in fleet.servers.values():
        server.error_fraction = 1.0
        server.down = server.name < "s4"
    fleet.load(workspace="w", per_s=300.0, path=fresh_paths(fleet))
    fleet.run(10_000.0)
    assert fleet.counts["requests"] > 2_000
    assert fleet.counts["attempts"] <= 1.2 * fleet.counts["requests"]


def test_ejections_respect_the_floor_when_every_server_is_down():
    fleet = one_region()
    fleet.load(workspace="w", per_s=100.0, path=fresh_paths(fleet))
    fleet.run(5_000.0)
    for server in fleet.servers.values():
        server.down = True
    for _ in range(200):
        fleet.run(50.0)
        assert len(fleet.ejected()) <= 3


@pytest.mark.parametrize(
    ("fault", "limit_ms"), [("gray", 5_000), ("stalled", 1_500), ("dead", 1_000)]
)
def test_faulty_server_is_ejected_in_time_and_no_other_is(fault, limit_ms):
    fleet = make_fleet(seed=3)
    fleet.load(workspace="w", per_s=260.0, path=fresh_paths(fleet))
    fleet.run(8_000.0)
    server = fleet.servers["s1"]
    server.down = fault == "dead"
    server.stall_fraction = {"gray": 0.3, "stalled": 1.0, "dead": 0.0}[fault]
    found = set()
    for _ in range(limit_ms // 50):
        fleet.run(50.0)
        found |= fleet.ejected()
    assert found == {"s1"}


def test_ejected_server_returns_after_probes_and_slow_start():
    fleet = make_fleet(seed=4)
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(8_000.0)
    fleet.servers["s1"].down = True
    fleet.run(2_000.0)
    assert fleet.ejected() == {"s1"}
    fleet.servers["s1"].down = False
    before = fleet.servers["s1"].received
    fleet.run(12_000.0)
    assert fleet.ejected() == set()
    assert fleet.counts["probes"] >= 3
    assert fleet.servers["s1"].received > before


def reasons(fleet, kind):
    return collections.Counter(
        decision.reason
        for host in fleet.hosts.values()
        for decision in host.decisions.newest(2_000)
        if decision.kind is kind
    )


def test_broken_network_path_is_avoided_without_ejecting_the_server():
    fleet = make_fleet(seed=5)
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(5_000.0)
    fleet.cut.add(("r1a-h0", "s0"))
    ejected = set()
    for _ in range(300):
        fleet.run(50.0)
        ejected |= fleet.ejected()
    assert not ejected
    assert reasons(fleet, ring.DecisionKind.EJECT)["few-observers-only"]


def test_baseline_ejects_the_server_of_a_broken_network_path():
    fleet = make_fleet(seed=5, placement="power_of_two", health="consecutive")
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(5_000.0)
    fleet.cut.add(("r1a-h0", "s0"))
    ejected = set()
    for _ in range(300):
        fleet.run(50.0)
        ejected |= fleet.ejected()
    assert ejected == {"s0"}


def test_slow_link_and_paused_host_cause_no_ejection():
    fleet = make_fleet(seed=6)
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(5_000.0)
    # Requests to the servers of the other region take 700 ms longer.
    fleet.extra_ms = lambda sender, to: 700.0 if sender[:2] != to[-2:] and ":" in to else 0.0
    fleet.hosts["r1a-h1"].paused_until_ms = fleet.clock.now_ms() + 2_500.0
    ejected = set()
    for _ in range(200):
        fleet.run(50.0)
        ejected |= fleet.ejected()
    assert not ejected


def test_failed_home_is_replaced_and_the_new_one_counts_existing_leases():
    fleet = make_fleet(seed=7, hosts=3)
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(3_000.0)
    homes = [name for name, host in fleet.hosts.items() if host.placer.homes]
    fleet.fail_host(homes[0])
    start_ms = fleet.clock.now_ms()
    fleet.run(5_000.0)
    later = [log for log in fleet.logs if log.sent_ms > start_ms and log.host != homes[0]]
    settled = [log for log in later if log.sent_ms < start_ms + 4_000.0]
    assert all(log.ok for log in settled)
    assert (
        max(server.max_open_attempts for server in fleet.servers.values())
        <= stepped_fleet.SLOTS + 2
    )


def count_served_from_queue(seed, leaves):
    """Count the requests sent in the last 300 ms before a home leaves, and the served ones of them.

    Without ``leaves`` the home stays, for comparison. Requests to the home itself do not count.
    """
    fleet = one_region(
        hosts=6, seed=seed, median_ms=230.0, sigma=0.5, timeout_ms=2_500.0, target_ms=1_200.0
    )
    # The pool's capacity, with a mean service time of 260 ms, is exceeded by 30 %.
    fleet.load(workspace="w", per_s=1.3 * 6 * 3 / 0.26, path=fresh_paths(fleet))
    fleet.run(4_000.0)
    at_ms = fleet.clock.now_ms()
    entry = next(iter(fleet.hosts.values())).placer.entry_side
    home = entry.home_candidates(stepped_fleet.SERVICE, "r1")[0]
    assert sum(each.waiting for each in fleet.hosts[home].placer.homes.values()) > 10
    if leaves:
        for host in fleet.hosts.values():
            host.membership.mark_leaving(home, 1)
        fleet.run_after(3_100.0, lambda: fleet.fail_host(home))
    fleet.run(6_000.0)
    sent = [log for log in fleet.logs if at_ms - 300.0 <= log.sent_ms < at_ms and log.host != home]
    return len(sent), sum(log.ok for log in sent)


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_queued_at_a_leaving_home_are_served_like_others(seed):
    sent, served_without_leaving = count_served_from_queue(seed, leaves=False)
    assert count_served_from_queue(seed, leaves=True) == (
        sent,
        pytest.approx(served_without_leaving, abs=2),
    )


def test_entry_host_places_requests_locally_without_a_home():
    fleet = one_region(hosts=8, seed=8)
    for name in fleet.hosts:
        fleet.cut.update((name, other) for other in fleet.hosts if other != name)
    for host in fleet.hosts:
        fleet.request(host)
    fleet.run(1_000.0)
    assert all(log.ok for log in fleet.logs)
    assert reasons(fleet, ring.DecisionKind.PLACE)["no-home-answered"]


def test_slow_response_to_a_locally_placed_request_succeeds():
    fleet = one_region(hosts=8, seed=8, median_ms=400.0, sigma=0.1)
    for name in fleet.hosts:
        fleet.cut.update((name, other) for other in fleet.hosts if other != name)
    for host in fleet.hosts:
        fleet.request(host)
    fleet.run(3_000.0)
    assert reasons(fleet, ring.DecisionKind.PLACE)["no-home-answered"]
    assert all(log.ok for log in fleet.logs)


def test_leaving_and_draining_servers_get_no_new_requests():
    fleet = make_fleet(seed=9)
    fleet.load(workspace="w", per_s=200.0, path=fresh_paths(fleet))
    fleet.run(2_000.0)
    fleet.servers["s1"].draining = True
    entries = tuple(
        types.ServerEntry(
            server=entry.server,
            address=entry.address,
            data_centre=entry.data_centre,
            state=types.ServerState.LEAVING if entry.server == "s0" else types.ServerState.LIVE,
        )
        for entry in fleet.entries
    )
    fleet.publish(entries)
    fleet.run(500.0)
    before = [fleet.servers[name].received for name in ("s0", "s1")]
    fleet.run(10_000.0)
    assert [fleet.servers[name].received for name in ("s0", "s1")] == before


def count_poison_crashes(fleet, *, together):
    """Send a request that crashes servers 30 times; return the number of crashes.

    Each time it is sent to ``together`` hosts at once, or to a random one if 0. The home fails
    after the fourth time.
    """
    fleet.load(workspace="w", per_s=150.0, path=fresh_paths(fleet))
    fleet.run(6_000.0)
    for server in fleet.servers.values():
        server.crash_path = "/poison"
    for number in range(30):
        hosts = (
            sorted(fleet.hosts)[:together] if together else [fleet.rng.choice(sorted(fleet.hosts))]
        )
        for host in hosts:
            if fleet.hosts[host].alive:
                fleet.request(host, path="/poison")
        fleet.run(400.0)
        if number == 3:
            home = next(name for name, host in fleet.hosts.items() if host.placer.homes)
            fleet.fail_host(home)
    return sum(server.crashes for server in fleet.servers.values())


@pytest.mark.parametrize("together", [0, 8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_poison_request_crashes_two_servers_at_most(seed, together):
    fleet = make_fleet(seed=seed)
    assert count_poison_crashes(fleet, together=together) <= 2
    refused = [log.refusal for log in fleet.logs if log.path == "/poison"]
    assert refused.count("poison-request") > 10


def test_popular_request_is_not_refused_after_servers_crash_during_it():
    fleet = make_fleet(seed=10)
    fleet.load(workspace="w", per_s=150.0, path=lambda: "/popular")
    fleet.run(4_000.0)
    for name in ("s0", "s1", "s4"):
        fleet.crash(fleet.servers[name])
        fleet.run(300.0)
    fleet.run(2_000.0)
    start_ms = fleet.clock.now_ms()
    fleet.run(2_000.0)
    late = [log for log in fleet.logs if start_ms <= log.sent_ms < start_ms + 1_500.0]
    assert late and all(log.ok for log in late)


def fleet_with_retry_tokens():
    """Return a fleet of three idle servers and one host, and the host's name.

    The host has enough retry tokens for a few requests.
    """
    fleet = one_region(servers=3, hosts=1, sigma=0.0, median_ms=300.0)
    (host,) = fleet.hosts
    for number in range(30):
        fleet.request(host, path=f"/earlier/{number}")
    fleet.run(4_000.0)
    return fleet, host


def test_suspected_requests_never_share_a_server():
    fleet, host = fleet_with_retry_tokens()
    logs = []
    for path in ("/first", "/second"):
        logs.append(fleet.request(host, path=path))
        fleet.run(20.0)
        busy = next(
            server
            for server in fleet.servers.values()
            if any(attempt.sink.log.path == path for attempt in server.open_attempts)
        )
        fleet.crash(busy)
        fleet.run(20.0)
    (running,) = [server for server in fleet.servers.values() if not server.down]
    assert [attempt.sink.log.path for attempt in running.open_attempts] == ["/first"]
    fleet.run(2_000.0)
    assert all(log.ok for log in logs)


def test_other_requests_avoid_the_server_of_a_suspected_request():
    fleet, host = fleet_with_retry_tokens()
    fleet.request(host, path="/suspect")
    fleet.run(20.0)
    fleet.crash(next(server for server in fleet.servers.values() if server.open_attempts))
    fleet.run(20.0)
    for number in range(4):
        fleet.request(host, path=f"/other/{number}")
    fleet.run(20.0)
    shared = [
        {attempt.sink.log.path for attempt in server.open_attempts}
        for server in fleet.servers.values()
    ]
    assert {"/suspect"} in shared


def test_servers_that_had_already_crashed_do_not_make_a_request_poison():
    fleet, host = fleet_with_retry_tokens()
    for server in list(fleet.servers.values())[:2]:
        # A proxy accepts and resets connections, so the server seems to crash during each request.
        server.restart_ms = 60_000.0
        server.behind_proxy = True
        fleet.crash(server)
    for number in range(400):
        fleet.request(host, path=f"/item/{number // 20}")
        fleet.run(50.0)
    assert sum(server.received for server in list(fleet.servers.values())[:2]) > 15
    assert "poison-request" not in {log.refusal for log in fleet.logs}


def test_other_hosts_try_a_server_that_one_host_avoids():
    fleet = one_region(servers=3, hosts=4)
    hosts = sorted(fleet.hosts)
    fleet.request(hosts[3], path="/first")
    fleet.run(200.0)
    home = next(home for host in fleet.hosts.values() for home in host.placer.homes.values())
    home.server_table.avoid_pair(hosts[0], "s1", fleet.clock.now_ms())
    reads = []
    for host in hosts:
        reads.append(fleet.request(host, path=f"/read/{host}"))
        fleet.run(400.0)
    assert [log.attempts == ["s1"] for log in reads] == [False, True, True, True]


def test_slots_are_released_at_a_home_that_one_host_has_deprioritized():
    fleet = one_region(hosts=8, seed=3, median_ms=230.0, sigma=0.3)
    # The load is 60 % of the pool's capacity with a mean service time of 240 ms.
    fleet.load(workspace="w", per_s=0.6 * 6 * 3 / 0.24, path=fresh_paths(fleet), until_ms=4_500.0)
    fleet.run(4_000.0)
    home = next(iter(fleet.hosts.values())).placer.entry_side.home_candidates(
        stepped_fleet.SERVICE, "r1"
    )[0]
    other = next(name for name in fleet.hosts if name != home)
    # The home's answer is late, so the entry host requests a slot from the next home as well.
    fleet.extra_ms = lambda sender, to: 500.0 if (sender, to) == (home, other) else 0.0
    fleet.request(other, path="/answered-late")
    fleet.run(450.0)
    assert [name for name, host in fleet.hosts.items() if host.placer.homes] != [home]
    fleet.run(1_550.0)
    assert not any(server.open_attempts for server in fleet.servers.values())
    assert not any(
        part.server_table.in_use
        for host in fleet.hosts.values()
        for part in host.placer.homes.values()
    )


def test_home_is_used_again_after_a_late_answer():
    fleet = one_region(hosts=8, seed=3)
    fleet.run(1_000.0)
    names = list(fleet.hosts)
    entry = fleet.hosts[names[0]].placer.entry_side
    home = entry.home_candidates(stepped_fleet.SERVICE, "r1")[0]
    other = next(name for name in names if name != home)
    entry = fleet.hosts[other].placer.entry_side
    fleet.extra_ms = lambda sender, to: 500.0 if (sender, to) == (home, other) else 0.0
    fleet.request(other)
    fleet.run(400.0)
    fleet.extra_ms = lambda sender, to: 0.0
    assert entry.home_candidates(stepped_fleet.SERVICE, "r1")[0] != home
    fleet.run(200.0)
    assert entry.home_candidates(stepped_fleet.SERVICE, "r1")[0] == home


@pytest.mark.parametrize(("load_factor", "least_share"), [(0.3, 0.8), (0.6, 0.7)])
def test_requests_stay_in_their_data_centre_while_it_has_room(load_factor, least_share):
    """Four data centres of a region would get a quarter each by load alone."""
    hosts = tuple(
        msgspec.structs.replace(row, region=ids.RegionId("r"))
        for row in stepped_fleet.two_regions(11)
    )
    names = [f"s{number}" for number in range(24)]
    data_centres = itertools.cycle(("r1a", "r1b", "r2a", "r2b"))
    fleet = stepped_fleet.Fleet(
        hosts=hosts,
        servers=dict(zip(names, data_centres, strict=False)),
        health="belief",
        seed=3,
        median_ms=250.0,
        timeout_ms=1_500.0,
        target_ms=1_200.0,
    )
    capacity_per_s = len(names) * stepped_fleet.SLOTS / 0.283
    paths = (f"/{number}" for number in itertools.count())
    fleet.load(workspace="w", per_s=load_factor * capacity_per_s, path=lambda: next(paths))
    fleet.run(12_000.0)
    data_centre_of = {entry.server: entry.data_centre for entry in fleet.entries}
    own = [
        data_centre_of[server] == fleet.hosts[log.host].row.data_centre
        for log in fleet.logs
        for server in log.attempts
    ]
    assert sum(own) >= least_share * len(own)
    served = [log.ok and log.ended_ms - log.sent_ms <= 1_200.0 for log in fleet.logs]
    assert sum(served) >= 0.95 * len(served)
