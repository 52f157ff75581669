"""Steps on requests that wait for trials while no runner takes work."""

from behave import step

from rainsail.cluster.messages import RunnerState

SETTLED_S = 0.5


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
