"""Steps on streams whose end is in doubt, in virtual time."""

from behave import step, then
from features.support.relaying import CHUNKED_FIELDS, EVENT_STREAM_FIELDS, event

from rainsail.http.client import AnswerHead


@step("the runner ends a stream without events in chunks")
def end_empty_in_chunks(context):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, (*EVENT_STREAM_FIELDS, *CHUNKED_FIELDS)))
    listener.answer_ended()


@step("the runner ends a stream without events by closing")
def end_empty_by_closing(context):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, EVENT_STREAM_FIELDS))
    listener.answer_ended()


@step("the runner sends events {first:d} to {last:d} in pieces")
def send_unframed(context, first, last):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, EVENT_STREAM_FIELDS))
    for number in range(first, last + 1):
        listener.answer_data(event(number))


@then("attempt {attempt:d} asks to resume after event {number:d}")
def asks_after(context, attempt, number):
    calls = context.relay.pool.calls
    assert len(calls) == attempt, len(calls)
    assert calls[-1].field(b"after-event") == str(number), calls[-1].request.headers


def _failures(context, attempt):
    call = context.relay.pool.calls[attempt - 1]
    return context.relay.context.loads.of(call.field(b"runner")).failures


@then("the runner of attempt {attempt:d} counted as failed")
def counted(context, attempt):
    assert _failures(context, attempt) == 1, _failures(context, attempt)


@then("attempt {attempt:d} counted as failed, and no other one")
def counted_only(context, attempt):
    numbers = range(1, len(context.relay.pool.calls) + 1)
    failed = [number for number in numbers if _failures(context, number)]
    assert failed == [attempt], failed


@then("no runner counted as failed")
def counted_none(context):
    numbers = range(1, len(context.relay.pool.calls) + 1)
    failed = [number for number in numbers if _failures(context, number)]
    assert failed == [], failed


@step("the gateway's grace time has passed")
def stop(context):
    context.relay.last_run.end_by_stop()


@then("the request is over")
def is_over(context):
    assert context.relay.last_run.outcome is not None
