"""Tests of the number of attempts per request and of the choice among a route's services."""

import collections
import random

import pytest

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.entry import pipeline
from verbenadrum.entry.tests import test_pipeline
from verbenadrum.records import table, types
from verbenadrum.utils import clock

Kind = ports.OutcomeKind


class Placer(test_pipeline.FakePlacer):
    """Grants a new server for each request at once and records the requested services."""

    def __init__(self):
        super().__init__()
        self.services = []

    def place(self, request, done):
        self.services.append(request.service)
        name = f"s{len(self.services)}"
        done(ports.Placement(server=name, reason="r", lease=f"l-{name}", address="127.0.0.1:1"))

    def may_retry(self, request, *, hedge=False):
        return True


def make_pipeline(**fields):
    time = clock.SteppedClock()
    records = table.RecordTable()
    spec = types.RouteSpec(path_prefix="/", service="a", public=True, **fields)
    kind = types.RecordKind.ROUTE
    records.put(types.Record(kind=kind, name="all", revision=1, spec=spec))
    placer = Placer()
    ctx = context.Context(
        host="h1",
        data_centre="d1",
        region="r1",
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    core = pipeline.EntryPipeline(
        context=ctx,
        records=records,
        limiter=test_pipeline.FakeLimiter(),
        claims=test_pipeline.FakeClaims(),
        placer=placer,
    )
    return core, placer


def begin(core, name="q", method="POST"):
    sink = test_pipeline.Sink()
    core.begin(ports.RequestHead(request=name, method=method, host="h", path="/x", key=""), sink)
    return sink


def fail_all(core, sink, kind, name="q"):
    """End every attempt with the same outcome until none follows; return the number of attempts."""
    count = 0
    while len(sink.orders) > count:
        lease = sink.orders[count].lease
        count += 1
        core.outcome(name, lease, ports.Outcome(kind=kind, latency_ms=1.0, bytes_sent=True))
    return count


@pytest.mark.parametrize(
    ("method", "kind", "sent"),
    [
        ("GET", Kind.SERVER_ERROR, 2),
        ("POST", Kind.SERVER_ERROR, 1),
        ("POST", Kind.RESET, 1),
        ("POST", Kind.SHED, 4),
        ("POST", Kind.MISDIRECTED, 4),
    ],
)
def test_attempts_stop_at_the_maximum_of_the_route(method, kind, sent):
    core, _ = make_pipeline(max_attempts=2)
    sink = begin(core, method=method)
    assert fail_all(core, sink, kind) == sent
    (end,) = sink.ends
    ran = kind not in (Kind.SHED, Kind.MISDIRECTED)
    assert (end.status == 503) is (end.not_run is ports.NotRun.TRUE) is not ran


def test_requests_are_split_by_the_weights_of_the_backends():
    shares = (
        types.BackendShare(service="a", weight=90.0),
        types.BackendShare(service="b", weight=10.0),
    )
    core, placer = make_pipeline(backends=shares)
    for number in range(1_000):
        begin(core, name=f"q{number}")
    counts = collections.Counter(placer.services)
    assert 60 <= counts["b"] <= 140
    assert counts["a"] + counts["b"] == 1_000


def test_host_without_routes_refuses_as_not_configured():
    core, _ = make_pipeline()
    core._records = table.RecordTable()
    (end,) = begin(core).ends
    assert (end.status, end.not_run) == (503, ports.NotRun.TRUE)
