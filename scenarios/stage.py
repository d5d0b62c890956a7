"""State of one running scenario: its fleet, its loads and the results so far."""

import time
from collections.abc import Iterator

import gevent
import msgspec

from scenarios import language
from standins import behaviours, caller, fleet
from verbenadrum.decisions import ring
from verbenadrum.entry import keys

__all__ = ["NotServingError", "ScenarioRun"]

_MAX_STARTUP_REQUESTS = 80
_STARTUP_REQUEST_INTERVAL_S = 0.25
_PROBE_PATH = "/health"
_ANY = "any"


class NotServingError(Exception):
    """Raised if a host gives no whole answer within a bounded number of requests after a start."""


class ScenarioRun:
    """One run of a scenario: its fleet, and the data that its checks need.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.
    running_fleet : Fleet
        Fleet whose platform and proxy have been started.

    Attributes
    ----------
    loads : dict of str to LoadRun
        Loads started so far, by name.
    leaving_servers : set of str
        Servers that the pool records declare as leaving.
    unlisted_hosts : set of str
        Hosts that are no longer in the platform's host list.
    out_of_rotation : set of str
        Hosts to which the load balancer before the hosts sends no new requests.
    start_ms : float
        Start of the events, in milliseconds since the Unix epoch.
    startup_rows : list of Row
        Results of the requests sent before the start of the events.
    """

    def __init__(self, *, scenario: language.Scenario, running_fleet: fleet.Fleet) -> None:
        self.scenario = scenario
        self.fleet = running_fleet
        self.loads: dict[str, caller.LoadRun] = {}
        self.leaving_servers: set[str] = set()
        self.unlisted_hosts: set[str] = set()
        self.out_of_rotation: set[str] = set()
        self.start_ms = 0.0
        self.startup_rows: list[caller.Row] = []
        self._server_faults: dict[str, dict[str, behaviours.Fault]] = {}
        self._saved_decisions: dict[str, list[ring.Decision]] = {}

    def prepare(self) -> None:
        """Start servers and hosts, publish the records, and wait until every host serves.

        Raises
        ------
        ChildError, CallError
            If a process exits, does not become ready in time, or cannot be called.
        NotServingError
            If a host gives no whole answer within a bounded number of requests.
        """
        self.fleet.start_servers(self.scenario.servers)
        self._publish_records()
        self.fleet.start_hosts(self.scenario.hosts)
        data_centres = {(spec.region, spec.data_centre): 1.0 for spec in self.scenario.hosts}
        self.fleet.publish_data_centre_weights(data_centres)
        for workspace in self.scenario.workspaces:
            self._wait_all_serving(workspace, method="GET")
        self.fleet.enable_claims()
        self._wait_all_serving(self.scenario.workspaces[0], method="POST")
        self.start_ms = time.time() * 1000.0

    def publish_pool(self, service: str) -> None:
        """Publish the pool record of a service, with the present state of each server."""
        entries = self.fleet.server_entries(service, leaving=self.leaving_servers)
        self.fleet.publish("pool", service, {"servers": entries, "probe_path": _PROBE_PATH})

    def publish_workspace(self, workspace: language.Workspace) -> None:
        """Publish the record of a workspace, with its rate and burst."""
        spec = {"rate_per_s": workspace.rate_per_s, "burst": workspace.burst}
        self.fleet.publish("workspace", workspace.name, spec)

    def publish_route(self, route: language.Route) -> None:
        """Publish the record of a route, which is named after its path."""
        spec = {
            "path_prefix": route.path,
            "service": route.service,
            "public": route.public,
            "timeout_ms": route.timeout_ms,
        }
        self.fleet.publish("route", route.path.strip("/") or "root", spec)

    def service_of(self, server: str) -> str:
        """Return the service of a server."""
        return next(spec.service for spec in self.scenario.servers if spec.server == server)

    def resolve_name(self, name: str) -> tuple[str, ...]:
        """Return the hosts and servers in a region or data centre, or the one of that name.

        Raises
        ------
        ScenarioError
            If there is none.
        """
        regions = {spec.data_centre: spec.region for spec in self.scenario.hosts}
        names = [
            spec.host
            for spec in self.scenario.hosts
            if name in (spec.host, spec.data_centre, spec.region)
        ]
        names += [
            spec.server
            for spec in self.scenario.servers
            if name in (spec.server, spec.data_centre, regions.get(spec.data_centre))
        ]
        if not names:
            raise language.ScenarioError(f"no host, server, data centre or region is named {name}")
        return tuple(names)

    def add_load(self, load: caller.Load) -> caller.LoadRun:
        """Return a run of a load, not started yet, and store it by the load's name.

        The names of the hosts in its targets are replaced by their addresses, and ``any`` by those
        of all hosts.
        """
        hosts = self.fleet.hosts if load.targets == (_ANY,) else load.targets
        addresses = tuple(self.fleet.caller_address(host) for host in hosts)
        run = caller.LoadRun(
            load=msgspec.structs.replace(load, targets=addresses),
            avoided=lambda: {self.fleet.caller_address(host) for host in self.out_of_rotation},
        )
        self.loads[load.name] = run
        return run

    def set_fault(self, server: str, fault: behaviours.Fault) -> None:
        """Add a fault to a server, in place of an earlier one of the same name."""
        faults = self._server_faults.setdefault(server, {})
        faults[fault.name] = fault
        self.fleet.set_server_faults(server, list(faults.values()))

    def clear_fault(self, server: str, name: str = "") -> None:
        """Remove the fault named ``name`` from a server, or all its faults if that is empty."""
        faults = self._server_faults.setdefault(server, {})
        self._server_faults[server] = {key: faults[key] for key in faults if name not in ("", key)}
        self.fleet.set_server_faults(server, list(self._server_faults[server].values()))

    def save_decisions(self, host: str) -> None:
        """Store the decisions of a host, which cannot be read once its process has exited."""
        self._saved_decisions[host] = self.fleet.decisions(host)

    def decisions(self) -> Iterator[ring.Decision]:
        """Yield the decisions of all hosts; for stopped hosts those stored last."""
        for host in self.fleet.hosts:
            yield from self.fleet.decisions(host) or self._saved_decisions.get(host, [])

    def _publish_records(self) -> None:
        for service in {spec.service: None for spec in self.scenario.servers}:
            self.publish_pool(service)
        for route in self.scenario.routes:
            self.publish_route(route)
        for workspace in self.scenario.workspaces:
            self.publish_workspace(workspace)
            for key in workspace.keys:
                spec = {"workspace": workspace.name, "sha256": keys.hash_key(key)}
                self.fleet.publish("key", key, spec)

    def _wait_all_serving(self, workspace: language.Workspace, *, method: str) -> None:
        """Send requests through every host until each gives a whole answer."""
        greenlets = [
            gevent.spawn(self._wait_serving, host, workspace.keys[0], method)
            for host in self.fleet.hosts
        ]
        gevent.joinall(greenlets)
        if not all(greenlet.value for greenlet in greenlets):
            newest_row = self.startup_rows[-1]
            raise NotServingError(
                f"a host gives no whole answer for workspace {workspace.name}: {newest_row}"
            )

    def _wait_serving(self, host: str, key: str, method: str) -> bool:
        """Send requests through a host until one gets a whole answer; return whether one did."""
        load = caller.Load(
            name=f"settle-{host}",
            targets=(self.fleet.caller_address(host),),
            keys=(key,),
            rate_per_s=1.0 / _STARTUP_REQUEST_INTERVAL_S,
            duration_ms=1000.0 * _STARTUP_REQUEST_INTERVAL_S,
            method=method,
            path=self.scenario.routes[0].path,
            keyed=method == "POST",
        )
        for _ in range(_MAX_STARTUP_REQUESTS):
            run = caller.LoadRun(load=load)
            run.run()
            self.startup_rows += run.rows
            if run.rows[-1].verdict is caller.Verdict.WHOLE:
                return True
            gevent.sleep(_STARTUP_REQUEST_INTERVAL_S)
        return False
