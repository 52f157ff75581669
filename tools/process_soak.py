"""Soak the adapter's real processes on loopback under random faults, seed after seed.

    python tools/process_soak.py --seeds 2,3,4 --faults 20

Prints one line a seed: its faults, what was served, and every broken promise. Ends with code 1
when some promise was broken. The short run of CI is ``features/platform/soak.feature``.
"""

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.platform_stand_in import StandInPlatform, wait_until  # noqa: E402
from features.support.process_soak import ProcessSoak, SoakResult  # noqa: E402


def soak(seed: int, faults: int) -> SoakResult:
    """Run one seed on a platform of its own."""
    platform = StandInPlatform()
    try:
        wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 503, "controllers")
        return ProcessSoak(platform, seed).run(faults)
    finally:
        platform.close()


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="seeds, parted by commas")
    parser.add_argument("--faults", type=int, default=20, help="faults for each seed")
    arguments = parser.parse_args()
    broken = 0
    for seed in map(int, arguments.seeds.split(",")):
        result = soak(seed, arguments.faults)
        broken += len(result.violations)
        print(f"seed {seed}: {result}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
