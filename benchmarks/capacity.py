"""Measures how the costs of a host grow, for docs/CAPACITY.md.

Each cost (processor time, traffic, memory, connections) is measured at several sizes and fitted by
a straight line. The fits go to ``data.json`` and ``slopes.png`` in the folder of ``--folder``.
"""

import gc
import json
import pathlib
import random
import time
import tracemalloc

import msgspec
import numpy
from absl import app, flags
from matplotlib import pyplot

from benchmarks import control_bus
from standins import spreading
from verbenadrum import ids
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.engine import engine
from verbenadrum.utils import clock

_FOLDER = flags.DEFINE_string("folder", "docs/capacity", "Where data and plots are written.")
_HOSTS = flags.DEFINE_list("hosts", ["16", "32", "64", "128", "256"], "Fleet sizes to run.")
_LARGEST = flags.DEFINE_integer(
    "largest", 0, "Also run this many hosts in 7 data centres; 0 for none.", lower_bound=0
)

_DESIGN_HOSTS = 890
_DESIGN_DATA_CENTRES = 7
_WARM_UP_MS = 20_000.0
_MEASUREMENT_MS = 5_000.0
_REQUEST_RATES_PER_S = (5.0, 10.0, 20.0, 40.0)
_LOADED_HOSTS = 40
_CONNECTION_HOSTS = (16, 32, 64)
# A host closes a connection to a backend server after this time without a request.
_CONNECTION_MEASUREMENT_MS = 45_000.0
_SERVER_RATE_PER_S = 16.0
# The last count of each kind is that of the design size.
_RECORD_COUNTS = {
    "workspace": (3_000, 9_000, 27_000),
    "key": (3_000, 9_000, 27_000),
    "route": (950, 1_900, 3_800),
    "server": (2_000, 4_000, 8_000),
    "host": (223, 445, 890),
}
_SERVICE_COUNT = 180


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """Least-squares line through measured points.

    Attributes
    ----------
    measure : str
        What was measured, with its unit, and what the sizes count.
    sizes, values : tuple of float
        The measured points.
    slope : float
        Increase of the value for each unit of size.
    intercept : float
        Value of the line at size 0.
    spread : float
        Root mean square distance of the values from the line.
    """

    measure: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    spread: float


