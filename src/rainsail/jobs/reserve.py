"""Limits the items that run at once while batch work has slack, to keep slots free for online work.

Items in every free slot have to be preempted as soon as online work returns, and requests wait
meanwhile. So if all items can be in time on fewer slots, as many slots stay free as the recent peak
of online work exceeds its current use. If batch work has no slack, nothing is reserved.

The limit applies to a whole service. Since items always start where most slots are free, the free
slots spread over the runners.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from rainsail.jobs.feasibility import Demand

PEAK_WINDOW_S = 10.0
"""Window of the peak of online work; covers the gap between two bursts of some seconds each."""
PLANNED_TIME_SHARE = 0.2
"""Items are planned to end within this share of their remaining time.

The rest covers what the plan cannot foresee: bursts, leaving runners, broken runs. Mean benchmark
score on four seeds of one site's days: 0.807 without a reserve, 0.796 with a share of 0.5, 0.799
with 0.35, 0.822 with 0.2. On random loads, 0.2 costs no items in time and 0.5 up to 4 %.
"""
PLANNING_HORIZON_S = 60.0
"""Items are planned as if due within this time at the latest, also those without a due time.

Such items thus make progress while there is little online work.
"""


def slots_needed(demands: Iterable[Demand], now: float) -> float:
    """Return the minimum of slots on which all items end within the planned share of their time.

    Infinite if some item has no time left.
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
    """Maximum of the values within a sliding window of ``PEAK_WINDOW_S``."""

    def __init__(self) -> None:
        self._falling: deque[_Sample] = deque()
        """Samples in order of time and strictly falling value; the first is the maximum."""

    def on_value(self, value: int, now: float) -> None:
        """Add the current value."""
        while self._falling and self._falling[-1].value <= value:
            self._falling.pop()
        self._falling.append(_Sample(now, value))
        while self._falling[0].seen_s < now - PEAK_WINDOW_S:
            self._falling.popleft()

    def value(self) -> int:
        """Return the peak, 0 without any value."""
        return self._falling[0].value if self._falling else 0


class Reserve:
    """Concurrency limits of items, by service."""

    def __init__(self) -> None:
        self._peaks: dict[str, RecentPeak] = {}
        self._limits: dict[str, int] = {}

    def clear(self) -> None:
        """Discard all state, as another node has led meanwhile."""
        self._peaks.clear()
        self._limits.clear()

    def on_online_seen(self, service: str, online: int, now: float) -> None:
        """Record how many online requests a service has in flight."""
        self._peaks.setdefault(service, RecentPeak()).on_value(online, now)

    def plan(self, service: str, slots: int, needed: float | None) -> None:
        """Compute a service's limit; ``needed`` is None if batch work has no slack."""
        if needed is None or needed >= slots:
            self._limits.pop(service, None)
            return
        peak = self._peaks[service].value() if service in self._peaks else 0
        self._limits[service] = max(ceil(needed), slots - peak)

    def limit(self, service: str) -> int | None:
        """Return how many items may run at once, None if unlimited."""
        return self._limits.get(service)
