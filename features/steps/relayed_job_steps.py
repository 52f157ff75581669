"""Steps on relayed jobs, in virtual time."""

from dataclasses import replace

from behave import given, step, then, when
from expression import Error
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import event, runner_record
from twisted.internet.defer import succeed

from rainsail.errors import Fault, FaultCode
from rainsail.jobs.messages import ReadResults
from rainsail.routing.messages import OnlineUse, RunnerUse
from rainsail.state.job_commands import NoteProgress

SEED = 23
JOB = "job-1"
SECOND_JOB = "job-2"
RUNNER_SLOTS = 8


@given("a relayed fleet with a table and a runner of {slots:d} slots")
def make_fleet(context, slots):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    controller.reports.take(replace(runner_record(1), slots=slots))
    fleet.run_for(1.5)
    context.job_size = 0


@step("a job of {count:d} item is accepted")
@step("a job of {count:d} items is accepted")
def accept(context, count):
    hand_in(context, count)
    accepted(context)


@step("a gateway hands in a job of {count:d} item")
@step("a gateway hands in a job of {count:d} items")
def hand_in(context, count):
    context.job_size = count
    done = context.fleet.submit("gateway-1", JOB, count)
    context.submitted = context.fleet.result_of(done, "an answer to the job")
    context.fleet.run_for(2.0)


@step("the other gateway hands in the same job")
def hand_in_again(context):
    done = context.fleet.submit("gateway-2", JOB, context.job_size)
    context.submitted = context.fleet.result_of(done, "an answer to the job")
    context.fleet.run_for(0.2)


@then("the job is accepted")
def accepted(context):
    assert context.submitted.is_ok(), context.submitted


def _open_calls(context):
    return [call for call in context.fleet.calls() if not _is_over(call)]


def _is_over(call):
    return call.cancelled or getattr(call, "over", False)


def _index(call):
    return int(call.request.target.rpartition(b"/")[2])


@then("{count:d} items run")
def items_run(context, count):
    context.fleet.run_until(lambda: len(_open_calls(context)) == count, f"{count} runs", 5)


@then("no item runs")
def no_item_runs(context):
    context.fleet.run_until(lambda: not _open_calls(context), "no runs", 1)


@then("no item ran twice")
def not_twice(context):
    indexes = [_index(call) for call in context.fleet.calls()]
    assert len(indexes) == len(set(indexes)), indexes


def _end_whole(call, events=1):
    call.begin_stream()
    for number in range(events):
        call.listener.answer_data(event(number))
    call.over = True
    call.listener.answer_ended()


@when("the items' runs end whole, the last first")
def end_all(context):
    for call in sorted(_open_calls(context), key=_index, reverse=True):
        _end_whole(call)
        context.fleet.run_for(0.1)


def _page(context, after=0):
    pages = []

    def read():
        done = context.fleet.nodes["gateway-2"].role.read("", JOB, after, 0.0)
        pages.append(context.fleet.result_of(done, "a page"))
        return pages[-1].is_ok()

    context.fleet.run_until(read, "a page that is answered")
    return pages[-1].ok


@then("the job's results are items {first:d}, {second:d} and {third:d}, each done")
def results_are(context, first, second, third):
    context.fleet.run_for(0.5)
    page = _page(context)
    wanted = [f"{JOB}-{number}" for number in (first, second, third)]
    assert [entry.item for entry in page.results] == wanted, page
    assert all(entry.done for entry in page.results)
    assert page.total == context.job_size


@then("the job can still be read")
def can_be_read(context):
    assert _page(context).total == context.job_size


@then("the body of an open item can be read")
def body_read(context):
    done = context.fleet.nodes["gateway-1"].role.read_body("", JOB, f"{JOB}-0")
    result = context.fleet.result_of(done, "a body")
    assert result.is_ok() and result.ok.body == b"body", result


# --- losses --------------------------------------------------------------------------------


@when("all storage nodes lose power and start again")
def all_restart(context):
    names = context.fleet.names("storage")
    for name in names:
        context.fleet.pools[name].calls.clear()
        context.fleet.crash(name)
    for name in names:
        context.fleet.start(name)


@when("the ledger's leader loses its disk and starts again")
def leader_wiped(context):
    name = context.fleet.leader("storage")
    context.fleet.lose_disk(name)
    context.fleet.start(name)


