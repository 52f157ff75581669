"""Detects runners whose load reports have stopped.

It marks them as silent in the index; ``runner_state`` and ``eligibility`` exclude them from new
work.
"""

from rainsail.gateway.eligibility import EligibleCache
from rainsail.gateway.engine_feeds import EngineFeeds
from rainsail.gateway.fleet_listeners import FleetListeners
from rainsail.gateway.runner_index import RunnerIndex
from rainsail.gateway.settings import FleetSettings

PAUSE_AFTER_PERIODS = 2.0
"""Watch periods between two checks above which the process counts as having been paused.

A check that is only slightly late does not count as a pause.
"""


class LivenessMonitor:
    """Marks runners as silent; a pause of this process does not count as their silence."""

    def __init__(
        self,
        settings: FleetSettings,
        runners: RunnerIndex,
        feeds: EngineFeeds,
        eligible: EligibleCache,
        listeners: FleetListeners,
    ) -> None:
        self._settings = settings
        self._runners = runners
        self._feeds = feeds
        self._eligible = eligible
        self._listeners = listeners
        self._checked_s = 0.0

    def start(self, now_s: float) -> None:
        """Begin to measure pauses of this process."""
        self._checked_s = now_s

    def pause_since_last_check_s(self, now_s: float) -> float:
        """Return the seconds for which the process was paused; 0 or less means not at all."""
        pause_s = now_s - self._checked_s - PAUSE_AFTER_PERIODS * self._settings.watch_period_s
        self._checked_s = now_s
        return pause_s

    def check(self, now_s: float, pause_s: float) -> None:
        """Check every runner; renew the subscriptions to the engines of silent ones."""
        for state in self._runners.all():
            if pause_s > 0.0:
                state.discount_pause(pause_s, now_s)
            silent = state.is_silent(now_s)
            if silent != state.silent:
                state.silent = silent
                self._eligible.invalidate()
                self._listeners.notify_changed(state.name)
            if silent:
                self._feeds.renew_when_older(state.name, self._settings.report_timeout_s)
