"""What an event of a scenario does, filed by the name of its grammar rule."""

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
def _load(scene: stage.Stage, load: caller.Load) -> None:
    gevent.spawn(scene.begin_load(load).run)


@actions.register("misbehave")
def _misbehave(
    scene: stage.Stage, server: str, fault: behaviours.Fault, lasting_ms: float | None
) -> None:
    scene.set_fault(server, fault)
    if lasting_ms is not None:
        gevent.spawn_later(lasting_ms / 1000.0, scene.clear_fault, server, fault.name)


@actions.register("recover")
def _recover(scene: stage.Stage, server: str) -> None:
    scene.clear_fault(server)


@actions.register("leave")
def _leave(scene: stage.Stage, server: str) -> None:
    scene.leaving.add(server)
    scene.publish_pool(scene.service_of(server))


@actions.register("kill")
def _kill(scene: stage.Stage, name: str) -> None:
    if name in scene.fleet.hosts:
        scene.save_decisions(name)
    scene.fleet.send_signal(name, signal.SIGKILL)


@actions.register("freeze")
def _freeze(scene: stage.Stage, name: str) -> None:
    scene.fleet.send_signal(name, signal.SIGSTOP)


@actions.register("wake")
def _wake(scene: stage.Stage, name: str) -> None:
    scene.fleet.send_signal(name, signal.SIGCONT)


@actions.register("terminate")
def _terminate(scene: stage.Stage, name: str) -> None:
    """Shut a host down as an operator does: listed as leaving, no new callers, SIGTERM."""
    scene.closed.add(name)
    scene.fleet.publish_host_list(unlisted=scene.unlisted, leaving=scene.closed)
    scene.save_decisions(name)
    scene.fleet.send_signal(name, signal.SIGTERM)


@actions.register("start_host")
def _start_host(scene: stage.Stage, name: str, data_centre: str, region: str) -> None:
    spec = fleet.HostSpec(host=name, data_centre=data_centre, region=region)
    scene.scenario.hosts.append(spec)
    scene.fleet.start_hosts([spec])


@actions.register("unlist")
def _unlist(scene: stage.Stage, name: str) -> None:
    scene.unlisted.add(name)
    scene.closed.add(name)
    scene.fleet.publish_host_list(unlisted=scene.unlisted)


@actions.register("cut_one_way")
def _cut_one_way(scene: stage.Stage, source: str, target: str) -> None:
    _set_rule(scene, source, target, swallow=True)


@actions.register("cut_both_ways")
def _cut_both_ways(scene: stage.Stage, one: str, other: str) -> None:
    _set_rule(scene, one, other, swallow=True)
    _set_rule(scene, other, one, swallow=True)


@actions.register("slow")
def _slow(scene: stage.Stage, one: str, other: str, delay_ms: float, mbit: float) -> None:
    fields = {"delay_ms": delay_ms, "kbit_per_s": mbit * _KBIT_PER_MBIT}
    _set_rule(scene, one, other, **fields)
    _set_rule(scene, other, one, **fields)


@actions.register("heal_network")
def _heal_network(scene: stage.Stage) -> None:
    scene.fleet.set_rule(None)


@actions.register("fault_platform")
def _fault_platform(scene: stage.Stage, kind: str, readers: tuple[str, ...] | None) -> None:
    for reader in readers or ("*",):
        scene.fleet.set_platform_fault(platform.ReaderFault(reader=reader, **{kind: True}))


@actions.register("heal_platform")
def _heal_platform(scene: stage.Stage) -> None:
    scene.fleet.set_platform_fault(None)


@actions.register("withdraw_key")
def _withdraw_key(scene: stage.Stage, key: str) -> None:
    scene.fleet.publish("key", key, None)


@actions.register("publish_workspace")
def _publish_workspace(scene: stage.Stage, name: str, limits: tuple[float, float]) -> None:
    rate, burst = limits
    workspace = language.Workspace(name=name, rate_per_s=rate, burst=burst)
    scene.scenario.workspaces.append(workspace)
    scene.publish_workspace(workspace)


def _set_rule(scene: stage.Stage, source: str, target: str, **fields: float) -> None:
    scene.fleet.set_rule(
        fault_proxy.Rule(source=scene.members(source), target=scene.members(target), **fields)
    )
