"""Requests that wait for a slot at the home of a pool part, in the order in which they get one.

The order answers the load of callers that together ask for more than the part's slots: urgent ranks
first, and within a rank the workspaces by their weight (see `fair_queue`).
"""

import collections
from collections.abc import Callable

import msgspec

from verbenadrum import ids
from verbenadrum.placement import fair_queue, messages

__all__ = ["Waiter", "WaitingRequests"]


class Waiter(msgspec.Struct, kw_only=True):
    """An entry host's request for a slot, which waits for a grant or a refusal.

    ``max_wait_ms`` limits the estimated wait when the request is queued. The request is refused if
    it still waits at ``deadline_ms``, a monotonic time that may be later than that limit.
    """

    entry_host: ids.HostId
    ask: messages.PlaceAsk
    max_wait_ms: float
    deadline_ms: float
    arrived_ms: float

    @property
    def key(self) -> tuple[ids.HostId, int]:
        """Entry host and number of the request, which are unique."""
        return self.entry_host, self.ask.number


class WaitingRequests:
    """The queue of a home, and the requests that the poison gate holds back from it.

    Parameters
    ----------
    weight : callable
        Returns the fair-queueing weight of a workspace.
    now_ms : callable
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, *, weight: Callable[[str], float], now_ms: Callable[[], float]) -> None:
        self._weight = weight
        self._queue: fair_queue.FairQueue[Waiter] = fair_queue.FairQueue(
            weight=weight, now_ms=now_ms
        )
        self._held_back: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        return len(self._queue) + len(self._held_back)

    @property
    def queued(self) -> int:
        """Number of requests in the queue, without those held back."""
        return len(self._queue)

    def charge(self, waiter: Waiter) -> None:
        """Count a slot that a request got without having been in the queue."""
        self._queue.charge(waiter.ask.workspace)

    def push(self, waiter: Waiter, *, front: bool = False) -> None:
        """Add a request to the queue, at its back or front."""
        ask = waiter.ask
        self._queue.push(ask.workspace, waiter, rank=ask.priority, front=front)

    def pop(self) -> Waiter | None:
        """Remove and return the request that is next; None if the queue is empty."""
        return self._queue.pop()

    def put_back(self, waiter: Waiter) -> None:
        """Return a request to the place from which `pop` has taken it."""
        ask = waiter.ask
        self._queue.put_back(ask.workspace, waiter, rank=ask.priority)

    def hold_back(self, waiter: Waiter) -> None:
        """Keep a request out of the queue until `take_held_back`."""
        self._held_back.append(waiter)

    def take_held_back(self) -> collections.deque[Waiter]:
        """Remove and return the requests that are held back, the oldest first."""
        taken, self._held_back = self._held_back, collections.deque()
        return taken

    def withdraw(self, key: tuple[ids.HostId, int]) -> None:
        """Remove the request with a key, wherever it waits."""

        def is_withdrawn(waiter: Waiter) -> bool:
            return waiter.key == key

        self._queue.remove(is_withdrawn)
        self.remove_held_back(is_withdrawn)

    def remove_overdue(self, now_ms: float) -> list[Waiter]:
        """Remove and return the queued requests whose deadline has passed."""
        return self._queue.remove(lambda waiter: waiter.deadline_ms <= now_ms)

    def remove_held_back(self, is_unwanted: Callable[[Waiter], bool]) -> list[Waiter]:
        """Remove and return the requests held back for which ``is_unwanted`` is true."""
        removed = [waiter for waiter in self._held_back if is_unwanted(waiter)]
        if removed:
            self._held_back = collections.deque(
                waiter for waiter in self._held_back if not is_unwanted(waiter)
            )
        return removed

    def count_ahead(self, ask: messages.PlaceAsk) -> int:
        """Return how many queued requests of the same workspace come before a new one."""
        return self._queue.count_ahead(ask.workspace, ask.priority)

    def expected_wait_ms(self, ask: messages.PlaceAsk, *, service_ms: float, slots: float) -> float:
        """Return how long a new request would wait in the queue.

        Its workspace gets slots in proportion to its weight among those that wait.

        Parameters
        ----------
        ask : PlaceAsk
            The request.
        service_ms : float
            Mean service time in milliseconds.
        slots : float
            Number of slots that can be used, greater than 0.
        """
        ahead = self.count_ahead(ask)
        own = self._weight(ask.workspace)
        others = self._queue.total_weight(ask.priority) - (own if ahead else 0.0)
        return (ahead + 1) * service_ms / slots * (own + others) / own

    def forget_idle(self) -> None:
        """Drop the accounts of workspaces that have not used the part lately."""
        self._queue.forget_idle()
