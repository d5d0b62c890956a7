"""Registry of implementations that are selected by name, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from verbenadrum.utils import errors

__all__ = ["Registry", "UnknownNameError"]

T = TypeVar("T")


class UnknownNameError(errors.VerbenadrumError):
    """No implementation is registered under a name that was looked up."""

    code = "unknown-name"


class Registry(Generic[T]):
    """Implementations of one kind by name; iteration yields the names.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages.

    Examples
    --------
    >>> shapes = Registry(kind="shape")
    >>> @shapes.register("square")
    ... class Square: pass
    >>> shapes.get("square") is Square
    True
    >>> list(shapes)
    ['square']
    """

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``.

        Raises
        ------
        ValueError
            If the name is registered already; raised when the decorator is applied.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered already")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry registered under ``name``.

        Raises
        ------
        UnknownNameError
            If there is none; the message lists the registered names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries)) or "none"
            raise UnknownNameError(f"{self._kind} {name!r} is not one of: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
