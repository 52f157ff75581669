"""Steps of features/batch/dispatch.feature."""

from behave import given, then, when
from features.support.batch import DEADLINE_UNIX_S, POISON, SERVICE, BatchFleet

from rainsail.engine.interface import EndReason
from rainsail.state.commands import (
    CommitResults,
    ItemBody,
    ItemPhase,
    JobPhase,
    LeaseItems,
    ReturnItems,
)


@given("a batch fleet of {runners:d} runners and {gateways:d} gateway")
@given("a batch fleet of {runners:d} runners and {gateways:d} gateways")
def step_batch_fleet(context, runners, gateways):
    """Start the fleet."""
    context.batch = BatchFleet(runners, gateways)


@given("the control plane loses the answer of the first batch lease command")
def step_lose_lease_answer(context):
    """Lose one answer of LeaseItems."""
    context.batch.control.lose_answer = _lose_first(LeaseItems)


@given("the control plane loses the answer of the first batch commit")
def step_lose_commit_answer(context):
    """Lose one answer of CommitResults."""
    context.batch.control.lose_answer = _lose_first(CommitResults)


def _lose_first(command_type):
    lost = []

    def lose(request):
        if isinstance(request, command_type) and not lost:
            lost.append(request)
            return True
        return False

    return lose


@when("a batch job of {count:d} items is submitted")
def step_submit(context, count):
    """Submit a job."""
    _submit(context, context.batch.items(count))


@when("a batch job of {count:d} items with answers of {tokens:d} tokens is submitted")
def step_submit_long(context, count, tokens):
    """Submit a job with long answers."""
    _submit(context, context.batch.items(count, max_tokens=tokens))


@when("a batch job of {count:d} items, one of them poison, is submitted")
def step_submit_poison(context, count):
    """Submit a job whose last item crashes its engine."""
    poison = ItemBody("poison", POISON, 40)
    _submit(context, (*context.batch.items(count - 1), poison))


def _submit(context, items):
    context.batch_items = items
    context.batch_submission = context.batch.submit(items)
    if context.batch_submission.is_ok():
        context.batch_job = context.batch_submission.ok.job_id


@when("the batch fleet runs for {seconds:g} s")
def step_run(context, seconds):
    """Run virtual time."""
    context.batch.run(seconds)


@when("the engine of {runner} dies with batch items in flight")
def step_engine_dies(context, runner):
    """Crash an engine that runs batch items, and restart it a second later."""
    engine = _engine(context, runner)
    assert _running(engine) > 0
    engine.crash()
    context.batch.run(1.0)
    engine.restart()
    engine.preload("v1")


@when("the engine of {runner} says that it is draining")
def step_engine_drains(context, runner):
    """Have the engine refuse new work and report that it is draining."""
    _engine(context, runner).draining = True


@when("the batch job is cancelled")
def step_cancel(context):
    """Cancel at the intake."""
    cancelled = context.batch.answer(context.batch.intake.cancel("broker", context.batch_job))
    assert cancelled.ok.phase is JobPhase.CANCELLED, cancelled


@when("{count:d} online requests arrive at {runner} at once")
def step_burst(context, count, runner):
    """Send a burst."""
    assert _running(_engine(context, runner)) > 0
    context.batch.start_online(context.batch.gateways[0], runner, count)


@when("online requests keep {runner} full for {seconds:g} s")
def step_keep_full(context, runner, seconds):
    """Send a full burst every half a second."""
    for _ in range(int(seconds * 2)):
        context.batch.start_online(context.batch.gateways[0], runner, context.batch.slots)
        context.batch.run(0.5)


@when("gateway-{index:d} is paused for {seconds:g} s")
def step_pause(context, index, seconds):
    """Freeze a gateway's clock, then thaw it."""
    gateway = context.batch.gateways[index]
    gateway.clock.freeze()
    context.batch.run(seconds)
    gateway.clock.thaw()


@when("the batch dispatcher of gateway-{index:d} stops")
def step_stop(context, index):
    """Stop and wait for the ledger's answers."""
    context.batch.answer(context.batch.gateways[index].dispatcher.stop())


@when("the batch job completes")
def step_when_completes(context):
    """Wait for the job's end."""
    step_completes(context, 400.0)


