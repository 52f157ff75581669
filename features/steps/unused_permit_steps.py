"""Steps on requests that wait for trials while no runner takes work."""

from behave import step, then

from rainsail.cluster.messages import RunnerState

SETTLED_S = 0.5
PERMIT_USE_S = 1.1
"""A permit is used within this time, or lost."""


@step("all its runners stop as planned, to start again {later_s:g} s later")
def stop_all(context, later_s):
    fleet = context.fleet
    for runner in fleet.runners.runners:
        fleet.runners.send_heartbeat(runner, RunnerState.DRAINING)
        fleet.runners.crash(runner, runner.incarnation, later_s)
    fleet.run_for(SETTLED_S)


@step('each gateway gets a request with the part "{part}"')
def send(context, part):
    fleet = context.fleet
    for name in fleet.names("gateway"):
        fleet.request(name, f"of {name}".encode(), prompt=f"{part}:40,own:9")
    fleet.run_for(SETTLED_S)


@then("each permit for a trial was used by a run")
def each_used(context):
    latest_s = context.fleet.clock.seconds() - PERMIT_USE_S
    records = [each for each in context.log_records if each[0] < latest_s]
    permits = [extra for _, name, extra in records if name == "quarantine_trial"]
    runs = [extra for _, name, extra in records if name == "item_sent" and "trial_of" in extra]
    assert permits and len(runs) >= len(permits), (len(permits), len(runs))
