"""Steps on lost disks, their repair, and the correctness of the group's status."""

from behave import given, then, when
from features.support import consensus_stages as stages

REPAIR_LIMIT_S = 30.0


@given("a consensus group of {count:d} replicas that repairs after {seconds:g} seconds")
def repairing_group(context, count, seconds):
    """Start a group with the given repair timeout."""
    context.consensus = stages.new_group(count, seconds)
    context.consensus_repair_s = seconds


@when("a replica of the consensus group loses its disk and starts again")
def lose_one(context):
    """Lose a follower's disk, recording its old identity."""
    group = context.consensus
    context.consensus_lost = group.followers()[0]
    context.consensus_old = group.identity(context.consensus_lost)
    group.lose_disk(context.consensus_lost)
    group.start(context.consensus_lost)


@when("two replicas of the consensus group lose their disks and start again")
def lose_two(context):
    """Lose the disks of two followers at the same time."""
    group = context.consensus
    for name in group.followers()[:2]:
        group.lose_disk(name)
        group.start(name)


@when("the leader of the consensus group loses its disk and starts again")
def lose_leader(context):
    """Lose the leader's disk and restart it."""
    group = context.consensus
    name = group.leader()
    group.lose_disk(name)
    group.start(name)


@then("the consensus group adds no new member for {seconds:g} seconds")
def no_new_member(context, seconds):
    """Check that no repair starts early, while the machine may still return with its disk."""
    group = context.consensus
    before = stages.members(group)
    group.run_for(seconds - 0.2)
    assert stages.members(group) == before


@then(
    "the consensus group's memberships go through learner, voter beside the old one, old one gone"
)
def membership_order(context):
    """Record the leader's membership at every event and check the order of the changes."""
    group = context.consensus
    seen = [stages.members(group)]
    context.consensus_lag = []

    def watch() -> bool:
        now = stages.members(group)
        if now != seen[-1]:
            seen.append(now)
            if len(seen) == 3:
                _note_lag(context)
        return len(seen) >= 4

    group.run_until(watch, "three changes", REPAIR_LIMIT_S)
    name, old = context.consensus_lost, context.consensus_old
    new = group.identity(name)
    shapes = [[(m.identity, m.voter) for m in each if m.replica == name] for each in seen]
    assert shapes == [
        [(old, True)],
        [(old, True), (new, False)],
        [(old, True), (new, True)],
        [(new, True)],
    ], shapes


def _note_lag(context):
    group = context.consensus
    state = group.driver(group.leader()).core.state
    synced = group.driver(context.consensus_lost).core.state.writes.synced_index
    context.consensus_lag.append(state.commit_index - synced)


@then("the new member held everything committed when the consensus group promoted it")
def synced_at_promotion(context):
    """Check the lag by the new member's own synced index, not by the leader's match index."""
    limit = context.consensus.settings.promotion_lag_entries
    assert len(context.consensus_lag) == 1 and context.consensus_lag[0] <= limit


@when("the other two replicas of the consensus group fail: one loses its disk, one its power")
def lose_both_others(context):
    """Leave the last committed entries only on the crashed leader's disk."""
    group = context.consensus
    leader = group.leader()
    other = next(name for name in group.names if name not in (leader, context.consensus_cut))
    group.crash(leader)
    context.consensus_down = leader
    context.consensus_lost = other
    group.lose_disk(other)
    group.start(other)


@then("the consensus group elects no leader for {seconds:g} seconds")
def elects_nobody(context, seconds):
    """Check that a replica with an empty disk and a stale replica form no quorum."""
    group = context.consensus
    group.run_for(1.0)
    group.most_leaders = 0
    group.run_for(seconds)
    assert group.most_leaders == 0


@then("every replica of the consensus group that kept its disk applies all of them")
def whole_ones_apply(context):
    """Check that the group goes on with the identities that voted before."""
    group = context.consensus
    group.commit(2)
    for name in group.names:
        if name != context.consensus_lost:
            group.run_until(lambda name=name: group.holds_acknowledged(name), f"{name} complete")


@then("the consensus group never has two learners, and is healthy within {seconds:g} seconds")
def one_at_a_time(context, seconds):
    """Check that repairs run one at a time and every replica is a member in the end."""
    group = context.consensus
    most = 0

    def watch() -> bool:
        nonlocal most
        if not group.leaders():
            return False
        most = max(most, len(stages.learners(group)))
        return group.status().health == "Healthy"

    group.run_for(1.0)
    group.run_until(watch, "health", seconds)
    assert most <= 1, f"{most} learners at one moment"
    assert sorted(member.replica for member in stages.members(group)) == sorted(group.names)


