"""Steps on the orders to owned runners and the status that is written for them."""

from dataclasses import replace

from behave import given, then, when
from features.support.gateway import V1_BYTES, GatewayFleet

from rainsail.engine.interface import EngineOrder, OrderKind
from rainsail.resources.specs import Kind, ResourceKey, RunnerRole, RunnerStatus
from rainsail.state.commands import PutStatus


@given("a gateway fleet of {runners:d} runner and {gateways:d} gateway without weights")
@given("a gateway fleet of {runners:d} runners and {gateways:d} gateway without weights")
@given("a gateway fleet of {runners:d} runners and {gateways:d} gateways without weights")
def make_empty_fleet(context, runners, gateways):
    context.fleet = GatewayFleet(runners, gateways, preload="")
    context.loads = []
    for gateway in context.fleet.gateways:
        _note_loads(context, gateway.engine)


def _note_loads(context, engine):
    order = engine.order

    def record(address, sent):
        if sent.kind == OrderKind.LOAD_VERSION:
            context.loads.append((address, sent))
        return order(address, sent)

    engine.order = record


@given("control is unreachable from the gateways")
def control_leaves(context):
    context.fleet.control.unreachable = True


@when("control is reachable again")
def control_returns(context):
    context.fleet.control.unreachable = False


@given('the engine of "{runner}" has seen fence {fence:d}')
def seen_fence(context, runner, fence):
    context.fleet.engines[runner].order(EngineOrder(fence, OrderKind.SET_ROLE, "mixed"))


@given("the first order on the gateway's links is lost")
def lose_first_order(context):
    lost = []

    def lose(gateway, runner, what):
        if what == "order" and not lost:
            lost.append(what)
            return True
        return False

    context.fleet.network.faults.lose_request = lose


def _status(context, runner):
    resource = context.fleet.state.get(ResourceKey(Kind.RUNNER, runner))
    status = resource.status
    return resource, status if status is not None else RunnerStatus()


@when('version "{version}" is placed on "{runner}" under fence {fence:d}')
def place_version(context, version, runner, fence):
    resource, status = _status(context, runner)
    wanted = replace(status, loading_version=version, fence=fence)
    context.fleet.control.apply(PutStatus(resource.key, wanted, ()))
    context.fleet.publish()


@when('the placement raises the fence of "{runner}" repeatedly for {seconds:g} seconds')
def raise_fence(context, runner, seconds):
    resource, status = _status(context, runner)
    context.fence = status.fence
    for _ in range(int(seconds / 0.002)):
        resource, status = _status(context, runner)
        assert status.fence == context.fence, f"{context.fence} decreased to {status.fence}"
        context.fence = status.fence + 1
        raised = replace(status, fence=context.fence)
        context.fleet.control.apply(PutStatus(resource.key, raised, (), resource.revision))
        context.fleet.clock.advance(0.002)
        context.fleet.publish()


@when('the role of "{runner}" becomes "{role}"')
def change_role(context, runner, role):
    resource, _ = _status(context, runner)
    context.fleet.put(Kind.RUNNER, runner, replace(resource.spec, role=RunnerRole(role)))


@when('"{runner}" of the gateway fleet restarts')
def restart(context, runner):
    context.fleet.engines[runner].restart()


@then('the status of "{runner}" reports version "{version}" ready under fence {fence:d}')
def reports_ready(context, runner, version, fence):
    _, status = _status(context, runner)
    assert (status.loaded_version, status.ready, status.reachable) == (version, True, True), status
    assert status.fence == fence, status


@then('the status of "{runner}" reports version "{version}" ready under the fence last raised')
def reports_last_fence(context, runner, version):
    reports_ready(context, runner, version, context.fence)


@then("orders to load were sent {count:d} time by all gateways together")
def count_loads(context, count):
    assert len(context.loads) == count, context.loads
    assert all(order.weight_bytes == V1_BYTES for _, order in context.loads)


@then('the status of "{runner}" reports it not ready')
def reports_not_ready(context, runner):
    _, status = _status(context, runner)
    assert not status.ready, status


@then('the status of "{runner}" reports it unreachable')
def reports_unreachable(context, runner):
    _, status = _status(context, runner)
    assert not status.ready and not status.reachable, status


@then('the engine of "{runner}" has no version')
def has_no_version(context, runner):
    assert context.fleet.engines[runner]._model.loaded_version == ""


@then('the engine of "{runner}" has the role "{role}"')
def has_role(context, runner, role):
    assert context.fleet.engines[runner]._model.role == role
