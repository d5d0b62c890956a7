"""Fleet in stepped time whose backend servers name limits, and the users' bound on what they get.

The simulation is that of `stepped_fleet`; used by tests and benchmarks.
"""

import collections
import math
from collections.abc import Callable

from standins import stepped_fleet
from verbenadrum.core import ports

__all__ = ["SCRIPTS", "LimitedFleet", "count_received"]

LIMITS_PER_S = (0.5, 1.0, 5.0, 40.0)
# The users' bound: in any window, one and a half times the limit and five requests more, summed
# over the hosts that passed on an answer with the limit half a second before or earlier. It holds
# from the settling time on.
WINDOW_MS = 4_000.0
SETTLING_MS = 4_000.0
TOLD_MS = 500.0
FACTOR = 1.5
SLACK = 5
_ANSWERS = (ports.OutcomeKind.OK, ports.OutcomeKind.SERVER_ERROR)


class LimitedFleet:
    """Fleet whose first servers name limits; counts what they get from hosts that know.

    Parameters
    ----------
    hosts : int
        Number of hosts, in two regions with two data centres each.
    per_s : float
        Requests per second, over all hosts.
    limits : tuple of float
        Limit of each limited server, in requests per second.
    unlimited : int
        Number of servers that name none.
    seed : int
        Seed of all random numbers.
    **fields
        Further parameters of `stepped_fleet.Fleet`.

    Attributes
    ----------
    told_ms : dict of (str, str) to float
        When each host had first passed on an answer with a limit, by host and server.
    sent_ms : dict of str to list of float
        Times of the requests of hosts that know of the limit, by server.
    """

    def __init__(
        self,
        hosts: int,
        *,
        per_s: float = 100.0,
        limits: tuple[float, ...] = LIMITS_PER_S,
        unlimited: int = 4,
        seed: int = 1,
        **fields: object,
    ) -> None:
        rows = stepped_fleet.two_regions((hosts + 3) // 4)[:hosts]
        data_centres = ("r1a", "r1b", "r2a", "r2b")
        count = len(limits) + unlimited
        self.fleet = stepped_fleet.Fleet(
            hosts=rows,
            servers={f"s{index}": data_centres[index % 4] for index in range(count)},
            seed=seed,
            sigma=0.2,
            **fields,
        )
        self.limits = {f"s{index}": limit for index, limit in enumerate(limits)}
        self.told_ms: dict[tuple[str, str], float] = {}
        self.sent_ms: dict[str, list[float]] = collections.defaultdict(list)
        self._dispatch = self.fleet.dispatch
        self._end_attempt = self.fleet.end_attempt
        self.fleet.dispatch = self.dispatch
        self.fleet.end_attempt = self.end_attempt
        self.fleet.load(workspace="w", per_s=per_s, path=lambda: f"/{self.fleet.rng.random()}")
        self.fleet.run(2_000.0)
        for server, limit in self.limits.items():
            self.fleet.servers[server].limit_per_s = limit
        self.named_ms = self.fleet.clock.now_ms()

    def dispatch(self, sink: object, order: ports.DispatchOrder) -> None:
        """Count an attempt at a limited server, and send it."""
        now_ms = self.fleet.clock.now_ms()
        told_ms = self.told_ms.get((sink.host.row.host, order.server), math.inf)
        if order.server in self.limits and now_ms >= told_ms + TOLD_MS:
            self.sent_ms[order.server].append(now_ms)
        self._dispatch(sink, order)

    def end_attempt(self, attempt: stepped_fleet.Attempt, kind: ports.OutcomeKind) -> None:
        """Note that a host passes on an answer with a limit, and end the attempt."""
        if kind in _ANSWERS and math.isfinite(attempt.server.limit_per_s):
            key = (attempt.sink.host.row.host, attempt.server.name)
            self.told_ms.setdefault(key, self.fleet.clock.now_ms())
        self._end_attempt(attempt, kind)

    def restart(self, name: str) -> None:
        """Replace a stopped host by a new process, which knows of no limit."""
        self.told_ms = {key: at for key, at in self.told_ms.items() if key[0] != name}
        self.fleet.restart_host(name)

    def homes(self) -> list[str]:
        """Return the live hosts that act as home."""
        return [name for name, host in self.fleet.hosts.items() if host.alive and host.placer.homes]

    def excess(self) -> dict[str, float]:
        """Return by how many requests servers got more than the bound in any window.

        Servers within the bound are left out.
        """
        found = {}
        for server, limit in self.limits.items():
            times = [at for at in self.sent_ms[server] if at >= self.named_ms + SETTLING_MS]
            most = max(
                (sum(start <= at < start + WINDOW_MS for at in times) for start in times), default=0
            )
            found[server] = most - (FACTOR * limit * WINDOW_MS / 1000.0 + SLACK)
        return {server: over for server, over in found.items() if over > 0.0}


def _end_homes_in_turn(limited: LimitedFleet) -> None:
    for _ in range(5):
        limited.fleet.run(1_500.0)
        ended = limited.homes()[:2]
        for name in ended:
            limited.fleet.fail_host(name)
        alive = tuple(name for name, host in limited.fleet.hosts.items() if host.alive)
        limited.fleet.list_hosts(alive)
        limited.fleet.run(1_500.0)
        for name in ended:
            limited.restart(name)
        limited.fleet.list_hosts(tuple(limited.fleet.hosts))


def _divide_views(limited: LimitedFleet) -> None:
    """Let half of the hosts list other hosts than the rest, so that each part has two homes."""
    names = sorted(limited.fleet.hosts)
    for _ in range(3):
        limited.fleet.run(2_000.0)
        limited.fleet.list_hosts(tuple(names[::2]), views=tuple(names[::2]))
        limited.fleet.list_hosts(tuple(names[1::2]), views=tuple(names[1::2]))
        limited.fleet.run(3_000.0)
        limited.fleet.list_hosts(tuple(names))


def _cut_off_all_homes(limited: LimitedFleet) -> None:
    limited.fleet.run(3_000.0)
    names = list(limited.fleet.hosts)
    limited.fleet.cut.update((one, other) for one in names for other in names if one != other)
    limited.fleet.run(8_000.0)


SCRIPTS: dict[str, Callable[[LimitedFleet], None]] = {
    "steady": lambda limited: limited.fleet.run(10_000.0),
    "homes-end": _end_homes_in_turn,
    "views-differ": _divide_views,
    "no-home": _cut_off_all_homes,
}


def count_received(limited: LimitedFleet, duration_ms: float) -> dict[str, int]:
    """Return how many requests each server receives in a time from now."""
    before = {name: server.received for name, server in limited.fleet.servers.items()}
    limited.fleet.run(duration_ms)
    return {name: server.received - before[name] for name, server in limited.fleet.servers.items()}
