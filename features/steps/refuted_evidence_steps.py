"""Steps on the evidence against a sound part that has other causes."""

from behave import given, then, when
from features.steps.weak_hold_steps import FATAL, LATER_S, SOUND, YOUNG, _part

from rainsail.quarantine.suspects import SuspectTracker
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

PERIOD_S = 0.7


def _crash(context, number, parts):
    at_s = number * PERIOD_S
    other = _part(f"other-{number}")
    suspects = (*parts, other)
    ages = dict.fromkeys(suspects, YOUNG)
    context.tracker.crashed(f"runner-{number}", suspects, at_s, at_s, ages)
    context.tracker.answered(other, at_s)


def _decide(context, held):
    context.revision = getattr(context, "revision", 0) + 1
    entries = (QuarantinedRequest(SOUND, 1, True),) if held else ()
    context.tracker.decided(Quarantine(context.revision, entries), LATER_S)


@given(
    "{many:d} runners have crashed one after the other with a sound part, {few:d} of them with a "
    "fatal part too"
)
def crash_with_fatal(context, many, few):
    context.tracker = SuspectTracker()
    for number in range(many):
        _crash(context, number, (SOUND, FATAL) if number < few else (SOUND,))


@given("{many:d} runners have crashed one after the other with a sound part, {beside}")
def crash_alone(context, many, beside):
    context.tracker = SuspectTracker()
    for number in range(many):
        _crash(context, number, (SOUND,))
    elsewhere_s = {
        "and another runner with other requests at the second": PERIOD_S + 0.1,
        "and another runner with other requests 5 s later": (many - 1) * PERIOD_S + 5.0,
    }
    if beside in elsewhere_s:
        at_s = elsewhere_s[beside]
        context.tracker.crashed("runner-9", (_part("elsewhere"),), at_s, at_s)


@when("the sound part is held")
def hold(context):
    assert context.tracker.due(LATER_S) == (SOUND,)
    _decide(context, True)


@when("the sound part is held, and an answer clears it")
def hold_and_clear(context):
    hold(context)
    context.tracker.answered(SOUND, LATER_S)
    _decide(context, False)


@then("the hold is on trial")
def on_trial(context):
    assert context.tracker.is_on_trial(SOUND)
