"""Faults in a soak test: answers that contradict themselves, interim heads, and killed hosts.

A host is killed and started again while its requests wait for the slots of a small pool. The check
(j) is that the servers of that pool run its requests and no others.
"""

import random

import gevent
import xxhash

from standins import behaviours, planned_work, raw_caller, soak_checks, soak_configuration

__all__ = ["Faults"]

_FRAMINGS = ("chunks-and-length", "two-lengths", "signed-length", "two-codings")
_FRAMING_SHARE = 0.04
_INTERIM_SHARE = 0.2
_KILL_GAP_S = (0.8, 2.0)
# As many requests as keep all slots of the small pool busy, and some more that wait.
_ASIDE_RATE_PER_S = 50.0
_ASIDE_WORK_MS = 300
_MS_PER_S = 1_000.0


class Faults:
    """Faults of the servers, kills of hosts, and requests to a small pool beside the others.

    Parameters
    ----------
    work : PlannedWork
        Planned work, which starts killed hosts again.
    rng : random.Random
        Draws the hosts and the times.
    results : list of RequestResult
        Gets the results of the requests to the small pool.
    """

    def __init__(
        self,
        *,
        work: planned_work.PlannedWork,
        rng: random.Random,
        results: list[raw_caller.RequestResult],
    ) -> None:
        self._work = work
        self._rng = rng
        self._results = results
        self._greenlets: list[gevent.Greenlet] = []
        self._sent = 0

    def start(self) -> None:
        """Set the faults of the servers, and start the kills and the requests."""
        faults = [behaviours.Fault(name="interim", share=_INTERIM_SHARE)]
        faults += [
            behaviours.Fault(name="frame", share=_FRAMING_SHARE, mode=mode) for mode in _FRAMINGS
        ]
        for server in self._work.fleet.servers:
            self._work.fleet.set_server_faults(server, faults)
        self._greenlets = [gevent.spawn(self._kill_hosts), gevent.spawn(self._send_requests)]

    def stop(self) -> None:
        """Stop the kills and the requests, and remove the faults of the servers."""
        gevent.killall(self._greenlets)
        for server in self._work.fleet.servers:
            self._work.fleet.set_server_faults(server, [])

    def violations(self, results: list[raw_caller.RequestResult]) -> list[soak_checks.Violation]:
        """Return the runs of requests by servers of a pool to which no route sends them."""
        targets = {result.request: result.target for result in results}
        aside_servers = {
            entry["server"]
            for entry in self._work.fleet.server_entries(soak_configuration.ASIDE_SERVICE)
        }
        return [
            soak_checks.Violation(
                check="j", text=f"{run.request} to {targets[run.request]} was run by {run.server}"
            )
            for run in self._work.fleet.runs()
            if run.request in targets
            and targets[run.request].startswith("/aside") != (run.server in aside_servers)
        ]

    def _kill_hosts(self) -> None:
        while True:
            gevent.sleep(self._rng.uniform(*_KILL_GAP_S))
            hosts = self._work.fleet.hosts
            self._work.kill_and_restart(self._rng.choice(hosts))

    def _send_requests(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(_ASIDE_RATE_PER_S))
            gevent.spawn(self._send_request, self._rng.choice(self._work.fleet.hosts))

    def _send_request(self, host: str) -> None:
        self._sent += 1
        name = f"aside-{self._sent}"
        target = f"/aside/x?ms={_ASIDE_WORK_MS}"
        lines = (
            f"GET {target} HTTP/1.1",
            "Host: soak",
            f"X-Request-Id: {name}",
            f"X-Nonce: {name}",
        )
        head = "\r\n".join([*lines, "", ""])
        request = raw_caller.Request(
            request=name,
            method="GET",
            target=target,
            once=False,
            pieces=(raw_caller.Piece(data=head.encode()),),
            head_pieces=1,
            body_checksum=xxhash.xxh3_64_hexdigest(b""),
            body_bytes=0,
        )
        try:
            connection = raw_caller.Connection(
                host=host, address=self._work.fleet.caller_address(host)
            )
        except OSError:
            # The host has just been killed.
            return
        self._results.append(connection.perform(request))
        connection.close()
