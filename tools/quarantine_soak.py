"""Soak the quarantine of requests that end runners, in virtual time, seed by seed.

    python tools/quarantine_soak.py --seeds 1-50 --kind bodies
    python tools/quarantine_soak.py --seeds 17 --kind courses --trace

Prints a line for each seed: what there was to judge, and every broken promise. Ends with code 1
when some promise was broken. The short runs of CI are ``features/quarantine/soak.feature`` and, for
the courses, which have no network and no groups, ``features/quarantine/drawn_courses.feature``.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.common_cause_soak import CommonCauseSoak  # noqa: E402
from features.support.part_soak import PartSoak  # noqa: E402
from features.support.quarantine_courses import QuarantineCourse  # noqa: E402
from features.support.quarantine_soak import QuarantineSoak  # noqa: E402
from features.support.trial_crash_soak import TrialCrashSoak  # noqa: E402
from loguru import logger  # noqa: E402

KINDS = {
    "bodies": QuarantineSoak,
    "parts": PartSoak,
    "common-cause": CommonCauseSoak,
    "trial-crashes": TrialCrashSoak,
    "courses": QuarantineCourse,
}


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20", help="the first and the last one")
    parser.add_argument("--kind", choices=sorted(KINDS), default="bodies")
    parser.add_argument("--trace", action="store_true", help="print the events of each course")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    logger.remove()
    counts: Counter[str] = Counter()
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = KINDS[arguments.kind](seed)
        soak.run()
        counts += soak.counts
        broken += bool(soak.violations)
        if arguments.trace and isinstance(soak, QuarantineCourse):
            print("\n".join(soak.trace))
        print(f"seed {seed}: {soak.violations or 'clean'} {dict(soak.counts)}", flush=True)
    print(f"{broken} seeds broken; {dict(counts)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
