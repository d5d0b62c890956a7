"""The host lists that may be in force: the last one activated and the later ones."""

from verbenadrum import ids
from verbenadrum.epochs import messages

__all__ = ["Chain", "majority"]

_MAX_LATER_LISTS = 64


def majority(members: tuple[ids.HostId, ...]) -> int:
    """Return the size of the smallest majority of the members.

    Examples
    --------
    >>> majority(("a", "b", "c", "d"))
    3
    """
    return len(members) // 2 + 1


class Chain:
    """The base, which is the last list activated, and the later lists in ascending revision.

    A host that has restarted has no base until it has recovered one; its lists are then those for
    which it has answered polls since the start.
    """

    def __init__(self) -> None:
        self._base: messages.HostList | None = None
        self._later: list[messages.HostList] = []

    @property
    def base(self) -> messages.HostList | None:
        """The last list that was activated, or None before the first activation."""
        return self._base

    @property
    def base_revision(self) -> int:
        """Revision of the base, or 0 without one."""
        return 0 if self._base is None else self._base.revision

    @property
    def lists(self) -> list[messages.HostList]:
        """The base, if there is one, and every later list."""
        return ([] if self._base is None else [self._base]) + self._later

    @property
    def promised(self) -> messages.HostList | None:
        """The list of greatest revision, for which this host vouches; None without any list."""
        return self._later[-1] if self._later else self._base

    @property
    def promised_revision(self) -> int:
        """Revision of the promised list, or 0 without one."""
        return 0 if self.promised is None else self.promised.revision

    @property
    def history(self) -> tuple[int, ...]:
        """Revisions after the base, up to the promised one."""
        return tuple(each.revision for each in self._later)

    @property
    def stable(self) -> bool:
        """Whether there is a base and no later list."""
        return self._base is not None and not self._later

    def find(self, revision: int) -> messages.HostList | None:
        """Return the list of a revision, or None if it is not in the chain."""
        return next((each for each in self.lists if each.revision == revision), None)

    def covers(self, revision: int) -> bool:
        """Return whether a revision is in the chain, or not later than the base."""
        return revision <= self.base_revision or self.find(revision) is not None

    def add(self, new: messages.HostList) -> bool:
        """Add a list; return False if it is covered already or the chain is full."""
        if self.covers(new.revision) or len(self._later) >= _MAX_LATER_LISTS:
            return False
        self._later.append(new)
        self._later.sort(key=lambda each: each.revision)
        return True

    def advance(self, base: messages.HostList) -> list[messages.HostList]:
        """Make a list the base, and return the earlier lists, which it replaces."""
        replaced = [each for each in self.lists if each.revision < base.revision]
        self._later = [each for each in self._later if each.revision > base.revision]
        self._base = base
        return replaced

    def hosts(self) -> set[ids.HostId]:
        """Return the members of all lists together."""
        return {host for each in self.lists for host in each.members}

    def share(self, host: ids.HostId) -> float:
        """Return a host's fraction of the capacity, 0 to 1; 0 unless every list has the host."""
        lists = self.lists
        if not lists or not all(host in each.members for each in lists):
            return 0.0
        return 1.0 / len(self.hosts())
