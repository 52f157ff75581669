"""Tracks the use of each runner's slots, and when a runner may get another item.

Owns the online work that gateways report, the load from other callers, and the pauses of runners.
``running_items`` owns which items run where.
"""

from typing import Any

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.after_run import indicates_runner_failure
from rainsail.jobs.item_run import RunEnd
from rainsail.jobs.other_callers import OtherCallersLoad
from rainsail.jobs.running_items import RunningItems
from rainsail.jobs.settings import DispatchSettings
from rainsail.jobs.slot_use import SlotUse
from rainsail.routing.facts import ServerLoad
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.warm_up_limiter import WarmUpLimiter


class RunnerSlots:
    """Slot use, pauses and failures by runner; times are seconds of the node's clock."""

    def __init__(
        self, warm_ups: WarmUpLimiter, settings: DispatchSettings, running: RunningItems
    ) -> None:
        self.online = OnlineUseTracker()
        self._warm_ups = warm_ups
        self._settings = settings
        self._running = running
        self._other_callers = OtherCallersLoad()
        self._paused_until_s: dict[str, float] = {}
        self._last_start_s: dict[str, float] = {}
        self._failed_runs: dict[str, int] = {}
        """Consecutive failed runs, by runner."""

    def clear(self) -> None:
        """Discard loads that were reported before this node led."""
        self.online.clear()
        self._other_callers.clear()

    def keep_only(self, runners: set[str]) -> None:
        """Forget all other runners."""
        self._warm_ups.keep_only(runners)
        for kept in self._kept_by_runner:
            for runner in kept.keys() - runners:
                del kept[runner]

    def forget(self, runner: str) -> None:
        """Discard what is known of a restarted runner, except runs that have yet to end."""
        self._other_callers.forget(runner)
        for kept in self._kept_by_runner:
            kept.pop(runner, None)

    @property
    def _kept_by_runner(self) -> tuple[dict[str, Any], ...]:
        return self._paused_until_s, self._last_start_s, self._failed_runs

    def use_of(self, record: RunnerRecord, now: float) -> SlotUse:
        """Return the current use of a runner's slots."""
        runner = record.runner
        other_callers = 0
        if self._settings.mechanisms.foreign_load:
            other_callers = self._other_callers.at(runner, now)
        return SlotUse(
            runner,
            record.zone,
            record.slots,
            self.online.running(runner),
            self._running.count_at(runner),
            other_callers,
        )

    def slots_for_items(self, record: RunnerRecord, now: float) -> int:
        """Return the number of slots that items hold or could get."""
        use = self.use_of(record, now)
        return max(0, use.items + use.free)

    def on_load_report(self, runner: str, load: ServerLoad, now: float) -> None:
        """Record the load that a runner reports in an answer's head."""
        known = self._running.count_at(runner) + self.online.running(runner)
        self._other_callers.on_load_report(runner, load, known, now)

    def on_item_started(self, record: RunnerRecord, now: float) -> None:
        """Record that an item is sent to a runner."""
        self._last_start_s[record.runner] = now
        self._warm_ups.sent(record, now)

    def count_run_end(self, runner: str, end: RunEnd) -> int:
        """Record the end of a run; return the number of consecutive failures at the runner."""
        if indicates_runner_failure(end):
            self._failed_runs[runner] = self._failed_runs.get(runner, 0) + 1
        elif end != RunEnd.NOT_RUN:
            self._failed_runs.pop(runner, None)
        return self._failed_runs.get(runner, 0)

    def pause(self, runner: str, until_s: float) -> None:
        """Start no items at a runner before a time; never shortens an earlier pause."""
        self._paused_until_s[runner] = max(until_s, self._paused_until_s.get(runner, 0.0))

    def may_start_at(self, record: RunnerRecord, now: float) -> bool:
        """Tell whether a runner may get an item now.

        It may if its warm-up allows another request, it is not paused, it has begun to answer
        every item that runs there, and the last start is at least ``start_interval_s`` ago. An item
        without an answer may still be queued at the runner, which is then full even if the reports
        show free slots.
        """
        runner = record.runner
        if not self._warm_ups.may_send(record, now):
            return False
        if self._paused_until_s.get(runner, 0.0) > now:
            return False
        if any(item.awaits_answer for item in self._running.at(runner)):
            return False
        since_start_s = now - self._last_start_s.get(runner, float("-inf"))
        return since_start_s >= self._settings.start_interval_s
