"""Decides whether a request for a slot may wait at the home of a pool part, or is refused at once.

It answers the load of a pool that is asked for more than it can serve: a request that cannot be
served in time is told so while its caller can still use another way.
"""

from typing import Protocol

import msgspec

from verbenadrum.placement import messages
from verbenadrum.utils import registry

__all__ = [
    "AdmissionRule",
    "PartLoad",
    "UntilDeadline",
    "Verdict",
    "WithinExpectedWait",
    "admission_rules",
    "retry_delay_ms",
]

_MAX_QUEUED_PER_SLOT = 8
_MIN_QUEUE_LIMIT = 8
# A request is tried in another region once its expected wait here exceeds this.
_OTHER_REGION_WAIT_MS = 250.0
# With a target, it is tried there once the wait here exceeds the latency of reaching that region.
_OTHER_REGION_WAIT_WITH_TARGET_MS = 80.0
# A request with a target latency waits for a slot for at most this fraction of the time left. Its
# response can then still meet the target, and a refusal leaves its caller time to retry.
_MAX_WAIT_FRACTION = 0.35
# A queued request that waits longer than estimated still gets a slot while at least this many mean
# service times are left of its target.
_LATEST_START_SERVICE_TIMES = 1.5
# A target shorter than this many mean service times cannot be met and is ignored.
_MIN_TARGET_SERVICE_TIMES = 1.5
# The jitter keeps callers that are refused together from retrying together.
_RETRY_AFTER_BASE_MS = 120.0
_RETRY_AFTER_JITTER_MS = 240.0


