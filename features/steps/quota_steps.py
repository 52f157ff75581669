"""Steps for tenants' quotas over gateways that run only the quota client."""

import random

from behave import given, then, when
from features.support.quota_world import STORAGE_NODES, TENANT, QuotaWorld
from features.support.relaying import RelayWorld

from rainsail.tenancy.quota_decision import QuotaDecision
from rainsail.tenancy.tenants import Identity, RateLimit

FIRST, SECOND = STORAGE_NODES
RUNS = 1000
RUN_S = 14.0


@given("{count:d} gateways and a limit of {rate:g} a second and a burst of {burst:g}")
def make_world(context, count, rate, burst):
    context.world = QuotaWorld(1, count, RateLimit(rate, burst))
    context.world.lead(FIRST)
    context.world.clock.advance(0.1)


@when("clients ask {per_s:g} times a second for {for_s:g} seconds")
def offer_load(context, per_s, for_s):
    context.asked_for_s = for_s
    context.world.offer_load(per_s, for_s)
    context.world.clock.advance(for_s + 1)


@when("clients ask {per_s:g} times a second for {for_s:g} seconds before any allocator is known")
def load_without_allocator(context, per_s, for_s):
    context.world = QuotaWorld(2, len(context.world.gateways), context.world.limit)
    offer_load(context, per_s, for_s)


@when("clients ask {low:g} and {high:g} times a second alternately for {for_s:g} seconds")
def swing(context, low, high, for_s):
    world = context.world
    until_s = world.clock.seconds() + for_s
    while world.clock.seconds() < until_s:
        for per_s, seconds in ((low, 3.6), (high, 2.4)):
            world.offer_load(per_s, seconds)
            world.clock.advance(seconds)
    world.clock.advance(1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and after {lost_s:g} seconds no allocator answers"
)
def lose_allocator(context, per_s, for_s, lost_s):
    world = context.world
    world.offer_load(per_s, for_s)
    world.clock.advance(lost_s)
    world.lead("")
    world.clock.advance(for_s - lost_s + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and the allocator changes after {first:g} and {second:g} seconds"
)
def change_allocator(context, per_s, for_s, first, second):
    world = context.world
    world.offer_load(per_s, for_s)
    world.clock.advance(first)
    world.lead(SECOND, 0.3)
    world.clock.advance(second - first)
    world.lead(FIRST, 0.3)
    world.clock.advance(for_s - second + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and all processes are down from {begin_s:g} to {end_s:g} seconds"
)
def restart_everything(context, per_s, for_s, begin_s, end_s):
    world = context.world
    world.offer_load(per_s, begin_s)
    world.clock.advance(begin_s)
    world.lead("")
    world.clock.advance(end_s - begin_s)
    for number in range(len(world.gateways)):
        world.restart(number)
    world.offer_load(per_s, for_s - end_s)
    world.clock.advance(0.3)
    world.lead(FIRST)
    world.clock.advance(for_s - end_s + 1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and {count:d} gateways are partitioned after {cut_s:g} seconds"
)
def cut_off(context, per_s, for_s, count, cut_s):
    world = context.world
    world.offer_load(per_s, for_s)
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
    world.offer_load(per_s, for_s)
    world.clock.advance(after_s)
    world.set_limit(RateLimit(rate, burst))
    context.lowered_s = world.clock.seconds()
    world.clock.advance(for_s - after_s + 1)


@when("a thousand random runs are made with excess load, lost allocators, partitions and restarts")
def make_random_runs(context):
    context.over = []
    for seed in range(RUNS):
        over = _random_run(seed)
        if over > 0:
            context.over.append((seed, over))


@when("{runs:d} such runs are made in which {percent:d} of 100 admitted requests do not run")
def make_runs_with_refunds(context, runs, percent):
    context.over = []
    for seed in range(runs):
        over = _random_run(seed, percent / 100)
        if over > 0:
            context.over.append((seed, over))


def _random_run(seed, unused_share=0.0):
    """Make one random run; return by how much its busiest window exceeds the bound."""
    draw = random.Random(seed)
    rate = draw.choice((1.0, 4.0, 12.0))
    limit = RateLimit(rate, rate * draw.choice((1.0, 1.0, 2.0)))
    world = QuotaWorld(seed, draw.choice((3, 8, 20)), limit)
    world.lead(FIRST)
    world.unused_share = unused_share
    few = world.gateways[: draw.choice((1, 3, 20))]
    world.offer_load(rate * draw.choice((1.5, 4.0, 10.0)), RUN_S, draw.choice((None, few)))
    until_s = 0.0
    while until_s < RUN_S:
        step_s = draw.uniform(0.5, 4.0)
        until_s += step_s
        world.clock.advance(step_s)
        _random_event(draw, world)
    world.clock.advance(1.0)
    return world.max_excess(limit)


