"""Steps on relayed requests, in virtual time."""

from behave import given, step, then, when
from features.support.relaying import EVENT_STREAM_FIELDS, RelayWorld, event, runner_record

from rainsail.http.client import AnswerHead
from rainsail.logs import logger
from rainsail.quarantine.guard import NoGuard

CHUNKED_FIELDS = ((b"transfer-encoding", b"chunked"),)

TOLERANCE_S = 0.001


class OneTrialGuard(NoGuard):
    """A quarantine in which each request may run as a trial, once."""

    has_unproven = True

    def __init__(self):
        self._has_permitted = False

    def unproven_among(self, fingerprints):
        """Return all of them."""
        return tuple(fingerprints)

    def request_trial(self, fingerprints, decided):
        """Permit the first trial."""
        is_first, self._has_permitted = not self._has_permitted, True
        decided(is_first)


@given('a relay with {runners:d} runners and a "{kind}" route')
@given('a relay with {runners:d} runners and an "{kind}" route')
def make_relay(context, runners, kind):
    context.relay = RelayWorld(runners)
    context.relay.put_route(kind)


@given('a relay with {runners:d} runners and a "{kind}" route of {attempts:d} attempt')
@given('a relay with {runners:d} runners and an "{kind}" route of {attempts:d} attempt')
def make_relay_of_attempts(context, runners, kind, attempts):
    context.relay = RelayWorld(runners)
    context.relay.put_route(kind, attempts)


@given('a relay with {runners:d} runners and a resumable "{kind}" route')
def make_resumable(context, runners, kind):
    context.relay = RelayWorld(runners)
    context.relay.put_route(kind, resumable=True)


@given('a relay with {runners:d} runners and a resumable "{kind}" route of {attempts:d} attempts')
def make_resumable_of_attempts(context, runners, kind, attempts):
    context.relay = RelayWorld(runners)
    context.relay.put_route(kind, attempts, resumable=True)


@when("a client sends a request to the relay with {seconds:g} seconds to answer")
def send_with_deadline(context, seconds):
    context.exchange = context.relay.request(deadline_s=seconds)


@when("a client sends a request to the relay")
def send(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    context.exchange = context.relay.request()


@step('the runner answers {status:d} with "{body}"')
def answer(context, status, body):
    context.relay.last_call.answer(status, body.encode())


@step("the runner answers {status:d} with {size:d} bytes")
def answer_large(context, status, size):
    context.relay.last_call.answer(status, b"x" * size)


@step("the runner sends {size:d} bytes of an answer and breaks")
def break_large(context, size):
    send_large(context, size)
    context.relay.last_call.listener.answer_failed("connection reset")


@step("the runner sends {size:d} bytes of an answer")
def send_large(context, size):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, ()))
    listener.answer_data(b"x" * size)


@step("the runner ends its answer")
def end_answer(context):
    context.relay.last_call.listener.answer_ended()


@step("the runner sends data without a number")
def send_unnumbered(context):
    context.relay.last_call.listener.answer_data(b"data: text\n\n")


@then("the client has {size:d} bytes and the end")
def has_bytes(context, size):
    assert len(context.exchange.body) == size and context.exchange.ended


@step("the runner answers 503 without proof that it did not run")
def answer_503(context):
    context.relay.last_call.answer(503)


@step("the runner refuses it as not run")
def refuse(context):
    context.relay.last_call.answer(503, b"", (b"not-run", b"1"))


@step("the runner answers for another request")
def answer_foreign(context):
    context.relay.last_call.answer(200, b"x", (b"of", b"request-2"))


@step("the runner's connection breaks")
def break_connection(context):
    context.relay.last_call.listener.answer_failed("connection reset")


@step("the runner can't be reached")
def unreached(context):
    context.relay.last_call.listener.request_unsent("connection refused")


