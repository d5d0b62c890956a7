"""Runs seeded trials in several processes; used by measurements only."""

import multiprocessing
import os
from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["quantile", "run_trials"]

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
    return ordered[min(len(ordered) - 1, max(0, -int(-fraction * len(ordered) // 1) - 1))]
