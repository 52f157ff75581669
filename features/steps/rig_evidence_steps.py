"""Steps of features/rig/evidence.feature."""

import tempfile
from pathlib import Path

from behave import given, then, when
from rig.evidence import FileRead, describe_violations

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import FaultsEnded, History, JobAccepted, JobRead


@given('a history of the rig in which job "{job}" is accepted and read as completed')
def history(context, job):
    context.history = History()
    context.history.record(JobAccepted(1.0, "key", job, "digest", 12))
    context.history.record(FaultsEnded(2.0))
    context.history.record(JobRead(3.0, job, "completed", 12, 0))
    context.reads = []
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.logs = Path(folder.name)
    context.job = job


@given('a read of its results that brought no line at "{gateway}"')
def empty_read(context, gateway):
    context.reads.append(FileRead(2.5, 2.6, context.job, "output", gateway, 0))


@given('a log of "{process}" with a line on "{job}" and one on "{other}"')
def log(context, process, job, other):
    (context.logs / f"{process}.log").write_text(f"took {job}\ntook {other}\n")


def _describe(context, violations):
    lines = describe_violations(violations, context.history, context.reads, context.logs)
    context.description = "\n".join(lines)


@when('the rig\'s violation "{detail}" is described')
def describe(context, detail):
    _describe(context, [Violation("exactly_once", detail)])


@when("no violation of the rig is described")
def describe_none(context):
    _describe(context, [])


@then(
    'the description holds "{a}", "{b}", "{c}", "{d}", "{e}" and "{f}"',
)
def holds(context, **texts):
    missing = [text for text in texts.values() if text not in context.description]
    assert not missing, f"{missing} not in {context.description}"


@then('the description does not hold "{text}"')
def holds_not(context, text):
    assert text not in context.description, context.description


@then("the description is empty")
def is_empty(context):
    assert not context.description
