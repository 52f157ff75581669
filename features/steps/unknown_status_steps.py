"""Steps on answers of runners whose status HTTP gives no meaning to, or that nobody expects."""

import itertools

from behave import given, then, when
from features.steps.cut_head_steps import ItemPlay, Play, _head, _one_play, _relay
from features.support.cut_answers import FRAMINGS, INTERIM, content_of, runner_answer
from features.support.relaying import event

from rainsail.jobs.item_run import RunEnd
from rainsail.logs import logger
from rainsail.quarantine.guard import NoGuard

OUT_OF_RANGE = ("000", "099", "101", "199", "600", "999")
MALFORMED = ("2000", "0200", "20", "2", "abc", "20x", "-20", "+20", "200.5", "")
UNEXPECTED = ("204 No Content", "205 Reset Content", "206 Partial Content", "302 Found", "304 Same")
WITHOUT_EVENTS = ("200 OK", *UNEXPECTED)
WITHOUT_BODY = {204, 205, 304}
TOLD_INSTEAD = {408: 502, 421: 503, 429: 502, 503: 502}
"""What clients are told in the place of statuses by which runners promise not to have run."""
VERSIONS = ("1.1", "1.0")
LENGTH = "Content-Length"


def _empty(answer, framing):
    """Return the bytes of an answer with the same head and no content."""
    head = answer.head
    if framing == "a length":
        head = b"\r\n".join(
            b"Content-Length: 0" if line.startswith(LENGTH.encode()) else line
            for line in head.split(b"\r\n")
        )
    return head + (b"0\r\n\r\n" if framing == "chunks" else b"")


def _answers(kind, request, statuses):
    """Yield the name of each variant, what a runner sends, and whether it closes behind that."""
    for status in statuses:
        line = status if " " in status else f"{status} Odd"
        for framing, version in itertools.product(FRAMINGS, VERSIONS):
            answer = runner_answer(kind, request, framing, version, line)
            closes = framing == "neither"
            name = (status, framing, version)
            yield (*name, "whole"), answer.whole, closes
            yield (*name, "empty"), _empty(answer, framing), closes
            yield (*name, "behind an interim answer"), INTERIM + answer.whole, closes


def _plays(context, kind, statuses, request="r-1"):
    """Yield each variant with a relay of its own, on a new connection and on a kept one."""
    for (name, data, closes), is_kept in itertools.product(
        list(_answers(kind, request, statuses)), (False, True)
    ):
        yield (*name, is_kept), data, closes, _relay(context, is_kept)


def _send(connection, data, closes):
    connection.send(data)
    if closes:
        connection.close(by_reset=False)


@when("every runner answers every request with a status that no final answer may have")
def all_unknown(context):
    for name, data, closes, relay in _plays(context, context.cut_kind, OUT_OF_RANGE + MALFORMED):
        play = Play(relay, name)
        play.client.send("r-1")
        while (connection := play.asked()) is not None:
            _send(connection, data, closes)
        context.cut_plays.append(play)


@when("the first runner of each request answers with a status that no final answer may have")
def first_unknown(context):
    for name, data, closes, relay in _plays(context, context.cut_kind, OUT_OF_RANGE + MALFORMED):
        play = Play(relay, name)
        play.client.send("r-1")
        _send(play.asked(), data, closes)
        connection = play.asked()
        if connection is not None:
            connection.send(runner_answer(context.cut_kind, "r-1", "a length").whole)
        assert play.asked() is None, play.name
        context.cut_plays.append(play)


def _continue_with(context, statuses):
    begun = runner_answer("stream", "r-1", "chunks")
    first = begun.head + b"%x\r\n%s\r\n" % (len(event(1)), event(1))
    for name, data, closes, relay in _plays(context, "body", statuses):
        play = Play(relay, name)
        play.client.send("r-1")
        play.cut(first, "in order")
        _send(play.asked(), data, closes)
        assert play.asked() is None, play.name
        context.cut_plays.append(play)


@when("a stream breaks off after its first event, and the next runner answers with such a status")
def continue_unknown(context):
    _continue_with(context, OUT_OF_RANGE + MALFORMED)


@when(
    "a stream breaks off after its first event, and the next runner answers "
    "204, 205, 206, 302 or 304"
)
def continue_unexpected(context):
    _continue_with(context, UNEXPECTED)


@when("a client sends three requests at once, of which the second is answered with such a status")
def second_of_three(context):
    # A 199 is an interim answer, so that nothing but the time limit of the second request ends it.
    statuses = tuple(each for each in OUT_OF_RANGE + MALFORMED if each != "199")
    for name, data, closes, relay in _plays(context, "body", statuses, "r-2"):
        play = Play(relay, name)
        play.client.send("r-1", "r-2", "r-3")
        while (connection := play.asked()) is not None:
            request = connection.field(b"request-id")
            if request == "r-2":
                _send(connection, data, closes)
            else:
                connection.send(runner_answer("body", request, "a length").whole)
        context.cut_plays.append(play)


# --- items -------------------------------------------------------------------------------------

CONFIRMED_S = 0.2
"""Longer than the end of an unframed answer takes to be confirmed."""


