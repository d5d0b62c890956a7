"""Revisions of records, which hold the generation of the platform's store and its counter.

A store that comes back from an older copy begins a new generation and gives out the values of its
counter again. A revision of a newer generation is greater than any of an older one.
"""

import msgspec

__all__ = [
    "MAX_GENERATION",
    "counter_of",
    "generation_of",
    "join",
    "renumber",
    "to_text",
    "with_revision",
]

_COUNTER_BITS = 40
_MAX_COUNTER = (1 << _COUNTER_BITS) - 1
# A revision fits a signed integer of 64 bits.
MAX_GENERATION = (1 << (63 - _COUNTER_BITS)) - 1


class _Numbered(msgspec.Struct):
    revision: int


def join(generation: int, counter: int) -> int:
    """Return the revision of a counter's value in a generation.

    Raises
    ------
    ValueError
        If either number is negative or too large.

    Examples
    --------
    >>> join(0, 7)
    7
    >>> join(1, 1) > join(0, 1_000_000)
    True
    """
    if not 0 <= generation <= MAX_GENERATION:
        raise ValueError(f"generation {generation} is not between 0 and {MAX_GENERATION}")
    if not 0 <= counter <= _MAX_COUNTER:
        raise ValueError(f"counter {counter} is not between 0 and {_MAX_COUNTER}")
    return generation << _COUNTER_BITS | counter


def generation_of(revision: int) -> int:
    """Return the generation of a revision.

    Examples
    --------
    >>> generation_of(join(3, 12))
    3
    """
    return revision >> _COUNTER_BITS


def counter_of(revision: int) -> int:
    """Return the counter's value in a revision.

    Examples
    --------
    >>> counter_of(join(3, 12))
    12
    """
    return revision & _MAX_COUNTER


def to_text(revision: int) -> str:
    """Return a revision in the form in which people read it.

    Examples
    --------
    >>> to_text(12), to_text(join(3, 12))
    ('12', '12 (generation 3)')
    """
    generation = generation_of(revision)
    counter = counter_of(revision)
    return f"{counter} (generation {generation})" if generation else str(counter)


def renumber(raw: bytes, generation: int) -> bytes:
    """Return an envelope whose revision, a counter's value so far, also holds its generation.

    Every other field stays as it is, fields that this version does not know included.

    Raises
    ------
    msgspec.DecodeError, ValueError
        If the envelope is no JSON object with a revision that is a counter's value.

    Examples
    --------
    >>> renumber(b'{"kind":"key","revision":3}', 0)
    b'{"kind":"key","revision":3}'
    >>> renumber(b'{"kind":"key","revision":3}', 1) == (
    ...     b'{"kind":"key","revision":%d}' % join(1, 3))
    True
    """
    if generation == 0:
        return raw
    counter = msgspec.json.decode(raw, type=_Numbered).revision
    return with_revision(raw, join(generation, counter))


def with_revision(raw: bytes, revision: int) -> bytes:
    """Return an envelope under another revision, with every other field as it is.

    Raises
    ------
    msgspec.DecodeError
        If the envelope is no JSON object.

    Examples
    --------
    >>> with_revision(b'{"revision":3,"spec":null}', 4)
    b'{"revision":4,"spec":null}'
    """
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields["revision"] = msgspec.Raw(str(revision).encode())
    return msgspec.json.encode(fields)
