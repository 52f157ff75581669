"""Steps on the limits of the HTTP server, for a client that takes what it is told to."""

from behave import given, step, then
from features.steps.http_connection_steps import _bytes, _Transport

from rainsail.budget.client_budget import CONNECTION_BYTES, ClientBudget
from rainsail.budget.eviction import Rank
from rainsail.budget.sizing import BudgetLimits
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.simulation.clock import VirtualClock

HIGH_WATER_BYTES = 64 * 1024
TURNS = 10_000


class _FullTransport(_Transport):
    """Keeps what is written until its client takes it, and asks its producer to pause."""

    def __init__(self):
        super().__init__()
        self.bufferSize = HIGH_WATER_BYTES
        self.dataBuffer = b""
        self.offset = 0
        self._tempDataLen = 0
        self.streaming_producer = None
        self.is_read = True

    def write(self, data):
        """Keep data that the client has not taken."""
        super().write(data)
        self.dataBuffer += data
        if self.streaming_producer is not None and len(self.dataBuffer) > self.bufferSize:
            self.streaming_producer.pauseProducing()

    def take(self, count):
        """Have the client take bytes."""
        self.dataBuffer = self.dataBuffer[count:]
        if not self.dataBuffer and self.streaming_producer is not None:
            self.streaming_producer.resumeProducing()

    def registerProducer(self, producer, streaming):
        """Register the producer."""
        self.streaming_producer = producer

    def unregisterProducer(self):
        """Forget the producer."""
        self.streaming_producer = None

    def pauseProducing(self):
        """Stop reading."""
        self.is_read = False

    def resumeProducing(self):
        """Read on."""
        self.is_read = True

    def loseWriteConnection(self):
        """Close the sending side."""


@given("an HTTP server on a full transport with room for {room:d} bytes, bodies of {body:d}")
def serve(context, room, body):
    context.http_clock = VirtualClock()
    context.http_exchanges = []
    context.http_disconnected = []
    context.http_pauses = []

    def handle(exchange):
        context.http_exchanges.append(exchange)
        exchange.on_disconnect(lambda: context.http_disconnected.append(exchange))
        exchange.on_slow_client(context.http_pauses.append)

    limits = BudgetLimits(room + CONNECTION_BYTES, 100)
    budget = ClientBudget(context.http_clock.seconds, limits)
    context.http_server = HttpServer(
        handle, context.http_clock, HttpLimits(max_body_bytes=body), budget
    )
    context.http_transport, context.http_connection = _connect(context)


def _connect(context):
    transport = _FullTransport()
    connection = context.http_server.buildProtocol(None)
    transport.protocol = connection
    connection.makeConnection(transport)
    return transport, connection


@step("the client sends {count:d} bytes more")
def sends_more(context, count):
    for start in range(0, count, HIGH_WATER_BYTES):
        context.http_connection.dataReceived(b"x" * min(HIGH_WATER_BYTES, count - start))


@step("the client sends a chunk of {count:d} bytes")
def sends_chunk(context, count):
    context.http_connection.dataReceived(f"{count:x}\r\n".encode() + b"x" * count + b"\r\n")


@step("the client sends {count:d} chunks of {size:d} bytes and their end")
def sends_chunks(context, count, size):
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    context.http_connection.dataReceived(chunk * count + b"0\r\n\r\n")


@step('another client asks for "{path}"')
def another_asks(context, path):
    _, other = _connect(context)
    other.dataReceived(_bytes(f"GET {path} HTTP/1.1|Host: a||"))


@step('another client asks for "{path}" with a body of {count:d} bytes')
def another_sends(context, path, count):
    _, other = _connect(context)
    head = _bytes(f"POST {path} HTTP/1.1|Host: a|Content-Length: {count}||")
    other.dataReceived(head + b"x" * count)


@step("the server has worked through what it has received")
def works_through(context):
    for _ in range(TURNS):
        context.http_clock.advance(0)


@step("the time-out of the request ends before the server has worked through it")
def times_out(context):
    context.http_connection._too_slow()


@step("the server begins an answer and sends {count:d} bytes")
def begins(context, count):
    exchange = context.http_exchanges[-1]
    exchange.begin(200, ())
    exchange.write(b"x" * count)


@step("the server answers with {count:d} bytes")
def answers(context, count):
    context.http_exchanges[-1].answer(200, (), b"x" * count)
    context.http_clock.advance(0)


@step("the client takes {count:d} bytes")
def takes(context, count):
    context.http_transport.take(count)


@step("the client takes {count:d} bytes a second for {seconds:d} seconds")
def takes_slowly(context, count, seconds):
    for _ in range(seconds):
        context.http_transport.take(count)
        context.http_clock.advance(1)


@then("the source of the answer is asked to pause")
def asked_to_pause(context):
    assert context.http_pauses == [True], context.http_pauses


@then("the source of the answer may go on")
def may_go_on(context):
    assert context.http_pauses == [True, False], context.http_pauses


@then("the budget counts at least {count:d} bytes")
def counts(context, count):
    held = context.http_server.budget.memory.held_bytes - CONNECTION_BYTES
    assert held >= count, held


@then("the client's connection is still open")
def still_open(context):
    assert context.http_transport.connected


@then("the client's connection is still open and nothing is held")
def holds_nothing(context):
    assert context.http_transport.connected
    held = context.http_server.budget.memory.held_bytes
    assert held == CONNECTION_BYTES, context.http_server.budget.memory.by_kind


@then("nothing more is read from the client")
def not_read(context):
    assert not context.http_transport.is_read


@then("more is read from the client")
def read_again(context):
    assert context.http_transport.is_read


@then("the last body has {count:d} bytes")
def last_body(context, count):
    assert len(context.http_exchanges[-1].request.body) == count


@then('the server has seen the paths ""')
def seen_nothing(context):
    assert context.http_exchanges == []


@step("the server answers each request at once")
def answers_at_once(context):
    context.http_server.handler = lambda exchange: exchange.answer(200, (), b"")


@step("its place is needed for others")
def place_needed(context):
    standing = context.http_connection.standing(context.http_clock.seconds())
    assert standing is not None and standing.rank == Rank.IDLE, standing
    context.http_connection.give_way(False)


@then("the server has not answered 408")
def not_408(context):
    assert b" 408 " not in context.http_transport.value(), context.http_transport.value()
