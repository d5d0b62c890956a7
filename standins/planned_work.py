"""Planned work on a running fleet: ends and restarts of hosts, reloads, new configurations.

The work is drawn from a seed. Several pieces of it overlap, but some hosts always serve.
"""

import random
import signal
import socket
import time
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent import event

from standins import child, fleet, soak_configuration
from verbenadrum.daemon import sockets
from verbenadrum.utils import registry

__all__ = ["Life", "PlannedWork", "Shutdown", "Step", "draw_steps"]

# How many hosts are left alone at any time.
_MIN_SERVING = 2
_STEP_GAP_S = (0.1, 0.9)
_RESTART_PAUSE_S = (0.0, 0.3)
_WATCH_INTERVAL_S = 0.005
# How much longer than its limit a host is watched before it is killed.
_OVERTIME_S = 3.0
_START_TIMEOUT_S = 20.0
_IDLE_TIMES_MS = (300.0, 1_000.0, 3_000.0, soak_configuration.FIRST_IDLE_MS)
_ROUTE_TIMEOUTS_MS = (1_500.0, 3_000.0, soak_configuration.FIRST_TIMEOUT_MS)
_WEIGHTS = (0.2, 0.5, 1.0, 2.0)


class Shutdown(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a host's end, in milliseconds."""

    linger_ms: float = 600.0
    limit_ms: float = 2_000.0
    margin_ms: float = 500.0

    @property
    def table(self) -> str:
        """TOML table of the settings file."""
        lines = [f"{name} = {getattr(self, name)}" for name in self.__struct_fields__]
        return "\n".join(["[shutdown]", *lines])


class Life(msgspec.Struct, kw_only=True, eq=False):
    """One run of a host's process; times are milliseconds since the epoch, 0 until they come."""

    host: str
    number: int
    process: child.Child
    started_ms: float
    signals_ms: list[float] = msgspec.field(default_factory=list)
    ended_ms: float = 0.0
    exit_code: int | None = None
    told: event.Event = msgspec.field(default_factory=event.Event)

    @property
    def told_ms(self) -> float:
        """When the first SIGTERM was sent, or 0."""
        return self.signals_ms[0] if self.signals_ms else 0.0


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of planned work: what, when, on which hosts first, and how long to its next part."""

    at_s: float
    action: str
    hosts: tuple[str, ...]
    delay_s: float


actions: registry.Registry[Callable[["PlannedWork", Step], None]] = registry.Registry(kind="work")


def draw_steps(rng: random.Random, hosts: list[str], seconds: float) -> Iterator[Step]:
    """Yield steps at random times of a run."""
    names = list(actions)
    at_s = rng.uniform(*_STEP_GAP_S)
    while at_s < seconds:
        yield Step(
            at_s=at_s,
            action=rng.choice(names),
            hosts=tuple(rng.sample(hosts, len(hosts))),
            delay_s=rng.uniform(0.0, 1.0),
        )
        at_s += rng.uniform(*_STEP_GAP_S)


class PlannedWork:
    """Carries out steps, and notes the life of each host process.

    Parameters
    ----------
    running : Fleet
        The processes, with servers and hosts started.
    shutdown : Shutdown
        How hosts end.
    rng : random.Random
        Source of random numbers.

    Attributes
    ----------
    lives : list of Life
        Every run of a host process.
    configurations : Configurations
        What was published.
    done : list of str
        Actions carried out.
    faults : list of str
        What went wrong besides requests.
    """

    def __init__(self, *, running: fleet.Fleet, shutdown: Shutdown, rng: random.Random) -> None:
        self.fleet = running
        self.shutdown = shutdown
        self.lives: list[Life] = []
        self.configurations = soak_configuration.Configurations(running=running)
        self.done: list[str] = []
        self.faults: list[str] = []
        self._rng = rng
        self._current: dict[str, Life] = {}
        self._busy: set[str] = set()
        self._greenlets: list[gevent.Greenlet] = []

    def life(self, host: str) -> Life:
        """Return the newest run of a host."""
        return self._current[host]

    def adopt(self, host: str) -> Life:
        """Note a process that the fleet has started."""
        self._current[host] = Life(
            host=host,
            number=sum(life.host == host for life in self.lives) + 1,
            process=self.fleet.process(host),
            started_ms=now_ms(),
        )
        self.lives.append(self._current[host])
        return self._current[host]

    def run(self, steps: Iterator[Step]) -> None:
        """Carry out steps at their times, and wait until every host serves again."""
        start_s = time.monotonic()
        for step in steps:
            gevent.sleep(max(0.0, start_s + step.at_s - time.monotonic()))
            actions.get(step.action)(self, step)
        while self._greenlets:
            # A later part of a step may add more work.
            self._greenlets.pop().join()
        for host in self.fleet.hosts:
            try:
                self.fleet.wait_ready(host)
            except child.ChildError as error:
                self.faults.append(f"(g) {host} does not serve after the last work: {error}")

    def change(self, step: Step, **fields: object) -> None:
        """Publish a configuration with other values."""
        self.configurations.change(**fields)
        self.done.append(step.action)

    def choose(self, step: Step, count: int) -> list[str]:
        """Return hosts to work on, or none where too few others would serve."""
        free = [host for host in step.hosts if host not in self._busy]
        return free[:count] if len(free) >= count + _MIN_SERVING else []

    def spawn_end(
        self, step: Step, host: str, *, again_s: float = -1.0, young_s: float = -1.0
    ) -> None:
        """End and restart a host in the background.

        A second SIGTERM follows after ``again_s`` seconds, and the restarted host gets one that
        many seconds after it listens, unless these are negative.
        """
        self._busy.add(host)
        self.done.append(step.action)
        self._greenlets.append(gevent.spawn(self._end_and_restart, host, again_s, young_s))

    def spawn_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Carry out a later part of a step."""
        self._greenlets.append(gevent.spawn(_after, delay_s, action))

    def reload(self, step: Step, host: str) -> None:
        """Tell a host to read its settings again, whether it ends or not."""
        self.done.append(step.action)
        if self.life(host).exit_code is None and self._listens(host):
            self.fleet.reload_host(host)

    def _end_and_restart(self, host: str, again_s: float, young_s: float) -> None:
        self._end(self.life(host), again_s)
        self._restart(host)
        if young_s >= 0:
            self._wait_listening(host)
            gevent.sleep(young_s)
            self._end(self.life(host), -1.0)
            self._restart(host)
        try:
            self.fleet.wait_ready(host)
        except child.ChildError as error:
            self.faults.append(f"(g) {error}")
        self._busy.discard(host)

    def _end(self, life: Life, again_s: float) -> None:
        self._signal(life)
        if again_s >= 0:
            gevent.spawn_later(again_s, self._signal, life)
        last_ms = now_ms() + self.shutdown.limit_ms + _OVERTIME_S * 1000.0
        while life.process.exit_code is None and now_ms() < last_ms:
            gevent.sleep(_WATCH_INTERVAL_S)
        life.ended_ms = now_ms()
        life.exit_code = life.process.exit_code
        life.process.kill()

    def _signal(self, life: Life) -> None:
        if life.process.exit_code is None:
            life.signals_ms.append(now_ms())
            life.process.send_signal(signal.SIGTERM)
            life.told.set()

    def _restart(self, host: str) -> None:
        gevent.sleep(self._rng.uniform(*_RESTART_PAUSE_S))
        self.fleet.restart_host(host)
        self.adopt(host)

    def _wait_listening(self, host: str) -> None:
        last_s = time.monotonic() + _START_TIMEOUT_S
        while not self._listens(host) and time.monotonic() < last_s:
            gevent.sleep(_WATCH_INTERVAL_S)

    def _listens(self, host: str) -> bool:
        address = sockets.split_address(self.fleet.caller_address(host))
        try:
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            return False
        return True


@actions.register("end")
def _end_one(work: PlannedWork, step: Step) -> None:
    for host in work.choose(step, 1):
        work.spawn_end(step, host)


@actions.register("end two at once")
def _end_two(work: PlannedWork, step: Step) -> None:
    for host in work.choose(step, 2):
        work.spawn_end(step, host)


@actions.register("end during another's end")
def _end_during(work: PlannedWork, step: Step) -> None:
    _end_one(work, step)
    work.spawn_later(step.delay_s * work.shutdown.limit_ms / 1000.0, lambda: _end_one(work, step))


@actions.register("end soon after a start")
def _end_young(work: PlannedWork, step: Step) -> None:
    for host in work.choose(step, 1):
        work.spawn_end(step, host, young_s=step.delay_s / 2.0)


@actions.register("second signal")
def _end_twice(work: PlannedWork, step: Step) -> None:
    for host in work.choose(step, 1):
        work.spawn_end(step, host, again_s=step.delay_s)


@actions.register("reload")
def _reload(work: PlannedWork, step: Step) -> None:
    work.reload(step, step.hosts[0])


@actions.register("reload all in turn")
def _reload_all(work: PlannedWork, step: Step) -> None:
    for number, host in enumerate(step.hosts):
        work.spawn_later(number * step.delay_s / 5.0, lambda host=host: work.reload(step, host))


@actions.register("idle time")
def _change_idle_time(work: PlannedWork, step: Step) -> None:
    work.change(step, idle_ms=_pick(step, _IDLE_TIMES_MS))


@actions.register("route timeout")
def _change_timeout(work: PlannedWork, step: Step) -> None:
    work.change(step, timeout_ms=_pick(step, _ROUTE_TIMEOUTS_MS))


@actions.register("weights")
def _change_weights(work: PlannedWork, step: Step) -> None:
    work.change(step, weights=(_pick(step, _WEIGHTS), 1.0))


def _pick(step: Step, values: tuple[float, ...]) -> float:
    return values[int(step.delay_s * len(values)) % len(values)]


def _after(delay_s: float, action: Callable[[], None]) -> None:
    gevent.sleep(delay_s)
    action()


def now_ms() -> float:
    """Return the time of day in milliseconds."""
    return time.time() * 1000.0
