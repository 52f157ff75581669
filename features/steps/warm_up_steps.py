"""Steps on runners that warm up."""

import random

from behave import given, then, when
from features.support.warm_up_world import PLACEMENT_NODES, WarmUpWorld

FIRST, SECOND = PLACEMENT_NODES
RUNS = 100
RUN_S = 9.0


@given("{gateways:d} gateways and {runners:d} runners, with a placement leader")
def make_world(context, gateways, runners):
    context.world = WarmUpWorld(1, gateways, runners)
    context.world.lead(FIRST)
    context.world.clock.advance(0.1)


@when(
    "clients send {per_s:g} requests a second for {for_s:g} seconds, "
    "and {zone} is drained from {begin_s:g} to {end_s:g} seconds"
)
def load_with_drain(context, per_s, for_s, zone, begin_s, end_s):
    world = context.world
    world.schedule_requests(per_s, for_s)
    world.schedule_items(20, for_s)
    world.clock.callLater(begin_s, world.drain, zone, end_s - begin_s)
    world.clock.advance(for_s + 1)


def _all_go_cold(world, silent_s):
    for runner in world.runners:
        world.go_cold(runner, silent_s)


@when(
    "clients send {per_s:g} requests a second for {for_s:g} seconds, "
    "and after {cold_s:g} seconds all runners go cold"
)
def load_with_cold(context, per_s, for_s, cold_s):
    world = context.world
    world.schedule_requests(per_s, for_s)
    world.clock.callLater(cold_s, _all_go_cold, world, 0.0)
    world.clock.advance(for_s + 1)


@when(
    "there is no placement leader, all runners are known to be cold, "
    "and clients send {per_s:g} requests a second for {for_s:g} seconds"
)
def load_without_leader(context, per_s, for_s):
    world = context.world
    world.lead("")
    _all_go_cold(world, 0.0)
    world.clock.advance(0.2)
    world.schedule_requests(per_s, for_s)
    world.clock.advance(for_s + 0.5)


@then("no cold runner got more than the bound in any second")
def within_bound(context):
    assert context.world.excess_over_bound() <= 0, context.world.excess_over_bound()


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
    "requests that could not be served were refused within {seconds:g} seconds, "
    "with a time to retry after"
)
def refused_at_once(context, seconds):
    refused = [each for each in context.world.answered if each.status == 503]
    assert refused
    for exchange in refused:
        assert exchange.answered_at_s - exchange.request.received_s <= seconds
        assert dict(exchange.headers).get(b"retry-after"), exchange.headers


def _random_run(seed):
    """Return a random run after its end."""
    draw = random.Random(seed)
    world = WarmUpWorld(seed, draw.choice((3, 12, 40)), draw.choice((2, 6, 9)))
    runners = len(world.runners)
    world.lead(FIRST)
    world.clock.advance(0.1)
    world.schedule_requests(runners * draw.choice((4, 9, 14)), RUN_S)
    world.schedule_items(runners * draw.choice((0.1, 3)), RUN_S)
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
    "a hundred random runs mix cold runners, drains, lost placement leaders, partitions "
    "and restarts"
)
def random_runs(context):
    context.over = {}
    for seed in range(1, RUNS + 1):
        over = _random_run(seed).excess_over_bound()
        if over > 0:
            context.over[seed] = over


@then("in none of them any cold runner got more than the bound in any second")
def none_over(context):
    assert not context.over, context.over
