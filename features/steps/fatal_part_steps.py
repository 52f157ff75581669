"""Steps for prompt parts that crash the runners that begin to answer them, in virtual time."""

from behave import given, step, then, when
from features.support.fatal_request_fleet import FatalRequestFleet

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
    return [each for each in decided if len(each.fingerprint) > 16]


@then("no part was ever held")
def none_held(context):
    assert not _held_parts(context), _held_parts(context)


@then('no part but "{part}" was ever held')
def only_one_held(context, part):
    assert len(_held_parts(context)) <= 1, _held_parts(context)


@then("no runner of that fleet has crashed")
def no_crash(context):
    assert not context.fleet.runners.crashes, context.fleet.runners.crashes
