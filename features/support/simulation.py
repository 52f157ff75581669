"""Short simulated runs for the features."""

from typing import Any

from rainsail.simulation.fault_plan import FaultAction, FaultPlan
from rainsail.simulation.run import RunResult, SimulationRun
from rainsail.simulation.site_plan import SITES


def run_simulation(
    site: str, seed: int, minutes: float, plan: FaultPlan | None = None
) -> RunResult:
    """Run a site under a plan, or under the failures drawn from its seed."""
    return run_fleet(SimulationRun(SITES[site](), seed, minutes), plan)


def run_fleet(run: SimulationRun, plan: FaultPlan | None) -> RunResult:
    """Run a made run, whose fleet can be looked at afterwards."""
    return run.run(run.drawn_plan() if plan is None else plan)


def plan_from_table(table: Any) -> FaultPlan:
    """Read a plan from a behave table with the columns of ``FaultAction``."""
    actions = [FaultAction(**{name: row[name] for name in table.headings}) for row in table]
    return FaultPlan(actions=tuple(actions))
