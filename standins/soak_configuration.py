"""Configurations that a soak test publishes, one after the other."""

import time

import msgspec
from gevent import lock

from standins import fleet, soak_writes
from verbenadrum.entry import keys
from verbenadrum.records import types

__all__ = [
    "ASIDE_SERVICE",
    "Configurations",
    "KEY_LIFETIME",
    "MOVING_SERVICE",
    "Publication",
    "SERVICES",
    "SLOTS",
    "key_of",
]

SERVICES = ("one", "two")
# Service of a small pool with a route of its own.
ASIDE_SERVICE = "aside"
# Service whose servers have records of their own.
MOVING_SERVICE = "moving"
# Each version has a key, which this many versions hold.
KEY_LIFETIME = 2
SLOTS = 8
INITIAL_IDLE_TIMEOUT_MS = 20_000.0
INITIAL_ROUTE_TIMEOUT_MS = 5_000.0
_PROBE_PATH = "/health"
# Each version has a public route, which this many versions hold.
_ROUTE_LIFETIME = 40
_WORKSPACE = "soak"
_RECORD = "configuration"
_ALL_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """Variable values of a published configuration.

    Attributes
    ----------
    at_ms : float
        Time of the publication, in milliseconds since the Unix epoch.
    idle_timeout_ms : float
        Time after which an idle connection of a caller is closed.
    timeout_ms : float
        Timeout of each route.
    weights : tuple of float
        Weight of each service in the split of the routes' requests.
    """

    at_ms: float
    idle_timeout_ms: float = INITIAL_IDLE_TIMEOUT_MS
    timeout_ms: float = INITIAL_ROUTE_TIMEOUT_MS
    weights: tuple[float, ...] = (1.0, 1.0)


class Configurations:
    """Publishes complete configurations, with an idempotent and a non-idempotent route.

    Parameters
    ----------
    running : Fleet
        The running fleet, with its servers started.

    Attributes
    ----------
    published : list of Publication
        All configurations published, the newest last; the first one has version 1.
    writes : Writes
        When the platform acknowledged them, and lost them.
    lock : RLock
        Held while anything is published, and while the platform is away.
    """

    def __init__(self, *, running: fleet.Fleet) -> None:
        self._fleet = running
        self._started_wall_ms = time.time() * 1000.0
        self.published: list[Publication] = []
        self.writes = soak_writes.Writes()
        self.lock = lock.RLock()

    def publish_change(self, **fields: object) -> None:
        """Publish a configuration in which the given fields of `Publication` are changed."""
        fields["at_ms"] = time.time() * 1000.0
        with self.lock:
            newest = self.published[-1:] or [Publication(at_ms=0.0)]
            self.published.append(msgspec.structs.replace(newest[0], **fields))
            self._fleet.publish("configuration", _RECORD, self._spec(self.published[-1]))
            self.writes.add(len(self.published), time.time() * 1000.0)

    def due_ms(self, version: int, max_apply_ms: float) -> float:
        """Return the time, since the Unix epoch, by which every host applies a version or a later.

        Parameters
        ----------
        version : int
            Number of the version, from 1.
        max_apply_ms : float
            Time within which every host applies a new configuration.
        """
        if version > self.writes.newest:
            return self.published[version - 1].at_ms + max_apply_ms
        return self.writes.due_ms(version, max_apply_ms)

    def min_timeout_ms(self, begun_ms: float, ended_ms: float, max_apply_ms: float) -> float:
        """Return the least route timeout that a host may have applied during an interval.

        Parameters
        ----------
        begun_ms, ended_ms : float
            The interval, in milliseconds since the Unix epoch.
        max_apply_ms : float
            Time within which every host applies a new configuration.

        Returns
        -------
        float
            Timeout in milliseconds.
        """
        due = [
            number
            for number in range(len(self.published))
            if self.due_ms(number + 1, max_apply_ms) <= begun_ms
        ]
        possible = [
            each for each in self.published[max(due, default=0) :] if each.at_ms <= ended_ms
        ]
        return min(each.timeout_ms for each in possible)

    def _spec(self, publication: Publication) -> types.ConfigurationSpec:
        version = len(self.published)
        oldest = max(1, version - _ROUTE_LIFETIME + 1)
        return types.ConfigurationSpec(
            version=version,
            routes=(
                self._route("safe", _ALL_METHODS, publication),
                self._route("once", (), publication),
                self._simple_route("aside", ASIDE_SERVICE, publication),
                self._simple_route("moving", MOVING_SERVICE, publication),
                self._simple_route("keyed", SERVICES[0], publication, public=False),
                *(
                    self._simple_route(f"change/{number}", SERVICES[0], publication)
                    for number in range(oldest, version + 1)
                ),
            ),
            workspaces=(
                types.NamedWorkspace(
                    name=_WORKSPACE,
                    spec=types.WorkspaceSpec(rate_per_s=1.0, burst=1.0, limited=False),
                ),
            ),
            keys=tuple(
                types.NamedKey(
                    name=f"key{number}",
                    spec=types.KeySpec(workspace=_WORKSPACE, sha256=keys.hash_key(key_of(number))),
                )
                for number in range(max(1, version - KEY_LIFETIME + 1), version + 1)
            ),
            pools=(
                *(self._pool(service) for service in (*SERVICES, ASIDE_SERVICE)),
                types.NamedPool(
                    name=MOVING_SERVICE,
                    spec=types.PoolSpec(servers=(), slots=SLOTS, probe_path=_PROBE_PATH),
                ),
            ),
            callers=types.CallerLimits(idle_timeout_ms=publication.idle_timeout_ms),
        )

    def _route(
        self, name: str, methods: tuple[str, ...], publication: Publication
    ) -> types.NamedRoute:
        backends = tuple(
            types.BackendShare(service=service, weight=weight)
            for service, weight in zip(SERVICES, publication.weights, strict=True)
        )
        spec = types.RouteSpec(
            path_prefix=f"/{name}",
            service=SERVICES[0],
            public=True,
            timeout_ms=publication.timeout_ms,
            idempotent_methods=methods,
            backends=backends,
        )
        return types.NamedRoute(name=name, spec=spec)

    def _simple_route(
        self, name: str, service: str, publication: Publication, *, public: bool = True
    ) -> types.NamedRoute:
        spec = types.RouteSpec(
            path_prefix=f"/{name}",
            service=service,
            public=public,
            timeout_ms=publication.timeout_ms,
            idempotent_methods=_ALL_METHODS,
        )
        return types.NamedRoute(name=name, spec=spec)

    def _pool(self, service: str) -> types.NamedPool:
        servers = msgspec.convert(
            self._fleet.server_entries(service), tuple[types.ServerEntry, ...], strict=False
        )
        servers = tuple(
            msgspec.structs.replace(entry, started_wall_ms=self._started_wall_ms)
            for entry in servers
        )
        spec = types.PoolSpec(servers=servers, slots=SLOTS, probe_path=_PROBE_PATH)
        return types.NamedPool(name=service, spec=spec)


def key_of(version: int) -> str:
    """Return the API key of a version."""
    return f"secret-soak-{version}"
