"""Runs the reconcile loops of a group on its leader."""

from collections.abc import Callable
from random import Random

from rainsail.consensus.interface import Group
from rainsail.control.controllers.drain import DrainPlanner
from rainsail.control.controllers.loop import ReconcileLoop
from rainsail.control.controllers.machines import MachineView
from rainsail.control.controllers.placement import PlacementPlanner
from rainsail.control.controllers.planner import Planner
from rainsail.control.controllers.retention import (
    GatewayLastSeen,
    GatewayRetentionPlanner,
    JobRetentionPlanner,
)
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.resources.specs import Kind
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader

PLANNED_KINDS = (Kind.SERVICE, Kind.MODEL_VERSION, Kind.ADAPTER, Kind.RUNNER)
"""Kinds that the placement and drain planners read."""
MAX_SCANNED_EVENTS = 100
"""Most events scanned after a batch of log entries; with more, the loops plan without a scan."""


class ControllerManager:
    """Starts every loop when this replica becomes leader and stops them when it steps down."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        clock: Clock,
        random: Random,
        settings: ReconcilerSettings,
        wall_clock: Callable[[], float],
        machine_list: MachineView | None = None,
    ) -> None:
        self._group = group
        self._state = state
        self._revision = -1
        self._started = False
        self._gateways = GatewayRetentionPlanner(settings)

        def loop(planner: Planner, period_s: float) -> ReconcileLoop:
            return ReconcileLoop(planner, period_s, group, state, clock, random, settings)

        self._event_driven_loops = [
            loop(PlacementPlanner(settings, machine_list), settings.placement_period_s),
            loop(DrainPlanner(machine_list), settings.placement_period_s),
        ]
        self._periodic_loops = [
            loop(JobRetentionPlanner(settings), settings.retention_period_s),
            loop(self._gateways, settings.retention_period_s),
        ]
        group.on_leadership(self._leadership_changed)
        group.on_applied(self._applied)

    def set_gateway_last_seen(self, last_seen: GatewayLastSeen) -> None:
        """Set the lookup of when a gateway last made contact (monotonic seconds)."""
        self._gateways.set_last_seen(last_seen)

    def start(self) -> None:
        """Run the loops whenever this replica is the leader."""
        self._started = True
        if self._group.is_leader():
            self._leadership_changed(True)

    def stop(self) -> None:
        """Stop every loop for good."""
        self._started = False
        self._leadership_changed(False)

    def _leadership_changed(self, leading: bool) -> None:
        for loop in self._event_driven_loops + self._periodic_loops:
            if leading and self._started:
                loop.start()
            else:
                loop.stop()

    def _applied(self, index: int) -> None:
        before = self._revision
        self._revision = self._state.revision
        if self._revision == before or not self._affects_plans(before):
            return
        for loop in self._event_driven_loops:
            loop.wake()

    def _affects_plans(self, revision: int) -> bool:
        """Tell whether a resource that the event-driven loops read has changed after ``revision``.

        Those loops scan every runner, which is too expensive for each change of a tenant, session
        or gateway. Returns True when the events since ``revision`` are not all available.
        """
        events = self._state.events_since(revision, MAX_SCANNED_EVENTS)
        if events is None or len(events) == MAX_SCANNED_EVENTS:
            return True
        return any(event.resource.key.kind in PLANNED_KINDS for event in events)
