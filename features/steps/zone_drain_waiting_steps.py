"""Steps on orders that wait at a frozen controller, and on operators that close the connection."""

import sys
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from features.support.relaying import StandInExchange
from twisted.internet.defer import Deferred

from rainsail.fleet_api.control import ControlApi
from rainsail.fleet_api.quarantine import HELD_REQUESTS
from rainsail.http.exchange import HttpRequest
from rainsail.quarantine.fingerprint import DIGEST_BYTES
from rainsail.simulation.clock import VirtualClock

PLATFORM = Path(__file__).resolve().parent.parent.parent / "platform"
CALLS = {"own": (b"PUT", b"/v1/zones/a/drain"), "platform": (b"POST", b"/api/Evacuate.Start/a")}


def _freeze_with_order(context, number, zone, waits_s):
    """Freeze a controller and queue an order that it reads when it resumes."""
    fleet = context.fleet
    name = f"controller-{number}"
    assert name != fleet.leader("controller"), "the scenario needs a follower"
    fleet.freeze(name)
    until_s = fleet.clock.seconds() + waits_s

    def read():
        orders = fleet.controller(name).zone_drains
        return orders.order(zone, True, lambda: fleet.clock.seconds() < until_s)

    context.read_order = read


def _wake(context, number):
    context.fleet.thaw(f"controller-{number}")
    return context.fleet.result_of(context.read_order(), "an answer to the order that waited")


@when(
    "an operator drains {zone} at controller {number:d}, which is frozen, "
    "and hangs up after {seconds:d} second"
)
def drain_at_frozen(context, zone, number, seconds):
    _freeze_with_order(context, number, zone, seconds)
    context.fleet.run_for(seconds + 0.5)


@when("controller {number:d} resumes")
def resumes(context, number):
    answer = _wake(context, number)
    assert answer.is_error(), answer


@when("an operator drains {zone} at controller {number:d}, which is frozen for half a second")
def drain_at_briefly_frozen(context, zone, number):
    _freeze_with_order(context, number, zone, 1.0)
    context.fleet.run_for(0.5)
    context.drain_order = _wake(context, number)


# --- the interfaces ----------------------------------------------------------------------------


class _WatchedOrders:
    """Records the arguments that an interface passes with an order."""

    def order(self, zone, draining, is_awaited):
        """Answer nothing yet."""
        self.is_awaited = is_awaited
        return Deferred()


@given("a controller's {interface} interface whose orders on zones are watched")
def watch_orders(context, interface):
    context.orders = _WatchedOrders()
    controller = SimpleNamespace(zone_drains=context.orders, quarantine=None)
    if interface == "platform":
        sys.path.insert(0, str(PLATFORM))
        from platform_adapter.control import ControlCalls

        context.handle = ControlCalls(controller).handle
    else:
        context.handle = ControlApi(controller).handle
    context.call = CALLS[interface]


class _WatchedReleases:
    """Records the arguments that an interface passes with a release."""

    def release(self, fingerprint, is_awaited):
        """Answer nothing yet."""
        self.is_awaited = is_awaited
        return Deferred()


@given("a controller's own interface whose releases of held requests are watched")
def watch_releases(context):
    context.orders = _WatchedReleases()
    context.handle = ControlApi(SimpleNamespace(quarantine=context.orders)).handle
    context.call = (b"DELETE", f"{HELD_REQUESTS}/{'0' * 2 * DIGEST_BYTES}".encode())


@when("an operator sends an order on a zone there")
@when("an operator sends a release there")
def send_order(context):
    method, target = context.call
    request = HttpRequest(method, target, (), b"", 0.0)
    exchange = StandInExchange(request, VirtualClock())
    exchange.on_disconnect = lambda listener: setattr(exchange, "left", listener)
    context.exchange = exchange
    context.handle(exchange)


@then("the order is awaited")
def awaited(context):
    assert context.orders.is_awaited()


@when("the operator closes the connection")
def close(context):
    context.exchange.left()


@then("the order is not awaited any more")
def not_awaited(context):
    assert not context.orders.is_awaited()