def _run_items(context, kind, statuses):
    for name, data, closes, relay in _plays(context, kind, statuses, "item-1"):
        play = ItemPlay(relay, name)
        _send(relay.next_asked(), data, closes)
        # The end of an unframed answer is reported once the runner's process has survived it.
        relay.clock.advance(CONFIRMED_S)
        context.cut_plays.append(play)


@when("the runner of an item answers with a status that no final answer may have")
def item_unknown(context):
    # A 199 is an interim answer: the run of an item that nothing follows is still under way.
    statuses = tuple(each for each in OUT_OF_RANGE + MALFORMED if each != "199")
    _run_items(context, "item", statuses)


@when("the runner of an item answers 200 without events, 204, 205, 206, 302 or 304")
def item_unexpected(context):
    _run_items(context, "body", WITHOUT_EVENTS)


@then("every run of the item has failed without a text, and not by the end of its connection")
def item_failed(context):
    assert context.cut_plays
    for play in context.cut_plays:
        assert play.ends == [RunEnd.BROKEN], (play.name, play.ends)
        assert not play.progress.texts and play.progress.unconfirmed is None, play.name
        assert not play.run.proves_survival and not play.run.connection_ended, play.name


# --- requests that were held -------------------------------------------------------------------


class TrialGuard(NoGuard):
    """A quarantine in which each request may run as a trial; records what it is told."""

    has_unproven = True
    wants_answers = True

    def __init__(self):
        self.told = []

    def unproven_among(self, fingerprints):
        """Return the request's own."""
        return tuple(fingerprints[:1])

    def trial_ended(self, fingerprints, has_run):
        """Record whether the trial has run."""
        self.told.append(("trial ended", has_run))

    def connection_ended(self, record, fingerprints, part_ids, times):
        """Record a crash."""
        self.told.append(("crash", record.runner))
        return True

    def answered(self, record, fingerprints, proves_survival):
        """Record an answer."""
        self.told.append(("answer", proves_survival))


@given("its quarantine holds every request, and permits a trial of each")
def hold_all(context):
    make = context.cut_relay

    def make_held():
        relay = make()
        relay.context.guard = TrialGuard()
        return relay

    context.cut_relay = make_held


@then("the quarantine was told of a trial that has run, of no crash and of no answer")
def told_of_trial(context):
    for play in context.cut_plays:
        told = play.relay.context.guard.told
        (run,) = play.relay.ended
        ends = sum(attempt.connection_ended for attempt in run._sender.attempts)
        # A 199 is an interim answer: behind it the end of the connection may be all that is known.
        assert not ends or play.name[:2] == ("199", "neither"), (play.name, ends)
        crashes = [each for each in told if each[0] == "crash"]
        assert len(crashes) == ends, (play.name, told)
        assert told[ends:] == [("trial ended", True)], (play.name, told)


# --- single answers ----------------------------------------------------------------------------


@when('a runner answers {status:d} with the field "{field}"')
def answer_with_claim(context, status, field):
    body = content_of("body")
    head = _head(status, field.encode(), b"Content-Length: %d" % len(body))
    _one_play(context).send(head + body)


@then("the client has been told {status:d}, and the request was sent once")
def told_once(context, status):
    play = context.cut_play
    assert play.asked() is None and play.attempts == 1, play.attempts
    assert (play.answer.status, play.answer.body) == (status, b""), play.answer
    assert play.answer.is_whole, play.answer


@when("a runner answers {status:S}, and the lines of the log are kept")
def answer_logged(context, status):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    _one_play(context).send(runner_answer("body", "r-1", "a length", status=f"{status} Odd").whole)


@then('the line of the request names the end "{end}", and its answer counts as none')
def line_names(context, end):
    lines = {record["message"]: record["extra"] for record in context.log_records}
    assert lines["attempt_broke"]["reason"] == end, lines["attempt_broke"]
    line = lines["request_failed"]
    assert (line["reason"], line["run_ends"], line["answers"]) == (end, end, "none"), line


@when("runners answer each status of {hundred:d}xx with a body")
def answer_each(context, hundred):
    for status in range(hundred * 100, hundred * 100 + 100):
        play = Play(context.cut_relay(), status)
        play.client.send("r-1")
        body = b"" if status in WITHOUT_BODY else content_of("body")
        length = b"Content-Length: %d" % len(body)
        while (connection := play.asked()) is not None:
            connection.send(_head(status, length) + body)
        context.cut_plays.append(play)


@then("each client has the status and the body of its runner")
def has_runners_own(context):
    assert len(context.cut_plays) == 100
    for play in context.cut_plays:
        answer = play.answer
        if play.name in TOLD_INSTEAD:
            assert answer.status == TOLD_INSTEAD[play.name], (play.name, answer)
            continue
        body = b"" if play.name in WITHOUT_BODY else content_of("body")
        assert (answer.status, answer.body, answer.is_whole) == (play.name, body, True), answer


@when(
    'a client sends a request of method HEAD, and its runner answers 200 with "{field}" and a body'
)
def answer_head_with_body(context, field):
    _one_play(context, b"HEAD").send(_head(200, field.encode()) + content_of("body"))
