"""Tests of the sequential detector with hand-made evidence."""

import itertools

from verbenadrum.core import ports
from verbenadrum.health import evidence, sequential

OBSERVERS = ("h1", "h2", "h3", "h4", "h5", "h6")
SERVERS = ("s1", "s2", "s3", "s4")
USUAL_MS = 14.0
# Latencies of the two late answers in each hundred; a hedge is sent after the first of them.
TAIL_MS = (70.0, 90.0)
OVERTAKEN_MS = 84.0
INTERVAL_MS = 17.0


class Pool:
    """A detector and a stream of attempts at four servers."""

    def __init__(self):
        self.judge = sequential.SequentialJudge()
        self.now_ms = 0.0
        self.observers = itertools.cycle(OBSERVERS)
        self.servers = itertools.cycle(SERVERS)
        self.count = 0

    def attempt(self, overtaken_by_hedge):
        self.now_ms += INTERVAL_MS
        self.count += 1
        server = next(self.servers)
        latency_ms = {98: TAIL_MS[0], 99: TAIL_MS[1]}.get(self.count % 100, USUAL_MS)
        overtaken = overtaken_by_hedge(server, self.count)
        kind = ports.OutcomeKind.CANCELLED if overtaken else ports.OutcomeKind.OK
        self.judge.record_outcome(
            evidence.Evidence(
                server=server,
                observer=next(self.observers),
                group="n1",
                kind=kind,
                latency_ms=OVERTAKEN_MS if overtaken else latency_ms,
                at_ms=self.now_ms,
            )
        )

    def sick(self):
        verdicts = self.judge.find_outliers(now_ms=self.now_ms, flights=[])
        return {each.server for each in verdicts if each.kind is evidence.VerdictKind.SICK}


def test_server_whose_stalls_are_hidden_by_hedges_is_the_only_sick_one():
    pool = Pool()
    for _ in range(1_000):
        pool.attempt(lambda server, count: False)
    assert not pool.sick()
    found = set()
    # 15 requests a second to each server for 10 s; s1 stalls three in ten.
    for _ in range(600):
        pool.attempt(lambda server, count: server == "s1" and count // 4 % 10 in (1, 4, 8))
        found |= pool.sick()
    assert found == {"s1"}


def test_occasional_overtaking_of_every_server_makes_none_sick():
    pool = Pool()
    for _ in range(6_000):
        pool.attempt(lambda server, count: count % 67 == 0)
        assert not pool.sick()
