"""Tests with processes of a store that comes back from an older copy."""

import time

import gevent
import pytest

from verbenadrum.platform.tests import store_fleet

HOSTS = 8
LOST_WRITES = 60
WATCHED_S = 2.0


# Guards against routes and keys refused long after the store acknowledged them.
@pytest.mark.parametrize("returns", [False, True])
def test_configuration_written_after_a_return_from_an_older_copy_is_in_force_in_time(
    tmp_path, returns
):
    with store_fleet.Fleet(directory=tmp_path, hosts=HOSTS, regions=1, writes_per_s=2.0) as fleet:
        fleet.store("copy")
        for _ in range(LOST_WRITES):
            fleet.touch(fleet.rng.choice(fleet.pool()))
        gevent.sleep(1.0)
        if returns:
            fleet.come_back()
        else:
            fleet.be_away(0.5)
        gevent.sleep(0.5)
        written = fleet.configure()
        due_s = fleet.versions[written] + store_fleet.APPLY_S
        gevent.sleep(due_s - time.monotonic() + WATCHED_S)
        late = sorted({each.host for each in fleet.faults if each.at_s >= due_s})
        assert fleet.asked > HOSTS
        assert late == []
