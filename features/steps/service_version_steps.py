"""Steps on what a quorum of controllers knows of software versions, on a fleet in virtual time."""

from dataclasses import replace

from behave import given, step, then
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import SERVICE, runner_record

from rainsail.cluster.runner_versions import RunnerVersion
from rainsail.cluster.stream_origins import TOLD_AGAIN_WITHIN_S
from rainsail.relay.version_quorum import ControllerVersionQuorum

SETTLE_S = 3.0
REPORTED_S = 0.1
NO_VERSION_WORD = "no version"


class QuorumFleet(RelayedFleet):
    """A fleet whose gateways only share and ask for versions."""

    def make_gateway(self, base):
        """Return a gateway's access to what a quorum knows."""
        return ControllerVersionQuorum(base.messenger, base.clock, base.follower, base.metrics)


@given("a fleet of {controllers:d} controllers and {gateways:d} gateways that share versions")
def start_fleet(context, controllers, gateways):
    context.fleet = QuorumFleet(63, controllers=controllers, storage=1, gateways=gateways)
    context.fleet.leader("controller")
    context.fleet.run_for(SETTLE_S)
    context.reported = 0


@given(
    "a fleet of {count:d} controllers and {gateways:d} gateways that share versions, "
    "founded at this moment"
)
def found_fleet(context, count, gateways):
    context.fleet = fleet = QuorumFleet(64, controllers=count, storage=1, gateways=gateways)
    fleet.leader("controller")
    followers = [fleet.nodes[name].base.follower for name in fleet.names("gateway")]
    fleet.run_until(
        lambda: all(len(each.controllers.in_touch()) == count for each in followers),
        "the gateways are in touch with all controllers",
    )
    assert fleet.clock.seconds() < TOLD_AGAIN_WITHIN_S - 2 * REPORTED_S, fleet.clock.seconds()
    context.reported = 0


@step("a runner of version {version} has reported to {controller}")
def report(context, version, controller):
    fleet = context.fleet
    context.reported += 1
    record = replace(runner_record(context.reported), born=context.reported)
    done = fleet.controller(controller).reports.take(record, version)
    fleet.result_of(done, "the report is acknowledged")
    fleet.run_for(REPORTED_S)


@step("a runner of no version has reported to {controller}")
def report_without(context, controller):
    report(context, "", controller)


@step("{gateway} loses touch with {controllers}")
def lose_touch(context, gateway, controllers):
    network, own = context.fleet.network, context.fleet.address(gateway)
    for name in controllers.split(", "):
        network.cut(own, context.fleet.address(name))
        network.cut(context.fleet.address(name), own)
    context.fleet.run_for(SETTLE_S)


@step("{gateway} has shared a version {version} that no runner of the controllers has")
def share(context, gateway, version):
    registry = context.fleet.nodes[gateway].base.registry
    record = replace(runner_record(99), born=99)
    registry.versions.take(RunnerVersion(record.runner, record.born, version))
    registry.take((record,))
    context.fleet.run_for(1.5)


@step("{controllers} start again")
def restart(context, controllers):
    for name in controllers.split(", "):
        context.fleet.crash(name)
        context.fleet.start(name)
    context.fleet.run_for(1.0)


@step("the disk of {controller} is lost, and it starts again as a founder")
def restart_without_disk(context, controller):
    context.fleet.lose_disk(controller)
    context.fleet.start(controller, founding=True)
    context.fleet.run_for(1.0)


@then("a quorum knows {version}, as {gateway} sees it")
def is_known(context, version, gateway):
    assert _is_known(context, version, gateway)


@then("no quorum knows {version}, as {gateway} sees it")
def is_not_known(context, version, gateway):
    assert not _is_known(context, version, gateway)


def _is_known(context, version, gateway):
    version = "" if version == NO_VERSION_WORD else version
    return context.fleet.nodes[gateway].role.is_known(SERVICE, version)


@then("the sole version {version} is {result} at {gateway}")
def sole(context, version, result, gateway):
    answers = []
    context.fleet.nodes[gateway].role.confirm_sole(SERVICE, version, answers.append)
    context.fleet.run_until(lambda: bool(answers), "the controllers were asked")
    assert answers[0].result == result, answers
