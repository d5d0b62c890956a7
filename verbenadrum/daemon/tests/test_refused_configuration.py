"""Tests that a host tells which configuration is in force, and what of the store it refused."""

import json

import urllib3

from verbenadrum.daemon.tests import test_host
from verbenadrum.platform import wire
from verbenadrum.platform.tests import test_wire
from verbenadrum.records import store

quick = test_host.quick
FAULT = "cannot decode value: no JSON"


def offer(hosted, raw):
    return hosted.host._engine.store.offer(raw)


def configuration(path, value):
    document = test_wire.with_field(test_wire.SECOND, path, value)
    item = test_wire.item(wire.CONFIGURATION_KEY, document)
    return wire.decode_item(item, data_centres=test_wire.ZONES, floor=0.5)


def read(hosted, path):
    port = hosted.host._operator_servers[0].server_port
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, retries=False)
    return pool.request("GET", path).data.decode()


def gauge(hosted, name):
    (line,) = [
        each for each in read(hosted, "/metrics").splitlines() if each.startswith(f"{name}{{")
    ]
    return float(line.split()[-1])


# A version that could not be taken showed in one log line of the hosts that had read it.
def test_refused_version_shows_in_status_metrics_and_decisions_until_it_is_replaced(
    quick, monkeypatch
):
    monkeypatch.setattr(store, "_REPORT_INTERVAL_MS", 0.0)
    assert offer(quick, configuration("routes.1.type", "odd")) is store.Verdict.ACCEPTED
    item = wire.Item(key=wire.CONFIGURATION_KEY, mod_revision=9, value="")
    assert offer(quick, wire.refusal(item, FAULT)) is store.Verdict.REJECTED
    status = json.loads(read(quick, "/status"))
    assert status["configuration_version"] == 12
    assert status["configuration_faults"][0].startswith("routes.1: type 'odd'")
    (refused,) = status["rejected_records"]
    assert (refused["revision"], refused["faults"]) == (9, [FAULT])
    assert refused["accepted_revision"] == 7
    assert gauge(quick, "verbenadrum_records_rejected") == 1.0
    assert gauge(quick, "verbenadrum_records_configuration_version") == 12.0
    quick.host._engine.store.report_rejections()
    decisions = read(quick, "/decisions")
    assert "still-rejected" in decisions
    assert "entries-left-out" in decisions
    newer = test_wire.item(wire.CONFIGURATION_KEY, test_wire.CONFIGURATION)
    newer = wire.Item(key=newer.key, mod_revision=10, value=newer.value)
    raw = wire.decode_item(newer, data_centres=test_wire.ZONES, floor=0.5)
    assert offer(quick, raw) is store.Verdict.ACCEPTED
    status = json.loads(read(quick, "/status"))
    assert (status["rejected_records"], status["configuration_faults"]) == ([], [])
    assert gauge(quick, "verbenadrum_records_rejected") == 0.0
