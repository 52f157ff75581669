"""Subscriptions to load reports and cache events of the engines that a gateway follows.

There is one feed for each runner; it is replaced when the runner's address changes. Reports and
events update the runner's state.
"""

from random import Random

from rainsail.engine.interface import EngineClient, LoadReport
from rainsail.gateway.eligibility import EligibleCache
from rainsail.gateway.engine_feed import EngineFeed
from rainsail.gateway.fleet_listeners import FleetListeners
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.gateway.settings import FleetSettings
from rainsail.runtime.clock import Clock


class EngineFeeds:
    """The feeds by runner name, and the runners by engine address."""

    def __init__(
        self,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: FleetSettings,
        eligible: EligibleCache,
        listeners: FleetListeners,
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings
        self._eligible = eligible
        self._listeners = listeners
        self._feeds: dict[str, EngineFeed] = {}
        self._at_address: dict[str, ObservedRunner] = {}

    def runner_at(self, address: str) -> ObservedRunner | None:
        """Return the followed runner whose engine has an address, or None."""
        return self._at_address.get(address)

    def open(self, state: ObservedRunner) -> None:
        """Subscribe to a runner's engine at its current address unless already subscribed."""
        feed = self._feeds.get(state.name)
        if feed is not None and feed.address == state.spec.address:
            return
        self.close(state.name)
        feed = EngineFeed(
            state.spec.address,
            self._engine,
            self._clock,
            self._random,
            self._settings,
            on_load=lambda report: self._on_report(state, report),
            on_cache=state.cache.apply,
            on_lost=state.cache.subscription_lost,
        )
        self._feeds[state.name] = feed
        self._at_address[state.spec.address] = state
        feed.start()

    def close(self, runner: str) -> None:
        """Close the subscription to a runner's engine, if there is one."""
        feed = self._feeds.pop(runner, None)
        if feed is not None:
            feed.stop()
            self._at_address.pop(feed.address, None)

    def close_all(self) -> None:
        """Close all subscriptions."""
        for feed in self._feeds.values():
            feed.stop()
        self._feeds.clear()

    def renew_when_older(self, runner: str, age_s: float) -> None:
        """Renew the subscription to a runner's engine if it is at least ``age_s`` seconds old."""
        self._feeds[runner].renew_when_older(age_s)

    def _on_report(self, state: ObservedRunner, report: LoadReport) -> None:
        last = state.report
        if not state.apply_report(report, self._clock.seconds()):
            return
        if last is None or usability(last) != usability(report):
            self._eligible.invalidate()
        self._listeners.notify_changed(state.name)
        if last is not None and last.incarnation != report.incarnation:
            self._listeners.notify_restarted(state.name)


def usability(report: LoadReport) -> tuple[str, bool, str, tuple[str, ...]]:
    """Return the fields of a report that determine whether a runner may get work."""
    return report.incarnation, report.draining, report.loaded_version, report.adapters
