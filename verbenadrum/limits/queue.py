"""Hosts that wait at a home for tokens of one workspace."""

import msgspec

from verbenadrum import ids
from verbenadrum.limits import messages

__all__ = ["AskRow", "WaitQueue"]


class AskRow(msgspec.Struct, kw_only=True):
    """One host's request for tokens, with when it came and until when it may wait."""

    holder: ids.HostId
    ask: messages.Ask
    received_ms: float
    until_ms: float


class WaitQueue:
    """First come, first served; one place for each host, kept when it asks again.

    Attributes
    ----------
    entries : dict
        Entry hosts of the own scope, or of others whose home does not answer.
    borrowers : dict
        Homes of other scopes.
    borrow_number : int or None
        Number of this home's own request to another scope's home, while one is open.
    borrow_again_ms : float
        Time before which no further request is sent.
    borrow_pause_ms : float
        Length of the last such pause; it doubles while every scope's answer is empty.
    next_partner : int
        Which scope's home is asked next.
    """

    def __init__(self) -> None:
        self.entries: dict[ids.HostId, AskRow] = {}
        self.borrowers: dict[ids.HostId, AskRow] = {}
        self.borrow_number: int | None = None
        self.borrow_again_ms = 0.0
        self.borrow_pause_ms = 0.0
        self.next_partner = 0

    @property
    def needed(self) -> float:
        """Tokens that the waiting entry hosts have requests for."""
        return sum(row.ask.need for row in self.entries.values())

    @property
    def empty(self) -> bool:
        """Whether nobody waits."""
        return not self.entries and not self.borrowers

    def put(self, row: AskRow) -> bool:
        """Queue a request; False for a copy, or one older than what its sender has queued."""
        rows = self.borrowers if row.ask.borrower else self.entries
        current = rows.get(row.holder)
        if current is not None and current.ask.number >= row.ask.number:
            return False
        rows[row.holder] = row
        return True

    def drop_expired(self, *, now_ms: float) -> list[AskRow]:
        """Remove and return the rows that have waited as long as they may."""
        dropped = []
        for rows in (self.entries, self.borrowers):
            late = [row for row in rows.values() if row.until_ms <= now_ms]
            for row in late:
                del rows[row.holder]
            dropped.extend(late)
        return dropped
