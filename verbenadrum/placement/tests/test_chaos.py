"""Property-based test of the invariants of placement under random, concurrent faults."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import stepped_fleet
from verbenadrum.engine import behaviours
from verbenadrum.records import types

assert behaviours

SERVERS = 6
HOSTS = 4


class ChaosMachine(stateful.RuleBasedStateMachine):
    """Hosts and servers of one region, with random faults of the network, hosts and servers."""

    def __init__(self):
        super().__init__()
        self.fleet = stepped_fleet.Fleet(
            hosts=stepped_fleet.two_regions(HOSTS)[:HOSTS],
            servers={f"s{index}": "r1a" for index in range(SERVERS)},
            timeout_ms=1_500.0,
        )
        self.leaving = {}
        self.completions = collections.Counter()
        for host in self.fleet.hosts.values():
            self.count_completions(host)
        self.fleet.load(
            workspace="w", per_s=80.0, path=lambda: f"/item/{self.fleet.rng.randrange(50)}"
        )
        self.fleet.run(3_500.0)

    def count_completions(self, host):
        complete = host.placer.complete

        def counting(lease, outcome):
            self.completions[lease] += 1
            complete(lease, outcome)
            # A second call must have no effect.
            complete(lease, outcome)

        host.placer.complete = counting

    @stateful.rule(step_ms=st.sampled_from([60.0, 300.0, 1_200.0]))
    def run(self, step_ms):
        self.fleet.run(step_ms)

    @stateful.rule(drop=st.sampled_from([0.0, 0.05, 0.3]), late_ms=st.sampled_from([0.0, 40.0]))
    def disturb_channel(self, drop, late_ms):
        self.fleet.drop = drop
        self.fleet.extra_ms = lambda sender, to: late_ms * self.fleet.rng.random()

    @stateful.rule(sender=st.integers(0, HOSTS - 1), to=st.integers(0, HOSTS - 1))
    def cut(self, sender, to):
        names = sorted(self.fleet.hosts)
        self.fleet.cut.add((names[sender], names[to]))

    @stateful.rule()
    def heal(self):
        self.fleet.cut.clear()

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def pause_host(self, host):
        name = sorted(self.fleet.hosts)[host]
        self.fleet.hosts[name].paused_until_ms = self.fleet.clock.now_ms() + 4_000.0

    @stateful.rule(server=st.integers(0, SERVERS - 1), stalls=st.sampled_from([0.0, 0.4, 1.0]))
    def turn_gray(self, server, stalls):
        self.fleet.servers[f"s{server}"].stall_fraction = stalls

    @stateful.rule(servers=st.sets(st.integers(0, SERVERS - 1), min_size=1), down=st.booleans())
    def stop_servers(self, servers, down):
        for server in servers:
            self.fleet.servers[f"s{server}"].down = down

    @stateful.precondition(lambda self: len(self.leaving) < 2)
    @stateful.rule(server=st.integers(0, SERVERS - 1))
    def leave(self, server):
        name = f"s{server}"
        entries = tuple(
            types.ServerEntry(
                server=entry.server,
                address=entry.address,
                data_centre=entry.data_centre,
                state=types.ServerState.LEAVING if entry.server == name else entry.state,
            )
            for entry in self.fleet.entries
        )
        self.fleet.publish(entries)
        # Grants already sent arrive within the delay of the network.
        self.fleet.run(100.0)
        self.leaving.setdefault(name, self.fleet.servers[name].received)

    @stateful.invariant()
    def floor_holds(self):
        live = SERVERS - len(self.leaving)
        assert live - len(self.fleet.ejected() - set(self.leaving)) >= live / 2

    @stateful.invariant()
    def leaving_servers_get_no_new_work(self):
        for name, received in self.leaving.items():
            assert self.fleet.servers[name].received == received

    @stateful.invariant()
    def leases_complete_once(self):
        assert all(count == 1 for count in self.completions.values())
        for host in self.fleet.hosts.values():
            for home in host.placer.homes.values():
                assert home.server_table.in_use == len(home.leases)


def test_invariants_hold_under_random_faults():
    settings = hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=12, stateful_step_count=15
    )
    stateful.run_state_machine_as_test(ChaosMachine, settings=settings)
