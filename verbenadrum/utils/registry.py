"""Registry of named behaviours, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from verbenadrum.utils import errors

__all__ = ["Registry", "UnknownNameError"]

T = TypeVar("T")


class UnknownNameError(errors.VerbenadrumError):
    """A name was looked up that no behaviour has been registered under."""

    code = "unknown-name"


class Registry(Generic[T]):
    """Named behaviours of one kind.

    Parameters
    ----------
    kind : str
        What the behaviours are, for error messages.

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
        """Return a decorator that files a behaviour under ``name``.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered already")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the behaviour filed under ``name``.

        Raises
        ------
        UnknownNameError
            If there is none; the message lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries)) or "none"
            raise UnknownNameError(f"{self._kind} {name!r} is not one of: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
