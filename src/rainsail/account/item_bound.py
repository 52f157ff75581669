"""How many items could have been in time at best, with the slots that the same logs show.

A relaxation, so that no policy can do better: lengths and slots are known beforehand, slots are a
fluid that any item can use any share of, and items may use slots from before their acceptance on,
from the first acceptance of all. Of what doesn't fit the longest items are given up, which is best
for a number of items on one fluid (Moore and Hodgson).
"""

from rainsail.account.item_times import ItemTimes
from rainsail.account.occupancy import Occupancy
from rainsail.jobs.feasibility import Demand, feasible_counts


def most_in_time(
    items: list[ItemTimes], taken: Occupancy, within_s: float, slots: float | None
) -> int:
    """Return a bound on the items in time, of those that ended as done.

    ``slots`` are all slots there are: items could have had those that online work left. Without it
    the slots that items had are taken, which is too little where items had none to run.
    """
    done = [item for item in items if item.done]
    if not done:
        return 0
    begin_s = min(item.accepted_s for item in done)
    demands = [
        Demand(
            item.item,
            _given_s(taken, slots, begin_s, item.accepted_s + within_s),
            item.running_s,
        )
        for item in done
    ]
    # The time axis is the slot time given so far, so that one slot stands for all of them.
    return sum(feasible_counts(demands, slots=1.0, now=0.0).values())


def _given_s(taken: Occupancy, slots: float | None, begin_s: float, end_s: float) -> float:
    """Return the slot time that items could have had between two times."""
    given_s = 0.0
    for second, had in enumerate(taken.items):
        left_s = max(begin_s, taken.begin_s + second)
        right_s = min(end_s, taken.begin_s + second + 1)
        free = had if slots is None else max(had, slots - taken.online[second])
        given_s += max(0.0, right_s - left_s) * free
    if slots is not None:
        last_s = taken.begin_s + len(taken.items)
        given_s += max(0.0, end_s - max(begin_s, last_s)) * slots
    return given_s
