"""Prints results as aligned text or as JSON."""

from collections.abc import Iterable, Sequence
from typing import TextIO

import msgspec

__all__ = ["print_json", "print_table"]


def print_json(value: object, out: TextIO) -> None:
    """Print one JSON value on one line."""
    out.write(msgspec.json.encode(value).decode() + "\n")


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]], out: TextIO) -> None:
    """Print rows in columns as wide as their widest cell.

    Examples
    --------
    >>> import sys
    >>> print_table(["host", "revision"], [["h1", 7], ["host2", 12]], sys.stdout)
    host   revision
    h1     7
    host2  12
    """
    lines = [list(map(str, head)), *(list(map(str, row)) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        out.write("  ".join(cells).rstrip() + "\n")
