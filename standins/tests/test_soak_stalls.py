"""Tests of the stalls of a soak test, and of the kill at the limit, on a process of its own."""

import random

import msgspec
import pytest

from standins import child, planned_work, soak_stalls

SHUTDOWN = planned_work.Shutdown(linger_ms=200.0, limit_ms=800.0, margin_ms=100.0)
MOMENTS = {"linger_ms": 2_700.0, "cutoff_ms": 5_400.0, "limit_ms": 6_000.0}
# Prints when it handles SIGTERM, and either exits or runs on.
PROGRAM = """
import signal, sys, time
def handle(number, frame):
    print(time.time() * 1000.0, flush=True)
    if {exits}:
        sys.exit(0)
signal.signal(signal.SIGTERM, handle)
print("ready", flush=True)
while True:
    time.sleep(1.0)
"""


class StubFleet:
    """Stub of a fleet with one process."""

    def __init__(self, process):
        self.process = lambda host: process


def shut_down(directory, *, exits, stall_rng=None):
    """Shut a process down; return its record and the time at which it handled SIGTERM, if known."""
    program = PROGRAM.format(exits=exits)
    started = child.Child(name="p", arguments=("-c", program), directory=directory)
    try:
        while not started.stdout.read_bytes():
            started.check_running()
        work = planned_work.PlannedWork(
            running=StubFleet(started), shutdown=SHUTDOWN, rng=None, stall_rng=stall_rng
        )
        process = work.record_process("h")
        work._shut_down(process, -1.0)
        while work._greenlets:
            work._greenlets.pop().join()
    finally:
        started.kill()
    lines = started.stdout.read_text().split()[1:]
    return process, [float(line) for line in lines]


def test_process_that_runs_at_its_limit_is_killed_then(tmp_path):
    process, _ = shut_down(tmp_path, exits=False)
    assert process.exit_code is None
    assert 0.0 <= process.limit_kill_ms - process.sigterm_ms - SHUTDOWN.limit_ms < 300.0
    assert process.ended_ms >= process.limit_kill_ms


def test_process_that_exits_in_time_is_not_killed(tmp_path):
    process, _ = shut_down(tmp_path, exits=True)
    assert (process.exit_code, process.limit_kill_ms, process.stalls) == (0, 0.0, [])


def test_signal_is_sent_while_the_process_is_stopped(tmp_path):
    for seed in range(100):
        rng = random.Random(seed)
        drawn = soak_stalls.draw_plans(
            rng,
            linger_ms=SHUTDOWN.listening_ms,
            cutoff_ms=SHUTDOWN.cutoff_ms,
            limit_ms=SHUTDOWN.limit_ms,
        )
        if drawn and drawn[0].at_ms < 0 < drawn[0].end_ms - 50.0:
            break
    process, handled_ms = shut_down(tmp_path, exits=True, stall_rng=random.Random(seed))
    stall = process.sigterm_stall
    assert stall is process.stalls[0]
    assert handled_ms[0] >= stall.ended_ms > process.sigterm_ms > stall.begun_ms


def test_drawn_stalls_are_reproducible_and_do_not_overlap():
    drawn = [soak_stalls.draw_plans(random.Random(seed), **MOMENTS) for seed in range(400)]
    assert drawn == [soak_stalls.draw_plans(random.Random(seed), **MOMENTS) for seed in range(400)]
    plans = [plan for each in drawn for plan in each]
    assert all(50.0 <= plan.duration_ms <= 1_500.0 for plan in plans)
    assert max(plan.duration_ms for plan in plans) > 1_300.0
    at_sigterm = [plan for plan in plans if plan.at_ms < 0]
    assert len(at_sigterm) in range(240, 321)
    assert all(plan.end_ms > 0 for plan in at_sigterm)
    for each in drawn:
        for earlier, later in zip(each, each[1:], strict=False):
            assert later.at_ms > earlier.end_ms


@pytest.mark.parametrize(
    ("since_ms", "until_ms", "running_ms"),
    [(0.0, 100.0, 60.0), (15.0, 20.0, 0.0), (25.0, 75.0, 35.0), (40.0, 60.0, 20.0)],
)
def test_running_time_leaves_out_the_stalls(since_ms, until_ms, running_ms):
    stalls = [
        soak_stalls.Stall(begun_ms=10.0, ended_ms=30.0),
        soak_stalls.Stall(begun_ms=65.0, ended_ms=85.0),
    ]
    assert soak_stalls.running_ms(stalls, since_ms, until_ms) == running_ms


def test_unended_stall_lasts():
    stall = soak_stalls.Stall(begun_ms=10.0)
    assert soak_stalls.running_ms([stall], 0.0, 1_000.0) == 10.0
    ended = msgspec.structs.replace(stall, ended_ms=20.0)
    assert soak_stalls.running_ms([ended], 0.0, 1_000.0) == 990.0
