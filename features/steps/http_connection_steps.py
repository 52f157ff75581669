"""Steps on HTTP connections over Twisted's in-memory transports."""

import select
import socket

from behave import given, step, then, when
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.python.failure import Failure

from rainsail.http.client import ClientConnection, OutgoingRequest
from rainsail.http.headers import end_to_end
from rainsail.http.parsing_queue import ParsingQueue
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock
from rainsail.runtime.sockets import unread_for_s
from rainsail.simulation.clock import VirtualClock

KERNEL_TICK_S = 0.02
"""The kernel counts a socket's times in ticks, at the longest of a hundredth of a second."""


class _Transport(StringTransportWithDisconnection):
    """Accepts the socket options that the product sets."""

    def setTcpNoDelay(self, enabled):
        """Accept the option."""

    def abortConnection(self):
        """Close at once."""
        self.loseConnection()

    def loseConnection(self):
        """Close once; closing again does nothing."""
        if self.connected:
            super().loseConnection()


def _bytes(text):
    return text.replace("|", "\r\n").encode()


def _serve(context, handler, limits=None):
    context.http_clock = VirtualClock()
    context.http_exchanges = []
    context.http_disconnected = []

    def noted(exchange):
        context.http_exchanges.append(exchange)
        exchange.on_disconnect(lambda: context.http_disconnected.append(exchange))
        handler(exchange)

    context.http_server = HttpServer(noted, context.http_clock, limits or HttpLimits())
    context.http_transport = _Transport()
    context.http_connection = context.http_server.buildProtocol(None)
    context.http_transport.protocol = context.http_connection
    context.http_connection.makeConnection(context.http_transport)


@given("an HTTP server that answers with the body it got")
def serve_echo(context):
    _serve(context, lambda exchange: exchange.answer(200, (), exchange.request.body))


@given("an HTTP server that answers later")
def serve_later(context):
    _serve(context, lambda exchange: None)


@given("an HTTP server that takes bodies of {body:d} bytes and heads of {head:d}")
def serve_bounded(context, body, head):
    limits = HttpLimits(max_header_bytes=head, max_body_bytes=body)
    _serve(context, lambda exchange: None, limits)


@step('a client sends "{text}"')
def client_sends(context, text):
    context.http_connection.dataReceived(_bytes(text))
    context.http_clock.advance(0)


@step("the server answers")
def server_answers(context):
    context.http_exchanges[-1].answer(200, (), b"later")
    context.http_clock.advance(0)


@then("the last request was received {seconds:g} seconds ago")
def received_ago(context, seconds):
    received_s = context.http_exchanges[-1].request.received_s
    assert received_s == context.http_clock.seconds() - seconds, received_s


@step('a client sends nothing for 1 second after its answer, then "{text}"')
def sends_later(context, text):
    server_answers(context)
    context.http_clock.advance(1.0)
    client_sends(context, text)


class SocketTransport(_Transport):
    """An in-memory transport with the server's end of a real connection."""

    def __init__(self, connection):
        super().__init__()
        self._connection = connection

    def getHandle(self):
        """Return the socket."""
        return self._connection


@given("an HTTP server that answers later, over a socket")
def serve_socket(context):
    with socket.create_server(("127.0.0.1", 0)) as listening:
        context.http_client = socket.create_connection(listening.getsockname())
        connection, _ = listening.accept()
    context.add_cleanup(context.http_client.close)
    context.add_cleanup(connection.close)
    context.http_exchanges = []
    context.http_clock = MonotonicClock(VirtualClock())
    server = HttpServer(context.http_exchanges.append, context.http_clock, HttpLimits())
    context.http_transport = SocketTransport(connection)
    context.http_connection = server.buildProtocol(None)
    context.http_transport.protocol = context.http_connection
    context.http_connection.makeConnection(context.http_transport)


@when("a client of that socket sends a request that is not read for {seconds:g} seconds")
def send_unread(context, seconds):
    context.http_sent_s = context.http_clock.seconds()
    context.http_client.sendall(_bytes("GET /1 HTTP/1.1|Host: a||"))
    while unread_for_s(context.http_transport) < seconds:
        select.select([], [], [], KERNEL_TICK_S)
    context.http_read_s = context.http_clock.seconds()
    data = context.http_transport.getHandle().recv(1024)
    context.http_connection.dataReceived(data)
    context.http_handled_s = context.http_clock.seconds()


@then(
    "the request was received between the moment it was sent and {seconds:g} seconds before it was "
    "read"
)
def received_between(context, seconds):
    received_s = context.http_exchanges[-1].request.received_s
    took_s = context.http_handled_s - context.http_read_s
    early_s = context.http_sent_s - KERNEL_TICK_S - took_s
    assert early_s <= received_s <= context.http_read_s - seconds, (
        received_s - context.http_sent_s,
        context.http_read_s - received_s,
    )


@step("the server drains")
def server_drains(context):
    context.http_server.drain()


@step('the server begins an answer, sends "{text}" and aborts')
def server_aborts(context, text):
    exchange = context.http_exchanges[-1]
    exchange.begin(200, ())
    exchange.write(text.encode())
    exchange.abort()


