"""Table of the listed hosts as this host knows them."""

import collections

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.utils import hashing

__all__ = ["HostTable"]

_MAX_CONTACTS = 64


class HostTable:
    """Rows of the newest host list, with hints on which hosts are unreachable or leaving."""

    def __init__(self) -> None:
        self._revision = 0
        self._rows: dict[ids.HostId, ports.HostRow] = {}
        self._by_data_centre: dict[str, tuple[ports.HostRow, ...]] = {}
        self._by_region: dict[str, tuple[ports.HostRow, ...]] = {}
        self._all: tuple[ports.HostRow, ...] = ()
        self._suspected: set[ids.HostId] = set()
        self._leaving: dict[ids.HostId, int] = {}
        self._changes = 0
        self._contacts: collections.OrderedDict[ids.HostId, str] = collections.OrderedDict()

    @property
    def revision(self) -> int:
        """Revision of the host list in force here; 0 before the first list."""
        return self._revision

    @property
    def changes(self) -> int:
        """Number that grows whenever the list or a hint changes."""
        return self._changes

    def replace(self, revision: int, rows: tuple[ports.HostRow, ...]) -> bool:
        """Put a newer list in force; an older or equal one changes nothing.

        Returns
        -------
        bool
            Whether the list was taken.
        """
        if revision <= self._revision:
            return False
        self._revision = revision
        self._changes += 1
        self._all = tuple(sorted(rows, key=lambda row: row.host))
        self._rows = {row.host: row for row in self._all}
        self._by_data_centre = _group(self._all, "data_centre")
        self._by_region = _group(self._all, "region")
        self._suspected.intersection_update(self._rows)
        self._leaving = {host: run for host, run in self._leaving.items() if host in self._rows}
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
        """Return the rows as the platform lists them, without the hints of peers."""
        return self._all

    def regions(self) -> tuple[ids.RegionId, ...]:
        """Return the regions that have listed hosts."""
        return tuple(self._by_region)

    def row(self, host: ids.HostId) -> ports.HostRow | None:
        """Return a host's row, or None if it is not listed."""
        return self._rows.get(host)

    def address(self, host: ids.HostId) -> str | None:
        """Return where a host listens for peers, or None if that is not known."""
        row = self._rows.get(host)
        return self._contacts.get(host) if row is None else row.address

    def note_contact(self, host: ids.HostId, address: str) -> None:
        """Remember where to answer a host that the list does not name yet."""
        if not address or host in self._rows:
            return
        self._contacts[host] = address
        self._contacts.move_to_end(host)
        if len(self._contacts) > _MAX_CONTACTS:
            self._contacts.popitem(last=False)

    def reachable(self, host: ids.HostId) -> bool:
        """Return whether the host is believed reachable from here; a hint, never a proof."""
        return host not in self._suspected

    def takes_work(self, host: ids.HostId) -> bool:
        """Return whether a host is listed and has not said that it shuts down."""
        row = self._rows.get(host)
        return row is not None and self._takes_work(row)

    def suspect(self, host: ids.HostId, suspected: bool) -> None:
        """Set or clear the hint that a host is unreachable."""
        self._changes += 1
        if suspected and host in self._rows:
            self._suspected.add(host)
        else:
            self._suspected.discard(host)

    def suspected(self) -> tuple[ids.HostId, ...]:
        """Return the hosts that are believed unreachable from here, sorted."""
        return tuple(sorted(self._suspected))

    def mark_leaving(self, host: ids.HostId, incarnation: int) -> bool:
        """Note that a run of a host says it is shutting down; return whether that is new."""
        if host not in self._rows or self._leaving.get(host) == incarnation:
            return False
        self._leaving[host] = incarnation
        self._changes += 1
        return True

    def mark_staying(self, host: ids.HostId, incarnation: int) -> None:
        """Forget that an earlier run of a host was leaving."""
        if self._leaving.get(host, incarnation) != incarnation:
            self.forget_leaving(host)

    def forget_leaving(self, host: ids.HostId) -> None:
        """Forget that a host was leaving, whatever run of it said so."""
        self._changes += 1
        self._leaving.pop(host, None)

    def leaving(self) -> tuple[ids.HostId, ...]:
        """Return the hosts that said they are shutting down, sorted."""
        return tuple(sorted(self._leaving))

    def homes(
        self, key: str, hosts: tuple[ports.HostRow, ...], count: int
    ) -> tuple[ids.HostId, ...]:
        """Return up to ``count`` live hosts in rendezvous order, unreachable ones last."""
        live = [row.host for row in hosts if self._takes_work(row)]
        ranked = hashing.rank(key, live)
        ranked.sort(key=lambda host: host in self._suspected)
        return tuple(ranked[:count])

    def _takes_work(self, row: ports.HostRow) -> bool:
        return row.state is ports.HostState.LIVE and row.host not in self._leaving


def _group(rows: tuple[ports.HostRow, ...], field: str) -> dict[str, tuple[ports.HostRow, ...]]:
    groups: dict[str, list[ports.HostRow]] = {}
    for row in rows:
        groups.setdefault(getattr(row, field), []).append(row)
    return {name: tuple(group) for name, group in groups.items()}
