"""Soak a gateway's relay in virtual time under runners that break, fail and refuse, seed by seed.

    python tools/relay_soak.py --seeds 1-100
    python tools/relay_soak.py --seeds 1-50 --whole-beginnings --crashes

Prints a line for each seed: what there was to judge, and every broken promise. Ends with code 1
when some promise was broken. The short run of CI is ``features/relay/soak.feature``.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.relay_soak.fault_options import add_fault_options, faults_of  # noqa: E402
from features.support.relay_soak.soak import CONNECTIONS, RelaySoak  # noqa: E402


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _without_request(violation: str) -> str:
    """Return a violation with the kind of its request, but not the request's name."""
    kind, _, rest = violation.partition(" request ")
    return f"{kind}: {rest.partition(': ')[2]}" if rest else violation


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
    add_fault_options(parser)
    arguments = parser.parse_args()
    faults = faults_of(arguments)
    counts: Counter[str] = Counter()
    words: Counter[str] = Counter()
    broken = []
    for seed in _seeds(arguments.seeds):
        spoils_beginnings = not arguments.whole_beginnings
        soak = RelaySoak(seed, spoils_beginnings, arguments.connections, faults=faults)
        soak.run()
        counts += soak.counts
        words.update(_without_request(each) for each in soak.violations)
        if soak.violations:
            broken.append(seed)
        print(f"seed {seed}: {dict(soak.counts)}", *soak.violations, sep="\n  ", flush=True)
    for each, count in words.most_common():
        print(f"{count} times: {each}")
    print(f"seeds with broken promises: {broken or 'none'}; in all: {dict(counts)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
