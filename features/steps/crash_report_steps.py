"""Steps on the crash reports that nodes keep for controllers that start anew (pure)."""

import re

from behave import given, step, then, when

from rainsail.quarantine.crash_reports import CrashReport, CrashReports
from rainsail.quarantine.failed_trials import FailedTrials
from rainsail.quarantine.messages import FailedTrial
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.view import QuarantineView
from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine, QuarantinedRequest

AGE = RunAge(0.5, 0.1)
LISTED = re.compile(r"held (\d+) times and (not )?released")


def _crash(runner, names, at_s, age=AGE):
    return CrashReport(runner, at_s, {name.encode(): age for name in names})


def _texts(fingerprints):
    return " ".join(each.decode() for each in fingerprints)


def _quarantine(name, state, revision):
    found = LISTED.fullmatch(state)
    if found is None:
        return Quarantine(revision, ())
    entry = QuarantinedRequest(name.encode(), int(found[1]), held=found[2] is not None)
    return Quarantine(revision, (entry,))


def _make(context):
    context.view = QuarantineView()
    context.reports = CrashReports(context.view)
    context.revision = NO_QUARANTINE.revision


@given('a node that reports a crash of "{runner}" under "{one}" and "{two}" at second {at_s:d}')
def make_node(context, runner, one, two, at_s):
    _make(context)
    context.reports.add(_crash(runner, (one, two), float(at_s)))


@given("a node that reports {crashes:d} crashes of {runs:d} runs each at second {at_s:d}")
def make_busy_node(context, crashes, runs, at_s):
    _make(context)
    for crash in range(crashes):
        names = [f"run {crash} {run}" for run in range(runs)]
        context.reports.add(_crash(f"runner-{crash}", names, float(at_s)))


@when('it reports a crash of "{runner}" under "{one}" and "{two}" at second {at_s:d}')
def report(context, runner, one, two, at_s):
    context.reports.add(_crash(runner, (one, two), float(at_s)))


@when('it reports an answer to "{name}" at second {at_s:d}')
def answer(context, name, at_s):
    context.reports.answered([name.encode()], float(at_s))


@step('"{name}" is {state} at second {at_s:d}')
def take_list(context, name, state, at_s):
    if state == "answered":
        answer(context, name, at_s)
        return
    context.revision += 1
    context.view.take(_quarantine(name, state, context.revision), float(at_s))


@step("the list is empty at second {at_s:d}")
def empty_list(context, at_s):
    take_list(context, "", "not on the list", at_s)


@when('a run of "{name}" that was sent at second {sent_s:d} crashes at second {at_s:d}')
def crash_run(context, name, sent_s, at_s):
    age = RunAge(float(at_s - sent_s), 0.1)
    context.reports.add(_crash("runner-2", [name], float(at_s), age))


@step("at second {now:d} it reports {count:d} crashes again")
def reports_again(context, now, count):
    found = context.reports.crashes(float(now))
    assert len(found) == count, len(found)


@step('at second {now:d} it reports {count:d} crashes again, under "{names}"')
@step('at second {now:d} it reports {count:d} crashes again, under ""')
def reports_again_under(context, now, count, names=""):
    found = context.reports.crashes(float(now))
    assert len(found) == count, len(found)
    suspects = dict.fromkeys(each for crash in found for each in crash.runs)
    assert sorted(_texts(suspects).split()) == sorted(names.split()), suspects


@step('at second {now:d} it reports answers to "{names}" again')
@step('at second {now:d} it reports answers to "" again')
def reports_answers(context, now, names=""):
    found = _texts(context.reports.answers(float(now)))
    assert found == names, found


@then('it reports "{trials}" as failed trials to a controller that starts')
@then('it reports "" as failed trials to a controller that starts')
def reports_trials(context, trials=""):
    found = context.reports.failed_trials()
    text = " ".join(f"{each.fingerprint.decode()} {each.times}" for each in found)
    assert text == trials, text


@given(
    'a controller that is told of a failed trial of "{name}", held {times:d} times, '
    "at second {at_s:d}"
)
def make_controller(context, name, times, at_s):
    context.trials = FailedTrials()
    context.trials.take([FailedTrial(name.encode(), times)], float(at_s))


@step('at second {now:d} it holds "{held}" again when "{name}" is {state}')
@step('at second {now:d} it holds "" again when "{name}" is {state}')
def holds_again(context, now, name, state, held=""):
    found = _texts(context.trials.uncounted(_quarantine(name, state, 1), float(now)))
    assert found == held, found
