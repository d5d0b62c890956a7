"""Tests of what hosts carry over from an older generation, in simulated time."""

import collections

import pytest

from standins import store_returns
from verbenadrum.dissemination import messages
from verbenadrum.dissemination.tests import test_store_returns as returns
from verbenadrum.records import envelope, types


def count_messages(drill):
    counts = collections.Counter()
    send = drill.fleet.channel.send

    def counted(sender, receiver, message):
        counts[type(message)] += 1
        return send(sender, receiver, message)

    drill.fleet.channel.send = counted
    return counts


def refuse_configuration(platform):
    platform.revision += 1
    raw = envelope.render_refusal(
        types.RecordKind.CONFIGURATION, "configuration", platform.revision, "unreadable"
    )
    platform.publish_envelope("configuration", "configuration", raw)


@pytest.mark.parametrize("seed", range(4))
def test_server_that_a_quiet_platform_lists_is_live_again_at_all_hosts(seed):
    drill = returns.Drill(seed, hosts=8)
    drill.writers.join("s4")
    drill.run(1_000)
    copy = drill.platform.copy()
    drill.platform.publish("server", "s4", None)
    drill.run(3_000)
    drill.lose(copy)
    drill.run(40_000)
    assert drill.states("s4") == {returns.LIVE}
    counts = count_messages(drill)
    drill.run(30_000)
    assert counts[messages.CarriedPull] == 0


@pytest.mark.parametrize("seed", range(3))
def test_refused_configuration_makes_hosts_pull_no_records_again_and_again(seed):
    drill = returns.Drill(seed, hosts=8)
    drill.writers.operator_rewrites = False
    copy = drill.platform.copy()
    drill.writers.publish_configuration()
    drill.run(1_000)
    drill.lose(copy)
    refuse_configuration(drill.platform)
    drill.run(5_000)
    for name in store_returns.readers(drill.fleet)[:3]:
        drill.restart(name)
    drill.run(20_000)
    drill.assert_versions(drill.writers.version)
    counts = count_messages(drill)
    drill.run(60_000)
    assert counts[messages.CarriedPull] == 0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("lost", ["configuration", "key", "leaving"])
def test_rows_that_all_hosts_hold_alike_are_pulled_by_none_again_and_again(lost, seed):
    drill = returns.Drill(seed, hosts=8)
    drill.writers.operator_rewrites = False
    copy = drill.platform.copy()
    if lost == "configuration":
        drill.writers.publish_configuration()
    elif lost == "key":
        spec = {"workspace": "w", "sha256": "f" * 64}
        drill.platform.publish("key", "lost", spec)
    else:
        drill.writers.announce_leaving("s1")
        drill.writers.servers["s1"].state = None
    drill.run(1_000)
    drill.lose(copy)
    drill.run(5_000)
    counts = count_messages(drill)
    drill.run(4_000 if lost == "leaving" else 60_000)
    assert counts[messages.CarriedPull] == 0


@pytest.mark.parametrize("seed", range(4))
def test_host_that_starts_after_a_return_never_uses_the_older_copy(seed):
    drill = returns.Drill(seed, hosts=8)
    copy = drill.platform.copy()
    drill.writers.withdraw("s1")
    drill.writers.operator_rewrites = False
    version = drill.writers.publish_configuration()
    drill.run(3_000)
    drill.lose(copy)
    drill.writers.servers["s1"].rewrite_ms = None
    drill.run(500)
    name = store_returns.readers(drill.fleet)[seed % 2]
    drill.restart(name)
    cuts = {pair for other in drill.fleet.hosts for pair in ((name, other), (other, name))}
    drill.fleet.channel.conditions.cuts |= cuts
    for step in range(400):
        if step == 80:
            drill.fleet.channel.conditions.cuts -= cuts
        drill.fleet.step()
        host = drill.fleet.hosts[name]
        assert host.engine.records.configuration_version in (None, version)
        entry = store_returns.entries(host).get("s1")
        assert entry is None or entry.state is not returns.LIVE
    assert host.engine.ready


@pytest.mark.parametrize("seed", range(4))
def test_server_that_the_platform_lists_is_live_though_the_hosts_that_listed_it_restarted(seed):
    drill = returns.Drill(seed, hosts=8)
    drill.writers.join("s4")
    drill.writers.join("s5")
    drill.run(1_000)
    copy = drill.platform.copy()
    drill.platform.publish("server", "s4", None)
    drill.run(3_000)
    drill.lose(copy)
    drill.run(2_000)
    for name in store_returns.readers(drill.fleet):
        drill.restart(name)
    drill.run(2_000)
    drill.writers.join("s6")
    drill.run(60_000)
    assert drill.states("s4") == {returns.LIVE}


@pytest.mark.parametrize("seed", range(4))
def test_server_that_the_platform_lists_is_live_again_at_all_hosts(seed):
    drill = returns.Drill(seed, hosts=8)
    drill.writers.join("s4")
    drill.writers.join("s5")
    drill.run(1_000)
    copy = drill.platform.copy()
    drill.platform.publish("server", "s4", None)
    drill.run(3_000)
    drill.lose(copy)
    drill.run(4_000)
    drill.writers.join("s6")
    drill.run(40_000)
    assert drill.states("s4") == {returns.LIVE}


def test_living_server_that_two_returns_in_series_hide_stays_in_its_pool():
    drill = returns.Drill(5)
    copy = drill.platform.copy()
    server = drill.writers.join("s4")
    drill.run(1_000)
    for duration_ms in (1_500, 0):
        drill.lose(copy, 200.0)
        drill.run(5)
        server.rewrite_ms = None
        drill.run(duration_ms)
    seen = set()
    for _ in range(30):
        drill.run(50)
        seen |= drill.states("s4")
    assert seen <= {returns.LIVE, returns.LAPSED}
