"""Measures 40 host processes that talk through the fault proxy on loopback.

In one run, eight workspaces send requests within their rates, a backend server begins to stall 30%
of its answers, a record is published and a caller's key is withdrawn.
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
_FLEET_SEED = flags.DEFINE_integer("fleet_seed", 1, "Seed of the hosts and the stand-ins.")

_DATA_CENTRES = (("r1", "d1"), ("r1", "d2"), ("r2", "d3"), ("r2", "d4"))
_SERVER_COUNT = 8
_SERVICE_MS = 100.0
_WORKSPACE_RATES_PER_S = {"w0": 60.0, "w1": 30.0, **{f"w{number}": 4.0 for number in range(2, 8)}}
_LOAD_RATIO = 0.8
_REGION_LINK_DELAY_MS = 15.0
_REGION_LINK_KBIT_PER_S = 30_000.0
_WARM_UP_S = 20.0
_LOAD_DURATION_MS = 25_000.0
_FAULT_AT_S = 5.0
_CHANGE_AT_S = 17.0
_POLL_INTERVAL_S = 0.02
_MAX_WAIT_S = 15.0
_RUN_TIMEOUT_S = 400.0
_FAULTY_SERVER = "s0"


@experiment.experiments.register("end_to_end")
def end_to_end(seed: int) -> list[experiment.Row]:
    """Measure a fleet of real processes, and return its figures.

    The measurement runs in a child process, since gevent must patch the standard library there.

    Raises
    ------
    subprocess.CalledProcessError
        If the child process fails.
    subprocess.TimeoutExpired
        If it takes longer than ``_RUN_TIMEOUT_S``.
    """
    command = [sys.executable, "-m", "benchmarks.end_to_end", f"--fleet_seed={seed}"]
    completed = subprocess.run(command, capture_output=True, timeout=_RUN_TIMEOUT_S, check=True)
    return msgspec.json.decode(completed.stdout.splitlines()[-1], type=list[experiment.Row])


def main(argv: list[str]) -> int:
    """Run the measurement, and print its rows as one line of JSON, the last line of the output."""
    del argv
    with fleet.Fleet(seed=_FLEET_SEED.value) as running_fleet:
        _start_fleet(running_fleet)
        time.sleep(_WARM_UP_S)
        rows = _measure(running_fleet)
    print(msgspec.json.encode(rows).decode())
    return 0


def _start_fleet(running_fleet: fleet.Fleet) -> None:
    servers = [
        fleet.ServerSpec(
            server=f"s{number}", service="svc", data_centre=_DATA_CENTRES[number % 4][1]
        )
        for number in range(_SERVER_COUNT)
    ]
    running_fleet.start_servers(servers, service_ms=_SERVICE_MS)
    running_fleet.publish("route", "all", {"path_prefix": "/", "service": "svc"})
    running_fleet.publish(
        "pool", "svc", {"servers": running_fleet.server_entries("svc"), "floor": 0.5}
    )
    for name, rate in _WORKSPACE_RATES_PER_S.items():
        running_fleet.publish("workspace", name, {"rate_per_s": rate, "burst": max(4.0, rate)})
        running_fleet.publish(
            "key", name, {"workspace": name, "sha256": keys.hash_key(f"secret-{name}")}
        )
    running_fleet.publish_data_centre_weights({centre: 1.0 for centre in _DATA_CENTRES})
    specs = [
        fleet.HostSpec(
            host=f"h{number}",
            data_centre=_DATA_CENTRES[number % 4][1],
            region=_DATA_CENTRES[number % 4][0],
        )
        for number in range(_HOSTS.value)
    ]
    running_fleet.start_hosts(specs)
    _limit_region_link(running_fleet, specs)


def _limit_region_link(running_fleet: fleet.Fleet, specs: list[fleet.HostSpec]) -> None:
    first_region = tuple(spec.host for spec in specs if spec.region == "r1")
    second_region = tuple(spec.host for spec in specs if spec.region == "r2")
    for source, target in ((first_region, second_region), (second_region, first_region)):
        running_fleet.set_rule(
            fault_proxy.FaultRule(
                source=source,
                target=target,
                delay_ms=_REGION_LINK_DELAY_MS,
                kbit_per_s=_REGION_LINK_KBIT_PER_S,
            )
        )


def _measure(running_fleet: fleet.Fleet) -> list[experiment.Row]:
    addresses = tuple(running_fleet.caller_address(name) for name in running_fleet.hosts)
    loads = [
        caller.LoadRun(
            load=caller.Load(
                name=name,
                targets=addresses,
                keys=(f"secret-{name}",),
                rate_per_s=rate * _LOAD_RATIO,
                duration_ms=_LOAD_DURATION_MS,
            )
        )
        for name, rate in _WORKSPACE_RATES_PER_S.items()
    ]
    greenlets = [gevent.spawn(load.run) for load in loads]
    gevent.sleep(_FAULT_AT_S)
    onset_ms = time.time() * 1000.0
    running_fleet.set_server_faults(_FAULTY_SERVER, [behaviours.Fault(name="stall", share=0.3)])
    gevent.sleep(_CHANGE_AT_S - _FAULT_AT_S)
    change_s = _measure_change_s(running_fleet)
    gevent.joinall(greenlets)
    decisions = [
        decision for name in running_fleet.hosts for decision in running_fleet.decisions(name)
    ]
    withdrawal_s = _measure_withdrawal_s(running_fleet)
    return [
        *_request_rows(loads),
        *_ejection_rows(decisions, onset_ms),
        _make_row("change in force on every host, s", change_s, 2.0),
        _make_row("withdrawn key refused by every host, s", withdrawal_s, 2.0),
    ]


def _measure_change_s(running_fleet: fleet.Fleet) -> float:
    """Publish a record, and return the seconds until every host has it.

    The wait ends after ``_MAX_WAIT_S``, also if a host still lacks the record.
    """
    initial_revision = _record_revision(running_fleet, running_fleet.hosts[0])
    start_s = time.monotonic()
    running_fleet.publish("workspace", "w9", {"rate_per_s": 1.0, "burst": 1.0})
    pending_hosts = set(running_fleet.hosts)
    while pending_hosts and time.monotonic() - start_s < _MAX_WAIT_S:
        pending_hosts = {
            name
            for name in pending_hosts
            if _record_revision(running_fleet, name) <= initial_revision
        }
        gevent.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - start_s


def _record_revision(running_fleet: fleet.Fleet, host: str) -> int:
    return serving.call(running_fleet.operator_port(host), "/status")["record_revision"]


def _measure_withdrawal_s(running_fleet: fleet.Fleet) -> float:
    """Withdraw a key, and return the seconds until every host refuses it.

    The wait ends after ``_MAX_WAIT_S``, also if a host still accepts the key.
    """
    start_s = time.monotonic()
    running_fleet.publish("key", "w1", None)
    pending_hosts = set(running_fleet.hosts)
    while pending_hosts and time.monotonic() - start_s < _MAX_WAIT_S:
        pending_hosts = {
            name for name in pending_hosts if not _refuses_withdrawn_key(running_fleet, name)
        }
        gevent.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - start_s


def _refuses_withdrawn_key(running_fleet: fleet.Fleet, host: str) -> bool:
    """Send one request with the withdrawn key to a host, and return whether it refuses the key."""
    run = caller.LoadRun(
        load=caller.Load(
            name="probe",
            targets=(running_fleet.caller_address(host),),
            keys=("secret-w1",),
            rate_per_s=1000.0,
            duration_ms=1.0,
        )
    )
    run.run()
    return run.rows[0].code == "key-refused"


def _request_rows(loads: list[caller.LoadRun]) -> list[experiment.Row]:
    rows = [row for load in loads for row in load.rows]
    counts = collections.Counter((row.verdict.value, row.status, row.code) for row in rows)
    print(dict(counts), file=sys.stderr)
    refused = sum(row.status == 429 for row in rows)
    failed = sum(row.verdict is not caller.Verdict.WHOLE for row in rows) - refused
    min_whole_fraction = min(
        sum(row.verdict is caller.Verdict.WHOLE for row in load.rows) / max(1, len(load.rows))
        for load in loads
    )
    latencies_ms = sorted(row.latency_ms for row in rows if row.verdict is caller.Verdict.WHOLE)
    note = (
        f"{len(rows)} requests at {_LOAD_RATIO:.0%} of each rate, two fifths of the slots in use, "
        "one of 8 servers stalling 30%"
    )
    return [
        _make_row("in-rate requests refused, %", 100.0 * refused / len(rows), 0.01, note),
        _make_row("requests that failed otherwise, %", 100.0 * failed / len(rows), None, note),
        _make_row(
            "whole answers of the worst-served workspace, %",
            100.0 * min_whole_fraction,
            95.0,
            at_most=False,
        ),
        _make_row("p50 of whole answers, ms", latencies_ms[len(latencies_ms) // 2]),
        _make_row("p99 of whole answers, ms", latencies_ms[int(len(latencies_ms) * 0.99)]),
    ]


def _ejection_rows(decisions: list[ring.Decision], onset_ms: float) -> list[experiment.Row]:
    ejections = [
        decision
        for decision in decisions
        if decision.kind is ring.DecisionKind.EJECT and decision.choice == "ejected"
    ]
    detected_ms = [
        ejection.at_ms
        for ejection in ejections
        if ejection.subject == _FAULTY_SERVER and ejection.at_ms > onset_ms
    ]
    wrong = sum(ejection.subject != _FAULTY_SERVER for ejection in ejections)
    delay_s = (min(detected_ms) - onset_ms) / 1000.0 if detected_ms else float("inf")
    return [
        _make_row(
            "stalling server, onset to ejection, s", delay_s, 5.0, "one onset; target is p99"
        ),
        _make_row("healthy servers ejected", wrong, 0.0),
    ]


def _make_row(
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
