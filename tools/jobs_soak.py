"""Soak jobs, tables and zone drains in virtual time under faults of controllers and storage nodes.

    python tools/jobs_soak.py --seeds 1-25
    python tools/jobs_soak.py --seeds 1028 --long-items 100

    python tools/jobs_soak.py --seeds 1-50 --failing-items

    python tools/jobs_soak.py --seeds 1-50 --crashes

With ``--failing-items`` most items fail at every run while leaders of the ledger are lost. With
``--crashes`` and the other kinds of faults, answers of runners break, and no node does.

Prints a line for each seed: how many faults struck, what was accepted and finished, and every
broken promise. Ends with code 1 when some promise was broken. The short run of CI is
``features/jobs/soak.feature``.
"""

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support import failing_item_soak  # noqa: E402
from features.support.item_answer_soak import ItemAnswerSoak  # noqa: E402
from features.support.relay_soak.course_faults import NO_FAULTS  # noqa: E402
from features.support.relay_soak.fault_options import add_fault_options, faults_of  # noqa: E402
from features.support.relayed_soak import RelayedSoak, SoakPlan  # noqa: E402
from features.support.relayed_soak_plans import long_items, play, play_long_items  # noqa: E402


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _told(soak: RelayedSoak) -> str:
    accepted = [job for job in soak.jobs.values() if job.accepted_s is not None]
    finished = sum(job.results.is_whole() for job in accepted)
    return (
        f"{len(soak.faults)} faults, {len(accepted)} jobs accepted, {finished} finished, "
        f"{len(soak.zone_orders)} zone drains"
    )


def _played(seed: int, arguments: argparse.Namespace) -> tuple[str, list[str]]:
    """Play a seed; return what it has seen, and each broken promise."""
    faults = faults_of(arguments)
    if faults != NO_FAULTS:
        answers = ItemAnswerSoak(seed, faults)
        answers.run()
        return str(dict(answers.counts)), answers.violations
    if arguments.failing_items:
        failing = failing_item_soak.play(seed, arguments.seconds)
        return failing.summary(), failing.violations
    if arguments.long_items:
        soak = play_long_items(seed, long_items(arguments.seconds, arguments.long_items))
    else:
        soak = play(seed, SoakPlan(arguments.seconds))
    return _told(soak), soak.violations


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="one seed, or the first and the last one")
    parser.add_argument("--seconds", type=float, default=60, help="virtual seconds under faults")
    parser.add_argument("--long-items", type=int, default=0, help="events of each item, if long")
    parser.add_argument("--failing-items", action="store_true", help="items that fail")
    add_fault_options(parser)
    arguments = parser.parse_args()
    broken, violated = [], 0
    for seed in _seeds(arguments.seeds):
        told, violations = _played(seed, arguments)
        violated += len(violations)
        if violations:
            broken.append(seed)
        print(f"seed {seed}: {told}", *violations, sep="\n  ", flush=True)
    print(f"seeds with broken promises: {broken or 'none'}; {violated} broken promises in all")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
