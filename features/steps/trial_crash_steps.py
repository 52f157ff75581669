"""Steps for runners that crash during the trials of a sound part, in virtual time."""

import re

from behave import then, when
from features.support.trial_crashes import TrialCrashes

from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.routing.facts import PromptPart

LIMIT_S = 60.0
CRASHES_COUNTED = 3
PERMITTED = re.compile(rb'quarantine_trials_total\{[^}]*outcome="permitted"[^}]*\} ([0-9.]+)')


@when("the runners of the next {count:d} trials crash {after_s:g} s after their beginning")
def crash_trials(context, count, after_s):
    context.trial_crashes = TrialCrashes(context.fleet, count, after_s)


@when("a fatal request crashes the runners of the next {count:d} trials")
def crash_trials_by_request(context, count):
    context.trial_crashes = TrialCrashes(context.fleet, count, 0.0, is_by_request=True)


@when("two of its runners crash every {period_s:g} s for {seconds:g} s")
def crash_two(context, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    turn = 0
    while fleet.clock.seconds() < until_s:
        fleet.run_for(period_s)
        runners = fleet.runners.runners
        for runner in (runners[turn % len(runners)], runners[(turn + 1) % len(runners)]):
            fleet.runners.crash(runner, runner.incarnation)
        turn += 2


@when("the leading controller is killed {after_s:g} s after each crash of a trial's runner")
def kill_leader(context, after_s):
    context.trial_crashes.on_crash = lambda: context.fleet.clock.callLater(
        after_s, _kill, context.fleet
    )


def _kill(fleet):
    for name in fleet.leading("controller")[:1]:
        fleet.crash(name)
        fleet.clock.callLater(0.5, fleet.start, name)


@when(
    "the leading controller is frozen for {frozen_s:g} s {after_s:g} s after each crash of a "
    "trial's runner"
)
def freeze_leader(context, frozen_s, after_s):
    context.trial_crashes.on_crash = lambda: context.fleet.clock.callLater(
        after_s, _freeze, context.fleet, frozen_s
    )


def _freeze(fleet, frozen_s):
    for name in fleet.leading("controller")[:1]:
        fleet.freeze(name)
        fleet.clock.callLater(frozen_s, fleet.thaw, name)


@then("all items of the jobs are done within {limit_s:g} s of the last crash")
def all_done_in_time(context, limit_s):
    fleet, crashes = context.fleet, context.trial_crashes
    fleet.run_until(lambda: not crashes.left, "crashes of the trials' runners", LIMIT_S)
    while fleet.clock.seconds() < fleet.runners.crashes[-1] + limit_s:
        fleet.run_for(0.5)
    state = fleet.nodes[fleet.leader("storage")].role.state
    left = {job.job: sorted(job.unlisted) for job in state.jobs.values() if job.unlisted}
    given_up = [each for job in state.jobs.values() for each in job.listed if not each.done]
    assert state.jobs and not left and not given_up, (left, given_up)


@then('the part "{part}" is cleared by its first trial')
def cleared_by_first_trial(context, part):
    fleet = context.fleet
    fingerprint = _part_fingerprint(part)
    fleet.run_until(lambda: fingerprint in _known(fleet), "the part is held", LIMIT_S)
    fleet.run_until(lambda: _permits(fleet), "a trial is permitted", LIMIT_S)
    fleet.run_until(lambda: fingerprint not in _known(fleet), "the part is cleared", LIMIT_S)
    assert _permits(fleet) == 1, _permits(fleet)


def _known(fleet):
    return {each.fingerprint for each in fleet.decided().requests}


def _part_fingerprint(part):
    prompt = (PromptPart(part, 1), PromptPart("own", 1))
    return part_fingerprints("", "model", "", prompt)[0]


def _permits(fleet):
    texts = (fleet.nodes[name].base.metrics.exposition() for name in fleet.names("storage"))
    return sum(float(number) for text in texts for number in PERMITTED.findall(text))


@then(
    "each fatal request ran at most {most:d} times later than {after_s:g} s after its third crash"
)
def few_late_runs(context, most, after_s):
    runners = context.fleet.runners
    assert runners.fatal_crashes
    for body, crashes in runners.fatal_crashes.items():
        if len(crashes) < CRASHES_COUNTED:
            continue
        known_s = sorted(crashes)[CRASHES_COUNTED - 1] + after_s
        late = [run for run in runners.fatal_runs if run.body == body and run.at_s > known_s]
        assert len(late) <= most, late
