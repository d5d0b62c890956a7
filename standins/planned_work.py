"""Planned maintenance of a running fleet, with operations drawn from a seed.

Hosts are shut down and restarted, settings are reloaded, and new configurations are published.
Operations may overlap, but a minimum number of hosts serves at any time.
"""

import random
import signal
import socket
import time
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent import event

from standins import child, fleet, soak_configuration, soak_stalls
from verbenadrum.daemon import sockets
from verbenadrum.utils import registry

__all__ = ["HostProcess", "PlannedWork", "Shutdown", "Step", "draw_steps"]

# At any time at least this many hosts are neither shut down nor restarted.
_MIN_SERVING_HOSTS = 2
_STEP_GAP_S = (0.1, 0.9)
_RESTART_PAUSE_S = (0.0, 0.3)
_CHECK_INTERVAL_S = 0.005
_SERIES_GAP_S = (0.02, 0.4)
_START_TIMEOUT_S = 20.0
_IDLE_TIMEOUTS_MS = (300.0, 1_000.0, 3_000.0, soak_configuration.INITIAL_IDLE_TIMEOUT_MS)
_ROUTE_TIMEOUTS_MS = (1_500.0, 3_000.0, soak_configuration.INITIAL_ROUTE_TIMEOUT_MS)
_SERVICE_WEIGHTS = (0.2, 0.5, 1.0, 2.0)


class Shutdown(msgspec.Struct, frozen=True, kw_only=True):
    """Graceful shutdown of the hosts, in milliseconds; see `verbenadrum.settings.types`.

    A host that gets SIGTERM accepts connections for another ``linger_ms``, refuses requests still
    in flight ``margin_ms`` before ``limit_ms``, and exits by ``limit_ms``, when it is killed.
    """

    linger_ms: float = 600.0
    limit_ms: float = 2_000.0
    margin_ms: float = 500.0

    @property
    def cutoff_ms(self) -> float:
        """Time after SIGTERM at which requests still in flight are refused."""
        return self.limit_ms - self.margin_ms

    @property
    def listening_ms(self) -> float:
        """Time after SIGTERM for which a host accepts connections."""
        return min(self.linger_ms, self.cutoff_ms / 2.0)

    @property
    def table(self) -> str:
        """``[shutdown]`` table of the settings file, as TOML."""
        lines = [f"{name} = {getattr(self, name)}" for name in self.__struct_fields__]
        return "\n".join(["[shutdown]", *lines])


