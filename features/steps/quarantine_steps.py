"""Steps on requests that end the runners that run them, in virtual time."""

from behave import given, step, then, when
from features.support.dying_runners import FATAL_BODY
from features.support.fatal_request_fleet import FatalRequestFleet
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.jobs.messages import QueueLimit
from rainsail.state.job_commands import RelayedItem

SEED = 7
ENDS_ALLOWED = 3
FATAL_ITEM = 2


@given("a fleet of {gateways:d} gateways whose runners end when they run the fatal body")
def make_fleet(context, gateways):
    context.fleet = FatalRequestFleet(SEED, gateways)


@step("others send {count:d} requests a second for {seconds:g} s")
def others_send(context, count, seconds):
    fleet = context.fleet
    fleet.send_others(1 / count, fleet.clock.seconds() + seconds)


@step("the fatal body comes each {period_s:g} s for {seconds:g} s, at one gateway after the other")
def fatal_comes(context, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    turn = 0
    while fleet.clock.seconds() < until_s:
        names = fleet.names("gateway")
        fleet.request(names[turn % len(names)], FATAL_BODY)
        turn += 1
        fleet.run_for(period_s)


@step("{seconds:g} s go by")
def go_by(context, seconds):
    context.fleet.run_for(seconds)


@then(
    "at most {most:d} of its runs began later than {seconds:g} s after it had ended a third runner"
)
def few_late_runs(context, most, seconds):
    runners = context.fleet.runners
    assert len(runners.ends) >= ENDS_ALLOWED, runners.ends
    allowed_until_s = runners.ends[ENDS_ALLOWED - 1] + seconds
    late = [moment for moment in runners.fatal_runs if moment > allowed_until_s]
    assert len(late) <= most, (len(runners.ends), len(late), runners.ends[:6], late[:6])


@then("the others were served but for streams that a runner's end broke")
def others_served(context):
    fleet = context.fleet
    fleet.run_for(5.0)
    exchanges = fleet.answered()
    served = [each for each in exchanges if each.status == 200 and each.ended]
    assert len(exchanges) > 100, len(exchanges)
    assert len(served) >= 0.98 * len(exchanges), (len(served), len(exchanges))


@when("a job with the fatal body among its {count:d} items is handed in")
def job_with_fatal_item(context, count):
    context.fleet.run_for(1.0)
    items = tuple(
        RelayedItem(
            f"job-{number}",
            f"{JOB_PATH}/{number}",
            (),
            FATAL_BODY if number == FATAL_ITEM else f"item {number}".encode(),
            10,
        )
        for number in range(count)
    )
    fleet = context.fleet
    submitted = fleet.jobs["gateway-1"].submit("", "job", HOST, JOB_PATH, items, QueueLimit("", 0))
    result = fleet.result_of(submitted, "the job is accepted")
    assert result.is_ok(), result


@then("the other {count:d} items are done")
def other_items_done(context, count):
    fleet = context.fleet
    leader = fleet.nodes[fleet.leader("storage")].role
    (job,) = leader.state.jobs.values()
    assert job.unlisted == {FATAL_ITEM}, job.unlisted
    assert len(job.items) == count + 1