def _random_event(draw, world):
    """Inject a random fault, but only while an allocator leads; it changes once a window at most.

    Another scenario covers a change of the allocator and a restart of many gateways in one window.
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


@when("{count:d} requests are admitted and refunded one by one")
def give_back(context, count):
    world = context.world
    client = world.gateways[0].client
    for _ in range(count):
        world.request(world.gateways[0])
        world.clock.advance(0.01)
        client.give_back(Identity(TENANT, True, world.limit), world.last_decision)
    assert world.admissions.refused == 0, world.admissions


@when(
    "{count:d} requests are admitted by the allocator, "
    "and refunded once none answers and the share is used up"
)
def refund_late(context, count):
    world = context.world
    gateway = world.gateways[0]
    decisions = []
    for _ in range(count):
        world.request(gateway)
        world.clock.advance(0.01)
        decisions.append(world.last_decision)
    stop_allocator(context)
    while world.last_decision.is_admitted:
        world.request(gateway)
    for decision in decisions:
        gateway.client.give_back(Identity(TENANT, True, world.limit), decision)


@when("{count:d} requests at gateway {number:d} are admitted at one moment and refunded")
def refund_together(context, count, number):
    world = context.world
    assert _admitted_at(world, number, count) == count, world.admissions
    for _ in range(count):
        identity = Identity(TENANT, True, world.limit)
        world.gateways[number - 1].client.give_back(identity, world.last_decision)


def _admitted_at(world, number, count):
    """Send requests to a gateway at one moment; return how many of them are admitted."""
    before = len(world.admissions.admitted_s)
    for _ in range(count):
        world.request(world.gateways[number - 1])
    world.clock.advance(0.01)
    return len(world.admissions.admitted_s) - before


@when("{seconds:g} seconds pass at the gateways")
def pass_time(context, seconds):
    context.world.clock.advance(seconds)


@then("{admitted:d} of {count:d} requests at gateway {number:d} are admitted")
def admitted_there(context, admitted, count, number):
    found = _admitted_at(context.world, number, count)
    assert found == admitted, found


@when("no allocator answers any more")
def stop_allocator(context):
    context.world.lead("")
    for gateway in context.world.gateways:
        gateway.client.set_allocator("")


@then("{count:d} of the next {asked:d} requests are admitted")
def some_admitted(context, count, asked):
    admitted = _admitted_at(context.world, 1, asked)
    assert admitted == count, admitted


@then("the next {count:d} requests are admitted")
def next_admitted(context, count):
    world = context.world
    before = len(world.admissions.admitted_s)
    for _ in range(count):
        world.request(world.gateways[0])
        world.clock.advance(0.01)
    assert len(world.admissions.admitted_s) == before + count, world.admissions


@then("no window exceeds the quota terms")
def none_over(context):
    world = context.world
    assert world.admissions.admitted_s
    over = world.max_excess(world.limit)
    assert over <= 0, over


@then("no window that begins after {after_s:g} seconds exceeds the new limit")
def none_over_after(context, after_s):
    world = context.world
    over = world.max_excess(world.limit, context.lowered_s)
    assert over <= 0, over


@then("at least {rate:g} a second were admitted")
def admitted(context, rate):
    count = len(context.world.admissions.admitted_s)
    assert count >= rate * context.asked_for_s, count


@then("of the requests within the limit, at most 1 in {part:d} was refused")
def few_refused(context, part):
    admissions = context.world.admissions
    allowed = len(admissions.admitted_s) + admissions.refused_within
    assert admissions.refused_within <= allowed / part, (admissions.refused_within, allowed)


@then("no request within the limit was refused")
def none_refused(context):
    assert context.world.admissions.refused_within == 0, context.world.admissions.refused_within


@then("no window of these runs exceeds the quota terms")
def none_over_in_runs(context):
    assert context.over == [], context.over


@given("a relay without runners whose requests are admitted by the gateway's share")
def make_relay(context):
    context.relay = relay = RelayWorld(runners=0)
    relay.put_route("safe")
    context.refunds = []
    relay.context.admit = lambda identity, decided: decided(QuotaDecision(by_share=True))
    relay.context.give_back = lambda identity, decision: context.refunds.append(decision)


@when("a client sends a request to that relay")
def send(context):
    context.exchange = context.relay.request()


@then("it is refused with 503, and refunded to the gateway's share once")
def refused_and_refunded(context):
    assert context.exchange.status == 503, context.exchange.status
    assert context.refunds == [QuotaDecision(by_share=True)], context.refunds
