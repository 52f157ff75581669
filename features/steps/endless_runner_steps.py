"""Steps on runners whose answers never end, at real processes with little memory."""

from behave import given, step
from features.steps.crowd_steps import _add_crowd, _start
from features.support.crowd_clients import Crowd, Plan, asks
from features.support.endless_runner import EndlessPlatform
from features.support.platform_stand_in import wait_until

SLOTS = 200


@given(
    "a platform of small machines with {runners:d} sound runners, "
    "and {faulty:d} that answer with {kind} without end"
)
def start(context, runners, faulty, kind):
    platform = EndlessPlatform(3, 3, 1)
    _start(context, platform, runners)
    for _ in range(faulty):
        platform.add_endless_runner(kind, SLOTS)


@step("the faulty service gets {count:d} requests for a {route}")
def ask(context, count, route):
    plan = Plan(asks(f"/faulty-{route}/x"), returns=3)
    _add_crowd(context, Crowd(context.platform.nodes["gateway-1"].ip, [plan] * count))


@step("the faulty runners have begun at least {count:d} answers")
def begun(context, count):
    platform = context.platform
    wait_until(lambda: sum(each.answers for each in platform.endless) >= count, "answers")
