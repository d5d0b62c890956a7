"""One request's claim on its way: the answers of the witnesses, and what they add up to."""

import enum
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import keys, messages
from verbenadrum.core import ports

__all__ = ["AttemptRow", "Result", "Stage"]

_RETRIED = (messages.Verdict.NOT_NOW, messages.Verdict.OTHER_WITNESSES)
_KEY_FAULTS = (messages.Verdict.FROM_FUTURE, messages.Verdict.EXPIRED)


class Stage(enum.Enum):
    """What a claim waits for."""

    WAITING = "waiting"
    ASKING = "asking"
    QUERYING = "querying"


class Result(enum.Enum):
    """What the answers of the witnesses add up to.

    ``ABSENT`` says that a majority knows of no claim but has no room for one.
    """

    OPEN = "open"
    WON = "won"
    TAKEN = "taken"
    KEY_REUSED = "key-reused"
    ABSENT = "register-full"
    KEY_FROM_FUTURE = "key-from-future"
    KEY_EXPIRED = "key-expired"
    TOO_FEW = "witnesses-too-new"


class AttemptRow(msgspec.Struct, kw_only=True):
    """A claim that is not decided yet.

    Attributes
    ----------
    request : ClaimRequest
        What is claimed.
    done : callable
        Gets the result.
    owner : Owner
        Under which the claim is written.
    began_ms : float
        When the claim began.
    stage : Stage
        What it waits for.
    attempt : int
        Number of the attempt; answers of earlier ones do not count.
    witnesses : tuple of HostId
        Witnesses asked in this attempt.
    order : tuple of int
        Generation and revision of the epoch that names these witnesses.
    answers : dict
        Newest answer of each witness in this attempt.
    due_ms : float
        When to ask again.
    holder : Owner or None
        The owner of the key's other claim, while it is queried.
    queried_ms : float
        When its owner was first queried.
    """

    request: ports.ClaimRequest
    done: Callable[[ports.Claim], None]
    owner: messages.Owner
    began_ms: float
    stage: Stage = Stage.WAITING
    attempt: int = 0
    witnesses: tuple[ids.HostId, ...] = ()
    order: tuple[int, int] = (0, 0)
    answers: dict[ids.HostId, messages.ClaimAnswer] = msgspec.field(default_factory=dict)
    due_ms: float = float("-inf")
    holder: messages.Owner | None = None
    queried_ms: float = 0.0

    @property
    def key(self) -> tuple[ids.WorkspaceId, ids.IdempotencyKey]:
        """Workspace and key."""
        return (self.request.workspace, self.request.key)

    @property
    def unanswered(self) -> list[ids.HostId]:
        """Witnesses to ask again: silent ones, and those that could not tell."""
        return [
            host
            for host in self.witnesses
            if host not in self.answers or self.answers[host].verdict in _RETRIED
        ]

    def rival(self) -> messages.Owner | None:
        """Return the owner of another claim that some witness holds, or None."""
        holders = (answer.holder for answer in self.answers.values())
        return next((holder for holder in holders if holder is not None), None)

    def result(self) -> Result:
        """Add up the answers; a majority of accepts goes before everything else."""
        verdicts = [answer.verdict for answer in self.answers.values()]
        needed = keys.majority(self.witnesses)
        accepts = verdicts.count(messages.Verdict.ACCEPTED)
        if accepts >= needed:
            return Result.WON
        if messages.Verdict.KEY_REUSED in verdicts:
            return Result.KEY_REUSED
        if accepts + len(self.unanswered) >= needed:
            return Result.OPEN
        return _lost(verdicts, needed)


def _lost(verdicts: list[messages.Verdict], needed: int) -> Result:
    if messages.Verdict.TAKEN in verdicts:
        return Result.TAKEN
    if messages.Verdict.FROM_FUTURE in verdicts:
        return Result.KEY_FROM_FUTURE
    if messages.Verdict.EXPIRED in verdicts:
        return Result.KEY_EXPIRED
    without = verdicts.count(messages.Verdict.FULL) + verdicts.count(messages.Verdict.ACCEPTED)
    return Result.ABSENT if without >= needed else Result.TOO_FEW
