"""Steps on runners that restart under the same id."""

import random
from dataclasses import replace

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import RelayWorld, runner_record

from rainsail.cluster.messages import RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.gateway import RelayGateway
from rainsail.routing.facts import PromptPart
from rainsail.routing.outlier_ejection import OutlierDetector

SEED = 5
ADDRESS = "10.0.0.1:80"
PROMPT = (PromptPart("part", 900), PromptPart("own", 10))


def report(runner, born, state, count, warm_up_left_s=0.0):
    """Return a runner's report."""
    record = replace(
        runner_record(1), runner=runner, sequence=count, warm_up_left_s=warm_up_left_s, born=born
    )
    return replace(record, state=RunnerState(state))


@given(
    'a controller that heard runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}'
)
def heard_first(context, runner, born, state, n):
    context.now_s = 0.0
    context.registry = RunnerRegistry(lambda: context.now_s)
    context.changed = []
    hears(context, runner, born, state, n)


@step('it heard runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}')
@step('it hears runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}')
def hears(context, runner, born, state, n):
    context.changed = context.registry.take((report(runner, born, state, n),))


@step(
    'it heard runner "{runner}" born at {born:d} say "{state}" with sequence {n:d} '
    "at the same address"
)
@step(
    'it hears runner "{runner}" born at {born:d} say "{state}" with sequence {n:d} '
    "at the same address"
)
def hears_there(context, runner, born, state, n):
    hears(context, runner, born, state, n)


@when(
    '{seconds:d} s pass, and it hears runner "{runner}" born at {born:d} say "{state}" '
    "with sequence {n:d} there"
)
def hears_later(context, seconds, runner, born, state, n):
    context.now_s += seconds
    hears(context, runner, born, state, n)


@given('the table has only the service of runner "{runner}"')
def table_names(context, runner):
    context.registry.named_services = frozenset((context.registry.get(runner).service,))


@step(
    'it hears runner "{runner}" born at {born:d} say "{state}" with sequence {n:d} '
    "for another service there"
)
def hears_unnamed(context, runner, born, state, n):
    record = replace(report(runner, born, state, n), service="nobody's")
    context.changed = context.registry.take((record,))


@when(
    'it hears runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}, '
    "with {left_s:d} s of warm-up left"
)
def hears_warming(context, runner, born, state, n, left_s):
    context.changed = context.registry.take((report(runner, born, state, n, float(left_s)),))


@then('runner "{runner}" takes work, and the change is pushed to all nodes')
def takes_and_told(context, runner):
    assert context.registry.is_ready(runner)
    assert runner in [record.runner for record in context.changed], context.changed


@then('runner "{runner}" takes work, and nothing is pushed')
def takes_untold(context, runner):
    assert context.registry.is_ready(runner)
    assert not context.changed, context.changed


@then('runner "{runner}" takes work')
def takes(context, runner):
    assert context.registry.is_ready(runner)


@then('runner "{runner}" takes no work')
def takes_none(context, runner):
    assert not context.registry.is_ready(runner)


@then('runner "{runner}" has {left_s:d} s of warm-up left, and the change is pushed to all nodes')
def warms_up(context, runner, left_s):
    assert context.registry.warm_ups.left_s(runner) == left_s
    assert context.changed


# --- orders ----------------------------------------------------------------------------------


@when(
    "the reports of {lives:d} incarnations of {runners:d} runners at one address reach "
    "{count:d} registries in random orders"
)
def random_orders(context, lives, runners, count):
    """The runners' incarnations alternate at the address; the last runner's last one is live."""
    names = [f"runner-{number}" for number in range(runners)]
    reports = []
    born = 0
    for _ in range(lives):
        for name in names:
            born += 1000
            reports += [report(name, born, "ready", n) for n in range(1, 4)]
            if (born, name) != (lives * runners * 1000, names[-1]):
                reports.append(report(name, born, "draining", 4))
    context.last = {
        name: max(each.born for each in reports if each.runner == name) for name in names
    }
    context.alive = names[-1]
    context.registries = []
    draw = random.Random(SEED)
    for _ in range(count):
        registry = RunnerRegistry(lambda: 0.0)
        order = [*reports, *reports]
        draw.shuffle(order)
        for each in order:
            registry.take((each,))
        context.registries.append(registry)


@then("each registry ends with the last incarnation of each runner")
def last_lives(context):
    for registry in context.registries:
        born = {record.runner: record.born for record in registry.records()}
        assert born == context.last, born
        ready = [name for name in context.last if registry.is_ready(name)]
        assert ready == [context.alive], (ready, registry.records())


# --- controllers -----------------------------------------------------------------------------


@given(
    'controllers that heard runner "{runner}" born at {first:d} with sequence {n:d}, '
    "and born at {second:d} with sequence {m:d}"
)
def controllers_heard(context, runner, first, n, second, m):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.run_for(2.0)
    for born, count in ((first, n), (second, m)):
        done = fleet.controller("controller-1").reports.take(report(runner, born, "ready", count))
        assert fleet.result_of(done, "the report is taken").is_ok()
    fleet.run_for(2.0)


