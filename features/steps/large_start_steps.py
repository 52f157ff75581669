"""Steps on the start of a large relaying fleet, in virtual time."""

from dataclasses import replace

from behave import given, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import runner_record

from rainsail.cluster.messages import RunnerState

SEED = 29
SEEDS = 3


@given(
    "a fleet of {controllers:d} controllers, {storage:d} storage nodes and {gateways:d} gateways "
    "that all start at once"
)
def start_all(context, controllers, storage, gateways):
    context.fleet = RelayedFleet(SEED, controllers, storage, gateways, SEEDS)
    context.began_s = context.fleet.clock.seconds()


def _record(number):
    return replace(runner_record(1), runner=f"runner-{number}", address=f"10.9.0.{number}:80")


@when("{count:d} runners say at any controller, over {seconds:g} seconds, that they are ready")
def runners_speak(context, count, seconds):
    fleet = context.fleet
    controllers = fleet.names("controller")
    for number in range(count):
        at = fleet.random.choice(controllers)
        delay_s = 0.3 + fleet.random.random() * seconds
        fleet.clock.callLater(delay_s, _speak, fleet, at, _record(number), controllers)
    fleet.run_for(seconds + 0.3)


def _speak(fleet, at, record, controllers):
    """Send a runner's report; retry at another controller if it is not acknowledged."""

    def take(result):
        if result.is_error():
            other = fleet.random.choice(controllers)
            fleet.clock.callLater(0.3, _speak, fleet, other, record, controllers)

    if fleet.nodes[at].role.controller is None:
        fleet.clock.callLater(0.3, _speak, fleet, at, record, controllers)
        return
    fleet.controller(at).reports.take(record).addCallback(take)


@then("every gateway has table {version:d} and knows {count:d} runners within {seconds:g} seconds")
def all_know(context, version, count, seconds):
    fleet = context.fleet
    followers = [fleet.nodes[name].base.follower for name in fleet.names("gateway")]

    def all_there():
        return all(
            each.table_version == version and len(each.registry.records()) == count
            for each in followers
        )

    fleet.run_until(all_there, "tables and runners everywhere", seconds)


def _traffic(fleet):
    return {name: node.base.transport.traffic for name, node in fleet.nodes.items()}


@then("no node has sent more than {most:d} messages a second")
def sent_at_most(context, most):
    seconds = context.fleet.clock.seconds() - context.began_s
    sent = {name: each.messages_sent / seconds for name, each in _traffic(context.fleet).items()}
    over = {name: rate for name, rate in sent.items() if rate > most}
    assert not over, over


@when("{seconds:g} seconds pass at rest")
def rest(context, seconds):
    fleet = context.fleet
    fleet.run_for(5)
    context.before = {
        name: (each.messages_sent, each.messages_received) for name, each in _traffic(fleet).items()
    }
    context.rest_s = seconds
    fleet.run_for(seconds)


def _rates(context, kind):
    traffic = _traffic(context.fleet)
    return {
        name: (
            (traffic[name].messages_sent - sent) / context.rest_s,
            (traffic[name].messages_received - received) / context.rest_s,
        )
        for name, (sent, received) in context.before.items()
        if name.startswith(kind)
    }


@then(
    "each gateway has sent at most {most:d} messages a second and holds links to at most "
    "{links:d} nodes"
)
def gateways_rest(context, most, links):
    rates = _rates(context, "gateway")
    assert max(sent for sent, _ in rates.values()) <= most, rates
    for name in rates:
        followed = context.fleet.nodes[name].base.follower.heartbeat_targets()
        assert len(followed) <= links, followed


@then("no controller has sent or received more than {most:d} messages a second")
def controllers_rest(context, most):
    rates = _rates(context, "controller")
    busiest = max(max(each) for each in rates.values())
    assert busiest <= most, rates


@when("a runner says at a controller that nodes do not follow that it is draining")
def drain_aside(context):
    fleet = context.fleet
    voters = set(fleet.nodes["gateway-1"].base.follower.controllers.voters())
    aside = [name for name in fleet.names("controller") if fleet.address(name) not in voters]
    record = replace(_record(5), state=RunnerState.DRAINING, sequence=2)
    done = fleet.controller(aside[-1]).reports.take(record)
    assert fleet.result_of(done, "an acknowledgement").is_ok()
    fleet.run_for(0.5)


@then("no gateway takes it as ready half a second after its acknowledgement")
def none_ready(context):
    fleet = context.fleet
    runner = _record(5).runner
    for name in fleet.names("gateway"):
        assert not fleet.nodes[name].base.registry.is_ready(runner), name
