"""Steps on operators' changes and watches."""

from behave import given, then, when
from features.support.control import ControlFleet, WatchClient, service_change
from twisted.internet.defer import Deferred

from rainsail.control.resource_endpoints import ResourceEndpoints
from rainsail.errors import FaultCode, Outcome
from rainsail.resources.specs import Kind, ResourceKey, ServiceStatus
from rainsail.state.commands import ANY_REVISION, PutResource, PutStatus

KEY = ResourceKey(Kind.SERVICE, "assistant")


def finish(context, coroutine):
    """Run a coroutine on the fleet's clock."""
    return context.fleet.finish(Deferred.fromCoroutine(coroutine))


@given("a service of the control fleet at some revision")
def step_service(context):
    client = context.fleet.client("owner")
    context.first = context.fleet.finish(client.propose(service_change("c0", "assistant", 1), 9)).ok


@when("{count:d} operators of the control fleet change the service expecting that revision")
def step_race(context, count):
    expected = context.first.revision
    pending = [
        context.fleet.client(f"operator-{n}").propose(
            service_change(f"race-{n}", "assistant", 10 + n, expected), 9
        )
        for n in range(count)
    ]
    context.answers = [context.fleet.finish(each) for each in pending]


@then("exactly one operator of the control fleet wins")
def step_one_wins(context):
    context.winners = [answer.ok for answer in context.answers if answer.is_ok()]
    assert len(context.winners) == 1


@then("the others get a conflict naming the control fleet's current revision of it")
def step_conflicts(context):
    faults = [answer.error for answer in context.answers if answer.is_error()]
    assert len(faults) == len(context.answers) - 1
    for fault in faults:
        assert fault.code == FaultCode.CONFLICT
        assert fault.current_revision == context.winners[0].resource.revision


@when("a change is committed by the control fleet and its answer is lost with the leader")
def step_lost_answer(context):
    fleet: ControlFleet = context.fleet
    fleet.network.lose_replies_of["r1"] = True
    command = service_change("lost", "assistant", 3)
    pending = fleet.client("operator").propose(command, 9)
    fleet.wait_until(lambda: command in fleet.log)
    context.index = len(fleet.log)
    context.revision = fleet.leader.state.revision
    fleet.cut_off("r1")
    fleet.clock.advance(1.1)
    fleet.elect("r2")
    other = fleet.finish(fleet.client("other").propose(service_change("later", "other", 1), 9))
    assert other.is_ok()
    context.answer = fleet.finish(pending)


@then("the control fleet's client gets the first answer from the new leader")
def step_first_answer(context):
    assert context.answer.is_ok(), context.answer
    assert context.answer.ok.revision == context.revision


@then("the change took effect once in the control fleet")
def step_once(context):
    events = context.fleet.leader.state.events_since(0, 1000)
    assert len([event for event in events if event.resource.key == KEY]) == 1


@when("a status for any revision is proposed to the control fleet and its answer is lost")
def step_status_lost(context):
    fleet = context.fleet
    fleet.network.lose_replies_of["r1"] = True
    context.status = PutStatus(KEY, ServiceStatus(1, "v1"), (), ANY_REVISION)
    context.answer = fleet.finish(fleet.client("operator").propose(context.status, 9))


@then("the control fleet's client says the outcome is unknown")
def step_unknown(context):
    assert context.answer.error.outcome == Outcome.UNKNOWN, context.answer


@then("the status was proposed once to the control fleet")
def step_proposed_once(context):
    context.fleet.clock.advance(5)
    assert context.fleet.log.count(context.status) == 1


@when("every replica of the control fleet takes changes and answers nothing")
def step_all_silent(context):
    fleet = context.fleet
    fleet.network.lose_replies_of["r1"] = True
    pending = fleet.client("operator").propose(service_change("x", "assistant", 3), 2.5)
    fleet.clock.advance(1.2)
    for name in fleet.groups:
        fleet.cut_off(name)
    context.answer = fleet.finish(pending)


@given("a watch at replica {name} of the control fleet")
def step_watch(context, name):
    start_watch(context, name, context.fleet.groups[name].state.revision, ())


