"""Steps for drawn courses of crashes, played against the quarantine without a network."""

from unittest import mock

from behave import given, then, when
from features.support.quarantine_courses import QuarantineCourse

from rainsail.quarantine.control import QuarantineControl
from rainsail.quarantine.messages import TrialReply

DEFECTS = {
    "crashes count against nothing": ("_take_crash", lambda *arguments: None),
    "responses clear no entry": ("_on_answered", lambda *arguments: None),
    "all trials are permitted": ("_permit", lambda *arguments: TrialReply(True)),
    "no trial is permitted": ("_permit", lambda *arguments: TrialReply(False)),
}


@given("a product in which {defect}")
def make_defect(context, defect):
    name, replacement = DEFECTS[defect]
    patch = mock.patch.object(QuarantineControl, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("courses with seeds from {first:d} to {last:d} are played")
def play(context, first, last):
    context.broken = {}
    context.judged = 0
    for seed in range(first, last + 1):
        course = QuarantineCourse(seed)
        course.run()
        context.judged += course.counts["fatal suspects judged"] * course.counts["sound items"]
        if course.violations:
            context.broken[seed] = course.violations


@then("a fatal suspect ran at most 3 times late in each of them, and all sound items were done")
def none_broken(context):
    assert context.judged
    assert not context.broken, context.broken


@then("some of them break a bound")
def some_broken(context):
    assert context.broken
