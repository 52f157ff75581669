"""Steps on random operators, watches across restarts and late retries, on real replicas."""

import json

from behave import given, then, when
from expression import Ok
from features.steps.control_group_steps import start
from features.support import control_history as history
from features.support.control import service_change

from rainsail.control.group_control import GroupControl
from rainsail.control.watcher import WatchHub
from rainsail.errors import FaultCode
from rainsail.resources.specs import Kind, ResourceKey
from rainsail.state.change_window import ChangeWindow

MIN_CHECKS = 100


@when(
    "{count:d} random operators work on real control replicas for {seconds:g} seconds, "
    "under {seeds:d} seeds"
)
def run_random_operators(context, count, seconds, seeds):
    """Run each seed; store the failures of checks during a run for the following steps."""
    assert count == history.OPERATORS
    context.random_runs, context.random_failures = [], []
    for seed in range(1, seeds + 1):
        operators = history.RandomOperators(seed)
        try:
            operators.run(seconds)
        except AssertionError as failure:
            context.random_failures.append(failure)
        context.random_runs.append((operators, history.events_of(operators)))


@then("each acknowledged change of the random operators took effect once, and no refused one did")
def changes_once(context):
    """Also require enough acknowledged and refused changes for the check to be meaningful."""
    for operators, events in context.random_runs:
        history.check_changes(operators, events)
        changed = [each for each in operators.operations if each.changed() is not None]
        refused = [each for each in operators.operations if each.answer and each.answer.is_error()]
        assert len(changed) > 40 and len(refused) > 5, (len(changed), len(refused))


@then("every expected revision of the random operators was the one replaced")
def expected_replaced(context):
    """Require enough such changes; ``check_changes`` has compared their revisions."""
    for operators, _ in context.random_runs:
        changed = [each for each in operators.operations if each.changed() is not None]
        assert sum(each.command.expected_revision >= 0 for each in changed) > 10


@then("the random operators' answers agree with the order of real time")
def in_real_time(context):
    """A call that starts after an answer sees no older revision."""
    for operators, events in context.random_runs:
        history.check_real_time(operators, events)


@then("each list that the random operators read is exactly the store at its revision")
def lists_exact(context):
    """No list mixes two revisions."""
    for operators, events in context.random_runs:
        assert history.check_reads(operators, events) > 20


@then("no gateway of the random operators served below the in-force revision at any moment")
def in_force_true(context):
    """The check runs during the runs; here its failures and its coverage are asserted."""
    assert not context.random_failures, context.random_failures[0]
    assert sum(operators.disks_lost for operators, _ in context.random_runs) > 0
    assert all(operators.in_force_checks > MIN_CHECKS for operators, _ in context.random_runs)


@then("the random operators' gateways all have the last state, and never saw a revision fall")
def views_agree(context):
    """Compare the views after all faults have ended."""
    for operators, _ in context.random_runs:
        history.check_views(operators)


@then("a check of the random operators' answers fails")
def some_check_fails(context):
    """At least one seed shows the defect."""
    failures = list(context.random_failures)
    for operators, events in context.random_runs:
        for check in (history.check_changes, history.check_real_time, history.check_reads):
            try:
                check(operators, events)
            except AssertionError as failure:
                failures.append(failure)
    assert failures, "no check failed"


def _patch(context, owner, name, replacement):
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    context.add_cleanup(setattr, owner, name, original)


@given("control replicas that answer lists without checking their leadership")
def lists_anywhere(context):
    """Make every replica read its own state without a read barrier."""

    async def at_once(control, step):
        return Ok(None)

    _patch(context, GroupControl, "linearizable_read", at_once)


@given("a control state that does not remember the outcomes of changes")
def forget_answers(context):
    """Make a re-sent change count as a new one."""
    _patch(context, ChangeWindow, "remember", lambda window, command, outcome: None)


class LineList:
    """A line sink that decodes and stores a watch's lines."""

    def __init__(self):
        self.lines = []

    def write_line(self, line):
        """Store one line."""
        self.lines.append(json.loads(line))

    def end(self, disconnect):
        """Ignore the end of the watch."""


@when("a watcher follows {which} of the real control replicas while it is restarted 3 times")
def follow_restarts(context, which):
    """Resume at the same replica from the last revision read after each restart."""
    fleet = context.fleet
    leader = fleet.leader()
    name = leader if which == "the leader" else next(n for n in fleet.names if n != leader)
    context.watched, context.watched_from = [], fleet.state(name).revision
    last = context.watched_from
    for life in range(4):
        sink = LineList()
        node = fleet.replicas[name].node
        hub = WatchHub(node.state, fleet.clock, fleet.settings)
        node.group.on_applied(lambda _, hub=hub: hub.state_applied())
        hub.watch(sink, last, ()).start()
        for number in range(15):
            change = service_change(f"w{life}-{number}", f"s{number % 4}", life * 100 + number)
            assert fleet.finish(context.user.propose(change, 20.0)).is_ok()
        if life == 3:
            fleet.clock.advance(2.0)
        revisions = [line["revision"] for line in sink.lines if line["type"] != "bookmark"]
        context.watched += revisions
        last = max([last, *revisions])
        if life < 3:
            fleet.replicas[name].kill()
            fleet.wait_until(lambda: bool(fleet.leader()))
            fleet.replicas[name].start()
            fleet.wait_until(lambda: fleet.replicas[name].node.group is not None)


@then("that watcher of the real control replicas has seen every revision once, in order")
def watched_all(context):
    """The watch has no gap and no duplicate."""
    last = context.fleet.state(context.fleet.leader()).revision
    assert context.watched == list(range(context.watched_from + 1, last + 1)), context.watched


@given("{replicas:d} real control replicas that remember {count:d} changes")
def few_remembered(context, replicas, count):
    """Start replicas with a short change window."""
    start(context, replicas, 0, remembered_changes=count)


@when("a change that expects a revision is put to the real control replicas")
def put_expecting(context):
    """Create the service with an expected revision of 0."""
    context.late_change = service_change("late", "assistant", 1, 0)
    _propose(context, context.late_change)


def _propose(context, change):
    return context.fleet.finish(context.user.propose(change, 20.0))


@when("{count:d} further changes of the same service are put to the real control replicas")
def put_later(context, count):
    """Put more changes than the change window remembers."""
    for number in range(2, count + 2):
        assert _propose(context, service_change(f"l{number}", "assistant", number)).is_ok()
        context.late_last = number


@when("that change is sent again to the real control replicas")
def send_late(context):
    """Send the same change id and expected revision again."""
    context.late_answer = _propose(context, context.late_change)


@then("it gets a conflict that names the current revision of the real control replicas")
def late_conflict(context):
    """The fault is typed and has the current revision."""
    fault = context.late_answer.error
    current = context.fleet.state(context.fleet.leader()).get(context.late_change.key)
    assert fault.code == FaultCode.CONFLICT, fault
    assert fault.current_revision == current.revision, fault


@then("the last change of that service is stored at every real control replica")
def last_stands(context):
    """The late retry has reverted nothing."""
    fleet = context.fleet
    fleet.clock.advance(2.0)
    key = ResourceKey(Kind.SERVICE, "assistant")
    for name in fleet.names:
        assert fleet.state(name).get(key).spec.runners == context.late_last
