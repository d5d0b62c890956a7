"""Tests of the admission rules, the queue and the leases of a home, without any messages sent."""

import random

import pytest

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.placement import admission, gate, lease_book, messages, parts, poison, queueing
from verbenadrum.records import types
from verbenadrum.utils import clock

States = messages.PlaceState


def make_ask(**fields):
    defaults = {
        "number": 1,
        "service": "svc",
        "region": "r1",
        "workspace": "w",
        "fingerprint": "",
        "remaining_ms": 1_500.0,
        "idempotent": False,
        "is_last_region": True,
        "data_centre": "d1",
        "remaining_target_ms": 1_200.0,
    }
    return messages.PlaceAsk(**(defaults | fields))


def make_load(**fields):
    defaults = {
        "has_servers": True,
        "slots": 6.0,
        "service_ms": 250.0,
        "ahead": 0,
        "wait_ms": 0.0,
        "rest_ms": 0.0,
        "random_fraction": 0.5,
    }
    return admission.PartLoad(**(defaults | fields))


def decide(rule="expected-wait", *, ask=None, **load):
    return admission.admission_rules.get(rule)().decide(ask or make_ask(), make_load(**load))


def test_request_that_gets_its_slot_in_time_waits():
    assert decide(wait_ms=400.0).state == States.QUEUED


def test_request_that_cannot_be_served_in_time_is_refused_at_once_and_told_when_to_return():
    verdict = decide(wait_ms=800.0)
    assert (verdict.state, verdict.reason) == (States.REFUSED, "deadline-unreachable")
    # The excess over the longest wait of 0.35 of the target, and half of the jitter.
    assert verdict.retry_after_ms == pytest.approx(800.0 - 420.0 + 120.0 + 120.0)


def test_baseline_lets_it_wait():
    assert decide("until-deadline", wait_ms=800.0).state == States.QUEUED


@pytest.mark.parametrize("rule", admission.admission_rules)
def test_request_beyond_the_room_of_the_queue_is_refused(rule):
    verdict = decide(rule, ahead=48, ask=make_ask(remaining_target_ms=0.0, remaining_ms=60_000.0))
    assert (verdict.state, verdict.reason) == (States.REFUSED, "queue-full")


@pytest.mark.parametrize("rule", admission.admission_rules)
def test_part_without_servers_refuses(rule):
    assert decide(rule, has_servers=False).reason == "no-eligible-server"


@pytest.mark.parametrize("rule", admission.admission_rules)
def test_caller_is_told_when_the_first_server_takes_requests_again(rule):
    verdict = decide(rule, rest_ms=700.0)
    assert (verdict.reason, verdict.retry_after_ms) == ("servers-resting", 700.0)
    elsewhere = decide(rule, rest_ms=700.0, ask=make_ask(is_last_region=False))
    assert elsewhere.state == States.ELSEWHERE


@pytest.mark.parametrize(
    ("wait_ms", "state"),
    [(60.0, States.QUEUED), (200.0, States.QUEUED_OR_ELSEWHERE), (500.0, States.ELSEWHERE)],
)
def test_other_region_is_asked_once_the_wait_here_exceeds_the_way_there(wait_ms, state):
    assert decide(wait_ms=wait_ms, ask=make_ask(is_last_region=False)).state == state


def test_request_of_another_region_gets_a_free_slot_or_a_refusal():
    verdict = decide(wait_ms=1.0, ask=make_ask(from_other_region=True))
    assert verdict.reason == "no-free-slot-for-far"


def test_target_shorter_than_the_work_counts_for_nothing():
    rule = admission.WithinExpectedWait()
    ask = make_ask(remaining_target_ms=300.0)
    assert rule.max_wait_ms(ask, 250.0) == pytest.approx(0.35 * 1_500.0)


def waiter_of(number, workspace="w", deadline_ms=1_000.0, priority=0):
    return queueing.Waiter(
        entry_host=ids.HostId("h1"),
        ask=make_ask(number=number, workspace=workspace, priority=priority),
        max_wait_ms=0.0,
        deadline_ms=deadline_ms,
        arrived_ms=0.0,
    )


@pytest.fixture
def queue():
    return queueing.WaitingRequests(weight=lambda name: 1.0, now_ms=lambda: 0.0)


def test_workspaces_take_turns_and_urgent_requests_come_first(queue):
    for number, workspace in enumerate("aaabb"):
        queue.push(waiter_of(number, workspace, priority=1))
    queue.push(waiter_of(9, "c"))
    assert [queue.pop().ask.number for _ in range(5)] == [9, 0, 3, 1, 4]


def test_expected_wait_grows_with_what_waits(queue):
    ask = make_ask()
    assert queue.expected_wait_ms(ask, service_ms=240.0, slots=6.0) == 40.0
    for number in range(3):
        queue.push(waiter_of(number))
    assert queue.expected_wait_ms(ask, service_ms=240.0, slots=6.0) == 160.0
    assert queue.count_ahead(ask) == 3


def test_request_that_is_put_back_keeps_its_place(queue):
    for number in range(3):
        queue.push(waiter_of(number))
    queue.put_back(queue.pop())
    assert [queue.pop().ask.number for _ in range(3)] == [0, 1, 2]


def test_withdrawn_and_overdue_requests_leave_wherever_they_wait(queue):
    queue.push(waiter_of(1, deadline_ms=50.0))
    queue.push(waiter_of(2))
    queue.hold_back(waiter_of(3))
    queue.hold_back(waiter_of(4))
    queue.withdraw(waiter_of(3).key)
    assert [each.ask.number for each in queue.remove_overdue(60.0)] == [1]
    assert (len(queue), queue.queued) == (2, 1)
    assert [each.ask.number for each in queue.take_held_back()] == [4]


class CountingTable:
    """Fake of `servers.ServerTable` that counts the slots taken."""

    def __init__(self):
        self.in_use = 0

    def take_slot(self, lease, now_ms):
        self.in_use += 1

    def free_slot(self, lease):
        self.in_use -= 1


def test_leases_have_names_of_their_own_and_end_when_their_entry_host_is_silent():
    time = clock.SteppedClock()
    made = context.Context(
        host=ids.HostId("h1"),
        data_centre=ids.DataCentreId("d1"),
        region=ids.RegionId("r1"),
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    part = parts.Part(
        service=ids.ServiceId("svc"),
        region=ids.RegionId("r1"),
        spec=types.PoolSpec(servers=()),
        servers=(),
    )
    table = CountingTable()
    ledger = poison.PoisonLedger()
    book = lease_book.LeaseBook(
        context=made,
        part=part,
        table=table,
        poison_gate=gate.PoisonGate(ledger=ledger, region=part.region),
    )
    first, second = (book.new(ids.ServerId("s1"), entry_host=ids.HostId("h2")) for _ in range(2))
    for lease in (first, second):
        book.open(lease)
    assert first.lease != second.lease
    assert table.in_use == 2
    time.advance(2_000.0)
    book.renew(
        messages.Waiting(service="svc", region="r1", leases=(second.lease,), waited_ms=(9.0,))
    )
    time.advance(1_500.0)
    assert list(book.silent()) == [first]
    assert book.close(first) == 3_500.0
    assert table.in_use == 1
