"""Limiter by escrow: shares are lent to homes, and homes hand tokens to entry hosts."""

import itertools
from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.core import context, ports, system
from verbenadrum.limits import entry_role, home, lender, messages, partitions, registry

__all__ = ["EscrowLimiter"]


@registry.limiters.register("escrow")
class EscrowLimiter(system.System):
    """Lender, home and entry host in one system.

    Each host owns a part of the whole fleet's capacity by published weight and epoch. It lends
    the part for a short time to the home of each partition of workspaces in its scope; the home
    fills one bucket for each active workspace at the shares lent to it, and grants tokens that
    expire before the leases behind them. No two hosts need agree on who is home.

    Parameters
    ----------
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
        scope: partitions.Scope = partitions.Scope.REGION,
    ) -> None:
        super().__init__(context=context)
        homes = partitions.HomeMap(context=context, membership=membership, scope=scope)
        # A restarted host must not take an answer to its earlier run for its own.
        numbers = itertools.count(context.rng.getrandbits(31))
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
        """Decide on one request, after a short wait for a token where none is at hand."""
        self._entry.admit(workspace=workspace, deadline_ms=deadline_ms, done=done)

    def lent_share(self, workspace: ids.WorkspaceId) -> float:
        """Return the part of a workspace's limits that is lent to this host as its home."""
        return self._home.share(partitions.partition_of(workspace))

    def on_tick(self) -> None:
        """Run lender, home and entry host over their tables."""
        self._lender.on_tick()
        self._home.on_tick()
        self._entry.on_tick()

    @system.handles(messages.Poll)
    def on_poll(self, sender: ids.HostId, message: messages.Poll) -> None:
        """Lend to a home."""
        self._home.leases.note_heard(sender)
        self._lender.on_poll(sender, message)

    @system.handles(messages.Release)
    def on_release(self, sender: ids.HostId, message: messages.Release) -> None:
        """Free what a home gives back."""
        self._lender.on_release(sender, message)

    @system.handles(messages.Lend)
    def on_lend(self, sender: ids.HostId, message: messages.Lend) -> None:
        """Take a lender's lease."""
        self._home.leases.on_lend(sender, message)

    @system.handles(messages.Ask)
    def on_ask(self, sender: ids.HostId, message: messages.Ask) -> None:
        """Grant tokens to an entry host or to another scope's home."""
        self._home.on_ask(sender, message)

    @system.handles(messages.Settle)
    def on_settle(self, sender: ids.HostId, message: messages.Settle) -> None:
        """Take back unspent tokens."""
        self._home.on_settle(sender, message)

    @system.handles(messages.Grant)
    def on_grant(self, sender: ids.HostId, message: messages.Grant) -> None:
        """Pass tokens to the role that asked for them."""
        if self._entry.owns(message.number):
            self._entry.on_grant(sender, message)
        else:
            self._home.on_grant(sender, message)
