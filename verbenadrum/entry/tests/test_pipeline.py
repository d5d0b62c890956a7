"""Tests of the pipeline under random orders of answers, failures and late callbacks.

After each call they check that a request ends once, that a request that is not idempotent runs at
most once, and that a refusal states "not run" only where nothing ran.
"""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.entry import keys, pipeline
from verbenadrum.records import table, types
from verbenadrum.utils import clock

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=400)
STEPS = 40
TIMEOUT_MS = 1_000.0
# Outcomes in which the server states that it did not run the request.
NOT_RUN = (ports.OutcomeKind.SHED, ports.OutcomeKind.MISDIRECTED)
KINDS = [kind for kind in ports.OutcomeKind if kind is not ports.OutcomeKind.OK]


class PendingCallbacks:
    """Fake port whose pending callbacks the test calls at a time of its choice."""

    def __init__(self):
        self.pending = []

    def resolve(self, answer, index=0):
        self.pending.pop(index)(answer)


class FakeLimiter(PendingCallbacks):
    def admit(self, *, workspace, request, deadline_ms, done):
        self.pending.append(done)


class FakeClaims(PendingCallbacks):
    def __init__(self):
        super().__init__()
        self.released = []
        self.finished = []

    def claim(self, request, done):
        self.pending.append(done)

    def release(self, request):
        self.released.append(request.request)

    def finish(self, request, answer):
        self.finished.append(request.request)


class FakePlacer(PendingCallbacks):
    def __init__(self):
        super().__init__()
        self.completed = []
        self.retries_left = 3

    def place(self, request, done):
        self.pending.append(done)

    def complete(self, lease, outcome):
        self.completed.append(lease)

    def response_started(self, lease, *, draining=False, limit_per_s=None):
        pass

    def may_retry(self, request, *, hedge=False):
        self.retries_left -= 1
        return self.retries_left >= 0


class Sink:
    """Records the calls that the pipeline makes for one request."""

    def __init__(self):
        self.orders = []
        self.ends = []
        self.cancelled = set()

    def dispatch(self, order):
        self.orders.append(order)

    def refuse(self, refusal):
        self.ends.append(refusal)

    def replay(self, answer):
        self.ends.append(answer)

    def cancel(self, lease):
        self.cancelled.add(lease)


class UnsafeRetries(pipeline.EntryPipeline):
    """Retries every failed attempt, even one that may have run."""

    def _retry_allowed(self, row, outcome):
        return outcome.kind is not ports.OutcomeKind.CANCELLED


class UnrecordedBytes(pipeline.EntryPipeline):
    """Treats every outcome as if no byte was sent."""

    def complete_attempt(self, request, lease, outcome, answer=None):
        unsent = ports.Outcome(kind=outcome.kind, latency_ms=0.0, bytes_sent=False)
        super().complete_attempt(request, lease, unsent, answer)


class RepeatedCommits(pipeline.EntryPipeline):
    """Lets every attempt commit its answer."""

    def commit(self, request, lease):
        super().commit(request, lease)
        return True


