"""Parses and writes envelopes, the JSON form in which the platform and peers transfer records."""

import msgspec

from verbenadrum.records import checks, types, upgrades
from verbenadrum.utils import errors, schema

__all__ = [
    "BadRecordError",
    "EnvelopeHeader",
    "MAX_ENVELOPE_BYTES",
    "UnreadableEnvelopeError",
    "parse",
    "read_header",
    "render",
    "render_refusal",
    "revision_of",
    "equals_rendered",
    "mark_carried",
    "unmark_carried",
]

# The platform stores values of up to 1 MiB. A short API key takes 6 bytes there and 190 in the
# envelope of the configuration.
MAX_ENVELOPE_BYTES = 33_554_432

# Field of a spec that stands for one which could not be taken.
_REFUSED_FIELD = "refused"
_NO_SPEC = msgspec.Raw(b"null")
_MAX_FAULTS = 20
_MAX_FAULT_CHARS = 300

_SPEC_TYPES: dict[types.RecordKind, type[types.Spec]] = {
    types.RecordKind.ROUTE: types.RouteSpec,
    types.RecordKind.WORKSPACE: types.WorkspaceSpec,
    types.RecordKind.KEY: types.KeySpec,
    types.RecordKind.POOL: types.PoolSpec,
    types.RecordKind.FLEET: types.FleetSpec,
    types.RecordKind.CONFIGURATION: types.ConfigurationSpec,
    types.RecordKind.SERVER: types.ServerSpec,
}


class UnreadableEnvelopeError(errors.VerbenadrumError):
    """An envelope whose kind, name or revision cannot be read."""

    code = "unreadable-envelope"


class BadRecordError(errors.VerbenadrumError):
    """An envelope of a known record and revision whose content is invalid.

    Attributes
    ----------
    faults : tuple of str
        The faults found, each with its key path; at most `_MAX_FAULTS` and their count.
    """

    code = "bad-record"

    def __init__(self, header: "EnvelopeHeader", faults: tuple[str, ...]) -> None:
        super().__init__(f"{header.kind} {header.name!r}: " + "; ".join(faults))
        self.faults = faults


class _Version(msgspec.Struct, frozen=True):
    version: int


class EnvelopeHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an envelope that is the same in every schema version.

    ``kind`` is text rather than a `RecordKind`, since a newer version may have further kinds.
    ``order`` is that of `types.Record`, and ``spec`` the content, not decoded. ``carried`` tells
    that the content is carried over from an older generation of the platform's store, and
    ``listed`` is the envelope that the newer one has instead, if it is a server's.
    """

    kind: str
    name: types.Name
    revision: int
    order: tuple[int, int] = types.UNKNOWN_ORDER
    spec: msgspec.Raw = _NO_SPEC
    carried: bool = False
    listed: msgspec.Raw = _NO_SPEC

    @property
    def withdrawn(self) -> bool:
        """Whether the envelope withdraws its record."""
        return self.spec == _NO_SPEC

    def __post_init__(self) -> None:
        if self.revision < 1:
            raise ValueError("revision must be at least 1")


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    """Schema version and content of an envelope; a ``spec`` of None withdraws the record."""

    schema: int = types.SCHEMA_VERSION
    spec: dict | None = None


_header_decoder = msgspec.json.Decoder(EnvelopeHeader)
_body_decoder = msgspec.json.Decoder(_Body)


def read_header(raw: bytes) -> EnvelopeHeader:
    """Return kind, name, revision and order of an envelope, without validating its content.

    The order of a configuration that states none is its version.

    Raises
    ------
    UnreadableEnvelopeError
        If kind, name or revision is missing or invalid.

    Examples
    --------
    >>> read_header(b'{"kind": "key", "name": "k", "revision": 3, "spec": null}').revision
    3
    """
    try:
        header = _header_decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise UnreadableEnvelopeError(str(error)) from error
    is_configuration = header.kind == types.RecordKind.CONFIGURATION.value
    if is_configuration and header.order == types.UNKNOWN_ORDER:
        return msgspec.structs.replace(header, order=_order_of_configuration(header.spec))
    return header


def _order_of_configuration(spec: msgspec.Raw) -> tuple[int, int]:
    """Return a configuration's version as its order, or unknown if it has no valid one."""
    try:
        return msgspec.json.decode(spec, type=_Version).version, 0
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return types.UNKNOWN_ORDER


def revision_of(raw: bytes) -> int:
    """Return the revision of an envelope, or 0 if its header cannot be read."""
    try:
        return read_header(raw).revision
    except UnreadableEnvelopeError:
        return 0


def parse(raw: bytes, header: EnvelopeHeader | None = None) -> types.Record:
    """Return the record in an envelope, upgraded to the current schema version.

    Parameters
    ----------
    raw : bytes
        The envelope.
    header : EnvelopeHeader or None
        Its header, if it has been read already.

    Raises
    ------
    UnreadableEnvelopeError
        If kind, name or revision is missing or invalid.
    BadRecordError
        If the kind is unknown or the content invalid.

    Examples
    --------
    >>> record = parse(b'{"kind": "workspace", "name": "w", "revision": 3, "schema": 1,'
    ...                b' "spec": {"rate": 2, "burst_size": 4}}')
    >>> record.spec.rate_per_s
    2.0
    """
    header = header or read_header(raw)
    kind = _read_kind(header)
    body = _read_body(header, raw)
    if body.spec is None:
        _check_withdrawal(header, kind)
        spec = None
    else:
        spec = _read_spec(header, kind, body)
    return types.Record(
        kind=kind, name=header.name, revision=header.revision, spec=spec, order=header.order
    )


