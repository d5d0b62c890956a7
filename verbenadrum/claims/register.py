"""A witness's register: write-once rows that say who claimed a key."""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.claims import homes, keys, messages
from verbenadrum.core import context, ports

__all__ = ["ClaimRegister", "MOST_ROWS"]

MOST_ROWS = 40_000
# Largest difference between the wall clocks of two hosts, or of a caller and a host.
_CLOCK_MARGIN_MS = 2_000.0

_Key = tuple[ids.WorkspaceId, ids.IdempotencyKey]


class _Row(msgspec.Struct, kw_only=True):
    owner: messages.Owner
    fingerprint: str
    attempt: int
    witnesses: tuple[ids.HostId, ...]
    expires_wall_ms: float


class ClaimRegister:
    """Decides on the claims for which this host is a witness.

    It accepts a claim only while its epoch proves that it is one of the key's witnesses, and
    only if it would know of every earlier claim of the key.
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
        self._homes = homes.HomeWatch(context=context, records=records)
        self._rows: dict[_Key, _Row] = {}
        self._expiries: collections.deque[tuple[float, _Key]] = collections.deque()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def ask(self, message: messages.ClaimAsk) -> messages.ClaimAnswer:
        """Decide on a claim."""
        row = self._rows.get((message.workspace, message.key))
        if row is not None and row.owner != message.owner:
            return self._taken(row, message)
        if row is not None and message.attempt < row.attempt:
            # A late message must not undo what a later attempt has written.
            return _answer(message, messages.Verdict.NOT_NOW)
        if row is not None and row.witnesses == message.witnesses:
            row.attempt = message.attempt
            return _answer(message, messages.Verdict.ACCEPTED)
        return self._decide(row, message)

    def drop(self, message: messages.ClaimDrop) -> None:
        """Remove a claim that its owner takes back."""
        name = (message.workspace, message.key)
        row = self._rows.get(name)
        if row is not None and row.owner == message.owner and row.attempt <= message.attempt:
            del self._rows[name]

    def sweep(self) -> None:
        """Remove the rows of keys that are too old to be claimed."""
        self._homes.follow()
        wall_ms = self._context.clock.wall_ms()
        while self._expiries and self._expiries[0][0] <= wall_ms:
            _, name = self._expiries.popleft()
            row = self._rows.get(name)
            if row is not None and row.expires_wall_ms <= wall_ms:
                del self._rows[name]

    def _taken(self, row: _Row, message: messages.ClaimAsk) -> messages.ClaimAnswer:
        if keys.created_ms(message.key) is None:
            self._keep(row, (message.workspace, message.key), self._context.clock.wall_ms())
        if row.fingerprint != message.fingerprint:
            return _answer(message, messages.Verdict.KEY_REUSED)
        return messages.ClaimAnswer(
            owner=message.owner,
            attempt=message.attempt,
            verdict=messages.Verdict.TAKEN,
            holder=row.owner,
        )

    def _decide(self, row: _Row | None, message: messages.ClaimAsk) -> messages.ClaimAnswer:
        epoch = self._epochs.active()
        if epoch is None or not self._is_home(message.workspace) or not self._serves():
            return _answer(message, messages.Verdict.NOT_NOW)
        current = _witnesses(message, epoch.members)
        if any(_witnesses(message, each) != current for each in self._later_lists(epoch)):
            return _answer(message, messages.Verdict.NOT_NOW)
        if current != message.witnesses or self._context.host not in current:
            return messages.ClaimAnswer(
                owner=message.owner,
                attempt=message.attempt,
                verdict=messages.Verdict.OTHER_WITNESSES,
                generation=epoch.generation,
                revision=epoch.revision,
                witnesses=current,
            )
        refusal = self._refusal(message, epoch)
        if refusal is not None:
            return _answer(message, refusal)
        if row is None and len(self._rows) >= MOST_ROWS:
            return _answer(message, messages.Verdict.FULL)
        self._write(message)
        return _answer(message, messages.Verdict.ACCEPTED)

    def _is_home(self, workspace: ids.WorkspaceId) -> bool:
        return keys.home_data_centre(self._records, workspace) == self._context.data_centre

    def _later_lists(self, epoch: ports.Epoch) -> list[tuple[ids.HostId, ...]]:
        if epoch.settled or self._context.now_ms() < epoch.alone_until_ms:
            return []
        return [*epoch.intermediate, epoch.next_members]

    def _serves(self) -> bool:
        """Return whether the time before which no key is claimed is over on every host."""
        fleet = self._records.fleet()
        from_ms = 0.0 if fleet is None else fleet.serve_from_wall_ms
        return from_ms == 0.0 or self._context.clock.wall_ms() >= from_ms + _CLOCK_MARGIN_MS

    def _refusal(self, message: messages.ClaimAsk, epoch: ports.Epoch) -> messages.Verdict | None:
        """Return why a claim cannot be accepted on account of the key's age, or None."""
        wall_ms = self._context.clock.wall_ms()
        created_ms = keys.created_ms(message.key)
        if created_ms is None:
            created_ms = wall_ms - keys.LIFETIME_MS
        if created_ms > wall_ms + _CLOCK_MARGIN_MS:
            return messages.Verdict.FROM_FUTURE
        if created_ms < wall_ms - keys.LIFETIME_MS:
            return messages.Verdict.EXPIRED
        # An earlier claim was made at most one margin before the key's time, by a clock that
        # differs from this host's by at most another.
        latest_ms = created_ms - 2 * _CLOCK_MARGIN_MS
        from_first = epoch.known_since_wall_ms <= 0.0
        settled_ms = self._homes.settled_since_wall_ms(message.workspace, from_first=from_first)
        if latest_ms <= settled_ms:
            return messages.Verdict.ABSTAINS
        if not self._witness_since(message, epoch, latest_ms):
            return messages.Verdict.ABSTAINS
        return None

    def _witness_since(
        self, message: messages.ClaimAsk, epoch: ports.Epoch, from_wall_ms: float
    ) -> bool:
        """Return whether this host was a witness under every list in force since then.

        A winner's hosts now must also be a majority of the witnesses of every such list, which
        fails where a list of three or more hosts has shrunk to one.
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
        row = _Row(
            owner=message.owner,
            fingerprint=message.fingerprint,
            attempt=message.attempt,
            witnesses=message.witnesses,
            expires_wall_ms=0.0,
        )
        name = (message.workspace, message.key)
        self._rows[name] = row
        created_ms = keys.created_ms(message.key)
        self._keep(row, name, wall_ms if created_ms is None else created_ms)

    def _keep(self, row: _Row, name: _Key, from_wall_ms: float) -> None:
        expires_ms = from_wall_ms + keys.LIFETIME_MS + 2 * _CLOCK_MARGIN_MS
        if expires_ms > row.expires_wall_ms:
            row.expires_wall_ms = expires_ms
            self._expiries.append((expires_ms, name))


def _answer(message: messages.ClaimAsk, verdict: messages.Verdict) -> messages.ClaimAnswer:
    return messages.ClaimAnswer(owner=message.owner, attempt=message.attempt, verdict=verdict)


def _witnesses(
    message: messages.ClaimAsk, members: tuple[ids.HostId, ...]
) -> tuple[ids.HostId, ...]:
    return keys.witnesses(message.workspace, message.key, members)
