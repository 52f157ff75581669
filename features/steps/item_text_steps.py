"""Steps on texts of items that never end, in a fleet of virtual time."""

from behave import given, step, then
from features.support.relaying import event

from rainsail.budget.memory import HeldKind
from rainsail.budget.sizing import BudgetLimits

JOB = "job-1"
TWO_MINUTES_S = 120
MANY = 2_000_000
PIECE_EVENTS = 20
CONNECTIONS = 1000


def _open_calls(context):
    return [call for call in context.fleet.calls() if not (call.cancelled or call.over)]


def _wait_for_call(context, limit_s=30):
    context.fleet.run_until(lambda: _open_calls(context), "a run", limit_s)
    return _open_calls(context)[0]


def _event(number, size):
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * size)


def _bring(call, first, count, size):
    """Have a runner bring events; return how many it could before it was stopped."""
    for start in range(first, first + count, PIECE_EVENTS):
        numbers = range(start, min(start + PIECE_EVENTS, first + count))
        call.listener.answer_data(b"".join(_event(number, size) for number in numbers))
        if call.cancelled:
            return start - first
    return count


def _budgets(context):
    return [node.base.budget for node in _storage_nodes(context)]


def _storage_nodes(context):
    fleet = context.fleet
    return [fleet.nodes[name] for name in fleet.names("storage")]


@given("the storage nodes have room for {count:d} bytes")
def set_room(context, count):
    for budget in _budgets(context):
        budget.set_limits(BudgetLimits(count, CONNECTIONS))


