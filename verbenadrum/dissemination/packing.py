"""Compressed envelopes, so that a large change of the records passes narrow links in time."""

import zlib

import msgspec

from verbenadrum.records import envelope
from verbenadrum.utils import errors

__all__ = ["MalformedPackError", "pack", "unpack"]

# Level 1 takes half the time of the default for a few hundredths more bytes.
_LEVEL = 1
_MAX_BYTES = 4 * envelope.MAX_ENVELOPE_BYTES


class MalformedPackError(errors.VerbenadrumError):
    """Bytes from a peer are no packed envelopes."""

    code = "malformed-pack"


def pack(envelopes: tuple[bytes, ...]) -> bytes:
    """Return the envelopes compressed.

    Examples
    --------
    >>> unpack(pack((b"one", b"two")))
    (b'one', b'two')
    """
    return zlib.compress(msgspec.msgpack.encode(envelopes), _LEVEL)


def unpack(packed: bytes) -> tuple[bytes, ...]:
    """Return the envelopes of packed bytes.

    Raises
    ------
    MalformedPackError
        If they cannot be read, or are more than a chunk can hold.
    """
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(packed, _MAX_BYTES)
        if not reader.eof:
            raise MalformedPackError(f"packed envelopes of {len(packed)} bytes are cut or too long")
        return msgspec.msgpack.decode(data, type=tuple[bytes, ...])
    except (zlib.error, msgspec.DecodeError) as error:
        raise MalformedPackError(f"packed envelopes cannot be read: {error}") from error
