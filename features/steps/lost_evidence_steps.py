"""Steps for a fatal part while all controllers are killed again and again, in virtual time."""

from behave import given, then, when
from features.support.fatal_request_fleet import FatalRequestFleet

PART = "fatal01"
PERIOD_S = 0.15
PLAY_S = 90.0
DOWN_S = 0.5
APART_S = 4.5
"""No further kill within this time, so that a group forms again."""
CRASHES_COUNTED = 5


@given("a fleet whose clients send requests with a fatal part, seed {seed:d}")
@given("a fleet whose clients send requests with a fatal part every {period_s:g} s, seed {seed:d}")
def make_fleet(context, seed, period_s=PERIOD_S):
    context.fleet = fleet = FatalRequestFleet(seed, 3, 10, slots=3)
    fleet.runners.fatal_parts.add(PART)
    until_s = fleet.clock.seconds() + PLAY_S
    fleet.send_others(1 / 15, until_s)
    _send(fleet, until_s, period_s, 0)


def _send(fleet, until_s, period_s, number):
    if fleet.clock.seconds() < until_s:
        prompt = f"{PART}:40,own{number}:9"
        fleet.request(fleet.any_gateway(), f"fatal {number}".encode(), prompt=prompt)
        fleet.clock.callLater(period_s, _send, fleet, until_s, period_s, number + 1)


@when(
    "all controllers are killed {delay_s:g} s after each crash that follows its first hold, "
    "for {seconds:g} s"
)
def kill_after_crashes(context, delay_s, seconds):
    fleet = context.fleet
    fleet.run_until(lambda: fleet.decided().requests, "the part is held", 30.0)
    until_s = fleet.clock.seconds() + seconds
    seen, next_s = len(fleet.runners.crashes), 0.0
    while fleet.clock.seconds() < until_s:
        fleet.run_for(0.1)
        count = len(fleet.runners.crashes)
        if count > seen and fleet.clock.seconds() > next_s:
            next_s = fleet.clock.seconds() + APART_S
            fleet.clock.callLater(delay_s, _kill_all, fleet)
        seen = count


def _kill_all(fleet):
    for name in fleet.names("controller"):
        fleet.crash(name)
        fleet.clock.callLater(DOWN_S, fleet.start, name)


@when("all controllers are killed {delay_s:g} s after the fifth crash, and {seconds:g} s pass")
def kill_after_fifth_crash(context, delay_s, seconds):
    fleet = context.fleet
    fleet.run_until(lambda: len(fleet.runners.crashes) >= CRASHES_COUNTED, "five crashes", 30.0)
    assert not fleet.decided().requests, "the part is held before the kill"
    fleet.run_for(delay_s)
    _kill_all(fleet)
    fleet.run_for(seconds)


@then("the fatal part ran at most {most:d} times later than {after_s:g} s after its fifth crash")
def few_late_runs(context, most, after_s):
    late = _late_runs(context, after_s)
    assert late and len(late) <= most, late


@then(
    "the fatal part ran at most {most:d} times later than {after_s:g} s after its fifth crash, "
    "or never"
)
def few_late_runs_or_none(context, most, after_s):
    late = _late_runs(context, after_s)
    assert len(late) <= most, late


def _late_runs(context, after_s):
    """Return when the fatal part ran too late, in seconds after the end of the time allowed."""
    runners = context.fleet.runners
    known_s = runners.crashes[CRASHES_COUNTED - 1] + after_s
    return [round(run.at_s - known_s, 1) for run in runners.fatal_runs if run.at_s > known_s]
