"""Builds the refusals of the pipeline, one function for each cause.

``not_run`` of a refusal is `NotRun.TRUE` only where certainly no backend server processed the
request. ``retry_after_ms`` of 0 gives no Retry-After.
"""

import msgspec

from verbenadrum.core import ports

__all__ = [
    "attempt_failed",
    "claim_refused",
    "deadline_passed",
    "host_shutting_down",
    "no_route",
    "not_configured",
    "not_admitted",
    "no_request_id",
    "not_authenticated",
    "not_placed",
]

_CLAIM_STATUS = {
    ports.ClaimState.IN_PROGRESS: 409,
    ports.ClaimState.UNKNOWN: 409,
    ports.ClaimState.NOT_RUN: 503,
}
# A starting host receives the routes within this time unless it reaches neither peers nor the
# platform.
NOT_CONFIGURED_RETRY_MS = 200.0
# A server that sheds load, or a pool home that does not answer, usually has capacity again after
# about one service time.
SHED_RETRY_MS = 150.0
# Another host can serve the request at once. Without Retry-After callers would use a default delay
# of their own.
SHUTDOWN_RETRY_MS = 50.0
KEY_REUSED = "key-reused"
KEY_TOO_LONG = "key-too-long"
_KEY_FAULT_STATUS = {KEY_REUSED: 422, KEY_TOO_LONG: 400}
POISON_REQUEST = "poison-request"
LIMIT_UNAVAILABLE = "limit-unavailable"
_OUTCOME_STATUS = {ports.OutcomeKind.TIMEOUT: 504, ports.OutcomeKind.CANCELLED: 504}


def not_configured(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of any request to a host that has not received routes yet."""
    return ports.Refusal(
        request=head.request,
        status=503,
        code="not-configured",
        detail="this host has not learned the routes yet",
        not_run=ports.NotRun.TRUE,
        retry_after_ms=NOT_CONFIGURED_RETRY_MS,
    )


def no_route(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of a request whose host name and path match no route."""
    return ports.Refusal(
        request=head.request,
        status=404,
        code="no-route",
        detail="no route covers this host and path",
        not_run=ports.NotRun.TRUE,
    )


def not_authenticated(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of a request with no API key, or with one that is not in force."""
    code = "key-refused" if head.api_key else "key-missing"
    return ports.Refusal(
        request=head.request,
        status=401,
        code=code,
        detail="this route needs a key that is in force",
        not_run=ports.NotRun.TRUE,
    )


def no_request_id(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of a request without the identifier that its caller has to set."""
    return ports.Refusal(
        request=head.request,
        status=400,
        code="request-id-missing",
        detail="a request carries its caller's identifier",
        not_run=ports.NotRun.TRUE,
    )


def not_admitted(head: ports.RequestHead, admission: ports.Admission) -> ports.Refusal:
    """Return the refusal of a request that the limiter did not admit.

    The status is 429 for a request over its workspace's rate and burst, and 503 where this host
    has no share of the limit to decide with.
    """
    return ports.Refusal(
        request=head.request,
        status=503 if admission.reason == LIMIT_UNAVAILABLE else 429,
        code=admission.reason,
        detail="the workspace's rate and burst do not admit this request now",
        not_run=ports.NotRun.TRUE,
        retry_after_ms=admission.retry_after_ms,
    )


def claim_refused(head: ports.RequestHead, claim: ports.ClaimResult) -> ports.Refusal:
    """Return the refusal of a request that did not win the claim of its idempotency key.

    The status is 422 for a key that was used with a different request, 400 for one that is too
    long, 409 where the key's first
    request is in progress or ended with an unknown outcome, and 503 where nothing has run.
    """
    not_run = ports.NotRun.UNKNOWN
    if claim.state is ports.ClaimState.NOT_RUN:
        not_run = ports.NotRun.TRUE
    status = _KEY_FAULT_STATUS.get(claim.reason) or _CLAIM_STATUS[claim.state]
    return ports.Refusal(
        request=head.request,
        status=status,
        code=claim.reason,
        detail=f"the idempotency key is {claim.state.value}",
        not_run=not_run,
    )


def not_placed(
    head: ports.RequestHead, placement: ports.Placement, may_have_run: bool
) -> ports.Refusal:
    """Return the refusal of a request for which the placer granted no backend server.

    ``may_have_run`` says whether an earlier attempt of the request may have run.
    """
    # Earlier requests equal to a poison request have run, so its refusal never states that nothing
    # ran.
    uncertain = may_have_run or placement.reason == POISON_REQUEST
    return ports.Refusal(
        request=head.request,
        status=502 if may_have_run else 503,
        code=placement.reason,
        detail="no backend server could take the request",
        not_run=ports.NotRun.UNKNOWN if uncertain else ports.NotRun.TRUE,
        retry_after_ms=placement.retry_after_ms,
    )


def attempt_failed(
    head: ports.RequestHead, outcome: ports.Outcome, may_have_run: bool
) -> ports.Refusal:
    """Return the refusal of a request whose last attempt failed and is not retried."""
    status = _OUTCOME_STATUS.get(outcome.kind, 502)
    return ports.Refusal(
        request=head.request,
        status=status if may_have_run else 503,
        code=outcome.kind.value,
        detail="the backend server did not give a whole answer",
        not_run=ports.NotRun.UNKNOWN if may_have_run else ports.NotRun.TRUE,
        retry_after_ms=0.0 if may_have_run else SHED_RETRY_MS,
    )


def deadline_passed(head: ports.RequestHead, may_have_run: bool) -> ports.Refusal:
    """Return the refusal of a request whose deadline passed before an answer was committed."""
    return ports.Refusal(
        request=head.request,
        status=504 if may_have_run else 503,
        code="deadline-passed",
        detail="the request's deadline passed",
        not_run=ports.NotRun.UNKNOWN if may_have_run else ports.NotRun.TRUE,
        retry_after_ms=0.0 if may_have_run else SHED_RETRY_MS,
    )


def host_shutting_down(head: ports.RequestHead, may_have_run: bool) -> ports.Refusal:
    """Return the refusal of a request that this host cannot finish before it shuts down."""
    return msgspec.structs.replace(
        deadline_passed(head, may_have_run),
        code="host-ended",
        detail="the host shuts down",
        retry_after_ms=0.0 if may_have_run else SHUTDOWN_RETRY_MS,
    )
