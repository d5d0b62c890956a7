"""A short soak test in its own process, and its checks on constructed observations."""

import random
import subprocess
import sys

import pytest

from standins import (
    backend,
    child,
    planned_work,
    raw_caller,
    soak_callers,
    soak_checks,
    soak_configuration,
    soak_stalls,
)

TIMEOUT_S = 120.0
# A long margin gives the process time to exit by its limit on an overloaded machine.
ARGUMENTS = (
    "--seed=33",
    "--seconds=1.2",
    "--hosts=4",
    "--connections=8",
    "--linger_ms=400",
    "--limit_ms=2500",
    "--margin_ms=1500",
)
# The limits of a deployment, and hosts that are not scheduled around their SIGTERM.
STALL_ARGUMENTS = (
    "--seed=45",
    "--seconds=1.5",
    "--hosts=6",
    "--linger_ms=3000",
    "--limit_ms=6000",
    "--margin_ms=600",
    "--many",
    "--stalls",
)
DEFAULT_SHUTDOWN = planned_work.Shutdown()
DEPLOYMENT = planned_work.Shutdown(linger_ms=3_000.0, limit_ms=6_000.0, margin_ms=600.0)
SIGTERM_MS = 10_000.0
LINGER_ENDS_MS = 10_600.0
CUTOFF_MS = 11_500.0
ANSWERED = {"ending": raw_caller.Ending.ANSWERED, "status": 200}
KILLED = {"exit_code": None, "limit_kill_ms": 12_000.0, "gone_ms": 12_000.0, "ended_ms": 12_000.0}
STREAMED = {"body_bytes": 65_537, "sent_ms": LINGER_ENDS_MS + 100.0}


class StubFleet:
    """Stub of a fleet, which returns the given runs of its servers."""

    def __init__(self, runs, ends):
        self.runs = lambda: runs
        self.run_ends = lambda: ends


class StubChild:
    """Stub of a child process that has exited."""

    exit_code = 0


@pytest.mark.parametrize("option", ["--nofaults", "--faults"])
def test_short_soak_keeps_every_promise(option):
    run_soak(*ARGUMENTS, option)


def test_short_soak_of_late_hosts_keeps_every_promise():
    run_soak(*STALL_ARGUMENTS)


