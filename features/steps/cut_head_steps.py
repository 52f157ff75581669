"""Steps on answers of runners that stop inside their heads, over connections in memory."""

import itertools
import json

from behave import given, then, when
from features.support import platform_adapter_path  # noqa: F401
from features.support.cut_answers import (
    EVENTS,
    FRAMINGS,
    INTERIM,
    content_of,
    places_in,
    runner_answer,
)
from features.support.relayed_connections import HOST, SERVICE, RelayedConnections
from features.support.relaying import event

from platform_adapter.routing import read_table
from rainsail.budget.client_budget import CONNECTION_BYTES, ClientBudget
from rainsail.jobs.item_progress import ItemProgress
from rainsail.jobs.item_run import AskedRun, ItemRun, RunEnd
from rainsail.relay.protocol import ItemRequest, RunnerTarget
from rainsail.relay.stream_beginnings import StreamBeginning, StreamBeginnings, StreamSource
from rainsail.state.job_commands import RelayedItem

ROUTES = {
    "resumable stream": ("streaming", True),
    "run-once stream": ("streaming", False),
    "safe": ("safe", False),
    "keyed": ("keyed", False),
    "unsafe": ("unsafe", False),
    "cached": ("cached", False),
}
CLOSES = ("in order", "by reset", "silent, then in order")
VERSIONS = ("1.1", "1.0")
PLAYED_IN_FULL = ("run-once stream", "safe")
"""The routes whose plays have every way of closing at each place of each variant."""
MAX_ATTEMPTS = 2
OTHER_STREAMS = 4
"""Streams of the item's route that have begun with event 1, so that its own first event counts."""
MAY_HAVE_RUN = {502, 504}


def _table(route):
    kind, resumable = ROUTES[route]
    document = {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": HOST,
                "pathPrefix": "/a/",
                "kind": kind,
                "timeoutMs": 4000,
                "targetLatencyMs": 300,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": MAX_ATTEMPTS,
                "resumable": resumable,
                "gapTargetMs": 500,
            }
        ],
        "services": [{"name": SERVICE, "healthPath": "/", "maxConnections": 100, "engine": {}}],
    }
    return read_table(json.dumps(document).encode()).ok


@given('a relay whose connections are real, with a "{route}" route')
def choose_route(context, route):
    context.cut_route = route
    context.cut_kind = "stream" if "stream" in route else "body"
    context.cut_relay = lambda: RelayedConnections(_table(route))
    context.cut_plays = []


class Play:
    """One client's request, and what its runners did."""

    def __init__(self, relay, name):
        self.relay = relay
        self.name = name
        self.client = relay.client()
        self.attempts = 0
        self.runners = set()

    def asked(self):
        """Return the next runner's connection with the request; None if none gets it any more."""
        connection = self.relay.next_asked()
        if connection is not None:
            self.attempts += 1
            self.runners.add(connection.address)
        return connection

    def cut(self, data, how):
        """Have the next runner send a part of its answer, then end its connection."""
        connection = self.asked()
        if connection is not None:
            connection.send(data)
            self.relay.close_later(connection, how)
        return connection

    @property
    def answer(self):
        """What the client has of its answer by now."""
        (answer,) = self.client.answers()
        return answer


