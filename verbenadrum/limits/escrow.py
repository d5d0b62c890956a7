"""Escrow limiter: hosts lend shares to homes, and homes grant tokens to entry hosts."""

from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import entry_role, home, lender, messages, partitions, registry
from verbenadrum.limits import tolerance as tolerances

__all__ = ["EscrowLimiter"]


@registry.limiters.register("escrow")
class EscrowLimiter(system.System):
    """Runs the roles of lender, home and entry host on each host.

    Each host has a share of the whole fleet's limits, given by the published weights and the
    epoch. It lends its share for a short time to the home of each partition of workspaces in its
    scope. The home fills one bucket per active workspace at the total share lent to it, and
    grants tokens to the entry hosts, which receive the callers' requests. Tokens expire before
    the leases that back them. The bound holds without agreement on which host is the home.

    Parameters
    ----------
    context : Context
        Clock, random numbers, identity of this host, and sending of messages.
    records : RecordsPort
        Published limits of the workspaces and weights of the data centres.
    membership : MembershipPort
        Listed hosts, and which of them are reachable.
    epochs : EpochPort
        Epoch that gives this host's share of its data centre.
    tolerance : Tolerance
        Not used: nothing is admitted beyond the limits.
    scope : Scope
        Whether a partition has one home in each region or in each data centre.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
        tolerance: tolerances.Tolerance = tolerances.NO_TOLERANCE,
        scope: partitions.Scope = partitions.Scope.REGION,
    ) -> None:
        super().__init__(context=context)
        homes = partitions.HomeMap(context=context, membership=membership, scope=scope)
        numbers = context.numbers()
        self._lender = lender.Lender(context=context, records=records, epochs=epochs, homes=homes)
        self._home = home.Home(context=context, records=records, homes=homes, numbers=numbers)
        self._entry = entry_role.EntryRole(
            context=context,
            records=records,
            membership=membership,
            homes=homes,
            numbers=numbers,
        )

    def admit(
        self,
        *,
        workspace: ids.WorkspaceId,
        request: ids.RequestId,
        deadline_ms: float,
        done: Callable[[ports.Admission], None],
    ) -> None:
        """Decide on one request, after a short wait if no token is available.

        ``done`` is called once with the admission.
        """
        self._entry.admit(workspace=workspace, deadline_ms=deadline_ms, done=done)

    def lent_share(self, workspace: ids.WorkspaceId) -> float:
        """Return the fraction of a workspace's limits that is lent to this host as its home."""
        return self._home.share(partitions.partition_of(workspace))

    def on_tick(self) -> None:
        """Run the periodic work of lender, home and entry role."""
        self._lender.on_tick()
        self._home.on_tick()
        self._entry.on_tick()

    @system.handles(messages.Poll)
    def on_poll(self, sender: ids.HostId, message: messages.Poll) -> None:
        """Answer a home's poll as lender."""
        self._home.leases.note_received(sender)
        self._lender.on_poll(sender, message)

    @system.handles(messages.Release)
    def on_release(self, sender: ids.HostId, message: messages.Release) -> None:
        """Remove the loans that a home releases."""
        self._lender.on_release(sender, message)

    @system.handles(messages.Lend)
    def on_lend(self, sender: ids.HostId, message: messages.Lend) -> None:
        """Add the leases of a lender's reply."""
        self._home.leases.on_lend(sender, message)

    @system.handles(messages.Ask)
    def on_ask(self, sender: ids.HostId, message: messages.Ask) -> None:
        """Grant tokens to an entry host or to another scope's home."""
        self._home.on_ask(sender, message)

    @system.handles(messages.Settle)
    def on_settle(self, sender: ids.HostId, message: messages.Settle) -> None:
        """Take back the unspent tokens of finished grants."""
        self._home.on_settle(sender, message)

    @system.handles(messages.Grant)
    def on_grant(self, sender: ids.HostId, message: messages.Grant) -> None:
        """Pass a grant to the role that sent the request."""
        if self._entry.has_ask(message.number):
            self._entry.on_grant(sender, message)
        else:
            self._home.on_grant(sender, message)
