"""Tests of the failure detector over lossy and partitioned channels, and of the host table."""

import pytest

from standins import spreading
from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.membership import suspicion, table


def ready_fleet(seed, **sizes):
    fleet = spreading.Fleet(seed=seed, **sizes)
    revision = fleet.platform.publish("workspace", "w", {"rate_per_s": 1, "burst": 2})
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    return fleet


def hosts_suspecting(fleet, target):
    return {
        name
        for name, host in fleet.hosts.items()
        if name != target and not host.engine.membership.reachable(ids.HostId(target))
    }


@pytest.mark.parametrize("seed", range(3))
def test_stopped_host_is_suspected_by_nearly_all_and_cleared_after_restart(seed):
    fleet = ready_fleet(seed)
    fleet.channel.conditions.loss = 0.02
    dead = "h0004"
    fleet.stop(dead)
    elapsed_ms = fleet.run_until(lambda: len(hosts_suspecting(fleet, dead)) >= 36, 10_000)
    assert elapsed_ms <= 6_000
    fleet.start(dead)
    assert fleet.run_until(lambda: not hosts_suspecting(fleet, dead), 15_000) <= 12_000


def test_packet_loss_alone_causes_no_suspicion():
    fleet = ready_fleet(11)
    fleet.channel.conditions.loss = 0.02
    fleet.run(60_000)
    decided = [
        decision
        for host in fleet.hosts.values()
        for decision in host.decisions.newest(512)
        if decision.choice == "suspected"
    ]
    assert not decided


def test_one_way_cut_is_a_path_fault_that_is_not_spread_to_other_hosts():
    fleet = ready_fleet(12, data_centres=1, hosts=6)
    fleet.channel.conditions.cuts = {("h0001", "h0002")}
    fleet.run(20_000)
    assert hosts_suspecting(fleet, "h0002") <= {"h0001"}
    assert hosts_suspecting(fleet, "h0001") <= {"h0002"}
    row = next(iter(fleet.hosts["h0001"].engine.detector.suspicions()))
    assert (row.host, row.reason) == ("h0002", suspicion.SuspicionReason.PATH_FAULT)
    fleet.channel.conditions.cuts.clear()
    fleet.run(5_000)
    assert not hosts_suspecting(fleet, "h0002") | hosts_suspecting(fleet, "h0001")


def test_host_whose_messages_are_lost_spreads_no_suspicion():
    fleet = ready_fleet(13)
    muted = "h0003"
    fleet.channel.conditions.cuts = {(muted, other) for other in fleet.hosts if other != muted}
    fleet.run(15_000)
    assert len(hosts_suspecting(fleet, muted)) >= 30
    for other in fleet.hosts:
        if other != muted:
            assert hosts_suspecting(fleet, other) <= {muted}


def test_host_suspects_nobody_after_a_pause():
    fleet = ready_fleet(14)
    fleet.run(3_000)
    fleet.hosts["h1002"].paused = True
    fleet.run(8_000)
    fleet.hosts["h1002"].paused = False
    fleet.run(200)
    assert not fleet.hosts["h1002"].engine.membership.suspected()
    assert fleet.run_until(lambda: not hosts_suspecting(fleet, "h1002"), 15_000) <= 12_000


def test_leaving_host_gets_no_new_work_until_it_restarts():
    fleet = ready_fleet(15)
    fleet.channel.conditions.loss = 0.05
    fleet.hosts["h0102"].engine.announce_shutdown()
    fleet.run(1_000)
    for name, host in fleet.hosts.items():
        members = host.engine.membership
        rows = members.hosts()
        assert len(rows) == 40
        if name != "h0102":
            assert "h0102" not in members.ranked_hosts("key", rows, len(rows))
    fleet.start("h0102")
    fleet.run(61_000)
    assert not any(host.engine.membership.leaving() for host in fleet.hosts.values())


def test_bytes_sent_per_host_do_not_grow_with_the_number_of_hosts():
    rates = []
    for hosts in (5, 20):
        fleet = ready_fleet(16, hosts=hosts)
        fleet.run(2_000)
        before = fleet.channel.intra_region_bytes
        fleet.run(10_000)
        rates.append((fleet.channel.intra_region_bytes - before) / len(fleet.hosts))
    assert rates[1] <= rates[0] * 1.15


def test_unlisted_addresses_are_bounded_and_replaced_by_the_list():
    hosts = table.HostTable()
    hosts.add_unlisted_address(ids.HostId("new"), "127.0.0.1:5")
    assert hosts.address(ids.HostId("new")) == "127.0.0.1:5"
    row = ports.HostRow(host="new", address="127.0.0.1:6", data_centre="d", region="r")
    hosts.replace(1, (row,))
    assert hosts.address(ids.HostId("new")) == "127.0.0.1:6"
    for index in range(1_000):
        hosts.add_unlisted_address(ids.HostId(f"x{index}"), "127.0.0.1:7")
    assert hosts.address(ids.HostId("x1")) is None
