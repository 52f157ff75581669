"""Steps on requests without a route, at gateways with real followers, in virtual time."""

from behave import given, step, then, when
from features.support.fatal_request_fleet import ADDED_PATH, WITH_ADDED_ROUTE, FatalRequestFleet

SEED = 74
GATEWAY = "gateway-1"
NOT_FOUND = 404
UNAVAILABLE = 503
AT_ONCE_S = 0.001


@given("a relaying fleet whose gateways have a table")
def make_fleet(context):
    context.fleet = FatalRequestFleet(SEED)
    context.asked = []


def _ask(context):
    exchange = context.fleet.request(GATEWAY, b"body", ADDED_PATH)
    context.asked.append(exchange)
    return exchange


@step("a client asks gateway 1 for the added route")
def ask(context):
    _ask(context)


def _has_status(context, exchange, status, within_s):
    context.fleet.run_until(lambda: exchange.status, "an answer", within_s)
    assert exchange.status == status, exchange


@then("it has 404 within {seconds:g} seconds")
def has_not_found(context, seconds):
    _has_status(context, context.asked[-1], NOT_FOUND, seconds)


@then("it has 503 with a time to come back within {seconds:g} seconds")
def has_unavailable(context, seconds):
    _has_status(context, context.asked[-1], UNAVAILABLE, seconds)
    assert dict(context.asked[-1].headers)[b"retry-after"], context.asked[-1]


@then("it has 503 with a time to come back at once")
def has_unavailable_at_once(context):
    has_unavailable(context, AT_ONCE_S)


@when("{seconds:d} seconds pass and a client asks gateway 1 for the added route")
def ask_later(context, seconds):
    context.fleet.run_for(seconds)
    _ask(context)


@when("{count:d} clients ask gateway 1 for the added route within half a second")
def many_ask(context, count):
    context.answered_at_once = []
    for _ in range(count):
        context.answered_at_once.append(_ask(context).status)
        context.fleet.run_for(0.5 / count)


@then("they all have 404 at once")
def all_not_found(context):
    assert set(context.answered_at_once) == {NOT_FOUND}, context.answered_at_once


@when("gateway 1 hears nothing from the leading controller")
def cut_gateway(context):
    fleet = context.fleet
    context.leading = fleet.leader("controller")
    fleet.network.cut(fleet.address(context.leading), fleet.address(GATEWAY))


@when("an operator adds the route")
def add_route(context):
    tables = context.fleet.controller(context.leading).tables
    done = tables.replace(2, f"2{WITH_ADDED_ROUTE}".encode())
    assert context.fleet.result_of(done, "an answer to the order").is_ok()


def _restart(context, names):
    for name in names:
        context.fleet.crash(name)
    context.fleet.run_for(0.2)
    for name in names:
        context.fleet.start(name)


@when("the controller that acknowledged freezes")
def freeze(context):
    context.fleet.freeze(context.leading)


@when("the controller that acknowledged freezes and the others start again")
def freeze_and_restart(context):
    freeze(context)
    others = [name for name in context.fleet.names("controller") if name != context.leading]
    _restart(context, others)


@when("the controller that acknowledged freezes and gateway 1 starts again")
def freeze_and_restart_gateway(context):
    freeze(context)
    _restart(context, [GATEWAY])


@when("all controllers lose their power")
def lose_controllers(context):
    for name in context.fleet.names("controller"):
        context.fleet.crash(name)


@when(
    "a client asks gateway 1 for the added route every {period:g} seconds for {seconds:d} seconds"
)
def ask_again_and_again(context, period, seconds):
    for _ in range(round(seconds / period)):
        _ask(context)
        context.fleet.run_for(period)
    context.fleet.run_for(1.0)


@then("no client has 404, and the last ones have the runner's answer")
def none_not_found(context):
    statuses = [exchange.status for exchange in context.asked]
    assert NOT_FOUND not in statuses, statuses
    assert set(statuses[-5:]) == {200}, statuses
