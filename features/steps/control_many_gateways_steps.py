"""Steps on the control plane with many gateways over links between regions."""

from dataclasses import dataclass

from behave import given, then, when
from features.support.control_group import RealGroupFleet
from features.support.declared_fleet import (
    FleetSize,
    runner_name,
    runner_spec,
    tenant_name,
    tenant_spec,
)

from rainsail.resources.specs import Kind, ResourceKey
from rainsail.state.commands import PutResource

REGION_DELAY_S = 0.02
REGION_JITTER_S = 0.002
SETTLE_S = 12.0
"""Longer than a configuration lease, and than a new leader's wait for the old one's leases."""
CHANGE_PERIOD_S = 1.037
"""Not a multiple of any control period, so that changes fall on different phases of them."""
COMMIT_LIMIT_S = 60.0
AWAY_S = 2.0
"""How long a killed gateway stays down."""
IDLE_S = 6.0


def start(replicas: int, gateways: int, runners: int, tenants: int) -> RealGroupFleet:
    """Start a fleet in which every gateway holds a configuration lease."""
    fleet = RealGroupFleet(
        replicas,
        seed=11,
        delay_s=REGION_DELAY_S,
        jitter_s=REGION_JITTER_S,
        count_bytes=True,
    )
    fleet.declare(FleetSize(0, runners, 2, tenants, 2))
    for number in range(gateways):
        fleet.start_view(f"g{number}", "0")
    fleet.wait_until(lambda: all(view.lease_valid() for view in fleet.views.values()))
    fleet.clock.advance(SETTLE_S)
    return fleet


def operator_change(number: int) -> PutResource:
    """Return a change of a tenant's limits (even numbers) or of a runner's slots (odd ones)."""
    size = FleetSize(0, 24, 2, 20, 2)
    change_id = f"change-{number}"
    if number % 2:
        target = number * 7919 % size.runners
        spec = runner_spec(size, target, batch_slots=17 + number % 8)
        return PutResource(change_id, ResourceKey(Kind.RUNNER, runner_name(target)), spec)
    target = number * 7919 % size.tenants
    key = ResourceKey(Kind.TENANT, tenant_name(target))
    return PutResource(change_id, key, tenant_spec(1e6 + number))


def put(fleet: RealGroupFleet, number: int) -> int:
    """Make a change as an operator; return its revision once it has committed."""
    operator = fleet.client(f"operator-{number}")
    answer = fleet.finish(operator.propose(operator_change(number), COMMIT_LIMIT_S))
    assert answer.is_ok(), answer
    return answer.ok.revision


def in_force(fleet: RealGroupFleet, revision: int) -> bool:
    """Tell whether there is a leader that has marked a revision as in force."""
    name = fleet.leader()
    return bool(name) and fleet.state(name).in_force_revision >= revision


@dataclass(frozen=True, slots=True)
class ChangeDelays:
    """Seconds from the moment at which an operator sent a change."""

    applied_s: float
    in_force_s: float


def make_change(fleet: RealGroupFleet, number: int) -> ChangeDelays:
    """Make a change and wait until it is in force."""
    start_s = fleet.clock.seconds()
    revision = put(fleet, number)
    fleet.wait_until(
        lambda: all(view.revision >= revision for view in fleet.views.values()), COMMIT_LIMIT_S
    )
    applied_s = fleet.clock.seconds() - start_s
    fleet.wait_until(lambda: in_force(fleet, revision), COMMIT_LIMIT_S)
    return ChangeDelays(applied_s, fleet.clock.seconds() - start_s)


def make_changes(fleet: RealGroupFleet, count: int) -> list[ChangeDelays]:
    """Make changes one after another, ``CHANGE_PERIOD_S`` apart."""
    delays = []
    for number in range(1, count + 1):
        next_s = fleet.clock.seconds() + CHANGE_PERIOD_S
        delays.append(make_change(fleet, number))
        fleet.clock.run_until(next_s)
    return delays


@given(
    "{replicas:d} control replicas and {gateways:d} gateways of different regions,"
    " with {runners:d} runners and {tenants:d} tenants"
)
def step_start(context, replicas, gateways, runners, tenants):
    context.fleet = start(replicas, gateways, runners, tenants)


