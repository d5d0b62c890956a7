"""Weighted deficit round robin over the workspaces that wait for a slot."""

import collections
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Serves waiting workspaces in turn, each in proportion to its weight.

    Deficit round robin (Shreedhar and Varghese, 1995) with a cost of one for each item.

    Parameters
    ----------
    weight : callable
        Returns a workspace's weight; heavier ones are served more often.

    Examples
    --------
    >>> queue = FairQueue(weight=lambda workspace: 2.0 if workspace == "a" else 1.0)
    >>> for index in range(4):
    ...     queue.push("a", f"a{index}")
    ...     queue.push("b", f"b{index}")
    >>> [queue.pop() for _ in range(6)]
    ['a0', 'a1', 'b0', 'a2', 'a3', 'b1']
    """

    def __init__(self, *, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._queues: dict[str, collections.deque[Item]] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Item]:
        for queue in self._queues.values():
            yield from queue

    def waiting(self, workspace: str) -> int:
        """Return how many items of one workspace wait."""
        queue = self._queues.get(workspace)
        return 0 if queue is None else len(queue)

    def weights(self) -> float:
        """Return the summed weight of the workspaces that wait."""
        return sum(self._weight(workspace) for workspace in self._queues)

    def push(self, workspace: str, item: Item, *, front: bool = False) -> None:
        """Add an item; a workspace that did not wait takes the last turn."""
        queue = self._queues.get(workspace)
        if queue is None:
            queue = self._queues[workspace] = collections.deque()
            self._turns.append(workspace)
            self._deficits[workspace] = self._quantum(workspace)
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._size += 1

    def pop(self) -> Item | None:
        """Remove and return the next item, or None if nothing waits."""
        while self._turns:
            workspace = self._turns[0]
            if self._deficits[workspace] >= 1.0 - 1e-9:
                self._deficits[workspace] -= 1.0
                return self._take(workspace)
            self._turns.rotate(-1)
            self._deficits[workspace] += self._quantum(workspace)
        return None

    def remove(self, unwanted: Callable[[Item], bool]) -> list[Item]:
        """Remove and return the items for which ``unwanted`` is true."""
        removed: list[Item] = []
        for workspace in list(self._queues):
            queue = self._queues[workspace]
            found = [item for item in queue if unwanted(item)]
            if not found:
                continue
            removed.extend(found)
            self._queues[workspace] = collections.deque(
                item for item in queue if not unwanted(item)
            )
            self._size -= len(found)
            if not self._queues[workspace]:
                self._drop(workspace)
        return removed

    def _quantum(self, workspace: str) -> float:
        # The heaviest waiting workspace gets whole turns; none gets less than a tenth of one.
        return max(0.1, self._weight(workspace))

    def _take(self, workspace: str) -> Item:
        queue = self._queues[workspace]
        item = queue.popleft()
        self._size -= 1
        if not queue:
            self._drop(workspace)
        return item

    def _drop(self, workspace: str) -> None:
        del self._queues[workspace]
        del self._deficits[workspace]
        self._turns.remove(workspace)
