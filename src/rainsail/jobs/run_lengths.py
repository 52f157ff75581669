"""How much items have to do and how fast they run, learnt from what the ledger commits.

Every replica learns, so that a new leader knows at once. The bound on an answer that a request
states says little of its length (measured: a correlation of -0.05 over 118 items). What an item
still needs is estimated by how much longer those items ran that came as far.
"""

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable
from itertools import accumulate
from statistics import median

from rainsail.state.job_commands import ItemNote

MAX_LENGTHS = 128
"""Lengths of ended items that are remembered.

Not measured; chosen so that a change of the workload counts after a few jobs.
"""
MAX_EVENT_TIMES = 65
"""Paces that are remembered; odd, so that their median is one of them. Not measured."""
MIN_REMAINING_SHARE = 0.1
"""Share of the mean length that is left at least, however far an item has come.

Not measured; chosen so that an item of unheard length is never taken to be done at once.
"""
MAX_ROUND_INTERVAL_S = 0.75
"""Two notes of an item that are further apart do not come from one run.

Not measured; chosen between one and two of the dispatcher's periods for progress (0.5 s).
"""


class RunLengths:
    """The events of the items that ended last, and the seconds that an event takes."""

    def __init__(self) -> None:
        self._by_age: deque[int] = deque()
        self._sorted: list[int] = []
        self._sums_from: list[int] = [0]
        """The sum of the sorted lengths from each place on, computed once for many estimates."""
        self._event_times_s: deque[float] = deque(maxlen=MAX_EVENT_TIMES)
        self._event_s = 0.0
        self._noted_s: dict[tuple[str, int], float] = {}
        """When each item of the last round of notes was noted, by job and index."""

    def finished(self, events: int) -> None:
        """Take the length of an item that ended whole."""
        self._by_age.append(events)
        insort(self._sorted, events)
        if len(self._by_age) > MAX_LENGTHS:
            oldest = self._by_age.popleft()
            del self._sorted[bisect_right(self._sorted, oldest) - 1]
        from_the_end = list(accumulate(reversed(self._sorted), initial=0))
        self._sums_from = from_the_end[::-1]

    def progressed(self, ledger_s: float, notes: Iterable[ItemNote]) -> None:
        """Take one round of notes; an item noted in two rounds in a row ran in between."""
        noted_s: dict[tuple[str, int], float] = {}
        for note in notes:
            key = (note.job, note.index)
            before_s = self._noted_s.get(key)
            noted_s[key] = ledger_s
            if before_s is not None and 0.0 < ledger_s - before_s <= MAX_ROUND_INTERVAL_S:
                self._event_times_s.append((ledger_s - before_s) / max(1, len(note.texts)))
        self._noted_s = noted_s
        if self._event_times_s:
            self._event_s = median(self._event_times_s)

    @property
    def known(self) -> bool:
        """Tell whether lengths and the pace of events have been seen."""
        return bool(self._sorted) and self._event_s > 0.0

    def remaining_s(self, events: int) -> float:
        """Return how long an item that has made ``events`` probably still runs; 0 if not known."""
        return self._remaining_events(events) * self._event_s

    def _remaining_events(self, events: int) -> float:
        if not self._sorted:
            return 0.0
        count = len(self._sorted)
        least = MIN_REMAINING_SHARE * self._sums_from[0] / count
        place = bisect_right(self._sorted, events)
        if place == count:
            return least
        return max(least, self._sums_from[place] / (count - place) - events)
