"""How many items may run at once while batch work has time to spare.

Items that start in every free slot are preempted as soon as online work comes back, and until they
are, requests wait. So as long as all items can be in time on fewer slots, the others stay free: as
many as online work held more of lately than it holds now. Where batch work has no time to spare
nothing is kept free.

The limit holds over a whole service. Which runners keep slots free follows from where items start:
always where most slots are free.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from rainsail.jobs.feasibility import Demand

PEAK_WINDOW_S = 10.0
"""A peak of online work counts for this long.

Not measured by itself; chosen to cover the pause between two bursts of some seconds.
"""
PLANNED_TIME_SHARE = 0.2
"""Items are planned to end within this share of the time that they have.

The rest makes up for what the plan does not know: bursts, runners that leave, runs that break off.
Measured on four seeds of one site's days, mean worth: 0.807 without a reserve, 0.796 with a share
of 0.5, 0.799 with 0.35, 0.822 with 0.2; on drawn loads 0.2 costs no items and 0.5 up to 4 %.
"""
PLANNING_HORIZON_S = 60.0
"""Items without a due time are planned as if they were due so much later.

Not measured; chosen so that they go on while online work is calm.
"""


def slots_needed(demands: Iterable[Demand], now: float) -> float:
    """Return the fewest slots on which all items end within the planned share of their time.

    Infinite when some item has no time left.
    """
    most = 0.0
    remaining_s = 0.0
    for demand in sorted(demands, key=lambda each: each.due_s):
        time_s = PLANNED_TIME_SHARE * min(demand.due_s - now, PLANNING_HORIZON_S)
        if time_s <= 0:
            return float("inf")
        remaining_s += demand.remaining_s * demand.count
        most = max(most, remaining_s / time_s)
    return most


@dataclass(frozen=True, slots=True)
class _Sample:
    seen_s: float
    value: int


class RecentPeak:
    """The highest of the values seen within ``PEAK_WINDOW_S``."""

    def __init__(self) -> None:
        self._falling: deque[_Sample] = deque()
        """Each value is lower than those before it."""

    def on_value(self, value: int, now: float) -> None:
        """Take the present value."""
        while self._falling and self._falling[-1].value <= value:
            self._falling.pop()
        self._falling.append(_Sample(now, value))
        while self._falling[0].seen_s < now - PEAK_WINDOW_S:
            self._falling.popleft()

    def value(self) -> int:
        """Return the peak, 0 before anything was seen."""
        return self._falling[0].value if self._falling else 0


class Reserve:
    """Limits on the items that run at once, by service."""

    def __init__(self) -> None:
        self._peaks: dict[str, RecentPeak] = {}
        self._limits: dict[str, int] = {}

    def clear(self) -> None:
        """Forget everything: another node has led meanwhile."""
        self._peaks.clear()
        self._limits.clear()

    def on_online_seen(self, service: str, online: int, now: float) -> None:
        """Note how many online requests a service has under way."""
        self._peaks.setdefault(service, RecentPeak()).on_value(online, now)

    def plan(self, service: str, slots: int, needed: float | None) -> None:
        """Decide on a service's limit; ``needed`` is None where batch has no time to spare."""
        if needed is None or needed >= slots:
            self._limits.pop(service, None)
            return
        peak = self._peaks[service].value() if service in self._peaks else 0
        self._limits[service] = max(ceil(needed), slots - peak)

    def limit(self, service: str) -> int | None:
        """Return how many items may run at once, None when there is no limit."""
        return self._limits.get(service)