@when("tenant {tenant} has a batch job of {count:d} items")
@when("tenant {tenant} submits a batch job of {count:d} items")
def step_tenant_job(context, tenant, count):
    """Submit a tenant's job and let it run for half a second."""
    submitted = context.batch.submit(context.batch.items(count), tenant=tenant)
    context.tenant_jobs = {**getattr(context, "tenant_jobs", {}), tenant: submitted.ok.job_id}
    context.batch.run(0.5)


@when("tenant {tenant} submits a batch job of {count:d} items due in {hours:d} hour")
@when("tenant {tenant} submits a batch job of {count:d} items due in {hours:d} hours")
def step_job_due(context, tenant, count, hours):
    """Submit a job with a deadline."""
    items = context.batch.items(count, f"due {hours}")
    submitted = context.batch.answer(
        context.batch.intake.submit(tenant, f"due-{hours}", SERVICE, items, hours * 3600.0)
    )
    context.due_jobs = {**getattr(context, "due_jobs", {}), hours: submitted.ok.job_id}


@then("the batch job completes within {seconds:g} s")
def step_completes(context, seconds):
    """Run until the job has completed."""
    done = context.batch.run_until(
        lambda: context.batch.job(context.batch_job).phase is JobPhase.COMPLETED, seconds
    )
    assert done, context.batch.job(context.batch_job)


@then("every batch result is the whole answer of its item")
def step_right_answers(context):
    """Compare each text with the answer that an engine gives without interruption."""
    rows = context.batch.rows(context.batch_job)
    assert len(rows) == len(context.batch_items)
    wrong = context.batch.wrong_answers(context.batch_job, context.batch_items)
    assert not wrong, wrong


@then("the ledger took one result per batch item")
def step_once(context):
    """Count the verdicts of the dispatchers once nothing is in flight."""
    context.batch.run(2.0)
    gateways = context.batch.gateways
    committed = sum(each.dispatcher.committer.counts.committed for each in gateways)
    repeated = sum(isinstance(command, CommitResults) for command in context.batch.control.commands)
    assert repeated > 0
    assert committed <= len(context.batch_items), committed
    assert context.batch.job(context.batch_job).completed == len(context.batch_items)


@then("no engine runs batch items after {seconds:g} s")
def step_none_running(context, seconds):
    """Check the engines' own records."""
    assert context.batch.batch_running() > 0 or seconds <= 0.1
    context.batch.run(seconds)
    assert context.batch.batch_running() == 0


@then("the batch job stays cancelled and takes no more results")
def step_stays_cancelled(context):
    """Run for 30 s and compare the job."""
    before = context.batch.job(context.batch_job)
    context.batch.run(30.0)
    after = context.batch.job(context.batch_job)
    assert after == before
    assert after.phase is JobPhase.CANCELLED


@then("one batch item was set aside after {attempts:d} attempts because {reason}")
def step_set_aside(context, attempts, reason):
    """Read the set-aside row."""
    rows = context.batch.rows(context.batch_job)
    aside = [row for row in rows if row.phase is ItemPhase.SET_ASIDE]
    assert [row.custom_id for row in aside] == ["poison"], aside
    assert reason in aside[0].failure, aside
    failures = [
        item
        for command in context.batch.control.commands
        if isinstance(command, ReturnItems)
        for item in command.items
        if item.failure
    ]
    assert len(failures) == attempts, failures
    completed = [row for row in rows if row.phase is ItemPhase.COMPLETED]
    assert len(completed) == len(context.batch_items) - 1


@then("{runner} runs no batch items {milliseconds:d} ms later")
def step_aside(context, runner, milliseconds):
    """Check the engine's own records."""
    assert _running(_engine(context, runner)) > 0
    context.batch.run(milliseconds / 1000.0)
    assert _running(_engine(context, runner)) == 0


def _engine(context, runner):
    return next(each for each in context.batch.engines if each.runner == runner)


def _running(engine):
    return sum(
        1
        for record in engine.executions
        if record.ended_s is None and not record.attempt_id.startswith("online")
    )


