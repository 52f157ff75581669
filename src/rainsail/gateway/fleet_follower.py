"""Watches Runner and Gateway resources and updates which runners a gateway follows and owns.

It adds runners to the index and removes them, and opens and closes the feeds of their engines.
"""

from rainsail.control.interface import ConfigReader
from rainsail.gateway.eligibility import EligibleCache
from rainsail.gateway.engine_feeds import EngineFeeds
from rainsail.gateway.fleet_listeners import FleetListeners
from rainsail.gateway.followed_runners import FollowedRunners
from rainsail.gateway.ownership import Ownership
from rainsail.gateway.runner_index import RunnerIndex
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.gateway.settings import FleetSettings
from rainsail.resources.specs import (
    EventType,
    Kind,
    Resource,
    ResourceKey,
    RunnerSpec,
    WatchEvent,
)
from rainsail.runtime.clock import Clock


class GatewayFleetFollower:
    """Keeps the index of followed runners in line with the configuration."""

    def __init__(
        self,
        gateway: str,
        zone: str,
        config: ConfigReader,
        clock: Clock,
        settings: FleetSettings,
        runners: RunnerIndex,
        feeds: EngineFeeds,
        eligible: EligibleCache,
        listeners: FleetListeners,
    ) -> None:
        self._config = config
        self._clock = clock
        self._settings = settings
        self._runners = runners
        self._feeds = feeds
        self._eligible = eligible
        self._listeners = listeners
        self._ownership = Ownership(gateway)
        self._followed = FollowedRunners(
            gateway, zone, settings.other_zone_runners, settings.asked_runners
        )
        self._reselect_due = False
        self._stopped = False

    def start(self) -> None:
        """Read the resources, then watch them."""
        self._config.on_event(self._on_event)
        self._ownership.update(self._config.list_resources(Kind.GATEWAY))
        for resource in self._config.list_resources(Kind.RUNNER):
            self._add_to_selection(resource)
        self._reselect()

    def stop(self) -> None:
        """Stop adding runners."""
        self._stopped = True

    def follow(self, runner: str) -> None:
        """Follow a runner on demand, because a session is pinned to it."""
        resource = self._config.get(ResourceKey(Kind.RUNNER, runner))
        if self._runners.get(runner) is not None or resource is None:
            return
        if self._followed.follow_on_demand(runner):
            self._reselect_due = True
        self._put(resource)

    def reselect_if_due(self) -> None:
        """Reselect the followed runners if the sample or the zones with gateways have changed."""
        if self._reselect_due:
            self._reselect()

    def _reselect(self) -> None:
        self._reselect_due = False
        for resource in self._config.list_resources(Kind.RUNNER):
            self._put(resource)

    def _on_event(self, event: WatchEvent) -> None:
        kind = event.resource.key.kind
        if kind == Kind.RUNNER:
            self._runner_changed(event)
        elif kind == Kind.GATEWAY:
            self._gateways_changed()

    def _runner_changed(self, event: WatchEvent) -> None:
        self._eligible.invalidate()
        if event.type == EventType.DELETED:
            self._reselect_due |= self._followed.remove(event.resource.key.name)
            self._delete(event.resource.key.name)
        else:
            self._add_to_selection(event.resource)
            self._put(event.resource)

    def _add_to_selection(self, resource: Resource) -> None:
        if isinstance(resource.spec, RunnerSpec):
            self._reselect_due |= self._followed.add(resource.key.name, resource.spec.zone)

    def _gateways_changed(self) -> None:
        before = self._ownership.live
        after = self._ownership.update(self._config.list_resources(Kind.GATEWAY))
        self._reselect_due |= before.zones() != after.zones()
        for state in self._runners.all():
            if before.of_zone(state.spec.zone) != after.of_zone(state.spec.zone):
                self._assign_owner(state)

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
            state = ObservedRunner(resource, self._clock.seconds(), self._settings)
            self._runners.add(state)
        else:
            self._runners.update(state, resource)
        self._feeds.open(state)
        self._assign_owner(state)
        self._listeners.notify_changed(name)

    def _delete(self, name: str) -> None:
        self._runners.remove(name)
        self._feeds.close(name)
        self._listeners.notify_changed(name)

    def _assign_owner(self, state: ObservedRunner) -> None:
        owned = self._ownership.owns(state.name, state.spec.zone)
        if owned != state.owned:
            state.owned = owned
            self._listeners.notify_changed(state.name)
