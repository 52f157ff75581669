"""Steps on streams at gateways that are cut off while runners of another version join."""

from behave import given, step, then, when
from features.support.partitioned_versions import PartitionedFleet, ReadingClient

from rainsail.wire.extensions import SERVICE_VERSIONS

REPORTED_S = 3.0
STREAM_S = 0.4
"""Some events of each stream have arrived after this time."""
ANSWERED_S = 3.0
EVENTS = 5


def _names(text):
    return [name.strip() for name in text.split(",")]


@given("a fleet of {gateways:d} gateways with runners that report by name")
def start_fleet(context, gateways):
    context.fleet = PartitionedFleet(7, gateways, 0, [])
    context.clients = []


@when("the controllers know no quorums of versions")
def earlier_controllers(context):
    _make_earlier(context.fleet, context.fleet.names("controller"))


@when("the {controller} knows no quorums of versions")
def earlier_controller(context, controller):
    _make_earlier(context.fleet, [controller])


def _make_earlier(fleet, names):
    controllers = [fleet.address(name) for name in names]
    for node in fleet.nodes.values():
        level = node.base.transport.extension_level
        node.base.transport.extension_level = lambda peer, level=level: (
            SERVICE_VERSIONS - 1 if peer in controllers else level(peer)
        )


@step("{count:d} runners of version {version} report to {controllers}")
def report(context, count, version, controllers):
    heard_by = [] if controllers == "all controllers" else _names(controllers)
    for _ in range(count):
        context.fleet.join(version, heard_by)
    context.fleet.run_for(REPORTED_S)


@step("all runners crash, and start again at version {version} after {seconds:g} s")
def start_again(context, version, seconds):
    runners = context.fleet.runners
    for runner in runners.runners:
        runners.crash(runner, runner.incarnation, seconds)
        runners.versions[runner.number] = version
    context.fleet.run_for(seconds)


@step("{some} are cut off from {others}")
def cut(context, some, others):
    context.fleet.cut_both_ways(_names(some), _names(others))


@step("{some} no longer reach {others}")
def cut_one_way(context, some, others):
    context.fleet.cut_one_way(_names(some), _names(others))


@step("{name} is frozen")
def freeze(context, name):
    context.fleet.freeze(name)


@step("{name} goes on")
def thaw(context, name):
    context.fleet.thaw(name)


@step("{name} is in touch again")
def rejoin(context, name):
    context.fleet.rejoin(name)


@step("{name} of the fleet loses power and starts again at once")
def restart(context, name):
    context.fleet.crash(name)
    context.fleet.start(name)


@step("{count:d} clients read streams at {gateway} until it is lost")
def begin_and_lose(context, count, gateway):
    begin(context, count, gateway)
    context.fleet.crash(gateway)


@step("{count:d} clients read streams at {gateway}")
def begin(context, count, gateway):
    fleet = context.fleet
    context.clients = [ReadingClient(fleet, f"stream-{number}") for number in range(count)]
    for client in context.clients:
        client.ask(gateway)
    fleet.run_for(STREAM_S)
    for client in context.clients:
        client.read()
    context.begun = sum(bool(client.events) for client in context.clients)


@when("the clients resume at {gateway}")
def resume(context, gateway):
    for client in context.clients:
        client.ask(gateway)
    context.fleet.run_for(ANSWERED_S)
    for client in context.clients:
        client.read()


@then("each stream has begun")
def all_begun(context):
    assert context.begun == len(context.clients), context.begun


@then("no stream has events of two versions")
def none_mixed(context):
    mixed = [sorted(each.versions) for each in context.clients if len(each.versions) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.clients)} streams are of two versions"


@then("all streams are whole, each of one version")
def all_whole(context):
    none_mixed(context)
    whole = [each for each in context.clients if [number for number, _ in each.events] == WHOLE]
    assert len(whole) == len(context.clients), f"{len(whole)} of {len(context.clients)}"


WHOLE = list(range(1, EVENTS + 1))


@then("streams began at {count:d} versions")
def versions_begun(context, count):
    versions = {version for client in context.clients for version in client.versions}
    assert len(versions) == count, versions


@then("the clients of {gateway} were asked to come again")
def asked_again(context, gateway):
    for client in context.clients:
        first = client.answers[0]
        assert first.status == 503, first
        assert [name for name, _ in first.headers] == [b"retry-after"], first
