"""Steps on items whose text's end is in doubt, in virtual time."""

import random
from dataclasses import replace

from behave import given, step, then, when
from features.steps.relayed_job_steps import _open_calls, _page, make_fleet, sent_again
from features.support.relaying import event, runner_record

ITEM_EVENTS = 4
BREAK_CHANCE = 0.3
"""How often a run of the random course breaks off, at each event."""


@given("a relayed fleet with a table and 2 runners of {slots:d} slots")
def make_fleet_of_two(context, slots):
    make_fleet(context, slots)
    controller = context.fleet.controller("controller-1")
    controller.reports.take(replace(runner_record(2), slots=slots))
    context.fleet.run_for(1.5)


def _open_call(context):
    context.fleet.run_until(lambda: len(_open_calls(context)) == 1, "a run", 10)
    (call,) = _open_calls(context)
    context.last_runner = call.field(b"runner")
    return call


def _begin(call, how):
    call.begin_stream(is_framed=how == "in chunks")


@when("the item's run breaks off behind event {last:d}")
def break_off(context, last):
    call = _open_call(context)
    call.begin_stream()
    for number in range(1, last + 1):
        call.listener.answer_data(event(number))
    call.over = True
    call.listener.answer_failed("connection reset")


@step("the item's run ends without an event {how}")
def end_empty(context, how):
    call = _open_call(context)
    _begin(call, how)
    call.over = True
    call.listener.answer_ended()


@when("{count:d} runs of the item end without an event")
def end_empty_often(context, count):
    for _ in range(count):
        end_empty(context, "in chunks")


@step("the item's run sends events {first:d} to {last:d} and goes on {how}")
def send_and_go_on(context, first, last, how):
    call = _open_call(context)
    _begin(call, how)
    for number in range(first, last + 1):
        call.listener.answer_data(event(number))


@step("the item's run sends events {first:d} to {last:d} and ends {how}")
def send_and_end(context, first, last, how):
    call = _open_call(context)
    send_and_go_on(context, first, last, how)
    call.over = True
    call.listener.answer_ended()


@then("the item is sent again after event {number:d}, to another runner")
def sent_elsewhere(context, number):
    earlier = context.last_runner
    sent_again(context, number)
    (call,) = _open_calls(context)
    assert call.field(b"runner") != earlier, earlier


@then("no result is listed")
def none_listed(context):
    assert _page(context).results == ()


@when(
    "each run breaks off at random, and {percent:d} % of those that resume send nothing, "
    "seed {seed:d}"
)
def play_random_runs(context, percent, seed):
    draw = random.Random(seed)
    context.empty_runs = 0

    def all_listed():
        for call in _open_calls(context):
            _play_run(context, call, draw, percent / 100)
        return len(_page(context).results) == context.job_size

    context.fleet.run_until(all_listed, "all results", 300)


def _play_run(context, call, draw, empty_chance):
    after = int(call.field(b"after-event") or 0)
    call.begin_stream()
    if after and draw.random() < empty_chance:
        context.empty_runs += 1
        call.over = True
        call.listener.answer_ended()
        return
    for number in range(after + 1, ITEM_EVENTS + 1):
        if draw.random() < BREAK_CHANCE:
            call.over = True
            call.listener.answer_failed("connection reset")
            return
        call.listener.answer_data(event(number))
    if not call.cancelled:
        call.over = True
        call.listener.answer_ended()


@then("each item's text is whole, and many runs sent nothing")
def all_whole(context):
    whole = "\n".join(f"text {number}" for number in range(1, ITEM_EVENTS + 1))
    texts = [entry.text for entry in _page(context).results]
    short = [text.replace("\n", ", ") for text in texts if text != whole]
    assert not short, (len(short), short[:5])
    assert context.empty_runs > context.job_size // 3, context.empty_runs
