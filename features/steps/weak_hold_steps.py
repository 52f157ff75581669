"""Steps on the suspects of crashes while one of them is held on weak evidence."""

from behave import given, then, when

from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.suspects import REPORTS_SETTLE_S, SuspectTracker
from rainsail.routing.facts import PromptPart
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

LATER_S = 5.0
YOUNG = RunAge(0.1, 0.0)


def _part(name):
    (part,) = part_fingerprints("", "model", "", (PromptPart(name, 1), PromptPart("own", 1)))
    return part


SOUND, FATAL = _part("sound"), _part("fatal")


def _crash(context, runner, parts, at_s, age=YOUNG):
    context.tracker.crashed(runner, parts, at_s, at_s, dict.fromkeys(parts, age))


def _decide(context, held, now):
    context.revision += 1
    entry = QuarantinedRequest(SOUND, 1, held)
    context.tracker.decided(Quarantine(context.revision, (entry,)), now)


@given(
    "{many:d} runners have crashed with a sound part, {few:d} of them with a fatal part too, "
    "while answers clear others"
)
def crashes(context, many, few):
    context.tracker = SuspectTracker()
    context.revision = 0
    for number in range(many):
        other = _part(f"other-{number}")
        parts = (SOUND, FATAL, other) if number < few else (SOUND, other)
        _crash(context, f"runner-{number}", parts, 0.01 * number)
        context.tracker.answered(other, 0.01 * number)


@when("the part with the most crashes is held on weak evidence")
def hold(context):
    assert context.tracker.due(LATER_S) == (SOUND,)
    _decide(context, True, LATER_S)
    assert context.tracker.is_on_trial(SOUND)


@when("the part with the most crashes is held on weak evidence and released for a trial")
def hold_and_release(context):
    hold(context)
    _decide(context, False, LATER_S)
    for number in range(5):
        context.tracker.answered(FATAL, LATER_S + number)


def _due(context, now):
    return context.tracker.due(now + REPORTS_SETTLE_S)


@then("the fatal part is due to be held")
def fatal_due(context):
    assert _due(context, 2 * LATER_S) == (FATAL,)


@when("a runner crashes under its run that was sent before the release")
def crash_before(context):
    at_s = LATER_S + 0.5
    _crash(context, "runner-8", (SOUND,), at_s, RunAge(at_s, 0.0))


@when("a runner crashes under its run that was sent after the release")
def crash_after(context):
    _crash(context, "runner-9", (SOUND,), LATER_S + 3.0)


@then("the sound part is not due to be held")
def not_due(context):
    assert not _due(context, 2 * LATER_S)


@then("the sound part is due to be held")
def is_due(context):
    assert _due(context, 2 * LATER_S) == (SOUND,)
