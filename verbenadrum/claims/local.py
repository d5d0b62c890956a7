"""Baseline claims: a register on each entry host, not shared between hosts."""

import collections
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.claims import keys, registry
from verbenadrum.core import context, ports, system

__all__ = ["LocalClaims", "MAX_ANSWER_BYTES", "MAX_ROWS"]

MAX_ROWS = 40_000
MAX_ANSWER_BYTES = 8_388_608

_Key = tuple[ids.WorkspaceId, ids.IdempotencyKey]


class _ClaimRow(msgspec.Struct, kw_only=True):
    """A claimed key: the request that won it, and the end of its run.

    ``ended_ms`` is infinite while the run lasts.
    """

    request: ids.RequestId
    fingerprint: str
    ended_ms: float = float("inf")
    answer: ports.StoredAnswer | None = None


@registry.claim_systems.register("local")
class LocalClaims(system.System):
    """Register of the keys claimed on this host, without exchange with other hosts.

    Kept as a baseline for comparison: a resend through another host runs a second time. A row
    lasts `keys.LIFETIME_MS` after the end of its run. Where there is no room, stored answers are
    dropped first, so that a resend gets "outcome unknown"; a row is never dropped early, and new
    keys are refused instead.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)
        self._rows: dict[_Key, _ClaimRow] = {}
        # Keys of ended runs, in order of their ends.
        self._ended: collections.deque[tuple[float, _Key]] = collections.deque()
        self._answered: collections.deque[_Key] = collections.deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    @property
    def answer_bytes(self) -> int:
        """Size of the stored answers, in bytes."""
        return self._answer_bytes

    def claim(self, request: ports.ClaimRequest, done: Callable[[ports.ClaimResult], None]) -> None:
        """Claim a key; ``done`` is called before this returns."""
        row = self._rows.get((request.workspace, request.key))
        states = ports.ClaimState
        if len(request.key) > keys.MAX_LENGTH:
            done(ports.ClaimResult(state=states.NOT_RUN, reason="key-too-long"))
        elif row is None and len(self._rows) >= MAX_ROWS:
            done(ports.ClaimResult(state=states.NOT_RUN, reason="register-full"))
        elif row is None:
            self._rows[request.workspace, request.key] = _ClaimRow(
                request=request.request, fingerprint=request.fingerprint
            )
            done(ports.ClaimResult(state=states.WON, reason="first-claim"))
        elif row.fingerprint != request.fingerprint:
            done(ports.ClaimResult(state=states.UNKNOWN, reason="key-reused"))
        elif row.ended_ms == float("inf"):
            done(ports.ClaimResult(state=states.IN_PROGRESS, reason="in-progress"))
        elif row.answer is None:
            done(ports.ClaimResult(state=states.UNKNOWN, reason="outcome-unknown"))
        else:
            done(ports.ClaimResult(state=states.ANSWERED, reason="answered", answer=row.answer))

    def release(self, request: ports.ClaimRequest) -> None:
        """Release a won claim for which no byte was sent."""
        self._rows.pop((request.workspace, request.key), None)

    def finish(self, request: ports.ClaimRequest, answer: ports.StoredAnswer | None) -> None:
        """Record the end of a won run, with its answer or None."""
        key = (request.workspace, request.key)
        row = self._rows[key]
        row.ended_ms = self._context.now_ms()
        self._ended.append((row.ended_ms, key))
        if answer is not None and answer.size <= MAX_ANSWER_BYTES:
            row.answer = answer
            self._answer_bytes += answer.size
            self._answered.append(key)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            self._drop_answer(self._rows.get(self._answered.popleft()))

    def on_tick(self) -> None:
        """Remove the rows of runs that ended a lifetime ago."""
        oldest_ms = self._context.now_ms() - keys.LIFETIME_MS
        while self._ended and self._ended[0][0] <= oldest_ms:
            _, key = self._ended.popleft()
            self._drop_answer(self._rows.pop(key, None))

    def _drop_answer(self, row: _ClaimRow | None) -> None:
        if row is not None and row.answer is not None:
            self._answer_bytes -= row.answer.size
            row.answer = None