def render(record: types.Record) -> bytes:
    """Return the envelope of a record in the current schema version, default values left out.

    Examples
    --------
    >>> record = parse(b'{"kind":"key","name":"k","revision":3,"spec":null}')
    >>> render(record)
    b'{"kind":"key","name":"k","revision":3,"schema":2,"spec":null}'
    """
    document = {
        "kind": record.kind,
        "name": record.name,
        "revision": record.revision,
        "schema": types.SCHEMA_VERSION,
        "spec": record.spec,
    }
    if record.order != types.UNKNOWN_ORDER:
        document["order"] = record.order
    return msgspec.json.encode(document)


def render_refusal(kind: types.RecordKind, name: str, revision: int, fault: str) -> bytes:
    """Return an envelope that every host rejects with a fault.

    It tells all hosts of a revision that the host which read it could not take.

    Examples
    --------
    >>> parse(render_refusal(types.RecordKind.KEY, "k", 3, "no number"))
    Traceback (most recent call last):
    verbenadrum.records.envelope.BadRecordError: bad-record: key 'k': no number
    """
    document = {
        "kind": kind,
        "name": name,
        "revision": revision,
        "schema": types.SCHEMA_VERSION,
        "spec": {_REFUSED_FIELD: fault},
    }
    return msgspec.json.encode(document)


def mark_carried(raw: bytes, listed: bytes) -> bytes:
    """Return an envelope whose content is carried over.

    Parameters
    ----------
    raw : bytes
        The envelope.
    listed : bytes
        Envelope that the newer generation has instead; empty for none.

    Examples
    --------
    >>> unmark_carried(mark_carried(b'{"spec":null}', b'{"spec":{}}'))
    b'{"spec":null}'
    """
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields["carried"] = msgspec.Raw(b"true")
    if listed:
        fields["listed"] = msgspec.Raw(listed)
    return msgspec.json.encode(fields)


def unmark_carried(raw: bytes) -> bytes:
    """Return an envelope without what `mark_carried` has added."""
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields.pop("carried", None)
    fields.pop("listed", None)
    return msgspec.json.encode(fields)


def equals_rendered(raw: bytes, record: types.Record) -> bool:
    """Return whether `render` of the record gives the same JSON document as the envelope.

    An ``order`` that the envelope does not state makes no difference.
    """
    rendered = render(record)
    if raw == rendered:
        return True
    expected = msgspec.json.decode(rendered)
    document = msgspec.json.decode(raw)
    if "order" in expected:
        document.setdefault("order", expected["order"])
    return document == expected


def _read_kind(header: EnvelopeHeader) -> types.RecordKind:
    try:
        return types.RecordKind(header.kind)
    except ValueError:
        known = ", ".join(kind.value for kind in types.RecordKind)
        raise _bad_record(header, [f"kind: {header.kind!r} is not one of: {known}"]) from None


def _read_body(header: EnvelopeHeader, raw: bytes) -> _Body:
    if len(raw) > MAX_ENVELOPE_BYTES:
        raise _bad_record(
            header, [f"the envelope has {len(raw)} bytes; the limit is {MAX_ENVELOPE_BYTES}"]
        )
    try:
        body = _body_decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise _bad_record(header, [str(error)]) from error
    if body.schema < upgrades.OLDEST_SCHEMA_VERSION:
        oldest = upgrades.OLDEST_SCHEMA_VERSION
        raise _bad_record(
            header, [f"schema: {body.schema} is older than the oldest supported, {oldest}"]
        )
    return body


def _check_withdrawal(header: EnvelopeHeader, kind: types.RecordKind) -> None:
    if kind is types.RecordKind.FLEET:
        raise _bad_record(header, ["spec: the fleet record cannot be withdrawn, only changed"])


def _read_spec(header: EnvelopeHeader, kind: types.RecordKind, body: _Body) -> types.Spec:
    expected = _SPEC_TYPES[kind]
    if isinstance(body.spec.get(_REFUSED_FIELD), str):
        raise _bad_record(header, [body.spec[_REFUSED_FIELD]])
    upgraded = upgrades.upgrade(kind, body.schema, body.spec)
    try:
        spec = msgspec.convert(upgraded, expected)
    except msgspec.ValidationError as error:
        found = [_prefix_with_spec(fault) for fault in schema.faults(upgraded, expected)]
        raise _bad_record(header, found or [str(error)]) from error
    found = list(checks.faults(kind, header.name, spec))
    if found:
        raise _bad_record(header, found)
    return spec


def _prefix_with_spec(fault: str) -> str:
    """Return a fault with ``spec`` put before its key path."""
    return "spec" + fault.removeprefix("(top level)") if fault[0] == "(" else f"spec.{fault}"


def _bad_record(header: EnvelopeHeader, faults: list[str]) -> BadRecordError:
    """Return the error with the faults, limited in number and length."""
    limited = [fault[:_MAX_FAULT_CHARS] for fault in faults[:_MAX_FAULTS]]
    if len(faults) > _MAX_FAULTS:
        limited.append(f"and {len(faults) - _MAX_FAULTS} more")
    return BadRecordError(header, tuple(limited))
