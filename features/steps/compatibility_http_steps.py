"""Steps on the interfaces that clients' and operators' programs call over HTTP."""

import ast
import dataclasses
import json
from pathlib import Path
from types import SimpleNamespace

from behave import then, when
from expression import Ok
from features.support import compatibility_http_native as native
from features.support import compatibility_http_platform as platform
from features.support import compatibility_http_relaying as relaying
from features.support import platform_adapter_path  # noqa: F401
from features.support.compatibility_pins import check_pinned, read_pin
from features.support.compatibility_platform_table import FULL_CONFIGURATION, table_view
from features.support.relaying import StandInExchange
from twisted.internet.defer import succeed

from platform_adapter.control import control_handler as platform_control_handler
from platform_adapter.headers import NAMES as PLATFORM_NAMES
from platform_adapter.routing import read_table as read_configuration
from rainsail.fleet_api.control import control_handler
from rainsail.fleet_api.quarantine import take_quarantine_call
from rainsail.http.exchange import HttpRequest
from rainsail.quarantine.messages import NamedPart, QuarantineNotice
from rainsail.relay.header_protocol import HeaderNames
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

HEADER_NAMES = {"a relaying fleet": HeaderNames(), "the platform": PLATFORM_NAMES}
PLATFORM_FOLDER = Path("platform/platform_adapter")


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


@when("every call of the platform's interfaces is made")
def step_platform(context):
    calls = platform.PlatformCalls(context.platform)
    context.add_cleanup(calls.close)
    context.pinned = platform.PINNED
    context.shapes = calls.make_all()


@then("each answer has its pinned shape")
def step_shapes(context):
    check_pinned(context.pinned, "call", read_pin(context.pinned), context.shapes)


@when("an operator reads a list of one held request")
def step_held(context):
    _read_held(context, bytes(range(16)), None)


@when("an operator reads a list of one held prompt part, whose name the controller knows")
def step_held_part(context):
    fingerprint = bytes(range(17))
    _read_held(context, fingerprint, NamedPart(fingerprint, "model", "dead01"))


def _read_held(context, fingerprint, named):
    held = QuarantinedRequest(fingerprint, 2, held=True)
    notice = QuarantineNotice(Quarantine(3, (held,)))
    quarantine = SimpleNamespace(
        read=lambda: succeed(Ok(notice)), name_of_part=lambda fingerprint: named
    )
    request = HttpRequest(b"GET", b"/v1/held-requests", (), b"", 0.0)
    context.exchange = StandInExchange(request, VirtualClock())
    assert take_quarantine_call(context.exchange, quarantine)


def _ask_for_emptying(context, handler_of, path, done):
    """Ask a handler over a controller that knows nothing but a node's emptying."""
    status = SimpleNamespace(done=done)
    emptying = SimpleNamespace(status=lambda name: succeed(Ok(status)))
    controller = SimpleNamespace(emptying=emptying, quarantine=None)
    request = HttpRequest(b"GET", path, (), b"", 0.0)
    context.exchange = StandInExchange(request, VirtualClock())
    handler_of(controller)(context.exchange)


@when("an operator asks for the emptying of a node that is under way")
def step_emptying(context):
    path = b"/v1/storage-nodes/node-1/emptying"
    _ask_for_emptying(context, control_handler, path, done=False)


@when("the platform asks for the retirement of a node that is {state}")
def step_retirement(context, state):
    path = b"/api/Retire.Read/node-1"
    _ask_for_emptying(context, platform_control_handler, path, done=state == "over")


@then("the headers between {front}, its clients and its runners are called")
def step_header_names(context, front):
    names = HEADER_NAMES[front]
    values = (getattr(names, field.name) for field in dataclasses.fields(names))
    found = sorted(value.decode() for value in values if isinstance(value, bytes))
    assert found == context.text.split(), found


@then("the platform's adapter still writes out the names")
def step_literals(context):
    written = set()
    for path in PLATFORM_FOLDER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant):
                written.add(node.value.decode() if isinstance(node.value, bytes) else node.value)
    missing = sorted(set(context.text.split()) - written)
    assert not missing, missing


@when("a configuration of the platform with every field is read")
def step_configuration(context):
    read = read_configuration(json.dumps(FULL_CONFIGURATION).encode())
    assert read.is_ok(), read
    context.table_lines = list(table_view(read.ok))


@then("this was read of it")
def step_table(context):
    expected = context.text.splitlines()
    assert context.table_lines == expected, "\n".join(context.table_lines)


@then("the answer's body is {body}")
def step_body(context, body):
    assert json.loads(context.exchange.body) == json.loads(body), context.exchange.body
