"""Configurations that a soak publishes, one after the other."""

import time

import msgspec

from standins import fleet
from verbenadrum.records import types

__all__ = ["Configurations", "Publication"]

SERVICES = ("one", "two")
SLOTS = 8
FIRST_IDLE_MS = 20_000.0
FIRST_TIMEOUT_MS = 5_000.0
_PROBE_PATH = "/health"
_EVERY_METHOD = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """What was published, and when in milliseconds since the epoch.

    Attributes
    ----------
    idle_ms : float
        How long a caller's connection may be idle.
    timeout_ms : float
        Timeout of each route.
    weights : tuple of float
        Weight of each service.
    """

    at_ms: float
    idle_ms: float = FIRST_IDLE_MS
    timeout_ms: float = FIRST_TIMEOUT_MS
    weights: tuple[float, ...] = (1.0, 1.0)


class Configurations:
    """Publishes whole configurations: a route that may be repeated and one that may not.

    Parameters
    ----------
    running : Fleet
        The processes, with servers started.

    Attributes
    ----------
    published : list of Publication
        Every configuration, the newest last.
    """

    def __init__(self, *, running: fleet.Fleet) -> None:
        self._fleet = running
        self.published: list[Publication] = []

    def change(self, **fields: object) -> None:
        """Publish a configuration with other values."""
        fields["at_ms"] = time.time() * 1000.0
        newest = self.published[-1:] or [Publication(at_ms=0.0)]
        self.published.append(msgspec.structs.replace(newest[0], **fields))
        self._fleet.publish("configuration", "configuration", self._spec(self.published[-1]))

    def least_timeout_ms(self, begun_ms: float, ended_ms: float, apply_ms: float) -> float:
        """Return the least route timeout that may have been in force in a time.

        Parameters
        ----------
        begun_ms, ended_ms : float
            The time, in milliseconds since the epoch.
        apply_ms : float
            How long a configuration takes to be in force.
        """
        older = [each for each in self.published if each.at_ms <= begun_ms - apply_ms]
        newer = [each for each in self.published if begun_ms - apply_ms < each.at_ms <= ended_ms]
        return min(each.timeout_ms for each in [*older[-1:], *newer])

    def _spec(self, publication: Publication) -> types.ConfigurationSpec:
        return types.ConfigurationSpec(
            version=len(self.published),
            routes=(
                self._route("safe", _EVERY_METHOD, publication),
                self._route("once", (), publication),
            ),
            pools=tuple(self._pool(service) for service in SERVICES),
            callers=types.CallerLimits(idle_timeout_ms=publication.idle_ms),
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

    def _pool(self, service: str) -> types.NamedPool:
        servers = msgspec.convert(
            self._fleet.pool_entries(service), tuple[types.ServerEntry, ...], strict=False
        )
        spec = types.PoolSpec(servers=servers, slots=SLOTS, probe_path=_PROBE_PATH)
        return types.NamedPool(name=service, spec=spec)
