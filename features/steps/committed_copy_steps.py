"""Steps on what controllers tell before their group has a leader."""

from behave import then, when

TRIES_S = 10.0


@when("every node loses power, and controller 1 and the gateways start again")
def few_start(context):
    fleet = context.fleet
    names = list(fleet.nodes)
    for name in names:
        fleet.crash(name)
    for name in names:
        if name == "controller-1" or name.startswith("gateway"):
            fleet.start(name)


@then("no gateway sends to {zone} within {seconds:g} seconds")
def none_sends(context, zone, seconds):
    fleet = context.fleet
    registries = [fleet.nodes[name].base.registry for name in fleet.names("gateway")]
    fleet.run_until(
        lambda: all(registry.zone_drains.is_draining(zone) for registry in registries),
        f"{zone} draining",
        seconds,
    )


@when("controller 1 is cut off and then gets table {version:d}, which nobody else has")
def uncommitted(context, version):
    fleet = context.fleet
    fleet.isolate("controller-1")
    done = fleet.controller("controller-1").tables.replace(version, str(version).encode())
    assert fleet.result_of(done, "an answer to the order").is_error()
    fleet.rejoin("controller-1")


@then("every gateway still has table {version:d}")
def still_has(context, version):
    fleet = context.fleet
    versions = {fleet.nodes[name].base.follower.table_version for name in fleet.names("gateway")}
    assert versions == {version}, versions


@when("an operator sends table {version:d} to some controller until it is taken")
def send_until_taken(context, version):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + TRIES_S
    while True:
        fleet.leader("controller")
        done = fleet.controller("controller-2").tables.replace(version, str(version).encode())
        if fleet.result_of(done, "an answer to the order").is_ok():
            break
        assert fleet.clock.seconds() < until_s
    fleet.run_for(1.0)
