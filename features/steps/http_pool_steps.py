"""Steps on the pool of connections to servers, over in-memory transports."""

from behave import given, step, then
from features.steps.http_connection_steps import _Transport
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from rainsail.http.client import OutgoingRequest
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.simulation.clock import VirtualClock

REQUEST = OutgoingRequest(b"POST", b"/a", ((b"Host", b"a"), (b"Content-Length", b"0")), b"")
PORTS = {"a": 1, "b": 2, "c": 3}


class _Reactor:
    """Records the requested connections; none is established."""

    def __init__(self):
        self.dialled = []
        self.factories = []

    def connectTCP(self, host, port, factory, timeout):
        """Record a requested connection."""
        self.dialled.append(port)
        self.factories.append(factory)


class _Listener:
    """Receives an answer and records why it failed."""

    def __init__(self):
        self.failed = ""
        self.call = None

    def answer_begun(self, head):
        """Nothing to do."""

    def answer_ended(self):
        """Nothing to do."""

    def answer_failed(self, reason):
        """Record the failure, and cancel the call as a relayed request does."""
        self.failed = reason
        self.call.cancel()


def _address(server):
    return f"127.0.0.1:{PORTS[server]}"


def _rest(context, server, rest_s):
    listener = _Listener()
    context.pool.send(_address(server), REQUEST, listener)
    connection = context.pool_reactor.factories.pop().buildProtocol(None)
    transport = _Transport()
    transport.protocol = connection
    connection.makeConnection(transport)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    context.pool_reactor.dialled.clear()
    context.pool_clock.advance(rest_s)


@given("a pool with connections to servers a, b and c that have been idle for {rest_s:d} second")
def make_pool(context, rest_s):
    context.pool_clock = VirtualClock()
    context.pool_reactor = _Reactor()
    context.pool = ConnectionPool(context.pool_reactor, context.pool_clock, PoolSettings())
    for server in PORTS:
        _rest(context, server, 0)
    context.pool_clock.advance(rest_s)


def _send(context, server):
    listener = _Listener()
    call = listener.call = context.pool.send(_address(server), REQUEST, listener)
    return call, listener


@step("a request to server {server} is reset at once on its connection")
def reset_at_once(context, server):
    _reset(context, server, 0.005)


@step("a request to server {server} is reset after {seconds:g} seconds on its connection")
def reset_later(context, server, seconds):
    _reset(context, server, seconds)


def _reset(context, server, after_s):
    call, listener = _send(context, server)
    assert call.sent
    context.pool_clock.advance(after_s)
    call._connection.connectionLost(Failure(ConnectionLost()))
    assert listener.failed


@then("a request to server {server} goes out on the idle connection")
def on_rested(context, server):
    call, _ = _send(context, server)
    assert call.sent and not context.pool_reactor.dialled


@then("a request to server {server} goes out on a new connection")
def on_new(context, server):
    call, _ = _send(context, server)
    assert not call.sent and context.pool_reactor.dialled == [PORTS[server]]


@then(
    "{seconds:d} seconds later connections that have been idle for {rest_s:d} second are used again"
)
def used_again(context, seconds, rest_s):
    context.pool_clock.advance(seconds)
    _rest(context, "a", rest_s)
    call, _ = _send(context, "a")
    assert call.sent


@step("a request to server {server} is cancelled at once")
def given_up(context, server):
    call, listener = _send(context, server)
    context.pool_clock.advance(0.005)
    call.cancel()
    assert not listener.failed


@step("another connection to server {server} is opened after {rest_s:d} seconds more")
def open_another(context, server, rest_s):
    context.pool_clock.advance(rest_s)
    (first,) = [each.connection for each in context.pool._servers[_address(server)].idle]
    context.first_connection = first
    busy = context.pool._take_idle(_address(server), 0.0)
    _rest(context, server, 0)
    context.pool.connection_idle(busy, None)
    idle = context.pool._servers[_address(server)].idle
    idle.sort(key=lambda each: each.connection is not first)


def _connection_used(context, server, settled_s):
    listener = _Listener()
    call = context.pool.send(_address(server), REQUEST, listener, settled_s=settled_s)
    connection = call._connection
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    return connection


@then(
    "a request to server {server} that asks for a connection of 3 seconds goes over the first one"
)
def goes_over_settled(context, server):
    assert _connection_used(context, server, 3.0) is context.first_connection


@then("a request to server {server} that asks for a connection of 9 seconds goes over a kept one")
def goes_over_kept(context, server):
    _connection_used(context, server, 9.0)
    assert not context.pool_reactor.dialled, context.pool_reactor.dialled


@then("server {server} has a settled connection of 3 seconds, and none of 9 seconds")
def has_settled(context, server):
    address = _address(server)
    assert context.pool.has_settled(address, 3.0) and not context.pool.has_settled(address, 9.0)
