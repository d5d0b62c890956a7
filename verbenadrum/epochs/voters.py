"""Table of the vouches received from the other hosts of the data centre."""

import msgspec

from verbenadrum import ids
from verbenadrum.epochs import chain, messages

__all__ = ["VOUCH_TERM_MS", "VoterRow", "VoterTable"]

# Time for which a vouch is valid, counted from the poll.
VOUCH_TERM_MS = 3_000.0
# Extra wait before an epoch is replaced, for clocks whose rates differ by up to 2 %.
_CLOCK_RATE_MARGIN_MS = 60.0
_NEVER_MS = float("-inf")


class VoterRow(msgspec.Struct, kw_only=True):
    """Answers of one other host. Times are monotonic times of this host.

    Attributes
    ----------
    host : HostId
        The other host.
    vouch : Vouch or None
        Its newest answer to a poll.
    answered_ms : float
        Time at which the poll of that answer was sent.
    unchanged_since_ms : float
        Arrival of the first answer with the same generation, incarnation, promise and recovering
        flag.
    vouched_revision : int
        Promised revision of the newest vouch that supported this host's chain.
    vouched_ms : float
        Time at which the poll of that vouch was sent.
    next_poll_ms : float
        Time at which the next poll is due.
    """

    host: ids.HostId
    vouch: messages.Vouch | None = None
    answered_ms: float = _NEVER_MS
    unchanged_since_ms: float = _NEVER_MS
    vouched_revision: int = 0
    vouched_ms: float = _NEVER_MS
    next_poll_ms: float = _NEVER_MS

    def record_answer(self, vouch: messages.Vouch, now_ms: float) -> bool:
        """Store an answer; return False if an answer to a later poll has arrived before."""
        if vouch.poll_sent_ms <= self.answered_ms:
            return False
        if self.vouch is None or _promise_state(vouch) != _promise_state(self.vouch):
            self.unchanged_since_ms = now_ms
        self.vouch = vouch
        self.answered_ms = vouch.poll_sent_ms
        return True

    def fresh(self, now_ms: float) -> bool:
        """Return whether the newest answer is still valid."""
        return self.answered_ms + VOUCH_TERM_MS > now_ms

    def unchanged_for_term(self, now_ms: float) -> bool:
        """Return whether its answers have been unchanged until all its older vouches expired.

        If this is true for several hosts, the newest poll of each was sent after the first
        unchanged answer of every other one arrived, so at some time all of them were in their
        present state.
        """
        expired = self.unchanged_since_ms + VOUCH_TERM_MS + _CLOCK_RATE_MARGIN_MS <= now_ms
        return expired and self.fresh(now_ms)

    def moved(self, revision: int, now_ms: float) -> bool:
        """Return whether it vouches for a revision and its older vouches have expired."""
        if self.vouch is None or self.vouched_ms != self.answered_ms:
            return False
        return self.vouched_revision == revision and self.unchanged_for_term(now_ms)


def _promise_state(vouch: messages.Vouch) -> tuple[int, int, int, bool]:
    return (vouch.generation, vouch.incarnation, vouch.promised, vouch.recovering)


class VoterTable:
    """Rows of the other hosts, and the majorities that they form."""

    def __init__(self) -> None:
        self._rows: dict[ids.HostId, VoterRow] = {}

    def row(self, host: ids.HostId) -> VoterRow:
        """Return a host's row; it is created on first use."""
        row = self._rows.get(host)
        if row is None:
            row = self._rows[host] = VoterRow(host=host)
        return row

    def retain_only(self, hosts: set[ids.HostId]) -> None:
        """Drop the rows of all other hosts."""
        for host in list(self._rows):
            if host not in hosts:
                del self._rows[host]

    def schedule_polls(self, at_ms: float) -> None:
        """Make the next poll of every host due by ``at_ms``."""
        for row in self._rows.values():
            row.next_poll_ms = min(row.next_poll_ms, at_ms)

    def vouched_until_ms(
        self, members: tuple[ids.HostId, ...], own: ids.HostId, min_revision: int, now_ms: float
    ) -> float:
        """Return the monotonic time until which a majority vouches for ``min_revision`` or later.

        This host counts as one that vouches, if it is a member. The time is minus infinity without
        a majority.
        """
        until = [now_ms + VOUCH_TERM_MS] if own in members else []
        for host in members:
            row = self._rows.get(host)
            if row is not None and row.vouched_revision >= min_revision:
                until.append(row.vouched_ms + VOUCH_TERM_MS)
        needed = chain.majority(members)
        if len(until) < needed:
            return _NEVER_MS
        until.sort(reverse=True)
        return until[needed - 1]

    def majority_moved(
        self, members: tuple[ids.HostId, ...], own: ids.HostId, revision: int, now_ms: float
    ) -> bool:
        """Return whether a majority vouches for a revision and its older vouches have expired."""
        count = int(own in members)
        for host in members:
            row = self._rows.get(host)
            count += row is not None and row.moved(revision, now_ms)
        return count >= chain.majority(members)

    def not_recovering(self, now_ms: float) -> list[messages.Vouch]:
        """Return the valid answers of hosts that are not recovering."""
        return [
            row.vouch
            for row in self._rows.values()
            if row.vouch is not None and not row.vouch.recovering and row.fresh(now_ms)
        ]
