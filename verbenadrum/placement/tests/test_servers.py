"""Tests of the choice of a server for a request."""

import itertools
import random

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.health import belief, ejection
from verbenadrum.placement import parts, server_rates, servers, signals
from verbenadrum.records import types
from verbenadrum.utils import clock

SLOTS = 3
HOST = ids.HostId("h1")
LOW_FAULT_PROBABILITY = 0.01
HIGH_FAULT_PROBABILITY = 0.3


def make_table(fault_probabilities, data_centres=("d1",)):
    time = clock.SteppedClock()
    ctx = context.Context(
        host=HOST,
        data_centre=ids.DataCentreId("d1"),
        region=ids.RegionId("r1"),
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms, size=10, listener=lambda decision: None),
    )
    ejector = ejection.Ejector(
        context=ctx, judge=belief.BeliefJudge(), permits=lambda max_ejections: max_ejections
    )
    said = signals.ServerSignals(now_ms=time.now_ms)
    table = servers.ServerTable(
        ejector=ejector,
        rng=random.Random(2),
        signals=said,
        rates=server_rates.ServerRates(now_ms=time.now_ms, signals=said, share=lambda: 1.0),
        fault_probability=fault_probabilities.__getitem__,
    )
    entries = tuple(
        types.ServerEntry(server=name, address="127.0.0.1:1", data_centre=data_centre)
        for name, data_centre in zip(
            fault_probabilities, itertools.cycle(data_centres), strict=False
        )
    )
    table.sync(
        parts.Part(
            service=ids.ServiceId("svc"),
            region=ids.RegionId("r1"),
            spec=types.PoolSpec(servers=entries, floor=0.5),
            servers=entries,
        )
    )
    return table


def take_slot(table, server, number):
    table.take_slot(
        servers.LeaseRow(
            lease=ids.LeaseId(str(number)),
            entry_host=HOST,
            data_centre=ids.DataCentreId("d1"),
            number=number,
            server=ids.ServerId(server),
            workspace=ids.WorkspaceId("w"),
            fingerprint="",
            started_ms=0.0,
            renewed_ms=0.0,
        ),
        0.0,
    )


def test_non_retryable_request_avoids_a_doubtful_server_while_another_has_a_slot():
    table = make_table({"trusted": LOW_FAULT_PROBABILITY, "unsure": HIGH_FAULT_PROBABILITY})
    for number in range(SLOTS):
        assert table.choose(HOST, (), 0.0).server == "trusted"
        take_slot(table, "trusted", number)
    assert table.choose(HOST, (), 0.0).server == "unsure"


def test_retryable_request_may_go_to_a_doubtful_server():
    table = make_table({"trusted": LOW_FAULT_PROBABILITY, "unsure": HIGH_FAULT_PROBABILITY})
    take_slot(table, "trusted", 0)
    assert table.choose(HOST, (), 0.0, retryable=True).server == "unsure"


def test_of_equally_loaded_servers_one_in_the_own_data_centre_is_chosen():
    table = make_table(dict.fromkeys(("near", "far"), LOW_FAULT_PROBABILITY), ("d1", "d2"))
    # Both have been used, so that neither is preferred as unused.
    for number, server in enumerate(("near", "far")):
        take_slot(table, server, number)
    for _ in range(50):
        assert table.choose(ids.HostId("h2"), (), 0.0, data_centre="d1").server == "near"
        assert table.choose(ids.HostId("h2"), (), 0.0, data_centre="d2").server == "far"


def test_load_decides_before_the_data_centre():
    table = make_table(dict.fromkeys(("near", "far"), LOW_FAULT_PROBABILITY), ("d1", "d2"))
    take_slot(table, "far", 0)
    for number in range(1, 3):
        take_slot(table, "near", number)
    for _ in range(50):
        assert table.choose(ids.HostId("h2"), (), 0.0, data_centre="d1").server == "far"


def test_servers_and_hosts_without_a_data_centre_are_chosen_by_load():
    table = make_table(dict.fromkeys(("a", "b"), LOW_FAULT_PROBABILITY), ("",))
    take_slot(table, "a", 0)
    assert table.choose(ids.HostId("h2"), (), 0.0, data_centre="d1").server == "b"
    assert table.choose(ids.HostId("h2"), (), 0.0).server == "b"