def _cuts(kind, request="r-1", closes_in_turn=True):
    """Yield the name of each variant, what a runner sends, whether on a kept connection, its end.

    With ``closes_in_turn`` each place has one way of closing in each variant of the answer, and
    every way over all of them; otherwise every way in each variant.
    """
    variants = itertools.product(FRAMINGS, VERSIONS, (b"", INTERIM), (False, True))
    for number, (framing, version, before, is_kept) in enumerate(variants):
        answer = runner_answer(kind, request, framing, version)
        for index, (place, cut) in enumerate(places_in(answer.head).items()):
            first = (number // 3 + number + index) % len(CLOSES)
            for how in CLOSES[first:][:1] if closes_in_turn else CLOSES:
                name = (framing, version, before, is_kept, place, how)
                yield name, before + answer.head[:cut], is_kept, how


def _relay(context, is_kept):
    relay = context.cut_relay()
    if is_kept:
        relay.keep_connections()
    return relay


@when("every runner cuts each answer in its head, at one place of each class")
def cut_all(context):
    in_turn = context.cut_route not in PLAYED_IN_FULL
    for name, data, is_kept, how in _cuts(context.cut_kind, closes_in_turn=in_turn):
        play = Play(_relay(context, is_kept), name)
        play.client.send("r-1")
        while play.cut(data, how) is not None:
            pass
        context.cut_plays.append(play)


@when("the first runner of each request cuts its answer after every number of bytes of its head")
def cut_everywhere(context):
    for framing in FRAMINGS:
        head = runner_answer(context.cut_kind, "r-1", framing).head
        for cut in range(len(head)):
            play = Play(context.cut_relay(), (framing, cut))
            play.client.send("r-1")
            play.cut(head[:cut], "in order")
            connection = play.asked()
            if connection is not None:
                connection.send(runner_answer(context.cut_kind, "r-1", "a length").whole)
            while play.asked() is not None:
                raise AssertionError(play.name)
            context.cut_plays.append(play)


@then("every client has been told 502 or 504, and none of them anything of an answer")
def told_failure(context):
    assert context.cut_plays
    for play in context.cut_plays:
        answer = play.answer
        assert answer.status in MAY_HAVE_RUN and not answer.body, (play.name, answer)
        assert answer.is_whole, (play.name, answer)


@then("no request was sent more often than its route allows")
def sent_as_allowed(context):
    repeatable = context.cut_route in ("resumable stream", "safe")
    for play in context.cut_plays:
        assert play.attempts == (MAX_ATTEMPTS if repeatable else 1), (play.name, play.attempts)
        assert len(play.runners) == play.attempts, (play.name, play.runners)


@then("every client has the whole answer of the second runner")
def has_second(context):
    assert context.cut_plays
    for play in context.cut_plays:
        answer = play.answer
        expected = (200, content_of(context.cut_kind), True)
        assert (answer.status, answer.body, answer.is_whole) == expected, (play.name, answer)
        assert play.attempts == MAX_ATTEMPTS, (play.name, play.attempts)


@when(
    "a stream breaks off after its first event, and the next runner cuts its head "
    "at one place of each class"
)
def cut_continuation(context):
    begun = runner_answer("stream", "r-1", "chunks")
    first = begun.head + b"%x\r\n%s\r\n" % (len(event(1)), event(1))
    for name, data, is_kept, how in _cuts("stream"):
        play = Play(_relay(context, is_kept), name)
        play.client.send("r-1")
        play.cut(first, "in order")
        play.cut(data, how)
        assert play.asked() is None, play.name
        context.cut_plays.append(play)


@then("every client's stream was broken off after its first event")
def broken_stream(context):
    assert context.cut_plays
    for play in context.cut_plays:
        answer = play.answer
        assert (answer.status, answer.body) == (200, event(1)), (play.name, answer)
        assert not answer.is_whole and play.client.transport.is_reset, (play.name, answer)


@when(
    "a client sends three requests at once, of which the second is cut in its head "
    "at one place of each class"
)
def cut_second_of_three(context):
    for name, data, is_kept, how in _cuts("body", "r-2"):
        play = Play(_relay(context, is_kept), name)
        play.client.send("r-1", "r-2", "r-3")
        while (connection := play.asked()) is not None:
            request = connection.field(b"request-id")
            if request == "r-2":
                connection.send(data)
                play.relay.close_later(connection, how)
            else:
                connection.send(runner_answer("body", request, "a length").whole)
        context.cut_plays.append(play)


@then("the first and the third are answered whole, and the second with 502")
def first_and_third(context):
    assert context.cut_plays
    for play in context.cut_plays:
        answers = play.client.answers()
        assert [each.status for each in answers] == [200, 502, 200], (play.name, answers)
        bodies = [each.body for each in answers]
        assert bodies == [content_of("body"), b"", content_of("body")], (play.name, answers)
        assert all(each.is_whole for each in answers), (play.name, answers)


@when("the runner of an item cuts its answer in its head, at one place of each class")
def cut_item(context):
    for name, data, is_kept, how in _cuts("item", "item-1", closes_in_turn=False):
        relay = _relay(context, is_kept)
        play = ItemPlay(relay, name)
        connection = relay.next_asked()
        connection.send(data)
        relay.close_later(connection, how)
        context.cut_plays.append(play)


class ItemPlay:
    """One run of one item."""

    def __init__(self, relay, name):
        self.name = name
        self.ends = []
        self.progress = ItemProgress()
        source, beginnings = StreamSource(SERVICE, "r"), StreamBeginnings()
        for _ in range(OTHER_STREAMS):
            beginnings.observe(StreamBeginning(source, 1))
        self.run = ItemRun(
            "item-1",
            self.progress,
            relay.protocol,
            source,
            beginnings,
            lambda run, end, reason: self.ends.append(end),
            lambda load: None,
            relay.clock.seconds,
            ClientBudget(relay.clock.seconds),
            AskedRun("runner-1"),
        )
        item = RelayedItem("item-1", "/a/1", (), b"body", 0)
        target = RunnerTarget("runner-1", "10.0.0.1:80")
        request = relay.protocol.item_request(ItemRequest(HOST, item, None, ""), target)
        relay.pool.send(target.address, request, self.run)


@then("every run of the item has broken off without a text, and may be repeated")
def item_broken(context):
    assert context.cut_plays
    for play in context.cut_plays:
        assert play.ends == [RunEnd.BROKEN], (play.name, play.ends)
        assert not play.progress.texts and not play.run.proves_survival, play.name
        assert play.run.connection_ended, play.name


# --- while the gateway stops, or has no memory left ----------------------------------------


@when("the gateway's stop ends every request whose runner has sent a part of its head")
def stop_gateway(context):
    for name, data, is_kept, how in _cuts(context.cut_kind):
        relay = _relay(context, is_kept)
        play = Play(relay, name)
        play.client.send("r-1")
        connection = play.asked()
        connection.send(data)
        for run in list(relay.runs):
            run.end_by_stop()
        assert not connection.transport.connected, name
        relay.close_later(connection, how)
        assert play.asked() is None, name
        context.cut_plays.append(play)


@given("its gateway has no memory left for the answers of runners")
def no_memory(context):
    make = context.cut_relay

    def make_full():
        relay = make()
        memory = relay.context.budget.memory
        memory.limit_bytes = CONNECTION_BYTES
        return relay

    context.cut_relay = make_full


# --- whole heads without a body ------------------------------------------------------------


@when("the first runner of each request closes behind a head with neither a length nor chunks")
def close_behind_head(context):
    variants = itertools.product(VERSIONS, (b"", INTERIM), (False, True), CLOSES)
    for version, before, is_kept, how in variants:
        head = runner_answer(context.cut_kind, "r-1", "neither", version).head
        play = Play(_relay(context, is_kept), (version, before, is_kept, how))
        play.client.send("r-1")
        play.cut(before + head, how)
        connection = play.asked()
        if connection is not None:
            connection.send(runner_answer(context.cut_kind, "r-1", "a length").whole)
        assert play.asked() is None, play.name
        context.cut_plays.append(play)


def _one_play(context, method=b"POST"):
    context.cut_play = Play(context.cut_relay(), "one")
    context.cut_play.client.send("r-1", method=method)
    return context.cut_play.asked()


UNFRAMED_END_CONFIRMED_S = 0.2
"""By then a gateway knows whether the runner has survived the end of an unframed answer."""
BODIES = {"a body": content_of("body"), "nothing": b""}


def _head(status, *fields):
    lines = [b"HTTP/1.1 %d Status" % status, b"Request-Id: r-1", *fields]
    return b"".join(line + b"\r\n" for line in lines) + b"\r\n"


@when(
    "a runner answers {status:d} with neither a length nor chunks, sends {body} and closes in order"
)
def answer_unframed(context, status, body):
    connection = _one_play(context)
    connection.send(_head(status) + BODIES[body])
    context.cut_play.relay.close_later(connection, "in order")
    context.cut_play.relay.clock.advance(UNFRAMED_END_CONFIRMED_S)


@when("a runner answers {status:d} with an empty body in {framing}")
def answer_empty(context, status, framing):
    fields = {"chunks": (b"Transfer-Encoding: chunked", b"0\r\n\r\n")}
    field, body = fields.get(framing, (b"Content-Length: 0", b""))
    _one_play(context).send(_head(status, field) + body)


@when(
    "a client sends a request of method {method}, and its runner answers {status:d} "
    "without framing and stays"
)
def answer_without_body(context, method, status):
    _one_play(context, method.encode()).send(_head(status))


@then("the client has the whole answer {status:d} with {body}")
def has_whole(context, status, body):
    play = context.cut_play
    answer = play.answer
    assert (answer.status, answer.body) == (status, BODIES[body]), answer
    assert answer.is_whole and play.attempts == 1 and play.asked() is None, (answer, play.attempts)


@then("the answer proves that its runner survived")
def proves(context):
    (run,) = context.cut_play.relay.ended
    (attempt,) = run._sender.attempts
    assert attempt.proves_survival, attempt.summary


# --- heads that are joined -----------------------------------------------------------------

REMAINS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Field: value\r\n" % len(event(1)),
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Field: value\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Field: value\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Field: value\r\n",
    b"HTTP/1.1 304 Not Modified\r\nX-Field: value\r\n",
    b"HTTP/1.1 100 Continue\r\nX-Field: value\r\n",
    b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\nX-Field: value\r\n",
)


