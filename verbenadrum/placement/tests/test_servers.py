"""Checks which server of a pool gets the next request."""

import random

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.health import belief, ejection
from verbenadrum.placement import parts, servers
from verbenadrum.records import types
from verbenadrum.utils import clock

SLOTS = 3
HOST = ids.HostId("h1")
TRUSTED = 0.01
UNSURE = 0.3


def make_table(doubts):
    time = clock.SteppedClock()
    host = context.Context(
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
        context=host, judge=belief.BeliefJudge(), permits=lambda allowance: allowance
    )
    table = servers.ServerTable(ejector=ejector, rng=random.Random(2), doubt=doubts.__getitem__)
    entries = tuple(
        types.ServerEntry(server=name, address="127.0.0.1:1", data_centre="d1") for name in doubts
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


def take(table, server, number):
    table.take(
        servers.LeaseRow(
            lease=ids.LeaseId(str(number)),
            observer=HOST,
            group=ids.DataCentreId("d1"),
            number=number,
            server=ids.ServerId(server),
            workspace=ids.WorkspaceId("w"),
            fingerprint="",
            started_ms=0.0,
            heard_ms=0.0,
        ),
        0.0,
    )


def test_request_that_runs_once_does_not_go_to_an_unsure_server_while_a_trusted_one_has_a_slot():
    table = make_table({"trusted": TRUSTED, "unsure": UNSURE})
    for number in range(SLOTS):
        assert table.choose(HOST, (), 0.0).server == "trusted"
        take(table, "trusted", number)
    assert table.choose(HOST, (), 0.0).server == "unsure"


def test_request_that_may_be_repeated_finds_out_about_an_unsure_server():
    table = make_table({"trusted": TRUSTED, "unsure": UNSURE})
    take(table, "trusted", 0)
    assert table.choose(HOST, (), 0.0, trial=True).server == "unsure"
