"""``python -m rig``: run a site's real daemons under load and failures, and check the run.

The last line on stdout is one JSON object. Exit codes: 0 for a clean run, 1 when the rig itself
failed, 2 for bad input, 3 for violations.
"""

import json
import shutil
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import Any

import fire
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from rainsail.cli.exit_codes import ExitCode
from rig.layout import SITE_NAMES, RigOptions, SiteLayout
from rig.plan import SHORT, RunPlan, long_plan
from rig.run import RigResult, RigRun, result_tree

DEFAULT_FAILURES_S = 180.0
SHORT_WAIT_LIMIT_S = 90.0
LONG_WAIT_LIMIT_S = 240.0
FAST_WEIGHTS = {"bytes_per_second": 2e10}
MACHINE_LIST_LAG = {"lag_s": 2.0}


ALL_SITES = "all"


def rig(
    site: str,
    seed: int = 1,
    short: bool = False,
    seconds: float = DEFAULT_FAILURES_S,
    time_limit_s: float = 900.0,
    history: str = "",
    keep: str = "",
) -> None:
    """Run a site's daemons on loopback and check what callers and operators observed.

    Args:
        site: guayaquil, taoyuan, or all for both, one after the other.
        seed: Seed of the start order, the failures and the load.
        short: Run the fixed short list of failures, with one engine process per zone.
        seconds: Duration of random failures (a run with 180 s takes some minutes).
        time_limit_s: Time after which the command is aborted and counts as failed.
        history: Write the history (of the last site) to this file, for `rainsail check history`.
        keep: Keep settings, data and logs in this folder, which must not exist.
    """
    if site != ALL_SITES and site not in SITE_NAMES:
        _end(
            f"site: expected {ALL_SITES}, {' or '.join(SITE_NAMES)}, got {site!r}",
            ExitCode.BAD_INPUT,
        )
    folder = Path(keep) if keep else Path(tempfile.mkdtemp(prefix="rainsail-rig-"))
    if keep and folder.exists():
        _end(f"keep: {folder} exists already", ExitCode.BAD_INPUT)
    plan = SHORT if short else long_plan(seconds)
    wait_limit_s = SHORT_WAIT_LIMIT_S if short else LONG_WAIT_LIMIT_S
    sites = SITE_NAMES if site == ALL_SITES else (site,)
    layouts = [SiteLayout(_options(each, folder / each, short, plan)) for each in sites]
    runs = [RigRun(layout, seed, plan, wait_limit_s) for layout in layouts]
    try:
        results = _run_reactor(runs, time_limit_s)
        if history:
            runs[-1].write(Path(history))
        for run, result in zip(runs, results, strict=True):
            for line in run.evidence(result):
                _log(line)
    finally:
        for run in runs:
            run.fleet.end()
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)
    _report(results, site == ALL_SITES)


def _report(results: list[RigResult], several: bool) -> None:
    """Print the result line and exit."""
    trees = [result_tree(result) for result in results]
    violations = sum(len(result.violations) for result in results)
    last_line = {"violation_count": violations, "runs": trees} if several else trees[0]
    print(json.dumps(last_line), flush=True)
    sys.exit(ExitCode.VIOLATION if violations else ExitCode.DONE)


def _options(site: str, folder: Path, short: bool, plan: RunPlan) -> RigOptions:
    overrides: dict[str, dict[str, Any]] = {
        "consensus": {"repair_after_s": plan.repair_after_s},
        "weight_store": FAST_WEIGHTS,
        "machine_list": MACHINE_LIST_LAG,
        "logs": {"print_level": "DEBUG"},
    }
    return RigOptions(site, folder.resolve(), not short, overrides)


async def _run_all(runs: list[RigRun]) -> list[RigResult]:
    return [await run.run(_log) for run in runs]


def _run_reactor(runs: list[RigRun], time_limit_s: float) -> list[RigResult]:
    """Run on the reactor; exit when the rig itself fails or exceeds its time limit."""
    from twisted.internet import reactor as the_reactor

    reactor: Any = the_reactor
    ends: list[Any] = []

    def finish(end: Any) -> None:
        ends.append(end)
        if reactor.running:
            reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(_run_all(runs)).addBoth(finish)

    reactor.callWhenRunning(begin)
    reactor.callLater(time_limit_s, finish, None)
    reactor.run()
    if not ends or ends[0] is None:
        _end(f"ended after {time_limit_s:g} s", ExitCode.FAILED)
    if isinstance(ends[0], Failure):
        traceback.print_exception(ends[0].value)
        _end(repr(ends[0].value), ExitCode.FAILED)
    results: list[RigResult] = ends[0]
    return results


def _log(line: str) -> None:
    print(f"rig: {time.strftime('%H:%M:%S')} {line}", file=sys.stderr, flush=True)


def _end(message: str, code: ExitCode) -> None:
    print(f"rig: {message}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    fire.Fire(rig, name="rig")