class PartLoad(msgspec.Struct, frozen=True, kw_only=True):
    """State of a part that decides about one more request.

    Attributes
    ----------
    has_servers : bool
        Whether any server may get requests.
    slots : float
        Number of slots that can be used.
    service_ms : float
        Mean service time in milliseconds.
    ahead : int
        Number of requests of the same workspace that come before it.
    wait_ms : float
        Expected wait in milliseconds.
    rest_ms : float
        Time in milliseconds for which no server takes requests of the entry host; 0 if one does.
    random_fraction : float
        Random number, 0 to 1, that spreads the retries of refused callers.
    """

    has_servers: bool
    slots: float
    service_ms: float
    ahead: int
    wait_ms: float
    rest_ms: float
    random_fraction: float


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a request for which no slot is free.

    Attributes
    ----------
    state : int
        A value of `messages.PlaceState`: the request waits, is refused, or is tried elsewhere.
    reason : str
        Short stable reason code.
    retry_after_ms : float
        When a refused caller should try again, in milliseconds; 0 for no advice.
    """

    state: int
    reason: str
    retry_after_ms: float = 0.0


class AdmissionRule(Protocol):
    """Rule of admission to the queue of a part."""

    def max_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return how long a request may wait for a slot, by the estimate at its admission."""

    def latest_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return the wait after which a request can just be answered within its target."""

    def decide(self, ask: messages.PlaceAsk, load: PartLoad) -> Verdict:
        """Decide about a request for which no slot is free."""


admission_rules: registry.Registry[type[AdmissionRule]] = registry.Registry(kind="admission rule")


@admission_rules.register("expected-wait")
class WithinExpectedWait:
    """Queues a request only if it is expected to get a slot soon enough for its target.

    Any other one is refused at once, or tried in another region if that is sooner.
    """

    def max_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return how long a request may wait for a slot, by the estimate at its admission."""
        if not ask.remaining_target_ms:
            return ask.remaining_ms
        left_ms = ask.remaining_target_ms
        if left_ms < _MIN_TARGET_SERVICE_TIMES * service_ms:
            # The target cannot be met, but the request can still be served by its deadline.
            left_ms = ask.remaining_ms
        return max(0.0, min(_MAX_WAIT_FRACTION * left_ms, ask.remaining_ms - service_ms))

    def latest_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return the wait after which a request can just be answered within its target."""
        return (
            min(ask.remaining_target_ms, ask.remaining_ms)
            - _LATEST_START_SERVICE_TIMES * service_ms
        )

    def decide(self, ask: messages.PlaceAsk, load: PartLoad) -> Verdict:
        """Decide about a request for which no slot is free."""
        states = messages.PlaceState
        has_target = bool(ask.remaining_target_ms)
        elsewhere_ms = _OTHER_REGION_WAIT_WITH_TARGET_MS if has_target else _OTHER_REGION_WAIT_MS
        max_wait_ms = self.max_wait_ms(ask, load.service_ms)
        excess_ms = max(0.0, load.wait_ms - max_wait_ms)
        retry_after_ms = retry_delay_ms(excess_ms, load.random_fraction)
        refusal = _forced_refusal(ask, load)
        if refusal is not None:
            return refusal
        if not ask.is_last_region and load.wait_ms > max(elsewhere_ms, max_wait_ms):
            return Verdict(state=states.ELSEWHERE, reason="other-region-sooner")
        reason = self._refusal_reason(ask, load, max_wait_ms)
        if reason:
            return _refusal(reason, retry_after_ms)
        if not ask.is_last_region and load.wait_ms > elsewhere_ms:
            return Verdict(state=states.QUEUED_OR_ELSEWHERE, reason="queued")
        return Verdict(state=states.QUEUED, reason="queued")

    def _refusal_reason(self, ask: messages.PlaceAsk, load: PartLoad, max_wait_ms: float) -> str:
        """Return why a request must not wait here, or an empty string if it may."""
        if ask.from_other_region and ask.remaining_target_ms:
            # During the round trip to the other region the slot would serve none of this region's
            # callers.
            return "no-free-slot-for-far"
        if load.wait_ms > max_wait_ms:
            return "deadline-unreachable"
        return "queue-full" if _is_queue_full(load) else ""


@admission_rules.register("until-deadline")
class UntilDeadline:
    """Baseline: every request waits until its deadline, as long as the queue has room."""

    def max_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return the time until the deadline."""
        return ask.remaining_ms

    def latest_wait_ms(self, ask: messages.PlaceAsk, service_ms: float) -> float:
        """Return the time until the deadline."""
        return ask.remaining_ms

    def decide(self, ask: messages.PlaceAsk, load: PartLoad) -> Verdict:
        """Decide about a request for which no slot is free."""
        refusal = _forced_refusal(ask, load)
        if refusal is not None:
            return refusal
        if _is_queue_full(load):
            return _refusal("queue-full", retry_delay_ms(0.0, load.random_fraction))
        return Verdict(state=messages.PlaceState.QUEUED, reason="queued")


def retry_delay_ms(wait_ms: float, random_fraction: float) -> float:
    """Return the retry delay for a refused caller: the wait plus a base delay and jitter.

    Examples
    --------
    >>> retry_delay_ms(100.0, 0.5)
    340.0
    """
    return wait_ms + _RETRY_AFTER_BASE_MS + _RETRY_AFTER_JITTER_MS * random_fraction


def _forced_refusal(ask: messages.PlaceAsk, load: PartLoad) -> Verdict | None:
    """Return the answer to a request that no server takes, however long it waits."""
    if not load.has_servers:
        return _refusal("no-eligible-server", retry_delay_ms(0.0, load.random_fraction))
    if load.rest_ms and not ask.is_last_region:
        return Verdict(state=messages.PlaceState.ELSEWHERE, reason="servers-resting")
    if load.rest_ms:
        return _refusal("servers-resting", load.rest_ms)
    return None


def _is_queue_full(load: PartLoad) -> bool:
    return load.ahead >= max(_MIN_QUEUE_LIMIT, load.slots * _MAX_QUEUED_PER_SLOT)


def _refusal(reason: str, retry_after_ms: float) -> Verdict:
    return Verdict(state=messages.PlaceState.REFUSED, reason=reason, retry_after_ms=retry_after_ms)
