"""Soak the adapter's real processes on loopback under random faults, seed after seed.

    python tools/process_soak.py --seeds 2,3,4 --faults 20
    python tools/process_soak.py --seeds 1-50 --faults 3 --overlapping

With ``--overlapping`` each role has a series of so many faults, all at once, on a fleet whose size
is drawn from the seed. Prints one line a seed: its faults, what was served, and every broken
promise; the nodes' logs of a seed that broke one are kept. Ends with code 1 when some promise was
broken. The short runs of CI are in ``features/platform/soak.feature``.
"""

import argparse
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.overlapping_soak import draw_size, play  # noqa: E402
from features.support.platform_stand_in import StandInPlatform, wait_until  # noqa: E402
from features.support.process_soak import ProcessSoak, SoakResult  # noqa: E402


def soak(seed: int, faults: int, overlapping: bool) -> SoakResult:
    """Run one seed on a platform of its own."""
    size = draw_size(seed)
    counts = (size.controllers, size.storage, size.gateways) if overlapping else ()
    platform = StandInPlatform(*counts)
    try:
        if overlapping:
            result = play(seed, faults, platform, size)
        else:
            wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 503, "controllers")
            result = ProcessSoak(platform, seed).run(faults)
        if result.violations:
            folder = Path(tempfile.mkdtemp(prefix=f"process-soak-{seed}-"))
            platform.keep_logs(folder)
            print(f"seed {seed}: logs in {folder}", flush=True)
        return result
    finally:
        platform.close()


def _seeds(text: str) -> list[int]:
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="seeds or ranges of seeds, parted by commas")
    parser.add_argument("--faults", type=int, default=20, help="faults for each seed, or series")
    parser.add_argument("--overlapping", action="store_true", help="faults of all roles at once")
    arguments = parser.parse_args()
    broken = []
    seeds = _seeds(arguments.seeds)
    for seed in seeds:
        result = soak(seed, arguments.faults, arguments.overlapping)
        if result.violations:
            broken.append(seed)
        print(f"seed {seed}: {result}", *result.violations, sep="\n  ", flush=True)
    print(f"{len(seeds)} seeds; with broken promises: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
