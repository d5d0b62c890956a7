"""Store of envelopes: validates each, puts valid ones in force and keeps them for peers."""

import array
import bisect
import enum
import sys
from collections.abc import Iterator

import msgspec
import xxhash

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import envelope, revisions, table, types, writers_order

__all__ = ["RecordStore", "Rejection", "Transition", "Verdict"]

_MAX_REJECTIONS = 500
_REPORT_INTERVAL_MS = 60_000.0
# A server whose record was withdrawn by a fault of the platform is published again within this
# time. Any other has left.
_LAPSED_TTL_MS = 2_000.0
# Outdated entries of the revision columns, besides one for each record, before a compaction.
_MAX_OUTDATED_ENTRIES = 1_024
# Withdrawn records are kept this long for peers that missed the withdrawal. Those that lag further
# read a complete listing.
_WITHDRAWN_TTL_MS = 600_000.0
# The platform removes the entry of a server that has left, or lost its connection, within this time
# of its own return. One that it still lists is alive.
_LISTED_TTL_MS = 10_000.0
# A host has stood still if its ticks are further apart; what it then receives may be as old.
_MAX_TICK_GAP_MS = 1_000.0
_NOT_LISTED = msgspec.Raw(b"null")
_SERVER_KIND = types.RecordKind.SERVER.value
_CONFIGURATION_KIND = types.RecordKind.CONFIGURATION.value


class Verdict(enum.Enum):
    """Result of offering an envelope to the store.

    ``RENEWED`` is a greater revision of the content that stays in force. ``OLD`` is a revision that
    is held already, one older than the revision in force, or an invalid one older than the last
    rejected revision. ``UNREADABLE`` is an envelope without a valid header.
    """

    ACCEPTED = "accepted"
    RENEWED = "renewed"
    REJECTED = "rejected"
    OLD = "old"
    UNREADABLE = "unreadable"


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """A rejected revision of a record, and the revision that is in force instead.

    ``accepted_revision`` is 0 if no revision of the record has been accepted on this host.
    """

    kind: str
    name: str
    revision: int
    faults: tuple[str, ...]
    accepted_revision: int


