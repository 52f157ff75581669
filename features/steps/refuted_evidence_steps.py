"""Steps on the evidence against a sound part that has other causes."""

from behave import given, then, when
from features.steps.weak_hold_steps import FATAL, LATER_S, SOUND, YOUNG, _part

from rainsail.quarantine.suspects import SuspectTracker
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

PERIOD_S = 0.7
RESET = "one of them after its request had been reset"


def _crash(context, number, parts, reset_before=()):
    at_s = number * PERIOD_S
    other = _part(f"other-{number}")
    suspects = (*parts, other)
    ages = dict.fromkeys(suspects, YOUNG)
    context.tracker.crashed(f"runner-{number}", suspects, at_s, at_s, ages, reset_before)
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
        is_reset = beside == RESET and number == 1
        _crash(context, number, (SOUND,), (SOUND,) if is_reset else ())
    idle = {
        "and an idle runner at the second crash": ("runner-9", PERIOD_S + 0.1),
        "and an idle runner 5 s later": ("runner-9", (many - 1) * PERIOD_S + 5.0),
        "one of them found crashed by a node without requests": ("runner-1", PERIOD_S + 0.3),
    }
    if beside in idle:
        context.tracker.crashed_idle(*idle[beside])


@when("the sound part is held")
def hold(context):
    assert context.tracker.due(LATER_S) == (SOUND,)
    _decide(context, True)


@when("the sound part is held, and an answer clears it")
def hold_and_clear(context):
    hold(context)
    assert not context.tracker.is_on_trial(SOUND)
    context.tracker.answered(SOUND, LATER_S)
    _decide(context, False)


@then("the hold is on trial")
def on_trial(context):
    assert context.tracker.is_on_trial(SOUND)


@then("the hold is not on trial")
def not_on_trial(context):
    assert not context.tracker.is_on_trial(SOUND)
