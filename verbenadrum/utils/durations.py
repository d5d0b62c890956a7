"""Times that are written as a number and its unit."""

import re

__all__ = ["parse_ms"]

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNITS_MS = {"ms": 1.0, "s": 1000.0}


def parse_ms(text: str) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in milliseconds.

    Raises
    ------
    ValueError
        If it is not a number with one of the two units.

    Examples
    --------
    >>> parse_ms("2.5s"), parse_ms("300ms")
    (2500.0, 300.0)
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r} is no time with the unit ms or s")
    number, unit = found.groups()
    return float(number) * _UNITS_MS[unit]