class HostProcess(msgspec.Struct, kw_only=True, eq=False):
    """One process of a host, and the signals sent to it.

    Times are milliseconds since the Unix epoch; a time that has not been reached is 0.

    Attributes
    ----------
    number : int
        Position among the processes of the host, from 1.
    signals_ms : list of float
        When each SIGTERM was sent.
    exit_code : int or None
        Exit code after the shutdown; None before, and if the process had to be killed.
    killed_ms : float
        When the process was killed by SIGKILL, as an unplanned fault.
    limit_kill_ms : float
        When the process was killed by SIGKILL because it still ran at its limit.
    stalls : list of Stall
        When the process was not scheduled.
    sigterm_sent : Event
        Set when the first SIGTERM is sent.
    """

    host: str
    number: int
    child_process: child.Child
    started_ms: float
    signals_ms: list[float] = msgspec.field(default_factory=list)
    ended_ms: float = 0.0
    exit_code: int | None = None
    killed_ms: float = 0.0
    limit_kill_ms: float = 0.0
    stalls: list[soak_stalls.Stall] = msgspec.field(default_factory=list)
    sigterm_sent: event.Event = msgspec.field(default_factory=event.Event)

    @property
    def sigterm_ms(self) -> float:
        """Time of the first SIGTERM, or 0 if none was sent."""
        return self.signals_ms[0] if self.signals_ms else 0.0

    @property
    def sigterm_stall(self) -> soak_stalls.Stall | None:
        """Stall during which the first SIGTERM was sent, or None."""
        sent_ms = self.sigterm_ms
        found = (stall for stall in self.stalls if stall.begun_ms <= sent_ms <= stall.ended_ms)
        return next(found, None)


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One operation of planned work.

    Attributes
    ----------
    at_s : float
        Time of the operation in seconds from the start of the run.
    action : str
        Registered name of the operation.
    hosts : tuple of str
        All hosts, in the order in which they are considered.
    random_fraction : float
        Random number from 0 to 1, from which the operation derives a delay or another value.
    """

    at_s: float
    action: str
    hosts: tuple[str, ...]
    random_fraction: float


_Action = Callable[["PlannedWork", Step], None]
actions: registry.Registry[_Action] = registry.Registry(kind="work")
# Apart from the others, whose draws would change with their number.
many_actions: registry.Registry[_Action] = registry.Registry(kind="work of many hosts")


def draw_steps(
    rng: random.Random, hosts: list[str], seconds: float, *, many: bool = False
) -> Iterator[Step]:
    """Yield steps at random times, in order, until a run of ``seconds`` ends.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    hosts : list of str
        All hosts.
    seconds : float
        Length of the run.
    many : bool
        Whether one step in three ends many hosts.
    """
    names = list(actions)
    if many:
        many_names = list(many_actions)
        names += many_names * (len(names) // 2 // len(many_names))
    at_s = rng.uniform(*_STEP_GAP_S)
    while at_s < seconds:
        yield Step(
            at_s=at_s,
            action=rng.choice(names),
            hosts=tuple(rng.sample(hosts, len(hosts))),
            random_fraction=rng.uniform(0.0, 1.0),
        )
        at_s += rng.uniform(*_STEP_GAP_S)


class PlannedWork:
    """Runs the operations of steps, and records each host process.

    Parameters
    ----------
    running : Fleet
        The running fleet, with its servers and hosts started.
    shutdown : Shutdown
        Shutdown settings of the hosts.
    rng : random.Random
        Source of random numbers.
    stall_rng : random.Random or None
        Source of the stalls of hosts that are shut down; None for no stalls.

    Attributes
    ----------
    processes : list of HostProcess
        Every host process, in the order of the starts.
    configurations : Configurations
        Published configurations.
    performed : list of str
        Names of the operations performed, one entry for each host or publication.
    faults : list of str
        Failures of the fleet that concern no single request.
    """

    def __init__(
        self,
        *,
        running: fleet.Fleet,
        shutdown: Shutdown,
        rng: random.Random,
        stall_rng: random.Random | None = None,
    ) -> None:
        self.fleet = running
        self.shutdown = shutdown
        self.processes: list[HostProcess] = []
        self.configurations = soak_configuration.Configurations(running=running)
        self.performed: list[str] = []
        self.faults: list[str] = []
        self._rng = rng
        self._stall_rng = stall_rng
        self._current_processes: dict[str, HostProcess] = {}
        self._restarting_hosts: set[str] = set()
        self._greenlets: list[gevent.Greenlet] = []

    def newest_process(self, host: str) -> HostProcess:
        """Return the newest process of a host."""
        return self._current_processes[host]

    def record_process(self, host: str) -> HostProcess:
        """Record and return the process that the fleet has just started for a host."""
        self._current_processes[host] = HostProcess(
            host=host,
            number=sum(process.host == host for process in self.processes) + 1,
            child_process=self.fleet.process(host),
            started_ms=now_ms(),
        )
        self.processes.append(self._current_processes[host])
        return self._current_processes[host]

    def run(self, steps: Iterator[Step]) -> None:
        """Run steps at their times, and wait until every host is ready again."""
        start_s = time.monotonic()
        for step in steps:
            gevent.sleep(max(0.0, start_s + step.at_s - time.monotonic()))
            owner = many_actions if step.action in many_actions else actions
            owner.get(step.action)(self, step)
        self.wait()

    def wait(self) -> None:
        """Wait until all operations are done and every host is ready.

        A host that does not become ready is added to ``faults``.
        """
        while self._greenlets:
            # A delayed part of a step may append further greenlets.
            self._greenlets.pop().join()
        for host in self.fleet.hosts:
            try:
                self.fleet.wait_ready(host)
            except child.ChildError as error:
                self.faults.append(f"(g) {host} does not serve after the last work: {error}")

    def publish_change(self, step: Step, **fields: object) -> None:
        """Publish a configuration in which the given fields of `Publication` are changed."""
        self.configurations.publish_change(**fields)
        self.performed.append(step.action)

    def choose_hosts(self, step: Step, count: int) -> list[str]:
        """Return ``count`` hosts to shut down, or none if too few others would still serve."""
        free = [host for host in step.hosts if host not in self._restarting_hosts]
        return free[:count] if len(free) >= count + _MIN_SERVING_HOSTS else []

    def choose_most_hosts(self, step: Step) -> list[str]:
        """Return all hosts to shut down that may be, so that the minimum still serves."""
        free = [host for host in step.hosts if host not in self._restarting_hosts]
        return free[: max(0, len(free) - _MIN_SERVING_HOSTS)]

    def spawn_series(self, step: Step) -> None:
        """Shut down all hosts in the background, each as soon as enough others serve."""
        self._greenlets.append(gevent.spawn(self._shut_down_in_series, step))

    def spawn_shutdown(
        self, step: Step, host: str, *, second_signal_s: float = -1.0, after_listen_s: float = -1.0
    ) -> None:
        """Shut down and restart a host in the background.

        Parameters
        ----------
        step : Step
            Step that the operation belongs to.
        host : str
            Name of the host.
        second_signal_s : float
            Time from the first SIGTERM to a second one; none is sent if negative.
        after_listen_s : float
            Time from the first accepted connection of the restarted host to a SIGTERM, after
            which it is restarted once more; none is sent if negative.
        """
        self._restarting_hosts.add(host)
        self.performed.append(step.action)
        self._greenlets.append(
            gevent.spawn(self._shut_down_and_restart, host, second_signal_s, after_listen_s)
        )

    def kill_and_restart(self, host: str) -> bool:
        """Kill a host that is not shut down, and start it again at once; wait until it is ready.

        Returns
        -------
        bool
            False if too few others would serve, or if the host is shut down.
        """
        others = len(self.fleet.hosts) - len(self._restarting_hosts)
        if host in self._restarting_hosts or others <= _MIN_SERVING_HOSTS:
            return False
        self._restarting_hosts.add(host)
        self.performed.append("kill")
        self._greenlets.append(gevent.spawn(self._kill_and_restart, host))
        return True

    def _shut_down_in_series(self, step: Step) -> None:
        for host in step.hosts:
            while host in self._restarting_hosts or not self.choose_hosts(step, 1):
                gevent.sleep(_CHECK_INTERVAL_S)
            self.spawn_shutdown(step, host)
            gevent.sleep(self._rng.uniform(*_SERIES_GAP_S))

    def _kill_and_restart(self, host: str) -> None:
        process = self.newest_process(host)
        process.killed_ms = now_ms()
        process.child_process.send_signal(signal.SIGKILL)
        process.child_process.kill()
        process.ended_ms = now_ms()
        self.fleet.restart_host(host)
        self.record_process(host)
        try:
            self.fleet.wait_ready(host)
        except child.ChildError as error:
            self.faults.append(f"(g) {error}")
        self._restarting_hosts.discard(host)

    def spawn_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run a delayed part of a step in the background."""
        self._greenlets.append(gevent.spawn(_run_after, delay_s, action))

    def reload(self, step: Step, host: str) -> None:
        """Signal a host to reload its settings, also during its shutdown.

        A host that has exited or accepts no connection is left out.
        """
        self.performed.append(step.action)
        if self.newest_process(host).exit_code is None and self._accepts_connections(host):
            self.fleet.reload_host(host)

    def _shut_down_and_restart(
        self, host: str, second_signal_s: float, after_listen_s: float
    ) -> None:
        self._shut_down(self.newest_process(host), second_signal_s)
        self._restart(host)
        if after_listen_s >= 0:
            self._wait_until_listening(host)
            gevent.sleep(after_listen_s)
            self._shut_down(self.newest_process(host), -1.0)
            self._restart(host)
        try:
            self.fleet.wait_ready(host)
        except child.ChildError as error:
            self.faults.append(f"(g) {error}")
        self._restarting_hosts.discard(host)

    def _shut_down(self, process: HostProcess, second_signal_s: float) -> None:
        gevent.sleep(self._spawn_stalls(process) / 1000.0)
        self._send_sigterm(process)
        if second_signal_s >= 0:
            gevent.spawn_later(second_signal_s, self._send_sigterm, process)
        kill_at_ms = now_ms() + self.shutdown.limit_ms
        while process.child_process.exit_code is None and now_ms() < kill_at_ms:
            gevent.sleep(_CHECK_INTERVAL_S)
        process.exit_code = process.child_process.exit_code
        if process.exit_code is None:
            process.limit_kill_ms = now_ms()
        process.child_process.kill()
        process.ended_ms = now_ms()

    def _spawn_stalls(self, process: HostProcess) -> float:
        """Start the stalls of a shutdown; return the milliseconds from now to its SIGTERM."""
        if self._stall_rng is None:
            return 0.0
        plans = soak_stalls.draw_plans(
            self._stall_rng,
            linger_ms=self.shutdown.listening_ms,
            cutoff_ms=self.shutdown.cutoff_ms,
            limit_ms=self.shutdown.limit_ms,
        )
        lead_ms = max([0.0, *(-plan.at_ms for plan in plans)])
        for plan in plans:
            delay_s = (lead_ms + plan.at_ms) / 1000.0
            self._greenlets.append(gevent.spawn(self._stall, process, delay_s, plan.duration_ms))
        return lead_ms

    def _stall(self, process: HostProcess, delay_s: float, duration_ms: float) -> None:
        gevent.sleep(delay_s)
        if process.child_process.exit_code is not None:
            return
        process.child_process.send_signal(signal.SIGSTOP)
        stall = soak_stalls.Stall(begun_ms=now_ms())
        process.stalls.append(stall)
        gevent.sleep(duration_ms / 1000.0)
        stall.ended_ms = now_ms()
        process.child_process.send_signal(signal.SIGCONT)

    def _send_sigterm(self, process: HostProcess) -> None:
        if process.child_process.exit_code is None:
            process.signals_ms.append(now_ms())
            process.child_process.send_signal(signal.SIGTERM)
            process.sigterm_sent.set()

    def _restart(self, host: str) -> None:
        gevent.sleep(self._rng.uniform(*_RESTART_PAUSE_S))
        self.fleet.restart_host(host)
        self.record_process(host)

    def _wait_until_listening(self, host: str) -> None:
        give_up_s = time.monotonic() + _START_TIMEOUT_S
        while not self._accepts_connections(host) and time.monotonic() < give_up_s:
            gevent.sleep(_CHECK_INTERVAL_S)

    def _accepts_connections(self, host: str) -> bool:
        address = sockets.split_address(self.fleet.caller_address(host))
        try:
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            return False
        return True


