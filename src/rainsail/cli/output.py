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
    """Print rows as a JSON list or as a table of ``columns``."""
    if output == "json":
        print_json(list(rows))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*[_cell(row.get(column)) for column in columns])
    Console(soft_wrap=not sys.stdout.isatty()).print(table)


def print_record(record: dict[str, Any], output: str) -> None:
    """Print one record as JSON or as a table of its keys and values."""
    if output == "json":
        print_json(record)
        return
    rows = [{"field": key, "value": value} for key, value in record.items()]
    print_rows(rows, ("field", "value"), output)


def _cell(value: Any) -> str:
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)


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
