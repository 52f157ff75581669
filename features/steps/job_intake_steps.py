"""Steps on the memory of jobs that are taken in."""

from behave import given, step, then

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.sizing import BudgetLimits
from rainsail.errors import FaultCode, Outcome
from rainsail.jobs.intake_budget import GatewayIntake, LedgerIntake
from rainsail.jobs.job_state import JobState
from rainsail.state.job_commands import (
    AcceptJob,
    DropRelayedJob,
    EndRelayedJob,
    ItemOutcome,
    ListOutcomes,
    RelayedItem,
)


@given("a budget of {count:d} bytes for jobs")
def budget(context, count):
    made = ClientBudget(lambda: 0.0, BudgetLimits(count, 100))
    context.gateway_intake = GatewayIntake(made)
    context.ledger_intake = LedgerIntake(made)
    context.taken_in = []


@step("a gateway takes in a job of {count:d} bytes")
def gateway_takes(context, count):
    context.taken_in.append(context.gateway_intake.begin(count))


@then("the gateway has taken it in")
def taken(context):
    assert context.taken_in[-1] is not None


@then("the gateway has no room for it")
def no_room(context):
    assert context.taken_in[-1] is None


@step("the gateway's first job is done")
def first_done(context):
    context.gateway_intake.end(context.taken_in[0])


@step('job "{job}" of {count:d} bytes is proposed while accepted jobs hold {held:d} bytes')
def proposed(context, job, count, held):
    context.intake_fault = context.ledger_intake.begin(job, count, held)


@step('the proposal of job "{job}" has ended')
def proposal_ended(context, job):
    context.ledger_intake.end(job)


@then("it is not refused")
def not_refused(context):
    assert context.intake_fault is None, context.intake_fault


@then("it is refused for now with certainty that it will not run")
def refused(context):
    fault = context.intake_fault
    assert fault is not None and fault.outcome == Outcome.NOT_RUN, fault
    assert fault.code == FaultCode.OVER_LIMIT, fault


@given("a state of the ledger with a job of {count:d} items with bodies of {size:d} bytes")
def state(context, count, size):
    items = tuple(RelayedItem(f"i-{n}", "/p", (), b"b" * size, 1) for n in range(count))
    context.job_state = JobState()
    context.job_state.apply(1, AcceptJob("job", "", "h", "/p", items, 0.0))


@step("item {index:d} of the job is listed")
def listed(context, index):
    context.job_state.apply(2, ListOutcomes("job", (ItemOutcome(index, True, "t"),)))


@step("the job is ended")
def ended(context):
    context.job_state.apply(3, EndRelayedJob("job"))


@step("the job is dropped")
def dropped(context):
    context.job_state.apply(4, DropRelayedJob("job"))


@then("the state holds {count:d} bytes of bodies, as does one restored from its snapshot")
def holds(context, count):
    restored = JobState()
    restored.restore(context.job_state.snapshot())
    assert context.job_state.body_bytes == count == restored.body_bytes
