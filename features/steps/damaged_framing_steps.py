"""Steps on answers whose framing was damaged, over connections in memory."""

from behave import then, when
from features.steps.cut_head_steps import MAY_HAVE_RUN, ItemPlay, Play
from features.support.cut_answers import EVENTS, content_of
from features.support.damaged_framing import DAMAGES, READ_BYTES, SOUND, head_of
from features.support.relaying import event

from rainsail.jobs.item_run import RunEnd
from rainsail.logs import logger

REPEATABLE = ("resumable stream", "safe")
TEXTS = [f"text {number}" for number in range(1, EVENTS + 1)]


def _rest_for(kind, connection):
    """Return a whole answer to a request, from the event on that it asks for."""
    request = connection.field(b"request-id")
    after = int(connection.field(b"last-event-id") or 0)
    content = content_of(kind)
    if kind != "body":
        content = b"".join(event(number) for number in range(after + 1, EVENTS + 1))
    return head_of(kind, request, b"Content-Length: %d" % len(content)) + content


def _send_in_reads(connection, data, size):
    """Send bytes in reads of a size, or all at once where it is None."""
    size = size or len(data)
    for begin in range(0, len(data), size):
        connection.send(data[begin : begin + size])


def _play(context, name, make, read_bytes=None, is_silent=False):
    kind = context.cut_kind
    play = Play(context.cut_relay(), name)
    play.client.send("r-1")
    connection = play.asked()
    _send_in_reads(connection, make(kind, "r-1"), read_bytes)
    if not is_silent:
        play.relay.close_later(connection, "in order")
    play.first_answer = connection
    while (connection := play.asked()) is not None:
        connection.send(_rest_for(kind, connection))
    context.cut_plays.append(play)


@when("the first runner of each request sends an answer of which {damage}")
def answer_damaged(context, damage):
    for name, make in DAMAGES[damage].items():
        _play(context, name, make)
        _play(context, (name, "stays"), make, is_silent=True)
        if damage in READ_BYTES:
            _play(context, (name, "in small reads"), make, READ_BYTES[damage])


@when("a runner sends an answer of which {damage}, and its log is kept")
def answer_logged(context, damage):
    context.framing_records = []
    sink = logger.add(lambda message: context.framing_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    for name, make in DAMAGES[damage].items():
        _play(context, name, make)


@then('the log has "{event_name}" with "{field}" = "{value}"')
def has_record(context, event_name, field, value):
    found = [
        each["extra"].get(field)
        for each in context.framing_records
        if each["message"] == event_name
    ]
    assert value in map(str, found), found


@then("no line of the log has content of the answer")
def no_content(context):
    lines = [str((each["message"], each["extra"])) for each in context.framing_records]
    assert lines and not any("text " in line for line in lines), lines


@when("a runner sends a whole answer with {what}")
def answer_sound(context, what):
    _play(context, what, SOUND[what])


@then("no client has a part of its answer as whole")
def no_part(context):
    assert context.cut_plays
    kind, route = context.cut_kind, context.cut_route
    for play in context.cut_plays:
        answer = play.answer
        assert play.attempts == (2 if route in REPEATABLE else 1), (play.name, play.attempts)
        if route in REPEATABLE:
            expected = (200, content_of(kind), True)
            assert (answer.status, answer.body, answer.is_whole) == expected, (play.name, answer)
        elif answer.status in MAY_HAVE_RUN:
            assert not answer.body and answer.is_whole, (play.name, answer)
        else:
            events = [b"".join(map(event, range(1, last + 1))) for last in range(1, EVENTS + 1)]
            assert kind == "stream" and answer.body in events, (play.name, answer)
            assert answer.status == 200 and not answer.is_whole, (play.name, answer)


@then("every client's stream is cut behind its last event")
def cut_behind_last(context):
    """The run that takes it up has no event, which proves nothing; the route has two attempts."""
    assert context.cut_plays
    for play in context.cut_plays:
        answer = play.answer
        expected = (200, content_of("stream"), False)
        assert (answer.status, answer.body, answer.is_whole) == expected, (play.name, answer)
        assert play.attempts == 2, (play.name, play.attempts)


@then("every client has the whole answer of the first runner")
def first_runner_whole(context):
    for play in context.cut_plays:
        answer = play.answer
        expected = (200, content_of(context.cut_kind), True)
        assert (answer.status, answer.body, answer.is_whole) == expected, (play.name, answer)
        assert play.attempts == 1, (play.name, play.attempts)


def _item_play(context, name, make, read_bytes=None):
    relay = context.cut_relay()
    play = ItemPlay(relay, name)
    connection = relay.next_asked()
    _send_in_reads(connection, make("item", "item-1"), read_bytes)
    relay.close_later(connection, "in order")
    context.cut_plays.append(play)


@when("the runner of an item sends an answer of which {damage}")
def item_damaged(context, damage):
    for name, make in DAMAGES[damage].items():
        _item_play(context, name, make)
        if damage in READ_BYTES:
            _item_play(context, (name, "in small reads"), make, READ_BYTES[damage])


@when("the runner of an item sends a whole answer with {what}")
def item_sound(context, what):
    _item_play(context, what, SOUND[what])


@then("every run of the item has broken off behind a whole event, and may be repeated")
def item_broken_off(context):
    assert context.cut_plays
    for play in context.cut_plays:
        assert play.ends == [RunEnd.BROKEN], (play.name, play.ends)
        texts = play.progress.texts
        assert texts == TEXTS[: len(texts)], (play.name, texts)
        assert not play.run.proves_survival and not play.run.is_whole, play.name


@then("the run of the item has its whole text")
def item_whole(context):
    for play in context.cut_plays:
        assert play.ends == [RunEnd.WHOLE], (play.name, play.ends)
        assert play.progress.texts == TEXTS, (play.name, play.progress.texts)
