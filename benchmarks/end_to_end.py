"""Measures 40 real host processes behind the fault-injecting proxy, on loopback.

One run: requests of eight workspaces within their rates, a backend server that begins to stall
30% of its answers, a change of configuration and a withdrawn key.
"""

import collections
import subprocess
import sys
import time

import gevent
import msgspec
from absl import app, flags
from gevent import monkey

from benchmarks import experiment
from standins import behaviours, caller, fault_proxy, fleet, serving
from verbenadrum.decisions import ring
from verbenadrum.entry import keys

_HOSTS = flags.DEFINE_integer("fleet_hosts", 40, "Hosts to start.", lower_bound=4)
_RUN_SEED = flags.DEFINE_integer("fleet_seed", 1, "Seed of the hosts and the stand-ins.")

_CENTRES = (("r1", "d1"), ("r1", "d2"), ("r2", "d3"), ("r2", "d4"))
_SERVERS = 8
_SERVICE_MS = 100.0
_WORKSPACES = {"w0": 60.0, "w1": 30.0, **{f"w{number}": 4.0 for number in range(2, 8)}}
_LOAD_SHARE = 0.8
_LINK_DELAY_MS = 15.0
_LINK_KBIT_PER_S = 30_000.0
_WARM_UP_S = 20.0
_SPAN_MS = 25_000.0
_FAULT_AT_S = 5.0
_CHANGE_AT_S = 17.0
_POLL_S = 0.02
_MOST_WAIT_S = 15.0
_RUN_TIMEOUT_S = 400.0
_VICTIM = "s0"


@experiment.experiments.register("end_to_end")
def end_to_end(seed: int) -> list[experiment.Row]:
    """Run the measurement in a process of its own, whose standard library is cooperative."""
    command = [sys.executable, "-m", "benchmarks.end_to_end", f"--fleet_seed={seed}"]
    done = subprocess.run(command, capture_output=True, timeout=_RUN_TIMEOUT_S, check=True)
    return msgspec.json.decode(done.stdout.splitlines()[-1], type=list[experiment.Row])


def main(argv: list[str]) -> int:
    """Run the fleet, and print the rows as the last line in JSON."""
    del argv
    with fleet.Fleet(seed=_RUN_SEED.value) as running:
        _start(running)
        time.sleep(_WARM_UP_S)
        rows = _measure(running)
    print(msgspec.json.encode(rows).decode())
    return 0


def _start(running: fleet.Fleet) -> None:
    servers = [
        fleet.ServerSpec(server=f"s{number}", service="svc", data_centre=_CENTRES[number % 4][1])
        for number in range(_SERVERS)
    ]
    running.start_servers(servers, service_ms=_SERVICE_MS)
    running.publish("route", "all", {"path_prefix": "/", "service": "svc"})
    running.publish("pool", "svc", {"servers": running.server_entries("svc"), "floor": 0.5})
    for name, rate in _WORKSPACES.items():
        running.publish("workspace", name, {"rate_per_s": rate, "burst": max(4.0, rate)})
        running.publish("key", name, {"workspace": name, "sha256": keys.hash_key(f"secret-{name}")})
    running.publish_data_centre_weights({centre: 1.0 for centre in _CENTRES})
    specs = [
        fleet.HostSpec(
            host=f"h{number}", data_centre=_CENTRES[number % 4][1], region=_CENTRES[number % 4][0]
        )
        for number in range(_HOSTS.value)
    ]
    running.start_hosts(specs)
    _slow_link(running, specs)


def _slow_link(running: fleet.Fleet, specs: list[fleet.HostSpec]) -> None:
    near = tuple(spec.host for spec in specs if spec.region == "r1")
    far = tuple(spec.host for spec in specs if spec.region == "r2")
    for source, target in ((near, far), (far, near)):
        running.set_rule(
            fault_proxy.FaultRule(
                source=source,
                target=target,
                delay_ms=_LINK_DELAY_MS,
                kbit_per_s=_LINK_KBIT_PER_S,
            )
        )


