"""Records an emulated engine's executions in a file, so that they survive a killed process.

The checkers of runs with real daemons read the file. Each line is a JSON object for an attempt that
started or ended. Lines are written unbuffered, before the engine does anything else. The file is
bounded; when it is full, its last line says so.
"""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.executions import ExecutionRecord

FULL_MARK = "full"
_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
_FILE_MODE = 0o640


class ExecutionFile:
    """Appends executions of one process's engines to a file of at most ``limit_bytes``."""

    def __init__(self, path: Path, limit_bytes: int) -> None:
        """Open the file for appending to an earlier process's lines; raises ``OSError``."""
        path.parent.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(path, _OPEN_FLAGS, _FILE_MODE)
        self._left_bytes = limit_bytes - os.fstat(self._descriptor).st_size
        self._full = False

    def follow(self, engine: EmulatedEngine) -> None:
        """Record every execution of an engine from now on."""
        engine.on_execution(lambda record: self._write(engine.runner, record))

    def _write(self, runner: str, record: ExecutionRecord) -> None:
        if self._full:
            return
        line = _line(
            {
                "runner": runner,
                "request_id": record.request_id,
                "attempt_id": record.attempt_id,
                "started_s": record.started_s,
                "ended_s": record.ended_s,
            }
        )
        self._full = len(line) > self._left_bytes
        self._left_bytes -= len(line)
        os.write(self._descriptor, _line({FULL_MARK: True}) if self._full else line)


def _line(body: dict[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode() + b"\n"


@dataclass(frozen=True, slots=True)
class RecordedExecution:
    """One line of the file; ``ended_s`` is None on the line of an attempt's start."""

    runner: str
    request_id: str
    attempt_id: str
    started_s: float
    ended_s: float | None


class ExecutionFileFull(Exception):
    """Raised for a file that reached its bound, because later executions are not recorded."""


def read_execution_file(path: Path) -> list[RecordedExecution]:
    """Return the lines of a file; a last line truncated by a kill is ignored."""
    found = []
    for line in path.read_bytes().split(b"\n")[:-1]:
        body = json.loads(line)
        if FULL_MARK in body:
            raise ExecutionFileFull(str(path))
        found.append(RecordedExecution(**body))
    return found
