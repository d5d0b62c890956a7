"""Rendezvous hashing, by which hosts agree on a ranking of candidates without communication."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ["rank", "top"]

Name = TypeVar("Name", bound=str)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}")


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names in descending order of their rendezvous weight for ``key``.

    Parameters
    ----------
    key : str
        What is assigned to a candidate.
    names : iterable of str
        The candidates, in any order.

    Notes
    -----
    Highest random weight hashing (Thaler and Ravishankar, 1998): removing a name changes the
    first name only for the keys that were assigned to it.

    Examples
    --------
    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def top(key: str, names: Iterable[Name]) -> Name | None:
    """Return the first name of `rank` for ``key``, or None if there are no names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)
