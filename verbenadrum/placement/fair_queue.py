"""Queue that serves urgent ranks first, and in a rank the workspace with the least recent use."""

import collections
import math
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

_MEMORY_MS = 2_000.0
_TINY_USE = 1e-3
# Of this many slots in a row that go to the most urgent rank, the next goes to another one, so
# that no rank starves: the less urgent ones together keep a fifth of the slots.
_MOST_IN_A_ROW = 4

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Serves ranks by urgency, and workspaces by decayed use in proportion to their weights.

    It answers pools whose slots do not suffice for what is offered. Use counts every slot given,
    also where nothing had to wait, and fades with time. A workspace that has kept below its share
    may therefore send a burst without standing behind the backlog of one that sends more.

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
    >>> queue.push("a", "urgent", rank=1)
    >>> queue.push("a", "not urgent", rank=2)
    >>> queue.pop()
    'urgent'
    """

    def __init__(self, *, weight: Callable[[str], float], now_ms: Callable[[], float]) -> None:
        self._weight = weight
        self._now_ms = now_ms
        # Items by rank and workspace; an empty queue is dropped.
        self._ranks: dict[int, dict[str, collections.deque[Item]]] = {}
        self._urgent_in_a_row = 0
        self._use: dict[str, tuple[float, float]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def waiting(self, workspace: str, rank: int = 0) -> int:
        """Return how many items of one workspace wait that are as urgent as ``rank``, or more."""
        return sum(
            len(queues.get(workspace, ())) for held, queues in self._ranks.items() if held <= rank
        )

    def weights(self, rank: int = 0) -> float:
        """Return the summed weight of the workspaces that wait at least as urgently."""
        names = set().union(*(queues for held, queues in self._ranks.items() if held <= rank))
        return sum(self._weight(workspace) for workspace in names)

    def push(self, workspace: str, item: Item, *, rank: int = 0, front: bool = False) -> None:
        """Add an item; rank 0 is the most urgent."""
        queue = self._ranks.setdefault(rank, {}).setdefault(workspace, collections.deque())
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._size += 1

    def pop(self) -> Item | None:
        """Remove, charge and return the next item, or None if nothing waits."""
        if not self._ranks:
            return None
        rank = self._next_rank()
        queues = self._ranks[rank]
        workspace = min(queues, key=self._recent_use)
        item = queues[workspace].popleft()
        self._size -= 1
        self._drop_empty(rank, workspace)
        self.charge(workspace)
        return item

    def put_back(self, workspace: str, item: Item, *, rank: int = 0) -> None:
        """Undo a `pop` whose item could not be served."""
        self.charge(workspace, -1.0)
        self.push(workspace, item, rank=rank, front=True)

    def charge(self, workspace: str, count: float = 1.0) -> None:
        """Count slots that a workspace was given."""
        use = self._recent_use(workspace) + count / self._weight(workspace)
        self._use[workspace] = (use, self._now_ms())

    def remove(self, unwanted: Callable[[Item], bool]) -> list[Item]:
        """Remove and return the items for which ``unwanted`` is true."""
        removed: list[Item] = []
        places = [(rank, name) for rank, queues in self._ranks.items() for name in queues]
        for rank, workspace in places:
            queue = self._ranks[rank][workspace]
            found = [item for item in queue if unwanted(item)]
            if not found:
                continue
            removed.extend(found)
            self._size -= len(found)
            kept = collections.deque(item for item in queue if not unwanted(item))
            self._ranks[rank][workspace] = kept
            self._drop_empty(rank, workspace)
        return removed

    def forget_idle(self) -> None:
        """Drop the use of workspaces that have long been idle."""
        for workspace in [name for name in self._use if self._recent_use(name) < _TINY_USE]:
            del self._use[workspace]

    def _recent_use(self, workspace: str) -> float:
        use, at_ms = self._use.get(workspace, (0.0, 0.0))
        return use * math.exp((at_ms - self._now_ms()) / _MEMORY_MS) if use else 0.0

    def _next_rank(self) -> int:
        urgent, *others = sorted(self._ranks)
        if others and self._urgent_in_a_row >= _MOST_IN_A_ROW:
            self._urgent_in_a_row = 0
            return others[0]
        self._urgent_in_a_row += 1
        return urgent

    def _drop_empty(self, rank: int, workspace: str) -> None:
        queues = self._ranks[rank]
        if not queues[workspace]:
            del queues[workspace]
        if not queues:
            del self._ranks[rank]
