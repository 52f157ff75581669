"""``rainsail scale``: the design size on one machine, as slopes."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.output import print_json_line
from rainsail.scale.control_run import RunSettings
from rainsail.scale.design_size import DESIGN_SIZE
from rainsail.scale.report import summary_line, write_report
from rainsail.scale.scale_run import STEPS, print_progress, run_scale
from rainsail.scale.workload import FleetSize


def scale(
    nodes: int = DESIGN_SIZE.nodes,
    runners: int = DESIGN_SIZE.runners,
    regions: int = DESIGN_SIZE.regions,
    zones: int = DESIGN_SIZE.zones,
    tenants: int = DESIGN_SIZE.tenants,
    seed: int = 1,
    churn_factor: float = RunSettings().churn_factor,
    report: str = "reports/scale",
) -> None:
    """Measure what control and a gateway cost, at a quarter, half and all of a size.

    Args:
        nodes: gateways of the whole fleet; all but one are hollow and share this process.
        runners: model engines of the whole fleet; they only report their load.
        regions: regions of the fleet.
        zones: zones of the fleet.
        tenants: tenants of the fleet.
        seed: messages, bytes and delays depend on it alone; processor time and memory do not.
        churn_factor: how much faster than 3,100 a day over 380 nodes the restarts come.
        report: folder of scale.json and the plots.

    The last line on stdout is one JSON object.
    """
    if min(nodes, runners, regions, zones, tenants) < 1 or nodes < 2 * len(STEPS):
        raise bad_input(f"--nodes: expected at least {2 * len(STEPS)}, every other count 1 or more")
    target = FleetSize(nodes, runners, regions, zones, tenants)
    command = (
        f"rainsail scale --nodes {nodes} --runners {runners} --regions {regions} --zones {zones}"
        f" --tenants {tenants} --seed {seed} --churn_factor {churn_factor:g}"
    )
    settings = RunSettings(churn_factor=churn_factor)
    measured = run_scale(target, seed, settings, STEPS, command, print_progress)
    print(f"report: {write_report(measured, Path(report))}")
    print_json_line(summary_line(measured))
