"""The fresh items of one job, in a queue for each of their routes.

The items of one route wait for the same runners, so an item that finds no slot delays those after
it in its own queue only. The number of routes bounds how many items of a job are examined in vain,
however many of them wait.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from heapq import heapify, heappop, heapreplace
from itertools import chain

from rainsail.jobs.open_item import OpenItem

RouteOf = Callable[[OpenItem], str]
"""Returns the name of an item's route; empty if it has none, or none is known yet."""


def one_route(item: OpenItem) -> str:
    """Return the same name for all items, for callers without routes."""
    return ""


class FreshQueue:
    """Items that have not begun; those of one route keep their order."""

    def __init__(self, items: Iterable[OpenItem], route_of: RouteOf) -> None:
        """``items`` come by index."""
        self._by_route: dict[str, deque[OpenItem]] = {}
        for item in items:
            self._by_route.setdefault(route_of(item), deque()).append(item)

    def __len__(self) -> int:
        return sum(map(len, self._by_route.values()))

    def __iter__(self) -> Iterator[OpenItem]:
        """Yield all items by index."""
        items = chain.from_iterable(self._by_route.values())
        return iter(sorted(items, key=lambda item: item.index))

    def startable(self, most: int | None = None) -> Iterator[OpenItem]:
        """Yield items by index, until ``most`` of them have been removed.

        The caller may ``remove`` the last yielded item before it requests the next one. If it does
        not, the other items of that route are skipped.
        """
        heads = [(queue[0].index, route) for route, queue in self._by_route.items()]
        heapify(heads)
        removed = 0
        while heads and (most is None or removed < most):
            route = heads[0][1]
            item = self._by_route[route][0]
            yield item
            queue = self._by_route.get(route)
            is_removed = queue is None or queue[0] is not item
            removed += is_removed
            if is_removed and queue is not None:
                heapreplace(heads, (queue[0].index, route))
            else:
                heappop(heads)

    def remove(self, item: OpenItem) -> bool:
        """Remove an item that is the first one of its route; return whether it was."""
        for route, queue in self._by_route.items():
            if queue[0] is item:
                queue.popleft()
                if not queue:
                    del self._by_route[route]
                return True
        return False
