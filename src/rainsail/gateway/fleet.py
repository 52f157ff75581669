"""A gateway's view of every runner: load, cache, own work, draining, ejection, ownership."""

from collections.abc import Callable
from random import Random

from rainsail.batch.interface import RunnerView
from rainsail.control.interface import ConfigReader
from rainsail.engine.interface import CacheEvent, EndReason, EngineClient, LoadReport
from rainsail.engine.prefix import BLOCK_TOKENS, block_hashes
from rainsail.gateway import runner_state
from rainsail.gateway.batch_view import batch_view
from rainsail.gateway.ejection import may_put_out
from rainsail.gateway.eligibility import EligibleCache, EligibleRunners
from rainsail.gateway.engine_feed import EngineFeed
from rainsail.gateway.followed_runners import FollowedRunners
from rainsail.gateway.ownership import Ownership
from rainsail.gateway.runner_index import RunnerIndex
from rainsail.gateway.runner_state import RunnerState
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    EventType,
    Kind,
    Resource,
    ResourceKey,
    RunnerSpec,
    WatchEvent,
)
from rainsail.runtime.clock import Clock

ChangeListener = Callable[[str], None]


class RunnerFleet:
    """Follows Runner and Gateway resources and the engines' own reports."""

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
        self._config = config
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings.fleet
        self._runners = RunnerIndex()
        self._feeds: dict[str, EngineFeed] = {}
        self._at_address: dict[str, RunnerState] = {}
        self._eligible = EligibleCache(zone)
        self._ownership = Ownership(gateway)
        self._followed = FollowedRunners(
            gateway, zone, settings.fleet.other_zone_runners, settings.fleet.asked_runners
        )
        self._choice_due = False
        self._watched_s = 0.0
        self._listeners: list[ChangeListener] = []
        self._restart_listeners: list[ChangeListener] = []
        self._stopped = False

    def start(self) -> None:
        """Read the resources, then follow them."""
        self._config.on_event(self._on_event)
        self._ownership.take(self._config.list_resources(Kind.GATEWAY))
        for resource in self._config.list_resources(Kind.RUNNER):
            self._note(resource)
        self._choose_followed()
        self._watched_s = self._clock.seconds()
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    def stop(self) -> None:
        """Close every subscription."""
        self._stopped = True
        for feed in self._feeds.values():
            feed.stop()
        self._feeds.clear()

    # --- reading ------------------------------------------------------------------------------

    def runner(self, name: str) -> RunnerState | None:
        """Return what is known of a runner."""
        return self._runners.get(name)

    def runners(self) -> list[RunnerState]:
        """Return every runner in name order."""
        return self._runners.all()

    def runners_of(self, service: str) -> list[RunnerState]:
        """Return the runners of a service in name order, usable or not."""
        return self._runners.of_service(service)

    def eligible(self, service: str, batch: bool, adapter: str = "") -> EligibleRunners:
        """Return the runners of a service that may get new work now."""
        now_s = self._clock.seconds()
        return self._eligible.get(self.runners_of(service), service, now_s, batch, adapter)

    def cached_tokens(self, address: str, prompt: str) -> int:
        """Return how many leading tokens of a prompt the engine at an address likely has cached."""
        state = self._at_address.get(address)
        if state is None:
            return 0
        return state.cache.matched_blocks(block_hashes(prompt)) * BLOCK_TOKENS

    def owned_runners(self) -> list[RunnerState]:
        """Return the runners that this gateway owns, in name order."""
        return [state for state in self.runners() if state.owned]

    def usable(self, runner: str) -> bool:
        """Tell whether new work may be sent to a runner now."""
        state = self._runners.get(runner)
        return state is not None and runner_state.takes_new_work(state, self._clock.seconds())

    def follow(self, runner: str) -> None:
        """Follow a runner also when it is not of the zone or the sample: a session is there."""
        resource = self._config.get(ResourceKey(Kind.RUNNER, runner))
        if self._runners.get(runner) is not None or resource is None:
            return
        if self._followed.ask(runner):
            self._choice_due = True
        self._put(resource)

    def runners_out(self) -> int:
        """Return how many runners are out for failures."""
        now_s = self._clock.seconds()
        return sum(state.ejection.is_out(now_s) for state in self.runners())

    def leaving(self, runner: str) -> bool:
        """Tell whether a runner is draining, gone or silent."""
        state = self._runners.get(runner)
        return state is None or runner_state.is_leaving(state, self._clock.seconds())

    def view(self, runner: str) -> RunnerView:
        """Return what the batch policies see of a runner; KeyError when it does not exist."""
        state = self._runners.get(runner)
        if state is None:
            raise KeyError(runner)
        return batch_view(state)

    def on_change(self, listener: ChangeListener) -> None:
        """Call ``listener`` with a runner's name at each change of its view."""
        self._listeners.append(listener)

    def on_restart(self, listener: ChangeListener) -> None:
        """Call ``listener`` with a runner's name when its engine has restarted."""
        self._restart_listeners.append(listener)

    # --- own work -----------------------------------------------------------------------------

    def attempt_started(self, runner: str, attempt_id: str, batch: bool) -> None:
        """Count an attempt that is sent to a runner."""
        state = self._runners.get(runner)
        if state is None:
            return
        state.attempt_started(attempt_id, batch, self._clock.seconds())
        self._changed(runner)

    def attempt_ended(
        self,
        runner: str,
        attempt_id: str,
        reason: EndReason | None = None,
    ) -> None:
        """Count an attempt's end; LOST counts against the runner, STOP and LENGTH for it."""
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
        self._changed(runner)

    def _failed(self, state: RunnerState, now_s: float) -> None:
        if not state.ejection.failed(self._settings):
            return
        peers = self.runners_of(state.spec.service)
        out = sum(1 for each in peers if each is not state and each.ejection.is_out(now_s))
        if may_put_out(len(peers), out, self._settings.max_ejected_fraction):
            state.ejection.put_out(now_s, self._random, self._settings)
            self._eligible.changed()

    # --- following ----------------------------------------------------------------------------

    def _on_event(self, event: WatchEvent) -> None:
        kind = event.resource.key.kind
        if kind == Kind.RUNNER:
            self._eligible.changed()
            if event.type == EventType.DELETED:
                self._choice_due |= self._followed.forget(event.resource.key.name)
                self._delete(event.resource.key.name)
            else:
                self._note(event.resource)
                self._put(event.resource)
        elif kind == Kind.GATEWAY:
            self._gateways_changed()

    def _note(self, resource: Resource) -> None:
        if isinstance(resource.spec, RunnerSpec):
            self._choice_due |= self._followed.note(resource.key.name, resource.spec.zone)

    def _gateways_changed(self) -> None:
        before = self._ownership.live
        after = self._ownership.take(self._config.list_resources(Kind.GATEWAY))
        self._choice_due |= before.zones() != after.zones()
        for state in self.runners():
            if before.of_zone(state.spec.zone) != after.of_zone(state.spec.zone):
                self._assign_owner(state)

    def _choose_followed(self) -> None:
        """Look at every runner again: the sample or the zones without gateways have changed."""
        self._choice_due = False
        for resource in self._config.list_resources(Kind.RUNNER):
            self._put(resource)

    def _put(self, resource: Resource) -> None:
        if self._stopped or not isinstance(resource.spec, RunnerSpec):
            return
        name, zone = resource.key.name, resource.spec.zone
        state = self._runners.get(name)
        if not self._followed.follows(name, zone, self._ownership.owns_elsewhere(name, zone)):
            if state is not None:
                self._delete(name)
            return
        if state is None:
            state = RunnerState(resource, self._clock.seconds(), self._settings)
            self._runners.add(state)
        else:
            self._runners.update(state, resource)
        feed = self._feeds.get(name)
        if feed is None or feed.address != resource.spec.address:
            self._open_feed(state)
        self._assign_owner(state)
        self._changed(name)

    def _delete(self, name: str) -> None:
        self._runners.remove(name)
        feed = self._feeds.pop(name, None)
        if feed is not None:
            feed.stop()
            self._at_address.pop(feed.address, None)
        self._changed(name)

    def _open_feed(self, state: RunnerState) -> None:
        old = self._feeds.pop(state.name, None)
        if old is not None:
            old.stop()
            self._at_address.pop(old.address, None)
        feed = EngineFeed(
            state.spec.address,
            self._engine,
            self._clock,
            self._random,
            self._settings,
            on_load=lambda report: self._take_report(state, report),
            on_cache=lambda event: self._take_cache_event(state, event),
            on_lost=state.cache.lost,
        )
        self._feeds[state.name] = feed
        self._at_address[state.spec.address] = state
        feed.start()

    def _take_report(self, state: RunnerState, report: LoadReport) -> None:
        last = state.report
        if not state.take_report(report, self._clock.seconds()):
            return
        if last is None or usability(last) != usability(report):
            self._eligible.changed()
        self._changed(state.name)
        if last is not None and last.incarnation != report.incarnation:
            for listener in list(self._restart_listeners):
                listener(state.name)

    def _take_cache_event(self, state: RunnerState, event: CacheEvent) -> None:
        state.cache.apply(event)

    def _assign_owner(self, state: RunnerState) -> None:
        owned = self._ownership.owns(state.name, state.spec.zone)
        if owned != state.owned:
            state.owned = owned
            self._changed(state.name)

    def _watch(self) -> None:
        """Look for runners that fell silent; what this process slept through is excused."""
        if self._stopped:
            return
        now_s = self._clock.seconds()
        pause_s = now_s - self._watched_s - 2.0 * self._settings.watch_period_s
        self._watched_s = now_s
        if self._choice_due:
            self._choose_followed()
        for state in self.runners():
            if pause_s > 0.0:
                state.excuse_silence(pause_s, now_s)
            silent = state.is_silent(now_s)
            if silent != state.silent:
                state.silent = silent
                self._eligible.changed()
                self._changed(state.name)
            if silent:
                self._feeds[state.name].renew_when_older(self._settings.report_timeout_s)
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    def _changed(self, runner: str) -> None:
        for listener in list(self._listeners):
            listener(runner)


def usability(report: LoadReport) -> tuple[str, bool, str, tuple[str, ...]]:
    """Return the part of a report that decides whether a runner may get work."""
    return report.incarnation, report.draining, report.loaded_version, report.adapters
