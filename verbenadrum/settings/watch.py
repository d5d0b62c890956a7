"""Detection of changes of the settings file, so that a reload needs no signal."""

import os
import pathlib

__all__ = ["SettingsWatch"]


class SettingsWatch:
    """Detects changes of a file by its inode, size and modification time.

    Parameters
    ----------
    path : Path
        The settings file. While it is missing, for example during replacement, no change is
        reported.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._last_fingerprint = self._fingerprint()

    @property
    def path(self) -> pathlib.Path:
        """The settings file."""
        return self._path

    def changed(self) -> bool:
        """Return whether the file has changed since the last call or since construction."""
        current = self._fingerprint()
        if current is None or current == self._last_fingerprint:
            return False
        self._last_fingerprint = current
        return True

    def _fingerprint(self) -> tuple[int, int, int] | None:
        try:
            current = os.stat(self._path)
        except OSError:
            return None
        return current.st_ino, current.st_size, current.st_mtime_ns
