"""Rumors that are passed on for a while, the newest about each host."""

from verbenadrum import ids
from verbenadrum.membership import messages

__all__ = ["RumorTable"]

_TOLD_MS = 3_000.0
_MAX_TOLD = 6


class RumorTable:
    """What is told to others at present.

    Examples
    --------
    >>> table = RumorTable()
    >>> table.add("h1", alive=False, now_ms=0.0)
    True
    >>> table.add("h1", alive=False, now_ms=1.0)
    False
    >>> table.told(now_ms=2.0)
    (Rumor(host='h1', alive=False),)
    >>> table.told(now_ms=60_000.0)
    ()
    """

    def __init__(self) -> None:
        self._rows: dict[ids.HostId, tuple[messages.Rumor, float]] = {}

    def add(self, host: ids.HostId, *, alive: bool, now_ms: float) -> bool:
        """Begin to tell a rumor, and return whether it was not told already.

        That a host is alive is its own word, so it stands against suspicion for a while.
        """
        self._expire(now_ms)
        current = self._rows.get(host)
        if current is not None and (current[0].alive or not alive):
            return False
        self._rows[host] = (messages.Rumor(host, alive), now_ms + _TOLD_MS)
        return True

    def told(self, now_ms: float) -> tuple[messages.Rumor, ...]:
        """Return the newest rumors, few enough for one message."""
        self._expire(now_ms)
        return tuple(rumor for rumor, _ in list(self._rows.values())[-_MAX_TOLD:])

    def _expire(self, now_ms: float) -> None:
        if self._rows:
            self._rows = {host: row for host, row in self._rows.items() if row[1] > now_ms}
