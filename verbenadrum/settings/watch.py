"""Notices that a settings file has changed, with or without a signal."""

import os
import pathlib

__all__ = ["SettingsWatch"]


class SettingsWatch:
    """Compares a file's identity, size and time of change with those that were seen last.

    Parameters
    ----------
    path : Path
        The settings file; one that is missing for a moment, while it is replaced, is no change.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._seen = self._look()

    @property
    def path(self) -> pathlib.Path:
        """The settings file."""
        return self._path

    def changed(self) -> bool:
        """Return whether the file is another one than at the last call, or at the start."""
        found = self._look()
        if found is None or found == self._seen:
            return False
        self._seen = found
        return True

    def _look(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns
