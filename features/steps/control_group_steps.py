"""Steps on the control plane over real replicated groups."""

from behave import given, then, when
from features.support.control import service_change
from features.support.control_group import RealGroupFleet

from rainsail.control.messages import ListRequest
from rainsail.resources.specs import Kind
from rainsail.state.commands import ROOT_GROUP


def start(context, replicas, views, **options):
    """Start replicas, and gateway views that hold a configuration lease."""
    fleet = context.fleet = RealGroupFleet(replicas, seed=7, **options)
    for number in range(views):
        fleet.start_view(f"g{number}", "a")
    fleet.wait_until(lambda: all(view.lease_valid() for view in fleet.views.values()))
    context.user = fleet.client("user")
    context.answered = {}


@given("{replicas:d} real control replicas with {views:d} gateway views")
def step_start(context, replicas, views):
    start(context, replicas, views)


@given(
    "{replicas:d} real control replicas that lose {loss:d} of 100 messages, "
    "with {views:d} gateway views"
)
def step_start_lossy(context, replicas, loss, views):
    start(context, replicas, views, loss=loss / 100)


@given(
    "{replicas:d} real control replicas that snapshot every {entries:d} entries, "
    "with {views:d} gateway views"
)
def step_start_snapshots(context, replicas, entries, views):
    start(context, replicas, views, snapshot_entries=entries)


@when("{count:d} further changes are put to the real control replicas")
def step_put_more(context, count):
    for number in range(100, 100 + count):
        put(context, number)
    context.fleet.clock.advance(1.0)
    groups = [replica.node.group for replica in context.fleet.replicas.values()]
    assert all(group.core.state.snapshot_index > 0 for group in groups), "no snapshot was taken"


def put(context, number):
    """Put one change; store its answer."""
    command = service_change(f"c{number}", f"s{number}", number)
    answer = context.fleet.finish(context.user.propose(command, 20.0))
    assert answer.is_ok(), answer
    context.answered[f"s{number}"] = answer.ok
    return answer.ok


@when("a change is put to the real control replicas")
def step_put(context):
    context.first = put(context, 1)


@when("the same change is sent again to the real control replicas")
def step_put_again(context):
    context.again = put(context, 1)


@then("both answers of the real control replicas are the same")
def step_same(context):
    assert context.first == context.again


@when(
    "{count:d} times a change is put, and the leader of the real control replicas "
    "is killed and started"
)
def step_failovers(context, count):
    fleet = context.fleet
    for number in range(count):
        put(context, number)
        name = fleet.leader()
        fleet.replicas[name].kill()
        fleet.wait_until(lambda: bool(fleet.leader()))
        fleet.replicas[name].start()
        fleet.clock.advance(1.0)


@when("all real control replicas are killed and started again")
def step_restart_all(context):
    for replica in context.fleet.replicas.values():
        replica.kill()
    for replica in context.fleet.replicas.values():
        replica.start()
    context.fleet.wait_until(lambda: bool(context.fleet.leader()))


@when("the leader of the real control replicas is partitioned and another is elected")
def step_cut(context):
    fleet = context.fleet
    context.old = fleet.leader()
    context.same_side = fleet.client("beside")
    for other in [*fleet.names, *fleet.views, "user"]:
        if other != context.old:
            fleet.network.cut(context.old, other)
            fleet.network.cut(other, context.old)
    fleet.wait_until(lambda: fleet.leader() not in ("", context.old))


@then("the partitioned leader answers nothing, not even a client on its side")
def step_answers_nothing(context):
    fleet = context.fleet
    old_group = fleet.replicas[context.old].node.group
    assert not old_group.is_leader()
    messenger = context.same_side._messenger
    answer = fleet.finish(messenger.call(context.old, ListRequest(ROOT_GROUP, ()), 1.0))
    assert answer.is_error(), "a partitioned leader answered a list request"


@when("{count:d} changes are put while two of the real control replicas are killed in turn")
def step_two_losses(context, count):
    fleet = context.fleet
    for number in range(count):
        put(context, number)
        if number in (count // 3, 2 * count // 3):
            fleet.replicas[fleet.leader()].kill()


@then("every acknowledged change is stored once at the real control replicas")
def step_there(context):
    state = context.fleet.state(context.fleet.leader())
    events = [event.resource for event in state.events_since(0, 100_000)]
    puts = [each.key.name for each in events if each.key.kind == Kind.SERVICE and not each.status]
    for name, answer in context.answered.items():
        assert puts.count(name) >= 1, name
        found = [each for each in events if each == answer.resource]
        assert len(found) == 1, (name, found)


@then("every gateway view of the real control replicas has every change")
def step_views(context):
    fleet = context.fleet

    def complete():
        return all(
            {each.key.name for each in view.list_resources(Kind.SERVICE)} >= set(context.answered)
            for view in fleet.views.values()
        )

    fleet.wait_until(complete, 12.0)
    for view in fleet.views.values():
        for name, answer in context.answered.items():
            assert view.get(answer.resource.key).spec == answer.resource.spec, name


@then("the real control replicas mark the last change as in force within {seconds:g} seconds")
def step_in_force(context, seconds):
    last = max(answer.revision for answer in context.answered.values())
    fleet = context.fleet

    def marked():
        name = fleet.leader()
        return bool(name) and fleet.state(name).in_force_revision >= last

    fleet.wait_until(marked, seconds)


@then("no gateway view of the real control replicas saw a revision fall")
def step_no_fall(context):
    for name, revisions in context.fleet.seen.items():
        assert revisions == sorted(revisions), name
        assert revisions, name