@given("a watch of {kind} at replica {name} of the control fleet")
def step_watch_kind(context, kind, name):
    start_watch(context, name, context.fleet.groups[name].state.revision, (Kind(kind),))


@when("a watch from revision {revision:d} starts at replica {name} of the control fleet")
def step_watch_from(context, revision, name):
    start_watch(context, name, revision, ())


def start_watch(context, name, revision, kinds):
    """Start a watch at a replica."""
    context.watched_from = revision
    context.client = WatchClient(context.fleet, name, revision, kinds)


@when("replica {name} of the control fleet fails and the watch resumes at lagging replica {other}")
def step_watch_moves(context, name, other):
    fleet = context.fleet
    fleet.clock.advance(0.1)
    fleet.groups[other].lagging = True
    context.lines = context.client.lines
    fleet.cut_off(name)
    context.client.close()
    context.client = WatchClient(fleet, other, context.client.last_revision(), ())


@when("replica {name} of the control fleet catches up")
def step_catch_up(context, name):
    context.fleet.groups[name].lagging = False
    context.fleet.groups[name].catch_up()


@then("the watch of the control fleet saw every revision once and in order")
def step_no_gap(context):
    lines = context.lines + context.client.lines
    seen = [line["revision"] for line in lines if line["type"] != "bookmark"]
    last = context.fleet.leader.state.revision
    assert seen == list(range(context.watched_from + 1, last + 1)), seen


@then('the watch of the control fleet ends with a "{kind}" line naming the revision')
def step_ends_with(context, kind):
    context.fleet.clock.advance(0.1)
    last = context.client.lines[-1]
    assert last["type"] == kind, last
    assert last["revision"] == context.client.last_revision()
    assert last["error"]["code"] in ("revision_compacted", "overloaded")
    assert context.client.ended


@when("the client of the control fleet's watch stops reading")
def step_stop_reading(context):
    context.client.watcher.pause()


@then("the control fleet keeps no watcher at replica {name}")
def step_no_watcher(context, name):
    assert len(context.client.hub) == 0


@then("the watch of the control fleet has bookmarks up to that change, in force, and no event")
def step_bookmarks(context):
    lines = context.client.lines
    assert {line["type"] for line in lines} == {"bookmark"}, lines
    assert lines[-1]["revision"] >= context.changed.revision
    assert lines[-1]["in_force_revision"] >= context.changed.revision


@when("its status changes while an operator of the control fleet patches it")
def step_patch_race(context):
    fleet = context.fleet
    endpoints = ResourceEndpoints(fleet.client("operator"), 9.0)
    body = {"spec": {"runners": 7}, "change_id": "patch"}
    pending = Deferred.fromCoroutine(endpoints.patch(KEY, body))
    status = PutStatus(KEY, ServiceStatus(1, "v1"), (), context.first.resource.revision)
    committed = fleet.leader.propose(status)
    context.answer = fleet.finish(pending)
    assert fleet.finish(committed).is_ok()


@then("the control fleet's service has the patched spec and the new status")
def step_patched(context):
    assert context.answer.is_ok(), context.answer
    stored = context.fleet.leader.state.get(KEY)
    assert (stored.spec.runners, stored.status) == (7, ServiceStatus(1, "v1"))


@when(
    "an operator of the control fleet patches it, another changes it, and the patch is sent again"
)
def step_patch_again(context):
    fleet = context.fleet
    endpoints = ResourceEndpoints(fleet.client("operator"), 9.0)
    body = {"spec": {"runners": 7}, "change_id": "patch"}
    assert finish(context, endpoints.patch(KEY, body)).is_ok()
    later = PutResource("later", KEY, service_change("", "", 2).spec)
    assert fleet.finish(fleet.client("other").propose(later, 9)).is_ok()
    context.answer = finish(context, endpoints.patch(KEY, body))


@then("the re-sent patch gets a conflict and the control fleet keeps the later change")
def step_patch_conflict(context):
    assert context.answer.error.code == FaultCode.CONFLICT
    assert context.fleet.leader.state.get(KEY).spec.runners == 2
