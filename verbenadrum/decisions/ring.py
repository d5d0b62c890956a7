"""Ring buffer of the newest decisions that a host has made."""

import collections
import enum
from collections.abc import Callable, Iterator

import msgspec

__all__ = ["Decision", "DecisionKind", "DecisionRing"]


class DecisionKind(enum.Enum):
    """What a decision is about; the values appear in the log."""

    ROUTE = "route"
    AUTHENTICATE = "authenticate"
    LIMIT = "limit"
    CLAIM = "claim"
    PLACE = "place"
    RETRY = "retry"
    OUTCOME = "outcome"
    EJECT = "eject"
    RESTORE = "restore"
    REFUSE = "refuse"
    ABANDON = "abandon"
    EPOCH = "epoch"
    LEASE = "lease"
    RECORD = "record"
    MEMBERSHIP = "membership"
    HOME = "home"
    SIGNAL = "signal"


class Decision(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One decision and its reason.

    Attributes
    ----------
    kind : DecisionKind
        What the decision is about.
    choice : str
        What was chosen, such as a server's identifier or ``refused``.
    reason : str
        Short, stable code of the reason, such as ``within-rate``.
    subject : str
        Name of the route, server, workspace, record or host concerned; empty for none.
    request : str
        Identifier of the request concerned; empty for none.
    alternatives : tuple of str
        Other options that could have been chosen.
    detail : dict of str to int, float or str
        Values on which the choice was based; the keys include the units.
    at_ms : float
        Wall time in milliseconds since the Unix epoch; set by the ring.
    """

    kind: DecisionKind
    choice: str
    reason: str
    subject: str = ""
    request: str = ""
    alternatives: tuple[str, ...] = ()
    detail: dict[str, int | float | str] = {}
    at_ms: float = 0.0


class DecisionRing:
    """Keeps the newest decisions and passes each new one to a listener.

    Parameters
    ----------
    wall_ms : callable
        Returns the wall time in milliseconds since the Unix epoch.
    size : int
        Maximum number of decisions kept; the oldest are discarded first.
    listener : callable or None
        Called with each added decision; used to write the log.
    """

    def __init__(
        self,
        *,
        wall_ms: Callable[[], float],
        size: int = 4096,
        listener: Callable[[Decision], None] | None = None,
    ) -> None:
        self._wall_ms = wall_ms
        self._entries: collections.deque[Decision] = collections.deque(maxlen=size)
        self._listener = listener

    def add(self, decision: Decision) -> None:
        """Keep a decision with the current time as its ``at_ms`` and call the listener."""
        stamped = msgspec.structs.replace(decision, at_ms=self._wall_ms())
        self._entries.append(stamped)
        if self._listener is not None:
            self._listener(stamped)

    def find(self, name: str) -> Iterator[Decision]:
        """Yield, oldest first, the decisions whose request, subject or choice equals ``name``."""
        for decision in self._entries:
            if name in (decision.request, decision.subject, decision.choice):
                yield decision

    def newest(self, count: int) -> list[Decision]:
        """Return up to ``count`` of the newest decisions, oldest first."""
        return list(self._entries)[-count:]