@when("the controllers lose power and come back")
def controllers_restart(context):
    fleet = context.fleet
    names = sorted(fleet.names("controller"))
    for name in names:
        fleet.crash(name)
    for name in names:
        fleet.start(name)
    fleet.leader("controller")
    fleet.run_for(2.0)


@when('runner "{runner}" born at {born:d} says "{state}" with sequence {n:d}')
def says(context, runner, born, state, n):
    done = context.fleet.controller("controller-2").reports.take(report(runner, born, state, n))
    context.fleet.result_of(done, "the report is answered")
    context.fleet.run_for(2.0)


@then('runner "{runner}" still takes work at every controller')
def still_takes(context, runner):
    fleet = context.fleet
    for name in fleet.names("controller"):
        assert fleet.nodes[name].base.registry.is_ready(runner), name


# --- state recorded by others ----------------------------------------------------------------


class _Messenger:
    """A messenger without a network."""

    def serve(self, message_type, handler):
        """Ignore the handler."""

    def send(self, destination, message):
        """Drop the message."""


class _Follower:
    """Passes runners' records to a gateway."""

    def __init__(self, registry):
        self.registry = registry

    def announce_prefill(self, runner, reading_s):
        """Drop the notice."""


@given(
    'a gateway that has ejected runner "{runner}" for failures, and has recorded its cached prompts'
)
def gateway_left_out(context, runner):
    context.relay = relay = RelayWorld(runners=0)
    follower = _Follower(relay.registry)
    context.gateway = RelayGateway(
        relay.context, follower, _Messenger(), lambda content: None, None, NodeMetrics()
    )
    context.follower = follower
    context.runner = runner
    tell_gateway(context, report(runner, 1000, "ready", 7))
    loads = relay.context.loads
    for _ in range(5):
        loads.failed(runner, 0.0)
    loads.add_prefill(runner, 9.0, 0.0)
    relay.context.prefixes.sent(PROMPT, runner)
    assert loads.of(runner).ejected_until_s > 0


def tell_gateway(context, record):
    """Deliver a report to the gateway."""
    changed = context.relay.registry.take((record,))
    context.follower.on_runners(changed)


@when('the gateway hears that runner "{runner}" has restarted')
def gateway_hears(context, runner):
    tell_gateway(context, report(runner, 2000, "ready", 1))


@then("the gateway has no ejection and no cached prompts on record for it")
def gateway_knows_nothing(context):
    relay = context.relay.context
    assert context.runner not in relay.loads.unavailable(0.0)
    assert not relay.prefixes.holds("part", context.runner)


@given('a leader that has ejected runner "{runner}" for failures')
def leader_left_out(context, runner):
    context.outliers = OutlierDetector()
    context.runner = runner
    for _ in range(3):
        context.outliers.record(runner, 0, 2, 0.0)
    assert context.outliers.is_ejected(runner, 0.1)


@when('the leader hears that runner "{runner}" has restarted')
def leader_hears(context, runner):
    context.outliers.forget(runner)


@then("the leader places requests there")
def leader_places(context):
    assert not context.outliers.is_ejected(context.runner, 0.1)
    assert context.outliers.record(context.runner, 0, 1, 0.2) is None


# --- clocks that were set back ---------------------------------------------------------------

HEARTBEAT_S = 1.2


@given(
    '2 controllers that heard runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}'
)
def two_heard(context, runner, born, state, n):
    context.now_s = 0.0
    context.registries = [RunnerRegistry(lambda: context.now_s) for _ in range(2)]
    for registry in context.registries:
        registry.take((report(runner, born, state, n),))


@when(
    'the first hears runner "{runner}" born at {born:d} say "ready" often enough '
    "to prove a new incarnation"
)
def first_hears_often(context, runner, born):
    first = context.registries[0]
    context.now_s += 5.0
    for count in range(1, 5):
        context.now_s += HEARTBEAT_S
        first.take((report(runner, born, "ready", count),))


def _tell(source, target):
    target.take(source.changed_since(0))


@when("the second receives the records of the first")
def first_tells(context):
    _tell(context.registries[0], context.registries[1])


@when("the first receives the records of the second")
def second_tells(context):
    _tell(context.registries[1], context.registries[0])


@when('the second hears runner "{runner}" born at {born:d} say "{state}" with sequence {n:d}')
def second_hears(context, runner, born, state, n):
    context.now_s += HEARTBEAT_S
    context.registries[1].take((report(runner, born, state, n),))


@when('runner "{runner}" born at {born:d} deregisters at the first')
def deregisters(context, runner, born):
    first = context.registries[0]
    first.take((first.gone_record(runner, born),))


@then('runner "{runner}" takes work at both')
def takes_at_both(context, runner):
    assert [each.is_ready(runner) for each in context.registries] == [True, True]


@then('runner "{runner}" takes no work at both')
def takes_at_none(context, runner):
    assert [each.is_ready(runner) for each in context.registries] == [False, False]
