"""Parts of a pool: the servers of one region, whose home is a host of that region."""

import typing

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.records import types

__all__ = ["EVERYWHERE", "Part", "PartTable"]

EVERYWHERE = ids.RegionId("")
_MAX_CANDIDATES = 3


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Servers of a pool that share one home.

    ``region`` is `EVERYWHERE` if any server of the pool is in no known data centre. The pool then
    has this one part, and ``servers`` are all of its servers.
    """

    service: ids.ServiceId
    region: ids.RegionId
    spec: types.PoolSpec
    servers: tuple[types.ServerEntry, ...]


class _CachedParts(typing.NamedTuple):
    spec: types.PoolSpec
    fleet: types.FleetSpec | None
    revision: int
    parts: tuple[Part, ...]

    def is_current(
        self, spec: types.PoolSpec, fleet: types.FleetSpec | None, revision: int
    ) -> bool:
        """Return whether the parts were made from these records and this host list revision."""
        return self.spec is spec and self.fleet is fleet and self.revision == revision


class PartTable:
    """Splits pools into parts by region, and determines the candidates for home of each part.

    Parameters
    ----------
    records : RecordsPort
        Records in force.
    membership : MembershipPort
        Listed hosts.
    """

    def __init__(self, *, records: ports.RecordsPort, membership: ports.MembershipPort) -> None:
        self._records = records
        self._membership = membership
        self._cache: dict[ids.ServiceId, _CachedParts] = {}

    def parts(self, service: ids.ServiceId) -> tuple[Part, ...]:
        """Return a service's parts ordered by region; none if the service is unknown."""
        spec = self._records.pool(service)
        if spec is None:
            return ()
        fleet = self._records.fleet()
        revision = self._membership.revision
        cached = self._cache.get(service)
        if cached is not None and cached.is_current(spec, fleet, revision):
            return cached.parts
        found = self._split_by_region(service, spec)
        self._cache[service] = _CachedParts(spec, fleet, revision, found)
        return found

    def part(self, service: ids.ServiceId, region: ids.RegionId) -> Part | None:
        """Return one part, or None if the service has no such part."""
        for part in self.parts(service):
            if part.region == region:
                return part
        return None

    def server(self, service: ids.ServiceId, server: str) -> types.ServerEntry | None:
        """Return a service's entry of a server, or None if it has none."""
        for part in self.parts(service):
            for entry in part.servers:
                if entry.server == server:
                    return entry
        return None

    def hosts(self, region: ids.RegionId) -> tuple[ports.HostRow, ...]:
        """Return the hosts that may be home in a region; all hosts if it has none or is unknown."""
        if region == EVERYWHERE:
            return self._membership.hosts()
        return self._membership.hosts(region=region) or self._membership.hosts()

    def home_candidates(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> tuple[ids.HostId, ...]:
        """Return up to `_MAX_CANDIDATES` candidates for home of a part, best first."""
        hosts = self.hosts(region)
        return self._membership.ranked_hosts(f"pool/{service}/{region}", hosts, _MAX_CANDIDATES)

    def _split_by_region(self, service: ids.ServiceId, spec: types.PoolSpec) -> tuple[Part, ...]:
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
