"""Steps on items at runners of several software versions, in virtual time."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import runner_record

from rainsail.jobs.job_state import JobState
from rainsail.jobs.open_item import OpenItem, take_new_progress
from rainsail.relay.events import Event
from rainsail.routing.messages import OnlineUse, RunnerUse

SEED = 63
JOB = "job-1"
SLOTS = 4
AGAIN_BORN = 2_000
PROGRESS_S = 1.2
"""Longer than two periods in which progress is committed."""


@given("a leader that does not tell the ledger who writes a text")
def untold_origins(context):
    patch = mock.patch.object(JobState, "_note_origin", lambda state, note: None)
    patch.start()
    context.add_cleanup(patch.stop)


@given("a relayed fleet with a table and runners of versions {versions}")
def make_fleet(context, versions):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    context.versions = dict(enumerate(versions.split(", "), 1))
    for number, version in context.versions.items():
        controller.reports.take(_report(number), version)
    fleet.run_for(1.5)


def _report(number, state="ready", sequence=1):
    return replace(runner_record(number, state, sequence), slots=SLOTS)


def _calls(context):
    return context.fleet.calls()


def _wait_for_call(context, count):
    context.fleet.run_until(lambda: len(_calls(context)) >= count, f"run {count} of the item", 20)
    return _calls(context)[count - 1]


def _number_of(call):
    return int(call.field(b"runner").rpartition("-")[2])


def _send(context, call, events):
    context.fleet.run_for(0.1)
    for number in range(1, events + 1):
        data = f"id: {number}\ndata: {number} of {_number_of(call)}\n\n"
        call.listener.answer_data(data.encode())


@when("the item's run sends {count:d} events and its runner stops taking work")
def send_and_stop(context, count):
    call = context.first = _wait_for_call(context, 1)
    _send(context, call, count)
    drained = _report(_number_of(call), "draining", 2)
    done = context.fleet.controller("controller-1").reports.take(drained)
    assert context.fleet.result_of(done, "the drain").is_ok()
    context.fleet.run_for(0.1)
    call.over = True
    call.listener.answer_failed("connection reset")


@when("the item's run sends {count:d} events, which are committed")
def send_and_commit(context, count):
    call = context.first = _wait_for_call(context, 1)
    _send(context, call, count)
    context.fleet.run_for(PROGRESS_S)


@when("the leader that ran the item loses power")
def leader_fails(context):
    leader = context.fleet.leader("storage")
    context.earlier = context.fleet.pools[leader].calls
    context.fleet.crash(leader)
    del context.fleet.pools[leader]
    context.first_after_failure = True


@when("all runners start again under their ids at {version}, and {lost} at that moment")
def all_again(context, version, lost):
    fleet = context.fleet
    leaders = [fleet.leader("storage"), fleet.leader("controller")]
    names = {
        "the ledger's leader loses power": leaders[:1],
        "both leaders lose power": leaders,
        "all controllers and storage nodes lose power": [
            *fleet.names("storage"),
            *fleet.names("controller"),
        ],
    }[lost]
    for name in names:
        fleet.crash(name)
        fleet.pools.pop(name, None)
    fleet.run_for(0.3)
    for name in names:
        fleet.start(name)
    fleet.leader("controller")
    for number in context.versions:
        report = replace(_report(number), born=AGAIN_BORN)
        fleet.controller(fleet.leader("controller")).reports.take(report, version)
        context.versions[number] = version
    context.first_after_failure = True


def _next_call(context):
    """Return the run that follows the first one, at the same leader or at the next."""
    count = 1 if getattr(context, "first_after_failure", False) else 2
    context.second = _wait_for_call(context, count)
    return context.second


def _versions_of_both(context):
    return tuple(context.versions[_number_of(call)] for call in (context.first, context.second))


@then("the item runs next at the same version, after event {number:d}")
def same_version(context, number):
    call = _next_call(context)
    first, second = _versions_of_both(context)
    assert first == second and call.field(b"after-event") == str(number), (first, second, call)


@then("the item runs next at version {version}, after event {number:d}")
def at_version(context, version, number):
    call = _next_call(context)
    assert context.versions[_number_of(call)] == version, call
    assert call.field(b"after-event") == str(number), call.request.headers


@then("the item runs next at another version, from its beginning")
def other_version(context):
    from_the_beginning(context)
    first, second = _versions_of_both(context)
    assert first != second, (first, second)


@then("the item runs next at any version, from its beginning")
def from_the_beginning(context):
    call = _next_call(context)
    assert call.field(b"after-event") == "", call.request.headers


@when("online requests take all slots of the other runner of its version")
def fill_other(context):
    call = _wait_for_call(context, 1)
    own = _number_of(call)
    (other,) = [
        number
        for number, version in context.versions.items()
        if version == context.versions[own] and number != own
    ]
    context.use = OnlineUse((RunnerUse(runner_record(other).runner, SLOTS),))
    _report_use(context)


def _report_use(context):
    gateway = context.fleet.nodes["gateway-1"].base.messenger
    gateway.send(context.fleet.address(context.fleet.leader("storage")), context.use)
    context.fleet.run_for(0.05)


@then("the item does not run again within {seconds:g} seconds")
def not_again(context, seconds):
    before = len(_calls(context))
    context.fleet.run_for(seconds)
    assert len(_calls(context)) == before, _calls(context)


@when("that run sends {count:d} events and ends whole")
def end_whole(context, count):
    call = context.second
    _send(context, call, count)
    call.over = True
    call.listener.answer_ended()
    _confirm_beginning(context, call)


def _confirm_beginning(context, call):
    """Let further runs of the item begin alike, which confirms an unconfirmed text."""
    context.fleet.run_for(1.0)
    for later in _calls(context)[_calls(context).index(call) + 1 :]:
        if not later.cancelled and not later.over:
            _send(context, later, 1)


@then("the item's result is the text of that run only")
def result_of_one_run(context):
    results = []

    def listed():
        gateway = context.fleet.nodes["gateway-2"].role
        read = context.fleet.result_of(gateway.read("", JOB, 0, 0.0), "a page")
        results[:] = read.ok.results if read.is_ok() else []
        return bool(results)

    context.fleet.run_until(listed, "the item's result", 20)
    runner = _number_of(context.second)
    expected = "\n".join(f"{number} of {runner}" for number in range(1, 5))
    assert results[0].text == expected, results


def _receive(item, count):
    for number in range(1, count + 1):
        item.progress.take(Event(b"", number, f"text {number}"))


@given("an item of whose text {count:d} events are committed")
def committed_item(context, count):
    context.item = OpenItem(JOB, 0)
    _receive(context.item, count)
    assert take_new_progress(context.item)


@when("its text is discarded, and another run of it has sent {count:d} events")
def discard_text(context, count):
    context.item.progress.start_anew()
    context.item.forget_dropped_events()
    _receive(context.item, count)


@then("no further progress of the item is committed")
def nothing_committed(context):
    assert not take_new_progress(context.item)
