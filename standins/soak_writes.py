"""When what a writer published must be in force, if the platform returns from older copies."""

__all__ = ["Writes"]


class Writes:
    """Versions of one record, as its writer published them and returns of the platform lost them.

    Times are milliseconds since the Unix epoch.

    Examples
    --------
    >>> writes = Writes()
    >>> writes.add(1, 1_000.0)
    >>> writes.copy()
    >>> writes.add(2, 2_000.0)
    >>> writes.lose(2_500.0)
    >>> writes.add(2, 3_000.0)
    >>> writes.due_ms(1, 4_000.0), writes.due_ms(2, 4_000.0)
    (5000.0, 7000.0)
    """

    def __init__(self) -> None:
        self._published: list[tuple[int, float]] = []
        self._returns: list[tuple[int, float]] = []
        self._copied = 0

    @property
    def newest(self) -> int:
        """Newest version whose publication the platform has acknowledged; 0 for none."""
        return max((version for version, _ in self._published), default=0)

    def add(self, version: int, acknowledged_ms: float) -> None:
        """Register that the platform has acknowledged a version, for the first time or again."""
        self._published.append((version, acknowledged_ms))

    def copy(self) -> None:
        """Register that the platform has copied the newest version."""
        self._copied = self.newest

    def lose(self, at_ms: float) -> None:
        """Register that the platform went away at a time, to come back from the last copy."""
        self._returns.append((self._copied, at_ms))

    def due_ms(self, version: int, allowed_ms: float) -> float:
        """Return the time from which a version, or a later one, must be in force everywhere.

        A return may lose a version that was published less than ``allowed_ms`` ago; it is due
        again once that or a later one has been published after the return.

        Parameters
        ----------
        version : int
            The version.
        allowed_ms : float
            Time in milliseconds from a publication until it must be in force.
        """
        due_ms = self._due_after(version, 0.0, allowed_ms)
        for copied, at_ms in self._returns:
            if copied < version and at_ms < due_ms:
                due_ms = self._due_after(version, at_ms, allowed_ms)
        return due_ms

    def _due_after(self, version: int, since_ms: float, allowed_ms: float) -> float:
        times = [at_ms for each, at_ms in self._published if each >= version and at_ms >= since_ms]
        return min(times, default=float("inf")) + allowed_ms
