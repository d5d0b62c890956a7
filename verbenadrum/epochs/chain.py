"""The host lists that may be in force: the last one activated and those promised since."""

from verbenadrum import ids
from verbenadrum.epochs import messages

__all__ = ["Chain", "majority"]

_MOST_LISTS = 64


def majority(members: tuple[ids.HostId, ...]) -> int:
    """Return how many hosts are more than half of the members.

    Examples
    --------
    >>> majority(("a", "b", "c", "d"))
    3
    """
    return len(members) // 2 + 1


class Chain:
    """Base list and the later lists, in ascending revision.

    Without a base the host remembers no epoch, and the lists are those that it has answered for
    since it started.
    """

    def __init__(self) -> None:
        self._base: messages.HostList | None = None
        self._later: list[messages.HostList] = []

    @property
    def base(self) -> messages.HostList | None:
        """The last list that was activated, or None if no epoch is remembered."""
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
        """The greatest list that this host has moved to."""
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
    def settled(self) -> bool:
        """Whether the base is the promised list."""
        return self._base is not None and not self._later

    def find(self, revision: int) -> messages.HostList | None:
        """Return the list of a revision, or None if it is not known."""
        return next((each for each in self.lists if each.revision == revision), None)

    def knows(self, revision: int) -> bool:
        """Return whether a revision is known, or so old that it no longer matters."""
        return revision <= self.base_revision or self.find(revision) is not None

    def add(self, new: messages.HostList) -> bool:
        """Take a list into the chain, and return whether it was new and had room."""
        if self.knows(new.revision) or len(self._later) >= _MOST_LISTS:
            return False
        self._later.append(new)
        self._later.sort(key=lambda each: each.revision)
        return True

    def advance(self, base: messages.HostList) -> list[messages.HostList]:
        """Make a list the base, and return the lists that it replaces."""
        replaced = [each for each in self.lists if each.revision < base.revision]
        self._later = [each for each in self._later if each.revision > base.revision]
        self._base = base
        return replaced

    def hosts(self) -> set[ids.HostId]:
        """Return the members of all lists together."""
        return {host for each in self.lists for host in each.members}

    def share(self, host: ids.HostId) -> float:
        """Return the fraction that a host owns: none unless it is in every list."""
        lists = self.lists
        if not lists or not all(host in each.members for each in lists):
            return 0.0
        return 1.0 / len(self.hosts())
