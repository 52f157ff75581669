"""Steps on the planned stop of a relaying gateway's process."""

import http.client
import signal
import socket

from behave import given, then, when
from features.support.own_fleet import wait_until
from features.support.reactor_thread import in_reactor, reactor

from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

HOST = "fleet.example"
CONTROL, CLIENTS, RUNNER = 7650, 7660, 7700
LIMIT_S = 20.0
BODY = b"body"
HALF = 2
HEAD = f"POST /pings/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n".encode()


@given("a runner that reads requests and never answers")
def silent_runner(context):
    context.taken = []
    ip = context.own.address(4, 1)
    server = HttpServer(context.taken.append, MonotonicClock(reactor), HttpLimits())
    port = in_reactor(reactor.listenTCP, RUNNER, server, 50, ip)
    context.add_cleanup(in_reactor, port.stopListening)
    word = {"service": "tracker", "address": f"{ip}:{RUNNER}", "slots": 4, "sequence": 1}
    address = context.own.address(1, 1)
    path = "/v1/runners/r-1"
    wait_until(
        lambda: context.own.call(address, CONTROL, "PUT", path, word)[0] == 200, "the report"
    )


def _send(context, name, body):
    address = (context.own.address(3, 1), CLIENTS)
    client = socket.create_connection(address, LIMIT_S)
    context.add_cleanup(client.close)
    client.sendall(HEAD + b"Rainsail-Request: " + name + b"\r\n\r\n" + body)
    return client


@when("a client of the gateway has sent all of it")
def send_all(context):
    wait_until(lambda: _reaches_runner(context), "a request at the runner")


def _reaches_runner(context):
    """Send one request; False if the fleet refuses it, as it does before it knows the runner."""
    before = len(context.taken)
    context.client = _send(context, b"p-1", BODY)
    context.client.settimeout(1.0)
    try:
        is_waiting = not context.client.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        is_waiting = True
    context.client.settimeout(LIMIT_S)
    return is_waiting and len(context.taken) > before


@when("a client of the gateway has sent half of a body")
def send_half(context):
    send_all(context)
    context.client = _send(context, b"p-2", BODY[:HALF])


@when("the process gets SIGTERM")
def sigterm(context):
    context.own.process.terminate()


@when("the process gets SIGTERM and SIGHUP while it stops")
def signals_while_stopping(context):
    wait_until(lambda: "drain_begun" in context.own.log.read_text(), "the stop has begun")
    for number in (signal.SIGTERM, signal.SIGHUP):
        context.own.process.send_signal(number)


@then("the client has a complete answer of status {status:d}, and the process ends with code 0")
def has_answer(context, status):
    response = http.client.HTTPResponse(context.client)
    response.begin()
    response.read()
    assert response.status == status, response.status
    assert context.own.process.wait(LIMIT_S) == 0, context.own.process.returncode
