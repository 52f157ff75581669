"""Steps on items at runners that break or fail their runs."""

from behave import given, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import event, runner_record

from rainsail.cluster.messages import RunnerRecord

SEED = 31
JOB = "job-1"
TICK_S = 0.02
RUN_S = 0.4


def _slotted(number: int) -> RunnerRecord:
    record = runner_record(number)
    return RunnerRecord(
        record.runner,
        record.service,
        record.address,
        record.zone,
        8,
        record.state,
        record.warm_up_left_s,
        record.sequence,
    )


@given("a relayed fleet with a table and {count:d} runner that answers nothing yet")
@given("a relayed fleet with a table and {count:d} runners that answer nothing yet")
def make_fleet(context, count):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    for number in range(1, count + 1):
        controller.reports.take(_slotted(number))
    fleet.run_for(1.5)
    for pool in fleet.pools.values():
        pool.clock = None
    context.begun_s = {}
    context.sent_to = {}


@given("a job of {count:d} item is handed in")
@given("a job of {count:d} items is handed in")
def hand_in(context, count):
    context.job_size = count
    done = context.fleet.submit("gateway-1", JOB, count)
    assert context.fleet.result_of(done, "an answer to the job").is_ok()


def _open_calls(context):
    return [call for call in context.fleet.calls() if not (call.cancelled or call.over)]


def _end_whole(call):
    call.begin_stream()
    call.listener.answer_data(event(1) + event(2))
    call.over = True
    call.listener.answer_ended()


def _break(call):
    call.begin_stream()
    call.over = True
    call.listener.answer_failed("connection reset")


def _fail(call):
    call.over = True
    call.answer(500, b"sorry")


def _refuse_connection(call):
    call.over = True
    call.listener.request_unsent("connection refused")


def _play(context, seconds, bad, is_bad):
    """Complete runs after ``RUN_S``, and bad ones with ``bad`` at once, until the job is done."""
    clock = context.fleet.clock
    until_s = clock.seconds() + seconds
    while clock.seconds() < until_s and not _is_finished(context):
        for call in _open_calls(context):
            begun_s = context.begun_s.setdefault(id(call), clock.seconds())
            if not getattr(call, "is_counted", False):
                call.is_counted = True
                runner = call.field(b"runner")
                context.sent_to[runner] = context.sent_to.get(runner, 0) + 1
                call.number = sum(context.sent_to.values())
                call.is_bad = is_bad(call)
            if call.is_bad:
                bad(call)
            elif clock.seconds() - begun_s >= RUN_S:
                _end_whole(call)
            elif not call.listener.begun:
                call.begin_stream()
        context.fleet.run_for(TICK_S)


def _results(context):
    page = context.fleet.result_of(
        context.fleet.nodes["gateway-1"].role.read("", JOB, 0, 0.0), "a page"
    )
    return page.ok.results if page.is_ok() else ()


def _is_finished(context):
    return len(_results(context)) == context.job_size


def _at_runner_1(call):
    return call.field(b"runner") == "runner-1"


@when("every {share:d}th run breaks, and the others take 0.4 s")
def some_break(context, share):
    context.begun_at_s = context.fleet.clock.seconds()
    _play(context, 60.0, _break, lambda call: call.number % share == 0)
    context.took_s = context.fleet.clock.seconds() - context.begun_at_s


@then("the job is finished within {seconds:d} seconds")
def finished_within(context, seconds):
    assert _is_finished(context)
    assert context.took_s <= seconds, context.took_s


@when("runner 1 breaks every run at once, and runner 2 takes 0.4 s, for {seconds:d} seconds")
def one_breaks(context, seconds):
    _play(context, seconds, _break, _at_runner_1)


@when("runner 1 can't be reached, and runner 2 takes 0.4 s, for {seconds:d} seconds")
def one_unreached(context, seconds):
    _play(context, seconds, _refuse_connection, _at_runner_1)


@when(
    "runner 1 answers 500 at once to every item, and runner 2 takes 0.4 s, for {seconds:d} seconds"
)
def one_fails(context, seconds):
    _play(context, seconds, _fail, _at_runner_1)


@when("the runner answers 500 to the first run, and the second one takes 0.4 s")
def first_fails(context):
    _play(context, 10.0, _fail, lambda call: call.number == 1)


@then("runner 1 was sent at most {most:d} items")
def sent_at_most(context, most):
    assert 1 <= context.sent_to["runner-1"] <= most, context.sent_to


@then("every result of the job is done")
def all_done(context):
    context.fleet.run_for(1.0)
    results = _results(context)
    assert results and all(result.done for result in results), results


@when("{count:d} items run and all their runs break at the same time")
def all_break(context, count):
    _play_until_running(context, count)
    for call in _open_calls(context):
        call.over = True
        call.listener.answer_failed("connection reset")
    context.sent_before = len(context.fleet.calls())


def _play_until_running(context, count):
    def runs():
        for call in _open_calls(context):
            if not call.listener.begun:
                call.begin_stream()
        return len(_open_calls(context)) == count

    context.fleet.run_until(runs, f"{count} runs", 5)


@then("the runner is sent nothing for {seconds:g} seconds")
def sent_nothing(context, seconds):
    context.fleet.run_for(seconds)
    assert len(context.fleet.calls()) == context.sent_before
