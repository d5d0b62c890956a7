"""Checks the sum of repeats over many hosts while servers fail and homes move."""

import pytest

from benchmarks import retry_budget


def play(name, hosts):
    fleet = retry_budget.failing_fleet(hosts, seed=hosts)
    retry_budget.SCRIPTS[name](fleet)
    return fleet


@pytest.mark.parametrize("hosts", [44, 90, 110])
def test_homes_that_follow_each_other_keep_to_one_retry_budget(hosts):
    assert retry_budget.beyond_budget(play("homes end in turn", hosts)) <= 0.0


@pytest.mark.parametrize("hosts", [44, 90, 110])
def test_hosts_that_are_each_cut_off_keep_to_one_retry_budget(hosts):
    assert retry_budget.beyond_budget(play("hosts cut off one by one", hosts)) <= 0.0


def test_data_centres_cut_from_each_other_keep_to_one_retry_budget():
    assert retry_budget.beyond_budget(play("data centres cut from each other", 90)) <= 0.0


def test_hosts_that_know_of_no_other_yet_keep_to_one_retry_budget():
    assert retry_budget.beyond_budget(play("no host knows another yet", 90)) <= 0.0


def test_steady_home_grants_most_of_the_budget():
    fleet = play("steady", 90)
    earned = retry_budget.LIMITS.ratio * len(fleet.logs)
    assert len(fleet.repeats_ms) >= 0.9 * earned
