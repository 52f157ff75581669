"""Which open items can still be in time together, when more is asked than fits. Pure.

Earliest due first is the best order while everything fits, and the worst once it does not: each
item then ends just after its due time. So the fewest items are given up, by the rule of Moore and
Hodgson: items are admitted by due time, and whenever the admitted ones need more time than the
slots give until the last one's due time, the one that needs most is given up. An item that has
begun needs less, so what was begun is finished. Among equals the one that is due first is given up:
the others have more time left to make up for a wrong estimate.

Slots count as a fluid here (any item can use any share of them), except that one item can use one
slot only. The fresh items of a job are alike and counted, so that a large job costs no more.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

ROUNDING = 1e-9
"""Differences below this come from adding floating-point numbers."""


@dataclass(frozen=True, slots=True)
class Demand:
    """``count`` items that are due together and need ``remaining_s`` of one slot each."""

    key: str
    due_s: float
    remaining_s: float
    count: int = 1


class _Admitted(NamedTuple):
    """An admitted demand; the first in this order is the first to be given up."""

    negative_remaining_s: float
    due_s: float
    key: str


def feasible_counts(demands: Iterable[Demand], slots: float, now: float) -> dict[str, int]:
    """Return how many items of each demand can be in time together on so many slots."""
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
    """The items that are admitted so far; ``counts`` has how many of each demand."""

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
        """Give up the longest items until the others need no more than the given slot time."""
        while self._longest and self._needed_s > given_s + ROUNDING:
            longest = self._longest[0]
            remaining_s = -longest.negative_remaining_s
            surplus = ceil((self._needed_s - given_s) / remaining_s - ROUNDING)
            rejected = max(1, min(self.counts[longest.key], surplus))
            self.counts[longest.key] -= rejected
            self._needed_s -= rejected * remaining_s
            if not self.counts[longest.key]:
                heapq.heappop(self._longest)
