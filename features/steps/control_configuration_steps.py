"""Steps on configuration leases, the in-force revision and the gateways' views."""

from behave import given, then, when
from features.support.control import READ_LEASE_S, ControlFleet

from rainsail.control import config_view
from rainsail.control.messages import ConfigPollReply
from rainsail.control.paged_list import PagedList
from rainsail.control.settings import ControlSettings
from rainsail.resources.specs import (
    EventType,
    GatewaySpec,
    Kind,
    Resource,
    ResourceKey,
    ServiceSpec,
    WatchEvent,
)
from rainsail.state.commands import ANY_REVISION, DeleteResource, PutResource

CHECK_STEP_S = 0.05
DEFECTS = {
    "revision-may-fall": ("revision_admitted", lambda current, offered: True),
    "no-config-lease": ("lease_holds", lambda now_s, sent_s, lease_s: lease_s > 0),
}


def start_fleet(context, names, **options):
    """Start a fleet in which every gateway holds a configuration lease."""
    fleet = ControlFleet(**options)
    context.fleet = fleet
    for name in names.split(", "):
        fleet.start_gateway(name)
    fleet.wait_until(lambda: all(each.view.lease_valid() for each in fleet.gateways.values()))
    fleet.clock.advance(fleet.settings.config_lease_s * 1.5)


@given("a control fleet of {count:d} replicas with gateways {names}")
def step_fleet(context, count, names):
    start_fleet(context, names, replicas=count)


@given("a control fleet of {count:d} replicas that keeps {events:d} events with gateways {names}")
def step_fleet_with_window(context, count, events, names):
    start_fleet(context, names, replicas=count, event_window=events)


@given(
    "a control fleet of {count:d} replicas that lists {page:d} resources a page "
    "with gateways {names}"
)
def step_paged_fleet(context, count, page, names):
    settings = ControlSettings(list_page_resources=page)
    start_fleet(context, names, replicas=count, settings=settings)


@given("a control fleet gateway {name} whose clock runs at {rate:g} of the leader's")
def step_skewed_gateway(context, name, rate):
    gateway = context.fleet.start_gateway(name, rate=rate)
    context.fleet.wait_until(gateway.view.lease_valid)


@given('the control fleet has the defect "{defect}"')
def step_defect(context, defect):
    name, broken = DEFECTS[defect]
    original = getattr(config_view, name)
    setattr(config_view, name, broken)
    context.add_cleanup(setattr, config_view, name, original)


@when("an operator of the control fleet puts a service")
def step_put(context):
    client = context.fleet.client("operator")
    done = context.fleet.finish(client.propose(context.fleet.change(), 10.0))
    context.changed = done.ok


@when("{count:d} services are put in the control fleet")
def step_put_many(context, count):
    client = context.fleet.client("operator")
    for number in range(count):
        context.fleet.finish(client.propose(context.fleet.change(f"s{number}"), 10.0))


@when("gateway {name} is cut off from the control fleet")
def step_cut(context, name):
    context.fleet.cut_off(name)


@when("gateway {name} is connected to the control fleet again")
def step_heal(context, name):
    context.fleet.heal(name)


@when("the control fleet elects {name}")
def step_elect(context, name):
    context.fleet.elect(name)


@when("the control fleet runs {seconds:g} seconds")
def step_run(context, seconds):
    context.fleet.clock.advance(seconds)


@when("the leader of the control fleet is cut off and {name} takes over after its lease")
def step_leader_cut(context, name):
    fleet = context.fleet
    old = fleet.leader_name
    fleet.cut_off(old)
    fleet.clock.advance(READ_LEASE_S)
    assert not fleet.groups[old].is_leader()
    fleet.elect(name)


@when("gateway {name} of the control fleet starts while services are changed, added and deleted")
def step_start_amid_changes(context, name):
    fleet = context.fleet
    client = fleet.client("busy")
    gateway = fleet.start_gateway(name)
    number = 0
    while not gateway.view.lease_valid():
        number += 1
        assert number < 1000, "the gateway never became ready"
        client.propose(fleet.change(f"s{number % 20}", number), 10.0)
        client.propose(fleet.change(f"passing-{number}"), 10.0)
        key = ResourceKey(Kind.SERVICE, f"passing-{number - 2}")
        client.propose(DeleteResource(f"delete-{number}", key), 10.0)
        fleet.clock.advance(0.002)
    context.at_start = gateway.view.list_resources(Kind.SERVICE)
    assert number > 5, "nothing changed while the pages were read"


@then(
    "gateway {name} of the control fleet has every service that was not deleted once it may serve"
)
def step_lasting(context, name):
    names = {resource.key.name for resource in context.at_start}
    assert names >= {f"s{number}" for number in range(20)}, names


@then("the views of the control fleet become equal to the leader's state")
def step_equal(context):
    state = context.fleet.leader.state
    views = [gateway.view for gateway in context.fleet.gateways.values()]

    def equal():
        return all(
            view.list_resources(kind) == state.list_resources(kind)
            for view in views
            for kind in Kind
        )

    context.fleet.wait_until(equal, 5.0)


@when("gateway {name} of the control fleet stops as planned")
def step_planned_stop(context, name):
    context.fleet.gateways[name].view.stop()


