"""Running the command line from steps."""

import contextlib
import io
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from rainsail.cli.main import main

ROOT = Path(__file__).parent.parent.parent
PROGRAM = (sys.executable, "-c", "from rainsail.cli.main import main; main()")
"""Starts ``rainsail`` in a process of its own; its arguments follow."""
LIMIT_S = 60.0


@dataclass(frozen=True)
class Finished:
    """How a command ended."""

    code: int
    stdout: str
    stderr: str


def rainsail(arguments: list[str], folder: Path = ROOT, **environment: str) -> Finished:
    """Run ``rainsail`` in ``folder`` and return how it ended."""
    kept = {key: value for key, value in os.environ.items() if not key.startswith("RAINSAIL_")}
    run = subprocess.run(
        [*PROGRAM, *arguments],
        cwd=folder,
        env={**kept, **environment, "PAGER": "cat"},
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    return Finished(run.returncode, run.stdout, run.stderr)


def rainsail_here(arguments: list[str], folder: Path = ROOT) -> Finished:
    """Run ``rainsail`` inside this process: quick, for commands that start no reactor."""
    stdout, stderr = io.StringIO(), io.StringIO()
    code = 0
    with (
        contextlib.chdir(folder),
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            main(arguments)
        except SystemExit as end:
            code = end.code if isinstance(end.code, int) else 1
    return Finished(code, stdout.getvalue(), stderr.getvalue())
