"""Claims in a write-once register, replicated on three hosts of the workspace's home data centre.

These hosts are the witnesses of the key. A claim that two of the three accept has won. The proof
is in ``docs/design/at-most-once.md``.
"""

from collections.abc import Callable

from verbenadrum import ids
from verbenadrum.claims import attempts, keys, messages, register, registry, winners
from verbenadrum.core import context, ports, system
from verbenadrum.decisions import ring

__all__ = ["WitnessedClaims"]

_ASK_RETRY_MS = 150.0
_QUERY_RETRY_MS = 150.0
_MAX_QUERY_MS = 1_000.0
_MAX_CLAIM_MS = 30_000.0
_BACKOFF_RANGE_MS = (20.0, 150.0)
# Greater than any attempt number, so that a drop applies to the rows of every attempt.
_ALL_ATTEMPTS = 2**31
# Age of a claim after which the witnesses are determined anew: the host list may have changed.
_WITNESS_REFRESH_AGE_MS = 600.0

_RESULT_BY_STATE = {
    messages.WinnerState.RUNNING: (ports.ClaimState.IN_PROGRESS, "in-progress"),
    messages.WinnerState.ENDED: (ports.ClaimState.UNKNOWN, "outcome-unknown"),
    messages.WinnerState.ANSWERED: (ports.ClaimState.ANSWERED, "answered"),
}


