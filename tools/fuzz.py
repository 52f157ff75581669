"""Run the fuzzing features with other and more examples than CI does.

    python tools/fuzz.py [--times 20] [--seed N] [FEATURE ...]

``--times`` multiplies the number of examples. Without ``--seed`` one is drawn and printed, so that
a failure can be repeated. Exits with behave's code.
"""

import argparse
import os
import secrets
import subprocess
import sys
from pathlib import Path

FEATURES = Path("features/fuzz")
SEED_BITS = 32


def main() -> int:
    """Run behave over the features with the environment that ``support.fuzz`` reads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=int, default=20)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("features", nargs="*", default=[str(FEATURES)])
    arguments = parser.parse_args()
    seed = secrets.randbits(SEED_BITS) if arguments.seed is None else arguments.seed
    print(f"seed {seed}, {arguments.times} times the examples", flush=True)
    environment = {
        **os.environ,
        "RAINSAIL_FUZZ_EXAMPLES": str(arguments.times),
        "RAINSAIL_FUZZ_SEED": str(seed),
    }
    command = [sys.executable, "-m", "behave", "--no-capture", "-f", "progress"]
    return subprocess.run([*command, *arguments.features], env=environment).returncode


if __name__ == "__main__":
    sys.exit(main())
