"""Steps on replicated resources: races, re-sent changes, windows and revisions."""

from behave import given, then, when
from features.support.state import Driver, put_tenant

from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, ResourceKey, RunnerSpec, RunnerStatus
from rainsail.state.commands import (
    MUST_NOT_EXIST,
    MarkInForce,
    PutResource,
    PutStatus,
    ResourceChanged,
)
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings

RUNNER = ResourceKey(Kind.RUNNER, "engine-1")


@given("a replicated state with tenant north at weight 1")
def step_with_tenant(context):
    context.driver = Driver()
    context.first = put_tenant("create", 1.0, MUST_NOT_EXIST)
    assert isinstance(context.driver.apply(context.first), ResourceChanged)


@when("a replicated state gets two changes of tenant north with equal expected revisions")
def step_race(context):
    context.changes = [put_tenant("left", 2.0, 1), put_tenant("right", 3.0, 1)]
    context.answers = [context.driver.apply(change) for change in context.changes]


@then("a replicated state accepted the first change and answered the second with a conflict")
def step_one_winner(context):
    first, second = context.answers
    assert isinstance(first, ResourceChanged), first
    assert first.revision == 2
    assert isinstance(second, Fault), second
    assert second.code is FaultCode.CONFLICT


@then("the replicated state's conflict names the current revision")
def step_names_revision(context):
    assert context.answers[1].current_revision == 2, context.answers[1]


@when("the replicated state is restored from its snapshot")
def step_restart(context):
    context.driver.restart()


@when("both changes of the replicated state are sent again")
def step_resend(context):
    context.revision = context.driver.state.revision
    context.resent = [context.driver.apply(change) for change in context.changes]


@then("the replicated state gave both their first answers again")
def step_first_answers(context):
    assert context.resent == context.answers, context.resent


@then("the replicated state stored no further change")
def step_no_further(context):
    assert context.driver.state.revision == context.revision == 2


@when("a replicated state gets another change under the same change id")
def step_reused_id(context):
    context.answer = context.driver.apply(put_tenant("create", 9.0))


@then('the replicated state answers "{code}"')
def step_answers(context, code):
    assert isinstance(context.answer, Fault), context.answer
    assert context.answer.code == code, context.answer


@given("a replicated state that keeps {count:d} answered changes")
def step_small_change_window(context, count):
    context.settings = StateSettings(change_window_count=count)
    context.driver = Driver(ReplicatedState(context.settings))


@given("a replicated state that keeps {count:d} events")
def step_small_event_window(context, count):
    context.settings = StateSettings(event_window_count=count)
    context.driver = Driver(ReplicatedState(context.settings))


@when("{count:d} different changes are applied to the replicated state")
def step_apply_changes(context, count):
    context.changes = [put_tenant(f"change-{n}", 1.0 + n) for n in range(count)]
    context.answers = [context.driver.apply(change) for change in context.changes]


@then("the last {count:d} changes get their first answers from the replicated state")
def step_window_kept(context, count):
    for change, answer in list(zip(context.changes, context.answers, strict=True))[-count:]:
        assert context.driver.apply(change) == answer


@then("the first change counts as new to the replicated state")
def step_window_lost(context):
    again = context.driver.apply(context.changes[0])
    assert again.revision == len(context.changes) + 1, again


@then("the replicated state has events since revision {kept:d} but not since revision {lost:d}")
def step_events(context, kept, lost):
    check_events(context.driver.state, kept, lost)
    context.kept, context.lost = kept, lost


def check_events(state, kept, lost):
    """Check the start of the event window of a state."""
    events = state.events_since(kept, 100)
    assert [event.revision for event in events] == list(range(kept + 1, state.revision + 1))
    assert state.events_since(kept, 1) == events[:1]
    assert state.events_since(lost, 100) is None


@then("the event window is the same after a restore of the replicated state")
def step_events_restored(context):
    context.driver.restart(context.settings)
    check_events(context.driver.state, context.kept, context.lost)


@when("the replicated state's revision 1 is marked in force, then revision 0")
def step_mark_down(context):
    context.driver.apply(MarkInForce(1))
    context.driver.apply(MarkInForce(0))


@when("the replicated state's revision {revision:d} is marked in force")
def step_mark(context, revision):
    context.driver.apply(MarkInForce(revision))


@then("the replicated state's revision in force is {revision:d}")
def step_in_force(context, revision):
    assert context.driver.state.in_force_revision == revision


@given("a replicated state with a runner")
def step_runner(context):
    context.driver = Driver()
    spec = RunnerSpec("http://127.0.0.1:9", "south", "south-a", "reports")
    context.driver.apply(PutResource("runner", RUNNER, spec))


@when("two controllers write the runner's status to the replicated state at one revision")
def step_statuses(context):
    context.statuses = [RunnerStatus(fence=1), RunnerStatus(fence=2)]
    context.answers = [
        context.driver.apply(PutStatus(RUNNER, status, (), 1)) for status in context.statuses
    ]


@then("the replicated state took the first status and refused the second")
def step_status_winner(context):
    first, second = context.answers
    assert first.resource.status == context.statuses[0]
    assert second.code is FaultCode.CONFLICT
    assert second.current_revision == 2
    assert context.driver.state.get(RUNNER).status == context.statuses[0]


@then("the runner's spec generation in the replicated state is unchanged")
def step_generation(context):
    assert context.driver.state.get(RUNNER).generation == 1


@then("writing the same status again leaves the replicated state's revision")
def step_same_status(context):
    answer = context.driver.apply(PutStatus(RUNNER, context.statuses[0], (), 2))
    assert isinstance(answer, ResourceChanged), answer
    assert context.driver.state.revision == 2
