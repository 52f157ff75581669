"""Steps on drained runners, finished jobs and departed gateways."""

from behave import given, then, when
from features.support.controllers import Fleet
from features.support.state import bodies, job_spec

from rainsail.control.controllers.machines import WatchedMachineState
from rainsail.resources.specs import GatewaySpec, Kind
from rainsail.state.commands import AddItems, CancelJob, OpenJob, SealJob

FIRST = "reports-0"


@when("the placement's first runner is drained")
def step_drain(context):
    context.fleet.declare_runner("reports", FIRST, drain=True)


@when("the placement's first runner is no longer drained")
def step_undrain(context):
    context.fleet.declare_runner("reports", FIRST)


@given("the placement's machine list says that the first runner's machine is leaving")
def step_leaving(context):
    context.fleet.machines.states[FIRST] = WatchedMachineState.LEAVING


@when("the placement's first runner dies and the machine list still calls it live")
def step_dies(context):
    context.fleet.machines.states[FIRST] = WatchedMachineState.LIVE
    context.fleet.engines[FIRST].version = ""
    context.fleet.report(FIRST, reachable=False)


@when("the placement's machine list learns that the first runner's machine is gone")
def step_gone(context):
    context.fleet.machines.states[FIRST] = WatchedMachineState.GONE


@then("the other runners of the placement answer with {version}")
def step_others(context, version):
    assert context.fleet.versions("reports")[1:] == [version] * 2, context.fleet.versions("reports")


@then("the placement's first runner is marked as draining and not ready")
def step_marked(context):
    runner = context.fleet.resource(Kind.RUNNER, FIRST)
    conditions = context.fleet.conditions(Kind.RUNNER, FIRST)
    assert conditions["Draining"] == (True, runner.generation), conditions
    assert runner.status.ready is False, runner.status


@then("the placement's first runner is no longer marked as draining")
def step_unmarked(context):
    runner = context.fleet.resource(Kind.RUNNER, FIRST)
    conditions = context.fleet.conditions(Kind.RUNNER, FIRST)
    assert conditions["Draining"] == (False, runner.generation), conditions


@then("the placement's first runner is not marked as draining")
def step_never_marked(context):
    assert "Draining" not in context.fleet.conditions(Kind.RUNNER, FIRST)


@given("controllers that keep finished jobs {finished:d} seconds and open ones {open_:d} seconds")
def step_job_retention(context, finished, open_):
    context.fleet = Fleet(job_retention_s=finished, open_job_retention_s=open_)


@given("the controllers' state has a finished, a cancelled, an open and an accepted job")
def step_jobs(context):
    apply = context.fleet.group.apply
    for name, count in (("accepted", 2), ("cancelled", 2), ("finished", 0), ("open", 2)):
        apply(OpenJob(name, job_spec(name, count)))
        apply(AddItems(name, 0, bodies(0, count)))
        if name != "open":
            apply(SealJob(name))
    apply(CancelJob("cancelled", "cancel"))


@when("{seconds:d} seconds pass for the controllers")
def step_pass(context, seconds):
    context.fleet.clock.advance(float(seconds))


@when("another leader takes over from the controllers")
def step_fail_over(context):
    context.fleet.group.lead(False)
    context.fleet.group.lead(True)


def job_ids(context):
    """Return the ids of all jobs."""
    return [job.job_id for job in context.fleet.state.jobs()]


@then("the controllers' state still has all 4 jobs")
def step_all_jobs(context):
    assert job_ids(context) == ["accepted", "cancelled", "finished", "open"], job_ids(context)


@then("the controllers' state has lost only the open job")
def step_open_forgotten(context):
    assert job_ids(context) == ["accepted", "cancelled", "finished"], job_ids(context)


@then("the controllers' state has the accepted job only")
def step_accepted_left(context):
    assert job_ids(context) == ["accepted"], job_ids(context)


@given("controllers that keep gateways without contact {seconds:d} seconds")
def step_gateway_retention(context, seconds):
    context.fleet = Fleet(gateway_retention_s=seconds)


@given("two gateways of which only one contacts the controllers")
def step_two_gateways(context):
    step_two_unheard(context)
    clock = context.fleet.clock
    context.fleet.manager.set_gateway_last_seen(
        lambda name: clock.seconds() if name == "heard" else None
    )


@given("two gateways whose last contact the controllers don't know")
def step_two_unheard(context):
    for name in ("heard", "silent"):
        context.fleet.put(Kind.GATEWAY, name, GatewaySpec("south", "south-a", "1"))


def gateways(context):
    """Return the names of all gateways."""
    return [each.key.name for each in context.fleet.state.list_resources(Kind.GATEWAY)]


@then("the controllers' state has both gateways")
def step_both(context):
    assert gateways(context) == ["heard", "silent"], gateways(context)


@then("the controllers' state has only the gateway in contact")
def step_heard_only(context):
    assert gateways(context) == ["heard"], gateways(context)
