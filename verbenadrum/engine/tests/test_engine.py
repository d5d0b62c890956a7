"""Tests of requests through one engine, with the simplest implementation of each system."""

import random

from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours, engine
from verbenadrum.entry import keys
from verbenadrum.records import types
from verbenadrum.utils import clock

assert behaviours


class RecordingSink:
    """Records the calls that the pipeline makes for one request."""

    def __init__(self):
        self.orders = []
        self.refusals = []
        self.answers = []
        self.cancelled = []

    def dispatch(self, order):
        self.orders.append(order)

    def refuse(self, refusal):
        self.refusals.append(refusal)

    def replay(self, answer):
        self.answers.append(answer)

    def cancel(self, lease):
        self.cancelled.append(lease)


def make_engine():
    time = clock.SteppedClock()
    decisions = ring.DecisionRing(wall_ms=time.wall_ms)
    ctx = context.Context(
        host=ids.HostId("h1"),
        data_centre=ids.DataCentreId("dc1"),
        region=ids.RegionId("r1"),
        incarnation=1,
        clock=time,
        rng=random.Random(7),
        send=lambda to, message: None,
        decisions=decisions,
    )
    core = engine.Engine(
        context=ctx,
        choices=engine.Choices(
            limits="static_split",
            claims="local",
            epochs="listed",
            placement="power_of_two",
            health="consecutive",
        ),
    )
    host = ports.HostRow(
        host=ctx.host, address="127.0.0.1:1", data_centre=ctx.data_centre, region=ctx.region
    )
    core.apply_hosts(1, (host,))
    servers = tuple(
        types.ServerEntry(server=f"s{index}", address=f"127.0.0.1:{index}") for index in (1, 2, 3)
    )
    specs = [
        (types.RecordKind.ROUTE, "all", types.RouteSpec(path_prefix="/", service="svc")),
        (types.RecordKind.POOL, "svc", types.PoolSpec(servers=servers)),
        (types.RecordKind.WORKSPACE, "w", types.WorkspaceSpec(rate_per_s=1, burst=2)),
        (types.RecordKind.KEY, "k", types.KeySpec(workspace="w", sha256=keys.hash_key("secret"))),
    ]
    core.apply_records(
        [
            types.Record(kind=kind, name=name, revision=revision, spec=spec)
            for revision, (kind, name, spec) in enumerate(specs, start=1)
        ]
    )
    return core, time


def head(request="q1", method="GET", key="secret", **fields):
    return ports.RequestHead(
        request=request, method=method, host="any", path="/x", api_key=key, **fields
    )


def outcome_of(kind=ports.OutcomeKind.RESET, sent=True):
    return ports.Outcome(kind=kind, latency_ms=1.0, bytes_sent=sent)


def test_request_is_dispatched_and_removed_after_its_answer():
    core, _ = make_engine()
    sink = RecordingSink()
    core.begin(head(), sink)
    (order,) = sink.orders
    assert core.commit("q1", order.lease)
    core.complete_attempt("q1", order.lease, outcome_of(ports.OutcomeKind.OK))
    assert core.pipeline.in_flight == 0
    assert not sink.refusals


def test_missing_and_unknown_keys_are_refused():
    core, _ = make_engine()
    for key, code in (("", "key-missing"), ("wrong", "key-refused")):
        sink = RecordingSink()
        core.begin(head(key=key), sink)
        assert sink.refusals[0].code == code
        assert sink.refusals[0].status == 401


# A request without its caller's identifier ran under one that no caller had sent.
def test_request_that_lacks_its_callers_identifier_is_refused_if_it_is_allowed():
    core, _ = make_engine()
    cases = [
        (head(lacks_request_id=True), 400, "request-id-missing"),
        (head(key="wrong", lacks_request_id=True), 401, "key-refused"),
        (head(key="", lacks_request_id=True), 401, "key-missing"),
    ]
    for refused, status, code in cases:
        sink = RecordingSink()
        core.begin(refused, sink)
        (refusal,) = sink.refusals
        assert (refusal.status, refusal.code) == (status, code)
        assert refusal.not_run is ports.NotRun.TRUE
        assert not sink.orders
    assert core.pipeline.in_flight == 0


def test_withdrawn_key_is_refused_on_the_next_request():
    core, _ = make_engine()
    withdrawn = types.Record(kind=types.RecordKind.KEY, name="k", revision=9, spec=None)
    assert core.apply_records([withdrawn]) == 1
    sink = RecordingSink()
    core.begin(head(), sink)
    assert sink.refusals[0].code == "key-refused"


def test_request_over_the_rate_is_refused_with_retry_after():
    core, _ = make_engine()
    sinks = [RecordingSink() for _ in range(3)]
    for index, sink in enumerate(sinks):
        core.begin(head(request=f"q{index}"), sink)
    refusal = sinks[2].refusals[0]
    assert (refusal.status, refusal.not_run) == (429, ports.NotRun.TRUE)
    assert refusal.retry_after_ms == 1000.0


def test_idempotent_request_is_retried_elsewhere():
    core, _ = make_engine()
    sink = RecordingSink()
    core.begin(head(), sink)
    core.complete_attempt("q1", sink.orders[0].lease, outcome_of())
    assert sink.orders[1].server != sink.orders[0].server


def test_non_idempotent_request_is_never_sent_twice():
    core, _ = make_engine()
    sink = RecordingSink()
    core.begin(head(method="POST"), sink)
    core.complete_attempt("q1", sink.orders[0].lease, outcome_of())
    assert len(sink.orders) == 1
    assert sink.refusals[0].not_run is ports.NotRun.UNKNOWN


def test_non_idempotent_request_is_retried_if_no_byte_was_sent():
    core, _ = make_engine()
    sink = RecordingSink()
    core.begin(head(method="POST"), sink)
    core.complete_attempt(
        "q1", sink.orders[0].lease, outcome_of(ports.OutcomeKind.CONNECT_FAILED, sent=False)
    )
    assert len(sink.orders) == 2


def test_deadline_after_dispatch_is_refused_with_unknown_not_run():
    core, time = make_engine()
    sink = RecordingSink()
    core.begin(head(method="POST", deadline_ms=100.0), sink)
    time.advance(100.0)
    core.on_tick()
    assert sink.cancelled == [sink.orders[0].lease]
    assert sink.refusals[0].not_run is ports.NotRun.UNKNOWN
    core.complete_attempt("q1", sink.orders[0].lease, outcome_of())
    assert len(sink.refusals) == 1


def test_resend_of_a_claimed_key_replays_the_answer():
    core, _ = make_engine()
    first, second = RecordingSink(), RecordingSink()
    key = ids.IdempotencyKey("refund-1")
    core.begin(head(method="POST", idempotency_key=key), first)
    answer = ports.StoredAnswer(status=201, headers=(), body=b"done")
    core.commit("q1", first.orders[0].lease)
    core.complete_attempt("q1", first.orders[0].lease, outcome_of(ports.OutcomeKind.OK), answer)
    core.begin(head(request="q2", method="POST", idempotency_key=key), second)
    assert second.answers == [answer]
    assert not second.orders
