"""Steps for the request rate of runners that are warming up."""

import random

from behave import given, then, when
from features.support.warm_up_world import STORAGE_NODES, WarmUpWorld

FIRST, SECOND = STORAGE_NODES
RUNS = 100
RUN_S = 9.0


@given("{gateways:d} gateways and {runners:d} runners, with a ledger leader")
def make_world(context, gateways, runners):
    context.world = WarmUpWorld(1, gateways, runners)
    context.world.lead(FIRST)
    context.world.clock.advance(0.1)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and {zone} is drained from {begin_s:g} to {end_s:g} seconds"
)
def load_with_drain(context, per_s, for_s, zone, begin_s, end_s):
    world = context.world
    world.offer_load(per_s, for_s)
    world.offer_items(20, for_s)
    world.clock.callLater(begin_s, world.drain, zone, end_s - begin_s)
    world.clock.advance(for_s + 1)


def _all_go_cold(world, delay_s):
    for runner in world.runners:
        world.go_cold(runner, delay_s)


@when(
    "clients ask {per_s:g} times a second for {for_s:g} seconds, "
    "and after {cold_s:g} seconds all runners go cold"
)
def load_with_cold_runners(context, per_s, for_s, cold_s):
    world = context.world
    world.offer_load(per_s, for_s)
    world.clock.callLater(cold_s, _all_go_cold, world, 0.0)
    world.clock.advance(for_s + 1)


@when(
    "there is no ledger leader, all runners are known to be cold, "
    "and clients ask {per_s:g} times a second for {for_s:g} seconds"
)
def load_without_leader(context, per_s, for_s):
    world = context.world
    world.lead("")
    _all_go_cold(world, 0.0)
    world.clock.advance(0.2)
    world.offer_load(per_s, for_s)
    world.clock.advance(for_s + 0.5)


@then("no cold runner got more than the bound in any second")
def within_bound(context):
    assert context.world.max_excess() <= 0, context.world.max_excess()


@then("no runner got anything")
def nothing_sent(context):
    assert not any(runner.sent_s for runner in context.world.runners)


@then(
    "{zone} got at least {per_s:g} requests a second for each runner "
    "between {begin_s:g} and {end_s:g} seconds"
)
def used(context, zone, per_s, begin_s, end_s):
    for runner in context.world.runners:
        if runner.record.zone == zone:
            got = [at_s for at_s in runner.sent_s if begin_s <= at_s <= end_s]
            assert len(got) >= per_s * (end_s - begin_s), (runner.record.runner, len(got))


@then(
    "requests that could not be served were refused within {seconds:g} seconds, with a retry time"
)
def refused_at_once(context, seconds):
    refused = [each for each in context.world.answered if each.status == 503]
    assert refused
    for exchange in refused:
        assert exchange.answered_at_s - exchange.request.received_s <= seconds
        assert dict(exchange.headers).get(b"retry-after"), exchange.headers


def _random_run(seed):
    """Return a world after a random run."""
    draw = random.Random(seed)
    world = WarmUpWorld(seed, draw.choice((3, 12, 40)), draw.choice((2, 6, 9)))
    runners = len(world.runners)
    world.lead(FIRST)
    world.clock.advance(0.1)
    world.offer_load(runners * draw.choice((4, 9, 14)), RUN_S)
    world.offer_items(runners * draw.choice((0.1, 3)), RUN_S)
    at = world.clock.callLater
    for _ in range(draw.randint(1, 4)):
        runner = draw.choice(world.runners)
        at(draw.uniform(1, 7), world.go_cold, runner, draw.choice((0.0, 0.2)))
    if draw.random() < 0.5:
        at(draw.uniform(1, 3), world.drain, draw.choice(("zone-0", "zone-1")), 2.0)
    if draw.random() < 0.6:
        lost_s = draw.uniform(1, 6)
        at(lost_s, world.lead, "")
        at(lost_s + draw.uniform(0.0, 1.0), world.lead, SECOND, draw.uniform(0.0, 0.3))
    for number in range(len(world.gateways)):
        if draw.random() < 0.15:
            at(draw.uniform(1, 7), world.cut_off, number)
        elif draw.random() < 0.2:
            at(draw.uniform(1, 7), world.restart, number)
    world.clock.advance(RUN_S + 1)
    return world


@when(
    "a hundred random runs are made "
    "with cold runners, drains, lost leaders, partitions and restarts"
)
def make_random_runs(context):
    context.over = {}
    for seed in range(1, RUNS + 1):
        over = _random_run(seed).max_excess()
        if over > 0:
            context.over[seed] = over


@then("in none of them did a cold runner get more than the bound in any second")
def none_over(context):
    assert not context.over, context.over
