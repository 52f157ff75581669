"""The SHA-256 of simulated histories, kept to show that a change changes nothing that is decided.

``features/compatibility/data/simulated_histories.txt`` holds a line for each site and seed, for one
virtual minute with faults of every kind. ``python -m features.support.compatibility_histories``
plays all of them, or the seeds named as arguments, and exits with 1 when one differs. A commit
that changes decisions, or renames a record of the history itself, writes the file anew and says so.
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DATA_FILE = Path(__file__).parent.parent / "compatibility" / "data" / "simulated_histories.txt"
VIRTUAL_MINUTES = 1
RUNS_AT_ONCE = 2
"""Each takes a core; a whole test run shares the machine."""


@dataclass(frozen=True)
class PinnedHistory:
    """The history of one simulated run."""

    site: str
    seed: int
    sha256: str


def pinned_histories() -> tuple[PinnedHistory, ...]:
    """Read the pinned histories."""
    rows = [line.split() for line in DATA_FILE.read_text().splitlines()]
    return tuple(PinnedHistory(site, int(seed), sha256) for site, seed, sha256 in rows)


def played_sha256(site: str, seed: int) -> str:
    """Play a run in a process of its own and return the hash of its history."""
    program = "from rainsail.cli.main import main; main()"
    command = [sys.executable, "-c", program, "simulate", "--site", site, "--seed", str(seed)]
    command += ["--minutes", str(VIRTUAL_MINUTES)]
    done = subprocess.run(command, capture_output=True, text=True)
    sha256: str = json.loads(done.stdout.splitlines()[-1])["history_sha256"]
    return sha256


def main() -> int:
    """Play the pinned runs, or those of the seeds named; return the exit code."""
    seeds = {int(each) for each in sys.argv[1:]}
    pinned = [each for each in pinned_histories() if not seeds or each.seed in seeds]
    with ThreadPoolExecutor(RUNS_AT_ONCE) as pool:
        found = list(pool.map(lambda each: played_sha256(each.site, each.seed), pinned))
    changed = [each for each, sha256 in zip(pinned, found, strict=True) if each.sha256 != sha256]
    for each in changed:
        print(f"changed: {each.site} seed {each.seed}")
    print(f"{len(pinned) - len(changed)} of {len(pinned)} histories are as pinned")
    return 1 if changed or not pinned else 0


if __name__ == "__main__":
    sys.exit(main())
