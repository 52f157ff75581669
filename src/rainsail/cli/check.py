"""``rainsail check``: holds the product's own code against its stated properties."""

import dataclasses
import json
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.output import progress_bar
from rainsail.consensus.model_check import ModelCheckResult, run_model_check
from rainsail.simulation.consensus_defects import CONSENSUS_DEFECTS, consensus_defect

DEFAULT_SCHEDULES = 1_000
MAX_REPORTED_VIOLATIONS = 20


class CheckCommands:
    """Run checks; exit code 3 when a property does not hold."""

    def consensus(
        self, schedules: int = DEFAULT_SCHEDULES, seed: int = 1, defect: str = ""
    ) -> None:
        """Run random schedules of the consensus core against its safety properties.

        Schedule i of SEED is schedule 0 of SEED + i. With --defect a known-bad variant is run
        instead, which the check must find. The last line on stdout is one JSON object. Exit code
        0 when every property held, 2 for bad input, 3 with a violation.
        """
        _check_whole(schedules, "--schedules", 1)
        _check_whole(seed, "--seed", 0)
        if defect and defect not in CONSENSUS_DEFECTS:
            raise bad_input(f"--defect: expected one of {', '.join(CONSENSUS_DEFECTS)}")
        with consensus_defect(defect), progress_bar("schedules", schedules) as bar:
            result = run_model_check(schedules, seed, bar.advance)
        print(json.dumps(_report(result, seed, defect)), flush=True)
        if result.violations:
            raise CommandEnd(ExitCode.VIOLATION)


def _check_whole(value: Any, flag: str, least: int) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise bad_input(f"{flag}: expected a whole number of at least {least}, got {value!r}")


def _report(result: ModelCheckResult, seed: int, defect: str) -> dict[str, Any]:
    shown = result.violations[:MAX_REPORTED_VIOLATIONS]
    return {
        "schedules": result.schedules,
        "seed": seed,
        "defect": defect,
        "violations": [dataclasses.asdict(violation) for violation in shown],
        "violation_count": len(result.violations),
        **dataclasses.asdict(result.coverage),
    }
