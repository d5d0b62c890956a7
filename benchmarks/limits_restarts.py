"""Benchmark of the metered limiter while hosts restart and their views of the fleet differ.

Run ``python -m benchmarks.limits_restarts`` for a table of 44, 110, 293 and 890 hosts, or name the
sizes, and scenarios after ``--only``. Each scenario states the most requests that were admitted in
any 5 s, as a fraction of what the users' bound allows, for seeds 1 to 3 (1 above 110 hosts); what
was admitted less than one bucket would, in percent; and the messages per second and host.
"""

import argparse
import bisect
import functools
import random
import sys
from collections.abc import Callable

import msgspec

from benchmarks import limits_fleet
from verbenadrum.core import ports
from verbenadrum.limits import bucket, metered, tolerance
from verbenadrum.records import types

__all__ = ["RATES", "SCENARIOS", "Result", "Run", "layout", "run_scenario"]

_WINDOW_S = 5.0
_OVERSHOOT = 0.25
_SLACK = 20.0
# Rate of each workspace, which equals its burst; callers usually send `_USUAL_LOAD` of it.
RATES = {"w42": 42.0, "w17": 17.0, "w14": 14.0, "w4": 4.0}
_USUAL_LOAD = 1.0 / 1.6
_HOT_FACTOR = 7.5
_SETTLING_MS = 3_000.0
_LIMITER = functools.partial(
    metered.MeteredLimiter,
    tolerance=tolerance.Tolerance(overshoot=_OVERSHOOT, slack=_SLACK, window_ms=_WINDOW_S * 1000.0),
)
_LAYOUTS = {44: (2, 2, 11), 110: (2, 5, 11), 293: (2, 4, 37), 890: (2, 5, 89)}
# Time until a restarted host has half of the list, and again until it has all, until another host
# suspects a dead one, and until it clears the mark of one that is back.
_JOIN_MS = (20.0, 300.0)
_COLD_JOIN_MS = (100.0, 1_000.0)
# Time for which no seed answers a restarted host, before its join time begins.
_DARK_SEEDS_MS = 5_000.0
_SUSPECT_MS = (300.0, 2_000.0)
_CLEAR_MS = (100.0, 1_000.0)
_DOWN_MS = (300.0, 1_300.0)
# Fraction of the messages that a busy link delays, and by how much at most.
_LATE_FRACTION = 0.05
_LATE_MS = 1_000.0


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes
    ----------
    used : float
        Most requests of a workspace admitted in any window, as a fraction of the bound; the
        greatest of all workspaces.
    lost : float
        What the limiter admitted less than one bucket for the whole fleet would have, as a fraction
        of the latter; the mean of all workspaces, weighted by their requests.
    messages_per_s : float
        Mean number of messages per second and host.
    """

    used: float
    lost: float
    messages_per_s: float


def layout(hosts: int) -> list[ports.HostRow]:
    """Return the rows of a fleet of 44, 110, 293 or 890 hosts in two regions."""
    return limits_fleet.layout(*_LAYOUTS[hosts])[:hosts]


class Run:
    """One fleet whose hosts have views of their own, and the callers of its workspaces."""

    def __init__(self, *, hosts: int, seed: int) -> None:
        self.rows = layout(hosts)
        self.rng = random.Random(seed)
        self.fleet = limits_fleet.Fleet(seed=seed, limiter=_LIMITER)
        for name, rate_per_s in RATES.items():
            spec = types.WorkspaceSpec(rate_per_s=rate_per_s, burst=rate_per_s)
            self.fleet.publish(types.RecordKind.WORKSPACE, name, spec)
        self.factors: dict[str, float] = dict.fromkeys(RATES, 0.0)
        for row in self.rows:
            self.start(row, (0.0, 0.0))
        self.wait(_SETTLING_MS)

    def start(
        self, row: ports.HostRow, join_ms: tuple[float, float], seeds_dark_ms: float = 0.0
    ) -> None:
        """Start a host that lists itself, after its join time half of the hosts, then all."""
        host = self.fleet.add(row)
        host.renews = False
        half = {row.host: row for row in self.rng.sample(self.rows, len(self.rows) // 2)}
        half[row.host] = row
        half_ms = seeds_dark_ms + self.rng.uniform(*join_ms)
        host.membership.replace(1, (row,))
        host.membership.seeking = True
        self.later(half_ms, lambda: self._meet_peers(host, tuple(half.values())))
        full_ms = half_ms + self.rng.uniform(*join_ms)
        self.later(full_ms, lambda: host.membership.replace(3, tuple(self.rows)))

    def _meet_peers(self, host: limits_fleet.Host, rows: tuple[ports.HostRow, ...]) -> None:
        host.membership.seeking = False
        host.membership.replace(2, rows)

    def kill(
        self,
        row: ports.HostRow,
        join_ms: tuple[float, float] = _JOIN_MS,
        seeds_dark_ms: float = 0.0,
    ) -> None:
        """Kill a host; the others suspect it after a while, and it starts again."""
        self.fleet.remove(row.host)
        for name in self.fleet.names:
            self.mark(name, row.host, True, self.rng.uniform(*_SUSPECT_MS))
        self.later(self.rng.uniform(*_DOWN_MS), lambda: self._restart(row, join_ms, seeds_dark_ms))

    def _restart(
        self, row: ports.HostRow, join_ms: tuple[float, float], seeds_dark_ms: float
    ) -> None:
        self.start(row, join_ms, seeds_dark_ms)
        for name in self.fleet.names:
            self.mark(name, row.host, False, self.rng.uniform(*_CLEAR_MS))

    def mark(self, name: str, other: str, suspected: bool, delay_ms: float) -> None:
        """Let a host suspect another one, or trust it again, after a delay."""
        host = self.fleet.hosts[name]

        def apply() -> None:
            running = other in self.fleet.hosts
            if host.row.host != other and suspected != running:
                host.membership.set_suspected(other, suspected)

        self.later(delay_ms, apply)

    def cut(self, pairs: set[tuple[str, str]], for_ms: float) -> None:
        """Block pairs of hosts or regions in both directions; the hosts notice after a while."""
        both = pairs | {(receiver, sender) for sender, receiver in pairs}
        self.fleet.faults.cut |= both
        self.later(for_ms, lambda: self.fleet.faults.cut.difference_update(both))
        for name in self.fleet.names:
            for other in self.rows:
                if other.host != name and self._blocked(name, other):
                    delay_ms = self.rng.uniform(*_SUSPECT_MS)
                    self._suspect(name, other.host, True, delay_ms)
                    delay_ms = for_ms + self.rng.uniform(*_CLEAR_MS)
                    self._suspect(name, other.host, False, delay_ms)

    def _blocked(self, name: str, other: ports.HostRow) -> bool:
        row = self.fleet.hosts[name].row
        return bool({(row.host, other.host), (row.region, other.region)} & self.fleet.faults.cut)

    def _suspect(self, name: str, other: str, suspected: bool, delay_ms: float) -> None:
        membership = self.fleet.hosts[name].membership
        self.later(delay_ms, lambda: membership.set_suspected(other, suspected))

    def pass_over_homes(self, fraction: float) -> None:
        """Let some hosts take the homes of all workspaces for leaving, from now on."""
        for name in self.fleet.names:
            if self.rng.random() < fraction:
                membership = self.fleet.hosts[name].membership
                homes = {
                    membership.ranked_hosts(f"limit/{workspace}", membership.hosts(), 1)[0]
                    for workspace in RATES
                }
                for home in homes - {name}:
                    membership.mark_leaving(home, 1)

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.fleet.at(self.fleet.now_ms + delay_ms, action)

    def load(self, factor: float) -> None:
        """Send each workspace ``factor`` times its usual load from now on."""
        for workspace, rate_per_s in RATES.items():
            self.factors[workspace] = factor
            self._send_next(workspace, rate_per_s * _USUAL_LOAD * factor, factor)

    def _send_next(self, workspace: str, per_s: float, factor: float) -> None:
        def send() -> None:
            if self.factors[workspace] != factor:
                return
            host = self.rng.choice(self.rows).host
            if host in self.fleet.hosts:
                self.fleet.request(host, workspace)
            self._send_next(workspace, per_s, factor)

        self.later(self.rng.expovariate(per_s / 1000.0), send)

    def wait(self, duration_ms: float) -> None:
        """Advance the simulated time."""
        self.fleet.run(self.fleet.now_ms + duration_ms)

    def result(self, sent_before: int, started_ms: float) -> Result:
        """Return the figures since ``started_ms``, when ``sent_before`` messages had been sent."""
        duration_s = (self.fleet.now_ms - started_ms) / 1000.0
        messages = sum(self.fleet.sent.values()) - sent_before
        return Result(
            used=max(self.used(name) for name in RATES),
            lost=self.lost(),
            messages_per_s=messages / duration_s / len(self.rows),
        )

    def used(self, workspace: str) -> float:
        """Return the most that a window admitted of a workspace, as a fraction of the bound."""
        at_ms = sorted(self.fleet.admitted(workspace))
        most = max(
            bisect.bisect_right(at_ms, start + _WINDOW_S * 1000.0) - index
            for index, start in enumerate(at_ms)
        )
        limit = RATES[workspace] * (_WINDOW_S + 1.0)
        return most / (limit * (1.0 + _OVERSHOOT) + _SLACK)

    def lost(self) -> float:
        """Return the fraction of what one bucket would admit that was not admitted."""
        owed = lost = 0
        for workspace, rate_per_s in RATES.items():
            ideal = bucket.TokenBucket(
                now_ms=0.0, tokens=rate_per_s, rate_per_s=rate_per_s, burst=rate_per_s
            )
            logs = [
                log
                for log in self.fleet.log
                if log.workspace == workspace and log.granted is not None
            ]
            in_rate = sum(ideal.take(now_ms=log.at_ms) for log in logs)
            owed += in_rate
            lost += max(0, in_rate - sum(bool(log.granted) for log in logs))
        return lost / owed


def _calm(run: Run) -> None:
    run.load(1.0)
    run.wait(20_000.0)


def _late(run: Run, factor: float) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    run.fleet.faults.late, run.fleet.faults.late_ms = _LATE_FRACTION, _LATE_MS
    run.load(factor)
    run.wait(17_000.0)


def _late_calm(run: Run) -> None:
    _late(run, 1.0)


def _late_hot(run: Run) -> None:
    _late(run, _HOT_FACTOR)


def _roll(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    for row in run.rng.sample(run.rows, len(run.rows)):
        run.kill(row)
        run.wait(20_000.0 / len(run.rows))
    run.wait(5_000.0)


def _cold(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    for row in run.rows:
        run.kill(row, _COLD_JOIN_MS)
    run.wait(17_000.0)


def _two_views(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    run.pass_over_homes(0.5)
    run.wait(17_000.0)


def _roll_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    for row in run.rng.sample(run.rows, len(run.rows)):
        run.kill(row)
        run.wait(10_000.0 / len(run.rows))
    run.load(_HOT_FACTOR)
    run.wait(7_000.0)


def _hot_roll(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    run.load(_HOT_FACTOR)
    for row in run.rng.sample(run.rows, len(run.rows)):
        run.kill(row)
        run.wait(10_000.0 / len(run.rows))


def _homes_in_turn_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    run.load(_HOT_FACTOR)
    rows = {row.host: row for row in run.rows}
    for _ in range(25):
        view = run.fleet.hosts[run.rng.choice(run.fleet.names)].membership
        homes = {view.ranked_hosts(f"limit/{name}", view.hosts(), 1)[0] for name in RATES}
        for home in sorted(homes & set(run.fleet.hosts)):
            run.kill(rows[home])
        run.wait(300.0)


def _cold_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(4_000.0)
    for row in run.rows:
        run.kill(row, _COLD_JOIN_MS)
    run.wait(300.0)
    run.load(_HOT_FACTOR)
    run.wait(8_000.0)


def _dark_seeds_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(4_000.0)
    for row in run.rows:
        run.kill(row, _COLD_JOIN_MS, _DARK_SEEDS_MS)
    run.wait(1_000.0)
    run.load(_HOT_FACTOR)
    run.wait(12_000.0)


def _cut_off(run: Run, factor: float) -> None:
    run.load(1.0)
    run.wait(4_000.0)
    alone = run.rng.sample(run.rows, round(len(run.rows) * 0.35))
    run.cut({(row.host, other.host) for row in alone for other in run.rows if other != row}, 10e3)
    run.wait(500.0)
    run.load(factor)
    run.wait(14_000.0)


def _cut_off_hot(run: Run) -> None:
    _cut_off(run, _HOT_FACTOR)


def _cut_off_calm(run: Run) -> None:
    _cut_off(run, 1.0)


def _regions_cut_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(4_000.0)
    run.cut({tuple(sorted({row.region for row in run.rows}))}, 8_000.0)
    run.load(_HOT_FACTOR)
    run.wait(12_000.0)


def _two_views_hot(run: Run) -> None:
    run.load(1.0)
    run.wait(3_000.0)
    run.pass_over_homes(0.5)
    run.wait(4_000.0)
    run.load(_HOT_FACTOR)
    run.wait(7_000.0)


def _two_views_steady(run: Run) -> None:
    run.load(1.0)
    run.wait(1_000.0)
    run.pass_over_homes(0.5)
    run.load(1.9 / _USUAL_LOAD)
    run.wait(12_000.0)


SCENARIOS = {
    "calm": _calm,
    "late messages": _late_calm,
    "late messages, hot": _late_hot,
    "all hosts in turn": _roll,
    "all hosts at once": _cold,
    "two views": _two_views,
    "all in turn, then hot": _roll_hot,
    "hot while all in turn": _hot_roll,
    "homes in turn while hot": _homes_in_turn_hot,
    "all at once, hot": _cold_hot,
    "all at once, seeds dark, hot": _dark_seeds_hot,
    "hosts cut off": _cut_off_calm,
    "hosts cut off, hot": _cut_off_hot,
    "regions cut, hot": _regions_cut_hot,
    "two views, hot": _two_views_hot,
    "two views, 1.9 times the rate": _two_views_steady,
}


def run_scenario(name: str, *, hosts: int, seed: int) -> Result:
    """Run one scenario on a fleet of 44, 110, 293 or 890 hosts."""
    run = Run(hosts=hosts, seed=seed)
    sent_before, started_ms = sum(run.fleet.sent.values()), run.fleet.now_ms
    SCENARIOS[name](run)
    return run.result(sent_before, started_ms)


def main(arguments: list[str]) -> None:
    """Print a table; the arguments are the fleet sizes, by default all, and scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("hosts", nargs="*", type=int, choices=list(_LAYOUTS), default=[])
    parser.add_argument("--only", action="append", choices=list(SCENARIOS))
    options = parser.parse_args(arguments)
    for name in options.only or SCENARIOS:
        for hosts in options.hosts or list(_LAYOUTS):
            seeds = range(1, 2 if hosts > 110 else 4)
            rows = [run_scenario(name, hosts=hosts, seed=seed) for seed in seeds]
            used = " ".join(f"{row.used:.2f}" for row in rows)
            lost = 100.0 * sum(row.lost for row in rows) / len(rows)
            messages = sum(row.messages_per_s for row in rows) / len(rows)
            print(f"| {name} | {hosts} | {used} | {lost:.2f} | {messages:.2f} |", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
