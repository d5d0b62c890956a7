"""Table of the listed hosts, with local marks on their reachability."""

import collections

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.utils import hashing

__all__ = ["HostTable"]

_MAX_UNLISTED_ADDRESSES = 64


class HostTable:
    """Rows of the newest host list, with marks for hosts that are suspected or leaving.

    The marks are set by the failure detector of this host, so they differ between hosts.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._rows: dict[ids.HostId, ports.HostRow] = {}
        self._by_data_centre: dict[str, tuple[ports.HostRow, ...]] = {}
        self._by_region: dict[str, tuple[ports.HostRow, ...]] = {}
        self._all: tuple[ports.HostRow, ...] = ()
        self._suspected: set[ids.HostId] = set()
        self._leaving: dict[ids.HostId, int] = {}
        self._change_count = 0
        self._seeking = False
        self._unlisted_addresses: collections.OrderedDict[ids.HostId, str] = (
            collections.OrderedDict()
        )

    @property
    def revision(self) -> int:
        """Revision of the current host list; 0 before the first list."""
        return self._revision

    @property
    def change_count(self) -> int:
        """Counter that grows whenever the list or a mark changes; used to invalidate caches."""
        return self._change_count

    @property
    def seeking(self) -> bool:
        """Whether this host is still looking for its first peer, so its list says nothing."""
        return self._seeking

    @seeking.setter
    def seeking(self, seeking: bool) -> None:
        self._change_count += 1
        self._seeking = seeking

    def replace(self, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Replace the list if ``revision`` is newer than the current one.

        Returns
        -------
        bool
            Whether the list was replaced.
        """
        if revision <= self._revision:
            return False
        self._revision = revision
        self._change_count += 1
        self._all = tuple(sorted(rows, key=lambda row: row.host))
        self._rows = {row.host: row for row in self._all}
        self._by_data_centre = _group(self._all, "data_centre")
        self._by_region = _group(self._all, "region")
        self._suspected.intersection_update(self._rows)
        self._leaving = {
            host: incarnation for host, incarnation in self._leaving.items() if host in self._rows
        }
        return True

    def hosts(
        self, *, region: ids.RegionId | None = None, data_centre: ids.DataCentreId | None = None
    ) -> tuple[ports.HostRow, ...]:
        """Return the listed hosts, leaving ones included, ordered by identifier."""
        if data_centre is not None:
            return self._by_data_centre.get(data_centre, ())
        if region is not None:
            return self._by_region.get(region, ())
        return self._all

    def listed(self) -> tuple[ports.HostRow, ...]:
        """Return all rows of the host list; the marks do not affect them."""
        return self._all

    def regions(self) -> tuple[ids.RegionId, ...]:
        """Return the regions that have listed hosts."""
        return tuple(self._by_region)

    def row(self, host: ids.HostId) -> ports.HostRow | None:
        """Return a host's row, or None if it is not listed."""
        return self._rows.get(host)

    def address(self, host: ids.HostId) -> str | None:
        """Return a host's ``ip:port`` for peers, or None if it is unknown."""
        row = self._rows.get(host)
        return self._unlisted_addresses.get(host) if row is None else row.address

    def add_unlisted_address(self, host: ids.HostId, address: str) -> None:
        """Store the address of a host that is not listed yet, so that it can be answered.

        A host that is listed at another address is stored under its address instead of its name.

        The oldest addresses are dropped when too many are stored.
        """
        if not address or host in self._rows:
            return
        self._unlisted_addresses[host] = address
        self._unlisted_addresses.move_to_end(host)
        if len(self._unlisted_addresses) > _MAX_UNLISTED_ADDRESSES:
            self._unlisted_addresses.popitem(last=False)

    def reachable(self, host: ids.HostId) -> bool:
        """Return whether the host is not suspected; the mark may be wrong either way."""
        return host not in self._suspected

    def accepts_work(self, host: ids.HostId) -> bool:
        """Return whether a host is listed as live and is not leaving."""
        row = self._rows.get(host)
        return row is not None and self._accepts_work(row)

    def set_suspected(self, host: ids.HostId, suspected: bool) -> None:
        """Set or clear the suspected mark of a host; an unlisted host is never marked."""
        self._change_count += 1
        if suspected and host in self._rows:
            self._suspected.add(host)
        else:
            self._suspected.discard(host)

    def suspected(self) -> tuple[ids.HostId, ...]:
        """Return the suspected hosts, sorted."""
        return tuple(sorted(self._suspected))

    def mark_leaving(self, host: ids.HostId, incarnation: int) -> bool:
        """Mark an incarnation of a listed host as leaving; return whether that is new."""
        if host not in self._rows or self._leaving.get(host) == incarnation:
            return False
        self._leaving[host] = incarnation
        self._change_count += 1
        return True

    def clear_earlier_leaving(self, host: ids.HostId, incarnation: int) -> None:
        """Clear a leaving mark that was set for another incarnation of the host."""
        if self._leaving.get(host, incarnation) != incarnation:
            self.clear_leaving(host)

    def clear_leaving(self, host: ids.HostId) -> None:
        """Clear the leaving mark of a host, whatever its incarnation."""
        self._change_count += 1
        self._leaving.pop(host, None)

    def leaving(self) -> tuple[ids.HostId, ...]:
        """Return the hosts that are marked as leaving, sorted."""
        return tuple(sorted(self._leaving))

    def ranked_hosts(
        self, key: str, hosts: tuple[ports.HostRow, ...], count: int
    ) -> tuple[ids.HostId, ...]:
        """Return up to ``count`` of ``hosts`` in rendezvous order of ``key``, suspected ones last.

        Hosts that are not live or are leaving are left out.
        """
        live = [row.host for row in hosts if self._accepts_work(row)]
        ranked = hashing.rank(key, live)
        ranked.sort(key=lambda host: host in self._suspected)
        return tuple(ranked[:count])

    def _accepts_work(self, row: ports.HostRow) -> bool:
        return row.state is ports.HostState.LIVE and row.host not in self._leaving


def _group(rows: tuple[ports.HostRow, ...], field: str) -> dict[str, tuple[ports.HostRow, ...]]:
    """Return the rows grouped by the value of a field."""
    groups: dict[str, list[ports.HostRow]] = {}
    for row in rows:
        groups.setdefault(getattr(row, field), []).append(row)
    return {name: tuple(group) for name, group in groups.items()}