@when("operators make {count:d} changes one after another")
def step_changes(context, count):
    context.delays = make_changes(context.fleet, count)
    assert len(context.delays) == count


@then("each of these changes was applied at every gateway and in force within 1 virtual second")
def step_in_time(context):
    for delays in context.delays:
        assert 0 < delays.applied_s <= delays.in_force_s <= 1, context.delays


@then("every gateway of the regions has exactly the leader's resources")
def step_same_resources(context):
    fleet = context.fleet
    expected = fleet.state(fleet.leader()).list_resources()
    assert expected
    for name, view in fleet.views.items():
        seen = [resource for kind in Kind for resource in view.list_resources(kind)]
        assert sorted(seen, key=_key) == sorted(expected, key=_key), name


def _key(resource):
    return (str(resource.key.kind), resource.key.name)


@when("one gateway of the regions is partitioned and a change is made")
def step_cut_gateway(context):
    fleet = context.fleet
    fleet.cut_off("g2")
    del fleet.views["g2"]
    context.in_force_s = make_change(fleet, 1).in_force_s


@when("the leader of the regions is partitioned and a change is made")
def step_cut_leader(context):
    fleet = context.fleet
    start_s = fleet.clock.seconds()
    lost = fleet.leader()
    fleet.cut_off(lost)
    fleet.network.cut("operator-1", lost)
    fleet.network.cut(lost, "operator-1")
    make_change(fleet, 1)
    assert fleet.leader() != lost
    context.in_force_s = fleet.clock.seconds() - start_s


@then("that change is in force between {least:g} and {most:g} virtual seconds later")
def step_in_force_between(context, least, most):
    assert least <= context.in_force_s <= most, context.in_force_s


@when(
    "a gateway of the regions restarts with each of {count:d} changes,"
    " one every {period_s:g} seconds"
)
def step_restart(context, count, period_s):
    fleet = context.fleet
    gateways = len(fleet.views)
    context.restarted = []
    for number in range(1, count + 1):
        next_s = fleet.clock.seconds() + period_s
        name = f"g{number % gateways}"
        fleet.kill_view(name)
        fleet.clock.callLater(AWAY_S, fleet.start_view, name, "1")
        context.restarted.append(name)
        put(fleet, number)
        fleet.clock.run_until(next_s)
    fleet.clock.advance(SETTLE_S)


@then("each restarted gateway of the regions may serve again")
def step_serve_again(context):
    assert len(set(context.restarted)) == len(context.restarted) >= 6
    assert all(view.lease_valid() for view in context.fleet.views.values())
    for name in context.restarted:
        assert context.fleet.views[name].lease_valid(), name


@dataclass(frozen=True, slots=True)
class CostPerGateway:
    """The traffic that a change adds to one gateway's idle traffic, both directions."""

    messages: float
    bytes: float


def change_cost(gateways: int, changes: int) -> CostPerGateway:
    """Measure the traffic per change and gateway beyond the idle traffic."""
    fleet = start(5, gateways, 48, 24)
    begun = fleet.view_traffic()
    fleet.clock.advance(IDLE_S)
    idle = fleet.view_traffic()
    changing_s = fleet.clock.seconds()
    make_changes(fleet, changes)
    end = fleet.view_traffic()
    share = (fleet.clock.seconds() - changing_s) / IDLE_S
    messages = end.messages - idle.messages - (idle.messages - begun.messages) * share
    size = end.bytes - idle.bytes - (idle.bytes - begun.bytes) * share
    each = changes * gateways
    return CostPerGateway(messages / each, size / each)


@when("{count:d} changes are made among 4, 8 and 16 gateways of different regions")
def step_cost(context, count):
    context.costs = [change_cost(gateways, count) for gateways in (4, 8, 16)]


@then("the {quantity} of a change to one gateway differ by at most {percent:d} percent")
def step_costs_alike(context, quantity, percent):
    each = [getattr(cost, quantity) for cost in context.costs]
    assert min(each) > 0, each
    assert max(each) <= (1 + percent / 100) * min(each), each
