"""Tests of the seeded host list: cold starts, mass restarts and network partitions."""

import itertools

import pytest

from standins import spreading
from verbenadrum.membership import messages

SEEDS = ("h0000", "h0101", "h1003")


def make_fleet(seed, hosts=11, seeds=SEEDS):
    return spreading.Fleet(seed=seed, hosts=hosts, host_list="seeded", seeds=seeds)


def lists_agree(fleet, names):
    names = set(names)
    return all(
        {row.host for row in fleet.hosts[name].engine.membership.hosts()} == names for name in names
    )


def time_to_agree(fleet, limit_ms=30_000.0):
    return fleet.run_until(lambda: lists_agree(fleet, fleet.hosts), limit_ms)


@pytest.mark.parametrize(("seed", "hosts"), [(1, 11), (2, 11), (3, 28)])
def test_hosts_agree_after_a_cold_start_of_the_fleet(seed, hosts):
    assert time_to_agree(make_fleet(seed, hosts)) <= 2_000.0


def test_one_live_seed_is_enough_and_late_seeds_are_found():
    fleet = make_fleet(4)
    for seed in SEEDS[:2]:
        fleet.stop(seed)
    assert time_to_agree(fleet) <= 3_000.0
    fleet.start(SEEDS[0])
    fleet.start(SEEDS[1])
    assert time_to_agree(fleet) <= 8_000.0


@pytest.mark.parametrize("seed", range(2))
def test_hosts_killed_together_rejoin_with_new_incarnations(seed):
    fleet = make_fleet(seed)
    assert time_to_agree(fleet) <= 2_000.0
    killed = sorted(fleet.hosts)[::2]
    for name in killed:
        fleet.stop(name)
    fleet.run(1_000.0)
    for name in killed:
        fleet.start(name)
    assert time_to_agree(fleet) <= 3_000.0


def test_unreachable_hosts_are_removed_and_rejoin_after_a_partition():
    fleet = make_fleet(6)
    assert time_to_agree(fleet) <= 2_000.0
    left = {name for name in fleet.hosts if name.startswith("h0")}
    right = set(fleet.hosts) - left
    pairs = set(itertools.product(left, right))
    fleet.channel.conditions.cuts = pairs | {(other, one) for one, other in pairs}
    assert fleet.run_until(lambda: lists_agree(fleet, left), 60_000.0) <= 45_000.0
    fleet.channel.conditions.cuts.clear()
    assert time_to_agree(fleet) <= 10_000.0


def test_seeds_that_change_at_run_time_are_used():
    fleet = make_fleet(7, seeds=())
    fleet.run(2_000.0)
    assert not lists_agree(fleet, fleet.hosts)
    for host in fleet.hosts.values():
        host.engine.host_spread.use_seeds(SEEDS[:1])
    assert time_to_agree(fleet) <= 8_000.0


@pytest.mark.parametrize("seed", range(3))
def test_restarted_host_is_no_longer_taken_for_leaving_within_3_s(seed):
    fleet = make_fleet(seed)
    assert time_to_agree(fleet) <= 2_000.0
    fleet.hosts["h0105"].engine.announce_shutdown()
    fleet.run(2_500.0)
    fleet.stop("h0105")
    fleet.run(1_300.0)
    fleet.start("h0105")
    fleet.run(3_000.0)
    marked = [name for name, host in fleet.hosts.items() if host.engine.membership.leaving()]
    assert not marked


# A host that stood still may read the notice after it has heard of the next run.
@pytest.mark.parametrize("seed", range(3))
def test_late_notice_of_an_earlier_run_marks_a_host_as_leaving_for_3_s_at_most(seed):
    fleet = make_fleet(seed, hosts=28)
    assert time_to_agree(fleet) <= 2_000.0
    notice = messages.Leaving(
        fleet.hosts["h0105"].engine.host_spread.list_request().row.incarnation
    )
    fleet.stop("h0105")
    fleet.run(1_300.0)
    fleet.start("h0105")
    fleet.run(3_000.0)
    for name in ("h0000", "h0003", "h1001"):
        fleet.hosts[name].receive("h0105", notice)
        assert fleet.hosts[name].engine.membership.leaving() == ("h0105",)
    fleet.run(3_000.0)
    assert not any(host.engine.membership.leaving() for host in fleet.hosts.values())


@pytest.mark.parametrize("seed", range(3))
def test_host_whose_time_of_day_went_back_is_listed_again_within_3_s(seed):
    fleet = make_fleet(seed)
    assert time_to_agree(fleet) <= 2_000.0
    row = fleet.hosts["h0105"].engine.host_spread.list_request().row
    fleet.hosts["h0105"].engine.announce_shutdown()
    fleet.run(2_500.0)
    fleet.stop("h0105")
    fleet.run(1_300.0)
    fleet.rng.getrandbits = lambda bits: row.incarnation - 1
    fleet.start("h0105")
    assert time_to_agree(fleet) <= 3_000.0
    fleet.run(3_000.0)
    assert not any(host.engine.membership.leaving() for host in fleet.hosts.values())


# After the longer time the host has been removed from the list.
@pytest.mark.parametrize("down_ms", [1_300.0, 45_000.0])
def test_host_at_another_address_whose_time_of_day_went_back_is_listed_there_within_5_s(down_ms):
    fleet = make_fleet(3)
    assert time_to_agree(fleet) <= 2_000.0
    old = fleet.hosts["h0105"].engine.host_spread.list_request().row
    fleet.stop("h0105")
    fleet.run(down_ms)
    # The simulated channel delivers by name, so messages to the old address are lost.
    fleet.channel.send = deliver_by_address(fleet, "h0105", "moved", fleet.channel.send)
    fleet.rng.getrandbits = lambda bits: old.incarnation - 1
    fleet.start("h0105", address="moved")
    listed = {name: host.engine.membership for name, host in fleet.hosts.items()}
    elapsed_ms = fleet.run_until(
        lambda: all(table.address("h0105") == "moved" for table in listed.values()), 90_000.0
    )
    assert elapsed_ms <= 5_000.0


def deliver_by_address(fleet, host, address, send):
    """Return a function that sends to a host only where its sender knows its new address."""

    def send_by_address(sender, receiver, message):
        known = fleet.hosts[sender].engine.membership.address(receiver)
        if receiver != host or known == address:
            send(sender, host if receiver == address else receiver, message)

    return send_by_address


def seeking(fleet):
    return [name for name, host in fleet.hosts.items() if host.engine.membership.seeking]


def test_host_without_seeds_is_the_whole_fleet():
    fleet = make_fleet(8, seeds=())
    fleet.run(2_000.0)
    assert not seeking(fleet)


def test_host_seeks_until_it_meets_its_first_peer():
    fleet = make_fleet(9, seeds=SEEDS[:1])
    fleet.stop(SEEDS[0])
    fleet.run(60_000.0)
    assert sorted(seeking(fleet)) == sorted(set(fleet.hosts) - {SEEDS[0]})
    fleet.start(SEEDS[0])
    assert time_to_agree(fleet) <= 8_000.0
    assert not seeking(fleet)
