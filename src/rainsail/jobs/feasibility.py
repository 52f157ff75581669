"""Computes which open items can meet their due times together, by a pure function.

Earliest due date first is the best order while all items fit, and the worst under overload: each
item then ends just after its due time. The Moore-Hodgson algorithm minimises the number of late
items: items are admitted by due time, and whenever the admitted ones need more time than the slots
provide until the last one's due time, the one with the longest remaining time is rejected. An item
that has begun needs less, so begun items tend to be finished. Of items with equal remaining time
the one with the earliest due time is rejected: the others have more slack for a wrong estimate.

Slot time is treated as divisible between items, except that one item can use only one slot. The
unstarted items of a job are equal and counted together, so a large job costs no more to plan.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

ROUNDING = 1e-9
"""Tolerance for floating-point rounding errors in sums."""


@dataclass(frozen=True, slots=True)
class Demand:
    """``count`` items with one due time, each of which needs one slot for ``remaining_s``."""

    key: str
    due_s: float
    remaining_s: float
    count: int = 1


class _Admitted(NamedTuple):
    """An admitted demand; the smallest in this order is rejected first."""

    negative_remaining_s: float
    due_s: float
    key: str


def feasible_counts(demands: Iterable[Demand], slots: float, now: float) -> dict[str, int]:
    """Return how many items of each demand can meet their due times together on these slots."""
    admission = _Admission()
    for demand in sorted(demands, key=lambda each: each.due_s):
        time_s = demand.due_s - now
        if demand.remaining_s > time_s:
            admission.counts[demand.key] = 0
            continue
        admission.admit(demand)
        admission.reject_beyond(slots * time_s)
    return admission.counts


class _Admission:
    """The items admitted so far; ``counts`` has their number by demand."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._needed_s = 0.0
        self._longest: list[_Admitted] = []

    def admit(self, demand: Demand) -> None:
        """Admit all items of a demand."""
        self.counts[demand.key] = demand.count
        self._needed_s += demand.remaining_s * demand.count
        heapq.heappush(self._longest, _Admitted(-demand.remaining_s, demand.due_s, demand.key))

    def reject_beyond(self, given_s: float) -> None:
        """Reject the longest items until the others need no more than the given slot time."""
        while self._longest and self._needed_s > given_s + ROUNDING:
            longest = self._longest[0]
            remaining_s = -longest.negative_remaining_s
            surplus = ceil((self._needed_s - given_s) / remaining_s - ROUNDING)
            rejected = max(1, min(self.counts[longest.key], surplus))
            self.counts[longest.key] -= rejected
            self._needed_s -= rejected * remaining_s
            if not self.counts[longest.key]:
                heapq.heappop(self._longest)