@step("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.relay.clock.advance(seconds)


@step("the client disconnects")
def leave(context):
    context.exchange.left()


@step("the route is dropped")
def drop_route(context):
    context.relay.drop_routes()


@step("the other runner says that it is draining")
def other_drains(context):
    used = context.relay.last_call.field(b"runner")
    other = 1 if used == "runner-2" else 2
    context.relay.registry.take((runner_record(other, "draining", 2),))


# --- streams -------------------------------------------------------------------------------


@step("the runner sends the head of a stream")
def send_head(context):
    context.relay.last_call.begin_stream()


@step("the runner sends events {first:d} to {last:d}")
def send_events(context, first, last):
    call = context.relay.last_call
    if not getattr(call, "begun", False):
        call.begun = True
        call.begin_stream()
    for number in range(first, last + 1):
        call.listener.answer_data(event(number))


@step("the runner sends events {first:d} to {last:d} in chunks")
def send_events_in_chunks(context, first, last):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, (*EVENT_STREAM_FIELDS, *CHUNKED_FIELDS)))
    for number in range(first, last + 1):
        listener.answer_data(event(number))


@step("the runner sends events 1 to {last:d} with lines that end in CR LF")
def send_events_with_cr(context, last):
    context.relay.last_call.begin_stream()
    data = _events_with_cr(last)
    middle = data.index(b"\r\n\r\n") + 3
    context.relay.last_call.listener.answer_data(data[:middle])
    context.relay.last_call.listener.answer_data(data[middle:])


