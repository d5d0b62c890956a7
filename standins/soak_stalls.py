"""Stalls of host processes in a soak test: a process that is not scheduled around its shutdown.

A stall stands for a busy machine, on which a process runs late. The process is stopped by SIGSTOP
and continued by SIGCONT, and SIGTERM is sent while it is stopped.
"""

import random

import msgspec

__all__ = ["Plan", "Stall", "draw_plans", "running_ms"]

_MIN_STALL_MS = 50.0
_SHORT_STALL_MS = 400.0
_MAX_STALL_MS = 1_500.0
# Longest stall as a fraction of the limit, which short limits need to leave time to run.
_MAX_LIMIT_FRACTION = 0.25
# A process is stopped this long before its SIGTERM at least, so that the signal finds it stopped.
_MIN_LEAD_MS = 10.0
_MIN_GAP_MS = 50.0
_SIGTERM_PROBABILITY = 0.7
_LATER_PROBABILITY = 0.3


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Stall that is to come: its begin, in milliseconds from the SIGTERM, and its length."""

    at_ms: float
    duration_ms: float

    @property
    def end_ms(self) -> float:
        """End, in milliseconds from the SIGTERM."""
        return self.at_ms + self.duration_ms


class Stall(msgspec.Struct, kw_only=True):
    """Stall of a process, in milliseconds since the Unix epoch; its end is infinite until then."""

    begun_ms: float
    ended_ms: float = float("inf")


def draw_plans(
    rng: random.Random, *, linger_ms: float, cutoff_ms: float, limit_ms: float
) -> list[Plan]:
    """Return the stalls of one shutdown, in order; they do not overlap.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    linger_ms, cutoff_ms, limit_ms : float
        When the linger ends, when requests in flight are refused, and the limit, in milliseconds
        from the SIGTERM.
    """
    longest_ms = min(_MAX_STALL_MS, limit_ms * _MAX_LIMIT_FRACTION)
    plans = []
    if rng.random() < _SIGTERM_PROBABILITY:
        duration_ms = _draw_duration_ms(rng, longest_ms)
        before_ms = min(duration_ms, max(_MIN_LEAD_MS, duration_ms * rng.uniform(0.0, 0.4)))
        plans.append(Plan(at_ms=-before_ms, duration_ms=duration_ms))
    for moment_ms in (linger_ms, cutoff_ms):
        if rng.random() < _LATER_PROBABILITY:
            duration_ms = _draw_duration_ms(rng, longest_ms)
            at_ms = moment_ms - duration_ms * rng.uniform(0.0, 1.0)
            plans.append(Plan(at_ms=at_ms, duration_ms=duration_ms))
    return _without_overlaps(plans)


def _draw_duration_ms(rng: random.Random, longest_ms: float) -> float:
    shortest_ms = min(_MIN_STALL_MS, longest_ms)
    short_ms = rng.uniform(shortest_ms, min(_SHORT_STALL_MS, longest_ms))
    return rng.choices((short_ms, rng.uniform(shortest_ms, longest_ms)), (1, 2))[0]


def _without_overlaps(plans: list[Plan]) -> list[Plan]:
    kept: list[Plan] = []
    for plan in sorted(plans, key=lambda plan: plan.at_ms):
        if not kept or plan.at_ms >= kept[-1].end_ms + _MIN_GAP_MS:
            kept.append(plan)
    return kept


def running_ms(stalls: list[Stall], since_ms: float, until_ms: float) -> float:
    """Return for how much of an interval a process was not stopped, in milliseconds.

    Parameters
    ----------
    stalls : list of Stall
        Stalls of the process, which do not overlap.
    since_ms, until_ms : float
        The interval, in milliseconds since the Unix epoch.

    Examples
    --------
    >>> running_ms([Stall(begun_ms=10.0, ended_ms=30.0)], 0.0, 100.0)
    80.0
    """
    stopped_ms = sum(
        max(0.0, min(stall.ended_ms, until_ms) - max(stall.begun_ms, since_ms)) for stall in stalls
    )
    return max(0.0, until_ms - since_ms - stopped_ms)
