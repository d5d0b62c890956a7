"""Encodes and decodes messages between hosts as msgpack."""

import functools
import typing

import msgspec

from verbenadrum.messages import base
from verbenadrum.utils import errors

__all__ = [
    "Envelope",
    "MAX_MESSAGE_BYTES",
    "MalformedMessageError",
    "UnknownMessageError",
    "decode",
    "encode",
]

MAX_MESSAGE_BYTES = 1_048_576


class MalformedMessageError(errors.VerbenadrumError):
    """Bytes that are not a valid message, or a message that is too large."""

    code = "malformed-message"


class UnknownMessageError(errors.VerbenadrumError):
    """A message whose type is not registered, for example of a newer version."""

    code = "unknown-message"


class Envelope(typing.NamedTuple):
    """A decoded message and the host that sent it."""

    sender: str
    message: base.Message


@functools.cache
def _encoder() -> msgspec.msgpack.Encoder:
    return msgspec.msgpack.Encoder()


@functools.cache
def _decoder(types: tuple[type[base.Message], ...]) -> msgspec.msgpack.Decoder:
    union = typing.Union[types]  # noqa: UP007 (built at run time)
    return msgspec.msgpack.Decoder(tuple[str, union])


def encode(sender: str, message: base.Message) -> bytes:
    """Return the msgpack bytes of a message with its sender.

    Raises
    ------
    MalformedMessageError
        If the encoded message exceeds `MAX_MESSAGE_BYTES`.
    """
    data = _encoder().encode((sender, message))
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"{type(message).__name__} of {len(data)} bytes is too large")
    return data


def decode(data: bytes) -> Envelope:
    """Decode a message with its sender.

    Raises
    ------
    MalformedMessageError
        If ``data`` exceeds `MAX_MESSAGE_BYTES`, is not msgpack or not a valid message.
    UnknownMessageError
        If the message has a tag that is not registered.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"{len(data)} bytes exceed the limit of {MAX_MESSAGE_BYTES}")
    try:
        sender, message = _decoder(base.message_types()).decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        tag = _unknown_tag(data)
        if tag:
            raise UnknownMessageError(f"message type {tag!r} is not registered") from error
        raise MalformedMessageError(str(error)) from error
    return Envelope(sender, message)


def _unknown_tag(data: bytes) -> str:
    """Return the tag of a message whose type is not registered; empty for any other data."""
    try:
        _, fields = msgspec.msgpack.decode(data, type=tuple[str, list])
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return ""
    known = {message_type.__struct_config__.tag for message_type in base.message_types()}
    tag = fields[0] if fields else ""
    return tag if isinstance(tag, str) and tag not in known else ""