def _measure(running: fleet.Fleet) -> list[experiment.Row]:
    addresses = tuple(running.caller_address(name) for name in running.hosts)
    loads = [
        caller.LoadRun(
            load=caller.Load(
                name=name,
                targets=addresses,
                keys=(f"secret-{name}",),
                rate_per_s=rate * _LOAD_SHARE,
                duration_ms=_SPAN_MS,
            )
        )
        for name, rate in _WORKSPACES.items()
    ]
    greenlets = [gevent.spawn(load.run) for load in loads]
    gevent.sleep(_FAULT_AT_S)
    onset_ms = time.time() * 1000.0
    running.set_server_faults(_VICTIM, [behaviours.Fault(name="stall", share=0.3)])
    gevent.sleep(_CHANGE_AT_S - _FAULT_AT_S)
    change_s = _time_change(running)
    gevent.joinall(greenlets)
    decisions = [each for name in running.hosts for each in running.decisions(name)]
    withdrawn_s = _time_withdrawal(running)
    return [
        *_request_rows(loads),
        *_ejection_rows(decisions, onset_ms),
        _row("change in force on every host, s", change_s, 2.0),
        _row("withdrawn key refused by every host, s", withdrawn_s, 2.0),
    ]


def _time_change(running: fleet.Fleet) -> float:
    before = _revision(running, running.hosts[0])
    started_s = time.monotonic()
    running.publish("workspace", "w9", {"rate_per_s": 1.0, "burst": 1.0})
    waiting = set(running.hosts)
    while waiting and time.monotonic() - started_s < _MOST_WAIT_S:
        waiting = {name for name in waiting if _revision(running, name) <= before}
        gevent.sleep(_POLL_S)
    return time.monotonic() - started_s


def _revision(running: fleet.Fleet, host: str) -> int:
    return serving.call(running.operator_port(host), "/status")["record_revision"]


def _time_withdrawal(running: fleet.Fleet) -> float:
    started_s = time.monotonic()
    running.publish("key", "w1", None)
    waiting = set(running.hosts)
    while waiting and time.monotonic() - started_s < _MOST_WAIT_S:
        waiting = {name for name in waiting if not _refuses(running, name)}
        gevent.sleep(_POLL_S)
    return time.monotonic() - started_s


def _refuses(running: fleet.Fleet, host: str) -> bool:
    run = caller.LoadRun(
        load=caller.Load(
            name="probe",
            targets=(running.caller_address(host),),
            keys=("secret-w1",),
            rate_per_s=1000.0,
            duration_ms=1.0,
        )
    )
    run.run()
    return run.rows[0].code == "key-refused"


def _request_rows(loads: list[caller.LoadRun]) -> list[experiment.Row]:
    rows = [row for load in loads for row in load.rows]
    kinds = collections.Counter((row.verdict.value, row.status, row.code) for row in rows)
    print(dict(kinds), file=sys.stderr)
    refused = sum(row.status == 429 for row in rows)
    failed = sum(row.verdict is not caller.Verdict.WHOLE for row in rows) - refused
    worst = min(
        sum(row.verdict is caller.Verdict.WHOLE for row in load.rows) / max(1, len(load.rows))
        for load in loads
    )
    whole_ms = sorted(row.latency_ms for row in rows if row.verdict is caller.Verdict.WHOLE)
    note = (
        f"{len(rows)} requests at {_LOAD_SHARE:.0%} of each rate, two fifths of the slots in use, "
        "one of 8 servers stalling 30%"
    )
    return [
        _row("in-rate requests refused, %", 100.0 * refused / len(rows), 0.01, note),
        _row("requests that failed otherwise, %", 100.0 * failed / len(rows), None, note),
        _row("whole answers of the worst-served workspace, %", 100.0 * worst, 95.0, at_most=False),
        _row("p50 of whole answers, ms", whole_ms[len(whole_ms) // 2]),
        _row("p99 of whole answers, ms", whole_ms[int(len(whole_ms) * 0.99)]),
    ]


def _ejection_rows(decisions: list[ring.Decision], onset_ms: float) -> list[experiment.Row]:
    ejections = [
        each
        for each in decisions
        if each.kind is ring.DecisionKind.EJECT and each.choice == "ejected"
    ]
    own = [each.at_ms for each in ejections if each.subject == _VICTIM and each.at_ms > onset_ms]
    wrong = sum(each.subject != _VICTIM for each in ejections)
    delay_s = (min(own) - onset_ms) / 1000.0 if own else float("inf")
    return [
        _row("stalling server, onset to ejection, s", delay_s, 5.0, "one onset; target is p99"),
        _row("healthy servers ejected", wrong, 0.0),
    ]


def _row(
    measure: str,
    value: float,
    target: float | None = None,
    note: str = "",
    *,
    at_most: bool = True,
) -> experiment.Row:
    return experiment.Row(
        measure=f"{_HOSTS.value} hosts: {measure}" if flags.FLAGS.is_parsed() else measure,
        behaviour="defaults",
        value=value,
        target=target,
        at_most=at_most,
        source="processes",
        note=note,
    )


if __name__ == "__main__":
    monkey.patch_all()
    app.run(main)
