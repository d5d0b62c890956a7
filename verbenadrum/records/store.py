"""Store of raw envelopes: judges each, puts good ones in force and keeps all for peers."""

import array
import bisect
import enum
import sys
from collections.abc import Iterator

import msgspec

from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import envelope, table, types

__all__ = ["RecordStore", "Rejection", "Verdict"]

_MAX_REJECTIONS = 500
_COMPACT_AFTER = 1_024


class Verdict(enum.Enum):
    """What became of an envelope that was offered."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    OLD = "old"
    UNREADABLE = "unreadable"


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """A revision that was refused, and what is in force instead.

    ``accepted_revision`` is 0 where no revision of the record was ever accepted here.
    """

    kind: str
    name: str
    revision: int
    faults: tuple[str, ...]
    accepted_revision: int


class _Row(msgspec.Struct, gc=False):
    """Envelopes of one record: the last accepted one and a newer one that was refused.

    The accepted one is kept as it came only where writing the record anew would say something
    else: it would be a third of the memory of a large set of records.
    """

    accepted_revision: int = 0
    record: types.Record | None = None
    unlike: bytes = b""
    rejected_revision: int = 0
    rejected: bytes = b""


class RecordStore:
    """Judges envelopes and keeps them as they came, so that other versions can judge anew.

    For each record it holds the last accepted envelope and, if it is newer, the last refused
    one. Accepted records go into the table of records in force; revisions only grow.

    Parameters
    ----------
    context : Context
        Where decisions go.
    records : RecordTable
        The records in force.
    """

    def __init__(self, *, context: context.Context, records: table.RecordTable) -> None:
        self._context = context
        self._records = records
        self._rows: dict[tuple[str, str], _Row] = {}
        # Two columns in ascending revision, with rows that have moved on until they are compacted.
        self._revisions = array.array("q")
        self._revised: list[_Row] = []
        self._outdated = 0
        self._rejections: dict[tuple[str, str], Rejection] = {}
        self._newest = 0

    @property
    def newest(self) -> int:
        """Greatest revision held, accepted or not."""
        return self._newest

    def __len__(self) -> int:
        return len(self._rows)

    def offer(self, raw: bytes, *, quiet: bool = False) -> Verdict:
        """Judge one envelope; never raises, so that one fault does not block the next one.

        Parameters
        ----------
        raw : bytes
            The envelope.
        quiet : bool
            Whether to take it without a decision, as in the first load of a whole set.
        """
        try:
            header = envelope.read_header(raw)
        except envelope.UnreadableEnvelopeError as error:
            self._decide(Verdict.UNREADABLE, "unreadable-envelope", "", {"fault": error.message})
            return Verdict.UNREADABLE
        key = (sys.intern(header.kind), header.name)
        row = self._rows.get(key)
        if row is not None and header.revision in (row.accepted_revision, row.rejected_revision):
            return Verdict.OLD
        if row is not None and header.revision < row.accepted_revision:
            return Verdict.OLD
        try:
            # An upgrade step may fail in any way on content that nobody foresaw.
            record = envelope.parse(raw, header)
        except Exception as error:
            return self._reject(key, header, raw, _faults_of(error))
        self._accept(key, record, raw)
        if not quiet:
            reason = "withdrawn" if record.spec is None else "newer-revision"
            detail = {"revision": record.revision, "kind": header.kind}
            self._decide(Verdict.ACCEPTED, reason, record.name, detail)
        return Verdict.ACCEPTED

    def after(self, revision: int, up_to: int | None = None) -> Iterator[tuple[int, bytes]]:
        """Yield revision and envelope of what was published after ``revision``, ascending."""
        for index in range(bisect.bisect_right(self._revisions, revision), len(self._revisions)):
            entry_revision, row = self._revisions[index], self._revised[index]
            if up_to is not None and entry_revision > up_to:
                return
            if entry_revision == row.accepted_revision:
                yield entry_revision, _accepted(row)
            elif entry_revision == row.rejected_revision:
                yield entry_revision, row.rejected

    def last_accepted(self, kind: str, name: str, newer_than: int) -> bytes | None:
        """Return the accepted envelope of a record if it is newer than a revision."""
        row = self._rows.get((kind, name))
        if row is None or row.accepted_revision <= newer_than:
            return None
        return _accepted(row)

    def withdrawals(self, listed: tuple[bytes, ...], revision: int) -> tuple[bytes, ...]:
        """Return envelopes that withdraw the servers which a whole listing does not hold.

        Parameters
        ----------
        listed : tuple of bytes
            Envelopes of every record that existed at ``revision``.
        revision : int
            Revision of the listing, which the withdrawals get.
        """
        names = set()
        for raw in listed:
            header = envelope.read_header(raw)
            names.add((header.kind, header.name))
        gone = []
        for (kind, name), row in self._rows.items():
            held = row.record is not None and row.record.spec is not None
            listed_now = (kind, name) in names
            if kind != types.RecordKind.SERVER.value or not held or listed_now:
                continue
            if row.accepted_revision < revision:
                record = types.Record(
                    kind=types.RecordKind.SERVER, name=name, revision=revision, spec=None
                )
                gone.append(envelope.render(record))
        return tuple(gone)

    def rejections(self) -> tuple[Rejection, ...]:
        """Return the refused revisions that no good one has replaced, newest last."""
        return tuple(sorted(self._rejections.values(), key=lambda entry: entry.revision))

    def _accept(self, key: tuple[str, str], record: types.Record, raw: bytes) -> None:
        row = self._rows.setdefault(key, _Row())
        self._records.put(record)
        if row.accepted_revision:
            self._outdated += 1
        row.accepted_revision = record.revision
        row.record = record
        row.unlike = b"" if envelope.says_the_same(raw, record) else raw
        if row.rejected_revision and row.rejected_revision < record.revision:
            self._outdated += 1
            row.rejected_revision = 0
            row.rejected = b""
            self._rejections.pop(key, None)
        elif key in self._rejections:
            self._rejections[key] = msgspec.structs.replace(
                self._rejections[key], accepted_revision=record.revision
            )
        self._note(record.revision, row)

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
            self._outdated += bool(row.rejected_revision)
            row.rejected_revision = header.revision
            row.rejected = raw
            self._note(header.revision, row)
        self._keep_rejection(key, header.revision, faults, row.accepted_revision)
        detail = {
            "kind": header.kind,
            "revision": header.revision,
            "in_force": row.accepted_revision,
            "faults": "; ".join(faults),
        }
        self._decide(Verdict.REJECTED, "bad-record", header.name, detail)
        return Verdict.REJECTED

    def _keep_rejection(
        self, key: tuple[str, str], revision: int, faults: tuple[str, ...], accepted: int
    ) -> None:
        if key not in self._rejections and len(self._rejections) >= _MAX_REJECTIONS:
            oldest = min(self._rejections, key=lambda each: self._rejections[each].revision)
            del self._rejections[oldest]
        self._rejections[key] = Rejection(
            kind=key[0], name=key[1], revision=revision, faults=faults, accepted_revision=accepted
        )

    def _note(self, revision: int, row: _Row) -> None:
        self._newest = max(self._newest, revision)
        index = bisect.bisect_right(self._revisions, revision)
        self._revisions.insert(index, revision)
        self._revised.insert(index, row)
        if self._outdated > _COMPACT_AFTER + len(self._rows):
            self._compact()

    def _compact(self) -> None:
        """Drop the entries of rows that have a newer revision."""
        kept = [
            (revision, row)
            for revision, row in zip(self._revisions, self._revised, strict=True)
            if revision in (row.accepted_revision, row.rejected_revision)
        ]
        self._revisions = array.array("q", (revision for revision, _ in kept))
        self._revised = [row for _, row in kept]
        self._outdated = 0

    def _decide(
        self, verdict: Verdict, reason: str, name: str, detail: dict[str, int | float | str]
    ) -> None:
        self._context.decide(
            ring.DecisionKind.RECORD, verdict.value, reason, subject=name, detail=detail
        )


def _faults_of(error: Exception) -> tuple[str, ...]:
    if isinstance(error, envelope.BadRecordError):
        return error.faults
    return (f"{type(error).__name__}: {error}",)


def _accepted(row: _Row) -> bytes:
    return row.unlike or envelope.render(row.record)