@then("the engines generated few batch tokens twice")
def step_few_twice(context):
    """Compare the number of generated tokens with the length of the answers."""
    dispatcher = context.batch.gateways[0].dispatcher
    assert dispatcher.counts.preempted >= 8, dispatcher.counts
    needed = sum(item.max_tokens for item in context.batch_items)
    generated = _engine(context, "runner-0")._scheduler.tokens_generated
    online = 8 * 200
    assert generated - online <= needed * 1.02, (generated - online, needed)


@then("the ledger keeps the text of returned batch items")
def step_keeps_text(context):
    """Check the returned records."""
    returned = [
        item
        for command in context.batch.control.commands
        if isinstance(command, ReturnItems)
        for item in command.items
    ]
    assert len(returned) >= 8, returned
    assert all(item.generated_prefix and not item.failure for item in returned)
    assert context.batch.job(context.batch_job).leased == 0


@then("gateway-{index:d} runs no batch item under an expired lease {seconds:g} s after it resumes")
def step_lapsed(context, index, seconds):
    """Check that all attempts from before the pause are cancelled."""
    fleet = context.batch
    gateway = fleet.gateways[index]
    pause_ended_s = fleet.clock.seconds()
    fleet.run(seconds)
    old = [
        record
        for engine in fleet.engines
        for record in engine.executions
        if record.attempt_id.startswith(gateway.name)
        and record.started_s < pause_ended_s
        and record.ended_s is None
    ]
    assert gateway.dispatcher.counts.lapses == 1, gateway.dispatcher.counts
    assert not old, old
    cancelled = [
        record
        for engine in fleet.engines
        for record in engine.executions
        if record.reason is EndReason.CANCELLED
    ]
    assert cancelled


@then("both batch lease commands had one request id")
def step_one_request_id(context):
    """Count the request ids of the first two lease commands."""
    ids = [
        command.request_id
        for command in context.batch.control.commands
        if isinstance(command, LeaseItems)
    ]
    assert ids[0] == ids[1], ids


@then("the ledger shows no leased batch items")
def step_none_leased(context):
    """Read the job."""
    view = context.batch.job(context.batch_job)
    assert view.leased == 0, view
    assert view.pending > 0, view


@then("the job of tenant {first} completes while that of tenant {second} continues")
def step_fair(context, first, second):
    """Run until the first job has completed; the second is less than half done."""
    fleet = context.batch
    small, large = context.tenant_jobs[first], context.tenant_jobs[second]
    assert fleet.run_until(lambda: fleet.job(small).phase is JobPhase.COMPLETED, 60.0)
    assert fleet.job(large).completed < fleet.job(large).spec.item_count / 2


@then("the batch job due in {hours:d} hour completes first")
def step_deadline_first(context, hours):
    """Run until this job has completed; the other one has not."""
    fleet = context.batch
    early = context.due_jobs.pop(hours)
    (late,) = context.due_jobs.values()
    assert fleet.clock.seconds() < DEADLINE_UNIX_S
    assert fleet.run_until(lambda: fleet.job(early).phase is JobPhase.COMPLETED, 60.0)
    assert fleet.job(late).phase is JobPhase.SEALED


@when("tenant {tenant} sends batch jobs of {count:d} items one after the other for {seconds:d} s")
def step_following_jobs(context, tenant, count, seconds):
    """Submit each job as soon as the previous one has completed."""
    fleet = context.batch
    end_s = fleet.clock.seconds() + seconds
    context.following = []
    while fleet.clock.seconds() < end_s:
        key = f"following-{len(context.following)}"
        submitted = fleet.submit(fleet.items(count, key), key, tenant)
        context.following.append(submitted.ok.job_id)
        fleet.run_until(
            lambda: fleet.job(context.following[-1]).phase is JobPhase.COMPLETED,
            max(0.0, end_s - fleet.clock.seconds()),
        )


@then("tenant {tenant} has had {least:d} % to {most:d} % of the batch items")
def step_share(context, tenant, least, most):
    """Compare the completed items of both tenants."""
    fleet = context.batch
    own = sum(fleet.job(job_id).completed for job_id in context.following)
    other = sum(fleet.job(job_id).completed for job_id in context.tenant_jobs.values())
    share = 100.0 * own / (own + other)
    assert least <= share <= most, share
