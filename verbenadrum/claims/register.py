"""Write-once register of a witness: the owner of the claim of each key."""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.claims import homes, keys, messages
from verbenadrum.core import context, ports

__all__ = ["ClaimRegister", "MAX_ROWS"]

MAX_ROWS = 40_000
# Largest difference between the wall clocks of two hosts, or of a caller and a host.
_MAX_CLOCK_SKEW_MS = 2_000.0

_RowKey = tuple[ids.WorkspaceId, ids.IdempotencyKey]


class _ClaimRow(msgspec.Struct, kw_only=True):
    """Accepted claim of a key."""

    owner: messages.Owner
    fingerprint: str
    attempt: int
    witnesses: tuple[ids.HostId, ...]
    expires_wall_ms: float


class ClaimRegister:
    """Decides on the claims for which this host is a witness.

    It accepts a claim only while its epoch proves that it is one of the key's witnesses, and only
    if it would have a row of every earlier claim of the key.
    """

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        epochs: ports.EpochPort,
    ) -> None:
        self._context = context
        self._records = records
        self._epochs = epochs
        self._homes = homes.HomeTracker(context=context, records=records)
        self._rows: dict[_RowKey, _ClaimRow] = {}
        self._expiries: collections.deque[tuple[float, _RowKey]] = collections.deque()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def decide(self, message: messages.ClaimAsk) -> messages.ClaimAnswer:
        """Return the answer to a claim, and write a row if it is accepted."""
        row = self._rows.get((message.workspace, message.key))
        if row is not None and row.owner != message.owner:
            return self._answer_for_taken_key(row, message)
        if row is not None and message.attempt < row.attempt:
            # A delayed message must not overwrite the row of a later attempt.
            return _answer(message, messages.WitnessVerdict.NOT_NOW)
        if row is not None and row.witnesses == message.witnesses:
            row.attempt = message.attempt
            return _answer(message, messages.WitnessVerdict.ACCEPTED)
        return self._decide_by_epoch(row, message)

    def drop(self, message: messages.ClaimDrop) -> None:
        """Remove a withdrawn claim, unless its row is of a later attempt."""
        row_key = (message.workspace, message.key)
        row = self._rows.get(row_key)
        if row is not None and row.owner == message.owner and row.attempt <= message.attempt:
            del self._rows[row_key]

    def sweep(self) -> None:
        """Remove the rows of keys that have expired, and so can no longer be claimed."""
        self._homes.update()
        wall_ms = self._context.clock.wall_ms()
        while self._expiries and self._expiries[0][0] <= wall_ms:
            _, row_key = self._expiries.popleft()
            row = self._rows.get(row_key)
            if row is not None and row.expires_wall_ms <= wall_ms:
                del self._rows[row_key]

    def _answer_for_taken_key(
        self, row: _ClaimRow, message: messages.ClaimAsk
    ) -> messages.ClaimAnswer:
        if keys.created_ms(message.key) is None:
            # The lifetime of a key without a time starts anew with each further claim of it.
            self._extend_expiry(
                row, (message.workspace, message.key), self._context.clock.wall_ms()
            )
        if row.fingerprint != message.fingerprint:
            return _answer(message, messages.WitnessVerdict.KEY_REUSED)
        return messages.ClaimAnswer(
            owner=message.owner,
            attempt=message.attempt,
            verdict=messages.WitnessVerdict.TAKEN,
            holder=row.owner,
        )

    def _decide_by_epoch(
        self, row: _ClaimRow | None, message: messages.ClaimAsk
    ) -> messages.ClaimAnswer:
        epoch = self._epochs.active()
        if epoch is None or not self._is_home(message.workspace) or not self._accepts_claims():
            return _answer(message, messages.WitnessVerdict.NOT_NOW)
        current = _witnesses(message, epoch.members)
        if any(_witnesses(message, each) != current for each in self._later_lists(epoch)):
            return _answer(message, messages.WitnessVerdict.NOT_NOW)
        if current != message.witnesses or self._context.host not in current:
            return messages.ClaimAnswer(
                owner=message.owner,
                attempt=message.attempt,
                verdict=messages.WitnessVerdict.OTHER_WITNESSES,
                generation=epoch.generation,
                revision=epoch.revision,
                witnesses=current,
            )
        refusal = self._refusal(message, epoch)
        if refusal is not None:
            return _answer(message, refusal)
        if row is None and len(self._rows) >= MAX_ROWS:
            return _answer(message, messages.WitnessVerdict.FULL)
        self._write(message)
        return _answer(message, messages.WitnessVerdict.ACCEPTED)

    def _is_home(self, workspace: ids.WorkspaceId) -> bool:
        return keys.home_data_centre(self._records, workspace) == self._context.data_centre

    def _later_lists(self, epoch: ports.Epoch) -> list[tuple[ids.HostId, ...]]:
        if epoch.stable or self._context.now_ms() < epoch.alone_until_ms:
            return []
        return [*epoch.intermediate, epoch.next_members]

    def _accepts_claims(self) -> bool:
        """Return whether the time before which no claim is accepted is past on every host."""
        fleet = self._records.fleet()
        from_ms = 0.0 if fleet is None else fleet.serve_from_wall_ms
        return from_ms == 0.0 or self._context.clock.wall_ms() >= from_ms + _MAX_CLOCK_SKEW_MS

    def _refusal(
        self, message: messages.ClaimAsk, epoch: ports.Epoch
    ) -> messages.WitnessVerdict | None:
        """Return the verdict on a key whose age rules out a claim, or None if it may be claimed.

        A key without a time is taken to be as old as its lifetime allows.
        """
        wall_ms = self._context.clock.wall_ms()
        created_ms = keys.created_ms(message.key)
        if created_ms is None:
            created_ms = wall_ms - keys.LIFETIME_MS
        if created_ms > wall_ms + _MAX_CLOCK_SKEW_MS:
            return messages.WitnessVerdict.FROM_FUTURE
        if created_ms < wall_ms - keys.LIFETIME_MS:
            return messages.WitnessVerdict.EXPIRED
        # A witness accepts a key up to one skew before the time in the key, by its own clock, and
        # that clock differs from this host's by up to another skew. So no claim of the key is
        # older than two skews before that time.
        earliest_claim_ms = created_ms - 2 * _MAX_CLOCK_SKEW_MS
        since_first_start = epoch.known_since_wall_ms <= 0.0
        settled_ms = self._homes.settled_since_wall_ms(
            message.workspace, since_first_start=since_first_start
        )
        if earliest_claim_ms <= settled_ms:
            return messages.WitnessVerdict.ABSTAINS
        if not self._was_witness_since(message, epoch, earliest_claim_ms):
            return messages.WitnessVerdict.ABSTAINS
        return None

    def _was_witness_since(
        self, message: messages.ClaimAsk, epoch: ports.Epoch, from_wall_ms: float
    ) -> bool:
        """Return whether this host was a witness in every list in force since ``from_wall_ms``.

        A majority of the present witnesses must also be a majority of those of every such list,
        which fails if a list of three or more hosts has shrunk to one.
        """
        if from_wall_ms <= min(epoch.known_since_wall_ms, epoch.since_wall_ms):
            return False
        own = self._context.host
        for earlier in reversed(epoch.earlier):
            if earlier.until_wall_ms < from_wall_ms:
                break
            before = _witnesses(message, earlier.members)
            if own not in before or keys.majority(before) > keys.majority(message.witnesses):
                return False
        return True

    def _write(self, message: messages.ClaimAsk) -> None:
        wall_ms = self._context.clock.wall_ms()
        row = _ClaimRow(
            owner=message.owner,
            fingerprint=message.fingerprint,
            attempt=message.attempt,
            witnesses=message.witnesses,
            expires_wall_ms=0.0,
        )
        row_key = (message.workspace, message.key)
        self._rows[row_key] = row
        created_ms = keys.created_ms(message.key)
        self._extend_expiry(row, row_key, wall_ms if created_ms is None else created_ms)

    def _extend_expiry(self, row: _ClaimRow, row_key: _RowKey, from_wall_ms: float) -> None:
        expires_ms = from_wall_ms + keys.LIFETIME_MS + 2 * _MAX_CLOCK_SKEW_MS
        if expires_ms > row.expires_wall_ms:
            row.expires_wall_ms = expires_ms
            self._expiries.append((expires_ms, row_key))


def _answer(message: messages.ClaimAsk, verdict: messages.WitnessVerdict) -> messages.ClaimAnswer:
    return messages.ClaimAnswer(owner=message.owner, attempt=message.attempt, verdict=verdict)


def _witnesses(
    message: messages.ClaimAsk, members: tuple[ids.HostId, ...]
) -> tuple[ids.HostId, ...]:
    return keys.witnesses(message.workspace, message.key, members)
