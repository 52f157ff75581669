"""Steps on items whose text's end is in doubt, in virtual time."""

from dataclasses import replace

from behave import given, step, then, when
from features.steps.relayed_job_steps import _open_calls, _page, make_fleet, sent_again
from features.support.relaying import event, runner_record


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