@when("the ledger's leader loses its disk for good")
def leader_gone(context):
    name = context.fleet.leader("storage")
    context.fleet.pools[name].calls.clear()
    context.fleet.lose_disk(name)


@when("the ledger's leader loses its disk and the others power")
def leader_wiped_others_off(context):
    leader = context.fleet.leader("storage")
    names = context.fleet.names("storage")
    for name in names:
        if name == leader:
            context.fleet.lose_disk(name)
        else:
            context.fleet.crash(name)
    for name in names:
        context.fleet.start(name)


@when("one item's run ends whole and is listed")
def one_listed(context):
    _end_whole(_open_calls(context)[0])
    context.fleet.run_for(0.5)
    context.first_result = _page(context).results[0]


@when("the other items' runs at the new leader end whole")
def others_end(context):
    context.fleet.run_until(lambda: len(_open_calls(context)) == 2, "two runs anew")
    for call in _open_calls(context):
        _end_whole(call)
    context.fleet.run_for(0.5)


@then("the listed result has kept its position, and {count:d} results are there")
def kept_place(context, count):
    results = _page(context).results
    assert results[0] == context.first_result
    assert len({entry.item for entry in results}) == len(results) == count, results


# --- runs ----------------------------------------------------------------------------------


@when("the item's run sends {count:d} events and breaks")
def run_breaks(context, count):
    (call,) = _open_calls(context)
    call.begin_stream()
    for number in range(1, count + 1):
        call.listener.answer_data(event(number))
    call.listener.answer_data(event(count + 1)[:5])
    call.over = True
    call.listener.answer_failed("connection reset")


@then("the item is sent again after event {number:d}")
def sent_again(context, number):
    context.fleet.run_until(lambda: len(_open_calls(context)) == 1, "another run", 5)
    assert _open_calls(context)[0].field(b"after-event") == str(number)


@when("the item's run sends event {number:d} and ends")
def run_ends(context, number):
    (call,) = _open_calls(context)
    call.begin_stream()
    call.listener.answer_data(event(number))
    call.over = True
    call.listener.answer_ended()


@when("a second run of the item begins with event 1 too")
def second_run_begins(context):
    """Start a second run: the text is listed once another stream has the same beginning."""
    context.fleet.run_until(lambda: _open_calls(context), "a second run", 5)
    (call,) = _open_calls(context)
    assert call.field(b"after-event") == "", call.request.headers
    call.begin_stream()
    call.listener.answer_data(event(1))


@when('the item\'s run is answered {status:d} with "{body}", which is no stream')
@when('the item\'s run is answered {status:d} with "", which is no stream')
def run_answered(context, status, body=""):
    (call,) = _open_calls(context)
    call.over = True
    call.answer(status, body.encode())


@when("the item's run sends data without a number and event {number:d}, and ends")
def run_sends_unnumbered(context, number):
    (call,) = _open_calls(context)
    call.begin_stream()
    call.over = True
    call.listener.answer_data(b"data: text 1\n\n" + event(number))
    call.listener.answer_ended()


@when("every run of the item sends data without a number for {seconds:d} seconds")
def runs_send_unnumbered(context, seconds):
    context.item_runs = 0
    until_s = context.fleet.clock.seconds() + seconds
    while context.fleet.clock.seconds() < until_s:
        for call in _open_calls(context):
            context.item_runs += 1
            call.begin_stream()
            call.over = True
            call.listener.answer_data(b"data: text 1\n\n")
        context.fleet.run_for(0.1)


@then("the item ran between {least:d} and {most:d} times")
def ran_times(context, least, most):
    assert least <= context.item_runs <= most, context.item_runs


@then("the item is sent again from its start")
def sent_anew(context):
    context.fleet.run_until(lambda: len(_open_calls(context)) == 1, "another run", 5)
    assert _open_calls(context)[0].field(b"after-event") == ""


@then("the item's text has {count:d} events")
def text_has(context, count):
    context.fleet.run_for(0.5)
    (entry,) = _page(context).results
    assert entry.text == "\n".join(f"text {number}" for number in range(1, count + 1)), entry


