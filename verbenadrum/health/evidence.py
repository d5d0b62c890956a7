"""What a judge of backend servers is told, and what it answers."""

import enum
import typing
from collections.abc import Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports

__all__ = ["Evidence", "Flight", "Judge", "Verdict", "VerdictKind"]


class Flight(msgspec.Struct, kw_only=True):
    """An attempt without an answer.

    Attributes
    ----------
    server : ServerId
        The backend server that has not answered.
    observer : HostId
        The entry host that waits.
    group : DataCentreId
        Where the observer stands.
    waited_ms : float
        How long the observer has waited, as it last said itself.
    """

    server: ids.ServerId
    observer: ids.HostId
    group: ids.DataCentreId
    waited_ms: float


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that has ended."""

    server: ids.ServerId
    observer: ids.HostId
    group: ids.DataCentreId
    kind: ports.OutcomeKind
    latency_ms: float
    at_ms: float


class VerdictKind(enum.Enum):
    """What is at fault."""

    SICK = "sick"
    PATH = "path"
    SHARED = "shared"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Suspicion of one server, with the weight of the evidence.

    ``observers`` is set for `VerdictKind.PATH`: only these entry hosts fail to use the server.
    """

    kind: VerdictKind
    server: ids.ServerId
    reason: str
    score: float
    observers: tuple[ids.HostId, ...] = ()


class Judge(typing.Protocol):
    """Weighs the evidence about the servers of one pool.

    A judge decides on sickness alone; `ejection.Ejector` decides whether the floor allows the
    server to be taken out.
    """

    def ended(self, evidence: Evidence) -> None:
        """Take in the end of an attempt."""

    def review(self, *, now_ms: float, flights: Iterable[Flight]) -> list[Verdict]:
        """Return the suspected servers, worst first."""

    def doubt(self, server: ids.ServerId, now_ms: float) -> float:
        """Return the probability that a server is sick; 0 from a judge that gives verdicts."""

    def forget(self, server: ids.ServerId) -> None:
        """Drop all evidence about a server: it was ejected, restored or excused."""
