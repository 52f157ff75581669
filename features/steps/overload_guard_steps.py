"""Steps for load shedding: refusing requests that would wait too long for a slot."""

import random

from behave import given, step, then, when

from rainsail.routing.messages import ServiceLoad
from rainsail.routing.overload import OverloadGuard, OverloadSettings

SERVICE = "model"
ROUTE = "route"
DEADLINE_S = 5.1
DRAWN = 200


@given(
    "a service of {slots:d} slots whose answers take {took:g} seconds, "
    "with a target of {target:g} seconds"
)
def make_guard(context, slots, took, target):
    context.guard = OverloadGuard(random.Random(3), OverloadSettings())
    context.guard.answered(SERVICE, took)
    context.slots = slots
    context.target_s = target
    context.now_s = 0.0


@given(
    "a service of {slots:d} slots of which no answer was seen, with a target of {target:g} seconds"
)
def make_fresh_guard(context, slots, target):
    make_guard(context, slots, 0.0, target)


def _report_load(context, online, own=0):
    load = ServiceLoad(SERVICE, online, context.slots, own, False)
    context.guard.update_load(load, context.now_s)


def _retry_after_s(context, own=0):
    return context.guard.retry_after_s(SERVICE, own, context.target_s, DEADLINE_S, context.now_s)


@step("the leader says that {online:d} requests are under way")
def leader_reports(context, online):
    _report_load(context, online)


@when("the leader says that {online:d} requests are under way, {own:d} of them from here")
def leader_reports_own(context, online, own):
    _report_load(context, online, own)


@when("1 second passes without the leader's word, after it said {online:d}")
def no_report(context, online):
    _report_load(context, online)
    context.now_s += 1.0


@then("the next request is taken")
def taken(context):
    assert _retry_after_s(context) is None


@then("the next request is refused, to come back between {least:g} and {most:g} seconds later")
def refused(context, least, most):
    wait_s = _retry_after_s(context)
    assert wait_s is not None and least <= wait_s <= most, wait_s


@then("the next request is refused once {own:d} are under way from here")
def refused_from(context, own):
    assert _retry_after_s(context, 2) is None
    assert _retry_after_s(context, own) is not None


@then("the leader is asked for a place where at most {share:g} wait for each slot")
def asked_share(context, share):
    asked = context.guard.most_waiting(SERVICE, context.target_s)
    assert abs(asked - share) < 0.001, asked


@then("a request with {left:g} of its {usual:g} seconds left is taken")
def is_resent(context, left, usual):
    assert not context.guard.is_resent(ROUTE, usual)
    assert context.guard.is_resent(ROUTE, left)
    assert not context.guard.is_resent(ROUTE, usual)


@when("overloads of {seconds:g} seconds have been seen")
def episodes(context, seconds):
    for _ in range(3):
        until_s = context.now_s + seconds
        while context.now_s < until_s:
            _report_load(context, 140)
            assert _retry_after_s(context) is not None
            context.now_s += 0.05
        context.now_s += 2.0
        _report_load(context, 10)
        assert _retry_after_s(context) is None


@then("clients that are refused come back spread over {least:g} to {most:g} seconds later")
def spread(context, least, most):
    waits = [_retry_after_s(context) for _ in range(DRAWN)]
    assert least - 0.1 <= min(waits) and max(waits) <= most, (min(waits), max(waits))
    middle = (min(waits) + max(waits)) / 2
    before = sum(wait < middle for wait in waits)
    assert DRAWN / 4 < before < 3 * DRAWN / 4, before


@when("the leader tells the relay of {online:d} requests on {slots:d} slots of {took:g} seconds")
def tell_relay(context, online, slots, took):
    world = context.relay
    world.context.overload.answered(SERVICE, took)
    load = ServiceLoad(SERVICE, online, slots, 0, False)
    world.context.overload.update_load(load, world.clock.seconds())


@then("0 attempts were made")
def none_sent(context):
    assert context.relay.pool.calls == []