@actions.register("end")
def _shut_down_one(work: PlannedWork, step: Step) -> None:
    for host in work.choose_hosts(step, 1):
        work.spawn_shutdown(step, host)


@actions.register("end two at once")
def _shut_down_two(work: PlannedWork, step: Step) -> None:
    for host in work.choose_hosts(step, 2):
        work.spawn_shutdown(step, host)


@actions.register("end during another's end")
def _shut_down_during_shutdown(work: PlannedWork, step: Step) -> None:
    _shut_down_one(work, step)
    work.spawn_later(
        step.random_fraction * work.shutdown.limit_ms / 1000.0, lambda: _shut_down_one(work, step)
    )


@actions.register("end soon after a start")
def _shut_down_after_start(work: PlannedWork, step: Step) -> None:
    for host in work.choose_hosts(step, 1):
        work.spawn_shutdown(step, host, after_listen_s=step.random_fraction / 2.0)


@actions.register("second signal")
def _signal_twice(work: PlannedWork, step: Step) -> None:
    for host in work.choose_hosts(step, 1):
        work.spawn_shutdown(step, host, second_signal_s=step.random_fraction)


@actions.register("reload")
def _reload(work: PlannedWork, step: Step) -> None:
    work.reload(step, step.hosts[0])


@actions.register("reload all in turn")
def _reload_all(work: PlannedWork, step: Step) -> None:
    for number, host in enumerate(step.hosts):
        work.spawn_later(
            number * step.random_fraction / 5.0, lambda host=host: work.reload(step, host)
        )


