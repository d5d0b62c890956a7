"""Measures the latency that the fleet adds to a request, compared with direct requests.

Starts a platform, backend servers and hosts as processes, and alternates direct and proxied
requests, so that other load on the machine affects both equally.
"""

import time

import hdrh.histogram
import msgspec
import psutil
import urllib3
from absl import app, flags

from benchmarks import experiment
from standins import fleet
from verbenadrum.entry import keys

_HOSTS = flags.DEFINE_integer("hosts", 4, "Hosts to start, over two data centres.", lower_bound=1)
_REQUESTS = flags.DEFINE_integer("requests", 4000, "Requests of each kind.", lower_bound=100)
_IDLE_S = flags.DEFINE_float("idle_s", 10.0, "Seconds for which idle hosts are measured.")

_API_KEY = "bench-key"
_WARM_UP_REQUESTS = 300
_MAX_RECORDED_US = 60_000_000
_US_PER_S = 1e6
_TARGET_P99_MS = 1.1
_SETTLE_TIME_S = 12.0


class _Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Total processor time (s) and resident memory (MB) of the hosts, at a monotonic time (s)."""

    cpu_s: float
    rss_mb: float
    at_s: float


def main(argv: list[str]) -> int:
    """Run the measurement, print a table, and return 0 even if a target is missed."""
    del argv
    with fleet.Fleet(seed=3, proxied=False) as running:
        _start_fleet(running)
        processes = [psutil.Process(running.process(name).pid) for name in running.hosts]
        time.sleep(_SETTLE_TIME_S)
        idle = _measure_idle(processes)
        for row in [*_measure(running, processes), *idle]:
            print(_format_row(row))
    return 0


def _start_fleet(running: fleet.Fleet) -> None:
    servers = [
        fleet.ServerSpec(server=f"s{number}", service="svc", data_centre="d1")
        for number in range(4)
    ]
    running.start_servers(servers, service_ms=0.0)
    running.publish("route", "all", {"path_prefix": "/", "service": "svc"})
    running.publish("pool", "svc", {"servers": running.server_entries("svc")})
    running.publish("workspace", "w", {"rate_per_s": 100_000.0, "burst": 100_000.0})
    running.publish("key", "k", {"workspace": "w", "sha256": keys.hash_key(_API_KEY)})
    running.publish_data_centre_weights({("r1", "d1"): 1.0, ("r1", "d2"): 1.0})
    running.start_hosts(
        fleet.HostSpec(host=f"h{number}", data_centre=f"d{number % 2 + 1}", region="r1")
        for number in range(_HOSTS.value)
    )


def _measure(running: fleet.Fleet, processes: list[psutil.Process]) -> list[experiment.Row]:
    proxied = [_connection_pool(running.caller_address(name)) for name in running.hosts]
    direct = [_connection_pool(entry["address"]) for entry in running.server_entries("svc")]
    histograms = {
        name: hdrh.histogram.HdrHistogram(1, _MAX_RECORDED_US, 3) for name in ("direct", "via")
    }
    for number in range(_WARM_UP_REQUESTS):
        _request_us(proxied, number)
        _request_us(direct, number)
    before = _usage(processes)
    for number in range(_REQUESTS.value):
        histograms["direct"].record_value(_request_us(direct, number))
        histograms["via"].record_value(_request_us(proxied, number))
    after = _usage(processes)
    cpu_ms = (after.cpu_s - before.cpu_s) / _REQUESTS.value * 1000.0
    return [
        *_latency_rows(histograms),
        _row("processor time of all hosts a request, control included, ms", cpu_ms),
        _row("requests a second of one core, control included", 1000.0 / cpu_ms),
        _row("resident memory of a host, MB", after.rss_mb / len(processes)),
    ]


def _latency_rows(
    histograms: dict[str, hdrh.histogram.HdrHistogram],
) -> list[experiment.Row]:
    rows = []
    for percentile, target in ((50.0, None), (99.0, _TARGET_P99_MS)):
        proxied_ms = histograms["via"].get_value_at_percentile(percentile) / 1000.0
        direct_ms = histograms["direct"].get_value_at_percentile(percentile) / 1000.0
        note = f"direct {direct_ms:.3f}, through the fleet {proxied_ms:.3f}"
        rows.append(_row(f"added at p{percentile:g}, ms", proxied_ms - direct_ms, target, note))
    return rows


def _measure_idle(processes: list[psutil.Process]) -> list[experiment.Row]:
    before = _usage(processes)
    time.sleep(_IDLE_S.value)
    after = _usage(processes)
    share = (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s) / len(processes)
    return [_row("processor share of an idle host, %", share * 100.0, 1.0)]


def _row(measure: str, value: float, target: float | None = None, note: str = "") -> experiment.Row:
    return experiment.Row(
        measure=measure,
        behaviour="defaults",
        value=value,
        target=target,
        source="processes",
        note=note,
    )


def _format_row(row: experiment.Row) -> str:
    target = "" if row.target is None else f"target {row.target:g}: {'met' if row.met else 'OVER'}"
    return f"{row.measure:58} {row.value:10.3f}  {target:20} {row.note}"


def _connection_pool(address: str) -> urllib3.HTTPConnectionPool:
    ip, port = address.split(":")
    return urllib3.HTTPConnectionPool(ip, int(port), retries=False, timeout=10.0)


def _request_us(pools: list[urllib3.HTTPConnectionPool], number: int) -> int:
    headers = {"X-Api-Key": _API_KEY, "X-Request-Id": f"direct-{number}"}
    start_s = time.perf_counter()
    response = pools[number % len(pools)].request("GET", "/item", headers=headers)
    elapsed_us = int((time.perf_counter() - start_s) * _US_PER_S)
    if response.status != 200:
        raise RuntimeError(f"status {response.status}: {response.data[:200]!r}")
    return max(1, elapsed_us)


def _usage(processes: list[psutil.Process]) -> _Usage:
    times = [process.cpu_times() for process in processes]
    return _Usage(
        cpu_s=sum(cpu.user + cpu.system for cpu in times),
        rss_mb=sum(process.memory_info().rss for process in processes) / 1e6,
        at_s=time.monotonic(),
    )


if __name__ == "__main__":
    app.run(main)
