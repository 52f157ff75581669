"""An upper bound on the number of items in time, with the slots that the same logs show.

It solves a relaxed problem, so that no scheduling policy can do better: durations and slots are
known in advance, slots are a fluid resource that items can use in any fraction, and items may use
slots from the first acceptance of any item on, even before their own. If not all items fit, the
longest are dropped, which maximises the number of items on a single fluid resource (Moore-Hodgson).
"""

from rainsail.account.item_times import ItemTimes
from rainsail.account.occupancy import Occupancy
from rainsail.jobs.feasibility import Demand, feasible_counts


def max_in_time(
    items: list[ItemTimes], taken: Occupancy, within_s: float, slots: float | None
) -> int:
    """Return an upper bound on the number of items in time, among those that ended as done.

    ``slots`` is the total number of slots: items could have used those that online work left free.
    Without it the slots that items used are taken, which is too low when there was no item to run.
    """
    done = [item for item in items if item.done]
    if not done:
        return 0
    begin_s = min(item.accepted_s for item in done)
    demands = [
        Demand(
            item.item,
            _available_s(taken, slots, begin_s, item.accepted_s + within_s),
            item.running_s,
        )
        for item in done
    ]
    # The time axis is the cumulative slot time, so that one slot stands for all slots.
    return sum(feasible_counts(demands, slots=1.0, now=0.0).values())


def _available_s(taken: Occupancy, slots: float | None, begin_s: float, end_s: float) -> float:
    """Return the slot time that was available to items between two times, in slot seconds."""
    available_s = 0.0
    for second, had in enumerate(taken.items):
        left_s = max(begin_s, taken.begin_s + second)
        right_s = min(end_s, taken.begin_s + second + 1)
        free = had if slots is None else max(had, slots - taken.online[second])
        available_s += max(0.0, right_s - left_s) * free
    if slots is not None:
        last_s = taken.begin_s + len(taken.items)
        available_s += max(0.0, end_s - max(begin_s, last_s)) * slots
    return available_s