@when("a gateway reports {count:d} online requests at the runner")
def report_use(context, count):
    leader = context.fleet.address(context.fleet.leader("storage"))
    messenger = context.fleet.nodes["gateway-1"].base.messenger
    messenger.send(leader, OnlineUse((RunnerUse("runner-1", count),)))


@when("every run of the item is answered {status:d}")
def answer_always(context, status):
    context.runs = 0

    def listed():
        for call in _open_calls(context):
            context.runs += 1
            call.over = True
            call.answer(status)
        return bool(_page(context).results)

    context.fleet.run_until(listed, "the item listed")


@then("the item is listed as given up after {count:d} runs")
def given_up(context, count):
    (entry,) = _page(context).results
    assert not entry.done and context.runs == count, (entry, context.runs)


@when("a gateway ends the job")
def end_job(context):
    done = context.fleet.nodes["gateway-1"].role.end("", JOB)
    context.ended = context.fleet.result_of(done, "an answer to the end")
    assert context.ended.is_ok(), context.ended


@then("ending the job again is answered the same")
def end_again(context):
    done = context.fleet.nodes["gateway-2"].role.end("", JOB)
    assert context.fleet.result_of(done, "an answer") == context.ended


@then("nothing is sent any more")
def nothing_sent(context):
    before = len(context.fleet.calls())
    context.fleet.run_for(5)
    assert len(context.fleet.calls()) == before


@when("the ledger's leader is cut off from the other storage nodes")
def cut_leader(context):
    context.cut = context.fleet.leader("storage")
    cut = context.fleet.address(context.cut)
    for name in context.fleet.names("storage"):
        if name != context.cut:
            context.fleet.network.cut(cut, context.fleet.address(name))
            context.fleet.network.cut(context.fleet.address(name), cut)


@then("the cut-off leader refuses to read the job")
def refuses(context):
    messenger = context.fleet.nodes["gateway-1"].base.messenger
    call = messenger.call(context.fleet.address(context.cut), ReadResults(JOB, 0, 0.0), 1.0)
    assert context.fleet.result_of(call, "an answer").is_error()


@when("a gateway reports {count:d} online requests at the runner to the next leader")
def report_to_next(context, count):
    context.sent_before = len(context.fleet.calls())
    report_use(context, count)


@then("no item was started by the new leader")
def none_started(context):
    assert len(context.fleet.calls()) == context.sent_before


@when("a gateway hands in a job of {count:d} items and {seconds:g} seconds pass")
def hand_in_and_wait(context, count, seconds):
    context.job_size = count
    done = context.fleet.submit("gateway-1", JOB, count)
    context.submitted = context.fleet.result_of(done, "an answer to the job")
    context.fleet.run_for(seconds)


@then("no more than {count:d} items have been sent")
def sent_at_most(context, count):
    assert 1 <= len(context.fleet.calls()) <= count, len(context.fleet.calls())


@when("the item's run sends {count:d} events and goes on")
def run_goes_on(context, count):
    (call,) = _open_calls(context)
    call.begin_stream()
    for number in range(1, count + 1):
        call.listener.answer_data(event(number))


@when("1 second of the fleet passes")
def one_second(context):
    context.fleet.run_for(1.0)


@step("the runner takes no items for now")
def runner_busy(context):
    report_use(context, 8)
    context.fleet.run_for(0.1)


@when("the ledger's leader freezes, and a gateway ends the job at the next one")
def freeze_leader(context):
    context.frozen = context.fleet.leader("storage")
    context.sent_before = len(context.fleet.pools[context.frozen].calls)
    context.fleet.freeze(context.frozen)
    context.fleet.run_until(
        lambda: any(name != context.frozen for name in context.fleet.leading("storage")),
        "another leader",
    )
    ended = context.fleet.result_of(context.fleet.nodes["gateway-1"].role.end("", JOB), "an end")
    assert ended.is_ok(), ended
    context.fleet.run_for(4.0)


@when("the runner takes items again while the frozen leader wakes")
def wake_leader(context):
    node = context.fleet.nodes[context.frozen]
    node.role.dispatcher.online.clear()
    # Timers that came due during the suspension may run in any order; this one runs first.
    node.role.dispatcher._run_periodically()
    context.fleet.thaw(context.frozen)
    context.fleet.run_for(3.0)


