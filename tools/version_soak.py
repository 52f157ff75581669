"""Soak the origins of streams and items while runners change their versions, in virtual time.

    python tools/version_soak.py --seeds 1-50
    python tools/version_soak.py --seeds 1-50 --kind partitions

Prints a line for each seed. Ends with code 1 when a stream or a text has events of two versions.
The short run of CI is ``features/relay/version_soak.feature``.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.version_partition_soak import VersionPartitionSoak  # noqa: E402
from features.support.version_soak import VersionSoak  # noqa: E402
from loguru import logger  # noqa: E402

KINDS = {"restarts": VersionSoak, "partitions": VersionPartitionSoak}


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20", help="the first and the last one")
    parser.add_argument("--kind", choices=sorted(KINDS), default="restarts", help="of the faults")
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
        print(f"seed {seed}: {soak.violations or 'clean'} {dict(soak.counts)}", flush=True)
    print(f"{broken} seeds broken; {dict(counts)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
