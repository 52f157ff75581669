"""Run every behave feature in parallel worker processes and add up behave's own results.

The features of an area share one process, since loading all steps takes longer than most features;
those that take long run by themselves, and first. Those that measure what processes hold run one
after the other, when nothing else runs any more.

Prints each failing worker's output whole, the slowest workers, and ends with one line,
``scenarios: N passed, N failed``. Exits 1 when a scenario failed, when a worker
ended without a result, or when no scenario ran at all.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

WORKER_TIMEOUT_S = 900
KNOWN_RED_FILE = Path("KNOWN-RED.txt")
LONG_AREAS = (
    "rig",
    "quarantine",
    "platform",
    "fleet",
    "demo",
    "simulation",
    "experiment",
    "benchmarks",
    "cli",
    "compatibility",
)
"""Areas whose features run in a process each."""
APART_AREAS = ("crowds",)
"""Areas whose features run one after the other, apart from all others."""
SHOWN_SLOWEST = 5


@dataclass(frozen=True)
class WorkerResult:
    """What behave reported for the feature files of one process.

    ``failures`` has the name of each failed scenario, and the message of the step that failed.
    """

    features: tuple[Path, ...]
    passed: int
    failures: tuple[tuple[str, str], ...]
    exit_code: int
    output: str
    took_s: float

    @property
    def name(self) -> str:
        """The file, or the area when there are several."""
        first = self.features[0]
        return str(first if len(self.features) == 1 else first.parent)


def grouped(features: list[Path]) -> list[tuple[Path, ...]]:
    """Return the files of each process that may run beside others, those that take long first."""
    areas: dict[str, list[Path]] = {}
    alone: list[tuple[Path, ...]] = []
    for feature in features:
        area = feature.parent.name
        if area in APART_AREAS:
            continue
        if area in LONG_AREAS:
            alone.append((feature,))
        else:
            areas.setdefault(area, []).append(feature)
    alone.sort(key=lambda files: LONG_AREAS.index(files[0].parent.name))
    return alone + [tuple(files) for files in areas.values()]


def run_features(features: tuple[Path, ...]) -> WorkerResult:
    """Run feature files in one process and read behave's JSON report."""
    begun_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["-f", "json", "-o", str(report), "-f", "plain"]
        command += [str(feature) for feature in features]
        environment = {**os.environ, "PYTHONHASHSEED": os.environ.get("PYTHONHASHSEED", "0")}
        finished = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=WORKER_TIMEOUT_S,
            env=environment,
        )
        scenarios = read_scenarios(report)
    passed = sum(1 for _, status, _ in scenarios if status == "passed")
    failures = tuple((name, message) for name, status, message in scenarios if status != "passed")
    took_s = time.monotonic() - begun_s
    return WorkerResult(features, passed, failures, finished.returncode, finished.stdout, took_s)


def read_scenarios(report: Path) -> list[tuple[str, str, str]]:
    """Return (scenario name, status, message) for each scenario in a behave JSON report."""
    if not report.exists() or not report.read_text().strip():
        return []
    found = []
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            status = element.get("status", "untested")
            found.append((element["name"].strip(), status, failure_message(element)))
    return found


def failure_message(element: dict[str, Any]) -> str:
    """Return what the failed step of a scenario said, empty when none has failed."""
    for step in element.get("steps", []):
        message = step.get("result", {}).get("error_message")
        if message:
            return message if isinstance(message, str) else "\n".join(message)
    return ""


def known_red() -> dict[str, str]:
    """Return the scenario names listed in KNOWN-RED.txt with their lines."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    lines = [line for line in lines if not line.startswith("#")]
    return {line.split(" | ")[0].strip(): line for line in lines}


def main() -> int:
    """Run all features (or those named on the command line); return the exit code."""
    features = [Path(name) for name in sys.argv[1:]] or sorted(Path("features").rglob("*.feature"))
    with ThreadPoolExecutor(os.cpu_count() or 2) as pool:
        results = list(pool.map(run_features, grouped(features)))
    apart = [feature for feature in features if feature.parent.name in APART_AREAS]
    results += [run_features((feature,)) for feature in apart]
    listed = known_red()
    failed = []
    broken = []
    for result in results:
        bad = [name for name, _ in result.failures if name not in listed]
        failed += bad
        if bad or (result.exit_code != 0 and not result.failures):
            print(result.output)
        if result.exit_code != 0 and not result.failures:
            broken.append(result.name)
        for name, message in result.failures:
            if name in listed:
                # Another failure than the listed one may stand behind the same name.
                print(f"known red: {listed[name]}\n{message}")
    passed = sum(result.passed for result in results)
    for name in broken:
        print(f"no result from {name}")
    for name in failed:
        print(f"failed: {name}")
    slowest = sorted(results, key=lambda result: -result.took_s)[:SHOWN_SLOWEST]
    print("slowest: " + ", ".join(f"{each.name} {each.took_s:.0f} s" for each in slowest))
    print(f"scenarios: {passed} passed, {len(failed) + len(broken)} failed")
    return 0 if passed and not failed and not broken else 1


if __name__ == "__main__":
    sys.exit(main())
