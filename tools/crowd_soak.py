"""Run crowds of clients beside faults over several seeds; some twenty seconds a seed.

``python tools/crowd_soak.py --seeds 1-50 --actions 8`` prints a line for each seed and exits 1 when
something did not hold. Run nothing else meanwhile: the peaks of memory are part of what is checked.
"""

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from features.steps.crowd_steps import KINDS
from features.support.crowd_soak import CrowdSoak


def main() -> int:
    """Run the seeds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--actions", type=int, default=8)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = CrowdSoak(seed, KINDS)
        try:
            soak.run(arguments.actions)
        except AssertionError as error:
            soak.problems.append(str(error))
        finally:
            soak.close()
        broken += bool(soak.problems)
        print(f"seed {seed}: {'; '.join(soak.problems) or 'held'} | {'; '.join(soak.course)}")
        sys.stdout.flush()
    print(f"{broken} of the seeds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
