"""Base class and register of the messages that hosts send each other."""

from typing import TypeVar

import msgspec

__all__ = ["Message", "message_types", "register"]


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of every message between hosts.

    A subclass sets a short unique ``tag`` in its class line. Fields are encoded by position, so
    a new field goes last and has a default: an older host ignores it.
    """


MessageType = TypeVar("MessageType", bound=type[Message])

_types: list[type[Message]] = []


def register(message_type: MessageType) -> MessageType:
    """Add a message type to the codec, as a class decorator."""
    _types.append(message_type)
    return message_type


def message_types() -> tuple[type[Message], ...]:
    """Return every registered message type, in the order of registration."""
    return tuple(_types)
