"""Run every pair of failures on a simulated site and check each history.

    python tools/fault_pairs.py [--site NAME] [--seed N] [--processes N] [--only KIND]

The two failures of a pair overlap; a kind paired with itself hits two targets. The last line on
stdout is one JSON object; exit code 3 when a checker found a violation.
"""

import itertools
import json
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

import fire

from rainsail.cli.output import progress_bar
from rainsail.experiment.checkers.interface import Violation
from rainsail.simulation.fault_plan import (
    FaultAction,
    FaultKind,
    FaultPlan,
    draw_duration_s,
    draw_target,
)
from rainsail.simulation.run import SimulationRun
from rainsail.simulation.site_plan import SITES

MINUTES = 1.0
FIRST_START_S = 12.0
SECOND_START_S = 13.5
EXIT_VIOLATION = 3
DISKS_LOST = {FaultKind.REPLICA_DISK_LOSS: 1, FaultKind.SECOND_LOSS_AFTER_REPAIR: 2}
DISKS_BORNE = 2
"""Disks that a group of five may lose at once; with a third one its quorum is gone for good."""


@dataclass(frozen=True, slots=True)
class PairResult:
    """What the run of one pair came to."""

    first: FaultKind
    second: FaultKind
    violations: tuple[Violation, ...]


def pair_plan(run: SimulationRun, first: FaultKind, second: FaultKind, seed: int) -> FaultPlan:
    """Return the plan of one pair; the targets are drawn, two different ones for one kind."""
    draw = random.Random(f"{seed}/{first}/{second}")
    targets = run.fleet.targets()
    actions: list[FaultAction] = []
    for kind, start_s in ((first, FIRST_START_S), (second, SECOND_START_S)):
        target = draw_target(draw, kind, targets)
        while target and any(action.target == target for action in actions):
            target = draw_target(draw, kind, targets)
        duration_s = draw_duration_s(draw, kind)
        actions.append(
            FaultAction(kind=kind, target=target, start_s=start_s, duration_s=duration_s)
        )
    return FaultPlan(actions=tuple(actions))


def run_pair(site: str, first: FaultKind, second: FaultKind, seed: int) -> PairResult:
    """Run one pair in this process."""
    run = SimulationRun(SITES[site](), seed, MINUTES)
    result = run.run(pair_plan(run, first, second, seed))
    return PairResult(first, second, result.violations)


def pairs(only: str) -> Iterator[tuple[FaultKind, FaultKind]]:
    """Yield every pair that a group of five replicas has to bear, or those with one kind."""
    for first, second in itertools.combinations_with_replacement(FaultKind, 2):
        if DISKS_LOST.get(first, 0) + DISKS_LOST.get(second, 0) > DISKS_BORNE:
            continue
        if not only or only in (first, second):
            yield first, second


def main(site: str = "guayaquil", seed: int = 1, processes: int = 2, only: str = "") -> None:
    """Run the pairs in a few processes and print what came of them."""
    wanted = list(pairs(only))
    with ProcessPoolExecutor(processes) as pool, progress_bar("pairs", len(wanted)) as bar:
        runs = [pool.submit(run_pair, site, first, second, seed) for first, second in wanted]
        results = []
        for each in runs:
            results.append(each.result())
            bar.advance(1)
    failed = [asdict(result) for result in results if result.violations]
    print(json.dumps({"site": site, "seed": seed, "pairs": len(results), "failed": failed}))
    if failed:
        sys.exit(EXIT_VIOLATION)


if __name__ == "__main__":
    fire.Fire(main)
