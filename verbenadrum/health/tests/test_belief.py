"""Plays a pool whose servers fail nine requests in ten for seconds, and checks what callers get."""

import collections
import random

import pytest

from verbenadrum.core import ports
from verbenadrum.health import belief, evidence

Kind = ports.OutcomeKind
AVOID = 0.5


def ended(judge, server, kind, at_ms, latency_ms=50.0, observer="h1"):
    judge.ended(
        evidence.Evidence(
            server=server,
            observer=observer,
            group="d1",
            kind=kind,
            latency_ms=latency_ms,
            at_ms=at_ms,
        )
    )


def test_one_failure_is_enough_and_fades():
    judge = belief.BeliefJudge()
    ended(judge, "s1", Kind.SERVER_ERROR, 0.0)
    assert judge.doubt("s1", 0.0) > AVOID
    assert judge.doubt("s1", 8_000.0) < AVOID
    assert judge.doubt("s2", 0.0) < AVOID


def test_good_answers_outweigh_a_stray_failure():
    judge = belief.BeliefJudge()
    for at_ms in range(0, 1_000, 100):
        ended(judge, "s1", Kind.OK, at_ms)
    ended(judge, "s1", Kind.SERVER_ERROR, 1_000.0)
    assert judge.doubt("s1", 1_000.0) < AVOID


def test_request_without_an_answer_raises_doubt_while_it_waits():
    judge = belief.BeliefJudge()
    for index in range(200):
        ended(judge, "s1", Kind.OK, float(index), latency_ms=200.0 + index % 50)
    flight = evidence.Flight(server="s2", observer="h1", group="d1", waited_ms=900.0)
    judge.review(now_ms=300.0, flights=[flight])
    assert judge.doubt("s2", 300.0) > AVOID
    judge.review(now_ms=300.0, flights=[])
    assert judge.doubt("s2", 300.0) < AVOID


def test_time_out_counts_by_how_long_the_request_waited():
    judge = belief.BeliefJudge()
    for index in range(200):
        ended(judge, "s1", Kind.OK, float(index), latency_ms=200.0 + index % 50)
    judge.review(now_ms=300.0, flights=[])
    ended(judge, "s2", Kind.TIMEOUT, 300.0, latency_ms=150.0)
    ended(judge, "s3", Kind.TIMEOUT, 300.0, latency_ms=900.0)
    assert judge.doubt("s2", 300.0) == judge.doubt("s4", 300.0)
    assert judge.doubt("s3", 300.0) > AVOID


def play(seed, avoid):
    """Send 40 requests a second to ten servers of which three are sick at a time."""
    rng = random.Random(seed)
    judge = belief.BeliefJudge()
    servers = [f"s{index}" for index in range(10)]
    counts = collections.Counter()
    sick = set()
    for step in range(1_200):
        now_ms = step * 25.0
        if step % 200 == 0:
            sick = set(rng.sample(servers, 3))
        doubts = {server: judge.doubt(server, now_ms) for server in servers}
        usable = [server for server in servers if doubts[server] < AVOID] if avoid else servers
        server = rng.choice(usable or servers)
        fails = rng.random() < (0.9 if server in sick else 0.01)
        counts["failed"] += fails
        counts["sent"] += 1
        ended(judge, server, Kind.SERVER_ERROR if fails else Kind.OK, now_ms)
    return counts


@pytest.mark.parametrize("seed", range(3))
def test_avoiding_the_doubtful_loses_a_quarter_of_what_first_come_loses(seed):
    blind, wary = play(seed, avoid=False), play(seed, avoid=True)
    assert wary["failed"] < blind["failed"] / 4.0


def test_host_that_cannot_reach_a_server_is_kept_away_and_the_server_stays():
    judge = belief.BeliefJudge()
    for at_ms in (0.0, 100.0, 200.0):
        ended(judge, "s1", Kind.CONNECT_FAILED, at_ms, observer="h1")
    assert judge.doubt("s1", 200.0) < AVOID / 2.0
    verdicts = judge.review(now_ms=200.0, flights=[])
    assert {(each.kind, each.server, each.observers) for each in verdicts} == {
        (evidence.VerdictKind.PATH, "s1", ("h1",))
    }
    assert not judge.review(now_ms=250.0, flights=[])


def test_server_that_two_hosts_cannot_reach_is_out_unless_it_answered_between():
    judge = belief.BeliefJudge()
    for server in ("s1", "s2"):
        ended(judge, server, Kind.CONNECT_FAILED, 0.0, observer="h1")
    ended(judge, "s2", Kind.OK, 100.0, observer="h3")
    for server in ("s1", "s2"):
        ended(judge, server, Kind.CONNECT_FAILED, 200.0, observer="h2")
    assert judge.doubt("s1", 200.0) > AVOID
    assert judge.doubt("s2", 200.0) < AVOID


def test_slow_start_of_a_pool_is_no_stall():
    judge = belief.BeliefJudge()
    flight = evidence.Flight(server="s1", observer="h1", group="d1", waited_ms=1_200.0)
    judge.review(now_ms=0.0, flights=[flight])
    assert judge.doubt("s1", 0.0) < AVOID / 2.0