@when("the resource of gateway {name} is deleted in the control fleet")
def step_delete_gateway(context, name):
    command = DeleteResource("delete-gateway", ResourceKey(Kind.GATEWAY, name))
    assert context.fleet.finish(context.fleet.client("operator").propose(command, 9.0)).is_ok()
    assert context.fleet.leader.state.get(command.key) is None


@then("gateway {name} is registered again in the control fleet within {seconds:g} seconds")
def step_registered_again(context, name, seconds):
    key = ResourceKey(Kind.GATEWAY, name)
    context.fleet.wait_until(lambda: context.fleet.leader.state.get(key) is not None, seconds)


@when("an operator of the control fleet drains gateway {name}")
def step_drain(context, name):
    client = context.fleet.client("operator")
    current = context.fleet.leader.state.get(ResourceKey(Kind.GATEWAY, name))
    spec = GatewaySpec("south", "z1", current.spec.incarnation, drain=True)
    change = PutResource("drain", current.key, spec, ANY_REVISION)
    assert context.fleet.finish(client.propose(change, 10.0)).is_ok()


@when("gateway {name} of the control fleet is restarted")
def step_restart(context, name):
    context.fleet.gateways[name].view.stop()
    context.fleet.gateways[name].clock.stop()
    context.fleet.start_gateway(name, incarnation="b")
    context.fleet.wait_until(context.fleet.gateways[name].view.lease_valid)


@when("gateway {name} of the control fleet is handed a list and a poll reply of a lower revision")
def step_lower(context, name):
    view = context.fleet.gateways[name].view
    context.before = (view.revision, view.list_resources(Kind.GATEWAY))
    lower = view.revision - 1
    stale = Resource(ResourceKey(Kind.SERVICE, "stale"), ServiceSpec(), lower, lower)
    event = WatchEvent(EventType.PUT, lower, stale)
    view.apply_list(PagedList(lower, lower, 0, (stale,)))
    view.apply_reply(ConfigPollReply((event,), lower, 0, False, 8.0), 0.0)


@then("every gateway of the control fleet has that change within {seconds:g} seconds")
def step_everywhere(context, seconds):
    revision = context.changed.revision
    gateways = context.fleet.gateways.values()
    context.fleet.wait_until(lambda: all(g.view.revision >= revision for g in gateways), seconds)
    for gateway in gateways:
        assert gateway.view.get(context.changed.resource.key) == context.changed.resource


def marked(context):
    """Tell whether the change is marked as in force at the leader."""
    return context.fleet.leader.state.in_force_revision >= context.changed.revision


@then("the control fleet marks that change as in force within {seconds:g} seconds")
def step_marked(context, seconds):
    context.fleet.wait_until(lambda: marked(context), seconds)


def mark_waits_for_gateway(context, name):
    """Run past the lease; return False if the change is marked while the gateway may serve."""
    view = context.fleet.gateways[name].view
    assert view.lease_valid(), "the scenario needs a gateway that may still serve"
    for _ in range(int(2 * context.fleet.settings.config_lease_s / CHECK_STEP_S)):
        context.fleet.clock.advance(CHECK_STEP_S)
        behind = view.revision < context.changed.revision
        if view.lease_valid() and behind and marked(context):
            return False
        if not view.lease_valid() and not marked(context):
            return True
    return True


@then("the control fleet does not mark that change while gateway {name} may serve")
def step_not_marked(context, name):
    assert mark_waits_for_gateway(context, name)


@then("gateway {name} of the control fleet refuses new work")
def step_refuses(context, name):
    assert not context.fleet.gateways[name].view.lease_valid()


@then("gateway {name} of the control fleet serves again, and only with that change")
def step_serves_again(context, name):
    view = context.fleet.gateways[name].view
    assert not view.lease_valid()
    context.fleet.wait_until(view.lease_valid)
    assert view.revision >= context.changed.revision


@then("no gateway of the control fleet ever saw a revision fall")
def step_never_fell(context):
    for gateway in context.fleet.gateways.values():
        assert gateway.revisions == sorted(gateway.revisions)


def keeps(context, name):
    """Tell whether a view is unchanged since before the stale replies."""
    view = context.fleet.gateways[name].view
    return context.before == (view.revision, view.list_resources(Kind.GATEWAY))


@then("gateway {name} of the control fleet keeps what it has")
def step_keeps(context, name):
    assert keeps(context, name)


@then('the control fleet\'s check "{check}" fails for gateway {name}')
def step_check_fails(context, check, name):
    checks = {
        "keeps what it has": keeps,
        "does not mark while it may serve": mark_waits_for_gateway,
    }
    assert not checks[check](context, name)


@then("gateway {name} of the control fleet has all {count:d} services within {seconds:g} seconds")
def step_has_all(context, name, count, seconds):
    view = context.fleet.gateways[name].view
    context.fleet.wait_until(lambda: len(view.list_resources(Kind.SERVICE)) == count, seconds)


@then("gateway {name} of the control fleet is registered under its new incarnation, still drained")
def step_registered(context, name):
    spec = context.fleet.leader.state.get(ResourceKey(Kind.GATEWAY, name)).spec
    assert (spec.incarnation, spec.drain) == ("b", True)
