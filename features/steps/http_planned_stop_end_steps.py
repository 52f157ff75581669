"""Steps on the end of a planned stop's grace time: real loopback sockets, virtual time."""

import http.client
import socket

from behave import given, then, when
from features.support.reactor_thread import in_reactor, reactor, wait_until
from features.support.virtual_time import VirtualClock

from rainsail.fleet.listening import listen
from rainsail.http.graceful_shutdown import GracefulShutdown
from rainsail.http.server import HttpLimits, HttpServer

SOCKET_LIMIT_S = 20.0
EXIT_MARGIN_S = 0.4
"""The process ends this long before the end of its grace time."""
SOON_S = 0.5
"""After SIGTERM: the port is closed, and idle connections are."""
BODY = b"body"
HALF = 2
REQUEST = b"POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 4\r\n\r\n" + BODY


class _StoppingServer:
    """One server of a process that is stopped; ``pass_until`` runs its time."""

    def __init__(self, grace_s, handler):
        self.ends_s = grace_s - EXIT_MARGIN_S
        self.exchanges = []
        self.left = []
        self.clock = VirtualClock()
        self._handler = handler
        self.server = HttpServer(self._handle, self.clock, HttpLimits())
        self.port = listen(reactor, self.server, "127.0.0.1:0").ok
        self.number = self.port.getHost().port
        self.finished = False

    def _handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect(lambda: self.left.append(exchange))
        self._handler(exchange)

    def stop(self):
        """Do as a node does on SIGTERM."""
        self.started_s = self.clock.seconds()
        finished = GracefulShutdown(self.server, self.port, self.clock).finish(self.ends_s)
        finished.addCallback(self._finish)

    def _finish(self, _):
        """The process ends: the kernel closes its sockets."""
        self.finished = True
        for connection in list(self.server.connections):
            connection.transport.loseConnection()

    def pass_until(self, since_stop_s):
        """Run the time until so many seconds after SIGTERM."""
        self.clock.run_until(self.started_s + since_stop_s)

    def close(self):
        """End the server."""
        return self.port.stopListening()


def _never(exchange):
    """Answer nothing."""


def _begin(exchange):
    exchange.begin(200, ())
    exchange.write(b"a part")


@given("a server with a grace time of {grace_s:d} s whose handler never answers")
def silent_server(context, grace_s):
    _serve(context, grace_s, _never)


@given(
    "a server with a grace time of {grace_s:d} s whose handler begins an answer and says no more"
)
def beginning_server(context, grace_s):
    _serve(context, grace_s, _begin)


def _serve(context, grace_s, handler):
    context.stopping = in_reactor(_StoppingServer, grace_s, handler)
    context.add_cleanup(in_reactor, context.stopping.close)


def _connect(context):
    address = ("127.0.0.1", context.stopping.number)
    context.caller = socket.create_connection(address, SOCKET_LIMIT_S)
    context.add_cleanup(context.caller.close)


@when("a caller sends a request, and SIGTERM comes")
def send_and_stop(context):
    _connect(context)
    context.caller.sendall(REQUEST)
    wait_until(lambda: in_reactor(lambda: len(context.stopping.exchanges)) == 1, "the request")
    in_reactor(context.stopping.stop)


@when("SIGTERM comes, and the body of a caller's request ends {since_stop_s:g} s after it")
def body_ends_late(context, since_stop_s):
    _connect(context)
    context.caller.sendall(REQUEST[: -len(BODY)])
    wait_until(lambda: in_reactor(_reads_body, context), "the head is read")
    in_reactor(context.stopping.stop)
    in_reactor(context.stopping.pass_until, since_stop_s)
    context.caller.sendall(BODY)
    wait_until(lambda: in_reactor(_has_read_all, context), "the request is read")


def _reads_body(context):
    return any(each._head is not None for each in context.stopping.server.connections)


def _has_read_all(context):
    """Tell whether the handler has the request, or the server has refused it."""
    stopping = context.stopping
    is_refused = any(each._refused is not None for each in stopping.server.connections)
    return bool(stopping.exchanges) or is_refused


@when("a caller sends two requests at once, and SIGTERM comes")
def send_two(context):
    _send_ahead(context, REQUEST)


@when("a caller sends one and a half requests at once, and SIGTERM comes")
def send_one_and_a_half(context):
    _send_ahead(context, REQUEST[: len(REQUEST) // 2])


def _send_ahead(context, ahead):
    _connect(context)
    context.caller.sendall(REQUEST + ahead)
    wait_until(lambda: in_reactor(lambda: len(context.stopping.exchanges)) == 1, "the request")
    in_reactor(context.stopping.stop)


@when("the handler answers the first request")
def answers_first(context):
    in_reactor(lambda: context.stopping.exchanges[0].answer(200, (), b"first"))
    in_reactor(context.stopping.pass_until, SOON_S)


@then("the caller has a complete answer of status {status:d}, and its connection stays open")
def stays_open(context, status):
    response = http.client.HTTPResponse(context.caller)
    response.begin()
    response.read()
    assert response.status == status, response.status
    assert response.getheader("Connection") is None, response.getheaders()


@then("the handler has the second request")
def has_second(context):
    assert len(context.stopping.exchanges) == 2, context.stopping.exchanges


@when("the grace time passes")
def grace_passes(context):
    in_reactor(context.stopping.pass_until, context.stopping.ends_s)
    wait_until(lambda: context.stopping.finished, "the end of the stop")


@then("the caller has a complete answer of status {status:d} before the process ends")
def has_answer(context, status):
    response = http.client.HTTPResponse(context.caller)
    response.begin()
    response.read()
    assert response.status == status, response.status
    assert response.getheader("Connection") == "close", response.getheaders()
    retry_after = response.getheader("Retry-After")
    assert (retry_after is not None) == (status == 503), retry_after


@then("the handler is told that nobody waits for its answer")
def handler_told(context):
    assert context.stopping.left == context.stopping.exchanges


@then("the caller's answer is broken off")
def broken_off(context):
    response = http.client.HTTPResponse(context.caller)
    response.begin()
    try:
        body = response.read()
    except (http.client.HTTPException, ConnectionError):
        return
    raise AssertionError(f"looks complete: {body!r}")


@when('SIGTERM comes while the bodies of requests on "{lost}" and "{kept}" arrive')
def bodies_arrive(context, lost, kept):
    context.callers = {}
    for path in (lost, kept):
        _connect(context)
        context.callers[path] = context.caller
        head = REQUEST[: -len(BODY)].replace(b"POST /", b"POST " + path.encode())
        context.caller.sendall(head + BODY[:HALF])
    wait_until(lambda: in_reactor(_arriving, context) == 2, "both heads are read")
    in_reactor(context.stopping.stop)


def _arriving(context):
    return sum(each.arriving is not None for each in context.stopping.server.connections)


@when('requests on "{path}" are known to be lost')
def known_lost(context, path):
    server = context.stopping.server
    lost = path.encode()
    in_reactor(server.refuse_arriving, lambda each: 1.5 if each.target == lost else None)


@then(
    'the caller of "{path}" has a complete answer of status {status:d} before it has sent its body'
)
def early_answer(context, path, status):
    context.caller = context.callers[path]
    has_answer(context, status)


@then('the caller of "{path}" has none')
def no_answer(context, path):
    assert in_reactor(_arriving, context) == 1
    assert not context.stopping.exchanges
