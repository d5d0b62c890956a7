"""Registry of the faults that a stand-in backend server can be given; several can be combined.

A registered behaviour is a function that changes the plan of one request before the backend server
carries it out. A `Fault` chooses a behaviour by its registered name and sets its parameters.
"""

import enum
import random
from collections.abc import Callable

import msgspec

from verbenadrum.utils import registry

__all__ = [
    "Behaviour",
    "Call",
    "FRAMINGS",
    "Fault",
    "Plan",
    "STATUS_LINES",
    "Truncation",
    "behaviours",
    "make_plan",
]

HEALTH_PATH = "/health"
CRASH_QUERY = "crash=1"
UPLOAD_QUERY = "upload=1"


class Truncation(enum.Enum):
    """How an answer is truncated.

    ``LENGTH`` closes the connection before the body has its Content-Length, ``CHUNKED`` closes it
    inside a chunk.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """Fault of a backend server: a registered behaviour and its parameters.

    Attributes
    ----------
    name : str
        Registered name of the behaviour.
    share : float
        Fraction of the requests that are affected, chosen at random; 0 to 1.
    ms : float
        Duration of the behaviour in milliseconds; for ``flap``, of each phase of errors and of each
        phase without. 0 for its default.
    mode : str
        Variant of the behaviour, such as ``chunked``; empty for its default.
    rate_per_s : float
        Requests per second, for ``limit``.
    """

    name: str
    share: float = 1.0
    ms: float = 0.0
    mode: str = ""
    rate_per_s: float = 0.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Request as a behaviour sees it.

    Attributes
    ----------
    target : str
        Path and query.
    age_ms : float
        Milliseconds since the fault was set.
    """

    target: str
    age_ms: float = 0.0

    @property
    def is_probe(self) -> bool:
        """Whether the request is a health probe."""
        return self.target.partition("?")[0] == HEALTH_PATH


class Plan(msgspec.Struct, kw_only=True):
    """How a backend server answers one request.

    Attributes
    ----------
    service_ms : float
        Service time in milliseconds.
    status : int
        Status code of the answer.
    run : bool
        Whether the request runs; otherwise it is refused with 503 as not run.
    draining : bool
        Whether the answer announces that the server is draining.
    limit_per_s : float or None
        Limit that the answer names; None for none.
    rest_ms : float
        Time in milliseconds for which a refusal asks for no further requests; 0 for none.
    crossed : bool
        Whether the answer of the previous request is sent instead of the request's own.
    crash : bool
        Whether the process exits when the run starts.
    truncation : Truncation
        How the body is truncated.
    framing : str
        How the head is broken or contradicts itself, as in `FRAMINGS`; empty for not at all.
    reset_after_ms : float or None
        Time in milliseconds after which the connection is reset, while the request is still being
        sent and after a part of an answer without a length. None for no reset.
    interim : bool
        Whether an interim head comes before the run.
    """

    service_ms: float
    status: int = 200
    run: bool = True
    draining: bool = False
    limit_per_s: float | None = None
    rest_ms: float = 0.0
    crossed: bool = False
    crash: bool = False
    truncation: Truncation = Truncation.NONE
    framing: str = ""
    reset_after_ms: float | None = None
    interim: bool = False


# Headers that contradict the framing of a body, or are malformed; ``%d`` is its length. The body is
# sent in chunks where a Transfer-Encoding says so.
FRAMINGS = {
    "chunks-and-length": ("Transfer-Encoding: chunked", "Content-Length: 9"),
    "two-lengths": ("Content-Length: 3", "Content-Length: %d"),
    "signed-length": ("Content-Length: +%d",),
    "two-codings": ("Transfer-Encoding: gzip, chunked",),
    "blank-in-name": ("X Bad: 1", "Content-Length: %d"),
    "control-in-name": ("X-Bad\x01: 1", "Content-Length: %d"),
    "control-in-value": ("X-Bad: \x01", "Content-Length: %d"),
    "status-zero": ("Content-Length: %d",),
    "status-signed": ("Content-Length: %d",),
}
# Malformed status lines, by the names of their `FRAMINGS`.
STATUS_LINES = {
    "status-zero": "HTTP/1.1 000 OK",
    "status-signed": "HTTP/1.1 +200 OK",
}

Behaviour = Callable[[Plan, Call, Fault], None]
behaviours: registry.Registry[Behaviour] = registry.Registry(kind="behaviour")

