"""Steps on the permits for trials of held requests, without I/O."""

from behave import given, then, when

from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.suspects import MAX_TRIALS, SuspectTracker
from rainsail.quarantine.trials import TrialPermits
from rainsail.routing.facts import PromptPart
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

STEP_S = 0.1
LIMIT_S = 100.0
FIRST, SECOND = b"\x00first", b"\x00second"
(PART,) = part_fingerprints("", "model", "", (PromptPart("part", 1), PromptPart("own", 1)))
YOUNG = RunAge(0.1, 0.0)


def _first_permit_s(context, fingerprint, from_s):
    step = round(from_s / STEP_S)
    while step * STEP_S < LIMIT_S:
        now = step * STEP_S
        for at_s in context.crashes_s:
            if at_s <= now + 1e-9:
                context.permits.note_crash(at_s)
        if now >= context.cleared_s and context.known != (SECOND,):
            context.known = (SECOND,)
            _decide(context, now)
        if context.permits.permit((fingerprint,), now + 1e-9):
            return round(now, 3)
        step += 1
    raise AssertionError("no trial was permitted")


def _decide(context, now):
    entries = tuple(QuarantinedRequest(each, context.times, False) for each in context.known)
    context.permits.decided(Quarantine(1, entries), now)


@given("a leader of controllers since 0 s")
def leader(context):
    context.permits = TrialPermits()
    context.permits.note_leadership(True, 0.0)
    context.crashes_s = []
    context.cleared_s = LIMIT_S


@when("a request that was held {times:d} times is released at {at_s:g} s")
def release(context, times, at_s):
    context.times, context.known, context.released_s = times, (FIRST,), at_s
    _decide(context, at_s)


@when("two requests that were held {times:d} times are released at {at_s:g} s")
def release_two(context, times, at_s):
    context.times, context.known, context.released_s = times, (FIRST, SECOND), at_s
    _decide(context, at_s)


@when("the first of them is cleared {after_s:g} s after its trial began")
def clear_first(context, after_s):
    context.cleared_s = context.released_s + 1.0 + after_s


@when("a runner crashes at no time")
def crash_never(context):
    context.crashes_s = []


@when("a runner crashes at {at_s:g} s")
def crash_once(context, at_s):
    context.crashes_s = [at_s]


@when("a runner crashes every {period_s:g} s")
def crash_often(context, period_s):
    context.crashes_s = [number * period_s for number in range(round(LIMIT_S / period_s))]


@then("its next trial is permitted at {at_s:g} s")
def permitted(context, at_s):
    assert _first_permit_s(context, FIRST, context.released_s) == at_s


@then("their trials are permitted at {first_s:g} s and {second_s:g} s")
def both_permitted(context, first_s, second_s):
    found_s = _first_permit_s(context, FIRST, context.released_s)
    assert found_s == first_s, found_s
    found_s = _first_permit_s(context, SECOND, found_s)
    assert found_s == second_s, found_s


@given("a part that is on trial")
def part_on_trial(context):
    context.tracker = tracker = SuspectTracker()
    for number in range(5):
        tracker.crashed(f"runner-{number}", (PART,), 0.0, 0.0, {PART: YOUNG})
    _hold_and_release(tracker, 1, 3.0)


def _hold_and_release(tracker, times, now):
    for held, later_s in ((True, 0.0), (False, 0.1)):
        entries = (QuarantinedRequest(PART, times, held),)
        tracker.decided(Quarantine(2 * times + (not held), entries), now + later_s)


@when("{count:d} runners crash at once under its trials, and {more:d} more after the next hold")
def crash_trials(context, count, more):
    tracker = context.tracker
    assert tracker.may_be_tried(PART)
    for number in range(count):
        tracker.crashed(f"runner-{10 + number}", (PART,), 5.0, 5.0, {PART: YOUNG})
    _hold_and_release(tracker, 2, 5.5)
    assert tracker.may_be_tried(PART)
    for number in range(more):
        tracker.crashed(f"runner-{20 + number}", (PART,), 8.0, 8.0, {PART: YOUNG})


@then("the part may have no further trial")
def no_further_trial(context):
    assert not context.tracker.may_be_tried(PART)
    _hold_and_release(context.tracker, 3, 8.5)
    assert not context.tracker.is_on_trial(PART)


@then("the next hold of the part is not one without evidence")
def hold_lasts(context):
    tracker = context.tracker
    held = QuarantinedRequest(PART, 3, True)
    tracker.decided(Quarantine(6, (held,)), 8.5)
    assert not tracker.is_on_trial(PART)
    assert not tracker.lacks_evidence(PART)


@given("a controller that started {before_s:g} s before the first of a part's crashes")
def started_before(context, before_s):
    context.tracker = SuspectTracker(-before_s)
    for number in range(5):
        context.tracker.crashed(f"runner-{number}", (PART,), 0.0, 0.0, {PART: YOUNG})


@when("the part is held on weak evidence")
def hold_weakly(context):
    _hold_and_release(context.tracker, 1, 3.0)
    assert context.tracker.is_on_trial(PART)


@then("it is held {times:d} times before its first trial")
def held_times(context, times):
    tracker = context.tracker
    assert tracker.times_to_begin_with(PART) == times
    for number in range(2, times + 1):
        _hold_and_release(tracker, number, 3.0 + number)
        assert tracker.is_on_trial(PART)
    for number in range(times + 1, MAX_TRIALS + 1):
        _hold_and_release(tracker, number, 10.0 + number)
        assert tracker.is_on_trial(PART)
    _hold_and_release(tracker, MAX_TRIALS + 1, 20.0)
    assert not tracker.is_on_trial(PART)
