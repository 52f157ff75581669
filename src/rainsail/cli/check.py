"""``rainsail check``: checks the consensus core and recorded histories for violations."""

import dataclasses
import json
from collections import Counter
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.output import progress_bar
from rainsail.consensus.model_check import ModelCheckResult, run_model_check
from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.checkers.suite import all_checkers
from rainsail.experiment.history import History, read_history
from rainsail.experiment.history_rules import history_problem
from rainsail.simulation.consensus_defects import CONSENSUS_DEFECTS, consensus_defect
from rainsail.wire.codec import CodecError

DEFAULT_SCHEDULES = 1_000
MAX_REPORTED_VIOLATIONS = 20


class CheckCommands:
    """Run checkers; exit code 3 when a property is violated."""

    def consensus(
        self, schedules: int = DEFAULT_SCHEDULES, seed: int = 1, defect: str = ""
    ) -> None:
        """Run random schedules of the consensus core against its safety properties.

        Schedule i of SEED is schedule 0 of SEED + i. With --defect, a known-bad variant runs
        instead, in which the check has to find a violation. The last line on stdout is one JSON
        object. Exit code 0 when every property holds, 2 for invalid input, 3 for a violation.
        """
        _check_whole_number(schedules, "--schedules", 1)
        _check_whole_number(seed, "--seed", 0)
        if defect and defect not in CONSENSUS_DEFECTS:
            raise bad_input(f"--defect: expected one of {', '.join(CONSENSUS_DEFECTS)}")
        with consensus_defect(defect), progress_bar("schedules", schedules) as bar:
            result = run_model_check(schedules, seed, bar.advance)
        print(json.dumps(_model_check_report(result, seed, defect)), flush=True)
        if result.violations:
            raise CommandEnd(ExitCode.VIOLATION)

    def history(self, file: str) -> None:
        """Run every checker over a recorded history, as written by ``simulate --history``.

        The test rig writes such histories, too. The last line on stdout is one JSON object. Exit
        code 0 when no checker found a violation, 2 when FILE is not a valid history, 3 for a
        violation.
        """
        history = _read_history(Path(str(file)))
        found = _check_history(history)
        print(json.dumps(_history_report(str(file), history, found)), flush=True)
        if found:
            raise CommandEnd(ExitCode.VIOLATION)


def _read_history(path: Path) -> History:
    if not path.is_file():
        raise bad_input(f"{path}: no such file")
    with progress_bar("bytes read", path.stat().st_size) as bar:
        try:
            history = read_history(path, bar.advance)
        except CodecError as error:
            raise bad_input(str(error)) from None
    problem = history_problem(history)
    if problem:
        raise bad_input(f"{path}: {problem}")
    return history


def _check_history(history: History) -> list[Violation]:
    checkers = all_checkers()
    found: list[Violation] = []
    with progress_bar("checkers", len(checkers)) as bar:
        for checker in checkers:
            violations = checker.check(history)
            found += violations
            bar.advance()
            print(f"{checker.name:20} {len(violations)} violations")
    return found


def _history_report(file: str, history: History, found: list[Violation]) -> dict[str, Any]:
    names = (type(event).__name__ for event in history.events)
    return {
        "file": file,
        "history_sha256": history.sha256(),
        "events": len(history.events),
        "events_by_type": dict(sorted(Counter(names).items())),
        "checkers": [checker.name for checker in all_checkers()],
        "violations": [dataclasses.asdict(each) for each in found[:MAX_REPORTED_VIOLATIONS]],
        "violation_count": len(found),
    }


def _check_whole_number(value: Any, flag: str, minimum: int) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise bad_input(f"{flag}: expected a whole number of at least {minimum}, got {value!r}")


def _model_check_report(result: ModelCheckResult, seed: int, defect: str) -> dict[str, Any]:
    shown = result.violations[:MAX_REPORTED_VIOLATIONS]
    return {
        "schedules": result.schedules,
        "seed": seed,
        "defect": defect,
        "violations": [dataclasses.asdict(violation) for violation in shown],
        "violation_count": len(result.violations),
        **dataclasses.asdict(result.coverage),
    }
