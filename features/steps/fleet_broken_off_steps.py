"""Steps on answers that are aborted on their way through a relaying fleet."""

import json
import socket

from behave import given, then, when
from features.support.aborting_runner import AbortingRunner
from features.support.http_reader import AnswerReader
from features.support.own_fleet import EXAMPLES, OwnFleet, wait_until

HOST = "fleet.example"
CONTROL, CLIENTS, RUNNER = 7650, 7660, 7700
LONG_S = 60
LIMIT_S = 20.0


@given("the nodes of examples/relaying run in one process with a grace time of {grace_s:d} seconds")
def run_nodes(context, grace_s):
    context.own = OwnFleet(f"\n[bounds]\ngrace_s = {grace_s}\n")
    context.add_cleanup(context.own.close)
    wait_until(lambda: _control(context, "/v1/routing-table", _patient_table()), "the table")


def _patient_table():
    """Return the example's table with time-outs long enough for an answer that never ends."""
    table = json.loads((EXAMPLES / "routing-table.json").read_text())
    for route in table["routes"]:
        route["timeout_s"] = LONG_S
    return table


def _control(context, path, body):
    address = context.own.address(1, 1)
    return context.own.call(address, CONTROL, "PUT", path, body)[0] == 200


@given("a runner that begins an answer {framing} and says no more")
def run_runner(context, framing):
    ip = context.own.address(4, 1)
    context.runner = AbortingRunner(ip, RUNNER, framing)
    context.add_cleanup(context.runner.close)
    word = {"service": "tracker", "address": f"{ip}:{RUNNER}", "slots": 4, "sequence": 1}
    wait_until(lambda: _control(context, "/v1/runners/r-1", word), "the word")


@when("a client of HTTP {version} asks the gateway and the first bytes have come")
def ask(context, version):
    head = f"POST /pings/1 HTTP/{version}\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
    request = f"{head}Rainsail-Request: p-1\r\n\r\n".encode()
    wait_until(lambda: _begins(context, request), "the beginning of an answer")


def _begins(context, request):
    """Send one request; False if the fleet refuses it, as it does before it knows the runner."""
    client = socket.create_connection((context.own.address(3, 1), CLIENTS), LIMIT_S)
    client.sendall(request)
    start = b"HTTP/1.1 200"
    if client.recv(len(start), socket.MSG_PEEK | socket.MSG_WAITALL) != start:
        client.close()
        return False
    context.add_cleanup(client.close)
    # A client that leaves bytes unread is reset by TCP's user timeout, whatever ends the gateway.
    context.answer_reader = AnswerReader(client)
    return True


@when("the gateway's process is killed")
def kill(context):
    context.own.process.kill()
    context.own.process.wait()


@when("the gateway's process is stopped and the grace time passes")
def stop(context):
    assert context.own.stop() == 0
    drained = [
        json.loads(line)
        for line in context.own.log.read_text().splitlines()
        if "drain_ended" in line
    ]
    assert [line["under_way"] for line in drained] == [1], drained


@when("the runner {breaks} its connection")
def break_off(context, breaks):
    context.runner.break_off(breaks)


@then("the client of the gateway finds its answer broken")
def is_broken(context):
    body = context.answer_reader.body(LIMIT_S)
    assert body is None, f"looks complete with {len(body)} bytes"