def _joined(kind, request):
    """Yield the name of each variant, what a runner sends, in one read or two, if it closes."""
    for remains, framing in itertools.product(REMAINS, FRAMINGS):
        answer = runner_answer(kind, request, framing)
        cuts = {*range(3, len(remains), 7), *range(remains.index(b"X-Field"), len(remains) + 1)}
        for number, cut in enumerate(sorted(cuts)):
            parts = [remains[:cut], answer.whole]
            is_apart = bool(number % 2)
            name = (remains[:cut], framing, is_apart)
            yield name, parts if is_apart else [b"".join(parts)], framing == "neither"


@when(
    "the first runner of each request sends the remains of a head, cut at many places, "
    "before its answer"
)
def answer_behind_remains(context):
    for name, parts, closes in _joined(context.cut_kind, "r-1"):
        play = Play(_relay(context, is_kept=True), name)
        play.client.send("r-1")
        connection = play.asked()
        for part in parts:
            connection.send(part)
        if closes:
            connection.close(by_reset=False)
        connection = play.asked()
        if connection is not None:
            connection.send(runner_answer(context.cut_kind, "r-1", "a length").whole)
        assert play.asked() is None, name
        context.cut_plays.append(play)


@then("every client has its whole answer, or has been told 502 or 504")
def whole_or_failed(context):
    assert context.cut_plays
    for play in context.cut_plays:
        answer = play.answer
        if answer.status in MAY_HAVE_RUN:
            continue
        expected = (200, content_of(context.cut_kind))
        assert (answer.status, answer.body) == expected, (play.name, answer)
        assert answer.is_whole, (play.name, answer)


