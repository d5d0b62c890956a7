"""Base class and registry of the messages between hosts."""

from typing import TypeVar

import msgspec

__all__ = ["Message", "message_types", "register"]


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of every message between hosts.

    A subclass sets a short unique ``tag`` as a class argument; it identifies the type in the
    encoded message. Fields are encoded by position, so a new field must come last and have a
    default: older hosts ignore it, and messages of older hosts lack it.
    """


MessageType = TypeVar("MessageType", bound=type[Message])

_message_types: list[type[Message]] = []


def register(message_type: MessageType) -> MessageType:
    """Register a message type, so that `codec.decode` accepts it; used as a class decorator."""
    _message_types.append(message_type)
    return message_type


def message_types() -> tuple[type[Message], ...]:
    """Return every registered message type, in the order of registration."""
    return tuple(_message_types)
