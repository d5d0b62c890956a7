"""Queue at a home of hosts that wait for tokens of one workspace."""

import msgspec

from verbenadrum import ids
from verbenadrum.limits import messages

__all__ = ["QueuedAsk", "WaitQueue"]


class QueuedAsk(msgspec.Struct, kw_only=True):
    """A host's request for tokens, with the monotonic times of its receipt and its expiry."""

    holder: ids.HostId
    ask: messages.Ask
    received_ms: float
    until_ms: float


class WaitQueue:
    """First-come-first-served queue with one request per host.

    A newer request of a host replaces the older one and keeps its position.

    Attributes
    ----------
    entry_hosts : dict
        Requests of entry hosts of the own scope, or of scopes whose home does not reply.
    borrowers : dict
        Requests of homes of other scopes.
    borrow_number : int or None
        Number of this home's open request to another scope's home.
    next_borrow_ms : float
        Monotonic time before which no further request to borrow is sent.
    borrow_backoff_ms : float
        Last backoff between such requests; it doubles while replies are empty or missing.
    next_partner : int
        Index, modulo their number, of the home that is tried next.
    """

    def __init__(self) -> None:
        self.entry_hosts: dict[ids.HostId, QueuedAsk] = {}
        self.borrowers: dict[ids.HostId, QueuedAsk] = {}
        self.borrow_number: int | None = None
        self.next_borrow_ms = 0.0
        self.borrow_backoff_ms = 0.0
        self.next_partner = 0

    @property
    def needed(self) -> float:
        """Total number of tokens that the queued entry hosts need."""
        return sum(queued.ask.need for queued in self.entry_hosts.values())

    @property
    def empty(self) -> bool:
        """Whether no request is queued."""
        return not self.entry_hosts and not self.borrowers

    def enqueue(self, queued: QueuedAsk) -> bool:
        """Queue a request and return True; return False for a duplicate or outdated one."""
        rows = self.borrowers if queued.ask.borrower else self.entry_hosts
        current = rows.get(queued.holder)
        if current is not None and current.ask.number >= queued.ask.number:
            return False
        rows[queued.holder] = queued
        return True

    def drop_expired(self, *, now_ms: float) -> list[QueuedAsk]:
        """Remove and return the expired requests."""
        dropped = []
        for rows in (self.entry_hosts, self.borrowers):
            overdue = [queued for queued in rows.values() if queued.until_ms <= now_ms]
            for queued in overdue:
                del rows[queued.holder]
            dropped.extend(overdue)
        return dropped
