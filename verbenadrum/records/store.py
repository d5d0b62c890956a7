"""Store of envelopes: validates each, puts valid ones in force and keeps them for peers."""

import array
import bisect
import enum
import sys
from collections.abc import Iterator

import msgspec

from verbenadrum import ids
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import envelope, table, types

__all__ = ["RecordStore", "Rejection", "Verdict"]

_MAX_REJECTIONS = 500
_REPORT_INTERVAL_MS = 60_000.0
# A server whose record was withdrawn by a fault of the platform is published again within this
# time. Any other has left.
_LAPSED_TTL_MS = 2_000.0
# Outdated entries of the revision columns, besides one for each record, before a compaction.
_MAX_OUTDATED_ENTRIES = 1_024


class Verdict(enum.Enum):
    """Result of offering an envelope to the store.

    ``OLD`` is a revision that is held already, one older than the revision in force, or an invalid
    one older than the last rejected revision. ``UNREADABLE`` is an envelope without a valid header.
    """

    ACCEPTED = "accepted"
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


class _Row(msgspec.Struct, gc=False):
    """Envelopes of one record: the last accepted one and the last rejected one if it is newer.

    ``original`` is the accepted envelope as received, kept only if `envelope.render` would give
    another document. Keeping all of them would take a third of the memory of a large set of
    records.
    """

    accepted_revision: int = 0
    record: types.Record | None = None
    original: bytes = b""
    rejected_revision: int = 0
    rejected: bytes = b""


class RecordStore:
    """Validates envelopes and keeps them, rejected ones too, so that peers can validate them.

    A peer that runs another version may accept what this one rejects. For each record the store
    holds the last accepted envelope and, if it is newer, the last rejected one. Accepted records
    are put into the table of records in force; revisions only increase.

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

    @property
    def newest_revision(self) -> int:
        """Greatest revision held, accepted or rejected; 0 for none."""
        return self._newest_revision

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
        if row is None and header.revision <= listed_to:
            return Verdict.OLD
        if row is not None and header.revision in (row.accepted_revision, row.rejected_revision):
            return Verdict.OLD
        if row is not None and header.revision < row.accepted_revision:
            return Verdict.OLD
        try:
            # An upgrade step may raise any exception on unexpected content.
            record = envelope.parse(raw, header)
        except Exception as error:
            return self._reject(key, header, raw, _faults_of(error))
        self._accept(key, record, raw)
        if not quiet:
            reason = "withdrawn" if record.spec is None else "newer-revision"
            detail = {"revision": record.revision, "kind": header.kind}
            if isinstance(record.spec, types.ConfigurationSpec) and record.spec.faults:
                detail["faults"] = "; ".join(record.spec.faults)
            self._record_decision(Verdict.ACCEPTED, reason, record.name, detail)
        return Verdict.ACCEPTED

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
        names = set()
        for raw in listed:
            header = envelope.read_header(raw)
            names.add((header.kind, header.name))
        withdrawn = []
        for (kind, name), row in self._rows.items():
            in_force = row.record is not None and row.record.spec is not None
            is_listed = (kind, name) in names
            if kind != types.RecordKind.SERVER.value or not in_force or is_listed:
                continue
            if row.accepted_revision < revision:
                record = types.Record(
                    kind=types.RecordKind.SERVER, name=name, revision=revision, spec=None
                )
                withdrawn.append(envelope.render(record))
        return tuple(withdrawn)

    def drop_lapsed_servers(self) -> None:
        """Remove the servers whose records lapsed `_LAPSED_TTL_MS` ago from their pools."""
        now_ms = self._context.now_ms()
        self._lapsed_since_ms = {
            server: self._lapsed_since_ms.get(server, now_ms) for server in self._records.lapsed()
        }
        for server, since_ms in self._lapsed_since_ms.items():
            if now_ms - since_ms >= _LAPSED_TTL_MS:
                self._records.drop_lapsed(server)

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

    def _accept(self, key: tuple[str, str], record: types.Record, raw: bytes) -> None:
        row = self._rows.setdefault(key, _Row())
        self._records.put(record)
        if row.accepted_revision:
            self._outdated_count += 1
        row.accepted_revision = record.revision
        row.record = record
        row.original = b"" if envelope.equals_rendered(raw, record) else raw
        if row.rejected_revision and row.rejected_revision < record.revision:
            self._outdated_count += 1
            row.rejected_revision = 0
            row.rejected = b""
            self._rejections.pop(key, None)
        elif key in self._rejections:
            self._rejections[key] = msgspec.structs.replace(
                self._rejections[key], accepted_revision=record.revision
            )
        self._insert_revision(record.revision, row)

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


def _accepted_envelope(row: _Row) -> bytes:
    return row.original or envelope.render(row.record)
