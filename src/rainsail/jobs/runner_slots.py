"""Tracks the slots of each runner, and when a runner may take another item.

Owns the online work that gateways report, the load from other callers, and the pauses of runners.
Which items run where is owned by ``running_items``.
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
    """The runners as the dispatcher sees them; times are seconds of the node's clock."""

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
        """Runs in a row that have failed, by runner."""

    def clear(self) -> None:
        """Forget the loads that were reported before this node led."""
        self.online.clear()
        self._other_callers.clear()

    def keep_only(self, runners: set[str]) -> None:
        """Forget runners that are not known any more."""
        self._warm_ups.keep_only(runners)
        for kept in self._kept_by_runner:
            for runner in kept.keys() - runners:
                del kept[runner]

    def forget(self, runner: str) -> None:
        """Forget a runner that has restarted, but for the runs that have yet to end."""
        self._other_callers.forget(runner)
        for kept in self._kept_by_runner:
            kept.pop(runner, None)

    @property
    def _kept_by_runner(self) -> tuple[dict[str, Any], ...]:
        return self._paused_until_s, self._last_start_s, self._failed_runs

    def use_of(self, record: RunnerRecord, now: float) -> SlotUse:
        """Return who holds a runner's slots."""
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
        """Return the slots that items hold or could get."""
        use = self.use_of(record, now)
        return max(0, use.items + use.free)

    def on_load_report(self, runner: str, load: ServerLoad, now: float) -> None:
        """Take what a runner reports of its load with an answer's head."""
        known = self._running.count_at(runner) + self.online.running(runner)
        self._other_callers.on_load_report(runner, load, known, now)

    def on_item_started(self, record: RunnerRecord, now: float) -> None:
        """Count an item that goes out to a runner."""
        self._last_start_s[record.runner] = now
        self._warm_ups.sent(record, now)

    def count_run_end(self, runner: str, end: RunEnd) -> int:
        """Count the end of a run; return how many in a row have failed at the runner."""
        if indicates_runner_failure(end):
            self._failed_runs[runner] = self._failed_runs.get(runner, 0) + 1
        elif end != RunEnd.NOT_RUN:
            self._failed_runs.pop(runner, None)
        return self._failed_runs.get(runner, 0)

    def pause(self, runner: str, until_s: float) -> None:
        """Give a runner no item before a time; a longer pause that is set already holds."""
        self._paused_until_s[runner] = max(until_s, self._paused_until_s.get(runner, 0.0))

    def may_start_at(self, record: RunnerRecord, now: float) -> bool:
        """Tell whether a runner may get an item now.

        It may if its warm-up allows one more request, it is not paused, it has begun to answer
        every item that runs there, and the last start was ``start_interval_s`` ago. An item
        without an answer may still be queued at the runner: then the runner is full, whatever the
        reports say.
        """
        runner = record.runner
        if not self._warm_ups.may_send(record, now):
            return False
        if self._paused_until_s.get(runner, 0.0) > now:
            return False
        if any(item.run and not item.run.begun for item in self._running.at(runner)):
            return False
        since_start_s = now - self._last_start_s.get(runner, float("-inf"))
        return since_start_s >= self._settings.start_interval_s
