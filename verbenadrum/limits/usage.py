"""Usage that one host has to report to others, collected into few messages."""

import collections

from verbenadrum import ids
from verbenadrum.limits import messages

__all__ = ["UsageBatches"]


class UsageBatches:
    """Unreported admissions of workspaces, by the host that they are to be reported to.

    Parameters
    ----------
    interval_ms : float
        The first admission is due at once, later ones are collected until the last report to the
        host is this old.

    Examples
    --------
    >>> batches = UsageBatches(interval_ms=250.0)
    >>> batches.add("h", "w", 1)
    >>> batches.pop_due(1_000.0)
    [('h', (WorkspaceUsage(workspace='w', admitted=1),))]
    >>> batches.add("h", "w", 2)
    >>> batches.pop_due(1_100.0)
    []
    >>> batches.pop_due(1_250.0)
    [('h', (WorkspaceUsage(workspace='w', admitted=2),))]
    """

    def __init__(self, *, interval_ms: float) -> None:
        self._interval_ms = interval_ms
        self._counts: dict[ids.HostId, collections.Counter[ids.WorkspaceId]] = {}
        self._reported_ms: dict[ids.HostId, float] = {}

    def add(self, host: ids.HostId, workspace: ids.WorkspaceId, count: int) -> None:
        """Add ``count`` admissions of a workspace to the next report to a host."""
        self._counts.setdefault(host, collections.Counter())[workspace] += count

    def pop_due(
        self, now_ms: float
    ) -> list[tuple[ids.HostId, tuple[messages.WorkspaceUsage, ...]]]:
        """Remove and return the usages of each host whose last report is old enough."""
        due = []
        for host in list(self._counts):
            if now_ms - self._reported_ms.get(host, -self._interval_ms) < self._interval_ms:
                continue
            self._reported_ms[host] = now_ms
            counts = self._counts.pop(host)
            usages = [messages.WorkspaceUsage(name, counts[name]) for name in sorted(counts)]
            due.append((host, tuple(usages)))
        return due

    def forget_reports_before(self, at_ms: float) -> None:
        """Remove the times of reports that were sent before ``at_ms``."""
        for host, reported_ms in list(self._reported_ms.items()):
            if reported_ms < at_ms:
                del self._reported_ms[host]
