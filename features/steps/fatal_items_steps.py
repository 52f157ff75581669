"""Steps for jobs some items of which crash the runners that begin to run them, in virtual time."""

from behave import then, use_step_matcher, when
from features.support.crashing_runners import EVENTS, FATAL_BODY, CrashingRunners
from features.support.fatal_items import LATE_RUNS_ALLOWED, FatalItemsPlan, FatalItemsPlay
from features.support.relaying import StandInCall

from rainsail.http.client import OutgoingRequest
from rainsail.simulation.clock import VirtualClock

use_step_matcher("re")


@when(
    r"(?P<jobs>\d+) jobs of (?P<items>\d+) items(?: of (?P<length>\d+) events)?"
    r" with (?P<fatal>\d+) fatal ones each"
    r"(?: that get (?P<events>\d+) events further)?(?P<preempted>, preempted ones too,)?"
    r" are handed in(?P<others> beside other crashes)?"
    r", crash after (?P<after_s>[0-9.]+) s, seed (?P<seed>\d+)"
)
def hand_in(context, jobs, items, length, fatal, events, preempted, others, after_s, seed):
    plan = FatalItemsPlan(
        int(jobs),
        int(items),
        int(fatal),
        float(after_s),
        bool(others),
        int(events or 0),
        int(length or EVENTS),
        bool(preempted),
    )
    context.play = FatalItemsPlay(int(seed), plan)
    context.play.run()


use_step_matcher("parse")


@then("all sound items were done 18 s after the streams had ended")
def sound_done(context):
    play = context.play
    assert not play.sound_left, f"sound items left {play.sound_left}; late runs {play.late_runs}"


@then("each fatal item ran at most 3 times later than 3 s after its third crash")
def few_late(context):
    late = context.play.late_runs
    assert late, "no fatal item crashed three runners"
    assert max(late.values()) <= LATE_RUNS_ALLOWED, f"late runs {late}"


# --- how the crashes of an item are counted --------------------------------------------------


class _NoListener:
    """Takes an answer."""

    def answer_begun(self, head):
        """Nothing to do."""

    def answer_failed(self, reason):
        """Nothing to do."""


@when("a runner has begun to run a fatal item that {state}, and crashes for another reason")
def crash_beside(context, state):
    clock = VirtualClock()
    context.runners = runners = CrashingRunners(clock, 1, lambda record: None)
    runners.crash_after_s, runners.cancelled_runs_crash = 0.3, False
    (runner,) = runners.runners
    call = StandInCall(
        runner.address, OutgoingRequest(b"POST", b"/", (), FATAL_BODY), _NoListener()
    )
    runners.take(call)
    clock.run_until(0.4 if state == "has crashed its runner" else 0.2)
    assert len(runners.fatal_runs) == 1, runners.fatal_runs
    if state == "its sender has given up":
        call.cancel()
    runners.crash(runner, runner.incarnation)


@then("{count:d} crash of that item is counted")
def crashes_counted(context, count):
    crashes = context.runners.fatal_crashes.get(FATAL_BODY, [])
    assert len(crashes) == count, crashes
