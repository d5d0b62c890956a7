"""Refusals that the pipeline answers with, one function for each cause."""

import msgspec

from verbenadrum.core import ports

__all__ = [
    "attempt_failed",
    "claim_refused",
    "deadline_passed",
    "host_ended",
    "no_route",
    "not_configured",
    "not_admitted",
    "not_authenticated",
    "not_placed",
]

_CLAIM_STATUS = {
    ports.ClaimState.IN_PROGRESS: 409,
    ports.ClaimState.UNKNOWN: 409,
    ports.ClaimState.NOT_RUN: 503,
}
# A host learns the routes within this time of its start unless it reaches nobody.
NOT_CONFIGURED_RETRY_MS = 200.0
# A server that sheds, or a home that does not answer, is likely to have room after a work time.
SHED_RETRY_MS = 150.0
# Another host serves at once; without a time callers would wait for one of their own.
HOST_ENDED_RETRY_MS = 50.0
KEY_REUSED = "key-reused"
POISON_REQUEST = "poison-request"
LIMIT_UNAVAILABLE = "limit-unavailable"
_OUTCOME_STATUS = {ports.OutcomeKind.TIMEOUT: 504, ports.OutcomeKind.CANCELLED: 504}


def not_configured(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of any request to a host that knows no routes yet."""
    return ports.Refusal(
        request=head.request,
        status=503,
        code="not-configured",
        detail="this host has not learned the routes yet",
        not_run=ports.NotRun.TRUE,
        retry_after_ms=NOT_CONFIGURED_RETRY_MS,
    )


def no_route(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of a path that no route covers."""
    return ports.Refusal(
        request=head.request,
        status=404,
        code="no-route",
        detail="no route covers this host and path",
        not_run=ports.NotRun.TRUE,
    )


def not_authenticated(head: ports.RequestHead) -> ports.Refusal:
    """Return the refusal of a request with no key, or one that is not in force."""
    code = "key-refused" if head.key else "key-missing"
    return ports.Refusal(
        request=head.request,
        status=401,
        code=code,
        detail="this route needs a key that is in force",
        not_run=ports.NotRun.TRUE,
    )


def not_admitted(head: ports.RequestHead, admission: ports.Admission) -> ports.Refusal:
    """Return the refusal of a request over its workspace's rate, or of one without a share."""
    return ports.Refusal(
        request=head.request,
        status=503 if admission.reason == LIMIT_UNAVAILABLE else 429,
        code=admission.reason,
        detail="the workspace's rate and burst do not admit this request now",
        not_run=ports.NotRun.TRUE,
        retry_after_ms=admission.retry_after_ms,
    )


def claim_refused(head: ports.RequestHead, claim: ports.Claim) -> ports.Refusal:
    """Return the refusal of an idempotency key that this request may not run."""
    not_run = ports.NotRun.UNKNOWN
    if claim.state is ports.ClaimState.NOT_RUN:
        not_run = ports.NotRun.TRUE
    status = 422 if claim.reason == KEY_REUSED else _CLAIM_STATUS[claim.state]
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
    """Return the refusal of a request that got no backend server."""
    # A poison request's earlier copies have run, so its refusal never claims that nothing ran.
    unsure = may_have_run or placement.reason == POISON_REQUEST
    return ports.Refusal(
        request=head.request,
        status=502 if may_have_run else 503,
        code=placement.reason,
        detail="no backend server could take the request",
        not_run=ports.NotRun.UNKNOWN if unsure else ports.NotRun.TRUE,
        retry_after_ms=placement.retry_after_ms,
    )


def attempt_failed(
    head: ports.RequestHead, outcome: ports.Outcome, may_have_run: bool
) -> ports.Refusal:
    """Return the refusal of a request whose last attempt failed."""
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
    """Return the refusal of a request whose deadline passed before an answer began."""
    return ports.Refusal(
        request=head.request,
        status=504 if may_have_run else 503,
        code="deadline-passed",
        detail="the request's deadline passed",
        not_run=ports.NotRun.UNKNOWN if may_have_run else ports.NotRun.TRUE,
        retry_after_ms=0.0 if may_have_run else SHED_RETRY_MS,
    )


def host_ended(head: ports.RequestHead, may_have_run: bool) -> ports.Refusal:
    """Return the refusal of a request that a host cannot keep because it shuts down."""
    return msgspec.structs.replace(
        deadline_passed(head, may_have_run),
        code="host-ended",
        detail="the host shuts down",
        retry_after_ms=0.0 if may_have_run else HOST_ENDED_RETRY_MS,
    )
