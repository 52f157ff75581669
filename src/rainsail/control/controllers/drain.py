"""Sets the ``Draining`` condition of runners that are drained or whose machine is leaving.

Gateways react to ``spec.drain`` by themselves. The condition informs operators and watches, and
tells gateways that a runner's machine is leaving.
"""

from dataclasses import replace

from rainsail.control.controllers.conditions import DRAINING, find_condition, with_condition
from rainsail.control.controllers.machines import MachineView
from rainsail.control.controllers.runner_view import RunnerView, view_runners
from rainsail.resources.specs import Condition
from rainsail.state.commands import Command, PutStatus
from rainsail.state.interface import ReplicatedReader


class DrainPlanner:
    """Keeps the ``Draining`` condition of runners in line with their spec and the machine list."""

    name = "drain"

    def __init__(self, machines: MachineView | None = None) -> None:
        self._machines = machines

    def begin(self) -> None:
        """Do nothing: this planner keeps no state."""

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return a status change for each runner whose condition is missing or outdated."""
        runners = view_runners(state, self._machines)
        return [command for runner in runners for command in _update_condition(runner)]


def _update_condition(runner: RunnerView) -> list[Command]:
    resource = runner.resource
    current = find_condition(resource.conditions, DRAINING)
    marked = current is not None and current.value
    if runner.leaving == marked:
        return []
    condition = Condition(DRAINING, runner.leaving, _reason(runner), resource.generation)
    conditions = with_condition(resource.conditions, condition)
    ready = runner.status.ready and not runner.leaving
    status = replace(runner.status, ready=ready)
    return [PutStatus(resource.key, status, conditions, resource.revision)]


def _reason(runner: RunnerView) -> str:
    if runner.spec.drain:
        return "drain was asked for"
    return "its machine is leaving" if runner.leaving else "takes work again"
