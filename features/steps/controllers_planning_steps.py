"""Steps on how often the placement planner scans the runners."""

from unittest import mock

from behave import given, then, when
from features.support.declared_fleet import FleetSize, runner_name, tenant_name, tenant_spec

from rainsail.control.controllers.placement import PlacementPlanner
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ResourceKey,
    RunnerStatus,
    SessionSpec,
)
from rainsail.state.commands import ANY_REVISION, PutResource, PutStatus

SETTLE_S = 12.0


@given(
    "{runners:d} runners, {services:d} services and {tenants:d} tenants"
    " are declared to the real control replicas"
)
def declare(context, runners, services, tenants):
    context.fleet.declare(FleetSize(0, runners, 2, tenants, services))
    context.fleet.clock.advance(SETTLE_S)


def _propose(fleet, command) -> None:
    fleet.replicas[fleet.leader()].node.group.propose(command)


def _change(number: int) -> PutResource:
    specs = (
        (Kind.TENANT, tenant_name(number % 20), tenant_spec(1e6 + number)),
        (Kind.SESSION, f"session-{number}", SessionSpec(tenant_name(0), "model-0")),
        (Kind.GATEWAY, f"gateway-{number}", GatewaySpec("region-0", "zone-0", f"{number}")),
    )
    kind, name, spec = specs[number % len(specs)]
    return PutResource(f"planning-{number}", ResourceKey(kind, name), spec)


@when(
    "the real control replicas take {count:d} changes of tenants, sessions and gateways"
    " in {seconds:g} seconds"
)
def take_changes(context, count, seconds):
    fleet = context.fleet
    times = []
    plain = PlacementPlanner.plan

    def counted(planner, state, now_s):
        times.append(now_s)
        return plain(planner, state, now_s)

    before = fleet.state(fleet.leader()).revision
    with mock.patch.object(PlacementPlanner, "plan", counted):
        for number in range(count):
            _propose(fleet, _change(number))
            fleet.clock.advance(seconds / count)
    assert fleet.state(fleet.leader()).revision >= before + count
    context.planning_times = times


@then("the placement scanned the runners at most {count:d} times")
def planned_at_most(context, count):
    assert 4 <= len(context.planning_times) <= count, len(context.planning_times)


def _ready(fleet) -> int:
    state = fleet.state(fleet.leader())
    return state.get(ResourceKey(Kind.SERVICE, "model-0")).status.ready_runners


@when("a declared runner stops serving its version")
def stop_serving(context):
    fleet = context.fleet
    context.planning_ready = _ready(fleet)
    key = ResourceKey(Kind.RUNNER, runner_name(0))
    status = RunnerStatus(loaded_version="model-0-v1", fence=1, ready=False, reachable=False)
    _propose(fleet, PutStatus(key, status, (), ANY_REVISION))


@then("its service counts one runner less within {seconds:g} virtual seconds")
def counts_less(context, seconds):
    fleet = context.fleet
    wanted = context.planning_ready - 1
    fleet.wait_until(lambda: _ready(fleet) == wanted, seconds)
