"""Model-based test: several homes of one pool together never eject below the floor."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.health import consecutive, ejection, evidence, permits
from verbenadrum.utils import clock

HOSTS = 5
SERVERS = 6
FLOOR = 0.5
PART = ("svc", "r1")


class Home:
    """A host that acts as home, with an ejector of its own."""

    def __init__(self, time, name, *, backed):
        ctx = context.Context(
            host=ids.HostId(name),
            data_centre=ids.DataCentreId("r1a"),
            region=ids.RegionId("r1"),
            incarnation=1,
            clock=time,
            rng=random.Random(1),
            send=lambda to, message: None,
            decisions=ring.DecisionRing(wall_ms=time.wall_ms),
        )
        self.holder = permits.PermitHolder()

        def permitted(max_ejections):
            if not backed:
                return max_ejections
            return self.holder.permitted_ejections(
                max_ejections=max_ejections, hosts=HOSTS, now_ms=time.now_ms()
            )

        self.ejector = ejection.Ejector(
            context=ctx, judge=consecutive.ConsecutiveJudge(), permits=permitted
        )
        self.ejector.sync([f"s{index}" for index in range(SERVERS)], FLOOR)

    def not_in_service(self):
        return {
            f"s{index}" for index in range(SERVERS) if self.ejector.usable_slots(f"s{index}", 3) < 3
        }


class FloorMachine(stateful.RuleBasedStateMachine):
    """Homes request votes over a channel that loses, repeats, delays and reorders messages."""

    backed = True

    def __init__(self):
        super().__init__()
        self.time = clock.SteppedClock()
        self.vouchers = [permits.Voucher(started_ms=-1e6) for _ in range(HOSTS)]
        self.homes = [Home(self.time, f"h{index}", backed=self.backed) for index in range(3)]
        self.requests = []
        self.replies = []

    @stateful.rule(home=st.integers(0, 2))
    def request_all(self, home):
        now_ms = self.time.now_ms()
        self.homes[home].holder.record_request(now_ms)
        self.requests += [(home, host, now_ms) for host in range(HOSTS)]

    @stateful.rule(home=st.integers(0, 2), data=st.data())
    def request_and_receive_most(self, home, data):
        now_ms = self.time.now_ms()
        self.homes[home].holder.record_request(now_ms)
        for host in range(HOSTS):
            if data.draw(st.integers(0, 5)):
                self.vote(home, host, now_ms)
        self.replies, replies = [], self.replies
        for reply in replies:
            self.receive_reply(*reply)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver_request(self, data, keep):
        index = data.draw(st.integers(0, len(self.requests) - 1))
        request = self.requests[index] if keep else self.requests.pop(index)
        self.vote(*request)

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver_reply(self, data, keep):
        index = data.draw(st.integers(0, len(self.replies) - 1))
        self.receive_reply(*(self.replies[index] if keep else self.replies.pop(index)))

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def restart_voucher(self, host):
        self.vouchers[host] = permits.Voucher(started_ms=self.time.now_ms())

    @stateful.rule(home=st.integers(0, 2))
    def restart_home(self, home):
        self.homes[home] = Home(self.time, f"h{home}", backed=self.backed)

    @stateful.rule(home=st.integers(0, 2), servers=st.sets(st.integers(0, SERVERS - 1)))
    def eject_servers(self, home, servers):
        self.homes[home].ejector.consider(
            evidence.Verdict(
                kind=evidence.VerdictKind.SICK, server=f"s{index}", reason="test", score=20.0
            )
            for index in sorted(servers)
        )

    @stateful.rule(home=st.integers(0, 2))
    def pass_probes(self, home):
        ejector = self.homes[home].ejector
        for server in ejector.ejected:
            ejector.probed(server, True)

    @stateful.rule(step_ms=st.sampled_from([1.0, 50.0, 400.0, 1_500.0, 2_850.0, 3_000.0, 9_000.0]))
    def advance(self, step_ms):
        self.time.advance(step_ms)

    @stateful.invariant()
    def floor_holds(self):
        not_in_service = set().union(*(home.not_in_service() for home in self.homes))
        assert SERVERS - len(not_in_service) >= FLOOR * SERVERS

    def vote(self, home, host, asked_ms):
        given = self.vouchers[host].consent(
            part=PART, home=ids.HostId(f"h{home}"), now_ms=self.time.now_ms()
        )
        if given:
            self.replies.append((home, host, asked_ms))

    def receive_reply(self, home, host, asked_ms):
        self.homes[home].holder.backed(
            host=ids.HostId(f"v{host}"), asked_ms=asked_ms, hosts=HOSTS, now_ms=self.time.now_ms()
        )


class UnbackedMachine(FloorMachine):
    """Homes that eject without votes, as if each were the only one."""

    backed = False


SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=120, stateful_step_count=40
)


def test_floor_holds_with_several_homes():
    stateful.run_state_machine_as_test(FloorMachine, settings=SETTINGS)


def test_homes_without_votes_go_below_the_floor():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(UnbackedMachine, settings=SETTINGS)


# The monotonic clock of a machine starts anew with it.
def test_vote_for_an_earlier_run_of_a_home_permits_no_ejection():
    holder = permits.PermitHolder()
    assert holder.start_request_if_due(1_000.0)
    for host in range(HOSTS):
        holder.backed(host=ids.HostId(f"v{host}"), asked_ms=6e5, hosts=HOSTS, now_ms=1_100.0)
    assert holder.permitted_ejections(max_ejections=3, hosts=HOSTS, now_ms=1_100.0) == 0
    for host in range(HOSTS):
        holder.backed(host=ids.HostId(f"v{host}"), asked_ms=1e3, hosts=HOSTS, now_ms=1_100.0)
    assert holder.permitted_ejections(max_ejections=3, hosts=HOSTS, now_ms=1_100.0) == 3
    assert holder.permitted_ejections(max_ejections=3, hosts=HOSTS, now_ms=9_000.0) == 0


@pytest.mark.parametrize(("live", "floor"), [(1, 0.5), (2, 0.5), (5, 0.5), (7, 0.9), (3, 0.0)])
def test_quotas_of_disjoint_backers_sum_to_the_allowance(live, floor):
    max_ejections = ejection.max_ejections(live=live, floor=floor)
    for hosts in range(1, 12):
        for first in range(hosts + 1):
            for second in range(hosts - first + 1):
                shares = [first, second, hosts - first - second]
                held = sum(
                    permits.quota(max_ejections=max_ejections, votes=share, hosts=hosts)
                    for share in shares
                )
                assert held <= max_ejections
