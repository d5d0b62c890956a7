"""Measures the slopes that docs/CAPACITY.md is worked out from, and writes data and plots."""

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
from verbenadrum.core import context, engine, ports
from verbenadrum.decisions import ring
from verbenadrum.dissemination import duty
from verbenadrum.utils import clock

_FOLDER = flags.DEFINE_string("folder", "docs/capacity", "Where data and plots are written.")
_HOSTS = flags.DEFINE_list("hosts", ["16", "32", "64", "128", "256"], "Fleet sizes to run.")
_LARGEST = flags.DEFINE_integer(
    "largest", 0, "Also run this many hosts in 7 data centres; 0 for none.", lower_bound=0
)

_STATED_HOSTS = 890
_STATED_DATA_CENTRES = 7
_WARM_UP_MS = 20_000.0
_SPAN_MS = 5_000.0
_RATES_PER_S = (5.0, 10.0, 20.0, 40.0)
_LOADED_HOSTS = 40
_CONNECTION_HOSTS = (16, 32, 64)
_CONNECTION_SPAN_MS = 45_000.0
_SERVER_RATE_PER_S = 16.0
_ROW_SIZES = {
    "workspace": (3_000, 9_000, 27_000),
    "key": (3_000, 9_000, 27_000),
    "route": (950, 1_900, 3_800),
    "server": (2_000, 4_000, 8_000),
    "host": (223, 445, 890),
}
_SERVICES = 180


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """Straight line through measured points.

    ``spread`` is the root mean square distance of the points from the line.
    """

    measure: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    spread: float


