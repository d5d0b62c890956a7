"""Tests of requests that must run once: lost answers, lost homes, and hosts that shut down."""

import itertools

import pytest

from standins import stepped_fleet
from verbenadrum.engine import behaviours

assert behaviours

RATE_PER_S = 60.0
TIMEOUT_MS = 2_000.0
LIMIT_MS = 1_500.0
LINGER_MS = 700.0


def make_fleet(seed, **fields):
    data_centres = itertools.cycle(("r1a", "r1b", "r2a", "r2b"))
    return stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(3),
        servers={f"s{number}": next(data_centres) for number in range(8)},
        health="belief",
        seed=seed,
        timeout_ms=TIMEOUT_MS,
        **fields,
    )


def load(fleet):
    paths = (f"/{number}" for number in itertools.count())
    fleet.load(workspace="w", per_s=RATE_PER_S, path=lambda: next(paths), method="POST")


def home_of(fleet, region):
    """Return a live host that acts as home, or any other live one if there is none."""
    alive = [name for name, host in fleet.hosts.items() if host.alive]
    homes = [
        name for name in alive if any(key[1] == region for key in fleet.hosts[name].placer.homes)
    ]
    return (homes or alive)[0]


@pytest.mark.parametrize("killed", ["nobody", "home", "entry host"])
@pytest.mark.parametrize("seed", range(4))
def test_lost_answer_leads_to_no_second_run_and_no_false_refusal(seed, killed):
    fleet = make_fleet(seed, median_ms=150.0)
    load(fleet)
    fleet.run(1_500.0)
    names = list(fleet.hosts)
    for step in range(6):
        # A third of the answers to each host are lost from now on, requests still arrive.
        lost = {(server, host) for server in list(fleet.servers)[step % 3 :: 3] for host in names}
        fleet.cut |= lost
        fleet.run(200.0)
        if killed != "nobody":
            victim = home_of(fleet, "r1") if killed == "home" else names[2 + step]
            fleet.fail_host(victim)
            fleet.run(150.0)
            alive = tuple(name for name, host in fleet.hosts.items() if host.alive)
            fleet.list_hosts(alive, views=alive)
        fleet.run(400.0)
        fleet.cut -= lost
        fleet.run(300.0)
    fleet.run(2.0 * TIMEOUT_MS)
    lost_answers = [log for log in fleet.logs if log.attempts and not log.ok]
    assert lost_answers
    for log in fleet.logs:
        assert len(log.attempts) <= 1
        assert not (log.attempts and log.not_run), log


@pytest.mark.parametrize("median_ms", [50.0, 400.0, 1_500.0])
@pytest.mark.parametrize("seed", range(4))
def test_request_taken_by_a_stopping_host_ends_before_it_or_was_at_its_server(seed, median_ms):
    """Work times reach the timeout; requests come at each moment of the shutdown."""
    fleet = make_fleet(seed, median_ms=median_ms, sigma=0.8)
    load(fleet)
    fleet.run(2_000.0)
    name = list(fleet.hosts)[seed]
    host = fleet.hosts[name]
    signal_ms = fleet.clock.now_ms()
    at_servers = {id(log) for log in fleet.logs if log.host == name and log.attempts}
    host.pipeline.cap_deadlines(signal_ms + LIMIT_MS, refuse_from_ms=signal_ms + LINGER_MS)
    for number in range(200):
        delay_ms = number * LIMIT_MS / 200.0
        fleet.run_after(delay_ms, lambda: fleet.request(name, path="/late", method="POST"))
    fleet.run(LIMIT_MS + 100.0)
    assert host.pipeline.in_flight == 0
    taken = [log for log in fleet.logs if log.host == name and log.ended_ms >= signal_ms]
    assert any(log.not_run and log.refusal == "host-ended" for log in taken)
    end_ms = signal_ms + LIMIT_MS
    cut = [
        log for log in taken if log.attempts and not log.ok and log.sent_ms + TIMEOUT_MS > end_ms
    ]
    assert {id(log) for log in cut} <= at_servers