@registry.claim_systems.register("witnessed")
class WitnessedClaims(system.System):
    """Claims keys for requests of this host, and acts as a witness for claims of any host."""

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)
        self._records = records
        self._membership = membership
        self._epochs = epochs
        self._register = register.ClaimRegister(context=context, records=records, epochs=epochs)
        self._winners = winners.WinnerTable()
        self._attempts: dict[ids.RequestId, attempts.PendingClaim] = {}

    def claim(self, request: ports.ClaimRequest, done: Callable[[ports.ClaimResult], None]) -> None:
        """Claim a key; ``done`` gets the result once, by the request's deadline."""
        if len(request.key) > keys.MAX_LENGTH:
            done(ports.ClaimResult(state=ports.ClaimState.NOT_RUN, reason="key-too-long"))
            return
        row = attempts.PendingClaim(
            request=request,
            done=done,
            owner=messages.Owner(self._context.host, self._context.incarnation, request.request),
            started_ms=self._context.now_ms(),
        )
        self._attempts[request.request] = row
        winner = self._winners.get(row.key)
        if winner is None:
            self._start_attempt(row)
        elif winner.fingerprint != request.fingerprint:
            self._end_unwon(row, ports.ClaimState.UNKNOWN, "key-reused")
        else:
            state = self._winners.state(row.key, winner.owner)
            self._apply_owner_state(row, state, winner.answer)

    def release(self, request: ports.ClaimRequest) -> None:
        """Withdraw a won claim; allowed only if certainly no byte was sent."""
        winner = self._winners.get((request.workspace, request.key))
        if winner is not None and winner.owner.request == request.request:
            key = (request.workspace, request.key)
            self._withdraw(key, winner.owner, winner.attempt, winner.witnesses)

    def finish(self, request: ports.ClaimRequest, answer: ports.StoredAnswer | None) -> None:
        """Record the end of a won run, with its whole answer if it is known and small."""
        key = (request.workspace, request.key)
        winner = self._winners.get(key)
        if winner is not None and winner.owner.request == request.request:
            self._winners.finish(key, answer, self._context.now_ms())

    def on_tick(self) -> None:
        """Send unanswered messages again, end claims at their deadline, and remove expired rows."""
        self._register.sweep()
        now_ms = self._context.now_ms()
        for row in list(self._attempts.values()):
            if now_ms >= min(row.request.deadline_ms, row.started_ms + _MAX_CLAIM_MS):
                self._expire(row)
            elif now_ms >= row.retry_at_ms:
                self._continue_claim(row, now_ms)

    @system.handles(messages.ClaimAsk)
    def on_ask(self, sender: ids.HostId, message: messages.ClaimAsk) -> None:
        """Decide on a claim as a witness."""
        self._context.send(sender, self._register.decide(message))

    @system.handles(messages.ClaimDrop)
    def on_drop(self, sender: ids.HostId, message: messages.ClaimDrop) -> None:
        """Remove a withdrawn claim from the register."""
        self._register.drop(message)

    @system.handles(messages.ClaimAnswer)
    def on_answer(self, sender: ids.HostId, message: messages.ClaimAnswer) -> None:
        """Add a witness's answer to its attempt; answers to earlier attempts are ignored."""
        row = self._attempts.get(message.owner.request)
        if row is None or row.stage is not attempts.ClaimStage.ASKING or row.owner != message.owner:
            return
        if message.attempt != row.attempt or sender not in row.witnesses:
            return
        previous = row.answers.get(sender)
        if previous is not None and previous.verdict is messages.WitnessVerdict.ACCEPTED:
            return
        row.answers[sender] = message
        if (message.generation, message.revision) > row.epoch_order and message.witnesses:
            self._start_attempt_at(row, message)
        else:
            self._evaluate(row)

    @system.handles(messages.WinnerQuery)
    def on_query(self, sender: ids.HostId, message: messages.WinnerQuery) -> None:
        """Reply with the state of a claim of this host."""
        key = (message.workspace, message.key)
        state = self._own_state(key, message.owner)
        winner = self._winners.get(key)
        answer = None
        if state is messages.WinnerState.ANSWERED and winner is not None:
            answer = winner.answer
        self._context.send(
            sender,
            messages.WinnerReply(
                request=message.request, owner=message.owner, state=state, answer=answer
            ),
        )

    @system.handles(messages.WinnerReply)
    def on_reply(self, sender: ids.HostId, message: messages.WinnerReply) -> None:
        """Continue a claim with the state that the owner of the competing one reports."""
        row = self._attempts.get(message.request)
        if (
            row is None
            or row.stage is not attempts.ClaimStage.QUERYING
            or row.holder != message.owner
        ):
            return
        self._apply_owner_state(row, message.state, message.answer)

    def _own_state(self, key: winners.Key, owner: messages.Owner) -> messages.WinnerState:
        row = self._attempts.get(owner.request)
        if row is not None and row.owner == owner:
            return messages.WinnerState.CLAIMING
        return self._winners.state(key, owner)

    def _start_attempt(self, row: attempts.PendingClaim) -> None:
        """Start an attempt at the witnesses by this host's epoch, or its host list without one."""
        home = keys.home_data_centre(self._records, row.request.workspace)
        members: tuple[ids.HostId, ...] = ()
        row.epoch_order = (0, 0)
        if home is not None:
            members = tuple(each.host for each in self._membership.hosts(data_centre=home))
        epoch = self._epochs.active() if home == self._context.data_centre else None
        if epoch is not None:
            members = epoch.members
            row.epoch_order = (epoch.generation, epoch.revision)
        if members:
            self._ask_witnesses(row, keys.witnesses(*row.key, members))
        else:
            row.retry_at_ms = self._context.now_ms() + _ASK_RETRY_MS

    def _start_attempt_at(self, row: attempts.PendingClaim, answer: messages.ClaimAnswer) -> None:
        """Withdraw this attempt, and start one at the witnesses of the later epoch of an answer."""
        self._withdraw_attempt(row)
        row.epoch_order = (answer.generation, answer.revision)
        self._ask_witnesses(row, answer.witnesses)

    def _ask_witnesses(self, row: attempts.PendingClaim, witnesses: tuple[ids.HostId, ...]) -> None:
        row.attempt += 1
        row.witnesses = witnesses
        row.answers.clear()
        row.stage = attempts.ClaimStage.ASKING
        row.holder = None
        self._send_asks(row)

    def _send_asks(self, row: attempts.PendingClaim) -> None:
        row.retry_at_ms = self._context.now_ms() + _ASK_RETRY_MS
        message = messages.ClaimAsk(
            workspace=row.request.workspace,
            key=row.request.key,
            owner=row.owner,
            fingerprint=row.request.fingerprint,
            attempt=row.attempt,
            witnesses=row.witnesses,
        )
        for host in row.unanswered:
            self._context.send(host, message)

    def _evaluate(self, row: attempts.PendingClaim) -> None:
        result = row.result()
        if result is attempts.ClaimVote.OPEN:
            return
        if result is attempts.ClaimVote.WON:
            self._win(row)
        elif result is attempts.ClaimVote.TAKEN:
            self._query_owner(row)
        elif result is attempts.ClaimVote.REGISTER_FULL:
            self._end_unwon(row, ports.ClaimState.NOT_RUN, result.value)
        else:
            self._end_unwon(row, ports.ClaimState.UNKNOWN, result.value)

    def _win(self, row: attempts.PendingClaim) -> None:
        winner = winners.WinnerRow(
            owner=row.owner,
            fingerprint=row.request.fingerprint,
            attempt=row.attempt,
            witnesses=row.witnesses,
        )
        self._winners.add(row.key, winner)
        self._complete(row, ports.ClaimResult(state=ports.ClaimState.WON, reason="majority"))

    def _query_owner(self, row: attempts.PendingClaim) -> None:
        """Withdraw this attempt, and query the owner of the competing claim for its state."""
        row.holder = row.competing_owner()
        self._withdraw_attempt(row)
        row.stage = attempts.ClaimStage.QUERYING
        row.first_queried_ms = row.retry_at_ms = self._context.now_ms()
        self._send_query(row)

    def _send_query(self, row: attempts.PendingClaim) -> None:
        row.retry_at_ms += _QUERY_RETRY_MS
        query = messages.WinnerQuery(
            workspace=row.request.workspace,
            key=row.request.key,
            owner=row.holder,
            request=row.request.request,
        )
        self._context.send(row.holder.host, query)

    def _retry_query(self, row: attempts.PendingClaim, now_ms: float) -> None:
        if now_ms >= row.first_queried_ms + _MAX_QUERY_MS:
            self._end_unwon(row, ports.ClaimState.UNKNOWN, "winner-unreachable")
        else:
            self._send_query(row)

    def _apply_owner_state(
        self,
        row: attempts.PendingClaim,
        state: messages.WinnerState,
        answer: ports.StoredAnswer | None,
    ) -> None:
        if state in _RESULT_BY_STATE:
            self._end_unwon(row, *_RESULT_BY_STATE[state], answer)
            return
        if state is messages.WinnerState.GIVEN_UP and row.holder is not None:
            # The competing request has ended, so rows of it that witnesses still have are void.
            self._send_drops(row.key, row.holder, _ALL_ATTEMPTS, row.witnesses)
        row.stage = attempts.ClaimStage.WAITING
        row.retry_at_ms = self._context.now_ms() + self._context.rng.uniform(*_BACKOFF_RANGE_MS)

    def _continue_claim(self, row: attempts.PendingClaim, now_ms: float) -> None:
        if row.stage is attempts.ClaimStage.WAITING:
            self._start_attempt(row)
        elif row.stage is attempts.ClaimStage.QUERYING:
            self._retry_query(row, now_ms)
        elif row.competing_owner() is not None:
            self._query_owner(row)
        elif (
            len(row.answers) == len(row.witnesses)
            or now_ms < row.started_ms + _WITNESS_REFRESH_AGE_MS
        ):
            self._send_asks(row)
        else:
            self._withdraw_attempt(row)
            self._start_attempt(row)

    def _expire(self, row: attempts.PendingClaim) -> None:
        if row.stage is attempts.ClaimStage.QUERYING:
            self._end_unwon(row, ports.ClaimState.UNKNOWN, "winner-unreachable")
        else:
            self._end_unwon(row, ports.ClaimState.UNKNOWN, "claim-timeout")

    def _end_unwon(
        self,
        row: attempts.PendingClaim,
        state: ports.ClaimState,
        reason: str,
        answer: ports.StoredAnswer | None = None,
    ) -> None:
        """End a claim that was not won, and withdraw it: its request never runs."""
        if row.attempt:
            self._withdraw_attempt(row)
        self._complete(row, ports.ClaimResult(state=state, reason=reason, answer=answer))

    def _complete(self, row: attempts.PendingClaim, claim: ports.ClaimResult) -> None:
        del self._attempts[row.request.request]
        self._context.record_decision(
            ring.DecisionKind.CLAIM,
            claim.state.value,
            claim.reason,
            subject=row.request.workspace,
            request=row.request.request,
            alternatives=row.witnesses,
            detail={
                "attempts": row.attempt,
                "waited_ms": round(self._context.now_ms() - row.started_ms, 3),
            },
        )
        row.done(claim)

    def _withdraw_attempt(self, row: attempts.PendingClaim) -> None:
        """Withdraw this attempt's claim at every witness asked."""
        self._withdraw(row.key, row.owner, row.attempt, row.witnesses)

    def _withdraw(
        self,
        key: winners.Key,
        owner: messages.Owner,
        attempt: int,
        witnesses: tuple[ids.HostId, ...],
    ) -> None:
        self._winners.give_up(key, owner)
        self._send_drops(key, owner, attempt, witnesses)

    def _send_drops(
        self,
        key: winners.Key,
        owner: messages.Owner,
        attempt: int,
        witnesses: tuple[ids.HostId, ...],
    ) -> None:
        message = messages.ClaimDrop(workspace=key[0], key=key[1], owner=owner, attempt=attempt)
        for host in witnesses:
            self._context.send(host, message)
