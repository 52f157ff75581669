"""Which open items can still be in time together, when more is asked than fits.

Earliest due first is the best order while everything fits, and the worst once it doesn't: each
item is then finished just after its due time. So the fewest items are given up, by the rule of
Moore and Hodgson: items are taken up by due time, and whenever those taken up need more time than
the slots give until the last one's due time, the one that needs most is given up. Items that have
begun need less, so that what was begun is finished. Among equals the one that is due first goes:
the others have more time left to make up for what an estimate got wrong.

Slots count as a fluid here (any item can use any share of them), except that one item can use
one slot only. Fresh items of a job are alike and counted, so that a large job costs no more.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

ROUNDING = 1e-9
"""Differences below this come from adding floating-point numbers."""


@dataclass(frozen=True, slots=True)
class Demand:
    """``count`` items that are due together and need ``left_s`` of one slot each."""

    key: str
    due_s: float
    left_s: float
    count: int = 1


def fitting(demands: Iterable[Demand], slots: float, now: float) -> dict[str, int]:
    """Return how many items of each demand can be in time together on so many slots."""
    kept: dict[str, int] = {}
    needed_s = 0.0
    longest: list[tuple[float, float, str]] = []
    for demand in sorted(demands, key=lambda each: each.due_s):
        time_s = demand.due_s - now
        if demand.left_s > time_s:
            kept[demand.key] = 0
            continue
        kept[demand.key] = demand.count
        needed_s += demand.left_s * demand.count
        heapq.heappush(longest, (-demand.left_s, demand.due_s, demand.key))
        needed_s = _give_up(kept, longest, needed_s, slots * time_s)
    return kept


def _give_up(
    kept: dict[str, int],
    longest: list[tuple[float, float, str]],
    needed_s: float,
    given_s: float,
) -> float:
    """Give up the longest items until the rest fits; return the time that the rest needs."""
    while longest and needed_s > given_s + ROUNDING:
        negative_left_s, _, key = longest[0]
        left_s = -negative_left_s
        over = ceil((needed_s - given_s) / left_s - ROUNDING)
        given_up = max(1, min(kept[key], over))
        kept[key] -= given_up
        needed_s -= given_up * left_s
        if not kept[key]:
            heapq.heappop(longest)
    return needed_s