@step("the client closes its connection")
def client_closes(context):
    context.http_connection.connectionLost(Failure(ConnectionDone()))


@step("{seconds:g} seconds pass at the HTTP server")
def time_passes(context, seconds):
    context.http_clock.advance(seconds)


@then('the server\'s bytes end with "{text}"')
def ends_with(context, text):
    assert context.http_transport.value().endswith(text.encode()), context.http_transport.value()


@then('the server\'s bytes begin with "{text}"')
def begins_with(context, text):
    assert context.http_transport.value().startswith(text.encode()), context.http_transport.value()


@then('the server\'s bytes say "{text}"')
def says(context, text):
    assert text.encode() in context.http_transport.value(), context.http_transport.value()


@then("the server's bytes don't hold the end of a chunked body")
def no_end(context):
    assert b"0\r\n\r\n" not in context.http_transport.value()


@then("the server has closed the connection")
def server_closed(context):
    assert not context.http_transport.connected


@then('the server has seen the paths "{paths}"')
def has_seen(context, paths):
    seen = [exchange.request.target.decode() for exchange in context.http_exchanges]
    assert seen == paths.split(), seen


@then("the server's handler was notified that the client disconnected")
def was_told(context):
    assert context.http_disconnected == context.http_exchanges


# --- the calling side ----------------------------------------------------------------------


class _Listener:
    """Records an answer."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.end = ""

    def answer_begun(self, head):
        """Record the head."""
        self.head = head

    def answer_data(self, data):
        """Record the body."""
        self.body += data

    def answer_ended(self):
        """Record a complete answer."""
        assert not self.end
        self.end = "whole"

    def answer_failed(self, reason):
        """Record a broken answer."""
        assert not self.end
        self.end = "broke"


class _Owner:
    """Records the state changes that a connection reports to its owner."""

    def __init__(self):
        self.idle = []
        self.closed = []

    def connection_idle(self, connection, idle_s):
        """Record an idle connection."""
        self.idle.append(connection)

    def late_bytes(self, connection, data):
        """Bytes without a request need nothing here."""

    def connection_closed(self, connection):
        """Record a closed connection."""
        self.closed.append(connection)


@given("an HTTP client connection with a request under way")
def call(context):
    call_with(context, b"GET")


def call_with(context, method, transport=None):
    """Send a request of a method over a connection in memory, or over another transport."""
    context.http_owner = _Owner()
    context.http_listener = _Listener()
    context.http_caller = ClientConnection(context.http_owner, 0, ParsingQueue(VirtualClock()))
    context.http_transport = transport or _Transport()
    context.http_transport.protocol = context.http_caller
    context.http_caller.makeConnection(context.http_transport)
    request = OutgoingRequest(method, b"/x", ((b"Host", b"a"),), b"")
    context.http_caller.send(request, context.http_listener)


@step('the other side sends "{text}"')
def other_sends(context, text):
    context.http_caller.dataReceived(_bytes(text))


@step('the other side sends ""')
def other_sends_nothing(context):
    pass


@step("the other side closes {how}")
def other_closes(context, how):
    if context.http_transport.connected:
        reason = ConnectionDone() if how == "in order" else ConnectionLost()
        context.http_caller.connectionLost(Failure(reason))


@then('the answer is whole with "{text}"')
def is_whole(context, text):
    listener = context.http_listener
    assert (listener.end, listener.body) == ("whole", text.encode()), vars(listener)


@then("the answer broke")
def has_broken(context):
    assert context.http_listener.end == "broke", vars(context.http_listener)


@then("the connection may be used again")
def may_be_used(context):
    assert context.http_owner.idle == [context.http_caller]


@then("the connection is not used again")
def not_used(context):
    assert context.http_owner.idle == []


@then("the connection was closed by us")
def closed_by_us(context):
    assert not context.http_transport.connected


@then("these fields are forwarded")
def travel(context):
    for row in context.table:
        pairs = [text.strip().partition(": ") for text in row["fields"].split(";")]
        fields = [(name.encode(), value.encode()) for name, _, value in pairs]
        left = [name.decode() for name, _ in end_to_end(fields, frozenset())]
        assert left == row["left"].split(), left


class _SlowTransport(_Transport):
    """Closes only when ``flush`` is called."""

    def loseConnection(self):
        """Wait for the flush."""

    def flush(self):
        """Close now."""
        super().loseConnection()


@given("an HTTP server that answers later, over a connection that flushes slowly")
def serve_slowly(context):
    _serve(context, lambda exchange: None)
    context.http_connection.connectionLost(Failure(ConnectionDone()))
    context.http_transport = _SlowTransport()
    context.http_connection = context.http_server.buildProtocol(None)
    context.http_transport.protocol = context.http_connection
    context.http_connection.makeConnection(context.http_transport)


@step("the server drains and waits until it is drained")
def wait_quiet(context):
    context.http_drained = []
    context.http_server.drain()
    context.http_server.close_idle()
    context.http_server.when_drained(lambda: context.http_drained.append(True))


@then("the server is not drained yet")
def not_quiet(context):
    assert context.http_drained == []


@step("the connection has flushed")
def flushed(context):
    context.http_transport.flush()


@then("the server is drained")
def is_quiet(context):
    assert context.http_drained == [True]