class Schedule:
    """Drives one request with random calls and checks the invariants after each of them."""

    def __init__(self, seed, pipeline_type=pipeline.EntryPipeline):
        self.rng = random.Random(seed)
        self.time = clock.SteppedClock()
        self.limiter, self.claims, self.placer = FakeLimiter(), FakeClaims(), FakePlacer()
        self.idempotent, self.keyed, self.hedged, body_buffered = self.rng.choices(
            (True, False), k=4
        )
        self.claimed = self.keyed and not self.idempotent
        self.core = pipeline_type(
            context=self._context(),
            records=_records(),
            limiter=self.limiter,
            claims=self.claims,
            placer=self.placer,
        )
        self.sink = Sink()
        self.serial = 0
        self.won = self.committed = self.abandoned = False
        self.open_leases = set()
        self.run_leases = set()
        head = ports.RequestHead(
            request="q",
            method="GET" if self.idempotent else "POST",
            host="any",
            path="/x",
            api_key="secret",
            idempotency_key="k" if self.keyed else "",
            body_buffered=body_buffered,
        )
        self.core.begin(head, self.sink)

    @property
    def ended(self):
        return self.committed or self.abandoned or bool(self.sink.ends)

    def run(self, steps):
        for _ in range(steps):
            self.rng.choices(
                (
                    self.admit,
                    self.claim,
                    self.place,
                    self.fail,
                    self.answer,
                    self.tick,
                    self.abandon,
                    self.shut_down_host,
                ),
                weights=(8, 8, 8, 5, 3, 4, 0.3, 0.3),
            )[0]()
            self.check()
        self.time.advance(TIMEOUT_MS)
        self.core.on_tick()
        self.check()
        assert self.ended
        assert self.core.in_flight == 0 or self.committed
        assert not self.won or self.committed or self.claims.released or self.claims.finished

    def admit(self):
        if self.limiter.pending:
            granted = self.rng.random() < 0.9
            self.limiter.resolve(ports.Admission(granted=granted, reason="r"))

    def claim(self):
        if not self.claims.pending:
            return
        lost = self.rng.random() < 0.2
        state = self.rng.choice(list(ports.ClaimState)) if lost else ports.ClaimState.WON
        self.won = state is ports.ClaimState.WON
        answer = None
        if state is ports.ClaimState.ANSWERED:
            answer = ports.StoredAnswer(status=200, headers=(), body=b"")
        self.claims.resolve(ports.ClaimResult(state=state, reason="r", answer=answer))

    def place(self):
        if not self.placer.pending:
            return
        self.serial += 1
        before = len(self.sink.orders)
        placement = ports.Placement(
            server=f"s{self.serial}" if self.rng.random() < 0.9 else None,
            reason="r",
            lease=f"l{self.serial}",
            address="127.0.0.1:1",
            hedge_after_ms=50.0 if self.hedged else 0.0,
        )
        self.placer.resolve(placement)
        self.open_leases.update(order.lease for order in self.sink.orders[before:])

    def fail(self):
        if not self.open_leases:
            return
        lease = self.rng.choice(sorted(self.open_leases))
        kind = self.rng.choice(KINDS)
        if kind is ports.OutcomeKind.CANCELLED and lease not in self.sink.cancelled:
            return
        sent = kind is not ports.OutcomeKind.CONNECT_FAILED
        self.open_leases.remove(lease)
        if sent and kind not in NOT_RUN:
            self.run_leases.add(lease)
        self.core.complete_attempt(
            "q", lease, ports.Outcome(kind=kind, latency_ms=1.0, bytes_sent=sent)
        )

    def answer(self):
        if not self.open_leases:
            return
        lease = self.rng.choice(sorted(self.open_leases))
        self.open_leases.remove(lease)
        self.run_leases.add(lease)
        first = self.core.commit("q", lease)
        assert not (first and self.ended)
        self.committed = self.committed or first
        kind = ports.OutcomeKind.OK if first else ports.OutcomeKind.CANCELLED
        self.core.complete_attempt(
            "q", lease, ports.Outcome(kind=kind, latency_ms=1.0, bytes_sent=True)
        )

    def tick(self):
        self.time.advance(self.rng.choice((10.0, 60.0, 60.0, 200.0)))
        self.core.on_tick()

    def abandon(self):
        self.abandoned = True
        self.core.abandon("q", "caller-left")

    def shut_down_host(self):
        self.core.cap_deadlines(self.time.now_ms() + 100.0)

    def check(self):
        assert len(self.sink.ends) + self.committed <= 1
        if not self.idempotent:
            assert len(self.run_leases | self.open_leases) <= 1
            assert self.won or not (self.claimed and self.sink.orders)
        for end in self.sink.ends:
            if isinstance(end, ports.Refusal) and end.not_run is ports.NotRun.TRUE:
                assert not self.run_leases | self.open_leases
        if self.claims.released:
            assert not self.run_leases | self.open_leases
        held = set(self.placer.completed) | self.open_leases
        assert {order.lease for order in self.sink.orders} <= held

    def _context(self):
        return context.Context(
            host="h1",
            data_centre="d1",
            region="r1",
            incarnation=1,
            clock=self.time,
            rng=random.Random(1),
            send=lambda to, message: None,
            decisions=ring.DecisionRing(wall_ms=self.time.wall_ms),
        )


def _records():
    records = table.RecordTable()
    specs = [
        (
            types.RecordKind.ROUTE,
            types.RouteSpec(path_prefix="/", service="svc", timeout_ms=TIMEOUT_MS),
        ),
        (types.RecordKind.WORKSPACE, types.WorkspaceSpec(rate_per_s=1, burst=1)),
        (types.RecordKind.KEY, types.KeySpec(workspace="w", sha256=keys.hash_key("secret"))),
    ]
    for revision, (kind, spec) in enumerate(specs, start=1):
        records.put(types.Record(kind=kind, name="w", revision=revision, spec=spec))
    return records


@hypothesis.given(seed=st.integers(0, 2**32))
@SETTINGS
def test_requests_end_once_and_truly(seed):
    Schedule(seed).run(STEPS)