def main(argv: list[str]) -> int:
    """Measure all costs, write data and plots, and print the fits."""
    del argv
    folder = pathlib.Path(_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    loaded = _measure_loaded_costs()
    fits = [*_fit_idle_costs(), *_fit_loaded_costs(loaded), *_fit_memory(), _fit_connections()]
    facts = {
        "whole_set": _measure_record_load(),
        "tick_cpu_us": loaded[-1].tick_cpu_us,
        "messages": msgspec.to_builtins(loaded[-1].messages),
    }
    if _LARGEST.value:
        layout = control_bus.Layout(host_count=_LARGEST.value, data_centres=_DESIGN_DATA_CENTRES)
        facts["largest_run"] = msgspec.to_builtins(_measure_idle_cost(layout))
    data = {"fits": [msgspec.to_builtins(fit) for fit in fits], "facts": facts}
    (folder / "data.json").write_text(json.dumps(data, indent=1) + "\n")
    _plot(fits, folder / "slopes.png")
    for fit in fits:
        print(
            f"{fit.measure:50} {fit.intercept:12.4g} + {fit.slope:12.4g} n"
            f"  spread {fit.spread:10.3g}  {fit.values}"
        )
    print(json.dumps(facts, indent=1))
    return 0


def _fit_line(measure: str, sizes: tuple[float, ...], values: list[float]) -> Fit:
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = numpy.array(values) - (slope * numpy.array(sizes) + intercept)
    return Fit(
        measure=measure,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=float(slope),
        intercept=float(intercept),
        spread=float(numpy.sqrt(numpy.mean(residuals**2))),
    )


def _measure_idle_cost(layout: control_bus.Layout) -> control_bus.HostCost:
    bus = control_bus.ControlBus(layout=layout, seed=5)
    bus.run(_WARM_UP_MS)
    return bus.run(_MEASUREMENT_MS)


def _fit_idle_costs() -> list[Fit]:
    sizes = tuple(float(size) for size in _HOSTS.value)
    costs = [_measure_idle_cost(control_bus.Layout(host_count=int(size))) for size in sizes]
    return [
        _fit_line("idle: cpu ms/s by hosts", sizes, [cost.cpu_ms for cost in costs]),
        _fit_line("idle: bytes/s by hosts", sizes, [cost.bytes_sent for cost in costs]),
        _fit_line("idle: busiest host's cpu ms/s", sizes, [cost.busiest_cpu_ms for cost in costs]),
        _fit_line(
            "idle: busiest host's bytes/s", sizes, [cost.busiest_bytes_sent for cost in costs]
        ),
        _fit_line("idle: messages/s by hosts", sizes, [cost.messages_sent for cost in costs]),
        _fit_line(
            "idle: region link bytes/s by hosts", sizes, [cost.far_bytes_sent for cost in costs]
        ),
    ]


def _measure_loaded_costs() -> list[control_bus.HostCost]:
    bus = control_bus.ControlBus(layout=control_bus.Layout(host_count=_LOADED_HOSTS), seed=5)
    bus.run(_WARM_UP_MS)
    costs = []
    for rate in _REQUEST_RATES_PER_S:
        costs.append(bus.run(_MEASUREMENT_MS, requests_per_s=rate))
        if bus.refused:
            raise RuntimeError(f"hosts refused requests, by code: {dict(bus.refused)}")
    return costs


def _fit_loaded_costs(costs: list[control_bus.HostCost]) -> list[Fit]:
    return [
        _fit_line(
            "load: core cpu ms/s by requests/s", _REQUEST_RATES_PER_S, [c.cpu_ms for c in costs]
        ),
        _fit_line(
            "load: bytes/s by requests/s", _REQUEST_RATES_PER_S, [c.bytes_sent for c in costs]
        ),
        _fit_line(
            "load: messages/s by requests/s", _REQUEST_RATES_PER_S, [c.messages_sent for c in costs]
        ),
    ]


def _fit_connections() -> Fit:
    """Fit the number of hosts that keep a connection to a server to the number of hosts.

    A server counts the hosts that call it within the time after which an idle connection is closed.
    There are as many servers as hosts, so each gets ``_SERVER_RATE_PER_S`` requests a second.
    """
    counts = []
    for host_count in _CONNECTION_HOSTS:
        layout = control_bus.Layout(host_count=host_count, server_count=host_count)
        bus = control_bus.ControlBus(layout=layout, seed=5)
        bus.run(_WARM_UP_MS)
        cost = bus.run(_CONNECTION_MEASUREMENT_MS, requests_per_s=_SERVER_RATE_PER_S)
        counts.append(cost.hosts_per_server)
    sizes = tuple(map(float, _CONNECTION_HOSTS))
    return _fit_line("connections of a server by hosts", sizes, counts)


def _fit_memory() -> list[Fit]:
    fits = []
    for kind, sizes in _RECORD_COUNTS.items():
        used_kb = [_measure_memory_kb(kind, size) for size in sizes]
        fits.append(_fit_line(f"memory: kB by {kind}s", tuple(map(float, sizes)), used_kb))
    return fits


def _measure_memory_kb(kind: str, count: int) -> float:
    answer = _records_answer(_make_envelopes({kind: count}))
    core = _make_engine()
    rows = _make_host_rows(count if kind == "host" else 1)
    gc.collect()
    tracemalloc.start()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    core.on_platform_records(answer)
    core.on_tick()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / 1000.0


def _measure_record_load() -> dict[str, float]:
    """Measure how a host that has just started loads the records and host list of design size.

    Returns
    -------
    dict of str to float
        Number and size (MB) of the records, platform reads of 1 MB for them, memory used (MB),
        processor time to load them (s), and mean processor time of a tick afterwards (ms).
    """
    counts = {kind: sizes[-1] for kind, sizes in _RECORD_COUNTS.items()}
    envelopes = _make_envelopes(counts)
    answer = _records_answer(envelopes)
    core = _make_engine()
    rows = _make_host_rows(counts["host"])
    gc.collect()
    tracemalloc.start()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    core.on_platform_records(answer)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    core = _make_engine()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    started_s = time.process_time()
    core.on_platform_records(answer)
    load_s = time.process_time() - started_s
    started_s = time.process_time()
    for _ in range(20):
        core.on_tick()
    tick_ms = (time.process_time() - started_s) * 1000.0 / 20
    size_bytes = sum(map(len, envelopes))
    return {
        "records": len(envelopes),
        "megabytes": size_bytes / 1e6,
        "reads_of_1_mb": -(-size_bytes // 1_000_000),
        "memory_mb": used_bytes / 1e6,
        "take_cpu_s": load_s,
        "tick_cpu_ms": tick_ms,
    }


def _make_engine() -> engine.Engine:
    time_source = clock.SteppedClock()
    host_context = context.Context(
        host=ids.HostId("h0000"),
        data_centre=ids.DataCentreId("d0"),
        region=ids.RegionId("r0"),
        incarnation=1,
        clock=time_source,
        rng=random.Random(5),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time_source.wall_ms, size=64),
    )
    return engine.Engine(context=host_context, choices=engine.Choices())


def _make_host_rows(count: int) -> tuple[ports.HostRow, ...]:
    return tuple(
        ports.HostRow(
            host=ids.HostId(f"h{number:04d}"),
            address=f"127.0.0.1:{20_000 + number}",
            data_centre=ids.DataCentreId(f"d{number % _DESIGN_DATA_CENTRES}"),
            region=ids.RegionId(f"r{number % _DESIGN_DATA_CENTRES % 2}"),
        )
        for number in range(count)
    )


def _records_answer(envelopes: list[bytes]) -> duty.RecordsAnswer:
    return duty.RecordsAnswer(
        after=0, revision=len(envelopes), final=True, envelopes=tuple(envelopes)
    )


def _make_envelopes(counts: dict[str, int]) -> list[bytes]:
    specs: list[tuple[str, str, dict]] = []
    for number in range(counts.get("workspace", 0)):
        spec = {"rate_per_s": 2.0 + number % 50, "burst": 4.0 + number % 50}
        specs.append(("workspace", f"workspace-{number}", spec))
    for number in range(counts.get("key", 0)):
        spec = {"workspace": f"workspace-{number}", "sha256": f"{number:064x}"}
        specs.append(("key", f"key-{number}", spec))
    for number in range(counts.get("route", 0)):
        spec = {
            "path_prefix": f"/service/{number}/",
            "service": f"service-{number % _SERVICE_COUNT}",
        }
        specs.append(("route", f"route-{number}", spec))
    servers: dict[str, list[dict]] = {}
    for number in range(counts.get("server", 0)):
        entry = {"server": f"server-{number}", "address": f"10.0.0.1:{number}", "data_centre": "d0"}
        servers.setdefault(f"service-{number % _SERVICE_COUNT}", []).append(entry)
    specs.extend(("pool", name, {"servers": entries}) for name, entries in servers.items())
    return [
        spreading.envelope_of(kind, name, revision, spec)
        for revision, (kind, name, spec) in enumerate(specs, start=1)
    ]


def _plot(fits: list[Fit], path: pathlib.Path) -> None:
    columns = 4
    rows = -(-len(fits) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(4 * columns, 3 * rows))
    for axis, fit in zip(axes.flat, fits, strict=False):
        sizes = numpy.array(fit.sizes)
        axis.plot(sizes, fit.values, "o")
        axis.plot(sizes, fit.intercept + fit.slope * sizes, "-")
        axis.set_title(fit.measure, fontsize=8)
    for axis in axes.flat[len(fits) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=70)


if __name__ == "__main__":
    app.run(main)
