"""Claims that requests of this host have won or withdrawn."""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.claims import keys, messages
from verbenadrum.core import ports

__all__ = ["WinnerRow", "WinnerTable"]

_MAX_TOTAL_ANSWER_BYTES = 8 * 1_048_576
_MAX_ANSWER_BYTES = 65_536
_MAX_ENDED_RUNS = 20_000
_MAX_GIVEN_UP_CLAIMS = 4_096

Key = tuple[ids.WorkspaceId, ids.IdempotencyKey]


class WinnerRow(msgspec.Struct, kw_only=True):
    """A claim that a request of this host has won.

    ``ended_ms`` is the monotonic time at which the run ended, or infinite while it runs.
    """

    owner: messages.Owner
    fingerprint: str
    attempt: int
    witnesses: tuple[ids.HostId, ...]
    ended_ms: float = float("inf")
    answer: ports.StoredAnswer | None = None


class WinnerTable:
    """Won claims with their stored answers, and the owners of withdrawn claims.

    Rows of ended runs are dropped when they are expired or too many. The witnesses still hold the
    key, so a resend gets "outcome unknown" and never runs.
    """

    def __init__(self) -> None:
        self._rows: dict[Key, WinnerRow] = {}
        self._ended: collections.deque[Key] = collections.deque()
        self._given_up: collections.OrderedDict[messages.Owner, None] = collections.OrderedDict()
        self._answer_bytes = 0

    def get(self, key: Key) -> WinnerRow | None:
        """Return the won claim of a key, or None."""
        return self._rows.get(key)

    def add(self, key: Key, row: WinnerRow) -> None:
        """Add a claim that was just won."""
        self._given_up.pop(row.owner, None)
        self._rows[key] = row

    def finish(self, key: Key, answer: ports.StoredAnswer | None, now_ms: float) -> None:
        """Record the end of a run, and store its answer unless it is too large.

        A second call for the same run is ignored.
        """
        row = self._rows.get(key)
        if row is None or row.ended_ms <= now_ms:
            return
        row.ended_ms = now_ms
        if answer is not None and answer.size <= _MAX_ANSWER_BYTES:
            row.answer = answer
            self._answer_bytes += answer.size
        self._ended.append(key)
        self._trim(now_ms)

    def give_up(self, key: Key, owner: messages.Owner) -> None:
        """Record that an owner has withdrawn its claim."""
        current = self._rows.get(key)
        if current is not None and current.owner == owner:
            del self._rows[key]
        self._given_up[owner] = None
        while len(self._given_up) > _MAX_GIVEN_UP_CLAIMS:
            self._given_up.popitem(last=False)

    def state(self, key: Key, owner: messages.Owner) -> messages.WinnerState:
        """Return the state of an owner's claim; `WinnerState.ENDED` if it is not known here."""
        row = self._rows.get(key)
        if owner in self._given_up:
            return messages.WinnerState.GIVEN_UP
        if row is None or row.owner != owner:
            return messages.WinnerState.ENDED
        if row.ended_ms == float("inf"):
            return messages.WinnerState.RUNNING
        if row.answer is None:
            return messages.WinnerState.ENDED
        return messages.WinnerState.ANSWERED

    def _trim(self, now_ms: float) -> None:
        while self._ended and self._has_excess(now_ms):
            row = self._rows.pop(self._ended.popleft(), None)
            if row is not None and row.answer is not None:
                self._answer_bytes -= row.answer.size

    def _has_excess(self, now_ms: float) -> bool:
        oldest = self._rows.get(self._ended[0])
        expired = oldest is None or oldest.ended_ms + keys.LIFETIME_MS < now_ms
        too_many = len(self._ended) > _MAX_ENDED_RUNS
        return expired or too_many or self._answer_bytes > _MAX_TOTAL_ANSWER_BYTES
