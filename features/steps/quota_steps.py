"""Steps on tenants' quotas over gateways of which only the quota client runs."""

import random

from behave import given, then, when
from features.support.quota_world import KEEPERS, TENANT, QuotaWorld

from rainsail.tenancy.tenants import Identity, RateLimit

FIRST, SECOND = KEEPERS
COURSES = 1000
COURSE_S = 14.0


@given("{count:d} gateways and a limit of {rate:g} a second and a burst of {burst:g}")
def make_world(context, count, rate, burst):
    context.world = QuotaWorld(1, count, RateLimit(rate, burst))
    context.world.lead(FIRST)
    context.world.clock.advance(0.1)


@when("clients ask {per_s:g} times a second for {for_s:g} seconds")
def press(context, per_s, for_s):
    context.asked_for_s = for_s
    context.world.press(per_s, for_s)
    context.world.clock.advance(for_s + 1)


@when("clients ask {per_s:g} times a second for {for_s:g} seconds before any keeper is known")
def press_alone(context, per_s, for_s):
    context.world = QuotaWorld(2, len(context.world.gateways), context.world.limit)
    press(context, per_s, for_s)


@when("clients ask {low:g} and {high:g} times a second by turns for {for_s:g} seconds")
def swing(context, low, high, for_s):
    world = context.world
    until_s = world.clock.seconds() + for_s
    while world.clock.seconds() < until_s:
        for per_s, seconds in ((low, 3.6), (high, 2.4)):
            world.press(per_s, seconds)
            world.clock.advance(seconds)
    world.clock.advance(1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and after {lost_s:g} seconds no keeper answers"
)
def lose_keeper(context, per_s, for_s, lost_s):
    world = context.world
    world.press(per_s, for_s)
    world.clock.advance(lost_s)
    world.lead("")
    world.clock.advance(for_s - lost_s + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and the keeper changes after {first:g} and {second:g} seconds"
)
def change_keepers(context, per_s, for_s, first, second):
    world = context.world
    world.press(per_s, for_s)
    world.clock.advance(first)
    world.lead(SECOND, 0.3)
    world.clock.advance(second - first)
    world.lead(FIRST, 0.3)
    world.clock.advance(for_s - second + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and all is dark from {dark:g} to {light:g} seconds"
)
def all_dark(context, per_s, for_s, dark, light):
    world = context.world
    world.press(per_s, dark)
    world.clock.advance(dark)
    world.lead("")
    world.clock.advance(light - dark)
    for number in range(len(world.gateways)):
        world.restart(number)
    world.press(per_s, for_s - light)
    world.clock.advance(0.3)
    world.lead(FIRST)
    world.clock.advance(for_s - light + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and {count:d} gateways are cut off after {cut_s:g} seconds"
)
def cut_off(context, per_s, for_s, count, cut_s):
    world = context.world
    world.press(per_s, for_s)
    world.clock.advance(cut_s)
    for gateway in world.gateways[:count]:
        world.network.isolate(gateway.name)
    world.clock.advance(for_s - cut_s + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and after {after_s:g} seconds the limit is {rate:g} and {burst:g}"
)
def lower(context, per_s, for_s, after_s, rate, burst):
    world = context.world
    world.press(per_s, for_s)
    world.clock.advance(after_s)
    world.set_limit(RateLimit(rate, burst))
    context.lowered_s = world.clock.seconds()
    world.clock.advance(for_s - after_s + 1)


@when("a thousand courses are drawn of pressing clients, lost keepers, cuts and restarts")
def draw_courses(context):
    context.over = []
    for seed in range(COURSES):
        over = _drawn_course(seed)
        if over > 0:
            context.over.append((seed, over))


def _drawn_course(seed):
    """Play one course; return by how much its fullest window is over what is allowed."""
    draw = random.Random(seed)
    rate = draw.choice((1.0, 4.0, 12.0))
    limit = RateLimit(rate, rate * draw.choice((1.0, 1.0, 2.0)))
    world = QuotaWorld(seed, draw.choice((3, 8, 20)), limit)
    world.lead(FIRST)
    few = world.gateways[: draw.choice((1, 3, 20))]
    world.press(rate * draw.choice((1.5, 4.0, 10.0)), COURSE_S, draw.choice((None, few)))
    until_s = 0.0
    while until_s < COURSE_S:
        step_s = draw.uniform(0.5, 4.0)
        until_s += step_s
        world.clock.advance(step_s)
        _drawn_event(draw, world)
    world.clock.advance(1.0)
    return world.most_over(limit)


def _drawn_event(draw, world):
    """Bring a fault about; gateways restart while there is a keeper, which changes once a window.

    A keeper's change and a restart of many gateways in one window are a scenario of their own.
    """
    if not world.leading:
        return
    match draw.randrange(4):
        case 0 if world.clock.seconds() - world.led_since_s > world.terms.window_s:
            other = SECOND if world.leading == FIRST else FIRST
            world.lead("")
            world.clock.callLater(draw.uniform(0.3, 2.0), world.lead, other)
        case 0 | 1:
            gateway = draw.choice(world.gateways)
            world.network.isolate(gateway.name)
            rejoin_s = draw.uniform(0.5, 4.0)
            world.clock.callLater(rejoin_s, world.network.rejoin, gateway.name)
        case 2:
            world.restart(draw.randrange(len(world.gateways)))
        case 3:
            for number in range(0, len(world.gateways), 2):
                world.restart(number)


@when("{count:d} requests are admitted and given back again one by one")
def give_back(context, count):
    world = context.world
    client = world.gateways[0].client
    for _ in range(count):
        world.request(world.gateways[0])
        world.clock.advance(0.01)
        client.give_back(Identity(TENANT, True, world.limit))
    assert world.admissions.refused == 0, world.admissions


@then("the next {count:d} requests are admitted")
def next_admitted(context, count):
    world = context.world
    before = len(world.admissions.admitted_s)
    for _ in range(count):
        world.request(world.gateways[0])
        world.clock.advance(0.01)
    assert len(world.admissions.admitted_s) == before + count, world.admissions


@then("no window is over what the terms allow")
def none_over(context):
    world = context.world
    assert world.admissions.admitted_s
    over = world.most_over(world.limit)
    assert over <= 0, over


@then("no window that begins after {after_s:g} seconds is over what the new limit allows")
def none_over_after(context, after_s):
    world = context.world
    over = world.most_over(world.limit, context.lowered_s)
    assert over <= 0, over


@then("at least {rate:g} a second were admitted")
def admitted(context, rate):
    count = len(context.world.admissions.admitted_s)
    assert count >= rate * context.asked_for_s, count


@then("of what the limit allows at most 1 in {part:d} was refused")
def few_refused(context, part):
    admissions = context.world.admissions
    allowed = len(admissions.admitted_s) + admissions.refused_within
    assert admissions.refused_within <= allowed / part, (admissions.refused_within, allowed)


@then("nothing that the limit allows was refused")
def none_refused(context):
    assert context.world.admissions.refused_within == 0, context.world.admissions.refused_within


@then("in none of them a window is over what the terms allow")
def none_over_drawn(context):
    assert context.over == [], context.over
