"""Steps on what runners send, over in-memory transports of a pool's connections."""

from behave import given, step, then
from features.steps.http_connection_steps import _Transport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from rainsail.http.client import OutgoingRequest
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.simulation.clock import VirtualClock

REQUEST = OutgoingRequest(b"GET", b"/x", ((b"Host", b"a"),), b"")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
HEADS = {
    "not at all so far": b"",
    "with a stream of events": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
READ_BYTES = 64 * 1024


class _RunnerTransport(_Transport):
    """Records whether the runner is read."""

    is_read = True

    def pauseProducing(self):
        """Stop reading."""
        self.is_read = False

    def resumeProducing(self):
        """Read on."""
        self.is_read = True


class _Turns(VirtualClock):
    """Runs what is called without delay one turn at a time."""

    def __init__(self):
        super().__init__()
        self._next = []

    def callLater(self, delay, call, *args):
        """Call in the next turn, or after a delay."""
        if delay:
            return super().callLater(delay, call, *args)
        self._next.append(call)
        return None

    def turn(self):
        """Run one turn; return whether there was anything to run."""
        calls, self._next = self._next, []
        for call in calls:
            call()
        return bool(calls)


class _Reactor:
    """Establishes no connection by itself."""

    def __init__(self):
        self.factories = []

    def connectTCP(self, host, port, factory, timeout):
        """Record the factory of a connection."""
        self.factories.append(factory)


class _Answer:
    """Records one call's answer."""

    def __init__(self):
        self.size = 0
        self.lines = 0
        self.end = ""
        self.reason = ""

    def answer_begun(self, head):
        """Nothing to do."""

    def answer_data(self, data):
        """Count the bytes and the lines."""
        self.size += len(data)
        self.lines += data.count(b"\n") + data.count(b"\r")

    def answer_ended(self):
        """Record the end."""
        assert not self.end
        self.end = "whole"

    def answer_failed(self, reason):
        """Record the failure."""
        assert not self.end
        self.end, self.reason = "failed", reason

    def request_unsent(self, reason):
        """Every request is sent."""
        raise AssertionError(reason)


class _Exchanged:
    """One call, the answer that it got and the connection to its runner."""

    def __init__(self, pool, reactor, number):
        self.answer = _Answer()
        self.address = f"127.0.0.1:{number}"
        self.call = pool.send(self.address, REQUEST, self.answer)
        self.connection = reactor.factories.pop().buildProtocol(None)
        self.transport = _RunnerTransport()
        self.transport.protocol = self.connection
        self.connection.makeConnection(self.transport)

    def call_again(self, pool):
        """Make another call on the connection, once it is idle."""
        if self.answer.end:
            self.answer = _Answer()
            self.call = pool.send(self.address, REQUEST, self.answer)
            assert self.call.sent

    def send(self, data):
        """Have the runner send bytes, in reads of bounded size."""
        for start in range(0, len(data), READ_BYTES):
            if self.transport.connected:
                self.connection.dataReceived(data[start : start + READ_BYTES])


@given("calls to {count:d} runner that answers each call {framing}")
@given("calls to {count:d} runners that answer each call {framing}")
def make_calls(context, count, framing):
    context.calls_clock = _Turns()
    reactor = _Reactor()
    context.calls_pool = ConnectionPool(reactor, context.calls_clock, PoolSettings())
    context.calls = [
        _Exchanged(context.calls_pool, reactor, number) for number in range(1, count + 1)
    ]
    for each in context.calls:
        each.send(HEADS[framing])


WORDS = {"LF": b"\n", "CR": b"\r", ":": b":", "x": b"x"}


@step('each runner sends {count:d} events "{event}" in one chunk and the end of its answer')
def send_tiny_events(context, count, event):
    words = event.split()
    first = int(words.pop(0)) if words[0].isdigit() else 1
    raw = WORDS[words[0]] * first + b"".join(WORDS[word] for word in words[1:])
    data = raw * count
    for each in context.calls:
        each.send(f"{len(data):x}\r\n".encode() + data + b"\r\n0\r\n\r\n")


@then("each turn brings at most {count:d} lines of answers")
def bounded_lines(context, count):
    for _ in range(20):
        before = sum(each.answer.lines for each in context.calls)
        context.calls_clock.turn()
        brought = sum(each.answer.lines for each in context.calls) - before
        assert 0 < brought <= count, brought


@step("each runner sends {count:d} interim answers")
def send_interim(context, count):
    for each in context.calls:
        each.send(INTERIM * count)
    work_through(context)


@step(
    "each runner answers {calls:d} calls, one after the other, "
    "with {count:d} interim answers before each"
)
def answer_calls(context, calls, count):
    for _ in range(calls):
        for each in context.calls:
            each.call_again(context.calls_pool)
            each.send(INTERIM * count + WHOLE)


@given("a server that shares its turns with these calls")
def make_server(context):
    context.calls_requests = []
    parsing = context.calls_pool._parsing
    limits = HttpLimits(max_body_bytes=READ_BYTES)
    server = HttpServer(context.calls_requests.append, context.calls_clock, limits, parsing=parsing)
    context.calls_client = server.buildProtocol(None)
    transport = _RunnerTransport()
    transport.protocol = context.calls_client
    context.calls_client.makeConnection(transport)


def _chunks(count, size, ending):
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    return chunk * count + (b"0\r\n\r\n" if ending == "and their end" else b"")


@step("each runner sends {count:d} chunks of {size:d} bytes {ending}")
def send_chunks(context, count, size, ending):
    ending, _, closing = ending.partition(", and closes ")
    for each in context.calls:
        each.send(_chunks(count, size, ending))
        if closing:
            _close(each, closing)


def send_all(context, data):
    """Have each runner send the same bytes."""
    for each in context.calls:
        each.send(data)


def close_all(context, how):
    """Have each runner close its connection."""
    for each in context.calls:
        _close(each, how)


def _close(exchanged, how):
    reason = ConnectionDone() if how == "in order" else ConnectionLost()
    exchanged.connection.connectionLost(Failure(reason))


@step("a client sends a request in {count:d} chunks of {size:d} bytes")
def client_sends(context, count, size):
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.calls_client.dataReceived(head + _chunks(count, size, "and their end"))


@step("the process has worked through what it has received")
def work_through(context):
    while context.calls_clock.turn():
        pass


@step("{count:d} turns have passed")
def turns_pass(context, count):
    for _ in range(count):
        context.calls_clock.turn()


@step("each call is cancelled")
def cancel(context):
    for each in context.calls:
        each.call.cancel()


@step("the answer of each call is paused")
def pause(context):
    for each in context.calls:
        each.call.set_paused(True)


@step("the answer of each call goes on")
def go_on(context):
    for each in context.calls:
        each.call.set_paused(False)


@then("each turn brings at most {count:d} bytes of answers")
def bounded_turns(context, count):
    for _ in range(20):
        before = sum(each.answer.size for each in context.calls)
        context.calls_clock.turn()
        brought = sum(each.answer.size for each in context.calls) - before
        assert 0 < brought <= count, brought


@then("no call has ended")
def none_ended(context):
    assert not any(each.answer.end for each in context.calls)


@then("each call has a whole answer of {count:d} bytes")
def whole(context, count):
    ends = {(each.answer.end, each.answer.size) for each in context.calls}
    assert ends == {("whole", count)}, ends


@then("each call has failed")
def failed(context):
    ends = {(each.answer.end, each.answer.reason) for each in context.calls}
    assert {end for end, _ in ends} == {"failed"}, ends


@then('each call has failed: "{reason}"')
def failed_because(context, reason):
    ends = {(each.answer.end, each.answer.reason) for each in context.calls}
    assert ends == {("failed", reason)}, ends


@then("each connection may be used again")
def reusable(context):
    for number in range(1, len(context.calls) + 1):
        assert context.calls_pool.has_settled(f"127.0.0.1:{number}", 0.0)


@then("no runner's connection is open")
def closed(context):
    assert not any(each.transport.connected for each in context.calls)


@then("nothing more is read from the runners")
def not_read(context):
    assert not any(each.transport.is_read for each in context.calls)


@then("more is read from the runners")
def read_on(context):
    assert all(each.transport.is_read for each in context.calls)


@then("the client's request has arrived whole")
def request_arrived(context):
    (exchange,) = context.calls_requests
    assert len(exchange.request.body) == 18_000
