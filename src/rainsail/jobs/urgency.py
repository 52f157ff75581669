"""Which item goes first.

While everything fits, what is due first goes first. Once it doesn't, the items that can be in time
together go before the others, and among these what needs least goes first: items that are nearly
done are not left behind for some that are due a little earlier. What can't be in time is still run,
oldest first, once there is room. All times are the ledger's.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.jobs.due_times import DueTimes
from rainsail.jobs.overload import Demand, fitting
from rainsail.jobs.reserve import slots_needed
from rainsail.jobs.run_lengths import RunLengths
from rainsail.jobs.slot_meter import SlotMeter
from rainsail.jobs.work import Work
from rainsail.mechanisms import DEFAULTS, Mechanisms

Urgency = tuple[bool, float, float, bool]
"""Sorts items, most urgent first: given up, time left to run, due time, not begun.

The time left is 0 while everything fits, and of items that are given up.
"""

TAKEN_UP_SHARE = 1.2
"""Items are taken up for this share of the slots they got lately.

What is taken up too much is given up later, while an item that was given up too early is lost; a
fifth more than fits measured best over steady and bursting loads.
"""


@dataclass(frozen=True, slots=True)
class FreshItems:
    """The items of a job that have not begun."""

    job: str
    count: int


class ItemOrder:
    """Decides now and then which items fit, and orders all items by that."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS) -> None:
        self._gives_up = mechanisms.overload_order
        self.due = DueTimes()
        self.lengths = RunLengths()
        self._meters: dict[str, SlotMeter] = {}
        self._fresh_kept: dict[str, int] = {}
        self._given_up: set[tuple[str, int]] = set()
        self._overloaded = False
        self._needed: dict[str, float] = {}

    def room_seen(self, service: str, slots: float, now: float) -> None:
        """Note how many slots of a service items have or could have."""
        self._meters.setdefault(service, SlotMeter()).saw(slots, now)

    def begin_plan(self) -> None:
        """Forget the last decision; one ``plan`` for each service follows."""
        self._fresh_kept.clear()
        self._given_up.clear()
        self._overloaded = False
        self._needed.clear()

    def plan(
        self, service: str, fresh: Iterable[FreshItems], begun: Iterable[Work], now: float
    ) -> None:
        """Decide which of a service's items fit."""
        works = {f"{work.job}/{work.index}": work for work in begun}
        demands = [self._demand(key, work.job, work.events) for key, work in works.items()]
        demands += [self._demand(each.job, each.job, 0, each.count) for each in fresh]
        timed = [demand for demand in demands if demand.due_s != float("inf")]
        slots = TAKEN_UP_SHARE * self._average_slots(service)
        fit = fitting(timed, slots if self._gives_up else float("inf"), now)
        all_fit = all(fit[demand.key] == demand.count for demand in timed)
        self._overloaded |= not all_fit
        if all_fit and self.lengths.known:
            needed = slots_needed(demands, now)
            if needed < self._average_slots(service):
                self._needed[service] = needed
        for key, kept in fit.items():
            work = works.get(key)
            if work is None:
                self._fresh_kept[key] = kept
            elif not kept:
                self._given_up.add((work.job, work.index))

    def _average_slots(self, service: str) -> float:
        meter = self._meters.get(service)
        average = None if meter is None else meter.average()
        return float("inf") if average is None else average

    def _demand(self, key: str, job: str, events: int, count: int = 1) -> Demand:
        return Demand(key, self.due.due_s(job), self.lengths.left_s(events), count)

    def slots_needed(self, service: str) -> float | None:
        """Return the slots on which all items end well in time; None when there are none such."""
        return self._needed.get(service)

    def fresh_kept(self, job: str) -> int | None:
        """Return how many of a job's fresh items fit, None when all may."""
        return self._fresh_kept.get(job)

    def urgency(self, work: Work) -> Urgency:
        """Return the place of an item that has begun or is running."""
        given_up = (work.job, work.index) in self._given_up
        return self._place(work.job, work.events, given_up)

    def fresh_urgency(self, job: str, given_up: bool) -> Urgency:
        """Return the place of a job's items that have not begun."""
        return self._place(job, 0, given_up)

    def _place(self, job: str, events: int, given_up: bool) -> Urgency:
        by_length = self._overloaded and not given_up
        left_s = self.lengths.left_s(events) if by_length else 0.0
        return (given_up, left_s, self.due.due_s(job), not events)
