"""Table of what the other hosts of the data centre have vouched for."""

import msgspec

from verbenadrum import ids
from verbenadrum.epochs import chain, messages

__all__ = ["HOLD_MS", "VoterRow", "VoterTable"]

HOLD_MS = 3_000.0
# Longer wait of whoever replaces an epoch, for clocks whose rates differ by up to 2%.
_RATE_MARGIN_MS = 60.0
_NEVER_MS = float("-inf")


class VoterRow(msgspec.Struct, kw_only=True):
    """One other host.

    Attributes
    ----------
    vouch : Vouch or None
        Its newest answer.
    answered_ms : float
        When the poll of its newest answer was sent.
    same_since_ms : float
        When the first answer with the same incarnation, promise and recovering flag arrived.
    vouched_revision : int
        Promise of its newest vouch that counted.
    vouched_ms : float
        When the poll of that vouch was sent.
    next_poll_ms : float
        When it is due for a poll.
    """

    host: ids.HostId
    vouch: messages.Vouch | None = None
    answered_ms: float = _NEVER_MS
    same_since_ms: float = _NEVER_MS
    vouched_revision: int = 0
    vouched_ms: float = _NEVER_MS
    next_poll_ms: float = _NEVER_MS

    def answer(self, vouch: messages.Vouch, now_ms: float) -> bool:
        """Keep an answer unless a newer one came first; return whether it was kept."""
        if vouch.poll_sent_ms <= self.answered_ms:
            return False
        if self.vouch is None or _standing(vouch) != _standing(self.vouch):
            self.same_since_ms = now_ms
        self.vouch = vouch
        self.answered_ms = vouch.poll_sent_ms
        return True

    def fresh(self, now_ms: float) -> bool:
        """Return whether the newest answer is younger than the hold time."""
        return self.answered_ms + HOLD_MS > now_ms

    def lasting(self, now_ms: float) -> bool:
        """Return whether it has answered the same for longer than any older vouch of it holds.

        The newest poll was then also sent after the first such answer of every other host for
        which this is true, so that all of them stood like this at one time.
        """
        waited = self.same_since_ms + HOLD_MS + _RATE_MARGIN_MS <= now_ms
        return waited and self.fresh(now_ms)

    def moved(self, revision: int, now_ms: float) -> bool:
        """Return whether it has moved to a revision and its older vouches have run out."""
        if self.vouch is None or self.vouched_ms != self.answered_ms:
            return False
        return self.vouched_revision == revision and self.lasting(now_ms)


def _standing(vouch: messages.Vouch) -> tuple[int, int, int, bool]:
    return (vouch.generation, vouch.incarnation, vouch.promised, vouch.recovering)


class VoterTable:
    """Rows of the other hosts, with the counts that the rules need."""

    def __init__(self) -> None:
        self._rows: dict[ids.HostId, VoterRow] = {}

    def row(self, host: ids.HostId) -> VoterRow:
        """Return a host's row, made on first use."""
        row = self._rows.get(host)
        if row is None:
            row = self._rows[host] = VoterRow(host=host)
        return row

    def keep(self, hosts: set[ids.HostId]) -> None:
        """Drop the rows of all other hosts."""
        for host in list(self._rows):
            if host not in hosts:
                del self._rows[host]

    def poll_all(self, at_ms: float) -> None:
        """Make every host due for a poll by ``at_ms``."""
        for row in self._rows.values():
            row.next_poll_ms = min(row.next_poll_ms, at_ms)

    def vouched_until_ms(
        self, members: tuple[ids.HostId, ...], own: ids.HostId, least: int, now_ms: float
    ) -> float:
        """Return until when a majority of the members vouches for ``least`` or more."""
        until = [now_ms + HOLD_MS] if own in members else []
        for host in members:
            row = self._rows.get(host)
            if row is not None and row.vouched_revision >= least:
                until.append(row.vouched_ms + HOLD_MS)
        needed = chain.majority(members)
        if len(until) < needed:
            return _NEVER_MS
        until.sort(reverse=True)
        return until[needed - 1]

    def moved(
        self, members: tuple[ids.HostId, ...], own: ids.HostId, revision: int, now_ms: float
    ) -> bool:
        """Return whether a majority of the members has moved to a revision for good."""
        count = int(own in members)
        for host in members:
            row = self._rows.get(host)
            count += row is not None and row.moved(revision, now_ms)
        return count >= chain.majority(members)

    def remembering(self, now_ms: float) -> list[messages.Vouch]:
        """Return the fresh answers of hosts that remember an epoch."""
        return [
            row.vouch
            for row in self._rows.values()
            if row.vouch is not None and not row.vouch.recovering and row.fresh(now_ms)
        ]
