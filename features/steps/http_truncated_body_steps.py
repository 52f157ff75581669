"""Steps on readers of answers without framing, over real sockets."""

from behave import given, step, then, when
from features.support.cutting_proxy import WAYS_TO_CLOSE, Cut, CuttingProxy
from features.support.reactor_thread import in_reactor, reactor
from twisted.internet.defer import Deferred

from rainsail.cli.operator_client import OperatorClient
from rainsail.engine.http_client import HttpEngineClient
from rainsail.engine.interface import KvState
from rainsail.experiment.http_calls import HttpCaller, json_lines
from rainsail.runtime.clock import MonotonicClock

STATE = KvState("s", 3, 1, b"x")
WHOLE_BODY = b'{"rows": [1, 2]}'
TIMEOUT_S = 10.0


def _body(text):
    return b"" if text == "nothing" else text.strip('"').translate(QUOTES).encode()


QUOTES = str.maketrans({"'": '"', "/": "\n"})


def _answer(fields, body):
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s\r\n%s" % (fields, body)


@given("a server that answers every request with a whole head {framing}, then {body}")
def serve_all(context, framing, body):
    words = framing.split()
    field = b"" if words[0] == "without" else b"Content-Length: %s\r\n" % words[-1].encode()
    context.truncated = _answer(field, _body(body))
    context.then_whole = b""


@given(
    "a server that answers the first request with a whole head without framing, then {body}, "
    "and the next ones whole"
)
def serve_first(context, body):
    context.truncated = _answer(b"", _body(body))
    length = b"Content-Length: %d\r\n" % len(WHOLE_BODY)
    context.then_whole = _answer(length, WHOLE_BODY)


def _for_each_way(context, call):
    """Return the results of a call for each way in which the connection ends."""
    results = []
    for how in WAYS_TO_CLOSE:
        proxy = CuttingProxy()
        context.add_cleanup(proxy.close)
        proxy.cut = Cut(context.truncated, how)
        if context.then_whole:
            proxy.later = Cut(context.then_whole, "in order")
        results.append((how, call(proxy.address), proxy.answered))
    return results


@when("the engine client imports a session, for each way in which the connection ends")
def import_session(context):
    client = in_reactor(HttpEngineClient, MonotonicClock(reactor), reactor)
    context.add_cleanup(in_reactor, client.close)
    context.reads = _for_each_way(
        context, lambda address: in_reactor(client.import_kv, address, STATE)
    )


@when("an operator's command is run, for each way in which the connection ends")
def run_command(context):
    def run(address):
        client = OperatorClient(reactor, address)
        return in_reactor(lambda: Deferred.fromCoroutine(client.request("GET", "/v1/status")))

    context.reads = _for_each_way(context, run)


@when("a caller reads the lines, for each way in which the connection ends")
def read_lines(context):
    caller = in_reactor(HttpCaller, reactor)
    context.add_cleanup(in_reactor, caller.close)

    def read(address):
        call = caller.call("GET", f"{address}/x", "", TIMEOUT_S, decode=json_lines)
        return in_reactor(lambda: Deferred.fromCoroutine(call))

    context.reads = _for_each_way(context, read)


@step("every {what} has failed with an unknown outcome")
def all_failed(context, what):
    for how, result, _ in context.reads:
        assert result.is_error() and result.error.outcome == "unknown", (how, result)


@then("every {what} has succeeded")
def all_succeeded(context, what):
    for how, result, _ in context.reads:
        assert result.is_ok(), (how, result)


@then("every command has the whole answer, at its second attempt")
def all_whole(context):
    for how, body, answered in context.reads:
        assert body == {"rows": [1, 2]} and answered == 2, (how, body, answered)