@then("the woken leader has sent nothing")
def woken_sent_nothing(context):
    assert len(context.fleet.pools[context.frozen].calls) == context.sent_before


def _each_controller(context, change):
    leader = context.fleet.address(context.fleet.leader("storage"))
    for name in context.fleet.names("controller"):
        controller = context.fleet.address(name)
        change(leader, controller)
        change(controller, leader)


@when("the ledger's leader is cut off from all controllers")
def cut_from_controllers(context):
    _each_controller(context, context.fleet.network.cut)


@when("the ledger's leader reaches the controllers again")
def reach_controllers(context):
    _each_controller(context, context.fleet.network.mend)


# --- urgency -------------------------------------------------------------------------------


@when("{seconds:d} seconds later a gateway hands in a second job of {count:d} items")
def second_job(context, seconds, count):
    context.fleet.run_for(seconds)
    done = context.fleet.submit("gateway-1", SECOND_JOB, count)
    assert context.fleet.result_of(done, "an answer to the second job").is_ok()


@when("the runner has room for {count:d} items")
def runner_has_room(context, count):
    report_use(context, RUNNER_SLOTS - count)
    context.fleet.run_for(1.0)


@then("the {count:d} items of the second job run, and none of the first")
def second_runs(context, count):
    running = [call.job for call in _open_calls(context)]
    assert running == [SECOND_JOB] * count, running


# --- load reports of runners ---------------------------------------------------------------


@given("a relayed fleet with a table and a runner of {slots:d} slots that answers nothing yet")
def make_silent_fleet(context, slots):
    make_fleet(context, slots)
    answer_nothing(context)


@when("the runner answers nothing for now")
def answer_nothing(context):
    for pool in context.fleet.pools.values():
        pool.clock = None


@when("the runner answers the item and says that it runs {count:d} requests")
def runner_says(context, count):
    call = _open_calls(context)[-1]
    call.begin_stream(f"{count},0,{RUNNER_SLOTS}")
    call.listener.answer_data(event(1))


@then("the new leader has started {count:d} items")
def started(context, count):
    assert len(_open_calls(context)) == count, len(_open_calls(context))


@when("a gateway reports {count:d} online requests at the runner and {seconds:g} seconds pass")
def report_use_and_wait(context, count, seconds):
    context.runs_before = len(context.fleet.calls())
    report_use(context, count)
    context.fleet.run_for(seconds)


@then("no other item has been started")
def none_started(context):
    assert len(context.fleet.calls()) == context.runs_before


@when("the item's run sends events {first:d} and {next_one:d}, of which {missing:d} is missing")
def send_hole(context, first, next_one, missing):
    context.fleet.run_until(lambda: _open_calls(context), "a run", 5)
    (call,) = _open_calls(context)
    call.begin_stream()
    call.listener.answer_data(event(first) + event(next_one))
    call.over = True
    context.fleet.run_for(2.0)


@then("the item runs again after event {last:d} and its text has each event once")
def runs_again(context, last):
    (call,) = _open_calls(context)
    assert call.field(b"after-event") == str(last), call.request.headers
    call.begin_stream()
    for number in (last + 1, last + 2):
        call.listener.answer_data(event(number))
    call.over = True
    call.listener.answer_ended()
    second_run_begins(context)
    context.fleet.run_for(0.5)
    (result,) = _page(context).results
    assert result.text == "text 1\ntext 2\ntext 3", result


# --- refused notes -------------------------------------------------------------------------


@when("the ledger's group refuses the next progress note")
def refuse_next_note(context):
    driver = context.fleet.nodes[context.fleet.leader("storage")].role.driver
    propose = driver.propose

    def propose_others(command):
        if not (isinstance(command, NoteProgress) and command.notes):
            return propose(command)
        driver.propose = propose
        return succeed(Error(Fault(FaultCode.OVERLOADED, "a test", "a note is refused")))

    driver.propose = propose_others


@when("the item's run goes on with events {first:d} to {last:d}")
def run_goes_on_with(context, first, last):
    (call,) = _open_calls(context)
    for number in range(first, last + 1):
        call.listener.answer_data(event(number))


@when("the item's run sends the head of a stream and ends")
def run_ends_empty(context):
    (call,) = _open_calls(context)
    call.begin_stream()
    call.over = True
    call.listener.answer_ended()
