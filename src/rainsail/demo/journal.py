"""The clients' own record of accepted jobs, which outlives the death of the process.

A job counts as accepted once its line is synced, and not before. Each start of the demonstration
reads the file first: what an earlier start noted must still complete and be readable. A last line
without its end is a write that was cut short; it was never counted, so it is cut off.
"""

import fcntl
import json
import os
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from rainsail.errors import Fault, FaultCode

JOURNAL_NAME = "accepted.jsonl"
LOCK_NAME = "lock"
STEP = "demo.journal"
_FILE_MODE = 0o640


@dataclass(frozen=True, slots=True)
class NotedItem:
    """One item of a job: what was asked, so that its result can be judged later."""

    custom_id: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class NotedJob:
    """A job that was answered as accepted in the demonstration's start number ``run``."""

    run: int
    job_key: str
    job_id: str
    service: str
    items: tuple[NotedItem, ...]


@dataclass(frozen=True, slots=True)
class NotedStart:
    """The beginning of a start of the demonstration; numbers rise by one.

    ``schemas`` is the fingerprint of the program's records: a fleet's log can be read only by a
    program with the same ones.
    """

    run: int
    schemas: int = 0


@dataclass(frozen=True, slots=True)
class _Line:
    start: NotedStart | None = None
    job: NotedJob | None = None


_LINE: TypeAdapter[_Line] = TypeAdapter(_Line)


class AcceptedJournal:
    """The journal of one data folder, held by one process at a time."""

    def __init__(self, folder: Path, schemas: int = 0) -> None:
        self._schemas = schemas
        self.path = folder / JOURNAL_NAME
        self.run = 1
        self.earlier_jobs: tuple[NotedJob, ...] = ()
        self._descriptor = -1
        self._lock = -1

    def open(self) -> Result[None, Fault]:
        """Lock the folder, read what was noted, note this start (synced)."""
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self.path.parent / LOCK_NAME, os.O_RDWR | os.O_CREAT, _FILE_MODE)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            detail = f"{self.path.parent}: another demonstration runs on this data folder"
            return Error(Fault(FaultCode.CONFLICT, STEP, detail))
        except OSError as error:
            return Error(_storage_fault(self.path.parent, error))
        try:
            return self._read().bind(lambda lines: self._begin(lines))
        except OSError as error:
            return Error(_storage_fault(self.path, error))

    def _read(self) -> Result[list[_Line], Fault]:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(self.path, flags, _FILE_MODE)
        content = self.path.read_bytes()
        whole = content[: content.rfind(b"\n") + 1]
        if len(whole) < len(content):
            os.ftruncate(self._descriptor, len(whole))
        lines = []
        for number, text in enumerate(whole.splitlines(), start=1):
            try:
                lines.append(_LINE.validate_json(text))
            except ValidationError as error:
                first = error.errors()[0]["msg"]
                detail = f"{self.path}: line {number}: {first}"
                return Error(Fault(FaultCode.INVALID, STEP, detail))
        return Ok(lines)

    def _begin(self, lines: list[_Line]) -> Result[None, Fault]:
        starts = [line.start for line in lines if line.start is not None]
        if any(start.schemas != self._schemas for start in starts):
            detail = f"{self.path}: written by another version of rainsail; use another folder"
            return Error(Fault(FaultCode.INVALID, STEP, detail))
        self.run = max((start.run for start in starts), default=0) + 1
        self.earlier_jobs = tuple(line.job for line in lines if line.job is not None)
        self._append(_Line(start=NotedStart(self.run, self._schemas)))
        self._sync_folder()
        return Ok(None)

    def note(self, job: NotedJob) -> None:
        """Note an accepted job and sync it; returns once it is durable. Raises ``OSError``."""
        self._append(_Line(job=job))

    def _append(self, line: _Line) -> None:
        plain = {key: value for key, value in asdict(line).items() if value is not None}
        data = json.dumps(plain, separators=(",", ":")).encode() + b"\n"
        _write_all(data, lambda rest: os.write(self._descriptor, rest))
        os.fsync(self._descriptor)

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Close the file and release the folder."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._descriptor = self._lock = -1


def _write_all(data: bytes, write: Callable[[Any], int]) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[write(rest) :]


def _storage_fault(path: Path, error: OSError) -> Fault:
    return Fault(FaultCode.STORAGE, STEP, f"{path}: {error.strerror or error}")