@pytest.mark.parametrize("faulty", [UnsafeRetries, UnrecordedBytes, RepeatedCommits])
def test_checks_detect_faulty_pipelines(faulty):
    caught = 0
    for seed in range(300):
        try:
            Schedule(seed, faulty).run(STEPS)
        except AssertionError:
            caught += 1
    assert caught > 0


def test_schedules_reach_every_kind_of_end():
    ends = collections.Counter()
    for seed in range(300):
        schedule = Schedule(seed)
        schedule.run(STEPS)
        ends["committed"] += schedule.committed
        ends["hedged or retried"] += len(schedule.sink.orders) > 1
        ends["claim released"] += bool(schedule.claims.released)
        ends["abandoned"] += schedule.abandoned
        for end in schedule.sink.ends:
            ends[getattr(end, "not_run", "replayed")] += 1
    assert min(ends.values()) > 0
    assert len(ends) == 7


def make_logged_pipeline(decided, records=None):
    schedule = Schedule(1)
    schedule_context = schedule._context()
    return pipeline.EntryPipeline(
        context=context.Context(
            host=schedule_context.host,
            data_centre=schedule_context.data_centre,
            region=schedule_context.region,
            incarnation=1,
            clock=schedule.time,
            rng=random.Random(1),
            send=lambda to, message: None,
            decisions=ring.DecisionRing(wall_ms=lambda: 0.0, size=16, listener=decided.append),
        ),
        records=records or _records(),
        limiter=FakeLimiter(),
        claims=FakeClaims(),
        placer=FakePlacer(),
    )


@pytest.mark.parametrize("key", ["secret", "wrong"])
def test_decisions_of_served_and_refused_requests_hold_the_caller_request_identifier(key):
    decided = []
    core = make_logged_pipeline(decided)
    head = ports.RequestHead(
        request="q2", method="GET", host="any", path="/x", api_key=key, caller_request="mine"
    )
    core.begin(head, Sink())
    assert [each.detail.get("caller_request") for each in decided] == ["mine"]


@pytest.mark.parametrize(("path", "reason"), [("/x", "key-refused"), ("/other", "no-route")])
def test_refusal_by_the_records_names_the_configuration_version_in_force(path, reason):
    route = types.NamedRoute(name="r", spec=types.RouteSpec(path_prefix="/x", service="svc"))
    spec = types.ConfigurationSpec(version=7, routes=(route,))
    records = table.RecordTable()
    records.put(types.Record(kind=types.RecordKind.CONFIGURATION, name="c", revision=9, spec=spec))
    decided = []
    core = make_logged_pipeline(decided, records)
    core.begin(
        ports.RequestHead(request="q2", method="GET", host="any", path=path, api_key="x"), Sink()
    )
    (refused,) = decided
    assert (refused.reason, refused.detail["configuration_version"]) == (reason, 7)


def test_decision_gives_the_reason_for_an_abandoned_request():
    decided = []
    core = make_logged_pipeline(decided)
    head = ports.RequestHead(
        request="q2", method="GET", host="any", path="/x", api_key="secret", caller_request="mine"
    )
    core.begin(head, Sink())
    core.abandon("q2", "caller-left")
    last = decided[-1]
    assert (last.kind, last.reason, last.request) == (
        ring.DecisionKind.ABANDON,
        "caller-left",
        "q2",
    )
    assert last.detail == {"stage": "admitting", "left_ms": TIMEOUT_MS, "caller_request": "mine"}


@pytest.mark.parametrize("shutting_down", [False, True])
def test_placement_after_the_deadline_is_not_dispatched(shutting_down):
    schedule = Schedule(1)
    while schedule.limiter.pending:
        schedule.limiter.resolve(ports.Admission(granted=True, reason="within-rate"))
    while schedule.claims.pending:
        schedule.claims.resolve(ports.ClaimResult(state=ports.ClaimState.WON, reason="won"))
    if shutting_down:
        schedule.core.cap_deadlines(schedule.time.now_ms() + 100.0)
    schedule.time.advance(100.0 if shutting_down else TIMEOUT_MS)
    granted = ports.Placement(
        server="s1", reason="granted", lease="l1", address="127.0.0.1:1", until_ms=0.0
    )
    schedule.placer.resolve(granted)
    schedule.core.on_tick()
    assert not schedule.sink.orders
    assert schedule.placer.completed == ["l1"]
    assert [(end.status, end.not_run) for end in schedule.sink.ends] == [(503, ports.NotRun.TRUE)]
