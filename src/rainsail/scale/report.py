"""Writes a scale run: one JSON file, one plot per group of slopes."""

import json
import os
import platform
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt

from rainsail.scale.control_run import ControlRunResult
from rainsail.scale.gateway_memory import KeptMemory
from rainsail.scale.gateway_run import GatewayCosts
from rainsail.scale.machine_list_cost import MachineListCost
from rainsail.scale.quantities import Slope, control_quantities, gateway_quantities, slopes
from rainsail.scale.replica_cost import ReplicaCost
from rainsail.scale.workload import FleetSize

DOTS_PER_INCH = 110
PLOT_COLUMNS = 3
REPORT_NAME = "scale.json"


@dataclass(frozen=True, slots=True)
class ScaleReport:
    """Everything that a scale run measured."""

    command: str
    target: FleetSize
    control_runs: tuple[ControlRunResult, ...]
    gateway_costs: tuple[GatewayCosts, ...]
    kept_memory: KeptMemory
    machine_list: MachineListCost
    replica: ReplicaCost

    def largest(self) -> ControlRunResult:
        """Return the control run of the most nodes."""
        return max(self.control_runs, key=lambda run: run.size.nodes)

    def slopes(self) -> list[Slope]:
        """Return every quantity's line."""
        control = [each for run in self.control_runs for each in control_quantities(run)]
        gateway = [each for run in self.gateway_costs for each in gateway_quantities(run)]
        return slopes(control) + slopes(gateway)


def machine() -> dict[str, Any]:
    """Return what the measured figures depend on."""
    return {
        "date": datetime.now(UTC).strftime("%Y-%m-%d"),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load_average": round(os.getloadavg()[0], 1),
    }


def report_json(report: ScaleReport) -> dict[str, Any]:
    """Return the report as plain values, exact figures apart from measured ones."""
    fitted = report.slopes()
    return {
        "command": report.command,
        "machine": machine(),
        "target": asdict(report.target),
        "exact": {each.name: _slope_json(each) for each in fitted if each.exact},
        "measured": {each.name: _slope_json(each) for each in fitted if not each.exact},
        "machine_list": asdict(report.machine_list),
        "replica": asdict(report.replica),
        "kept_memory": asdict(report.kept_memory),
        "resident_memory": asdict(report.largest().memory),
        "gateway_costs": [asdict(each) for each in report.gateway_costs],
        "runs": [asdict(each) for each in report.control_runs],
    }


def _slope_json(slope: Slope) -> dict[str, Any]:
    return {
        "unit": slope.unit,
        "over": slope.x_name,
        "sizes": list(slope.xs),
        "values": list(slope.values),
        "slope": slope.line.slope,
        "intercept": slope.line.intercept,
        "residual": slope.line.residual,
    }


def write_report(report: ScaleReport, folder: Path) -> Path:
    """Write the JSON file and the plots; return the JSON file's path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / REPORT_NAME
    path.write_text(json.dumps(report_json(report), indent=1) + "\n")
    fitted = report.slopes()
    for prefix in ("node", "leader", "follower", "gateway", "in_force"):
        chosen = [each for each in fitted if each.name.startswith(prefix)]
        if chosen:
            _plot(chosen, folder / f"{prefix}.png")
    return path


def _plot(chosen: list[Slope], path: Path) -> None:
    rows = -(-len(chosen) // PLOT_COLUMNS)
    figure, axes = plt.subplots(
        rows, PLOT_COLUMNS, figsize=(4.2 * PLOT_COLUMNS, 2.8 * rows), squeeze=False
    )
    for place, slope in zip(axes.flat, chosen, strict=False):
        place.plot(slope.xs, slope.values, "o", label="measured" if not slope.exact else "exact")
        ends = (min(slope.xs), max(slope.xs))
        place.plot(ends, [slope.line.at(x) for x in ends], "-", label="least squares")
        place.set_title(f"{slope.name} [{slope.unit}]", fontsize=8)
        place.set_xlabel(slope.x_name, fontsize=7)
        place.set_ylim(bottom=min(0.0, *slope.values))
        place.legend(fontsize=6)
    for place in list(axes.flat)[len(chosen) :]:
        place.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    plt.close(figure)


def summary_line(report: ScaleReport) -> dict[str, Any]:
    """Return the one JSON object that a run ends with."""
    largest = report.largest()
    return {
        "sizes": sorted(run.size.nodes for run in report.control_runs),
        "runners": largest.size.runners,
        "in_force_max_s": round(max(largest.in_force_s), 3),
        "missed_changes": sum(run.missed_changes for run in report.control_runs),
        "restarts": sum(run.restarts for run in report.control_runs),
        "peak_resident_mib": round(largest.memory.peak_bytes / 2**20),
        "wall_s": round(sum(run.wall_s for run in report.control_runs), 1),
        "slopes": {
            each.name: {"slope": each.line.slope, "at_largest": each.values[-1]}
            for each in report.slopes()
        },
    }