@step("the item's run brings events of {size:d} bytes without end")
def bring_endless(context, size):
    context.text_event_bytes = size
    call = _wait_for_call(context)
    call.begin_stream()
    context.text_events = _bring(call, 1, MANY // (size + 1) * 4, size)
    context.text_call = call


@then("its connection is closed after at most {most:d} events")
def closed_after(context, most):
    assert context.text_call.cancelled
    assert context.text_events <= most, context.text_events


def _held(context):
    return sum(budget.memory.by_kind[HeldKind.RUNNER] for budget in _budgets(context))


@then("the leader holds nothing of the item's text")
def holds_nothing(context):
    assert _held(context) == 0
    assert not context.text_call.listener.progress.texts


@then("the leader holds at most {count:d} bytes of their texts")
def holds_at_most(context, count):
    assert 0 < _held(context) <= count, _held(context)


@step("two minutes of such runs have passed")
def pass_minutes(context):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + TWO_MINUTES_S
    while fleet.clock.seconds() < until_s:
        for call in _open_calls(context):
            call.begin_stream()
            _bring(call, 1, MANY // (context.text_event_bytes + 1) * 4, context.text_event_bytes)
        fleet.run_for(1.0)


@then("the item has run at most {most:d} times, and is not listed")
def not_listed(context, most):
    runs = len(context.fleet.calls())
    assert 10 < runs <= most, runs
    assert not _listed(context)


def _listed(context):
    states = [node.role.state for node in _storage_nodes(context)]
    return max((state.jobs[JOB].listed for state in states if JOB in state.jobs), key=len)


@step("the item's next run brings its whole text")
def bring_whole(context):
    call = _wait_for_call(context)
    call.begin_stream()
    call.listener.answer_data(event(1) + event(2))
    call.over = True
    call.listener.answer_ended()


@then("the item is listed with this text")
def listed(context):
    context.fleet.run_until(lambda: _listed(context), "a result", 30)
    (outcome,) = _listed(context)
    assert outcome.done and outcome.text == "text 1\ntext 2", outcome


@step("one item's run has brought {many:d} events of {size:d} bytes, and another's {few:d}")
def two_runs(context, many, size, few):
    context.fleet.run_until(lambda: len(_open_calls(context)) == 2, "two runs", 30)
    context.two_calls = _open_calls(context)
    for call, count in zip(context.two_calls, (many, few), strict=True):
        call.begin_stream()
        assert _bring(call, 1, count, size) == count
    context.two_counts = [many, few]


@step("both bring {count:d} events of {size:d} bytes more")
def both_more(context, count, size):
    for call, before in zip(context.two_calls, context.two_counts, strict=True):
        _bring(call, before + 1, count, size)


@then("the first item's run was broken off, and the other's goes on")
def first_broken(context):
    first, other = context.two_calls
    assert first.cancelled and not other.cancelled


@step("the item's run brings {count:d} events of {size:d} bytes within {seconds:d} seconds")
def bring_within(context, count, size, seconds):
    context.text_call = _wait_for_call(context)
    _bring_within(context, [context.text_call], count, size, seconds)


def _bring_within(context, calls, count, size, seconds):
    """Have runners bring events at an even pace, so that the leader commits some in between."""
    for call in calls:
        call.begin_stream()
    steps = seconds * 2
    for step_number in range(steps):
        for call in calls:
            assert _bring(call, step_number * count // steps + 1, count // steps, size)
        context.fleet.run_for(0.5)


@step("each of {runs:d} runs brings {count:d} events of {size:d} bytes within {seconds:d} seconds")
def each_brings_within(context, runs, count, size, seconds):
    context.fleet.run_until(lambda: len(_open_calls(context)) == runs, "runs", 30)
    _bring_within(context, _open_calls(context), count, size, seconds)


def _kept(context):
    notes = [node.role.state.jobs[JOB].notes.values() for node in _storage_nodes(context)]
    return [sum(len(text) + 120 for note in each for text in note.texts) for each in notes]


@then("each storage node keeps at most {most:d} bytes of progress, and some")
def keeps_at_most(context, most):
    context.fleet.run_for(1.0)
    kept = _kept(context)
    assert len(kept) == 3 and all(0 < each <= most for each in kept), kept


@then("each storage node keeps no progress")
def keeps_none(context):
    context.fleet.run_for(1.0)
    assert _kept(context) == [0, 0, 0], _kept(context)
    assert not any(node.role.state.count_note_bytes() for node in _storage_nodes(context))


@step("the item's run ends, and another one begins alike")
def end_run(context):
    context.text_call.over = True
    context.text_call.listener.answer_ended()
    call = _wait_for_call(context)
    call.begin_stream()
    _bring(call, 1, 1, 4)


@then("the item is listed with {count:d} events")
def listed_events(context, count):
    context.fleet.run_until(lambda: _listed(context), "a result", 30)
    (outcome,) = _listed(context)
    assert outcome.done and outcome.text.count("\n") == count - 1


@step("the ledger's leader crashes")
def leader_crashes(context):
    fleet = context.fleet
    context.kept_events = {
        index: note.last_event
        for index, note in _storage_nodes(context)[0].role.state.jobs[JOB].notes.items()
    }
    context.calls_before = len(fleet.calls())
    fleet.crash(fleet.leader("storage"))


@then("each next run resumes behind the progress that was kept")
def resumes_there(context):
    fleet = context.fleet
    fleet.run_until(lambda: len(fleet.calls()) >= context.calls_before + 2, "next runs", 30)
    for call in fleet.calls()[context.calls_before :]:
        index = int(call.field(b"item").rpartition("-")[2])
        after = call.field(b"after-event")
        assert int(after or -1) == context.kept_events.get(index, -1), (index, after)


@step("both runs break off")
def both_break(context):
    calls = _open_calls(context)
    context.calls_before = len(context.fleet.calls())
    for call in calls:
        call.over = True
        call.listener.answer_failed("connection reset")


@then("one of the next runs resumes behind event {last:d}, and the other one begins anew")
def one_resumes(context, last):
    fleet = context.fleet
    fleet.run_until(lambda: len(fleet.calls()) >= context.calls_before + 2, "next runs", 30)
    after = {call.field(b"after-event") for call in fleet.calls()[context.calls_before :]}
    assert after == {str(last), ""}, after
