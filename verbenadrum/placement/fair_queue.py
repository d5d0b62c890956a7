"""Queue that serves the waiting workspace with the least recent use for its weight."""

import collections
import math
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

_MEMORY_MS = 2_000.0
_TINY_USE = 1e-3

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Serves workspaces by decayed use, each in proportion to its weight.

    Use counts every slot given, also where nothing had to wait, and fades with time. A
    workspace that has kept below its share may therefore send a burst without standing behind
    the backlog of one that sends more than its share.

    Parameters
    ----------
    weight : callable
        Returns a workspace's weight.
    now_ms : callable
        Returns the monotonic time in milliseconds.

    Examples
    --------
    >>> queue = FairQueue(weight=lambda name: 2.0 if name == "a" else 1.0, now_ms=lambda: 0.0)
    >>> for index in range(4):
    ...     queue.push("a", f"a{index}")
    ...     queue.push("b", f"b{index}")
    >>> [queue.pop() for _ in range(6)]
    ['a0', 'b0', 'a1', 'a2', 'b1', 'a3']
    """

    def __init__(self, *, weight: Callable[[str], float], now_ms: Callable[[], float]) -> None:
        self._weight = weight
        self._now_ms = now_ms
        self._queues: dict[str, collections.deque[Item]] = {}
        self._use: dict[str, tuple[float, float]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def waiting(self, workspace: str) -> int:
        """Return how many items of one workspace wait."""
        queue = self._queues.get(workspace)
        return 0 if queue is None else len(queue)

    def weights(self) -> float:
        """Return the summed weight of the workspaces that wait."""
        return sum(self._weight(workspace) for workspace in self._queues)

    def push(self, workspace: str, item: Item, *, front: bool = False) -> None:
        """Add an item."""
        queue = self._queues.setdefault(workspace, collections.deque())
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._size += 1

    def pop(self) -> Item | None:
        """Remove, charge and return the next item, or None if nothing waits."""
        if not self._queues:
            return None
        workspace = min(self._queues, key=self._recent_use)
        item = self._queues[workspace].popleft()
        self._size -= 1
        self._drop_empty(workspace)
        self.charge(workspace)
        return item

    def put_back(self, workspace: str, item: Item) -> None:
        """Undo a `pop` whose item could not be served."""
        self.charge(workspace, -1.0)
        self.push(workspace, item, front=True)

    def charge(self, workspace: str, count: float = 1.0) -> None:
        """Count slots that a workspace was given."""
        use = self._recent_use(workspace) + count / self._weight(workspace)
        self._use[workspace] = (use, self._now_ms())

    def remove(self, unwanted: Callable[[Item], bool]) -> list[Item]:
        """Remove and return the items for which ``unwanted`` is true."""
        removed: list[Item] = []
        for workspace, queue in list(self._queues.items()):
            found = [item for item in queue if unwanted(item)]
            if not found:
                continue
            removed.extend(found)
            self._size -= len(found)
            self._queues[workspace] = collections.deque(
                item for item in queue if not unwanted(item)
            )
            self._drop_empty(workspace)
        return removed

    def forget_idle(self) -> None:
        """Drop the use of workspaces that have long been idle."""
        for workspace in [name for name in self._use if self._recent_use(name) < _TINY_USE]:
            del self._use[workspace]

    def _recent_use(self, workspace: str) -> float:
        use, at_ms = self._use.get(workspace, (0.0, 0.0))
        return use * math.exp((at_ms - self._now_ms()) / _MEMORY_MS) if use else 0.0

    def _drop_empty(self, workspace: str) -> None:
        if not self._queues[workspace]:
            del self._queues[workspace]
