"""A gateway's view of the runners: load, cache, own requests, draining, ejection, ownership.

``runner_state`` holds the state of a runner. ``fleet_follower`` watches the resources,
``engine_feeds`` receives the engines' reports, and ``liveness_monitor`` detects runners without
reports.
"""

from random import Random

from rainsail.batch.interface import BatchRunnerView
from rainsail.control.interface import ConfigReader
from rainsail.engine.interface import EndReason, EngineClient
from rainsail.engine.prefix import BLOCK_TOKENS, block_hashes
from rainsail.gateway import runner_state
from rainsail.gateway.batch_view import batch_view
from rainsail.gateway.ejection import may_eject
from rainsail.gateway.eligibility import EligibleCache, EligibleRunners
from rainsail.gateway.engine_feeds import EngineFeeds
from rainsail.gateway.fleet_follower import GatewayFleetFollower
from rainsail.gateway.fleet_listeners import FleetListeners, RunnerListener
from rainsail.gateway.liveness_monitor import LivenessMonitor
from rainsail.gateway.runner_index import RunnerIndex
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.gateway.settings import GatewaySettings
from rainsail.runtime.clock import Clock


class RunnerFleet:
    """State of the runners for the other components, which also count their attempts here."""

    def __init__(
        self,
        gateway: str,
        zone: str,
        config: ConfigReader,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
    ) -> None:
        self.gateway = gateway
        self.zone = zone
        self._clock = clock
        self._random = random
        self._settings = settings.fleet
        self._runners = RunnerIndex()
        self._eligible = EligibleCache(zone)
        self._listeners = FleetListeners()
        self._feeds = EngineFeeds(
            engine, clock, random, settings.fleet, self._eligible, self._listeners
        )
        self._follower = GatewayFleetFollower(
            gateway,
            zone,
            config,
            clock,
            settings.fleet,
            self._runners,
            self._feeds,
            self._eligible,
            self._listeners,
        )
        self._liveness = LivenessMonitor(
            settings.fleet, self._runners, self._feeds, self._eligible, self._listeners
        )
        self._stopped = False

    def start(self) -> None:
        """Read the resources, then watch them and the engines."""
        self._follower.start()
        self._liveness.start(self._clock.seconds())
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    def stop(self) -> None:
        """Close every subscription."""
        self._stopped = True
        self._follower.stop()
        self._feeds.close_all()

    def _watch(self) -> None:
        if self._stopped:
            return
        now_s = self._clock.seconds()
        pause_s = self._liveness.pause_since_last_check_s(now_s)
        self._follower.reselect_if_due()
        self._liveness.check(now_s, pause_s)
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    # --- queries ------------------------------------------------------------------------------

    def runner(self, name: str) -> ObservedRunner | None:
        """Return the state of a runner, or None when it is not followed."""
        return self._runners.get(name)

    def runners(self) -> list[ObservedRunner]:
        """Return all followed runners in name order."""
        return self._runners.all()

    def runners_of(self, service: str) -> list[ObservedRunner]:
        """Return the runners of a service in name order, usable or not."""
        return self._runners.of_service(service)

    def eligible(self, service: str, batch: bool, adapter: str = "") -> EligibleRunners:
        """Return the runners of a service that may get new work now."""
        now_s = self._clock.seconds()
        return self._eligible.get(self.runners_of(service), service, now_s, batch, adapter)

    def cached_tokens(self, address: str, prompt: str) -> int:
        """Return the estimated number of leading tokens of a prompt cached at an engine."""
        state = self._feeds.runner_at(address)
        if state is None:
            return 0
        return state.cache.matched_blocks(block_hashes(prompt)) * BLOCK_TOKENS

    def owned_runners(self) -> list[ObservedRunner]:
        """Return the runners that this gateway owns, in name order."""
        return [state for state in self.runners() if state.owned]

    def usable(self, runner: str) -> bool:
        """Return whether new work may be sent to a runner now."""
        state = self._runners.get(runner)
        return state is not None and runner_state.takes_new_work(state, self._clock.seconds())

    def follow(self, runner: str) -> None:
        """Follow a runner on demand, because a session is pinned to it."""
        self._follower.follow(runner)

    def runners_out(self) -> int:
        """Return the number of ejected runners."""
        now_s = self._clock.seconds()
        return sum(state.ejection.is_ejected(now_s) for state in self.runners())

    def leaving(self, runner: str) -> bool:
        """Return whether a runner is draining, silent or not followed."""
        state = self._runners.get(runner)
        return state is None or runner_state.is_leaving(state, self._clock.seconds())

    def view(self, runner: str) -> BatchRunnerView:
        """Return the view of a runner for the batch policies; KeyError when it is unknown."""
        state = self._runners.get(runner)
        if state is None:
            raise KeyError(runner)
        return batch_view(state)

    def on_change(self, listener: RunnerListener) -> None:
        """Call ``listener`` with a runner's name at each change of its state."""
        self._listeners.add_on_change(listener)

    def on_restart(self, listener: RunnerListener) -> None:
        """Call ``listener`` with a runner's name when its engine has restarted."""
        self._listeners.add_on_restart(listener)

    # --- own attempts -------------------------------------------------------------------------

    def attempt_started(self, runner: str, attempt_id: str, batch: bool) -> None:
        """Count an attempt that is sent to a runner."""
        state = self._runners.get(runner)
        if state is None:
            return
        state.attempt_started(attempt_id, batch, self._clock.seconds())
        self._listeners.notify_changed(runner)

    def attempt_ended(
        self,
        runner: str,
        attempt_id: str,
        reason: EndReason | None = None,
    ) -> None:
        """Count an attempt's end.

        LOST counts as a failure of the runner; STOP and LENGTH reset its failures.
        """
        state = self._runners.get(runner)
        if state is None:
            return
        now_s = self._clock.seconds()
        if state.attempt_ended(attempt_id, now_s) is None:
            return
        if reason in (EndReason.STOP, EndReason.LENGTH):
            state.ejection.succeeded()
        elif reason == EndReason.LOST:
            self._failed(state, now_s)
        self._listeners.notify_changed(runner)

    def _failed(self, state: ObservedRunner, now_s: float) -> None:
        if not state.ejection.failed(self._settings):
            return
        peers = self.runners_of(state.spec.service)
        out = sum(1 for each in peers if each is not state and each.ejection.is_ejected(now_s))
        if may_eject(len(peers), out, self._settings.max_ejected_fraction):
            state.ejection.eject(now_s, self._random, self._settings)
            self._eligible.invalidate()
