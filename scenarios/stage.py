"""Processes, loads and observations of one running scenario."""

import time
from collections.abc import Iterator

import gevent
import msgspec

from scenarios import language
from standins import behaviours, caller, fleet
from verbenadrum.decisions import ring
from verbenadrum.entry import keys

__all__ = ["SettleError", "Stage"]

_SETTLE_TRIES = 80
_SETTLE_PAUSE_S = 0.25
_PROBE_PATH = "/health"
_ANY = "any"


class SettleError(Exception):
    """A fleet that did not come to answer in a bounded number of tries."""


class Stage:
    """One scenario's fleet, and what was seen of it.

    Parameters
    ----------
    scenario : Scenario
        What is run.
    running : Fleet
        The processes, with platform and proxy started.

    Attributes
    ----------
    loads : dict of str to LoadRun
        Loads begun so far, by name.
    leaving : set of str
        Servers that are published as leaving.
    unlisted, closed : set of str
        Hosts that the platform no longer lists, and those that its balancer sends nothing to.
    """

    def __init__(self, *, scenario: language.Scenario, running: fleet.Fleet) -> None:
        self.scenario = scenario
        self.fleet = running
        self.loads: dict[str, caller.LoadRun] = {}
        self.leaving: set[str] = set()
        self.unlisted: set[str] = set()
        self.closed: set[str] = set()
        self.begun_ms = 0.0
        self.settle_rows: list[caller.Row] = []
        self._faults: dict[str, dict[str, behaviours.Fault]] = {}
        self._saved: dict[str, list[ring.Decision]] = {}

    def prepare(self) -> None:
        """Start servers and hosts, publish the records, and wait for whole answers."""
        self.fleet.start_servers(self.scenario.servers)
        self._publish_records()
        self.fleet.start_hosts(self.scenario.hosts)
        centres = {(spec.region, spec.data_centre): 1.0 for spec in self.scenario.hosts}
        self.fleet.publish_shares(centres)
        for workspace in self.scenario.workspaces:
            self._settle_all(workspace, method="GET")
        self.fleet.enable_claims()
        self._settle_all(self.scenario.workspaces[0], method="POST")
        self.begun_ms = time.time() * 1000.0

    def publish_pool(self, service: str) -> None:
        """Publish a service's pool with the servers' present states."""
        entries = self.fleet.pool_entries(service, leaving=self.leaving)
        self.fleet.publish("pool", service, {"servers": entries, "probe_path": _PROBE_PATH})

    def publish_workspace(self, workspace: language.Workspace) -> None:
        """Publish a workspace's limits."""
        spec = {"rate_per_s": workspace.rate_per_s, "burst": workspace.burst}
        self.fleet.publish("workspace", workspace.name, spec)

    def service_of(self, server: str) -> str:
        """Return the service that a server belongs to."""
        return next(spec.service for spec in self.scenario.servers if spec.server == server)

    def members(self, name: str) -> tuple[str, ...]:
        """Return the hosts and servers that a host, server, data centre or region names."""
        regions = {spec.data_centre: spec.region for spec in self.scenario.hosts}
        found = [
            spec.host
            for spec in self.scenario.hosts
            if name in (spec.host, spec.data_centre, spec.region)
        ]
        found += [
            spec.server
            for spec in self.scenario.servers
            if name in (spec.server, spec.data_centre, regions.get(spec.data_centre))
        ]
        if not found:
            raise language.ScenarioError(f"nothing is called {name}")
        return tuple(found)

    def begin_load(self, load: caller.Load) -> caller.LoadRun:
        """Return a load whose targets are addresses, and file it by its name."""
        hosts = self.fleet.hosts if load.targets == (_ANY,) else load.targets
        addresses = tuple(self.fleet.caller_address(host) for host in hosts)
        run = caller.LoadRun(
            load=msgspec.structs.replace(load, targets=addresses),
            avoided=lambda: {self.fleet.caller_address(host) for host in self.closed},
        )
        self.loads[load.name] = run
        return run

    def set_fault(self, server: str, fault: behaviours.Fault) -> None:
        """Add a fault to a server's, in place of an earlier one of the same name."""
        faults = self._faults.setdefault(server, {})
        faults[fault.name] = fault
        self.fleet.set_server_faults(server, list(faults.values()))

    def clear_fault(self, server: str, name: str = "") -> None:
        """Remove one fault of a server, or all of them."""
        faults = self._faults.setdefault(server, {})
        self._faults[server] = {key: faults[key] for key in faults if name not in ("", key)}
        self.fleet.set_server_faults(server, list(self._faults[server].values()))

    def save_decisions(self, host: str) -> None:
        """Keep a host's decisions before it ends."""
        self._saved[host] = self.fleet.decisions(host)

    def decisions(self) -> Iterator[ring.Decision]:
        """Yield the decisions of every host, those of ended hosts as last saved."""
        for host in self.fleet.hosts:
            yield from self.fleet.decisions(host) or self._saved.get(host, [])

    def _publish_records(self) -> None:
        for service in {spec.service: None for spec in self.scenario.servers}:
            self.publish_pool(service)
        for route in self.scenario.routes:
            spec = {
                "path_prefix": route.path,
                "service": route.service,
                "public": route.public,
                "timeout_ms": route.timeout_ms,
            }
            self.fleet.publish("route", route.path.strip("/") or "root", spec)
        for workspace in self.scenario.workspaces:
            self.publish_workspace(workspace)
            for key in workspace.keys:
                spec = {"workspace": workspace.name, "sha256": keys.hash_key(key)}
                self.fleet.publish("key", key, spec)

    def _settle_all(self, workspace: language.Workspace, *, method: str) -> None:
        """Ask through every host until each gives a whole answer."""
        waits = [
            gevent.spawn(self._settle, host, workspace.keys[0], method) for host in self.fleet.hosts
        ]
        gevent.joinall(waits)
        if not all(wait.value for wait in waits):
            newest = self.settle_rows[-1]
            raise SettleError(f"a host has no whole answer for {workspace.name}: {newest}")

    def _settle(self, host: str, key: str, method: str) -> bool:
        """Ask through one host until it gives a whole answer, a bounded number of times."""
        load = caller.Load(
            name=f"settle-{host}",
            targets=(self.fleet.caller_address(host),),
            keys=(key,),
            rate_per_s=1.0 / _SETTLE_PAUSE_S,
            duration_ms=1000.0 * _SETTLE_PAUSE_S,
            method=method,
            path=self.scenario.routes[0].path,
            keyed=method == "POST",
        )
        for _ in range(_SETTLE_TRIES):
            run = caller.LoadRun(load=load)
            run.run()
            self.settle_rows += run.rows
            if run.rows[-1].verdict is caller.Verdict.WHOLE:
                return True
            gevent.sleep(_SETTLE_PAUSE_S)
        return False
