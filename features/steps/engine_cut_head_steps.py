"""Steps on engines whose answers stop inside their heads, over real sockets."""

import http.client
import itertools
import json

from behave import given, then, when
from features.support.cut_answers import FRAMINGS, INTERIM, places_in
from features.support.cutting_proxy import WAYS_TO_CLOSE, Cut, CuttingProxy
from features.support.engine import EngineRig
from features.support.reactor_thread import in_reactor, reactor, wait_until
from twisted.internet.defer import Deferred

from rainsail.benchmarks.loopback_gateway import (
    API_KEY,
    FAST_ENGINE,
    SERVICE,
    LoopbackEngines,
    LoopbackGateway,
)
from rainsail.engine.http_client import HttpEngineClient
from rainsail.engine.interface import EngineOrder, KvState, OrderKind
from rainsail.engine.settings import EngineClientSettings

CALLER_LIMIT_S = 20
TOKENS = 5
CLASS_HEADER = "X-Rainsail-Class"
ORDER = EngineOrder(7, OrderKind.SET_ROLE, "mixed")
STATE = KvState("s", 3, 1, b"x")
CALLS = {
    b"POST /engine/orders": lambda rig: rig.client.order(rig.address, ORDER),
    b"POST /engine/attempts": lambda rig: rig.client.cancel(rig.address, "nobody"),
    b"POST /engine/kv/export": lambda rig: rig.client.export_kv(rig.address, "s", 3),
    b"POST /engine/kv/import": lambda rig: rig.client.import_kv(rig.address, STATE),
}
COMPLETION = b"POST /v1/completions"


def _cuts():
    """Yield a cut for each place and framing; ways to close and versions take turns."""
    turns = itertools.cycle(itertools.product(WAYS_TO_CLOSE, ("1.1", "1.0"), (b"", INTERIM)))
    for framing in FRAMINGS:
        field = FRAMINGS[framing] % 35 if framing == "a length" else FRAMINGS[framing]
        for place in places_in(_head("1.1", field)):
            how, version, before = next(turns)
            head = _head(version, field)
            yield Cut(before + head[: places_in(head)[place]], how)
        next(turns)


def _head(version, field):
    lines = (f"HTTP/{version} 200 OK".encode(), field, b"Content-Type: text/event-stream")
    return b"\r\n".join(lines) + b"\r\n\r\n"


@given("an engine behind a proxy that cuts heads at one place of each class")
def serve_behind_proxy(context):
    context.rig = EngineRig()
    context.add_cleanup(context.rig.close)
    patient = EngineClientSettings(read_timeout_s=CALLER_LIMIT_S, call_timeout_s=CALLER_LIMIT_S)
    in_reactor(context.rig.client.close)
    context.rig.client = in_reactor(HttpEngineClient, context.rig.clock, reactor, patient)
    context.rig.serve_engine()
    context.proxy = CuttingProxy(context.rig._port.getHost().port)
    context.add_cleanup(context.proxy.close)
    context.rig.address = context.proxy.address


@when("the engine client makes each kind of call on {connection}, and its answer is cut")
def make_calls(context, connection):
    rig, proxy = context.rig, context.proxy
    is_kept = connection != "a new connection"
    context.attempts, context.faults, context.losses = [], [], []
    for cut in _cuts():
        if is_kept:
            proxy.cut = None
            rig.generate(TOKENS)
            assert rig.wait_for_end().reason == "length"
        proxy.cut, proxy.path = cut, COMPLETION
        rig.generate(TOKENS)
        context.attempts.append((cut, rig.wait_for_end()))
        for path, call in CALLS.items():
            if is_kept:
                proxy.cut = None
                in_reactor(rig.client.cancel, rig.address, "nobody")
            proxy.cut, proxy.path = cut, path
            context.faults.append((cut, path, in_reactor(call, rig)))
        proxy.path = b"GET /engine/events"
        losses = []
        in_reactor(rig.client.subscribe, rig.address, losses.append, losses.append, losses.append)
        wait_until(lambda: losses, "the loss of the engine's events")  # noqa: B023
        context.losses += losses
    expected = len(context.attempts) + len(context.faults)
    assert proxy.answered == expected + len(context.losses), vars(proxy)
    assert proxy.kept >= (expected if is_kept else 0), vars(proxy)


@then("every attempt is lost without a chunk, and every call has failed with an unknown outcome")
def all_lost(context):
    for cut, listener in context.attempts:
        assert listener.reason == "lost" and not listener.chunks, (cut, listener.end)
    for cut, path, result in context.faults:
        assert result.is_error(), (cut, path, result)
        assert result.error.outcome == "unknown", (cut, path, result.error)
    assert {fault.code for fault in context.losses} == {"unavailable"}, context.losses


@given("a native gateway over an engine behind a proxy that cuts heads at one place of each class")
def serve_gateway(context):
    context.engines = in_reactor(LoopbackEngines, reactor, 1, FAST_ENGINE)
    context.proxy = CuttingProxy(context.engines.ports[0].getHost().port)
    context.loopback = in_reactor(LoopbackGateway, reactor, [context.proxy.address])
    context.add_cleanup(_close, context)
    wait_until(lambda: in_reactor(context.loopback.is_ready), "the gateway is ready")


def _close(context):
    in_reactor(lambda: Deferred.fromCoroutine(context.loopback.close()))
    context.proxy.close()
    in_reactor(lambda: Deferred.fromCoroutine(context.engines.close()))


def _ask(context, request):
    host, _, port = context.loopback.address.removeprefix("http://").partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALLER_LIMIT_S)
    body = {"model": SERVICE, "prompt": "x", "max_tokens": TOKENS}
    body["stream"] = request.startswith("streamed")
    headers = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
    headers["X-Rainsail-Deadline"] = str(CALLER_LIMIT_S)
    if request.startswith("non-repeatable"):
        headers[CLASS_HEADER] = "non_repeatable"
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


@when("a caller of its OpenAI API asks for a {request}, and the engine's answers are cut")
def ask_cut(context, request):
    context.proxy.path = COMPLETION
    context.told = []
    for cut in _cuts():
        context.proxy.cut = None
        status, content = _ask(context, request)
        assert status == http.client.OK, (status, content)
        context.proxy.cut = cut
        context.told.append((cut, *_ask(context, request)))


@then("every caller has been told an error, and none of them a success")
def all_told(context):
    assert context.told and context.proxy.answered >= len(context.told), vars(context.proxy)
    for cut, status, content in context.told:
        assert status >= http.client.INTERNAL_SERVER_ERROR, (cut, status, content)
        assert json.loads(content)["error"]["rainsail"]["outcome"] == "unknown", (cut, content)
