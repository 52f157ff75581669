"""Steps on lost disks, their repair, and the truth of the group's status."""

from behave import given, then, when
from features.support import consensus_stages as stages

REPAIR_LIMIT_S = 30.0


@given("a consensus group of {count:d} replicas that repairs after {seconds:g} seconds")
def repairing_group(context, count, seconds):
    """Start the group."""
    context.consensus = stages.new_group(count, seconds)
    context.consensus_repair_s = seconds


@when("a replica of the consensus group loses its disk and starts again")
def lose_one(context):
    """A follower's disk; what the leader's membership was is kept."""
    group = context.consensus
    context.consensus_lost = group.followers()[0]
    context.consensus_old = group.identity(context.consensus_lost)
    group.lose_disk(context.consensus_lost)
    group.start(context.consensus_lost)


@when("two replicas of the consensus group lose their disks and start again")
def lose_two(context):
    """Two followers' disks at one moment."""
    group = context.consensus
    for name in group.followers()[:2]:
        group.lose_disk(name)
        group.start(name)


@when("the leader of the consensus group loses its disk and starts again")
def lose_leader(context):
    """The leader's disk."""
    group = context.consensus
    name = group.leader()
    group.lose_disk(name)
    group.start(name)


@then("the consensus group adds no newcomer for {seconds:g} seconds")
def no_newcomer(context, seconds):
    """The machine may come back with its disk."""
    group = context.consensus
    before = stages.members(group)
    group.run_for(seconds - 0.2)
    assert stages.members(group) == before


@then(
    "the consensus group's memberships go through learner, voter beside the old one, old one gone"
)
def membership_order(context):
    """Watch the leader's membership at every event."""
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


@then("the newcomer held everything committed when the consensus group made it a voter")
def synced_at_promotion(context):
    """On its own disk, and not only in the leader's books."""
    limit = context.consensus.settings.promotion_lag_entries
    assert len(context.consensus_lag) == 1 and context.consensus_lag[0] <= limit


@when(
    "the other two replicas of the consensus group change places: one loses its disk, one its power"
)
def lose_both_others(context):
    """What was committed last is now on no running disk but the crashed one's."""
    group = context.consensus
    leader = group.leader()
    other = next(name for name in group.names if name not in (leader, context.consensus_cut))
    group.crash(leader)
    context.consensus_down = leader
    context.consensus_lost = other
    group.lose_disk(other)
    group.start(other)


@then("the consensus group elects nobody for {seconds:g} seconds")
def elects_nobody(context, seconds):
    """An empty disk and a stale replica are no quorum."""
    group = context.consensus
    group.run_for(1.0)
    group.most_leaders = 0
    group.run_for(seconds)
    assert group.most_leaders == 0


@then("every replica of the consensus group that kept its disk applies all of them")
def whole_ones_apply(context):
    """The group goes on with the identities that voted before."""
    group = context.consensus
    group.commit(2)
    for name in group.names:
        if name != context.consensus_lost:
            group.run_until(lambda name=name: group.holds_acknowledged(name), f"{name} whole")


@then("the consensus group never has two learners, and is healthy within {seconds:g} seconds")
def one_at_a_time(context, seconds):
    """Repairs go one at a time; at the end every machine counts again."""
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
    """Run to the very event with which status says Healthy."""
    group = context.consensus
    group.run_for(1.0)
    group.run_until(lambda: bool(stages.learners(group)), "the repair's begin", REPAIR_LIMIT_S)
    group.run_until(lambda: stages.is_healthy(group), "health", REPAIR_LIMIT_S)


@when("{count:d} further replicas of the consensus group lose their disks at that moment for good")
def lose_more(context, count):
    """The leader first, then others, never the one just repaired."""
    group = context.consensus
    others = [name for name in group.followers() if name != context.consensus_lost]
    for name in [group.leader(), *others][:count]:
        group.lose_disk(name)


@then("the consensus group goes on and holds everything acknowledged")
def group_goes_on(context):
    """A new leader holds what was acknowledged before."""
    assert stages.goes_on(context.consensus)


@when("a replica of the consensus group loses its disk, and its successor dies as a learner")
def learner_dies(context):
    """The learner's machine goes away."""
    group = context.consensus
    context.consensus_learner = group.followers()[0]
    group.lose_disk(context.consensus_learner)
    group.disks[context.consensus_learner].sync_latency_s = 0.05
    group.start(context.consensus_learner)
    group.run_until(lambda: bool(stages.learners(group)), "a learner", REPAIR_LIMIT_S)
    group.crash(context.consensus_learner)


@when("another replica of the consensus group loses its disk and starts again")
def lose_another(context):
    """A follower that is still there."""
    lose_one(context)


@then("the consensus group repairs the other replica within {seconds:g} seconds")
def repairs_other(context, seconds):
    """Its new identity votes, its old one is gone."""
    group = context.consensus
    name = context.consensus_lost

    def repaired() -> bool:
        found = [m for m in stages.members(group) if m.replica == name]
        return len(found) == 1 and found[0].voter and found[0].identity != context.consensus_old

    group.run_until(repaired, "the other repair", seconds)


@when("the dead learner of the consensus group starts again")
def learner_returns(context):
    """With its disk, on which it is still a learner."""
    context.consensus.start(context.consensus_learner)


@then("at every stage of a consensus group's troubles its status is true:")
def status_is_true(context):
    """What status says can be lost is really lost; one more stops the group."""
    assert sorted(row["stage"] for row in context.table) == sorted(stages.STAGES)
    for row in context.table:
        stage, losses = row["stage"], int(row["losses"])
        group = stages.at_stage(stage)
        status = group.status()
        said = (str(status.health), status.losses_borne)
        assert said == (row["health"], losses), f"{stage}: status says {said}"
        stages.lose_voters(group, losses)
        assert stages.goes_on(group), f"{stage}: {losses} losses were not borne"
        if stage != "one replica is far behind":
            group = stages.at_stage(stage)
            stages.lose_voters(group, losses + 1)
            assert not stages.goes_on(group), f"{stage}: {losses + 1} losses were borne"


@then("the followers of the consensus group say Degraded and no loss")
def followers_say_degraded(context):
    """They can't know."""
    group = context.consensus
    for name in group.followers():
        status = group.driver(name).status()
        assert (str(status.health), status.losses_borne) == ("Degraded", 0)


@then("the cut-off leader of the consensus group says so within {seconds:g} seconds")
def cut_off_says_degraded(context, seconds):
    """It steps down, and then claims nothing."""
    group = context.consensus
    driver = group.driver(context.consensus_cut)
    group.run_until(lambda: driver.status().losses_borne == 0, "an honest status", seconds)
    assert str(driver.status().health) == "Degraded"


@given(
    "a consensus group of {count:d} replicas that snapshots every {entries:d} entries, "
    "with load and syncs of {sync:d} ms"
)
def loaded_group(context, count, entries, sync):
    """A state of many chunks, small batches, and a slower disk where the loss will be."""
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
    """Most of what was proposed is committed."""
    load = context.consensus_load
    assert load.proposed > 1_000 and load.committed > 0.9 * load.proposed, vars(load)
