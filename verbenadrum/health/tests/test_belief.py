"""Tests of the Bayesian detector, by hand-made evidence and by simulated pools.

In the simulation three of ten servers at a time fail 90 % of their requests for seconds.
"""

import collections
import random

import pytest

from verbenadrum.core import ports
from verbenadrum.health import belief, evidence

Kind = ports.OutcomeKind
AVOID_PROBABILITY = 0.5


def record_outcome(judge, server, kind, at_ms, latency_ms=50.0, observer="h1"):
    judge.record_outcome(
        evidence.Evidence(
            server=server,
            observer=observer,
            group="d1",
            kind=kind,
            latency_ms=latency_ms,
            at_ms=at_ms,
        )
    )


def test_one_failure_raises_the_probability_until_it_decays():
    judge = belief.BeliefJudge()
    record_outcome(judge, "s1", Kind.SERVER_ERROR, 0.0)
    assert judge.fault_probability("s1", 0.0) > AVOID_PROBABILITY
    assert judge.fault_probability("s1", 8_000.0) < AVOID_PROBABILITY
    assert judge.fault_probability("s2", 0.0) < AVOID_PROBABILITY


def test_successes_outweigh_a_single_failure():
    judge = belief.BeliefJudge()
    for at_ms in range(0, 1_000, 100):
        record_outcome(judge, "s1", Kind.OK, at_ms)
    record_outcome(judge, "s1", Kind.SERVER_ERROR, 1_000.0)
    assert judge.fault_probability("s1", 1_000.0) < AVOID_PROBABILITY


def test_unanswered_request_raises_the_probability_while_in_flight():
    judge = belief.BeliefJudge()
    for index in range(200):
        record_outcome(judge, "s1", Kind.OK, float(index), latency_ms=200.0 + index % 50)
    flight = evidence.Flight(server="s2", observer="h1", group="d1", waited_ms=900.0)
    judge.find_outliers(now_ms=300.0, flights=[flight])
    assert judge.fault_probability("s2", 300.0) > AVOID_PROBABILITY
    judge.find_outliers(now_ms=300.0, flights=[])
    assert judge.fault_probability("s2", 300.0) < AVOID_PROBABILITY


def test_timeout_counts_by_the_time_waited():
    judge = belief.BeliefJudge()
    for index in range(200):
        record_outcome(judge, "s1", Kind.OK, float(index), latency_ms=200.0 + index % 50)
    judge.find_outliers(now_ms=300.0, flights=[])
    record_outcome(judge, "s2", Kind.TIMEOUT, 300.0, latency_ms=150.0)
    record_outcome(judge, "s3", Kind.TIMEOUT, 300.0, latency_ms=900.0)
    assert judge.fault_probability("s2", 300.0) == judge.fault_probability("s4", 300.0)
    assert judge.fault_probability("s3", 300.0) > AVOID_PROBABILITY


def simulate(seed, avoid):
    """Count the failures of 40 requests a second to ten servers, three of them faulty at a time."""
    rng = random.Random(seed)
    judge = belief.BeliefJudge()
    servers = [f"s{index}" for index in range(10)]
    counts = collections.Counter()
    faulty = set()
    for step in range(1_200):
        now_ms = step * 25.0
        if step % 200 == 0:
            faulty = set(rng.sample(servers, 3))
        fault_probabilities = {
            server: judge.fault_probability(server, now_ms) for server in servers
        }
        usable = (
            [server for server in servers if fault_probabilities[server] < AVOID_PROBABILITY]
            if avoid
            else servers
        )
        server = rng.choice(usable or servers)
        fails = rng.random() < (0.9 if server in faulty else 0.01)
        counts["failed"] += fails
        counts["sent"] += 1
        record_outcome(judge, server, Kind.SERVER_ERROR if fails else Kind.OK, now_ms)
    return counts


@pytest.mark.parametrize("seed", range(3))
def test_avoiding_suspects_has_under_a_quarter_of_the_failures(seed):
    baseline, avoiding = simulate(seed, avoid=False), simulate(seed, avoid=True)
    assert avoiding["failed"] < baseline["failed"] / 4.0


def test_connect_failures_of_one_host_are_a_path_fault():
    judge = belief.BeliefJudge()
    for at_ms in (0.0, 100.0, 200.0):
        record_outcome(judge, "s1", Kind.CONNECT_FAILED, at_ms, observer="h1")
    assert judge.fault_probability("s1", 200.0) < AVOID_PROBABILITY / 2.0
    verdicts = judge.find_outliers(now_ms=200.0, flights=[])
    assert {(each.kind, each.server, each.observers) for each in verdicts} == {
        (evidence.VerdictKind.PATH, "s1", ("h1",))
    }
    assert not judge.find_outliers(now_ms=250.0, flights=[])


def test_connect_failures_of_two_hosts_count_unless_a_success_came_between():
    judge = belief.BeliefJudge()
    for server in ("s1", "s2"):
        record_outcome(judge, server, Kind.CONNECT_FAILED, 0.0, observer="h1")
    record_outcome(judge, "s2", Kind.OK, 100.0, observer="h3")
    for server in ("s1", "s2"):
        record_outcome(judge, server, Kind.CONNECT_FAILED, 200.0, observer="h2")
    assert judge.fault_probability("s1", 200.0) > AVOID_PROBABILITY
    assert judge.fault_probability("s2", 200.0) < AVOID_PROBABILITY


def test_slow_answers_of_a_starting_pool_are_no_stall():
    judge = belief.BeliefJudge()
    flight = evidence.Flight(server="s1", observer="h1", group="d1", waited_ms=1_200.0)
    judge.find_outliers(now_ms=0.0, flights=[flight])
    assert judge.fault_probability("s1", 0.0) < AVOID_PROBABILITY / 2.0
