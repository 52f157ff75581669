"""Weighted fair queueing between tenants by virtual finish times, measured in tokens."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(slots=True)
class _Entry(Generic[Item]):
    item: Item
    cost: float
    weight: float


class FairQueue(Generic[Item]):
    """One first-in-first-out queue per tenant; the tenant with the earliest finish time is next.

    The finish time of a tenant that was idle starts from the queue's virtual time, so that idle
    time earns no credit, and a burst delays only the tenant that sent it.
    """

    def __init__(self) -> None:
        self._queues: dict[str, deque[_Entry[Item]]] = {}
        self._costs: dict[str, float] = {}
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued(self, tenant: str) -> int:
        """Return the number of waiting items of a tenant."""
        return len(self._queues.get(tenant, ()))

    def queued_cost(self, tenant: str) -> float:
        """Return the total cost of a tenant's waiting items."""
        return self._costs.get(tenant, 0.0)

    def tenants(self) -> list[str]:
        """Return the tenants that have waiting items."""
        return list(self._queues)

    def push(self, tenant: str, weight: float, cost: float, item: Item) -> None:
        """Append an item to its tenant's queue."""
        self._queues.setdefault(tenant, deque()).append(_Entry(item, cost, weight))
        self._costs[tenant] = self._costs.get(tenant, 0.0) + cost
        self._size += 1

    def pop(self, eligible: Callable[[Item], bool]) -> Item | None:
        """Remove and return the next item that is eligible, None when there is none.

        Only the first item of each tenant's queue is considered.
        """
        order = sorted((self._head_finish(tenant), tenant) for tenant in self._queues)
        for finish, tenant in order:
            queue = self._queues[tenant]
            if not eligible(queue[0].item):
                continue
            entry = queue.popleft()
            self._virtual = max(self._virtual, finish - entry.cost / entry.weight)
            self._finish[tenant] = finish
            self._removed(tenant, entry.cost)
            return entry.item
        return None

    def _head_finish(self, tenant: str) -> float:
        head = self._queues[tenant][0]
        start = max(self._virtual, self._finish.get(tenant, 0.0))
        return start + head.cost / head.weight

    def _removed(self, tenant: str, cost: float) -> None:
        self._size -= 1
        self._costs[tenant] -= cost
        if not self._queues[tenant]:
            del self._queues[tenant]
            del self._costs[tenant]
        if not self._queues:
            self._finish.clear()
            self._virtual = 0.0

    def heads(self) -> Iterator[Item]:
        """Yield the first item of each tenant's queue."""
        for queue in self._queues.values():
            yield queue[0].item

    def remove(self, tenant: str, item: Item) -> bool:
        """Remove an item from its tenant's queue; return False if it was not waiting."""
        queue = self._queues.get(tenant)
        if queue is None:
            return False
        for entry in queue:
            if entry.item is item:
                queue.remove(entry)
                self._removed(tenant, entry.cost)
                return True
        return False
