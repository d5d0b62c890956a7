"""Tests that all hosts together keep to a retry budget while servers fail and homes change.

The budget is exceeded if each of several homes, in succession or at once, grants the whole slack.
"""

import pytest

from benchmarks import retry_budget


def run_script(name, hosts):
    fleet = retry_budget.failing_fleet(hosts, seed=hosts)
    retry_budget.SCRIPTS[name](fleet)
    return fleet


@pytest.mark.parametrize("hosts", [44, 90, 110, 890])
def test_successive_homes_share_one_retry_budget(hosts):
    assert retry_budget.max_excess_retries(run_script("homes end in turn", hosts)) <= 0.0


@pytest.mark.parametrize("hosts", [44, 90, 110])
def test_hosts_partitioned_one_by_one_share_one_retry_budget(hosts):
    assert retry_budget.max_excess_retries(run_script("hosts cut off one by one", hosts)) <= 0.0


def test_partitioned_data_centres_share_one_retry_budget():
    assert (
        retry_budget.max_excess_retries(run_script("data centres cut from each other", 90)) <= 0.0
    )


def test_hosts_without_a_host_list_share_one_retry_budget():
    assert retry_budget.max_excess_retries(run_script("no host knows another yet", 90)) <= 0.0


def test_steady_home_grants_most_of_the_retry_budget():
    fleet = run_script("steady", 90)
    earned = retry_budget.LIMITS.ratio * len(fleet.logs)
    assert len(fleet.retry_times_ms) >= 0.9 * earned
