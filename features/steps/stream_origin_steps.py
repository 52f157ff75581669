"""Steps on the origins of streams and the versions of runners, on a fleet in virtual time."""

from dataclasses import replace

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import SERVICE, runner_record

from rainsail.cluster.runner_versions import RunnerVersions
from rainsail.cluster.stream_origins import (
    FindStreamOrigin,
    StreamOrigin,
    StreamOriginReply,
    StreamsBegun,
)
from rainsail.relay.origin_client import FoundOrigin, StreamOriginClient
from rainsail.wire.extensions import EXTENSION_LEVEL, NO_EXTENSIONS

SETTLE_S = 3.0
EXTENSION_MESSAGES = (RunnerVersions, StreamsBegun, FindStreamOrigin, StreamOriginReply)


class OriginFleet(RelayedFleet):
    """A fleet whose gateways only record and find the origins of streams."""

    def make_gateway(self, base):
        """Return a gateway's access to origins."""
        return StreamOriginClient(base.messenger, base.clock, base.follower, base.metrics)


@given("a relaying fleet of {controllers:d} controllers and {gateways:d} gateways")
def start_fleet(context, controllers, gateways):
    context.fleet = OriginFleet(63, controllers=controllers, storage=1, gateways=gateways)
    context.fleet.leader("controller")
    context.fleet.run_for(SETTLE_S)


@step('{gateway} records that stream "{stream}" began at version {version}')
def record(context, gateway, stream, version):
    node, origin = context.fleet.nodes[gateway], StreamOrigin(SERVICE, version)
    is_implied = node.base.registry.sole_version(SERVICE) == version
    node.role.began(stream, origin, is_implied)
    context.fleet.run_for(0.1)


@when("{gateway} records that {count:d} streams began at version {version}")
def record_many(context, gateway, count, version):
    context.streams = [f"s-{number}" for number in range(count)]
    for stream in context.streams:
        record(context, gateway, stream, version)


@when('{gateway} completes stream "{stream}"')
def complete(context, gateway, stream):
    context.fleet.nodes[gateway].role.completed(stream)


@step("{name} of the fleet loses power")
def lose_power(context, name):
    context.fleet.crash(name)


@when("{name} of the fleet loses power and starts again")
def restart(context, name):
    context.fleet.crash(name)
    context.fleet.start(name)
    context.fleet.run_for(SETTLE_S)


@when("all machines of the fleet lose power and start again")
def restart_all(context):
    names = list(context.fleet.nodes)
    for name in names:
        context.fleet.crash(name)
    for name in names:
        context.fleet.start(name)
    context.fleet.leader("controller")
    context.fleet.run_for(SETTLE_S)


@when("all controllers lose power and start again, and {seconds:g} s pass")
def restart_controllers(context, seconds):
    fleet = context.fleet
    names = fleet.names("controller")
    for name in names:
        fleet.crash(name)
    for name in names:
        fleet.start(name)
    fleet.run_for(seconds)


@when("all controllers and {gateway} start again, and the runner at version {version} meanwhile")
def restart_with_runner(context, gateway, version):
    fleet = context.fleet
    names = [*fleet.names("controller"), gateway]
    for name in names:
        fleet.crash(name)
    for name in names:
        fleet.start(name)
    fleet.leader("controller")
    start_again(context, version)


@when("{name} of the fleet is partitioned")
def partition(context, name):
    context.fleet.isolate(name)


@step("{seconds:d} seconds pass in the fleet")
def pass_time(context, seconds):
    context.fleet.run_for(float(seconds))


def _found(context, gateway, stream):
    results = []
    context.fleet.nodes[gateway].role.find(stream, results.append)
    context.fleet.run_until(lambda: bool(results), "the search has ended")
    return results[0]


@then('{gateway} finds {version} for "{stream}"')
def finds(context, gateway, version, stream):
    found = _found(context, gateway, stream)
    origin = None if version == "nothing" else StreamOrigin(SERVICE, version)
    assert found == FoundOrigin(origin, True), found


@then("{gateway} finds {version} for each of them")
def finds_each(context, gateway, version):
    for stream in context.streams:
        finds(context, gateway, version, stream)


@then('{gateway} finds nothing for "{stream}", for certain')
def finds_nothing(context, gateway, stream):
    assert _found(context, gateway, stream) == FoundOrigin(None, True)


@then('{gateway} finds nothing for "{stream}", not for certain')
def is_unsure(context, gateway, stream):
    assert _found(context, gateway, stream) == FoundOrigin(None, False)


# --- versions of runners -------------------------------------------------------------------


def _report(context, version, born, number=1, **changes):
    fleet, report = context.fleet, replace(runner_record(number), born=born, **changes)
    done = fleet.controller("controller-1").reports.take(report, version)
    fleet.result_of(done, "the report is acknowledged")
    fleet.run_for(SETTLE_S)


@when("a runner of version {version} reports to controller-1")
def report_version(context, version):
    _report(context, version, born=1_000)


@when("the runner starts again under its id with version {version}")
def start_again(context, version):
    _report(context, version, born=2_000)


@when("the runner starts again {times:d} times under its id with version {version}")
def start_again_often(context, times, version):
    for number in range(times):
        _report(context, version, born=2_000 + 1_000 * number)


@when("another runner of version {version} reports to controller-1")
def report_other(context, version):
    _report(context, version, born=1_500, number=2)


@when("the other runner is gone, and {minutes:d} minutes pass in the fleet")
def other_gone(context, minutes):
    fleet = context.fleet
    done = fleet.controller("controller-1").reports.take_deregistration(runner_record(2).runner)
    fleet.result_of(done, "the deregistration is acknowledged")
    fleet.run_for(60.0 * minutes)


@when("{minutes:d} minutes pass in the fleet, and the first runner reports a change")
def pass_and_report(context, minutes):
    context.fleet.run_for(60.0 * minutes)
    _report(context, "v1", born=1_000, sequence=9, slots=5)


@then("{name} knows {version} as the sole version")
def knows_sole(context, name, version):
    assert context.fleet.nodes[name].base.registry.sole_version(SERVICE) == version


@then("{name} knows no sole version")
def knows_none(context, name):
    assert context.fleet.nodes[name].base.registry.sole_version(SERVICE) is None


@then("every node knows the runner's version {version}")
def all_know(context, version):
    for name, node in context.fleet.nodes.items():
        record = node.base.registry.get(runner_record(1).runner)
        assert node.base.registry.versions.of(record) == version, (name, record)


@given("all its nodes but controller-1 announce no extensions")
def no_extensions(context):
    context.received = []
    own = context.fleet.address("controller-1")
    for node in context.fleet.nodes.values():
        transport = node.base.transport
        transport.extension_level = lambda peer: EXTENSION_LEVEL if peer == own else NO_EXTENSIONS
        _watch(context, transport)


def _watch(context, transport):
    arrive = transport.arrive

    def watched(source, envelope):
        if isinstance(envelope.message, EXTENSION_MESSAGES):
            context.received.append(transport.name)
        arrive(source, envelope)

    transport.arrive = watched


@then("no node but controller-1 has received a message of the extension")
def none_received(context):
    assert set(context.received) == {context.fleet.address("controller-1")}, context.received


@then("every node knows the runner")
def all_know_runner(context):
    for name, node in context.fleet.nodes.items():
        assert node.base.registry.get(runner_record(1).runner) is not None, name
