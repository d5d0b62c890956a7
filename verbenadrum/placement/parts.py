"""Parts of a pool: the servers of one region, homed in that region."""

import typing

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["EVERYWHERE", "Part", "PartTable"]

EVERYWHERE = ids.RegionId("")
_CANDIDATES = 3


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Servers of a pool that one home looks after.

    ``region`` is `EVERYWHERE` for a pool whose servers name no known data centre.
    """

    service: ids.ServiceId
    region: ids.RegionId
    spec: types.PoolSpec
    servers: tuple[types.ServerEntry, ...]


class _Cached(typing.NamedTuple):
    spec: types.PoolSpec
    fleet: types.FleetSpec | None
    revision: int
    parts: tuple[Part, ...]

    def follows(self, spec: types.PoolSpec, fleet: types.FleetSpec | None, revision: int) -> bool:
        """Return whether the parts were made from these records and this list."""
        return self.spec is spec and self.fleet is fleet and self.revision == revision


class PartTable:
    """Splits the pools in force by region, and names the homes of each part."""

    def __init__(self, *, records: ports.RecordsPort, membership: ports.MembershipPort) -> None:
        self._records = records
        self._membership = membership
        self._cache: dict[ids.ServiceId, _Cached] = {}

    def parts(self, service: ids.ServiceId) -> tuple[Part, ...]:
        """Return a service's parts ordered by region; none if the service is unknown."""
        spec = self._records.pool(service)
        if spec is None:
            return ()
        fleet = self._records.fleet()
        revision = self._membership.revision
        cached = self._cache.get(service)
        if cached is not None and cached.follows(spec, fleet, revision):
            return cached.parts
        found = self._split(service, spec)
        self._cache[service] = _Cached(spec, fleet, revision, found)
        return found

    def part(self, service: ids.ServiceId, region: ids.RegionId) -> Part | None:
        """Return one part, or None if the service has no such part."""
        for part in self.parts(service):
            if part.region == region:
                return part
        return None

    def hosts(self, region: ids.RegionId) -> tuple[ports.HostRow, ...]:
        """Return the hosts that may be home in a region, all hosts if it has none."""
        if region == EVERYWHERE:
            return self._membership.hosts()
        return self._membership.hosts(region=region) or self._membership.hosts()

    def homes(self, service: ids.ServiceId, region: ids.RegionId) -> tuple[ids.HostId, ...]:
        """Return the hosts to ask for a part, best first."""
        hosts = self.hosts(region)
        return self._membership.homes(f"pool/{service}/{region}", hosts, _CANDIDATES)

    def _split(self, service: ids.ServiceId, spec: types.PoolSpec) -> tuple[Part, ...]:
        by_region: dict[ids.RegionId, list[types.ServerEntry]] = {}
        for entry in spec.servers:
            by_region.setdefault(self._region(entry.data_centre), []).append(entry)
        if EVERYWHERE in by_region:
            by_region = {EVERYWHERE: list(spec.servers)}
        return tuple(
            Part(service=service, region=region, spec=spec, servers=tuple(by_region[region]))
            for region in sorted(by_region)
        ) or (
            Part(service=service, region=EVERYWHERE, spec=spec, servers=()),
        )

    def _region(self, data_centre: str) -> ids.RegionId:
        fleet = self._records.fleet()
        for share in () if fleet is None else fleet.data_centres:
            if share.data_centre == data_centre:
                return ids.RegionId(share.region)
        hosts = self._membership.hosts(data_centre=ids.DataCentreId(data_centre))
        return hosts[0].region if hosts else EVERYWHERE
