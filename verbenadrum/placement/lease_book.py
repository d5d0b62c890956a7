"""Leases on the slots of one pool part, as its home grants and counts them."""

from collections.abc import Iterator

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.placement import gate, messages, parts, servers

__all__ = ["LeaseBook"]

_LEASE_TIMEOUT_MS = 3_000.0


class LeaseBook:
    """Open leases of a home, kept in step with the slots and the copies of unproven requests.

    Parameters
    ----------
    context : Context
        Identity and clock of this host.
    part : Part
        The part; its service and region are part of the leases' names.
    table : ServerTable
        Counts the slots in use.
    poison_gate : PoisonGate
        Counts the copies of unproven requests in flight.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        part: parts.Part,
        table: servers.ServerTable,
        poison_gate: gate.PoisonGate,
    ) -> None:
        self._context = context
        self._name = f"{context.host}:{context.incarnation}:{part.service}:{part.region}"
        self._servers = table
        self._gate = poison_gate
        self._leases: dict[ids.LeaseId, servers.LeaseRow] = {}
        self._serial = 0

    @property
    def rows(self) -> dict[ids.LeaseId, servers.LeaseRow]:
        """The open leases; the caller must not change the mapping."""
        return self._leases

    def get(self, lease: str) -> servers.LeaseRow | None:
        """Return an open lease by its name, or None."""
        return self._leases.get(ids.LeaseId(lease))

    def new(
        self,
        server: ids.ServerId,
        *,
        entry_host: ids.HostId,
        workspace: str = "",
        fingerprint: str = "",
        number: int = -1,
    ) -> servers.LeaseRow:
        """Return a lease with a name that no other one has; it is not open yet."""
        now_ms = self._context.now_ms()
        self._serial += 1
        return servers.LeaseRow(
            lease=ids.LeaseId(f"{self._name}:{self._serial}"),
            entry_host=entry_host,
            data_centre=self._context.data_centre,
            number=number,
            server=server,
            workspace=ids.WorkspaceId(workspace),
            fingerprint=fingerprint,
            started_ms=now_ms,
            renewed_ms=now_ms,
        )

    def open(self, lease: servers.LeaseRow) -> None:
        """Take the slot of a lease."""
        self._leases[lease.lease] = lease
        self._servers.take_slot(lease, self._context.now_ms())
        self._gate.add_lease(lease)

    def close(self, lease: servers.LeaseRow) -> float:
        """Free the slot of a lease, and return for how long it was held, in milliseconds."""
        del self._leases[lease.lease]
        self._servers.free_slot(lease)
        self._gate.remove_lease(lease)
        return self._context.now_ms() - lease.started_ms

    def renew(self, message: messages.Waiting) -> None:
        """Renew the leases in an entry host's heartbeat, with the times waited for a response."""
        now_ms = self._context.now_ms()
        for name, waited_ms in zip(message.leases, message.waited_ms, strict=False):
            lease = self.get(name)
            if lease is not None:
                lease.renewed_ms = now_ms
                lease.waited_ms = waited_ms

    def adopt(self, entry_host: ids.HostId, message: messages.Holding) -> None:
        """Open the leases that an entry host was granted by an earlier home."""
        now_ms = self._context.now_ms()
        for held in message.leases:
            if self.get(held.lease) is not None:
                continue
            lease = servers.LeaseRow(
                lease=ids.LeaseId(held.lease),
                entry_host=entry_host,
                data_centre=ids.DataCentreId(message.data_centre),
                number=-1,
                server=ids.ServerId(held.server),
                workspace=ids.WorkspaceId(held.workspace),
                fingerprint=held.fingerprint,
                started_ms=now_ms - held.waited_ms,
                renewed_ms=now_ms,
                trusted=held.trusted,
            )
            self.open(lease)

    def silent(self) -> Iterator[servers.LeaseRow]:
        """Yield the leases whose entry host has sent no heartbeat for `_LEASE_TIMEOUT_MS`."""
        now_ms = self._context.now_ms()
        for lease in list(self._leases.values()):
            if now_ms - lease.renewed_ms >= _LEASE_TIMEOUT_MS:
                yield lease
