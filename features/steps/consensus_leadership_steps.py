"""Steps on elections, leases and leadership transfers of a simulated consensus group."""

from behave import given, step, then, when
from features.support.consensus import SimulatedGroup, watch_chunks
from features.support.consensus_member import DirectMember

from rainsail.errors import FaultCode, Outcome

NAMES = [f"replica-{number}" for number in range(1, 6)]


def _remember(context):
    group = context.consensus
    context.consensus_leader = group.leader()
    context.consensus_term = group.driver(context.consensus_leader).term()
    context.consensus_cut_s = group.clock.seconds()


@when("the leader of the consensus group is cut off by dropped packets")
def cut_leader(context):
    """Isolate the leader both ways."""
    _remember(context)
    context.consensus_cut = context.consensus_leader
    context.consensus.network.isolate(context.consensus_cut)


@when("a follower of the consensus group is cut off by dropped packets")
def cut_follower(context):
    """Isolate a follower both ways."""
    _remember(context)
    context.consensus_cut = context.consensus.followers()[0]
    context.consensus.network.isolate(context.consensus_cut)


@when("a follower of the consensus group can send but not receive")
def cut_incoming(context):
    """Drop all messages to a follower."""
    _remember(context)
    deaf = context.consensus.followers()[0]
    for name in context.consensus.names:
        if name != deaf:
            context.consensus.network.cut(name, deaf)


@when("the leader of the consensus group can reach only one other replica")
def cut_majority(context):
    """Cut the leader off from three of its four followers."""
    _remember(context)
    group = context.consensus
    context.consensus_cut = context.consensus_leader
    for name in group.followers()[1:]:
        group.network.cut(context.consensus_cut, name)
        group.network.cut(name, context.consensus_cut)


@then("that leader of the consensus group steps down within {seconds:g} seconds")
def steps_down(context, seconds):
    """Check that the quorum check ends its leadership in time."""
    group = context.consensus
    name = context.consensus_cut
    group.run_until(lambda: not group.believes_to_lead(name), "step down", seconds)


@then("the other replicas of the consensus group elect one leader")
def elect_one(context):
    """Check that a commit succeeds and leases never overlap."""
    group = context.consensus
    group.commit(1)
    assert group.most_leaders == 1, group.most_leaders


@then(
    "the cut-off leader of the consensus group leads under its lease for at most {limit:g} seconds"
)
def lease_ends(context, limit):
    """Check that the lease expires in time."""
    group = context.consensus
    name = context.consensus_cut
    group.run_until(lambda: not group.driver(name).is_leader(), "the lease's end")
    took_s = group.clock.seconds() - context.consensus_cut_s
    assert took_s <= limit, f"{took_s:.3f} s"


@then("the other replicas of the consensus group elect a leader, and no two leases overlap")
def no_overlap(context):
    """Check that a new leader commits and leases never overlap."""
    group = context.consensus
    group.commit(3)
    assert group.leader() != context.consensus_cut
    assert group.most_leaders == 1, group.most_leaders


@when("the consensus group runs {seconds:g} seconds")
def run_group(context, seconds):
    """Run the simulation for some virtual seconds."""
    context.consensus.run_for(seconds)


@then("proposals and reads at the cut-off replica of the consensus group end with typed faults")
def typed_faults(context):
    """Check that each fails with NOT_LEADER and outcome NOT_RUN."""
    group = context.consensus
    name = context.consensus_cut
    answers = [group.propose(name, 7_777), group.read(name)]
    group.run_for(2.0)
    for (answer,) in answers:
        fault = answer.error
        assert (fault.code, fault.outcome) == (FaultCode.NOT_LEADER, Outcome.NOT_RUN), fault
    leader = group.leader()
    context.consensus_leader, context.consensus_term = leader, group.driver(leader).term()


@when("the cut-off replica of the consensus group is connected again")
def reconnect(context):
    """End the cut, recording the snapshot chunks that arrive."""
    context.consensus_chunks = watch_chunks(context.consensus, context.consensus_cut)
    context.consensus.network.rejoin(context.consensus_cut)


@then("the consensus group's leader and term are as before the {event}")
def same_leader(context, event):
    """Check that leader and term haven't changed after another 10 s."""
    group = context.consensus
    group.run_for(10.0)
    leader = group.leader()
    assert leader == context.consensus_leader
    assert group.driver(leader).term() == context.consensus_term


@when("a number is proposed at the cut-off leader of the consensus group")
def propose_at_cut(context):
    """Propose before the leader detects that it is cut off."""
    context.consensus_proposal = context.consensus.propose(context.consensus_cut, 7_777)


@then("the proposal at the cut-off leader of the consensus group ended with an unknown outcome")
def ended_unknown(context):
    """Check that the fault leaves open whether the entry was committed."""
    (answer,) = context.consensus_proposal
    assert answer.error.outcome == Outcome.UNKNOWN, answer


def _most_leaders(leader_rate, other_rate, fail_overs):
    group = SimulatedGroup(NAMES, seed=11)
    leader = group.leader()
    for name in NAMES:
        if name != leader:
            group.crash(name)
    group.crash(leader)
    for name in NAMES:
        group.start(name, leader_rate if name == leader else other_rate)
    for _ in range(fail_overs):
        group.run_until(
            lambda: group.leaders() == [leader] or _transfer_until_leading(group, leader), "leader"
        )
        group.run_for(0.5)
        group.network.isolate(leader)
        group.commit(1)
        group.run_for(0.2)
        group.network.rejoin(leader)
    return group.most_leaders


