"""Base class of the systems, and the decorator that marks their message handlers."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from verbenadrum.core import context
from verbenadrum.messages import base

__all__ = ["System", "handles"]

Handler = TypeVar("Handler", bound=Callable[..., None])


def handles(message_type: type[base.Message]) -> Callable[[Handler], Handler]:
    """Mark a method ``(self, sender, message)`` as the handler of one message type."""

    def decorate(method: Handler) -> Handler:
        method.handled_type = message_type  # type: ignore[attr-defined]
        return method

    return decorate


class System:
    """Part of the core that keeps tables and runs over them each tick.

    Parameters
    ----------
    context : Context
        Clock, random numbers, sending and decisions of this host.
    """

    def __init__(self, *, context: context.Context) -> None:
        self._context = context

    def handlers(self) -> Iterator[tuple[type[base.Message], Callable[..., None]]]:
        """Yield each handled message type with its bound method."""
        for name in dir(type(self)):
            method = getattr(type(self), name, None)
            message_type = getattr(method, "handled_type", None)
            if message_type is not None:
                yield message_type, getattr(self, name)

    def on_tick(self) -> None:
        """Run over the tables; called every `TICK_MS` of the engine."""
