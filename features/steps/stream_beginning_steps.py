"""Steps on the beginnings of relayed streams."""

import re

from behave import given, step, then, when
from features.support.relaying import EVENT_STREAM_FIELDS, event

from rainsail.http.client import AnswerHead
from rainsail.relay.stream_beginnings import StreamBeginnings

CHUNKED_FIELDS = ((b"transfer-encoding", b"chunked"),)
UNNUMBERED = b"data: text\n\n"
NO_TEXT = b"f\xfcr\n\n"
LATIN_1_EVENT = b"id: 1\ndata: f\xfcr\n\n"


def _play_stream(relay, *pieces):
    """Have another client read one complete stream; return its exchange."""
    exchange = relay.request(request="request-0")
    call = relay.last_call
    call.begin_stream()
    for piece in pieces:
        call.listener.answer_data(piece)
    call.listener.answer_ended()
    return exchange


@given("{count:d} earlier streams of the service began with event {number:d}")
@given("{count:d} later ones began with event {number:d}")
@when("{count:d} other streams of the service begin with event {number:d} meanwhile")
def play_streams(context, count, number):
    relay = context.relay
    before = len(relay.pool.calls)
    own_calls = list(relay.pool.calls)
    for _ in range(count):
        _play_stream(relay, event(number), event(number + 1))
    relay.pool.calls[:] = own_calls
    assert len(relay.pool.calls) == before


@given("earlier streams of the service began with events {numbers}")
def play_different_streams(context, numbers):
    for number in map(int, re.findall(r"\d+", numbers)):
        _play_stream(context.relay, event(number))
    context.relay.pool.calls.clear()


@given("{count:d} earlier streams of the service had no event numbers")
def play_unnumbered(context, count):
    for _ in range(count):
        _play_stream(context.relay, UNNUMBERED, UNNUMBERED)
    context.relay.pool.calls.clear()


@when("the service is removed and added again, and its runners begin with event 2")
def add_anew(context):
    beginnings: StreamBeginnings = context.relay.context.beginnings
    beginnings.keep_only((), ())
    beginnings.keep_only(("model",), ("r",))


@when("the same service gets another route")
@when("the same service gets another route, on which streams have no numbers")
def another_route(context):
    context.relay.put_route("stream", version=2, name="other")


@when("the same service gets another, resumable route")
def another_resumable_route(context):
    context.relay.put_route("stream", resumable=True, version=2, name="other")


@step("the runner sends a stream of no events")
def send_no_events(context):
    _begin_chunks(context.relay.last_call)


@step("the runner sends a stream of one comment")
def send_comment(context):
    _begin_chunks(context.relay.last_call)
    context.relay.last_call.listener.answer_data(b": nothing\n\n")


def _begin_chunks(call):
    call.listener.answer_begun(AnswerHead(200, (*EVENT_STREAM_FIELDS, *CHUNKED_FIELDS)))


@then("nothing has been sent to the client")
def nothing_left(context):
    assert not context.exchange.status and not context.exchange.body, context.exchange


@then("the last attempt asks for the stream from its start")
def asks_from_start(context):
    call = context.relay.last_call
    assert len(context.relay.pool.calls) == 2, "it was not sent again"
    assert not call.field(b"after-event"), call.request.headers


@then("the client has no complete answer")
def no_complete_answer(context):
    exchange = context.exchange
    assert exchange.aborted or exchange.status == 502, exchange


@then("the client has an empty stream, and the end")
def has_empty_stream(context):
    exchange = context.exchange
    assert exchange.status == 200 and exchange.ended and not exchange.body, exchange


@then("the client has a stream without event numbers, and the end")
def has_unnumbered(context):
    assert context.exchange.body == UNNUMBERED and context.exchange.ended, context.exchange


@given("{count:d} earlier streams of the service began with bytes that are no text")
def play_no_text(context, count):
    for _ in range(count):
        _play_stream(context.relay, NO_TEXT)
    context.relay.pool.calls.clear()


@step("the runner sends a line that is no text")
def send_no_text(context):
    context.relay.last_call.listener.answer_data(NO_TEXT)


@step("the runner sends an event with data in Latin-1")
def send_latin_1(context):
    context.relay.last_call.listener.answer_data(LATIN_1_EVENT)


@then("the client has the line that is no text, and the end")
def has_no_text(context):
    assert context.exchange.body == NO_TEXT and context.exchange.ended, context.exchange


@then("the client has the event with data in Latin-1, and the end")
def has_latin_1(context):
    assert context.exchange.body == LATIN_1_EVENT and context.exchange.ended, context.exchange
