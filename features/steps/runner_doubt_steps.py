"""Steps on runners that one node has found crashed, in virtual time."""

from dataclasses import replace

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import runner_record

from rainsail.quarantine.messages import RunnerCrashed

SEED = 75
BORN = 1_000


def _report(context, born, sequence):
    record = replace(runner_record(1, sequence=sequence), born=born)
    context.fleet.controller("controller-1").reports.take(record)
    context.fleet.run_for(0.2)


@given("a relayed fleet with a runner that every gateway knows")
def make_fleet(context):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.run_for(1.5)
    _report(context, BORN, 1)


def _crash(context, age_s):
    fleet = context.fleet
    messenger = fleet.nodes["gateway-2"].base.messenger
    for name in fleet.names("controller"):
        messenger.send(fleet.address(name), RunnerCrashed("runner-1", (), age_s))
    fleet.run_for(0.2)


@when("gateway 2 reports that it found the runner crashed, with no request there")
def crashed(context):
    _crash(context, 0.0)


@when("gateway 2 reports that it found the runner crashed {seconds:d} seconds ago")
def crashed_before(context, seconds):
    _crash(context, float(seconds))


@step("the runner has reported its new start")
def started(context):
    _report(context, BORN + 1, 1)


def _may_be_replaced(context):
    registry = context.fleet.nodes["gateway-1"].base.registry
    return registry.may_be_replaced(registry.get("runner-1"))


@then("gateway 1 takes another process at the runner's address for possible")
def doubts(context):
    assert _may_be_replaced(context)


@then("gateway 1 knows the process at the runner's address")
def knows(context):
    assert not _may_be_replaced(context)
