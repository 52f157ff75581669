"""Prints results as JSON or as a table, and shows progress bars."""

import json
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from rich.console import Console
from rich.progress import Progress, TaskID
from rich.table import Table

from rainsail.cli.exit_codes import bad_input

FORMATS = ("table", "json")
FILE_WIDTH_COLUMNS = 160
"""Width of a table when stdout is not a terminal."""


def check_format(output: str) -> str:
    """Return ``output`` if it is a known format.

    Raises:
        CommandEnd: The format is unknown.
    """
    if output not in FORMATS:
        raise bad_input(f"--output: expected one of {', '.join(FORMATS)}, got {output!r}")
    return output


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_json_line(value: Any) -> None:
    """Print a value as JSON on one line and flush stdout."""
    print(json.dumps(value, ensure_ascii=False), flush=True)


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], output: str) -> None:
    """Print rows as a JSON list or as a table of ``columns``; long cells wrap."""
    if output == "json":
        print_json(list(rows))
        return
    table = Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*[_cell(row.get(column)) for column in columns])
    width = None if sys.stdout.isatty() else FILE_WIDTH_COLUMNS
    Console(width=width, highlight=False, markup=False).print(table)


def print_record(record: dict[str, Any], output: str) -> None:
    """Print one record as JSON or as a table of its keys and values."""
    if output == "json":
        print_json(record)
        return
    rows = [{"field": key, "value": value} for key, value in record.items()]
    print_rows(rows, ("field", "value"), output)


def _cell(value: Any) -> str:
    """Format a table cell: one ``key: value`` or list entry a line, conditions as a phrase."""
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    if isinstance(value, dict):
        return "\n".join(f"{key}: {_inline(each)}" for key, each in value.items())
    if isinstance(value, list):
        return "\n".join(_condition(each) or _inline(each) for each in value)
    return json.dumps(value)


def _inline(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)


def _condition(value: Any) -> str:
    """Format a resource's condition as a phrase; empty if the value is not a condition."""
    if not isinstance(value, dict) or not {"type", "value", "reason"} <= value.keys():
        return ""
    return f"{'' if value['value'] else 'not '}{value['type']}: {value['reason']}"


class ProgressBar:
    """A progress bar; does nothing when stdout is not a terminal."""

    def __init__(self, progress: Progress | None, task: TaskID | None) -> None:
        self._progress = progress
        self._task = task

    def advance(self, steps: float = 1) -> None:
        """Advance the bar by ``steps``."""
        if self._progress is not None and self._task is not None:
            self._progress.advance(self._task, steps)


@contextmanager
def progress_bar(description: str, total: float) -> Iterator[ProgressBar]:
    """Show progress over ``total`` steps while the block runs."""
    if not sys.stdout.isatty():
        yield ProgressBar(None, None)
        return
    with Progress(transient=True) as progress:
        yield ProgressBar(progress, progress.add_task(description, total=total))
