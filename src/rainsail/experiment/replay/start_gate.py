"""The moment at which a replay's time begins: when the simulated fleet serves every runner."""

from collections.abc import Callable

from rainsail.resources.specs import Kind, RunnerStatus
from rainsail.simulation.fleet import SimulatedFleet

LOOK_PERIOD_S = 0.5
READY_LIMIT_S = 60.0
"""A fleet that is not ready by then gets the traffic all the same."""


class StartGate:
    """Calls its waiters once every gateway sees every runner ready (weights take their time)."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.opened_s = 0.0
        self._fleet = fleet
        self._waiting: list[Callable[[], None]] = []

    def when_ready(self, call: Callable[[], None]) -> None:
        """Make a call when the fleet is ready; all calls are made at the same time."""
        self._waiting.append(call)
        if len(self._waiting) == 1:
            self._fleet.clock.callLater(0.0, self._look)

    def _look(self) -> None:
        now_s = self._fleet.clock.seconds()
        if not self._ready() and now_s < READY_LIMIT_S:
            self._fleet.clock.callLater(LOOK_PERIOD_S, self._look)
            return
        self.opened_s = now_s
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def _ready(self) -> bool:
        return all(self._sees_all_ready(name) for name in self._fleet.gateways)

    def _sees_all_ready(self, gateway: str) -> bool:
        node = self._fleet.live_gateway(gateway)
        if node is None:
            return False
        runners = node.view.list_resources(Kind.RUNNER)
        statuses = [runner.status for runner in runners]
        ready = [each for each in statuses if isinstance(each, RunnerStatus) and each.ready]
        return len(ready) >= len(self._fleet.engines)
