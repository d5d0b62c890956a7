"""State of a claim that is not decided yet: the answers of the witnesses, and their result."""

import enum
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import keys, messages
from verbenadrum.core import ports

__all__ = ["ClaimStage", "ClaimVote", "PendingClaim"]

_RETRYABLE_VERDICTS = (messages.WitnessVerdict.NOT_NOW, messages.WitnessVerdict.OTHER_WITNESSES)
_KEY_FAULTS = (messages.WitnessVerdict.FROM_FUTURE, messages.WitnessVerdict.EXPIRED)


class ClaimStage(enum.Enum):
    """What a claim waits for: a backoff, the witnesses, or the owner of a competing claim."""

    WAITING = "waiting"
    ASKING = "asking"
    QUERYING = "querying"


class ClaimVote(enum.Enum):
    """Result so far of the vote of the witnesses on a claim.

    ``REGISTER_FULL``: a majority of the witnesses has no other claim of the key, but too few of
    them have room to accept this one.
    ``WITNESSES_TOO_NEW``: too many witnesses abstain for a majority.
    """

    OPEN = "open"
    WON = "won"
    TAKEN = "taken"
    KEY_REUSED = "key-reused"
    REGISTER_FULL = "register-full"
    KEY_FROM_FUTURE = "key-from-future"
    KEY_EXPIRED = "key-expired"
    WITNESSES_TOO_NEW = "witnesses-too-new"


class PendingClaim(msgspec.Struct, kw_only=True):
    """A claim that is not decided yet.

    Attributes
    ----------
    request : ClaimRequest
        The request that claims a key.
    done : callable
        Called once with the result.
    owner : Owner
        Owner of the claim: this request.
    started_ms : float
        Monotonic time at which the claim began.
    stage : ClaimStage
        What the claim waits for.
    attempt : int
        Number of the attempt; answers to earlier ones are ignored.
    witnesses : tuple of HostId
        Witnesses asked in this attempt.
    epoch_order : tuple of int
        Generation and revision of the epoch that determines these witnesses; zeros if the host
        has no epoch of the home data centre.
    answers : dict
        Newest answer of each witness in this attempt.
    retry_at_ms : float
        Monotonic time of the next retry.
    holder : Owner or None
        Owner of a competing claim, while its state is queried.
    first_queried_ms : float
        Monotonic time of the first query.
    """

    request: ports.ClaimRequest
    done: Callable[[ports.ClaimResult], None]
    owner: messages.Owner
    started_ms: float
    stage: ClaimStage = ClaimStage.WAITING
    attempt: int = 0
    witnesses: tuple[ids.HostId, ...] = ()
    epoch_order: tuple[int, int] = (0, 0)
    answers: dict[ids.HostId, messages.ClaimAnswer] = msgspec.field(default_factory=dict)
    retry_at_ms: float = float("-inf")
    holder: messages.Owner | None = None
    first_queried_ms: float = 0.0

    @property
    def key(self) -> tuple[ids.WorkspaceId, ids.IdempotencyKey]:
        """Workspace and key."""
        return (self.request.workspace, self.request.key)

    @property
    def unanswered(self) -> list[ids.HostId]:
        """Witnesses to ask again: those without an answer, or with one that may change."""
        return [
            host
            for host in self.witnesses
            if host not in self.answers or self.answers[host].verdict in _RETRYABLE_VERDICTS
        ]

    def competing_owner(self) -> messages.Owner | None:
        """Return the owner of another claim of the key that a witness has reported, or None."""
        holders = (answer.holder for answer in self.answers.values())
        return next((holder for holder in holders if holder is not None), None)

    def result(self) -> ClaimVote:
        """Return the vote so far; a majority of accepts takes precedence over all else."""
        verdicts = [answer.verdict for answer in self.answers.values()]
        needed = keys.majority(self.witnesses)
        accepts = verdicts.count(messages.WitnessVerdict.ACCEPTED)
        if accepts >= needed:
            return ClaimVote.WON
        if messages.WitnessVerdict.KEY_REUSED in verdicts:
            return ClaimVote.KEY_REUSED
        if accepts + len(self.unanswered) >= needed:
            return ClaimVote.OPEN
        return _losing_result(verdicts, needed)


def _losing_result(verdicts: list[messages.WitnessVerdict], needed: int) -> ClaimVote:
    if messages.WitnessVerdict.TAKEN in verdicts:
        return ClaimVote.TAKEN
    if messages.WitnessVerdict.FROM_FUTURE in verdicts:
        return ClaimVote.KEY_FROM_FUTURE
    if messages.WitnessVerdict.EXPIRED in verdicts:
        return ClaimVote.KEY_EXPIRED
    without_claim = verdicts.count(messages.WitnessVerdict.FULL) + verdicts.count(
        messages.WitnessVerdict.ACCEPTED
    )
    return ClaimVote.REGISTER_FULL if without_claim >= needed else ClaimVote.WITNESSES_TOO_NEW
