"""Steps on what a gateway holds of the answers of runners, in virtual time."""

import tracemalloc

from behave import given, step, then
from features.support.relaying import RelayWorld

from rainsail.budget.memory import HeldKind, Holding
from rainsail.budget.sizing import BudgetLimits
from rainsail.http.client import AnswerHead

CONNECTIONS = 1000
PLACES = {"first": 0, "second": 1}
CHUNKED_FIELDS = ((b"transfer-encoding", b"chunked"),)


@step("the runner sends {size:d} bytes of an answer in pieces of {piece:d}")
def send_pieces(context, size, piece):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, ()))
    data = b"x" * size
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for start in range(0, size, piece):
            listener.answer_data(data[start : start + piece])
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.answer_bytes, context.answer_held = size, after - before


@then("at most {factor:d} bytes are held for each byte of it")
def held(context, factor):
    assert context.answer_held <= factor * context.answer_bytes, context.answer_held


@given('a relay with {runners:d} runners, a "{kind}" route and room for {room:d} bytes')
def make_relay(context, runners, kind, room):
    _make_relay(context, runners, kind, room, False)


@given('a relay with {runners:d} runners, a resumable "{kind}" route and room for {room:d} bytes')
def make_resumable(context, runners, kind, room):
    _make_relay(context, runners, kind, room, True)


def _make_relay(context, runners, kind, room, resumable):
    context.relay = RelayWorld(runners)
    context.relay.put_route(kind, resumable=resumable)
    context.relay.context.budget.set_limits(BudgetLimits(room, CONNECTIONS))


@step("{count:d} clients ask the relay for answers")
def send_many(context, count):
    relay = context.relay
    context.exchanges = [relay.request(request=f"request-{number}") for number in range(count)]
    context.first_calls = list(relay.pool.calls)
    assert len(context.first_calls) == count


def _begin(call):
    if not getattr(call, "begun", False):
        call.begun = True
        stream = (b"content-type", b"text/event-stream")
        call.listener.answer_begun(AnswerHead(200, (*CHUNKED_FIELDS, stream)))


def _send(call, data, piece):
    for start in range(0, len(data), piece):
        if call.cancelled:
            return
        call.listener.answer_data(data[start : start + piece])


@step("each runner sends {size:d} bytes of an event without end, in pieces of {piece:d}")
def send_events(context, size, piece):
    for call in context.first_calls:
        _begin(call)
        _send(call, b"id: 1\ndata: " + b"x" * size, piece)


@step("the {place} runner sends {size:d} bytes of an event without end, in pieces of {piece:d}")
def send_event(context, place, size, piece):
    call = context.first_calls[PLACES[place]]
    _begin(call)
    _send(call, b"id: 1\ndata: " + b"x" * size, piece)


@step("the first runner sends {size:d} bytes of an event and its end")
def send_whole_event(context, size):
    send_event(context, "first", size, size)
    context.first_calls[0].listener.answer_data(b"\n\n")


@step("each runner sends {size:d} bytes of a body, in pieces of {piece:d}")
def send_bodies(context, size, piece):
    for call in context.first_calls:
        call.listener.answer_begun(AnswerHead(200, CHUNKED_FIELDS))
        _send(call, b"x" * size, piece)


@step("the first runner sends {size:d} bytes of a body, in pieces of {piece:d}")
def send_body(context, size, piece):
    call = context.first_calls[0]
    call.listener.answer_begun(AnswerHead(200, CHUNKED_FIELDS))
    _send(call, b"x" * size, piece)


@step("the first runner ends its answer")
def end_first(context):
    context.first_calls[0].listener.answer_ended()


@step(
    "the runners send a comment each {period:g} seconds for {seconds:g} seconds, "
    "the first one inside its event"
)
def send_comments(context, period, seconds):
    first, *others = context.first_calls
    for _ in range(round(seconds / period)):
        context.relay.clock.advance(period)
        first.listener.answer_data(b"x")
        for call in others:
            _begin(call)
            call.listener.answer_data(b": nothing\n\n")


@step("the first client is too slow for its answer")
def too_slow(context):
    context.exchanges[0].slow(True)


@step("a client asks for room for {count:d} bytes")
def ask_for_room(context, count):
    context.relay.clock.advance(0.06)
    holding = Holding(context.relay.context.budget.memory)
    context.has_room = holding.grow_to(HeldKind.BODY, count)
    holding.close()


@then("it has room")
def has_room(context):
    assert context.has_room


@then("it has no room")
def has_no_room(context):
    assert not context.has_room


def _pending(context):
    listeners = [call.listener for call in context.relay.pool.calls]
    streams = [each.stream for each in listeners if each.stream is not None]
    return sum(len(stream._pending) for stream in streams) + sum(
        len(each.body) for each in listeners
    )


@then("at most {count:d} bytes of the runners' answers are held")
def held_at_most(context, count):
    assert 0 < _pending(context) <= count, _pending(context)


@then("the relay holds nothing of the runners' answers but less than {count:d} bytes")
def holds_less(context, count):
    assert _pending(context) < count, _pending(context)


@step("all clients have disconnected")
def all_leave(context):
    for exchange in context.exchanges:
        if not exchange.ended and not exchange.aborted:
            exchange.left()


@then("the relay holds nothing of the runners' answers")
def holds_nothing(context):
    memory = context.relay.context.budget.memory
    assert memory.held_bytes == 0, memory.by_kind
    assert _pending(context) == 0, _pending(context)


@then('the {place} answer was broken off: "{reason}"')
def broken_off(context, place, reason):
    call = context.first_calls[PLACES[place]]
    assert call.cancelled
    assert len(context.relay.pool.calls) > len(context.first_calls)


@then("the {place} answer goes on")
def goes_on(context, place):
    assert not context.first_calls[PLACES[place]].cancelled


@then("the runner of the first answer counts as failing")
def counts_as_failing(context):
    runner = context.first_calls[0].field(b"runner")
    assert context.relay.context.loads.of(runner).failures == 1


@then("the first client has at least {count:d} bytes so far")
def has_so_far(context, count):
    exchange = context.exchanges[0]
    assert len(exchange.body) >= count and not exchange.ended, len(exchange.body)


@then("the first client has {count:d} bytes and the end")
def first_has(context, count):
    exchange = context.exchanges[0]
    assert len(exchange.body) == count and exchange.ended