_DEFAULT_STALL_MS = 30_000.0
_DEFAULT_FLAP_INTERVAL_MS = 2_000.0
_DEFAULT_COLD_MS = 5_000.0
_COLD_SLOWDOWN_FACTOR = 10.0
_DEFAULT_REST_MS = 3_000.0


def make_plan(
    call: Call, faults: dict[Fault, float], *, service_ms: float, now_ms: float, rng: random.Random
) -> Plan:
    """Return the plan of a request under the current faults.

    Parameters
    ----------
    call : Call
        The request.
    faults : dict of Fault to float
        Current faults, and the time in milliseconds at which each was set.
    service_ms : float
        Service time in milliseconds before the faults are applied.
    now_ms : float
        Present time in milliseconds, on the clock of the times in ``faults``.
    rng : random.Random
        Chooses the requests that a fault with a share below 1 affects.

    Examples
    --------
    >>> fault = Fault(name="error")
    >>> make_plan(Call(target="/"), {fault: 0.0}, service_ms=5.0, now_ms=1.0, rng=random).status
    500
    """
    plan = Plan(service_ms=service_ms)
    for fault, set_at_ms in faults.items():
        if rng.random() < fault.share:
            aged_call = msgspec.structs.replace(call, age_ms=now_ms - set_at_ms)
            behaviours.get(fault.name)(plan, aged_call, fault)
    return plan


@behaviours.register("stall")
def _stall(plan: Plan, call: Call, fault: Fault) -> None:
    plan.service_ms += fault.ms or _DEFAULT_STALL_MS


@behaviours.register("error")
def _error(plan: Plan, call: Call, fault: Fault) -> None:
    plan.status = 500


@behaviours.register("flap")
def _flap(plan: Plan, call: Call, fault: Fault) -> None:
    interval = int(call.age_ms // (fault.ms or _DEFAULT_FLAP_INTERVAL_MS))
    if interval % 2 == 0:
        plan.status = 500


@behaviours.register("truncate")
def _truncate(plan: Plan, call: Call, fault: Fault) -> None:
    plan.truncation = Truncation(fault.mode or "length")


@behaviours.register("cross")
def _cross(plan: Plan, call: Call, fault: Fault) -> None:
    plan.crossed = True


@behaviours.register("crash")
def _crash(plan: Plan, call: Call, fault: Fault) -> None:
    plan.crash = CRASH_QUERY in call.target


@behaviours.register("drain")
def _drain(plan: Plan, call: Call, fault: Fault) -> None:
    plan.draining = True


@behaviours.register("limit")
def _limit(plan: Plan, call: Call, fault: Fault) -> None:
    plan.limit_per_s = fault.rate_per_s


@behaviours.register("rest")
def _rest(plan: Plan, call: Call, fault: Fault) -> None:
    """Refuse the request, and ask its host for no further ones for a while."""
    plan.run = False
    plan.status = 503
    plan.rest_ms = fault.ms or _DEFAULT_REST_MS


@behaviours.register("cold")
def _cold(plan: Plan, call: Call, fault: Fault) -> None:
    if call.age_ms < (fault.ms or _DEFAULT_COLD_MS):
        plan.service_ms *= _COLD_SLOWDOWN_FACTOR


@behaviours.register("shed")
def _shed(plan: Plan, call: Call, fault: Fault) -> None:
    plan.run = False
    plan.status = 503


@behaviours.register("mislead")
def _mislead(plan: Plan, call: Call, fault: Fault) -> None:
    """Answer health probes with 503 in mode ``ill``, otherwise with 200, after 1 ms.

    The second case is a server that passes its probes while its requests fail. Only the status and
    the service time that earlier faults in the list have set are replaced.
    """
    if call.is_probe:
        plan.status = 503 if fault.mode == "ill" else 200
        plan.service_ms = 1.0


@behaviours.register("frame")
def _frame(plan: Plan, call: Call, fault: Fault) -> None:
    plan.framing = fault.mode or "chunks-and-length"


@behaviours.register("interim")
def _interim(plan: Plan, call: Call, fault: Fault) -> None:
    plan.interim = True


@behaviours.register("reset")
def _reset(plan: Plan, call: Call, fault: Fault) -> None:
    """Answer an upload before it was read, without a length, and reset its connection."""
    if UPLOAD_QUERY in call.target:
        plan.reset_after_ms = fault.ms
