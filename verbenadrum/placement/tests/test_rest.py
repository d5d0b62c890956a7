"""Tests that a host sends nothing to a backend server that has told it to come back later."""

import collections

import msgspec
import pytest

from standins import stepped_fleet
from verbenadrum.core import ports
from verbenadrum.engine import behaviours

assert behaviours

REST_MS = 4_000.0
# The users' bound: from half a second after the refusal to the end of its time, at most two
# requests of a host, which were on their way.
GRACE_MS = 500.0
MOST_REQUESTS = 2


class RestingFleet:
    """Fleet with servers that refuse everything; counts what hosts send them meanwhile."""

    def __init__(self, *, resting, servers=6, seed=1, **fields):
        self.fleet = stepped_fleet.Fleet(
            hosts=stepped_fleet.two_regions(4)[:8],
            servers={f"s{index}": "r1a" for index in range(servers)},
            seed=seed,
            sigma=0.2,
            **fields,
        )
        self.rests = {}
        self.sent = collections.Counter()
        self._dispatch = self.fleet.dispatch
        self._end_attempt = self.fleet.end_attempt
        self.fleet.dispatch = self.dispatch
        self.fleet.end_attempt = self.end_attempt
        self.fleet.load(workspace="w", per_s=150.0, path=lambda: f"/{self.fleet.rng.random()}")
        self.fleet.run(2_000.0)
        for index in range(resting):
            self.fleet.servers[f"s{index}"].rest_ms = REST_MS

    def dispatch(self, sink, order):
        now_ms = self.fleet.clock.now_ms()
        pair = (sink.host.row.host, order.server)
        started_ms, until_ms = self.rests.get(pair, (0.0, 0.0))
        if started_ms + GRACE_MS <= now_ms < until_ms:
            self.sent[pair, started_ms] += 1
        self._dispatch(sink, order)

    def end_attempt(self, attempt, kind):
        if attempt.server.rest_ms and kind is ports.OutcomeKind.SHED and not attempt.ended:
            now_ms = self.fleet.clock.now_ms()
            pair = (attempt.sink.host.row.host, attempt.server.name)
            self.rests.setdefault(pair, (now_ms, now_ms + attempt.server.rest_ms))
            if now_ms >= self.rests[pair][1]:
                self.rests[pair] = (now_ms, now_ms + attempt.server.rest_ms)
        self._end_attempt(attempt, kind)


@pytest.mark.parametrize("seed", range(3))
def test_resting_server_gets_nothing_from_a_host_that_it_refused(seed):
    resting = RestingFleet(resting=2, seed=seed)
    for name in sorted(resting.fleet.hosts)[:4]:
        resting.fleet.run(2_000.0)
        resting.fleet.fail_host(name)
        resting.fleet.run(1_000.0)
        resting.rests = {pair: rest for pair, rest in resting.rests.items() if pair[0] != name}
        resting.fleet.restart_host(name)
    assert resting.rests
    assert max(resting.sent.values(), default=0) <= MOST_REQUESTS


def test_resting_server_gets_nothing_without_a_home():
    resting = RestingFleet(resting=2, seed=4)
    names = list(resting.fleet.hosts)
    resting.fleet.cut.update((one, other) for one in names for other in names if one != other)
    resting.fleet.run(8_000.0)
    assert max(resting.sent.values(), default=0) <= MOST_REQUESTS


def test_callers_are_refused_at_once_while_all_servers_rest():
    resting = RestingFleet(resting=6, seed=5)
    resting.fleet.run(1_500.0)
    mark = len(resting.fleet.logs)
    resting.fleet.run(2_000.0)
    logs = resting.fleet.logs[mark:-5]
    assert all(log.refusal == "servers-resting" for log in logs)
    assert all(log.ended_ms - log.sent_ms <= 100.0 for log in logs)
    assert all(0.0 < log.retry_after_ms <= REST_MS for log in logs)


def test_rested_server_gets_requests_again():
    resting = RestingFleet(resting=2, seed=6)
    resting.fleet.run(1_000.0)
    for server in resting.fleet.servers.values():
        server.rest_ms = 0.0
    resting.fleet.run(REST_MS)
    before = resting.fleet.servers["s0"].received
    resting.fleet.run(2_000.0)
    assert resting.fleet.servers["s0"].received > before


@pytest.mark.parametrize("later_ms", [1.0, -1.0])
def test_rest_of_a_server_ends_with_its_process(later_ms):
    resting = RestingFleet(resting=0, seed=7)
    entries = tuple(
        msgspec.structs.replace(entry, started_wall_ms=1_000.0) for entry in resting.fleet.entries
    )
    resting.fleet.publish(entries)
    resting.fleet.run(1_000.0)
    server = resting.fleet.servers["s0"]
    server.rest_ms = 600_000.0
    resting.fleet.run(3_000.0)
    server.rest_ms = 0.0
    before = server.received
    resting.fleet.run(3_000.0)
    assert server.received == before
    resting.fleet.publish(
        tuple(
            (
                msgspec.structs.replace(entry, started_wall_ms=1_000.0 + later_ms)
                if entry.server == "s0"
                else entry
            )
            for entry in entries
        )
    )
    resting.fleet.run(3_000.0)
    assert server.received > before
