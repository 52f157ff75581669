"""Steps for prompt parts that crash the runners that begin to answer them, in virtual time."""

import itertools

from behave import given, step, then, when
from features.support.crashing_runners import RESTART_AFTER_S
from features.support.fatal_request_fleet import FatalRequestFleet
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import EVENT_STREAM_FIELDS, HOST, SERVICE

from rainsail.http.client import AnswerHead
from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.fingerprint import is_of_part, part_fingerprints
from rainsail.routing.facts import PromptPart
from rainsail.state.job_commands import ItemHeader, RelayedItem

SEED = 63
CONTACT_S = 3.0
ENDS_TO_KNOW = 5
"""Crashes after which a part counts as known to crash runners."""
RUNS_ALLOWED = 3
MIN_SHARE = 0.5
"""Sound requests begin at least this share as often as before."""
SERVED = 200


@given('a fleet of {gateways:d} gateways whose runners crash at the part "{part}"')
def make_fleet(context, gateways, part):
    context.fleet = FatalRequestFleet(SEED, gateways)
    context.fleet.runners.fatal_parts.add(part)
    context.sound = []


@given('its runners crash at the part "{part}" too')
def add_part(context, part):
    context.fleet.runners.fatal_parts.add(part)


@given('sound clients send {count:d} requests a second with prompts "{prompt}"')
def send_sound(context, count, prompt):
    fleet = context.fleet

    def send(number=0):
        at_s = fleet.clock.seconds()
        exchange = _send(fleet, fleet.any_gateway(), prompt, f"sound {number}")
        context.sound.append((at_s, exchange))
        fleet.clock.callLater(1 / count, send, number + 1)

    send()


def _send(fleet, gateway, prompt, body):
    number = body.rpartition(" ")[2]
    return fleet.request(gateway, body.encode(), prompt=prompt.replace("{n}", number))


@when("{seconds:g} s go by in that fleet")
def go_by(context, seconds):
    context.fleet.run_for(seconds)


