"""Steps on unframed answers of runners whose processes end, behind a relay in memory."""

from behave import given, step, then, when
from features.steps.cut_head_steps import ItemPlay, Play, _table
from features.support.relayed_connections import RelayedConnections
from features.support.relaying import event
from features.support.server_processes import ProcessReactor

from rainsail.http.client import PROCESS_ENDED
from rainsail.jobs.item_run import RunEnd
from rainsail.relay.continuation import RequestOutcome

LAST_EVENT = 4
BODY = b"the whole body"
PART_BYTES = 5
CONFIRMED_S = 1.0
"""Longer than the confirmation of an unframed end takes."""
MILLISECONDS_PER_S = 1000
PAUSED_S = 5.0


def _events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def _head(request, *fields):
    lines = (b"HTTP/1.1 200 OK", b"Request-Id: " + request.encode(), *fields)
    return b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def _stream_head(request="r-1", *fields):
    return _head(request, b"Content-Type: text/event-stream", *fields)


@given('a relay before runner processes, with a "{route}" route')
def make_relay(context, route):
    context.relay = RelayedConnections(_table(route), make_reactor=ProcessReactor)
    context.is_stream = "stream" in route


def _first_asked(context):
    context.play = Play(context.relay, "one")
    context.play.client.send("r-1")
    return context.play.asked()


def _end_process(context, connection, ms):
    context.relay.reactor.end_process(connection.address, ms / MILLISECONDS_PER_S)


@when(
    "a runner sends events 1 to {last:d} of 4 unframed, "
    "and its process ends and is back after {ms:d} ms"
)
def crash_in_stream(context, last, ms):
    connection = _first_asked(context)
    connection.send(_stream_head() + _events(1, last))
    _end_process(context, connection, ms)


@when(
    "a runner sends events 1 to {last:d} of 4 unframed, "
    "and its process ends while the client's side has the answer paused"
)
def crash_while_paused(context, last):
    connection = _first_asked(context)
    connection.send(_stream_head() + _events(1, last))
    (run,) = context.relay.runs
    (attempt,) = run._sender.attempts
    attempt.set_paused(True)
    context.relay.reactor.end_process(connection.address, None, unnoticed=connection)
    context.relay.clock.advance(PAUSED_S / 2)
    attempt.set_paused(False)
    connection.close(by_reset=False)
    context.relay.clock.advance(CONFIRMED_S)


@when("a runner sends a part of an unframed body, and its process ends and is back after {ms:d} ms")
def crash_in_body(context, ms):
    connection = _first_asked(context)
    connection.send(_head("r-1") + BODY[:PART_BYTES])
    _end_process(context, connection, ms)


@when("the next runner that is asked sends the rest of the stream in chunks")
def go_on(context):
    connection = context.play.asked()
    if connection is None:
        return
    after = int(connection.field(b"last-event-id") or 0)
    rest = _events(after + 1, LAST_EVENT)
    chunk = b"%x\r\n%s\r\n" % (len(rest), rest) if rest else b""
    head = _stream_head("r-1", b"Transfer-Encoding: chunked")
    connection.send(head + chunk + b"0\r\n\r\n")
    context.relay.clock.advance(CONFIRMED_S)


@when("the next runner that is asked sends the whole body with its length")
def send_whole(context):
    connection = context.play.asked()
    if connection is not None:
        connection.send(_head("r-1", b"Content-Length: %d" % len(BODY)) + BODY)
        context.relay.clock.advance(CONFIRMED_S)


def _send_unframed(context):
    connection = _first_asked(context)
    whole = _stream_head() + _events(1, LAST_EVENT) if context.is_stream else _head("r-1") + BODY
    connection.send(whole)
    connection.close(by_reset=False)


@when("a runner sends the whole answer unframed and closes its connection in order")
def close_whole(context):
    _send_unframed(context)
    context.relay.clock.advance(CONFIRMED_S)


@when("a runner sends the whole answer unframed and closes, and the client leaves at once")
def leave(context):
    _send_unframed(context)
    context.play.client.transport.loseConnection()
    context.relay.clock.advance(CONFIRMED_S)


@then("the client has the whole {what}, of {count:d} runner")
@then("the client has the whole {what}, of {count:d} runners")
def has_whole(context, what, count):
    answer = context.play.answer
    body = {"stream": _events(1, LAST_EVENT), "body": BODY}[what]
    assert (answer.status, answer.body, answer.is_whole) == (200, body, True), answer
    assert len(context.play.runners) == count, context.play.runners


@then("the client's answer of 1 runner was cut behind event {last:d}")
def was_cut(context, last):
    answer = context.play.answer
    assert context.play.asked() is None and len(context.play.runners) == 1
    assert (answer.body, answer.is_whole) == (_events(1, last), False), answer


@then("the client has no whole answer, of 1 runner")
def no_whole(context):
    answer = context.play.answer
    assert context.play.asked() is None and len(context.play.runners) == 1
    assert answer.status == 502 or not answer.is_whole, answer


@then("the answer counts as proof that the runner survived the request")
def survival_proved(context):
    (run,) = context.relay.ended
    (attempt,) = run._sender.attempts
    assert attempt.proves_survival, attempt.summary


@step("the crash of the first runner's connection was noticed")
def crash_noticed(context):
    (run,) = context.relay.runs
    first = run._sender.attempts[0]
    assert first.connection_ended and first.end_reason == PROCESS_ENDED, first.end_reason


@then("the request has ended once, as left")
def ended_as_left(context):
    (run,) = context.relay.ended
    assert run.outcome == RequestOutcome.LEFT, run.outcome


def _item_asked(context):
    context.play = ItemPlay(context.relay, "item")
    return context.relay.next_asked()


@when(
    "a runner sends events 1 to {last:d} of an item's text unframed, "
    "and its process ends and is back after {ms:d} ms"
)
def crash_in_item(context, last, ms):
    connection = _item_asked(context)
    connection.send(_stream_head("item-1") + _events(1, last))
    _end_process(context, connection, ms)
    context.relay.clock.advance(CONFIRMED_S)


@when("a runner sends the whole text of an item unframed and closes its connection in order")
def whole_item(context):
    connection = _item_asked(context)
    connection.send(_stream_head("item-1") + _events(1, LAST_EVENT))
    connection.close(by_reset=False)
    context.relay.clock.advance(CONFIRMED_S)


@then("the run of the item broke off with its connection, and has {count:d} texts")
def item_broke(context, count):
    play = context.play
    assert play.ends == [RunEnd.BROKEN] and play.run.connection_ended, play.ends
    assert len(play.progress.texts) == count and not play.run.is_whole


@then("the end of the item's run is to be confirmed by another, and it has {count:d} texts")
def item_to_confirm(context, count):
    play = context.play
    assert play.ends == [RunEnd.END_UNCONFIRMED], play.ends
    assert not play.run.connection_ended and len(play.progress.texts) == count
