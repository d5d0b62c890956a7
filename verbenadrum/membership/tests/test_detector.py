"""Tests of the failure detector over lossy, cut and late channels, and of the host table."""

import math

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


def suspecters(fleet, target):
    return {
        name
        for name, host in fleet.hosts.items()
        if name != target and not host.engine.membership.reachable(ids.HostId(target))
    }


@pytest.mark.parametrize("seed", range(3))
def test_dead_host_is_suspected_by_nearly_all_and_trusted_again_when_back(seed):
    fleet = ready_fleet(seed)
    fleet.channel.conditions.loss = 0.02
    dead = "h0004"
    fleet.stop(dead)
    taken = fleet.run_until(lambda: len(suspecters(fleet, dead)) >= 36, 10_000)
    assert taken <= 6_000
    fleet.start(dead)
    assert fleet.run_until(lambda: not suspecters(fleet, dead), 15_000) <= 12_000


def test_quiet_run_with_loss_has_no_false_suspicion_of_dead_hosts():
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


def test_one_way_cut_between_two_hosts_is_a_path_fault_that_others_do_not_hear_of():
    fleet = ready_fleet(12, data_centres=1, hosts=6)
    fleet.channel.conditions.cuts = {("h0001", "h0002")}
    fleet.run(20_000)
    assert suspecters(fleet, "h0002") <= {"h0001"}
    assert suspecters(fleet, "h0001") <= {"h0002"}
    row = next(iter(fleet.hosts["h0001"].engine.detector.suspicions()))
    assert (row.host, row.reason) == ("h0002", suspicion.SuspicionReason.PATH)
    fleet.channel.conditions.cuts.clear()
    fleet.run(5_000)
    assert not suspecters(fleet, "h0002") | suspecters(fleet, "h0001")


def test_host_that_nobody_hears_does_not_make_others_suspect_each_other():
    fleet = ready_fleet(13)
    mute = "h0003"
    fleet.channel.conditions.cuts = {(mute, other) for other in fleet.hosts if other != mute}
    fleet.run(15_000)
    assert len(suspecters(fleet, mute)) >= 30
    for other in fleet.hosts:
        if other != mute:
            assert suspecters(fleet, other) <= {mute}


def test_paused_host_wakes_without_suspecting_anyone():
    fleet = ready_fleet(14)
    fleet.run(3_000)
    fleet.hosts["h1002"].paused = True
    fleet.run(8_000)
    fleet.hosts["h1002"].paused = False
    fleet.run(200)
    assert not fleet.hosts["h1002"].engine.membership.suspected()
    assert fleet.run_until(lambda: not suspecters(fleet, "h1002"), 15_000) <= 12_000


def test_leaving_host_gets_no_new_work_at_once_and_a_new_run_of_it_does():
    fleet = ready_fleet(15)
    fleet.channel.conditions.loss = 0.05
    fleet.hosts["h0102"].engine.leave(math.inf)
    fleet.run(1_000)
    for name, host in fleet.hosts.items():
        members = host.engine.membership
        rows = members.hosts()
        assert len(rows) == 40
        if name != "h0102":
            assert "h0102" not in members.homes("key", rows, len(rows))
    fleet.start("h0102")
    fleet.run(61_000)
    assert not any(host.engine.membership.leaving() for host in fleet.hosts.values())


def test_messages_of_a_host_do_not_grow_with_the_number_of_hosts():
    rates = []
    for hosts in (5, 20):
        fleet = ready_fleet(16, hosts=hosts)
        fleet.run(2_000)
        before = fleet.channel.near_bytes
        fleet.run(10_000)
        rates.append((fleet.channel.near_bytes - before) / len(fleet.hosts))
    assert rates[1] <= rates[0] * 1.15


def test_contacts_are_known_until_they_are_listed():
    hosts = table.HostTable()
    hosts.note_contact(ids.HostId("new"), "127.0.0.1:5")
    assert hosts.address(ids.HostId("new")) == "127.0.0.1:5"
    row = ports.HostRow(host="new", address="127.0.0.1:6", data_centre="d", region="r")
    hosts.replace(1, (row,))
    assert hosts.address(ids.HostId("new")) == "127.0.0.1:6"
    for index in range(1_000):
        hosts.note_contact(ids.HostId(f"x{index}"), "127.0.0.1:7")
    assert hosts.address(ids.HostId("x1")) is None
