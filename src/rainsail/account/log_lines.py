"""Reads nodes' log lines, and reports damaged ones."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SECONDS_PER_DAY = 86_400.0
HALF_A_DAY_S = SECONDS_PER_DAY / 2


class UnreadableLogError(Exception):
    """A log file that can't be read at all."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line: seconds since the first midnight of the logs, and its fields."""

    at_s: float
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty when it is missing."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> float | None:
        """Return a field as a number, None when it is missing or none."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else None


@dataclass(frozen=True, slots=True)
class DamagedLine:
    """A line with an object that is not a valid log line."""

    file: str
    number: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.number}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Log:
    """The lines of all files in order of time, and the damaged lines."""

    lines: tuple[LogLine, ...]
    damaged: tuple[DamagedLine, ...]


def read_logs(paths: Iterable[Path]) -> Log:
    """Read log files.

    Lines without a JSON object are skipped, as tools and runtimes write some. A line is damaged if
    its object is truncated or lacks a time or an event; the rest of its file is still read.

    Raises:
        UnreadableLogError: A file can't be opened.
    """
    lines: list[LogLine] = []
    damaged: list[DamagedLine] = []
    for path in paths:
        for found in _read(path):
            if isinstance(found, DamagedLine):
                damaged.append(found)
            else:
                lines.append(found)
    return Log(tuple(_in_order(lines)), tuple(damaged))


def _read(path: Path) -> Iterator[LogLine | DamagedLine]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UnreadableLogError(f"{path}: {error.strerror}") from error
    for number, line in enumerate(text.splitlines(), start=1):
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            yield _parsed(line[begin:])
        except ValueError as error:
            yield DamagedLine(str(path), number, str(error))


def _parsed(text: str) -> LogLine:
    try:
        fields = json.loads(text)
    except ValueError as error:
        raise ValueError(f"invalid or truncated JSON object ({error})") from error
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        raise ValueError("the field 'event' is missing or is not a string")
    return LogLine(_seconds(fields.get("at")), fields["event"], fields)


def _seconds(at: Any) -> float:
    """Return the seconds since midnight of a time such as 20:18:46.255."""
    try:
        hours, minutes, seconds = str(at).split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        raise ValueError(f"the field 'at' is not a time of day: {at!r}") from None


def _in_order(lines: list[LogLine]) -> list[LogLine]:
    """Sort by time; if the logs span a midnight, the lines before it come first."""
    times = sorted(line.at_s for line in lines)
    if times and times[-1] - times[0] > HALF_A_DAY_S:
        lines = [
            LogLine(line.at_s + SECONDS_PER_DAY, line.event, line.fields)
            if line.at_s < HALF_A_DAY_S
            else line
            for line in lines
        ]
    return sorted(lines, key=lambda line: line.at_s)
