"""Steps for the checkers and the history file."""

import random
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support import checkers as histories

from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import read_history, write_history
from rainsail.wire.codec import CodecError


@given("a recorded history of one request, one job and one change")
def given_clean_history(context):
    context.breach = ""


@given('the recorded history has the breach "{breach}"')
def given_breach(context, breach):
    context.breach = breach


@when("the recorded history is checked")
def when_checked(context):
    context.violations = check_history(histories.build(context.breach))


@then("the checkers find nothing")
def then_nothing(context):
    assert context.violations == [], context.violations


@then('the checkers find exactly a violation of "{checker}"')
def then_violation(context, checker):
    names = {violation.checker for violation in context.violations}
    assert names == {checker}, context.violations


@when("the recorded history is written and read back")
def when_written(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "history.avro"
        context.history = histories.build("a result that changed")
        write_history(path, context.history)
        context.read = read_history(path)


@then("the read history has the same hash")
def then_same_hash(context):
    assert context.read.sha256() == context.history.sha256()
    assert len(context.read.events) == len(context.history.events) > 10


@when("a file of random bytes is read as a history")
def when_random_bytes(context):
    context.error = None
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "history.avro"
        path.write_bytes(random.Random(7).randbytes(4096))
        try:
            read_history(path)
        except CodecError as error:
            context.error = error


@then("reading the history fails with a codec error")
def then_codec_error(context):
    assert isinstance(context.error, CodecError)