class Transition(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the rows that a new generation of the platform's store lacks.

    Attributes
    ----------
    lapsed : int
        Number of servers that were taken as withdrawn.
    carried : int
        Number of rows whose content is carried over from an older generation.
    """

    lapsed: int
    carried: int


class _Listed(msgspec.Struct, frozen=True):
    """A server that the platform lists with an older content than is in force, and since when."""

    record: types.Record
    since_ms: float


class _Row(msgspec.Struct, gc=False):
    """Envelopes of one record: the last accepted one and the last rejected one if it is newer.

    ``original`` is the accepted envelope as received, kept only if `envelope.render` would give
    another document. Keeping all of them would take a third of the memory of a large set of
    records. ``carried`` is set for a content that is carried over from an older generation, and
    ``listed`` for a server that the newer one lists with an older content.
    """

    accepted_revision: int = 0
    record: types.Record | None = None
    original: bytes = b""
    rejected_revision: int = 0
    rejected: bytes = b""
    carried: bool = False
    listed: _Listed | None = None


class RecordStore:
    """Validates envelopes and keeps them, rejected ones too, so that peers can validate them.

    A peer that runs another version may accept what this one rejects. For each record the store
    holds the last accepted envelope and, if it is newer, the last rejected one. Accepted records
    are put into the table of records in force; revisions only increase.

    The platform's store may come back from an older copy, which begins a new generation of
    revisions. Of two contents of one record, the greater revision is newer within a generation;
    between generations it is the one that is later in its writer's order, `types.Record.order`. A
    row that keeps another content than the newest generation has under the row's revision is
    carried over. The result does not depend on the order in which envelopes arrive.

    Parameters
    ----------
    context : Context
        Receives the decisions on envelopes.
    records : RecordTable
        Table of the records in force.
    """

    def __init__(self, *, context: context.Context, records: table.RecordTable) -> None:
        self._context = context
        self._records = records
        self._rows: dict[tuple[str, str], _Row] = {}
        # Parallel columns in ascending order of revision. Entries whose row has a newer revision
        # stay until the next compaction.
        self._revisions = array.array("q")
        self._revision_rows: list[_Row] = []
        self._outdated_count = 0
        self._rejections: dict[tuple[str, str], Rejection] = {}
        self._newest_revision = 0
        self._reported_ms = context.now_ms()
        # Monotonic time at which each server in the table was first seen as lapsed.
        self._lapsed_since_ms: dict[ids.ServerId, float] = {}
        # Monotonic time at which each withdrawn record was withdrawn here, oldest first.
        self._withdrawn_since_ms: dict[tuple[str, str], float] = {}
        # Hash of the content of each row that is carried over, and the exclusive or of all.
        self._carried: dict[tuple[str, str], int] = {}
        self._carried_checksum = 0
        # Generation of which every record is held, and the order that each live server had which a
        # generation lacks.
        self._generation = 0
        self._missing: dict[tuple[str, str], tuple[int, int]] = {}
        self._restored_ms = context.now_ms()
        self._reported_older_revision = 0

    @property
    def newest_revision(self) -> int:
        """Greatest revision held, accepted or rejected; 0 for none."""
        return self._newest_revision

    @property
    def carried_count(self) -> int:
        """Number of rows whose content is carried over from an older generation."""
        return len(self._carried)

    @property
    def carried_checksum(self) -> int:
        """Checksum of the contents that are carried over; 0 for none."""
        return self._carried_checksum

    def __len__(self) -> int:
        return len(self._rows)

    def offer(self, raw: bytes, *, quiet: bool = False, listed_to: int = 0) -> Verdict:
        """Validate one envelope and keep it; never raises, so that no record blocks the others.

        Parameters
        ----------
        raw : bytes
            The envelope.
        listed_to : int
            Every record that existed at this revision is held. Any other one up to it has been
            withdrawn since, so its envelope counts as old.
        quiet : bool
            Whether to accept it without recording a decision, as in the first load of a complete
            set of records.

        Returns
        -------
        Verdict
            What was done with the envelope.
        """
        try:
            header = envelope.read_header(raw)
        except envelope.UnreadableEnvelopeError as error:
            self._record_decision(
                Verdict.UNREADABLE, "unreadable-envelope", "", {"fault": error.message}
            )
            return Verdict.UNREADABLE
        key = (sys.intern(header.kind), header.name)
        row = self._rows.get(key)
        if row is None and self._is_withdrawn(header, listed_to):
            return Verdict.OLD
        if row is not None and header.revision == row.rejected_revision:
            return Verdict.OLD
        if header.carried:
            raw = envelope.unmark_carried(raw)
        verdict = self._settle(key, header, raw) or self._take(key, header, raw)
        if verdict is Verdict.ACCEPTED and not quiet:
            self._report_accepted(self._rows[key].record)
        if header.carried:
            self._mark_carried(key, header)
        return verdict

    def envelopes_after(
        self, revision: int, up_to: int | None = None
    ) -> Iterator[tuple[int, bytes]]:
        """Yield revision and envelope of each held revision after ``revision``, in ascending order.

        Revisions greater than ``up_to`` are left out, if it is given.
        """
        for index in range(bisect.bisect_right(self._revisions, revision), len(self._revisions)):
            entry_revision, row = self._revisions[index], self._revision_rows[index]
            if up_to is not None and entry_revision > up_to:
                return
            if entry_revision == row.accepted_revision:
                yield entry_revision, _accepted_envelope(row)
            elif entry_revision == row.rejected_revision:
                yield entry_revision, row.rejected

    def last_accepted(self, kind: str, name: str, newer_than: int) -> bytes | None:
        """Return a record's accepted envelope if its revision is after ``newer_than``, or None."""
        row = self._rows.get((kind, name))
        if row is None or row.accepted_revision <= newer_than:
            return None
        return _accepted_envelope(row)

    def withdrawals(self, listed: tuple[bytes, ...], revision: int) -> tuple[bytes, ...]:
        """Return envelopes that withdraw the servers in force which a complete listing lacks.

        Parameters
        ----------
        listed : tuple of bytes
            Envelopes of every record that existed at ``revision``.
        revision : int
            Revision of the listing; the withdrawals get the same revision.
        """
        generation = revisions.generation_of(revision)
        names = set()
        for raw in listed:
            header = envelope.read_header(raw)
            names.add((header.kind, header.name))
        withdrawn = []
        for (kind, name), row in self._rows.items():
            # A withdrawn server that is carried over may have been listed until now.
            in_force = row.listed is not None or (
                row.record is not None and row.record.spec is not None
            )
            is_listed = (kind, name) in names
            if kind != _SERVER_KIND or not in_force or is_listed:
                continue
            # `begin_generation` settles the rows of older generations.
            same_generation = revisions.generation_of(row.accepted_revision) == generation
            if same_generation and row.accepted_revision < revision:
                record = types.Record(
                    kind=types.RecordKind.SERVER, name=name, revision=revision, spec=None
                )
                withdrawn.append(envelope.render(record))
        return tuple(withdrawn)

    def begin_generation(self, revision: int) -> Transition:
        """Settle the rows of older generations, once all records of a newer one are held.

        A server that has no revision of the newer generation is missing from the platform's store,
        and is withdrawn. Every other record in force is carried over.

        Parameters
        ----------
        revision : int
            Revision of the newer generation up to which every record is held.
        """
        generation = self._generation = revisions.generation_of(revision)
        lapsed = 0
        for key, row in list(self._rows.items()):
            held = row.record
            if held is None:
                continue
            if revisions.generation_of(held.revision) >= generation:
                continue
            if held.spec is None:
                self._set_carried(key, row, False)
                if key in self._missing:
                    self._renew(
                        key, revision, (held.order[0], writers_order.BEFORE_FIRST), carried=False
                    )
                continue
            if revisions.generation_of(row.rejected_revision) >= generation:
                # The generation has the record, with a content that is refused here.
                self._renew(key, row.rejected_revision - 1, held.order, carried=True)
                continue
            if held.kind is not types.RecordKind.SERVER:
                self._renew(key, revision, held.order, carried=True)
                continue
            lapsed += 1
            withdrawal = types.Record(
                kind=held.kind,
                name=held.name,
                revision=revision,
                spec=None,
                order=(held.order[0], writers_order.BEFORE_FIRST),
            )
            self._accept(key, withdrawal, envelope.render(withdrawal))
        return Transition(lapsed=lapsed, carried=len(self._carried))

    def carried(self) -> tuple[bytes, ...]:
        """Return the envelopes of the rows whose content is carried over."""
        return tuple(_accepted_envelope(self._rows[key]) for key in self._carried)

    def restore_listed_servers(self, revision: int, confirmed_ms: float) -> None:
        """Put servers in force as the platform has listed them for `_LISTED_TTL_MS`.

        Until then a server that was leaving or withdrawn before a new generation stays so.

        Parameters
        ----------
        revision : int
            Revision up to which this host holds every record, which the servers get.
        confirmed_ms : float
            Monotonic time at which the platform had nothing newer.
        """
        now_ms = self._context.now_ms()
        stood_still = now_ms - self._restored_ms > _MAX_TICK_GAP_MS
        self._restored_ms = now_ms
        for key in list(self._carried):
            row = self._rows[key]
            if row.listed is None:
                continue
            if stood_still:
                # What this host hears now may be as old as its last tick.
                row.listed = msgspec.structs.replace(row.listed, since_ms=now_ms)
            if row.listed.since_ms > confirmed_ms - _LISTED_TTL_MS:
                continue
            # Peers that have not restored it yet carry the later content under the same revision.
            start, sequence = row.record.order
            record = msgspec.structs.replace(
                row.listed.record, revision=revision, order=(start, sequence + 1)
            )
            row.listed = None
            self._accept(key, record, envelope.render(record), carried=True)
            self._record_decision(
                Verdict.ACCEPTED,
                "still-listed",
                record.name,
                {"revision": revision, "kind": _SERVER_KIND},
            )

    def drop_withdrawn(self) -> int:
        """Forget the records that were withdrawn `_WITHDRAWN_TTL_MS` ago.

        Returns
        -------
        int
            Greatest revision of those that were forgotten; 0 for none.
        """
        oldest_ms = self._context.now_ms() - _WITHDRAWN_TTL_MS
        greatest = 0
        while self._withdrawn_since_ms:
            key, since_ms = next(iter(self._withdrawn_since_ms.items()))
            if since_ms > oldest_ms:
                break
            del self._withdrawn_since_ms[key]
            greatest = max(greatest, self._drop_row(key))
        return greatest

    def drop_lapsed_servers(self) -> None:
        """Remove the servers whose records lapsed `_LAPSED_TTL_MS` ago from their pools."""
        now_ms = self._context.now_ms()
        self._lapsed_since_ms = {
            server: self._lapsed_since_ms.get(server, now_ms) for server in self._records.lapsed()
        }
        for server, since_ms in self._lapsed_since_ms.items():
            if now_ms - since_ms >= _LAPSED_TTL_MS:
                self._records.drop_lapsed(server)
                self._confirm_withdrawal((_SERVER_KIND, server))

    def report_rejections(self) -> None:
        """Record the rejected revisions and left-out entries as decisions again, now and then."""
        now_ms = self._context.now_ms()
        if now_ms - self._reported_ms < _REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        for each in self.rejections():
            detail = {
                "kind": each.kind,
                "revision": each.revision,
                "in_force": each.accepted_revision,
                "faults": "; ".join(each.faults),
            }
            self._record_decision(Verdict.REJECTED, "still-rejected", each.name, detail)
        faults = self._records.configuration_faults
        if faults:
            detail = {"version": self._records.configuration_version, "faults": "; ".join(faults)}
            self._record_decision(Verdict.ACCEPTED, "entries-left-out", "configuration", detail)

    def rejections(self) -> tuple[Rejection, ...]:
        """Return the rejected revisions that no newer valid one has replaced, newest last."""
        return tuple(sorted(self._rejections.values(), key=lambda entry: entry.revision))

    def _settle(
        self, key: tuple[str, str], header: envelope.EnvelopeHeader, raw: bytes
    ) -> Verdict | None:
        """Return the verdict on an envelope that changes no content, or None if it may do so."""
        row = self._rows.get(key)
        if row is None or row.record is None:
            return None
        held = row.record
        newer = header.revision > held.revision
        later = writers_order.compare(
            header,
            held,
            # A row that is carried over has its revision from what the platform lists instead.
            published_withdrawal=not (header.carried if newer else row.carried),
        )
        if later > 0 or (later == 0 and newer and not writers_order.is_listed_again(header, held)):
            return None
        if not newer:
            return Verdict.OLD
        if later == 0:
            self._renew(key, header.revision, held.order, carried=header.carried)
            return Verdict.RENEWED
        self._report_older(header, held)
        self._renew(key, header.revision, held.order, carried=True)
        if header.carried:
            self._keep_listed_by_peer(row, header)
        elif header.kind == _SERVER_KIND:
            self._keep_listed(row, header, raw)
        return Verdict.RENEWED

    def _keep_listed(self, row: _Row, header: envelope.EnvelopeHeader, raw: bytes) -> None:
        """Keep what the platform lists in place of a row that is carried over."""
        try:
            record = envelope.parse(raw, header)
        except Exception as error:
            detail = {"kind": header.kind, "faults": "; ".join(_faults_of(error))}
            self._record_decision(Verdict.REJECTED, "bad-record", header.name, detail)
        else:
            row.listed = _Listed(record, self._context.now_ms())

    def _mark_carried(self, key: tuple[str, str], header: envelope.EnvelopeHeader) -> None:
        """Take over from a peer that the content in force is carried over."""
        row = self._rows.get(key)
        if row is None or row.record is None or row.record.order != header.order:
            return
        withdrawn = row.record.spec is None
        if row.accepted_revision != header.revision or withdrawn != header.withdrawn:
            return
        self._set_carried(key, row, True)
        self._keep_listed_by_peer(row, header)

    def _keep_listed_by_peer(self, row: _Row, header: envelope.EnvelopeHeader) -> None:
        """Keep what the platform lists in place of a row, as a peer that carries it over says."""
        if row.listed is not None or header.listed == _NOT_LISTED:
            return
        raw = bytes(header.listed)
        try:
            listed_header = envelope.read_header(raw)
        except envelope.UnreadableEnvelopeError as error:
            detail = {"kind": header.kind, "faults": error.message}
            self._record_decision(Verdict.UNREADABLE, error.code, header.name, detail)
        else:
            self._keep_listed(row, listed_header, raw)

    def _take(self, key: tuple[str, str], header: envelope.EnvelopeHeader, raw: bytes) -> Verdict:
        """Put the content of an envelope in force, or reject it."""
        row = self._rows.get(key)
        held = None if row is None else row.record
        outdated = held is not None and header.revision <= held.revision
        carried = header.carried or revisions.generation_of(header.revision) < self._generation
        try:
            # An upgrade step may raise any exception on unexpected content.
            record = envelope.parse(raw, header)
        except Exception as error:
            return Verdict.OLD if outdated else self._reject(key, header, raw, _faults_of(error))
        if outdated:
            carried = True
            raw = revisions.with_revision(raw, held.revision)
            record = msgspec.structs.replace(record, revision=held.revision)
        if held is not None and writers_order.is_renewal(record, held, carried=carried):
            order = max(record.order, held.order)
            self._renew(key, record.revision, order, carried=carried)
            return Verdict.RENEWED
        self._accept(key, record, raw, carried=carried)
        return Verdict.ACCEPTED

    def _report_accepted(self, record: types.Record) -> None:
        reason = "withdrawn" if record.spec is None else "newer-revision"
        detail = {"revision": record.revision, "kind": record.kind.value}
        if isinstance(record.spec, types.ConfigurationSpec) and record.spec.faults:
            detail["faults"] = "; ".join(record.spec.faults)
        self._record_decision(Verdict.ACCEPTED, reason, record.name, detail)

    def _is_withdrawn(self, header: envelope.EnvelopeHeader, listed_to: int) -> bool:
        """Return whether a record that is not held must have been withdrawn since its revision."""
        generation = revisions.generation_of(header.revision)
        lacked = header.kind == _SERVER_KIND and generation < self._generation
        return lacked or header.revision <= listed_to

    def _confirm_withdrawal(self, key: tuple[str, str]) -> None:
        """Take a server that a new generation lacked for so long as gone."""
        order = self._missing.get(key)
        if order is not None:
            row = self._rows[key]
            self._renew(key, row.accepted_revision, order, carried=row.carried)

    def _accept(
        self,
        key: tuple[str, str],
        record: types.Record,
        raw: bytes,
        *,
        carried: bool = False,
    ) -> None:
        row = self._rows.setdefault(key, _Row())
        missing_order = self._missing.pop(key, None)
        if record.spec is None:
            self._withdrawn_since_ms.setdefault(key, self._context.now_ms())
            if row.record is not None:
                order = writers_order.of_withdrawal(record.order, row.record)
                record = msgspec.structs.replace(record, order=order)
                if order[1] == writers_order.BEFORE_FIRST:
                    self._missing[key] = missing_order or row.record.order
        else:
            self._withdrawn_since_ms.pop(key, None)
        row.original = b"" if envelope.equals_rendered(raw, record) else raw
        self._records.replace(record)
        self._set_accepted(key, row, record, carried)

    def _renew(
        self, key: tuple[str, str], revision: int, order: tuple[int, int], *, carried: bool
    ) -> None:
        """Put the content in force under another revision."""
        row = self._rows[key]
        if order[1] != writers_order.BEFORE_FIRST:
            self._missing.pop(key, None)
        if order[1] == writers_order.BEFORE_FIRST and revision > row.accepted_revision:
            self._lapsed_since_ms.pop(ids.ServerId(key[1]), None)
        record = msgspec.structs.replace(row.record, revision=revision, order=order)
        if row.original:
            row.original = revisions.with_revision(row.original, revision)
        self._records.replace(record)
        self._set_accepted(key, row, record, carried)

    def _set_accepted(
        self, key: tuple[str, str], row: _Row, record: types.Record, carried: bool
    ) -> None:
        moved = record.revision != row.accepted_revision
        if moved or (row.listed is not None and row.listed.record.spec == record.spec):
            row.listed = None
        if row.accepted_revision and moved:
            self._outdated_count += 1
        row.accepted_revision = record.revision
        row.record = record
        self._set_carried(key, row, carried)
        if row.rejected_revision and row.rejected_revision < record.revision:
            self._outdated_count += 1
            row.rejected_revision = 0
            row.rejected = b""
            self._rejections.pop(key, None)
        elif key in self._rejections:
            self._rejections[key] = msgspec.structs.replace(
                self._rejections[key], accepted_revision=record.revision
            )
        if moved:
            self._insert_revision(record.revision, row)

    def _set_carried(self, key: tuple[str, str], row: _Row, carried: bool) -> None:
        """Set whether a row is carried over, and update the checksum of all that are."""
        self._carried_checksum ^= self._carried.pop(key, 0)
        row.carried = carried
        if carried:
            self._carried[key] = _content_hash(row)
            self._carried_checksum ^= self._carried[key]

    def _drop_row(self, key: tuple[str, str]) -> int:
        """Forget a withdrawn record; return its revision, or 0 if it has to stay."""
        row = self._rows[key]
        if row.rejected_revision:
            self._withdrawn_since_ms[key] = self._context.now_ms()
            return 0
        revision = row.accepted_revision
        self._set_carried(key, row, False)
        self._records.drop_withdrawn(row.record.kind, row.record.name)
        del self._rows[key]
        row.accepted_revision = 0
        self._outdated_count += 1
        return revision

    def _report_older(self, header: envelope.EnvelopeHeader, held: types.Record) -> None:
        """Record once that a configuration has a smaller version than the one in force."""
        if header.kind != _CONFIGURATION_KIND or header.revision <= self._reported_older_revision:
            return
        self._reported_older_revision = header.revision
        detail = {
            "kind": header.kind,
            "revision": header.revision,
            "version": header.order[0],
            "in_force": held.order[0],
        }
        self._context.record_decision(
            ring.DecisionKind.RECORD, "ignored", "older-version", subject=header.name, detail=detail
        )

    def _reject(
        self,
        key: tuple[str, str],
        header: envelope.EnvelopeHeader,
        raw: bytes,
        faults: tuple[str, ...],
    ) -> Verdict:
        row = self._rows.setdefault(key, _Row())
        if header.revision < row.rejected_revision:
            return Verdict.OLD
        if len(raw) <= envelope.MAX_ENVELOPE_BYTES:
            self._outdated_count += bool(row.rejected_revision)
            row.rejected_revision = header.revision
            row.rejected = raw
            self._insert_revision(header.revision, row)
        self._store_rejection(key, header.revision, faults, row.accepted_revision)
        detail = {
            "kind": header.kind,
            "revision": header.revision,
            "in_force": row.accepted_revision,
            "faults": "; ".join(faults),
        }
        self._record_decision(Verdict.REJECTED, "bad-record", header.name, detail)
        return Verdict.REJECTED

    def _store_rejection(
        self, key: tuple[str, str], revision: int, faults: tuple[str, ...], accepted: int
    ) -> None:
        if key not in self._rejections and len(self._rejections) >= _MAX_REJECTIONS:
            oldest = min(self._rejections, key=lambda each: self._rejections[each].revision)
            del self._rejections[oldest]
        self._rejections[key] = Rejection(
            kind=key[0], name=key[1], revision=revision, faults=faults, accepted_revision=accepted
        )

    def _insert_revision(self, revision: int, row: _Row) -> None:
        """Add an entry to the columns; compact them if too many entries are outdated."""
        self._newest_revision = max(self._newest_revision, revision)
        index = bisect.bisect_right(self._revisions, revision)
        self._revisions.insert(index, revision)
        self._revision_rows.insert(index, row)
        if self._outdated_count > _MAX_OUTDATED_ENTRIES + len(self._rows):
            self._compact()

    def _compact(self) -> None:
        """Remove the entries whose row has a newer revision."""
        kept = [
            (revision, row)
            for revision, row in zip(self._revisions, self._revision_rows, strict=True)
            if revision in (row.accepted_revision, row.rejected_revision)
        ]
        self._revisions = array.array("q", (revision for revision, _ in kept))
        self._revision_rows = [row for _, row in kept]
        self._outdated_count = 0

    def _record_decision(
        self, verdict: Verdict, reason: str, name: str, detail: dict[str, int | float | str]
    ) -> None:
        self._context.record_decision(
            ring.DecisionKind.RECORD, verdict.value, reason, subject=name, detail=detail
        )


def _faults_of(error: Exception) -> tuple[str, ...]:
    """Return the faults that an exception of `envelope.parse` reports."""
    if isinstance(error, envelope.BadRecordError):
        return error.faults
    return (f"{type(error).__name__}: {error}",)


def _content_hash(row: _Row) -> int:
    """Return a hash of a row's content, without its revision; never 0."""
    record = msgspec.structs.replace(row.record, revision=1)
    return xxhash.xxh3_64_intdigest(envelope.render(record)) >> 1 or 1


def _accepted_envelope(row: _Row) -> bytes:
    raw = row.original or envelope.render(row.record)
    if not row.carried:
        return raw
    listed = b"" if row.listed is None else envelope.render(row.listed.record)
    return envelope.mark_carried(raw, listed)