@when("the consensus group becomes healthy again")
def wait_healthy(context):
    """Run until the first event after which the status is Healthy."""
    group = context.consensus
    group.run_for(1.0)
    group.run_until(lambda: bool(stages.learners(group)), "the start of repair", REPAIR_LIMIT_S)
    group.run_until(lambda: stages.is_healthy(group), "health", REPAIR_LIMIT_S)


@when("{count:d} further replicas of the consensus group lose their disks at that moment for good")
def lose_more(context, count):
    """Lose the leader's disk first, then others, but not that of the repaired replica."""
    group = context.consensus
    others = [name for name in group.followers() if name != context.consensus_lost]
    for name in [group.leader(), *others][:count]:
        group.lose_disk(name)


@then("the consensus group goes on and holds everything acknowledged")
def group_goes_on(context):
    """Check that the group commits and a leader holds everything acknowledged."""
    assert stages.still_commits(context.consensus)


@when("a replica of the consensus group loses its disk, and its successor crashes as a learner")
def crash_learner(context):
    """Crash the replacement while it is a learner."""
    group = context.consensus
    context.consensus_learner = group.followers()[0]
    group.lose_disk(context.consensus_learner)
    group.disks[context.consensus_learner].sync_latency_s = 0.05
    group.start(context.consensus_learner)
    group.run_until(lambda: bool(stages.learners(group)), "a learner", REPAIR_LIMIT_S)
    group.crash(context.consensus_learner)


@when("another replica of the consensus group loses its disk and starts again")
def lose_another(context):
    """Lose the disk of a running follower."""
    lose_one(context)


@then("the consensus group repairs the other replica within {seconds:g} seconds")
def repairs_other(context, seconds):
    """Check that the new identity votes and the old one is removed."""
    group = context.consensus
    name = context.consensus_lost

    def repaired() -> bool:
        found = [m for m in stages.members(group) if m.replica == name]
        return len(found) == 1 and found[0].voter and found[0].identity != context.consensus_old

    group.run_until(repaired, "the other repair", seconds)


@when("the dead learner of the consensus group starts again")
def learner_returns(context):
    """Restart the learner on its disk, on which it is still a learner."""
    context.consensus.start(context.consensus_learner)


@then("at every stage of failure and repair a consensus group's status is correct:")
def status_is_true(context):
    """Check that the group survives the reported number of losses but not one more."""
    assert sorted(row["stage"] for row in context.table) == sorted(stages.STAGES)
    for row in context.table:
        stage, losses = row["stage"], int(row["losses"])
        group = stages.at_stage(stage)
        status = group.status()
        reported = (str(status.health), status.losses_borne)
        assert reported == (row["health"], losses), f"{stage}: status reports {reported}"
        stages.lose_voters(group, losses)
        assert stages.still_commits(group), f"{stage}: {losses} losses were not tolerated"
        if stage != "one replica is far behind":
            group = stages.at_stage(stage)
            stages.lose_voters(group, losses + 1)
            assert not stages.still_commits(group), f"{stage}: {losses + 1} losses were tolerated"


@then("the followers of the consensus group report Degraded and no tolerated loss")
def followers_say_degraded(context):
    """Check that followers, which don't know the others' state, claim no health."""
    group = context.consensus
    for name in group.followers():
        status = group.driver(name).status()
        assert (str(status.health), status.losses_borne) == ("Degraded", 0)


@then("the cut-off leader of the consensus group reports the same within {seconds:g} seconds")
def cut_off_says_degraded(context, seconds):
    """Check that the leader steps down and then reports Degraded and no tolerated loss."""
    group = context.consensus
    driver = group.driver(context.consensus_cut)
    group.run_until(lambda: driver.status().losses_borne == 0, "a status without losses", seconds)
    assert str(driver.status().health) == "Degraded"


@given(
    "a consensus group of {count:d} replicas that snapshots every {entries:d} entries, "
    "with load and syncs of {sync:d} ms"
)
def loaded_group(context, count, entries, sync):
    """Start a group under load, with many snapshot chunks and a slower disk at the first follower.

    That follower is the one that later loses its disk.
    """
    group = context.consensus = stages.new_group(count, snapshot_log_entries=entries)
    group.commit(10)
    leader = group.leader()
    for _ in range(40):
        answers = [group.propose(leader, 1) for _ in range(100)]
        group.run_until(lambda answers=answers: all(answers), "a batch")
    for disk in group.disks.values():
        disk.sync_latency_s = sync / 1_000
    group.disks[group.followers()[0]].sync_latency_s = 3 * sync / 1_000
    context.consensus_load = stages.SteadyLoad(group)


@then("the consensus group's load went on all the time")
def load_went_on(context):
    """Check that over 90 % of many proposals were committed."""
    load = context.consensus_load
    assert load.proposed > 1_000 and load.committed > 0.9 * load.proposed, vars(load)
