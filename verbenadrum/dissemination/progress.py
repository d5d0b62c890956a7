"""Revision up to which this host holds every published record."""

__all__ = ["Progress"]


class Progress:
    """Tracks the revision up to which every record is held, across chunked answers of sources.

    Some newer records may be held as well, as they arrive in any order. For a source that answers
    in chunks, a cursor gives the revision to request the next chunk from. Only the final chunk
    advances `complete_revision`, because a record that changes meanwhile moves to a later chunk.

    Examples
    --------
    >>> progress = Progress()
    >>> progress.advance("peer", after=0, to=50, final=False)
    True
    >>> progress.complete_revision, progress.cursor("peer"), progress.cursor("other")
    (0, 50, 0)
    >>> progress.advance("other", after=60, to=70, final=True)  # a gap
    False
    >>> progress.advance("peer", after=50, to=90, final=True)
    True
    >>> progress.complete_revision
    90
    """

    def __init__(self) -> None:
        self._complete_revision = 0
        self._cursors: dict[str, int] = {}

    @property
    def complete_revision(self) -> int:
        """Revision up to which every published record is held."""
        return self._complete_revision

    def cursor(self, source: str) -> int:
        """Return the revision after which to request changes from a source."""
        return max(self._complete_revision, self._cursors.get(source, 0))

    def advance(self, source: str, *, after: int, to: int, final: bool) -> bool:
        """Register that a source sent its changes in ``(after, to]``.

        Returns
        -------
        bool
            False, and nothing changes, if revisions before ``after`` are missing.
        """
        if after > self.cursor(source):
            return False
        if final:
            self._complete_revision = max(self._complete_revision, to)
            self._cursors.pop(source, None)
        else:
            self._cursors[source] = max(self.cursor(source), to)
        return True

    def forget(self, source: str) -> None:
        """Drop the cursor of a source that is no longer pulled from."""
        self._cursors.pop(source, None)
