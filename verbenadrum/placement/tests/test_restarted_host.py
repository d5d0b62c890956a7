"""Tests that a restarted host takes no answer to a request of its earlier process for its own."""

import itertools

import pytest

from standins import stepped_fleet
from verbenadrum.engine import behaviours

assert behaviours

BUSY_MS = 400.0


def busy_fleet(seed):
    """Return a fleet of two hosts whose servers have work for longer than a host takes to start."""
    rows = stepped_fleet.two_regions(4)[:2]
    servers = {f"s{index}": rows[0].data_centre for index in range(2)}
    fleet = stepped_fleet.Fleet(
        hosts=rows,
        servers=servers,
        weights={"earlier": 1.0, "later": 1.0},
        median_ms=BUSY_MS,
        sigma=0.1,
        seed=seed,
    )
    fleet.run(1_000.0)
    return fleet


def workspaces_of_grants(fleet):
    """Return a list that gets, for each dispatch, the workspace of the slot and of the request."""
    found = []
    dispatch = fleet.dispatch

    def checked(sink, order):
        leases = [
            home.leases[order.lease]
            for host in fleet.hosts.values()
            for home in host.placer.homes.values()
            if order.lease in home.leases
        ]
        found.extend((lease.workspace, sink.log.workspace) for lease in leases)
        dispatch(sink, order)

    fleet.dispatch = checked
    return found


# A restarted host took slots granted to its earlier process: other services ran its requests.
@pytest.mark.parametrize("seed", range(5))
def test_slots_granted_to_the_earlier_process_run_no_request_of_the_new_one(seed):
    fleet = busy_fleet(seed)
    paths = (f"/{number}" for number in itertools.count())
    grants = workspaces_of_grants(fleet)
    for name in fleet.hosts:
        for _ in range(12):
            fleet.request(name, workspace="earlier", path=next(paths))
    fleet.run(100.0)
    home = next(name for name, host in fleet.hosts.items() if host.placer.homes)
    entry = next(name for name in fleet.hosts if name != home)
    fleet.fail_host(entry)
    fleet.restart_host(entry)
    for _ in range(24):
        fleet.request(entry, workspace="later", path=next(paths))
    fleet.run(5_000.0)
    assert ("later", "later") in grants
    assert [pair for pair in grants if len(set(pair)) > 1] == []
