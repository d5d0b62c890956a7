"""Tests of what the systems of a host share."""

import itertools
import random

import pytest

from benchmarks import limits_fleet
from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.limits import registry
from verbenadrum.records import types
from verbenadrum.utils import clock

WORKSPACE = "w"


def make_context(*, incarnation, sent):
    """Return a context with the same random numbers for every incarnation."""
    time = clock.SteppedClock()
    return context.Context(
        host=ids.HostId("h1"),
        data_centre=ids.DataCentreId("a"),
        region=ids.RegionId("r"),
        incarnation=incarnation,
        clock=time,
        rng=random.Random(7),
        send=lambda to, message: sent.append(message),
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )


@pytest.mark.parametrize("incarnation", [1, 2, 1_764_969_836_000 << 20])
def test_numbers_of_two_runs_do_not_overlap_and_stay_exact_as_floats(incarnation):
    runs = [
        list(itertools.islice(make_context(incarnation=each, sent=[]).numbers(), 10_000))
        for each in (incarnation, incarnation + 1)
    ]
    assert set(runs[0]).isdisjoint(runs[1])
    assert all(runs[0][0] + index == number for index, number in enumerate(runs[0]))
    assert max(map(max, runs)) < 2**53


# With ``decisions.seed`` set, an answer to the earlier run was taken for that of another request.
@pytest.mark.parametrize("name", ["escrow", "global_owner"])
def test_limiter_with_a_fixed_seed_takes_no_answer_to_its_earlier_run(name):
    numbers = []
    for incarnation in (1, 2):
        fleet = limits_fleet.Fleet(seed=3, limiter=name)
        spec = types.WorkspaceSpec(rate_per_s=10.0, burst=10.0)
        fleet.publish(types.RecordKind.WORKSPACE, WORKSPACE, spec)
        sent = []
        host = fleet.add(limits_fleet.layout(1, 1, 1)[0])
        host.context.incarnation = incarnation
        limiter = registry.limiters.get(name)(
            context=host.context,
            records=host.records,
            membership=host.membership,
            epochs=host,
        )
        fleet.publish_hosts()
        host.context.send = lambda to, message, sent=sent: sent.append(message)
        limiter.admit(
            workspace=WORKSPACE, request="q", deadline_ms=1e9, done=lambda admission: None
        )
        for _ in range(20):
            fleet.run(fleet.now_ms + 50.0)
            limiter.on_tick()
        numbers.append({each.number for each in sent if hasattr(each, "number")})
    assert numbers[0]
    assert numbers[0].isdisjoint(numbers[1])
