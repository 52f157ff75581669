"""Runs the ``rainsail`` command from steps."""

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
"""Command that starts ``rainsail`` in a separate process; append its arguments."""
TIMEOUT_S = 60.0


@dataclass(frozen=True)
class Finished:
    """Exit code and output of a command."""

    code: int
    stdout: str
    stderr: str


def rainsail(arguments: list[str], folder: Path = ROOT, **environment: str) -> Finished:
    """Run ``rainsail`` in a separate process, without RAINSAIL_ variables of this process."""
    inherited = {key: value for key, value in os.environ.items() if not key.startswith("RAINSAIL_")}
    run = subprocess.run(
        [*PROGRAM, *arguments],
        cwd=folder,
        env={**inherited, **environment, "PAGER": "cat"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return Finished(run.returncode, run.stdout, run.stderr)


def rainsail_here(arguments: list[str], folder: Path = ROOT) -> Finished:
    """Run ``rainsail`` inside this process: faster, but only for commands without a reactor."""
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
