"""Drills in series on daemons as processes: the store comes back from copies of 1 to 10 s.

Before and after each return the operator and the backend servers write changes, while hosts stand
still, are killed, start or are cut off. It prints a JSON line for each drill and one for the whole,
and exits with 1 if a host reverted anything, held a change back or forgot a living server.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import os
import pathlib
import random
import sys
import tempfile
import time

import gevent
import msgspec
from absl import app, flags

from verbenadrum.platform.tests import store_fleet

__all__ = ["Drills"]

_SEED = flags.DEFINE_integer("drill_seed", 1, "Seed of the drills.")
_SECONDS = flags.DEFINE_float(
    "drill_seconds", 120.0, "Time after which no drill begins, in seconds."
)
_HOSTS = flags.DEFINE_integer("drill_hosts", 12, "Number of hosts.")
_WRITES_PER_S = flags.DEFINE_float(
    "drill_writes_per_s", 20.0, "Writes of backend servers a second."
)
_RETURNS = flags.DEFINE_bool(
    "drill_returns", True, "Whether anything is lost; otherwise a control."
)
_TROUBLES = flags.DEFINE_bool(
    "drill_troubles", True, "Whether hosts stand still, end or are cut off."
)
_LOGS = flags.DEFINE_string("drill_logs", "", "Directory that keeps the logs; empty for none.")
_MIN_POOL = 4
_MAX_ALONE = 6
_SHOWN_FAULTS = 20
_MAX_NEW_HOSTS = 4
_TROUBLE_KINDS = ("freeze", "kill", "start", "cut", "cut-from-peers")


class Drills:
    """Draws and plays drills.

    Parameters
    ----------
    fleet : Fleet
        The running hosts, store and callers.
    seed : int
        Seed of the drills.
    returns : bool
        Whether the store comes back from its copy; otherwise it is only away.
    troubles : bool
        Whether hosts get into trouble meanwhile.
    """

    def __init__(
        self, *, fleet: store_fleet.Fleet, seed: int, returns: bool = True, troubles: bool = True
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._returns = returns
        self._troubles = troubles
        self._tasks: list[gevent.Greenlet] = []
        self._alone = 0
        self._most_hosts = len(fleet.hosts) + _MAX_NEW_HOSTS

    def play(self) -> dict:
        """Play one drill, and return what was played."""
        rng = self._rng
        copy_age_s = rng.uniform(1.0, 10.0)
        trouble = rng.choice(("none", *_TROUBLE_KINDS)) if self._troubles else "none"
        played = {"copy_age_s": round(copy_age_s, 1), "trouble": trouble, "changes": []}
        self._fleet.store("copy")
        self._plan_changes(rng.randint(1, 4), copy_age_s, played)
        self._spawn(max(0.0, copy_age_s + rng.uniform(-2.0, 1.0)), self._make_trouble, trouble)
        gevent.sleep(copy_age_s)
        self._come_back(played)
        if self._returns and rng.random() < 0.25:
            gevent.sleep(rng.uniform(0.2, 2.0))
            self._come_back(played)
        self._plan_changes(rng.randint(1, 4), 3.0, played)
        gevent.sleep(rng.uniform(6.0, 9.0))
        gevent.joinall(self._tasks, raise_error=True)
        self._tasks.clear()
        self._fleet.set_store_faults(page_size=500, page_delay_s=0.0)
        return played

    def _come_back(self, played: dict) -> None:
        rng = self._rng
        if rng.random() < 0.3:
            self._fleet.set_store_faults(page_size=3, page_delay_s=0.05)
        away_s = rng.choice((0.0, rng.uniform(0.1, 1.5)))
        cut = rng.random() < 0.7
        played.setdefault("returns", []).append({"away_s": round(away_s, 2), "cut": cut})
        if self._returns:
            self._fleet.come_back(away_s=away_s, cut=cut)
        else:
            self._fleet.be_away(away_s)

    def _plan_changes(self, count: int, within_s: float, played: dict) -> None:
        for _ in range(count):
            change = self._rng.choice((self._configure, self._configure, self._join, self._leave))
            played["changes"].append(change.__name__.strip("_"))
            self._spawn(self._rng.uniform(0.0, within_s), change)

    def _configure(self) -> None:
        newest = max((at_s for at_s in self._fleet.versions if at_s < time.monotonic()), default=0)
        gevent.sleep(max(0.0, newest + 0.8 - time.monotonic()))
        self._fleet.configure()

    def _join(self) -> None:
        alone = self._living_alone()
        if len(alone) < _MAX_ALONE and self._alone < store_fleet.SERVICES:
            self._alone += 1
            self._fleet.join(f"only{self._alone - 1}")
        else:
            self._fleet.join(store_fleet.POOL)

    def _leave(self) -> None:
        pool = self._fleet.pool()
        if len(pool) <= _MIN_POOL:
            pool = self._living_alone()
        if pool:
            self._fleet.leave(self._rng.choice(pool), says_so=self._rng.random() < 0.7)

    def _living_alone(self) -> list[store_fleet.Server]:
        return [
            each
            for each in self._fleet.servers.values()
            if each.service != store_fleet.POOL and each.state == "ready"
        ]

    def _make_trouble(self, kind: str) -> None:
        names = self._rng.sample(sorted(self._fleet.hosts), self._rng.randint(1, 3))
        seconds = self._rng.uniform(1.0, 6.0)
        if kind == "freeze":
            gevent.joinall([gevent.spawn(self._fleet.freeze, each, seconds) for each in names])
        elif kind == "kill":
            gevent.joinall([gevent.spawn(self._fleet.kill, each, seconds) for each in names])
        elif kind == "cut":
            self._fleet.cut(names, seconds)
        elif kind == "cut-from-peers":
            self._fleet.cut(names, seconds, store=False)
        elif kind == "start" and len(self._fleet.hosts) < self._most_hosts:
            self._fleet.start_new_host()

    def _spawn(self, delay_s: float, action, *arguments: object) -> None:
        self._tasks.append(gevent.spawn_later(delay_s, action, *arguments))


def main(argv: list[str]) -> None:
    """Play drills, and exit with 1 if a host got something wrong."""
    del argv
    with tempfile.TemporaryDirectory(prefix="drills-") as temporary:
        directory = pathlib.Path(_LOGS.value or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        with store_fleet.Fleet(
            directory=directory,
            hosts=_HOSTS.value,
            seed=_SEED.value,
            writes_per_s=_WRITES_PER_S.value,
        ) as fleet:
            broken = _play_all(fleet)
    sys.exit(1 if broken else 0)


def _play_all(fleet: store_fleet.Fleet) -> bool:
    drills = Drills(fleet=fleet, seed=_SEED.value, returns=_RETURNS.value, troubles=_TROUBLES.value)
    fleet.configure()
    gevent.sleep(store_fleet.APPLY_S)
    began_s = time.monotonic()
    count = 0
    seen: set[store_fleet.Fault] = set()
    while time.monotonic() - began_s < _SECONDS.value:
        count += 1
        at_s = time.monotonic() - began_s
        played = drills.play()
        new = [each for each in fleet.all_faults() if each not in seen]
        seen.update(new)
        _print({"drill": count, "at_s": round(at_s, 1), **played, "faults": _counts(new)})
        for each in new[:_SHOWN_FAULTS]:
            shown = msgspec.to_builtins(each)
            _print({**shown, "at_s": round(each.at_s - began_s, 2)})
    _print(
        {
            "seed": _SEED.value,
            "drills": count,
            "hosts": _HOSTS.value,
            "requests": fleet.asked,
            "faults": _counts(seen),
            "load": round(os.getloadavg()[0], 1),
        }
    )
    return bool(seen)


def _counts(faults) -> dict[str, int]:
    counts: dict[str, int] = {}
    for each in faults:
        counts[each.kind] = counts.get(each.kind, 0) + 1
    return counts


def _print(line: dict) -> None:
    print(msgspec.json.encode(line).decode(), flush=True)


if __name__ == "__main__":
    app.run(main)
