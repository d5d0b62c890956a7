"""How far this host holds every published record."""

__all__ = ["Progress"]


class Progress:
    """Tracks the revision up to which every record is held, over partial answers of sources.

    Single records may be held beyond it, for they arrive in any order. A source that answers
    in parts is asked for the next part from its own cursor; only its final part moves
    `complete_to`, for a record that changed while the parts were read comes in a later one.

    Examples
    --------
    >>> progress = Progress()
    >>> progress.advance("peer", after=0, to=50, final=False)
    True
    >>> progress.complete_to, progress.cursor("peer"), progress.cursor("other")
    (0, 50, 0)
    >>> progress.advance("other", after=60, to=70, final=True)  # a gap
    False
    >>> progress.advance("peer", after=50, to=90, final=True)
    True
    >>> progress.complete_to
    90
    """

    def __init__(self) -> None:
        self._complete_to = 0
        self._cursors: dict[str, int] = {}

    @property
    def complete_to(self) -> int:
        """Every record published up to this revision is held."""
        return self._complete_to

    def cursor(self, source: str) -> int:
        """Return the revision after which to ask a source."""
        return max(self._complete_to, self._cursors.get(source, 0))

    def advance(self, source: str, *, after: int, to: int, final: bool) -> bool:
        """Note that a source gave its changes in ``(after, to]``.

        Returns
        -------
        bool
            False if there is a gap between what is held and ``after``.
        """
        if after > self.cursor(source):
            return False
        if final:
            self._complete_to = max(self._complete_to, to)
            self._cursors.pop(source, None)
        else:
            self._cursors[source] = max(self.cursor(source), to)
        return True

    def forget(self, source: str) -> None:
        """Drop the cursor of a source that is no longer asked."""
        self._cursors.pop(source, None)
