"""Steps on a request body that crashes runners, with the adapter's real processes."""

import json
import time

from behave import then, when
from features.support import platform_stand_in
from features.support.platform_stand_in import FATAL_BODY, wait_until

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
CONTROLLERS = ("controller-1", "controller-2", "controller-3")
PATH = "/safe/fatal"
REQUEST_PERIOD_S = 0.3


def _send(context, gateway, path, body):
    context.sent = getattr(context, "sent", 0) + 1
    name = f"request-{context.sent}"
    return context.platform.client(gateway, "POST", path, body, Request_Id=name)[0]


def _fatal_runs(context):
    return sum(len(runner.fatal_runs) for runner in context.platform.runners)


def _held(context):
    status, body = context.platform.control("GET", "/v1/held-requests")
    return [each for each in json.loads(body)["requests"] if each["held"]] if status == 200 else []


@then("each gateway serves requests")
def each_serves(context):
    for runner in context.platform.runners:
        wait_until(lambda runner=runner: context.platform.beat(runner) == 200, "a heartbeat")
    for name in GATEWAYS:
        wait_until(lambda name=name: context.platform.is_ready(name), f"{name} ready")
        wait_until(lambda name=name: _send(context, name, "/safe/1", b"a") == 200, "served")


@when("the body that ends runners comes at one gateway after the other until it is held")
def fatal_comes(context):
    turn = []

    def held():
        turn.append(_send(context, GATEWAYS[len(turn) % 3], PATH, FATAL_BODY))
        time.sleep(REQUEST_PERIOD_S)
        return bool(_held(context))

    wait_until(held, "the body is held")
    context.runs_when_held = _fatal_runs(context)


@then("it ended at most {most:d} runners, and runs no more in {rounds:d} rounds at any gateway")
def few_ends(context, most, rounds):
    assert 3 <= _fatal_runs(context) <= most, _fatal_runs(context)
    runs_no_more(context, rounds)


@then("it runs no more in {rounds:d} rounds at any gateway")
def runs_no_more(context, rounds):
    before = _fatal_runs(context)
    for _ in range(rounds):
        for name in GATEWAYS:
            wait_until(
                lambda name=name: _send(context, name, PATH, FATAL_BODY) in (502, 503), "an answer"
            )
        time.sleep(REQUEST_PERIOD_S)
    assert _fatal_runs(context) == before, (_fatal_runs(context), before)


@then("other requests are served at each gateway")
def others_served(context):
    assert all(_send(context, name, "/safe/2", b"other") == 200 for name in GATEWAYS)


@then("the metrics of all nodes and the log of a controller say what is held")
def told(context):
    for name in (*GATEWAYS, *CONTROLLERS):
        assert context.platform.metric(name, "requests_held") == 1.0, name
    (held,) = _held(context)
    lines = [line for name in CONTROLLERS for line in context.platform.log_lines(name)]
    told = [line for line in lines if line.get("event") == "quarantine_held"]
    assert {line["fingerprint"] for line in told} == {held["fingerprint"]}, told


@when("all controllers are killed and start again")
def controllers_restart(context):
    for name in CONTROLLERS:
        context.platform.kill(name)
    for name in CONTROLLERS:
        context.platform.start(name)
    wait_until(lambda: bool(_held(context)), "the held requests read back")


@when("the operator releases it, and runners no longer crash on it")
def release(context):
    (held,) = _held(context)
    platform_stand_in.FATAL_BODY = b"another"
    context.add_cleanup(setattr, platform_stand_in, "FATAL_BODY", FATAL_BODY)
    path = f"/v1/held-requests/{held['fingerprint']}"
    wait_until(lambda: context.platform.control("DELETE", path)[0] in (200, 404), "released")


@then("it is served")
def served(context):
    for name in GATEWAYS:
        wait_until(lambda name=name: _send(context, name, PATH, FATAL_BODY) == 200, "served")
