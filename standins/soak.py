"""Soak test of planned work: ``python -m standins.soak --seed 1 --seconds 20``.

It shuts down, restarts and reconfigures the hosts of a small fleet while callers send requests,
many of them at the critical moments of each shutdown. It checks that no request is lost, run twice
or answered wrongly. The exit code is 0 if all checks passed, 1 if there were violations, and 2 if
the fleet could not be run.
"""

if __name__ == "__main__":
    # Must run before any other import of sockets; importing this module does not patch anything.
    from gevent import monkey

    monkey.patch_all()

import pathlib
import random
import shutil
import signal
import sys
import time

import gevent
import msgspec
from absl import app, flags

from standins import (
    child,
    fleet,
    planned_work,
    raw_caller,
    serving,
    soak_callers,
    soak_checks,
    soak_configuration,
    soak_faults,
    soak_returns,
    soak_signals,
)

__all__ = ["Options", "StallMonitor", "run"]

EXIT_OK = 0
EXIT_VIOLATIONS = 1
EXIT_NOT_RUN = 2
_MIN_SERVERS = 4
_MAX_ANSWER_TRIES = 100
_RETRY_PAUSE_S = 0.1
_FINAL_TRAFFIC_S = 0.5
_MONITOR_INTERVAL_S = 0.01
_DECISION_LINES = """\
host_list = "seeded"
epochs = "counted"
claims = "local"
limits = "metered"
health = "belief"
"""
_EXTRA_TABLES = """\
[headers]
keep_request_id = true
unframed_answers = true
"""


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one run.

    Attributes
    ----------
    seed : int
        Seed of the planned work and of the callers' requests.
    seconds : float
        Length of the time in which planned work starts.
    hosts, connections : int
        Number of hosts, and of the connections that the callers keep open to each.
    rate_per_s : float
        Requests per second, in addition to those aimed at shutdowns.
    shutdown : Shutdown
        Shutdown settings of the hosts.
    keep_logs : str
        Folder to which the logs are copied if there are violations, or empty.
    signals : bool
        Whether servers name limits, ask for rests and leave meanwhile.
    faults : bool
        Whether servers send broken answers and interim heads, hosts are killed, and the platform
        returns from older copies.
    stalls : bool
        Whether hosts that are shut down are stopped for a while, as on a busy machine.
    many : bool
        Whether many hosts are shut down at once or one after the other.
    """

    seed: int
    seconds: float
    hosts: int
    connections: int
    rate_per_s: float
    shutdown: planned_work.Shutdown
    keep_logs: str
    signals: bool
    faults: bool
    stalls: bool
    many: bool


class StallMonitor:
    """Measures how late this process is scheduled.

    A long delay points to an overloaded machine, not to a slow host.

    Attributes
    ----------
    max_delay_ms : float
        Longest delay so far, in milliseconds.
    """

    def __init__(self) -> None:
        self.max_delay_ms = 0.0

    def run(self) -> None:
        """Measure until the greenlet is killed."""
        while True:
            due_s = time.monotonic() + _MONITOR_INTERVAL_S
            gevent.sleep(_MONITOR_INTERVAL_S)
            self.max_delay_ms = max(self.max_delay_ms, (time.monotonic() - due_s) * 1000.0)


def run(
    work: planned_work.PlannedWork, options: Options
) -> tuple[soak_checks.Checks, list[soak_checks.Violation]]:
    """Run the planned work of a seed with concurrent callers.

    Returns
    -------
    checks : Checks
        The checks, with their violations not yet determined.
    violations : list of Violation
        Violations of what the servers signalled.
    """
    signals = soak_signals.Signals(
        running=work.fleet,
        rng=random.Random(f"{options.seed}/signals"),
        seconds=options.seconds,
    )
    callers = soak_callers.Callers(
        work=work,
        seed=options.seed,
        connections=options.connections,
        rate_per_s=options.rate_per_s,
    )
    callers.start()
    faults = soak_faults.Faults(
        work=work,
        rng=random.Random(f"{options.seed}/faults"),
        upload_rng=random.Random(f"{options.seed}/uploads"),
        results=callers.results,
    )
    returns = soak_returns.Returns(
        work=work, seed=options.seed, seconds=options.seconds, results=callers.results
    )
    if options.signals:
        signals.start()
    if options.faults:
        faults.start()
        returns.start()
    rng = random.Random(f"{options.seed}/steps")
    steps = planned_work.draw_steps(rng, work.fleet.hosts, options.seconds, many=options.many)
    work.run(steps)
    faults.stop()
    if options.faults:
        returns.stop()
    work.wait()
    if options.faults:
        returns.finish()
    gevent.sleep(_FINAL_TRAFFIC_S)
    callers.stop()
    signals.stop()
    _wait_until_answering(work, options.seed)
    checks = soak_checks.Checks(work=work, results=callers.results, strays=callers.strays)
    violations = signals.violations(checks, callers.results)
    violations += faults.violations(callers.results)
    return checks, violations + returns.violations(checks)


def _start_fleet(running: fleet.Fleet, options: Options) -> planned_work.PlannedWork:
    """Start the servers and hosts, and wait until each host answers a request.

    Raises
    ------
    ChildError
        If a host does not answer.
    """
    work = planned_work.PlannedWork(
        running=running,
        shutdown=options.shutdown,
        rng=random.Random(f"{options.seed}/work"),
        stall_rng=random.Random(f"{options.seed}/stalls") if options.stalls else None,
    )
    services = soak_configuration.SERVICES
    running.start_servers(
        [
            fleet.ServerSpec(
                server=f"s{number + 1}", service=services[number % 2], data_centre="d1"
            )
            for number in range(max(_MIN_SERVERS, options.hosts * 2 // 3))
        ],
        slots=soak_configuration.SLOTS,
    )
    aside = fleet.ServerSpec(
        server="aside1", service=soak_configuration.ASIDE_SERVICE, data_centre="d1"
    )
    moving = [
        fleet.ServerSpec(server=name, service=soak_configuration.MOVING_SERVICE, data_centre="d1")
        for name in soak_returns.SERVERS
    ]
    running.start_servers([aside, *moving], slots=soak_configuration.SLOTS)
    work.configurations.publish_change()
    running.start_hosts(
        [
            fleet.HostSpec(host=f"h{number + 1}", data_centre="d1", region="r1")
            for number in range(options.hosts)
        ]
    )
    for host in running.hosts:
        work.record_process(host)
        running.reload_host(host)
    _wait_until_answering(work, options.seed)
    if work.faults:
        raise child.ChildError(work.faults[0])
    return work


def _wait_until_answering(work: planned_work.PlannedWork, seed: int) -> None:
    """Wait until each host answers a request correctly; add those that do not to the faults."""
    for host in work.fleet.hosts:
        if not any(_is_answering(work, host, seed) for _ in range(_MAX_ANSWER_TRIES)):
            work.faults.append(f"{host} gives no correct answer")


def _is_answering(work: planned_work.PlannedWork, host: str, seed: int) -> bool:
    request = soak_callers.draw_request(random.Random(seed), prefix=f"settle{seed}", work_ms=1.0)
    try:
        connection = raw_caller.Connection(host=host, address=work.fleet.caller_address(host))
    except OSError:
        gevent.sleep(_RETRY_PAUSE_S)
        return False
    result = connection.perform(request)
    connection.close()
    if result.status != 200 or result.fault:
        gevent.sleep(_RETRY_PAUSE_S)
        return False
    return True


def _keep_logs(running: fleet.Fleet, options: Options) -> None:
    folder = pathlib.Path(options.keep_logs) / f"soak-{options.seed}"
    shutil.copytree(running.directory, folder, dirs_exist_ok=True)
    print(f"logs are in {folder}")


def _run_seed(options: Options) -> int:
    """Run one seed, print the violations and a summary, and return the exit code."""
    tables = f"{_EXTRA_TABLES}{options.shutdown.table}"
    with fleet.Fleet(
        seed=options.seed, proxied=False, decisions=_DECISION_LINES, tables=tables
    ) as running:
        work = _start_fleet(running, options)
        stall_monitor = StallMonitor()
        monitor_greenlet = gevent.spawn(stall_monitor.run)
        checks, violations = run(work, options)
        monitor_greenlet.kill()
        violations += checks.violations()
        for violation in violations:
            print(f"({violation.check}) {violation.text}")
        print(checks.summary())
        print(f"the soak itself was late by {stall_monitor.max_delay_ms:.0f} ms at most")
        if violations and options.keep_logs:
            _keep_logs(running, options)
    print(f"seed {options.seed}: {len(violations)} violations")
    return EXIT_VIOLATIONS if violations else EXIT_OK


def _define_flags() -> None:
    """Define the flags; not done on import, as other commands use the same names."""
    flags.DEFINE_integer("seed", 1, "Seed of the planned work and of the requests.")
    flags.DEFINE_float("seconds", 20.0, "Time in which planned work starts, in seconds.")
    flags.DEFINE_integer("hosts", 5, "Number of hosts.")
    flags.DEFINE_integer("connections", 16, "Number of connections kept open to each host.")
    flags.DEFINE_float("rate", 60.0, "Requests per second, besides those aimed at shutdowns.")
    flags.DEFINE_float("linger_ms", 600.0, "Setting linger_ms of the hosts.")
    flags.DEFINE_float("limit_ms", 2_000.0, "Setting limit_ms of the hosts.")
    flags.DEFINE_float("margin_ms", 500.0, "Setting margin_ms of the hosts.")
    flags.DEFINE_bool("signals", False, "Whether servers send signals about themselves.")
    flags.DEFINE_bool("faults", False, "Whether servers, hosts and the platform have faults.")
    flags.DEFINE_bool("stalls", False, "Whether hosts that are shut down are stopped for a while.")
    flags.DEFINE_bool("many", False, "Whether many hosts are shut down at once or in series.")
    flags.DEFINE_string("keep_logs", "", "Folder to which the logs of a failed seed are copied.")


def main(argv: list[str]) -> int:
    """Run the soak test with the options of the command line, and return the exit code."""
    del argv
    # Raises KeyboardInterrupt on SIGTERM too, so that the child processes are terminated.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    values = flags.FLAGS
    options = Options(
        seed=values.seed,
        seconds=values.seconds,
        hosts=values.hosts,
        connections=values.connections,
        rate_per_s=values.rate,
        shutdown=planned_work.Shutdown(
            linger_ms=values.linger_ms, limit_ms=values.limit_ms, margin_ms=values.margin_ms
        ),
        keep_logs=values.keep_logs,
        signals=values.signals,
        faults=values.faults,
        stalls=values.stalls,
        many=values.many,
    )
    try:
        return _run_seed(options)
    except (child.ChildError, serving.CallError) as error:
        print(f"cannot run the soak: {error}", file=sys.stderr)
        return EXIT_NOT_RUN


if __name__ == "__main__":
    _define_flags()
    app.run(main)
