"""Transfer in parts of packed envelopes that are too large for one message."""

from verbenadrum.dissemination import messages

__all__ = ["MAX_PART_BYTES", "PartAssembly", "cut"]

# A part crosses a link of 5 Mbit/s well within the timeout of a pull.
MAX_PART_BYTES = 131_072
_MAX_PARTS = 512


class PartAssembly:
    """Parts of one packed set of changes, collected in order.

    A part of another set is ignored, except for its first one, which replaces the parts collected
    so far.
    """

    def __init__(self) -> None:
        self._after = 0
        self._to = 0
        self._count = 0
        self._pieces: list[bytes] = []

    @property
    def after(self) -> int:
        """Revision after which the changes of the set begin."""
        return self._after

    @property
    def to(self) -> int:
        """Revision up to which the set holds the changes."""
        return self._to

    @property
    def next_index(self) -> int:
        """Index of the next part; 0 before the first one."""
        return len(self._pieces)

    def add(self, part: messages.RecordPart) -> bytes | None:
        """Add a part; return the whole packed set if this was the last one, else None."""
        if not 0 <= part.index < part.count <= _MAX_PARTS:
            return None
        same = (part.after, part.to, part.count) == (self._after, self._to, self._count)
        if not same and part.index == 0:
            self._after, self._to, self._count = part.after, part.to, part.count
            self._pieces = []
        elif not same or part.index != self.next_index:
            return None
        self._pieces.append(part.data)
        if len(self._pieces) < self._count:
            return None
        whole = b"".join(self._pieces)
        self._pieces = []
        self._count = 0
        return whole


def cut(changes: messages.RecordChanges, index: int) -> messages.RecordPart | None:
    """Return a part of packed changes, or None if there is none with that index.

    Examples
    --------
    >>> changes = messages.RecordChanges(0, 5, True, (), packed=bytes(MAX_PART_BYTES + 1))
    >>> [len(cut(changes, index).data) for index in range(2)], cut(changes, 2)
    ([131072, 1], None)
    """
    count = -(-len(changes.packed) // MAX_PART_BYTES)
    if not 0 <= index < count:
        return None
    return messages.RecordPart(
        after=changes.after,
        to=changes.to,
        final=changes.final,
        known_from=changes.known_from,
        index=index,
        count=count,
        data=changes.packed[index * MAX_PART_BYTES : (index + 1) * MAX_PART_BYTES],
        missing_to=changes.missing_to,
    )
