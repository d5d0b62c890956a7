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

__all__ = ["StallWatch", "run"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the work and of what callers send.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Seconds in which planned work begins.")
_HOSTS = flags.DEFINE_integer("hosts", 5, "Hosts of the fleet.")
_CONNECTIONS = flags.DEFINE_integer("connections", 16, "Connections kept open to each host.")
_RATE = flags.DEFINE_float("rate", 60.0, "Requests a second, besides those around ends.")
_LINGER_MS = flags.DEFINE_float("linger_ms", 600.0, "Setting linger_ms of the hosts.")
_LIMIT_MS = flags.DEFINE_float("limit_ms", 2_000.0, "Setting limit_ms of the hosts.")
_MARGIN_MS = flags.DEFINE_float("margin_ms", 500.0, "Setting margin_ms of the hosts.")
_KEEP_LOGS = flags.DEFINE_string("keep_logs", "", "Folder for the logs of a failed seed.")

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


def run(running: fleet.Fleet, work: planned_work.PlannedWork, seed: int) -> soak_checks.Checks:
    """Carry out the work of a seed beside callers, and return what was seen."""
    callers = soak_callers.Callers(
        work=work, seed=seed, connections=_CONNECTIONS.value, rate_per_s=_RATE.value
    )
    callers.start()
    rng = random.Random(f"{seed}/steps")
    work.run(planned_work.draw_steps(rng, running.hosts, _SECONDS.value))
    gevent.sleep(_AFTERMATH_S)
    callers.stop()
    _settle(work, seed)
    return soak_checks.Checks(work=work, rows=callers.rows, strays=callers.strays)


def _prepare(
    running: fleet.Fleet, shutdown: planned_work.Shutdown, seed: int
) -> planned_work.PlannedWork:
    """Start servers and hosts, and wait until each host answers."""
    work = planned_work.PlannedWork(
        running=running, shutdown=shutdown, rng=random.Random(f"{seed}/work")
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
            for number in range(_HOSTS.value)
        ]
    )
    for host in running.hosts:
        work.adopt(host)
        running.reload_host(host)
    _settle(work, seed)
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


def _keep_logs(running: fleet.Fleet, seed: int) -> None:
    folder = pathlib.Path(_KEEP_LOGS.value) / f"soak-{seed}"
    shutil.copytree(running.directory, folder, dirs_exist_ok=True)
    print(f"logs are in {folder}")


def main(argv: list[str]) -> int:
    """Run one seed."""
    del argv
    # An end by SIGTERM, like one by Ctrl-C, must still end the children.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seed = _SEED.value
    shutdown = planned_work.Shutdown(
        linger_ms=_LINGER_MS.value, limit_ms=_LIMIT_MS.value, margin_ms=_MARGIN_MS.value
    )
    try:
        with fleet.Fleet(
            seed=seed, proxied=False, decisions=_DECISIONS, tables=f"{_TABLES}{shutdown.table}"
        ) as running:
            work = _prepare(running, shutdown, seed)
            watch = StallWatch()
            watcher = gevent.spawn(watch.run)
            checks = run(running, work, seed)
            watcher.kill()
            found = checks.violations()
            for violation in found:
                print(f"({violation.check}) {violation.text}")
            print(checks.summary())
            print(f"the soak itself was late by {watch.longest_ms:.0f} ms at most")
            if found and _KEEP_LOGS.value:
                _keep_logs(running, seed)
            print(f"seed {seed}: {len(found)} violations")
    except (child.ChildError, serving.CallError) as error:
        print(f"cannot run the soak: {error}", file=sys.stderr)
        return EXIT_NOT_RUN
    return EXIT_BROKEN if found else EXIT_KEPT


if __name__ == "__main__":
    app.run(main)
