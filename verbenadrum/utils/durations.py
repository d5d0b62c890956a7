"""Parsing of durations that are written as a number with a unit."""

import math
import re

__all__ = ["parse_ms"]

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


def parse_ms(text: str) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in milliseconds.

    Raises
    ------
    ValueError
        If ``text`` is not a non-negative decimal number followed by ``ms`` or ``s``.

    Examples
    --------
    >>> parse_ms("2.5s"), parse_ms("300ms")
    (2500.0, 300.0)
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r} is not a duration with the unit ms or s")
    number, unit = found.groups()
    duration_ms = float(number) * _MS_PER_UNIT[unit]
    if not math.isfinite(duration_ms):
        raise ValueError(f"{text[:20]!r}... is too long for a duration")
    return duration_ms
