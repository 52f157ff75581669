"""Steps on failures of a simulated consensus group, alone and in pairs."""

import itertools

from behave import given, step, then, when
from features.support.consensus import SimulatedGroup
from features.support.consensus_faults import GROUP_FAULTS, new_group, survive

from rainsail.consensus.settings import ConsensusSettings
from rainsail.errors import FaultCode, Outcome
from rainsail.logs import logger
from rainsail.simulation.consensus_defects import consensus_defect
from rainsail.simulation.network import LinkConditions

DEFECT_SEEDS = range(1, 30)
SLOW_SYNC_S = 0.2


@then('a consensus group survives "{fault}" at the leader and at a follower')
def bears_one(context, fault):
    """Inject one fault at the leader and at a follower, under three seeds each."""
    for seed, at_leader in itertools.product(range(1, 4), (True, False)):
        survive(new_group(seed), [(fault, at_leader)])


@then("a consensus group survives every pair of its failures, one of them at the leader")
def bears_pairs(context):
    """Inject every ordered pair, alternating which of the two hits the leader."""
    pairs = list(itertools.product(GROUP_FAULTS, repeat=2))
    for number, (first, second) in enumerate(pairs):
        at_leader = number % 2 == 0
        survive(new_group(number), [(first, at_leader), (second, not at_leader)])


@given('the consensus group has the defect "{name}"')
def plant_defect(context, name):
    """Apply a known-bad variant until the scenario ends."""
    patch = consensus_defect(name)
    patch.__enter__()
    context.add_cleanup(patch.__exit__, None, None, None)


@then("a consensus group's power cut during a slow sync, with the leader cut off, {end}")
def power_cut_in_sync(context, end):
    """Run under several seeds; with the defect at least one run must fail."""
    noticed = 0
    for seed in DEFECT_SEEDS:
        try:
            _cut_power_after_slow_sync(new_group(seed, replicas=3))
        except (AssertionError, ValueError):
            noticed += 1
    assert (noticed > 0) == (end == "is noticed"), f"{noticed} of {len(DEFECT_SEEDS)} seeds"


def _cut_power_after_slow_sync(group: SimulatedGroup) -> None:
    leader = group.leader()
    kept, slow = group.followers()
    group.network.isolate(kept)
    group.disks[slow].sync_latency_s = SLOW_SYNC_S
    group.commit(1)
    group.network.isolate(leader)
    group.crash(slow)
    group.network.rejoin(kept)
    group.network.cut(kept, leader)
    group.network.cut(leader, kept)
    group.start(slow)
    group.run_until(lambda: group.leaders() in ([slow], [kept]), "another leader")
    group.commit(1)
    group.network.rejoin(leader)
    group.run_until(
        lambda: all(map(group.holds_acknowledged, group.names)), "all replicas complete", 20.0
    )


@when("the syncs of the consensus group's leader fail and a number is proposed there")
def fail_leader_sync(context):
    """Make the leader's next sync fail, and propose a number there."""
    group = context.consensus
    context.consensus_down = group.leader()
    group.disks[context.consensus_down].sync_fails = True
    context.consensus_proposal = group.propose(context.consensus_down, 9_999)
    group.run_for(0.1)


@then("the proposal at the consensus group's old leader ends with an unknown outcome")
def proposal_unknown(context):
    """Check that the proposer learns that its entry may or may not be committed."""
    (result,) = context.consensus_proposal
    assert result.is_error() and result.error.outcome == Outcome.UNKNOWN, result


@then("the old leader of the consensus group has stopped with a storage fault naming the file")
def stopped_with_fault(context):
    """Check that the fault names the file at which the disk failed."""
    (fault,) = context.consensus.running[context.consensus_down].faults
    assert fault.code == FaultCode.STORAGE and "group-0/" in fault.detail, fault


@then("the other replicas of the consensus group elect a leader and commit")
def others_commit(context):
    """Check that the group commits with another leader."""
    context.consensus.commit(5)
    assert context.consensus.leader() != context.consensus_down


