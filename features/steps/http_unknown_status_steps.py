"""Steps on readers of answers whose status HTTP gives no meaning to, over real sockets."""

import json
import time

from behave import given, then, when
from features.steps.engine_cut_head_steps import CALLS, COMPLETION, TOKENS, _ask, serve_gateway
from features.steps.http_truncated_body_steps import WHOLE_BODY
from features.support.cutting_proxy import Cut, CuttingProxy
from features.support.engine import EngineRig, fault_body, plain_answer
from features.support.reactor_thread import in_reactor, reactor
from twisted.internet.defer import Deferred

from rainsail.cli.operator_client import OperatorClient
from rainsail.experiment.http_calls import HttpCaller

TIMEOUT_S = 10.0
SAYS_NOT_RUN = fault_body(b"unavailable", b"full", b"not_run")
REQUESTS = ("non-repeatable completion", "streamed completion")


def _coroutine(make):
    return in_reactor(lambda: Deferred.fromCoroutine(make()))


def _refusal(status, body=SAYS_NOT_RUN):
    return plain_answer(f"{status} Odd".encode(), body)


@given("a server that answers every request with the status {status} and {body} that says not run")
def serve_unknown(context, status, body):
    said = SAYS_NOT_RUN if body == "a fault" else b'{"error":%s}' % SAYS_NOT_RUN
    context.proxy = CuttingProxy()
    context.add_cleanup(context.proxy.close)
    context.proxy.cut = Cut(_refusal(status, said), "its sending side only")


@when("the engine client makes each kind of call, and asks for an attempt")
def make_calls(context):
    rig = EngineRig()
    context.add_cleanup(rig.close)
    rig.address = context.proxy.address
    context.results = [(path, in_reactor(call, rig)) for path, call in CALLS.items()]
    rig.generate(TOKENS)
    context.attempt = rig.wait_for_end()


@then("the attempt is lost, and every call has failed with an unknown outcome")
def all_lost(context):
    assert context.attempt.reason == "lost" and not context.attempt.chunks, context.attempt.end
    for path, result in context.results:
        assert result.is_error() and result.error.outcome == "unknown", (path, result)


@given(
    "a native gateway over an engine behind a proxy that answers {status} "
    "with a fault that says not run"
)
def serve_native(context, status):
    serve_gateway(context)
    context.proxy.path = COMPLETION
    context.proxy.cut = Cut(_refusal(status), "its sending side only")


@when("callers ask for a completion that may not be repeated, and for a streamed one")
def ask_both(context):
    context.told = [(request, *_ask(context, request)) for request in REQUESTS]


@then("every caller has been told an error of unknown outcome")
def told_unknown(context):
    for request, status, content in context.told:
        assert status >= 500, (request, status, content)
        fault = json.loads(content)["error"]["rainsail"]
        assert fault["outcome"] == "unknown", (request, content)


@given("a server that answers the first request with the status {status}, and the next ones whole")
def serve_first_unknown(context, status):
    context.first = plain_answer(f"{status} Odd".encode(), b'{"rows": []}')


@when("an operator's command is run, and its lines are read")
def run_command(context):
    lines = []
    context.reads = []
    for call in (
        lambda client: client.request("GET", "/v1/status"),
        lambda client: client.lines("/v1/watch", lines.append),
    ):
        proxy = CuttingProxy()
        context.add_cleanup(proxy.close)
        proxy.cut = Cut(context.first, "its sending side only")
        proxy.later = Cut(plain_answer(b"200 OK", WHOLE_BODY + b"\n"), "in order")
        client = OperatorClient(reactor, proxy.address)
        body = _coroutine(lambda: call(client))  # noqa: B023
        context.reads.append((body if body is not None else lines, proxy.answered))


@then("both have the whole answer, at their second attempt")
def both_whole(context):
    whole = json.loads(WHOLE_BODY)
    lines = [json.loads(line) for line in WHOLE_BODY.splitlines()]
    assert context.reads == [(whole, 2), (lines, 2)], context.reads


@when("the experiment's client makes a call, and reads a stream")
def call_and_read(context):
    caller = in_reactor(HttpCaller, reactor)
    context.add_cleanup(in_reactor, caller.close)
    url = f"{context.proxy.address}/x"
    called = _coroutine(lambda: caller.call("GET", url, "", TIMEOUT_S))
    read = _coroutine(lambda: caller.stream(url, "", TIMEOUT_S, {}, {}, time.monotonic))
    context.faults = [called.error, read.fault]


@then("both have failed with an unknown outcome")
def both_unknown(context):
    for fault in context.faults:
        assert fault is not None and fault.outcome == "unknown", fault
