"""Steps on the runners that a gateway of a large fleet follows."""

from behave import given, then, when
from features.support.declared_fleet import node_name, runner_name
from features.support.following_gateway import FollowingGateway

from rainsail.gateway.followed_runners import FollowedRunners
from rainsail.gateway.settings import FleetSettings

REPORTS_S = 5.0


@given("a single gateway of a fleet of {zones:d} zones, {nodes:d} nodes and {runners:d} runners")
def make_single_gateway(context, zones, nodes, runners):
    context.single = FollowingGateway(zones, nodes, runners)


@given(
    "another single gateway of a fleet of {zones:d} zones, {nodes:d} nodes and {runners:d} runners"
)
def make_other_gateway(context, zones, nodes, runners):
    context.other_single = FollowingGateway(zones, nodes, runners)


@then("the single gateway follows {count:d} runners")
def follows_count(context, count):
    assert len(context.single.followed()) == count
    assert context.single.engines.subscriptions == count


@then("the single gateway follows every runner of its zone")
def follows_zone(context):
    single = context.single
    own = [runner_name(n) for n in range(0, single.size.runners, single.size.zones)]
    assert [name for name in own if name not in single.followed()] == []


@then("the single gateway follows between {least:d} and {most:d} runners of other zones")
def follows_some(context, least, most):
    assert least <= len(context.single.sample()) <= most, len(context.single.sample())


@then("the other single gateway gets at most {percent:d} percent more load reports")
def few_more_reports(context, percent):
    counts = []
    for gateway in (context.single, context.other_single):
        before = gateway.engines.reports_sent
        gateway.clock.advance(REPORTS_S)
        counts.append(gateway.engines.reports_sent - before)
    assert 0 < counts[1] <= (1 + percent / 100) * counts[0], counts


@then("its sample is the same after a restart and another one for node {number:d}")
def sample_differs(context, number):
    single = context.single
    size = single.size
    assert FollowingGateway(size.zones, size.nodes, size.runners).sample() == single.sample()
    settings = FleetSettings()
    other = FollowedRunners(
        node_name(number), size.zone(0), settings.other_zone_runners, settings.asked_runners
    )
    for runner in range(size.runners):
        other.add(runner_name(runner), size.zone(runner))
    chosen = [
        runner_name(n) for n in range(size.runners) if other.follows(runner_name(n), "-", False)
    ]
    assert set(chosen) != set(single.sample())


@when("the other nodes of the single gateway's fleet are deleted")
def delete_nodes(context):
    context.single.delete_other_nodes()


@when("{seconds:g} second of the single gateway's time passes")
def time_passes(context, seconds):
    context.single.clock.advance(seconds)


@then("the single gateway follows {count:d} runners and owns all of them")
def owns_all(context, count):
    follows_count(context, count)
    assert len(context.single.fleet.owned_runners()) == count


@when("the single gateway is asked to follow {count:d} more runners of other zones")
def ask_to_follow(context, count):
    single = context.single
    followed = single.followed()
    names = [runner_name(number) for number in range(single.size.runners)]
    context.asked = [name for name in names if name not in followed][:count]
    for name in context.asked:
        single.fleet.follow(name)


@then("{count:d} of the {asked:d} runners asked for are followed, the last among them")
def asked_followed(context, count, asked):
    followed = [name for name in context.asked if name in context.single.followed()]
    assert len(context.asked) == asked
    assert followed == context.asked[-count:], followed


@then("the single gateway knows the load of each")
def load_known(context):
    states = context.single.fleet.runners()
    assert [state.name for state in states if state.report is None or state.silent] == []


@when("a runner that the single gateway does not follow moves to its zone")
def move_runner(context):
    single = context.single
    followed = single.followed()
    names = [runner_name(number) for number in range(single.size.runners)]
    context.moved = next(name for name in names if name not in followed)
    single.put_runner(context.moved, single.size.zone(0))


@when("the runner of the single gateway's fleet moves back")
def move_back(context):
    context.single.put_runner(context.moved, context.single.size.zone(1))


@then("the single gateway follows that runner")
def follows_moved(context):
    assert context.moved in context.single.followed()


@then("the single gateway does not follow that runner")
def follows_moved_not(context):
    assert context.moved not in context.single.followed()