@when(
    "the disk of a consensus group's follower reports syncs that it doesn't do "
    "while {count:d} numbers are committed"
)
def report_false_syncs(context, count):
    """Make the follower acknowledge entries that its disk doesn't hold."""
    group = context.consensus
    context.consensus_down = group.followers()[0]
    group.disks[context.consensus_down].sync_lies = True
    group.commit(count)


@when("that follower of the consensus group loses power and starts again")
def restart_after_false_syncs(context):
    """Cut the power and restart on a disk that syncs correctly, collecting log lines."""
    group = context.consensus
    context.consensus_log = []
    sink = logger.add(lambda line: context.consensus_log.append(str(line)), level="ERROR")
    context.add_cleanup(logger.remove, sink)
    group.crash(context.consensus_down)
    group.disks[context.consensus_down].sync_lies = False
    group.start(context.consensus_down)
    group.commit(3)


@when("a follower of the consensus group starts again for another fleet")
def start_for_other_fleet(context):
    """Restart a follower whose configuration names another fleet than its data folder."""
    group = context.consensus
    context.consensus_down = group.followers()[0]
    group.crash(context.consensus_down)
    group.fleet = "other"
    group.start(context.consensus_down)
    group.run_for(1.0)


@then("that follower of the consensus group has not started, and the fault names both fleets")
def refused_fleet(context):
    """Check that the replica has no driver and its fault names both fleets."""
    member = context.consensus.running[context.consensus_down]
    (fault,) = member.faults
    assert member.driver is None and "'test'" in fault.detail and "'other'" in fault.detail, fault


@given("a consensus group of {count:d} replicas with {limit:d} bytes in flight at most")
def start_bounded_group(context, count, limit):
    """Start a group with a small in-flight limit."""
    settings = ConsensusSettings(max_in_flight_bytes=limit, max_batch_bytes=500)
    names = [f"replica-{number}" for number in range(1, count + 1)]
    context.consensus = SimulatedGroup(names, 3, settings)
    context.consensus.leader()


@when("a follower of the consensus group answers after {seconds:d} seconds")
def slow_follower(context, seconds):
    """Delay the messages that one follower sends to the leader."""
    group = context.consensus
    context.consensus_slow = group.followers()[0]
    slow = LinkConditions(delay_s=seconds)
    group.network.set_link_conditions(context.consensus_slow, group.leader(), slow)


@step("{count:d} numbers are proposed to the consensus group's leader in batches of {size:d}")
def propose_batches(context, count, size):
    """Propose in batches, recording the maximum bytes in flight to the slow follower."""
    group = context.consensus
    leader = group.driver(group.leader())
    identity = group.identity(context.consensus_slow)
    context.consensus_most_in_flight = 0
    answers = []
    for number in range(count):
        answers.append((number + 1, group.propose(group.leader(), number + 1)))
        if (number + 1) % size == 0:
            group.run_for(0.05)
            progress = leader.core.state.progress[identity]
            sent = sum(bytes_sent for _, bytes_sent in progress.in_flight)
            assert sent == progress.in_flight_bytes
            context.consensus_most_in_flight = max(context.consensus_most_in_flight, sent)
    group.acknowledged += [number for number, result in answers if result and result[0].is_ok()]


@then(
    "the consensus group's leader never had more than {limit:d} bytes and a batch in flight to it"
)
def bounded_in_flight(context, limit):
    """Check that the in-flight limit was reached and not exceeded by more than a batch."""
    batch = context.consensus.settings.max_batch_bytes
    assert limit <= context.consensus_most_in_flight <= limit + batch, (
        context.consensus_most_in_flight
    )


@then("the numbers are acknowledged without the consensus group's slow follower")
def acknowledged_without_slow(context):
    """Check that a quorum was enough while the slow follower was behind."""
    group = context.consensus
    assert len(group.acknowledged) == 300, len(group.acknowledged)
    leader = group.driver(group.leader())
    assert leader.core.state.progress[group.identity(context.consensus_slow)].match_index < 200


@then("the consensus group's leader has reported that follower's lost entries")
def reported_lost(context):
    """Check that the log names the replica whose disk has to be replaced."""
    assert any(
        "lost entries" in line and context.consensus_down in line for line in context.consensus_log
    ), context.consensus_log
