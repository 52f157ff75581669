"""Steps on single files written by earlier versions."""

import shutil
import tempfile
from pathlib import Path

from behave import then, when
from features.support.compatibility_files import (
    FILES,
    JOURNAL_FOLDER,
    TRACE_NAME,
    journal_view,
    trace_view,
    write_kept_files,
)


def _temporary_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@when("this version reads the kept trace file")
def step_trace(context):
    context.file_lines = list(trace_view(FILES / TRACE_NAME))


@when("a new start of the demonstration reads a copy of the kept journal")
def step_journal(context):
    copy = _temporary_folder(context) / JOURNAL_FOLDER
    shutil.copytree(FILES / JOURNAL_FOLDER, copy)
    context.file_lines = list(journal_view(copy))


@then("it finds in the file")
def step_finds(context):
    expected = context.text.splitlines()
    assert context.file_lines == expected, "\n".join(context.file_lines)


@when("this version writes the kept files anew")
def step_write(context):
    context.written = _temporary_folder(context)
    write_kept_files(context.written)


@then("the trace and the journal have the same bytes")
def step_same(context):
    kept = [path for path in FILES.rglob("*") if path.is_file()]
    assert kept
    for path in kept:
        assert (context.written / path.relative_to(FILES)).read_bytes() == path.read_bytes(), path
