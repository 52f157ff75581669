"""Steps of features/http/planned_stop.feature: real loopback sockets, stops in one reactor turn."""

import fcntl
import socket
import struct
import termios
import time

from behave import given, then, when
from features.support.reactor_thread import in_reactor, reactor, wait_until
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import Site

from rainsail.assembly.served_connections import IDLE_READ_S, ServedConnections, has_begun_request
from rainsail.fleet.listening import listen
from rainsail.http.graceful_shutdown import IDLE_CLOSE_PERIOD_S, GracefulShutdown
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.sockets import HANDSHAKE_S

SOCKET_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
ANSWER = b"answered"
REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\n\r\n"
HALF = len(REQUEST) // 2


class _Page(Resource):
    isLeaf = True

    def render_GET(self, request):
        return ANSWER


class _CallerApiStop:
    """Stops as a native gateway does."""

    def __init__(self):
        self._clock = Clock()
        site = Site(_Page())
        self._served = ServedConnections(site, self._clock)
        self._port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.number = self._port.getHost().port

    def connections(self):
        return len(self._served._channels)

    def has_read(self):
        return any(map(has_begun_request, self._served._channels))

    def close_idle(self):
        self._served.finish(STOP_LIMIT_S)

    def close_port(self):
        stopped = self._served.stop_accepting(self._port)
        stopped.addCallback(lambda _: self._served.finish(STOP_LIMIT_S))
        self._clock.advance(IDLE_READ_S)
        self._clock.advance(HANDSHAKE_S)

    def pass_time(self):
        self._clock.advance(IDLE_READ_S)

    def end(self):
        return self._port.stopListening()


class _RelayStop:
    """Stops as a relaying gateway does."""

    def __init__(self):
        self._clock = Clock()
        self._server = HttpServer(self._handle, self._clock, HttpLimits())
        self._port = listen(reactor, self._server, "127.0.0.1:0").ok
        self.number = self._port.getHost().port

    def _handle(self, exchange):
        exchange.answer(200, (), ANSWER)

    def connections(self):
        return len(self._server.connections)

    def has_read(self):
        return any(each._has_request() for each in self._server.connections)

    def close_idle(self):
        self._server.drain()
        self._server.close_idle()

    def close_port(self):
        GracefulShutdown(self._server, self._port, self._clock).finish(STOP_LIMIT_S)
        self._clock.advance(HANDSHAKE_S)

    def pass_time(self):
        self._clock.advance(IDLE_CLOSE_PERIOD_S)

    def end(self):
        return self._port.stopListening()


@given("the caller API that is about to stop")
def caller_api(context):
    _serve(context, _CallerApiStop)


@given("a relaying gateway that is about to stop")
def relaying_gateway(context):
    _serve(context, _RelayStop)


def _serve(context, kind):
    context.stop = in_reactor(kind)
    context.add_cleanup(in_reactor, context.stop.end)


def _connect(context):
    context.caller = socket.create_connection(("127.0.0.1", context.stop.number), SOCKET_LIMIT_S)
    context.add_cleanup(context.caller.close)


def _send(context, data):
    """Send, and wait until the other side's kernel has it."""
    context.caller.sendall(data)
    limit_s = time.monotonic() + SOCKET_LIMIT_S
    while struct.unpack("i", fcntl.ioctl(context.caller, termios.TIOCOUTQ, b"\0\0\0\0"))[0]:
        assert time.monotonic() < limit_s, "the bytes never arrive"


def _read_answer(context):
    received = b""
    while ANSWER not in received:
        piece = context.caller.recv(65536)
        assert piece, f"closed behind {received!r}"
        received += piece
    return received


@when("a caller's first request is answered there, and its connection is kept open")
def first_answered(context):
    _connect(context)
    _send(context, REQUEST)
    assert b"onnection: close" not in _read_answer(context)


@when("a caller opens a connection that is accepted")
def opens(context):
    _connect(context)
    wait_until(lambda: in_reactor(context.stop.connections) == 1, "the connection is accepted")


@when("the caller sends a request in the moment in which idle connections are closed")
def sends_while_closing(context):
    def send_and_close():
        _send(context, REQUEST)
        context.stop.close_idle()

    in_reactor(send_and_close)


@when("the caller sends two requests in the moment in which idle connections are closed")
def sends_two_while_closing(context):
    def send_and_close():
        _send(context, REQUEST + REQUEST)
        context.stop.close_idle()

    in_reactor(send_and_close)


@when("a caller connects and sends a request in the moment in which the port is closed")
def connects_while_closing(context):
    def connect_and_close():
        _connect(context)
        _send(context, REQUEST)
        context.stop.close_port()

    in_reactor(connect_and_close)
    in_reactor(context.stop.pass_time)


@when("the port is closed in a turn of the reactor that is long, and a caller connects meanwhile")
def connects_behind_the_close(context):
    def close_and_connect():
        context.stop.close_port()
        try:
            _connect(context)
            _send(context, REQUEST)
            context.outcome = "connected"
        except ConnectionRefusedError:
            context.outcome = "refused"

    in_reactor(close_and_connect)


@when(
    "a caller connects just before the port is closed, "
    "and sends its request after idle ones are closed"
)
def sends_late(context):
    def connect_and_close():
        _connect(context)
        context.stop.close_port()

    in_reactor(connect_and_close)
    in_reactor(context.stop.pass_time)
    _send(context, REQUEST)


@when("a caller has sent half of a request's head, and it has been read")
def sends_half(context):
    _connect(context)
    _send(context, REQUEST[:HALF])
    wait_until(lambda: in_reactor(context.stop.has_read), "half a request is read")


@when("idle connections are closed")
def close_idle(context):
    in_reactor(context.stop.close_idle)


@when("the caller sends the rest of its request")
def sends_rest(context):
    _send(context, REQUEST[HALF:])


@then("the caller is answered, and told that the connection closes")
def answered(context):
    head = _read_answer(context).partition(b"\r\n\r\n")[0].lower()
    assert b"connection: close" in head, head


@then("the caller is answered twice, and told that the connection closes behind the second answer")
def answered_twice(context):
    received = b""
    while received.count(ANSWER) < 2:
        piece = context.caller.recv(65536)
        assert piece, f"closed behind {received!r}"
        received += piece
    first, second, _ = received.split(ANSWER)
    assert b"connection: close" not in first.lower(), first
    assert b"connection: close" in second.lower(), second


@then("the caller is refused before it has sent anything")
def refused(context):
    assert context.outcome == "refused", context.outcome


@then("the caller's connection is closed in order")
def closed_in_order(context):
    assert context.caller.recv(1) == b""
