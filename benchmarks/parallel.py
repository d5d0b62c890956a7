"""Runs seeded trials of an experiment in parallel processes, and evaluates their results."""

import math
import multiprocessing
import os
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from benchmarks import experiment

__all__ = ["quantile", "run_trials", "table"]

Trial = TypeVar("Trial")
Result = TypeVar("Result")

_MAX_PROCESSES = 5


def run_trials(function: Callable[[Trial], Result], trials: Iterable[Trial]) -> list[Result]:
    """Return the results of ``function`` for each trial, in the order of the trials.

    With more than one process, the function and the trials must be picklable.
    """
    trials = list(trials)
    processes = min(_MAX_PROCESSES, len(trials), os.cpu_count() or 1)
    if processes <= 1:
        return [function(trial) for trial in trials]
    with multiprocessing.Pool(processes) as pool:
        return pool.map(function, trials, chunksize=1)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that at least ``fraction`` of the values do not exceed.

    It is 0.0 if there are no values.

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
    """Yield a line of text for each row, aligned in columns, to be printed."""
    for row in rows:
        met = {True: "met", False: "MISSED", None: ""}[row.met]
        yield f"{row.behaviour:26} {row.measure:58} {row.value:9} {met:7} {row.note}"
