"""The whole scale run: control at several sizes, one gateway by itself, memory."""

import sys
from collections.abc import Callable

from rainsail.scale.control_run import ControlRun, RunSettings, resident_bytes
from rainsail.scale.gateway_memory import measure_memory
from rainsail.scale.gateway_run import measure_costs
from rainsail.scale.report import ScaleReport
from rainsail.scale.workload import FleetSize

STEPS = (0.25, 0.5, 1.0)
"""Sizes of the control runs, as parts of the target."""
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
    bare_process_bytes = resident_bytes()
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
    progress("memory of one gateway")
    memory = measure_memory(seed)
    return ScaleReport(
        command, target, tuple(control_runs), tuple(costs), memory, bare_process_bytes
    )


def print_progress(text: str) -> None:
    """Tell on standard error what has begun."""
    print(text, file=sys.stderr, flush=True)
