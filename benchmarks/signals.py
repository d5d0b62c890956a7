"""Measures what the signals of backend servers cost, and how limits are kept and used."""

import time
import tracemalloc

from absl import app, flags

from benchmarks import experiment
from standins import limited_fleet
from verbenadrum import ids
from verbenadrum.engine import behaviours
from verbenadrum.placement import server_rates, signals
from verbenadrum.records import types
from verbenadrum.utils import clock

__all__ = ["measure_signals"]

assert behaviours  # Importing it registers the implementations that are chosen by name.

_SIGNALS_SEED = flags.DEFINE_integer("signals_seed", 1, "Seed of the fleets.")

_FLEET_SIZES = (44, 110)
# Servers of the whole fleet at the design size, and of one part of a pool.
_ALL_SERVERS = 8_000
_PART_SERVERS = 22
_ROUNDS = 2_000
_LIMIT_PER_S = 5.0
_US_PER_S = 1e6
_SERVED_TARGET = 0.9


@experiment.experiments.register("signals")
def measure_signals(seed: int) -> list[experiment.Row]:
    """Return the rows of the costs, of the excess over the limits, and of their use."""
    return [*_cost_rows(), *_excess_rows(seed), *_use_rows(seed)]


def _cost_rows() -> list[experiment.Row]:
    rows = []
    for label, limited in (("none limited", 0), ("all limited", _PART_SERVERS)):
        value = _refill_us(limited)
        rows.append(_row(f"tick of a home's {_PART_SERVERS} servers, {label}, us", value))
    rows.append(_row(f"memory of {_ALL_SERVERS} servers that rest and leave, kB", _memory_kb()))
    return rows


def _refill_us(limited: int) -> float:
    """Return the processor time of accruing the tokens of a part's servers, in microseconds."""
    time_source = clock.SteppedClock()
    said = signals.ServerSignals(now_ms=time_source.now_ms)
    rates = server_rates.ServerRates(now_ms=time_source.now_ms, signals=said, share=lambda: 1.0)
    entries = tuple(_entry(number) for number in range(_PART_SERVERS))
    for entry in entries[:limited]:
        said.record_limit(ids.ServerId(entry.server), 0.0, _LIMIT_PER_S)
    started_s = time.process_time()
    for _ in range(_ROUNDS):
        time_source.advance(50.0)
        rates.refill(entries)
    return (time.process_time() - started_s) * _US_PER_S / _ROUNDS


def _memory_kb() -> float:
    time_source = clock.SteppedClock()
    tracemalloc.start()
    said = signals.ServerSignals(now_ms=time_source.now_ms)
    for number in range(_ALL_SERVERS):
        server = ids.ServerId(_entry(number).server)
        said.record_leaving(server, 1.0)
        said.record_rest(server, 1.0, 1_000.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1000.0


def _entry(number: int) -> types.ServerEntry:
    return types.ServerEntry(server=f"i-{number:08x}", address="10.0.0.1:80", data_centre="d1")


def _excess_rows(seed: int) -> list[experiment.Row]:
    rows = []
    for hosts in _FLEET_SIZES:
        for name, run_script in limited_fleet.SCRIPTS.items():
            limited = limited_fleet.LimitedFleet(hosts, seed=seed)
            run_script(limited)
            excess = max(limited.excess().values(), default=0.0)
            measured = f"requests over the limits in 4 s, {hosts} hosts, {name}"
            rows.append(_row(measured, excess, target=0.0))
    return rows


def _use_rows(seed: int) -> list[experiment.Row]:
    """Return which fraction of the limits a pool serves under twice the load."""
    rows = []
    for hosts in _FLEET_SIZES:
        total_per_s = 8 * _LIMIT_PER_S
        limited = limited_fleet.LimitedFleet(
            hosts,
            per_s=2.0 * total_per_s,
            limits=(_LIMIT_PER_S,) * 8,
            unlimited=0,
            target_ms=1_200.0,
            seed=seed,
        )
        limited.fleet.run(5_000.0)
        received = sum(limited_fleet.count_received(limited, 20_000.0).values())
        measured = f"served of the limits under twice the load, {hosts} hosts"
        value = received / (20.0 * total_per_s)
        rows.append(_row(measured, value, target=_SERVED_TARGET, at_most=False))
    return rows


def _row(
    measured: str, value: float, *, target: float | None = None, at_most: bool = True
) -> experiment.Row:
    return experiment.Row(
        measure=measured, behaviour="pool_home", value=value, target=target, at_most=at_most
    )


def main(argv: list[str]) -> None:
    """Print the rows of one seed."""
    del argv
    for row in measure_signals(_SIGNALS_SEED.value):
        print(f"{row.measure}: {row.value:.4g}")


if __name__ == "__main__":
    app.run(main)
