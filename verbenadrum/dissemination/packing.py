"""Compression of envelopes, so that large changes cross slow links in time."""

import zlib

import msgspec

from verbenadrum.records import envelope
from verbenadrum.utils import errors

__all__ = ["MalformedPackError", "pack", "unpack"]

# Level 1 takes half the time of the default level, for output a few percent larger.
_COMPRESSION_LEVEL = 1
_MAX_UNPACKED_BYTES = 2 * envelope.MAX_ENVELOPE_BYTES


class MalformedPackError(errors.VerbenadrumError):
    """Bytes from a peer cannot be unpacked into envelopes."""

    code = "malformed-pack"


def pack(envelopes: tuple[bytes, ...]) -> bytes:
    """Return the envelopes as compressed MessagePack.

    Examples
    --------
    >>> unpack(pack((b"one", b"two")))
    (b'one', b'two')
    """
    return zlib.compress(msgspec.msgpack.encode(envelopes), _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> tuple[bytes, ...]:
    """Return the envelopes in the output of `pack`.

    Raises
    ------
    MalformedPackError
        If the bytes are malformed or truncated, or larger than the limit when unpacked.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise MalformedPackError(
                f"packed envelopes of {len(packed)} bytes are truncated or too large"
            )
        return msgspec.msgpack.decode(data, type=tuple[bytes, ...])
    except (zlib.error, msgspec.DecodeError) as error:
        raise MalformedPackError(f"cannot unpack envelopes: {error}") from error
