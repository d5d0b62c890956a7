"""Queue with priority ranks, and weighted fair queueing of the workspaces within a rank."""

import collections
import math
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

_USE_DECAY_MS = 2_000.0
_MIN_RETAINED_USE = 1e-3
# After this many items in a row from the most urgent rank, the next item is taken from the second
# most urgent one, so that less urgent ranks together get a fifth of the slots and do not starve.
_MAX_URGENT_IN_A_ROW = 4

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Queue of the requests that wait for the slots of an overloaded pool.

    The most urgent rank comes first. Within a rank, the workspace with the least recent use in
    proportion to its weight comes first. Use counts every slot granted, whether or not the request
    was queued, and decays exponentially. A workspace that has stayed below its share may therefore
    send a burst without waiting behind the backlog of a workspace that sends more.

    Parameters
    ----------
    weight : callable
        Returns the weight of a workspace, greater than 0.
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
        # Items by rank and workspace, without empty queues.
        self._ranks: dict[int, dict[str, collections.deque[Item]]] = {}
        self._urgent_in_a_row = 0
        self._use: dict[str, tuple[float, float]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def count_ahead(self, workspace: str, rank: int = 0) -> int:
        """Return the number of a workspace's items that are at least as urgent as ``rank``."""
        return sum(
            len(queues.get(workspace, ()))
            for queued_rank, queues in self._ranks.items()
            if queued_rank <= rank
        )

    def total_weight(self, rank: int = 0) -> float:
        """Return the total weight of the workspaces with items at least as urgent as ``rank``."""
        names = set().union(
            *(queues for queued_rank, queues in self._ranks.items() if queued_rank <= rank)
        )
        return sum(self._weight(workspace) for workspace in names)

    def push(self, workspace: str, item: Item, *, rank: int = 0, front: bool = False) -> None:
        """Add an item to the back or front of its workspace's queue; rank 0 is the most urgent."""
        queue = self._ranks.setdefault(rank, {}).setdefault(workspace, collections.deque())
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._size += 1

    def pop(self) -> Item | None:
        """Remove the next item, charge a slot to its workspace and return it; None if empty."""
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
        """Return an item to the queue and undo the charge of its `pop`."""
        self.charge(workspace, -1.0)
        self.push(workspace, item, rank=rank, front=True)

    def charge(self, workspace: str, count: float = 1.0) -> None:
        """Add granted slots to the recent use of a workspace."""
        use = self._recent_use(workspace) + count / self._weight(workspace)
        self._use[workspace] = (use, self._now_ms())

    def remove(self, is_unwanted: Callable[[Item], bool]) -> list[Item]:
        """Remove and return the items for which ``is_unwanted`` is true."""
        removed: list[Item] = []
        queue_keys = [(rank, name) for rank, queues in self._ranks.items() for name in queues]
        for rank, workspace in queue_keys:
            queue = self._ranks[rank][workspace]
            matches = [item for item in queue if is_unwanted(item)]
            if not matches:
                continue
            removed.extend(matches)
            self._size -= len(matches)
            kept = collections.deque(item for item in queue if not is_unwanted(item))
            self._ranks[rank][workspace] = kept
            self._drop_empty(rank, workspace)
        return removed

    def forget_idle(self) -> None:
        """Drop the entries of workspaces whose use has decayed to almost nothing."""
        for workspace in [name for name in self._use if self._recent_use(name) < _MIN_RETAINED_USE]:
            del self._use[workspace]

    def _recent_use(self, workspace: str) -> float:
        use, at_ms = self._use.get(workspace, (0.0, 0.0))
        return use * math.exp((at_ms - self._now_ms()) / _USE_DECAY_MS) if use else 0.0

    def _next_rank(self) -> int:
        urgent, *others = sorted(self._ranks)
        if others and self._urgent_in_a_row >= _MAX_URGENT_IN_A_ROW:
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
