"""Soak of planned work: ``python -m standins.soak --seed 1 --seconds 20``.

It ends, restarts and reconfigures the hosts of a small fleet while callers send around the moments
of each end, and checks that no request is lost, repeated or answered wrongly. It exits with 0 if
all was in order, 1 if something was not, and 2 if the fleet could not be run.
"""

if __name__ == "__main__":
    # Before anything else imports sockets; an import of this module alone patches nothing.
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
)

__all__ = ["Options", "StallWatch", "run"]

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
_SERVERS = 4
_SETTLE_TRIES = 100
_SETTLE_PAUSE_S = 0.1
_AFTERMATH_S = 0.5
_STALL_INTERVAL_S = 0.01
_DECISIONS = """\
host_list = "seeded"
epochs = "counted"
claims = "local"
limits = "metered"
health = "belief"
"""
_TABLES = """\
[headers]
keep_request_id = true
"""


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """What is run; hosts end as ``shutdown`` says, and logs are kept in a folder if it is named."""

    seed: int
    seconds: float
    hosts: int
    connections: int
    rate_per_s: float
    shutdown: planned_work.Shutdown
    keep_logs: str


class StallWatch:
    """Notes how late this process itself runs, which tells a busy machine from a slow host.

    Attributes
    ----------
    longest_ms : float
        Longest delay seen, in milliseconds.
    """

    def __init__(self) -> None:
        self.longest_ms = 0.0

    def run(self) -> None:
        """Watch until killed."""
        while True:
            due_s = time.monotonic() + _STALL_INTERVAL_S
            gevent.sleep(_STALL_INTERVAL_S)
            self.longest_ms = max(self.longest_ms, (time.monotonic() - due_s) * 1000.0)


def run(work: planned_work.PlannedWork, options: Options) -> soak_checks.Checks:
    """Carry out the work of a seed beside callers, and return what was seen."""
    callers = soak_callers.Callers(
        work=work,
        seed=options.seed,
        connections=options.connections,
        rate_per_s=options.rate_per_s,
    )
    callers.start()
    rng = random.Random(f"{options.seed}/steps")
    work.run(planned_work.draw_steps(rng, work.fleet.hosts, options.seconds))
    gevent.sleep(_AFTERMATH_S)
    callers.stop()
    _settle(work, options.seed)
    return soak_checks.Checks(work=work, rows=callers.rows, strays=callers.strays)


def _prepare(running: fleet.Fleet, options: Options) -> planned_work.PlannedWork:
    """Start servers and hosts, and wait until each host answers."""
    work = planned_work.PlannedWork(
        running=running,
        shutdown=options.shutdown,
        rng=random.Random(f"{options.seed}/work"),
    )
    services = soak_configuration.SERVICES
    running.start_servers(
        [
            fleet.ServerSpec(
                server=f"s{number + 1}", service=services[number % 2], data_centre="d1"
            )
            for number in range(_SERVERS)
        ],
        slots=soak_configuration.SLOTS,
    )
    work.configurations.change()
    running.start_hosts(
        [
            fleet.HostSpec(host=f"h{number + 1}", data_centre="d1", region="r1")
            for number in range(options.hosts)
        ]
    )
    for host in running.hosts:
        work.adopt(host)
        running.reload_host(host)
    _settle(work, options.seed)
    if work.faults:
        raise child.ChildError(work.faults[0])
    return work


def _settle(work: planned_work.PlannedWork, seed: int) -> None:
    """Note each host that gives no whole answer in a bounded number of tries."""
    for host in work.fleet.hosts:
        if not any(_answers(work, host, seed) for _ in range(_SETTLE_TRIES)):
            work.faults.append(f"{host} gives no whole answer")


def _answers(work: planned_work.PlannedWork, host: str, seed: int) -> bool:
    request = soak_callers.draw_request(random.Random(seed), prefix=f"settle{seed}", work_ms=1.0)
    try:
        connection = raw_caller.Connection(host=host, address=work.fleet.caller_address(host))
    except OSError:
        gevent.sleep(_SETTLE_PAUSE_S)
        return False
    row = connection.ask(request)
    connection.close()
    if row.status != 200 or row.fault:
        gevent.sleep(_SETTLE_PAUSE_S)
        return False
    return True


def _keep_logs(running: fleet.Fleet, options: Options) -> None:
    folder = pathlib.Path(options.keep_logs) / f"soak-{options.seed}"
    shutil.copytree(running.directory, folder, dirs_exist_ok=True)
    print(f"logs are in {folder}")


def _run_seed(options: Options) -> int:
    """Run one seed, print what was seen, and return the exit code."""
    tables = f"{_TABLES}{options.shutdown.table}"
    with fleet.Fleet(
        seed=options.seed, proxied=False, decisions=_DECISIONS, tables=tables
    ) as running:
        work = _prepare(running, options)
        watch = StallWatch()
        watcher = gevent.spawn(watch.run)
        checks = run(work, options)
        watcher.kill()
        found = checks.violations()
        for violation in found:
            print(f"({violation.check}) {violation.text}")
        print(checks.summary())
        print(f"the soak itself was late by {watch.longest_ms:.0f} ms at most")
        if found and options.keep_logs:
            _keep_logs(running, options)
    print(f"seed {options.seed}: {len(found)} violations")
    return EXIT_BROKEN if found else EXIT_KEPT


def _define_flags() -> None:
    """Define the flags, whose names other commands use too."""
    flags.DEFINE_integer("seed", 1, "Seed of the work and of what callers send.")
    flags.DEFINE_float("seconds", 20.0, "Seconds in which planned work begins.")
    flags.DEFINE_integer("hosts", 5, "Hosts of the fleet.")
    flags.DEFINE_integer("connections", 16, "Connections kept open to each host.")
    flags.DEFINE_float("rate", 60.0, "Requests a second, besides those around ends.")
    flags.DEFINE_float("linger_ms", 600.0, "Setting linger_ms of the hosts.")
    flags.DEFINE_float("limit_ms", 2_000.0, "Setting limit_ms of the hosts.")
    flags.DEFINE_float("margin_ms", 500.0, "Setting margin_ms of the hosts.")
    flags.DEFINE_string("keep_logs", "", "Folder for the logs of a failed seed.")


def main(argv: list[str]) -> int:
    """Run the seed that the flags name."""
    del argv
    # An end by SIGTERM, like one by Ctrl-C, must still end the children.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    given = flags.FLAGS
    options = Options(
        seed=given.seed,
        seconds=given.seconds,
        hosts=given.hosts,
        connections=given.connections,
        rate_per_s=given.rate,
        shutdown=planned_work.Shutdown(
            linger_ms=given.linger_ms, limit_ms=given.limit_ms, margin_ms=given.margin_ms
        ),
        keep_logs=given.keep_logs,
    )
    try:
        return _run_seed(options)
    except (child.ChildError, serving.CallError) as error:
        print(f"cannot run the soak: {error}", file=sys.stderr)
        return EXIT_NOT_RUN


if __name__ == "__main__":
    _define_flags()
    app.run(main)
