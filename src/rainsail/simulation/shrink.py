"""Shrinking: reduce a failing run's faults to a short list that still fails."""

from collections.abc import Callable

from rainsail.simulation.fault_plan import FaultAction, FaultPlan

StillFails = Callable[[FaultPlan], bool]


def shrink_plan(plan: FaultPlan, still_fails: StillFails, most_runs: int) -> FaultPlan:
    """Drop faults in ever smaller blocks while the run still fails; at most ``most_runs`` runs.

    ``still_fails`` runs the plan and tells whether the same checker still finds a violation.
    """
    actions = list(plan.actions)
    block = max(1, len(actions) // 2)
    runs = 0
    while block >= 1 and runs < most_runs:
        start = 0
        while start < len(actions) and runs < most_runs:
            candidate = actions[:start] + actions[start + block :]
            runs += 1
            if still_fails(_plan(candidate)):
                actions = candidate
            else:
                start += block
        block //= 2
    return _plan(actions)


def _plan(actions: list[FaultAction]) -> FaultPlan:
    return FaultPlan(actions=tuple(actions))
