"""Steps on the moments of a planned stop."""

from behave import then, when

from rainsail.fleet.stop_schedule import StopSchedule, stop_schedule

DIGITS = 6


@when("a gateway with a grace time of {grace_s:g} s plans its stop")
def plan(context, grace_s):
    context.schedule = stop_schedule(grace_s)


@then(
    "the port closes after {closes_s:g} s, unfinished requests end after {answers_s:g} s, "
    "and the process ends after {ends_s:g} s"
)
def planned(context, closes_s, answers_s, ends_s):
    made = context.schedule
    rounded = StopSchedule(
        *(round(s, DIGITS) for s in (made.closes_s, made.answers_s, made.ends_s))
    )
    assert rounded == StopSchedule(closes_s, answers_s, ends_s), rounded
