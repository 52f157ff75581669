"""Steps on statuses with which the handlers of a server answer."""

from behave import given, then, when
from features.support.relayed_connections import MemoryTransport

from rainsail.budget.client_budget import ClientBudget
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.logs import logger
from rainsail.simulation.clock import VirtualClock


@given("a server whose handler answers with the status {status:d}, {how}")
def serve_status(context, status, how):
    def answer(exchange):
        if how == "at once":
            exchange.answer(status, (), b"body")
        else:
            exchange.begin(status, ((b"Content-Length", b"4"),))
            exchange.write(b"body")
            exchange.end()

    clock = VirtualClock()
    context.http_server = HttpServer(answer, clock, HttpLimits(), ClientBudget(clock.seconds))


@when("a client sends it a request")
def send_request(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    context.client_transport = MemoryTransport()
    connection = context.http_server.buildProtocol(None)
    context.client_transport.protocol = connection
    connection.makeConnection(context.client_transport)
    connection.dataReceived(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")


@then("the client has got no byte of an answer, and its connection is reset")
def got_nothing(context):
    transport = context.client_transport
    assert not transport.value() and transport.is_reset, transport.value()


@then("the log names the status {status:d}")
def log_names(context, status):
    lines = [each for each in context.log_records if each["message"] == "answer_status_invalid"]
    assert [each["extra"]["status"] for each in lines] == [status], context.log_records
