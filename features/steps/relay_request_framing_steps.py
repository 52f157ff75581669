"""Steps on requests of clients whose framing is ambiguous, over connections in memory."""

from behave import then, when
from features.support.cut_answers import runner_answer
from features.support.relayed_connections import HEAD_END, HOST, PATH


@when('a client sends a request framed by "{framing}" and the bytes "{data}"')
def send_framed(context, framing, data):
    context.framed_relay = relay = context.cut_relay()
    client = relay.client()
    context.framed_client = client
    fields = framing.replace("|", "\r\n")
    head = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\n{fields}\r\n\r\n"
    client._server.dataReceived((head + data.replace("|", "\r\n")).encode())
    context.framed_connection = relay.next_asked()


@then(
    'the runner has got one request with the length {length:d} and the body "{body}", '
    'and no field "{field}"'
)
def got_request(context, length, body, field):
    assert len(context.framed_relay.reactor.asked()) == 1
    head, _, sent = context.framed_connection.transport.value().partition(HEAD_END)
    names = [line.partition(b":")[0].lower().decode() for line in head.split(b"\r\n")[1:]]
    assert sent == body.encode(), sent
    assert names.count("content-length") == 1 and "transfer-encoding" not in names, names
    assert context.framed_connection.field(b"content-length") == str(length)
    assert field not in names, names


@then("no runner has got a request, and the client has been told {status:d}")
def got_nothing(context, status):
    assert context.framed_connection is None and not context.framed_relay.runs
    told = context.framed_client.transport.value()
    assert told.startswith(b"HTTP/1.1 %d " % status), told


@when("the runner has answered")
def runner_answers(context):
    context.framed_connection.send(runner_answer("body", "r-1", "a length").whole)
    context.framed_relay.turn()


@then("no other request has been made, and the client's second answer has the status {status:d}")
def second_refused(context, status):
    assert context.framed_relay.next_asked() is None and len(context.framed_relay.runs) == 1
    told = context.framed_client.transport.value()
    assert told.count(b"HTTP/1.1 ") == 2 and b"HTTP/1.1 %d " % status in told, told
