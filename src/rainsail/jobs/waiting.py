"""The items that wait for a run.

Fresh items stand in one queue a job, so that a large job costs no more to look at than a small
one; items that have run and were put back are few and stand by themselves.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from rainsail.jobs.urgency import FreshItems, ItemOrder, Urgency
from rainsail.jobs.work import Work


class WaitingItems:
    """Items by job, given out by urgency."""

    def __init__(self) -> None:
        self._fresh: dict[str, deque[Work]] = {}
        self._put_back: list[Work] = []

    def __len__(self) -> int:
        return sum(map(len, self._fresh.values())) + len(self._put_back)

    def clear(self) -> None:
        """Forget everything."""
        self._fresh.clear()
        self._put_back.clear()

    def add_job(self, job: str, works: Iterable[Work]) -> None:
        """Add a job's items; those that have begun already stand by themselves."""
        fresh: deque[Work] = deque()
        for work in works:
            if work.begun:
                self._put_back.append(work)
            else:
                fresh.append(work)
        if fresh:
            self._fresh[job] = fresh

    def put_back(self, work: Work) -> None:
        """Add an item whose run ended early."""
        self._put_back.append(work)

    def drop(self, is_open: Callable[[str], bool]) -> None:
        """Drop the items of jobs that are not open any more."""
        for job in [job for job in self._fresh if not is_open(job)]:
            del self._fresh[job]
        self._put_back = [work for work in self._put_back if is_open(work.job)]

    def fresh(self) -> list[FreshItems]:
        """Return how many fresh items each job has."""
        return [FreshItems(job, len(queue)) for job, queue in self._fresh.items()]

    @property
    def put_back_items(self) -> list[Work]:
        """The items whose runs ended early."""
        return self._put_back

    def by_urgency(self, order: ItemOrder) -> Iterator[Work]:
        """Yield the items, most urgent first; the fresh items of one job stand together.

        The caller may ``take`` what was yielded last before it asks for the next. Of a job whose
        first fresh item was not taken the others are left out.
        """
        heads: list[tuple[Urgency, int, Iterable[Work]]] = []
        for work in self._put_back:
            heads.append((order.urgency(work), len(heads), (work,)))
        for job, queue in self._fresh.items():
            kept = order.fresh_kept(job)
            if kept is None or kept > 0:
                urgency = order.fresh_urgency(job, given_up=False)
                heads.append((urgency, len(heads), _from_the_front(queue, kept)))
            if kept is not None and kept < len(queue):
                urgency = order.fresh_urgency(job, given_up=True)
                heads.append((urgency, len(heads), _from_the_front(queue)))
        heads.sort(key=lambda head: head[:2])
        return chain.from_iterable(works for _, _, works in heads)

    def set_aside(self, work: Work) -> None:
        """Let the fresh items behind one go on, which itself goes on waiting."""
        queue = self._fresh.get(work.job)
        if queue and queue[0] is work:
            self.take(work)
            self.put_back(work)

    def take(self, work: Work) -> None:
        """Take an item out."""
        queue = self._fresh.get(work.job)
        if queue and queue[0] is work:
            queue.popleft()
            if not queue:
                del self._fresh[work.job]
        else:
            self._put_back.remove(work)


def _from_the_front(queue: deque[Work], most: int | None = None) -> Iterator[Work]:
    given = 0
    while queue and (most is None or given < most):
        work = queue[0]
        given += 1
        yield work
        if queue and queue[0] is work:
            return
