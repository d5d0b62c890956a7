"""Rumors that this host currently spreads, at most one about each host."""

from verbenadrum import ids
from verbenadrum.membership import messages

__all__ = ["RumorTable"]

_RUMOR_TTL_MS = 3_000.0
_MAX_RUMORS_PER_MESSAGE = 6


class RumorTable:
    """Rumors that are attached to outgoing messages until they expire.

    Examples
    --------
    >>> table = RumorTable()
    >>> table.add("h1", alive=False, now_ms=0.0)
    True
    >>> table.add("h1", alive=False, now_ms=1.0)
    False
    >>> table.active(now_ms=2.0)
    (Rumor(host='h1', alive=False),)
    >>> table.active(now_ms=60_000.0)
    ()
    """

    def __init__(self) -> None:
        self._rows: dict[ids.HostId, tuple[messages.Rumor, float]] = {}

    def add(self, host: ids.HostId, *, alive: bool, now_ms: float) -> bool:
        """Add a rumor, and return whether it is new.

        Only the host itself starts a rumor that it is alive, so until that rumor expires it
        overrides suspicions of the host.
        """
        self._expire(now_ms)
        current = self._rows.get(host)
        if current is not None and (current[0].alive or not alive):
            return False
        self._rows[host] = (messages.Rumor(host, alive), now_ms + _RUMOR_TTL_MS)
        return True

    def active(self, now_ms: float) -> tuple[messages.Rumor, ...]:
        """Return the newest unexpired rumors, limited to what one message carries."""
        self._expire(now_ms)
        return tuple(rumor for rumor, _ in list(self._rows.values())[-_MAX_RUMORS_PER_MESSAGE:])

    def _expire(self, now_ms: float) -> None:
        if self._rows:
            self._rows = {host: row for host, row in self._rows.items() if row[1] > now_ms}