@step("the runner sends half of event {number:d}")
def send_half(context, number):
    data = event(number)
    context.relay.last_call.listener.answer_data(data[: len(data) // 2])


@step("the runner sends event {number:d} without event {missing:d} before it")
def send_with_hole(context, number, missing):
    context.relay.last_call.listener.answer_data(event(number))


@step("the runner sends event {number:d} after garbage bytes")
def send_spoilt(context, number):
    context.relay.last_call.listener.answer_data(b"\xff\x00spoilt" + event(number))


@step('the runner sends the line "{line}"')
def send_line(context, line):
    context.relay.last_call.listener.answer_data(f"{line}\n".encode())


@step("the runner sends {size:d} bytes of one event")
def send_endless(context, size):
    context.relay.last_call.listener.answer_data(b"data: " + b"x" * size)


@step('the route becomes "{kind}"')
def change_kind(context, kind):
    context.relay.put_route(kind, version=2)


@step("the runner ends its stream")
def end_stream(context):
    context.relay.last_call.listener.answer_ended()


def _events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def _events_with_cr(last):
    return _events(1, last).replace(b"\n", b"\r\n")


@then("the client has {count:d} events with lines that end in CR LF so far")
def has_events_with_cr(context, count):
    assert context.exchange.body == _events_with_cr(count), context.exchange.body
    assert not context.exchange.ended


@then("the client has {count:d} events with lines that end in CR LF, and the end")
def has_all_events_with_cr(context, count):
    assert context.exchange.body == _events_with_cr(count), context.exchange.body
    assert context.exchange.ended


@then('the client has events {first:d} to {last:d}, the line "{line}", and the end')
def has_line(context, first, last, line):
    expected = _events(first, last) + f"{line}\n".encode()
    assert context.exchange.body == expected, context.exchange.body
    assert context.exchange.ended


@then("the client's connection was cut")
def was_cut_anywhere(context):
    assert context.exchange.aborted and not context.exchange.ended


@then("the client has events {first:d} to {last:d} so far")
def has_events(context, first, last):
    assert context.exchange.body == _events(first, last), context.exchange.body
    assert not context.exchange.ended


@then("the client's connection was cut after events {first:d} to {last:d}")
def was_cut(context, first, last):
    assert context.exchange.aborted and not context.exchange.ended
    assert context.exchange.body == _events(first, last)


@then("the client has the whole stream of events {first:d} to {last:d}")
def whole_stream(context, first, last):
    assert context.exchange.ended
    assert context.exchange.body == _events(first, last), context.exchange.body


@then("the last attempt asks to resume after event {number:d}")
def goes_on(context, number):
    assert len(context.relay.pool.calls) == 2
    assert context.relay.last_call.field(b"after-event") == str(number)


@then("the third attempt asks to resume after event {number:d}")
def third_goes_on(context, number):
    assert len(context.relay.pool.calls) == 3
    assert context.relay.last_call.field(b"after-event") == str(number)


@then('the line "{event_name}" of the request has "{field}" = "{value}"')
def line_has(context, event_name, field, value):
    lines = [each for each in context.log_records if each["message"] == event_name]
    assert [str(line["extra"][field]) for line in lines] == [value], lines


# --- the runner that was sent to first -----------------------------------------------------


@step("the silent runner sends events {first:d} to {last:d}")
def silent_sends(context, first, last):
    call = context.relay.pool.calls[0]
    for number in range(first, last + 1):
        if not call.cancelled:
            call.listener.answer_data(event(number))


@step("the silent runner ends its stream")
def silent_ends(context):
    call = context.relay.pool.calls[0]
    if not call.cancelled:
        call.listener.answer_ended()


@step("the silent runner's connection breaks")
def silent_breaks(context):
    call = context.relay.pool.calls[0]
    call.over = True
    call.listener.answer_failed("connection reset")


@step('the silent runner answers {status:d} with "{body}"')
def silent_answers(context, status, body):
    call = context.relay.pool.calls[0]
    call.over = True
    if not call.cancelled:
        call.answer(status, body.encode())


@step("no connection to a runner opens any more")
def open_none(context):
    context.relay.pool.opens_connections = False


@step("the runner's connection opens")
def open_late(context):
    context.relay.last_call.sent = True


@given("the quarantine permits one trial of each request")
def permit_one_trial(context):
    context.relay.context.guard = OneTrialGuard()


@then("each attempt's connection has ended")
def all_closed(context):
    calls = context.relay.pool.calls
    refused = [call.listener.verdict is not None for call in calls]
    assert all(call.cancelled or done for call, done in zip(calls, refused, strict=True)), calls


# --- what the client has -------------------------------------------------------------------


@then('the client has the whole answer {status:d} "{body}"')
def has_answer(context, status, body):
    exchange = context.exchange
    assert (exchange.status, exchange.body, exchange.ended) == (status, body.encode(), True)


@then("the client has the status {status:d}")
def has_status(context, status):
    assert context.exchange.status == status, context.exchange.status
    assert context.exchange.ended


@then("the client is refused with 503 and a time to come back, at once")
def is_refused(context):
    assert context.exchange.status == 503
    assert b"retry-after" in dict(context.exchange.headers)
    assert context.exchange.answered_at_s == context.exchange.request.received_s


@then("{count:d} attempt was made")
def sendings(context, count):
    assert len(context.relay.pool.calls) == count, len(context.relay.pool.calls)


@then("{count:d} attempts were made, each to another runner")
def sendings_apart(context, count):
    runners = [call.field(b"runner") for call in context.relay.pool.calls]
    assert len(runners) == count == len(set(runners)), runners


@then("the last attempt states that {seconds:g} seconds are left")
def deadline_left(context, seconds):
    left_s = float(context.relay.last_call.field(b"deadline-left"))
    assert abs(left_s - seconds) < TOLERANCE_S, left_s


@then("the runner's connection was closed")
def connection_closed(context):
    assert context.relay.last_call.cancelled


@then("the first attempt's connection was closed")
def first_closed(context):
    assert context.relay.pool.calls[0].cancelled


@then("the first attempt's connection is open")
def first_open(context):
    assert len(context.relay.pool.calls) > 1
    assert not context.relay.pool.calls[0].cancelled


@then("no request is in flight at any runner")
def nothing_under_way(context):
    assert context.relay.context.loads.in_flight() == {}


@then("the client is refused with 503 and asked to retry after {seconds:g} seconds")
def asked_to_retry(context, seconds):
    assert context.exchange.status == 503
    assert float(dict(context.exchange.headers)[b"retry-after"]) == seconds


@step("the runner begins to answer {status:d}")
def begin_answer(context, status):
    context.relay.last_call.listener.answer_begun(AnswerHead(status, ()))


@step("the route is no longer resumable")
def not_resumable(context):
    context.relay.put_route("stream", 2, resumable=False, version=2)


@step("the runner sends events 1 to {last:d} after a byte order mark")
def send_behind_mark(context, last):
    context.relay.last_call.begin_stream()
    context.relay.last_call.listener.answer_data(b"\xef\xbb\xbf" + event(1))
    for number in range(2, last + 1):
        context.relay.last_call.listener.answer_data(event(number))


@then("the client has {count:d} events and the end")
def has_events_and_end(context, count):
    assert context.exchange.ended and context.exchange.body.count(b"data:") == count
