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
from rainsail.control.controllers.settings import ControllerSettings
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader


class ControllerManager:
    """Starts every loop when this replica begins to lead and stops them when that ends."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        clock: Clock,
        random: Random,
        settings: ControllerSettings,
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

        self._prompt_loops = [
            loop(PlacementPlanner(settings, machine_list), settings.placement_period_s),
            loop(DrainPlanner(machine_list), settings.placement_period_s),
        ]
        self._slow_loops = [
            loop(JobRetentionPlanner(settings), settings.retention_period_s),
            loop(self._gateways, settings.retention_period_s),
        ]
        group.on_leadership(self._leadership_changed)
        group.on_applied(self._applied)

    def set_gateway_last_seen(self, last_seen: GatewayLastSeen) -> None:
        """Say how to find out when a gateway was last heard of (monotonic seconds)."""
        self._gateways.set_last_seen(last_seen)

    def start(self) -> None:
        """Run the loops whenever this replica leads."""
        self._started = True
        if self._group.is_leader():
            self._leadership_changed(True)

    def stop(self) -> None:
        """Stop every loop for good."""
        self._started = False
        self._leadership_changed(False)

    def _leadership_changed(self, leading: bool) -> None:
        for loop in self._prompt_loops + self._slow_loops:
            if leading and self._started:
                loop.start()
            else:
                loop.stop()

    def _applied(self, index: int) -> None:
        if self._state.revision == self._revision:
            return
        self._revision = self._state.revision
        for loop in self._prompt_loops:
            loop.wake()
