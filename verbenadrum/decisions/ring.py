"""Bounded in-memory history of the decisions that a host has taken."""

import collections
import enum
from collections.abc import Callable, Iterator

import msgspec

__all__ = ["Decision", "DecisionKind", "DecisionRing"]


class DecisionKind(enum.Enum):
    """Subject of a decision."""

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


class Decision(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One decision and why it was taken.

    Attributes
    ----------
    kind : DecisionKind
        What was decided about.
    choice : str
        What was chosen, such as a server's identifier or ``refused``.
    reason : str
        Short stable reason code, such as ``within-rate``.
    subject : str
        What it concerns: a request, a server, a workspace or a record.
    request : str
        Request identifier, or empty where no request is concerned.
    alternatives : tuple of str
        What else could have been chosen.
    detail : dict of str to int, float or str
        Figures that the choice rested on, with their units in the names.
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
    """Keeps the newest decisions and passes each to a listener.

    Parameters
    ----------
    wall_ms : callable
        Returns the wall time in milliseconds.
    size : int
        How many decisions are kept.
    listener : callable or None
        Called with each decision, for the log.
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
        """Stamp a decision with the time, keep it and tell the listener."""
        stamped = msgspec.structs.replace(decision, at_ms=self._wall_ms())
        self._entries.append(stamped)
        if self._listener is not None:
            self._listener(stamped)

    def find(self, name: str) -> Iterator[Decision]:
        """Yield, oldest first, the decisions about a request, server, workspace or record."""
        for decision in self._entries:
            if name in (decision.request, decision.subject, decision.choice):
                yield decision

    def newest(self, count: int) -> list[Decision]:
        """Return up to ``count`` of the newest decisions, oldest first."""
        return list(self._entries)[-count:]
