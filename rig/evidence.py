"""Prints the evidence of a failed run: events, reads and log lines that name what was violated.

A run's folder is removed when it ends. The parts of the history and of the processes' logs that
name the subjects of the violations are therefore printed with the result, up to a limit.
"""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import FaultEnded, FaultInjected, FaultsEnded, History

MAX_LINES_PER_SOURCE = 150
"""Maximum lines per source and violation; of more, the first and the last half are printed."""
SUBJECT = re.compile(r"[\w./]+-[\w./-]*\d[\w-]*")
"""Names of jobs, requests, runners and processes in a violation: with a dash and a digit."""


@dataclass(frozen=True, slots=True)
class FileRead:
    """One complete answer to a read of a job's results; times are seconds of the run's clock."""

    sent_s: float
    answered_s: float
    job_id: str
    kind: str
    gateway: str
    lines: int


def describe_violations(
    violations: Sequence[Violation],
    history: History,
    reads: Sequence[FileRead],
    log_folder: Path,
) -> list[str]:
    """Return the lines to print; none without violations."""
    if not violations:
        return []
    lines = ["injected failures:", *_truncated(_failures(history))]
    for violation in violations:
        subjects = SUBJECT.findall(violation.detail)
        lines.append(f"{violation.checker}: {violation.detail}")
        lines += _truncated(_events(history, subjects))
        lines += _truncated([str(read) for read in reads if _names(read.job_id, subjects)])
        lines += _truncated(list(_log_lines(log_folder, subjects)))
    return lines


def _names(text: str, subjects: Sequence[str]) -> bool:
    return any(subject in text for subject in subjects)


def _failures(history: History) -> list[str]:
    kinds = (FaultInjected, FaultEnded, FaultsEnded)
    return [str(event) for event in history.events if isinstance(event, kinds)]


def _events(history: History, subjects: Sequence[str]) -> list[str]:
    return [text for text in map(str, history.events) if _names(text, subjects)]


def _log_lines(log_folder: Path, subjects: Sequence[str]) -> Iterator[str]:
    for path in sorted(log_folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if _names(line, subjects) or _names(path.stem, subjects):
                yield f"{path.stem}: {line}"


def _truncated(lines: list[str]) -> list[str]:
    """Return the lines, without the middle ones when there are too many."""
    if len(lines) <= MAX_LINES_PER_SOURCE:
        return [f"  {line}" for line in lines]
    half = MAX_LINES_PER_SOURCE // 2
    left_out = f"({len(lines) - 2 * half} lines omitted)"
    return [f"  {line}" for line in (*lines[:half], left_out, *lines[-half:])]