def _transfer_until_leading(group, wanted):
    """Transfer leadership away from any other leader; always False, for use in conditions."""
    for name in group.leaders():
        if name != wanted and not group.driver(name).core.state.transfer_target:
            group.driver(name).transfer_leadership()
    return False


@then(
    "with the consensus group's leader's clock at {leader:g} and the others' at {others:g} "
    "no two leases overlap in {count:d} fail-overs"
)
def leases_hold(context, leader, others, count):
    """Cut the leader off repeatedly and check that leases never overlap."""
    most = _most_leaders(leader, others, count)
    assert most == 1, f"{most} leaders under a lease at one moment"


@then(
    "with the consensus group's leader's clock at {leader:g} and the others' at {others:g} "
    "two leases overlap"
)
def leases_overlap(context, leader, others):
    """Check that clock rates beyond the margin make the check above fail."""
    assert _most_leaders(leader, others, 20) == 2


@step("the consensus group's leader transfers leadership while numbers are committed")
def transfer_leadership(context):
    """Request a transfer and measure the time until another replica leads."""
    group = context.consensus
    _remember(context)
    old = context.consensus_leader
    group.run_until(lambda: group.status().health == "Healthy", "a healthy group")
    begun_s = group.clock.seconds()
    answers = []
    group.driver(old).transfer_leadership().addCallback(answers.append)
    group.run_until(lambda: bool(group.leaders()) and group.leaders() != [old], "a new leader")
    context.consensus_gap_s = group.clock.seconds() - begun_s
    group.commit(3)
    assert answers and answers[0].is_ok(), answers


@then("the consensus group had a new leader within {seconds:g} seconds")
def short_gap(context, seconds):
    """Check that the transfer took less than an election timeout, without overlapping leases."""
    assert context.consensus_gap_s <= seconds, f"{context.consensus_gap_s:.3f} s"
    assert context.consensus.most_leaders == 1


@when(
    "the consensus group's leader transfers leadership to a replica that loses power at that moment"
)
def transfer_to_crashing(context):
    """Crash the target before it campaigns."""
    group = context.consensus
    _remember(context)
    context.consensus_answers = []
    driver = group.driver(context.consensus_leader)
    driver.transfer_leadership().addCallback(context.consensus_answers.append)
    target = driver.core.state.transfer_target
    group.crash(next(name for name in group.names if group.identity(name) == target))


@then("the consensus group's leadership transfer has ended and the group commits again")
def transfer_ended(context):
    """Check that the old leader has stepped down and the group commits."""
    group = context.consensus
    group.run_until(lambda: bool(context.consensus_answers), "the end of the transfer", 3.0)
    group.commit(3)


@given("a consensus member that follows a leader of term {term:d}")
def following_member(context, term):
    """Start a member that has just answered the leader's heartbeat."""
    context.consensus_member = DirectMember(term)
    context.consensus_member.hear_leader(term)


@when("a late reply moves the consensus member to term {term:d}")
def late_reply(context, term):
    """Deliver a refused pre-vote that carries the later term."""
    context.consensus_member.hear_late_refusal(term)
    assert context.consensus_member.core.state.term == term


@when(
    "a candidate asks the consensus member for its vote in term {term:d} after {seconds:g} seconds"
)
def candidate_asks(context, term, seconds):
    """Request the vote as candidate d."""
    context.consensus_member.now_s += seconds
    context.consensus_vote = context.consensus_member.asked_for_vote("d", term)


@when(
    "another candidate asks the consensus member for its vote in term {term:d} "
    "after {seconds:g} seconds"
)
def other_candidate_asks(context, term, seconds):
    """Request the vote as candidate e."""
    context.consensus_member.now_s += seconds
    context.consensus_vote = context.consensus_member.asked_for_vote("e", term)


@then("the consensus member refuses its vote")
def refuses(context):
    """Check that the vote is refused."""
    assert not context.consensus_vote[0]


@then("the consensus member grants its vote once that is synced")
def grants(context):
    """Check that the vote is granted and the reply waits for the sync."""
    assert context.consensus_vote == (True, True), context.consensus_vote


@when("the consensus member restarts with what it has stored")
def restart_member(context):
    """Start a new process from the same stored state."""
    context.consensus_member.start()


@when("the consensus member restarts in a process that began {seconds:g} seconds before")
def restart_member_slowly(context, seconds):
    """Start in a process that ran for a while before it opened the disk."""
    member = context.consensus_member
    member.start(started_s=member.now_s - seconds)


@when(
    "the cut-off leader's lease is over and a read and a number wait at it in the consensus group"
)
def wait_at_cut_off(context):
    """Request both after the lease has expired and before the leader steps down."""
    group = context.consensus
    name = context.consensus_cut
    while group.driver(name).is_leader():
        group.run_for(0.01)
    assert group.believes_to_lead(name), "it stepped down before its lease was over"
    context.consensus_waiting = [group.read(name), group.propose(name, 7_777)]
    assert not any(context.consensus_waiting)


@when("that member of the consensus group is stopped")
def stop_member(context):
    """Stop the member, as a fatal fault does."""
    context.consensus.driver(context.consensus_cut).stop()


@then("the read and the number at the stopped member of the consensus group have ended with faults")
def waiting_ended(context):
    """Check that both requests have failed."""
    for answers in context.consensus_waiting:
        (answer,) = answers
        assert answer.error.code == FaultCode.NOT_LEADER, answer
