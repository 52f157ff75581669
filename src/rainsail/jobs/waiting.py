"""The items that wait for a run.

Fresh items stand in one queue a job, so that a large job costs no more to look at than a small
one; items that have run and were put back are few and stand by themselves.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from rainsail.jobs.urgency import Urgency
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

    def by_urgency(self, key: Callable[[Work], Urgency]) -> Iterator[Work]:
        """Yield the items, most urgent first; the fresh items of one job stand together.

        The caller may ``take`` what was yielded last before it asks for the next. Of a job whose
        first fresh item was not taken the others are left out.
        """
        heads: list[tuple[Urgency, int, Iterable[Work]]] = []
        for work in self._put_back:
            heads.append((key(work), len(heads), (work,)))
        for queue in self._fresh.values():
            heads.append((key(queue[0]), len(heads), _from_the_front(queue)))
        heads.sort(key=lambda head: head[:2])
        return chain.from_iterable(works for _, _, works in heads)

    def take(self, work: Work) -> None:
        """Take an item out."""
        queue = self._fresh.get(work.job)
        if queue and queue[0] is work:
            queue.popleft()
            if not queue:
                del self._fresh[work.job]
        else:
            self._put_back.remove(work)


def _from_the_front(queue: deque[Work]) -> Iterator[Work]:
    while queue:
        work = queue[0]
        yield work
        if queue and queue[0] is work:
            return