@when("the runner of an item sends the remains of a head, cut at many places, before its answer")
def item_behind_remains(context):
    for name, parts, closes in _joined("item", "item-1"):
        relay = _relay(context, is_kept=True)
        play = ItemPlay(relay, name)
        connection = relay.next_asked()
        for part in parts:
            connection.send(part)
        if closes:
            connection.close(by_reset=False)
        context.cut_plays.append(play)


@then("every run of the item has its whole text, or has broken off")
def whole_or_broken(context):
    assert context.cut_plays
    for play in context.cut_plays:
        texts = [f"text {number}" for number in range(1, EVENTS + 1)]
        if play.ends in ([RunEnd.WHOLE], [RunEnd.UNCONFIRMED]):
            unconfirmed = play.progress.unconfirmed
            found = play.progress.texts if unconfirmed is None else list(unconfirmed.texts)
            assert found == texts, (play.name, found)
        else:
            assert play.ends in ([], [RunEnd.BROKEN]), (play.name, play.ends)


@when('a runner answers 200 with a body and the field "{line}"')
def answer_with_field(context, line):
    body = content_of("body")
    length = b"Content-Length: %d" % len(body)
    _one_play(context).send(_head(200, line.encode(), length) + body)


# --- answers without a body ----------------------------------------------------------------


@when(
    'a client sends a request of method {method}, and its runner answers {status:d} with "{field}"'
)
def answer_head_only(context, method, status, field):
    _one_play(context, method.encode()).send(_head(status, field.encode()))


@then('the answer states the length "{length}"')
def states_length(context, length):
    stated = [value for name, value in context.cut_play.answer.headers if name == b"content-length"]
    assert stated == ([length.encode()] if length else []), stated


@then('the answer states the length ""')
def states_none(context):
    states_length(context, "")


@then("the next request of the client is answered too")
def next_answered(context):
    play = context.cut_play
    play.client.send("r-2")
    play.asked().send(runner_answer("body", "r-2", "a length").whole)
    answers = play.client.answers()
    assert (answers[1].status, answers[1].body) == (200, content_of("body")), answers
