"""Steps on permits for trials whose runs never began, or whose senders are lost."""

from behave import given, step, then, when
from features.steps.trial_permit_steps import FIRST

from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.messages import RequestPermit
from rainsail.routing.facts import PromptPart
from rainsail.state.cluster_commands import ReleaseRequest

SENDER, OTHER, NUMBER = "node-1", "node-2", 7
PERMITTED_S = 11.0
LAPSE_S = 8.0
LOOK_PERIOD_S = 0.01
BACK_AFTER_S = 0.5


@step("all its runners crash while idle, to start again {later_s:g} s later")
def crash_idle(context, later_s):
    for runner in context.fleet.runners.runners:
        assert not runner.calls
        context.fleet.runners.crash(runner, runner.incarnation, later_s)


@given("each gateway is lost {after_s:g} s after it has run into a fatal part")
def lose_gateways(context, after_s):
    fleet = context.fleet
    seen: set[float] = set()

    def look():
        for run in fleet.runners.fatal_runs:
            if run.at_s not in seen:
                seen.add(run.at_s)
                fleet.clock.callLater(0.1 + after_s, lose, run.sender)
        fleet.clock.callLater(LOOK_PERIOD_S, look)

    def lose(name):
        if name in fleet.nodes:
            fleet.crash(name)
            fleet.clock.callLater(BACK_AFTER_S, fleet.start, name)

    look()


@when('a request with the part "{part}" comes every {period_s:g} s for {seconds:g} s')
def come(context, part, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    number = 0
    while fleet.clock.seconds() < until_s:
        number += 1
        fleet.request(fleet.any_gateway(), f"{number}".encode(), prompt=f"{part}:40,own{number}:9")
        fleet.run_for(period_s)


def _fingerprint(part):
    prompt = (PromptPart(part, 1), PromptPart("own", 1))
    (fingerprint,) = part_fingerprints("", "model", "", prompt)
    return fingerprint


@step('the part "{part}" is cleared')
def clear(context, part):
    fleet = context.fleet
    driver = fleet.nodes[fleet.leader("controller")].role.driver
    done = driver.propose(ReleaseRequest(_fingerprint(part), 1, forget=True))
    assert fleet.result_of(done, "a decision on the part").is_ok()


@then('a trial of the part "{first}" and then one of the part "{second}" are permitted at once')
def permitted_at_once(context, first, second):
    fleet = context.fleet
    leader = fleet.address(fleet.leader("controller"))
    messenger = fleet.nodes["gateway-1"].base.messenger
    for number, part in enumerate((first, second), 1):
        done = messenger.call(leader, RequestPermit(number, (_fingerprint(part),)), 0.3)
        reply = fleet.result_of(done, "a reply")
        assert reply.is_ok() and reply.ok.permitted, (part, reply)


@when('a gateway gets a permit for the part "{part}"')
def get_permit(context, part):
    fleet = context.fleet
    decisions = []
    fleet.guards["gateway-1"].request_trial((_fingerprint(part),), decisions.append)
    fleet.run_until(lambda: decisions, "a decision on the permit")
    assert decisions == [True], decisions


@then('the part "{part}" was held {times:d} times')
def held_times(context, part, times):
    fingerprint = _fingerprint(part)
    known = [
        each.times for each in context.fleet.decided().requests if each.fingerprint == fingerprint
    ]
    assert known == [times], known


def _permit(context):
    assert context.permits.permit((FIRST,), PERMITTED_S, SENDER, NUMBER)


@step("its permit is given back unused {later_s:g} s later")
def give_back(context, later_s):
    _permit(context)
    assert context.permits.ended(SENDER, NUMBER, has_run=False)
    context.released_s = PERMITTED_S + later_s


@step("its permit is given back by another node")
def give_back_by_other(context):
    _permit(context)
    assert not context.permits.ended(OTHER, NUMBER, has_run=False)
    context.released_s = PERMITTED_S


@step("its permit is given back under another number")
def give_back_other_number(context):
    _permit(context)
    assert not context.permits.ended(SENDER, NUMBER + 1, has_run=False)
    context.released_s = PERMITTED_S


@step("its permit is known to have been used")
def use(context):
    _permit(context)
    assert not context.permits.ended(SENDER, NUMBER, has_run=True)
    context.released_s = PERMITTED_S


@step("its permit was given back before it was given")
def give_back_early(context):
    context.permits.ended(SENDER, NUMBER, has_run=False)
    assert not context.permits.permit((FIRST,), PERMITTED_S, SENDER, NUMBER)
    context.released_s = PERMITTED_S + 0.1


@step("its permit is followed by a report on a crash of it")
def report_crash(context):
    _permit(context)
    context.permits.crash_reported([FIRST])


@step("its permit is mentioned no more")
def say_nothing(context):
    _permit(context)


@then("8 s later its run {counts} as one whose report may be lost")
def counted(context, counts):
    expected = {"counts": (FIRST,), "does not count": ()}[counts]
    assert context.permits.lapsed(SENDER, NUMBER) == expected
