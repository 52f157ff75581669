"""Soak a gateway's relay in virtual time under runners that break, fail and refuse, seed by seed.

    python tools/relay_soak.py --seeds 1-100

Prints a line for each seed: what there was to judge, and every broken promise. Ends with code 1
when some promise was broken. The short run of CI is ``features/relay/soak.feature``.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.relay_soak.soak import CONNECTIONS, RelaySoak  # noqa: E402


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20", help="one seed, or the first and the last one")
    parser.add_argument(
        "--whole-beginnings",
        action="store_true",
        help="have no stream lack its first event, or have it spoilt, or end without any",
    )
    parser.add_argument(
        "--connections", type=int, default=CONNECTIONS, help="clients' connections in each soak"
    )
    arguments = parser.parse_args()
    counts: Counter[str] = Counter()
    broken = []
    for seed in _seeds(arguments.seeds):
        soak = RelaySoak(seed, not arguments.whole_beginnings, arguments.connections)
        soak.run()
        counts += soak.counts
        if soak.violations:
            broken.append(seed)
        print(f"seed {seed}: {dict(soak.counts)}", *soak.violations, sep="\n  ", flush=True)
    print(f"seeds with broken promises: {broken or 'none'}; in all: {dict(counts)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