@actions.register("idle time")
def _change_idle_time(work: PlannedWork, step: Step) -> None:
    work.publish_change(step, idle_timeout_ms=_choose_value(step, _IDLE_TIMEOUTS_MS))


@actions.register("route timeout")
def _change_route_timeout(work: PlannedWork, step: Step) -> None:
    work.publish_change(step, timeout_ms=_choose_value(step, _ROUTE_TIMEOUTS_MS))


@actions.register("weights")
def _change_weights(work: PlannedWork, step: Step) -> None:
    work.publish_change(step, weights=(_choose_value(step, _SERVICE_WEIGHTS), 1.0))


@many_actions.register("end all but the minimum")
def _shut_down_most(work: PlannedWork, step: Step) -> None:
    for host in work.choose_most_hosts(step):
        work.spawn_shutdown(step, host)


@many_actions.register("end all in series")
def _shut_down_all_in_series(work: PlannedWork, step: Step) -> None:
    work.spawn_series(step)


def _choose_value(step: Step, values: tuple[float, ...]) -> float:
    return values[int(step.random_fraction * len(values)) % len(values)]


def _run_after(delay_s: float, action: Callable[[], None]) -> None:
    gevent.sleep(delay_s)
    action()


def now_ms() -> float:
    """Return the time in milliseconds since the Unix epoch."""
    return time.time() * 1000.0
