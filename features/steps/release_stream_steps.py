"""Steps on streams that are under way when their origin stops being the only one."""

from behave import given, step, then
from features.steps.version_partition_steps import ANSWERED_S, _names

OTHER_SERVICE = "other"
REFUSED_WITHIN_S = 0.5


@given("streams of {count:d} events")
def set_events(context, count):
    context.fleet.runners.stream_events = count


@step("a runner of version {version} joins")
def join(context, version):
    context.fleet.join(version, [])


@step("the clients read on for {seconds:g} seconds")
def read_on(context, seconds):
    context.fleet.run_for(seconds)
    for client in context.clients:
        client.read_on()


@step("the route is split with a second service")
def split(context):
    context.fleet.move_half(OTHER_SERVICE)


@step("{names} of the fleet start again")
def start_again(context, names):
    for name in _names(names):
        context.fleet.crash(name)
    for name in _names(names):
        context.fleet.start(name)


@step("the clients ask {gateway} once")
def ask_once(context, gateway):
    for client in context.clients:
        client.ask(gateway)
    context.fleet.run_for(REFUSED_WITHIN_S)


@then("no client was told that its stream is lost")
def none_lost(context):
    lost = [
        client.answers[-1]
        for client in context.clients
        if client.answers[-1].status == 503 and not client.answers[-1].headers
    ]
    assert not lost, f"{len(lost)} of {len(context.clients)}: {lost[0]}"


@then("each stream goes on")
def all_go_on(context):
    went_on = [client for client in context.clients if client.has_resumed]
    assert len(went_on) == len(context.clients), (
        f"{len(went_on)} of {len(context.clients)} streams go on within {ANSWERED_S} s"
    )
