"""Output of results as aligned text or JSON."""

from collections.abc import Iterable, Sequence
from typing import TextIO

import msgspec

__all__ = ["print_json", "print_table"]


def print_json(value: object, out: TextIO) -> None:
    """Print a value as JSON on one line."""
    out.write(msgspec.json.encode(value).decode() + "\n")


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]], out: TextIO) -> None:
    """Print a header and rows in left-aligned columns.

    Examples
    --------
    >>> import sys
    >>> print_table(["host", "revision"], [["h1", 7], ["host2", 12]], sys.stdout)
    host   revision
    h1     7
    host2  12
    """
    lines = [list(map(str, header)), *(list(map(str, row)) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        out.write("  ".join(cells).rstrip() + "\n")
