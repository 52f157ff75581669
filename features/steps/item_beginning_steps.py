"""Steps on the beginnings of items' streams."""

from behave import then, when
from features.support.relaying import EVENT_STREAM_FIELDS, event

from rainsail.http.client import AnswerHead

JOB = "job-1"
LONE_ITEM = 0
CHUNKED_FIELDS = ((b"transfer-encoding", b"chunked"),)
LAST_ITEM = 2
CORRUPTED = b"\xff\x00spoilt"
"""Bytes that are not valid text."""
SENT = {
    "events 2 to 3": event(2) + event(3),
    "event 1 corrupted, and 2 to 3": CORRUPTED + event(1) + event(2) + event(3),
    "no event": b"",
    "a comment": b": nothing\n\n",
}


def _index(call):
    return int(call.request.target.rpartition(b"/")[2])


def _open_calls(context):
    return [call for call in context.fleet.calls() if not (call.cancelled or call.over)]


def _open_run(context, index):
    """Wait until an item runs; return its call."""

    def found():
        return any(_index(call) == index for call in _open_calls(context))

    context.fleet.run_until(found, f"a run of item {index}", 30)
    return next(call for call in _open_calls(context) if _index(call) == index)


def _begin(call):
    call.listener.answer_begun(AnswerHead(200, (*EVENT_STREAM_FIELDS, *CHUNKED_FIELDS)))


def _events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def _bring(call, data):
    _begin(call)
    if data:
        call.listener.answer_data(data)


def _end(call):
    call.over = True
    call.listener.answer_ended()


@when("the runs of the first two items bring events {first:d} to {last:d} and end")
def first_two_end(context, first, last):
    for index in range(LAST_ITEM):
        call = _open_run(context, index)
        _bring(call, _events(first, last))
        _end(call)
    context.fleet.run_for(0.1)


@when("the runs of all items bring events {first:d} to {last:d} and end")
def all_end(context, first, last):
    for index in range(LAST_ITEM + 1):
        call = _open_run(context, index)
        _bring(call, _events(first, last))
        _end(call)
    context.fleet.run_for(0.1)


@when("the last item's run brings {sent} in chunks and ends")
def last_ends(context, sent):
    first_and_last = [int(word) for word in sent.split() if word.isdigit()]
    data = SENT[sent] if sent in SENT else _events(*first_and_last)
    call = _open_run(context, LAST_ITEM)
    _bring(call, data)
    # A run that was judged by its first event has been closed by now.
    if not call.cancelled:
        _end(call)


@when("the last item's run brings events {first:d} to {last:d} in chunks and goes on")
def last_goes_on(context, first, last):
    context.last_run = _open_run(context, LAST_ITEM)
    _bring(context.last_run, _events(first, last))


@when("the last item's run brings events {first:d} to {last:d} in chunks and breaks")
def last_breaks(context, first, last):
    call = _open_run(context, LAST_ITEM)
    _bring(call, _events(first, last))
    call.over = True
    call.listener.answer_failed("connection reset")


@when("the last item's run ends")
def last_run_ends(context):
    _end(context.last_run)


@when("the last item's run resumes after event {last:d}, brings nothing more and ends")
def last_ends_behind(context, last):
    call = _open_run(context, LAST_ITEM)
    assert call.field(b"after-event") == str(last), call.request.headers
    _begin(call)
    _end(call)


@when("three runs of the last item bring no event in chunks and end")
def three_empty_runs(context):
    for _ in range(3):
        last_ends(context, "no event")


@then("the last item is sent again from its start")
def last_sent_again(context):
    assert _open_run(context, LAST_ITEM).field(b"after-event") == ""


def _results(context):
    context.fleet.run_for(1.0)
    messenger = context.fleet.nodes["gateway-1"].role
    page = context.fleet.result_of(messenger.read("", JOB, 0, 0.0), "a page")
    assert page.is_ok(), page
    return page.ok.results


@then("each text of the job has events {first:d} to {last:d}")
def texts_have(context, first, last):
    expected = "\n".join(f"text {number}" for number in range(first, last + 1))
    results = _results(context)
    assert [result.text for result in results] == [expected] * (LAST_ITEM + 1), results


@then("the last item is done with an empty text")
def last_is_empty(context):
    results = _results(context)
    assert len(results) == LAST_ITEM + 1, results
    assert sorted(result.text for result in results)[0] == "", results


def _run_again_until_listed(context, data):
    """Answer each further run of the lone item with ``data``; return the number of runs."""
    runs = 0
    while not _results(context):
        call = _open_run(context, LONE_ITEM)
        runs += 1
        assert runs < 10, "the item is never listed"
        _bring(call, data)
        if not call.cancelled:
            _end(call)
    return runs


def _first_run(what, first, last):
    """Return the bytes that the first run brings."""
    whole = _events(first, last)
    rest = _events(first + 1, last)
    return {
        "is whole": whole,
        "lacks its first event": rest,
        "has its first event's id corrupted": event(first).replace(b"id: ", b"i\xff: ") + rest,
        "begins with bytes that are no text": CORRUPTED + whole,
        "brings no event": b"",
        "brings a comment alone": b": nothing\n\n",
    }[what]


@when(
    "the lone item's first run {what}, and its later ones bring events {first:d} to {last:d}"
    " and end"
)
def first_run_then_whole_ones(context, what, first, last):
    call = _open_run(context, LONE_ITEM)
    _bring(call, _first_run(what, first, last))
    if not call.cancelled:
        _end(call)
    context.runs = 1 + _run_again_until_listed(context, _events(first, last))


@when("the lone item's runs bring no event and end")
def runs_without_events(context):
    context.runs = _run_again_until_listed(context, b"")


@then("the lone item is done with events {first:d} to {last:d}, after at most {most:d} runs")
def lone_item_has(context, first, last, most):
    (result,) = _results(context)
    expected = "\n".join(f"text {number}" for number in range(first, last + 1))
    assert result.done and result.text == expected, result
    assert context.runs <= most, context.runs


@then("the lone item is done with an empty text, after {runs:d} runs")
def lone_item_is_empty(context, runs):
    (result,) = _results(context)
    assert result.done and not result.text, result
    assert context.runs == runs, context.runs


@then("each item of the job has run once")
def each_ran_once(context):
    indexes = sorted(_index(call) for call in context.fleet.calls())
    assert indexes == list(range(LAST_ITEM + 1)), indexes
