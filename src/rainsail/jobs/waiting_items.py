"""The queue of items that wait for a run.

The fresh items of a job (those that have not begun) form one queue for each of their routes, so
that a large job costs no more to examine than a small one. Requeued items are few and are examined
one by one.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from rainsail.jobs.fresh_queue import FreshQueue, RouteOf, one_route
from rainsail.jobs.item_order import FreshItems, ItemOrder, Urgency
from rainsail.jobs.item_wait import WaitCause
from rainsail.jobs.open_item import OpenItem


@dataclass(frozen=True, slots=True)
class _Group:
    """Items of one urgency that are started in sequence."""

    urgency: Urgency
    items: Iterable[OpenItem]


class WaitingItems:
    """Waiting items by job, yielded by urgency."""

    def __init__(self, route_of: RouteOf = one_route) -> None:
        self._route_of = route_of
        self._fresh: dict[str, FreshQueue] = {}
        self._requeued: list[OpenItem] = []

    def __len__(self) -> int:
        return sum(map(len, self._fresh.values())) + len(self._requeued)

    def clear(self) -> None:
        """Remove all items."""
        self._fresh.clear()
        self._requeued.clear()

    def add_job(self, job: str, items: Iterable[OpenItem]) -> None:
        """Add a job's items; those that have already begun are added as requeued ones."""
        fresh: list[OpenItem] = []
        for item in items:
            (self._requeued if item.begun else fresh).append(item)
        if fresh:
            self._fresh[job] = FreshQueue(fresh, self._route_of)

    def update_routes(self) -> None:
        """Look up the routes of all fresh items again, after a change of the routing table."""
        self._fresh = {job: FreshQueue(queue, self._route_of) for job, queue in self._fresh.items()}

    def requeue(self, item: OpenItem) -> None:
        """Add an item whose run ended early."""
        self._requeued.append(item)

    def drop(self, is_open: Callable[[str], bool]) -> None:
        """Drop the items of jobs that are not open any more."""
        for job in [job for job in self._fresh if not is_open(job)]:
            del self._fresh[job]
        self._requeued = [item for item in self._requeued if is_open(item.job)]

    def fresh(self) -> list[FreshItems]:
        """Return how many fresh items each job has."""
        return [FreshItems(job, len(queue)) for job, queue in self._fresh.items()]

    @property
    def requeued_items(self) -> list[OpenItem]:
        """The items whose runs ended early."""
        return self._requeued

    def count_held(self) -> int:
        """Return how many items are not sent since their attempts may be used up."""
        return sum(item.is_held for item in self._requeued)

    def count_by_cause(self, awaits_table: Callable[[str], bool], now: float) -> Counter[WaitCause]:
        """Return how many items wait for each cause."""
        counts: Counter[WaitCause] = Counter()
        for job, queue in self._fresh.items():
            counts[WaitCause.TABLE if awaits_table(job) else WaitCause.SLOT] += len(queue)
        for item in self._requeued:
            counts[WaitCause.TABLE if awaits_table(item.job) else item.wait_cause(now)] += 1
        return counts

    def by_urgency(self, order: ItemOrder) -> Iterator[OpenItem]:
        """Yield the items, most urgent first; the fresh items of one job stay together.

        The caller may ``take`` the last yielded item before it requests the next one. If it does
        not take a fresh item, the other fresh items of that job and route are skipped.
        """
        groups = [_Group(order.urgency(item), (item,)) for item in self._requeued]
        for job, queue in self._fresh.items():
            groups += _fresh_groups(job, queue, order)
        groups.sort(key=lambda group: group.urgency)
        return chain.from_iterable(group.items for group in groups)

    def skip(self, item: OpenItem) -> None:
        """Move an item out of its job's queue, so that the fresh items after it are considered."""
        if self._take_fresh(item):
            self.requeue(item)

    def take(self, item: OpenItem) -> None:
        """Remove an item."""
        if not self._take_fresh(item):
            self._requeued.remove(item)

    def _take_fresh(self, item: OpenItem) -> bool:
        """Remove an item that is the first fresh one of its job and route; tell whether it was."""
        queue = self._fresh.get(item.job)
        if queue is None or not queue.remove(item):
            return False
        if not queue:
            del self._fresh[item.job]
        return True


def _fresh_groups(job: str, queue: FreshQueue, order: ItemOrder) -> Iterator[_Group]:
    """Yield a job's fresh items in up to two groups: the feasible ones, and the rest."""
    kept = order.fresh_admitted(job)
    if kept is None or kept > 0:
        yield _Group(order.fresh_urgency(job, infeasible=False), queue.startable(kept))
    if kept is not None and kept < len(queue):
        yield _Group(order.fresh_urgency(job, infeasible=True), queue.startable())
