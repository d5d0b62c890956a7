"""Tests of the checks of returns, on constructed observations."""

import pytest

from standins import (
    backend,
    planned_work,
    raw_caller,
    soak_configuration,
    soak_returns,
    soak_writes,
)

# Versions are published at 1,000 ms, 2,000 ms and so on, and each is due 4,000 ms later.
VERSIONS = 6
LEFT_DUE_MS = 12_500.0


class StubFleet:
    """Stub of a fleet, which returns the given runs of its servers."""

    def __init__(self, runs=()):
        self.runs = lambda: runs


class StubChecks:
    """Stub of the checks: the process of a request is named by its connection."""

    def __init__(self):
        self._processes = {}

    def find_process(self, result):
        return self._processes.setdefault(
            result.connection,
            planned_work.HostProcess(
                host="h", number=result.connection, child_process=None, started_ms=1.0
            ),
        )


def make_returns(runs=()):
    work = planned_work.PlannedWork(
        running=StubFleet(runs), shutdown=planned_work.Shutdown(), rng=None
    )
    configurations = work.configurations
    for version in range(1, VERSIONS + 1):
        at_ms = version * 1_000.0
        configurations.published.append(soak_configuration.Publication(at_ms=at_ms))
        configurations.writes.add(version, at_ms)
    return soak_returns.Returns(work=work, seed=1, seconds=8.0, results=[])


def probe(version, at_ms, status, code="", *, keyed=False, process=1):
    result = raw_caller.RequestResult(
        request="q",
        target="/",
        once=False,
        host="h",
        connection=process,
        position=1,
        opened_ms=1.0,
        begun_ms=at_ms,
        ended_ms=at_ms + 1.0,
        status=status,
        code=code,
    )
    return soak_returns._Probe(keyed=keyed, version=version, result=result)


def missing(version, at_ms, **fields):
    return probe(version, at_ms, 404, "no-route", **fields)


@pytest.mark.parametrize(
    ("probes", "broken"),
    [
        ([missing(3, 6_999.0), probe(3, 7_001.0, 200)], ""),
        ([missing(3, 7_001.0)], "k"),
        ([probe(3, 3_100.0, 200), missing(3, 3_200.0)], "l"),
        ([probe(4, 4_100.0, 200), missing(3, 4_200.0)], "l"),
        ([probe(3, 3_100.0, 200), missing(4, 4_200.0)], ""),
        ([probe(3, 3_100.0, 200), missing(3, 3_200.0, process=2)], ""),
        ([probe(1, 6_900.0, 200, keyed=True)], ""),
        ([probe(1, 7_100.0, 200, keyed=True)], "m"),
        ([probe(3, 3_100.0, 200), probe(1, 3_200.0, 200, keyed=True)], "m"),
        ([probe(6, 9_900.0, 401, "key-refused", keyed=True)], ""),
        ([probe(6, 10_100.0, 401, "key-refused", keyed=True)], "k"),
        ([probe(1, 10_100.0, 401, "key-refused", keyed=True)], ""),
        ([probe(3, 10_100.0, 503, "host-ended")], ""),
    ],
)
def test_checks_tell_late_and_reverted_changes_and_withdrawn_keys(probes, broken):
    returns = make_returns()
    returns._probes = probes
    assert "".join(each.check for each in returns.violations(StubChecks())) == broken


@pytest.mark.parametrize(
    ("at_ms", "broken"),
    [(LEFT_DUE_MS - 1.0, ""), (LEFT_DUE_MS + 1.0, "n"), (19_999.0, "n"), (20_001.0, "")],
)
def test_checks_tell_runs_at_a_server_that_has_left(at_ms, broken):
    name = soak_returns.SERVERS[0]
    run = backend.Run(server=name, request="q", key="", workspace="", at_ms=at_ms)
    returns = make_returns([run])
    server = returns._servers[name]
    for version, published_ms in ((1, 1_000.0), (2, 10_000.0), (3, 20_000.0)):
        server.writes.add(version, published_ms)
    server.left, server.joined_ms = [2], [1_000.0, 20_000.0]
    assert "".join(each.check for each in returns.violations(StubChecks())) == broken


def test_change_that_a_return_loses_is_due_after_it_is_published_again():
    writes = soak_writes.Writes()
    writes.add(1, 1_000.0)
    writes.copy()
    writes.add(2, 2_000.0)
    writes.lose(5_000.0)
    assert writes.due_ms(1, 4_000.0) == 5_000.0
    assert writes.due_ms(2, 4_000.0) == float("inf")
    writes.add(3, 6_000.0)
    assert writes.due_ms(2, 4_000.0) == 10_000.0
    writes.lose(8_000.0)
    writes.add(3, 9_000.0)
    assert writes.due_ms(2, 4_000.0) == 13_000.0
    writes.lose(14_000.0)
    assert writes.due_ms(2, 4_000.0) == 13_000.0


def test_route_timeout_that_a_return_has_lost_may_not_be_in_force_yet():
    configurations = soak_configuration.Configurations(running=None)
    for version, timeout_ms in ((1, 100.0), (2, 900.0)):
        at_ms = version * 1_000.0
        publication = soak_configuration.Publication(at_ms=at_ms, timeout_ms=timeout_ms)
        configurations.published.append(publication)
        configurations.writes.add(version, at_ms)
        if version == 1:
            configurations.writes.copy()
    assert configurations.min_timeout_ms(7_000.0, 7_100.0, 4_000.0) == 900.0
    configurations.writes.lose(2_500.0)
    configurations.writes.add(2, 5_000.0)
    assert configurations.min_timeout_ms(7_000.0, 7_100.0, 4_000.0) == 100.0
    assert configurations.min_timeout_ms(9_000.0, 9_100.0, 4_000.0) == 900.0
