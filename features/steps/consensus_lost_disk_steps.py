"""Steps of features/consensus/lost_disk_status.feature."""

from behave import then, when

from rainsail.consensus.group_status import GroupHealth


@when(
    "a follower of the consensus group loses its disk and restarts before it counts as unreachable"
)
def step_lose(context):
    group = context.consensus
    name = group.followers()[0]
    context.consensus_lost_at_s = group.clock.seconds()
    group.lose_disk(name)
    group.start(name)
    leader = group.driver(group.leader()).core.state
    group.run_until(lambda: name in leader.join_candidates, "a Hello of the new identity")


@then(
    "the consensus group's leader reports Degraded and {losses:d} tolerated loss "
    "before it counts as unreachable"
)
def step_status(context, losses):
    group = context.consensus
    silent_s = group.clock.seconds() - context.consensus_lost_at_s
    assert silent_s < group.settings.unreachable_after_s, silent_s
    status = group.status()
    assert (status.health, status.losses_borne) == (GroupHealth.DEGRADED, losses), status
