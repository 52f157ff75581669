"""One bench on an earlier commit and on the working tree, alternately, with ratios.

The earlier commit's source is checked out into a temporary git worktree; the benches themselves
are taken from the working tree, so that both sides run the same measurement. Prints one line per
run and ends in one JSON object: for each figure the medians of both sides and their ratio.

    python tools/bench_against.py COMMIT BENCH [--rounds N] [--own-benches] [--seconds=3 ...]

BENCH is a name of ``rainsail bench``; further arguments are given to the bench. With
``--own-benches`` each side runs the benches of its own commit, for when the earlier source lacks
what the working tree's benches call.
"""

import argparse
import json
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = "from rainsail.cli.main import main; main()"
SHARED = ("src/rainsail/benchmarks", "src/rainsail/cli/bench.py")
"""What both sides take from the working tree."""
RUN_TIMEOUT_S = 600


def git(*words: str) -> None:
    """Run a git command in the repository."""
    subprocess.run(["git", "-C", str(ROOT), *words], check=True, stdout=subprocess.DEVNULL)


def overlay(tree: Path) -> None:
    """Put the working tree's benches into an earlier tree."""
    for name in SHARED:
        source, target = ROOT / name, tree / name
        if source.is_dir():
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, target)


def run_bench(tree: Path, bench: str, arguments: list[str]) -> dict[str, Any]:
    """Run a bench on a tree and return its JSON."""
    command = [sys.executable, "-c", PROGRAM, "bench", bench, *arguments]
    environment = {**os.environ, "PYTHONPATH": str(tree / "src")}
    finished = subprocess.run(
        command, env=environment, stdout=subprocess.PIPE, text=True, timeout=RUN_TIMEOUT_S
    )
    if finished.returncode:
        raise SystemExit(f"{bench} on {tree} ended with {finished.returncode}")
    figures: dict[str, Any] = json.loads(finished.stdout.strip().splitlines()[-1])
    return figures


def numbers(value: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """Yield every number in a JSON value with its path."""
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield path, float(value)
    elif isinstance(value, dict):
        for key, each in value.items():
            yield from numbers(each, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        for place, each in enumerate(value):
            yield from numbers(each, f"{path}[{place}]")


def compare(earlier: list[dict[str, Any]], now: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the medians and the ratio now / earlier of every figure that both sides have."""
    sides = [_medians(earlier), _medians(now)]
    return {
        name: {
            "earlier": sides[0][name],
            "now": sides[1][name],
            "ratio": round(sides[1][name] / sides[0][name], 3) if sides[0][name] else None,
        }
        for name in sides[0]
        if name in sides[1]
    }


def _medians(runs: list[dict[str, Any]]) -> dict[str, float]:
    gathered: dict[str, list[float]] = {}
    for run in runs:
        for name, value in numbers(run):
            gathered.setdefault(name, []).append(value)
    return {name: statistics.median(values) for name, values in gathered.items()}


def main(arguments: argparse.Namespace, parameters: list[str]) -> None:
    """Run both sides alternately and print the comparison."""
    runs: dict[str, list[dict[str, Any]]] = {"earlier": [], "now": []}
    with tempfile.TemporaryDirectory(prefix="against-") as folder:
        tree = Path(folder) / "earlier"
        git("worktree", "add", "--detach", str(tree), arguments.commit)
        try:
            if not arguments.own_benches:
                overlay(tree)
            for number in range(arguments.rounds):
                sides = [("earlier", tree), ("now", ROOT)]
                for side, path in sides if number % 2 == 0 else reversed(sides):
                    figures = run_bench(path, arguments.bench, parameters)
                    runs[side].append(figures)
                    print(f"{side} {json.dumps(figures)}", flush=True)
        finally:
            git("worktree", "remove", "--force", str(tree))
    compared = compare(runs["earlier"], runs["now"])
    summary = {"commit": arguments.commit, "bench": arguments.bench, "rounds": arguments.rounds}
    print(json.dumps({**summary, "figures": compared}), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Compare a bench with an earlier commit.")
    parser.add_argument("commit")
    parser.add_argument("bench")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--own-benches", action="store_true")
    known, others = parser.parse_known_args()
    main(known, others)
