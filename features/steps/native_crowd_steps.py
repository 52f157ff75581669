"""Steps on crowds of clients at the fronts of a native fleet."""

import http.client
import json
import tempfile
from pathlib import Path

from behave import given, step, then
from features.steps.crowd_steps import KINDS
from features.support.crowd_clients import Crowd
from features.support.embedded_fleet import OPERATOR_KEY, SERVICE, TENANT_KEYS, EmbeddedFleet

REQUESTS_BESIDE = 10
TIMEOUT_S = 5


@given("a native fleet whose process has {descriptors:d} descriptors")
def start(context, descriptors):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.native = fleet = EmbeddedFleet(Path(folder.name), descriptors)
    context.native_descriptors = descriptors
    context.add_cleanup(fleet.stop)
    context.crowds = []
    context.add_cleanup(lambda: [crowd.close() for crowd in context.crowds])
    fleet.declare()


@step("{count:d} clients {kind} at the {front} front of the native fleet")
def crowd_comes(context, count, kind, front):
    ip, _, port = getattr(context.native, front).partition(":")
    context.crowds.append(Crowd(ip, [KINDS[kind]] * count, int(port)))


def _completes(fleet):
    ip, _, port = fleet.caller.partition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=TIMEOUT_S)
    body = json.dumps({"model": SERVICE, "prompt": "hello", "max_tokens": 4})
    headers = {"Authorization": f"Bearer {TENANT_KEYS['exporter']}"}
    try:
        connection.request("POST", "/v1/completions", body, headers)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


@then("completions are answered beside them, and the operator's reads")
def answered(context):
    fleet = context.native
    context.native_most = 0
    for _ in range(REQUESTS_BESIDE):
        fleet.wait_until(lambda: _completes(fleet), "a completion")
        folder = Path(f"/proc/{fleet.process.pid}/fd")
        context.native_most = max(context.native_most, len(list(folder.iterdir())))
    path = "/v1/resources/Runner"
    fleet.wait_until(
        lambda: fleet.get(path, fleet.operator, OPERATOR_KEY)[0] == 200, "the operator's read"
    )


@then("the process of the native fleet has stayed under its descriptors")
def under(context):
    assert context.native_most < context.native_descriptors, context.native_most
