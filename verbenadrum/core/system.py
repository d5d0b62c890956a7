"""Base class of the components of the core, and the decorator of their message handlers."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from verbenadrum.core import context
from verbenadrum.messages import base

__all__ = ["System", "handles"]

Handler = TypeVar("Handler", bound=Callable[..., None])


def handles(message_type: type[base.Message]) -> Callable[[Handler], Handler]:
    """Mark a method as the handler of one message type.

    The method is called as ``method(sender, message)``, where ``sender`` is a `HostId`.
    """

    def decorate(method: Handler) -> Handler:
        method.handled_type = message_type  # type: ignore[attr-defined]
        return method

    return decorate


class System:
    """Component of the core: it keeps state in tables, handles messages and runs each tick.

    Parameters
    ----------
    context : Context
        Identity, clock, random numbers, message sending and decision log of this host.
    """

    def __init__(self, *, context: context.Context) -> None:
        self._context = context

    def handlers(self) -> Iterator[tuple[type[base.Message], Callable[..., None]]]:
        """Yield each message type that this system handles, with the bound handler."""
        for name in dir(type(self)):
            method = getattr(type(self), name, None)
            message_type = getattr(method, "handled_type", None)
            if message_type is not None:
                yield message_type, getattr(self, name)

    def announce_shutdown(self) -> None:
        """Tell the peers that this host is about to end; by default there is nothing to tell."""

    def on_tick(self) -> None:
        """Process timeouts and periodic work; called about every `engine.TICK_MS`."""
