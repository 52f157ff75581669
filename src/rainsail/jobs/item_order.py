"""Which item goes first.

While everything fits, what is due first goes first. Once it does not, the items that can be in time
together go before the others, and among these what needs least goes first: items that are nearly
done are not left behind for some that are due a little earlier. What cannot be in time still runs,
oldest first, once slots are free. All times are the ledger's.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from rainsail.jobs.due_times import DueTimes
from rainsail.jobs.feasibility import Demand, feasible_counts
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.reserve import slots_needed
from rainsail.jobs.run_lengths import RunLengths
from rainsail.jobs.slot_meter import SlotMeter
from rainsail.mechanisms import DEFAULTS, Mechanisms

ADMISSION_FACTOR = 1.2
"""Items are admitted for this share of the slots that they got lately on average.

An item that is admitted too much is given up later, one that was given up too early is lost.
Measured on twelve drawn loads: 3202 items in time, 3200 with a share of 1. On sixty others: 64,931
with 1, 64,444 with 1.2, 63,925 with 1.4; which is best on whole fleets has not been measured.
"""


class Urgency(NamedTuple):
    """Sorts items, most urgent first."""

    infeasible: bool
    remaining_s: float
    """The time that the item still runs; 0 while everything fits, and once it is given up."""
    due_s: float
    is_fresh: bool


@dataclass(frozen=True, slots=True)
class FreshItems:
    """The items of a job that have not begun."""

    job: str
    count: int


class ItemOrder:
    """Decides now and then which items fit, and orders all items by that."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS) -> None:
        self._overload_order = mechanisms.overload_order
        self.due = DueTimes()
        self.lengths = RunLengths()
        self._meters: dict[str, SlotMeter] = {}
        self._fresh_admitted: dict[str, int] = {}
        self._infeasible: set[tuple[str, int]] = set()
        self._overloaded = False
        self._needed: dict[str, float] = {}

    def on_slots_seen(self, service: str, slots: float, now: float) -> None:
        """Note how many slots of a service items have or could have."""
        self._meters.setdefault(service, SlotMeter()).on_slots_seen(slots, now)

    def begin_plan(self) -> None:
        """Forget the last plan; one ``plan`` for each service follows."""
        self._fresh_admitted.clear()
        self._infeasible.clear()
        self._overloaded = False
        self._needed.clear()

    def plan(
        self, service: str, fresh: Iterable[FreshItems], begun: Iterable[OpenItem], now: float
    ) -> None:
        """Decide which of a service's items fit."""
        items = {f"{item.job}/{item.index}": item for item in begun}
        demands = [self._demand(key, item.job, item.events) for key, item in items.items()]
        demands += [self._demand(each.job, each.job, 0, each.count) for each in fresh]
        timed = [demand for demand in demands if demand.due_s != float("inf")]
        slots = ADMISSION_FACTOR * self._average_slots(service)
        counts = feasible_counts(timed, slots if self._overload_order else float("inf"), now)
        all_fit = all(counts[demand.key] == demand.count for demand in timed)
        self._overloaded |= not all_fit
        if all_fit and self.lengths.known:
            self._plan_slots(service, demands, now)
        for key, count in counts.items():
            item = items.get(key)
            if item is None:
                self._fresh_admitted[key] = count
            elif not count:
                self._infeasible.add((item.job, item.index))

    def _plan_slots(self, service: str, demands: list[Demand], now: float) -> None:
        needed = slots_needed(demands, now)
        if needed < self._average_slots(service):
            self._needed[service] = needed

    def _average_slots(self, service: str) -> float:
        meter = self._meters.get(service)
        average = None if meter is None else meter.average()
        return float("inf") if average is None else average

    def _demand(self, key: str, job: str, events: int, count: int = 1) -> Demand:
        return Demand(key, self.due.due_s(job), self.lengths.remaining_s(events), count)

    def slots_needed(self, service: str) -> float | None:
        """Return the slots on which all items end well in time; None when there are none such."""
        return self._needed.get(service)

    def fresh_admitted(self, job: str) -> int | None:
        """Return how many of a job's fresh items fit, None when all may."""
        return self._fresh_admitted.get(job)

    def urgency(self, item: OpenItem) -> Urgency:
        """Return the urgency of an item that has begun or is running."""
        infeasible = (item.job, item.index) in self._infeasible
        return self._urgency(item.job, item.events, infeasible)

    def fresh_urgency(self, job: str, infeasible: bool) -> Urgency:
        """Return the urgency of a job's items that have not begun."""
        return self._urgency(job, 0, infeasible)

    def _urgency(self, job: str, events: int, infeasible: bool) -> Urgency:
        by_length = self._overloaded and not infeasible
        remaining_s = self.lengths.remaining_s(events) if by_length else 0.0
        return Urgency(infeasible, remaining_s, self.due.due_s(job), not events)
