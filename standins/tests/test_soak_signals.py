"""Tests of the checks of signals, on constructed observations."""

import random

import pytest

from standins import backend, planned_work, raw_caller, soak_signals


class StubFleet:
    """Stub of a fleet, which returns the given runs of its servers."""

    def __init__(self, runs):
        self.runs = lambda: runs


class StubChecks:
    """Stub of the checks, in which one process has taken all requests."""

    def __init__(self):
        self.process = planned_work.HostProcess(
            host="h", number=1, child_process=None, started_ms=1.0
        )

    def find_process(self, result):
        return self.process


def broken_checks(server, *times_ms):
    """Return the letters of the checks that fail for runs of a server at the given times."""
    runs = [
        backend.Run(server=server, request=f"q{number}", key="", workspace="", at_ms=at_ms)
        for number, at_ms in enumerate(times_ms)
    ]
    results = [
        raw_caller.RequestResult(
            request=run.request,
            target="/",
            once=False,
            host="h",
            connection=1,
            position=1,
            opened_ms=1.0,
            begun_ms=run.at_ms,
            ended_ms=run.at_ms + 10.0,
            status=200,
        )
        for run in runs
    ]
    signals = soak_signals.Signals(running=StubFleet(runs), rng=random.Random(1), seconds=10.0)
    signals._limit_per_s = 1.0
    signals._named_ms = signals._left_ms = 1_000.0
    return "".join(each.check for each in signals.violations(StubChecks(), results))


@pytest.mark.parametrize(
    ("server", "times_ms", "broken"),
    [
        ("s3", (500.0, 9_000.0), ""),
        ("s3", (1_100.0, 3_600.0), ""),
        ("s3", (1_100.0, 3_700.0), "h"),
        ("s1", [6_000.0 + 100.0 * number for number in range(12)], ""),
        ("s1", [1_100.0] + [6_000.0 + 100.0 * number for number in range(11)], ""),
        ("s1", [1_100.0] + [6_000.0 + 100.0 * number for number in range(12)], "i"),
        ("s2", [1_100.0] + [6_000.0 + 100.0 * number for number in range(12)], ""),
    ],
)
def test_checks_tell_each_ignored_signal(server, times_ms, broken):
    assert broken_checks(server, *times_ms) == broken