def run_soak(*arguments):
    completed = subprocess.run(
        (sys.executable, "-m", "standins.soak", *arguments),
        cwd=child.REPOSITORY_ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr


def check(
    *,
    runs=1,
    server_ends_ms=None,
    exit_code=0,
    gone_ms=11_900.0,
    limit_kill_ms=0.0,
    stalls=(),
    shutdown=DEFAULT_SHUTDOWN,
    **fields,
):
    """Return the letters of the checks that fail for one request at a host in shutdown.

    The host gets SIGTERM at ``SIGTERM_MS`` and exits at ``gone_ms``; it is stopped during
    ``stalls``. Each run of the request begins at 10,200 ms; the first one ends at
    ``server_ends_ms``, if given.
    """
    server_runs = [
        backend.Run(server=f"s{number}", request="q", key="", workspace="", at_ms=10_200.0)
        for number in range(runs)
    ]
    ends = []
    if server_ends_ms is not None:
        outcome = backend.RunOutcome.CALLER_DISCONNECTED
        ends = [backend.RunEnd(server="s0", request="q", at_ms=server_ends_ms, outcome=outcome)]
    work = planned_work.PlannedWork(
        running=StubFleet(server_runs, ends), shutdown=shutdown, rng=None
    )
    work.configurations.published.append(soak_configuration.Publication(at_ms=0.0))
    process = planned_work.HostProcess(
        host="h", number=1, child_process=StubChild(), started_ms=1.0
    )
    process.signals_ms.append(SIGTERM_MS)
    process.exit_code, process.ended_ms = exit_code, gone_ms
    process.limit_kill_ms = limit_kill_ms
    process.stalls += [soak_stalls.Stall(begun_ms=begun, ended_ms=end) for begun, end in stalls]
    work.processes.append(process)
    defaults = {
        "opened_ms": 9_000.0,
        "begun_ms": 10_100.0,
        "sent_ms": 10_100.0,
        "ended_ms": CUTOFF_MS + 1.0,
        "once": True,
    }
    result = raw_caller.RequestResult(
        request="q", target="/", host="h", connection=1, position=1, **(defaults | fields)
    )
    checks = soak_checks.Checks(work=work, results=[result], strays=[])
    return "".join(found.check for found in checks.violations())


@pytest.mark.parametrize(
    ("broken", "seen"),
    [
        ("", {"server_ends_ms": CUTOFF_MS}),
        ("a", {"server_ends_ms": CUTOFF_MS - 50.0}),
        ("", {"server_ends_ms": CUTOFF_MS - 50.0, "read_ms": 100.0}),
        ("a", {"server_ends_ms": CUTOFF_MS, "sent_ms": LINGER_ENDS_MS + 1.0}),
        ("", {**STREAMED, "head_ms": LINGER_ENDS_MS - 1.0}),
        ("a", {**STREAMED, "head_ms": LINGER_ENDS_MS + 1.0}),
        ("a", {"ended_ms": CUTOFF_MS - 100.0}),
        ("a", {"ending": raw_caller.Ending.TRUNCATED, "ended_ms": 10_300.0}),
        ("", {**ANSWERED}),
        ("a", {**ANSWERED, "status": 504, "code": "host-ended", "ended_ms": 10_300.0}),
        ("b", {**ANSWERED, "runs": 2}),
        ("", {**ANSWERED, "runs": 2, "once": False}),
        ("c", {**ANSWERED, "status": 503}),
        ("", {**ANSWERED, "status": 503, "runs": 0}),
        ("d", {**ANSWERED, "fault": "wrong"}),
        ("", {"runs": 0, "ended_ms": 10_299.0}),
        ("e", {"runs": 0, "ended_ms": 10_301.0}),
        ("", {"runs": 0, "sent_ms": 0.0, "ending": raw_caller.Ending.UNSENT}),
        ("f", {"server_ends_ms": CUTOFF_MS, "ended_ms": CUTOFF_MS, "exit_code": -15}),
        ("f", {"server_ends_ms": CUTOFF_MS, "gone_ms": 12_001.0}),
        ("", {"ended_ms": 10_300.0, "budget_ms": 200.0}),
        ("a", {"ended_ms": 10_300.0, "budget_ms": 201.0}),
        ("f", {**KILLED}),
        ("f", {**KILLED, "server_ends_ms": 12_000.0}),
        ("af", {**KILLED, "server_ends_ms": 12_000.0, "sent_ms": LINGER_ENDS_MS + 1.0}),
        ("af", {**KILLED, "server_ends_ms": CUTOFF_MS - 50.0}),
    ],
)
def test_checks_tell_each_broken_promise(broken, seen):
    assert check(**seen) == broken


@pytest.mark.parametrize(
    ("broken", "stalls", "seen"),
    [
        # Stopped until it is killed, since before the answer and since long after it.
        ("", [(11_400.0, 12_100.0)], {**KILLED, "server_ends_ms": 11_450.0}),
        ("a", [(11_400.0, 12_100.0)], {**KILLED, "server_ends_ms": 11_050.0}),
        # With 350 ms to run, and with 250 ms.
        ("af", [(11_400.0, 11_650.0)], {**KILLED, "server_ends_ms": 11_450.0}),
        ("", [(11_400.0, 11_750.0)], {**KILLED, "server_ends_ms": 11_450.0}),
        # A late request is not excused, nor one that is refused.
        ("a", [(11_400.0, 12_100.0)], {**KILLED, "sent_ms": LINGER_ENDS_MS + 1.0}),
        ("a", [(11_400.0, 11_900.0)], {"server_ends_ms": 11_450.0, "ended_ms": 11_900.0}),
        # Closed within 200 ms of running time, and within 201 ms.
        ("", [(10_150.0, 10_650.0)], {"runs": 0, "ended_ms": 10_800.0}),
        ("e", [(10_150.0, 10_650.0)], {"runs": 0, "ended_ms": 10_801.0}),
    ],
)
def test_stall_excuses_only_what_no_program_could_do(broken, stalls, seen):
    assert check(stalls=stalls, **seen) == broken


@pytest.mark.parametrize(
    ("broken", "stalls", "seen"),
    [
        ("a", [], {"server_ends_ms": 15_350.0}),
        ("", [(9_900.0, 10_300.0)], {"server_ends_ms": 15_000.0}),
        ("a", [(9_900.0, 10_300.0)], {"server_ends_ms": 14_950.0}),
        ("a", [(10_100.0, 10_500.0)], {"server_ends_ms": 15_000.0}),
        ("a", [(9_900.0, 10_300.0)], {"server_ends_ms": 15_000.0, "sent_ms": 13_001.0}),
        # After a stall of over 700 ms a process cannot know its limit.
        ("f", [(9_900.0, 10_600.0)], {"server_ends_ms": 15_500.0, "gone_ms": 16_001.0}),
        ("", [(9_900.0, 10_601.0)], {"server_ends_ms": 15_500.0, "gone_ms": 16_001.0}),
    ],
)
def test_stall_at_the_signal_leaves_the_last_sixth_of_the_limit(broken, stalls, seen):
    times = {"begun_ms": 12_900.0, "sent_ms": 12_900.0, "ended_ms": 15_600.0, "gone_ms": 15_900.0}
    assert check(stalls=stalls, shutdown=DEPLOYMENT, **(times | seen)) == broken


def test_second_source_adds_budgets_and_pauses_and_leaves_the_other_draws():
    plain = [soak_callers.draw_request(rng, prefix="q") for rng in map(random.Random, range(300))]
    extended = [
        soak_callers.draw_request(
            random.Random(number), prefix="q", extra_rng=random.Random(f"{number}/extra")
        )
        for number in range(300)
    ]
    assert [(each.once, each.method, each.body_checksum) for each in plain] == [
        (each.once, each.method, each.body_checksum) for each in extended
    ]
    assert not any(each.budget_ms for each in plain)
    budgets = [each for each in extended if each.budget_ms]
    assert len(budgets) in range(150, 211)
    for request in budgets:
        head = b"".join(piece.data for piece in request.pieces[: request.head_pieces])
        assert f"X-Deadline-Ms: {request.budget_ms:.0f}\r\n".encode() in head
    for text in ("&chunked=1", "&pieces="):
        assert sum(text in each.target for each in extended) in range(60, 181)


def test_steps_of_many_hosts_are_drawn_on_request_only():
    hosts = ["h1", "h2", "h3"]
    few = [each.action for each in planned_work.draw_steps(random.Random(1), hosts, 100.0)]
    many = planned_work.draw_steps(random.Random(1), hosts, 100.0, many=True)
    share = sum(each.action in planned_work.many_actions for each in many) / len(few)
    assert not set(few) & set(planned_work.many_actions)
    assert 0.2 < share < 0.5


@pytest.mark.parametrize(("broken", "sent_ms"), [("", 13_000.0), ("a", 13_001.0)])
def test_linger_of_over_half_the_limit_excuses_no_later_request(broken, sent_ms):
    shutdown = planned_work.Shutdown(linger_ms=4_000.0, limit_ms=6_000.0, margin_ms=600.0)
    times = {"begun_ms": sent_ms, "sent_ms": sent_ms, "ended_ms": 15_600.0, "gone_ms": 15_900.0}
    assert check(shutdown=shutdown, server_ends_ms=15_500.0, **times) == broken
