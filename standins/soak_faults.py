"""Faults in a soak test: broken answers, interim heads, and killed hosts.

An answer may contradict itself, hold a malformed line, or be cut by a reset of its connection while
a long upload is being sent.

A host is killed and started again while its requests wait for the slots of a small pool. The check
(j) is that the servers of that pool run its requests and no others.
"""

import random

import gevent
import xxhash

from standins import behaviours, planned_work, raw_caller, soak_checks, soak_configuration

__all__ = ["Faults"]

# Fraction of the answers for each way in which a head is broken.
_FRAMING_SHARE = 0.02
_RESET_DELAYS_MS = (0.0, 3.0, 10.0, 30.0)
_RESET_SHARE = 0.2
_UPLOAD_RATE_PER_S = 10.0
_UPLOAD_BYTES = (300_000, 1_000_000)
_UPLOAD_WORK_MS = 5
_PIECE_BYTES = 30_000
_PIECE_PAUSE_S = 0.003
_INTERIM_SHARE = 0.2
_KILL_GAP_S = (0.8, 2.0)
# As many requests as keep all slots of the small pool busy, and some more that wait.
_ASIDE_RATE_PER_S = 50.0
_ASIDE_WORK_MS = 300
_MS_PER_S = 1_000.0


class Faults:
    """Faults of the servers, kills of hosts, requests to a small pool, and long uploads.

    Parameters
    ----------
    work : PlannedWork
        Planned work, which starts killed hosts again.
    rng : random.Random
        Draws the hosts and the times.
    upload_rng : random.Random
        Draws the uploads, so that they leave the draws of the other as they are.
    results : list of RequestResult
        Gets the results of the requests to the small pool and of the uploads.
    """

    def __init__(
        self,
        *,
        work: planned_work.PlannedWork,
        rng: random.Random,
        upload_rng: random.Random,
        results: list[raw_caller.RequestResult],
    ) -> None:
        self._work = work
        self._rng = rng
        self._upload_rng = upload_rng
        self._results = results
        self._greenlets: list[gevent.Greenlet] = []
        self._sent = 0

    def start(self) -> None:
        """Set the faults of the servers, and start the kills and the requests."""
        faults = [behaviours.Fault(name="interim", share=_INTERIM_SHARE)]
        faults += [
            behaviours.Fault(name="frame", share=_FRAMING_SHARE, mode=mode)
            for mode in behaviours.FRAMINGS
        ]
        faults += [
            behaviours.Fault(name="reset", share=_RESET_SHARE, ms=delay_ms)
            for delay_ms in _RESET_DELAYS_MS
        ]
        for server in self._work.fleet.servers:
            self._work.fleet.set_server_faults(server, faults)
        self._greenlets = [
            gevent.spawn(self._kill_hosts),
            gevent.spawn(self._send_requests),
            gevent.spawn(self._send_uploads),
        ]

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
            host = self._rng.choice(self._work.fleet.hosts)
            request = self._make_request("aside", f"/aside/x?ms={_ASIDE_WORK_MS}")
            gevent.spawn(self._send, host, request)

    def _send_uploads(self) -> None:
        rng = self._upload_rng
        while True:
            gevent.sleep(rng.expovariate(_UPLOAD_RATE_PER_S))
            host = rng.choice(self._work.fleet.hosts)
            path = rng.choice(("once", "safe"))
            target = f"/{path}/x?ms={_UPLOAD_WORK_MS}&{behaviours.UPLOAD_QUERY}"
            body = b"x" * rng.randint(*_UPLOAD_BYTES)
            request = self._make_request("upload", target, body, once=path == "once")
            gevent.spawn(self._send, host, request)

    def _make_request(
        self, kind: str, target: str, body: bytes = b"", *, once: bool = False
    ) -> raw_caller.Request:
        self._sent += 1
        name = f"{kind}-{self._sent}"
        method = "POST" if body else "GET"
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: soak",
            f"X-Request-Id: {name}",
            f"X-Nonce: {name}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""])
        parts = (body[start : start + _PIECE_BYTES] for start in range(0, len(body), _PIECE_BYTES))
        return raw_caller.Request(
            request=name,
            method=method,
            target=target,
            once=once,
            pieces=(
                raw_caller.Piece(data=head.encode()),
                *(raw_caller.Piece(data=part, pause_s=_PIECE_PAUSE_S) for part in parts),
            ),
            head_pieces=1,
            body_checksum=xxhash.xxh3_64_hexdigest(body),
            body_bytes=len(body),
        )

    def _send(self, host: str, request: raw_caller.Request) -> None:
        try:
            connection = raw_caller.Connection(
                host=host, address=self._work.fleet.caller_address(host)
            )
        except OSError:
            # The host has just been killed.
            return
        self._results.append(connection.perform(request))
        connection.close()
