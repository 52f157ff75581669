"""Steps on jobs whose routing table the ledger's leader does not have yet, in virtual time."""

import re

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import event, runner_record

SEED = 73
JOB = "job-1"
EARLIER_JOB = "job-0"
WITHOUT_ROUTE = " none"
RUNNERS = (1, 2)
LEARNED_WITHIN_S = 20.0
"""Longer than the longest freeze and the election and heartbeats after it."""


def _send_table(context, content=""):
    """Have an operator send the next version; returns the controller that acknowledged it."""
    fleet = context.fleet
    context.version += 1
    leading = fleet.leader("controller")
    document = f"{context.version}{content}".encode()
    done = fleet.controller(leading).tables.replace(context.version, document)
    assert fleet.result_of(done, "an answer to the order").is_ok()
    return leading


def _make_fleet(context, *contents):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    context.version = 0
    for content in contents:
        _send_table(context, content)
        fleet.run_for(1.5)
    for number in RUNNERS:
        fleet.controller("controller-1").reports.take(runner_record(number))
    fleet.run_for(1.5)
    context.jobs = {}


@given("a relayed fleet whose table has no route")
def fleet_without_route(context):
    _make_fleet(context, WITHOUT_ROUTE)


@given("a relayed fleet whose table has the route")
def fleet_with_route(context):
    _make_fleet(context, "")


@given("a relayed fleet whose table has a route that the next one removed")
def fleet_with_removed_route(context):
    _make_fleet(context, "", WITHOUT_ROUTE)


@given("no runner of the route's service")
def no_runner(context):
    for number in RUNNERS:
        report = runner_record(number, "draining", 2)
        taken = context.fleet.controller("controller-1").reports.take(report)
        assert context.fleet.result_of(taken, "the drain").is_ok()
    context.fleet.run_for(0.5)


@when("the ledger's leader hears of no table from the leading controller")
def cut_leader(context):
    fleet = context.fleet
    controller = fleet.address(fleet.leader("controller"))
    for name in fleet.names("storage"):
        fleet.network.cut(controller, fleet.address(name))


@when("an operator sends a table with the route, and a gateway has it")
def send_with_route(context):
    context.acknowledged = _send_table(context)
    follower = context.fleet.nodes["gateway-1"].base.follower
    context.fleet.run_until(lambda: follower.table_version == context.version, "the table", 1)


def _hand_in(context, job, count):
    done = context.fleet.submit("gateway-1", job, count)
    assert context.fleet.result_of(done, "an answer to the job").is_ok()
    context.jobs[job] = count


def _mend(context):
    fleet = context.fleet
    controller = fleet.address(context.acknowledged)
    for name in fleet.names("storage"):
        fleet.network.mend(controller, fleet.address(name))


def _restart(context, names):
    for name in names:
        context.fleet.crash(name)
    context.fleet.run_for(0.3)
    for name in names:
        context.fleet.start(name)


@when("a gateway hands in a job of {count:d} items while {event}")
def hand_in_while(context, count, event):
    fleet = context.fleet
    fleet.freeze(context.acknowledged)
    others = [each for each in fleet.names("controller") if each != context.acknowledged]
    storage_leader = fleet.leader("storage")
    if event == "it freezes and the other controllers start again":
        _restart(context, others)
    _hand_in(context, JOB, count)
    if event.endswith("the ledger's leader is killed after the acceptance"):
        _restart(context, [storage_leader])
    if event.endswith("all storage nodes start again after the acceptance"):
        _restart(context, fleet.names("storage"))
    frozen = re.search(r"freezes for ([\d.]+) seconds", event)
    fleet.run_for(float(frozen[1]) if frozen else 2.6)
    fleet.thaw(context.acknowledged)
    _mend(context)


@when("a gateway submits a job of {count:d} items")
def submit(context, count):
    _hand_in(context, JOB, count)


@when("a gateway hands in an earlier job of {count:d} items, more than the runners take")
def hand_in_earlier(context, count):
    _hand_in(context, EARLIER_JOB, count)
    context.fleet.run_for(2.0)
    assert 0 < len(_items_sent(context, EARLIER_JOB)) < count


@when("the controllers are cut off from each other")
def cut_controllers(context):
    for name in context.fleet.names("controller"):
        context.fleet.cut_from_group(name)
    context.fleet.run_for(1.5)


@when("the controllers reach each other again")
def rejoin_controllers(context):
    fleet = context.fleet
    addresses = [fleet.address(name) for name in fleet.names("controller")]
    for one in addresses:
        for other in addresses:
            if one != other:
                fleet.network.mend(one, other)


@when("{seconds:d} seconds later the runs of the earlier job end")
def end_earlier(context, seconds):
    context.fleet.run_for(seconds)
    context.sent_before = _items_sent(context, EARLIER_JOB)
    for call in context.fleet.calls():
        if not call.over and not call.cancelled:
            call.begin_stream()
            call.listener.answer_data(event(1))
            call.over = True
            call.listener.answer_ended()


@when("an operator sends a table without the route")
def send_without_route(context):
    _send_table(context, WITHOUT_ROUTE)


def _results(context, job=JOB):
    pages = []

    def read():
        done = context.fleet.nodes["gateway-2"].role.read("", job, 0, 0.0)
        pages.append(context.fleet.result_of(done, "a page"))
        return pages[-1].is_ok()

    context.fleet.run_until(read, "a page of results", 10)
    return pages[-1].ok.results


def _items_sent(context, job=JOB):
    return {call.field(b"item") for call in context.fleet.calls() if call.job == job}


@then("all items of the job run and none is given up")
def all_run(context):
    count = context.jobs[JOB]
    context.fleet.run_until(
        lambda: len(_items_sent(context)) == count or _results(context),
        "runs of all items",
        LEARNED_WITHIN_S,
    )
    assert not _results(context), _results(context)
    assert len(_items_sent(context)) == count, _items_sent(context)


@then("all items of the job are given up within {seconds:d} seconds")
def all_given_up(context, seconds):
    count = context.jobs[JOB]
    context.fleet.run_until(
        lambda: len(_results(context)) == count, "results of all items", seconds
    )
    assert not any(each.done for each in _results(context))


@then("only the items of the earlier job run, and none is given up")
def only_earlier(context):
    context.fleet.run_until(
        lambda: _items_sent(context, EARLIER_JOB) > context.sent_before,
        "further runs of the earlier job",
        5,
    )
    context.fleet.run_for(1.0)
    assert not _items_sent(context)
    assert not _results(context)
    assert all(each.done for each in _results(context, EARLIER_JOB))


@step("operators see that {count:d} job waits for its table")
@step("operators see that {count:d} jobs wait for their table")
def operators_see(context, count):
    leader = context.fleet.nodes[context.fleet.leader("storage")]
    page = leader.base.metrics.exposition().decode()
    assert f"rainsail_jobs_awaiting_table {count}.0" in page
