"""Runs seeded trials in several processes; used by measurements only."""

import math
import multiprocessing
import os
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from benchmarks import experiment

__all__ = ["quantile", "run_trials", "table"]

Trial = TypeVar("Trial")
Result = TypeVar("Result")

_MOST_PROCESSES = 5


def run_trials(function: Callable[[Trial], Result], trials: Iterable[Trial]) -> list[Result]:
    """Return the results of ``function`` for each trial, in order."""
    trials = list(trials)
    processes = min(_MOST_PROCESSES, len(trials), os.cpu_count() or 1)
    if processes <= 1:
        return [function(trial) for trial in trials]
    with multiprocessing.Pool(processes) as pool:
        return pool.map(function, trials, chunksize=1)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that at least ``fraction`` of the values do not exceed.

    Examples
    --------
    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def table(rows: Iterable[experiment.Row]) -> Iterator[str]:
    """Yield one line for each row."""
    for row in rows:
        met = {True: "met", False: "MISSED", None: ""}[row.met]
        yield f"{row.behaviour:26} {row.measure:58} {row.value:9} {met:7} {row.note}"
