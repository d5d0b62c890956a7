"""Actions that carry out the events of a scenario, registered by the name of their grammar rule."""

import signal
from collections.abc import Callable

import gevent

from scenarios import language, stage
from standins import behaviours, caller, fault_proxy, fleet, platform
from verbenadrum.utils import registry

__all__ = ["actions"]

_KBIT_PER_MBIT = 1000.0

actions: registry.Registry[Callable[..., None]] = registry.Registry(kind="action")


@actions.register("load")
def _load(scenario_run: stage.ScenarioRun, load: caller.Load) -> None:
    gevent.spawn(scenario_run.add_load(load).run)


@actions.register("misbehave")
def _misbehave(
    scenario_run: stage.ScenarioRun, server: str, fault: behaviours.Fault, duration_ms: float | None
) -> None:
    scenario_run.set_fault(server, fault)
    if duration_ms is not None:
        gevent.spawn_later(duration_ms / 1000.0, scenario_run.clear_fault, server, fault.name)


@actions.register("recover")
def _recover(scenario_run: stage.ScenarioRun, server: str) -> None:
    scenario_run.clear_fault(server)


@actions.register("leave")
def _leave(scenario_run: stage.ScenarioRun, server: str) -> None:
    scenario_run.leaving_servers.add(server)
    scenario_run.publish_pool(scenario_run.service_of(server))


@actions.register("kill")
def _kill(scenario_run: stage.ScenarioRun, name: str) -> None:
    if name in scenario_run.fleet.hosts:
        scenario_run.save_decisions(name)
    scenario_run.fleet.send_signal(name, signal.SIGKILL)


@actions.register("freeze")
def _freeze(scenario_run: stage.ScenarioRun, name: str) -> None:
    scenario_run.fleet.send_signal(name, signal.SIGSTOP)


@actions.register("wake")
def _wake(scenario_run: stage.ScenarioRun, name: str) -> None:
    scenario_run.fleet.send_signal(name, signal.SIGCONT)


@actions.register("terminate")
def _terminate(scenario_run: stage.ScenarioRun, name: str) -> None:
    """Shut a host down in an orderly way, as an operator does.

    The host is listed as leaving, the load balancer sends it no new requests, and it gets SIGTERM.
    """
    scenario_run.out_of_rotation.add(name)
    scenario_run.fleet.publish_host_list(
        unlisted=scenario_run.unlisted_hosts, leaving=scenario_run.out_of_rotation
    )
    scenario_run.save_decisions(name)
    scenario_run.fleet.send_signal(name, signal.SIGTERM)


@actions.register("start_host")
def _start_host(scenario_run: stage.ScenarioRun, name: str, data_centre: str, region: str) -> None:
    spec = fleet.HostSpec(host=name, data_centre=data_centre, region=region)
    scenario_run.scenario.hosts.append(spec)
    scenario_run.fleet.start_hosts([spec])


@actions.register("unlist")
def _unlist(scenario_run: stage.ScenarioRun, name: str) -> None:
    scenario_run.unlisted_hosts.add(name)
    scenario_run.out_of_rotation.add(name)
    scenario_run.fleet.publish_host_list(unlisted=scenario_run.unlisted_hosts)


@actions.register("cut_one_way")
def _cut_one_way(scenario_run: stage.ScenarioRun, source: str, target: str) -> None:
    _set_rule(scenario_run, source, target, swallow=True)


@actions.register("cut_both_ways")
def _cut_both_ways(scenario_run: stage.ScenarioRun, first: str, second: str) -> None:
    _set_rule(scenario_run, first, second, swallow=True)
    _set_rule(scenario_run, second, first, swallow=True)


@actions.register("slow")
def _slow(
    scenario_run: stage.ScenarioRun, first: str, second: str, delay_ms: float, mbit: float
) -> None:
    fields = {"delay_ms": delay_ms, "kbit_per_s": mbit * _KBIT_PER_MBIT}
    _set_rule(scenario_run, first, second, **fields)
    _set_rule(scenario_run, second, first, **fields)


@actions.register("heal_network")
def _heal_network(scenario_run: stage.ScenarioRun) -> None:
    scenario_run.fleet.set_rule(None)


@actions.register("fault_platform")
def _fault_platform(
    scenario_run: stage.ScenarioRun, kind: str, readers: tuple[str, ...] | None
) -> None:
    for reader in readers or ("*",):
        scenario_run.fleet.set_platform_fault(platform.ReaderFault(reader=reader, **{kind: True}))


@actions.register("heal_platform")
def _heal_platform(scenario_run: stage.ScenarioRun) -> None:
    scenario_run.fleet.set_platform_fault(None)


@actions.register("copy_platform")
def _copy_platform(scenario_run: stage.ScenarioRun) -> None:
    scenario_run.fleet.copy_platform()


@actions.register("return_platform")
def _return_platform(scenario_run: stage.ScenarioRun, away_ms: float | None) -> None:
    scenario_run.fleet.stop_platform()
    gevent.sleep((away_ms or 0.0) / 1000.0)
    scenario_run.fleet.return_platform()


@actions.register("publish_lost")
def _publish_lost(scenario_run: stage.ScenarioRun) -> None:
    scenario_run.fleet.publish_lost()


@actions.register("withdraw_key")
def _withdraw_key(scenario_run: stage.ScenarioRun, key: str) -> None:
    scenario_run.fleet.publish("key", key, None)


@actions.register("publish_workspace")
def _publish_workspace(
    scenario_run: stage.ScenarioRun, name: str, limits: tuple[float, float]
) -> None:
    rate, burst = limits
    workspace = language.Workspace(name=name, rate_per_s=rate, burst=burst)
    scenario_run.scenario.workspaces.append(workspace)
    scenario_run.publish_workspace(workspace)


@actions.register("publish_route")
def _publish_route(scenario_run: stage.ScenarioRun, route: language.Route) -> None:
    scenario_run.publish_route(route)


def _set_rule(scenario_run: stage.ScenarioRun, source: str, target: str, **fields: float) -> None:
    scenario_run.fleet.set_rule(
        fault_proxy.FaultRule(
            source=scenario_run.resolve_name(source),
            target=scenario_run.resolve_name(target),
            **fields,
        )
    )
