"""Steps on the interfaces that clients' and operators' programs call over HTTP."""

import json
from types import SimpleNamespace

from behave import then, when
from expression import Ok
from features.support import compatibility_http_native as native
from features.support import compatibility_http_relaying as relaying
from features.support.compatibility_pins import check_pinned, read_pin
from features.support.relaying import StandInExchange
from twisted.internet.defer import succeed

from rainsail.fleet_api.control import control_handler
from rainsail.fleet_api.quarantine import take_quarantine_call
from rainsail.http.exchange import HttpRequest
from rainsail.quarantine.messages import QuarantineNotice
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest


@when("every call of the native interfaces is made")
def step_native(context):
    context.pinned = native.PINNED
    context.shapes = native.NativeCalls(context.live_fleet).make_all()


@when("every call of a relaying fleet's own interfaces is made")
def step_relaying(context):
    calls = relaying.RelayingCalls(context.own)
    context.add_cleanup(calls.close)
    context.pinned = relaying.PINNED
    context.shapes = calls.make_all()


@then("each answer has its pinned shape")
def step_shapes(context):
    check_pinned(context.pinned, "call", read_pin(context.pinned), context.shapes)


@when("an operator reads a list of one held request")
def step_held(context):
    held = QuarantinedRequest(bytes(range(16)), 2, held=True)
    notice = QuarantineNotice(Quarantine(3, (held,)))
    quarantine = SimpleNamespace(read=lambda: succeed(Ok(notice)))
    request = HttpRequest(b"GET", b"/v1/held-requests", (), b"", 0.0)
    context.exchange = StandInExchange(request, VirtualClock())
    assert take_quarantine_call(context.exchange, quarantine)


@when("an operator asks for the emptying of a node that is under way")
def step_emptying(context):
    status = SimpleNamespace(done=False)
    emptying = SimpleNamespace(status=lambda name: succeed(Ok(status)))
    controller = SimpleNamespace(emptying=emptying, quarantine=None)
    request = HttpRequest(b"GET", b"/v1/storage-nodes/node-1/emptying", (), b"", 0.0)
    context.exchange = StandInExchange(request, VirtualClock())
    control_handler(controller)(context.exchange)


@then("the answer's body is {body}")
def step_body(context, body):
    assert json.loads(context.exchange.body) == json.loads(body), context.exchange.body
