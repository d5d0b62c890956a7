"""Tests that all hosts together keep to the limits that backend servers name in their answers."""

import collections
import math

import pytest

from standins import stepped_fleet
from verbenadrum.core import behaviours, ports

assert behaviours

LIMITS_PER_S = (0.5, 1.0, 5.0, 40.0)
# The users' bound: in any window, one and a half times the limit and five requests more, summed
# over the hosts that passed on an answer with the limit half a second before or earlier. It holds
# from the settling time on.
WINDOW_MS = 4_000.0
SETTLING_MS = 4_000.0
TOLD_MS = 500.0
FACTOR = 1.5
SLACK = 5
_ANSWERS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR)


class LimitedFleet:
    """Fleet whose first servers name limits; counts what they get from hosts that know."""

    def __init__(self, hosts, *, per_s=100.0, limits=LIMITS_PER_S, unlimited=4, seed=1, **fields):
        rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
        data_centres = ("r1a", "r1b", "r2a", "r2b")
        count = len(limits) + unlimited
        self.fleet = stepped_fleet.Fleet(
            hosts=rows,
            servers={f"s{index}": data_centres[index % 4] for index in range(count)},
            seed=seed,
            sigma=0.2,
            **fields,
        )
        self.limits = {f"s{index}": limit for index, limit in enumerate(limits)}
        self.told_ms = {}
        self.sent_ms = collections.defaultdict(list)
        self._dispatch = self.fleet.dispatch
        self._end_attempt = self.fleet.end_attempt
        self.fleet.dispatch = self.dispatch
        self.fleet.end_attempt = self.end_attempt
        self.fleet.load(workspace="w", per_s=per_s, path=lambda: f"/{self.fleet.rng.random()}")
        self.fleet.run(2_000.0)
        for server, limit in self.limits.items():
            self.fleet.servers[server].limit_per_s = limit
        self.named_ms = self.fleet.clock.now_ms()

    def dispatch(self, sink, order):
        now_ms = self.fleet.clock.now_ms()
        told_ms = self.told_ms.get((sink.host.row.host, order.server), math.inf)
        if order.server in self.limits and now_ms >= told_ms + TOLD_MS:
            self.sent_ms[order.server].append(now_ms)
        self._dispatch(sink, order)

    def end_attempt(self, attempt, kind):
        if kind in _ANSWERS and math.isfinite(attempt.server.limit_per_s):
            key = (attempt.sink.host.row.host, attempt.server.name)
            self.told_ms.setdefault(key, self.fleet.clock.now_ms())
        self._end_attempt(attempt, kind)

    def restart(self, name):
        self.told_ms = {key: at for key, at in self.told_ms.items() if key[0] != name}
        self.fleet.restart_host(name)

    def homes(self):
        return [name for name, host in self.fleet.hosts.items() if host.alive and host.placer.homes]

    def excess(self):
        """Return by how many requests each server got more than the bound in any window."""
        found = {}
        for server, limit in self.limits.items():
            times = [at for at in self.sent_ms[server] if at >= self.named_ms + SETTLING_MS]
            most = max(
                (sum(start <= at < start + WINDOW_MS for at in times) for start in times), default=0
            )
            found[server] = most - (FACTOR * limit * WINDOW_MS / 1000.0 + SLACK)
        return {server: over for server, over in found.items() if over > 0.0}


def end_homes_in_turn(limited):
    for _ in range(5):
        limited.fleet.run(1_500.0)
        ended = limited.homes()[:2]
        for name in ended:
            limited.fleet.fail_host(name)
        alive = tuple(name for name, host in limited.fleet.hosts.items() if host.alive)
        limited.fleet.list_hosts(alive)
        limited.fleet.run(1_500.0)
        for name in ended:
            limited.restart(name)
        limited.fleet.list_hosts(tuple(limited.fleet.hosts))


def divide_views(limited):
    """Half of the hosts list other hosts than the rest, so that each part has two homes."""
    names = sorted(limited.fleet.hosts)
    for _ in range(3):
        limited.fleet.run(2_000.0)
        limited.fleet.list_hosts(tuple(names[::2]), views=tuple(names[::2]))
        limited.fleet.list_hosts(tuple(names[1::2]), views=tuple(names[1::2]))
        limited.fleet.run(3_000.0)
        limited.fleet.list_hosts(tuple(names))


def cut_off_all_homes(limited):
    limited.fleet.run(3_000.0)
    names = list(limited.fleet.hosts)
    limited.fleet.cut.update((one, other) for one in names for other in names if one != other)
    limited.fleet.run(8_000.0)


SCRIPTS = {
    "steady": lambda limited: limited.fleet.run(10_000.0),
    "homes-end": end_homes_in_turn,
    "views-differ": divide_views,
    "no-home": cut_off_all_homes,
}


@pytest.mark.parametrize(
    ("hosts", "script"),
    [*((hosts, script) for hosts in (44, 110) for script in SCRIPTS), (890, "steady")],
)
def test_limited_servers_get_no_more_than_they_take(script, hosts):
    limited = LimitedFleet(hosts)
    SCRIPTS[script](limited)
    assert any(limited.told_ms)
    assert limited.excess() == {}


def count_received(limited, duration_ms):
    before = {name: server.received for name, server in limited.fleet.servers.items()}
    limited.fleet.run(duration_ms)
    return {name: server.received - before[name] for name, server in limited.fleet.servers.items()}


@pytest.mark.parametrize("limit_per_s", [1.0, 5.0])
def test_limited_pool_serves_what_its_limits_allow_under_twice_the_load(limit_per_s):
    total_per_s = 8 * limit_per_s
    limited = LimitedFleet(
        44, per_s=2.0 * total_per_s, limits=(limit_per_s,) * 8, unlimited=0, target_ms=1_200.0
    )
    limited.fleet.run(5_000.0)
    received = count_received(limited, 20_000.0)
    assert sum(received.values()) >= 0.9 * total_per_s * 20.0
    assert limited.excess() == {}


def test_refused_callers_of_a_limited_pool_are_told_when_to_come_back():
    limited = LimitedFleet(44, per_s=60.0, limits=(1.0,) * 8, unlimited=0, target_ms=1_200.0)
    limited.fleet.run(10_000.0)
    refused = [log for log in limited.fleet.logs[200:] if log.refusal]
    assert refused
    assert all(log.retry_after_ms > 0.0 for log in refused)


@pytest.mark.parametrize("limit_per_s", [20.0, math.inf])
def test_limit_that_rises_or_vanishes_is_used_within_a_second(limit_per_s):
    limited = LimitedFleet(44, per_s=200.0, limits=(2.0,) * 8, unlimited=0)
    limited.fleet.run(5_000.0)
    for server in limited.fleet.servers.values():
        server.limit_per_s = limit_per_s
    limited.fleet.run(1_000.0)
    received = count_received(limited, 3_000.0)
    assert sum(received.values()) >= 0.9 * 3.0 * min(8 * limit_per_s, 200.0)
