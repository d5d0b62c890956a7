"""Interface of the failure detectors of backend servers: their input and their verdicts."""

import enum
import typing
from collections.abc import Iterable

import msgspec

from verbenadrum import ids
from verbenadrum.core import ports

__all__ = ["Evidence", "Flight", "Judge", "Verdict", "VerdictKind"]


class Flight(msgspec.Struct, kw_only=True):
    """An in-flight attempt at a backend server.

    Attributes
    ----------
    server : ServerId
        The backend server that has not answered yet.
    observer : HostId
        The entry host that sent the attempt.
    group : DataCentreId
        Data centre of the observer.
    waited_ms : float
        Time since the attempt was sent, as last reported by the observer.
    """

    server: ids.ServerId
    observer: ids.HostId
    group: ids.DataCentreId
    waited_ms: float


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt at a backend server.

    Attributes
    ----------
    server : ServerId
        The backend server.
    observer : HostId
        The entry host that sent the attempt.
    group : DataCentreId
        Data centre of the observer.
    kind : OutcomeKind
        How the attempt ended.
    latency_ms : float
        Time from the first byte sent to the head of the answer, or to the failure.
    at_ms : float
        Monotonic time of the end.
    """

    server: ids.ServerId
    observer: ids.HostId
    group: ids.DataCentreId
    kind: ports.OutcomeKind
    latency_ms: float
    at_ms: float


class VerdictKind(enum.Enum):
    """Cause of the failures.

    ``SICK``: the server is faulty. ``PATH``: the network paths from a few entry hosts to it are.
    ``SHARED``: a fault that affects other servers too.
    """

    SICK = "sick"
    PATH = "path"
    SHARED = "shared"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of `Judge.find_outliers` for one suspected server.

    ``score`` is the weight of the evidence, in a unit of the detector's own. ``observers`` is set
    for `VerdictKind.PATH` only: the entry hosts whose attempts fail.
    """

    kind: VerdictKind
    server: ids.ServerId
    reason: str
    score: float
    observers: tuple[ids.HostId, ...] = ()


class Judge(typing.Protocol):
    """Failure detector for the servers of one pool.

    A judge decides only whether a server is faulty; `ejection.Ejector` decides whether the pool's
    floor allows it to be ejected.
    """

    def record_outcome(self, evidence: Evidence) -> None:
        """Add the outcome of an attempt to the evidence."""

    def find_outliers(self, *, now_ms: float, flights: Iterable[Flight]) -> list[Verdict]:
        """Return the suspected servers, worst first, given the in-flight attempts."""

    def fault_probability(self, server: ids.ServerId, now_ms: float) -> float:
        """Return the probability that a server is faulty; 0 if the judge does not estimate it."""

    def forget(self, server: ids.ServerId) -> None:
        """Drop the evidence about a server, after it was ejected, restored or excused."""