@when('requests with prompts "{prompt}" come every {period_s:g} s for {seconds:g} s, meanwhile')
def come_meanwhile(context, prompt, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    names = fleet.names("gateway")

    def send(number=0):
        if fleet.clock.seconds() < until_s:
            _send(fleet, names[number % len(names)], prompt, f"{prompt} {number}")
            fleet.clock.callLater(period_s, send, number + 1)

    send()


@step(
    'requests with prompts "{prompt}" come every {period_s:g} s for {seconds:g} s, '
    "at each gateway in turn"
)
def come(context, prompt, period_s, seconds):
    context.came_s = context.fleet.clock.seconds()
    come_meanwhile(context, prompt, period_s, seconds)
    context.fleet.run_for(seconds + CONTACT_S)


def _late_runs(fleet, part):
    crashes = fleet.runners.fatal_crashes.get(part.encode(), [])
    known_s = sorted(crashes)[ENDS_TO_KNOW - 1] if len(crashes) >= ENDS_TO_KNOW else None
    if known_s is None:
        return []
    runs = [run for run in fleet.runners.fatal_runs if run.part == part]
    return [run for run in runs if run.at_s > known_s + CONTACT_S]


@then("later than {seconds:g} s after the fifth crash at most {most:d} runs of the part began")
@then(
    "later than {seconds:g} s after the fifth crash of each at most {most:d} runs of each part "
    "began"
)
def few_late_runs(context, seconds, most):
    fleet = context.fleet
    assert (seconds, most) == (CONTACT_S, RUNS_ALLOWED)
    for part in fleet.runners.fatal_parts:
        late = _late_runs(fleet, part)
        crashes = len(fleet.runners.fatal_crashes.get(part.encode(), []))
        assert crashes >= 3, f"{crashes} crashes"
        assert len(late) <= most, f"{len(late)} late runs, {crashes} crashes"


@then("sound requests began at the first attempt at least half as often after it as before")
def sound_began(context):
    fleet = context.fleet
    crashes = sorted(moment for times in fleet.runners.fatal_crashes.values() for moment in times)
    known_s = crashes[min(ENDS_TO_KNOW, len(crashes)) - 1]
    before = _share(context, 0.0, context.came_s)
    after = _share(context, known_s + 2 * CONTACT_S, fleet.clock.seconds() - CONTACT_S)
    assert after >= MIN_SHARE * before, (before, after)


def _share(context, from_s, until_s):
    begun = [each.status == SERVED for at_s, each in context.sound if from_s <= at_s < until_s]
    assert len(begun) >= 20, (from_s, until_s, len(begun))
    return sum(begun) / len(begun)


def _held_parts(context):
    """Return how many parts of prompts are or were held."""
    decided = context.fleet.decided().requests
    return [each for each in decided if is_of_part(each.fingerprint)]


@then("no part was ever held")
def none_held(context):
    assert not _held_parts(context), _held_parts(context)


@then('no part but "{part}" was ever held')
def only_one_held(context, part):
    prompt = (PromptPart(part, 1), PromptPart("own", 1))
    allowed = part_fingerprints("", SERVICE, "", prompt)
    held = [each.fingerprint for each in _held_parts(context)]
    assert set(held) <= set(allowed), held


@then("no runner of that fleet has crashed")
def no_crash(context):
    assert not context.fleet.runners.crashes, context.fleet.runners.crashes


# --- runners that end by themselves ----------------------------------------------------------


@given("its runners mark the end of an answer only by the end of the connection")
def unmarked_ends(context):
    context.fleet.runners.head = AnswerHead(200, EVENT_STREAM_FIELDS)


@when("some of its runners ends every {period_s:g} s for {seconds:g} s")
def some_end(context, period_s, seconds):
    fleet = context.fleet
    runners = itertools.cycle(fleet.runners.runners)
    for _ in range(round(seconds / period_s)):
        runner = next(runners)
        fleet.runners.crash(runner, runner.incarnation)
        fleet.run_for(period_s)


@when("{count:d} of its runners end at once and all others lose power, for {seconds:g} s")
def all_down(context, count, seconds):
    fleet = context.fleet
    fleet.run_for(RESTART_AFTER_S)
    for number, runner in enumerate(fleet.runners.runners):
        if number < count:
            fleet.runners.crash(runner, runner.incarnation, seconds)
        else:
            fleet.runners.lose_power(runner, seconds)
    fleet.run_for(seconds)


@then("sound requests are answered again")
def answered_again(context):
    fleet = context.fleet
    now_s = fleet.clock.seconds()
    fleet.run_for(5.0)
    assert _share(context, now_s, now_s + 3.0) >= 0.9


# --- decisions and operators -----------------------------------------------------------------


@when("all controllers of that fleet lose power and start again")
def restart_controllers(context):
    fleet = context.fleet
    names = fleet.names("controller")
    for name in names:
        fleet.crash(name)
    for name in names:
        fleet.start(name)
    fleet.leader("controller")
    fleet.run_for(CONTACT_S)
    context.runs_before = len(fleet.runners.fatal_runs)


@when('requests with prompts "{prompt}" come every {period_s:g} s for {seconds:g} s, once more')
def come_again(context, prompt, period_s, seconds):
    come_meanwhile(context, prompt, period_s, seconds)
    context.fleet.run_for(seconds)


@then("no run of the part began since the restart")
def no_run_since(context):
    assert len(context.fleet.runners.fatal_runs) == context.runs_before


@when("the part is harmless")
def harmless(context):
    context.fleet.runners.fatal_parts.clear()


@when("the part is harmless and an operator releases it")
def release(context):
    harmless(context)
    (held,) = _held_parts(context)
    controller = context.fleet.controller("controller-1")
    done = controller.quarantine.release(held.fingerprint)
    assert context.fleet.result_of(done, "the release").is_ok()
    context.fleet.run_for(1.0)


def _answer_to(context, prompt):
    exchange = context.fleet.request("gateway-1", b"a question", prompt=prompt)
    context.fleet.run_for(5.0)
    return exchange


@then('a request with prompt "{prompt}" is served')
def is_served(context, prompt):
    exchange = _answer_to(context, prompt)
    assert exchange.status == SERVED and exchange.ended, exchange


@then('a request with prompt "{prompt}" is refused as held')
def is_held(context, prompt):
    exchange = _answer_to(context, prompt)
    assert (exchange.status, exchange.headers) == (502, ()), exchange


@then("the fingerprints of one part differ by tenant, service and model, and by no other part")
def fingerprints_differ(context):
    prompt = (PromptPart("dead01", 40), PromptPart("own", 90))
    owners = itertools.product(("", "shop"), ("model", "other"), ("", "m"))
    found = {part_fingerprints(*owner, prompt) for owner in owners}
    assert len(found) == 8 and all(len(each) == 1 for each in found), found
    longer = part_fingerprints("", "model", "", (PromptPart("first", 1), *prompt))
    assert longer[1:] == part_fingerprints("", "model", "", prompt), longer


@then('the operator\'s list has the part "{part}" of the service "{service}"')
def list_names(context, part, service):
    (held,) = _held_parts(context)
    for name in context.fleet.names("controller"):
        quarantine = context.fleet.controller(name).quarantine
        named = quarantine.name_of_part(held.fingerprint)
        assert (named.service, named.part) == (service, part), (name, named)


# --- items -----------------------------------------------------------------------------------


@when('a job of {count:d} items is handed in, two of which hold the part "{part}"')
def hand_in(context, count, part):
    fleet = context.fleet
    items = tuple(
        RelayedItem(
            f"job-1-{number}",
            f"{JOB_PATH}/{number}",
            (ItemHeader("prompt", f"aa01:172,{part if number < 2 else 'bb'}:40,own{number}:9"),),
            f"item {number}".encode(),
            10,
        )
        for number in range(count)
    )
    limit = QueueLimit("/jobs/", 0)
    done = fleet.jobs["gateway-1"].submit("", "job-1", HOST, JOB_PATH, items, limit)
    assert fleet.result_of(done, "an answer to the job").is_ok()


@then("the {count:d} other items of the job are done")
def others_done(context, count):
    fleet = context.fleet
    state = fleet.nodes[fleet.leader("storage")].role.state
    (job,) = state.jobs.values()
    assert sorted(job.unlisted) == [0, 1], job.unlisted
    assert sum(each.done for each in job.listed) == count, job.listed