def main(argv: list[str]) -> int:
    """Measure everything, write it down and print the fits."""
    del argv
    folder = pathlib.Path(_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    loaded = _loaded_costs()
    fits = [*_idle_fits(), *_request_fits(loaded), *_memory_fits(), _connection_fit()]
    facts = {
        "whole_set": _whole_set(),
        "tick_cpu_us": loaded[-1].tick_cpu_us,
        "messages": msgspec.to_builtins(loaded[-1].messages),
    }
    if _LARGEST.value:
        layout = control_bus.Layout(hosts=_LARGEST.value, data_centres=_STATED_DATA_CENTRES)
        facts["largest_run"] = msgspec.to_builtins(_idle_cost(layout))
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


def _fit(measure: str, sizes: tuple[float, ...], values: list[float]) -> Fit:
    slope, intercept = numpy.polyfit(sizes, values, 1)
    errors = numpy.array(values) - (slope * numpy.array(sizes) + intercept)
    return Fit(
        measure=measure,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=float(slope),
        intercept=float(intercept),
        spread=float(numpy.sqrt(numpy.mean(errors**2))),
    )


def _idle_cost(layout: control_bus.Layout) -> control_bus.HostCost:
    bus = control_bus.ControlBus(layout=layout, seed=5)
    bus.run(_WARM_UP_MS)
    return bus.run(_SPAN_MS)


def _idle_fits() -> list[Fit]:
    sizes = tuple(float(size) for size in _HOSTS.value)
    costs = [_idle_cost(control_bus.Layout(hosts=int(size))) for size in sizes]
    return [
        _fit("idle: cpu ms/s by hosts", sizes, [cost.cpu_ms for cost in costs]),
        _fit("idle: bytes/s by hosts", sizes, [cost.bytes_sent for cost in costs]),
        _fit("idle: busiest host's cpu ms/s", sizes, [cost.busiest_cpu_ms for cost in costs]),
        _fit("idle: busiest host's bytes/s", sizes, [cost.busiest_bytes_sent for cost in costs]),
        _fit("idle: messages/s by hosts", sizes, [cost.messages_sent for cost in costs]),
        _fit("idle: region link bytes/s by hosts", sizes, [cost.far_bytes_sent for cost in costs]),
    ]


def _loaded_costs() -> list[control_bus.HostCost]:
    bus = control_bus.ControlBus(layout=control_bus.Layout(hosts=_LOADED_HOSTS), seed=5)
    bus.run(_WARM_UP_MS)
    costs = []
    for rate in _RATES_PER_S:
        costs.append(bus.run(_SPAN_MS, requests_per_s=rate))
        if bus.refused:
            raise RuntimeError(f"requests were refused: {dict(bus.refused)}")
    return costs


def _request_fits(costs: list[control_bus.HostCost]) -> list[Fit]:
    return [
        _fit("load: core cpu ms/s by requests/s", _RATES_PER_S, [c.cpu_ms for c in costs]),
        _fit("load: bytes/s by requests/s", _RATES_PER_S, [c.bytes_sent for c in costs]),
        _fit("load: messages/s by requests/s", _RATES_PER_S, [c.messages_sent for c in costs]),
    ]


def _connection_fit() -> Fit:
    """Count the hosts that call each server while it gets the stated rate, over the idle time."""
    counts = []
    for hosts in _CONNECTION_HOSTS:
        layout = control_bus.Layout(hosts=hosts, servers=hosts)
        bus = control_bus.ControlBus(layout=layout, seed=5)
        bus.run(_WARM_UP_MS)
        cost = bus.run(_CONNECTION_SPAN_MS, requests_per_s=_SERVER_RATE_PER_S)
        counts.append(cost.hosts_per_server)
    sizes = tuple(map(float, _CONNECTION_HOSTS))
    return _fit("connections of a server by hosts", sizes, counts)


def _memory_fits() -> list[Fit]:
    fits = []
    for kind, sizes in _ROW_SIZES.items():
        used = [_memory_kb(kind, size) for size in sizes]
        fits.append(_fit(f"memory: kB by {kind}s", tuple(map(float, sizes)), used))
    return fits


def _memory_kb(kind: str, count: int) -> float:
    answer = _answer(_envelopes({kind: count}))
    core = _core()
    rows = _host_rows(count if kind == "host" else 1)
    gc.collect()
    tracemalloc.start()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    core.on_platform_records(answer)
    core.on_tick()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 1000.0


def _whole_set() -> dict[str, float]:
    """Measure how a fresh host takes the whole stated record set and host list."""
    counts = {kind: sizes[-1] for kind, sizes in _ROW_SIZES.items()}
    envelopes = _envelopes(counts)
    answer = _answer(envelopes)
    core = _core()
    rows = _host_rows(counts["host"])
    gc.collect()
    tracemalloc.start()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    core.on_platform_records(answer)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    core = _core()
    core.on_platform_hosts(duty.HostsAnswer(after=0, revision=1, rows=rows))
    started_s = time.process_time()
    core.on_platform_records(answer)
    taken_s = time.process_time() - started_s
    started_s = time.process_time()
    for _ in range(20):
        core.on_tick()
    tick_ms = (time.process_time() - started_s) * 1000.0 / 20
    size = sum(map(len, envelopes))
    return {
        "records": len(envelopes),
        "megabytes": size / 1e6,
        "reads_of_1_mb": -(-size // 1_000_000),
        "memory_mb": used / 1e6,
        "take_cpu_s": taken_s,
        "tick_cpu_ms": tick_ms,
    }


def _core() -> engine.Engine:
    time_source = clock.SteppedClock()
    made = context.Context(
        host=ids.HostId("h0000"),
        data_centre=ids.DataCentreId("d0"),
        region=ids.RegionId("r0"),
        incarnation=1,
        clock=time_source,
        rng=random.Random(5),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time_source.wall_ms, size=64),
    )
    return engine.Engine(context=made, choices=engine.Choices())


def _host_rows(count: int) -> tuple[ports.HostRow, ...]:
    return tuple(
        ports.HostRow(
            host=ids.HostId(f"h{number:04d}"),
            address=f"127.0.0.1:{20_000 + number}",
            data_centre=ids.DataCentreId(f"d{number % _STATED_DATA_CENTRES}"),
            region=ids.RegionId(f"r{number % _STATED_DATA_CENTRES % 2}"),
        )
        for number in range(count)
    )


def _answer(envelopes: list[bytes]) -> duty.RecordsAnswer:
    return duty.RecordsAnswer(
        after=0, revision=len(envelopes), final=True, envelopes=tuple(envelopes)
    )


def _envelopes(counts: dict[str, int]) -> list[bytes]:
    specs: list[tuple[str, str, dict]] = []
    for number in range(counts.get("workspace", 0)):
        spec = {"rate_per_s": 2.0 + number % 50, "burst": 4.0 + number % 50}
        specs.append(("workspace", f"workspace-{number}", spec))
    for number in range(counts.get("key", 0)):
        spec = {"workspace": f"workspace-{number}", "sha256": f"{number:064x}"}
        specs.append(("key", f"key-{number}", spec))
    for number in range(counts.get("route", 0)):
        spec = {"path_prefix": f"/service/{number}/", "service": f"service-{number % _SERVICES}"}
        specs.append(("route", f"route-{number}", spec))
    servers: dict[str, list[dict]] = {}
    for number in range(counts.get("server", 0)):
        entry = {"server": f"server-{number}", "address": f"10.0.0.1:{number}", "data_centre": "d0"}
        servers.setdefault(f"service-{number % _SERVICES}", []).append(entry)
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
