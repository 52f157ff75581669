"""The whole scale run: control at several sizes, one gateway by itself, memory."""

import sys
from collections.abc import Callable

from rainsail.scale.control_run import ControlRun, RunSettings
from rainsail.scale.gateway_memory import measure_memory
from rainsail.scale.gateway_run import measure_costs
from rainsail.scale.machine_list_cost import measure_machine_list
from rainsail.scale.replica_cost import measure_replica
from rainsail.scale.report import ScaleReport
from rainsail.scale.workload import FleetSize

STEPS = (1.0, 0.5, 0.25)
"""Sizes of the control runs, as parts of the target; memory is true for the first."""
GATEWAY_STEPS = (0.25, 0.5, 1.0)
"""Runners of a zone in the runs of one gateway, as parts of the target's."""
GATEWAY_TENANTS = 1000


def part_of(target: FleetSize, share: float) -> FleetSize:
    """Return a fleet with this share of everything but regions and models."""
    return FleetSize(
        max(2, round(target.nodes * share)),
        max(target.models, round(target.runners * share)),
        target.regions,
        max(1, round(target.zones * share)),
        max(1, round(target.tenants * share)),
        target.models,
    )


def zone_of(target: FleetSize, share: float) -> FleetSize:
    """Return one zone of the target with this share of its runners."""
    return FleetSize(
        max(1, round(target.nodes / target.zones)),
        max(1, round(target.runners / target.zones * share)),
        1,
        1,
        min(GATEWAY_TENANTS, target.tenants),
        1,
    )


def run_scale(
    target: FleetSize,
    seed: int,
    settings: RunSettings,
    steps: tuple[float, ...],
    command: str,
    progress: Callable[[str], None],
) -> ScaleReport:
    """Run every part; ``progress`` hears what has begun."""
    control_runs = []
    for share in steps:
        size = part_of(target, share)
        progress(f"control of {size.nodes} nodes, {size.runners} runners")
        control_runs.append(ControlRun(size, seed, settings).run())
    costs = []
    for share in GATEWAY_STEPS:
        size = zone_of(target, share)
        progress(f"one gateway before {size.runners} runners")
        costs.append(measure_costs(size, seed))
    progress("the machine list, and memory")
    machines = measure_machine_list(target)
    replica = measure_replica(target)
    memory = measure_memory(seed, target)
    return ScaleReport(
        command, target, tuple(control_runs), tuple(costs), memory, machines, replica
    )


def print_progress(text: str) -> None:
    """Tell on standard error what has begun."""
    print(text, file=sys.stderr, flush=True)
