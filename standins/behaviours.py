"""Misbehaviours of a backend server, filed by name; several may be in force at a time.

Each behaviour edits the plan of one call before the server carries it out.
"""

import enum
import random
from collections.abc import Callable

import msgspec

from verbenadrum.utils import registry

__all__ = ["Behaviour", "Call", "Fault", "Plan", "Truncation", "behaviours", "make_plan"]

HEALTH_PATH = "/health"
CRASH_MARK = "crash=1"


class Truncation(enum.Enum):
    """How an answer ends too early."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A behaviour in force.

    Attributes
    ----------
    name : str
        Registered name.
    share : float
        Fraction of the calls concerned, 0 to 1.
    ms : float
        Its duration or period in milliseconds, where it has one.
    mode : str
        Variant, where it has several.
    """

    name: str
    share: float = 1.0
    ms: float = 0.0
    mode: str = ""


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """What a behaviour may look at: path with query, and the fault's age in milliseconds."""

    target: str
    age_ms: float = 0.0

    @property
    def is_probe(self) -> bool:
        """Whether this is a health probe."""
        return self.target.partition("?")[0] == HEALTH_PATH


class Plan(msgspec.Struct, kw_only=True):
    """How a call will be answered."""

    service_ms: float
    status: int = 200
    run: bool = True
    draining: bool = False
    crossed: bool = False
    crash: bool = False
    truncation: Truncation = Truncation.NONE


Behaviour = Callable[[Plan, Call, Fault], None]
behaviours: registry.Registry[Behaviour] = registry.Registry(kind="behaviour")

_STALL_MS = 30_000.0
_PERIOD_MS = 2_000.0
_COLD_MS = 5_000.0
_COLD_FACTOR = 10.0


def make_plan(
    call: Call, faults: dict[Fault, float], *, service_ms: float, now_ms: float, rng: random.Random
) -> Plan:
    """Return the plan of a call under the faults in force, each with the time it was set.

    Examples
    --------
    >>> fault = Fault(name="error")
    >>> make_plan(Call(target="/"), {fault: 0.0}, service_ms=5.0, now_ms=1.0, rng=random).status
    500
    """
    plan = Plan(service_ms=service_ms)
    for fault, since_ms in faults.items():
        if rng.random() < fault.share:
            seen = msgspec.structs.replace(call, age_ms=now_ms - since_ms)
            behaviours.get(fault.name)(plan, seen, fault)
    return plan


@behaviours.register("stall")
def _stall(plan: Plan, call: Call, fault: Fault) -> None:
    plan.service_ms += fault.ms or _STALL_MS


@behaviours.register("error")
def _error(plan: Plan, call: Call, fault: Fault) -> None:
    plan.status = 500


@behaviours.register("flap")
def _flap(plan: Plan, call: Call, fault: Fault) -> None:
    half = int(call.age_ms // (fault.ms or _PERIOD_MS))
    if half % 2 == 0:
        plan.status = 500


@behaviours.register("truncate")
def _truncate(plan: Plan, call: Call, fault: Fault) -> None:
    plan.truncation = Truncation(fault.mode or "length")


@behaviours.register("cross")
def _cross(plan: Plan, call: Call, fault: Fault) -> None:
    plan.crossed = True


@behaviours.register("crash")
def _crash(plan: Plan, call: Call, fault: Fault) -> None:
    plan.crash = CRASH_MARK in call.target


@behaviours.register("drain")
def _drain(plan: Plan, call: Call, fault: Fault) -> None:
    plan.draining = True


@behaviours.register("cold")
def _cold(plan: Plan, call: Call, fault: Fault) -> None:
    if call.age_ms < (fault.ms or _COLD_MS):
        plan.service_ms *= _COLD_FACTOR


@behaviours.register("shed")
def _shed(plan: Plan, call: Call, fault: Fault) -> None:
    plan.run = False
    plan.status = 503


@behaviours.register("mislead")
def _mislead(plan: Plan, call: Call, fault: Fault) -> None:
    """Health tells the opposite of the truth: ``ill`` for a well server, else ``well``."""
    if call.is_probe:
        plan.status = 503 if fault.mode == "ill" else 200
        plan.service_ms = 1.0
