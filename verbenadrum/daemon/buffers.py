"""Budget of the bytes of answers that a host holds before it passes them on."""

__all__ = ["DEFAULT_MAX_BYTES", "BufferBudget", "Reservation"]

DEFAULT_MAX_BYTES = 33_554_432


class BufferBudget:
    """Bytes that the answers of all requests together may take in the memory of a host.

    An answer that is held as a whole before its first byte is passed on can be replaced by that of
    another attempt if it breaks off. Beyond the budget, answers are passed on as they come.

    Parameters
    ----------
    max_bytes : int
        Size of the budget.

    Examples
    --------
    >>> budget = BufferBudget(max_bytes=10)
    >>> first, second = budget.reservation(), budget.reservation()
    >>> first.extend(8), second.extend(8), budget.used_bytes
    (True, False, 8)
    >>> first.release()
    >>> second.extend(8)
    True
    """

    def __init__(self, *, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Number of bytes reserved now."""
        return self._used_bytes

    def reservation(self) -> "Reservation":
        """Return an empty reservation."""
        return Reservation(budget=self)

    def take(self, size: int) -> bool:
        """Reserve a number of bytes; return False if they exceed what is left."""
        if self._used_bytes + size > self._max_bytes:
            return False
        self._used_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Return bytes that were reserved."""
        self._used_bytes -= size


class Reservation:
    """Part of a `BufferBudget` that one answer has reserved."""

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._size = 0

    def extend(self, size: int) -> bool:
        """Reserve further bytes; return False, and reserve none, if they exceed the budget."""
        taken = self._budget.take(size)
        self._size += size if taken else 0
        return taken

    def release(self) -> None:
        """Return all bytes; a second call has no effect."""
        self._budget.give_back(self._size)
        self._size = 0
