"""Tests of the metered limiter while hosts restart and their views of the fleet differ."""

import pytest

from benchmarks import limits_restarts

SEEDS = range(1, 4)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("hosts", [44, 110])
@pytest.mark.parametrize("scenario", ["two views, hot", "two views, 1.9 times the rate"])
def test_two_homes_at_once_do_not_each_grant_the_whole_rate(scenario, hosts, seed):
    assert limits_restarts.run_scenario(scenario, hosts=hosts, seed=seed).used <= 1.0


def test_two_homes_at_once_stay_within_the_bound_at_design_size():
    assert limits_restarts.run_scenario("two views, hot", hosts=890, seed=1).used <= 1.0


def test_two_homes_at_once_forward_usage_without_a_loop():
    calm = limits_restarts.run_scenario("calm", hosts=44, seed=1)
    two_views = limits_restarts.run_scenario("two views", hosts=44, seed=1)
    assert two_views.messages_per_s <= 1.3 * calm.messages_per_s
