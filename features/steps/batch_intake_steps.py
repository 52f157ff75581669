"""Steps of features/batch/intake.feature."""

from dataclasses import replace

from behave import given, then, when
from features.support.batch import DEADLINE_UNIX_S, SERVICE, BatchFleet

from rainsail.batch.content import item_bytes
from rainsail.batch.groups import group_of_job
from rainsail.errors import FaultCode, Outcome
from rainsail.experiment.local_control import lose_nothing
from rainsail.state.commands import AddItems, JobPhase


@given("a batch fleet of {runners:d} runners and 1 gateway with {groups:d} ledger groups")
def step_groups(context, runners, groups):
    """Start a fleet with several ledger groups."""
    context.batch = BatchFleet(runners, groups=groups)


@given("the control plane loses the answers of all batch ranges after the first")
def step_lose_ranges(context):
    """Lose the answers; the commands themselves take effect."""
    context.batch.control.lose_answer = lambda request: (
        isinstance(request, AddItems) and request.first_index > 0
    )


@when("the same batch job is submitted again")
def step_again(context):
    """Repeat the submission, as a client would."""
    context.batch_first = context.batch_submission
    context.batch_submission = context.batch.submit(context.batch_items)


@when("the control plane answers again and the same batch job is submitted again")
def step_answers_again(context):
    """Stop losing answers and repeat the submission."""
    context.batch.control.lose_answer = lose_nothing
    step_again(context)


@when("a batch job with the same key and other items is submitted")
def step_other_content(context):
    """Change one item."""
    changed = replace(context.batch_items[3], prompt="another prompt")
    items = (*context.batch_items[:3], changed, *context.batch_items[4:])
    context.batch_submission = context.batch.submit(items)


@when("a batch job is submitted with {fault}")
def step_faulty(context, fault):
    """Submit an invalid job."""
    items = context.batch.items(3)
    key, deadline = "night", DEADLINE_UNIX_S
    if fault == "no items":
        items = ()
    elif fault == "an empty key":
        key = ""
    elif fault == "a past deadline":
        deadline = 0.5
    elif fault == "two equal custom ids":
        items = (items[0], items[0])
    elif fault == "an item without tokens":
        items = (replace(items[0], max_tokens=0),)
    else:
        raise AssertionError(fault)
    submitted = context.batch.intake.submit("broker", key, SERVICE, items, deadline)
    context.batch_submission = context.batch.answer(submitted)


@when("{count:d} batch jobs of {items:d} items are submitted")
def step_many(context, count, items):
    """Submit jobs with distinct keys."""
    fleet = context.batch
    answers = [fleet.submit(fleet.items(items), f"night-{index}") for index in range(count)]
    context.batch_jobs = [answer.ok.job_id for answer in answers]


@then("both batch submissions name the same job")
def step_same_job(context):
    """Compare the ids."""
    assert context.batch_first.ok.job_id == context.batch_submission.ok.job_id


@then("the ledger has {count:d} batch job")
def step_ledger_has(context, count):
    """Count the jobs."""
    assert len(context.batch.states[0].jobs()) == count


@then("the second batch submission is refused as a conflict")
def step_conflict(context):
    """Check the fault."""
    assert context.batch_submission.error.code is FaultCode.CONFLICT


@then("the batch submission is refused as invalid")
def step_invalid(context):
    """Check the fault, including that nothing was run."""
    assert context.batch_submission.error.code is FaultCode.INVALID
    assert context.batch_submission.error.outcome is Outcome.NOT_RUN


@then("the batch submission ends with a fault whose outcome is unknown")
def step_unknown(context):
    """Check the fault; the job is not accepted."""
    assert context.batch_submission.error.outcome is Outcome.UNKNOWN
    assert [view.phase for view in context.batch.states[0].jobs()] == [JobPhase.OPEN]


@then("the batch submission is accepted with {count:d} items")
def step_accepted(context, count):
    """Check the accepted job."""
    assert context.batch_submission.ok.phase is not JobPhase.OPEN
    assert context.batch_submission.ok.spec.item_count == count


@then("no batch range has more than {items:d} items or {size:d} bytes")
def step_ranges(context, items, size):
    """Check the commands that add items."""
    ranges = [each for each in context.batch.control.commands if isinstance(each, AddItems)]
    assert sum(len(each.items) for each in ranges) == len(context.batch_items)
    assert len(ranges) >= len(context.batch_items) / items
    for each in ranges:
        assert len(each.items) <= items
        assert sum(item_bytes(item) for item in each.items) <= size


@then("a small batch job submitted meanwhile is accepted within {seconds:g} s")
def step_small_meanwhile(context, seconds):
    """Start a large submission, then a small one."""
    fleet = context.batch
    big = fleet.intake.submit("broker", "big", SERVICE, fleet.items(20_000, "big"), DEADLINE_UNIX_S)
    accepted = []
    big.addCallback(accepted.append)
    fleet.run(0.01)
    small = fleet.intake.submit("exporter", "small", SERVICE, fleet.items(5), DEADLINE_UNIX_S)
    assert fleet.answer(small, seconds).is_ok()
    assert not accepted
    assert fleet.run_until(lambda: accepted, 10.0)
    assert accepted[0].is_ok()


@then("tenant {tenant} can neither read nor cancel that batch job")
def step_others(context, tenant):
    """Try to read, cancel and list the job as another tenant."""
    fleet, job = context.batch, context.batch_job
    assert fleet.answer(fleet.intake.job(tenant, job)).error.code is FaultCode.NOT_FOUND
    assert fleet.answer(fleet.intake.cancel(tenant, job)).error.code is FaultCode.NOT_FOUND
    assert fleet.answer(fleet.intake.results(tenant, job, 0, 5)).is_error()
    assert fleet.answer(fleet.intake.jobs(tenant)).ok == ()
    assert fleet.job(job).phase is not JobPhase.CANCELLED


@then("tenant {tenant} lists that batch job")
def step_lists(context, tenant):
    """List the tenant's jobs."""
    listed = context.batch.answer(context.batch.intake.jobs(tenant)).ok
    assert [view.job_id for view in listed] == [context.batch_job]


@then("its batch results read in pages of {size:d} are all there in order")
def step_pages(context, size):
    """Read all pages."""
    fleet, first, rows = context.batch, 0, []
    while first >= 0:
        page = fleet.answer(fleet.intake.results("broker", context.batch_job, first, size)).ok
        assert len(page.rows) <= size
        rows.extend(page.rows)
        first = page.next_index
    assert [row.custom_id for row in rows] == [item.custom_id for item in context.batch_items]


@then("every group has some of the batch jobs")
def step_spread(context):
    """Count the jobs per group."""
    counts = [len(state.jobs()) for state in context.batch.states.values()]
    assert sum(counts) == len(context.batch_jobs)
    assert min(counts) > 0, counts


@then("all batch jobs complete within {seconds:g} s")
def step_all_complete(context, seconds):
    """Run until all jobs have completed."""
    fleet = context.batch
    assert fleet.run_until(
        lambda: all(fleet.job(job).phase is JobPhase.COMPLETED for job in context.batch_jobs),
        seconds,
    )


@then("with a fourth group a batch job stays or moves to it")
def step_fourth_group(context):
    """Check that rendezvous hashing moves jobs to the new group only."""
    moved = 0
    for job in context.batch_jobs:
        before, after = group_of_job(job, (0, 1, 2)), group_of_job(job, (0, 1, 2, 3))
        assert after in (before, 3)
        moved += after == 3
    assert 0 < moved < len(context.batch_jobs)
