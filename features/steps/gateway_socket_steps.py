"""Steps on a gateway over real loopback sockets, with a caller on a plain socket."""

import json
import socket
from urllib.parse import urlsplit

from behave import given, then, when
from features.support.reactor_thread import in_reactor, reactor, wait_until

from rainsail.benchmarks.loopback_gateway import (
    API_KEY,
    FAST_ENGINE,
    SERVICE,
    LoopbackEngines,
    LoopbackGateway,
)
from rainsail.emulator.answers import expected_answer, natural_length

KERNEL_BUFFER_BYTES = 4096
"""Size of the socket buffers.

It is small so that the kernel can't buffer the whole answer; accepted connections inherit it.
"""
LONG_TOKENS = 2000
READ_BYTES = 65536
KIBIBYTE = 1024


def long_prompt():
    """Return a prompt whose answer is long."""
    prompts = (f"history of voyage {number}? " for number in range(10_000))
    return next(each for each in prompts if natural_length(SERVICE, each, 0) >= LONG_TOKENS)


@given("a gateway on loopback sockets in front of a fast engine")
def make_loopback(context):
    context.engines = in_reactor(LoopbackEngines, reactor, 1, FAST_ENGINE)
    context.loopback = in_reactor(LoopbackGateway, reactor, context.engines.addresses)
    context.add_cleanup(in_reactor, lambda: _close(context))
    listening = context.loopback._port.socket
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    wait_until(lambda: in_reactor(context.loopback.is_ready), "the gateway is ready")


def _close(context):
    from twisted.internet.defer import Deferred

    closing = Deferred.fromCoroutine(context.loopback.close())
    return closing.addCallback(lambda _: Deferred.fromCoroutine(context.engines.close()))


@when("a socket caller asks for a long streamed answer and reads nothing of it")
def ask(context):
    url = urlsplit(context.loopback.address)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    caller.settimeout(20.0)
    caller.connect((url.hostname, url.port))
    context.prompt = long_prompt()
    fields = {"model": SERVICE, "prompt": context.prompt, "max_tokens": LONG_TOKENS}
    body = json.dumps({**fields, "stream": True}).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer {API_KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    caller.sendall(head.encode() + body)
    context.socket_caller = caller
    context.add_cleanup(caller.close)


def _run(context):
    runs = list(context.loopback.core._runs)
    return runs[0] if runs else None


def _is_paused(context):
    run = _run(context)
    return run is not None and run.attempt._paused


@when("the gateway on sockets stops reading from the engine")
@then("the gateway on sockets stops reading from the engine")
def stops_reading(context):
    wait_until(lambda: in_reactor(_is_paused, context), "the gateway pauses the engine's stream")


@then("it holds less than {kibibytes:d} KiB for the socket caller")
def holds_little(context, kibibytes):
    def unsent_bytes():
        channel = _run(context)._delivery._sink._request.channel
        transport = channel.transport
        return len(transport.dataBuffer) - transport.offset + transport._tempDataLen

    held = in_reactor(unsent_bytes)
    assert 0 < held < kibibytes * KIBIBYTE, held


@when("the socket caller reads on to the end")
def read_on(context):
    pieces = []
    while piece := context.socket_caller.recv(READ_BYTES):
        pieces.append(piece)
    context.received = b"".join(pieces)


@then("the socket caller has the complete answer")
def whole_answer(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received[:100]
    data = [line[6:] for line in context.received.split(b"\n") if line.startswith(b"data: ")]
    assert data[-1].strip() == b"[DONE]", data[-1]
    frames = [json.loads(each) for each in data[:-1]]
    text = "".join(frame["choices"][0]["text"] for frame in frames)
    assert text == expected_answer(SERVICE, context.prompt, LONG_TOKENS, 0)


@when("the socket caller closes its connection")
def close_connection(context):
    context.socket_caller.close()


@then("the gateway on sockets has no request in progress and no attempt at a runner")
def nothing_left(context):
    def is_idle():
        attempts = [state.attempts for state in context.loopback.fleet.runners()]
        return context.loopback.core.in_progress == 0 and not any(attempts)

    wait_until(lambda: in_reactor(is_idle), "the gateway has nothing in progress")
