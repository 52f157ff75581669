"""Printing results: one JSON document, or a table for people."""

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
"""Width of a table that goes to a file or a pipe."""


def check_format(output: str) -> str:
    """Return ``output`` when it names a format; ends the command otherwise."""
    if output not in FORMATS:
        raise bad_input(f"--output: expected one of {', '.join(FORMATS)}, got {output!r}")
    return output


def print_json(value: Any) -> None:
    """Print one JSON document."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_json_line(value: Any) -> None:
    """Print one JSON document on one line, at once."""
    print(json.dumps(value, ensure_ascii=False), flush=True)


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], output: str) -> None:
    """Print rows as a JSON list or as a table of ``columns``; cells are folded, never cut."""
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
    """Return a value for people: one ``key: value`` a line, conditions by their type."""
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
    """Return a resource's condition in words; empty for anything else."""
    if not isinstance(value, dict) or not {"type", "value", "reason"} <= value.keys():
        return ""
    return f"{'' if value['value'] else 'not '}{value['type']}: {value['reason']}"


class ProgressBar:
    """A progress bar, or nothing when stdout is no terminal."""

    def __init__(self, progress: Progress | None, task: TaskID | None) -> None:
        self._progress = progress
        self._task = task

    def advance(self, steps: float = 1) -> None:
        """Note ``steps`` more steps as done."""
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
